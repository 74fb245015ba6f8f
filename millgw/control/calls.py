"""What each call of the door does. No I/O: asked and answered."""

from __future__ import annotations

from collections.abc import Callable

from millgw.control.core import Asked
from millgw.http.message import Answer, plain

YES, NO = 200, 503

Call = Callable[[Asked], Answer]


def said(yes: bool, text: str) -> Answer:
    """Yes or no, and for people whether what `text` says holds."""
    return plain(YES if yes else NO, text if yes else f"not {text}")


class Calls:
    """The calls by path and method."""

    def __init__(self) -> None:
        self.paths: dict[str, dict[str, Call]] = {}

    def add(self, method: str, path: str, call: Call) -> None:
        self.paths.setdefault(path, {})[method] = call

    def __call__(self, asked: Asked) -> Answer:
        methods = self.paths.get(asked.path)
        if methods is None:
            return plain(404, "no such call")
        call = methods.get(asked.method)
        if call is None:
            allow = ", ".join(sorted(methods)).encode()
            return plain(405, "not by this method", b"Allow: %b\r\n" % allow)
        return call(asked)
