"""Experiment: what a record of starts costs the store and the starts, by candidate.

docs/starts.md describes the candidates. A to D and I are played in a simulation of the leader's
writer, E (no record, shorter leases) in the simulation of jobs.
"""

import json
import logging
import statistics
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import attrs
import structlog

from bench._leaselengths import lease_lines
from bench._startrecords import RECORDS
from bench._startstream import JobKind, StoreModel, Stream, StreamResult, StreamSimulation
from bench.experiment import RESULTS_DIR

Line = dict[str, Any]

ASCCL = Stream(
    name="asccl-sched",
    kinds=(
        JobKind(per_s=2.8, steps=1.6, width=6.0, run_s=0.8),
        JobKind(per_s=2.7, steps=2.0, width=8.0, run_s=2.2),
    ),
    room=150,
    standing=240,
    workers=48,
    measured_s=60.0,
)
"""The rates of the deployment asccl-sched; about a seventh of the room is idle on average."""

FULL = attrs.evolve(ASCCL, name="asccl-sched, full", room=120)
"""The same with too little room, so that tasks start one by one, each when another one ends."""

PARALLEL = attrs.evolve(ASCCL, name="asccl-sched, parallel", is_parallel=True)
"""The same with steps that run beside each other, so that candidate I covers tasks that could start
on any worker."""

TARGET = Stream(
    name="target",
    kinds=(JobKind(per_s=25.0, steps=2.0, width=8.0, run_s=25.0),),
    room=10_400,
    standing=5_200,
    workers=840,
    warm_s=60.0,
    measured_s=20.0,
)
"""The target: 400 starts/s, 5,200 long-running and 10,000 batch tasks, 840 workers."""

WIDE = Stream(
    name="target, wide",
    kinds=(JobKind(per_s=3.1, steps=2.0, width=64.0, run_s=25.0),),
    room=10_000,
    standing=5_200,
    workers=840,
    warm_s=60.0,
    measured_s=20.0,
)
"""The target with steps of 64 tasks, so that rows of a step or a job are large."""

BESIDE = StoreModel(name="beside", one_way_s=0.001)
REGION_BYTES_PER_S = 15e6 / 8
"""The link between regions carries 15 Mbit/s; see docs/CAPACITY.md."""

REGION = StoreModel(name="other region", one_way_s=0.030, bytes_per_s=REGION_BYTES_PER_S)
SLOW = StoreModel(name="slow, 376 ms", one_way_s=0.001, answer_s=0.376)
BRIEFLY_SLOW = StoreModel(
    name="376 ms for 3.1 s", one_way_s=0.001, outage=(20.0, 23.1), outage_answer_s=0.376
)
SILENT = StoreModel(name="silent 4.2 s", one_way_s=0.001, outage=(20.0, 24.2), is_silent=True)
REFUSING = StoreModel(name="refusing 6.3 s", one_way_s=0.001, outage=(20.0, 26.3))

PLAYS = (
    *((ASCCL, store) for store in (BESIDE, REGION, SLOW, BRIEFLY_SLOW, SILENT, REFUSING)),
    (FULL, BESIDE),
    *((PARALLEL, store) for store in (BESIDE, REFUSING)),
    *((TARGET, store) for store in (BESIDE, REGION)),
    *((WIDE, store) for store in (BESIDE, REGION)),
)

WORKER_ROOM = 4
"""Tasks that a worker takes in a play of candidate I with little room: the room of asccl-sched
divided by its workers, rounded up."""

START_PAUSES_S = (0.0, 0.05)
"""Other pauses between the writes of candidate A while starts wait."""


def run_starts(*, seed: int, context: Line) -> Iterator[Line]:
    """Yields the result lines of all candidates; `context` is added to each."""
    # The decisions log each start, which would hide the table.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for stream, store in PLAYS:
        for record in RECORDS:
            yield context | _play(stream, store, record, seed=seed)
        if stream is ASCCL and store in (SILENT, REFUSING):
            line = _play(stream, store, "A with I", seed=seed, worker_room=WORKER_ROOM)
            yield context | line | {"candidate": f"A with I, {WORKER_ROOM} a worker"}
        if stream is ASCCL and store in (SLOW, BRIEFLY_SLOW, SILENT, REFUSING):
            line = _play(stream, store, "A step", seed=seed, consents=True)
            yield context | line | {"candidate": "A with G"}
        if stream is ASCCL and store in (BESIDE, REGION):
            for pause_s in START_PAUSES_S:
                line = _play(stream, store, "A step", seed=seed, start_pause_s=pause_s)
                yield context | line | {"candidate": f"A, {1000 * pause_s:g} ms"}
    for line in lease_lines(seed=seed):
        yield context | line


def _play(stream: Stream, store: StoreModel, record: str, **fields: Any) -> Line:
    result = StreamSimulation(stream=stream, store=store, record=record, **fields).run()
    return {
        "candidate": record,
        "stream": stream.name,
        "store": store.name,
        **figures(result),
    }


def figures(result: StreamResult) -> Line:
    """Returns the figures of a result line."""
    delays_s = sorted(result.delays_s)
    return {
        "starts_s": round(result.starts, 1),
        "transactions_s": round(result.transactions, 1),
        "rows_s": round(result.rows, 1),
        "kb_s": round(result.bytes / 1000, 1),
        "largest_kb": round(result.largest / 1000, 1),
        "delay_ms": {
            "median": round(1000 * statistics.median(delays_s)),
            "p95": round(1000 * delays_s[int(0.95 * len(delays_s))]),
            "most": round(1000 * delays_s[-1]),
        },
        "job_s": round(statistics.mean(result.job_s), 2),
        "stored_rows": result.stored_rows,
        "stored_kb": round(result.stored_bytes / 1000, 1),
        "pages": result.pages,
        "checks": result.checks,
        "missing": result.missing,
        "stale": round(result.stale, 1),
        "held": round(result.held, 1),
        "held_unsent": round(result.held_unsent, 1),
        "held_unsent_open": round(result.held_unsent_open, 1),
        "held_unsent_most": result.held_unsent_most,
        "running": round(result.running, 1),
        "running_in_outage": (
            None if result.running_in_outage is None else round(result.running_in_outage, 1)
        ),
    }


def write_lines(lines: Sequence[Line], path: Path = RESULTS_DIR / "starts.jsonl") -> None:
    """Writes result lines to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(json.dumps(line, sort_keys=True) + "\n" for line in lines))


HEADERS = (
    "stream", "store", "candidate", "starts/s", "tx/s", "rows/s", "kB/s", "largest kB",
    "delay ms, median", "p95", "most", "job s", "rows kept", "kB kept", "stale", "missing",
    "running", "in outage", "held", "unsent", "open",
)  # fmt: skip


def table_text(lines: Sequence[Line]) -> str:
    """Returns the results as Markdown tables: A to D, then E."""
    rows = [HEADERS]
    for line in lines:
        if "stream" not in line:
            continue
        delay = line["delay_ms"]
        rows.append(
            (
                line["stream"], line["store"], line["candidate"], line["starts_s"],
                line["transactions_s"], line["rows_s"], line["kb_s"], line["largest_kb"],
                delay["median"], delay["p95"], delay["most"], line["job_s"], line["stored_rows"],
                line["stored_kb"], line["stale"], line["missing"], line["running"],
                "" if line["running_in_outage"] is None else line["running_in_outage"],
                line["held"], line["held_unsent"], line["held_unsent_open"],
            )
        )  # fmt: skip
    return _markdown(rows) + "\n\n" + _markdown(_lease_rows(lines))


def _lease_rows(lines: Sequence[Line]) -> list[tuple[Any, ...]]:
    """Returns a row for each pair of lease lengths: the shares of running tasks that end."""
    leases = [line for line in lines if "wait_s" in line]
    columns = [
        name
        for line in leases
        if line["candidate"] == leases[0]["candidate"]
        for name in (_lease_column(line),)
    ]
    rows: list[tuple[Any, ...]] = [("lease/horizon", "wait s", *columns)]
    for name in dict.fromkeys(line["candidate"] for line in leases):
        group = [line for line in leases if line["candidate"] == name]
        values = [line.get("ended", line.get("renewals_per_worker")) for line in group]
        rows.append((name, group[0]["wait_s"], *values))
    return rows


def _lease_column(line: Line) -> str:
    if "outage_s" in line:
        return f"ended, outage {line['outage_s']:g} s"
    return f"ended, claim after {line['gap_s']:g} s" if "gap_s" in line else "renewals/s a worker"


def _markdown(rows: Sequence[Sequence[Any]]) -> str:
    lines = ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join([lines[0], "|" + "---|" * len(rows[0]), *lines[1:]])
