"""Trial: whether the rehearsal's stand-ins date bytes before the time at which these were written.

They date bytes by their own clock less `receive_age`, meant as a lower bound of how long the kernel has had
them. A process writes its clock into each message, another one reads it 15 to 120 ms later, as a late event
loop does. Busy processes share the cores meanwhile; TROUBLE=0: no busy processes. It was seen beside days of
the rehearsal on a virtual machine whose host took cores away (`steal`), not with busy processes alone.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import cast

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from millgw.standins.kernel import receive_age

SECONDS, PAIRS, BUSY = 40.0, 16, 16
STAMP = struct.Struct("d")


class SocketOf:
    """As much of a transport as `receive_age` asks for."""

    def __init__(self, held: socket.socket) -> None:
        self.held = held

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, _: str) -> socket.socket:
        return self.held


def busy(until: float) -> None:
    while time.monotonic() < until:
        pass


def answer_each(one: socket.socket) -> None:
    """Answer each byte with the time (ms) right before the answer is written."""
    while one.recv(1):
        time.sleep(random.uniform(0.0, 0.004))
        one.sendall(STAMP.pack(time.monotonic() * 1000))


def read_late(one: socket.socket, until: float, report: int) -> None:
    """Read answers late; report for each how much (ms) its recorded arrival is later than its writing."""
    transport = cast(asyncio.Transport, SocketOf(one))
    while time.monotonic() < until:
        one.sendall(b"x")
        time.sleep(random.uniform(0.015, 0.12))
        (written,) = STAMP.unpack(one.recv(STAMP.size))
        age = receive_age(transport)
        os.write(report, STAMP.pack(time.monotonic() * 1000 - age - written))


def in_child(children: list[int], work: Callable[[], None]) -> None:
    child = os.fork()
    if child == 0:
        try:
            work()
        finally:
            os._exit(0)
    children.append(child)


def main() -> int:
    until = time.monotonic() + SECONDS
    children: list[int] = []
    reports, report = os.pipe()
    for _ in range(BUSY if os.environ.get("TROUBLE", "1") != "0" else 0):
        in_child(children, lambda: busy(until))
    for _ in range(PAIRS):
        with socket.create_server(("127.0.0.1", 0)) as listening:
            one = socket.create_connection(listening.getsockname())
            other, _ = listening.accept()
        in_child(children, lambda one=one: read_late(one, until, report))  # type: ignore[misc]
        one.close()
        in_child(children, lambda other=other: answer_each(other))  # type: ignore[misc]
        other.close()
    os.close(report)
    found = bytearray()
    while data := os.read(reports, 65536):
        found += data
    for child in children:
        os.waitpid(child, 0)
    margins = [margin for (margin,) in STAMP.iter_unpack(bytes(found))]
    early = sorted(margin for margin in margins if margin < 0)
    worst = f", by up to {-early[0]:.2f} ms" if early else ""
    print(f"{len(margins)} reads, {len(early)} dated before they were written{worst}")
    return (1 if early else 0) if margins else 2


if __name__ == "__main__":
    sys.exit(main())
