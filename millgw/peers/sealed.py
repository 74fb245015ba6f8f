"""Messages between peers, worded and sealed: who said it, and that it was not said before. Pure.

A sealed message is `version, key number, HMAC-SHA256, msgpack([sender, start, number, body])`. Two keys are
held at once: the first seals, both open, so that a key can be changed in service one sidecar after another.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

VERSION = 1
DIGEST = 32  # bytes
HEAD = 2 + DIGEST
LEAST_KEY = 16  # bytes of a shared key
MOST_KEYS = 2
WINDOW = 256  # numbers behind the highest one that may still come, each once
MOST_SENDERS = 4096  # guards against memory that fills; only holders of a key can fill it


class Refused(Exception):
    """A message is not taken; the text says why, for the log."""


class _Inner(msgspec.Struct, array_like=True, frozen=True):
    sender: str
    start: int
    number: int
    body: bytes


class Seal:
    """Words messages of one process. `start` must grow from one process of a name to the next."""

    def __init__(self, name: str, start: int, keys: Sequence[bytes]) -> None:
        self.name = name
        self.start = start
        self.number = 0
        self.keys = _checked(keys)

    def change(self, keys: Sequence[bytes]) -> None:
        """Use other keys from now on; a ValueError leaves those there were."""
        self.keys = _checked(keys)

    def seal(self, body: bytes) -> bytes:
        self.number += 1
        inner = msgspec.msgpack.encode(_Inner(self.name, self.start, self.number, body))
        key = self.keys[0]
        head = bytes((VERSION, key[0]))
        return head + _digest(key, head, inner) + inner


@dataclass(slots=True)
class _ReplayWindow:
    start: int
    highest: int
    bits: int  # of the numbers from `highest` down


class Opener:
    """Opens messages of others, each once."""

    def __init__(self, keys: Sequence[bytes], most: int) -> None:
        self.keys = _checked(keys)
        self.most = most
        self.replay_windows: dict[str, _ReplayWindow] = {}

    def change(self, keys: Sequence[bytes]) -> None:
        """Use other keys from now on; a ValueError leaves those there were."""
        self.keys = _checked(keys)

    def open(self, data: bytes) -> tuple[str, bytes]:
        """Sender and body of a message that was not taken before; a Refused tells why it is not taken."""
        told = self._read(data)
        self._once(told)
        return told.sender, told.body

    def read(self, data: bytes) -> tuple[str, bytes]:
        """The same where something in the body proves that it is not said again."""
        told = self._read(data)
        return told.sender, told.body

    def _read(self, data: bytes) -> _Inner:
        if len(data) > self.most:
            raise Refused("too long")
        if len(data) < HEAD or data[0] != VERSION:
            raise Refused("no message of this version")
        head, inner = data[:2], data[HEAD:]
        # Every key with that number: the number is a digest's byte, and two keys may share it.
        if not any(
            key[0] == data[1] and hmac.compare_digest(_digest(key, head, inner), data[2:HEAD])
            for key in self.keys
        ):
            raise Refused("not sealed by a key that is held")
        try:
            return msgspec.msgpack.decode(inner, type=_Inner)
        except msgspec.DecodeError as error:
            raise Refused(f"can't be read: {error}") from None

    def _once(self, told: _Inner) -> None:
        window = self.replay_windows.get(told.sender)
        if window is None or told.start > window.start:
            if window is None and len(self.replay_windows) >= MOST_SENDERS:
                raise Refused("too many senders")
            self.replay_windows[told.sender] = _ReplayWindow(told.start, told.number, 1)
            return
        behind = window.highest - told.number
        if told.start < window.start or behind >= WINDOW or (behind >= 0 and window.bits >> behind & 1):
            raise Refused("said before")
        if behind < 0:
            window.bits = (window.bits << min(-behind, WINDOW) | 1) & ((1 << WINDOW) - 1)
            window.highest = told.number
        else:
            window.bits |= 1 << behind


Key = tuple[int, bytes]


def _checked(keys: Sequence[bytes]) -> tuple[Key, ...]:
    if not 1 <= len(keys) <= MOST_KEYS:
        raise ValueError(f"{MOST_KEYS} keys at the most, and one at the least")
    if any(len(key) < LEAST_KEY for key in keys):
        raise ValueError(f"a key has {LEAST_KEY} bytes at the least")
    return tuple((hmac.digest(key, b"which", "sha256")[0], key) for key in keys)


def _digest(key: Key, head: bytes, inner: bytes) -> bytes:
    return hmac.digest(key[1], head + inner, "sha256")
