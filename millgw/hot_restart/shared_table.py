"""The file in `$TMPDIR` by which the processes of a hot restart share a table of fixed size."""

from __future__ import annotations

import mmap
import os
from collections.abc import Mapping
from hashlib import blake2b
from pathlib import Path

from millgw.platform.config import Config

FILE_PREFIX = "otterslip.sent."


def shared_table_path(environ: Mapping[str, str], config: Config) -> Path | None:
    """The file of this sidecar, by its name and address; None without `$TMPDIR`."""
    directory = environ.get("TMPDIR")
    if not directory:
        return None
    sidecar = blake2b(f"{config.name} {config.listen}".encode(), digest_size=8).hexdigest()
    return Path(directory) / f"{FILE_PREFIX}{sidecar}"


def open_shared_table(path: Path, size: int) -> mmap.mmap:
    """Map the file, which is made if there is none; readable by its user only. Raises OSError, ValueError."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, 0o600)
    try:
        if os.fstat(descriptor).st_size != size:
            os.ftruncate(descriptor, size)
        return mmap.mmap(descriptor, size)
    finally:
        os.close(descriptor)
