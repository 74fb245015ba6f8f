"""The old process's side of a hot restart: hands its state to a new process that presents the token.

The calls arrive on the control server's thread; pools are read and changed only on the event loop.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import hmac
from collections.abc import Callable
from typing import TypeVar

from millgw.control.call_table import CallTable, yes_no_answer
from millgw.control.parser import ControlRequest
from millgw.hot_restart.old_process import (
    ADDRESS_HEADER,
    STATE_PATH,
    STEERED_HEADER,
    SUCCESSOR_PATH,
    TOKEN_HEADER,
    accepts_connections,
)
from millgw.http.message import Answer, Content
from millgw.log.events import log_event
from millgw.platform.config import Address, read_address

LOOP_TIMEOUT = 0.8  # s that the event loop may take to carry out a call
T = TypeVar("T")


class NewProcess:
    """The successor of this process, once it has announced itself. `snapshot` encodes this one's state."""

    def __init__(self, snapshot: Callable[[], bytes], on_takeover: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.snapshot = snapshot
        self.on_takeover = on_takeover
        self.token = ""
        self.control: Address | None = None
        self.steered = False

    def register(self, calls: CallTable) -> None:
        calls.add("GET", STATE_PATH, self._handle_state)
        calls.add("PUT", SUCCESSOR_PATH, self._handle_successor)

    def is_running(self) -> bool:
        """Whether a process has taken over and still accepts connections."""
        return self.control is not None and accepts_connections(self.control)

    def forget(self) -> None:
        """Forget a successor that has died."""
        self.control = None
        self.steered = False

    def _is_authorized(self, request: ControlRequest) -> bool:
        return bool(self.token) and hmac.compare_digest(request.headers.get(TOKEN_HEADER, ""), self.token)

    def _handle_state(self, request: ControlRequest) -> Answer:
        if not self._is_authorized(request):
            return Answer(404, Content())
        data = self._run_in_loop(self.snapshot)
        return yes_no_answer(False, "told in time") if data is None else Answer(200, Content(b"", data))

    def _handle_successor(self, request: ControlRequest) -> Answer:
        if not self._is_authorized(request):
            return Answer(404, Content())
        try:
            self.control = read_address(request.headers.get(ADDRESS_HEADER))
        except ValueError:
            return Answer(400, Content())
        self.steered = request.headers.get(STEERED_HEADER) == "1"
        log_event("successor", control=self.control, steered=self.steered)
        self._run_in_loop(self.on_takeover)
        return yes_no_answer(True, "succeeded")

    def _run_in_loop(self, work: Callable[[], T]) -> T | None:
        future: concurrent.futures.Future[T] = concurrent.futures.Future()

        def carry_out() -> None:
            if future.set_running_or_notify_cancel():
                try:
                    future.set_result(work())
                except BaseException as error:
                    future.set_exception(error)

        self.loop.call_soon_threadsafe(carry_out)
        try:
            return future.result(LOOP_TIMEOUT)
        except concurrent.futures.TimeoutError:
            future.cancel()
            return None
