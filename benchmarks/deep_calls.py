"""What retries make of a call that is many services deep, one of which is slow, in virtual time.

    python -m benchmarks.deep_calls [--tiers 6,12,25] [--deadline 2000,8000] [--seeds 3]

Each tier's callers decide by the daemon's own module (`millgw.scale.chain`). The slow tier is the last but
one: it answers 12 times as slowly as before and fails half of its calls for half of the time. Printed are
the parts of the calls that were served before and meanwhile, and the attempts at the slow tier and at the
last one for each call of the first, meanwhile: medians over the seeds, with the least and the most.
"""

from __future__ import annotations

import sys
from dataclasses import astuple, dataclass
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from benchmarks.tables import row, spans
from millgw.cli.tree import run as carry_out
from millgw.scale import chain


@dataclass(slots=True, frozen=True)
class Row:
    """One run, in the order of the columns."""

    served_well: float
    served_ill: float
    slow_attempts: float
    last_attempts: float


def play(tiers: int, deadline: float, seed: int) -> Row:
    """One chain."""
    shape = chain.Shape(tiers=tiers, slow=tiers - 2, deadline=deadline)
    figures = chain.play(shape, seed)
    first = max(1, figures.tiers[0].calls_ill)
    slow, last = figures.tiers[-2], figures.tiers[-1]
    return Row(figures.served_well, figures.served_ill, slow.attempts_ill / first, last.attempts_ill / first)


@click.command(help=words(__doc__))
@click.option("--tiers", default="6,12,25", show_default=True)
@click.option("--deadline", default="2000,8000", show_default=True, help="ms, of a call at the first tier")
@click.option("--seeds", type=int, default=3, show_default=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print("| tiers | deadline ms | served, all well | served, one slow | attempts there | at the last |")
    print("| --- " * 6 + "|")
    for tiers in map(int, args.tiers.split(",")):
        for deadline in map(float, args.deadline.split(",")):
            runs = [astuple(play(tiers, deadline, seed)) for seed in range(1, args.seeds + 1)]
            print(row(tiers, f"{deadline:g}", *spans(runs, 3)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.deep_calls"))
