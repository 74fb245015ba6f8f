"""HTTP server of the control interface, on its own thread: answers need the GIL but not the event loop.

Connections with an unfinished request are limited in number and time; the oldest is closed for a new one.
"""

from __future__ import annotations

import selectors
import socket
import threading
import time
from collections.abc import Callable

from millgw.callers.core import encode_answer
from millgw.control.parser import ControlRequest, ControlRequestParser
from millgw.http.message import Answer
from millgw.http.request import BadRequest
from millgw.log.events import log_event
from millgw.platform.config import Address, ConfigError

MAX_CONNECTIONS = 8  # at once; their descriptors are among those reserved for the process itself
REQUEST_TIMEOUT = 6.0  # s from the connect to the last byte of the request
LINGER_TIME = 1.0  # s to wait for the caller to close: an earlier close may reset the answer away
READ_SIZE = 4096  # bytes per read
SWEEP_INTERVAL = 0.5  # s between checks for expired connections
WRITE_TIMEOUT = 1.0  # s to write one answer, which fits the kernel's send buffer


class ControlConnection:
    """One connection: reads its request, then waits for the caller to close."""

    __slots__ = ("answered", "parser", "since", "socket")

    def __init__(self, connection: socket.socket, now: float) -> None:
        self.socket = connection
        self.parser = ControlRequestParser()
        self.since = now
        self.answered = False


class ControlServer:
    """Listens as soon as it is made; `answer` is called on the server's thread."""

    def __init__(self, address: Address, answer: Callable[[ControlRequest], Answer]) -> None:
        self.answer = answer
        self.connections: dict[ControlConnection, None] = {}  # oldest first
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
        """Stop answering; the thread ends within `SWEEP_INTERVAL`."""
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
                except Exception as error:  # a failed call must not end the server
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
            time.sleep(0.01)  # without the pause this loop spins while no descriptor is free
            return
        accepted.setblocking(False)
        while len(self.connections) >= MAX_CONNECTIONS:
            self._close(next((c for c in self.connections if c.answered), next(iter(self.connections))))
        connection = ControlConnection(accepted, time.monotonic())
        self.connections[connection] = None
        self.selector.register(accepted, selectors.EVENT_READ, connection)
        self._read(connection)

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
        elif not connection.answered:  # data after the request is ignored
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
            connection.socket.sendall(encode_answer(answer, True))
            connection.socket.shutdown(socket.SHUT_WR)
            connection.socket.setblocking(False)
        except OSError:
            self._close(connection)
