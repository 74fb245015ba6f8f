"""The distributed configuration at a sidecar with one pool, where the operator's file has no services."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from millgw.configuration.apply import Entries, PoolChange, RefusedVersionError, overlay, plan
from millgw.events import tell
from millgw.operator.file import OperatorError, load
from millgw.operator.files import Files
from millgw.platform.config import ConfigError, read_config, read_settings_table
from millgw.pool.pool import Pool

if TYPE_CHECKING:
    from millgw.connections.tended import Tended


class SinglePool:
    """One pool's files with a document's entries over them; `reload_rest` is the reload of all else."""

    def __init__(
        self,
        filed: Files,
        pool: Pool,
        tended: Tended | None,
        environ: Mapping[str, str],
        path: str,
        reload_rest: Callable[[], None],
    ) -> None:
        self.filed = filed
        self.pool = pool
        self.tended = tended
        self.environ = environ
        self.path = path
        self.reload_rest = reload_rest
        self.entries: Entries = {}

    def reconfigure(self, entries: Entries) -> None:
        """Go by these entries over the files; a RefusedVersionError leaves everything as it was."""
        self._plan(self.filed, entries).carry_out()
        self.entries = entries

    def _plan(self, filed: Files, entries: Entries) -> PoolChange:
        after = overlay(filed, entries)
        return plan("", self.pool, self.tended, after.config, after.operator.tends())

    def reload(self) -> None:
        """Read the files again, and have the entries go over them; what can't be used changes nothing."""
        try:
            config = read_config(self.environ, self.filed.config)
            filed = Files(config, read_settings_table(self.environ), load(self.path))
            change = self._plan(filed, self.entries)
        except (ConfigError, OperatorError, RefusedVersionError) as error:
            tell("reload-refused", cause=str(error))
            return
        for field in ("peers", "store", "configuration", "services"):
            if getattr(filed.operator, field) != getattr(self.filed.operator, field):
                tell("reload-takes-restart", field=field)
        change.carry_out()
        self.filed = filed
        self.reload_rest()
