"""A plain sidecar of the deployment contract that does one thing wrong, named by its only argument.

It decides nothing well: a random endpoint in service, one attempt on a connection of its own. `right` does no
wrong, and `bare` none either: it leaves out of an attempt all that the protocol leaves free. `misspells`
changes every request's target. It is what the rehearsal kit's auditor is tested on, and shares no code with
the daemon.
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

WRONG = sys.argv[1]
FREE = (b"X-Qos", b"X-Customer", b"X-Expires-In-Ms", b"Host")
EVERY = 8  # requests between two wrongs
WORKING_LATE = 0.3  # s past the caller's patience


class Sidecar:
    def __init__(self, config: dict[str, Any]) -> None:
        self.endpoints = {e["name"]: e for e in config["known"]["endpoints"]}
        self.repeat = {c["name"]: c["repeat"] for c in config["settings"]["classes"]}
        self.discovery = config["discovery"]
        self.rng = random.Random(config["seed"])
        self.count = 0

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
                        self.heard(json.loads(line))
            await asyncio.sleep(0.1)

    def heard(self, listing: dict[str, Any]) -> None:
        if listing["snapshot"] and WRONG != "after-drain":
            self.endpoints.clear()
        for entry in listing["endpoints"]:
            if entry["status"] == "in_service":
                self.endpoints[entry["name"]] = entry
            elif WRONG != "after-drain":
                self.endpoints.pop(entry["name"], None)

    def pick(self) -> dict[str, Any]:
        entries = list(self.endpoints.values())
        if WRONG == "floods":
            return max(entries, key=lambda e: e["since_ms"])
        # Cold ones are left alone: a plain sidecar that breaks no rule.
        warm = [e for e in entries if e["since_ms"] + 8000 < time.time() * 1000]
        return self.rng.choice(warm or entries)

    # Calls

    async def attempt(self, endpoint: dict[str, Any], request: bytes) -> tuple[int, bytes, bool]:
        """Status (0: none came), body, and whether it surely never ran."""
        host, port = endpoint["address"].rsplit(":", 1)
        if WRONG == "bare":
            request = b"\r\n".join(line for line in request.split(b"\r\n") if not line.startswith(FREE))
        if WRONG == "misspells":
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
        """Answer one request; False ends the connection."""
        self.count += 1
        now = self.count % EVERY == 0
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        patience = int(headers["x-expires-in-ms"]) / 1000
        begun = time.monotonic()
        repeat = self.repeat[headers["x-qos"]]
        if WRONG == "loses" and now:
            await asyncio.sleep(0.6)
            return False
        if WRONG == "makes-up" and now:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nmade-u")
            return True
        if WRONG == "for-nobody":
            await asyncio.sleep(patience / 2)  # a wait that is not ended when the client leaves
        endpoint = self.pick()
        try:
            async with asyncio.timeout(patience - 0.05):
                status, body, never = await self.attempt(endpoint, head)
                status, body, never = await self.again(endpoint, head, repeat, status, body, never)
        except TimeoutError:
            status, body, never = 0, b"", False
        if WRONG == "late" and now:
            await asyncio.sleep(max(0.0, patience + WORKING_LATE - (time.monotonic() - begun)))
        refused = never or (WRONG == "refuses" and repeat == "fragile")
        code = 200 if status == 200 else 503 if refused else 502
        whole = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (code, len(body), body)
        writer.write(whole)
        if WRONG == "twice" and now:
            writer.write(whole)
        if WRONG == "afterwards" and now and repeat == "retryable":
            await writer.drain()
            await asyncio.sleep(0.4)
            await self.attempt(self.pick(), head)
        return True

    async def again(
        self, endpoint: dict[str, Any], head: bytes, repeat: str, status: int, body: bytes, never: bool
    ) -> tuple[int, bytes, bool]:
        """The wrong ways to try again what may have run."""
        if status == 200 or never:
            return status, body, never
        if WRONG == "resends" and repeat == "fragile":
            return await self.attempt(self.pick(), head)
        if WRONG == "other-group" and repeat == "dedup":
            others = [e for e in self.endpoints.values() if e["group"] != endpoint["group"]]
            return await self.attempt(self.rng.choice(others), head)
        if WRONG == "past-window" and repeat == "dedup":
            await asyncio.sleep(1.0)
            return await self.attempt(endpoint, head)
        return status, body, never


async def main() -> None:
    with open(os.environ["BALANCER_CONFIG"]) as file:
        config = json.load(file)
    sidecar = Sidecar(config)
    host, port = config["listen"].rsplit(":", 1)
    await asyncio.start_server(sidecar.serve, host, int(port))
    await sidecar.watch()


asyncio.run(main())
