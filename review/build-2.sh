#!/usr/bin/env bash
# Builds what the cases 6 to 10 start, after `build` of deploy/balancer.toml. Needs the package registry.
# The stand-ins are plain Python of review/rig_2.py and millgw/standins; the services of the operator's file,
# which cases 7, 9 and 10 use, need the packages of requirements-operator.txt in the sidecar's environment.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/tools requirements-operator.txt
PYTHONPATH="$PWD" .venv/bin/python -B -c '
import click, crc32c, msgspec, structlog
import millgw.services.sidecar
import millgw.standins.coordinator.ensemble
'
