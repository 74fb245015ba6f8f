"""Clients that ask again and again at one address, and count what becomes of each request."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from millgw.platform.config import Address
from millgw.standins.scripted import read_message


class RepeatingClients:
    """`word` gives a request, told whether its connection is kept.

    `seen` counts answers by status, connections `refused`, and requests whose connection was `broken`.
    """

    def __init__(self, listen: Address, word: Callable[[bool], bytes]) -> None:
        self.listen = listen
        self.word = word
        self.seen: Counter[str] = Counter()
        self.sent = 0

    async def client(self, pause: float, kept: bool = True) -> None:
        """One of them, until it is cancelled: a connection is kept, or each request has its own."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.listen.host, self.listen.port)
            except OSError:
                self.seen["refused"] += 1
                continue
            again = True
            while again:
                self.sent += 1
                try:
                    writer.write(self.word(kept))
                    answer = await read_message(reader)
                    self.seen[str(answer.status)] += 1
                    again = answer.headers.get("connection") != "close"
                except (OSError, asyncio.IncompleteReadError, ValueError):
                    self.seen["broken"] += 1
                    again = False
                except asyncio.CancelledError:
                    writer.close()
                    raise
                await asyncio.sleep(pause)
            writer.close()
