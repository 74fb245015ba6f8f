"""The protocol of a connection between peers, without I/O.

Each side first sends a random nonce of 16 bytes. Then frames are sent in both directions: a length of four
bytes and a signed message whose body is the other side's nonce, the frame number and the encoded message. So
no frame of another connection, and no earlier frame of this one, is accepted when replayed; a client without
a key receives 16 random bytes and nothing else.
"""

from __future__ import annotations

import secrets

from millgw.peers.message_auth import MessageRefused, Signer, Verifier
from millgw.peers.wire import MAX_FRAME_BYTES, Body, decode, encode

NONCE_BYTES = 16
LENGTH_BYTES = 4  # length prefix of a frame
NUMBER_BYTES = 4  # frame number


class StateTransfer:
    """One side of one connection."""

    def __init__(self, signer: Signer, verifier: Verifier, nonce: bytes | None = None) -> None:
        self.signer = signer
        self.verifier = verifier
        self.nonce = secrets.token_bytes(NONCE_BYTES) if nonce is None else nonce
        self.peer_nonce = b""
        self.buffer = bytearray()
        self.frames_sent = 0
        self.frames_received = 0

    def hello(self) -> bytes:
        """The bytes to send first."""
        return self.nonce

    @property
    def ready(self) -> bool:
        """Whether the other side's nonce has arrived; no frame can be sent before."""
        return len(self.peer_nonce) == NONCE_BYTES

    def frame(self, body: bytes) -> bytes:
        """The next frame for an encoded body; raises ValueError before the other side's nonce arrived."""
        if not self.ready:
            raise ValueError("the other side has not sent its nonce")
        signed = self.signer.sign(self.peer_nonce + self.frames_sent.to_bytes(NUMBER_BYTES, "big") + body)
        self.frames_sent += 1
        return len(signed).to_bytes(LENGTH_BYTES, "big") + signed

    def encode_frame(self, body: Body) -> bytes:
        return self.frame(encode(body))

    def receive(self, data: bytes) -> list[tuple[str, Body]]:
        """Sender and message of each completed frame; after a MessageRefused, close the connection."""
        self.buffer += data
        if not self.ready:
            if len(self.buffer) < NONCE_BYTES:
                return []
            self.peer_nonce = bytes(self.buffer[:NONCE_BYTES])
            del self.buffer[:NONCE_BYTES]
        messages: list[tuple[str, Body]] = []
        while len(self.buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise MessageRefused("frame is too long")
            if len(self.buffer) < LENGTH_BYTES + length:
                break
            messages.append(self._read_frame(bytes(self.buffer[LENGTH_BYTES : LENGTH_BYTES + length])))
            del self.buffer[: LENGTH_BYTES + length]
        return messages

    def _read_frame(self, signed: bytes) -> tuple[str, Body]:
        sender, body = self.verifier.verify(signed)
        if body[:NONCE_BYTES] != self.nonce:
            raise MessageRefused("frame was signed for another connection")
        if body[NONCE_BYTES : NONCE_BYTES + NUMBER_BYTES] != self.frames_received.to_bytes(
            NUMBER_BYTES, "big"
        ):
            raise MessageRefused("frame number is not that of the next frame")
        self.frames_received += 1
        return sender, decode(body[NONCE_BYTES + NUMBER_BYTES :])
