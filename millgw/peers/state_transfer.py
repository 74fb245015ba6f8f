"""The protocol of a connection between peers, without I/O.

Each side begins with 16 bytes drawn by chance. From then on frames go both ways: a length of four bytes, then
a sealed message whose body is the other's 16 bytes, the frame's number and what is said. So nothing that was
said on another connection, or before on this one, is taken; a stranger hears 16 bytes of chance and no more.
"""

from __future__ import annotations

import secrets

from millgw.peers.sealed import Opener, Refused, Seal
from millgw.peers.wire import MOST_FRAME, Body, decode, encode

NONCE = 16  # bytes
LENGTH = 4  # bytes
NUMBER = 4  # bytes


class StateTransfer:
    """One side of one connection."""

    def __init__(self, seal: Seal, opener: Opener, nonce: bytes | None = None) -> None:
        self.seal = seal
        self.opener = opener
        self.nonce = secrets.token_bytes(NONCE) if nonce is None else nonce
        self.theirs = b""
        self.buffer = bytearray()
        self.said = 0
        self.heard = 0

    def hello(self) -> bytes:
        """What to write first."""
        return self.nonce

    @property
    def ready(self) -> bool:
        """Whether the other side has begun: nothing can be said before."""
        return len(self.theirs) == NONCE

    def word(self, body: bytes) -> bytes:
        """A frame that says what `encode` has worded."""
        if not self.ready:
            raise ValueError("the other side has not begun")
        sealed = self.seal.seal(self.theirs + self.said.to_bytes(NUMBER, "big") + body)
        self.said += 1
        return len(sealed).to_bytes(LENGTH, "big") + sealed

    def say(self, body: Body) -> bytes:
        return self.word(encode(body))

    def receive(self, data: bytes) -> list[tuple[str, Body]]:
        """Who said what in the frames that are whole now; a Refused ends the connection."""
        self.buffer += data
        if not self.ready:
            if len(self.buffer) < NONCE:
                return []
            self.theirs = bytes(self.buffer[:NONCE])
            del self.buffer[:NONCE]
        said: list[tuple[str, Body]] = []
        while len(self.buffer) >= LENGTH:
            length = int.from_bytes(self.buffer[:LENGTH], "big")
            if length > MOST_FRAME:
                raise Refused("too long")
            if len(self.buffer) < LENGTH + length:
                break
            said.append(self._frame(bytes(self.buffer[LENGTH : LENGTH + length])))
            del self.buffer[: LENGTH + length]
        return said

    def _frame(self, sealed: bytes) -> tuple[str, Body]:
        sender, body = self.opener.read(sealed)
        if body[:NONCE] != self.nonce:
            raise Refused("said on another connection")
        if body[NONCE : NONCE + NUMBER] != self.heard.to_bytes(NUMBER, "big"):
            raise Refused("not the next frame")
        self.heard += 1
        return sender, decode(body[NONCE + NUMBER :])
