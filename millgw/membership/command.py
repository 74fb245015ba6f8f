"""The commands `register` (keeps a server's node) and `members` (lists a directory's members)."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import click

from millgw.cli.exits import HELD, INCONCLUSIVE, NOT_HELD, BadInput
from millgw.cli.interrupts import run_interruptible
from millgw.cli.kinds import ADDRESS, Duration, Number
from millgw.cli.log import start as start_log
from millgw.cli.report import Out, Reporting, Serving
from millgw.log.rendering import FORMATS
from millgw.membership.client import Client
from millgw.membership.follower import DRAINING, DirectoryFollower
from millgw.membership.nodes import read_node
from millgw.membership.protocol import Reply, Request, WatchEvent
from millgw.membership.registrar import LAYOUTS, LAYOUTS_WITHOUT_GROUP, Entry, Registrar
from millgw.membership.servers import check_path, read_connect
from millgw.platform.config import Address

ACCEPT_CHECK_INTERVAL = 0.1  # s between checks whether a server accepts connections


PATH = click.option("--path", required=True, help="The directory of the service's nodes.")
CONNECT = click.option("--connect", required=True, metavar="IP:PORT,...[/ROOT]", help="The coordinator.")
SESSION = click.option(
    "--session-s", type=Duration(0.2, 600), default=10.0, show_default=True, help="The session's time-out."
)


def _read_location(connect: str, path: str) -> tuple[tuple[Address, ...], str]:
    """The coordinator's servers and the full path of the directory."""
    try:
        servers, root = read_connect(connect)
    except ValueError as error:
        raise BadInput(f"--connect: {error}") from None
    try:
        check_path(path)
    except ValueError as error:
        raise BadInput(f"--path: {error}") from None
    return servers, root + path


# register


@click.command(
    cls=Serving,
    examples=["register --connect 127.0.0.1:2181 --path /services/api --name a --address 127.0.0.1:8080"],
)
@CONNECT
@PATH
@SESSION
@click.option("--name", required=True, help="The node's name.")
@click.option("--address", required=True, type=ADDRESS, help="Where the server is reached.")
@click.option(
    "--layout", type=click.Choice(LAYOUTS), default="entry", help="Format of the node's data (entry)."
)
@click.option(
    "--group",
    type=click.IntRange(0),
    help="Of servers that know each other's keyed calls; without it these are repeated at no other server.",
)
@click.option("--weight", type=Number(), default=1.0)
@click.option("--zone", default="")
@click.option(
    "--drain-s",
    type=Duration(),
    default=2.0,
    show_default=True,
    help="Between marking the node as draining and deleting it.",
)
@click.option(
    "--stop-s", type=Duration(), default=10.0, show_default=True, help="For COMMAND to exit before SIGKILL."
)
@click.option("--at-once", is_flag=True, help="Don't wait until the address accepts connections.")
@click.option("--log", type=click.Choice(FORMATS), default="text")
@click.argument("command", nargs=-1, type=click.UNPROCESSED, metavar="[-- COMMAND]")
def register(connect: str, path: str, log: str, **given: Any) -> int:
    """Keep a server's ephemeral node at a coordinator while it serves.

    Registers a server once its address accepts connections. On SIGTERM the node is marked as draining and
    deleted after --drain-s; only then does COMMAND, the server, receive SIGTERM. If COMMAND exits by itself,
    its node is deleted at once.

    Exit: 0 stopped by a signal in an orderly way, 1 the server exited by itself or the node could not be
    deleted, 2 bad input.
    """
    servers, full_path = _read_location(connect, path)
    args = SimpleNamespace(**given)
    if "/" in args.name or args.name == DRAINING:
        raise BadInput(f"--name: {args.name!r} is not a valid member name")
    try:
        check_path(f"{full_path}/{args.name}")
    except ValueError as error:
        raise BadInput(f"--name: {error}") from None
    if args.group is not None and args.layout in LAYOUTS_WITHOUT_GROUP:
        raise BadInput(f"--group: the layout {args.layout} has no field for it")
    start_log(log)
    return asyncio.run(_run_registered(args, servers, full_path, args.address))


async def _run_registered(
    args: SimpleNamespace, servers: tuple[Address, ...], path: str, address: Address
) -> int:
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    child: asyncio.subprocess.Process | None = None
    started_at_ms = int(time.time() * 1000)
    if args.command:
        try:
            child = await asyncio.create_subprocess_exec(*args.command, start_new_session=True)
        except OSError as error:
            raise BadInput(f"{args.command[0]}: {error.strerror}") from None
    child_exit = loop.create_task(child.wait()) if child is not None else loop.create_future()
    stop_wait = loop.create_task(stop_requested.wait())
    if not args.at_once:
        accepting = loop.create_task(_wait_until_accepting(address))
        await asyncio.wait([child_exit, stop_wait, accepting], return_when=asyncio.FIRST_COMPLETED)
        accepting.cancel()
    registrar: Registrar | None = None
    if not child_exit.done() and not stop_wait.done():
        entry = Entry(
            args.name, str(address), args.group, args.weight, args.zone, args.layout,
            started_at_ms=started_at_ms,
        )  # fmt: skip
        registrar = Registrar(servers, path, entry, args.session_s * 1000)
        registrar.start()
        await asyncio.wait([child_exit, stop_wait], return_when=asyncio.FIRST_COMPLETED)
    stop_wait.cancel()
    deleted = True
    if registrar is not None:
        deleted = await (registrar.withdraw() if child_exit.done() else registrar.leave(args.drain_s))
    if child is None:
        return HELD if deleted else NOT_HELD
    if child_exit.done():
        print(f"millgw: {args.command[0]} exited with status {child.returncode}", file=sys.stderr)
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
    return HELD if deleted else NOT_HELD


async def _wait_until_accepting(address: Address) -> None:
    while True:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                _, writer = await asyncio.open_connection(address.host, address.port)
            writer.close()
            return
        await asyncio.sleep(ACCEPT_CHECK_INTERVAL)


# members


class DirectoryReader:
    """Reads one directory once."""

    def __init__(self, servers: tuple[Address, ...], path: str, timeout: float) -> None:
        self.client = Client(servers, timeout, random.Random(), self)
        self.follower = DirectoryFollower(path)
        self.done = asyncio.Event()

    def on_connected(self, fresh: bool, doubtful: bool) -> None:
        self._send(self.follower.on_connected(time.monotonic() * 1000, True))

    def on_disconnected(self) -> None:
        """The next connection reads the directory from the start."""

    def on_reply(self, reply: Reply) -> None:
        self._send(self.follower.on_reply(time.monotonic() * 1000, reply))
        if self.follower.state.complete:
            self.done.set()

    def on_watch_event(self, event: WatchEvent) -> None:
        self._send(self.follower.on_watch_event(time.monotonic() * 1000, event))

    def _send(self, requests: list[Request]) -> None:
        for request in requests:
            self.client.send(request)


@click.command(cls=Reporting, examples=["members --connect 127.0.0.1:2181 --path /services/api"])
@CONNECT
@PATH
@SESSION
@click.option("--endpoint", default="", help="One of a serverset's additional endpoints.")
@click.option("--within-s", type=Duration(), default=5.0, show_default=True, help="For the whole read.")
def members(out: Out, connect: str, path: str, **given: Any) -> int:
    """Show what the nodes below a coordinator's path mean to a pool. Reads the directory once.

    Exit: 0 all nodes are readable, 1 some are not, 2 bad input, 3 the coordinator did not answer in time.
    """
    servers, full_path = _read_location(connect, path)
    return run_interruptible(
        _report_members(out, SimpleNamespace(connect=connect, **given), servers, full_path)
    )


async def _report_members(out: Out, args: SimpleNamespace, servers: tuple[Address, ...], path: str) -> int:
    reading = DirectoryReader(servers, path, args.session_s * 1000)
    reading.client.start()
    try:
        async with asyncio.timeout(args.within_s):
            await reading.done.wait()
    except TimeoutError:
        reason = f"{args.connect}: no answer for {path} within {args.within_s:g} s"
        print(f"millgw: {reason}", file=sys.stderr)
        return out.end(INCONCLUSIVE, {"path": path, "why": reason})
    finally:
        await reading.client.close()
    state = reading.follower.state
    rows: list[dict[str, object]] = []
    for node, member_node in sorted(state.nodes.items()):
        row: dict[str, object] = {"node": node, "owner": f"{member_node.stat.ephemeral_owner:x}"}
        try:
            data = read_node(member_node.data, (), args.endpoint)
            if data is None:
                row["means"] = "starting"
            else:
                drains = node in state.draining or not data.ready
                row |= {"name": data.name, "means": "draining" if drains else "ready"}
                row["address"] = str(data.listed.address) if data.listed.address is not None else ""
                row["since_ms"] = int(data.listed.endpoint.started_at or member_node.stat.ctime)
        except ValueError as error:
            row |= {"means": "unreadable", "why": str(error)}
        rows.append(row)
    lines = [
        "  ".join(str(row[k]) for k in ("node", "means", "name", "address", "why") if row.get(k))
        for row in rows
    ]
    lines.append(f"{path}: no such directory" if state.missing else f"{len(rows)} nodes below {path}")
    unreadable = state.missing or any(r["means"] == "unreadable" for r in rows)
    result = {"path": path, "missing": state.missing, "members": rows}
    return out.end(NOT_HELD if unreadable else HELD, result, lines)
