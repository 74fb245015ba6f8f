"""Start and end of a sidecar: puts the parts together, reloads, and leaves in order when it is told to."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import uvloop

from millgw import compiled
from millgw.callers.plain import PlainFront
from millgw.callers.server import Server
from millgw.endpoints.upstream import ANSWERS_PART
from millgw.pool.pool import Pool
from millgw.pool.share import ANSWERS, BODIES, BODIES_PART, CALLS, CONNECTIONS, Whole
from millgw.sidecar.config import Config, ConfigError, read_config
from millgw.sidecar.descriptors import Descriptors
from millgw.sidecar.discovery import Discovery

LONGEST = 3.0  # s of a deadline that SIGKILL waits for at the most, and a little more than ANSWER_WITHIN
ANSWER_WITHIN = 0.3  # s more by which all is answered
SERVE_PART = 0.6  # of the time after SIGTERM, for which requests are taken: the rest is for answering them
LOG_EVERY = 1.0  # s between two lines of the same kind
FLUSH = 0.2  # s that answers may take to be read before the process ends

OPERATOR = "BALANCER_OPERATOR"  # names the operator's file

log = logging.getLogger("millgw")


class Sparing(logging.Filter):
    """Lets a message through once a second: one that repeats for every request must not fill the log."""

    def __init__(self) -> None:
        super().__init__()
        self.last: dict[str, float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        due = record.created >= self.last.get(record.msg, 0.0) + LOG_EVERY
        if due:
            self.last[record.msg] = record.created
        return due


async def serve(config: Config, environ: Mapping[str, str] = os.environ) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    parts = _several(config, environ) if environ.get(OPERATOR) else _one(config, environ)
    loop.add_signal_handler(signal.SIGHUP, parts.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    for server in parts.servers():
        server.start()
    log.info("%s serves at %s, %s", config.name, config.listen, compiled.describe())
    await stop.wait()
    await leave(config, parts)


@dataclass(slots=True, frozen=True)
class Parts:
    """The callers' sides (one for each listener), the pools whose calls they take, what a SIGHUP does.

    `unready` has /ready send callers elsewhere.
    """

    servers: Callable[[], Sequence[Server]]
    pools: Callable[[], Sequence[Pool]]
    reload: Callable[[], None]
    unready: Callable[[], None]


def _one(config: Config, environ: Mapping[str, str]) -> Parts:
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
        lambda heard: Discovery(config.discovery, config.zones, heard),
    )  # fmt: skip
    assert isinstance(pool.source, Discovery)
    front = PlainFront(pool)
    server = Server(config.listen, descriptors, front)
    descriptors.callers, descriptors.close_caller = server.held, server.give_way
    pool.start(config.known)
    return Parts(lambda: (server,), lambda: (pool,), Reload(environ, config, pool.source), front.leave)


def _several(config: Config, environ: Mapping[str, str]) -> Parts:
    # Only here: an operator's file that is not given must cost nothing.
    try:
        from millgw.services.node import Node
    except ModuleNotFoundError as missing:
        raise ConfigError(f"{OPERATOR}: needs {missing.name}: requirements-operator.txt") from None

    node = Node(config, environ, environ[OPERATOR])
    if not node.operator.services:
        return _one(config, environ)
    return Parts(*node.open(), node.leave)


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
            log.error("reload: %s; the configuration stays as it was", error)
            return
        for name in ("name", "listen", "sockets", "settings"):
            if getattr(self.config, name) != getattr(before, name):
                log.warning("reload: %s has changed, which takes a restart", name)
        log.info("reload: the configuration is read again")
        self.discovery.move(self.config.discovery)


async def leave(config: Config, parts: Parts) -> None:
    """Serve on for a while, answer all that was taken, and be gone before SIGKILL.

    Serving on guards against a rolling restart whose next sidecar leaves before the last one is back: for
    clients that hold a connection it is the only one there is. /ready tells the front to go elsewhere.
    """
    longest = max(c.deadline for c in config.settings.classes) / 1000
    left = min(longest, LONGEST) + ANSWER_WITHIN
    parts.unready()
    await asyncio.sleep(SERVE_PART * left)
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
        log.warning("ended with %d requests unserved", sum(len(p.driver.calls) for p in parts.pools()))
        for pool in parts.pools():
            pool.driver.fail_all()
        await asyncio.sleep(FLUSH)


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s")
    log.addFilter(Sparing())
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
