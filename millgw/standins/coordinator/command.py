"""The command `coordinator`: the stand-in by itself, told what to do by lines on its standard input."""

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
from millgw.standins.coordinator.ensemble import Ensemble, Face
from millgw.standins.coordinator.tree import Failed

MOST_FACES = 3

HELP = """Lines on standard input, each answered by one line of JSON:
  nodes PATH                 the names below a node, with their owners
  put PATH [TEXT]            make a node that no session owns, or give it other data
  own PATH [TEXT]            make an ephemeral node of a session of its own; tells the session
  remove PATH                delete a node, whoever owns it
  sessions                   those that are open
  expire SESSION             expire one now
  expire-owners PATH [SHARE] expire those that own a share of the nodes below PATH (1)
  drop FACE                  end all connections to a face; sessions live on
  freeze FACE | thaw FACE    answer nothing, or all that has waited
  lag FACE | catch-up FACE   serve reads from the tree as it is now, or follow again
  refuse FACE | accept FACE  end new connections, or serve them
  read-only FACE | writable FACE
  delay-watches FACE MS      tell watches late (0: at once)
  lose-watches FACE COUNT    tell none of the next ones
  restart-empty              all nodes and sessions are lost
Faces are numbered from 0."""


@click.command(cls=Serving, examples=["coordinator --listen 127.0.0.1:2181"], epilog="\b\n" + HELP)
@click.option(
    "--listen",
    multiple=True,
    type=ADDRESS,
    metavar="IP:PORT",
    help="A face; up to three (one free one).",
)
@click.option("--seed", type=SEED, default=1, show_default=True, help="Of session ids and of what is drawn.")
def coordinator(listen: tuple[Address, ...], seed: int) -> int:
    """A stand-in for a ZooKeeper-style coordinator, with faults on command.

    Serves ZooKeeper's protocol on loopback until its input ends or SIGTERM comes.
    """
    if len(listen) > MOST_FACES:
        raise BadInput(f"--listen: {len(listen)} faces; the most are {MOST_FACES}")
    try:
        asyncio.run(_serve(Ensemble(list(listen), seed=seed)))
    except (ValueError, OSError) as error:
        raise BadInput(str(error)) from None
    return HELD


async def _serve(ensemble: Ensemble) -> None:
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, over.set)
    await ensemble.start()
    print(json.dumps({"connect": ensemble.connect_string}), flush=True)
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    reading = loop.create_task(_commands(ensemble, lines))
    reading.add_done_callback(lambda _: over.set())
    try:
        await over.wait()
    finally:
        reading.cancel()
        await ensemble.stop()


async def _commands(ensemble: Ensemble, lines: asyncio.StreamReader) -> None:
    while line := await lines.readline():
        if words := line.decode(errors="replace").split():
            print(json.dumps(carry_out(ensemble, words)), flush=True)


def carry_out(ensemble: Ensemble, words: list[str]) -> dict[str, object]:
    """Carry out one line's words; what it came to, or `error`."""
    command, *rest = words
    try:
        if command in ON_FACES:
            face = ensemble.faces[int(rest[0])]
            ON_FACES[command](face, float(rest[1]) if len(rest) > 1 else 0.0)
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
            return {"session": ensemble.own(rest[0], " ".join(rest[1:]).encode())}
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
    except Failed as failed:
        return {"error": f"{command}: {failed}"}
    except (IndexError, KeyError, ValueError) as error:
        return {"error": f"{command}: {type(error).__name__}: {error}"}
    return {"done": command}


def _set(name: str, value: object) -> Callable[[Face, float], None]:
    return lambda face, _: setattr(face.ills, name, value)


ON_FACES: dict[str, Callable[[Face, float], None]] = {
    "drop": lambda face, _: face.drop(),
    "freeze": lambda face, _: face.freeze(True),
    "thaw": lambda face, _: face.freeze(False),
    "lag": lambda face, _: face.lag(True),
    "catch-up": lambda face, _: face.lag(False),
    "refuse": _set("refusing", True),
    "accept": _set("refusing", False),
    "read-only": _set("read_only", True),
    "writable": _set("read_only", False),
    "delay-watches": lambda face, ms: setattr(face.ills, "watch_delay", ms),
    "lose-watches": lambda face, count: setattr(face.ills, "lose_watches", int(count)),
}
