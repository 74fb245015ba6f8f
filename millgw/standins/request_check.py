"""Whether an attempt is what its client asked; the bodies of requests and answers, and what names them."""

from __future__ import annotations

from hashlib import blake2b

from millgw.standins.http import Message
from millgw.standins.ledger import Call


def difference(message: Message, asked: Call) -> str:
    """How an attempt differs from what its client asked; empty where it does not (protocol page)."""
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
    """So many bytes that tell whose they are wherever one looks."""
    return (trace.encode() * (size // max(1, len(trace)) + 1))[:size]


def _shape(target: str) -> str:
    """A target without its query's values: the same for all requests that are wrong in the same way."""
    path, question, query = target.partition("?")
    return path + question + "&".join(part.partition("=")[0] + "=" for part in query.split("&") if part)


def answer_token(body: bytes) -> str:
    """What names an answer: its whole body's digest."""
    return blake2b(body, digest_size=8).hexdigest()
