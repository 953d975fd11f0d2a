"""Experiment: processor time of decisions by the number of client accounts, for two versions.

One process for each version simulates the same load with each number of accounts. The simulations
take turns of one tick, so that other work on the machine slows all of them alike. Figures are
compared by the median of the ratios of turns that follow each other.
"""

import json
import os
import statistics
import subprocess
import sys
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import attrs

from bench.experiment import RESULTS_DIR

Line = dict[str, Any]

ACCOUNTS = (0, 20, 110)
LOADS = (0.7, 1.3)
WORKERS = 840
WARM_TICKS = 160
"""Ticks before the measurement, in which the workers fill up and a queue builds up."""

ROUNDS = 120
SCRIPT = Path(__file__).with_name("_accountload.py")
ROOT = Path(__file__).parents[1]
RESULTS = RESULTS_DIR / "accounts.jsonl"


@attrs.frozen(kw_only=True)
class Variant:
    """What is measured.

    Args:
        version: name of the version in the results.
        accounts: number of accounts.
    """

    version: str
    accounts: int


class _Process:
    """A process that simulates the loads of one version."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self._process = process

    def request(self, index: int, ticks: int) -> None:
        """Begins some ticks with one of the numbers of accounts."""
        assert self._process.stdin is not None
        self._process.stdin.write(f"{index} {ticks}\n")
        self._process.stdin.flush()

    def answer(self) -> dict[str, float]:
        """Waits for the end of the ticks and returns what they took.

        Raises:
            RuntimeError: the process has ended.
        """
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"the process {self._process.args} has ended")
        return json.loads(line)


@contextmanager
def _started(
    tree: Path, accounts: Sequence[int], *, load: float, workers: int, seed: int
) -> Iterator[_Process]:
    counts = ",".join(str(count) for count in accounts)
    process = subprocess.Popen(
        [sys.executable, str(SCRIPT), counts, str(load), str(workers), str(seed)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
    )
    try:
        yield _Process(process)
    finally:
        process.kill()
        process.communicate()


def measure(
    trees: dict[str, Path],
    *,
    load: float,
    seed: int,
    accounts: Sequence[int] = ACCOUNTS,
    workers: int = WORKERS,
    warm: int = WARM_TICKS,
    rounds: int = ROUNDS,
) -> list[Line]:
    """Returns a result line for each version and number of accounts.

    Args:
        trees: root of the source tree of each version, by its name; the first one, without
            accounts, is what the others are compared with.
        load: load as a multiple of what fits.
        seed: seed of the load.
        accounts: numbers of accounts.
        workers: number of workers.
        warm: ticks before the measurement.
        rounds: number of turns of each simulation.
    """
    turns: dict[Variant, list[dict[str, float]]] = {
        Variant(version=version, accounts=count): [] for version in trees for count in accounts
    }
    with ExitStack() as stack:
        processes = {
            version: stack.enter_context(
                _started(tree, accounts, load=load, workers=workers, seed=seed)
            )
            for version, tree in trees.items()
        }
        for index in range(len(accounts)):
            for process in processes.values():
                process.request(index, warm)
            for process in processes.values():
                process.answer()
        for number in range(rounds):
            # The order changes, so that no simulation always follows the same one.
            versions = list(processes)[:: 1 if number % 2 else -1]
            for place in range(len(accounts)):
                index = (place + number) % len(accounts)
                for version in versions:
                    processes[version].request(index, 1)
                    turn = processes[version].answer()
                    turns[Variant(version=version, accounts=accounts[index])].append(turn)
    reference = next(iter(turns.values()))
    digests = {variant.accounts: found[-1]["digest"] for variant, found in reversed(turns.items())}
    return [
        _line(variant, found, reference, load=load, seed=seed)
        | {"same_starts": found[-1]["digest"] == digests[variant.accounts]}
        for variant, found in turns.items()
    ]


def _line(
    variant: Variant,
    turns: list[dict[str, float]],
    reference: list[dict[str, float]],
    *,
    load: float,
    seed: int,
) -> Line:
    starts = sum(turn["starts"] for turn in turns)
    plans_s, reports_s = (sum(turn[name] for turn in turns) for name in ("plans_s", "reports_s"))
    ratios = [t["plans_s"] / r["plans_s"] for t, r in zip(turns, reference, strict=True)]
    return {
        "version": variant.version,
        "accounts": variant.accounts,
        "load": load,
        "seed": seed,
        "starts": starts,
        "plan_ms": round(1000 * statistics.median(t["plans_s"] for t in turns), 2),
        "plan_us_start": round(1e6 * plans_s / max(1, starts), 1),
        "report_us_start": round(1e6 * reports_s / max(1, starts), 1),
        "plan_ratio": round(statistics.median(ratios), 3),
    }


def run_accounts(
    *,
    base: Path | None,
    context: Line,
    seed: int = 1,
    loads: Sequence[float] = LOADS,
    **settings: int,
) -> Iterator[Line]:
    """Yields the result lines of all loads; `context` is added to each.

    Args:
        base: root of the source tree of the base version, None for none.
        context: fields of each line.
        seed: seed of the load.
        loads: loads as multiples of what fits.
        settings: passed to `measure`.
    """
    trees = {"new": ROOT, **({"base": base} if base is not None else {})}
    for load in loads:
        for line in measure(trees, load=load, seed=seed, **settings):
            yield context | line


def write_lines(lines: Sequence[Line], path: Path = RESULTS) -> None:
    """Writes result lines to a file."""
    path.write_text("".join(json.dumps(line, sort_keys=True) + "\n" for line in lines))


def table_text(lines: Sequence[Line]) -> str:
    """Returns the results as a Markdown table."""
    columns = (
        ("load", "load"),
        ("version", "version"),
        ("accounts", "accounts"),
        ("starts", "starts"),
        ("plan_ms", "plan ms, median"),
        ("plan_us_start", "plans µs/start"),
        ("report_us_start", "reports µs/start"),
        ("plan_ratio", "plan, ratio to new with none"),
        ("same_starts", "starts as in the first version"),
    )
    rows = [[name for _, name in columns], ["---"] * len(columns)]
    rows += [[str(line[field]) for field, _ in columns] for line in lines]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)
