"""Burn report as one self-contained HTML page."""

from html import escape

from fescuerudder._burnplot import plot_svg
from fescuerudder._burntext import event_text, latest_events, summary_lines, window_text
from fescuerudder.burn import WINDOW_NAMES, WINDOWS_S, BurnReport, ServiceBurn

STYLE = (
    "body{font:16px/1.5 sans-serif;max-width:900px;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}tr.risk td{background:#fbe3e0}"
    "svg{max-width:100%;height:auto}"
    ".summary p{margin:.2em 0}.summary p:first-child{font-weight:bold}"
)


def render_page(report: BurnReport, *, use_matplotlib: bool | None = None) -> str:
    """Returns the page; it loads nothing from elsewhere."""
    summary = "".join(f"<p>{escape(line)}</p>" for line in summary_lines(report))
    events = "".join(f"<li>{escape(event_text(event))}</li>" for event in latest_events(report))
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{STYLE}</style></head><body>"
        f'<h1>Service-level burn</h1><div class="summary">{summary}</div>'
        f"<h2>Burn rate over six hours</h2>{plot_svg(report, use_matplotlib=use_matplotlib)}"
        f"<h2>Services</h2>{_table(report)}"
        f"<h2>Events of the last 6 h</h2><ul>{events or '<li>none</li>'}</ul></body></html>\n"
    )


def _table(report: BurnReport) -> str:
    names = ["Service", *(WINDOW_NAMES[length] for length in WINDOWS_S), "Budget left", "Objective"]
    head = "".join(f"<th>{name}</th>" for name in names)
    rows = "".join(_row(burn) for burn in report.services)
    return f"<table><tr>{head}</tr>{rows}</table>"


def _row(burn: ServiceBurn) -> str:
    cells = [
        escape(burn.service),
        *(window_text(burn, place) for place in range(len(WINDOWS_S))),
        f"{burn.budget_left:.0%}",
        f"{burn.objective.target:.4g} in {burn.objective.latency_ms:g} ms",
    ]
    marker = ' class="risk"' if burn.risk else ""
    return f"<tr{marker}>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"
