"""A request's body that is passed on as it comes: couples a caller's connection with its attempt's.

What is taken is gone: from then on the request can't be tried again. Until then another attempt may take it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Taker(Protocol):
    """The endpoint's connection that the body goes out on."""

    def more(self) -> None:
        """There is something to take, or the body is whole."""


class Upload:
    """`length` is the body's, None where it comes in chunks. `window` is how many bytes are held.

    `room` is called when there is room again, `gone` once when the first piece is taken.
    """

    __slots__ = ("dropped", "gone", "held", "length", "pieces", "room", "taken", "taker", "whole", "window")

    def __init__(self, length: int | None, window: int, room: Callable[[], None]) -> None:
        self.length = length
        self.window = window
        self.room = room
        self.gone: Callable[[], None] | None = None
        self.pieces: list[bytes] = []
        self.held = 0
        self.taken = False
        self.whole = False
        self.dropped = False
        self.taker: Taker | None = None

    # The caller's side

    @property
    def full(self) -> bool:
        return self.held >= self.window and not self.dropped

    def put(self, data: bytes) -> None:
        if not self.dropped:
            self.pieces.append(data)
            self.held += len(data)

    def end(self) -> None:
        self.whole = True

    def drop(self) -> None:
        """The request is answered: what still comes of its body is of no use."""
        self.dropped = True
        self.taker = None
        self.pieces.clear()
        self.held = 0

    def wake(self) -> None:
        """Have what has come taken."""
        if self.taker is not None:
            self.taker.more()

    # The endpoint's side

    def take(self) -> bytes:
        """All that is there now; never again."""
        data = b"".join(self.pieces)
        self.pieces.clear()
        self.held = 0
        if data and not self.taken:
            self.taken = True
            if self.gone is not None:
                self.gone()
        if data:
            self.room()
        return data
