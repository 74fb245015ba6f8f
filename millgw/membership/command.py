"""The commands `register` (a server's node, kept while it serves) and `members` (what a directory means)."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from contextlib import suppress

from millgw import events
from millgw.membership.client import Client
from millgw.membership.follower import DRAINING, Follower
from millgw.membership.nodes import read_node
from millgw.membership.protocol import Ask, Fired, Reply
from millgw.membership.registrar import LAYOUTS, Entry, Registrar
from millgw.membership.servers import check_path, read_connect
from millgw.platform.config import Address, read_address

HELD, NOT_HELD, BAD_INPUT, INCONCLUSIVE = 0, 1, 2, 3
LOOK = 0.1  # s between two looks whether a server takes connections


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add both to the one command line."""
    register = commands.add_parser(
        "register",
        help="keep a server's ephemeral node at a coordinator while it serves",
        description="Registers a server once its address takes connections. SIGTERM: the node says that it"
        " drains, is taken down after --drain-s, and only then COMMAND gets its SIGTERM. A COMMAND that ends"
        " by itself has its node taken down at once.",
        epilog="Exit: 0 told to end and in order, 1 the server ended by itself or the node could not be taken"
        " down, 2 bad input.",
    )
    _where(register)
    register.add_argument("--name", required=True, help="the node's name")
    register.add_argument("--address", required=True, metavar="IP:PORT", help="where the server is reached")
    register.add_argument("--layout", choices=LAYOUTS, default="entry", help="of the node's data (entry)")
    register.add_argument("--group", type=int, default=0)
    register.add_argument("--weight", type=float, default=1.0)
    register.add_argument("--zone", default="")
    register.add_argument("--drain-s", type=float, default=2.0, help="between drain and end (2)")
    register.add_argument("--stop-s", type=float, default=10.0, help="for COMMAND to end before SIGKILL (10)")
    register.add_argument("--at-once", action="store_true", help="don't wait until the address answers")
    register.add_argument("--log", choices=events.KINDS, default="text")
    register.add_argument("command", nargs="*", metavar="-- COMMAND", help="the server, started by this")
    register.set_defaults(main=_register)
    members = commands.add_parser(
        "members",
        help="what the nodes below a coordinator's path mean to a pool",
        description="Reads a directory once. Exit: 0 all nodes can be read, 1 some can't, 2 bad input, 3 the"
        " coordinator did not tell in time.",
    )
    _where(members)
    members.add_argument("--endpoint", default="", help="one of a serverset's additional endpoints")
    members.add_argument("--within-s", type=float, default=5.0, help="for the whole of it (5)")
    members.add_argument("--json", action="store_true", help="for other programs")
    members.set_defaults(main=_members)


def _where(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--connect", required=True, metavar="IP:PORT,...[/ROOT]", help="the coordinator")
    parser.add_argument("--path", required=True, help="the directory of the service's nodes")
    parser.add_argument("--session-s", type=float, default=10.0, help="the session's time-out (10)")


def _read_where(args: argparse.Namespace) -> tuple[tuple[Address, ...], str]:
    """Servers and the whole path; a ValueError names the argument."""
    try:
        servers, root = read_connect(args.connect)
    except ValueError as error:
        raise ValueError(f"--connect: {error}") from None
    try:
        check_path(args.path)
    except ValueError as error:
        raise ValueError(f"--path: {error}") from None
    if not 0.2 <= args.session_s <= 600:
        raise ValueError(f"--session-s: {args.session_s:g} is not between 0.2 and 600")
    return servers, root + args.path


# register


def _register(args: argparse.Namespace) -> int:
    try:
        servers, path = _read_where(args)
        for word, least in (("drain_s", 0.0), ("stop_s", 0.0), ("group", 0)):
            if getattr(args, word) < least:
                raise ValueError(f"--{word.replace('_', '-')}: is under {least:g}")
        if not 0 < args.weight <= 1e6:
            raise ValueError(f"--weight: {args.weight:g} is not above 0, and at the most 1e6")
        if "/" in args.name or args.name == DRAINING:
            raise ValueError(f"--name: {args.name!r} is no name of a member")
        check_path(f"{path}/{args.name}")
        try:
            address = read_address(args.address)
        except ValueError as error:
            raise ValueError(f"--address: {error}") from None
    except ValueError as error:
        print(f"millgw: {error}", file=sys.stderr)
        return BAD_INPUT
    events.start(args.log)
    return asyncio.run(_serve(args, servers, path, address))


async def _serve(args: argparse.Namespace, servers: tuple[Address, ...], path: str, address: Address) -> int:
    loop, told = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    child: asyncio.subprocess.Process | None = None
    since = int(time.time() * 1000)
    if args.command:
        try:
            child = await asyncio.create_subprocess_exec(*args.command, start_new_session=True)
        except OSError as error:
            print(f"millgw: {args.command[0]}: {error.strerror}", file=sys.stderr)
            return BAD_INPUT
    ended = loop.create_task(child.wait()) if child is not None else loop.create_future()
    ending = loop.create_task(told.wait())
    if not args.at_once:
        up = loop.create_task(_takes_connections(address))
        await asyncio.wait([ended, ending, up], return_when=asyncio.FIRST_COMPLETED)
        up.cancel()
    registrar: Registrar | None = None
    if not ended.done() and not ending.done():
        entry = Entry(
            args.name, str(address), args.group, args.weight, args.zone, args.layout, since=since
        )  # fmt: skip
        registrar = Registrar(servers, path, entry, args.session_s * 1000)
        registrar.start()
        await asyncio.wait([ended, ending], return_when=asyncio.FIRST_COMPLETED)
    ending.cancel()
    down = True
    if registrar is not None:
        down = await (registrar.withdraw() if ended.done() else registrar.leave(args.drain_s))
    if child is None:
        return HELD if down else NOT_HELD
    if ended.done():
        print(f"millgw: {args.command[0]} ended with {child.returncode}", file=sys.stderr)
        return NOT_HELD
    with suppress(ProcessLookupError):
        child.terminate()
    try:
        async with asyncio.timeout(args.stop_s):
            await child.wait()
    except TimeoutError:
        with suppress(ProcessLookupError):
            child.kill()
        await child.wait()
    return HELD if down else NOT_HELD


async def _takes_connections(address: Address) -> None:
    while True:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                _, writer = await asyncio.open_connection(address.host, address.port)
            writer.close()
            return
        await asyncio.sleep(LOOK)


# members


class Reading:
    """Reads one directory once."""

    def __init__(self, servers: tuple[Address, ...], path: str, timeout: float) -> None:
        self.client = Client(servers, timeout, random.Random(), self)
        self.follower = Follower(path)
        self.done = asyncio.Event()

    def up(self, fresh: bool, doubtful: bool) -> None:
        self._ask(self.follower.up(time.monotonic() * 1000, True))

    def down(self) -> None:
        """It is read from the start on the next connection."""

    def reply(self, reply: Reply) -> None:
        self._ask(self.follower.reply(time.monotonic() * 1000, reply))
        if self.follower.picture.whole:
            self.done.set()

    def fired(self, fired: Fired) -> None:
        self._ask(self.follower.fired(time.monotonic() * 1000, fired))

    def _ask(self, asks: list[Ask]) -> None:
        for ask in asks:
            self.client.ask(ask)


def _members(args: argparse.Namespace) -> int:
    try:
        servers, path = _read_where(args)
    except ValueError as error:
        print(f"millgw: {error}", file=sys.stderr)
        return BAD_INPUT
    return asyncio.run(_read(args, servers, path))


async def _read(args: argparse.Namespace, servers: tuple[Address, ...], path: str) -> int:
    reading = Reading(servers, path, args.session_s * 1000)
    reading.client.start()
    try:
        async with asyncio.timeout(args.within_s):
            await reading.done.wait()
    except TimeoutError:
        print(f"millgw: {args.connect}: told nothing of {path} within {args.within_s:g} s", file=sys.stderr)
        return INCONCLUSIVE
    finally:
        await reading.client.close()
    picture = reading.follower.picture
    rows: list[dict[str, object]] = []
    for node, read in sorted(picture.nodes.items()):
        row: dict[str, object] = {"node": node, "owner": f"{read.stat.owner:x}"}
        try:
            held = read_node(read.data, (), args.endpoint)
            if held is None:
                row["means"] = "starting"
            else:
                drains = node in picture.draining or not held.ready
                row |= {"name": held.name, "means": "draining" if drains else "ready"}
                row["address"] = str(held.listed.address) if held.listed.address is not None else ""
                row["since_ms"] = int(held.listed.endpoint.since or read.stat.ctime)
        except ValueError as error:
            row |= {"means": "unreadable", "why": str(error)}
        rows.append(row)
    if args.json:
        print(json.dumps({"path": path, "missing": picture.missing, "members": rows}, indent=1))
    elif picture.missing:
        print(f"{path}: there is no such directory")
    else:
        for row in rows:
            print("  ".join(str(row[k]) for k in ("node", "means", "name", "address", "why") if row.get(k)))
        print(f"{len(rows)} nodes below {path}")
    return NOT_HELD if picture.missing or any(r["means"] == "unreadable" for r in rows) else HELD
