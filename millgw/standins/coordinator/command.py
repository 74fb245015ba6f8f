"""The command `coordinator`: runs the stand-in coordinator, controlled by lines on standard input."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable

import click

from millgw.cli.exits import HELD, BadInput
from millgw.cli.kinds import ADDRESS, SEED
from millgw.cli.report import Serving
from millgw.platform.config import Address
from millgw.standins.coordinator.ensemble import Ensemble, EnsembleServer
from millgw.standins.coordinator.tree import OperationError

MAX_SERVERS = 3

HELP = """Lines on standard input, each answered by one line of JSON:
  nodes PATH                 the names below a node, with their owners
  put PATH [TEXT]            create a persistent node, or replace its data
  own PATH [TEXT]            create an ephemeral node with its own session; returns the session
  remove PATH                delete a node, whoever owns it
  sessions                   the open sessions
  expire SESSION             expire a session now
  expire-owners PATH [SHARE] expire the sessions that own a share of the nodes below PATH (1)
  drop FACE                  close all connections to a face; sessions live on
  freeze FACE | thaw FACE    stop answering, or resume and answer what is queued
  lag FACE | catch-up FACE   serve reads from a copy of the current tree, or follow changes again
  refuse FACE | accept FACE  close new connections at once, or serve them
  read-only FACE | writable FACE
  delay-watches FACE MS      delay watch events (0: send at once)
  delay-answers FACE MS      delay all that is sent, in order (0: send at once)
  lose-watches FACE COUNT    drop the next watch events
  restart-empty              all nodes and sessions are lost
A face is one server of the ensemble; faces are numbered from 0."""


@click.command(cls=Serving, examples=["coordinator --listen 127.0.0.1:2181"], epilog="\b\n" + HELP)
@click.option(
    "--listen",
    multiple=True,
    type=ADDRESS,
    metavar="IP:PORT",
    help="A face, a server of the ensemble; up to three (default: one on a free port).",
)
@click.option("--seed", type=SEED, default=1, show_default=True, help="Of session ids and random choices.")
def coordinator(listen: tuple[Address, ...], seed: int) -> int:
    """A stand-in for a ZooKeeper-style coordinator, with faults on command.

    Serves ZooKeeper's protocol on loopback until its input ends or SIGTERM comes.
    """
    if len(listen) > MAX_SERVERS:
        raise BadInput(f"--listen: {len(listen)} faces; the maximum is {MAX_SERVERS}")
    try:
        asyncio.run(_serve(Ensemble(list(listen), seed=seed)))
    except (ValueError, OSError) as error:
        raise BadInput(str(error)) from None
    return HELD


async def _serve(ensemble: Ensemble) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await ensemble.start()
    print(json.dumps({"connect": ensemble.connect_string}), flush=True)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    reading = loop.create_task(_commands(ensemble, lines))
    reading.add_done_callback(lambda _: stop.set())
    try:
        await stop.wait()
    finally:
        reading.cancel()
        await ensemble.stop()


async def _commands(ensemble: Ensemble, lines: asyncio.StreamReader) -> None:
    while line := await lines.readline():
        if words := line.decode(errors="replace").split():
            print(json.dumps(execute(ensemble, words)), flush=True)


def execute(ensemble: Ensemble, words: list[str]) -> dict[str, object]:
    """Execute the command in one line's words; returns its result, or `error`."""
    command, *rest = words
    try:
        if command in SERVER_COMMANDS:
            server = ensemble.servers[int(rest[0])]
            SERVER_COMMANDS[command](server, float(rest[1]) if len(rest) > 1 else 0.0)
            return {"done": command}
        if command == "nodes":
            return {
                name: ensemble.tree.nodes[f"{rest[0].rstrip('/')}/{name}"].owner
                for name in ensemble.tree.children(rest[0])[0]
            }
        if command == "sessions":
            return {"sessions": sorted(ensemble.tree.sessions)}
        if command == "put":
            ensemble.put(rest[0], " ".join(rest[1:]).encode())
        elif command == "own":
            return {"session": ensemble.create_ephemeral(rest[0], " ".join(rest[1:]).encode())}
        elif command == "remove":
            ensemble.remove(rest[0])
        elif command == "expire":
            ensemble.expire(int(rest[0]))
        elif command == "expire-owners":
            return {"expired": ensemble.expire_owners(rest[0], float(rest[1]) if len(rest) > 1 else 1.0)}
        elif command == "restart-empty":
            ensemble.restart_empty()
        else:
            return {"error": f"{command}: no such command; --help lists them"}
    except OperationError as error:
        return {"error": f"{command}: {error}"}
    except (IndexError, KeyError, ValueError) as error:
        return {"error": f"{command}: {type(error).__name__}: {error}"}
    return {"done": command}


def _set_fault(name: str, value: object) -> Callable[[EnsembleServer, float], None]:
    return lambda server, _: setattr(server.faults, name, value)


SERVER_COMMANDS: dict[str, Callable[[EnsembleServer, float], None]] = {
    "drop": lambda server, _: server.drop_connections(),
    "freeze": lambda server, _: server.freeze(True),
    "thaw": lambda server, _: server.freeze(False),
    "lag": lambda server, _: server.lag(True),
    "catch-up": lambda server, _: server.lag(False),
    "refuse": _set_fault("refusing", True),
    "accept": _set_fault("refusing", False),
    "read-only": _set_fault("read_only", True),
    "writable": _set_fault("read_only", False),
    "delay-watches": lambda server, ms: setattr(server.faults, "watch_delay", ms),
    "delay-answers": lambda server, ms: setattr(server.faults, "answer_delay", ms),
    "lose-watches": lambda server, count: setattr(server.faults, "lose_watches", int(count)),
}
