"""Peers on sockets: snapshots at start, unauthenticated clients, slow and vanishing peers, key rotation."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import Any, cast

import pytest

from millgw.__main__ import main
from millgw.decide import Balancer
from millgw.interface import (
    Condition,
    Endpoint,
    EndpointList,
    ListKind,
    PeerReports,
    Repeat,
    RequestClass,
    Settings,
)
from millgw.membership import member_tracker
from millgw.membership.servers import read_connect
from millgw.membership.source import DirectoryLocation
from millgw.peers import node, peer_transport, wire
from millgw.peers.message_auth import Signer, Verifier
from millgw.peers.node import Peers, PeerSettings
from millgw.peers.observations import Observation
from millgw.peers.peer_transport import MAX_INBOUND
from millgw.peers.state_transfer import NONCE_BYTES, StateTransfer
from millgw.peers.swim import Status
from millgw.platform.config import Address
from millgw.pool.pool import Pool
from millgw.standins.address import free_address
from tests.kinds import skip_if_pure
from tests.outside import loaded, refused
from tests.rig import run, wait_until
from tests.test_membership import running_ensemble

pytestmark = skip_if_pure
KEY, OTHER = b"0123456789abcdef", b"fedcba9876543210"
SETTINGS = Settings(
    (RequestClass("read", 5000.0, Repeat.SAFE, 1000.0),), 0.2, 10_000.0, 2.5, 1000.0, ask_discovery=False
)


class FakePool:
    """A pool with six endpoints, all of them warm by its own evidence."""

    name = ""

    def __init__(self) -> None:
        self.driver = self
        self.balancer = Balancer(SETTINGS, 1)
        self.draining: set[int] = set()
        self.heard: list[PeerReports] = []
        endpoints = tuple(Endpoint(i, started_at=1.0) for i in range(1, 7))
        self.balancer.handle(self.clock(), EndpointList(ListKind.FULL, endpoints))

    def clock(self) -> float:
        return time.time() * 1000

    def handle_peer_reports(self, event: PeerReports) -> None:
        self.heard.append(event)
        self.balancer.handle(self.clock(), event)

    def cold(self, id: int) -> bool:
        now = self.clock()
        return self.balancer.cold.capacity_share(self.balancer.servers[id], now) < 1.0


class Fleet:
    """Peers in one process that share a key file."""

    def __init__(self, folder: Path) -> None:
        self.keys = folder / "keys"
        self.keys.write_bytes(KEY + b"\n")
        self.running: list[Peers] = []

    def make(
        self,
        *join: Address,
        listen: Address | None = None,
        within: float = 5000.0,
        coordinator: DirectoryLocation | None = None,
    ) -> tuple[Peers, FakePool]:
        pool = FakePool()
        terms = PeerSettings(listen or free_address(), join, (str(self.keys),), within, coordinator)
        peers = Peers(terms, lambda: [cast(Pool, pool)], 7)
        self.running.append(peers)
        return peers, pool

    async def start(self, *join: Address, **more: Any) -> tuple[Peers, FakePool]:
        peers, pool = self.make(*join, **more)
        await peers.start()
        if "listen" not in more:
            await wait_until(lambda: peers.transport is not None)
        return peers, pool


@asynccontextmanager
async def fleet(folder: Path) -> AsyncIterator[Fleet]:
    made = Fleet(folder)
    try:
        yield made
    finally:
        for peers in made.running:
            peers.stop()
        await asyncio.sleep(0)


@contextmanager
def short_intervals() -> Iterator[None]:
    """Check key files at every timer event and limit connections to 0.3 s."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(node, "KEY_CHECK_INTERVAL_MS", 0.0)
        patch.setattr(peer_transport, "CONNECTION_LIMIT_S", 0.3)
        yield


def test_a_new_sidecar_gets_a_snapshot_before_it_serves_and_all_peers_learn_the_members(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            first, pool = await fleet_of_peers.start()
            pool.balancer.servers[
                2
            ].reachable_again_at = pool.clock()  # an observed restart that discovery did not report
            pool.draining = {3}
            await wait_until(lambda: bool(first.gossip.own_observations.get("")))
            await wait_until(
                lambda: (first.gossip.own_observations[""][f"{2:016x}"].uptime or 0.0) < SETTINGS.cold_time
            )
            fresh, fresh_pool = await fleet_of_peers.start(first.settings.listen)
            assert fresh.snapshots == 1
            assert fresh_pool.cold(2) and not fresh_pool.cold(1)
            now = fresh_pool.clock()
            assert [s.info.id for s in fresh_pool.balancer.ring if s.drain_reported_until > now] == [3]
            # A healthy endpoint is removed from the list as it drains; its start time must stay known.
            listed = EndpointList(ListKind.DELTA, (Endpoint(5, Condition.DRAINING),))
            pool.balancer.handle(pool.clock(), listed)
            pool.draining = {3, 5}
            await wait_until(lambda: fresh_pool.balancer.servers[5].drain_reported_until > fresh_pool.clock())
            third, _ = await fleet_of_peers.start(fresh.settings.listen)
            await wait_until(lambda: all(len(p.swim.alive()) == 2 for p in (first, fresh, third)))
            await wait_until(lambda: bool(pool.heard) and pool.heard[-1].siblings == 3)

    run(test)


def test_the_evidence_of_one_peer_reaches_the_balancers_of_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            first, pool = await fleet_of_peers.start()
            _, other = await fleet_of_peers.start(first.settings.listen)
            _, third = await fleet_of_peers.start(first.settings.listen)
            pool.balancer.servers[4].connect_failures = 2  # unreachable according to its own calls
            for peer in (other, third):
                await wait_until(lambda at=peer: len(at.balancer.out_of_rotation(at.clock())) == 1)  # type: ignore[misc]
                assert peer.balancer.servers[4].ejected_by_report

    run(test)


async def send_and_read_all(address: Address, *said: bytes) -> bytes:
    """Send bytes without a key and return everything received until the connection ends."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for part in said:
        writer.write(part)
    heard = await reader.read()
    writer.close()
    return heard


def test_a_client_without_a_key_learns_nothing_and_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            peers, _ = await fleet_of_peers.start()
            at = peers.settings.listen
            stranger = StateTransfer(Signer("x", 1, [OTHER]), Verifier([OTHER], 9999))
            reader, writer = await asyncio.open_connection(at.host, at.port)
            hello = await reader.readexactly(NONCE_BYTES)
            stranger.receive(hello)
            writer.write(stranger.hello() + stranger.encode_frame(wire.SnapshotRequest()))
            assert await reader.read() == b"", "no byte after the nonce"
            writer.close()
            assert len(await send_and_read_all(at, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 3)) == NONCE_BYTES
            sent = asyncio.DatagramProtocol
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                sent, remote_addr=(at.host, at.port)
            )
            signer = Signer("127.0.0.1:1", 1, [KEY])
            observation = Observation(f"{1:016x}", "127.0.0.1:1", 0.0, 5, failure_rate=1.0, calls=9)
            rumour = wire.rumours([("", observation)])
            valid = signer.sign(wire.encode(rumour))
            for bad in (
                b"x",
                b"x" * 40,
                Signer("x", 1, [OTHER]).sign(wire.encode(rumour)),
                valid + b"x" * 2000,
            ):
                transport.sendto(bad)
            await wait_until(lambda: peers.refused == 4)
            assert not peers.gossip.pools[""].by_endpoint
            transport.sendto(valid)
            transport.sendto(valid)  # replayed
            await wait_until(lambda: peers.refused == 5)
            assert len(peers.gossip.pools[""].by_endpoint) == 1
            transport.close()

    run(test)


@pytest.mark.parametrize("how", ["silent", "drips", "vanishes", "endless"])
def test_a_start_waits_for_no_peer_longer_than_its_timeout(tmp_path: Path, how: str) -> None:
    async def bad(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if how == "silent":
            await reader.read()
            return
        state_transfer = StateTransfer(Signer("127.0.0.1:1", 1, [KEY]), Verifier([KEY], wire.MAX_FRAME_BYTES))
        writer.write(state_transfer.hello())
        state_transfer.receive(await reader.read(NONCE_BYTES))
        frame = state_transfer.encode_frame(
            wire.snapshot({"": [Observation(f"{1:016x}", "a", 0.0, 1, uptime=1.0)]}, {})
        )
        if how == "vanishes":
            writer.write(frame[: len(frame) // 2])
            writer.close()
        elif how == "endless":
            writer.write((wire.MAX_FRAME_BYTES).to_bytes(4, "big") + b"x" * 100_000)
            await reader.read()
        else:
            for byte in frame:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)

    async def test() -> None:
        server = await asyncio.start_server(bad, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with fleet(tmp_path) as fleet_of_peers:
            peers, pool = fleet_of_peers.make(Address(host, port), within=50.0)
            await peers.start()
            if how != "vanishes":
                assert peers.peer_transport.outbound, (
                    "the connection is still open, and the start did not wait for it"
                )
            assert not pool.cold(1)
            await wait_until(lambda: not peers.peer_transport.outbound)  # closed by the time limit
            assert not peers.snapshots
        server.close()

    with short_intervals():
        run(test)


def test_a_start_without_reachable_peers_does_not_wait(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            # The start must not wait for this timeout, as the connections are refused at once.
            peers, _ = fleet_of_peers.make(free_address(), free_address(), within=60_000.0)
            await peers.start()
            assert peers.snapshots == 0

    run(test)


def test_keys_are_rotated_in_service_and_an_unusable_key_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            first, _ = await fleet_of_peers.start()
            fleet_of_peers.keys.write_bytes(b"short")
            await wait_until(lambda: first.key_files.versions == first.key_files._current_versions())
            assert first.verifier.keys[0][1] == KEY
            fleet_of_peers.keys.unlink()
            await asyncio.sleep(0.6)
            fleet_of_peers.keys.write_bytes(OTHER)
            await wait_until(lambda: first.verifier.keys[0][1] == OTHER)
            fresh, _ = await fleet_of_peers.start(first.settings.listen)
            assert fresh.snapshots == 1

    with short_intervals():
        run(test)


def test_a_successor_at_the_same_address_listens_once_its_predecessor_has_stopped(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            old, _ = await fleet_of_peers.start()
            other, _ = await fleet_of_peers.start(old.settings.listen)
            await wait_until(lambda: other.swim.alive() == [old.name])
            fresh, _ = await fleet_of_peers.start(other.settings.listen, listen=old.settings.listen)
            assert fresh.snapshots == 1 and fresh.transport is None
            old.stop()
            await wait_until(lambda: fresh.transport is not None)
            at = other.swim.members[old.name]
            await wait_until(lambda: at.update.incarnation >= fresh.swim.own.incarnation)
            assert at.update.status is Status.ALIVE

    run(test)


def test_a_stopped_peer_announces_its_departure(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            first, _ = await fleet_of_peers.start()
            second, _ = await fleet_of_peers.start(first.settings.listen)
            third, _ = await fleet_of_peers.start(first.settings.listen)
            await wait_until(lambda: all(len(p.swim.alive()) == 2 for p in (first, second, third)))
            third.stop()
            await wait_until(lambda: first.swim.status(third.name) is Status.DEAD)
            await wait_until(lambda: second.swim.status(third.name) is Status.DEAD)

    run(test)


def test_idle_unauthenticated_connections_do_not_keep_a_peer_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            first, _ = await fleet_of_peers.start()
            at = first.settings.listen
            held = [await asyncio.open_connection(at.host, at.port) for _ in range(3 * MAX_INBOUND)]
            await wait_until(lambda: len(first.peer_transport.inbound) == MAX_INBOUND)
            fresh, _ = await fleet_of_peers.start(at)
            assert fresh.snapshots == 1
            for _, writer in held:
                writer.close()

    run(test)


def test_missing_or_short_keys_prevent_the_start(tmp_path: Path) -> None:
    for paths in ((str(tmp_path / "none"),), (str(tmp_path / "short"),)):
        (tmp_path / "short").write_bytes(b"short")
        with pytest.raises((OSError, ValueError)):
            Peers(PeerSettings(free_address(), (), paths, 0.0), lambda: [], 1)


def test_peers_that_know_only_a_coordinator_find_each_other_and_leave_no_node(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_ensemble() as zk, fleet(tmp_path) as fleet_of_peers:
            servers, _ = read_connect(zk.connect_string)
            directory = DirectoryLocation(servers, "/sidecars", 4000.0, member_tracker.DepartureSettings())
            first, _ = await fleet_of_peers.start(coordinator=directory)
            assert first.peer_discovery is not None
            await first.peer_discovery.registrar.registered.wait()
            second, _ = await fleet_of_peers.start(coordinator=directory)
            assert second.snapshots == 1
            await wait_until(lambda: first.swim.alive() == [second.name])
            assert second.peer_discovery is not None
            await second.peer_discovery.registrar.registered.wait()
            second.stop()
            await second.peer_discovery.registrar.removed.wait()

    run(test)


def test_an_unreachable_coordinator_does_not_delay_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path) as fleet_of_peers:
            directory = DirectoryLocation(
                (free_address(),), "/sidecars", 4000.0, member_tracker.DepartureSettings()
            )
            peers, _ = fleet_of_peers.make(within=50.0, coordinator=directory)
            await peers.start()
            assert peers.snapshots == 0

    run(test)


def test_without_peers_the_package_is_not_imported() -> None:
    assert loaded("millgw.sidecar.__main__", "millgw.peers") == []


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ('listen = "0.0.0.0:7400"', "o.toml:3: peers.listen: is no address at which others find"),
        ('listen = "here"', "o.toml:3: peers.listen: 'here' is not IP:port"),
        ('listen = "127.0.0.1:1"\njoin = ["x"]', "o.toml:4: peers.join[0]: 'x' is not IP:port"),
        ('listen = "127.0.0.1:1"\nwithin_ms = 9000', "o.toml:4: peers.within_ms: Expected"),
        ('listen = "127.0.0.1:1"\ncoordinator = {connect = "zk", path = "/p"}', "peers.coordinator"),
        ("", "peers"),
    ],
)
def test_an_invalid_peers_table_is_reported_with_its_position(
    tmp_path: Path, text: str, says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert says in refused(tmp_path, f'[peers]\nkeys = ["k"]\n{text}\n', capsys)


def test_the_check_command_describes_the_peers_table(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "o.toml"
    path.write_text('[peers]\nkeys = ["k"]\nlisten = "127.0.0.1:7400"\n')
    assert main(["check", str(path)]) == 0
    assert "learns from peers, who find it at 127.0.0.1:7400" in capsys.readouterr().out
