"""Kernel state of a connection, for a test rig whose event loop may be late.

The stand-ins record when something happened on the wire. An event loop that handles it a second later must
not attribute that second to the sidecar, nor write to a connection that the peer has closed.
"""

from __future__ import annotations

import asyncio
import socket

from millgw.http.message import seconds_since_received, shut_down_socket

TICK = 10.0  # ms, possible excess of times that the kernel counts in ticks: no usual kernel has longer ticks


def receive_age(transport: asyncio.Transport | None) -> float:
    """Return a lower bound (ms) of how long the connection's last bytes have been in the kernel."""
    if transport is None:
        return 0.0
    return max(0.0, seconds_since_received(transport) * 1000 - TICK)


def send_fin(transport: asyncio.Transport) -> None:
    """Send FIN at once; aborting the transport would close it in the event loop's next iteration only."""
    shut_down_socket(transport, socket.SHUT_RDWR)
