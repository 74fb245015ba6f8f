"""Checks that an attempt equals its client's request; generated bodies and answer digests."""

from __future__ import annotations

from hashlib import blake2b

from millgw.standins.http import Message
from millgw.standins.ledger import Call


def describe_difference(message: Message, call: Call) -> str:
    """Describe how an attempt differs from its client's request, by the protocol; empty if it does not."""
    method, target = message.first_line.split()[:2]
    if method != call.method:
        return f"the method is {method}, the client's {call.method}"
    if target != call.target:
        return f"the target is not the client's: {_without_values(target)} for {_without_values(call.target)}"
    if message.headers.get("idempotency-key", "") != call.key:
        return "Idempotency-Key is not the client's"
    if message.body != make_body(call.trace, call.body):
        return "the body is not the client's"
    return ""


def make_body(trace: str, size: int) -> bytes:
    """Return `size` bytes that repeat the trace, so that each part shows which request it belongs to."""
    return (trace.encode() * (size // max(1, len(trace)) + 1))[:size]


def _without_values(target: str) -> str:
    """Strip the query values from a target, so that requests with the same fault give the same message."""
    path, question, query = target.partition("?")
    return path + question + "&".join(part.partition("=")[0] + "=" for part in query.split("&") if part)


def answer_digest(body: bytes) -> str:
    """Return the digest of the whole body, which identifies an answer."""
    return blake2b(body, digest_size=8).hexdigest()
