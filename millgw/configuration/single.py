"""The distributed configuration at a sidecar with one pool, where the operator's file has no services."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from millgw.configuration.apply import Entries, PoolChange, RefusedVersionError, overlay, plan
from millgw.log.events import log_event
from millgw.operator.file import OperatorError, load
from millgw.operator.loaded_files import LoadedFiles
from millgw.platform.config import Config, ConfigError, read_config, read_settings_table
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.connections.manager import ConnectionManager


class SinglePool:
    """One pool's files with a document's entries over them."""

    def __init__(self, filed: LoadedFiles, environ: Mapping[str, str], path: str) -> None:
        self.filed = filed
        self.environ = environ
        self.path = path
        self.entries: Entries = {}

    def serve(
        self,
        entries: Entries,
        pool: Pool,
        tended: ConnectionManager | None,
        reload_rest: Callable[[Config], None],
    ) -> None:
        """The pool is there, made with these entries; `reload_rest` applies what a SIGHUP changes beside."""
        self.entries = entries
        self.pool = pool
        self.tended = tended
        self.reload_rest = reload_rest

    def check(self, entries: Entries) -> None:
        """Whether a start could begin with these entries; a RefusedVersionError names what can't be used."""
        overlay(self.filed, entries)

    def reconfigure(self, entries: Entries) -> None:
        """Go by these entries over the files; a RefusedVersionError leaves everything as it was."""
        self._plan(self.filed, entries).carry_out()
        self.entries = entries

    def _plan(self, filed: LoadedFiles, entries: Entries) -> PoolChange:
        after = overlay(filed, entries)
        return plan("", self.pool, self.tended, after.config, after.operator.connection_terms())

    def reload(self) -> None:
        """Read the files again, and have the entries go over them; what can't be used changes nothing."""
        try:
            config = read_config(self.environ, self.filed.config)
            filed = LoadedFiles(config, read_settings_table(self.environ), load(self.path))
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
