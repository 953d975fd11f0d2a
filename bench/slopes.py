"""Measures what each rack, worker, task, request and peer costs an entry instance and the store.

Each measurement varies one or two sizes, and the costs are the slopes of a linear fit over them.
"""

import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from bench._fit import Point, fit_all
from bench._inprocess import IN_PROCESS
from bench._processes import WITH_PROCESSES

ROOT = Path(__file__).parent.parent
RESULTS_DIR = ROOT / "bench" / "results"
DEFAULT_SEED = 7

Measurement = Callable[[int], Iterator[Point]]
"""Yields one point for each size, given a seed."""

MEASUREMENTS: dict[str, Measurement] = {**WITH_PROCESSES, **IN_PROCESS}


def run_measurement(name: str, *, seed: int, results: Path = RESULTS_DIR) -> None:
    """Runs one measurement, prints its records and appends them to its result file."""
    results.mkdir(parents=True, exist_ok=True)
    with (results / f"{name}.jsonl").open("a", encoding="utf-8") as file:
        for record in _records(name, seed=seed):
            file.write(json.dumps(record, sort_keys=True) + "\n")
            file.flush()


def _records(name: str, *, seed: int) -> Iterator[dict[str, Any]]:
    origin = {
        "measurement": name,
        "command": f"python -m bench slopes {name} --seed={seed}",
        "seed": seed,
        "commit": _commit(),
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
    }
    points = []
    load = os.getloadavg()[0]
    for point in MEASUREMENTS[name](seed):
        points.append(point)
        record = {**origin, "load": load, "sizes": point.sizes, "values": _rounded(point.values)}
        yield _shown(record)
        load = os.getloadavg()[0]
    for found in fit_all(points):
        yield _shown({**origin, "fit": found.dump()})


def _rounded(values: Any) -> dict[str, float]:
    return {name: float(f"{value:.5g}") for name, value in values.items()}


def _shown(record: dict[str, Any]) -> dict[str, Any]:
    brief = {k: v for k, v in record.items() if k in ("load", "sizes", "values", "fit")}
    print(json.dumps(brief), file=sys.stderr, flush=True)
    return record


def _commit() -> str:
    """Returns the commit; `-dirty` says that the measured packages were changed since."""
    commit = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "--", "fescuerudder", "standins")
    return f"{commit}-dirty" if changed else commit


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return done.stdout.strip()
