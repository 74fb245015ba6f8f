"""The one command line: `python -m millgw COMMAND`."""

from __future__ import annotations

import argparse
import importlib
import os
import sys
from collections.abc import Callable, Sequence

from millgw import VERSION, compiled
from millgw.build import add_parser as add_build

FROM_TOOLS = (
    ("millgw.membership.command", "add_parsers", ("register", "members"), "requirements.txt"),
    ("millgw.operator.command", "add_parsers", ("check", "route"), "requirements-operator.txt"),
    ("millgw.store.command", "add_parser", ("store",), "requirements-operator.txt"),
    ("millgw.standins.coordinator.command", "add_parser", ("coordinator",), "requirements-tools.txt"),
    ("millgw.load.command", "add_parser", ("load",), "requirements-tools.txt"),
    ("millgw.rehearsal.command", "add_parser", ("rehearse",), "requirements-tools.txt"),
)
"""Commands that need more than the daemon: module, what adds them, their names, what brings the rest."""


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out a command line. Exit: 0 held, 1 did not hold, 2 bad input, 3 inconclusive."""
    parser = argparse.ArgumentParser(
        prog="python -m millgw", description="otterslip, the load-balancing sidecar"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="one sidecar, configured by BALANCER_CONFIG and its like")
    serve.add_argument("--operator", metavar="FILE", help="the operator's file (BALANCER_OPERATOR)")
    serve.add_argument("--log", choices=("text", "json"), help="how events are told (BALANCER_LOG)")
    serve.set_defaults(main=_serve)
    add_build(commands)
    version = commands.add_parser("version", help="which version this is, and whether compiled modules serve")
    version.set_defaults(main=_version)
    words = list(sys.argv[1:] if argv is None else argv)
    if words[:1] != ["serve"]:  # the daemon must not load what only tools need
        for module, add, names, brings in FROM_TOOLS:
            _add(commands, module, add, names, brings)
    args = parser.parse_args(words)
    code: int = args.main(args)
    return code


def _add(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    module: str,
    add: str,
    names: tuple[str, ...],
    brings: str,
) -> None:
    try:
        getattr(importlib.import_module(module), add)(commands)
    except ModuleNotFoundError as missing:
        if (missing.name or "millgw").split(".")[0] == "millgw":
            raise
        for name in names:
            lacking = commands.add_parser(name, help=f"needs {missing.name}, which is not installed")
            lacking.add_argument("rest", nargs=argparse.REMAINDER)
            lacking.set_defaults(main=_without(missing.name or "", brings))


def _version(args: argparse.Namespace) -> int:
    print(f"otterslip {VERSION}, {compiled.describe()}")
    return 0


def _serve(args: argparse.Namespace) -> int:
    from millgw.sidecar.__main__ import LOG
    from millgw.sidecar.__main__ import main as serve
    from millgw.sidecar.parts import OPERATOR

    if args.operator is not None:
        os.environ[OPERATOR] = args.operator
    if args.log is not None:
        os.environ[LOG] = args.log
    return serve()


def _without(missing: str, brings: str) -> Callable[[argparse.Namespace], int]:
    def main(_: argparse.Namespace) -> int:
        print(f"millgw: {missing} is missing: pip install -r {brings}", file=sys.stderr)
        return 2

    return main


if __name__ == "__main__":
    sys.exit(main())
