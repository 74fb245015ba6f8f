"""The files and the environment that a sidecar of a run is started with, hollow or real alike."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

from millgw.scale.messages import Setup, SidecarSpec

WITHIN_MS = 300  # that a start waits to learn from its peers
MEMORY_MB = 128.0  # the operators' bound for a sidecar
SOCKETS = 512
KEY_FILE = "peers.key"
KEY = b"scale-run-key-0001\n"


def environment(spec: SidecarSpec, setup: Setup, starts: int) -> dict[str, str]:
    """Write a sidecar's files; the environment that names them."""
    folder = Path(spec.folder)
    folder.mkdir(parents=True, exist_ok=True)
    config, operator = folder / "config.json", folder / "operator.toml"
    config.write_text(json.dumps(_config(spec, setup, starts)))
    operator.write_text(_operator(spec, setup))
    return {"BALANCER_CONFIG": str(config), "BALANCER_OPERATOR": str(operator)}


def _config(spec: SidecarSpec, setup: Setup, starts: int) -> dict[str, Any]:
    seed = random.Random(f"{setup.seed} {spec.name} {starts}").getrandbits(63)
    return {
        "name": spec.name,
        "listen": spec.listen,
        "discovery": spec.discovery,
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": {
            "me": 0,
            "siblings": setup.siblings[spec.service],
            "stage": 0,
            "tick": 5.0,
            "classes": [{"name": "read", "repeat": "retryable", "deadline": 2000.0, "slo": 1000.0}],
            "projects": [],
            "localities": setup.zones,
            "registryMode": "on_request",
            "limits": {"tryLimit": 3, "parallelTries": False, "maxRetryAfter": 2000.0},
            "rules": {
                "cold": 10_000.0,
                "coldShare": 0.2,
                "fallMultiple": 2.5,
                "fall": 1000.0,
                "askWithin": 10_000.0,
            },
        },
    }


def _operator(spec: SidecarSpec, setup: Setup) -> str:
    every = [address for addresses in setup.control.values() for address in addresses]
    near = setup.control.get(spec.region, [])
    key = Path(spec.folder).parent / KEY_FILE
    # A pool by the service's name: peers tell each other of endpoints by it, and keep what is of their own.
    lines = (
        f"[services.{spec.calls}]",
        "[[routes]]",
        f'to = "{spec.calls}"',
        "[peers]",
        f'listen = "{spec.peers}"',
        f"join = {json.dumps(spec.join)}",
        f'keys = ["{key}"]',
        f"within_ms = {WITHIN_MS}",
        "[configuration]",
        f"instances = {json.dumps(every)}",
        # Those of the own region first: a watch on another one falls silent when regions part.
        f'zone = "{spec.region}"',
        "[configuration.relays]",
        f"{spec.region} = {json.dumps(near)}",
    )
    return "\n".join(lines) + "\n"
