"""Control instances under random partitions, stops and restarts, while versions are proposed."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator

import pytest

from millgw.configuration.control_client import Outcome, propose
from millgw.configuration.document import Change
from tests.configuration_rig import Cluster, Watcher
from tests.kinds import pure_run_only
from tests.rig import run, wait_until

pytestmark = pure_run_only

FAULT_DURATION = 6.0  # s of random faults
PROPOSAL_TIMEOUT = 1.5  # s; timeout of one proposal


class Proposer:
    """Proposes numbered entries one after another and records their outcomes."""

    def __init__(self, cluster: Cluster, first: int, step: int) -> None:
        self.cluster = cluster
        self.numbers = range(first, 1_000_000, step)
        self.committed: dict[int, int] = {}
        self.rejected: set[int] = set()
        self.unknown: set[int] = set()
        self.stopped = False

    async def run(self) -> None:
        addresses = list(self.cluster.voters.values())
        for number in self.numbers:
            if self.stopped:
                return
            change = Change(f"e{number}", {"n": number})
            result = await propose(addresses, [change], "a", "", None, PROPOSAL_TIMEOUT)
            if result.outcome is Outcome.COMMITTED:
                assert result.index is not None
                self.committed[number] = result.index
            elif result.outcome is Outcome.UNKNOWN:
                self.unknown.add(number)
            else:
                self.rejected.add(number)


def random_partition(rng: random.Random, names: list[str]) -> Iterator[list[str]]:
    """A random partition into two groups."""
    shuffled = rng.sample(names, len(names))
    cut = rng.randrange(1, len(names))
    yield shuffled[:cut]
    yield shuffled[cut:]


async def inject_fault(rng: random.Random, cluster: Cluster) -> None:
    """Partition or heal the network, or stop or restart an instance."""
    names = list(cluster.voters)
    ended = [name for name in names if name not in cluster.running]
    match rng.choice(("part", "part", "join", "end", "start", "start")):
        case "part":
            cluster.network.partition(*random_partition(rng, names))
        case "join":
            cluster.network.heal()
        case "end" if len(ended) < 2:
            cluster.stop(rng.choice(sorted(cluster.running)))
        case "start" if ended:
            await cluster.restart(rng.choice(ended))
    await asyncio.sleep(rng.uniform(0.1, 0.8))


async def reopen_watches(cluster: Cluster, rng: random.Random, watchers: list[Watcher]) -> None:
    """Reopen each closed watch at a random instance, from the document it has."""
    while True:
        for number, watcher in enumerate(watchers):
            if watcher.ended and cluster.running:
                name = rng.choice(sorted(cluster.running))
                again = Watcher(watcher.name, document=watcher.document)
                try:
                    await again.open(cluster.voters[name])
                except OSError:
                    continue
                watchers[number] = again
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_under_random_faults_acknowledged_versions_are_neither_lost_nor_duplicated(seed: int) -> None:
    async def test() -> None:
        rng = random.Random(seed)
        async with Cluster(5, keep=20) as cluster:
            await cluster.wait_leader()
            watchers = [await Watcher(f"n{n}").open(at) for n, at in enumerate(cluster.voters.values())]
            watching = asyncio.create_task(reopen_watches(cluster, rng, watchers))
            proposers = [Proposer(cluster, first, 2) for first in (0, 1)]
            proposing = [asyncio.create_task(proposer.run()) for proposer in proposers]
            end = time.monotonic() + FAULT_DURATION
            while time.monotonic() < end:
                await inject_fault(rng, cluster)
            cluster.network.heal()
            for name in cluster.voters:
                if name not in cluster.running:
                    await cluster.restart(name)
            for proposer in proposers:
                proposer.stopped = True
            await asyncio.gather(*proposing)
            last = await _settled(cluster)
            await wait_until(lambda: all(watcher.index == last for watcher in watchers))
            watching.cancel()

            committed = {number: index for p in proposers for number, index in p.committed.items()}
            unknown = {number for p in proposers for number in p.unknown}
            print(f"{len(committed)} committed, {len(unknown)} unknown, last version {last}")
            assert committed
            assert len(set(committed.values())) == len(committed), "each index once"
            document = next(iter(cluster.running.values())).service.history.document
            there = {int(name[1:]) for name in document.entries}
            assert set(committed) <= there, "no acknowledged version is lost"
            assert there <= set(committed) | unknown, "no rejected version is present"
            assert document.index == len(there), "no version is present twice"
            assert {watcher.document.digest() for watcher in watchers} == {document.digest()}
            assert all(not instance.failed.done() for instance in cluster.running.values())

    run(test)


async def _settled(cluster: Cluster) -> int:
    """Wait until all instances have the same committed version and log end; returns that version."""
    leader = await cluster.wait_leader()

    def same() -> bool:
        histories = [instance.service.history for instance in cluster.running.values()]
        logs = [instance.replica.log for instance in cluster.running.values()]
        ends = {history.index for history in histories} | {log.last_index for log in logs}
        return len(ends) == 1

    await wait_until(same)
    return leader.service.history.index
