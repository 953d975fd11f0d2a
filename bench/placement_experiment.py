"""Experiment: interference-aware placement and graded remedies against their baselines."""

import functools
import os
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

from bench._field import (
    SERVICE,
    Field,
    Line,
    Traffic,
    finishes,
    in_background,
    lost_work_s,
    measure_runs,
    open_field,
    rate_between,
    read_all_runs,
    spread_text,
)
from bench.experiment import summarise
from bench.witness import Run, find_all
from fescuerudder.clock import SystemClock

ZONES = ("a", "b")
WORKERS = 2
PROCESSORS = 8.0
REPLICAS = 2
BATCH = ("plates", "proofs", "scans")
WORK_S = 3.0
MEAN_MS = 50.0
OBJECTIVE_MS = 80.0
"""The mean service time of a replica exceeds this at a slowdown of 1.6 or more."""

RATE = 60.0
WARM_S = 4.0


@attrs.frozen(kw_only=True)
class Comparison:
    """Policies side by side.

    Args:
        flags: entry flags of each policy; the product's choice is the first.
        tasks_per_s: batch tasks submitted per second.
    """

    flags: Mapping[str, Mapping[str, str]]
    tasks_per_s: float


COMPARISONS = {
    # Room for a choice of workers.
    "placement": Comparison(
        flags={
            "least_interference": {"placement": "least_interference"},
            "first_fit": {"placement": "first_fit"},
        },
        tasks_per_s=1.5,
    ),
    # More work than fits, so that batch tasks run beside the service whatever is chosen.
    "remedy": Comparison(
        flags={"throttle": {"remedy": "throttle"}, "evict": {"remedy": "evict"}},
        tasks_per_s=4.0,
    ),
}


def documents() -> dict[str, dict[str, Any]]:
    """Returns one latency-critical service and the batch services."""
    desk = {
        "team": "desk",
        "kind": "latency-critical",
        "replicas": REPLICAS,
        "size": {"processors": 1, "memory_mb": 1024},
        "objective": {"latency_ms": OBJECTIVE_MS},
    }
    work = {
        "team": "press",
        "kind": "batch",
        "size": {"processors": 2, "memory_mb": 1024},
        "quota": {"processors": 1000, "memory_mb": 1000000},
    }
    return {SERVICE: desk, **dict.fromkeys(BATCH, work)}


def plan_tasks(*, seed: int, per_s: float, duration_s: float) -> list[tuple[float, str, float]]:
    """Returns offset, service and work of each batch task; Poisson arrivals."""
    rng = random.Random(seed)
    tasks = []
    at_s = rng.expovariate(per_s)
    while at_s < duration_s:
        work_s = round(WORK_S * rng.uniform(0.5, 1.5), 3)
        tasks.append((at_s, rng.choice(BATCH), work_s))
        at_s += rng.expovariate(per_s)
    return tasks


def run_comparison(name: str, *, runs: int, seed: int, duration_s: float, path: Path) -> list[Line]:
    """Measures the policies of a comparison and writes the result lines to `path`."""
    comparison = COMPARISONS[name]

    def make_calls(number: int) -> dict[str, Callable[[], Line]]:
        return {
            policy: functools.partial(
                _measure,
                seed=seed + number,
                flags=flags,
                tasks_per_s=comparison.tasks_per_s,
                duration_s=duration_s,
            )
            for policy, flags in comparison.flags.items()
        }

    return measure_runs(make_calls, runs=runs, experiment=name, label="policy", path=path)


def table_text(lines: Sequence[Line]) -> str:
    """Returns median and range of each figure for each policy."""
    rows = []
    for policy in dict.fromkeys(line["policy"] for line in lines):
        group = [line for line in lines if line["policy"] == policy]
        rows.append(f"{policy}: {len(group)} runs, median (least-most)")
        for name in ("p50", "p99"):
            values = [line["latency_ms"][name] for line in group]
            rows.append(f"  latency {name} ms: {spread_text(values)}")
        for name in ("answered_share", "tasks_per_s", "running", "evictions", "lost_work_s"):
            rows.append(f"  {name}: {spread_text([line[name] for line in group])}")
    return "\n".join(rows)


def _measure(*, seed: int, flags: Mapping[str, str], tasks_per_s: float, duration_s: float) -> Line:
    clock = SystemClock()
    total_s = WARM_S + duration_s
    tasks = plan_tasks(seed=seed, per_s=tasks_per_s, duration_s=total_s)
    worker_flags = {"usage_lag_s": 2.0, "usage_every_s": 1.0}
    with open_field(
        zones=ZONES,
        workers=WORKERS,
        processors=PROCESSORS,
        seed=seed,
        entry_flags=flags,
        worker_flags=worker_flags,
    ) as field:
        field.prepare(documents())
        traffic = Traffic(rate=RATE, duration_s=total_s, mean_ms=MEAN_MS)
        with in_background(lambda: field.send(traffic, seed=seed)) as results:
            started_s = clock.now_s()
            accepted = _submit_all(field, tasks)
            time.sleep(max(0.0, started_s + total_s - clock.now_s()))
            ended_s = clock.now_s()
        runs = read_all_runs(field)
        findings = find_all(field.events())
    counted = [item for item in results[0] if item.at_s >= WARM_S]
    return {
        "seed": seed,
        "duration_s": duration_s,
        "tasks_submitted_per_s": tasks_per_s,
        "tasks": accepted,
        "machine_load": round(os.getloadavg()[0], 1),
        "violations": dict(Counter(item.kind for item in findings if item.violation)),
        **summarise(counted),
        **_batch_figures(runs, started_s + WARM_S, ended_s),
        "answered_share": sum(i.status == 200 for i in counted) / max(1, len(counted)),
    }


def _submit_all(field: Field, tasks: Sequence[tuple[float, str, float]]) -> int:
    start_s = time.monotonic()
    accepted = 0
    for at_s, service, work_s in tasks:
        time.sleep(max(0.0, start_s + at_s - time.monotonic()))
        accepted += field.submit(service, [{"work_s": work_s}])
    return accepted


def _batch_figures(runs: Sequence[Run], start_s: float, end_s: float) -> Line:
    batch = [run for run in runs if run.service in BATCH]
    finished = sorted(at_s for service in BATCH for at_s in finishes(batch, service=service))
    busy_s = sum(max(0.0, min(r.end_s, end_s) - max(r.start_s, start_s)) for r in batch)
    return {
        "tasks_per_s": round(rate_between(finished, start_s, end_s), 3),
        "running": round(busy_s / (end_s - start_s), 3),
        "evictions": sum(run.how == "checkpointed" for run in batch),
        "lost_work_s": round(sum(lost_work_s(batch, service=s) for s in BATCH), 2),
    }
