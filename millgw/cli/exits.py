"""What a command's end means, and bad input as one line."""

from __future__ import annotations

import click

HELD = 0
NOT_HELD = 1
BAD_INPUT = 2
INCONCLUSIVE = 3  # it could not be told: late itself, too busy, nobody answered
FAULT = 4  # the program itself failed
INTERRUPTED = 130  # SIGINT, as shells say it

MEANING = "Exit: 0 it held, 1 it did not, 2 bad input, 3 inconclusive."


class BadInput(click.ClickException):
    """What was given can't be used; its text names it in one line."""

    exit_code = BAD_INPUT


def line(error: click.ClickException) -> str:
    """One line that names what was bad, whatever line breaks are in it."""
    text = " ".join(error.format_message().split())
    # What was given is repeated, so it is made plain: no byte of it is a terminal's to obey.
    return "millgw: " + "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
