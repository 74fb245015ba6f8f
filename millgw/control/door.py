"""The door's sockets, in a thread of its own: an answer waits for the interpreter's lock, not for the loop.

Callers who connect and finish nothing are bounded in number and time; the oldest of them gives way.
"""

from __future__ import annotations

import selectors
import socket
import threading
import time
from collections.abc import Callable

from millgw.callers.core import word_answer
from millgw.control.core import ControlRequest, ControlRequestParser
from millgw.http.message import Answer
from millgw.http.request import BadRequest
from millgw.log.events import log_event
from millgw.platform.config import Address, ConfigError

MAX_CONNECTIONS = 8  # connections at once: their descriptors are of those reserved for the process itself
REQUEST_TIMEOUT = 6.0  # s for a call from connecting to its last byte
LINGER_TIME = (
    1.0  # s that an answered connection waits for its caller's end, who could lose the answer to a reset
)
READ_SIZE = 4096  # bytes of one read
SWEEP_INTERVAL = 0.5  # s between two looks for connections whose time has come
WRITE_TIMEOUT = 1.0  # s that one answer may take to be written: larger than the kernel's room it is not


class ControlConnection:
    """One connection: its call as it comes in, then its caller's end."""

    __slots__ = ("answered", "parser", "since", "socket")

    def __init__(self, connection: socket.socket, now: float) -> None:
        self.socket = connection
        self.parser = ControlRequestParser()
        self.since = now
        self.answered = False


class ControlServer:
    """Listens from the start on; `answer` is called in the door's thread."""

    def __init__(self, address: Address, answer: Callable[[ControlRequest], Answer]) -> None:
        self.answer = answer
        self.connections: dict[ControlConnection, None] = {}  # the oldest first
        self.selector = selectors.DefaultSelector()
        self.stopped = False
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        try:
            self.socket.bind((address.host, address.port))
            self.socket.listen(64)
        except OSError as error:
            self.socket.close()
            raise ConfigError(f"control: {address}: {error.strerror}") from None
        self.selector.register(self.socket, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self._run, name="door", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """Answer no more; the thread ends within `SWEEP_INTERVAL`."""
        self.stopped = True

    def _run(self) -> None:
        while not self.stopped:
            for key, _ in self.selector.select(SWEEP_INTERVAL):
                connection = key.data
                try:
                    if connection is None:
                        self._accept()
                    elif connection in self.connections:
                        self._read(connection)
                except Exception as error:  # the door must outlive whatever one call meets
                    log_event("door-call-failed", cause=repr(error))
                    if connection is not None:
                        self._close(connection)
            now = time.monotonic()
            for connection in list(self.connections):
                if connection.since + (LINGER_TIME if connection.answered else REQUEST_TIMEOUT) < now:
                    self._close(connection)
        for connection in list(self.connections):
            self._close(connection)
        self.selector.close()
        self.socket.close()

    def _accept(self) -> None:
        try:
            accepted, _ = self.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            log_event("accept-failed", cause=error)
            time.sleep(0.01)  # guards against turning round and round without a descriptor
            return
        accepted.setblocking(False)
        while len(self.connections) >= MAX_CONNECTIONS:
            self._close(next((c for c in self.connections if c.answered), next(iter(self.connections))))
        caller = ControlConnection(accepted, time.monotonic())
        self.connections[caller] = None
        self.selector.register(accepted, selectors.EVENT_READ, caller)
        self._read(caller)

    def _close(self, connection: ControlConnection) -> None:
        if connection in self.connections:
            del self.connections[connection]
            self.selector.unregister(connection.socket)
            connection.socket.close()

    def _read(self, connection: ControlConnection) -> None:
        try:
            data = connection.socket.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(connection)
        elif not connection.answered:  # else it is what nobody needs
            request = connection.parser.feed(data)
            if isinstance(request, BadRequest):
                self._send(connection, request.answer())
            elif request is not None:
                self._send(connection, self.answer(request))

    def _send(self, connection: ControlConnection, answer: Answer) -> None:
        connection.answered = True
        connection.since = time.monotonic()
        connection.socket.settimeout(WRITE_TIMEOUT)
        try:
            connection.socket.sendall(word_answer(answer, True))
            connection.socket.shutdown(socket.SHUT_WR)
            connection.socket.setblocking(False)
        except OSError:
            self._close(connection)
