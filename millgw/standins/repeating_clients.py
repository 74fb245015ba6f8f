"""Clients that send requests to one address in a loop, and count the outcomes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from millgw.platform.config import Address
from millgw.standins.scripted import read_message


class RepeatingClients:
    """`make_request` returns the bytes of a request; its argument tells whether the connection is kept.

    `outcomes` counts answers by status, `refused` connections, and requests with a `broken` connection.
    """

    def __init__(self, listen: Address, make_request: Callable[[bool], bytes]) -> None:
        self.listen = listen
        self.make_request = make_request
        self.outcomes: Counter[str] = Counter()
        self.sent = 0

    async def client(self, pause: float, kept: bool = True) -> None:
        """Run one client until cancelled, `pause` s between requests.

        It keeps its connection if `kept`; otherwise each request has its own.
        """
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.listen.host, self.listen.port)
            except OSError:
                self.outcomes["refused"] += 1
                continue
            again = True
            while again:
                self.sent += 1
                try:
                    writer.write(self.make_request(kept))
                    answer = await read_message(reader)
                    self.outcomes[str(answer.status)] += 1
                    again = answer.headers.get("connection") != "close"
                except (OSError, asyncio.IncompleteReadError, ValueError):
                    self.outcomes["broken"] += 1
                    again = False
                except asyncio.CancelledError:
                    writer.close()
                    raise
                await asyncio.sleep(pause)
            writer.close()
