"""Dispatch table of the control server: handlers by path and method. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from millgw.control.parser import ControlRequest
from millgw.http.message import Answer, text_answer

OK, UNAVAILABLE = 200, 503

Handler = Callable[[ControlRequest], Answer]


def yes_no_answer(holds: bool, text: str) -> Answer:
    """200 or 503 by whether `text` holds, with `text` or its negation as the body."""
    return text_answer(OK if holds else UNAVAILABLE, text if holds else f"not {text}")


class CallTable:
    """Handlers by path and method."""

    def __init__(self) -> None:
        self.paths: dict[str, dict[str, Handler]] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        self.paths.setdefault(path, {})[method] = handler

    def __call__(self, request: ControlRequest) -> Answer:
        methods = self.paths.get(request.path)
        if methods is None:
            return text_answer(404, "no such call")
        handler = methods.get(request.method)
        if handler is None:
            allow = ", ".join(sorted(methods)).encode()
            return text_answer(405, "not by this method", b"Allow: %b\r\n" % allow)
        return handler(request)
