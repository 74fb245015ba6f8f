"""The new process's side of a hot restart: finds the old process by a file in `$TMPDIR` and calls it.

Runs before the event loop or on other threads, on blocking sockets with short timeouts: an old process that
does not answer is treated as gone.
"""

from __future__ import annotations

import json
import os
import secrets
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from millgw.hot_restart.state import MAX_STATE_SIZE, State, StateError, decode
from millgw.log.events import log_event
from millgw.platform.config import Address, read_address

HANDOVER_FILE = "otterslip.handover"
STATE_PATH, SUCCESSOR_PATH = "/-/handover", "/-/successor"  # control calls that need the token
TOKEN_HEADER = "x-handover-token"
STEERED_HEADER = "x-steered"
ADDRESS_HEADER = "x-door"
CALL_TIMEOUT = 1.0  # s for one whole call
PROBE_TIMEOUT = 0.2  # s in which a running process accepts a connection


def handover_path(environ: Mapping[str, str]) -> Path | None:
    """The file by which the processes of one sidecar find each other; None without `$TMPDIR`."""
    directory = environ.get("TMPDIR")
    return Path(directory) / HANDOVER_FILE if directory else None


def publish_handover(path: Path, control: Address) -> str:
    """Write the file for the successor; returns the token that it will present. Raises OSError."""
    token = secrets.token_hex(16)
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(descriptor, "w") as file:
        json.dump({"version": 1, "pid": os.getpid(), "control": str(control), "token": token}, file)
    os.replace(temporary, path)
    return token


def accepts_connections(control: Address) -> bool:
    """Whether a process listens on this control address. Not checked by process id, as ids are reused."""
    try:
        socket.create_connection((control.host, control.port), PROBE_TIMEOUT).close()
    except OSError:
        return False
    return True


@dataclass(frozen=True)
class OldProcess:
    """How to reach the process that is already serving."""

    pid: int
    control: Address
    token: str

    def is_running(self) -> bool:
        return accepts_connections(self.control)

    def fetch_state(self, name: str, zones: tuple[str, ...]) -> State | None:
        """Its state, with zones numbered as in `zones`; None, and a log line, if that can't be read."""
        asked_at = time.monotonic()
        try:
            code, body = self._call("GET", STATE_PATH)
            if code != 200:
                raise StateError(f"it answered {code}")
            state = decode(body, name, time.time() * 1000, zones)
            return state.after((time.monotonic() - asked_at) * 1000)
        except (OSError, ValueError) as error:
            log_event("handover-unusable", pid=self.pid, cause=error)
            return None

    def announce_successor(self, control: Address, steered: bool) -> bool:
        """Tell it that this process serves now; returns whether it has acknowledged."""
        try:
            code, _ = self._call(
                "PUT", SUCCESSOR_PATH, f"{ADDRESS_HEADER}: {control}\r\n{STEERED_HEADER}: {int(steered)}\r\n"
            )
        except (OSError, ValueError) as error:
            log_event("handover-unusable", pid=self.pid, cause=error)
            return False
        return code == 200

    def _call(self, method: str, path: str, headers: str = "") -> tuple[int, bytes]:
        deadline = time.monotonic() + CALL_TIMEOUT
        with socket.create_connection((self.control.host, self.control.port), CALL_TIMEOUT) as connection:
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: sidecar\r\n{TOKEN_HEADER}: {self.token}\r\n{headers}\r\n"
            )
            connection.sendall(head.encode())
            received = bytearray()
            while len(received) <= MAX_STATE_SIZE:
                connection.settimeout(max(0.001, deadline - time.monotonic()))
                chunk = connection.recv(1 << 16)
                if not chunk:
                    break
                received += chunk
        head_part, _, body = bytes(received).partition(b"\r\n\r\n")
        words = head_part.split(b" ", 2)
        if len(words) < 3:
            raise StateError("its answer was cut short")
        return int(words[1]), body


def find_old_process(path: Path, own_control: Address) -> OldProcess | None:
    """The process that wrote the file, if it still runs."""
    try:
        content = json.loads(path.read_bytes())
        if content["version"] != 1:
            raise ValueError(f"version {content['version']}")
        found = OldProcess(int(content["pid"]), read_address(content["control"]), str(content["token"]))
    except FileNotFoundError:
        return None
    except (OSError, ValueError, LookupError, TypeError) as error:
        log_event("handover-unusable", pid=0, cause=error)
        return None
    if found.control == own_control or not found.is_running():  # at this process's own address it has exited
        return None
    log_event("predecessor", pid=found.pid, control=found.control)
    return found
