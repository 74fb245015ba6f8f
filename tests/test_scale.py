"""The scale run on sockets, small: its report, each fault, hollow beside real, and no process left."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

import millgw
from millgw.__main__ import main
from millgw.cli.exits import INTERRUPTED
from millgw.platform.config import Address
from millgw.scale.figures import Part
from millgw.scale.metering import METER, Destination, Meter, MeteredLoop
from millgw.scale.schedule import Fault
from millgw.standins.address import free_address
from tests.alone import alone
from tests.kinds import pure_run_only
from tests.rig import TEST_TIMEOUT

pytestmark = pure_run_only
ROOT = Path(millgw.__file__).parent.parent
AT_ONCE = 4  # runs beside each other: what takes time is mostly waiting
RUN_TIME = 3 * TEST_TIMEOUT
ABOUT_THE_MACHINE = ("added to a call", "processor time", "bytes for control")
FLEET = ("--sidecars", "62", "--real", "2", "--seconds", "3")
SPENT_ALWAYS = {
    "list, median",
    "peers, median",
    "configuration, median",
    "all control, median",
    "all control, worst",
    "processor time, median",
    "memory, median",
    "configuration, to the last",
    "list, to the last",
}
# Zero is right for these in a window of 2 s: peers that start together compare lists in step, more and more
# rarely, up to every 20 s; real sidecars, ready one after the other, may know each other at the first look.
# That their connections are counted is tested below, to the byte.
SPENT_BY_CHANCE = {"peer connections, median", "peers, after the start, to the last"}
SMALL = ("--sidecars", "16", "--services", "4", "--control", "3", "--seconds", "3")


@pytest.fixture(autouse=True)
def no_other_days() -> Iterator[None]:
    """No days of other test runs meanwhile: what is late for want of a core tells nothing."""
    with alone():
        yield


@dataclass(frozen=True)
class Played:
    """What a command came to."""

    code: int
    report: dict[str, Any]
    stderr: str

    @property
    def verdicts(self) -> dict[str, str]:
        """The verdicts of all rows that a busy machine does not change."""
        rows = {row["target"]: row["verdict"] for row in self.report["rows"]}
        return {target: word for target, word in rows.items() if not target.startswith(ABOUT_THE_MACHINE)}


def scale(folder: Path, *words: str) -> Played:
    made = subprocess.run(
        [sys.executable, "-m", "millgw", "scale", *words, "--json", str(folder / "report.json"), "--quiet"],
        capture_output=True,
        text=True,
        timeout=RUN_TIME,
        cwd=ROOT,
    )
    path = folder / "report.json"
    report = json.loads(path.read_bytes()) if path.exists() else {}
    return Played(made.returncode, report, made.stderr)


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[Played]]]:
    """All runs of this module, some at once."""
    wanted: dict[str, Sequence[str]] = {
        "calm": ("run", *FLEET),
        "zone-lost": ("run", *SMALL, "--fault", "zone-lost"),
        "calm again": ("run", *FLEET),
        "compared": (
            "compare",
            "--sidecars",
            "3",
            "--services",
            "3",
            "--zones",
            "3",
            "--control",
            "1",
            "--seconds",
            "2",
        ),
    }
    for fault in Fault:
        if fault not in (Fault.NONE, Fault.ZONE_LOST):
            wanted[fault.value] = ("run", *SMALL, "--fault", fault.value)
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {
            name: pool.submit(scale, tmp_path_factory.mktemp("scale"), *words)
            for name, words in wanted.items()
        }


def told(played: dict[str, Future[Played]], name: str) -> Played:
    made = played[name].result(RUN_TIME)
    assert made.report, made.stderr
    return made


def test_a_calm_fleet_knows_of_every_change(played: dict[str, Future[Played]]) -> None:
    calm = told(played, "calm")
    spreads = {spread["what"]: spread for spread in calm.report["spreads"]}
    assert set(spreads) == {"peers, after the start", "list", "configuration"}
    assert all(spread["missed"] == 0 for spread in spreads.values())
    assert spreads["configuration"]["sidecars"] == 62
    assert calm.report["unmetered"] == 0
    assert calm.report["reversals"] == []
    assert calm.report["added"]["served"] > 0
    assert calm.report["hollow"]["sidecars"] == 60
    assert calm.report["real_figures"]["sidecars"] == 2


def test_the_verdict_is_the_same_every_time(played: dict[str, Future[Played]]) -> None:
    first, second = told(played, "calm"), told(played, "calm again")
    assert first.verdicts == second.verdicts
    assert set(first.verdicts.values()) <= {"holds", "narrow", "not measured"}


def test_every_part_of_control_is_counted(played: dict[str, Future[Played]]) -> None:
    calm = told(played, "calm")
    for kind in ("hollow", "real_figures"):
        for part in ("list", "peers", "configuration"):
            assert calm.report[kind]["bytes_by_part"][part]["median"] > 0, f"{kind}: {part}"


def test_the_exit_code_is_that_of_the_rows(played: dict[str, Future[Played]]) -> None:
    calm = told(played, "calm")
    words = {row["verdict"] for row in calm.report["rows"]}
    assert calm.code == (1 if "fails" in words else 3 if "inconclusive" in words else 0)
    assert calm.report["exit"] == calm.code


@pytest.mark.parametrize(
    ("fault", "spreads"),
    [
        ("zone-lost", {"list, of a lost zone", "peers, without a lost zone"}),
        (
            "regions-parted",
            {
                "configuration, in the majority's region",
                "configuration, once regions rejoin",
                "peers, once regions rejoin",
            },
        ),
        ("control-machine-lost", {"configuration"}),
        (
            "all-restart",
            {"list, after all restart", "configuration, after all restart", "peers, after all restart"},
        ),
        (
            "replace-wave",
            {
                "list, of a replaced endpoint",
                "configuration, at a replaced sidecar",
                "peers, after replacements",
            },
        ),
        ("slow-tier", {"configuration"}),
    ],
)
def test_a_fleet_comes_to_know_all_after_a_fault(
    played: dict[str, Future[Played]], fault: str, spreads: set[str]
) -> None:
    made = told(played, fault)
    found = {spread["what"]: spread for spread in made.report["spreads"]}
    assert spreads <= set(found)
    assert all(spread["missed"] == 0 for spread in found.values())
    assert set(made.verdicts.values()) <= {"holds", "narrow", "not measured"}, made.report["rows"]
    assert made.report["reversals"] == []


def test_what_was_known_before_a_restart_does_not_count_after_it(played: dict[str, Future[Played]]) -> None:
    spreads = told(played, "all-restart").report["spreads"]
    after = [spread for spread in spreads if "after all restart" in spread["what"]]
    assert len(after) == 3
    assert all(spread["last"] > 0 for spread in after)


def test_a_slow_tier_is_told_with_its_attempts(played: dict[str, Future[Played]]) -> None:
    chain = told(played, "slow-tier").report["chain"]
    assert chain["served_ill"] < chain["served_well"]


def test_hollow_sidecars_are_put_beside_real_ones(played: dict[str, Future[Played]]) -> None:
    made = told(played, "compared")
    figures = {figure["what"]: figure for figure in made.report["figures"]}
    assert set(figures) == SPENT_ALWAYS | SPENT_BY_CHANCE
    for what in SPENT_ALWAYS:
        assert figures[what]["hollow"] > 0 and figures[what]["real"] > 0, what
    assert all(figures[what]["hollow"] >= 0 and figures[what]["real"] >= 0 for what in SPENT_BY_CHANCE)
    assert figures["list, median"]["alike"]


# The loop that counts


def metered(test: Callable[[MeteredLoop, Meter], Coroutine[Any, Any, None]]) -> None:
    """Run something on a metered loop, in the context of a sidecar in region-1."""
    with asyncio.Runner(loop_factory=MeteredLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, MeteredLoop)
        meter = Meter("region-1")

        async def within() -> None:
            METER.set(meter)
            async with asyncio.timeout(TEST_TIMEOUT):
                await test(loop, meter)

        runner.run(within())


async def echo_server(loop: MeteredLoop) -> Address:
    """Answers what it reads, uncounted."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    address = free_address()
    await asyncio.start_server(answer, address.host, address.port)
    return address


def test_connections_to_control_are_counted_and_others_are_not() -> None:
    async def test(loop: MeteredLoop, meter: Meter) -> None:
        control, other = await echo_server(loop), await echo_server(loop)
        loop.network.destinations[control] = Destination(Part.LIST, "")
        for address in (control, other):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b"0123456789")
            assert await reader.readexactly(10) == b"0123456789"
            writer.close()
        traffic = meter.traffic[Part.LIST]
        assert (traffic.sent, traffic.received, traffic.packets) == (10, 10, 2)
        assert sum(one.sent for one in meter.traffic.values()) == 10

    metered(test)


def test_peers_connections_are_counted_apart_from_their_datagrams() -> None:
    async def test(loop: MeteredLoop, meter: Meter) -> None:
        peer = await echo_server(loop)
        loop.network.destinations[peer] = Destination(Part.PEERS, "region-1")
        _, writer = await asyncio.open_connection(peer.host, peer.port)
        writer.write(b"01234")
        writer.close()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(peer.host, peer.port)
        )
        transport.sendto(b"012", (peer.host, peer.port))
        assert meter.traffic[Part.PEER_CONNECTIONS].sent == 5
        assert meter.traffic[Part.PEERS].sent == 3
        transport.close()

    metered(test)


def test_parted_regions_hear_nothing_of_each_other_until_they_rejoin() -> None:
    async def test(loop: MeteredLoop, meter: Meter) -> None:
        far, near = await echo_server(loop), await echo_server(loop)
        loop.network.destinations[far] = Destination(Part.CONFIGURATION, "region-2")
        loop.network.destinations[near] = Destination(Part.CONFIGURATION, "region-1")
        reader, writer = await asyncio.open_connection(far.host, far.port)
        loop.network.part()
        writer.write(b"unheard")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await asyncio.open_connection(far.host, far.port)
        await asyncio.open_connection(near.host, near.port)
        loop.network.rejoin()
        assert await reader.read(1) == b"", "bytes are missing: the connection has ended"
        await asyncio.open_connection(far.host, far.port)

    metered(test)


def test_control_connections_of_nobody_are_told() -> None:
    async def test(loop: MeteredLoop, meter: Meter) -> None:
        control = await echo_server(loop)
        loop.network.destinations[control] = Destination(Part.LIST, "")
        METER.set(None)
        await asyncio.open_connection(control.host, control.port)
        assert loop.network.unmetered == 1

    metered(test)


# Interrupted


def descendants(marker: str) -> list[str]:
    """Command lines of the processes that have inherited an environment with this in it."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                if marker.encode() in (entry / "environ").read_bytes():
                    found.append((entry / "cmdline").read_bytes().replace(b"\0", b" ").decode())
            except OSError:
                continue  # it has ended, or is not ours to read
    return found


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_nothing(tmp_path: Path, number: signal.Signals) -> None:
    words = [
        "scale",
        "run",
        "--sidecars",
        "8",
        "--services",
        "2",
        "--real",
        "1",
        "--control",
        "3",
        "--seconds",
        "60",
    ]
    started = subprocess.Popen(
        [sys.executable, "-m", "millgw", *words],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )
    assert started.stderr is not None
    assert started.stderr.readline() == "starting\n"
    end = time.monotonic() + TEST_TIMEOUT
    while len(descendants(str(tmp_path))) < 6 and time.monotonic() < end:
        time.sleep(0.05)
    started.send_signal(number)
    code = started.wait(TEST_TIMEOUT)
    if number is not signal.SIGKILL:
        assert code == INTERRUPTED
        assert "all that was started has ended" in started.stderr.read()
    started.stderr.close()
    end = time.monotonic() + TEST_TIMEOUT
    while descendants(str(tmp_path)) or any(tmp_path.iterdir()):
        assert time.monotonic() < end, descendants(str(tmp_path))
        time.sleep(0.05)


# Bad input


@pytest.mark.parametrize(
    ("words", "named"),
    [
        (("run", "--sidecars", "3", "--services", "4"), "--services"),
        (("run", "--sidecars", "60", "--zones", "2", "--regions", "3"), "--regions"),
        (("run", "--sidecars", "60", "--real", "61"), "--real"),
        (("run", "--fault", "flood"), "flood"),
        (("run", "--regions", "1", "--fault", "regions-parted"), "regions-parted"),
        (("run", "--seconds", "0.1"), "--seconds"),
        (("run", "--sidecars", "0"), "--sidecars"),
        (("compare", "--sidecars", "600"), "--sidecars"),
    ],
)
def test_bad_input_is_one_line(words: Sequence[str], named: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["scale", *words]) == 2
    told = capsys.readouterr()
    assert told.out == ""
    assert told.err.startswith("millgw: ")
    assert told.err.count("\n") == 1
    assert named in told.err
