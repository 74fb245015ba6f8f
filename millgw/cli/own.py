"""Commands that are of no part in particular: `serve`, `version`, `build`, `completion`, `events`."""

from __future__ import annotations

import sys
import time
from logging import getLevelName

import click
from click.shell_completion import get_completion_class

from millgw import VERSION, compiled
from millgw.build import BuildError
from millgw.build import build as make
from millgw.cli.exits import HELD, NOT_HELD, BadInput
from millgw.cli.report import Out, Reporting, Serving
from millgw.log.rendering import FORMATS
from millgw.log.table import EVENTS
from millgw.sidecar.commands import describe_version
from millgw.sidecar.commands import serve as serve_now


@click.command(cls=Serving, examples=["serve --operator deploy/operator.toml --log json"])
@click.option("--operator", metavar="FILE", help="The operator's file (BALANCER_OPERATOR).")
@click.option("--log", type=click.Choice(FORMATS), help="How events are told (BALANCER_LOG).")
def serve(operator: str | None, log: str | None) -> int:
    """One sidecar, configured by BALANCER_CONFIG and its like."""
    return serve_now(operator, log)


@click.command(cls=Reporting, examples=["version", "version --json"])
def version(out: Out) -> int:
    """Which version this is, and whether compiled modules serve."""
    return out.end(HELD, {"version": VERSION, "modules": compiled.describe()}, [describe_version()])


@click.command(cls=Reporting, examples=["build --if-possible"])
@click.option("--if-possible", is_flag=True, help="End with 0 where there is no compiler.")
@click.option("--force", is_flag=True, help="Compile again what is there.")
def build(out: Out, if_possible: bool, force: bool) -> int:
    """Compile the modules on a call's way, in place.

    Exit: 0 compiled or already so, 1 it can't be done here (the sources serve as they are; with --if-possible
    this is 0 too), 2 bad input.
    """
    begun, count = time.monotonic(), len(compiled.MODULES)
    try:
        folder = make(compiled.COMPILED_FOLDER, compiled.PACKAGE, force)
    except BuildError as error:
        print(f"millgw: not compiled: {error}; the sources serve as they are", file=sys.stderr)
        return out.end(HELD if if_possible else NOT_HELD, {"compiled": 0, "why": str(error)})
    except OSError as error:
        raise BadInput(str(error)) from None
    line = f"compiled {count} modules in {time.monotonic() - begun:.0f} s: {folder.name}"
    return out.end(HELD, {"compiled": count, "folder": folder.name}, [line])


@click.command(cls=Serving, examples=["completion bash >~/.local/share/bash-completion/completions/millgw"])
@click.argument("shell", type=click.Choice(("bash", "zsh", "fish")))
def completion(shell: str) -> int:
    """Print what makes SHELL complete the commands and options of `millgw`."""
    from millgw.cli.tree import TREE

    found = get_completion_class(shell)
    assert found is not None, "the choices are click's own"
    click.echo(found(TREE, {}, "millgw", "_MILLGW_COMPLETE").source())
    return HELD


@click.command(cls=Reporting, examples=["events", "events --json"])
def events(out: Out) -> int:
    """All events of the log, as the table that docs/logging.md holds."""
    rows = [
        {"event": name, "level": getLevelName(kind.level).lower(), "fields": kind.fields, "means": kind.means}
        for name, kind in EVENTS.items()
    ]
    return out.end(HELD, {"events": rows}, page())


def page() -> list[str]:
    """The table's lines, in Markdown."""
    head = ["| event | level | fields | it means |", "| --- | --- | --- | --- |"]
    return head + [
        f"| `{name}` | {getLevelName(kind.level).lower()} | {', '.join(kind.fields)} | {kind.means} |"
        for name, kind in EVENTS.items()
    ]
