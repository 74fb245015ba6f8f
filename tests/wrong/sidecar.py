"""A minimal sidecar of the deployment contract with one planted fault, named by its only argument.

It picks a random endpoint in service and makes one attempt on a new connection. `right` has no fault, and
neither has `bare`, which leaves out of an attempt all headers that the protocol makes optional. `misspells`
changes every request's target. The auditor's tests use it; it shares no code with the daemon.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from contextlib import suppress
from typing import Any

FAULT = sys.argv[1]
OPTIONAL_HEADERS = (b"X-Qos", b"X-Customer", b"X-Expires-In-Ms", b"Host")
FAULT_INTERVAL = 8  # each eighth request gets the fault, for faults that hit single requests
LATENESS_S = 0.3  # s after the caller's deadline, at which `late` answers


class Sidecar:
    def __init__(self, config: dict[str, Any]) -> None:
        self.endpoints = {e["name"]: e for e in config["known"]["endpoints"]}
        self.repeat = {c["name"]: c["repeat"] for c in config["settings"]["classes"]}
        self.discovery = config["discovery"]
        self.rng = random.Random(config["seed"])
        self.request_count = 0

    # Discovery

    async def watch(self) -> None:
        host, port = self.discovery.rsplit(":", 1)
        while True:
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/endpoints?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                while size := int(await reader.readline(), 16):
                    line = (await reader.readexactly(size + 2)).strip()
                    if line:
                        self.apply_listing(json.loads(line))
            await asyncio.sleep(0.1)

    def apply_listing(self, listing: dict[str, Any]) -> None:
        if listing["snapshot"] and FAULT != "after-drain":
            self.endpoints.clear()
        for entry in listing["endpoints"]:
            if entry["status"] == "in_service":
                self.endpoints[entry["name"]] = entry
            elif FAULT != "after-drain":
                self.endpoints.pop(entry["name"], None)

    def pick(self) -> dict[str, Any]:
        entries = list(self.endpoints.values())
        if FAULT == "floods":
            return max(entries, key=lambda e: e["since_ms"])
        # Cold endpoints are avoided, so that a sidecar without a fault breaks no rule.
        warm = [e for e in entries if e["since_ms"] + 8000 < time.time() * 1000]
        return self.rng.choice(warm or entries)

    # Calls

    async def attempt(self, endpoint: dict[str, Any], request: bytes) -> tuple[int, bytes, bool]:
        """Make one attempt; returns status (0: none), body, and whether the request certainly did not run."""
        host, port = endpoint["address"].rsplit(":", 1)
        if FAULT == "bare":
            request = b"\r\n".join(
                line for line in request.split(b"\r\n") if not line.startswith(OPTIONAL_HEADERS)
            )
        if FAULT == "misspells":
            request = request.replace(b"?k=", b"?q=")
        try:
            async with asyncio.timeout(0.25):
                reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0, b"", True
        try:
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length: ")[2].split("\r\n")[0])
            body = await reader.readexactly(length)
            return int(head.split()[1]), body, "x-never-ran: 1" in head
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return 0, b"", False
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /ready"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                elif not await self.answer(head, writer):
                    break
        writer.close()

    async def answer(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; returns False to close the connection."""
        self.request_count += 1
        with_fault = self.request_count % FAULT_INTERVAL == 0
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        patience = int(headers["x-expires-in-ms"]) / 1000
        start = time.monotonic()
        repeat = self.repeat[headers["x-qos"]]
        if FAULT == "loses" and with_fault:
            await asyncio.sleep(0.6)
            return False
        if FAULT == "makes-up" and with_fault:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nmade-u")
            return True
        if FAULT == "for-nobody":
            await asyncio.sleep(patience / 2)  # goes on when the client disconnects
        endpoint = self.pick()
        try:
            async with asyncio.timeout(patience - 0.05):
                status, body, not_run = await self.attempt(endpoint, head)
                status, body, not_run = await self.retry_wrongly(
                    endpoint, head, repeat, status, body, not_run
                )
        except TimeoutError:
            status, body, not_run = 0, b"", False
        if FAULT == "late" and with_fault:
            await asyncio.sleep(max(0.0, patience + LATENESS_S - (time.monotonic() - start)))
        refused = not_run or (FAULT == "refuses" and repeat == "fragile")
        code = 200 if status == 200 else 503 if refused else 502
        answer = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (code, len(body), body)
        writer.write(answer)
        if FAULT == "twice" and with_fault:
            writer.write(answer)
        if FAULT == "afterwards" and with_fault and repeat == "retryable":
            await writer.drain()
            await asyncio.sleep(0.4)
            await self.attempt(self.pick(), head)
        return True

    async def retry_wrongly(
        self, endpoint: dict[str, Any], head: bytes, repeat: str, status: int, body: bytes, not_run: bool
    ) -> tuple[int, bytes, bool]:
        """Forbidden retries of a request that may have run."""
        if status == 200 or not_run:
            return status, body, not_run
        if FAULT == "resends" and repeat == "fragile":
            return await self.attempt(self.pick(), head)
        if FAULT == "other-group" and repeat == "dedup":
            others = [e for e in self.endpoints.values() if e["group"] != endpoint["group"]]
            return await self.attempt(self.rng.choice(others), head)
        if FAULT == "past-window" and repeat == "dedup":
            await asyncio.sleep(1.0)
            return await self.attempt(endpoint, head)
        return status, body, not_run


async def main() -> None:
    with open(os.environ["BALANCER_CONFIG"]) as file:
        config = json.load(file)
    sidecar = Sidecar(config)
    host, port = config["listen"].rsplit(":", 1)
    await asyncio.start_server(sidecar.serve, host, int(port))
    await sidecar.watch()


asyncio.run(main())
