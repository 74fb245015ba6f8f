"""Allocation of loopback addresses for stand-ins and the sidecars under test."""

from __future__ import annotations

import itertools
import os
import socket

from millgw.platform.config import Address

_numbers = itertools.count(1)


def free_address() -> Address:
    """Return an unused port on a loopback address of this process's own.

    The address is derived from the process id and a counter, and repeats after 62,500 calls.
    """
    n, pid = next(_numbers), os.getpid()
    host = f"127.{1 + pid % 250}.{1 + n % 250}.{1 + (pid // 250 + n // 250) % 250}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return Address(host, probe.getsockname()[1])
