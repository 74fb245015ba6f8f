"""Normalises a request's target and Host, and refuses ambiguous ones. Pure.

Sources: RFC 9112 section 3.2 (request target, Host), RFC 9110 section 7.2 (Host), RFC 3986 sections 3.2.2 and
6.2.2 (host, normalisation). Where two parsers may differ (empty and dot segments, an encoded slash, a Host
other than the target's), the request is refused: the target is forwarded to the endpoint unchanged, and the
endpoint might interpret it differently from the route table.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

MAX_HOST = 255  # bytes; RFC 1035 section 2.3.4
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PATH = re.compile(rb"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*")  # RFC 3986 section 3.3
QUERY = re.compile(rb"[\x21-\x22\x24-\x7e]*")  # more than RFC 3986 allows: the query does not affect routing
HOST_LABEL = re.compile(rb"(?!-)[a-z0-9_-]{1,63}(?<!-)")
ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
AMBIGUOUS_BYTES = frozenset(
    b"/\\\x00"
)  # when encoded, some parsers treat them as separators and others do not


class BadTarget(ValueError):
    """An invalid or ambiguous target, with the response status."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True, frozen=True)
class Target:
    """`host` in lower case without port; `path` percent-encoded only where necessary."""

    host: str
    path: str


def read_target(target: bytes, hosts: tuple[bytes, ...]) -> Target:
    """Normalise the target of an HTTP/1.1 request; `hosts` are the values of all its Host fields."""
    if len(hosts) != 1:
        raise BadTarget("Host is missing" if not hosts else "Host is given twice")
    host = read_host(hosts[0])
    rest = target
    if not target.startswith(b"/"):
        scheme, found, rest = target.partition(b"://")
        if not found or scheme.lower() != b"http":
            raise BadTarget("the target is neither a path nor an http URL")
        authority, slash, path = rest.partition(b"/")
        if b"?" in authority or b"#" in authority:
            raise BadTarget("the target's URL has no path")
        if read_host(authority) != host or _port(authority) != _port(hosts[0]):
            raise BadTarget("Host differs from the target's")
        rest = slash + path if slash else b"/"
    path, _, query = rest.partition(b"?")
    if not QUERY.fullmatch(query):
        raise BadTarget("the query holds bytes that no URL may")
    return Target(host, read_path(path))


def read_host(value: bytes) -> str:
    """Normalise a host name, IPv4 address or bracketed IPv6 address: lower case, no port, no final dot."""
    value = value.strip(b" \t").lower()
    if value.startswith(b"["):
        inner, closed, port = value[1:].partition(b"]")
        try:
            host = f"[{ipaddress.IPv6Address(inner.decode('ascii'))}]"
        except ValueError:
            raise BadTarget("Host is no IPv6 address") from None
        if not closed or (port and not port.startswith(b":")):
            raise BadTarget("Host is no IPv6 address")
        _check_port(port[1:])
        return host
    name, _, port = value.partition(b":")
    _check_port(port)
    name = name.removesuffix(b".")
    if not name or len(name) > MAX_HOST or not all(HOST_LABEL.fullmatch(label) for label in name.split(b".")):
        raise BadTarget("Host is no host name")
    return name.decode()


def _port(value: bytes) -> bytes:
    """The port of a Host value in digits without leading zeros; 80 if there is none."""
    port = value.strip(b" \t").rpartition(b"]")[2].partition(b":")[2]
    return port.lstrip(b"0") or b"80"


def _check_port(port: bytes) -> None:
    if port and not (port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536):
        raise BadTarget("Host names no port that there is")


def read_path(path: bytes) -> str:
    """Normalise a path; refuses any that parsers could split into different segments."""
    if not path.startswith(b"/"):
        raise BadTarget("the path does not begin with a slash")
    if not PATH.fullmatch(path):
        raise BadTarget("the path holds bytes that no path may")
    if b"%" in path:
        path = _decode(path)
    segments = path.split(b"/")[1:]
    if b"." in segments or b".." in segments:
        raise BadTarget("the path has dot segments")
    if b"" in segments[:-1]:
        raise BadTarget("the path has empty segments")
    return path.decode()


def _decode(path: bytes) -> bytes:
    """Decode unreserved characters and write other escapes in upper case (RFC 3986 section 6.2.2)."""
    if len(ENCODED.findall(path)) != path.count(b"%"):
        raise BadTarget("the path has a broken escape")

    def normalise_escape(match: re.Match[bytes]) -> bytes:
        byte = int(match[1], 16)
        if byte in AMBIGUOUS_BYTES:
            raise BadTarget("the path has an escaped slash, backslash or zero")
        return bytes((byte,)) if byte in UNRESERVED else b"%%%02X" % byte

    return ENCODED.sub(normalise_escape, path)
