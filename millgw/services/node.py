"""A sidecar with services: the operator's file made into pools and routes, at the start and at reloads."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from millgw.operator.file import KINDS, Limits, Operator, OperatorError, Service, load, table
from millgw.services.front import ServicesServer, Spells
from millgw.services.limits import Allotment, parts
from millgw.services.pool import Bounds, Pool
from millgw.sidecar.config import Config, ConfigError, read_address, read_config
from millgw.sidecar.descriptors import Descriptors
from millgw.sidecar.driver import Driver
from millgw.sidecar.server import BODIES_PART, Server
from millgw.sidecar.upstream import ANSWERS_PART

STATUS_EVERY = 60.0  # s between two lines on each pool in the log
LEND = 2000.0  # ms by which what is on loan is back

log = logging.getLogger("millgw")


class Node:
    """Everything of a sidecar with services that a reload may change."""

    def __init__(self, config: Config, environ: Mapping[str, str], path: str) -> None:
        self.config = config
        self.environ = environ
        self.path = path
        self.operator = _load(path)

    def open(
        self,
    ) -> tuple[Callable[[], Sequence[Server]], Callable[[], Sequence[Driver]], Callable[[], None]]:
        """Make the pools and the callers' sides; a ConfigError tells what can't be had."""
        self.shared = Descriptors(self.config.sockets)
        self.retired: list[Pool] = []
        raw = _settings(self.environ)
        self.bounds = Bounds(self._allotments(self.operator))
        self.shared.endpoints = lambda: sum(p.held("connections") for p in self._all())
        for name, service in self.operator.services.items():
            self.bounds.pools[name] = self._pool(name, service, self.config, raw)
        for pool in self.bounds.pools.values():
            pool.start(self.config.known)
        self.turns = Spells()
        self.servers = {"": self._listen(self.operator, "")}
        for name, service in self.operator.services.items():
            if service.listen is not None:
                self.servers[name] = self._listen(self.operator, name)
        self.closing: list[ServicesServer] = []
        self.shared.callers = lambda: sum(len(s.connections) + len(s.accepting) for s in self._listening())
        self.shared.close_caller = lambda: any(s.give_way() for s in self._listening())
        self._status()
        return self._listening, lambda: [p.driver for p in self._all()], self.reload

    def _listening(self) -> list[ServicesServer]:
        return [*self.servers.values(), *self.closing]

    def _listen(self, operator: Operator, name: str) -> ServicesServer:
        """A callers' side: the one that routes, or one service's; an OSError tells that it can't be had."""
        config, callers, close_caller = self.config, self.shared.callers, self.shared.close_caller
        if name:
            config = dataclasses.replace(config, listen=read_address(operator.services[name].listen))
        made = ServicesServer(config, self.shared, self.bounds, self.turns, table(operator), name)
        if hasattr(self, "servers"):  # each made thinks it is the only one
            self.shared.callers, self.shared.close_caller = callers, close_caller
        made.lent = LEND
        return made

    def _status(self) -> None:
        """A line for each pool in the log, now and then."""
        for pool in self._all():
            log.info("service %s", pool.status())
        asyncio.get_running_loop().call_later(STATUS_EVERY, self._status)

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
        fresh: list[Pool] = []
        opened: dict[str, ServicesServer] = {}
        try:
            config = read_config(self.environ, self.config)
            operator = _load(self.path)
            raw = _settings(self.environ)
            if not operator.services:
                raise ConfigError(f"{self.path}: the last service can't be removed without a restart")
            allotments = self._allotments(operator)
            pools: dict[str, Pool] = {}
            for name, service in operator.services.items():
                known = self.bounds.pools.get(name)
                if known is not None and self._same(known, service, config, raw):
                    known.service = service
                    pools[name] = known
                else:
                    pools[name] = self._pool(name, service, config, raw)
                    fresh.append(pools[name])
            wanted = {n: s.listen for n, s in operator.services.items() if s.listen is not None}
            now = {n: s.listen for n, s in self.operator.services.items() if n in self.servers}
            for name, address in wanted.items():
                if now.get(name) != address:
                    opened[name] = self._listen(operator, name)
        except (ConfigError, OSError) as error:
            # Worded here: a record that is kept would keep the error's frames, and so the pools in them.
            log.error("reload: %s; all stays as it was", str(error))
            for pool in fresh:
                pool.drop()
            for server in opened.values():
                server.stop()
            return
        old = [pool for name, pool in self.bounds.pools.items() if pools.get(name) is not pool]
        self.bounds.allotments = allotments
        self.bounds.pools = pools
        for name in [n for n in self.servers if n and (n in opened or n not in wanted)]:
            self._close(self.servers.pop(name))
        for name, server in opened.items():
            self.servers[name] = server
            server.start()
        for server in self.servers.values():
            server.table = table(operator)
        self.config, self.operator = config, operator
        self.retired = [pool for pool in self.retired if pool.driver.calls] + old
        for pool in fresh:
            pool.start(config.known)
        for pool in old:
            pool.retire()
        names = ", ".join(pool.name for pool in fresh) or "none"
        log.info("reload: services %s; new: %s; %d removed", ", ".join(pools), names, len(old))

    def _close(self, server: ServicesServer) -> None:
        """Take no connections at a listener any more; those it has end with their next answers, or idle."""
        self.closing.append(server)
        server.stop()
        self._closed(server)

    def _closed(self, server: ServicesServer) -> None:
        server.close_idle()
        if server.connections or server.accepting:
            asyncio.get_running_loop().call_later(0.1, self._closed, server)
        else:
            self.closing.remove(server)

    def _same(self, pool: Pool, service: Service, config: Config, raw: Mapping[str, Any]) -> bool:
        """Whether a pool is what the files want but for its limits, which change in service."""
        plain = {"limits": Limits(), "listen": None}
        alike = replace(pool.service, **plain) == replace(service, **plain)
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
