"""Shared by the cases: processes, discovery, endpoints, clients and the record. Standard library only.

The sidecars are separate processes, started with `run` of deploy/balancer.toml. Discovery, endpoints and
clients are coroutines of the test process; they speak HTTP/1.1 on loopback as the protocol page says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import selectors
import signal
import socket
import struct
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_SAID = 10  # lines about breaks on standard output; record.txt has all
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run; says nothing about the rule."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """record.txt: one line for each event, with the seconds since the start of the test."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def write(self, text: str) -> None:
        print(f"{time.monotonic() - self.start:8.3f}  {text}", file=self.file, flush=True)

    def say(self, text: str) -> None:
        """Write to the record and to standard output."""
        self.write(text)
        print(text, flush=True)


class Processes:
    """The processes that the test started; `end` kills those that are left, by their ids."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.running: list[asyncio.subprocess.Process] = []

    async def start(
        self, name: str, command: list[str], environment: dict[str, str], log: Path, **more: Any
    ) -> asyncio.subprocess.Process:
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=os.environ | environment, stderr=output,
                **({"stdout": output, "stdin": asyncio.subprocess.DEVNULL} | more),
            )  # fmt: skip
        self.running.append(process)
        self.record.write(f"process {name} started, pid {process.pid}")
        return process

    async def end(self) -> None:
        for process in self.running:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()


def deploy_command(name: str) -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        command: str = tomllib.load(file)[name]
        return command


@dataclass
class Sidecar:
    """One sidecar process and what it needs to start again under the same name and addresses."""

    name: str
    folder: Path
    port: int
    config: dict[str, Any]
    operator: str
    processes: Processes
    process: asyncio.subprocess.Process | None = None
    environment: dict[str, str] = field(default_factory=dict)

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    def write_operator(self, text: str) -> None:
        """Replace the operator's file."""
        (self.folder / f"{self.name}.toml").write_text(text)

    async def start(self, within: float = 30.0) -> None:
        """Start it, and wait until it answers /ready with 200."""
        config, private = self.folder / f"{self.name}.json", self.folder / f"{self.name}.tmp"
        config.write_text(json.dumps(self.config))
        private.mkdir(exist_ok=True)
        environment = {"BALANCER_CONFIG": str(config), "TMPDIR": str(private)} | self.environment
        if self.operator:
            self.write_operator(self.operator)
            environment["BALANCER_OPERATOR"] = str(self.folder / f"{self.name}.toml")
        command = ["/bin/sh", "-c", deploy_command("run")]
        self.process = await self.processes.start(self.name, command, environment, self.log)
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CaseError(f"{self.name} ended with {self.process.returncode}: see {self.log}")
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    status, _ = await ask(self.port, b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                if status == 200:
                    return
            await asyncio.sleep(0.02)
        raise CaseError(f"{self.name} is not ready after {within} s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL, and wait for its end."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()


# HTTP


@dataclass
class Message:
    """A request or an answer: its first line, its headers in lower case, its body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a Content-Length or chunks; IncompleteReadError if the connection ends in it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


async def ask(port: int, request: bytes) -> tuple[int, bytes]:
    """Send one request on a connection of its own; returns status and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        answer = await read_message(reader)
        return int(answer.first.split()[1]), answer.body
    finally:
        writer.close()


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def reset(transport: asyncio.WriteTransport) -> None:
    """End a connection by a reset, as the end of a process does."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


Answering = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class Endpoint:
    """A server: `answering` gives the bytes of the answer to a whole request; None resets the connection."""

    def __init__(self, name: str, answering: Answering) -> None:
        self.name = name
        self.answering = answering
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                answer = await self.answering(await read_message(reader), writer)
                if answer is None:
                    reset(writer.transport)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test ends
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop as a process that dies: connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer.transport)

    def entry(self, status: str = "in_service", **more: Any) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "type": "m", "group": 0,
            "status": status, "weight": 1.0, "since_ms": 0,
        } | more  # fmt: skip


class Discovery:
    """Discovery: the whole list, watches with changes, an empty line every 2 s.

    It answers a call `delay` seconds after it came.
    """

    def __init__(self, record: Record, delay: float = 0.0) -> None:
        self.record = record
        self.delay = delay
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.told: dict[
            str, float
        ] = {}  # by name: when the first watch was written that it drains or is gone

    async def start(self, entries: list[dict[str, Any]]) -> None:
        self.entries = {entry["name"]: entry for entry in entries}
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """Change one entry, and tell all watches."""
        self.index += 1
        if entry["status"] == "terminated":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        line = {"index": self.index, "snapshot": False, "endpoints": [entry]}
        for writer in list(self.watches):
            self._write(writer, line)
            if entry["status"] != "in_service":
                self.told.setdefault(entry["name"], time.monotonic())
        self.record.write(f"discovery tells {len(self.watches)} watches: {entry['name']} {entry['status']}")

    @staticmethod
    def _write(writer: asyncio.StreamWriter, line: dict[str, Any] | None) -> None:
        data = b"\n" if line is None else json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(self.delay)
                if "watch=1" not in request.first:
                    writer.write(ok(json.dumps(self.known()).encode()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._write(writer, self.known())
                self.record.write("discovery answers a watch with the whole list")
                self.watches[writer] = self.index
                while True:
                    await asyncio.sleep(2.0)
                    self._write(writer, None)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test ends
        finally:
            self.watches.pop(writer, None)
            writer.close()


def request(method: str, cls: str, trace: str, deadline: int, headers: dict[str, str], body: bytes) -> bytes:
    """A client's request in the form of the protocol page."""
    lines = {
        "Host": "app.svc", "X-Trace-Id": trace, "X-Qos": cls, "X-Customer": "acme",
        "X-Expires-In-Ms": str(deadline),
    } | headers  # fmt: skip
    if method == "POST":
        lines["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} /api?k={trace[:8]} HTTP/1.1\r\n{head}\r\n".encode() + body


def settings(classes: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """The settings object of a small deployment, with figures like those of caxias-principal."""
    return {
        "classes": classes, "projects": [{"name": "acme", "quotaRps": 0}], "localities": ["a"], "zone": "a",
        "me": 0, "siblings": 1, "stage": 0, "tick": 5, "registryMode": "on_request", "weights": "nominal",
        "limits": {
            "tryLimit": 3, "parallelTries": False, "retryAfter": False, "maxRetryAfter": 2000,
            "probing": True, "cancel": True, "connectTimeout": 250, "connIdle": 30000, "maxOpen": 20000,
            "streamsPerConn": 1,
        },
        "rules": {
            "drainGrace": 500, "coldShare": 0.13, "cold": 21000, "fallMultiple": 2.5, "fall": 1000,
            "askWithin": 10000, "graceToAnswer": 500,
        },
    } | more  # fmt: skip


def sidecar_config(name: str, port: int, discovery: Discovery, table: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known(), "settings": table,
    }  # fmt: skip


Case = Callable[[Record, Processes, Path], Awaitable[list[str]]]


def main(case: Case, folder: Path, within: float = 110.0) -> int:
    """Run a case; it returns what broke the rule, one line each."""
    record = Record(folder)
    record.say(f"TROUBLE={int(TROUBLE)}")

    async def run(temporary: Path) -> list[str]:
        processes = Processes(record)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(within):
                return await case(record, processes, temporary)
        finally:
            await processes.end()
            # What the stand-ins' connections say from here on is of the end of the test.
            loop.set_exception_handler(lambda *_: None)

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            # By select(2), as epoll's time-outs are whole milliseconds.
            with asyncio.Runner(
                loop_factory=lambda: asyncio.SelectorEventLoop(selectors.SelectSelector())
            ) as runner:
                broken = runner.run(run(Path(temporary)))
        except (Exception, asyncio.CancelledError) as error:  # whatever it is, it is no verdict
            record.say(f"could not run: {type(error).__name__}: {error}")
            record.write(traceback.format_exc())
            for log in sorted(Path(temporary).glob("*.log")):
                record.write(f"--- end of {log.name}\n" + log.read_text(errors="replace")[-4000:])
            return NOT_RUN
        for log in sorted(Path(temporary).glob("*.log")):
            record.write(f"--- log of {log.name}\n" + log.read_text(errors="replace")[-20_000:])
    for number, line in enumerate(broken):
        (record.say if number < MOST_SAID else record.write)(f"BROKEN: {line}")
    record.say("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
