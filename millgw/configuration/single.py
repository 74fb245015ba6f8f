"""Distributed configuration of a sidecar with a single pool, whose operator's file has no services."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from millgw.configuration.apply import Entries, PoolChange, RefusedVersionError, overlay, plan
from millgw.log.events import log_event
from millgw.operator.file import OperatorError, load
from millgw.operator.files import Files
from millgw.platform.config import Config, ConfigError, read_config, read_settings_table
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.connections.tended import Tended


class SinglePool:
    """Applies a document's entries, as overrides of the files, to one pool."""

    def __init__(self, filed: Files, environ: Mapping[str, str], path: str) -> None:
        self.filed = filed
        self.environ = environ
        self.path = path
        self.entries: Entries = {}

    def serve(
        self, entries: Entries, pool: Pool, tended: Tended | None, reload_rest: Callable[[Config], None]
    ) -> None:
        """Set the pool, created with these entries; `reload_rest` applies all other changes of a SIGHUP."""
        self.entries = entries
        self.pool = pool
        self.tended = tended
        self.reload_rest = reload_rest

    def check(self, entries: Entries) -> None:
        """Check that the sidecar could start with these entries; raises RefusedVersionError otherwise."""
        overlay(self.filed, entries)

    def reconfigure(self, entries: Entries) -> None:
        """Apply these entries as overrides of the files; changes nothing if it raises RefusedVersionError."""
        self._plan(self.filed, entries).carry_out()
        self.entries = entries

    def _plan(self, filed: Files, entries: Entries) -> PoolChange:
        after = overlay(filed, entries)
        return plan("", self.pool, self.tended, after.config, after.operator.tends())

    def reload(self) -> None:
        """Read the files again and apply them with the entries; unusable files change nothing."""
        try:
            config = read_config(self.environ, self.filed.config)
            filed = Files(config, read_settings_table(self.environ), load(self.path))
            change = self._plan(filed, self.entries)
        except (ConfigError, OperatorError, RefusedVersionError) as error:
            log_event("reload-refused", cause=str(error))
            return
        for field in ("peers", "store", "configuration", "places", "services"):
            if getattr(filed.operator, field) != getattr(self.filed.operator, field):
                log_event("reload-takes-restart", field=field)
        change.carry_out()
        self.filed = filed
        log_event("reloaded")
        self.reload_rest(config)
