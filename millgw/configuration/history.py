"""History of the committed document: its newest versions, each encoded once for all watches. No I/O."""

from __future__ import annotations

from millgw.configuration.document import Document, Version, WatchLine, encode_line

MAX_LINES = 256  # versions whose changes are kept for watches that reconnect
MAX_LINE_BYTES = 1024 * 1024  # bytes, the total size of these lines
NO_VERSION = -1
EMPTY = b""


class History:
    """The committed document and its recent changes, encoded as chunks of an HTTP body."""

    def __init__(self, max_lines: int = MAX_LINES, max_bytes: int = MAX_LINE_BYTES) -> None:
        self.max_lines = max_lines
        self.max_bytes = max_bytes
        self.document = Document()
        self.digests: dict[int, str] = {}  # by index, of the newest versions, oldest first
        self._chunks: dict[int, bytes] = {}  # changes by index, of the newest versions, oldest first
        self._chunk_bytes = 0
        self._snapshot: bytes | None = None

    @property
    def index(self) -> int:
        """The newest version's index."""
        return self.document.index

    def append(self, version: Version) -> None:
        """Append the next version. Versions must be appended in order and without gaps."""
        if version.index != self.index + 1:
            raise ValueError(f"version {version.index} does not follow version {self.index}")
        self.document.apply(version.index, version.epoch, version.changes)
        digest = self.document.digest()
        line = WatchLine(version.index, version.epoch, False, digest, version.changes)
        chunk = encode_chunk(encode_line(line))
        self._snapshot = None
        self._chunks[version.index] = chunk
        self._chunk_bytes += len(chunk)
        self.digests[version.index] = digest
        self._trim()

    def replace(self, document: Document) -> None:
        """Replace the document by a newer one if versions in between are missing; ignore an older one."""
        if document.index <= self.index:
            return
        self.document = document.copy()
        self.digests[document.index] = document.digest()
        self._snapshot = None
        self._chunks.clear()
        self._chunk_bytes = 0
        self._trim()

    def snapshot(self) -> bytes:
        """The whole document as a chunk, encoded on first use."""
        if self._snapshot is None:
            self._snapshot = encode_chunk(encode_line(self.document.snapshot()))
        return self._snapshot

    def chunks_after(self, index: int) -> bytes:
        """What a watch needs after version `index`: changes or a snapshot; nothing if it is not behind.

        After `NO_VERSION` always the snapshot, as a client that sends no version may hold any document.
        """
        if index == NO_VERSION:
            return self.snapshot()
        if index >= self.index:
            return EMPTY
        if index == self.index - 1 and self.index in self._chunks:
            return self._chunks[self.index]
        missed = range(index + 1, self.index + 1)
        if missed[0] not in self._chunks:
            return self.snapshot()
        changes = EMPTY.join(self._chunks[number] for number in missed)
        snapshot = self.snapshot()
        return changes if len(changes) <= len(snapshot) else snapshot

    def _trim(self) -> None:
        while len(self._chunks) > self.max_lines or self._chunk_bytes > self.max_bytes:
            oldest = next(iter(self._chunks))
            self._chunk_bytes -= len(self._chunks.pop(oldest))
        while len(self.digests) > self.max_lines:
            del self.digests[next(iter(self.digests))]


def encode_chunk(data: bytes) -> bytes:
    """Encode bytes as one chunk of an HTTP/1.1 body (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)
