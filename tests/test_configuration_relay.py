"""Tests of the relay: it follows voters, serves watches and reports, and keeps the last good document."""

from __future__ import annotations

import asyncio
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from millgw.configuration.apply import Entries
from millgw.configuration.client import Client
from millgw.configuration.document import Document
from millgw.configuration.history import History
from millgw.configuration.relay import Relay, add_document, changes_between
from millgw.platform.config import Address
from millgw.standins.address import free_address
from tests.configuration_rig import Cluster, Response, Watcher, address_of, propose, send_request
from tests.kinds import pure_run_only
from tests.rig import run, wait_until

pytestmark = pure_run_only

ENTRIES = st.dictionaries(st.sampled_from("abc"), st.fixed_dictionaries({"n": st.integers(0, 2)}))


async def start_relay(address: Address, cluster: Cluster, folder: Path) -> Relay:
    relay = Relay("r1", address, list(cluster.voters.values()), folder, 1)
    await relay.start()
    return relay


async def commit_change(cluster: Cluster, name: str, value: object) -> int:
    answer = await propose(address_of(await cluster.wait_leader()), name, value)
    assert answer.status == 200
    index = answer.fields["index"]
    assert isinstance(index, int)
    return index


@given(st.lists(st.tuples(st.integers(1, 3), ENTRIES), max_size=6))
def test_a_document_added_to_a_history_is_served_as_changes_or_as_a_snapshot(
    steps: list[tuple[int, dict[str, dict[str, int]]]],
) -> None:
    history, index = History(), 0
    for step, entries in steps:
        index += step
        add_document(history, Document(index, 1, dict(entries)))
        assert (history.index, history.document.entries) == (index, entries)
        assert history.digests[index] == history.document.digest()
        assert (step == 1) == (history.chunks_after(index - 1) is not history.snapshot())


def test_changes_between_documents_are_ordered_by_name() -> None:
    before, after = Document(1, 1, {"a": {}, "b": {}}), Document(2, 1, {"b": {"n": 1}, "c": {}})
    assert [(c.name, c.value) for c in changes_between(before, after)] == [
        ("a", None), ("b", {"n": 1}), ("c", {}),
    ]  # fmt: skip


def test_a_relay_serves_what_the_voters_commit_and_what_its_sidecars_report(tmp_path: Path) -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            address = free_address()
            await commit_change(cluster, "a", {"n": 1})
            relay = await start_relay(address, cluster, tmp_path)
            watcher = await Watcher("n1").open(address)
            await wait_until(lambda: watcher.index == 1)
            assert await commit_change(cluster, "b", {"n": 2}) == 2
            await wait_until(lambda: watcher.index == 2)
            assert not watcher.lines[-1].snapshot, "a single version is sent as changes"
            assert watcher.document.entries == {"a": {"n": 1}, "b": {"n": 2}}
            report = {"name": "n1", "index": 2, "digest": watcher.lines[-1].digest, "status": "applied"}
            assert (await send_request(address, "POST", "/v1/configuration/reports", report)).status == 204
            status = (await send_request(address, "GET", "/v1/configuration/status")).fields
            assert (status["role"], status["committed"], status["quorum"]) == ("relay", 2, True)
            assert status["in_force"]["applied"] == 1
            followed = status["leader"]
            assert followed in map(str, cluster.voters.values())
            assert await propose(address, "c", {}) == Response(421, {"leader": followed})
            assert (await send_request(address, "POST", "/v1/replica?from=c1", {})).status == 404
            relay.stop()

    run(test)


def test_a_relay_switches_to_another_voter_and_keeps_serving_without_any(tmp_path: Path) -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            address = free_address()
            await commit_change(cluster, "a", {"n": 1})
            await cluster.wait_committed(1)
            relay = await start_relay(address, cluster, tmp_path)
            watcher = await Watcher("n1").open(address)
            await wait_until(lambda: watcher.index == 1)
            followed = relay.client.follower.instance
            cluster.stop(next(name for name, at in cluster.voters.items() if str(at) == followed))
            assert await commit_change(cluster, "a", {"n": 2}) == 2
            await wait_until(lambda: watcher.index == 2)
            for name in list(cluster.running):
                cluster.stop(name)
            await wait_until(lambda: not relay.view().quorum)
            assert await propose(address, "c", {}) == Response(421, {"leader": None})
            await wait_until(
                lambda: relay.client.last_good is not None and relay.client.last_good.write_task is None
            )
            relay.stop()
            again = await start_relay(address, cluster, tmp_path)
            late = await Watcher("n2").open(address)
            await wait_until(lambda: late.index == 2)
            assert late.document.entries == {"a": {"n": 2}}
            again.stop()

    run(test)


def test_a_relay_that_is_behind_sends_no_older_version_to_a_watcher(tmp_path: Path) -> None:
    async def test() -> None:
        async with Cluster(1) as cluster:
            address = free_address()
            await commit_change(cluster, "a", {"n": 1})
            relay = await start_relay(address, cluster, tmp_path)
            ahead = await Watcher("n1", document=Document(2, 1, {"a": {"n": 2}})).open(address)
            await wait_until(lambda: ahead.heartbeats > 1)
            assert not ahead.lines
            await commit_change(cluster, "a", {"n": 2})
            await wait_until(lambda: relay.service.history.index == 2)
            assert await commit_change(cluster, "a", {"n": 3}) == 3
            await wait_until(lambda: ahead.index == 3)
            assert [line.index for line in ahead.lines] == [3]
            relay.stop()

    run(test)


def test_a_sidecar_can_follow_a_relay_and_is_known_where_it_watches(tmp_path: Path) -> None:
    class Target:
        def __init__(self) -> None:
            self.entries: dict[str, object] = {}

        def check(self, entries: Entries) -> None: ...

        def reconfigure(self, entries: Entries) -> None:
            self.entries = dict(entries)

    async def test() -> None:
        async with Cluster(3) as cluster:
            address = free_address()
            relay = await start_relay(address, cluster, tmp_path)
            target = Target()
            client = Client("n1", (str(address),), None, 1, target)
            client.serving = True
            await client.start()
            await commit_change(cluster, "settings", {"n": 1})
            await wait_until(lambda: target.entries == {"settings": {"n": 1}})
            sidecars = relay.service.reports.sidecars
            await wait_until(lambda: "n1" in sidecars and sidecars["n1"].applied == 1)
            upstream = [i.service.reports.sidecars for i in cluster.running.values()]
            await wait_until(lambda: any("r1" in known and known["r1"].applied == 1 for known in upstream))
            client.stop()
            relay.stop()
            await asyncio.sleep(0)

    run(test)
