"""Evaluates the files of one directory: which segments are valid, what is torn, lost or damaged. Does no I/O.

    torn     bytes behind the last record, from a write that a crash interrupted: never acknowledged, dropped
    lost     an acknowledged record is missing: detected by the mark; unknown keys are unproven for a window
    damaged  something is unreadable or missing, with more behind it: refused, unless another copy is intact

A compacted segment is valid only if its END record is there; the segments that it replaces are then ignored.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from millgw.store import clock as clocks
from millgw.store import high_water_mark as marks
from millgw.store.high_water_mark import HighWaterMark
from millgw.store.record import HEADER_SIZE, FormatError, Record, SegmentHeader, SegmentScan, scan_segment

SEGMENT_NAME = re.compile(r"^seg-(\d{8})-(\d{8})-(\d{8})\.log$")


def segment_file_name(header: SegmentHeader) -> str:
    return f"seg-{header.number:08d}-{header.covers_from:08d}-{header.compaction_number:08d}.log"


@dataclass
class DirectoryState:
    """The state of one directory. `records` are in the order of their sequence numbers."""

    store_id: bytes | None = None
    mark: HighWaterMark | None = None
    headers: list[SegmentHeader] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    last_seq: int = 0  # the last sequence number
    torn: bool = False
    lost: list[str] = field(default_factory=list)
    damaged: list[str] = field(default_factory=list)
    salvaged: list[Record] = field(default_factory=list)  # records that are readable behind damage
    unused_files: list[str] = field(default_factory=list)  # files that hold nothing valid
    highest_segment: int = 0  # the highest number of any segment file
    highest_compaction: int = 0

    @property
    def empty(self) -> bool:
        return self.store_id is None and self.mark is None and not self.lost and not self.damaged


def inspect_directory(files: Mapping[str, bytes]) -> DirectoryState:
    """Evaluate the files of one directory, by name. Raises FormatError for a file of a newer format."""
    state = DirectoryState()
    read_marks = [marks.decode(files[name]) for name in marks.FILE_NAMES if name in files]
    state.mark = max((m for m in read_marks if m is not None), key=lambda m: m.generation, default=None)
    scans: dict[str, SegmentScan] = {}
    for name in sorted(files):
        match = SEGMENT_NAME.match(name)
        if match is None:
            if name not in (*marks.FILE_NAMES, clocks.FILE_NAME, clocks.TEMPORARY_NAME):
                state.unused_files.append(name)
            continue
        number, _, compaction = (int(n) for n in match.groups())
        state.highest_segment, state.highest_compaction = (
            max(state.highest_segment, number),
            max(state.highest_compaction, compaction),
        )
        try:
            scans[name] = scan_segment(files[name])
        except FormatError as error:
            raise FormatError(f"{name}: {error}") from None
    chosen = _select_segments(state, scans)
    _read_segments(state, chosen, scans)
    if state.mark is not None:
        state.store_id = state.store_id or state.mark.store_id
        if state.mark.acked > state.last_seq:
            state.lost.append(f"{state.mark.acked} was acknowledged, but the log ends at {state.last_seq}")
    elif state.headers and state.last_seq:
        # Without a mark the end of the log is unknown.
        state.lost.append("both marks are missing: the last acknowledged record is unknown")
    return state


def _select_segments(state: DirectoryState, scans: dict[str, SegmentScan]) -> list[str]:
    """The valid segments, in order; the others are added to `unused_files`."""
    ranges: dict[str, tuple[int, int, int]] = {}
    for name in scans:
        match = SEGMENT_NAME.match(name)
        assert match is not None
        number, covers_from, compaction = (int(n) for n in match.groups())
        ranges[name] = (number, covers_from, compaction)
    complete = [
        n
        for n, (_, _, compaction) in ranges.items()
        if compaction and scans[n].has_end_record and scans[n].header is not None
    ]
    replaced = set()
    for name in complete:
        number, covers_from, compaction = ranges[name]
        for other, (o_number, o_covers, o_compaction) in ranges.items():
            if other != name and covers_from <= o_covers and o_number <= number and o_compaction < compaction:
                replaced.add(other)
    state.unused_files += sorted(replaced)
    chosen = sorted((n for n in scans if n not in replaced), key=lambda n: ranges[n][:2])
    # An incomplete compacted segment beside those it would replace: the compaction was interrupted.
    for name in list(chosen):
        number, covers_from, compaction = ranges[name]
        if compaction and name not in complete:
            covered = [
                n for n in chosen if n != name and covers_from <= ranges[n][1] and ranges[n][0] <= number
            ]
            if covered:
                chosen.remove(name)
                state.unused_files.append(name)
    return chosen


def _read_segments(state: DirectoryState, chosen: list[str], scans: dict[str, SegmentScan]) -> None:
    """Collect the records of the segments in order, and detect gaps between them."""
    next_number: int | None = None
    next_seq: int | None = None
    for i, name in enumerate(chosen):
        final, segment = i == len(chosen) - 1, scans[name]
        match = SEGMENT_NAME.match(name)
        assert match is not None
        number, covers_from, compaction = (int(n) for n in match.groups())
        if next_number is not None and covers_from != next_number:
            state.damaged.append(f"segments {next_number} to {covers_from - 1} are missing before {name}")
        next_number = number + 1
        if segment.header is None:
            if final and not compaction:
                state.torn = (
                    True  # it was being created; the mark shows whether it held anything acknowledged
                )
                state.unused_files.append(name)
            elif segment.size < HEADER_SIZE:
                state.lost.append(f"{name}: ends at byte {segment.size}, within its header")
            else:
                state.damaged.append(f"{name}: its header can't be read")
            continue
        header = segment.header
        if state.store_id is not None and header.store_id != state.store_id:
            state.damaged.append(f"{name}: is of another store")
            continue
        state.store_id = header.store_id
        state.headers.append(header)
        if next_seq is not None and header.first_seq > next_seq and not compaction and not state.lost:
            state.lost.append(f"{name}: begins at {header.first_seq}, the one before ends at {next_seq - 1}")
        state.records += segment.records
        state.last_seq = max(state.last_seq, segment.last_seq, header.first_seq - 1)
        next_seq = state.last_seq + 1
        if segment.records_after_damage:
            state.damaged.append(
                f"{name}: byte {segment.readable_end} can't be read, and"
                f" {len(segment.records_after_damage)} records behind it can"
            )
            state.salvaged += segment.records_after_damage
        elif segment.torn or (compaction and not segment.has_end_record):
            if final and not compaction:
                state.torn = True
            elif segment.truncated or not segment.torn:
                state.lost.append(f"{name}: ends at byte {segment.readable_end}, before its last record")
            else:
                state.damaged.append(
                    f"{name}: byte {segment.readable_end} can't be read, and there are segments behind it"
                )
    if state.mark is not None:
        present = {h.number for h in state.headers}
        for number in state.mark.segments:
            if number not in present and not any(h.covers_from <= number <= h.number for h in state.headers):
                state.lost.append(f"segment {number} is missing")
    elif state.headers and state.headers[0].covers_from != 1:
        state.damaged.append(f"segments before {state.headers[0].covers_from} are missing")
