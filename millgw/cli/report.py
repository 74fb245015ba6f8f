"""Commands that report: every one takes `--json` and `--quiet`, and says the same in both forms."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import click

from millgw.cli.kept import Kept


class Out:
    """Where one command's report goes."""

    def __init__(self, command: str, to: Kept | None, quiet: bool) -> None:
        self.command = command
        self.to = to
        self.quiet = quiet or (to is not None and to.path == "-")
        """Whether nothing is said for people."""

    def say(self, line: str) -> None:
        """A line for people."""
        if not self.quiet:
            click.echo(line)

    def end(
        self,
        code: int,
        told: dict[str, Any],
        lines: Iterable[str] = (),
        show: Callable[[], None] | None = None,
    ) -> int:
        """Report, for people by lines or `show`; the code. JSON is one object, `command` and `exit` first."""
        if not self.quiet:
            for one in lines:
                click.echo(one)
            if show is not None:
                show()
        if self.to is not None:
            self.to.write(
                json.dumps({"command": self.command, "exit": 0} | told | {"exit": code}, indent=1) + "\n"
            )
        return code


class Reporting(click.Command):
    """A command whose callback is given `out` and returns its exit code."""

    json_file = False  # whether --json names a file; else it is for standard output

    def __init__(self, *args: Any, examples: Sequence[str] = (), **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.examples = tuple(examples)
        if self.json_file:
            told = click.Option(["--json"], metavar="FILE", help="The whole report; - for standard output.")
        else:
            told = click.Option(["--json"], is_flag=True, help="One JSON object, for other programs.")
        self.params += [told, click.Option(["--quiet", "-q"], is_flag=True, help="Only the exit code.")]

    def invoke(self, ctx: click.Context) -> Any:
        asked, quiet = ctx.params.pop("json"), ctx.params.pop("quiet")
        path = asked if self.json_file else "-" if asked else None
        command = ctx.command_path.partition(" ")[2]
        out = Out(command, None if path is None else Kept(path, "--json"), quiet)
        ctx.params["out"] = out
        try:
            return super().invoke(ctx)
        finally:
            if out.to is not None:
                out.to.drop()

    def format_epilog(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        super().format_epilog(ctx, formatter)
        show_examples(self.examples, formatter)


class FileReporting(Reporting):
    """Its report may be long: `--json FILE`."""

    json_file = True


class Serving(click.Command):
    """A command that runs until it is told to end, or whose output is data: it reports nothing by itself."""

    def __init__(self, *args: Any, examples: Sequence[str] = (), **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.examples = tuple(examples)

    def format_epilog(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        super().format_epilog(ctx, formatter)
        show_examples(self.examples, formatter)


def show_examples(examples: Sequence[str], formatter: click.HelpFormatter) -> None:
    """Below a command's help: what to type, as it is."""
    if examples:
        with formatter.section("Example" if len(examples) == 1 else "Examples"):
            for example in examples:
                formatter.write(f"{'':{formatter.current_indent}}millgw {example}\n")
