"""The command `configuration`: instances as processes, outcomes of proposals, where a version is in force."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from millgw.__main__ import main
from millgw.cli import exits
from millgw.configuration.control_client import (
    FleetStatus,
    InstanceStatus,
    Outcome,
    ProposalResult,
    fetch_document,
    fetch_status,
    propose,
)
from millgw.configuration.document import Change
from millgw.configuration.reports import Sidecar
from millgw.platform.config import Address
from millgw.standins.address import free_address
from tests.configuration_rig import call
from tests.kinds import pure_run_only
from tests.rig import TEST_TIMEOUT

pytestmark = pure_run_only

ROOT = Path(__file__).parent.parent


def eventually(holds: Callable[[], bool]) -> None:
    """Wait for something that no event tells of."""
    end = time.monotonic() + TEST_TIMEOUT
    while not holds():
        assert time.monotonic() < end, "it did not come to hold"
        time.sleep(0.05)


class Processes:
    """Instances, each in a process of its own with a store of its own."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder = folder
        self.voters = {f"c{number}": free_address() for number in range(1, count + 1)}
        self.running: dict[str, subprocess.Popen[str]] = {}

    @property
    def addresses(self) -> list[Address]:
        return list(self.voters.values())

    @property
    def words(self) -> list[str]:
        return [str(address) for address in self.addresses]

    @property
    def at(self) -> list[str]:
        return ["--at", ",".join(self.words)]

    def serve_words(self, name: str) -> list[str]:
        voters = ",".join(f"{voter}={address}" for voter, address in self.voters.items())
        return [
            "configuration",
            "serve",
            "--name",
            name,
            "--voters",
            voters,
            "--store",
            f"{self.folder}/{name}",
        ]

    def start(self, name: str, *more: str) -> None:
        words = [sys.executable, "-m", "millgw", *self.serve_words(name), *more]
        self.running[name] = subprocess.Popen(words, stderr=subprocess.PIPE, text=True, cwd=ROOT)

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.communicate()

    def statuses(self) -> FleetStatus:
        return asyncio.run(fetch_status(self.addresses, 2.0))

    def leader(self) -> str:
        """The name of the one that leads with a quorum, waited for."""
        found: list[str] = []

        def elected() -> bool:
            found[:] = [i.name for i in self.statuses().instances if i.role == "leader" and i.quorum]
            return len(found) == 1

        eventually(elected)
        return found[0]


@contextmanager
def processes(folder: Path, count: int = 3) -> Iterator[Processes]:
    made = Processes(folder, count)
    try:
        for name in made.voters:
            made.start(name, "--create")
        made.leader()
        yield made
    finally:
        for name in list(made.running):
            made.kill(name)


def report(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, dict[str, Any]]:
    """Exit code and JSON of one command of `configuration`."""
    capsys.readouterr()
    code = main(["configuration", *words, "--json"])
    told = json.loads(capsys.readouterr().out)
    assert told["exit"] == code
    return code, told


def tell(
    address: Address, name: str, index: int, digest: str, status: str = "applied", cause: str = ""
) -> None:
    body = {"name": name, "index": index, "digest": digest, "status": status, "cause": cause}
    answer = asyncio.run(call(address, "POST", "/v1/configuration/reports", body))
    assert answer.status == 204


# Processes


def test_a_change_is_set_read_and_waited_for_at_three_processes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with processes(tmp_path) as fleet:
        code, told = report(capsys, "set", *fleet.at, 'services.a={"n":1}', 'services.b={"n":2}')
        assert (code, told["outcome"], told["index"]) == (exits.HELD, "committed", 1)
        code, told = report(capsys, "set", *fleet.at, "--remove", "services.b", "--if-index", "1")
        assert (code, told["index"]) == (exits.HELD, 2)
        code, told = report(capsys, "set", *fleet.at, "services.a={}", "--if-index", "1")
        assert (code, told["outcome"], told["index"]) == (exits.NOT_HELD, "conflict", 2)
        code, told = report(capsys, "get", *fleet.at)
        assert (code, told["entries"]) == (exits.HELD, {"services.a": {"n": 1}})
        digest = told["digest"]
        assert report(capsys, "get", *fleet.at, "services.a")[0] == exits.HELD
        assert report(capsys, "get", *fleet.at, "services.b")[0] == exits.NOT_HELD

        wait = ["wait", "--index", "2", "--all", *fleet.words]
        code, told = report(capsys, *wait, "--within", "300ms")
        assert code == exits.INCONCLUSIVE, "no sidecar is known"
        for number, address in enumerate(fleet.addresses):
            tell(address, f"n{number}", 2, digest)
        assert report(capsys, *wait)[0] == exits.HELD
        eventually(lambda: {i.committed for i in fleet.statuses().instances} == {2})
        code, told = report(capsys, "status", *fleet.words)
        assert (code, told["in_force"]["applied"], told["committed"]) == (exits.HELD, 3, 2)
        tell(fleet.addresses[0], "n9", 1, digest)
        code, told = report(capsys, *wait, "--within", "300ms")
        assert (code, told["in_force"]["behind"]) == (exits.INCONCLUSIVE, 1)
        assert report(capsys, *wait, "--sidecars", "3", "--within", "300ms")[0] == exits.INCONCLUSIVE, (
            "--all holds as well"
        )
        some = ["wait", "--index", "2", "--sidecars", "3", *fleet.words]
        assert report(capsys, *some)[0] == exits.HELD
        tell(fleet.addresses[0], "n9", 2, digest, "refused", "services.a.n: over 0")
        code, told = report(capsys, *wait)
        assert (code, told["refusals"][0]["cause"]) == (exits.NOT_HELD, "services.a.n: over 0")
        assert report(capsys, "status", *fleet.words)[0] == exits.NOT_HELD
        nobody = str(free_address())
        assert report(capsys, "status", *fleet.words, nobody)[0] == exits.INCONCLUSIVE

        first = fleet.running["c1"]
        first.send_signal(signal.SIGTERM)
        assert first.wait(TEST_TIMEOUT) == exits.HELD


def test_a_relay_serves_as_a_process_and_proposals_to_it_reach_the_leader(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with processes(tmp_path, 1) as fleet:
        address = free_address()
        words = ["configuration", "serve", "--name", "r", "--follow", fleet.words[0]]
        words += ["--listen", str(address), "--store", f"{tmp_path}/r"]
        relay = subprocess.Popen([sys.executable, "-m", "millgw", *words], cwd=ROOT)
        try:
            at = ["--at", str(address)]
            code, told = report(capsys, "set", *at, 'a={"n":1}', "--within", f"{TEST_TIMEOUT}s")
            assert (code, told["outcome"]) == (exits.HELD, "committed")
            eventually(lambda: report(capsys, "get", *at)[1].get("entries") == {"a": {"n": 1}})
            # The voter knows it as it knows a sidecar.
            wait = ["wait", "--index", "1", "--all", fleet.words[0], str(address)]
            code, told = report(capsys, *wait)
            assert (code, told["in_force"]["applied"]) == (exits.HELD, 1)
            relay.send_signal(signal.SIGTERM)
            assert relay.wait(TEST_TIMEOUT) == exits.HELD
        finally:
            relay.kill()
            relay.wait()


def test_leaders_killed_while_proposals_are_out_lose_and_double_no_version(tmp_path: Path) -> None:
    acknowledged: dict[int, int] = {}
    unknown: list[int] = []
    stop = threading.Event()

    def change(fleet: Processes) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            changes = [Change(f"e{number}", {"n": number})]
            result = asyncio.run(propose(fleet.addresses, changes, "a", "", None, TEST_TIMEOUT))
            if result.outcome is Outcome.COMMITTED:
                assert result.index is not None
                acknowledged[number] = result.index
            else:
                unknown.append(number)

    with processes(tmp_path) as fleet:
        changing = threading.Thread(target=change, args=(fleet,))
        changing.start()
        try:
            for _ in range(2):
                _await_more(acknowledged, 5)
                killed = fleet.leader()
                fleet.kill(killed)
                _await_more(acknowledged, 2)
                fleet.start(killed)
        finally:
            stop.set()
            changing.join()
        assert len(set(acknowledged.values())) == len(acknowledged), "each version once"
        last = max(acknowledged.values())
        eventually(lambda: len({(i.committed, i.digest) for i in fleet.statuses().instances}) == 1)
        eventually(lambda: len(fleet.statuses().instances) == 3)
        line, _ = asyncio.run(fetch_document(fleet.addresses, 2.0))
        assert line is not None and line.index >= last
        entries = {change.name for change in line.changes}
        assert {f"e{number}" for number in acknowledged} <= entries, "none that was acknowledged is lost"
        assert line.index == len(entries), "one version for each entry"
        assert entries - {f"e{number}" for number in acknowledged} <= {f"e{number}" for number in unknown}


def _await_more(acknowledged: dict[int, int], more: int) -> None:
    wanted = len(acknowledged) + more
    eventually(lambda: len(acknowledged) >= wanted)


def test_without_a_majority_a_change_is_refused_and_the_rest_is_told(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with processes(tmp_path) as fleet:
        assert report(capsys, "set", *fleet.at, 'a={"n":1}')[0] == exits.HELD
        eventually(lambda: {i.committed for i in fleet.statuses().instances} == {1})
        fleet.kill("c1")
        fleet.kill("c2")
        eventually(lambda: not fleet.statuses().instances[0].quorum)
        code, told = report(capsys, "set", *fleet.at, 'a={"n":2}', "--within", "1s")
        assert (code, told["outcome"]) == (exits.NOT_HELD, "no quorum")
        code, told = report(capsys, "get", *fleet.at)
        assert (code, told["entries"]) == (exits.HELD, {"a": {"n": 1}})
        code, told = report(capsys, "status", fleet.words[2])
        assert (code, told["instances"][0]["quorum"]) == (exits.NOT_HELD, False)


def run_once(words: list[str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "millgw", *words],
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        cwd=ROOT,
    )


def test_a_store_that_is_lost_or_another_s_is_refused_in_one_line(tmp_path: Path) -> None:
    fleet = Processes(tmp_path, 1)
    (tmp_path / "c1").mkdir()
    lost = run_once(fleet.serve_words("c1"))
    assert lost.returncode == exits.BAD_INPUT
    assert lost.stderr.startswith("millgw: --store: there is no state of c1") and lost.stderr.count("\n") == 1
    fleet.start("c1", "--create")
    try:
        fleet.leader()
        taken = run_once(fleet.serve_words("c1"))
        assert (taken.returncode, taken.stderr.count("\n")) == (exits.BAD_INPUT, 1), "it is in use"
    finally:
        fleet.kill("c1")
    again = run_once([*fleet.serve_words("c1"), "--create"])
    assert again.returncode == exits.BAD_INPUT and "already" in again.stderr
    words = [word.replace("c1=", "c2=") if word != "c1" else "c2" for word in fleet.serve_words("c1")]
    foreign = run_once(words)
    assert foreign.returncode == exits.BAD_INPUT and "is of c1, not of c2" in foreign.stderr
    assert foreign.stderr.count("\n") == 1


def test_an_address_that_is_taken_is_refused_in_one_line(tmp_path: Path) -> None:
    fleet = Processes(tmp_path, 1)
    address = fleet.voters["c1"]
    with socket.create_server((address.host, address.port)):
        refused = run_once([*fleet.serve_words("c1"), "--create"])
    assert refused.returncode == exits.BAD_INPUT
    assert refused.stderr.startswith(f"millgw: {address}: ") and refused.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "words",
    [
        ["serve", "--name", "a", "--store", "s"],
        ["serve", "--name", "a b", "--voters", "a=127.0.0.1:1", "--store", "s"],
        ["serve", "--name", "b", "--voters", "a=127.0.0.1:1", "--store", "s"],
        ["serve", "--name", "a", "--voters", "a=127.0.0.1:1,a=127.0.0.1:2", "--store", "s"],
        ["serve", "--name", "a", "--voters", "a=127.0.0.1:1,b=127.0.0.1:1", "--store", "s"],
        ["serve", "--name", "a", "--voters", "a=localhost:1", "--store", "s"],
        ["serve", "--name", "a", "--voters", "a=127.0.0.1:1", "--follow", "127.0.0.1:2", "--store", "s"],
        ["serve", "--name", "a", "--voters", "a=127.0.0.1:1", "--listen", "127.0.0.1:2", "--store", "s"],
        ["serve", "--name", "r", "--follow", "127.0.0.1:1", "--store", "s"],
        ["serve", "--name", "r", "--follow", "127.0.0.1:1,x", "--listen", "127.0.0.1:2", "--store", "s"],
        ["set", "--at", "127.0.0.1:1"],
        ["set", "--at", "127.0.0.1:1", "a"],
        ["set", "--at", "127.0.0.1:1", "a=1"],
        ["set", "--at", "127.0.0.1:1", "a={"],
        ["set", "--at", "127.0.0.1:1", "a=@/no/such/file"],
        ["set", "--at", "127.0.0.1:1", "a={}", "--remove", "a"],
        ["set", "--at", "127.0.0.1", "a={}"],
        ["wait", "127.0.0.1:1", "--index", "1"],
        ["wait", "127.0.0.1:1", "--index", "0", "--all"],
    ],
)
def test_bad_input_is_named_in_one_line(words: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["configuration", *words]) == exits.BAD_INPUT
    said = capsys.readouterr()
    assert not said.out and said.err.startswith("millgw: ") and said.err.count("\n") == 1


# Outcomes


class Scripted:
    """An instance that answers each connection with the next of some answers; none: it just ends it."""

    def __init__(self, *answers: tuple[int, dict[str, Any]] | None) -> None:
        self.answers = list(answers)
        self.asked = 0
        self.address = free_address()
        self.socket = socket.create_server((self.address.host, self.address.port))
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                with connection:
                    connection.recv(65_536)
                    answer = self.answers[min(self.asked, len(self.answers) - 1)]
                    self.asked += 1
                    if answer is not None:
                        body = json.dumps(answer[1]).encode()
                        head = f"HTTP/1.1 {answer[0]} X\r\nContent-Length: {len(body)}\r\n\r\n"
                        connection.sendall(head.encode() + body)

    def close(self) -> None:
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


def outcome(*instances: Scripted, within: float = 1.0) -> ProposalResult:
    addresses = [instance.address for instance in instances]
    try:
        return asyncio.run(propose(addresses, [Change("a", {})], "a", "", None, within))
    finally:
        for instance in instances:
            instance.close()


def test_a_proposal_whose_answer_is_lost_is_not_known_and_not_repeated() -> None:
    for answer in (None, (504, {"cause": "the outcome is not known"}), (500, {}), (200, {})):
        first, second = Scripted(answer), Scripted((200, {"index": 1, "epoch": 1}))
        assert outcome(first, second).outcome is Outcome.UNKNOWN
        assert (first.asked, second.asked) == (1, 0)


def test_a_proposal_is_asked_again_while_nobody_leads() -> None:
    instance = Scripted(
        (503, {"cause": "no quorum"}), (421, {"leader": None}), (200, {"index": 7, "epoch": 2})
    )
    result = outcome(instance, within=TEST_TIMEOUT)
    assert (result.outcome, result.index, result.epoch) == (Outcome.COMMITTED, 7, 2)
    instance = Scripted((503, {"cause": "no quorum"}))
    assert outcome(instance, within=0.5).outcome is Outcome.NO_QUORUM


def test_a_proposal_follows_the_leader_but_not_round_and_round() -> None:
    leader = Scripted((200, {"index": 7, "epoch": 2}))
    follower = Scripted((421, {"leader": str(leader.address)}))
    assert outcome(follower, leader).outcome is Outcome.COMMITTED
    one = Scripted()
    one.answers.append((421, {"leader": str(one.address)}))
    assert outcome(one, within=0.5).outcome is Outcome.NO_QUORUM
    assert one.asked < 50


def test_what_is_refused_is_told_and_changes_nothing() -> None:
    conflict = outcome(Scripted((409, {"index": 9})))
    assert (conflict.outcome, conflict.index) == (Outcome.CONFLICT, 9)
    invalid = outcome(Scripted((400, {"cause": "changes: too large"})))
    assert (invalid.outcome, invalid.cause) == (Outcome.INVALID, "changes: too large")
    nobody = asyncio.run(propose([free_address()], [Change("a", {})], "a", "", None, 0.3))
    assert nobody.outcome is Outcome.UNREACHABLE


# Merging


def status_of(name: str, committed: int, digest: str, *sidecars: Sidecar) -> InstanceStatus:
    return InstanceStatus(name, name, "follower", 1, "", committed, digest, True, len(sidecars), sidecars)


def test_a_sidecar_that_moved_counts_once_and_differing_documents_are_told() -> None:
    old = Sidecar("n", 10.0, 0, 42, "d42")
    new = Sidecar("n", 1.0, 1, 43, "d43")
    fleet = FleetStatus([status_of("a", 43, "d43", old), status_of("b", 43, "d43", new)])
    summary = fleet.summary(43)
    assert (summary.known, summary.applied, fleet.split_versions()) == (1, 1, [])
    fleet.instances.append(status_of("c", 43, "other"))
    assert fleet.split_versions() == [43]
