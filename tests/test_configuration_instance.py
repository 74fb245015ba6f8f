"""Control instances on loopback: proposals, watches, network partitions, restarts, invalid requests."""

from __future__ import annotations

import asyncio
import resource
import socket
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from millgw.configuration.apply import Entries, RefusedVersionError
from millgw.configuration.client import Client
from millgw.configuration.control_client import fetch_status
from millgw.configuration.document import Document
from millgw.configuration.durable import DurableState, StateIncomplete, StateMissing, StateOfAnotherInstance
from millgw.configuration.instance import Instance
from millgw.configuration.messages import MAX_CHANGES
from millgw.configuration.server import connection_limit
from millgw.platform.config import Address
from tests.configuration_rig import (
    RESPONSE_TIMEOUT_S,
    Cluster,
    MemoryState,
    Response,
    Watcher,
    address_of,
    propose,
    send_request,
)
from tests.kinds import pure_run_only
from tests.rig import run, wait_until

pytestmark = pure_run_only

FLEET_SIZE = 670  # sidecars
RECONNECT_LIMIT = 10.0  # s; limit until all are served again, far more than needed
MIN_DESCRIPTORS = 2 * FLEET_SIZE + 200


async def open_watchers(addresses: Sequence[Address], count: int, **more: Any) -> list[Watcher]:
    """Open watchers, distributed round-robin over the instances."""
    made = [Watcher(f"n{number}", **more) for number in range(count)]
    opening = (w.open(addresses[number % len(addresses)]) for number, w in enumerate(made))
    await asyncio.gather(*opening)
    return made


async def status_of(instance: Instance | Address, query: str = "") -> dict[str, Any]:
    address = address_of(instance) if isinstance(instance, Instance) else instance
    answer = await send_request(address, "GET", f"/v1/configuration/status{query}")
    assert answer.status == 200
    return answer.fields


async def propose_until_committed(cluster: Cluster, name: str, value: object, among: Sequence[str]) -> int:
    """Propose to the current leader until the version is committed; returns its index.

    Retries are safe: the accepted error statuses mean that the proposal was rejected without effect.
    """
    while True:
        leader = await cluster.wait_leader(among)
        answer = await propose(address_of(leader), name, value)
        if answer.status == 200:
            index = answer.fields["index"]
            assert isinstance(index, int)
            return index
        assert answer.status in (421, 503), answer
        await asyncio.sleep(0.02)


def document_states(cluster: Cluster) -> set[tuple[int, str]]:
    """Index and digest of the documents of all running instances."""
    histories = [instance.service.history for instance in cluster.running.values()]
    return {(history.index, history.document.digest()) for history in histories}


# Versions


@pytest.mark.parametrize("count", [1, 3, 5])
def test_a_version_reaches_the_watchers_of_every_instance(count: int) -> None:
    async def test() -> None:
        async with Cluster(count) as cluster:
            leader = await cluster.wait_leader()
            watchers = await open_watchers(list(cluster.voters.values()), count)
            value = {"retry": {"maxAttempts": 2}}
            done = await propose(address_of(leader), "services.login", value)
            assert (done.status, done.fields["index"]) == (200, 1)
            await wait_until(lambda: all(watcher.index == 1 for watcher in watchers))
            assert all(watcher.document.entries == {"services.login": value} for watcher in watchers)
            await cluster.wait_committed(1)
            whole = await send_request(cluster.voters["c1"], "GET", "/v1/configuration")
            assert whole.fields["entries"] == [{"name": "services.login", "value": value}]
            removed = await propose(address_of(leader), "services.login", None, if_index=1)
            assert removed.fields["index"] == 2
            await wait_until(lambda: all(not watcher.document.entries for watcher in watchers))

    run(test)


def test_only_the_leader_accepts_a_proposal_and_if_index_is_checked() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            leader = await cluster.wait_leader()
            await propose_until_committed(cluster, "a", {}, [])
            others = [instance for instance in cluster.running.values() if instance is not leader]
            await wait_until(lambda: all(other.view().leader for other in others))
            for other in others:
                answer = await propose(address_of(other), "b", {})
                assert answer == Response(421, {"leader": str(address_of(leader))})
            conflict = await propose(address_of(leader), "b", {}, if_index=0)
            assert (conflict.status, conflict.fields["index"]) == (409, 1)
            assert (await propose(address_of(leader), "b", {}, if_index=1)).fields["index"] == 2

    run(test)


def test_a_watch_starts_immediately_with_the_changes_it_lacks() -> None:
    async def test() -> None:
        async with Cluster(1) as cluster:
            await cluster.wait_leader()
            for number in range(4):
                await propose_until_committed(cluster, f"e{number}", {"n": "x" * 300}, [])
            fresh = await Watcher("fresh").open(cluster.voters["c1"])
            await wait_until(lambda: fresh.index == 4)
            back = Watcher("back", 3, fresh.document.copy())
            back.document.index = 3
            await back.open(cluster.voters["c1"])
            await wait_until(lambda: back.index == 4)
            assert (fresh.lines[0].snapshot, back.lines[0].snapshot) == (True, False)
            new = await Watcher("new", 4).open(cluster.voters["c1"])
            await wait_until(lambda: new.heartbeats > 0)
            ahead = await Watcher("ahead", 9).open(cluster.voters["c1"])
            await wait_until(lambda: ahead.heartbeats > 0)
            assert not ahead.lines

    run(test)


# Leaders and quorums


def test_killing_a_leader_with_a_pending_proposal_neither_loses_nor_duplicates_a_version() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            await propose_until_committed(cluster, "before", {"n": 1}, [])
            await cluster.wait_committed(1)
            leader, out = await _propose_to_partitioned_leader(cluster)
            killed = leader.options.name
            rest = [name for name in cluster.voters if name != killed]
            watchers = await open_watchers([cluster.voters[name] for name in rest], 4)
            cluster.stop(killed)
            with suppress(Exception):  # its connection closes without a response: the outcome is unknown
                assert (await out).status == 504
            cluster.network.heal()
            index = await propose_until_committed(cluster, "after", {"n": 3}, rest)
            assert index == 2, "the version that no majority had is lost"
            await cluster.restart(killed)
            await cluster.wait_committed(2)
            await wait_until(lambda: all(watcher.index == 2 for watcher in watchers))
            assert len(document_states(cluster)) == 1
            assert [line.index for line in watchers[0].lines] == [1, 2]
            entries = cluster.running[killed].service.history.document.entries
            assert entries == {"before": {"n": 1}, "after": {"n": 3}}

    run(test)


async def _propose_to_partitioned_leader(cluster: Cluster) -> tuple[Instance, asyncio.Task[Response]]:
    """A partitioned leader that has a proposal in its log, and the call that waits for the outcome."""
    while True:
        cluster.network.heal()
        leader = await cluster.wait_leader()
        name = leader.options.name
        log = leader.replica.log
        before = log.last_index
        cluster.network.partition([name], [other for other in cluster.voters if other != name])
        out = asyncio.create_task(propose(address_of(leader), "out", {"n": 2}))
        while not out.done() and log.last_index == before:
            await asyncio.sleep(0.005)
        if not out.done():
            return leader, out  # else its lease expired before the call arrived, and nothing changed


def test_a_proposal_replicated_before_its_leader_died_is_committed_once() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            leader = await cluster.wait_leader()
            name = leader.options.name
            rest = [other for other in cluster.voters if other != name]
            await cluster.wait_committed(0)
            out = asyncio.create_task(propose(address_of(leader), "out", {"n": 1}))
            held = [cluster.running[other].replica.log for other in rest]
            await wait_until(lambda: any(log.last_index == 1 for log in held))
            cluster.stop(name)
            with suppress(Exception):
                assert (await out).status in (200, 504)
            index = await propose_until_committed(cluster, "after", {"n": 2}, rest)
            assert index == 2
            await cluster.wait_committed(2)
            entries = cluster.running[rest[0]].service.history.document.entries
            assert entries == {"out": {"n": 1}, "after": {"n": 2}}

    run(test)


def test_a_partitioned_leader_accepts_nothing_and_its_watchers_keep_their_version() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            old = await cluster.wait_leader()
            name = old.options.name
            rest = [other for other in cluster.voters if other != name]
            await propose_until_committed(cluster, "a", {"n": 1}, [])
            await cluster.wait_committed(1)
            (watcher,) = await open_watchers([address_of(old)], 1)
            await wait_until(lambda: watcher.index == 1)
            cluster.network.partition([name], rest)
            await wait_until(lambda: not old.view().quorum)
            refused = await propose(address_of(old), "lost", {"n": 2})
            assert refused == Response(503, {"cause": "no quorum"})
            assert await propose_until_committed(cluster, "b", {"n": 3}, rest) == 2
            refused = await propose(address_of(old), "lost", {"n": 2})
            assert refused == Response(503, {"cause": "no quorum"})
            heard = watcher.heartbeats
            await wait_until(lambda: watcher.heartbeats > heard)
            assert watcher.index == 1 and not (await status_of(old))["quorum"]
            cluster.network.heal()
            await wait_until(lambda: watcher.index == 2)
            assert watcher.document.entries == {"a": {"n": 1}, "b": {"n": 3}}

    run(test)


def test_without_a_majority_nothing_is_accepted_but_watches_are_served() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            await propose_until_committed(cluster, "a", {"n": 1}, [])
            await cluster.wait_committed(1)
            (before,) = await open_watchers([cluster.voters["c1"]], 1)
            cluster.stop("c2")
            cluster.stop("c3")
            alone = cluster.running["c1"]
            await wait_until(lambda: not alone.view().quorum)
            assert await propose(address_of(alone), "b", {}) == Response(503, {"cause": "no quorum"})
            (fresh,) = await open_watchers([address_of(alone)], 1)
            heard = before.heartbeats
            await wait_until(lambda: fresh.index == 1 and before.heartbeats > heard)
            status = await status_of(alone)
            assert (status["quorum"], status["committed"], status["watchers"]) == (False, 1, 2)
            await cluster.restart("c2")
            assert await propose_until_committed(cluster, "b", {"n": 2}, []) == 2
            await wait_until(lambda: before.index == fresh.index == 2)

    run(test)


def test_regions_agree_after_a_partition_during_a_proposal() -> None:
    async def test() -> None:
        async with Cluster(5) as cluster:
            leader = await cluster.wait_leader()
            await propose_until_committed(cluster, "e0", {"n": 0}, [])
            await cluster.wait_committed(1)
            watchers = await open_watchers(list(cluster.voters.values()), 10)
            name = leader.options.name
            others = [other for other in cluster.voters if other != name]
            small, large = [name, others[0]], others[1:]
            out = [asyncio.create_task(propose(address_of(leader), "out", {"n": n})) for n in range(3)]
            await wait_until(lambda: leader.replica.log.last_index > 1)
            cluster.network.partition(small, large)
            committed = [await propose_until_committed(cluster, f"e{n}", {"n": n}, large) for n in (1, 2)]
            answers = await asyncio.gather(*out)
            for answer in answers:
                assert answer.status in (200, 503, 504), answer
            lone = [watcher for n, watcher in enumerate(watchers) if n % 5 in _positions(cluster, small)]
            most = max(cluster.running[other].service.history.index for other in small)
            assert all(watcher.index <= most for watcher in lone)
            cluster.network.heal()
            await cluster.wait_committed(committed[-1])
            await wait_until(lambda: all(watcher.index == committed[-1] for watcher in watchers))
            assert len(document_states(cluster)) == 1
            indexes = [line.index for line in watchers[0].lines]
            assert indexes == sorted(set(indexes))
            accepted = [answer.fields["index"] for answer in answers if answer.status == 200]
            assert len({*accepted, *committed}) == len(accepted) + 2, "each index once"

    run(test)


def _positions(cluster: Cluster, names: Sequence[str]) -> set[int]:
    return {number for number, name in enumerate(cluster.voters) if name in names}


# Restarted instances


def test_a_follower_that_was_stopped_catches_up_by_a_snapshot() -> None:
    async def test() -> None:
        async with Cluster(3, keep=8) as cluster:
            leader = await cluster.wait_leader()
            name = next(other for other in cluster.voters if other != leader.options.name)
            await propose_until_committed(cluster, "e", {"n": -1}, [])
            await cluster.wait_committed(1)
            (watcher,) = await open_watchers([cluster.voters[name]], 1)
            await wait_until(lambda: watcher.index == 1)
            cluster.stop(name)
            for number in range(40):
                await propose_until_committed(cluster, f"e{number % 3}", {"n": number}, [])
            back = await cluster.restart(name)
            await cluster.wait_committed(41)
            assert back.replica.log.snapshot.position > 8, "it received a snapshot"
            again = await Watcher("n0", document=watcher.document).open(cluster.voters[name])
            await wait_until(lambda: again.index == 41)
            assert again.lines[0].snapshot
            assert len(document_states(cluster)) == 1

    run(test)


def test_an_instance_restarted_with_older_state_catches_up_and_sends_no_watcher_older_versions() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            leader = await cluster.wait_leader()
            name = next(other for other in cluster.voters if other != leader.options.name)
            state = cluster.states[name]
            assert isinstance(state, MemoryState)
            older = state.after_restart()
            for number in range(3):
                await propose_until_committed(cluster, "e", {"n": number}, [])
            await cluster.wait_committed(3)
            cluster.stop(name)
            cluster.states[name] = older
            back = await cluster.restart(name)
            (watcher,) = await open_watchers(
                [cluster.voters[name]], 1, document=Document(3, 1, {"e": {"n": 2}})
            )
            assert await propose_until_committed(cluster, "e", {"n": 3}, []) == 4
            await cluster.wait_committed(4)
            await wait_until(lambda: bool(watcher.lines))
            assert watcher.lines[0].index == 4
            assert len(document_states(cluster)) == 1
            assert back.replica.role.value != "leader"

    run(test)


def test_a_torn_last_write_is_harmless_and_a_lost_one_is_refused(tmp_path: Path) -> None:
    async def test() -> None:
        cluster = Cluster(3)
        for name in cluster.voters:
            (tmp_path / name).mkdir()
            cluster.states[name] = DurableState.open([tmp_path / name], name, create=True)
        async with cluster:
            await propose_until_committed(cluster, "a", {"n": 1}, [])
            await cluster.wait_committed(1)
            cluster.stop("c1")
            last = max((tmp_path / "c1").glob("seg-*"))
            last.write_bytes(last.read_bytes() + b"\x40\x00\x00\x00half a record")
            await propose_until_committed(cluster, "b", {"n": 2}, [])
            cluster.states["c1"] = DurableState.open([tmp_path / "c1"], "c1")
            await cluster.start("c1")
            await cluster.wait_committed(2)
            assert len(document_states(cluster)) == 1
            cluster.stop("c1")
            for segment in (tmp_path / "c1").glob("seg-*"):
                segment.write_bytes(segment.read_bytes()[:-20])
            with pytest.raises(StateIncomplete):
                DurableState.open([tmp_path / "c1"], "c1")
            cluster.stop("c2")
            with pytest.raises(StateOfAnotherInstance):
                DurableState.open([tmp_path / "c2"], "c1")
            (tmp_path / "lost").mkdir()
            with pytest.raises(StateMissing):
                DurableState.open([tmp_path / "lost"], "c1")

    run(test)


def test_an_instance_whose_disk_fails_stops_and_the_others_continue() -> None:
    """A leader that was held up past its lease refuses a proposal and writes nothing: it is asked again."""

    async def test() -> None:
        async with Cluster(3) as cluster:
            leader = await cluster.wait_leader()
            name = leader.options.name
            state = cluster.states[name]
            assert isinstance(state, MemoryState)
            state.error = OSError("no space left on device")
            while not leader.failed.done():
                with suppress(Exception):
                    await propose(address_of(leader), "a", {"n": 1})
            assert str(leader.failed.result()) == "no space left on device"
            rest = [other for other in cluster.voters if other != name]
            assert await propose_until_committed(cluster, "a", {"n": 2}, rest) == 1

    run(test)


# Sidecars


def test_a_fleet_that_reconnects_all_at_once_is_served_the_newest_version() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < MIN_DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (MIN_DESCRIPTORS, hard))

    async def test() -> None:
        async with Cluster(3) as cluster:
            for number in range(20):
                await propose_until_committed(cluster, f"e{number % 5}", {"n": number}, [])
            await cluster.wait_committed(20)
            addresses = list(cluster.voters.values())
            begun = time.monotonic()
            watchers = await open_watchers(addresses, FLEET_SIZE)
            await wait_until(lambda: all(watcher.index == 20 for watcher in watchers))
            took = time.monotonic() - begun
            assert took < RECONNECT_LIMIT
            print(f"{FLEET_SIZE} watchers served in {took:.2f} s")
            for watcher in watchers:
                watcher.close()
            again = [Watcher(w.name, document=w.document) for w in watchers]
            begun = time.monotonic()
            await asyncio.gather(*(w.open(addresses[(number + 1) % 3]) for number, w in enumerate(again)))
            await propose_until_committed(cluster, "after", {"n": 1}, [])
            await wait_until(lambda: all(watcher.index == 21 for watcher in again))
            print(f"{FLEET_SIZE} watchers back, and sent a new version, in {time.monotonic() - begun:.2f} s")
            counts = [
                len(i.service.watchers.slow) + i.service.watchers.closed_slow
                for i in cluster.running.values()
            ]
            assert counts == [0, 0, 0]

    run(test)


def test_a_change_refused_by_one_sidecar_in_ten_is_counted_so() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            await propose_until_committed(cluster, "a", {"n": 1}, [])
            await cluster.wait_committed(1)
            addresses = list(cluster.voters.values())
            watchers = await open_watchers(addresses, 60)
            await wait_until(lambda: all(watcher.index == 1 for watcher in watchers))

            async def report(number: int, refuses: bool) -> None:
                body = {"name": f"n{number}", "index": 1, "digest": watchers[number].lines[-1].digest}
                body |= {"status": "refused", "cause": "a.n: over 0"} if refuses else {"status": "applied"}
                answer = await send_request(addresses[number % 3], "POST", "/v1/configuration/reports", body)
                assert answer.status == 204

            await asyncio.gather(*(report(number, number % 10 == 0) for number in range(59)))
            told = [await status_of(address, "?sidecars=1") for address in addresses]
            total = {key: sum(status["in_force"][key] for status in told) for key in ("applied", "refused")}
            assert total == {"applied": 53, "refused": 6}
            assert sum(status["in_force"]["behind"] for status in told) == 1, "one sidecar has not reported"
            refusals = [refusal for status in told for refusal in status["refusals"]]
            assert {r["name"] for r in refusals} == {f"n{number}" for number in range(0, 60, 10)}
            assert {(r["index"], r["cause"]) for r in refusals} == {(1, "a.n: over 0")}
            assert sum(len(status["sidecars"]) for status in told) == 60

    run(test)


class RefusingTarget:
    """The settings of a sidecar that refuses one value."""

    def __init__(self, refuses: int) -> None:
        self.refuses = refuses
        self.entries: Entries = {}

    def check(self, entries: Entries) -> None: ...

    def reconfigure(self, entries: Entries) -> None:
        if entries["settings"]["n"] == self.refuses:
            raise RefusedVersionError(f"settings.n: {self.refuses}")
        self.entries = entries


def test_sidecar_clients_follow_report_and_move_when_their_instance_dies() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            await propose_until_committed(cluster, "settings", {"n": 1}, [])
            places = [str(address) for address in cluster.voters.values()]
            targets = [RefusingTarget(2 if number % 10 == 0 else 0) for number in range(20)]
            clients = [
                Client(f"n{number}", (places[number % 3], *places), None, number, target)
                for number, target in enumerate(targets)
            ]
            for client in clients:
                client.serving = True
                await client.start()
            assert await propose_until_committed(cluster, "settings", {"n": 2}, []) == 2
            await wait_until(lambda: clients[0].follower.refused == clients[10].follower.refused == 2)
            await wait_until(lambda: sum(target.entries["settings"]["n"] == 2 for target in targets) == 18)
            await wait_until(lambda: all(client.follower.pending_report is None for client in clients))

            async def counts() -> tuple[int, int, int]:
                fleet = await fetch_status(list(cluster.voters.values()), RESPONSE_TIMEOUT_S)
                summary = fleet.summary(fleet.committed)
                return summary.applied, summary.refused, summary.behind

            while await counts() != (18, 2, 0):
                await asyncio.sleep(0.05)
            cluster.stop((await cluster.wait_leader()).options.name)
            assert await propose_until_committed(cluster, "settings", {"n": 3}, list(cluster.running)) == 3
            await wait_until(lambda: all(target.entries["settings"]["n"] == 3 for target in targets))
            while await counts() != (20, 0, 0):
                await asyncio.sleep(0.05)
            for client in clients:
                client.stop()

    run(test)


def test_a_watcher_that_does_not_read_is_closed_and_the_others_continue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("millgw.configuration.watchers.STALL_TIMEOUT", 0.5)

    async def test() -> None:
        async with Cluster(1) as cluster:
            instance = await cluster.wait_leader()
            stuck = socket.socket()
            stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            stuck.connect((address_of(instance).host, address_of(instance).port))
            stuck.send(b"GET /v1/configuration?watch=1&name=stuck HTTP/1.1\r\nHost: c\r\n\r\n")
            (reads,) = await open_watchers([address_of(instance)], 1)
            watchers = instance.service.watchers
            number = 0
            while not watchers.closed_slow:
                number += 1
                await propose_until_committed(cluster, "a", {"n": number, "x": "x" * 200_000}, [])
                assert all(c.unsent() < 2 * MAX_CHANGES for c in instance.server.connections)
                await asyncio.sleep(0.01)
            assert (watchers.closed_slow, watchers.count) == (1, 1)
            await wait_until(lambda: reads.index == number)
            stuck.close()

    run(test)


# Invalid requests


async def exchange(address: Address, data: bytes, end: bool = False) -> bytes:
    """Send bytes; returns everything received until the server closes the connection."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        (b"GARBAGE\r\n\r\n", 400),
        (b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 5000 + b"\r\n", 431),
        (b"POST /v1/configuration HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"POST /v1/configuration/reports HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", 413),
    ],
)
def test_an_invalid_request_is_refused_and_its_connection_closed(data: bytes, status: int) -> None:
    async def test() -> None:
        async with Cluster(1) as cluster:
            answer = await exchange(cluster.voters["c1"], data)
            assert answer.startswith(b"HTTP/1.1 %d " % status)
            assert b"Connection: close\r\n" in answer
            await wait_until(lambda: not cluster.running["c1"].server.connections)

    run(test)


def test_an_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millgw.configuration.server.REQUEST_TIMEOUT", 0.3)

    async def test() -> None:
        async with Cluster(1) as cluster:
            half = b"POST /v1/configuration HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"
            assert await exchange(cluster.voters["c1"], half) == b""
            assert await exchange(cluster.voters["c1"], b"") == b""
            assert await exchange(cluster.voters["c1"], half, end=True) == b""

    run(test)


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/v1/other", None, 404),
        ("DELETE", "/v1/configuration", None, 405),
        ("GET", "/v1/configuration?watch=1&from=-1", None, 400),
        ("GET", "/v1/configuration?watch=1&from=x", None, 400),
        ("GET", "/v1/configuration?watch=1&name=" + "n" * 200, None, 400),
        ("POST", "/v1/configuration", [], 400),
        ("POST", "/v1/configuration", {"changes": []}, 400),
        ("POST", "/v1/configuration", {"changes": [{"name": "a"}]}, 400),
        ("POST", "/v1/configuration", {"changes": [{"name": "a", "value": 1}]}, 400),
        ("POST", "/v1/configuration", {"changes": [{"name": "a", "value": {}}], "if_index": -1}, 400),
        ("POST", "/v1/configuration", {"changes": [{"name": "a", "value": {"x": float("nan")}}]}, 400),
        ("POST", "/v1/configuration", {"changes": [{"name": "a", "value": {"x": "\ud800"}}]}, 400),
        ("POST", "/v1/configuration", {"changes": [{"name": "a", "value": {"x": "x" * MAX_CHANGES}}]}, 400),
        ("POST", "/v1/configuration/reports", {"name": "", "index": 1, "status": "applied"}, 400),
        ("POST", "/v1/replica?from=c1", {}, 404),
        ("POST", "/v1/replica?from=x", {}, 404),
    ],
)
def test_a_call_that_can_t_be_handled_gets_an_error_with_its_cause(
    method: str, path: str, body: object, status: int
) -> None:
    async def test() -> None:
        async with Cluster(1) as cluster:
            await cluster.wait_leader()
            answer = await send_request(cluster.voters["c1"], method, path, body)
            assert answer.status == status
            assert status == 405 or answer.fields["cause"]
            assert cluster.running["c1"].service.history.index == 0

    run(test)


def test_undecodable_messages_are_refused_without_effect() -> None:
    async def test() -> None:
        async with Cluster(3) as cluster:
            leader = await cluster.wait_leader()
            bodies: list[object] = [{}, [], {"kind": "vote"}, {"kind": "append", "epoch": 10**30}]
            for body in bodies:
                for sender in cluster.voters:
                    answer = await send_request(
                        address_of(leader), "POST", f"/v1/replica?from={sender}", body
                    )
                    assert answer.status in (400, 404)
            assert await propose_until_committed(cluster, "a", {"n": 1}, []) == 1

    run(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with Cluster(1) as cluster:
            await cluster.wait_leader()
            body = b'{"changes":[{"name":"a","value":{"n":1}}]}'
            post = b"POST /v1/configuration HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            get = b"GET /v1/configuration HTTP/1.1\r\nHost: c\r\n\r\n"
            last = b"GET /v1/configuration HTTP/1.1\r\nConnection: close\r\n\r\n"
            answer = await exchange(cluster.voters["c1"], post * 3 + get + last)
            heads = [part.split(b"\r\n")[0] for part in answer.split(b"HTTP/1.1 ")[1:]]
            assert heads == [b"200 OK"] * 5
            assert answer.index(b'{"index":1') < answer.index(b'{"index":2') < answer.index(b'{"index":3')
            assert answer.count(b'"index":3') == 3

    run(test)


@pytest.mark.parametrize(("descriptors", "connections"), [(1024, 896), (100, 1), (20_000, 4096), (-1, 4096)])
def test_the_connection_limit_reserves_descriptors_for_the_store_and_the_peers(
    descriptors: int, connections: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (descriptors, -1))
    assert connection_limit() == connections


def test_connections_are_bounded() -> None:
    async def test() -> None:
        async with Cluster(1) as cluster:
            instance = await cluster.wait_leader()
            instance.server.max_connections = 2
            held = await open_watchers([address_of(instance)], 2)
            await wait_until(lambda: all(watcher.heartbeats for watcher in held))
            answer = await exchange(address_of(instance), b"GET /v1/configuration HTTP/1.1\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 503 ")
            held[0].close()
            await wait_until(lambda: len(instance.server.connections) == 1)
            assert (await status_of(instance))["watchers"] == 1

    run(test)
