"""What one sidecar spent on control, and what many did: typed records and their summary. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from statistics import median

from msgspec import Struct

UDP_HEADERS = 28  # bytes of IPv4 and UDP headers of a datagram
TCP_HEADERS = 40  # bytes of IPv4 and TCP headers, counted once for each read and each write


class Part(Enum):
    """The parts of a sidecar's control traffic."""

    LIST = "list"
    PEERS = "peers"
    PEER_CONNECTIONS = "peer connections"
    CONFIGURATION = "configuration"


class Traffic(Struct):
    """Bytes and packets of one part, payload and headers apart."""

    sent: int = 0
    received: int = 0
    packets: int = 0
    headers: int = 0

    @property
    def total(self) -> int:
        """Both directions, with headers."""
        return self.sent + self.received + self.headers

    def since(self, before: Traffic) -> Traffic:
        """What came to it since an earlier count."""
        return Traffic(
            self.sent - before.sent,
            self.received - before.received,
            self.packets - before.packets,
            self.headers - before.headers,
        )


class SidecarFigures(Struct):
    """One sidecar's traffic by part since it began."""

    name: str
    traffic: dict[Part, Traffic]


class ProcessFigures(Struct):
    """One process with some sidecars in it. `late_p99` is how late its loop was woken (s)."""

    cpu: float  # s that it has used
    at: float  # s, when this was taken
    memory: int  # bytes resident now
    base_memory: int  # bytes resident before the first sidecar
    late_p99: float
    late_worst: float
    sidecars: list[SidecarFigures]
    unmetered: int = 0  # control connections that no sidecar could be found for


class Rate(Struct, frozen=True):
    """A figure for each sidecar: at the median and at the worst."""

    median: float
    worst: float


class Spent(Struct, frozen=True):
    """What control cost a sidecar over a window of a run."""

    sidecars: int
    seconds: float
    bytes_by_part: dict[str, Rate]  # a second, both directions, with headers
    bytes_total: Rate
    sent: Rate  # payload a second, this direction alone
    received: Rate
    cpu_share: Rate  # of a core; sidecars of one process count alike
    memory: Rate  # bytes, as of a process of its own: the program, and one sidecar's part of the rest
    late_p99: float
    late_worst: float


def rate(values: Sequence[float]) -> Rate:
    """Median and worst of some values; zeros of none."""
    return Rate(float(median(values)), float(max(values))) if values else Rate(0.0, 0.0)


def spent(before: Sequence[ProcessFigures], after: Sequence[ProcessFigures]) -> Spent:
    """What was spent between two measurements of the same processes, in the same order.

    A sidecar that was not there at both, or has begun anew, is left out.
    """
    cpu: list[float] = []
    memory: list[float] = []
    traffic: list[dict[Part, Traffic]] = []
    seconds = max((b.at - a.at for a, b in zip(before, after, strict=True)), default=0.0)
    for a, b in zip(before, after, strict=True):
        count = max(1, len(b.sidecars))
        cpu += [(b.cpu - a.cpu) / max(b.at - a.at, 1e-9) / count] * len(b.sidecars)
        memory += [b.base_memory + (b.memory - b.base_memory) / count] * len(b.sidecars)
        earlier = {sidecar.name: sidecar for sidecar in a.sidecars}
        for sidecar in b.sidecars:
            known = earlier.get(sidecar.name)
            if known is not None:
                traffic.append(_grown(known.traffic, sidecar.traffic))
    length = max(seconds, 1e-9)
    whole = [each for each in traffic if all(part.packets >= 0 for part in each.values())]
    return Spent(
        sidecars=len(cpu),
        seconds=seconds,
        bytes_by_part={
            part.value: rate([each[part].total / length for each in whole if part in each]) for part in Part
        },
        bytes_total=rate([sum(t.total for t in each.values()) / length for each in whole]),
        sent=rate([sum(t.sent for t in each.values()) / length for each in whole]),
        received=rate([sum(t.received for t in each.values()) / length for each in whole]),
        cpu_share=rate(cpu),
        memory=rate(memory),
        late_p99=max((b.late_p99 for b in after), default=0.0),
        late_worst=max((b.late_worst for b in after), default=0.0),
    )


def _grown(before: dict[Part, Traffic], after: dict[Part, Traffic]) -> dict[Part, Traffic]:
    return {part: after[part].since(before.get(part, Traffic())) for part in after}
