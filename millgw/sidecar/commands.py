"""What a daemon's environment carries out without the command line's library: `serve` and `version`."""

from __future__ import annotations

import os
from collections.abc import Sequence


def run_daemon_command(words: Sequence[str]) -> int | None:
    """Carry out `serve [--operator FILE] [--log KIND]` or `version`; None for any other command line.

    What is not plainly one of these (`serve --help`, a misspelt option) is left to the whole command line.
    """
    if list(words) == ["version"]:
        print(describe())
        return 0
    if words[:1] != ["serve"]:
        return None
    given: dict[str, str] = {}
    rest = list(words[1:])
    while rest:
        name, equals, value = rest.pop(0).partition("=")
        if name not in ("--operator", "--log") or not (equals or rest):
            return None
        given[name] = value if equals else rest.pop(0)
    return serve(given.get("--operator"), given.get("--log"))


def describe() -> str:
    """Which version this is, and whether compiled modules serve."""
    from millgw import VERSION, compiled

    return f"otterslip {VERSION}, {compiled.describe()}"


def serve(operator: str | None, log: str | None) -> int:
    """Be one sidecar until it is told to end; the exit code. None leaves what the environment says."""
    from millgw.sidecar.__main__ import LOG, main
    from millgw.sidecar.parts import OPERATOR

    if operator is not None:
        os.environ[OPERATOR] = operator
    if log is not None:
        os.environ[LOG] = log
    return main()
