"""The `configuration` command: runs control instances, proposes versions, shows where they are in force."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import click
import uvloop

from millgw.cli.exits import HELD, INCONCLUSIVE, NOT_HELD, BadInput
from millgw.cli.interrupts import run_interruptible
from millgw.cli.kinds import ADDRESS, Duration
from millgw.cli.log import start as start_log
from millgw.cli.report import Out, Reporting, Serving
from millgw.configuration.control_client import (
    FleetStatus,
    Outcome,
    ProposalResult,
    fetch_document,
    fetch_status,
    propose,
)
from millgw.configuration.document import MAX_NAME_LENGTH, Change
from millgw.configuration.durable import DurableState, DurableStateError
from millgw.configuration.instance import Instance
from millgw.configuration.replica import Options
from millgw.configuration.reports import Summary
from millgw.log.events import log_event
from millgw.log.rendering import FORMATS
from millgw.platform.config import Address, read_address

POLL_INTERVAL_S = 0.5  # s between two polls of `wait`
RESPONSE_TIMEOUT_S = 2.0  # s for an instance's response
MAX_INSTANCE_NAME = 64  # characters


class AddressesKind(click.ParamType[tuple[Address, ...]]):
    """Parses `IP:PORT,...` into addresses."""

    name = "IP:PORT,..."

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[Address, ...]:
        if isinstance(value, tuple):
            return value
        try:
            return tuple(dict.fromkeys(read_address(part) for part in value.split(",")))
        except ValueError as error:
            self.fail(str(error), param, ctx)


class VotersKind(click.ParamType[dict[str, Address]]):
    """Parses `NAME=IP:PORT,...` into addresses by name."""

    name = "NAME=IP:PORT,..."

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> dict[str, Address]:
        if isinstance(value, dict):
            return value
        voters: dict[str, Address] = {}
        for part in value.split(","):
            name, _, address = part.partition("=")
            if not _is_instance_name(name) or name in voters:
                self.fail(f"{name!r} is not a valid instance name or is given twice", param, ctx)
            try:
                voters[name] = read_address(address)
            except ValueError as error:
                self.fail(str(error), param, ctx)
        if len(set(voters.values())) != len(voters):
            self.fail("an address is given twice", param, ctx)
        return voters


def _is_instance_name(name: str) -> bool:
    return 0 < len(name) <= MAX_INSTANCE_NAME and name.isascii() and name.isprintable() and " " not in name


INSTANCES_ARGUMENT = click.argument("instances", nargs=-1, required=True, type=ADDRESS, metavar="IP:PORT...")
INSTANCES_OPTION = click.option(
    "--at", "instances", required=True, type=AddressesKind(), help="The control instances."
)
RESPONSE_TIMEOUT_OPTION = click.option(
    "--each-within",
    type=Duration(0.01, 60),
    default=RESPONSE_TIMEOUT_S,
    show_default=True,
    help="Timeout per response.",
)


@click.group()
def configuration() -> None:
    """Run control instances, change the fleet's configuration and see where it is in force.

    Exit: 0 success, 1 the condition does not hold, 2 bad input, 3 inconclusive.
    """


# serve


@configuration.command(
    cls=Serving,
    examples=[
        "configuration serve --name a --voters a=127.0.0.1:7301 --store /var/lib/millgw/control --create",
        "configuration serve --name r --follow 127.0.0.1:7301 --listen 127.0.0.1:7309 --store /tmp/r",
    ],
)
@click.option("--name", required=True, help="This instance's name.")
@click.option("--voters", type=VotersKind(), help="All voters, including this one.")
@click.option("--follow", type=AddressesKind(), help="Run a relay that follows these instances.")
@click.option("--listen", type=ADDRESS, help="Address of a relay; that of a voter is in --voters.")
@click.option(
    "--store",
    required=True,
    multiple=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Directory of the instance's state; twice to mirror it.",
)
@click.option("--create", is_flag=True, help="Create the state of a voter that has never run.")
@click.option("--log", type=click.Choice(FORMATS), default="text", show_default=True)
def serve(
    name: str,
    voters: dict[str, Address] | None,
    follow: tuple[Address, ...] | None,
    listen: Address | None,
    store: Sequence[Path],
    create: bool,
    log: str,
) -> int:
    """Run one control instance: a voter (--voters) or a relay (--follow).

    A voter whose store is lost, incomplete or belongs to another instance does not start, as its vote could
    lose a committed version. Use --create only for the first start of a new cluster.

    Exit: 0 stopped by a signal (SIGTERM), 1 failed while running, 2 bad input or an unusable store.
    """
    if not _is_instance_name(name):
        raise BadInput(f"--name: {name!r} is not a valid instance name")
    if (voters is None) == (follow is None):
        raise BadInput("exactly one of --voters and --follow is required")
    start_log(log)
    if voters is not None:
        return _serve_voter(name, voters, listen, store, create)
    assert follow is not None
    if listen is None or create or len(store) != 1:
        raise BadInput("a relay requires --listen and exactly one --store, and does not accept --create")
    return uvloop.run(_run_relay(name, listen, follow, store[0]))


def _serve_voter(
    name: str, voters: dict[str, Address], listen: Address | None, store: Sequence[Path], create: bool
) -> int:
    if name not in voters:
        raise BadInput(f"--voters: does not include {name}")
    if listen is not None:
        raise BadInput("--listen: the address of a voter is in --voters")
    if len(store) > 2:
        raise BadInput("--store: one directory, or two that mirror each other")
    try:
        if create:
            for directory in store:
                directory.mkdir(parents=True, exist_ok=True)
        durable = DurableState.open(store, name, create)
    except DurableStateError as error:
        raise BadInput(f"--store: {error}") from None
    except OSError as error:
        raise BadInput(f"--store: {error}") from None
    return uvloop.run(_run_voter(Options(name, tuple(sorted(voters))), voters, durable))


async def _run_voter(options: Options, voters: dict[str, Address], durable: DurableState) -> int:
    instance = Instance(options, voters, durable, random.randrange(2**32))
    address = voters[options.name]
    try:
        await _start(instance.start, address)
        terminated = _termination_signal()
        log_event("instance-serving", name=options.name, listen=address, index=instance.service.history.index)
        ends: list[asyncio.Future[Any]] = [terminated, instance.failed]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    finally:
        instance.stop()
    if instance.failed.done():
        print(f"millgw: {instance.failed.result()}", file=sys.stderr)
        return NOT_HELD
    return HELD


async def _run_relay(name: str, listen: Address, follow: tuple[Address, ...], store: Path) -> int:
    from millgw.configuration.relay import Relay  # a voter does not need the sidecar's client

    relay = Relay(name, listen, follow, store, random.randrange(2**32))
    try:
        await _start(relay.start, listen)
        terminated = _termination_signal()
        log_event("instance-serving", name=name, listen=listen, index=relay.service.history.index)
        await terminated
    finally:
        relay.stop()
    return HELD


async def _start(start: Callable[[], Coroutine[Any, Any, None]], address: Address) -> None:
    try:
        await start()
    except OSError as error:
        raise BadInput(f"{address}: {error.strerror or error}") from None


def _termination_signal() -> asyncio.Future[None]:
    """A future that is done when the process receives SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    terminated: asyncio.Future[None] = loop.create_future()

    def on_signal() -> None:
        if not terminated.done():
            terminated.set_result(None)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    return terminated


# set


@configuration.command(
    "set",
    cls=Reporting,
    examples=["""configuration set --at 127.0.0.1:7301 'services.login={"limits":{"tryLimit":2}}'"""],
)
@INSTANCES_OPTION
@click.argument("changes", nargs=-1, metavar="NAME=JSON...")
@click.option("--remove", multiple=True, metavar="NAME", help="Remove an entry; repeatable.")
@click.option("--if-index", type=click.IntRange(0), help="Commit only if this is the newest version.")
@click.option("--author", default="", help="Defaults to the name of the user.")
@click.option("--reason", default="")
@click.option(
    "--within", type=Duration(0.1, 600), default=10.0, show_default=True, help="Timeout for the outcome."
)
def set_(
    out: Out,
    instances: tuple[Address, ...],
    changes: Sequence[str],
    remove: Sequence[str],
    if_index: int | None,
    author: str,
    reason: str,
    within: float,
) -> int:
    """Propose one version with all these changes; NAME=@FILE reads a value from a file.

    Retries until an instance leads or the timeout is over. A version that may have been committed is never
    proposed again automatically: check with `get`, then use --if-index.

    Exit: 0 committed, 1 nothing changed (conflict or no quorum), 2 bad input, 3 unknown or no response.
    """
    proposed = [_read_change(text) for text in changes] + [Change(name, None) for name in remove]
    names = [change.name for change in proposed]
    if not proposed:
        raise BadInput("nothing to change: give NAME=JSON or --remove NAME")
    for name in names:
        if not 0 < len(name) <= MAX_NAME_LENGTH or names.count(name) > 1:
            raise BadInput(f"{name!r} is not a valid entry name or is given twice")
    result = run_interruptible(propose(instances, proposed, author or _user_name(), reason, if_index, within))
    if result.outcome is Outcome.INVALID:
        raise BadInput(f"refused: {result.cause}")
    fields = {"outcome": result.outcome.value, "index": result.index, "epoch": result.epoch}
    return out.end(_proposal_exit_code(result), fields | {"cause": result.cause}, [_describe(result)])


def _read_change(text: str) -> Change:
    name, equals, value = text.partition("=")
    if not equals:
        raise BadInput(f"{text!r} is not NAME=JSON")
    try:
        data = Path(value[1:]).read_text() if value.startswith("@") else value
        decoded = json.loads(data)
    except (OSError, ValueError) as error:
        raise BadInput(f"{name}: {error}") from None
    if not isinstance(decoded, dict):
        raise BadInput(f"{name}: not a JSON object")
    return Change(name, decoded)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return str(os.getuid())


def _proposal_exit_code(result: ProposalResult) -> int:
    if result.outcome is Outcome.COMMITTED:
        return HELD
    if result.outcome in (Outcome.CONFLICT, Outcome.NO_QUORUM):
        return NOT_HELD
    return INCONCLUSIVE


def _describe(result: ProposalResult) -> str:
    match result.outcome:
        case Outcome.COMMITTED:
            return f"committed: version {result.index} of epoch {result.epoch}"
        case Outcome.CONFLICT:
            return f"conflict: the newest version is {result.index}; nothing changed"
        case Outcome.NO_QUORUM:
            return f"no quorum: nothing changed ({result.cause})"
        case Outcome.UNREACHABLE:
            return f"no instance answered: nothing changed ({result.cause})"
        case _:
            return f"not known: it may be committed ({result.cause}); look with `get`, then use --if-index"


# get


@configuration.command(cls=Reporting, examples=["configuration get --at 127.0.0.1:7301 services.login"])
@INSTANCES_OPTION
@click.argument("name", required=False)
@RESPONSE_TIMEOUT_OPTION
def get(out: Out, instances: tuple[Address, ...], name: str | None, each_within: float) -> int:
    """Print the newest committed document that any instance has, or one entry of it.

    Exit: 0 found, 1 there is no such entry, 2 bad input, 3 no instance answered.
    """
    line, errors = run_interruptible(fetch_document(instances, each_within))
    if line is None:
        for address, error in sorted(errors.items()):
            print(f"millgw: {address}: {error}", file=sys.stderr)
        return out.end(INCONCLUSIVE, {"troubles": errors})
    entries = {change.name: change.value for change in line.changes}
    fields: dict[str, Any] = {"index": line.index, "epoch": line.epoch, "digest": line.digest}
    if name is not None:
        value = entries.get(name)
        if value is None:
            return out.end(
                NOT_HELD, fields | {"entries": {}}, [f"version {line.index} has no entry named {name}"]
            )
        return out.end(HELD, fields | {"entries": {name: value}}, [json.dumps(value, indent=2)])
    lines = [
        f"version {line.index} of epoch {line.epoch}, digest {line.digest}",
        json.dumps(entries, indent=2),
    ]
    return out.end(HELD, fields | {"entries": entries}, lines)


# status


@configuration.command(cls=Reporting, examples=["configuration status 127.0.0.1:7301 127.0.0.1:7302"])
@INSTANCES_ARGUMENT
@click.option("--index", type=click.IntRange(0), help="The version to look up; the newest by default.")
@RESPONSE_TIMEOUT_OPTION
def status(out: Out, instances: tuple[Address, ...], index: int | None, each_within: float) -> int:
    """Show the merged status of these instances and at how many sidecars a version is in force.

    Exit: 0 in force at all known sidecars and all instances have a quorum, 1 otherwise, 2 bad input, 3 some
    instances did not answer.
    """
    fleet = run_interruptible(fetch_status(tuple(dict.fromkeys(instances)), each_within))
    requested = fleet.committed if index is None else index
    summary = fleet.summary(requested)
    return out.end(
        _status_exit_code(fleet, summary), _status_fields(fleet, summary), _status_lines(fleet, summary)
    )


def _status_exit_code(fleet: FleetStatus, summary: Summary) -> int:
    if fleet.errors:
        return INCONCLUSIVE
    in_force = summary.applied == summary.known and not fleet.split_versions()
    return HELD if in_force and all(instance.quorum for instance in fleet.instances) else NOT_HELD


def _status_fields(fleet: FleetStatus, summary: Summary) -> dict[str, Any]:
    return {
        "index": summary.index,
        "committed": fleet.committed,
        "in_force": summary.fields(),
        "refusals": summary.refusal_fields(),
        "split_versions": fleet.split_versions(),
        "instances": [instance.fields() for instance in fleet.instances],
        "troubles": fleet.errors,
    }


def _status_lines(fleet: FleetStatus, summary: Summary) -> list[str]:
    lines = [
        f"{instance.address}  {instance.name}  {instance.role}  epoch {instance.epoch}"
        f"  version {instance.committed}  {instance.watchers} watchers"
        + ("" if instance.quorum else "  no quorum")
        for instance in fleet.instances
    ]
    lines += [f"{address}  {error}" for address, error in sorted(fleet.errors.items())]
    lines += [f"version {index}: instances differ in its content" for index in fleet.split_versions()]
    lines.append(_summary_line(summary))
    lines += [
        f"    {refusal.name} refused version {refusal.index}: {refusal.cause}" for refusal in summary.refusals
    ]
    return lines


def _summary_line(summary: Summary) -> str:
    line = (
        f"version {summary.index}: in force at {summary.applied} of {summary.known} known sidecars,"
        f" {summary.refused} refused it, {summary.behind} behind"
    )
    if summary.diverged:
        line += f", {summary.diverged} with another content"
    if summary.oldest_index is not None:
        line += f"; the oldest in force is {summary.oldest_index}"
    return line


# wait


@configuration.command(
    cls=Reporting, examples=["configuration wait --index 43 --all 127.0.0.1:7301 127.0.0.1:7302"]
)
@INSTANCES_ARGUMENT
@click.option("--index", type=click.IntRange(1), required=True, help="The version to wait for.")
@click.option("--all", "all_", is_flag=True, help="Wait for every known sidecar.")
@click.option("--sidecars", type=click.IntRange(1), help="Wait for this many sidecars.")
@click.option("--within", type=Duration(0.1, 3600), default=30.0, show_default=True, help="Total timeout.")
@RESPONSE_TIMEOUT_OPTION
def wait(
    out: Out,
    instances: tuple[Address, ...],
    index: int,
    all_: bool,
    sidecars: int | None,
    within: float,
    each_within: float,
) -> int:
    """Wait until a version is in force at the sidecars that these instances know.

    With --all, every listed instance must answer and at least one sidecar must be known.

    Exit: 0 in force, 1 refused by a sidecar or in force with different content, 2 bad input, 3 timed out.
    """
    if not all_ and sidecars is None:
        raise BadInput("--all or --sidecars N is needed")
    places = tuple(dict.fromkeys(instances))
    fleet, code = run_interruptible(_wait(places, index, all_, sidecars or 1, within, each_within))
    summary = fleet.summary(index)
    return out.end(code, _status_fields(fleet, summary), _status_lines(fleet, summary))


async def _wait(
    instances: tuple[Address, ...], index: int, all_: bool, least: int, within: float, each_within: float
) -> tuple[FleetStatus, int]:
    deadline = time.monotonic() + within
    while True:
        fleet = await fetch_status(instances, min(each_within, max(0.01, deadline - time.monotonic())))
        summary = fleet.summary(index)
        if summary.refused or summary.diverged:
            return fleet, NOT_HELD
        everywhere = summary.applied == summary.known and not fleet.errors
        if summary.applied >= least and (everywhere or not all_):
            return fleet, HELD
        if time.monotonic() + POLL_INTERVAL_S >= deadline:
            return fleet, INCONCLUSIVE
        await asyncio.sleep(POLL_INTERVAL_S)
