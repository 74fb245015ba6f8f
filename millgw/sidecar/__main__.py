"""Start and end of a sidecar: puts the parts together, reloads, and leaves in order when it is told to."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from logging import ERROR, INFO, WARNING

import uvloop

from millgw import compiled, events
from millgw.callers.plain import PlainFront
from millgw.callers.server import Server
from millgw.control.calls import Calls, said
from millgw.control.door import Door
from millgw.endpoints.upstream import ANSWERS_PART
from millgw.events import tell
from millgw.figures import worded
from millgw.life import Life
from millgw.message import Answer, Content
from millgw.platform.config import Address, Config, ConfigError, read_config
from millgw.platform.descriptors import Descriptors
from millgw.platform.discovery import Discovery
from millgw.pool.pool import Pool
from millgw.pool.share import ANSWERS, BODIES, BODIES_PART, CALLS, CONNECTIONS, Whole

LONGEST = 3.0  # s of a deadline that SIGKILL waits for at the most, and a little more than ANSWER_WITHIN
ANSWER_WITHIN = 0.3  # s more by which all is answered
SERVE_PART = 0.6  # of the time after SIGTERM, for which requests are taken: the rest is for answering them
FLUSH = 0.2  # s that answers may take to be read before the process ends

ABLE_EVERY = 0.02  # s between two looks whether calls can be served
JSON = b"Content-Type: application/json\r\n"

OPERATOR = "BALANCER_OPERATOR"  # names the operator's file
LOG = "BALANCER_LOG"  # how events are told: text or json


async def serve(config: Config, environ: Mapping[str, str] = os.environ) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    life = Life()
    parts = _several(config, environ, life) if environ.get(OPERATOR) else _one(config, environ, life)
    door = _door(config.control, life, parts) if config.control is not None else None
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    for server in parts.servers():
        server.start()
    tell(INFO, "serving", name=config.name, listen=config.listen, modules=compiled.describe())
    watching = asyncio.create_task(watch(life, parts))
    if door is not None:
        door.start()
    try:
        await stop.wait()
        await leave(config, parts)
    finally:
        watching.cancel()
        if door is not None:
            door.stop()


def _door(address: Address, life: Life, parts: Parts) -> Door:
    calls = Calls()
    calls.add("GET", "/-/ready", lambda _: said(life.ready(), "able to serve"))
    calls.add("GET", "/-/metrics", lambda _: Answer(200, Content(JSON, worded(parts.pools()))))
    calls.add("PUT", "/-/drain", lambda _: said(life.drain(time.monotonic()), "drained"))
    calls.add("PUT", "/-/resume", lambda _: said(life.resume(), "serving"))
    return Door(address, calls)


async def watch(life: Life, parts: Parts) -> None:
    """Keep `life.able` true to what the pools have."""
    while True:
        life.able = any(pool.driver.ready for pool in parts.pools())
        await asyncio.sleep(ABLE_EVERY)


@dataclass(slots=True, frozen=True)
class Parts:
    """The callers' sides (one for each listener), the pools whose calls they take, what a SIGHUP does."""

    servers: Callable[[], Sequence[Server]]
    pools: Callable[[], Sequence[Pool]]
    reload: Callable[[], None]
    life: Life


def _one(
    config: Config, environ: Mapping[str, str], life: Life, tend: Callable[[Pool], object] | None = None
) -> Parts:
    descriptors = Descriptors(config.sockets)
    whole = Whole(
        {
            CALLS: descriptors.most_calls,
            CONNECTIONS: descriptors.most,
            BODIES: int(BODIES_PART * config.memory),
            ANSWERS: int(ANSWERS_PART * config.memory),
        }
    )
    pool = Pool(
        "", config, config.seed, descriptors, whole,
        lambda heard, _: Discovery(config.discovery, config.zones, heard),
    )  # fmt: skip
    if tend is not None:
        tend(pool)
    assert isinstance(pool.source, Discovery)
    front = PlainFront(pool, life)
    server = Server(config.listen, descriptors, front, life)
    descriptors.callers, descriptors.close_caller = server.held, server.give_way
    pool.start(config.known)
    return Parts(lambda: (server,), lambda: (pool,), Reload(environ, config, pool.source), life)


def _several(config: Config, environ: Mapping[str, str], life: Life) -> Parts:
    # Only here: an operator's file that is not given must cost nothing.
    try:
        from millgw.services.node import Node
        from millgw.services.parts import attach
    except ModuleNotFoundError as missing:
        raise ConfigError(f"{OPERATOR}: needs {missing.name}: requirements-operator.txt") from None

    node = Node(config, environ, environ[OPERATOR], life)
    if not node.operator.services:
        tends = node.operator.tends()
        return _one(config, environ, life, lambda pool: attach(pool, tends, config, config.seed))
    return Parts(*node.open(), life)


class Reload:
    """Reads the configuration again at each SIGHUP and applies what may change in service: `discovery`."""

    def __init__(self, environ: Mapping[str, str], config: Config, discovery: Discovery) -> None:
        self.environ = environ
        self.config = config
        self.discovery = discovery

    def __call__(self) -> None:
        before = self.config
        try:
            self.config = read_config(self.environ, before)
        except ConfigError as error:
            # Guards against a file that is half written or wrong: the sidecar serves on with what it has.
            tell(ERROR, "reload-refused", cause=error)
            return
        for name in ("name", "listen", "sockets", "settings"):
            if getattr(self.config, name) != getattr(before, name):
                tell(WARNING, "reload-takes-restart", field=name)
        tell(INFO, "reloaded")
        self.discovery.move(self.config.discovery)


async def leave(config: Config, parts: Parts) -> None:
    """Serve on for a while, answer all that was taken, and be gone before SIGKILL.

    Serving on guards against a rolling restart whose next sidecar leaves before the last one is back: for
    clients that hold a connection it is the only one there is. /ready tells the front to go elsewhere.
    """
    longest = max(c.deadline for c in config.settings.classes) / 1000
    left = min(longest, LONGEST) + ANSWER_WITHIN
    life = parts.life
    life.leave(time.monotonic(), succeeded=False)
    if not life.ending:
        await asyncio.sleep(SERVE_PART * left)
        life.end(time.monotonic())
    servers = parts.servers()
    for server in servers:
        server.stop()
    try:
        async with asyncio.timeout(left - SERVE_PART * left):
            while any(server.held() for server in servers):
                await asyncio.sleep(0.05)
                for server in servers:
                    server.close_idle()
    except TimeoutError:
        tell(WARNING, "ended-unserved", requests=sum(len(p.driver.calls) for p in parts.pools()))
        for pool in parts.pools():
            pool.driver.fail_all()
        await asyncio.sleep(FLUSH)


def main() -> int:
    try:
        events.start(os.environ.get(LOG) or "text")
    except ValueError as error:
        print(f"millgw: {LOG}: {error}", file=sys.stderr)
        return 2
    # Guards against a SIGHUP before there is a handler, which would end the process: it waits for one.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
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
