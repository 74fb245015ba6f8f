"""Splits the text of a watch into JSON objects: one object a line, or indented over several lines. No I/O.

Strings of JSON hold no line ends, so brackets can be counted line by line. Whether an object is valid is left
to the parser that takes it.
"""

from __future__ import annotations

import json
import re

STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"')
PLAIN_STRING_PATTERN = re.compile(rb'"[^"]*"')  # of a line without escapes
# All bytes but quotes and brackets: removed first from lines without escapes, which is several times faster
NO_STRUCTURE = bytes(set(range(256)) - set(b'"{}[]'))
BEFORE_NESTED_OBJECT = b"[,:"  # what an object inside another one may follow


class WatchText:
    """The text of one watch, taken line by line."""

    def __init__(self) -> None:
        self.pending = bytearray()  # the lines of an object that has begun
        self.depth = 0  # of its open brackets

    def take(self, line: bytes) -> list[bytes]:
        """The texts that this line completes, b"" for an empty line between objects.

        A text that can't be valid is returned at once: one that closes more brackets than it opens, ends in
        a string, or is followed by an object that can't be part of it.
        """
        texts = []
        if self.pending and self._begins_anew(line):
            texts.append(self._complete())
        if not self.pending and not line.strip():
            return [*texts, b""]
        self.pending += line + b"\n"
        bare = _without_strings(line)
        self.depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        if self.depth <= 0 or b'"' in bare:
            texts.append(self._complete())
        return texts

    def _begins_anew(self, line: bytes) -> bool:
        """Whether a line begins an object where none can stand in the one before."""
        return line[:1] == b"{" and self.pending.rstrip()[-1:] not in BEFORE_NESTED_OBJECT

    def _complete(self) -> bytes:
        text = bytes(self.pending).removesuffix(b"\n")
        self.pending.clear()
        self.depth = 0
        return text


def _without_strings(line: bytes) -> bytes:
    """The brackets of a line that are not in strings, and a quote if a string does not end."""
    if b"\\" in line:
        return STRING_PATTERN.sub(b"", line)
    return PLAIN_STRING_PATTERN.sub(b"", line.translate(None, NO_STRUCTURE))


class EntryScanner:
    """Reads the entries of a list in a text that grows, each once. The text may end anywhere."""

    def __init__(self) -> None:
        self.decoder = json.JSONDecoder()
        self.position = 0  # behind the last entry, in characters

    def scan(self, text: bytes) -> list[object]:
        """The entries that are complete and were not returned before, up to the first that can't be read."""
        decoded = text.decode("utf-8", "replace")
        position = self.position or decoded.find("[") + 1
        entries: list[object] = []
        while position > 0 and (position := decoded.find("{", position)) >= 0:
            try:
                entry, position = self.decoder.raw_decode(decoded, position)
            except (ValueError, RecursionError):
                break  # incomplete as yet, or what follows may be misread too
            self.position = position
            entries.append(entry)
        return entries
