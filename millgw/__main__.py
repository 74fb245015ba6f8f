"""Command line entry point: `python -m millgw COMMAND`, or `millgw COMMAND` once installed."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from millgw.sidecar.commands import run_daemon_command


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command line. Exit code: 0 success, 1 failure or failed check, 2 bad input, 3 inconclusive."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    # Tried first so that the daemon does not load modules that only the tools need.
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
    """Process entry point. The reader of standard output may close it at any time."""
    arguments = sys.argv[1:]
    if arguments[:1] != ["serve"]:
        from millgw.cli.streams import forgiving

        forgiving()
    try:
        code = main(arguments)
    except KeyboardInterrupt:  # before the command installed its own handler
        code = 130
    sys.stdout.flush()
    sys.exit(code)


if __name__ == "__main__":
    entry()
