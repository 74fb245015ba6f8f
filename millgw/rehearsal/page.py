"""Renders days as one HTML file without outside references: faults over outcomes by second. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from html import escape

from millgw.rehearsal.audit.findings import Verdict
from millgw.rehearsal.report import PlayedDay
from millgw.rehearsal.summary import SecondFigures
from millgw.standins.ledger import InjectedFault

WIDTH, LEFT, RIGHT = 1080, 64, 16  # px of a chart and its margins
PANEL, GAP, LANE = 120, 30, 18  # px: heights of a diagram, of the space between two, of a row for a fault
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1120px;padding:0 1em;color:#1c2430;
background:#fff}
h1{font-size:1.5em;margin:0 0 .2em}h2{font-size:1.15em;margin:2em 0 .4em;border-top:1px solid #d8dee6;
padding-top:1em}
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.25em .8em;text-align:left;vertical-align:top;
border-bottom:1px solid #e6eaef}
.held{color:#0b7a3e;font-weight:600}.broken{color:#b3121d;font-weight:700}.not{color:#6b7684}
.num{text-align:right;font-variant-numeric:tabular-nums}svg{display:block;max-width:100%;height:auto}
text{font:11px system-ui,sans-serif;fill:#465261}.title{font-weight:600;fill:#1c2430;font-size:12px}
.legend span{margin-right:1.2em}.swatch{display:inline-block;width:.8em;height:.8em;margin-right:.35em}
"""
OUTCOMES: tuple[tuple[str, str, Callable[[SecondFigures], float]], ...] = (
    ("served in time", "#2f9e62", lambda s: s.in_time),
    ("served late", "#e0a526", lambda s: s.late),
    ("refused", "#5b7fc7", lambda s: s.refused),
    ("failed", "#c8323c", lambda s: s.failed),
)
CSS_CLASSES = {Verdict.HELD: "held", Verdict.BROKEN: "broken", Verdict.NOT_EXERCISED: "not"}


def render_page(days: Sequence[PlayedDay], title: str = "Rehearsal") -> str:
    """Render the whole document."""
    body = "".join(_day_section(day) for day in days)
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        "<meta name=viewport content='width=device-width,initial-scale=1'>"
        f"<title>{escape(title)}</title><style>{STYLE}</style><h1>{escape(title)}</h1>{_overview(days)}{body}</html>"
    )


def _overview(days: Sequence[PlayedDay]) -> str:
    judged = max((d.audit.findings for d in days), key=len, default=())
    rows = "".join(
        f"<tr><td><a href='#{escape(d.name)}'>{escape(d.name)}</a>"
        + "".join(
            f"<td class={CSS_CLASSES[f.verdict]}>{f.verdict.value}{f' ({f.broken})' if f.broken else ''}"
            for f in d.audit.findings
        )
        + "<td>" * (len(judged) - len(d.audit.findings))
        + f"<td class=num>{d.summary.service:.3f}<td class=num>{d.summary.worst_service:.3f}"
        f"<td>{escape(d.conclusion)}"
        for d in days
    )
    heads = "".join(f"<th>{f.rule}. {escape(f.title)}" for f in judged)
    return f"<table><tr><th>day{heads}<th>service<th>worst 5 s<th>{rows}</table>"


def _day_section(day: PlayedDay) -> str:
    s = day.summary
    rig = day.audit.rig
    facts = (
        f"{day.facts.endpoints} endpoints, {day.facts.sidecars} sidecars ({day.facts.front} at the front); "
        f"{s.asked} requests, {s.tries} tries: {s.served} served, {s.refused} refused, {s.failed} failed. "
        f"The rig's loop lagged {rig.lag_p99:.0f} ms, arrivals were {rig.arrival_p99:.0f} ms late (p99), "
        f"cores {rig.busy:.0%} in use, sidecars waited for one {rig.starved:.1%} of the time."
    )
    legend = "".join(
        f"<span><span class=swatch style='background:{colour}'></span>{name}</span>"
        for name, colour, _ in OUTCOMES
    )
    return (
        f"<h2 id='{escape(day.name)}'>{escape(day.name)}: {escape(day.conclusion)}</h2>"
        f"<p>{escape(day.about)}</p><p>{escape(facts)}</p><p class=legend>{legend}</p>"
        f"{_chart(s.seconds, day.injected)}{_evidence(day)}"
    )


def _evidence(day: PlayedDay) -> str:
    out = []
    for finding in day.audit.findings:
        if finding.evidence:
            items = "".join(f"<li>{escape(str(e))}" for e in finding.evidence)
            out.append(
                f"<p class=broken>Rule {finding.rule}, {escape(finding.title)}: "
                f"{finding.broken} of {finding.checked}</p><ul>{items}</ul>"
            )
    return "".join(out)


def _chart(seconds: Sequence[SecondFigures], faults: Sequence[InjectedFault]) -> str:
    span = max(1, len(seconds))
    lanes = len(faults)
    top = LANE * lanes + GAP
    height = top + 3 * (PANEL + GAP)

    def x(second: float) -> float:
        return LEFT + (WIDTH - LEFT - RIGHT) * min(max(second, 0.0), span) / span

    parts = [f"<svg viewBox='0 0 {WIDTH} {height}' role=img aria-label='the day second by second'>"]
    for i, fault in enumerate(faults):
        a, b, lane = x(fault.at / 1000), x(fault.until / 1000), i * LANE + 2
        wide, tall = max(b - a, 2.0), height - GAP
        size = f" {fault.size:g}" if fault.size else ""
        count = f" x{len(fault.targets)}" if fault.targets else ""
        parts.append(
            f"<rect x={a:.1f} y=0 width={wide:.1f} height={tall} fill='#c8323c' opacity=.05 />"
            f"<rect x={a:.1f} y={lane} width={wide:.1f} height={LANE - 4} rx=3 fill='#c8323c' opacity=.75 />"
            f"<text x={min(a + 4, WIDTH - 170):.1f} y={lane + 11} style='fill:#fff'>"
            f"{escape(fault.kind)}{size}{count}</text>"
        )
    stacks = [[part(s) for _, _, part in OUTCOMES] for s in seconds]
    most = max([sum(stack) for stack in stacks] + [s.asked for s in seconds] + [1])
    y = float(top)
    parts.append(_panel(y, f"tries by outcome, a second (line: requests asked, most {most:.0f})", most, ""))
    bar = (WIDTH - LEFT - RIGHT) / span
    for i, stack in enumerate(stacks):
        base = y + PANEL
        for (_, colour, _), value in zip(OUTCOMES, stack, strict=True):
            high = PANEL * value / most
            base -= high
            if value:
                parts.append(
                    f"<rect x={x(i):.1f} y={base:.1f} width={max(bar - 1, 0.5):.1f} height={high:.1f} "
                    f"fill='{colour}'/>"
                )
    parts.append(
        _polyline([(x(i + 0.5), y + PANEL * (1 - s.asked / most)) for i, s in enumerate(seconds)], "#1c2430")
    )
    y += PANEL + GAP
    slowest = max([s.p99 for s in seconds] + [1.0])
    parts.append(_panel(y, "latency of served tries from the time they were due: p50, p99", slowest, " ms"))
    for colour, figure in (("#2f9e62", "p50"), ("#c8323c", "p99")):
        points = [
            (x(i + 0.5), y + PANEL * (1 - getattr(s, figure) / slowest))
            for i, s in enumerate(seconds)
            if s.latencies
        ]
        parts.append(_polyline(points, colour))
    y += PANEL + GAP
    attempts = max([s.attempts for s in seconds] + [1])
    parts.append(_panel(y, "attempts at endpoints of all tiers, a second", attempts, ""))
    points = [(x(i + 0.5), y + PANEL * (1 - s.attempts / attempts)) for i, s in enumerate(seconds)]
    parts.append(_polyline(points, "#5b7fc7"))
    step = max(1, span // 12)
    parts += [
        f"<text x={x(t):.1f} y={height - 12} text-anchor=middle>{t} s</text>"
        for t in range(0, span + 1, step)
    ]
    return "".join(parts) + "</svg>"


def _panel(y: float, title: str, most: float, unit: str) -> str:
    return (
        f"<text class=title x={LEFT} y={y - 6:.0f}>{escape(title)}</text>"
        f"<line x1={LEFT} x2={WIDTH - RIGHT} y1={y + PANEL:.0f} y2={y + PANEL:.0f} stroke='#9aa5b1' />"
        f"<text x={LEFT - 6} y={y + 9:.0f} text-anchor=end>{most:.0f}{unit}</text>"
        f"<text x={LEFT - 6} y={y + PANEL:.0f} text-anchor=end>0</text>"
    )


def _polyline(points: Sequence[tuple[float, float]], colour: str) -> str:
    joined = " ".join(f"{a:.1f},{b:.1f}" for a, b in points)
    return f"<polyline points='{joined}' fill=none stroke='{colour}' stroke-width=1.6 />"
