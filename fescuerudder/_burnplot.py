"""Plot of the burn over time as inline SVG, by matplotlib if it is installed."""

import importlib.util
import io
from collections.abc import Sequence
from html import escape

import attrs

from fescuerudder.burn import COARSE_BUCKET_S, BurnReport, Counts, ServiceBurn

PLOT_SPAN_S = 21_600
WIDTH_PX = 860
HEIGHT_PX = 300
MARGIN_PX = 46
MAX_LINES = 8
COLOURS = (
    "#1b6ca8",
    "#c0392b",
    "#2e8b57",
    "#b8860b",
    "#6a4c93",
    "#444444",
    "#d2691e",
    "#008b8b",
)


@attrs.frozen(kw_only=True)
class Line:
    """Burn rate of one service over time: hours before the report, and the rate."""

    label: str
    colour: str
    points: tuple[tuple[float, float], ...]


def plot_svg(report: BurnReport, *, use_matplotlib: bool | None = None) -> str:
    """Returns an SVG element with the burn rate of the worst services over six hours.

    Args:
        report: the report.
        use_matplotlib: whether to draw with matplotlib; by default if it is installed.
    """
    if use_matplotlib is None:
        use_matplotlib = importlib.util.find_spec("matplotlib") is not None
    lines = burn_lines(report)
    return _draw_with_matplotlib(lines) if use_matplotlib else _draw_plainly(lines)


def burn_lines(report: BurnReport) -> list[Line]:
    """Returns the lines of the services with the least budget left."""
    counts = {entry.service: entry.coarse for entry in report.data.services}
    worst = sorted(report.services, key=lambda burn: burn.budget_left)[:MAX_LINES]
    return [
        Line(
            label=burn.service,
            colour=colour,
            points=_points(burn, counts.get(burn.service, ()), report.data.taken_s),
        )
        for burn, colour in zip(worst, COLOURS, strict=False)
    ]


def _points(
    burn: ServiceBurn, counts: Sequence[Counts], now_s: float
) -> tuple[tuple[float, float], ...]:
    allowed = 1.0 - burn.objective.target
    return tuple(
        # A bucket stands at its middle, but never later than the report.
        (
            min(0.0, (bucket.start_s + COARSE_BUCKET_S / 2 - now_s) / 3_600),
            bucket.bad / (bucket.good + bucket.bad) / allowed,
        )
        for bucket in counts
        if bucket.start_s > now_s - PLOT_SPAN_S
    )


def _draw_with_matplotlib(lines: Sequence[Line]) -> str:
    # Figure without pyplot: no global state and no display.
    from matplotlib.backends.backend_svg import FigureCanvasSVG
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_PX / 100, HEIGHT_PX / 100), layout="constrained")
    FigureCanvasSVG(figure)
    axes = figure.add_subplot()
    drawn = [line for line in lines if line.points]
    for line in drawn:
        axes.plot(*zip(*line.points, strict=True), color=line.colour, label=line.label, marker=".")
    axes.axhline(1.0, color="#888888", linestyle="--", linewidth=1)
    axes.set(xlim=(-PLOT_SPAN_S / 3_600, 0), xlabel="hours before the report", ylabel="burn rate")
    axes.set_ylim(bottom=0)
    if drawn:
        axes.legend(loc="upper left", fontsize="small")
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _draw_plainly(lines: Sequence[Line]) -> str:
    top = max([2.0, *(rate for line in lines for _, rate in line.points)])
    parts = [f'<svg viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" role="img" font-size="12">']
    parts += _axes(top)
    for place, line in enumerate(lines):
        points = [(_x(hours), _y(rate, top)) for hours, rate in line.points]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        parts.append(f'<polyline points="{path}" fill="none" stroke="{line.colour}"/>')
        parts += [
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2" fill="{line.colour}"/>' for x, y in points
        ]
        parts.append(
            f'<text x="{MARGIN_PX + 8}" y="{MARGIN_PX + 14 * place}" fill="{line.colour}">'
            f"{escape(line.label)}</text>"
        )
    return "".join([*parts, "</svg>"])


def _axes(top: float) -> list[str]:
    left, right = _x(-PLOT_SPAN_S / 3_600), _x(0.0)
    parts = []
    for rate in (0.0, 1.0, top):
        y = _y(rate, top)
        parts.append(f'<path d="M{left:.1f} {y:.1f}H{right:.1f}" stroke="#bbb"/>')
        parts.append(
            f'<text x="{left - 6:.1f}" y="{y + 4:.1f}" text-anchor="end">{rate:.3g}</text>'
        )
    for hours in range(-PLOT_SPAN_S // 3_600, 1):
        y = HEIGHT_PX - MARGIN_PX + 16
        parts.append(f'<text x="{_x(hours):.1f}" y="{y}" text-anchor="middle">{hours} h</text>')
    return parts


def _x(hours: float) -> float:
    share = 1.0 + hours * 3_600 / PLOT_SPAN_S
    return MARGIN_PX + share * (WIDTH_PX - 2 * MARGIN_PX)


def _y(rate: float, top: float) -> float:
    return HEIGHT_PX - MARGIN_PX - rate / top * (HEIGHT_PX - 2 * MARGIN_PX)
