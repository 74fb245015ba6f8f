"""Loopback addresses for stand-ins and the sidecars beside them."""

from __future__ import annotations

import itertools
import os
import socket

from millgw.platform.config import Address

_numbers = itertools.count(1)


def free_address() -> Address:
    """A port that nobody else uses: on a loopback address of this process's own, for 62,500 addresses."""
    n, pid = next(_numbers), os.getpid()
    host = f"127.{1 + pid % 250}.{1 + n % 250}.{1 + (pid // 250 + n // 250) % 250}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return Address(host, probe.getsockname()[1])
