"""A sidecar with services: the operator's file made into pools and routes, at the start and at reloads."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from millgw.operator.file import KINDS, Limits, Operator, OperatorError, Service, load, table
from millgw.services.front import ServicesServer
from millgw.services.limits import Allotment, parts
from millgw.services.pool import Bounds, Pool
from millgw.sidecar.config import Config, ConfigError, read_config
from millgw.sidecar.descriptors import Descriptors
from millgw.sidecar.driver import Driver
from millgw.sidecar.server import BODIES_PART
from millgw.sidecar.upstream import ANSWERS_PART

LEND = 2000.0  # ms by which what is on loan is back

log = logging.getLogger("millgw")


class Node:
    """Everything of a sidecar with services that a reload may change."""

    def __init__(self, config: Config, environ: Mapping[str, str], path: str) -> None:
        self.config = config
        self.environ = environ
        self.path = path
        self.operator = _load(path)

    def open(self) -> tuple[ServicesServer, Callable[[], Sequence[Driver]], Callable[[], None]]:
        """Make the pools and the callers' side; a ConfigError tells what can't be had."""
        self.shared = Descriptors(self.config.sockets)
        self.retired: list[Pool] = []
        raw = _settings(self.environ)
        self.bounds = Bounds(self._allotments(self.operator))
        self.shared.endpoints = lambda: sum(p.held("connections") for p in self._all())
        for name, service in self.operator.services.items():
            self.bounds.pools[name] = self._pool(name, service, self.config, raw)
        for pool in self.bounds.pools.values():
            pool.start(self.config.known)
        self.server = ServicesServer(self.config, self.shared, self.bounds, table(self.operator))
        self.server.lent = LEND
        return self.server, lambda: [p.driver for p in self._all()], self.reload

    def _all(self) -> list[Pool]:
        return [*self.bounds.pools.values(), *self.retired]

    def _pool(self, name: str, service: Service, config: Config, raw: Mapping[str, Any]) -> Pool:
        return Pool(name, service, config, raw, self.bounds, self.shared)

    def _allotments(self, operator: Operator) -> dict[str, Allotment]:
        """What each pool may hold of each kind; sums that can't be kept are refused."""
        totals = {
            "calls": self.shared.most_calls,
            "connections": self.shared.most - self.shared.most_callers,
            "bodies": int(BODIES_PART * self.config.memory),
            "answers": int(ANSWERS_PART * self.config.memory),
        }
        made = {}
        for kind in KINDS:
            shares = {name: getattr(s.limits, kind) for name, s in operator.services.items()}
            guaranteed = parts(totals[kind], shares)
            for name, units in guaranteed.items():
                if units < 1:
                    raise ConfigError(f"services.{name}.limits.{kind}: its part of {totals[kind]} is nothing")
            made[kind] = Allotment(totals[kind], guaranteed, LEND)
        return made

    def reload(self) -> None:
        """Read both files again. What can't be used changes nothing; unchanged pools stay."""
        try:
            config = read_config(self.environ, self.config)
            operator = _load(self.path)
            raw = _settings(self.environ)
            if not operator.services:
                raise ConfigError(f"{self.path}: the last service can't be removed without a restart")
            allotments = self._allotments(operator)
            pools: dict[str, Pool] = {}
            fresh: list[Pool] = []
            for name, service in operator.services.items():
                known = self.bounds.pools.get(name)
                if known is not None and self._same(known, service, config, raw):
                    known.service = service
                    pools[name] = known
                else:
                    pools[name] = self._pool(name, service, config, raw)
                    fresh.append(pools[name])
        except ConfigError as error:
            log.error("reload: %s; all stays as it was", error)
            return
        old = [pool for name, pool in self.bounds.pools.items() if pools.get(name) is not pool]
        self.bounds.allotments = allotments
        self.bounds.pools = pools
        self.server.table = table(operator)
        self.config, self.operator = config, operator
        self.retired = [pool for pool in self.retired if pool.driver.calls] + old
        for pool in fresh:
            pool.start(config.known)
        for pool in old:
            pool.retire()
        names = ", ".join(pool.name for pool in fresh) or "none"
        log.info("reload: services %s; new: %s; %d removed", ", ".join(pools), names, len(old))

    def _same(self, pool: Pool, service: Service, config: Config, raw: Mapping[str, Any]) -> bool:
        """Whether a pool is what the files want but for its limits, which change in service."""
        alike = replace(pool.service, limits=Limits()) == replace(service, limits=Limits())
        moved = (
            service.discovery is None and not service.endpoints and config.discovery != self.config.discovery
        )
        return alike and not moved and pool.raw == raw


def _load(path: str) -> Operator:
    try:
        return load(path)
    except OperatorError as error:
        raise ConfigError(str(error)) from None


def _settings(environ: Mapping[str, str]) -> Mapping[str, Any]:
    """The configuration's settings as they are worded, for services to go over."""
    path = environ["BALANCER_CONFIG"]
    try:
        found = json.loads(Path(path).read_bytes())["settings"]
    except (OSError, ValueError, LookupError, TypeError) as error:
        raise ConfigError(f"BALANCER_CONFIG: {error}") from None
    if not isinstance(found, dict):
        raise ConfigError("BALANCER_CONFIG: settings is not an object")
    return found
