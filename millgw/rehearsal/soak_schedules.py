"""Draws long days from a seed: a discovery outage while endpoints drain, with other faults. No I/O."""

from __future__ import annotations

import random

from msgspec.structs import replace

from millgw.rehearsal.scenario import Discovery, Fault, Fleet, Limits, Scenario, Traffic
from millgw.rehearsal.scenario_checks import validate
from millgw.standins.discovery_server import OutageKind

FIRST_FAULT_AFTER_S = (2.0, 6.0)  # before the first fault
OUTAGE_LENGTH_S = (5.0, 40.0)  # the day is long enough for the outage to end
DAY_AFTER_OUTAGE_S = (
    14.0  # s of the day after the outage: drains count as told 6 s after the end of the outage
)
DRAIN_BEFORE_END_S = (-3.0, 4.0)  # when endpoints drain; below 0: after the outage's end
TERM_SPACING_S = (0.2, 1.5)  # between the SIGTERMs of two sidecars
STOP_MS = 140.0  # how long a sidecar is stopped at a time

BASE_DAY = Scenario(
    about="",
    fleet=Fleet(
        endpoints=6, tiers=(1.0, 1.0), work=(0.5, 0.5), calls=(1.25,), sidecars=10, group=3, cold_s=5.0
    ),
    traffic=Traffic(rate=30.0),
    discovery=Discovery(notice_s=(0.1, 1.0), silent_s=(1.0, 3.0), add_s=(0.1, 0.6), timeout_s=2.0),
)
"""The day that faults are drawn into: a small fleet in two tiers."""


def draw_soak(seed: int, longest_s: float = OUTAGE_LENGTH_S[1]) -> Scenario:
    """Draw one day; its outage lasts at most `longest_s`."""
    rng = random.Random(f"soak {seed}")
    begins = rng.uniform(*FIRST_FAULT_AFTER_S)
    length = rng.uniform(OUTAGE_LENGTH_S[0], max(OUTAGE_LENGTH_S[0], longest_s))
    ends = begins + length
    outage = rng.choice(tuple(OutageKind))
    faults = [
        Fault(kind="discovery-outage", start_s=begins, length_s=length, outage=outage),
        Fault(
            kind="drain", start_s=max(0.5, ends - rng.uniform(*DRAIN_BEFORE_END_S)), length_s=20.0, share=0.4
        ),
        *(_extra_fault(rng, begins, ends) for _ in range(rng.randint(0, 2))),
    ]
    faults = [replace(f, start_s=round(f.start_s, 2), length_s=round(f.length_s, 2)) for f in faults]
    faults.sort(key=lambda fault: fault.start_s)
    serving, probing = rng.random() < 0.75, rng.random() < 0.6
    fleet = replace(BASE_DAY.fleet, drains_serving=serving, drains_healthy=rng.random() < 0.6)
    about = f"{length:.0f} s of outage ({outage}), " + ", ".join(f.kind for f in faults)
    return validate(
        replace(
            BASE_DAY, about=about, seed=seed, seconds=round(ends + DAY_AFTER_OUTAGE_S, 1), fleet=fleet,
            faults=tuple(faults), limits=Limits(probing=probing, retry_after_ms=rng.choice((0.0, 1000.0))),
        )
    )  # fmt: skip


def _extra_fault(rng: random.Random, begins: float, ends: float) -> Fault:
    """A fault of another kind, between the start of the outage and some seconds after its end."""
    at = rng.uniform(begins, ends + DAY_AFTER_OUTAGE_S / 2)
    return rng.choice(
        (
            Fault(
                kind="sidecar-restart", start_s=at, length_s=4.0, share=0.5,
                spacing_s=rng.uniform(*TERM_SPACING_S),
            ),
            Fault(kind="sidecar-killed", start_s=at, length_s=1.0, share=0.4),
            Fault(kind="sidecar-stopped", start_s=at, length_s=4.0, share=0.4, size=STOP_MS),
            Fault(kind="crowd", start_s=at, length_s=4.0, size=rng.uniform(1.5, 2.5)),
            Fault(kind="slowdown", start_s=at, length_s=5.0, share=0.3, size=2.0),
            Fault(kind="resets", start_s=at, length_s=4.0, share=0.3, size=0.2),
            Fault(kind="silence", start_s=at, length_s=4.0, share=0.15),
            Fault(kind="watches-silent", start_s=at),
        )
    )  # fmt: skip
