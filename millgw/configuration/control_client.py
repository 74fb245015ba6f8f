"""Client of control instances for commands: proposes versions, fetches the document and merges statuses."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from millgw.configuration.document import Change, DocumentError, WatchLine, decode_count, decode_line
from millgw.configuration.messages import MAX_DOCUMENT
from millgw.configuration.reports import Sidecar, Summary, decode_sidecar, merge_sidecars, summarize
from millgw.platform.config import Address, read_address
from millgw.top.door import Trouble, ask

CONFIGURATION_PATH = "/v1/configuration"
STATUS_PATH = "/v1/configuration/status"
MAX_RESPONSE_BYTES = 2 * MAX_DOCUMENT  # bytes
RETRY_INTERVAL_S = 0.2  # s between two rounds over the instances while none of them leads
CONNECT_TIMEOUT_S = 1.0  # s to connect to an instance before the next one is tried
MAX_REDIRECTS = 4  # followed to a leader in one round


class Outcome(StrEnum):
    """Outcome of a proposal as far as the proposer can know it."""

    COMMITTED = "committed"
    CONFLICT = "conflict"  # `if_index` was not the newest version: nothing changed
    INVALID = "invalid"  # the proposal was rejected: nothing changed
    NO_QUORUM = "no quorum"  # nothing changed
    UNREACHABLE = "no instance answered"  # nothing changed
    UNKNOWN = "not known"  # it may have been committed, or may still be


@dataclass(slots=True, frozen=True)
class ProposalResult:
    """Outcome of a proposal, its version (on a conflict, the newest one) and the cause of a failure."""

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
    """Propose a version to the leader; retry while there is none, as nothing has changed until then."""
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
            attempt = await _propose_to(instance, body, deadline)
            if attempt.outcome not in (Outcome.NO_QUORUM, Outcome.UNREACHABLE):
                return attempt
            if attempt.outcome is Outcome.NO_QUORUM or result.outcome is Outcome.UNREACHABLE:
                result = attempt
        if time.monotonic() + RETRY_INTERVAL_S >= deadline:
            return result
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _propose_to(instance: Address, body: bytes, deadline: float) -> ProposalResult:
    """Propose to one instance, following its redirects to the leader."""
    for _ in range(MAX_REDIRECTS):
        within = deadline - time.monotonic()
        if within <= 0:
            return ProposalResult(Outcome.UNREACHABLE, cause=f"{instance}: not tried before the deadline")
        try:
            status, answer = await ask(
                instance, CONFIGURATION_PATH, within, "POST", body, connect_within=CONNECT_TIMEOUT_S
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
            return ProposalResult(Outcome.NO_QUORUM, cause=f"{instance}: returned an invalid leader address")
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


async def fetch_document(
    instances: Sequence[Address], within: float
) -> tuple[WatchLine | None, dict[str, str]]:
    """The newest document that any instance has, and the errors of the others by address."""
    lines: list[WatchLine] = []
    errors: dict[str, str] = {}

    async def fetch(instance: Address) -> None:
        try:
            status, answer = await ask(instance, CONFIGURATION_PATH, within, most=MAX_RESPONSE_BYTES)
            if status != 200:
                raise Trouble(f"answered {status}")
            lines.append(decode_line(answer))
        except (Trouble, DocumentError) as error:
            errors[str(instance)] = str(error)

    await asyncio.gather(*(fetch(instance) for instance in instances))
    return max(lines, key=lambda line: line.index, default=None), errors


# Statuses


@dataclass(slots=True, frozen=True)
class InstanceStatus:
    """Status of one instance."""

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
        """The JSON fields for a command's report."""
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
    """Statuses of all instances that answered, and the errors of the others by address."""

    instances: list[InstanceStatus] = field(default_factory=list)
    errors: dict[str, str] = field(default_factory=dict)

    @property
    def committed(self) -> int:
        """The newest version that any instance knows to be committed."""
        return max((instance.committed for instance in self.instances), default=0)

    def summary(self, index: int) -> Summary:
        """Count the sidecars at which a version is in force."""
        digests = {instance.committed: instance.digest for instance in self.instances}
        sidecars = merge_sidecars(instance.sidecars for instance in self.instances)
        return summarize(sidecars, index, digests)

    def split_versions(self) -> list[int]:
        """Committed indexes at which instances have different documents, which must never happen."""
        seen: dict[int, set[str]] = {}
        for instance in self.instances:
            seen.setdefault(instance.committed, set()).add(instance.digest)
        return sorted(index for index, digests in seen.items() if len(digests) > 1)


async def fetch_status(instances: Sequence[Address], within: float) -> FleetStatus:
    """Fetch the status of all instances concurrently."""
    fleet = FleetStatus()

    async def fetch(instance: Address) -> None:
        try:
            status, answer = await ask(instance, f"{STATUS_PATH}?sidecars=1", within, most=MAX_RESPONSE_BYTES)
            if status != 200:
                raise Trouble(f"answered {status}")
            fleet.instances.append(decode_status(str(instance), _read_object(answer), time.monotonic()))
        except (Trouble, DocumentError) as error:
            fleet.errors[str(instance)] = str(error)

    await asyncio.gather(*(fetch(instance) for instance in instances))
    fleet.instances.sort(key=lambda status: status.address)
    return fleet


def decode_status(address: str, fields: dict[str, Any], now: float) -> InstanceStatus:
    """Decode an instance's status; raises DocumentError, naming the field, for invalid JSON fields."""
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
