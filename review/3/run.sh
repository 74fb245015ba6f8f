#!/usr/bin/env bash
# Runs this case: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0 leaves out the disruption.
# record.txt beside this script has what was sent, answered and run.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
python="$here/../../.venv/bin/python"
test -x "$python" || { echo "no environment: run the build of deploy/balancer.toml and review/build.sh"; exit 2; }
exec "$python" -B "$here/case.py"
