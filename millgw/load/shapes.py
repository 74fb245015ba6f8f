"""How the rate goes over a run: shapes as they are worded on a command line. Pure.

A shape is `KIND:KEY=VALUE,KEY=VALUE`, with rates in arrivals a second and times in seconds; several add up.

    constant:rate=R                       the same all along
    ramp:from=A,to=B                      evenly from A to B over the whole run
    step:from=A,to=B,at=T                 B from T on
    jump:from=A,to=B,at=T,rise=1          from A to B within `rise` seconds from T on
    wave:rate=R,swing=0.3,period=10       a sine round R, by `swing` of it
    spike:rate=R,peak=P,at=T,width=1      R, and up to P and back within `width` seconds round T
    bursts:rate=R,on=1,off=4              R for `on` seconds, then nothing for `off`
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from heapq import merge

from millgw.load.arrivals import thinned

MOST = 1_000_000.0  # of any figure
STEP = 1.0  # ms in which a rate counts as constant where arrivals are even


class ShapeError(ValueError):
    """A shape that can't be used; the text names it and the key."""


@dataclass(slots=True, frozen=True)
class Shape:
    """A course: arrivals a second at a time (ms) of a run, never more than `top`."""

    text: str
    rate: Callable[[float], float]
    top: float


KEYS: dict[str, dict[str, float | None]] = {
    "constant": {"rate": None},
    "ramp": {"from": None, "to": None},
    "step": {"from": None, "to": None, "at": None},
    "jump": {"from": None, "to": None, "at": None, "rise": 1.0},
    "wave": {"rate": None, "swing": 0.3, "period": 10.0},
    "spike": {"rate": None, "peak": None, "at": None, "width": 1.0},
    "bursts": {"rate": None, "on": 1.0, "off": 4.0},
}
"""The keys of each kind, with their defaults; those without one must be given."""
OVER_NOTHING = ("rise", "period", "width", "on")  # keys that can't be 0


def parse(text: str, seconds: float) -> Shape:
    """A shape from its words, for a run of so many seconds."""
    kind, _, rest = text.partition(":")
    if kind not in KEYS:
        raise ShapeError(f"{text!r}: {kind!r} is none of {', '.join(KEYS)}")
    given: dict[str, float] = {}
    for word in filter(None, rest.split(",")):
        key, equals, value = word.partition("=")
        if key not in KEYS[kind]:
            raise ShapeError(f"{text!r}: {kind} has no {key!r}; it takes {', '.join(KEYS[kind])}")
        if key in given:
            raise ShapeError(f"{text!r}: {key} is given twice")
        try:
            number = float(value) if equals else math.nan
        except ValueError:
            number = math.nan
        if not 0 <= number <= MOST:
            raise ShapeError(f"{text!r}: {key} is no number from 0 to {MOST:.0f}")
        if key in OVER_NOTHING and number == 0:
            raise ShapeError(f"{text!r}: {key} is 0")
        given[key] = number
    values: dict[str, float] = {}
    for key, default in KEYS[kind].items():
        found = given.get(key, default)
        if found is None:
            raise ShapeError(f"{text!r}: {key} is missing")
        values[key] = found
    if kind == "wave" and values["swing"] > 1:
        raise ShapeError(f"{text!r}: swing is over 1")
    return _made(text, kind, values, seconds)


def _made(text: str, kind: str, v: dict[str, float], seconds: float) -> Shape:
    if kind == "constant":
        return Shape(text, lambda t: v["rate"], v["rate"])
    if kind == "wave":
        turn = 2 * math.pi / (v["period"] * 1000)
        rate = v["rate"]
        return Shape(text, lambda t: rate * (1 + v["swing"] * math.sin(turn * t)), rate * (1 + v["swing"]))
    if kind == "spike":
        return Shape(text, lambda t: _spike(v, t / 1000), max(v["rate"], v["peak"]))
    if kind == "bursts":
        round_ms = (v["on"] + v["off"]) * 1000
        return Shape(text, lambda t: v["rate"] if t % round_ms < v["on"] * 1000 else 0.0, v["rate"])
    # From one rate to another: at once, within a time, or over the whole run.
    begin, rise = {"ramp": (0.0, seconds), "step": (v.get("at", 0.0), 0.0)}.get(
        kind, (v.get("at", 0.0), v.get("rise", 0.0))
    )
    low, high = v["from"], v["to"]

    def between(t: float) -> float:
        passed = t / 1000 - begin
        if passed < 0:
            return low
        return high if passed >= rise else low + (high - low) * passed / rise

    return Shape(text, between, max(low, high))


def _spike(v: dict[str, float], second: float) -> float:
    near = max(0.0, 1 - abs(second - v["at"]) / (v["width"] / 2))
    return v["rate"] + (v["peak"] - v["rate"]) * near


def times(shape: Shape, seconds: float, even: bool, rng: random.Random) -> Iterator[float]:
    """When (ms) arrivals of a shape come: by chance (Poisson), or evenly."""
    length = seconds * 1000
    if not even:
        yield from thinned(lambda t: shape.rate(t) / 1000, shape.top / 1000, length, rng)
        return
    # One arrival each time that the rate adds up to one more; the first half-way to it.
    due, total, t = 0.5, 0.0, 0.0
    while t < length:
        step = min(STEP, length - t)
        rate = shape.rate(t + step / 2) / 1000
        while rate > 0 and total + rate * step >= due:
            yield t + (due - total) / rate
            due += 1.0
        total += rate * step
        t += step


def merged(shapes: Sequence[Shape], seconds: float, even: bool, seed: int) -> Iterator[float]:
    """The arrivals of several shapes, in order."""
    return merge(
        *(
            times(shape, seconds, even, random.Random(f"shape {seed} {number}"))
            for number, shape in enumerate(shapes)
        )
    )
