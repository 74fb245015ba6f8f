"""Process entry point of a sidecar: startup, reload on SIGHUP and graceful shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING

import uvloop

from millgw import compiled
from millgw.callers.lifecycle import Lifecycle
from millgw.log.events import log_event
from millgw.log.start import start as start_log
from millgw.platform.config import Config, ConfigError, read_config
from millgw.sidecar.assembly import (
    OPERATOR_VARIABLE,
    SidecarParts,
    assemble_from_operator_file,
    assemble_single_pool,
)

if TYPE_CHECKING:
    from millgw.sidecar.control_interface import ControlInterface

MAX_DEADLINE_WAIT = (
    3.0  # s, cap on the deadline waited for: with ANSWER_MARGIN it ends shortly before SIGKILL
)
ANSWER_MARGIN = 0.3  # s after that deadline by which every call is answered
SERVE_FRACTION = (
    0.6  # share of the time after SIGTERM in which requests are accepted; the rest is for answering
)
FLUSH_TIME = 0.2  # s for callers to read the last answers before the process exits
FLUSH_POLL_INTERVAL = 0.02  # s between checks for idle connections during that time
READINESS_POLL_INTERVAL = 0.02  # s between checks whether calls can be served
SHUTDOWN_POLL_INTERVAL = 0.05  # s between checks whether every call is answered

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
LOG_VARIABLE = "BALANCER_LOG"  # log format: text or json


async def serve(config: Config, environ: Mapping[str, str] = os.environ) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    lifecycle = Lifecycle()
    parts = (
        await assemble_from_operator_file(config, environ, lifecycle)
        if environ.get(OPERATOR_VARIABLE)
        else assemble_single_pool(config, environ, lifecycle)
    )
    control: ControlInterface | None = None
    if config.control is not None:
        # Imported here so that a sidecar without a control address does not load it.
        from millgw.sidecar.control_interface import ControlInterface

        control = ControlInterface(config, config.control, environ, parts)
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    readiness_task = None
    try:
        if control is None:
            parts.start_pools(None)
        else:
            await control.start_pools(stop)
        if parts.intents is not None:
            await parts.intents.begin()
        if parts.peers is not None:
            await parts.peers.start()
        for server in parts.servers():
            server.start()
        if control is not None:
            await control.announce()
        readiness_task = asyncio.create_task(update_readiness(parts))
        log_event("serving", name=config.name, listen=config.listen, modules=compiled.describe())
        await stop.wait()
        await shut_down(parts, control)
    finally:
        if readiness_task is not None:
            readiness_task.cancel()
        if parts.peers is not None:
            parts.peers.stop()
        if parts.configuration is not None:
            parts.configuration.stop()
        if parts.intents is not None:
            parts.intents.stop()
        if control is not None:
            control.stop()


async def update_readiness(parts: SidecarParts) -> None:
    """Keep `Lifecycle.can_serve` up to date: whether any pool has an endpoint ready."""
    while True:
        parts.lifecycle.can_serve = any(pool.driver.ready for pool in parts.pools())
        await asyncio.sleep(READINESS_POLL_INTERVAL)


async def shut_down(parts: SidecarParts, control: ControlInterface | None) -> None:
    """Keep serving for a while, answer every accepted request, and exit before SIGKILL.

    In a rolling restart the next sidecar may leave before the previous one is back, and clients that hold a
    connection to this one have no other. /ready tells the front proxy to go elsewhere. The extra serving time
    is skipped where another process has taken over or the sidecar was drained before.
    """
    if parts.peers is not None:
        parts.peers.stop()
    longest = max(c.deadline for pool in parts.pools() for c in pool.settings.classes) / 1000
    remaining = min(longest, MAX_DEADLINE_WAIT) + ANSWER_MARGIN
    lifecycle, servers = parts.lifecycle, parts.servers()
    has_successor = control is not None and await control.has_successor()
    lifecycle.shut_down(time.monotonic(), has_successor)
    if not lifecycle.ending:
        await asyncio.sleep(SERVE_FRACTION * remaining)
        lifecycle.stop_serving(time.monotonic())
        remaining -= SERVE_FRACTION * remaining
    if not has_successor or control is None or not control.steered:
        for server in servers:
            server.stop()
    # Otherwise the listeners stay open: they get no connections unless the successor dies.
    try:
        async with asyncio.timeout(remaining):
            while any(server.descriptors_in_use() for server in servers) or not all(
                server.closed for server in servers
            ):
                await asyncio.sleep(SHUTDOWN_POLL_INTERVAL)
                if has_successor and parts.intents is not None and parts.intents.idle():
                    parts.intents.stop()  # the successor waits for the store
                if lifecycle.closes_idle(time.monotonic()):
                    for server in servers:
                        server.close_idle()
                if not any(server.descriptors_in_use() for server in servers):
                    for server in servers:
                        server.stop()  # also accepts connections still in the backlog
    except TimeoutError:
        log_event("ended-unserved", requests=sum(len(p.driver.calls) for p in parts.pools()))
        lifecycle.refuses_new = True  # refuse calls that could not be answered before the exit
        for pool in parts.pools():
            pool.driver.fail_all()
        for server in servers:
            server.refuse_incomplete()
        end = time.monotonic() + FLUSH_TIME
        while time.monotonic() < end:
            for server in servers:
                server.close_idle()
            await asyncio.sleep(FLUSH_POLL_INTERVAL)


def main() -> int:
    # Without the block, a signal that arrives before its handler is installed ends the process; blocked
    # signals stay pending until then. Done before any thread starts, as threads inherit the mask.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        start_log(os.environ.get(LOG_VARIABLE) or "text")
    except ValueError as error:
        print(f"millgw: {LOG_VARIABLE}: {error}", file=sys.stderr)
        return 2
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"millgw: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"millgw: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"millgw: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
