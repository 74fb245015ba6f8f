"""Message authentication with shared keys and replay protection. Pure.

A signed message is `version, key number, HMAC-SHA256, msgpack([sender, start, number, body])`. Up to two keys
are in use: the first one signs, either one verifies, so that a key can be rotated in service, one sidecar
after another.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

VERSION = 1
DIGEST_BYTES = 32
HEADER_BYTES = 2 + DIGEST_BYTES  # bytes: version, key number and digest
MIN_KEY_BYTES = 16
MAX_KEYS = 2
REPLAY_WINDOW = 256  # message numbers below the highest one that are still accepted, each once
MAX_SENDERS = 4096  # without a limit, a holder of a key could exhaust memory


class MessageRefused(Exception):
    """A message was refused; the text gives the reason, for the log."""


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    sender: str
    start: int
    number: int
    body: bytes


class Signer:
    """Signs messages of one process. `start` must increase from one process of a name to the next."""

    def __init__(self, name: str, start: int, keys: Sequence[bytes]) -> None:
        self.name = name
        self.start = start
        self.number = 0
        self.keys = _numbered_keys(keys)

    def change(self, keys: Sequence[bytes]) -> None:
        """Replace the keys; raises ValueError and keeps the current ones if the new ones are invalid."""
        self.keys = _numbered_keys(keys)

    def sign(self, body: bytes) -> bytes:
        self.number += 1
        encoded_envelope = msgspec.msgpack.encode(_Envelope(self.name, self.start, self.number, body))
        key = self.keys[0]
        header = bytes((VERSION, key[0]))
        return header + _hmac(key, header, encoded_envelope) + encoded_envelope


@dataclass(slots=True)
class _ReplayWindow:
    start: int
    highest: int
    bits: int  # bit n is set if the number `highest` - n was received


class Verifier:
    """Verifies messages of other peers."""

    def __init__(self, keys: Sequence[bytes], max_bytes: int) -> None:
        self.keys = _numbered_keys(keys)
        self.max_bytes = max_bytes
        self.replay_windows: dict[str, _ReplayWindow] = {}

    def change(self, keys: Sequence[bytes]) -> None:
        """Replace the keys; raises ValueError and keeps the current ones if the new ones are invalid."""
        self.keys = _numbered_keys(keys)

    def verify_once(self, data: bytes) -> tuple[str, bytes]:
        """Sender and body of an authentic message; raises MessageRefused, also if it was accepted before."""
        envelope = self._verify(data)
        self._refuse_replay(envelope)
        return envelope.sender, envelope.body

    def verify(self, data: bytes) -> tuple[str, bytes]:
        """Like `verify_once` without replay protection, for a body that protects itself against replay."""
        envelope = self._verify(data)
        return envelope.sender, envelope.body

    def _verify(self, data: bytes) -> _Envelope:
        if len(data) > self.max_bytes:
            raise MessageRefused("message is too long")
        if len(data) < HEADER_BYTES or data[0] != VERSION:
            raise MessageRefused("not a message of this protocol version")
        header, encoded_envelope = data[:2], data[HEADER_BYTES:]
        # Try every key with this number: it is one byte of a digest, so two keys may have the same.
        if not any(
            key[0] == data[1]
            and hmac.compare_digest(_hmac(key, header, encoded_envelope), data[2:HEADER_BYTES])
            for key in self.keys
        ):
            raise MessageRefused("not signed with a known key")
        try:
            return msgspec.msgpack.decode(encoded_envelope, type=_Envelope)
        except msgspec.DecodeError as error:
            raise MessageRefused(f"can't be decoded: {error}") from None

    def _refuse_replay(self, envelope: _Envelope) -> None:
        window = self.replay_windows.get(envelope.sender)
        if window is None or envelope.start > window.start:
            if window is None and len(self.replay_windows) >= MAX_SENDERS:
                raise MessageRefused("too many senders")
            self.replay_windows[envelope.sender] = _ReplayWindow(envelope.start, envelope.number, 1)
            return
        behind = window.highest - envelope.number
        if (
            envelope.start < window.start
            or behind >= REPLAY_WINDOW
            or (behind >= 0 and window.bits >> behind & 1)
        ):
            raise MessageRefused("message was received before")
        if behind < 0:
            window.bits = (window.bits << min(-behind, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            window.highest = envelope.number
        else:
            window.bits |= 1 << behind


NumberedKey = tuple[int, bytes]


def _numbered_keys(keys: Sequence[bytes]) -> tuple[NumberedKey, ...]:
    if not 1 <= len(keys) <= MAX_KEYS:
        raise ValueError(f"{MAX_KEYS} keys are allowed at most, and one is required")
    if any(len(key) < MIN_KEY_BYTES for key in keys):
        raise ValueError(f"a key must have at least {MIN_KEY_BYTES} bytes")
    return tuple((hmac.digest(key, b"which", "sha256")[0], key) for key in keys)


def _hmac(key: NumberedKey, header: bytes, encoded_envelope: bytes) -> bytes:
    return hmac.digest(key[1], header + encoded_envelope, "sha256")
