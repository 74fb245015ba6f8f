"""Stand-ins and helpers of the cases 6 to 10: endpoints, discovery, clients, and the sidecar's own process.

Only the standard library. All addresses are loopback ones with free ports, the clock is the real one. The
sidecar is started by `run` of deploy/balancer.toml. Everything that was sent, answered and run goes to the
case's record.txt, with the time in seconds since the start.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, what: str, **fields: object) -> float:
        at = self.now()
        told = "".join(f" {name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.4f} {what}{told}\n")
        return at


PORTS = range(10_000, 30_000)  # below those that systems give to outgoing connections
_taken: set[int] = set()


def bound_socket() -> socket.socket:
    """A socket at a free port, which this process has not used before."""
    while True:
        port = random.choice(PORTS)
        if port in _taken:
            continue
        _taken.add(port)
        made = socket.socket()
        try:
            made.bind(("127.0.0.1", port))
        except OSError:
            made.close()
            continue
        return made


def free_port() -> int:
    """A free port for another process, or for the coordinator."""
    with bound_socket() as probe:
        return int(probe.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, in the form that the wire page shows."""
    classes = [
        {
            "name": "envio-campanha", "deadline": 6000.0, "slo": 2500.0, "worth": 5.0, "lateValue": 0.3,
            "repeat": "dedup", "repeatWindow": 10000.0, "keyScope": "cell", "stream": False,
        },
        {
            "name": "codigo-acesso", "deadline": 4000.0, "slo": 1500.0, "worth": 8.0, "lateValue": 0.5,
            "repeat": "fragile", "repeatWindow": 5000.0, "keyScope": "all", "stream": False,
        },
    ]  # fmt: skip
    made: dict[str, Any] = {
        "classes": classes,
        "clients": {"marksRetry": False},
        "family": "chain",
        "familyInfo": {"passesDeadline": True},
        "limits": {
            "cancel": True, "connIdle": 30000.0, "connectTimeout": 250.0, "maxRetryAfter": 2000.0,
            "parallelTries": True, "peers": False, "probing": True, "retryAfter": False, "streamsPerConn": 1,
            "tryLimit": 3,
        },
        "localities": ["sala-caxias"],
        "machineTypes": ["entrada-media"],
        "me": 0,
        "overShareWorth": 0.05,
        "projects": [{"fraction": 1.0, "name": "rede-pampa", "quotaRps": 5000.0}],
        "registryMode": "on_request",
        "report": {"fields": [], "how": "off"},
        "rules": {
            "askWithin": 10000.0, "cold": 21000.0, "coldShare": 0.13, "drainGrace": 500.0, "fall": 1000.0,
            "fallMultiple": 2.5, "graceToAnswer": 20.0,
        },
        "siblings": 2,
        "stage": 1,
        "tick": 5.0,
        "tiers": ["entrada", "roteamento", "entrega"],
        "weights": "nominal",
        "worthBy": "request",
        "zone": 0,
    }  # fmt: skip
    return made | changes


class Request:
    """A request as an endpoint read it."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, reader: asyncio.StreamReader) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.reader = reader  # of its connection

    @property
    def trace(self) -> str:
        return self.headers.get("x-trace-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request on a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head[:-4].split("\r\n")
        headers = {n.strip().lower(): v.strip() for n, _, v in (f.partition(":") for f in fields)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(line, headers, body, reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer(status: int, body: bytes = b"", extra: str = "") -> bytes:
    reason = {200: "OK", 500: "Error", 503: "Unavailable"}.get(status, "Status")
    return f"HTTP/1.1 {status} {reason}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


Serve = Callable[["Endpoint", Request, asyncio.StreamWriter], Awaitable[bool]]


class Endpoint:
    """A stand-in endpoint: answers 200 with a body of its own name and the request's id.

    `serve` may act otherwise; it returns whether the connection goes on.
    """

    def __init__(self, record: Record, name: str, serve: Serve | None = None, **entry: Any) -> None:
        self.record = record
        self.name = name
        self.serve = serve
        self.socket = bound_socket()
        self.port = int(self.socket.getsockname()[1])
        self.entry = {
            "name": name, "address": f"127.0.0.1:{self.port}", "zone": "sala-caxias", "type": "entrada-media",
            "group": 1, "status": "in_service", "weight": 1.0, "since_ms": 0,
        } | entry  # fmt: skip
        self.open: set[asyncio.StreamWriter] = set()  # its connections
        self.got: list[tuple[float, str]] = []  # when the last byte of each request had come, and its id

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, sock=self.socket)

    def die(self) -> None:
        """End as a process does: its connections are reset, and new ones refused."""
        self.record.note("endpoint-dies", name=self.name)
        self.server.close()
        for writer in list(self.open):
            reset(writer)

    def body(self, request: Request) -> bytes:
        return f"{self.name} made this for {request.trace}".encode()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        with suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                if request.target.startswith("/health"):
                    writer.write(answer(200, b"up"))
                    continue
                self.got.append((self.record.note("run", at=self.name, id=request.trace), request.trace))
                if self.serve is not None:
                    if not await self.serve(self, request, writer):
                        break
                    continue
                writer.write(answer(200, self.body(request)))
                await writer.drain()
        self.open.discard(writer)
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection as a process that dies does: the other side gets a reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Discovery:
    """A stand-in discovery: whole lists, watches with changes, an empty line every 2 s.

    `turns_away`: it is up, and has too many callers: each new call ends with 503.
    """

    def __init__(self, record: Record, name: str, entries: list[dict[str, Any]], index: int = 41) -> None:
        self.record = record
        self.name = name
        self.entries = {e["name"]: e for e in entries}
        self.index = index
        self.changed: dict[str, int] = {}
        self.socket = bound_socket()
        self.port = int(self.socket.getsockname()[1])
        self.watches: set[asyncio.StreamWriter] = set()
        self.turns_away = False
        self.answers_after = 0.0  # s that a call waits in turn
        self.calls = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connection, sock=self.socket)

    def whole(self) -> dict[str, Any]:
        listed = [e for e in self.entries.values() if e["status"] != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def change(self, name: str, **fields: Any) -> float:
        """Change an entry, and write the change to all watches; returns when."""
        self.index += 1
        self.entries[name] = self.entries[name] | fields
        self.changed[name] = self.index
        line = {"index": self.index, "snapshot": False, "endpoints": [self.entries[name]]}
        at = self.record.note("discovery-change", by=self.name, entry=name, to=fields)
        for writer in list(self.watches):
            self._line(writer, line)
        return at

    def _line(self, writer: asyncio.StreamWriter, line: dict[str, Any] | None) -> None:
        data = (b"" if line is None else json.dumps(line).encode()) + b"\n"
        if line is not None:
            listed = ",".join(f"{e['name']}:{e['status']}" for e in line["endpoints"])
            self.record.note("discovery-told", by=self.name, index=line["index"], listed=listed)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def reset_watches(self) -> None:
        self.record.note("discovery-resets-watches", by=self.name)
        for writer in list(self.watches):
            self.watches.discard(writer)
            reset(writer)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                self.record.note("discovery-call", by=self.name, target=request.target)
                if self.answers_after:
                    await asyncio.sleep(self.answers_after)
                if self.turns_away:
                    self.record.note("discovery-turns-away", by=self.name)
                    writer.write(answer(503))
                    continue
                if "watch=1" not in request.target:
                    writer.write(answer(200, json.dumps(self.whole()).encode()))
                    continue
                query = request.target.partition("?")[2].split("&")
                since = dict(part.split("=", 1) for part in query).get("from")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if since is None or int(since) > self.index:
                    self._line(writer, self.whole())
                else:
                    newer = [self.entries[n] for n, at in self.changed.items() if at > int(since)]
                    self._line(writer, {"index": self.index, "snapshot": False, "endpoints": newer})
                self.watches.add(writer)
                while writer in self.watches and not writer.is_closing():
                    await asyncio.sleep(2.0)
                    if writer in self.watches:
                        self._line(writer, None)
                        await writer.drain()
        self.watches.discard(writer)
        writer.close()


class Sidecar:
    """One sidecar, started as `run` of the deploy file says."""

    def __init__(self, record: Record, discovery: str, known: dict[str, Any] | None, **config: Any) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.temporary = self.folder / "tmp"
        self.temporary.mkdir()
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": secrets.token_hex(8), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": settings(),
        } | config  # fmt: skip
        self.operator = ""
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the configuration in one step, so that no half of it can be read."""
        path = self.folder / "config.json"
        (self.folder / "config.new").write_text(json.dumps(self.config))
        (self.folder / "config.new").replace(path)
        if self.operator:
            (self.folder / "operator.toml").write_text(self.operator)

    async def start(self, ready_within: float = 20.0) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("BALANCER_", "MILLGW_"))}
        environment |= {
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.temporary),
        }
        if self.operator:
            environment["BALANCER_OPERATOR"] = str(self.folder / "operator.toml")
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note("sidecar-started", pid=self.process.pid, listen=self.config["listen"])
        until = time.monotonic() + ready_within
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"the sidecar ended with {self.process.returncode}: {self.log()[-600:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                status, _ = await asyncio.wait_for(get(self.port, "/ready"), 1.0)
                if status == 200:
                    self.record.note("sidecar-ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"the sidecar did not become ready: {self.log()[-600:]}")

    def signal(self, number: signal.Signals) -> float:
        assert self.process is not None
        self.process.send_signal(number)
        return self.record.note("signal", sent=number.name)

    def kill(self) -> None:
        """End it outright, without a word."""
        assert self.process is not None
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if (self.folder / "log").exists():
            self.record.file.write("\n--- the sidecar's log\n" + self.log()[-20000:])
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Status and body of the next answer, and whether its connection ends with it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head[:-4].split("\r\n")
    headers = {n.strip().lower(): v.strip() for n, _, v in (f.partition(":") for f in fields)}
    status, closes = int(line.split(" ")[1]), headers.get("connection", "").lower() == "close"
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return status, body, closes
    return status, await reader.readexactly(int(headers.get("content-length", "0"))), closes


async def get(port: int, path: str) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n".encode())
        status, body, _ = await read_answer(reader)
        return status, body
    finally:
        writer.close()


class Client:
    """A client: one request at a time on a kept connection, a new one where that has ended."""

    numbers = itertools.count(1)

    def __init__(self, record: Record, port: int, name: str) -> None:
        self.record = record
        self.port = port
        self.name = name
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None

    async def call(
        self, cls: str, method: str = "POST", key: str = "", time_left: int = 2000, body: bytes = b"x" * 32
    ) -> tuple[str, int, bytes]:
        """Send one request; returns its id, the answer's status (0: none came) and its body."""
        trace = f"{next(self.numbers):08x}{secrets.token_hex(4)}"
        told = f"Idempotency-Key: {key}\r\n" if key else ""
        if method == "GET":
            body = b""
        data = (
            f"{method} /api?k={secrets.token_hex(8)} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {trace}\r\n"
            f"X-Qos: {cls}\r\nX-Customer: rede-pampa\r\nX-Expires-In-Ms: {time_left}\r\n{told}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.record.note("sent", by=self.name, id=trace, cls=cls)
        status, text = 0, b""
        for _ in range(2):  # once more on a new connection, where the first crossed a close unread
            fresh = self.connection is None
            try:
                if self.connection is None:
                    self.connection = await asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = self.connection
                writer.write(data)
                status, text, closes = await asyncio.wait_for(read_answer(reader), time_left / 1000 + 1.0)
                if closes:
                    self.close()
                break
            except TimeoutError:
                self.close()
                break
            except (OSError, asyncio.IncompleteReadError):
                self.close()
                if fresh:
                    break
        self.record.note("answered", id=trace, status=status, body=text.decode(errors="replace")[:80])
        return trace, status, text


def play(folder: Path, case: Callable[[Record], Awaitable[tuple[bool, str]]]) -> None:
    """Run a case, which returns whether the rule held and a line about it; ends with its exit code."""
    record = Record(folder)
    record.note("case", folder=folder.name, trouble=TROUBLE)
    try:
        held, why = asyncio.run(asyncio.wait_for(case(record), 110.0))
        code = HELD if held else BROKEN
        line = f"{'held' if held else 'BROKEN'}: {why}"
    except Exception as error:  # whatever it is, the case was not played to its end
        code, line = COULD_NOT_RUN, f"could not run: {type(error).__name__}: {error}"
    record.file.write(f"\n{line}\n")
    record.file.close()
    print(f"case {folder.name}, trouble {int(TROUBLE)}: {line}", flush=True)
    os._exit(code)  # connections that the stand-ins still hold end with the process
