"""Experiments: work done while a zone goes out and returns, and during a store outage."""

import functools
import os
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs

from bench._field import (
    SERVICE,
    Field,
    Line,
    Traffic,
    batch_payloads,
    finishes,
    in_background,
    lost_work_s,
    measure_runs,
    open_field,
    rate_between,
    read_all_runs,
    spread_text,
)
from bench.witness import Run, find_all
from fescuerudder.clock import SystemClock

ZONES = ("a", "b", "c")
WORKERS = 2
PROCESSORS = 8.0
REPLICAS = 4
BATCH = "plates"
WORK_S = 2.0
LONG_WORK_S = 20.0
"""Work of tasks in the outage experiment: nothing starts meanwhile, so short tasks run out."""

WARM_S = 6.0
RECOVERED_SHARE = 0.9
WINDOW_S = 4.0
"""Width of the windows in which the throughput is compared; holds about 40 finished tasks."""

DOCUMENTS: dict[str, dict[str, Any]] = {
    SERVICE: {
        "team": "desk",
        "kind": "latency-critical",
        "replicas": REPLICAS,
        "size": {"processors": 1, "memory_mb": 1024},
        "objective": {"latency_ms": 5000},
    },
    BATCH: {
        "team": "press",
        "kind": "batch",
        "size": {"processors": 2, "memory_mb": 1024},
        "quota": {"processors": 1000, "memory_mb": 1000000},
    },
}


@attrs.frozen(kw_only=True)
class Timing:
    """Lengths in seconds: before the disruption, of it, and after it.

    Args:
        before_s: undisturbed time after the warm-up.
        during_s: length of the disruption.
        after_s: time after it.
    """

    before_s: float
    during_s: float
    after_s: float

    @property
    def total_s(self) -> float:
        """Length of the load."""
        return WARM_S + self.before_s + self.during_s + self.after_s


def measure_zone(*, seed: int, timing: Timing, rate: float, mean_ms: float) -> Line:
    """Takes a zone out under load and returns it."""

    def begin(field: Field) -> None:
        field.set_zone(ZONES[0], "out")

    def end(field: Field) -> None:
        field.set_zone(ZONES[0], "in")

    return _measure(seed=seed, timing=timing, rate=rate, mean_ms=mean_ms, moves=(begin, end))


def measure_outage(*, seed: int, timing: Timing, rate: float, mean_ms: float) -> Line:
    """Takes the store down under load and brings it back."""

    def begin(field: Field) -> None:
        field.launcher.fault("table", mode="down")

    def end(field: Field) -> None:
        field.launcher.fault("table", mode="ok")

    return _measure(
        seed=seed, timing=timing, rate=rate, mean_ms=mean_ms, moves=(begin, end), work_s=LONG_WORK_S
    )


def measure_calm(*, seed: int, timing: Timing, rate: float, mean_ms: float) -> Line:
    """Lets the same time pass without a disruption."""
    moves = (lambda field: None, lambda field: None)
    return _measure(
        seed=seed, timing=timing, rate=rate, mean_ms=mean_ms, moves=moves, work_s=LONG_WORK_S
    )


def _measure(
    *, seed: int, timing: Timing, rate: float, mean_ms: float, moves: Any, work_s: float = WORK_S
) -> Line:
    clock = SystemClock()
    flags = {"mean_ms": mean_ms, "usage_lag_s": 2.0}
    with open_field(
        zones=ZONES, workers=WORKERS, processors=PROCESSORS, seed=seed, worker_flags=flags
    ) as field:
        field.prepare(DOCUMENTS)
        # More work than the workers can do in the time, so that throughput is their capacity.
        slots = len(ZONES) * WORKERS * PROCESSORS / 2
        count = int(1.3 * slots * (timing.total_s / work_s + 1))
        accepted = field.submit(BATCH, batch_payloads(count=count, mean_s=work_s, seed=seed))
        traffic = Traffic(rate=rate, duration_s=timing.total_s, mean_ms=mean_ms)
        with in_background(lambda: field.send(traffic, seed=seed)) as results:
            time.sleep(WARM_S)
            marks = [clock.now_s()]
            for move, pause_s in zip(
                (*moves, None), (timing.before_s, timing.during_s, timing.after_s), strict=True
            ):
                time.sleep(pause_s)
                if move is not None:
                    move(field)
                marks.append(clock.now_s())
        runs = read_all_runs(field)
        events = field.events()
        findings = find_all(events)
    sent = results[0]
    return {
        "seed": seed,
        "timing_s": attrs.asdict(timing),
        "work_s": work_s,
        "rate": rate,
        "mean_ms": mean_ms,
        "tasks": accepted,
        "requests": len(sent),
        "failed_requests": dict(
            Counter(f"{item.status} {item.detail}" for item in sent if item.status != 200)
        ),
        "worker_refusals": dict(
            Counter(event["reason"] for event in events if event["event"] == "request_refused")
        ),
        "violations": dict(Counter(finding.kind for finding in findings if finding.violation)),
        "lost_work_s": round(lost_work_s(runs, service=BATCH), 2),
        "evictions": sum(run.service == BATCH and run.how == "checkpointed" for run in runs),
        "machine_load": round(os.getloadavg()[0], 1),
        **throughput(finishes(runs, service=BATCH), marks),
        **occupation([run for run in runs if run.service == BATCH], marks),
    }


def throughput(times: Sequence[float], marks: Sequence[float]) -> Line:
    """Returns finished tasks per second in each phase and the time of recovery.

    Args:
        times: when tasks finished.
        marks: start of the undisturbed phase, start and end of the disruption, end.
    """
    start_s, out_s, back_s, end_s = marks
    before = rate_between(times, start_s, out_s)
    recovered_s = None
    at_s = back_s
    while before and at_s + WINDOW_S <= end_s and recovered_s is None:
        if rate_between(times, at_s, at_s + WINDOW_S) >= RECOVERED_SHARE * before:
            recovered_s = round(at_s - back_s, 1)
        at_s += 0.5
    return {
        "per_s_before": round(before, 2),
        "per_s_during": round(rate_between(times, out_s, back_s), 2),
        "per_s_after": round(rate_between(times, back_s, end_s), 2),
        "finished": sum(start_s <= at_s < end_s for at_s in times),
        "recovered_s": recovered_s,
    }


def occupation(runs: Sequence[Run], marks: Sequence[float]) -> Line:
    """Returns the mean number of running attempts in each phase and when it was back."""
    start_s, out_s, back_s, end_s = marks
    before = running_between(runs, start_s, out_s)
    again_s = None
    at_s = back_s
    while at_s + 1.0 <= end_s and again_s is None:
        if running_between(runs, at_s, at_s + 1.0) >= RECOVERED_SHARE * before:
            again_s = round(at_s - back_s, 1)
        at_s += 0.5
    return {
        "running_before": round(before, 2),
        "running_during": round(running_between(runs, out_s, back_s), 2),
        "running_after": round(running_between(runs, back_s, end_s), 2),
        "running_again_s": again_s,
    }


def running_between(runs: Sequence[Run], start_s: float, end_s: float) -> float:
    """Returns the mean number of attempts that ran between two times."""
    seconds = sum(max(0.0, min(run.end_s, end_s) - max(run.start_s, start_s)) for run in runs)
    return seconds / max(end_s - start_s, 1e-9)


EXPERIMENTS = {"zone": (measure_zone,), "outage": (measure_outage, measure_calm)}
"""Measurements of each experiment; those of one run take place side by side."""


def run_disruption(
    name: str, *, runs: int, seed: int, timing: Timing, rate: float, mean_ms: float, path: Path
) -> list[Line]:
    """Measures all runs and writes the result lines to `path`."""

    def make_calls(number: int) -> dict[str, Callable[[], Line]]:
        return {
            measure.__name__.removeprefix("measure_"): functools.partial(
                measure, seed=seed + number, timing=timing, rate=rate, mean_ms=mean_ms
            )
            for measure in EXPERIMENTS[name]
        }

    return measure_runs(make_calls, runs=runs, experiment=name, label="condition", path=path)


def table_text(lines: Sequence[Line]) -> str:
    """Returns median and range of each figure for each condition."""
    names = ("per_s_before", "per_s_during", "per_s_after", "recovered_s")
    names += ("running_before", "running_during", "running_after", "running_again_s")
    names += ("lost_work_s", "evictions", "finished")
    rows = []
    for condition in dict.fromkeys(line["condition"] for line in lines):
        group = [line for line in lines if line["condition"] == condition]
        rows.append(f"{condition}: {len(group)} runs, median (least-most)")
        rows += [f"  {name}: {spread_text([line[name] for line in group])}" for name in names]
        violations = sum((Counter(line["violations"]) for line in group), Counter())
        failed = sum((Counter(line["failed_requests"]) for line in group), Counter())
        total = sum(line["requests"] for line in group)
        rows.append(f"  violations: {dict(violations)}; failed of {total} requests: {dict(failed)}")
    return "\n".join(rows)
