"""What each call of the door does. No I/O: asked and answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from millgw.control.core import Asked
from millgw.message import Answer, Content

PLAIN: Final = b"Content-Type: text/plain\r\n"
YES, NO = 200, 503

Call = Callable[[Asked], Answer]


def said(yes: bool, text: str) -> Answer:
    """Yes or no, and for people whether what `text` says holds."""
    return Answer(YES if yes else NO, Content(PLAIN, f"{'' if yes else 'not '}{text}\n".encode()))


class Calls:
    """The calls by path and method."""

    def __init__(self) -> None:
        self.paths: dict[str, dict[str, Call]] = {}

    def add(self, method: str, path: str, call: Call) -> None:
        self.paths.setdefault(path, {})[method] = call

    def __call__(self, asked: Asked) -> Answer:
        methods = self.paths.get(asked.path)
        if methods is None:
            return Answer(404, Content(PLAIN, b"no such call\n"))
        call = methods.get(asked.method)
        if call is None:
            allow = ", ".join(sorted(methods)).encode()
            return Answer(405, Content(PLAIN + b"Allow: %b\r\n" % allow, b"not by this method\n"))
        return call(asked)
