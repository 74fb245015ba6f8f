"""The command `store`: check, show, compact, repair and benchmark a store's directories."""

from __future__ import annotations

import json
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from millgw.cli.exits import HELD, NOT_HELD, BadInput
from millgw.cli.kinds import DIRECTORY, Number
from millgw.cli.report import Out, Reporting, Serving
from millgw.store.files import Files, RealFiles, boot_id
from millgw.store.record import FormatError
from millgw.store.recovery import DirectoryState, inspect_directory
from millgw.store.store import Item, Store, StoreDamaged, StoreError, StoreOptions

DIRECTORIES = click.argument("directories", nargs=-1, required=True, type=DIRECTORY, metavar="DIR...")
WINDOW_OPTION = click.option(
    "--window-h",
    type=Number(),
    default=24.0,
    show_default=True,
    help="The longest lifetime of an entry, in hours.",
)


class StoreErrorGroup(click.Group):
    """Reports errors of the store as one line and an exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except StoreDamaged as error:
            click.echo(f"millgw: {error}", err=True)
            return NOT_HELD
        except (StoreError, FormatError, OSError) as error:
            raise BadInput(str(error)) from None


@click.group(cls=StoreErrorGroup)
def store() -> None:
    """Check, show, compact, repair and benchmark a store; give both directories of a mirrored one.

    Exit: 0 held, 1 records are lost or damaged, 2 bad input.
    """


@store.command(cls=Reporting, examples=["store check /var/lib/millgw"])
@DIRECTORIES
def check(out: Out, directories: Sequence[str]) -> int:
    """Read all of a store without changes; report what is torn, lost or damaged."""
    rows, lines, bad = [], [], False
    for directory in directories:
        state = _inspect(directory)
        bad = bad or bool(state.lost or state.damaged)
        rows.append(
            {
                "directory": directory, "segments": len(state.headers), "records": len(state.records),
                "last": state.last_seq, "acknowledged": state.mark.acked if state.mark else None,
                "torn": state.torn, "lost": state.lost, "damaged": state.damaged,
                "unused": state.unused_files,
            }
        )  # fmt: skip
        lines.append(
            f"{directory}: {len(state.records)} records in {len(state.headers)} segments,"
            f" last {state.last_seq}"
        )
        lines += [f"    lost: {place}" for place in state.lost]
        lines += [f"    damaged: {place}" for place in state.damaged]
        if state.torn:
            lines.append("    torn: bytes behind the last record, never acknowledged")
    return out.end(NOT_HELD if bad else HELD, {"stores": rows}, lines)


def _inspect(directory: str) -> DirectoryState:
    files = RealFiles(Path(directory), read_only=True)
    state = inspect_directory({name: files.read(name) for name in files.names()})
    if state.empty and not state.records:
        raise StoreError(f"{directory}: contains no store")
    return state


@store.command(cls=Serving, examples=["store dump /var/lib/millgw"])
@click.argument("directory", type=DIRECTORY)
def dump(directory: str) -> int:
    """Print the records, one JSON object per line."""
    state = _inspect(directory)
    for record in state.records:
        row = {
            "seq": record.seq, "kind": "put" if record.kind == 1 else "delete",
            "key": record.key.hex(), "value": record.value.hex(), "expires": record.expires,
        }  # fmt: skip
        click.echo(json.dumps(row))
    return NOT_HELD if state.lost or state.damaged else HELD


def _open(directories: Sequence[str], options: StoreOptions, repair: bool = False) -> Store:
    mirrors: list[Files] = [RealFiles(Path(d)) for d in directories]
    return Store(
        mirrors,
        options,
        lambda: time.time() * 1000,
        lambda: time.monotonic() * 1000,
        repair,
        boot_id=boot_id(),
    )


def _open_existing(directories: Sequence[str], window_h: float, repair: bool = False) -> Store:
    for directory in directories:
        if not Path(directory).is_dir():
            raise StoreError(f"{directory}: is not a directory")
    return _open(directories, StoreOptions(window_ms=window_h * 3_600_000), repair)


def _report_contents(out: Out, store: Store, code: int) -> int:
    contents = {"keys": len(store.index), "last": store.last_seq, "notes": store.notes}
    lines = [
        f"{len(store.index)} keys, last sequence number {store.last_seq}",
        *(f"    {note}" for note in store.notes),
    ]
    return out.end(code, contents, lines)


@store.command(cls=Reporting, examples=["store compact /var/lib/millgw"])
@DIRECTORIES
@WINDOW_OPTION
def compact(out: Out, directories: Sequence[str], window_h: float) -> int:
    """Merge all segments into one, without dead records."""
    opened = _open_existing(directories, window_h)
    try:
        while not opened.compact():
            pass
    finally:
        opened.close()
    return _report_contents(out, opened, HELD)


@store.command(cls=Reporting, examples=["store repair /var/lib/millgw"])
@DIRECTORIES
@WINDOW_OPTION
def repair(out: Out, directories: Sequence[str], window_h: float) -> int:
    """Salvage the readable records of a damaged store; unknown keys then count as sent for one window."""
    opened = _open_existing(directories, window_h, repair=True)
    opened.close()
    return _report_contents(out, opened, NOT_HELD if opened.notes else HELD)


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Make a temporary directory, with SIGINT held back until its removal is certain."""
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})
    try:
        return tempfile.TemporaryDirectory()
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)


@store.command(cls=Reporting, examples=["store bench"])
@click.argument("directories", nargs=-1, type=DIRECTORY, metavar="[DIR...]")
def bench(out: Out, directories: Sequence[str]) -> int:
    """Measure appends per second in groups of 1, 10 and 100; in a temporary directory by default."""
    rows: list[dict[str, float]] = []
    with temporary_folder() as folder:
        for group in (1, 10, 100):
            targets = [str(Path(d) / f"g{group}") for d in directories or [folder]]
            opened = _open(targets, StoreOptions())
            durations, written, end = [], 0, time.monotonic() + 2.0
            while time.monotonic() < end:
                items = [Item(b"%016x" % (written + i), b"v" * 16) for i in range(group)]
                begun = time.monotonic()
                opened.append(items)
                durations.append((time.monotonic() - begun) * 1000)
                written += group
            opened.close()
            durations.sort()
            rows.append(
                {
                    "group": group, "records_per_s": round(written / 2.0),
                    "p50_ms": durations[len(durations) // 2],
                    "p99_ms": durations[int(0.99 * len(durations))],
                }
            )  # fmt: skip
    lines = [
        f"{row['group']} a sync: {row['records_per_s']} records/s, p50 {row['p50_ms']:.2f} ms,"
        f" p99 {row['p99_ms']:.2f} ms"
        for row in rows
    ]
    return out.end(HELD, {"rows": rows}, lines)
