"""Recorded traffic as arrivals: CSV, JSON lines, and access logs in the common and combined formats. Pure.

Times may be seconds or milliseconds since anything, or dates with their time zones; what counts is how far
apart they are. A trace need not be in order. A line that can't be read is counted, and named as far as there
is room; it ends nothing unless the caller wants so.

A CSV has a header line; CSV and JSON lines know the names `at` (s; `at_ms`, `time`, `timestamp` too),
`class`, `tenant`, `key`, `host`, `method`, `path`, `size`, `patience_ms`. Access logs: NCSA common log
format, and its `combined` extension of Apache's mod_log_config.
"""

from __future__ import annotations

import csv
import json
import random
import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from datetime import datetime
from itertools import pairwise
from typing import Any

from millgw.load.arrivals import Arrival, Habits
from millgw.load.plan import Class

NAMED = 20  # bad lines that are named; the others are only counted
ACCESS = re.compile(
    r'^(?P<client>\S+) \S+ (?P<user>\S+) \[(?P<at>[^\]]+)\] "(?P<request>(?:[^"\\]|\\.)*)" (?P<status>\d{3})'
    r' (?P<size>\d+|-)(?: "(?P<referer>(?:[^"\\]|\\.)*)" "(?P<agent>(?:[^"\\]|\\.)*)")?'
)
ACCESS_TIME = "%d/%b/%Y:%H:%M:%S %z"
AT = ("at", "at_ms", "time", "timestamp")
KNOWN = (*AT, "class", "tenant", "key", "host", "method", "path", "size", "patience_ms")
FORMATS = ("csv", "jsonl", "access")


class TraceError(ValueError):
    """A trace that can't be used; the text names the line."""


@dataclass(slots=True, frozen=True)
class Entry:
    """One request of a trace, `at` in ms."""

    at: float
    cls: str = ""
    tenant: str = ""
    key: str = ""
    host: str = ""
    method: str = ""
    path: str = ""
    size: int = 0
    patience: float = 0.0


@dataclass
class Trace:
    """What was read: entries in the order of their times, and what could not be."""

    entries: list[Entry] = field(default_factory=list)
    bad: int = 0
    named: list[str] = field(default_factory=list)
    unordered: int = 0  # entries that came before the one above them
    gap: float = 0.0  # ms, the longest time without an entry


def guess(text: str) -> str:
    """The format of a trace by its first line."""
    first = text.lstrip().partition("\n")[0]
    if first.startswith("{"):
        return "jsonl"
    return "access" if ACCESS.match(first) else "csv"


def read(text: str, name: str, form: str = "", strict: bool = False) -> Trace:
    """A trace from its text; `name` is what errors call it."""
    form = form or guess(text)
    if form == "csv":
        lines = _csv(text, name)
    elif form == "jsonl":
        lines = _each(text, _json)
    elif form == "access":
        lines = _each(text, _access)
    else:
        raise TraceError(f"{name}: {form!r} is none of {', '.join(FORMATS)}")
    trace = Trace()
    last = None
    for number, made in lines:
        if isinstance(made, str):
            if strict:
                raise TraceError(f"{name}:{number}: {made}")
            trace.bad += 1
            if len(trace.named) < NAMED:
                trace.named.append(f"{name}:{number}: {made}")
            continue
        if last is not None and made.at < last:
            trace.unordered += 1
        last = made.at
        trace.entries.append(made)
    if not trace.entries:
        first = f"; {trace.named[0]}" if trace.named else ""
        raise TraceError(f"{name}: no line of it could be read as {form}{first}")
    trace.entries.sort(key=lambda e: e.at)
    zero = trace.entries[0].at
    trace.entries = [replace(e, at=e.at - zero) for e in trace.entries]
    trace.gap = max((b.at - a.at for a, b in pairwise(trace.entries)), default=0.0)
    return trace


Lines = Iterator[tuple[int, Entry | str]]


def _each(text: str, make: Callable[[str], Entry]) -> Lines:
    for number, line in enumerate(text.split("\n"), 1):
        if not line.strip():
            continue
        try:
            yield number, make(line)
        except (ValueError, TypeError, KeyError) as error:
            yield number, str(error)


def _json(line: str) -> Entry:
    value = json.loads(line)
    if not isinstance(value, dict):
        raise ValueError("not an object")
    return _entry(value)


def _csv(text: str, name: str) -> Lines:
    rows = csv.reader(text.splitlines())
    head = [word.strip().lower() for word in next(rows, [])]
    if not any(word in AT for word in head):
        raise TraceError(f"{name}:1: the header names none of {', '.join(AT)}")
    for row in rows:
        number = rows.line_num
        if not row:
            continue
        if len(row) != len(head):
            yield number, f"{len(row)} fields, the header has {len(head)}"
            continue
        try:
            yield number, _entry(dict(zip(head, row, strict=True)))
        except (ValueError, TypeError) as error:
            yield number, str(error)


def _entry(value: dict[str, Any]) -> Entry:
    words = {key: "" if value.get(key) is None else str(value[key]).strip() for key in KNOWN}
    at = next(((key, words[key]) for key in AT if words[key]), None)
    if at is None:
        raise ValueError("it has no time")
    size, patience = words["size"] or "0", words["patience_ms"] or "0"
    if not size.isdigit():
        raise ValueError(f"size {size!r} is no whole number")
    try:
        left = float(patience)
    except ValueError:
        raise ValueError(f"patience_ms {patience!r} is no number") from None
    if not 0 <= left < 1e9:
        raise ValueError(f"patience_ms {patience!r} is no wait")
    return Entry(
        _time(*at), words["class"], words["tenant"], words["key"], words["host"], words["method"].upper(),
        words["path"], int(size), left,
    )  # fmt: skip


def _time(key: str, text: str) -> float:
    """ms from a number (s, or ms by its name or its size) or a date (RFC 3339, with a time zone)."""
    try:
        number = float(text)
    except ValueError:
        moment = datetime.fromisoformat(text)
        if moment.tzinfo is None:
            raise ValueError(f"{text!r} names no time zone") from None
        return moment.timestamp() * 1000
    if not abs(number) < 1e16:
        raise ValueError(f"{text!r} is no time")
    # Unix times of this century: 1e9 to 4e9 s, 1e12 to 4e12 ms.
    return number if key == "at_ms" or number > 1e11 else number * 1000


def _access(line: str) -> Entry:
    match = ACCESS.match(line)
    if match is None:
        raise ValueError("not in the common log format")
    request = match["request"].split()
    if len(request) < 2 or not request[0].isalpha():
        raise ValueError(f"no request: {match['request'][:40]!r}")
    at = datetime.strptime(match["at"], ACCESS_TIME).timestamp() * 1000
    user = "" if match["user"] == "-" else match["user"]
    return Entry(at, tenant=user, method=request[0].upper(), path=request[1])


@dataclass(slots=True, frozen=True)
class Changes:
    """How a trace is played. `rate` times as many arrivals, `stretch` times as long, `cut` in s of the trace.

    `classes` are (start of the path, class) pairs: the longest that fits an entry without a class names it.
    """

    rate: float = 1.0
    stretch: float = 1.0
    cut: tuple[float, float] | None = None
    classes: tuple[tuple[str, str], ...] = ()


def entries(trace: Trace, changes: Changes, seed: int) -> list[Entry]:
    """The trace's entries as they are to be played, from 0 on."""
    some = trace.entries
    if changes.cut is not None:
        low, high = (s * 1000 for s in changes.cut)
        some = [replace(e, at=e.at - low) for e in some if low <= e.at < high]
    rng = random.Random(f"trace {seed}")
    out = []
    whole, rest = divmod(changes.rate, 1.0)
    for i, entry in enumerate(some):
        cls = entry.cls or _class(entry.path, changes.classes)
        entry = replace(entry, at=entry.at * changes.stretch, cls=cls)
        copies = int(whole) + (rng.random() < rest)
        following = some[i + 1].at * changes.stretch if i + 1 < len(some) else entry.at
        for copy in range(copies):
            # What is more than the trace comes between its entries: not all at the same moments.
            shift = (following - entry.at) * rng.random() if copy else 0.0
            out.append(replace(entry, at=entry.at + shift))
    out.sort(key=lambda e: e.at)
    return out


def _class(path: str, classes: Sequence[tuple[str, str]]) -> str:
    fits = [(len(start), name) for start, name in classes if path.startswith(start)]
    return max(fits)[1] if fits else ""


def arrivals(
    some: Sequence[Entry], classes: Sequence[Class], tenants: Sequence[str], habits: Habits, seed: int
) -> Iterator[Arrival]:
    """A trace's entries as arrivals; a class that is none of those known is the first one."""
    known = {c.name: c for c in classes}
    rng = random.Random(f"habits {seed}")
    for number, entry in enumerate(some):
        cls = known.get(entry.cls, classes[0])
        a, b, c, d, e, f = (rng.random() for _ in range(6))
        low, high = habits.try_share
        patience = entry.patience or cls.deadline * (low + (high - low) * a)
        wait = 0.0 if b < habits.at_once else habits.wait[0] + (habits.wait[1] - habits.wait[0]) * c
        yield Arrival(
            at=entry.at,
            number=number,
            cls=cls.name,
            tenant=entry.tenant or (tenants[number % len(tenants)] if tenants else ""),
            key=(entry.key or f"{seed:x}-{number:x}") if cls.repeat == "dedup" else "",
            patience=patience,
            retries=habits.retries,
            wait=wait,
            honours=d < habits.honour,
            leaves=patience * e if f < habits.impatient else None,
            about=entry.key or f"{number:x}",
            size=entry.size,
            host=entry.host,
            path=entry.path,
        )


def word(arrival: Arrival) -> str:
    """An arrival as a line of a trace that plays again."""
    value = {
        "at_ms": round(arrival.at, 3), "class": arrival.cls, "tenant": arrival.tenant, "key": arrival.about,
        "host": arrival.host, "size": arrival.size, "patience_ms": round(arrival.patience, 1),
        "path": arrival.path,
    }  # fmt: skip
    return json.dumps({key: v for key, v in value.items() if v not in ("", 0)} | {"at_ms": value["at_ms"]})
