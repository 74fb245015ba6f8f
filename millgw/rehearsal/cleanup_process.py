"""Cleanup process: kills the rig's remaining child processes after the rig has ended, however it ended.

It reads `+PID` and `-PID` lines from the rig. At the end of its input, which comes even when the rig is
killed, it kills the remaining process groups and removes the rig's directory.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import subprocess
import sys
from typing import IO


class CleanupProcess:
    """The rig's side: a pipe to the cleanup process."""

    def __init__(self, directory: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-S", "-E", __file__, directory],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            start_new_session=True,  # otherwise a Ctrl-C ends it along with the rig
        )
        assert self.process.stdin is not None
        self.pipe: IO[bytes] = self.process.stdin

    def process_started(self, pid: int) -> None:
        self._send(f"+{pid}\n")

    def process_ended(self, pid: int) -> None:
        self._send(f"-{pid}\n")

    def _send(self, line: str) -> None:
        self.pipe.write(line.encode())
        self.pipe.flush()

    def close(self) -> None:
        """Kill the remaining processes, remove the directory, and wait until that is done."""
        self.pipe.close()
        self.process.wait()


def main(directory: str) -> None:
    groups: set[int] = set()
    for line in sys.stdin:
        (groups.add if line[0] == "+" else groups.discard)(int(line[1:]))
    for group in groups:
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(group, signal.SIGKILL)
    shutil.rmtree(directory, ignore_errors=True)


if __name__ == "__main__":
    main(sys.argv[1])
