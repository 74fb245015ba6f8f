"""The one command line: `python -m millgw COMMAND`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out a command line. Exit: 0 held, 1 did not hold, 2 bad input, 3 inconclusive."""
    parser = argparse.ArgumentParser(
        prog="python -m millgw", description="otterslip, the load-balancing sidecar"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="one sidecar, configured by BALANCER_CONFIG and its like")
    serve.set_defaults(main=_serve)
    try:
        from millgw.rehearsal import command as rehearse
    except ModuleNotFoundError as missing:
        if (missing.name or "millgw").split(".")[0] == "millgw":
            raise
        lacking = commands.add_parser("rehearse", help="needs the tools, which are not installed")
        lacking.add_argument("rest", nargs=argparse.REMAINDER)
        lacking.set_defaults(main=_without(missing.name or ""))
    else:
        rehearse.add_parser(commands)
    args = parser.parse_args(argv)
    code: int = args.main(args)
    return code


def _serve(_: argparse.Namespace) -> int:
    from millgw.sidecar.__main__ import main as serve

    return serve()


def _without(missing: str) -> Callable[[argparse.Namespace], int]:
    def main(_: argparse.Namespace) -> int:
        print(f"millgw: {missing} is missing: pip install -r requirements-tools.txt", file=sys.stderr)
        return 2

    return main


if __name__ == "__main__":
    sys.exit(main())
