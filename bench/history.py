"""Experiment: what grows with history, in a base version and in this one, measured in turn."""

import json
import subprocess
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs

from bench.experiment import RESULTS_DIR, commit_id
from fescuerudder._usage import UsageError

ROOT = Path(__file__).resolve().parents[1]
PROBE = Path(__file__).with_name("_historyprobe.py")
RESULTS = RESULTS_DIR / "history.jsonl"


@attrs.frozen(kw_only=True)
class HistoryPlan:
    """What is measured.

    Args:
        ended: numbers of ended jobs after which a claim is timed.
        jobs: numbers of repeated jobs whose memory is measured.
        occurrences: occurrences of each of these jobs.
        early: occurrence whose bytes are compared with those of `late`.
        late: the later occurrence.
        runs: runs of each claim, of which the shortest counts, since others only add delay.
        timeout_s: longest time of one measurement.
        seed: seed of the simulations.
    """

    ended: tuple[int, ...] = (1_000, 10_000, 100_000)
    jobs: tuple[int, ...] = (0, 6, 60)
    occurrences: int = 10_080
    early: int = 10
    late: int = 10_000
    runs: int = 3
    timeout_s: float = 900.0
    seed: int = 1


SMALL = HistoryPlan(
    ended=(100, 1_000), jobs=(0, 2), occurrences=200, late=40, runs=1, timeout_s=60.0
)


def measure(plan: HistoryPlan, trees: Mapping[str, Path]) -> Iterator[dict[str, Any]]:
    """Yields a result of each measurement and tree; the trees take turns.

    Args:
        plan: what is measured.
        trees: root of each source tree, by name of the version.
    """
    cells: list[tuple[str, tuple[int, ...], int]] = [
        *(("claim", (ended,), plan.runs) for ended in plan.ended),
        *(("memory", (jobs, plan.occurrences), 1) for jobs in plan.jobs),
        ("bytes", (plan.early, plan.late), 1),
    ]
    for name, args, runs in cells:
        found: dict[str, list[Any]] = {version: [] for version in trees}
        for _ in range(runs):
            for version, tree in trees.items():
                found[version].append(
                    _probe(tree, name, (plan.seed, *args), timeout_s=plan.timeout_s)
                )
        for version, values in found.items():
            known = [value for value in values if value is not None]
            value = min(known) if known else None
            yield {"measure": name, "args": list(args), "version": version, "value": value}


def _probe(tree: Path, name: str, args: tuple[int, ...], *, timeout_s: float) -> Any:
    """Returns the result of one measurement in a process of its own, None if it took too long.

    Raises:
        RuntimeError: it failed.
    """
    command = [sys.executable, "-P", str(PROBE), name, *map(str, args)]
    env = {"PYTHONPATH": str(tree), "PATH": "/usr/bin:/bin"}
    try:
        done = subprocess.run(
            command, cwd=tree, env=env, capture_output=True, text=True, timeout=timeout_s
        )
    except subprocess.TimeoutExpired:
        return None
    if done.returncode:
        raise RuntimeError(f"{name} {args} on {tree}: {done.stderr[-500:]}")
    return json.loads(done.stdout)


def table_text(lines: list[dict[str, Any]]) -> str:
    """Returns the results as text, one line for each measurement and version."""
    rows = []
    for line in lines:
        args = " ".join(map(str, line["args"]))
        rows.append(f"{line['measure']:8}{args:16}{line['version']:8}{line['value']}")
    return "\n".join(rows)


def run_and_print(base: str, *, plan: HistoryPlan, write: bool) -> None:
    """Measures the base and this tree, prints the results, and writes them if `write` is set.

    Args:
        base: root of the source tree of the base.
        plan: what is measured.
        write: whether to replace the lines of this base in bench/results/history.jsonl.

    Raises:
        UsageError: `base` is no source tree.
    """
    tree = Path(base).resolve()
    if not (tree / "bench" / "_jobsimulation.py").exists():
        raise UsageError(f"--base {base} is no source tree of this project")
    head = _head(tree)
    context = {
        "command": "python -m bench history",
        "commit": commit_id(),
        "base": head,
        "seed": plan.seed,
    }
    lines = []
    for line in measure(plan, {"base": tree, "new": ROOT}):
        lines.append({**context, **line})
        print(table_text([line]), flush=True)
    if write:
        text = "".join(json.dumps(line, sort_keys=True) + "\n" for line in lines)
        known = RESULTS.read_text() if RESULTS.exists() else ""
        kept = [old for old in known.splitlines() if json.loads(old)["base"] != head]
        RESULTS.write_text("".join(f"{old}\n" for old in kept) + text)


def _head(tree: Path) -> str:
    command = ["git", "-C", str(tree), "rev-parse", "--short=12", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()
