"""The adapter: simulator frames on standard input and output, one Balancer for each instance.

Translates words and numbers only; every decision is the balancer's.
"""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import BinaryIO

from millgw import interface as api
from millgw.decide import Balancer
from millgw.settings import SettingsError, read_settings
from millgw.simulator import wire

OUTCOMES = {
    200: api.Outcome.OK,
    502: api.Outcome.ERROR,
    429: api.Outcome.REJECTED,
    408: api.Outcome.TIMEOUT,
    521: api.Outcome.CONNECT_FAILED,
    520: api.Outcome.RESET,
    444: api.Outcome.CANCELLED,
    409: api.Outcome.NOT_SENT,
}
NO_TIMEOUT = 0.0  # an attempt waits until the client gives up
CONDITIONS = {c.value: c for c in api.Condition}
LIST_KINDS = {k.value: k for k in api.ListKind}


def to_event(record: wire.Record, tables: dict[int, tuple[api.Endpoint, ...]]) -> api.Event | None:
    """The balancer's event for a record, or None where it has no use for the record."""
    if isinstance(record, wire.Ended):
        return api.AttemptEnded(
            record.request,
            record.endpoint,
            record.attempt,
            OUTCOMES.get(record.code, api.Outcome.ERROR),
            record.elapsed,
            record.no_more,
        )
    if isinstance(record, wire.Fired):
        return api.TimerFired(record.name)
    if isinstance(record, wire.Knock):
        return api.RequestArrived(record.request, record.cls, record.not_after, record.tenant)
    if isinstance(record, wire.Sync):
        kind = LIST_KINDS.get(record.mode)
        if kind is None:
            raise wire.WireError(f"unknown list mode {record.mode}")
        if kind is api.ListKind.FAILED:
            return api.EndpointList(kind)
        if record.table not in tables:
            raise wire.WireError(f"list number {record.table} was never declared")
        return api.EndpointList(kind, tables[record.table])
    if isinstance(record, wire.Aborted):
        return api.RequestAborted(record.request)
    if isinstance(record, wire.Flowing):
        return api.ResponseStarted(record.request)
    if isinstance(record, wire.Echo):
        return api.ProbeEnded(record.endpoint, OUTCOMES.get(record.code, api.Outcome.ERROR), record.elapsed)
    return None


def to_record(action: api.Action) -> bytes:
    """The wire's record for an action."""
    if isinstance(action, api.Send):
        return wire.dispatch(action.request, action.endpoint, NO_TIMEOUT)
    if isinstance(action, api.SetTimer):
        return wire.after(action.at, action.timer)
    if isinstance(action, api.Refuse):
        return wire.say_no(action.request, action.retry_after)
    if isinstance(action, api.Fail):
        return wire.respond_error(action.request)
    if isinstance(action, api.Probe):
        return wire.health_check(action.endpoint)
    return wire.stream_changes(True)


class Host:
    """The instances of one process, and the lists that the wire declares to all of them."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.tables: dict[int, tuple[api.Endpoint, ...]] = {}

    def answer(self, now: float, count: int, body: bytes) -> bytes:
        """The reply to one batch."""
        out: list[bytes] = []
        current: int | None = None
        speaking: int | None = None
        for record in wire.decode(count, body):
            if isinstance(record, wire.SwitchTo):
                current = record.instance
                continue
            if isinstance(record, wire.Table):
                self.tables[record.number] = tuple(_endpoint(e) for e in record.entries)
                continue
            if current is None:
                raise wire.WireError("a record came before any instance was named")
            try:
                actions = self._step(now, current, record)
            except (wire.WireError, SettingsError):
                raise
            except Exception as error:  # the operators want the text, not a dead process
                return wire.reply([wire.act_as(current), wire.broken(f"{type(error).__name__}: {error}")])
            if actions and speaking != current:
                out.append(wire.act_as(current))
                speaking = current
            out.extend(map(to_record, actions))
        return wire.reply(out)

    def _step(self, now: float, instance: int, record: wire.Record) -> list[api.Action]:
        if isinstance(record, wire.Boot):
            # The wire's own rule: a call that failed keeps the list for four `askWithin`.
            settings = replace(read_settings(record.settings), calls_fail_only_in_outages=True)
            self.balancers[instance] = Balancer(settings, record.seed)
            return []
        if isinstance(record, wire.Stop):
            self.balancers.pop(instance, None)
            return []
        balancer = self.balancers.get(instance)
        if balancer is None:
            raise wire.WireError(f"instance {instance} has not been started")
        if isinstance(record, wire.Knock) and record.cls >= len(balancer.settings.classes):
            raise wire.WireError(f"request {record.request} is of unknown class {record.cls}")
        event = to_event(record, self.tables)
        return [] if event is None else balancer.handle(now, event)


def _endpoint(entry: wire.Entry) -> api.Endpoint:
    condition = CONDITIONS.get(entry.condition)
    if condition is None:
        raise wire.WireError(f"endpoint {entry.endpoint} has unknown condition {entry.condition}")
    return api.Endpoint(entry.endpoint, condition, entry.size, entry.cell, entry.zone, entry.since)


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ends inside a frame: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while first := source.read(1):
        header = first + _read(source, wire.HEADER.size - 1)
        count, size, now = wire.HEADER.unpack(header)
        sink.write(host.answer(now, count, _read(source, size)))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"millgw: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
