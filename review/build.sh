#!/usr/bin/env bash
# After the build of deploy/balancer.toml: the packages that the operator's file and the project's own commands
# need. The stand-ins of the cases are Python, of the standard library alone, and need no build of their own.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/tools requirements-tools.txt
.venv/bin/python -B -c 'import click, crc32c, msgspec'
