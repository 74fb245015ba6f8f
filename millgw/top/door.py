"""Asks one door, within a bound of time and bytes, whatever it answers."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable
from typing import TypeVar

import httptools
import msgspec

from millgw.platform.config import Address
from millgw.top.figures import Figures, Look, Rotation

T = TypeVar("T")
MOST = 1 << 20  # bytes of an answer: a door tells some kilobytes
WITHIN = 1.0  # s for a call: a door owes its answer by then


class Trouble(Exception):
    """A door did not tell; its text is the cause in a few words. `sent`: the call may have reached it."""

    sent = False


class Reading:
    """An answer as it comes in: httptools' callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.whole = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole = True


async def ask(
    door: Address,
    path: str,
    within: float = WITHIN,
    method: str = "GET",
    body: bytes = b"",
    most: int = MOST,
    connect_within: float | None = None,
) -> tuple[int, bytes]:
    """Status and body of an answer of at most `most` bytes; `Trouble` where there is none in time."""
    sent = False
    try:
        async with asyncio.timeout(within):
            async with asyncio.timeout(connect_within):
                reader, writer = await asyncio.open_connection(door.host, door.port)
            sent = True
            try:
                writer.write(_request(door, path, method, body))
                return await _answer(reader, most)
            finally:
                writer.close()
    except TimeoutError:
        trouble = Trouble(f"no answer within {within:g} s")
    except OSError as error:
        trouble = Trouble(os.strerror(error.errno).lower() if error.errno else str(error))
    except Trouble as error:
        trouble = error
    trouble.sent = sent
    raise trouble


def _request(door: Address, path: str, method: str, body: bytes) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {door}\r\nConnection: close\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def _answer(reader: asyncio.StreamReader, most: int) -> tuple[int, bytes]:
    reading, taken = Reading(), 0
    while not reading.whole:
        data = await reader.read(65_536)
        taken += len(data)
        if not data or taken > most:
            raise Trouble("its answer is too long" if data else "its answer broke off")
        try:
            reading.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise Trouble("it does not speak HTTP") from None
    return reading.parser.get_status_code(), reading.body


async def look(door: Address, within: float = WITHIN) -> Look:
    """Everything that one door tells, asked at once; `Trouble` where its figures can't be had."""
    ready, metrics, aside = await _all(
        ask(door, "/-/ready", within), ask(door, "/-/metrics", within), ask(door, "/-/endpoints", within)
    )
    if metrics[0] != 200:
        raise Trouble(f"/-/metrics answers {metrics[0]}")
    figures = _read(metrics[1], Figures)
    # A sidecar of before that call has figures all the same.
    rotation = _read(aside[1], Rotation) if aside[0] == 200 else Rotation([], figures.out_of_rotation)
    return Look(figures, 200 <= ready[0] < 300, rotation)


async def _all(*asks: Awaitable[tuple[int, bytes]]) -> list[tuple[int, bytes]]:
    # All are waited for: one that fails must not leave the others' connections open behind it.
    done = await asyncio.gather(*asks, return_exceptions=True)
    for one in done:
        if isinstance(one, BaseException):
            raise one
    return [one for one in done if not isinstance(one, BaseException)]


def _read(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise Trouble(f"its answer can't be read: {error}") from None
