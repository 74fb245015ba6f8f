"""One running pool: a decision module, an endpoint source, connections and a share of the resources.

A sidecar without services has one pool with all resources; otherwise each service of the operator's file has
a pool of its own.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from millgw.decide import Balancer
from millgw.endpoints.connection import Lanes
from millgw.endpoints.upstream import DescriptorLimiter, Upstream
from millgw.http.message import FAILED, REFUSED, Answer, text_answer
from millgw.http.request import BadRequest, Head
from millgw.interface import ListKind, Locality, Repeat, Settings, Zone
from millgw.log.events import log_event
from millgw.platform.config import Config
from millgw.platform.discovery import ListedEndpoint, UpdateCallback, renumbered
from millgw.platform.list_state import ListState
from millgw.pool.call import Call, Intent
from millgw.pool.call_factory import CallFactory
from millgw.pool.driver import Driver
from millgw.pool.metrics import AnswerCounts
from millgw.pool.sent_ids import SentIds
from millgw.pool.share import ANSWERS, BODIES, CALLS, CONNECTIONS, Share

RETRY_AFTER_MS = 500.0  # when a client that was refused at a resource limit may retry
SENT_BEFORE = "a call of this X-Trace-Id was sent before and may have run"
RETIRE_POLL_S = 0.1  # interval of the check whether a retired pool has open calls left


class EndpointSource(Protocol):
    """Provides the endpoint list of a pool. The balancer decides when to query it."""

    def start(self, known: Any) -> None:
        """Report the endpoints known before, if any; called once, before all else."""

    def continue_from(
        self, predecessor: EndpointSource, listed: Callable[[], tuple[ListedEndpoint, ...]]
    ) -> bool | None:
        """Report the list of another source of this process, which ends; called in place of `start`.

        `listed` returns the endpoints of its pool, once the source has reported all that it was sent.
        Returns whether another discovery is asked from now on; None if that list is not for this source,
        which then has to be started.
        """

    def list_state(self) -> ListState | None:
        """What the next process needs to go on with this source's list; None if it reads all anew."""

    def continues(self, state: ListState) -> bool:
        """Whether this source goes on with the list of the source of which this is the state."""

    def adopt_state(
        self, state: ListState, entries: tuple[ListedEndpoint, ...], zones: tuple[str, ...]
    ) -> None:
        """Report the list of the source before; called in place of `start`, where `continues` holds.

        `entries` are the endpoints of its pool, whose zones are numbered by `zones`.
        """

    def subscribe(self) -> None:
        """Report the list and its changes from now on."""

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings; what was reported and heard is kept."""

    def stop(self) -> None:
        """Report nothing more."""

    def figures(self) -> dict[str, object]:
        """Its state, for the log."""


class EndpointObserver(Protocol):
    """A pool's own observations of its endpoints; some sources compare them with the reported list."""

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None: ...

    def misses(self, endpoint: int) -> int: ...


class Intents(Protocol):
    """Records calls that must not be sent twice (see `millgw.intents`)."""

    def take(self, pool: str, head: Head) -> Intent | Answer:
        """The intent of a call, or the answer to a call that must not be sent."""


class Pool:
    """One pool. It is `retired` once no route leads to it, and ends with its last call.

    Until then it hears of changes of its list, as its calls may be tried again: from the pool that has
    replaced it, of which it is one of the `followers`, or from its own source.

    `sent_ids` is the table that all pools of the process share;
    `source` makes the pool's endpoint source from a callback for its lists and the pool's own observations;
    `locality` chooses zones, if places are configured.
    """

    def __init__(
        self,
        name: str,
        config: Config,
        seed: int,
        room: DescriptorLimiter,
        share: Share,
        source: Callable[[UpdateCallback, EndpointObserver], EndpointSource],
        lanes: Lanes | None = None,
        locality: Locality | None = None,
        sent_ids: SentIds | None = None,
    ) -> None:
        self.name = name
        self.config = config
        self.settings = config.settings
        self.zone_routing = locality
        self.share = share
        self.body_bytes = 0
        self.retired = False
        self.successor: Pool | None = None  # which passes on what it hears, once this pool is retired
        self.followers: list[Pool] = []  # retired pools that this one passes on to
        self.upstream = Upstream(
            room, config.connect_timeout, config.idle, config.memory, lambda: self.limit(ANSWERS), lanes, name
        )
        self.source = source(self._list_received, self)
        self.driver = Driver(
            Balancer(self.settings, seed, locality), self.upstream, self.source.subscribe, self._is_near
        )
        self.sent_ids = SentIds() if sent_ids is None else sent_ids
        self.driver.sent_ids, self.driver.pool_name = self.sent_ids, name
        self.call_factory = CallFactory(self.settings, self.driver)
        self.intents: Intents | None = None  # records unsafe calls, if configured
        self.answer_counts = AnswerCounts([c.name for c in self.settings.classes])

    def seen(self, endpoint: int) -> tuple[float, float, float, float] | None:
        """What the connections to an endpoint show of its state (see `Upstream.connection_times`)."""
        return self.upstream.connection_times(endpoint)

    def misses(self, endpoint: int) -> int:
        """The number of consecutive attempts that got no connection to an endpoint."""
        return self.driver.misses(endpoint)

    def _is_near(self, zone: Zone) -> bool:
        """Whether a zone is told to be the sidecar's own: by the operator, or as the settings' only one."""
        if self.zone_routing is not None:
            return self.zone_routing.is_near(zone)
        return len(self.config.zones) == 1 and zone == 0

    def _list_received(self, kind: ListKind, entries: tuple[ListedEndpoint, ...]) -> None:
        if self.successor is not None or self.driver.ended:
            return  # late words of a source that has been stopped
        self.driver.handle_list(kind, entries)
        if kind is not ListKind.CACHED:
            for follower in list(self.followers):
                follower._hear_from_successor(self, kind, entries)

    def _hear_from_successor(
        self, successor: Pool, kind: ListKind, entries: tuple[ListedEndpoint, ...]
    ) -> None:
        """Apply what the successor's source has reported; its calls to discovery prove nothing here."""
        told = renumbered(entries, successor.config.zones, self.config.zones)
        self.driver.handle_list(ListKind.NOT_MADE if kind.watch_ended else kind, told)

    def start(self, known: Any) -> None:
        """Start with the list that this sidecar had before, in discovery's format."""
        self.source.start(known)

    def start_after(self, predecessor: Pool, known: Any) -> None:
        """Start with what a pool of this process that ends was told, if both follow the same kind of source.

        That list is newer than `known`, and leaves out what the pool was told to drain.
        """
        balancer = self.driver.balancer
        balancer.ask_at_once()
        moved = self.source.continue_from(predecessor.source, predecessor.driver.ready_entries)
        if moved is None:
            self.start(known)
            return
        before = predecessor.driver
        age = before.balancer.discovery.hand_over(before.clock())
        balancer.discovery.take_over(replace(age, moved_ago=0.0) if moved else age, self.driver.clock())
        self.followers = [predecessor, *predecessor.followers]
        predecessor.followers = []
        for follower in self.followers:
            follower.successor = self

    def reconfigure(self, config: Config) -> None:
        """Apply another configuration; learned state and open calls are kept.

        Raises ValueError with the name of a setting that can't change at run time; then nothing is changed.
        """
        self.driver.reconfigure(config.settings)
        self.call_factory.reconfigure(config.settings)
        self.upstream.reconfigure(config.connect_timeout, config.idle)
        self.source.reconfigure(config.settings)
        self.config, self.settings = config, config.settings

    # Requests

    def refusal_if_full(self) -> Answer | None:
        """The refusal of a new request if the pool is at its limit of calls; usable once its head is read.

        Without it, the calls of a flood would take the capacity of other pools or find no file descriptor.
        """
        if self.retired or len(self.driver.calls) >= self.limit(CALLS):
            return self._refusal()
        return None

    def _refusal(self) -> Answer:
        return Answer(REFUSED, retry_after=min(RETRY_AFTER_MS, self.settings.retry_after_most))

    def call(self, head: Head, answer: Callable[[Answer], None]) -> Call | Answer:
        """Make the call of a request, or the answer if it can't be accepted."""
        busy = self.refusal_if_full()
        if busy is not None:
            return busy
        if head.streams_body and self.upstream.streams.full():
            return self._refusal()
        call = self.call_factory.make_call(head, answer)
        call.timeout = self.share.grant_timeout(call.timeout)
        if call.trace_id in self.driver.open_trace_ids:
            # Otherwise one request could get two answers, and the attempts of one call disturb the other's.
            raise BadRequest(409, "X-Trace-Id is that of an open request")
        if call.repeat is not Repeat.SAFE and self.sent_ids.contains(
            self.name, call.trace_id, time.monotonic()
        ):
            # Not a 503, which would promise that the call had no effect.
            log_event("not-sent-again", trace=head.trace_id, cause=SENT_BEFORE)
            return text_answer(FAILED, SENT_BEFORE)
        if self.intents is not None and call.repeat is Repeat.UNSAFE:
            intent = self.intents.take(self.name, head)
            if isinstance(intent, Answer):
                return intent
            call.intent = intent
        return call

    def enter(self) -> int:
        """Register a body that is streamed; returns the bytes of its flow control window."""
        return self.upstream.streams.open_stream()

    def leave(self) -> None:
        """A streamed body has ended."""
        self.upstream.streams.close_stream()

    def hold(self, more: int) -> None:
        """Account for more (or fewer) bytes of request bodies; raises BadRequest at the pool's limit.

        Otherwise the bodies of many clients, each within its own limit, could fill the memory.
        """
        if more > 0 and self.body_bytes + more > self.limit(BODIES):
            raise BadRequest(REFUSED, "too much is being sent")
        self.body_bytes += more

    # Metrics

    def answered(self, head: Head, status: int) -> None:
        """A client got the final answer to a request that had arrived whole."""
        cls = self.call_factory.classes.get(head.headers.get(b"x-qos", b""))
        if cls is not None:
            self.answer_counts.answered(cls, status)

    def relayed(self) -> int:
        """The number of attempts whose last byte was accepted by the kernel."""
        return self.upstream.written

    def open_requests(self) -> int:
        """The number of accepted calls whose answers are not complete."""
        return len(self.driver.calls) - len(self.driver.partial_calls) + len(self.driver.flows)

    def listed_count(self) -> int:
        """The number of listed endpoints, including draining ones."""
        return self.driver.listed_count()

    def out_of_rotation(self) -> list[tuple[str, str]]:
        """The listed endpoints that get no requests now: address and reason (the module's, or a drain)."""
        return [
            (self.driver.address(id) or str(id), why) for id, why in self.driver.out_of_rotation().items()
        ]

    # Resource limits

    def in_use(self, kind: str) -> int:
        """How much of a kind of resource the pool holds now."""
        if kind == CALLS:
            return len(self.driver.calls)
        if kind == CONNECTIONS:
            return self.upstream.descriptors_in_use()
        return self.body_bytes if kind == BODIES else self.upstream.answer_bytes

    def limit(self, kind: str) -> int:
        return self.share.limit(kind)

    # Retirement

    def retire(self) -> None:
        """Accept no new calls. Open ones run to their end; then the connections are closed."""
        self.retired = True
        self.share.end()
        if self.successor is not None:
            self.driver.subscribe = _do_nothing  # the module still asks for subscriptions now and then
            self.source.stop()
            self.driver.handle_list(ListKind.NOT_MADE, ())  # its own watch has ended
        self._end_when_idle()

    def shut_down(self) -> None:
        """Stop all timers and callbacks, which would keep the pool in memory."""
        self.upstream.stop()
        self.driver.end()

    def _end_when_idle(self) -> None:
        if self.driver.calls or self.followers:
            self.upstream.loop.call_later(RETIRE_POLL_S, self._end_when_idle)
            return
        if self.successor is None:
            self.source.stop()
        else:
            self.successor.followers.remove(self)
        for endpoint in list(self.upstream.hosts):
            host = self.upstream.remove(endpoint)
            if host is not None:
                self.upstream.close(host)
        self.shut_down()
        log_event("pool-ended", pool=self.name)

    def figures(self) -> dict[str, object]:
        """Resources held and their limits, for the log."""
        figures: dict[str, object] = {"pool": self.name, "endpoints": len(self.driver.ready)}
        for kind in (CALLS, CONNECTIONS, BODIES, ANSWERS):
            figures[kind] = f"{self.in_use(kind)}/{self.limit(kind)}"
        figures |= self.source.figures() | self.connection_counts()
        return figures | {"sends": self.upstream.sends, "held_back": self.upstream.held_back}

    def connection_counts(self) -> dict[str, object]:
        """Counts of connection events, if connections are managed."""
        tending = self.upstream.manager
        return {} if tending is None else tending.figures()

    def locality(self) -> dict[str, object] | None:
        """The state of zone routing, if configured (see `millgw.locality.router`)."""
        locality = self.driver.balancer.locality
        return None if locality is None else locality.figures()

    def status(self) -> str:
        """The same as one line of text, for people and scripts."""
        figures = self.figures()
        state = "ready" if self.driver.ready else "no endpoint"
        kinds = ", ".join(f"{kind} {figures[kind]}" for kind in (CALLS, CONNECTIONS, BODIES, ANSWERS))
        sends = f"{figures['held_back']} of {figures['sends']} sends held back"
        connections = "".join(f", {name} {value}" for name, value in self.connection_counts().items())
        return f"{self.name}: {state}, {figures['endpoints']} endpoints, {kinds}, {sends}{connections}"


def make_call(head: Head, answer: Callable[[Answer], None], ready: Callable[[Head], Answer]) -> Call | Answer:
    """Make the call of a complete request, or its answer. A request without a pool is one for /ready."""
    if head.bad_request is not None:
        raise head.bad_request
    if head.refusal is not None:
        return head.refusal
    if head.pool is None:
        return ready(head)
    assert isinstance(head.pool, Pool)
    return head.pool.call(head, answer)


def _do_nothing() -> None:
    pass
