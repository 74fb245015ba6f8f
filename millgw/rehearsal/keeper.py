"""The keeper: outlives the rig by a moment and ends what it started, however the rig ended.

It reads `+PID` and `-PID` lines from the rig. At the end of its input, also that of a rig that was killed, it
kills the process groups that are left and removes the rig's folder.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import subprocess
import sys
from typing import IO


class Keeper:
    """The rig's side: a pipe to the keeper's process."""

    def __init__(self, folder: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-S", "-E", __file__, folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            start_new_session=True,  # guards against a Ctrl-C that reaches it too
        )
        assert self.process.stdin is not None
        self.pipe: IO[bytes] = self.process.stdin

    def started(self, pid: int) -> None:
        self._say(f"+{pid}\n")

    def ended(self, pid: int) -> None:
        self._say(f"-{pid}\n")

    def _say(self, line: str) -> None:
        self.pipe.write(line.encode())
        self.pipe.flush()

    def close(self) -> None:
        """End all that is left and the folder, and wait for that."""
        self.pipe.close()
        self.process.wait()


def main(folder: str) -> None:
    groups: set[int] = set()
    for line in sys.stdin:
        (groups.add if line[0] == "+" else groups.discard)(int(line[1:]))
    for group in groups:
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(group, signal.SIGKILL)
    shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main(sys.argv[1])
