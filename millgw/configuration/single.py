"""Distributed configuration of a sidecar with a single pool, whose operator's file has no services."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from millgw.configuration.apply import (
    Entries,
    PoolChange,
    RefusedVersionError,
    check_places,
    override_files,
    plan_pool_change,
)
from millgw.log.events import log_event
from millgw.operator.file import OperatorError, load
from millgw.operator.loaded_files import LoadedFiles
from millgw.platform.config import Config, ConfigError, read_config, read_settings_table
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.connections.manager import ConnectionManager


class SinglePool:
    """Applies a document's entries, as overrides of the files, to one pool."""

    def __init__(self, files: LoadedFiles, environ: Mapping[str, str], path: str) -> None:
        self.files = files
        self.environ = environ
        self.path = path
        self.entries: Entries = {}

    def attach_pool(
        self,
        entries: Entries,
        pool: Pool,
        tended: ConnectionManager | None,
        apply_other_changes: Callable[[Config], None],
    ) -> None:
        """Set the pool created with these entries; `apply_other_changes` is called after a reload."""
        self.entries = entries
        self.pool = pool
        self.tended = tended
        self.apply_other_changes = apply_other_changes

    def check(self, entries: Entries) -> None:
        """Check that the sidecar could start with these entries; raises RefusedVersionError otherwise."""
        after = override_files(self.files, entries)
        check_places(after, after.config)

    def reconfigure(self, entries: Entries) -> None:
        """Apply these entries as overrides of the files; changes nothing if it raises RefusedVersionError."""
        self._plan(self.files, entries).apply()
        self.entries = entries

    def _plan(self, files: LoadedFiles, entries: Entries) -> PoolChange:
        after = override_files(files, entries)
        return plan_pool_change("", self.pool, self.tended, after.config, after.operator.connection_terms())

    def reload(self) -> None:
        """Read the files again and apply them with the entries; unusable files change nothing."""
        try:
            config = read_config(self.environ, self.files.config)
            files = LoadedFiles(config, read_settings_table(self.environ), load(self.path))
            change = self._plan(files, self.entries)
        except (ConfigError, OperatorError, RefusedVersionError) as error:
            log_event("reload-refused", cause=str(error))
            return
        for field in ("peers", "store", "configuration", "places", "services"):
            if getattr(files.operator, field) != getattr(self.files.operator, field):
                log_event("reload-takes-restart", field=field)
        change.apply()
        self.files = files
        log_event("reloaded")
        self.apply_other_changes(config)
