"""Start and end of a sidecar: puts the parts together, reloads, and leaves in order when it is told to."""

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
from millgw.sidecar.parts import OPERATOR_VARIABLE, Parts, assemble_single_pool, several

if TYPE_CHECKING:
    from millgw.sidecar.operators import ControlInterface

LONGEST = 3.0  # s of a deadline that SIGKILL waits for at the most, and a little more than ANSWER_WITHIN
ANSWER_WITHIN = 0.3  # s more by which all is answered
SERVE_PART = 0.6  # of the time after SIGTERM, for which requests are taken: the rest is for answering them
FLUSH_TIME = 0.2  # s that answers may take to be read before the process ends
FLUSH_POLL_INTERVAL = 0.02  # s between two looks meanwhile for connections on which nothing is asked
READINESS_POLL_INTERVAL = 0.02  # s between two looks whether calls can be served
SHUTDOWN_POLL_INTERVAL = 0.05  # s between two looks whether all is answered

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
LOG_VARIABLE = "BALANCER_LOG"  # how events are told: text or json


async def serve(config: Config, environ: Mapping[str, str] = os.environ) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    lifecycle = Lifecycle()
    parts = (
        await several(config, environ, lifecycle)
        if environ.get(OPERATOR_VARIABLE)
        else assemble_single_pool(config, environ, lifecycle)
    )
    control: ControlInterface | None = None
    if config.control is not None:
        # Only here: without a door nothing of it is loaded.
        from millgw.sidecar.operators import ControlInterface

        control = ControlInterface(config, config.control, environ, parts)
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    readiness_task = None
    try:
        if control is None:
            parts.begin(None)
        else:
            await control.start_pools(stop)
        if parts.intents is not None:
            await parts.intents.begin()
        if parts.peers is not None:
            await parts.peers.begin()
        for server in parts.servers():
            server.start()
        if control is not None:
            await control.announce()
        readiness_task = asyncio.create_task(watch(parts))
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


async def watch(parts: Parts) -> None:
    """Keep `life.able` true to what the pools have."""
    while True:
        parts.lifecycle.able = any(pool.driver.ready for pool in parts.pools())
        await asyncio.sleep(READINESS_POLL_INTERVAL)


async def shut_down(parts: Parts, control: ControlInterface | None) -> None:
    """Serve on for a while, answer all that was taken, and be gone before SIGKILL.

    Serving on guards against a rolling restart whose next sidecar leaves before the last one is back: for
    clients that hold a connection it is the only one there is. /ready tells the front to go elsewhere. Where
    another process has taken over, or clients were sent away before, nobody needs it.
    """
    if parts.peers is not None:
        parts.peers.stop()
    longest = max(c.deadline for pool in parts.pools() for c in pool.settings.classes) / 1000
    remaining = min(longest, LONGEST) + ANSWER_WITHIN
    lifecycle, servers = parts.lifecycle, parts.servers()
    has_successor = control is not None and await control.has_successor()
    lifecycle.leave(time.monotonic(), has_successor)
    if not lifecycle.ending:
        await asyncio.sleep(SERVE_PART * remaining)
        lifecycle.end(time.monotonic())
        remaining -= SERVE_PART * remaining
    if not has_successor or control is None or not control.steered:
        for server in servers:
            server.stop()
    # Else its listeners stay: nothing comes there, unless the other process dies.
    try:
        async with asyncio.timeout(remaining):
            while any(server.held() for server in servers) or not all(server.closed for server in servers):
                await asyncio.sleep(SHUTDOWN_POLL_INTERVAL)
                if has_successor and parts.intents is not None and parts.intents.idle():
                    parts.intents.stop()  # the other process waits for the store
                if lifecycle.closes_idle(time.monotonic()):
                    for server in servers:
                        server.close_idle()
                if not any(server.held() for server in servers):
                    for server in servers:
                        server.stop()  # takes what has connected meanwhile, if anything
    except TimeoutError:
        log_event("ended-unserved", requests=sum(len(p.driver.calls) for p in parts.pools()))
        lifecycle.over = True  # guards against calls that the process would not live to answer
        for pool in parts.pools():
            pool.driver.fail_all()
        for server in servers:
            server.end_halves()
        end = time.monotonic() + FLUSH_TIME
        while time.monotonic() < end:
            for server in servers:
                server.close_idle()
            await asyncio.sleep(FLUSH_POLL_INTERVAL)


def main() -> int:
    # Guards against signals before there are handlers, which would end the process: they wait for these.
    # Before any thread is started, as a thread has the mask of its starter.
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
