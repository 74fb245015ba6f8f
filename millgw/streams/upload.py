"""A streamed request body: connects a caller's connection to its attempt's.

Data that was taken is not kept, so the request can't be tried again from then on. Before that, another
attempt may take it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class UploadConsumer(Protocol):
    """The endpoint's side, which writes the body to the endpoint."""

    def write_more(self) -> None:
        """There is data to take, or the body is complete."""


class Upload:
    """A body of `length` bytes (None if it is chunked), of which up to `window` bytes are buffered.

    `on_space` is called when the buffer has space again, `on_first_taken` once, when the first data is taken.
    """

    __slots__ = (
        "buffer",
        "complete",
        "consumer",
        "discarded",
        "length",
        "on_first_taken",
        "on_space",
        "taken",
        "window",
    )  # fmt: skip

    def __init__(self, length: int | None, window: int, on_space: Callable[[], None]) -> None:
        self.length = length
        self.window = window
        self.on_space = on_space
        self.on_first_taken: Callable[[], None] | None = None
        self.buffer = bytearray()  # one object: chunks may be of one byte each
        self.taken = False
        self.complete = False
        self.discarded = False
        self.consumer: UploadConsumer | None = None

    # Called by the caller's side

    @property
    def full(self) -> bool:
        return len(self.buffer) >= self.window and not self.discarded

    def append(self, data: bytes) -> None:
        if not self.discarded:
            self.buffer += data

    def end(self) -> None:
        self.complete = True

    def discard(self) -> None:
        """Discard the rest of the body, as the request is answered."""
        self.discarded = True
        self.consumer = None
        self.buffer = bytearray()

    def notify_consumer(self) -> None:
        """Let the endpoint's side take what has arrived."""
        if self.consumer is not None:
            self.consumer.write_more()

    # Called by the endpoint's side

    def take(self) -> bytes:
        """Return all data that is buffered, and drop it from the buffer."""
        data = bytes(self.buffer)
        self.buffer = bytearray()
        if data and not self.taken:
            self.taken = True
            if self.on_first_taken is not None:
                self.on_first_taken()
        if data:
            self.on_space()
        return data
