"""Transport between instances: peers that do not answer, are unreachable, or answer with invalid messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from millgw.configuration.messages import Header, Message, VoteReply, VoteRequest, decode, encode
from millgw.configuration.transport import MAX_QUEUED, PeerLink
from millgw.standins.address import free_address
from millgw.standins.http import Clock, Listener, ServerConnection, listener, ok, status
from millgw.standins.http import Message as HttpMessage
from tests.kinds import pure_run_only
from tests.rig import run, wait_until

pytestmark = pure_run_only


def request(epoch: int) -> VoteRequest:
    return VoteRequest(Header(epoch, 1, 0), 0)


def reply(epoch: int) -> VoteReply:
    return VoteReply(Header(epoch, 1, 0), True)


class FakePeer:
    """A peer whose response is a function of the message's epoch; None: no response."""

    def __init__(self, answer: Callable[[int], bytes | None]) -> None:
        self.clock = Clock()
        self.answer = answer
        self.epochs: list[int] = []
        self.paths: set[str] = set()
        self.address = free_address()
        self.listener: Listener = listener(self.address, self)

    def opened(self, connection: ServerConnection) -> None: ...

    def lost(self, connection: ServerConnection) -> None: ...

    def bytes_came(self, connection: ServerConnection) -> bool:
        return True

    def asked(self, connection: ServerConnection, message: HttpMessage) -> None:
        epoch = decode(message.body).header.epoch
        self.epochs.append(epoch)
        self.paths.add(message.first_line)
        answer = self.answer(epoch)
        if answer is not None:
            connection.write(answer)
            connection.request_done()


def reply_response(epoch: int) -> bytes:
    return ok(encode(reply(epoch)))


class ReceivedMessages:
    """Collects the messages that a link receives."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, Message]] = []

    def __call__(self, sender: str, message: Message) -> None:
        self.messages.append((sender, message))

    @property
    def epochs(self) -> list[int]:
        return [message.header.epoch for _, message in self.messages]


def test_a_message_is_posted_and_its_reply_is_received_under_the_peer_s_name() -> None:
    async def test() -> None:
        peer, received = FakePeer(reply_response), ReceivedMessages()
        peer.listener.open()
        link = PeerLink("a", "b", peer.address, received)
        for epoch in (1, 2, 3):
            link.send(request(epoch))
        await wait_until(lambda: len(received.messages) == 3)
        assert received.messages[0] == ("b", reply(1))
        assert peer.epochs == [1, 2, 3] and peer.paths == {"POST /v1/replica?from=a HTTP/1.1"}
        link.stop()
        peer.listener.close()

    run(test)


@pytest.mark.parametrize(
    "bad",
    [ok(b"{}"), ok(b"\xff\xfe"), status(204), status(500), b"no HTTP\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n"],
)
def test_an_invalid_response_counts_as_lost(bad: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millgw.configuration.transport.EXCHANGE_TIMEOUT", 0.2)

    async def test() -> None:
        peer, received = (
            FakePeer(lambda epoch: bad if epoch == 1 else reply_response(epoch)),
            ReceivedMessages(),
        )
        peer.listener.open()
        link = PeerLink("a", "b", peer.address, received)
        link.send(request(1))
        await wait_until(lambda: peer.epochs == [1])
        while not received.messages:
            link.send(request(2))
            await asyncio.sleep(0.05)
        assert set(received.epochs) == {2}
        link.stop()
        peer.listener.close()

    run(test)


def test_the_connection_to_a_silent_peer_is_aborted_and_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millgw.configuration.transport.EXCHANGE_TIMEOUT", 0.2)

    async def test() -> None:
        peer, received = (
            FakePeer(lambda epoch: None if epoch == 1 else reply_response(epoch)),
            ReceivedMessages(),
        )
        peer.listener.open()
        link = PeerLink("a", "b", peer.address, received)
        link.send(request(1))
        await wait_until(lambda: peer.epochs == [1])
        for _ in range(10 * MAX_QUEUED):
            link.send(request(1))
        assert len(link._queue) == MAX_QUEUED, "the queue is bounded"
        while not received.messages:
            link.send(request(2))
            await asyncio.sleep(0.05)
        assert received.epochs[0] == 2
        assert peer.epochs.count(1) == 1, "outdated messages are dropped with the connection"
        link.stop()
        peer.listener.close()

    run(test)


def test_an_unreachable_peer_is_reached_once_it_listens() -> None:
    async def test() -> None:
        peer, received = FakePeer(reply_response), ReceivedMessages()
        link = PeerLink("a", "b", peer.address, received)
        for _ in range(5):
            link.send(request(1))
            await asyncio.sleep(0.02)
        peer.listener.open()
        while not received.messages:
            link.send(request(2))
            await asyncio.sleep(0.02)
        link.stop()
        link.send(request(3))
        peer.listener.close()
        assert 3 not in peer.epochs

    run(test)


def test_a_partition_blocks_both_messages_and_replies() -> None:
    async def test() -> None:
        closed: set[tuple[str, str]] = {("a", "b")}
        peer, received = FakePeer(reply_response), ReceivedMessages()
        peer.listener.open()
        link = PeerLink("a", "b", peer.address, received, lambda sender, to: (sender, to) not in closed)
        link.send(request(1))
        closed.clear()
        closed.add(("b", "a"))
        link.send(request(2))
        await wait_until(lambda: peer.epochs == [2])
        link.send(request(3))
        await wait_until(lambda: peer.epochs == [2, 3])
        closed.clear()
        link.send(request(4))
        await wait_until(lambda: 4 in received.epochs)
        assert 1 not in received.epochs and 2 not in received.epochs
        link.stop()
        peer.listener.close()

    run(test)
