"""What the run and its processes say to each other: one JSON object a line, typed and checked."""

from __future__ import annotations

from msgspec import Struct, json

from millgw.scale.figures import ProcessFigures
from millgw.scale.spread import Topic


class SidecarSpec(Struct, frozen=True):
    """One sidecar as its process is to run it. Addresses are IP:port; `known_to` its region."""

    name: str
    service: str
    calls: str
    region: str
    listen: str
    peers: str
    join: list[str]
    discovery: str
    folder: str


class Place(Struct, frozen=True):
    """An address of control, its part and its region (empty: reached from every region)."""

    address: str
    part: str
    region: str


class Setup(Struct, frozen=True, tag=True):
    """The first word to a process of sidecars."""

    sidecars: list[SidecarSpec]
    places: list[Place]
    control: dict[str, list[str]]  # by region, where its control instances are
    siblings: dict[str, int]
    zones: list[str]
    seed: int


class Start(Struct, frozen=True, tag=True):
    """Start these sidecars, evenly over some seconds."""

    names: list[str]
    within: float


class Stop(Struct, frozen=True, tag=True):
    """End these sidecars; `leaving` says so to their peers."""

    names: list[str]
    leaving: bool


class Partition(Struct, frozen=True, tag=True):
    """Part the regions, or have them rejoin."""

    parted: bool


class Measure(Struct, frozen=True, tag=True):
    """Tell figures."""

    number: int


class OpenLists(Struct, frozen=True, tag=True):
    """The first word to the discovery: all endpoints, and which sidecars watch what."""

    endpoints: list[ListedEndpoint]
    watchers: dict[str, str]  # by sidecar, the service it watches
    seed: int


class ListedEndpoint(Struct, frozen=True):
    """An endpoint as discovery lists it."""

    name: str
    service: str
    address: str
    zone: str
    status: str = "in_service"
    weight: float = 1.0


class ChangeLists(Struct, frozen=True, tag=True):
    """These endpoints have changed."""

    number: int
    endpoints: list[ListedEndpoint]


class OpenControl(Struct, frozen=True, tag=True):
    """The first word to a control instance: its name, all of them, and where its state is."""

    name: str
    voters: dict[str, str]
    regions: dict[str, str]
    store: str
    seed: int


class OpenEndpoints(Struct, frozen=True, tag=True):
    """The first word to the process of stand-in endpoints: how many."""

    count: int


class End(Struct, frozen=True, tag=True):
    """End."""


Order = (
    Setup | Start | Stop | Partition | Measure | OpenLists | ChangeLists | OpenControl | OpenEndpoints | End
)


class Sighting(Struct, frozen=True):
    """A sidecar was seen to have an index at a time (s, monotonic)."""

    topic: Topic
    sidecar: str
    index: int
    at: float


class Seen(Struct, frozen=True, tag=True):
    """What was seen since the word before."""

    sightings: list[Sighting]


class Opened(Struct, frozen=True, tag=True):
    """A server process is up: by name, where to find what."""

    addresses: dict[str, str]


class Changed(Struct, frozen=True, tag=True):
    """A change was made: its indexes by list, and when (s, monotonic)."""

    number: int
    indexes: dict[str, int]
    at: float


class Measured(Struct, frozen=True, tag=True):
    """The figures asked for."""

    number: int
    figures: ProcessFigures


class Failed(Struct, frozen=True, tag=True):
    """The process can't go on, and why."""

    cause: str


Word = Seen | Opened | Changed | Measured | Failed

_orders = json.Decoder(Order)
_words = json.Decoder(Word)
_encoder = json.Encoder()


def encode(message: Order | Word) -> bytes:
    """A message as a line."""
    return _encoder.encode(message) + b"\n"


def decode_order(line: bytes) -> Order:
    """An order from its line; a msgspec.DecodeError tells that it is none."""
    return _orders.decode(line)


def decode_word(line: bytes) -> Word:
    """A word from its line; a msgspec.DecodeError tells that it is none."""
    return _words.decode(line)
