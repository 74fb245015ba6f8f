"""The one command line: its tree, whose commands are loaded when they are asked for."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence
from typing import NamedTuple

import click

from millgw.cli import exits
from millgw.cli.report import Serving


class Lazy(NamedTuple):
    """Where a command is, and which file of requirements brings what it needs."""

    module: str
    name: str  # of the command in that module
    help: str
    brings: str


OPERATOR, TOOLS = "requirements-operator.txt", "requirements-tools.txt"

COMMANDS = {
    "serve": Lazy("millgw.cli.own", "serve", "One sidecar, configured by BALANCER_CONFIG.", OPERATOR),
    "version": Lazy("millgw.cli.own", "version", "Which version this is, which modules serve.", OPERATOR),
    "completion": Lazy("millgw.cli.own", "completion", "Completion of commands in a shell.", OPERATOR),
    "events": Lazy("millgw.cli.own", "events", "All events of the log and what they mean.", OPERATOR),
    "build": Lazy("millgw.cli.own", "build", "Compile the modules on a call's way.", OPERATOR),
    "register": Lazy("millgw.membership.command", "register", "Keep a server's node as it serves.", OPERATOR),
    "members": Lazy("millgw.membership.command", "members", "What a coordinator's nodes mean.", OPERATOR),
    "check": Lazy("millgw.operator.command", "check", "Check an operator's file.", OPERATOR),
    "route": Lazy("millgw.operator.command", "route", "Which route a request takes, and why.", OPERATOR),
    "store": Lazy("millgw.store.command", "store", "Check, show and repair a store.", OPERATOR),
    "configuration": Lazy(
        "millgw.configuration.command", "configuration", "The fleet's configuration.", OPERATOR
    ),
    "top": Lazy("millgw.top.command", "top", "Running sidecars, by their operators' doors.", TOOLS),
    "coordinator": Lazy(
        "millgw.standins.coordinator.command", "coordinator", "A stand-in coordinator, with faults.", TOOLS
    ),
    "load": Lazy("millgw.load.command", "load", "Open-loop load, and reports that compare.", TOOLS),
    "rehearse": Lazy("millgw.rehearsal.command", "rehearse", "Play failures, audit the four rules.", TOOLS),
    "scale": Lazy("millgw.scale.command", "scale", "A large fleet, held to its targets.", TOOLS),
}  # fmt: skip


class Tree(click.Group):
    """Knows its commands by name; a command that lacks a package says which, in one line."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        lazy = COMMANDS.get(name)
        if lazy is None:
            return None
        try:
            found: click.Command = getattr(importlib.import_module(lazy.module), lazy.name)
        except ModuleNotFoundError as missing:
            package = (missing.name or "millgw").split(".")[0]
            if package == "millgw":
                raise
            return _without(name, package, lazy.brings)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        # From the table: help must not load what every command needs.
        with formatter.section("Commands"):
            formatter.write_dl([(name, lazy.help) for name, lazy in COMMANDS.items()])


def _without(name: str, missing: str, brings: str) -> click.Command:
    def refuse(**_: object) -> int:
        raise exits.BadInput(f"{missing} is missing: pip install -r {brings}")

    return Serving(
        name, callback=refuse, add_help_option=False, context_settings={"ignore_unknown_options": True},
        params=[click.Argument(["rest"], nargs=-1, type=click.UNPROCESSED)],
    )  # fmt: skip


TREE = Tree(
    "millgw",
    help="otterslip, the load-balancing sidecar.",
    epilog=f"{exits.MEANING} `millgw COMMAND --help` has an example of each.",
    context_settings={"help_option_names": ["-h", "--help"]},
)


def run(words: Sequence[str], command: click.Command = TREE, name: str = "millgw") -> int:
    """Carry out a command line; the exit code."""
    try:
        code = command.main(list(words), prog_name=name, standalone_mode=False)
        return code if isinstance(code, int) else exits.HELD
    except click.ClickException as error:
        print(exits.line(error), file=sys.stderr)
        return exits.BAD_INPUT
    except click.Abort:
        print("millgw: interrupted", file=sys.stderr)
        return exits.INTERRUPTED
