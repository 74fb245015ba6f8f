"""What two regions that lose each other cost the list of peers, in virtual time.

    python -m benchmarks.peers_parted [--nodes 60,200,670] [--seconds 180] [--loss 0] [--seeds 3]

Each run: all nodes know each other; the second half is cut off from the first for `seconds`; then the
network is whole again. Bytes are those of sealed messages, of a node a second: at rest, while cut off, in the
minute after. `held dead` is the share of the other half that a node holds to be dead at the end of the cut
(mean of all nodes), `own dead` the same of its own half, `joined s` the time until all know each other again.
Medians over the seeds, with the least and the most of them.
"""

from __future__ import annotations

import sys
import time
from dataclasses import astuple, dataclass
from types import SimpleNamespace
from typing import Any

import click

from benchmarks.flags import words
from benchmarks.peers import Fleet
from benchmarks.tables import head, row, spans
from millgw.cli.tree import run as carry_out
from millgw.peers.swim import Status, Swim, SwimSettings

REST = 30.0  # s in which the bytes at rest are counted
COLUMNS = ("held dead", "own dead", "joined s", "played s")
AFTER = 60.0  # s after the cut in which bytes are counted


@dataclass(slots=True, frozen=True)
class Parted:
    """One run, in the order of the columns."""

    rest_bytes: float
    parted_bytes: float
    after_bytes: float
    held_dead: float
    own_dead: float
    joined_s: float
    played_s: float


def share_held_dead(nodes: list[Swim], of: list[Swim]) -> float:
    """The share of some nodes that others hold to be dead, mean of the latter."""
    pairs = [(node, other) for node in nodes for other in of if other is not node]
    return sum(node.status(other.name) is Status.DEAD for node, other in pairs) / len(pairs)


def bytes_a_node(fleet: Fleet, seconds: float) -> float:
    """Bytes that a node sends a second, from now on."""
    before = fleet.network.bytes
    fleet.network.run(fleet.network.now + seconds * 1000)
    return (fleet.network.bytes - before) / len(fleet.nodes) / seconds


def run(count: int, seconds: float, loss: float, seed: int) -> Parted:
    """One cut of the network and its end."""
    begun = time.perf_counter()
    fleet = Fleet.start(count, loss, seed, SwimSettings().suspicion_factor)
    fleet.periods(fleet.all_known)
    rest = bytes_a_node(fleet, REST)
    first, second = fleet.nodes[: count // 2], fleet.nodes[count // 2 :]
    fleet.network.partition([node.name for node in second])
    parted = bytes_a_node(fleet, seconds)
    held_dead = share_held_dead(first, second)
    own_dead = share_held_dead(first, first)
    fleet.network.partition()
    whole_at = fleet.network.now
    before = fleet.network.bytes
    joined = fleet.periods(fleet.all_known) * fleet.terms.period / 1000
    left = AFTER - (fleet.network.now - whole_at) / 1000
    if left > 0:
        fleet.network.run(fleet.network.now + left * 1000)
    after_s = (fleet.network.now - whole_at) / 1000
    after = (fleet.network.bytes - before) / count / after_s
    return Parted(rest, parted, after, held_dead, own_dead, joined, time.perf_counter() - begun)


@click.command(help=words(__doc__))
@click.option("--nodes", default="60,200,670", show_default=True)
@click.option("--seconds", type=float, default=180.0, show_default=True)
@click.option("--loss", type=float, default=0.0, show_default=True)
@click.option("--seeds", type=int, default=3, show_default=True)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print(head("nodes", "rest bytes/s", "parted bytes/s", "after bytes/s", *COLUMNS))
    for count in map(int, args.nodes.split(",")):
        runs = [astuple(run(count, args.seconds, args.loss, seed)) for seed in range(args.seeds)]
        print(row(count, *spans(runs)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.peers_parted"))
