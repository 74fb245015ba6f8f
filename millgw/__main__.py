"""The one command line: `python -m millgw COMMAND`, or `millgw COMMAND` where it is installed."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from millgw.sidecar.commands import run_daemon_command


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out a command line. Exit: 0 held, 1 did not hold, 2 bad input, 3 inconclusive."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    # The daemon must not load what only tools need.
    code = run_daemon_command(arguments)
    if code is not None:
        return code
    try:
        from millgw.cli.tree import run
    except ModuleNotFoundError as missing:
        if (missing.name or "").split(".")[0] != "click":
            raise
        print("millgw: click is missing: pip install -r requirements-operator.txt", file=sys.stderr)
        return 2
    return run(arguments)


def entry() -> None:
    """Be the process: standard output may be closed by its reader at any time."""
    arguments = sys.argv[1:]
    if arguments[:1] != ["serve"]:
        from millgw.cli.streams import forgiving

        forgiving()
    try:
        code = main(arguments)
    except KeyboardInterrupt:  # before the command itself could take it
        code = 130
    sys.stdout.flush()
    sys.exit(code)


if __name__ == "__main__":
    entry()
