"""Burn report as text and as JSON."""

import json
from collections import Counter
from datetime import UTC, datetime

import cattrs

from fescuerudder.burn import (
    EVENT_PLURALS,
    WINDOW_NAMES,
    WINDOWS_S,
    BurnEvent,
    BurnReport,
    ServiceBurn,
)

MAX_EVENTS_SHOWN = 20


def render_text(report: BurnReport) -> str:
    """Returns the report for people; its first three lines are the summary."""
    lines = [*summary_lines(report), "", _table_head()]
    lines += [_table_row(burn) for burn in report.services]
    lines += ["", "Events of the last 6 h, latest first:"]
    lines += [f"  {event_text(event)}" for event in latest_events(report)] or ["  none"]
    return "\n".join(lines)


def render_json(report: BurnReport) -> str:
    """Returns the report as JSON with the summary and the figures, without the buckets."""
    conv = cattrs.Converter()
    data = {
        "summary": summary_lines(report),
        "at_risk": [burn.service for burn in report.at_risk],
        "services": conv.unstructure(report.services),
        "recent_events": conv.unstructure(report.recent),
        "instances": list(report.data.instances),
        "missing": list(report.data.missing),
        "since_s": report.data.since_s,
        "taken_s": report.data.taken_s,
    }
    return json.dumps(data, indent=2, sort_keys=True)


def summary_lines(report: BurnReport) -> list[str]:
    """Returns three lines: what is at risk, what was done, and what the figures rest on."""
    return [_risk_line(report), _done_line(report), _basis_line(report)]


def _risk_line(report: BurnReport) -> str:
    if not report.at_risk:
        return f"At risk: none of {len(report.services)} services."
    named = [f"{burn.service} ({burn.risk})" for burn in report.at_risk]
    return f"At risk: {len(named)} of {len(report.services)} services: {'; '.join(named)}."


def _done_line(report: BurnReport) -> str:
    totals: Counter[str] = Counter()
    for event in report.recent:
        totals[event.kind] += event.count
    parts = [f"{plural} {totals[kind]}" for kind, plural in EVENT_PLURALS.items() if totals[kind]]
    if not parts:
        return "Done by the scheduler in the last 6 h: nothing was needed."
    latest = event_text(latest_events(report)[0])
    return f"Done by the scheduler in the last 6 h: {', '.join(parts)}; latest {latest}."


def _basis_line(report: BurnReport) -> str:
    data = report.data
    total = len(data.instances) + len(data.missing)
    text = (
        f"Based on {len(data.instances)} of {total} instances, complete since {_time(data.since_s)}"
    )
    if data.missing:
        text += f"; no data from {', '.join(data.missing)}"
    return text + "."


def latest_events(report: BurnReport) -> list[BurnEvent]:
    """Returns the latest events of the last six hours, latest first."""
    return list(reversed(report.recent[-MAX_EVENTS_SHOWN:]))


def event_text(event: BurnEvent) -> str:
    """Returns one event on one line."""
    detail = f" ({event.detail})" if event.detail else ""
    times = f" x{event.count}" if event.count > 1 else ""
    return f"{_time(event.at_s)} {event.kind} {event.target}{detail}{times}"


def window_text(burn: ServiceBurn, place: int) -> str:
    """Returns the burn rate in one window, or a dash without requests."""
    window = burn.windows[place]
    return f"{window.rate:.2f}" if window.good + window.bad else "-"


def _table_head() -> str:
    cells = "".join(f"{WINDOW_NAMES[length]:>9}" for length in WINDOWS_S)
    return f"{'Burn rate (1 = even)':<24}{cells}{'budget left':>13}  objective"


def _table_row(burn: ServiceBurn) -> str:
    cells = "".join(f"{window_text(burn, place):>9}" for place in range(len(WINDOWS_S)))
    objective = f"{burn.objective.target:.4g} in {burn.objective.latency_ms:g} ms"
    return f"{burn.service:<24}{cells}{burn.budget_left:>13.0%}  {objective}"


def _time(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
