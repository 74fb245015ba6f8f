"""The command `store`: checks, shows, compacts, repairs and measures a store's directory."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from millgw.store.files import Files, RealFiles
from millgw.store.record import FormatError
from millgw.store.recovery import look
from millgw.store.store import Item, Options, Store, StoreDamaged, StoreError

HELD, DID_NOT_HOLD, BAD_INPUT = 0, 1, 2


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add `store` and its verbs to the one command line."""
    parser = commands.add_parser(
        "store",
        help="check, show, compact, repair and measure a store's directory",
        description="Exit: 0 held, 1 records are lost or damaged, 2 bad input.",
    )
    parser.set_defaults(main=main)
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    for name, about in (
        ("check", "read all of it, change nothing, say what is whole, torn, lost or damaged"),
        ("dump", "print what stands, a JSON object a line"),
        ("compact", "write what stands into one segment"),
        (
            "repair",
            "salvage what can be read of a damaged store; what may be lost counts as sent for a window",
        ),
    ):
        sub = verbs.add_parser(name, help=about)
        sub.add_argument("directories", nargs="+", metavar="DIR", help="two for mirrors")
        sub.add_argument("--json", action="store_true", help="for other programs")
        sub.add_argument(
            "--window-h", type=float, default=24.0, help="the longest time an entry is kept (24)"
        )
    bench = verbs.add_parser("bench", help="appends a second, synced one by one and by tens")
    bench.add_argument("directories", nargs="*", metavar="DIR", help="where; a temporary place by itself")
    bench.add_argument("--json", action="store_true")


def main(args: argparse.Namespace) -> int:
    """Carry out a parsed command line; the exit code."""
    try:
        if args.verb == "bench":
            return _bench(args)
        if args.verb in ("check", "dump"):
            return _read(args)
        return _write(args)
    except StoreDamaged as error:
        print(f"millgw: {error}", file=sys.stderr)
        return DID_NOT_HOLD
    except (StoreError, FormatError, OSError) as error:
        print(f"millgw: {error}", file=sys.stderr)
        return BAD_INPUT


def _read(args: argparse.Namespace) -> int:
    out, bad = [], False
    for directory in args.directories:
        files = RealFiles(Path(directory), read_only=True)
        found = look({name: files.read(name) for name in files.names()})
        if found.empty and not found.records:
            raise StoreError(f"{directory}: holds no store")
        bad = bad or bool(found.lost or found.damaged)
        out.append(
            {
                "directory": directory, "segments": len(found.headers), "records": len(found.records),
                "last": found.last, "acknowledged": found.mark.acked if found.mark else None,
                "torn": found.torn, "lost": found.lost, "damaged": found.damaged, "unused": found.extra,
            }
        )  # fmt: skip
        if args.verb == "dump":
            for record in found.records:
                print(
                    json.dumps(
                        {
                            "seq": record.seq, "kind": "put" if record.kind == 1 else "delete",
                            "key": record.key.hex(), "value": record.value.hex(), "expires": record.expires,
                        }
                    )
                )  # fmt: skip
            return DID_NOT_HOLD if bad else HELD
    if args.json:
        print(json.dumps(out))
    else:
        for one in out:
            print(
                f"{one['directory']}: {one['records']} records in {one['segments']} segments,"
                f" last {one['last']}"
            )
            for word in ("lost", "damaged"):
                for place in one[word] if isinstance(one[word], list) else ():
                    print(f"    {word}: {place}")
            if one["torn"]:
                print("    torn: bytes behind the last record, that nobody was told of")
    return DID_NOT_HOLD if bad else HELD


def _open(directories: Sequence[str], options: Options, repair: bool = False) -> Store:
    mirrors: list[Files] = [RealFiles(Path(d)) for d in directories]
    return Store(mirrors, options, lambda: time.time() * 1000, lambda: time.monotonic() * 1000, repair)


def _write(args: argparse.Namespace) -> int:
    for directory in args.directories:
        if not Path(directory).is_dir():
            raise StoreError(f"{directory}: is no directory")
    store = _open(args.directories, Options(window=args.window_h * 3_600_000), args.verb == "repair")
    try:
        while args.verb == "compact" and not store.compact():
            pass
        told = {"keys": len(store.index), "last": store.last, "notes": store.notes}
    finally:
        store.close()
    print(json.dumps(told) if args.json else f"{told['keys']} keys stand, last {told['last']}")
    for note in store.notes if not args.json else ():
        print(f"    {note}")
    return DID_NOT_HOLD if args.verb == "repair" and store.notes else HELD


def _bench(args: argparse.Namespace) -> int:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for group in (1, 10, 100):
            where = [str(Path(d) / f"g{group}") for d in args.directories or [folder]]
            store = _open(where, Options())
            took, number, end = [], 0, time.monotonic() + 2.0
            while time.monotonic() < end:
                items = [Item(b"%016x" % (number + i), b"v" * 16) for i in range(group)]
                begun = time.monotonic()
                store.append(items)
                took.append((time.monotonic() - begun) * 1000)
                number += group
            store.close()
            took.sort()
            rows.append(
                {
                    "group": group, "records_per_s": round(number / 2.0), "p50_ms": took[len(took) // 2],
                    "p99_ms": took[int(0.99 * len(took))],
                }
            )  # fmt: skip
    if args.json:
        print(json.dumps(rows))
        return HELD
    for row in rows:
        print(
            f"{row['group']} a sync: {row['records_per_s']} records/s, p50 {row['p50_ms']:.2f} ms,"
            f" p99 {row['p99_ms']:.2f} ms"
        )
    return HELD
