"""The commands `serve` and `version`, parsed without click, which a daemon's environment may not have."""

from __future__ import annotations

import os
from collections.abc import Sequence


def run_daemon_command(arguments: Sequence[str]) -> int | None:
    """Run `serve [--operator FILE] [--log KIND]` or `version`; None for any other command line.

    Anything else (`serve --help`, a misspelt option) is left to the full command line parser.
    """
    if list(arguments) == ["version"]:
        print(describe_version())
        return 0
    if arguments[:1] != ["serve"]:
        return None
    options: dict[str, str] = {}
    remaining = list(arguments[1:])
    while remaining:
        name, equals, value = remaining.pop(0).partition("=")
        if name not in ("--operator", "--log") or not (equals or remaining):
            return None
        options[name] = value if equals else remaining.pop(0)
    return serve(options.get("--operator"), options.get("--log"))


def describe_version() -> str:
    """The version, and whether compiled modules are in use."""
    from millgw import VERSION, compiled

    return f"otterslip {VERSION}, {compiled.describe()}"


def serve(operator: str | None, log: str | None) -> int:
    """Run one sidecar until it is stopped; returns the exit code. None keeps the environment's value."""
    from millgw.sidecar.__main__ import LOG_VARIABLE, main
    from millgw.sidecar.assembly import OPERATOR_VARIABLE

    if operator is not None:
        os.environ[OPERATOR_VARIABLE] = operator
    if log is not None:
        os.environ[LOG_VARIABLE] = log
    return main()
