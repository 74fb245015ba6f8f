"""Request routing for a sidecar with a single pool: every call goes to it."""

from __future__ import annotations

from collections.abc import Callable

from millgw.callers.lifecycle import Lifecycle
from millgw.http.message import REFUSED, Answer
from millgw.http.request import BadRequest, Head
from millgw.pool.call import Call
from millgw.pool.pool import Pool, make_call


class SinglePoolFront:
    """`life` tells whether new calls are accepted and what /ready answers."""

    def __init__(self, pool: Pool, life: Lifecycle) -> None:
        self.pool = pool
        self.lifecycle = life

    def assign_pool(self, head: Head) -> None:
        path = head.target.partition(b"?")[0]
        if path == b"/api":
            head.pool = self.pool
            head.refusal = Answer(REFUSED) if self.lifecycle.refuses_new else self.pool.refusal_if_full()
        elif path != b"/ready":
            head.bad_request = BadRequest(404, "no such path")
        elif head.method != b"GET":
            head.bad_request = BadRequest(405, "only GET asks whether the sidecar is ready")

    def make_call(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        return make_call(head, answer, self._answer_ready)

    def _answer_ready(self, head: Head) -> Answer:
        return Answer(200 if self.pool.driver.ready and self.lifecycle.accepts_clients() else REFUSED)
