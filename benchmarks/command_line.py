"""What the command line and the log cost: a daemon's start and memory, an event in both wordings, help.

`daemon` starts `--source`'s daemon some times: until it takes connections, and the memory that it holds then.
`event` words events that nobody repeats, as the daemon does it and by structlog. `help` is whole processes.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click

from benchmarks.flags import words
from millgw.cli.tree import run
from millgw.log.backlog import Backlog
from millgw.log.rendering import FORMATS
from millgw.log.start import Log
from millgw.log.writer import Writer
from millgw.platform.config import Address
from millgw.standins.address import free_address
from tests.rig import SETTINGS

ROOT = Path(__file__).parent.parent
EVENTS = 20_000


def daemon(source: Path, runs: int) -> tuple[list[float], list[float]]:
    """Milliseconds to the first connection taken, and MB resident then, of each start."""
    took, memory = [], []
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            listen = free_address()
            config = Path(folder) / "config.json"
            config.write_text(
                json.dumps(
                    {
                        "name": "n1", "listen": str(listen), "discovery": str(free_address()), "seed": "1",
                        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": SETTINGS,
                    }
                )
            )  # fmt: skip
            begun = time.monotonic()
            process = subprocess.Popen(
                [sys.executable, "-B", "-m", "millgw.sidecar"], cwd=source, stderr=subprocess.DEVNULL,
                env=os.environ | {"BALANCER_CONFIG": str(config), "PYTHONPATH": str(source)},
            )  # fmt: skip
            try:
                _wait(listen, process)
                took.append((time.monotonic() - begun) * 1000)
                time.sleep(0.2)
                status = Path(f"/proc/{process.pid}/status").read_text()
                memory.append(int(status.split("VmRSS:")[1].split()[0]) / 1024)
            finally:
                process.kill()
                process.wait()
    return took, memory


def _wait(listen: Address, process: subprocess.Popen[bytes]) -> None:
    while process.poll() is None:
        try:
            socket.create_connection((listen.host, listen.port), 0.1).close()
            return
        except OSError:
            time.sleep(0.002)
    raise click.ClickException(f"the daemon ended with {process.returncode}")


def event(kind: str, by_structlog: bool) -> float:
    """Microseconds of one event, worded and handed to the writer."""
    into = os.open(os.devnull, os.O_WRONLY)
    now = 0.0

    def clock() -> float:
        nonlocal now
        now += 2.0  # none repeats another
        return now

    tell: Callable[[str, dict[str, object]], None]
    if by_structlog:
        from millgw.cli.log import start

        logger = start(kind, into, clock)

        def tell(event: str, fields: dict[str, object]) -> None:
            logger.msg(event, **fields)

    else:
        tell = Log(kind, Writer(into, Backlog(), lambda _: b""), clock)
    begun = time.perf_counter()
    for number in range(EVENTS):
        tell("answer-spoilt", {"endpoint": "10.0.0.7:7070", "call": number, "cause": "it stopped half-way"})
    return (time.perf_counter() - begun) / EVENTS * 1e6


def whole(*line: str) -> float:
    """Milliseconds of a command's process."""
    begun = time.perf_counter()
    subprocess.run([sys.executable, "-m", "millgw", *line], cwd=ROOT, stdout=subprocess.DEVNULL, check=True)
    return (time.perf_counter() - begun) * 1000


def spread(values: list[float], unit: str) -> str:
    return f"{statistics.median(values):.1f} {unit} ({min(values):.1f} to {max(values):.1f})"


@click.command(help=words(__doc__))
@click.argument("what", nargs=-1, type=click.Choice(["daemon", "event", "help"]))
@click.option("--source", type=click.Path(exists=True, path_type=Path), default=ROOT, help="checkout (this)")
@click.option("--runs", type=click.IntRange(1, 100), default=7, show_default=True)
def main(what: tuple[str, ...], source: Path, runs: int) -> int:
    print("| measured | median (least to most) |\n| --- | --- |")
    if not what or "daemon" in what:
        took, memory = daemon(source.resolve(), runs)
        print(f"| daemon, to its first connection | {spread(took, 'ms')} |")
        print(f"| daemon, memory then | {spread(memory, 'MB')} |", flush=True)
    if not what or "event" in what:
        for kind in FORMATS:
            for by_structlog in (False, True):
                cost = [event(kind, by_structlog) for _ in range(runs)]
                name = "structlog" if by_structlog else "the daemon"
                print(f"| an event, {kind}, by {name} | {spread(cost, 'µs')} |", flush=True)
    if not what or "help" in what:
        for line in (("--help",), ("load", "run", "--help"), ("rehearse", "run", "--help"), ("version",)):
            cost = [whole(*line) for _ in range(runs)]
            print(f"| millgw {' '.join(line)} | {spread(cost, 'ms')} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:], main, "benchmarks.command_line"))
