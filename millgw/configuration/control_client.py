"""What commands ask of control instances: proposals, the document, and statuses merged into one."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from millgw.configuration.document import Change, DocumentError, Line, decode_count, decode_line
from millgw.configuration.messages import MAX_DOCUMENT
from millgw.configuration.reports import Sidecar, Summary, decode_sidecar, merge, summarize
from millgw.platform.config import Address, read_address
from millgw.top.door import Trouble, ask

CONFIGURATION_PATH = "/v1/configuration"
STATUS_PATH = "/v1/configuration/status"
MAX_ANSWER = 2 * MAX_DOCUMENT  # bytes
RETRY_INTERVAL = 0.2  # s between two rounds over the instances, while none of them leads
CONNECT_TIME = 1.0  # s for a connection to an instance, before the next one is tried
MAX_REDIRECTS = 4  # to a leader, in one round


class Outcome(StrEnum):
    """How a proposal ended, as far as whoever proposed it can know."""

    COMMITTED = "committed"
    CONFLICT = "conflict"  # `if_index` was not the newest version: nothing changed
    INVALID = "invalid"  # the proposal can't be taken: nothing changed
    NO_QUORUM = "no quorum"  # nothing changed
    UNREACHABLE = "no instance answered"  # nothing changed
    UNKNOWN = "not known"  # it may be committed, or be so later


@dataclass(slots=True, frozen=True)
class ProposalResult:
    """An outcome, the version (committed, or the newest one at a conflict), and why."""

    outcome: Outcome
    index: int | None = None
    epoch: int | None = None
    cause: str = ""
    instance: str = ""


async def propose(
    instances: Sequence[Address],
    changes: Sequence[Change],
    author: str,
    reason: str,
    if_index: int | None,
    within: float,
) -> ProposalResult:
    """Propose a version to whoever leads, and ask again while nobody does: until then nothing has changed."""
    fields: dict[str, Any] = {
        "changes": [{"name": change.name, "value": change.value} for change in changes],
        "author": author,
        "reason": reason,
    }
    if if_index is not None:
        fields["if_index"] = if_index
    body = json.dumps(fields).encode()
    deadline = time.monotonic() + within
    result = ProposalResult(Outcome.UNREACHABLE)
    while True:
        for instance in instances:
            found = await _propose_by(instance, body, deadline)
            if found.outcome not in (Outcome.NO_QUORUM, Outcome.UNREACHABLE):
                return found
            if found.outcome is Outcome.NO_QUORUM or result.outcome is Outcome.UNREACHABLE:
                result = found
        if time.monotonic() + RETRY_INTERVAL >= deadline:
            return result
        await asyncio.sleep(RETRY_INTERVAL)


async def _propose_by(instance: Address, body: bytes, deadline: float) -> ProposalResult:
    """Propose at one instance and follow it to the leader."""
    for _ in range(MAX_REDIRECTS):
        within = deadline - time.monotonic()
        if within <= 0:
            return ProposalResult(Outcome.UNREACHABLE, cause=f"{instance}: not asked in time")
        try:
            status, answer = await ask(
                instance, CONFIGURATION_PATH, within, "POST", body, connect_within=CONNECT_TIME
            )
        except Trouble as trouble:
            outcome = Outcome.UNKNOWN if trouble.sent else Outcome.UNREACHABLE
            return ProposalResult(outcome, cause=f"{instance}: {trouble}", instance=str(instance))
        fields = _read_object(answer)
        if status != 421:
            return _result(instance, status, fields)
        leader = fields.get("leader")
        if not leader:
            return ProposalResult(Outcome.NO_QUORUM, cause=f"{instance}: knows no leader")
        try:
            instance = read_address(leader)
        except ValueError:
            return ProposalResult(Outcome.NO_QUORUM, cause=f"{instance}: names no leader that can be reached")
    return ProposalResult(Outcome.NO_QUORUM, cause="the instances do not agree on a leader")


def _result(instance: Address, status: int, fields: dict[str, Any]) -> ProposalResult:
    cause = str(fields.get("cause", ""))
    index, epoch = fields.get("index"), fields.get("epoch")
    outcomes = {
        200: Outcome.COMMITTED,
        400: Outcome.INVALID,
        409: Outcome.CONFLICT,
        413: Outcome.INVALID,
        503: Outcome.NO_QUORUM,
    }
    outcome = outcomes.get(status, Outcome.UNKNOWN)
    if outcome is Outcome.COMMITTED and not isinstance(index, int):
        outcome = Outcome.UNKNOWN
    if outcome is Outcome.UNKNOWN and not cause:
        cause = f"{instance}: answered {status}"
    return ProposalResult(outcome, index, epoch, cause, str(instance))


def _read_object(answer: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(answer)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


# The document


async def fetch_document(instances: Sequence[Address], within: float) -> tuple[Line | None, dict[str, str]]:
    """The newest document that any instance has, and why others told none, by address."""
    lines: list[Line] = []
    troubles: dict[str, str] = {}

    async def fetch(instance: Address) -> None:
        try:
            status, answer = await ask(instance, CONFIGURATION_PATH, within, most=MAX_ANSWER)
            if status != 200:
                raise Trouble(f"answered {status}")
            lines.append(decode_line(answer))
        except (Trouble, DocumentError) as error:
            troubles[str(instance)] = str(error)

    await asyncio.gather(*(fetch(instance) for instance in instances))
    return max(lines, key=lambda line: line.index, default=None), troubles


# Statuses


@dataclass(slots=True, frozen=True)
class InstanceStatus:
    """One instance's view."""

    address: str
    name: str
    role: str
    epoch: int
    leader: str
    committed: int
    digest: str
    quorum: bool
    watchers: int
    sidecars: tuple[Sidecar, ...]

    def fields(self) -> dict[str, Any]:
        """As a report tells it."""
        return {
            "address": self.address,
            "name": self.name,
            "role": self.role,
            "epoch": self.epoch,
            "leader": self.leader,
            "committed": self.committed,
            "quorum": self.quorum,
            "watchers": self.watchers,
        }


@dataclass(slots=True)
class FleetStatus:
    """What all instances that were asked tell together."""

    instances: list[InstanceStatus] = field(default_factory=list)
    troubles: dict[str, str] = field(default_factory=dict)

    @property
    def committed(self) -> int:
        """The newest version that any instance knows to be committed."""
        return max((instance.committed for instance in self.instances), default=0)

    def summary(self, index: int) -> Summary:
        """Where a version is in force."""
        digests = {instance.committed: instance.digest for instance in self.instances}
        sidecars = merge(instance.sidecars for instance in self.instances)
        return summarize(sidecars, index, digests)

    def split_versions(self) -> list[int]:
        """Indexes of which instances have different documents: something is wrong."""
        seen: dict[int, set[str]] = {}
        for instance in self.instances:
            seen.setdefault(instance.committed, set()).add(instance.digest)
        return sorted(index for index, digests in seen.items() if len(digests) > 1)


async def fetch_status(instances: Sequence[Address], within: float) -> FleetStatus:
    """Ask all instances at once."""
    fleet = FleetStatus()

    async def fetch(instance: Address) -> None:
        try:
            status, answer = await ask(instance, f"{STATUS_PATH}?sidecars=1", within, most=MAX_ANSWER)
            if status != 200:
                raise Trouble(f"answered {status}")
            fleet.instances.append(decode_status(str(instance), _read_object(answer), time.monotonic()))
        except (Trouble, DocumentError) as error:
            fleet.troubles[str(instance)] = str(error)

    await asyncio.gather(*(fetch(instance) for instance in instances))
    fleet.instances.sort(key=lambda status: status.address)
    return fleet


def decode_status(address: str, fields: dict[str, Any], now: float) -> InstanceStatus:
    """An instance's status from its JSON; a DocumentError names the field that can't be used."""
    for name in ("name", "role", "digest"):
        if not isinstance(fields.get(name), str):
            raise DocumentError(f"{name}: not a string")
    sidecars = fields.get("sidecars")
    if not isinstance(sidecars, list):
        raise DocumentError("sidecars: not a list")
    return InstanceStatus(
        address=address,
        name=fields["name"],
        role=fields["role"],
        epoch=decode_count(fields, "epoch"),
        leader=str(fields.get("leader") or ""),
        committed=decode_count(fields, "committed"),
        digest=fields["digest"],
        quorum=fields.get("quorum") is True,
        watchers=decode_count(fields, "watchers"),
        sidecars=tuple(decode_sidecar(sidecar, now) for sidecar in sidecars),
    )
