"""The front of a daemon with one pool, which all requests are for."""

from __future__ import annotations

from collections.abc import Callable

from millgw.message import REFUSED, Answer
from millgw.pool.call import Call
from millgw.pool.pool import Pool, read
from millgw.request import BadRequest, Head


class PlainFront:
    """`leaving` once the process is told to end: /ready then sends callers elsewhere."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.leaving = False

    def leave(self) -> None:
        self.leaving = True

    def gate(self, head: Head) -> None:
        path = head.target.partition(b"?")[0]
        if path == b"/api":
            head.pool = self.pool
            head.refused = self.pool.busy()
        elif path != b"/ready":
            head.wrong = BadRequest(404, "no such path")
        elif head.method != b"GET":
            head.wrong = BadRequest(405, "only GET asks whether the sidecar is ready")

    def read(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        return read(head, answer, self._ready)

    def _ready(self, head: Head) -> Answer:
        return Answer(200 if self.pool.driver.ready and not self.leaving else REFUSED)
