"""The simulator adapter: frames on standard input and output, one Balancer per instance.

It only translates between records and events or actions; all decisions are the balancer's.
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
NO_TIMEOUT = 0.0  # no own limit: an attempt waits until the client gives up
CONDITIONS = {c.value: c for c in api.Condition}
LIST_KINDS = {k.value: k for k in api.ListKind}


def to_event(record: wire.Record, tables: dict[int, tuple[api.Endpoint, ...]]) -> api.Event | None:
    """The balancer's event for a record, or None if the balancer does not use the record."""
    if isinstance(record, wire.AttemptEnded):
        return api.AttemptEnded(
            record.request,
            record.endpoint,
            record.attempt,
            OUTCOMES.get(record.code, api.Outcome.ERROR),
            record.elapsed,
            record.request_finished,
        )
    if isinstance(record, wire.TimerFired):
        return api.TimerFired(record.timer)
    if isinstance(record, wire.RequestArrived):
        return api.RequestArrived(record.request, record.cls, record.deadline, record.tenant)
    if isinstance(record, wire.ListUpdate):
        kind = LIST_KINDS.get(record.kind)
        if kind is None:
            raise wire.WireError(f"unknown list mode {record.kind}")
        if kind is api.ListKind.FAILED:
            return api.EndpointList(kind)
        if record.table not in tables:
            raise wire.WireError(f"list number {record.table} was never declared")
        return api.EndpointList(kind, tables[record.table])
    if isinstance(record, wire.RequestAborted):
        return api.RequestAborted(record.request)
    if isinstance(record, wire.ResponseStarted):
        return api.ResponseStarted(record.request)
    if isinstance(record, wire.ProbeEnded):
        return api.ProbeEnded(record.endpoint, OUTCOMES.get(record.code, api.Outcome.ERROR), record.elapsed)
    return None


def to_record(action: api.Action) -> bytes:
    """The encoded record for an action."""
    if isinstance(action, api.Send):
        return wire.send(action.request, action.endpoint, NO_TIMEOUT)
    if isinstance(action, api.SetTimer):
        return wire.set_timer(action.at, action.timer)
    if isinstance(action, api.Refuse):
        return wire.refuse(action.request, action.retry_after)
    if isinstance(action, api.Fail):
        return wire.fail(action.request)
    if isinstance(action, api.Probe):
        return wire.probe(action.endpoint)
    return wire.subscribe(True)


class InstanceHost:
    """The instances of one process, and the endpoint lists declared for all of them."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.tables: dict[int, tuple[api.Endpoint, ...]] = {}

    def handle_batch(self, now: float, count: int, body: bytes) -> bytes:
        """The encoded reply to one batch."""
        records: list[bytes] = []
        instance: int | None = None
        selected: int | None = None
        for record in wire.decode(count, body):
            if isinstance(record, wire.SelectInstance):
                instance = record.instance
                continue
            if isinstance(record, wire.Table):
                self.tables[record.number] = tuple(_endpoint(e) for e in record.entries)
                continue
            if instance is None:
                raise wire.WireError("a record came before any instance was named")
            try:
                actions = self._handle_record(now, instance, record)
            except (wire.WireError, SettingsError):
                raise
            except Exception as error:  # operators need the error text, not a crashed process
                return wire.reply(
                    [wire.select_instance(instance), wire.instance_error(f"{type(error).__name__}: {error}")]
                )
            if actions and selected != instance:
                records.append(wire.select_instance(instance))
                selected = instance
            records.extend(map(to_record, actions))
        return wire.reply(records)

    def _handle_record(self, now: float, instance: int, record: wire.Record) -> list[api.Action]:
        if isinstance(record, wire.StartInstance):
            # A rule of the simulator: after a failed call the list stays valid for four times `askWithin`.
            # And there is no agent: where lists are pushed, the instance itself gets them.
            settings = replace(
                read_settings(record.settings), calls_fail_only_in_outages=True, local_agent=False
            )
            self.balancers[instance] = Balancer(settings, record.seed)
            return []
        if isinstance(record, wire.StopInstance):
            self.balancers.pop(instance, None)
            return []
        balancer = self.balancers.get(instance)
        if balancer is None:
            raise wire.WireError(f"instance {instance} has not been started")
        if isinstance(record, wire.RequestArrived) and record.cls >= len(balancer.settings.classes):
            raise wire.WireError(f"request {record.request} is of unknown class {record.cls}")
        event = to_event(record, self.tables)
        return [] if event is None else balancer.handle(now, event)


def _endpoint(entry: wire.TableEntry) -> api.Endpoint:
    condition = CONDITIONS.get(entry.condition)
    if condition is None:
        raise wire.WireError(f"endpoint {entry.endpoint} has unknown condition {entry.condition}")
    return api.Endpoint(entry.endpoint, condition, entry.size, entry.cell, entry.zone, entry.started_at)


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ends inside a frame: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = InstanceHost()
    while first := source.read(1):
        header = first + _read(source, wire.HEADER.size - 1)
        count, size, now = wire.HEADER.unpack(header)
        sink.write(host.handle_batch(now, count, _read(source, size)))
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
