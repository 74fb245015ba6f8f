"""One pool in service: a module instance, an endpoint source, connections and a part of what the process has.

The plain daemon is one of these with everything for its part; each service of an operator's file is another.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from millgw.decide import Balancer
from millgw.endpoints.connection import Lanes
from millgw.endpoints.upstream import Room, Upstream
from millgw.http.message import REFUSED, Answer
from millgw.http.request import BadRequest, Head
from millgw.interface import ListKind, Locality, Repeat
from millgw.log.events import log_event
from millgw.platform.config import Config
from millgw.platform.discovery import Heard, Listed
from millgw.pool.call import Call, Intent
from millgw.pool.driver import Driver
from millgw.pool.metrics import AnswerCounts
from millgw.pool.share import ANSWERS, BODIES, CALLS, CONNECTIONS, Share
from millgw.pool.terms import CallFactory

RETRY_AFTER_MS = 500.0  # ms after which a client that is turned away at a bound may find room
RETIRE_POLL_S = 0.1  # s between two looks whether a retired pool's last call has ended


class Source(Protocol):
    """Where a pool's endpoints are known from. When to ask is the balancer's decision."""

    def start(self, known: Any) -> None:
        """Tell what was known before, if anything; called once, before all else."""

    def subscribe(self) -> None:
        """Tell the list and its changes from now on."""

    def stop(self) -> None:
        """Tell nothing more."""

    def figures(self) -> dict[str, object]:
        """What the log should know of it."""


class Witness(Protocol):
    """What a pool has seen of its endpoints itself: some sources weigh it against what they are told."""

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None: ...

    def misses(self, endpoint: int) -> int: ...


class Intents(Protocol):
    """What keeps marks of calls that may not be sent again (see `millgw.intents`)."""

    def take(self, pool: str, head: Head) -> Intent | Answer:
        """The intent of a call, or the answer to one that is not to be sent."""


class Pool:
    """`retired` once no route leads to it: it ends when its last call has.

    `source` makes the pool's endpoint source, given where its lists go and what the pool has seen itself;
    `locality` chooses zones, where places are set.
    """

    def __init__(
        self,
        name: str,
        config: Config,
        seed: int,
        room: Room,
        share: Share,
        source: Callable[[Heard, Witness], Source],
        lanes: Lanes | None = None,
        locality: Locality | None = None,
    ) -> None:
        self.name = name
        self.config = config
        self.settings = config.settings
        self.share = share
        self.bodies = 0
        self.retired = False
        self.upstream = Upstream(
            room, config.connect_timeout, config.idle, config.memory, lambda: self.most(ANSWERS), lanes, name
        )
        self.source = source(self._list_received, self)
        self.driver = Driver(Balancer(self.settings, seed, locality), self.upstream, self.source.subscribe)
        self.call_factory = CallFactory(self.settings, self.driver)
        self.intents: Intents | None = None  # where what may not be sent again is marked
        self.answer_counts = AnswerCounts([c.name for c in self.settings.classes])

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None:
        """What its connections to an endpoint tell (see `Upstream.seen`)."""
        return self.upstream.seen(endpoint)

    def misses(self, endpoint: int) -> int:
        """Attempts in a row that found no connection to an endpoint."""
        return self.driver.misses(endpoint)

    def _list_received(self, kind: ListKind, entries: tuple[Listed, ...]) -> None:
        if not self.retired:
            self.driver.listed(kind, entries)

    def start(self, known: Any) -> None:
        """Begin, with the list that this sidecar had before, in discovery's form."""
        self.source.start(known)
        if not self.settings.ask_discovery:
            self.source.subscribe()

    def reconfigure(self, config: Config) -> None:
        """Go by another configuration from now on, with all that was learned and all calls as they are.

        A ValueError names a setting that can't be changed in service; nothing has changed then.
        """
        self.driver.reconfigure(config.settings)
        self.call_factory.reconfigure(config.settings)
        self.upstream.reconfigure(config.connect_timeout, config.idle)
        self.config, self.settings = config, config.settings

    # Requests

    def busy(self) -> Answer | None:
        """The answer to one more request where there is no room for it: told from its head alone.

        Guards against a flood: its calls would take the room of other pools, or find no descriptor.
        """
        if self.retired or len(self.driver.calls) >= self.most(CALLS):
            return self._refusal()
        return None

    def _refusal(self) -> Answer:
        return Answer(REFUSED, retry_after=min(RETRY_AFTER_MS, self.settings.retry_after_most))

    def call(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        """The call that a request makes, or the answer to one that there is no room for."""
        busy = self.busy()
        if busy is not None:
            return busy
        if head.long and self.upstream.streams.full():
            return self._refusal()
        call = self.call_factory.call(head, answer)
        call.timeout = self.share.patience(call.timeout)
        if call.trace_id in self.driver.open:
            # Guards against a second answer for one request, and against attempts that disturb the first.
            raise BadRequest(409, "X-Trace-Id is that of an open request")
        if self.intents is not None and call.repeat is Repeat.UNSAFE:
            intent = self.intents.take(self.name, head)
            if isinstance(intent, Answer):
                return intent
            call.intent = intent
        return call

    def enter(self) -> int:
        """One more body is passed on; the bytes of its window."""
        return self.upstream.streams.enter()

    def leave(self) -> None:
        """One has come to its end."""
        self.upstream.streams.leave()

    def hold(self, more: int) -> None:
        """Guards against memory that fills with the bodies of many clients, each within its bound."""
        if more > 0 and self.bodies + more > self.most(BODIES):
            raise BadRequest(REFUSED, "too much is being sent")
        self.bodies += more

    # What is counted

    def answered(self, head: Head, status: int) -> None:
        """A caller was given the final answer to a request that had come whole."""
        cls = self.call_factory.classes.get(head.values.get(b"x-qos", b""))
        if cls is not None:
            self.answer_counts.answered(cls, status)

    def relayed(self) -> int:
        """Attempts whose last byte the kernel has taken."""
        return self.upstream.written

    def open_requests(self) -> int:
        """Calls taken and not answered to the end."""
        return len(self.driver.calls) - len(self.driver.partial_calls) + len(self.driver.flows)

    def listed(self) -> int:
        """Endpoints in the list, those that drain among them."""
        return self.driver.listed_count()

    def aside(self) -> list[tuple[str, str]]:
        """Those of them that are sent nothing now, by address, and why: the module's reason, or a drain."""
        return [
            (self.driver.address(id) or str(id), why) for id, why in self.driver.out_of_rotation().items()
        ]

    # Bounds

    def held(self, kind: str) -> int:
        """How much of a kind it holds now."""
        if kind == CALLS:
            return len(self.driver.calls)
        if kind == CONNECTIONS:
            return self.upstream.holds()
        return self.bodies if kind == BODIES else self.upstream.held

    def most(self, kind: str) -> int:
        return self.share.most(kind)

    # Its end

    def retire(self) -> None:
        """No new calls; those that are open end as they would. Its endpoints are left when the last has."""
        self.retired = True
        self.share.end()
        self.driver.subscribe = (
            _do_nothing  # guards against a module that asks again, as it does now and then
        )
        self.source.stop()
        self._end_when_idle()

    def drop(self) -> None:
        """Leave nothing that goes on by itself, and would keep all of this in memory."""
        self.upstream.stop()
        self.driver.end()

    def _end_when_idle(self) -> None:
        if self.driver.calls:
            self.upstream.loop.call_later(RETIRE_POLL_S, self._end_when_idle)
            return
        for endpoint in list(self.upstream.hosts):
            host = self.upstream.forget(endpoint)
            if host is not None:
                self.upstream.close(host)
        self.drop()
        log_event("pool-ended", pool=self.name)

    def figures(self) -> dict[str, object]:
        """What it holds against its bounds, for the log."""
        figures: dict[str, object] = {"pool": self.name, "endpoints": len(self.driver.ready)}
        for kind in (CALLS, CONNECTIONS, BODIES, ANSWERS):
            figures[kind] = f"{self.held(kind)}/{self.most(kind)}"
        figures |= self.source.figures() | self.tended()
        return figures | {"sends": self.upstream.sends, "held_back": self.upstream.held_back}

    def tended(self) -> dict[str, object]:
        """What happened to its connections, where they are tended."""
        tending = self.upstream.tending
        return {} if tending is None else tending.figures()

    def locality(self) -> dict[str, object] | None:
        """How zones are chosen, where they are (see `millgw.locality.router`)."""
        locality = self.driver.balancer.locality
        return None if locality is None else locality.figures()

    def status(self) -> str:
        """The same as one line for people and scripts."""
        figures = self.figures()
        state = "ready" if self.driver.ready else "no endpoint"
        kinds = ", ".join(f"{kind} {figures[kind]}" for kind in (CALLS, CONNECTIONS, BODIES, ANSWERS))
        sends = f"{figures['held_back']} of {figures['sends']} sends held back"
        tended = "".join(f", {name} {value}" for name, value in self.tended().items())
        return f"{self.name}: {state}, {figures['endpoints']} endpoints, {kinds}, {sends}{tended}"


def read(head: Head, answer: Callable[[Answer], None], ready: Callable[[Head], Answer]) -> Call | Answer:
    """What becomes of a whole request, by what its front said of its head; one of no pool asks for /ready."""
    if head.wrong is not None:
        raise head.wrong
    if head.refused is not None:
        return head.refused
    if head.pool is None:
        return ready(head)
    assert isinstance(head.pool, Pool)
    return head.pool.call(head, answer)


def _do_nothing() -> None:
    pass
