"""Measures membership from a coordinator: the stand-in on loopback, in a process of its own.

    python -m benchmarks.membership removals  # from a node's drain or end to the last new send
    python -m benchmarks.membership cost      # memory and CPU of the source at 70 and 2,000 nodes
    python -m benchmarks.membership storm     # 400 clients lose the coordinator at once
    python -m benchmarks.membership client    # this client beside kazoo: start, memory, threads

Prints rows of Markdown tables. Wants idle cores.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import uvloop

from benchmarks.connections import SETTINGS
from millgw.membership.client import Client
from millgw.membership.member_tracker import DepartureSettings
from millgw.membership.protocol import Operation, Reply, Request, WatchEvent
from millgw.membership.servers import read_connect
from millgw.membership.source import DirectoryLocation, WatchedDirectory
from millgw.platform.config import Address
from millgw.platform.discovery import ListedEndpoint
from millgw.standins.address import free_address
from millgw.standins.coordinator.ensemble import Ensemble
from millgw.standins.http import Clock, Message, ServerConnection, listener, ok
from millgw.standins.sidecar_client import ready

PATH = "/services/login"
RATE = 1000.0  # calls a second at the daemon
LOOK_FOR = 0.6  # s after a removal in which sends are looked for


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def data(name: str, address: Address, status: str = "in_service") -> bytes:
    said = {"name": name, "address": str(address), "status": status, "since_ms": 1}
    return json.dumps(said).encode()


class Spot:
    """A bare endpoint that notes when its last request came."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = free_address()
        self.last = 0.0
        self.clock = Clock()
        self.listener = listener(self.address, self)
        self.listener.open()

    def opened(self, connection: ServerConnection) -> None: ...

    def lost(self, connection: ServerConnection) -> None: ...

    def bytes_came(self, connection: ServerConnection) -> bool:
        self.last = time.monotonic() * 1000
        return True

    def asked(self, connection: ServerConnection, message: Message) -> None:
        connection.write(ok())
        connection.request_done()


async def removals() -> None:
    print("| endpoints | removal | of | p50 | p99 | most |")
    print("| --- | --- | --- | --- | --- | --- |")
    for count, at_once in ((20, 3), (70, 8)):  # as many at once as count as told
        for kind in ("drain", "delete", "expiry"):
            lasts = await _removals(count, kind, 10 if kind == "drain" else at_once, 150)
            figures = " | ".join(f"{quantile(lasts, part):.0f} ms" for part in (0.5, 0.99, 1.0))
            print(f"| {count} | {kind} | {len(lasts)} | {figures} |", flush=True)


async def _removals(count: int, kind: str, at_once: int, wanted: int) -> list[float]:
    rng, lasts, turn = random.Random(count), list[float](), 0
    zk = Ensemble(faces=3)
    await zk.start()
    spots = {f"e{i}": Spot(f"e{i}") for i in range(count)}
    sessions = {n: zk.create_ephemeral(f"{PATH}/{n}", data(n, s.address)) for n, s in spots.items()}
    with tempfile.TemporaryDirectory() as folder:
        listen = free_address()
        daemon = _daemon(Path(folder), listen, zk.connect_string)
        try:
            while not await ready(listen):
                await asyncio.sleep(0.05)
            calls = asyncio.create_task(_calls(listen))
            await asyncio.sleep(2.0)
            while len(lasts) < wanted:
                gone = rng.sample(sorted(spots), at_once)
                start = {}
                for name in gone:
                    start[name] = time.monotonic() * 1000
                    if kind == "drain":
                        zk.write(f"{PATH}/{name}", data(name, spots[name].address, "terminating"))
                    elif kind == "delete":
                        zk.remove(f"{PATH}/{name}")
                    else:
                        zk.expire(sessions[name])
                await asyncio.sleep(LOOK_FOR)
                lasts += [max(0.0, spots[name].last - start[name]) for name in gone]
                for name in gone:
                    if kind != "expiry":
                        zk.expire(sessions.pop(name))
                    # Under another name: one that comes and goes has to wait before it is believed.
                    turn += 1
                    again = f"{name.partition('-')[0]}-{turn}"
                    spots[again] = spot = spots.pop(name)
                    sessions[again] = zk.create_ephemeral(f"{PATH}/{again}", data(again, spot.address))
                await asyncio.sleep(0.3)
            calls.cancel()
        finally:
            daemon.terminate()
            daemon.wait()
            for spot in spots.values():
                spot.listener.close()
            await zk.stop()
    return lasts


def _daemon(folder: Path, listen: Address, connect: str) -> subprocess.Popen[bytes]:
    # A short window: what is told here would be a mass within the usual 10 s.
    text = (
        f'[services.all.coordinator]\nconnect = "{connect}"\npath = "{PATH}"\nsession_s = 4\n'
        "window_s = 0.5\n"
        '[[routes]]\nto = "all"\n'
    )
    (folder / "operator.toml").write_text(text)
    config = {
        "name": "n1", "listen": str(listen), "discovery": "127.0.0.1:9", "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 64}, "settings": SETTINGS,
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(config))
    environ = os.environ | {"BALANCER_CONFIG": str(folder / "config.json")}
    words = [sys.executable, "-m", "millgw", "serve", "--operator", str(folder / "operator.toml")]
    return subprocess.Popen(words, env=environ, stderr=subprocess.DEVNULL)


async def _calls(listen: Address) -> None:
    """Calls at an even rate, each on the next of some kept connections, whatever became of those before."""
    lines = 16
    streams = [await asyncio.open_connection(listen.host, listen.port) for _ in range(lines)]
    tag = random.getrandbits(31)

    async def one(which: int) -> None:
        reader, writer = streams[which]
        number = which
        while True:
            number += lines
            writer.write(
                b"GET /api?k=7 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %016x\r\nX-Qos: read\r\nX-Customer: a\r\n"
                b"X-Expires-In-Ms: 2000\r\n\r\n" % (tag << 32 | number)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            size = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
            await reader.readexactly(int(size or 0))
            await asyncio.sleep(lines / RATE)

    await asyncio.gather(*(one(which) for which in range(lines)))


class Alone:
    """A directory without a pool."""

    def __init__(self, connect: str) -> None:
        servers, _ = read_connect(connect)
        self.known = 0
        self.directory = WatchedDirectory(
            DirectoryLocation(servers, PATH, 10_000.0, DepartureSettings()), (), 1, self, self.changed
        )

    def changed(self, ready: dict[int, ListedEndpoint], drains: dict[int, ListedEndpoint]) -> None:
        self.known = len(ready)

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None:
        return 0.0, math.inf, -math.inf, -math.inf

    def misses(self, endpoint: int) -> int:
        return 0


class Coordinator:
    """The stand-in in a process of its own, told by lines."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "millgw", "coordinator"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert self.process.stdout is not None
        self.connect = str(json.loads(self.process.stdout.readline())["connect"])

    def say(self, *lines: str) -> None:
        assert self.process.stdin is not None and self.process.stdout is not None
        for line in lines:
            self.process.stdin.write(line + "\n")
            self.process.stdin.flush()
            self.process.stdout.readline()

    def fill(self, count: int) -> None:
        """So many members."""
        for i in range(count):
            self.say(f"own {PATH}/e{i} {data(f'e{i}', Address('127.0.0.1', 1024 + i)).decode()}")

    def stop(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


def resident() -> float:
    """MB of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() / 2**20


def spent() -> float:
    """ms of CPU of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return (used.ru_utime + used.ru_stime) * 1000


async def cost(count: int) -> None:
    zk = Coordinator()
    zk.fill(count)
    before, cpu = resident(), spent()
    alone = Alone(zk.connect)
    alone.directory.start()
    start = time.monotonic()
    while alone.known < count:
        await asyncio.sleep(0.005)
    first, first_cpu, memory = (time.monotonic() - start) * 1000, spent() - cpu, resident() - before
    cpu = spent()
    await asyncio.sleep(10.0)
    idle = (spent() - cpu) / 10
    cpu, end, number = spent(), time.monotonic() + 10.0, 0

    def change() -> None:
        nonlocal number
        while time.monotonic() < end:
            number += 1
            said = data("e0", Address("127.0.0.1", 1024)).decode()[:-1] + f', "n": {number}}}'
            zk.say(f"put {PATH}/e0 {said}")
            time.sleep(0.01)

    changing = threading.Thread(target=change)
    changing.start()
    await asyncio.sleep(10.0)
    changing.join()
    busy = (spent() - cpu) / 10
    print(
        f"| {count} | {first:.0f} ms | {first_cpu:.0f} ms | {memory:.1f} MB | {idle:.1f} ms/s"
        f" | {busy:.1f} ms/s at {number / 10:.0f} changes/s |",
        flush=True,
    )
    alone.directory.stop()
    zk.stop()


class Storming:
    """One client of the storm, which reads the directory whenever its session is new."""

    def __init__(self, storm: Storm, seed: int) -> None:
        self.storm = storm
        self.client = Client(storm.servers, 4000.0, random.Random(seed), self)

    def on_connected(self, fresh: bool, doubtful: bool) -> None:
        self.storm.ups.append(time.monotonic())
        self.client.send(Request(Operation.CHILDREN, PATH))

    def on_disconnected(self) -> None: ...

    def on_reply(self, reply: Reply) -> None: ...

    def on_watch_event(self, fired: WatchEvent) -> None: ...


class Storm:
    def __init__(self, connect: str) -> None:
        self.servers = read_connect(connect)[0]
        self.ups: list[float] = []


async def storm(count: int) -> None:
    zk = Ensemble(faces=3)
    await zk.start()
    zk.put(PATH)
    made = Storm(zk.connect_string)
    clients = [Storming(made, seed) for seed in range(count)]
    for one in clients:
        one.client.start()
    while len(made.ups) < count:
        await asyncio.sleep(0.01)
    for refusing in (0.0, 3.0):
        made.ups.clear()
        told = [face.counts.connections for face in zk.servers]
        start = time.monotonic()
        for face in zk.servers:
            face.faults.refusing = refusing > 0
            face.drop_connections()
        seen, last = Counter[int](), sum(told)
        back = start + refusing
        while len(made.ups) < count:
            await asyncio.sleep(0.01)
            now = sum(face.counts.connections for face in zk.servers)
            seen[int((time.monotonic() - start) * 10)] += now - last
            last = now
            if time.monotonic() >= back:
                for face in zk.servers:
                    face.faults.refusing = False
        done = time.monotonic() - start
        half = statistics.median(made.ups) - start
        when = f"after {refusing:g} s" if refusing else "at once"
        print(
            f"| {count} | {when} | {max(seen.values())} in 0.1 s | {sum(seen.values())}"
            f" | {half:.2f} s | {done:.2f} s |",
            flush=True,
        )
    for one in clients:
        one.client.stop()
    await zk.stop()


OURS = """
import time; t = time.monotonic()
import asyncio, sys, uvloop
from pathlib import Path
import httptools, json, msgspec
from millgw.pool.pool import Pool
size = lambda: int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20
base, t = size(), time.monotonic()
"""
KAZOO = """
import kazoo.client, threading
made = time.monotonic() - t
k = kazoo.client.KazooClient(hosts=sys.argv[1]); k.start()
seen = []
def one(name): k.DataWatch("/services/login/" + name)(lambda data, stat: seen.append(name))
@k.ChildrenWatch("/services/login")
def watch(names): [one(n) for n in names if n not in seen]
while len(seen) < 70: time.sleep(0.001)
print(f"| kazoo | {made * 1000:.0f} ms | {(time.monotonic() - t) * 1000:.0f} ms | {size() - base:.1f} MB"
      f" | {threading.active_count()} |")
k.stop()
"""
MILLGW = """
import threading
from millgw.membership.member_tracker import DepartureSettings
from millgw.membership.servers import read_connect
from millgw.membership.source import DirectoryLocation, WatchedDirectory
made, known = time.monotonic() - t, set()
class Blind:
    seen = staticmethod(lambda endpoint: None)
    misses = staticmethod(lambda endpoint: 0)
async def main():
    where = DirectoryLocation(read_connect(sys.argv[1])[0], "/services/login", 10_000.0, DepartureSettings())
    directory = WatchedDirectory(where, (), 1, Blind, lambda ready, drains: known.update(ready))
    directory.start()
    while len(known) < 70: await asyncio.sleep(0.001)
    print(f"| this one | {made * 1000:.0f} ms | {(time.monotonic() - t) * 1000:.0f} ms"
          f" | {size() - base:.1f} MB | {threading.active_count()} |")
    directory.stop()
uvloop.run(main())
"""


def client() -> None:
    zk = Coordinator()
    zk.fill(70)
    for code in (OURS + MILLGW, OURS + KAZOO) * 3:
        subprocess.run([sys.executable, "-c", code, zk.connect], check=True)
    zk.stop()


def main(what: str) -> None:
    if what == "removals":
        uvloop.run(removals())
    elif what == "cost":
        print("| nodes | first whole list | CPU for it | memory | idle | while data changes |")
        print("| --- | --- | --- | --- | --- | --- |")
        for count in (70, 2000):
            uvloop.run(cost(count))
    elif what == "storm":
        print("| clients | they may come back | peak | connections in all | half are back | all are back |")
        print("| --- | --- | --- | --- | --- | --- |")
        for _ in range(3):
            uvloop.run(storm(400))
    else:
        print("| client | import | to 70 nodes known | memory above the daemon's | threads |")
        print("| --- | --- | --- | --- | --- |")
        client()


if __name__ == "__main__":
    if sys.argv[1:] not in (["removals"], ["cost"], ["storm"], ["client"]):
        raise SystemExit(__doc__)
    main(sys.argv[1])
