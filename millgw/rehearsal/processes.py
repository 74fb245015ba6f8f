"""Starts child processes that never outlive the rig."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from pathlib import Path

from millgw.rehearsal.cleanup_process import CleanupProcess

START_ON_LINE = 'read -r go && exec /bin/sh -c "$1" </dev/null'
"""Waits for a line before it execs the program. If the rig is killed before the cleanup process knows of this
one, no line arrives and the process exits by itself."""


async def spawn(
    command: str, environ: Mapping[str, str], log: Path, cleanup: CleanupProcess
) -> asyncio.subprocess.Process:
    """Start a shell command as a process group known to the cleanup process; output is appended to `log`."""
    with log.open("ab") as output:
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", START_ON_LINE, "rig", command, env=environ, stdin=asyncio.subprocess.PIPE,
            stdout=output, stderr=output, start_new_session=True,
        )  # fmt: skip
    cleanup.process_started(process.pid)
    assert process.stdin is not None
    process.stdin.write(b"go\n")
    process.stdin.close()
    return process
