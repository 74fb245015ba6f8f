"""What the kernel knows of a connection that the rig's loop, which may be late, has yet to see.

The stand-ins' records say when something happened on the wire. A loop that comes to it a second later must
not book that second against the sidecar, nor write to a connection whose end has come.
"""

from __future__ import annotations

import asyncio
import socket

from millgw.http.message import seconds_since_received, shut_down_socket

TICK = 10.0  # ms by which the kernel's count of ticks may be over: at least one tick of any usual kernel


def receive_age(transport: asyncio.Transport | None) -> float:
    """For how long (ms) at the least the last bytes of a connection had waited in this machine's kernel."""
    if transport is None:
        return 0.0
    return max(0.0, seconds_since_received(transport) * 1000 - TICK)


def end_now(transport: asyncio.Transport) -> None:
    """Have the other side see the end at once: an abort of the transport ends it in the loop's next turn."""
    shut_down_socket(transport, socket.SHUT_RDWR)
