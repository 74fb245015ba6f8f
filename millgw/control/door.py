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
from millgw.control.core import Asked, CallCore
from millgw.http.message import Answer
from millgw.http.request import BadRequest
from millgw.log.events import log_event
from millgw.platform.config import Address, ConfigError

MOST_HELD = 8  # connections at once: their descriptors are of those reserved for the process itself
CALL_TIME = 6.0  # s for a call from connecting to its last byte
LINGER = 1.0  # s that an answered connection waits for its caller's end, who could lose the answer to a reset
READ_SIZE = 4096  # bytes of one read
LOOK = 0.5  # s between two looks for connections whose time has come
MOST_WRITTEN = 1.0  # s that one answer may take to be written: larger than the kernel's room it is not


class Caller:
    """One connection: its call as it comes in, then its caller's end."""

    __slots__ = ("answered", "core", "since", "socket")

    def __init__(self, connection: socket.socket, now: float) -> None:
        self.socket = connection
        self.core = CallCore()
        self.since = now
        self.answered = False


class Door:
    """Listens from the start on; `answer` is called in the door's thread."""

    def __init__(self, address: Address, answer: Callable[[Asked], Answer]) -> None:
        self.answer = answer
        self.held: dict[Caller, None] = {}  # the oldest first
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
        """Answer no more; the thread ends within `LOOK`."""
        self.stopped = True

    def _run(self) -> None:
        while not self.stopped:
            for key, _ in self.selector.select(LOOK):
                caller = key.data
                try:
                    if caller is None:
                        self._accept()
                    elif caller in self.held:
                        self._read(caller)
                except Exception as error:  # the door must outlive whatever one call meets
                    log_event("door-call-failed", cause=repr(error))
                    if caller is not None:
                        self._drop(caller)
            now = time.monotonic()
            for caller in list(self.held):
                if caller.since + (LINGER if caller.answered else CALL_TIME) < now:
                    self._drop(caller)
        for caller in list(self.held):
            self._drop(caller)
        self.selector.close()
        self.socket.close()

    def _accept(self) -> None:
        try:
            connection, _ = self.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            log_event("accept-failed", cause=error)
            time.sleep(0.01)  # guards against turning round and round without a descriptor
            return
        connection.setblocking(False)
        while len(self.held) >= MOST_HELD:
            self._drop(next((c for c in self.held if c.answered), next(iter(self.held))))
        caller = Caller(connection, time.monotonic())
        self.held[caller] = None
        self.selector.register(connection, selectors.EVENT_READ, caller)
        self._read(caller)

    def _drop(self, caller: Caller) -> None:
        if caller in self.held:
            del self.held[caller]
            self.selector.unregister(caller.socket)
            caller.socket.close()

    def _read(self, caller: Caller) -> None:
        try:
            data = caller.socket.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(caller)
        elif not caller.answered:  # else it is what nobody needs
            asked = caller.core.feed(data)
            if isinstance(asked, BadRequest):
                self._say(caller, asked.answer())
            elif asked is not None:
                self._say(caller, self.answer(asked))

    def _say(self, caller: Caller, answer: Answer) -> None:
        caller.answered = True
        caller.since = time.monotonic()
        caller.socket.settimeout(MOST_WRITTEN)
        try:
            caller.socket.sendall(word_answer(answer, True))
            caller.socket.shutdown(socket.SHUT_WR)
            caller.socket.setblocking(False)
        except OSError:
            self._drop(caller)
