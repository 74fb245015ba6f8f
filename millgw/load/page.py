"""A run as one self-contained page: rates, a heat map of latencies, the curve of percentiles. Pure."""

from __future__ import annotations

import math
from collections import Counter
from html import escape

from millgw.load.behind import spans
from millgw.load.report import Report
from millgw.load.result import Figures, at_quantile, cell, cell_ms

WIDTH, LEFT, RIGHT, PANEL, GAP = 1080, 64, 16, 190, 44
ROWS = 48  # of the heat map
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1120px;padding:0 1em;color:#1c2430;
background:#fff}
h1{font-size:1.5em;margin:0 0 .2em}table{border-collapse:collapse;margin:.8em 0}
td,th{padding:.25em .8em;text-align:right;border-bottom:1px solid #e6eaef;font-variant-numeric:tabular-nums}
td:first-child,th:first-child{text-align:left}.bad{color:#b3121d;font-weight:700}
svg{display:block;max-width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#465261}
.title{font-weight:600;fill:#1c2430;font-size:12px}
"""
COLOURS = ("#2f6fb3", "#2f9e62", "#c8323c", "#8a5fc7", "#e0a526", "#3aa6a6")
RATES = (
    ("asked", "planned", "#9aa5b1"),
    ("sent", "sent", COLOURS[0]),
    ("answered", "answered", COLOURS[1]),
    ("served", "served", COLOURS[2]),
)
NINES = (0.0, 0.5, 0.9, 0.99, 0.999, 0.9999, 0.99999)


def page(report: Report) -> str:
    """The whole document."""
    verdict = "".join(f"<p class=bad>INVALID: {escape(r)}</p>" for r in report.reasons)
    if verdict:
        late = spans(report.tally.late())
        verdict += "".join(f"<p class=bad>late in {escape(str(s))}</p>" for s in late)
    verdict += "".join(f"<p class=bad>failed: {escape(f)}</p>" for f in report.failed)
    head = f"{report.shape} at {report.target}"
    return (
        "<!doctype html><html lang=en><meta charset=utf-8>"
        "<meta name=viewport content='width=device-width,initial-scale=1'>"
        f"<title>{escape(head)}</title><style>{STYLE}</style><h1>{escape(head)}</h1>"
        f"<p>seed {report.seed}, {report.planned} requests planned, {report.sent} sent in"
        f" {report.seconds:.1f} s by {report.senders} senders; sent late by"
        f" {at_quantile(report.tally.lateness, 0.99):.1f} ms (p99)</p>"
        f"{verdict}{_table(report)}{_rates(report)}{_heat(report)}{_curve(report)}</html>"
    )


def _table(report: Report) -> str:
    rows = []
    for name, figures in sorted(report.tally.classes.items()):
        for side, times in (("from intended", figures.latency), ("from sent", figures.service)):
            cells = "".join(f"<td>{at_quantile(times, q):.1f}" for q in (0.5, 0.9, 0.99, 0.999))
            rows.append(
                f"<tr><td>{escape(name)}, ms {side}<td>{sum(figures.outcomes.values())}"
                f"<td>{figures.outcomes['served']}{cells}<td>{times.get_max_value() / 1000:.1f}"
            )
    heads = "".join(f"<th>{t}" for t in ("", "tries", "served", "p50", "p90", "p99", "p99.9", "max"))
    return f"<table><tr>{heads}{''.join(rows)}</table>"


def _svg(title: str, inside: str) -> str:
    height = PANEL + GAP
    return (
        f"<svg viewBox='0 0 {WIDTH} {height}' role=img aria-label='{escape(title)}'>"
        f"<text class=title x={LEFT} y=12>{escape(title)}</text>{inside}</svg>"
    )


def _x(at: float, span: float) -> float:
    return LEFT + (WIDTH - LEFT - RIGHT) * at / max(span, 1e-9)


def _y(part: float) -> float:
    return 20 + PANEL * (1 - part)


def _axis(labels: list[tuple[float, str]], span: float) -> str:
    return (
        "".join(
            f"<text x={_x(at, span):.1f} y={PANEL + 34} text-anchor=middle>{escape(text)}</text>"
            for at, text in labels
        )
        + f"<line x1={LEFT} x2={WIDTH - RIGHT} y1={_y(0):.0f} y2={_y(0):.0f} stroke='#9aa5b1'/>"
    )


def _line(points: list[tuple[float, float]], colour: str) -> str:
    joined = " ".join(f"{a:.1f},{b:.1f}" for a, b in points)
    return f"<polyline points='{joined}' fill=none stroke='{colour}' stroke-width=1.6 />"


def _seconds(report: Report) -> tuple[int, str]:
    span = max(report.tally.seconds, default=0) + 1
    step = max(1, span // 12)
    return span, _axis([(t, f"{t} s") for t in range(0, span + 1, step)], span)


def _rates(report: Report) -> str:
    span, axis = _seconds(report)
    seconds = [report.tally.seconds.get(i) for i in range(span)]
    most = max([s.planned for s in seconds if s is not None] + [1])
    parts = [axis, f"<text x={LEFT - 6} y={_y(1) + 4:.0f} text-anchor=end>{most}/s</text>"]
    for number, (name, what, colour) in enumerate(RATES):
        values = [getattr(s, what) if s is not None else 0 for s in seconds]
        parts.append(_line([(_x(i + 0.5, span), _y(v / most)) for i, v in enumerate(values)], colour))
        at = LEFT + 420 + 110 * number
        parts.append(f"<text x={at} y=12 style='fill:{colour}'>{name}</text>")
    return _svg("requests a second, by when they were to be sent", "".join(parts))


def _heat(report: Report) -> str:
    span, axis = _seconds(report)
    cells: dict[int, Counter[int]] = {}
    for at, second in report.tally.seconds.items():
        cells[at] = sum(second.cells.values(), Counter())
    numbers = [n for of in cells.values() for n in of]
    if not numbers:
        return ""
    low, high = min(numbers), max(numbers) + 1
    tall = max(1, -(-(high - low) // ROWS))
    rows = -(-(high - low) // tall)
    most = max(max(of.values()) for of in cells.values() if of)
    parts = [axis]
    wide = (WIDTH - LEFT - RIGHT) / span
    for at, of in sorted(cells.items()):
        grouped: Counter[int] = Counter()
        for number, count in of.items():
            grouped[(number - low) // tall] += count
        for row, count in grouped.items():
            strength = 0.12 + 0.88 * math.log1p(count) / math.log1p(most * tall)
            parts.append(
                f"<rect x={_x(at, span):.1f} y={_y((row + 1) / rows):.1f} width={max(1.0, wide - 0.5):.1f}"
                f" height={PANEL / rows:.1f} fill='#b3321d' opacity={min(1.0, strength):.2f} />"
            )
    for row in range(0, rows + 1, max(1, rows // 6)):
        value = cell_ms(low + row * tall)
        parts.append(f"<text x={LEFT - 6} y={_y(row / rows) + 4:.0f} text-anchor=end>{value:.3g} ms</text>")
    return _svg("latency from the intended time, second by second (darker: more requests)", "".join(parts))


def _nines(q: float) -> float:
    return -math.log10(max(1 - q, 1e-6))


def _curve(report: Report) -> str:
    classes = [(n, f) for n, f in sorted(report.tally.classes.items()) if f.latency.get_total_count()]
    if not classes:
        return ""
    span = _nines(NINES[-1])
    most = max(f.latency.get_max_value() / 1000 for _, f in classes)
    top = max(cell(most), cell(0.1) + 1)
    bottom = min(cell(max(0.01, at_quantile(f.service, 0.01))) for _, f in classes)

    def high(ms: float) -> float:
        return _y((cell(max(ms, 0.01)) - bottom) / max(1, top - bottom))

    parts = [_axis([(_nines(q), f"{100 * q:g} %") for q in NINES], span)]
    for ms in (10.0**i for i in range(-2, 6)):
        if bottom <= cell(ms) <= top:
            parts.append(f"<text x={LEFT - 6} y={high(ms) + 4:.0f} text-anchor=end>{ms:g} ms</text>")
    for i, (name, figures) in enumerate(classes):
        colour = COLOURS[i % len(COLOURS)]
        parts.append(_line(_points(figures, "latency", span, high), colour))
        dashed = _line(_points(figures, "service", span, high), colour)
        parts.append(dashed.replace("/>", "stroke-dasharray=4 />"))
        parts.append(f"<text x={LEFT + 420 + 110 * i} y=12 style='fill:{colour}'>{escape(name)}</text>")
    return _svg("latency by percentile (dashed: from when it was really sent)", "".join(parts))


def _points(figures: Figures, side: str, span: float, high: object) -> list[tuple[float, float]]:
    times = getattr(figures, side)
    if not times.get_total_count() or not callable(high):
        return []
    steps = [i / 40 * span for i in range(41)]
    return [(_x(s, span), high(at_quantile(times, 1 - 10**-s))) for s in steps]
