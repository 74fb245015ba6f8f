"""Checks that an attempt equals its client's request; generated bodies and answer digests."""

from __future__ import annotations

from hashlib import blake2b

from millgw.standins.http import Message
from millgw.standins.ledger import Call


def difference(message: Message, asked: Call) -> str:
    """Describe how an attempt differs from its client's request, by the protocol; empty if it does not."""
    method, target = message.first.split()[:2]
    if method != asked.method:
        return f"the method is {method}, the client's {asked.method}"
    if target != asked.target:
        return f"the target is not the client's: {_shape(target)} for {_shape(asked.target)}"
    if message.headers.get("idempotency-key", "") != asked.key:
        return "Idempotency-Key is not the client's"
    if message.body != filler(asked.trace, asked.body):
        return "the body is not the client's"
    return ""


def filler(trace: str, size: int) -> bytes:
    """Return `size` bytes that repeat the trace, so that each part shows which request it belongs to."""
    return (trace.encode() * (size // max(1, len(trace)) + 1))[:size]


def _shape(target: str) -> str:
    """Strip the query values from a target, so that requests with the same fault give the same message."""
    path, question, query = target.partition("?")
    return path + question + "&".join(part.partition("=")[0] + "=" for part in query.split("&") if part)


def answer_token(body: bytes) -> str:
    """Return the digest of the whole body, which identifies an answer."""
    return blake2b(body, digest_size=8).hexdigest()
