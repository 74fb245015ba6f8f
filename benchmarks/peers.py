"""What keeping the list of peers costs, and how soon a death or a join is known, in virtual time.

    python -m benchmarks.peers [--nodes 60,400] [--loss 0,0.05,0.2] [--seeds 3] [--rest 60] [--suspicion 2]

Each run: all nodes know of one and come to know all; then nothing happens for `rest` periods of 1 s (who is
held to be dead now is a false death); then one node dies. Bytes are those of sealed messages as msgpack words
them. `played` is what it took this machine.
Rows are medians over the seeds.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import click
import msgspec

from benchmarks.flags import words
from millgw.cli.tree import run as carry_out
from millgw.peers.message_auth import HEADER_BYTES
from millgw.peers.swim import Message, Status, Swim, SwimSettings, agree
from millgw.standins.network import Network

AROUND = 40  # bytes of a sealed message's sender, start and number
MOST = 400  # periods after which a run is given up


def size(message: Message) -> int:
    return HEADER_BYTES + AROUND + len(msgspec.msgpack.encode(message))


@dataclass(slots=True, frozen=True)
class Fleet:
    """Nodes that were all started at once and know of one, on a network in virtual time."""

    network: Network[Message]
    nodes: list[Swim]
    terms: SwimSettings

    @classmethod
    def start(cls, count: int, loss: float, seed: int, suspicion: float) -> Fleet:
        """`loss` is the share of datagrams that never come, `suspicion` times log2 of the nodes."""
        rng = random.Random(seed)
        terms = SwimSettings(suspicion_factor=suspicion)
        network: Network[Message] = Network(seed, loss=loss, size=size)
        nodes = [Swim(f"n{i}", 1, rng.getrandbits(32), terms) for i in range(count)]
        for node in nodes:
            node.join(0.0, ["n0"] if node is not nodes[0] else [])
            network.add(node, rng.uniform(0.0, terms.period))
        return cls(network, nodes, terms)

    def periods(self, holds: Callable[[], bool]) -> float:
        """How many periods pass until a condition holds, at most `MOST`."""
        since = self.network.now
        while not holds() and self.network.now < since + MOST * self.terms.period:
            self.network.run(self.network.now + self.terms.period / 4)
        return (self.network.now - since) / self.terms.period

    def all_known(self) -> bool:
        """Whether all nodes hold all others to be there."""
        return agree(self.nodes, {node.name for node in self.nodes})


def run(count: int, loss: float, seed: int, rest: int, suspicion: float) -> list[float]:
    """Periods until all are known, bytes a node and second at rest, false suspicions and deaths a node and
    minute, periods until one, and all, hold the dead one to be dead; seconds that it took to play."""
    begun = time.perf_counter()
    fleet = Fleet.start(count, loss, seed, suspicion)
    network, nodes, terms, periods = fleet.network, fleet.nodes, fleet.terms, fleet.periods
    known = periods(fleet.all_known)
    before, wrong = network.bytes, {Status.SUSPECT: 0, Status.DEAD: 0}
    held = set[tuple[str, str, Status]]()
    for _ in range(rest):
        network.run(network.now + terms.period)
        now: set[tuple[str, str, Status]] = {
            (node.name, name, m.update.status)
            for node in nodes
            for name, m in node.members.items()
            if m.update.status is not Status.ALIVE
        }
        for *_, status in now - held:
            wrong[status] += 1
        held = now
    cost = (network.bytes - before) / count / rest
    network.kill(nodes.pop().name)
    dead = f"n{count - 1}"
    first = periods(lambda: any(n.status(dead) is Status.DEAD for n in nodes))
    every = first + periods(lambda: all(n.status(dead) is Status.DEAD for n in nodes))
    a_minute = 60 / rest / count
    took = time.perf_counter() - begun
    return [known, cost, wrong[Status.SUSPECT] * a_minute, wrong[Status.DEAD] * a_minute, first, every, took]


@click.command(help=words(__doc__))
@click.option("--nodes", default="60,400", show_default=True)
@click.option("--loss", default="0,0.05,0.2", show_default=True)
@click.option("--seeds", type=int, default=3, show_default=True)
@click.option("--rest", type=int, default=60, show_default=True)
@click.option(
    "--suspicion", type=float, default=SwimSettings().suspicion_factor, help="times log2 of the nodes"
)
def main(**given: Any) -> int:
    args = SimpleNamespace(**given)
    print("| nodes | loss | all known s | bytes/s | suspicions | false deaths | first s | all s | played |")
    print("| --- " * 9 + "|")
    for count in map(int, args.nodes.split(",")):
        for loss in map(float, args.loss.split(",")):
            runs = [run(count, loss, seed, args.rest, args.suspicion) for seed in range(args.seeds)]
            cells = [f"{statistics.median(figures):.2f}" for figures in zip(*runs, strict=True)]
            print(f"| {count} | {loss:g} | {' | '.join(cells)} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(carry_out(sys.argv[1:], main, "benchmarks.peers"))
