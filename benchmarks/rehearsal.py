"""Measures the rehearsal kit: all shipped scenarios at a scale, and how far it goes towards a larger one.

    python -m benchmarks.rehearsal today [NAME...]  # at 17 endpoints, 67 sidecars, 170/s; all by default
    python -m benchmarks.rehearsal ladder           # `calm` in steps to 60, 365, 620/s

Prints a row of a Markdown table for each day; each is played in a process of its own. Wants idle cores.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from millgw.rehearsal.scenario_files import shipped

LADDER = ((17, 67, 170), (30, 150, 310), (45, 260, 465), (60, 365, 620))
HEAD = (
    "| day | endpoints | sidecars | asked/s | verdicts 1 2 3 4 | service | worst 5 s | rig lag p99"
    " | arrivals late p99 | cores in use | starved | rig MB | sidecars MB | most MB |"
)


def play(*words: str) -> tuple[int, dict[str, Any]]:
    """Play one day; its exit code and report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        done = subprocess.run(
            [sys.executable, "-m", "millgw", "rehearse", "run", *words, "--json", str(report)],
            stdout=subprocess.DEVNULL,
        )
        if done.returncode not in (0, 1, 3):
            raise SystemExit(f"{' '.join(words)} ended with {done.returncode}")
        return done.returncode, json.loads(report.read_text())["days"][0]


def row(code: int, day: dict[str, Any]) -> str:
    rig, facts = day["rig"], day["facts"]
    verdicts = ", ".join(r["verdict"] + (f" ({r['broken']})" if r["broken"] else "") for r in day["rules"])
    rate = day["asked"] / max(1, len(day["seconds"]))
    return (
        f"| {day['name']}{' INCONCLUSIVE' if code == 3 else ''} | {facts['endpoints']} | {facts['sidecars']}"
        f" | {rate:.0f} | {verdicts} | {day['service']:.3f} | {day['worst_5s']:.3f} | {rig['lag_p99']:.0f} ms"
        f" | {rig['arrival_p99']:.0f} ms | {rig['busy']:.0%} | {rig['starved']:.1%}"
        f" | {facts['rig_memory'] / 1024:.0f} | {facts['sidecars_memory'] / 1024:.0f}"
        f" | {facts['sidecar_memory'] / 1024:.0f} |"
    )


def main(what: str, names: list[str]) -> None:
    print(HEAD)
    print("|" + " --- |" * (HEAD.count("|") - 1))
    if what == "today":
        for name in names or [n for n, text in shipped().items() if "[[services]]" not in text]:
            print(row(*play(name, "--scale", "today")), flush=True)
    else:
        for endpoints, sidecars, rate in LADDER:
            words = ("--endpoints", str(endpoints), "--sidecars", str(sidecars), "--rate", str(rate))
            print(row(*play("calm", *words)), flush=True)


if __name__ == "__main__":
    if sys.argv[1:2] not in (["today"], ["ladder"]):
        raise SystemExit(__doc__)
    main(sys.argv[1], sys.argv[2:])
