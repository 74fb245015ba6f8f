"""Fake control instance for tests of a sidecar: serves its document, or lets the test write each response."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

from millgw.configuration.document import Change, Document, WatchLine, encode_line
from millgw.platform.config import Address
from millgw.standins.address import free_address
from millgw.standins.http import Message
from millgw.standins.scripted import CHUNKED_HEAD, encode_chunk, read_message

HEARTBEAT_INTERVAL = 2.0  # s
NO_CONTENT_RESPONSE = b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"


def snapshot_line(document: Document) -> bytes:
    """The document as a snapshot line."""
    return encode_line(document.snapshot())


class ControlInstance:
    """Accepts reports, and answers a watch with its document; with `manual`, the test answers it."""

    def __init__(self, manual: bool = False, document: Document | None = None) -> None:
        self.address: Address = free_address()
        self.manual = manual
        self.document = Document() if document is None else document
        self.watches: asyncio.Queue[tuple[Message, asyncio.StreamWriter]] = asyncio.Queue()
        self.open_watches: list[asyncio.StreamWriter] = []
        self.watch_targets: list[str] = []  # request target of each watch
        self.reports: list[dict[str, Any]] = []
        self.report_answer = NO_CONTENT_RESPONSE

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.address.host, self.address.port)
        if not self.manual:
            self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            for writer in self.open_watches:
                writer.write(encode_chunk(b"\n"))

    def stop(self) -> None:
        """Close the listener and reset every watch."""
        self.server.close()
        for writer in self.open_watches:
            writer.transport.abort()
        self.open_watches.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            message = await read_message(reader)
            if message.first_line.startswith("POST /v1/configuration/reports "):
                self.reports.append(json.loads(message.body))
                writer.write(self.report_answer)
                writer.close()
                return
            self.watch_targets.append(message.first_line.split()[1])
            self.open_watches.append(writer)
            if self.manual:
                self.watches.put_nowait((message, writer))
            else:
                writer.write(CHUNKED_HEAD + encode_chunk(snapshot_line(self.document)))

    def commit(self, entries: Mapping[str, Mapping[str, Any] | None], epoch: int | None = None) -> int:
        """Commit a version and send it to every watch; returns its index."""
        changes = tuple(Change(name, value) for name, value in entries.items())
        self.document.apply(self.document.index + 1, self.document.epoch if epoch is None else epoch, changes)
        line = WatchLine(self.document.index, self.document.epoch, False, self.document.digest(), changes)
        for writer in self.open_watches:
            writer.write(encode_chunk(encode_line(line)))
        return self.document.index
