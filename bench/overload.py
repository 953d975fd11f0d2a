"""Experiment: what callers get when there is too little capacity, by order of the waiting steps."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from bench._overloadbound import clairvoyant_value
from bench._overloadcauses import CAUSES, served_without
from bench._overloadloads import OVERLOAD_PATTERNS, OverloadPattern
from bench._overloadorders import ORDERS
from bench._overloadreplay import Outcome, OverloadReplay
from bench._overloadsettings import SETTING_HEADING, change_text, run_settings
from bench.experiment import RESULTS_DIR

SEEDS = (1, 2)
PATTERN_NAMES = tuple(pattern.name for pattern in OVERLOAD_PATTERNS)
ORDER_RESULTS = RESULTS_DIR / "overload-order.jsonl"
CAUSE_RESULTS = RESULTS_DIR / "overload-causes.jsonl"
SETTING_RESULTS = RESULTS_DIR / "overload-settings.jsonl"


@attrs.frozen(kw_only=True)
class Line:
    """Result of the replays of one pattern in one order, averaged over the seeds.

    Args:
        pattern: name of the pattern.
        order: name of the order.
        served: share of the value that was served.
        served_by: the same by priority.
        late: jobs that ended late or not at all.
        wasted: core seconds of jobs that ended when they were of no use, or not at all.
        oldest_s: largest age of a job, of all replays.
        bound_share: value that was served, as a share of the clairvoyant bound.
        load: core seconds of the jobs, as a share of those that they may use while they arrive.
    """

    pattern: str
    order: str
    served: float
    served_by: dict[str, float]
    late: float
    wasted: float
    oldest_s: float
    bound_share: float
    load: float


def measure(pattern: OverloadPattern, order: str, *, seeds: Iterable[int] = SEEDS) -> Line:
    """Replays a pattern in one order with several seeds."""
    outcomes, bounds = [], []
    for seed in seeds:
        compared = ORDERS[order]
        urgency = compared.make_key(pattern.free_processors)
        replay = OverloadReplay(
            pattern=pattern, seed=seed, urgency=urgency, setting=compared.setting
        )
        outcomes.append(replay.play())
        bounds.append(clairvoyant_value(pattern, replay.jobs))
    return _line(pattern, order, outcomes, sum(bounds))


def _line(pattern: OverloadPattern, order: str, outcomes: list[Outcome], bound: float) -> Line:
    count = len(outcomes)
    priorities = sorted({p for outcome in outcomes for p in outcome.served if p is not None})
    used = pattern.seconds * pattern.free_processors * count
    return Line(
        pattern=pattern.name,
        order=order,
        served=round(sum(o.served[None] for o in outcomes) / count, 4),
        served_by={
            str(p): round(sum(o.served.get(p, 1.0) for o in outcomes) / count, 4)
            for p in priorities
        },
        late=sum(o.late for o in outcomes) / count,
        wasted=round(sum(o.wasted for o in outcomes) / count, 1),
        oldest_s=round(max(o.oldest_s for o in outcomes), 2),
        bound_share=round(sum(o.value for o in outcomes) / bound, 4),
        load=round(sum(o.work for o in outcomes) / used, 3),
    )


def run_overload(names: Iterable[str] = ()) -> Iterator[Line]:
    """Yields the results of all orders, for the named patterns or for all."""
    chosen = set(names)
    for pattern in OVERLOAD_PATTERNS:
        if not chosen or pattern.name in chosen:
            for order in ORDERS:
                yield measure(pattern, order)


HEADING = (
    f"{'pattern':18} {'order':36} {'served':>7} {'by priority':>17} {'late':>6} {'wasted':>7}"
    f" {'oldest':>7} {'of bound':>8} {'load':>5}"
)


def row_text(line: Line) -> str:
    """Returns a result as a row of a table."""
    by_priority = " ".join(f"{p}:{share:.3f}" for p, share in line.served_by.items())
    return (
        f"{line.pattern:18} {line.order:36} {line.served:7.3f} {by_priority:>17} {line.late:6.1f}"
        f" {line.wasted:7.0f} {line.oldest_s:7.1f} {line.bound_share:8.3f} {line.load:5.2f}"
    )


def run_causes(names: Iterable[str], *, order: str = "value-density") -> list[dict[str, Any]]:
    """Returns, for each pattern, what jobs of the highest priority get without each cause."""
    chosen = set(names)
    rows = []
    for pattern in OVERLOAD_PATTERNS:
        if chosen and pattern.name not in chosen:
            continue
        urgency = ORDERS[order].make_key(pattern.free_processors)
        for cause in CAUSES:
            served = served_without(cause, pattern, seeds=SEEDS, urgency=urgency)
            row = {"pattern": pattern.name, "without": cause, "order": order}
            rows.append({**row, "served": round(served, 4)})
    return rows


def run_and_print(names: list[str], *, context: dict[str, Any]) -> None:
    """Runs the experiment and prints it; writes the results if all patterns are replayed."""
    print(HEADING)
    lines = []
    for line in run_overload(names):
        print(row_text(line), flush=True)
        lines.append(line)
    causes = run_causes(names)
    for row in causes:
        print(f"{row['pattern']:18} without {row['without'] or 'nothing':32} {row['served']:7.3f}")
    if not names:
        _write([attrs.asdict(line) for line in lines], context, ORDER_RESULTS)
        _write(causes, context, CAUSE_RESULTS)


def run_and_print_settings(names: list[str], *, context: dict[str, Any]) -> None:
    """Replays both settings and prints the changes; writes them if all patterns are replayed."""
    print(SETTING_HEADING)
    found = []
    for change in run_settings(names):
        print(change_text(change), flush=True)
        found.append(change)
    if not names:
        _write([attrs.asdict(change) for change in found], context, SETTING_RESULTS)


def _write(rows: list[dict[str, Any]], context: dict[str, Any], path: Path) -> None:
    path.write_text("".join(json.dumps({**context, **row}, sort_keys=True) + "\n" for row in rows))
