"""Findings from the event files of all workers, independent of the scheduler's own records.

All times are CLOCK_BOOTTIME of the one machine that runs the workers, in seconds.
"""

import json
import math
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs

Event = Mapping[str, Any]

TOLERANCE = 1e-9
LINE_TRIES = 20
LINE_PAUSE_S = 0.01
RESOURCES = ("processors", "memory_mb", "accelerators")
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@attrs.frozen(kw_only=True)
class Finding:
    """Something the workers saw.

    Args:
        kind: what it is.
        subject: task, worker or request.
        boot_s: when.
        detail: the facts.
        violation: False for work that was repeated because a worker was lost before the
            scheduler could learn of its end; no scheduler can avoid that.
    """

    kind: str
    subject: str
    boot_s: float
    detail: str
    violation: bool = True


@attrs.frozen(kw_only=True)
class Run:
    """One attempt as its worker ran it.

    Args:
        task: task id.
        attempt: attempt number.
        worker: worker id.
        zone: zone of the worker.
        service: service of the task.
        size: committed resources.
        checkpoint: checkpoint it resumed from, or empty.
        start_s: start.
        lease_s: end of its last lease.
        end_s: end; infinite if it never ended.
        how: how it ended, `killed` with its worker, or empty.
        acknowledged: whether the scheduler confirmed that it learned of the end.
    """

    task: str
    attempt: int
    worker: str
    zone: str
    service: str
    size: Mapping[str, float]
    checkpoint: str
    start_s: float
    lease_s: float
    end_s: float = math.inf
    how: str = ""
    acknowledged: bool = False


def read_events(paths: Iterable[Path]) -> list[Event]:
    """Returns all events in the order of their times.

    Raises:
        ValueError: a line is no event; the text names file and line.
    """
    events: list[Event] = []
    for path in paths:
        for number, line in enumerate(_read_lines(path), start=1):
            try:
                event = json.loads(line)
                event["boot_s"] + 0.0
            except (ValueError, KeyError, TypeError) as exc:
                raise ValueError(f"{path.name} line {number} is no event") from exc
            events.append(event)
    return sorted(events, key=lambda event: event["boot_s"])


def _read_lines(path: Path) -> list[str]:
    """Returns the lines of a file; waits for the rest of a line that is being written."""
    for _ in range(LINE_TRIES):
        text = path.read_text()
        if not text or text.endswith("\n"):
            break
        time.sleep(LINE_PAUSE_S)
    return text.splitlines()


def find_all(events: Iterable[Event]) -> list[Finding]:
    """Returns the findings of all checks that need no further input."""
    events = list(events)
    runs = read_runs(events)
    found = task_overlaps(runs) + over_commitments(events, runs) + repeated_attempts(runs)
    found += outlived_leases(runs) + repeated_finishes(runs) + repeated_resumes(runs)
    found += repeated_requests(events) + cut_requests(events)
    return sorted(found, key=lambda finding: finding.boot_s)


def read_runs(events: Iterable[Event]) -> list[Run]:
    """Returns the attempts that ran, in the order of their starts.

    A worker's death, or its next boot, ends the attempts it ran, at the latest when their
    leases end: a worker may have been frozen beyond that before it died.
    """
    book = _RunBook()
    # At equal times an end precedes a start, which may rely on it.
    order = ("killed", "boot", "renewed", "end", "acknowledged", "start")
    relevant = [event for event in events if event["event"] in order]
    for event in sorted(relevant, key=lambda e: (e["boot_s"], order.index(e["event"]))):
        book.add(event)
    return book.runs


class _RunBook:
    """Attempts as built from events in the order of their times."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._open: dict[tuple[str, str, int], int] = {}
        self._latest: dict[tuple[str, str, int], int] = {}

    def add(self, event: Event) -> None:
        """Applies one event."""
        kind, worker = event["event"], event["worker"]
        key = (worker, event.get("task", ""), event.get("attempt", 0))
        if kind == "start":
            self._open[key] = self._latest[key] = len(self.runs)
            self.runs.append(_started(event))
        elif kind == "renewed":
            for task, attempt, until_s in event["leases"]:
                self._change(self._open.get((worker, task, attempt)), lease_s=until_s)
        elif kind == "end":
            self._change(self._open.pop(key, None), end_s=event["boot_s"], how=event["how"])
        elif kind == "acknowledged":
            self._change(self._latest.get(key), acknowledged=True)
        else:
            self._lose(worker, event["boot_s"])

    def _lose(self, worker: str, boot_s: float) -> None:
        for key in [key for key in self._open if key[0] == worker]:
            index = self._open.pop(key)
            self._change(index, end_s=min(boot_s, self.runs[index].lease_s), how="killed")

    def _change(self, index: int | None, **changes: Any) -> None:
        if index is not None:
            self.runs[index] = attrs.evolve(self.runs[index], **changes)


def task_overlaps(runs: Iterable[Run]) -> list[Finding]:
    """Returns attempts that ran while another attempt of the same task still ran."""
    found = []
    for task, own in _by_task(runs).items():
        latest = own[0]
        for run in own[1:]:
            if run.start_s < latest.end_s - TOLERANCE:
                detail = f"{_name(latest)} until {latest.end_s:.3f}, {_name(run)} also ran"
                found.append(
                    Finding(kind="task_overlap", subject=task, boot_s=run.start_s, detail=detail)
                )
            latest = max(latest, run, key=lambda item: item.end_s)
    return found


def over_commitments(events: Iterable[Event], runs: Iterable[Run]) -> list[Finding]:
    """Returns starts after which a worker's running sizes exceeded its capacity."""
    capacities = {e["worker"]: e["capacity"] for e in events if e["event"] == "start"}
    by_worker: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_worker[run.worker].append(run)
    found = []
    for worker, own in by_worker.items():
        running: list[Run] = []
        for run in sorted(own, key=lambda item: item.start_s):
            running = [r for r in running if r.end_s > run.start_s + TOLERANCE] + [run]
            total = {name: sum(r.size.get(name, 0) for r in running) for name in RESOURCES}
            excess = [n for n in RESOURCES if total[n] > capacities[worker][n] + TOLERANCE]
            if excess:
                detail = f"{_name(run)}: {excess} over capacity, committed {total}"
                found.append(
                    Finding(
                        kind="over_commitment", subject=worker, boot_s=run.start_s, detail=detail
                    )
                )
    return found


def starts_after(runs: Iterable[Run], *, zone: str, boot_s: float) -> list[Finding]:
    """Returns starts in `zone` later than `boot_s`."""
    return [
        Finding(
            kind="start_in_left_zone",
            subject=run.task,
            boot_s=run.start_s,
            detail=f"{_name(run)} started {run.start_s - boot_s:.3f} s late in {zone}",
        )
        for run in runs
        if run.zone == zone and run.start_s > boot_s
    ]


def requests_after(events: Iterable[Event], *, worker: str, boot_s: float) -> list[Finding]:
    """Returns requests that reached `worker` later than `boot_s`, run or refused."""
    return [
        Finding(
            kind="request_to_leaving_worker",
            subject=event["request_id"],
            boot_s=event["boot_s"],
            detail=f"{event['event']} {event['boot_s'] - boot_s:.3f} s late at {worker}",
        )
        for event in events
        if event["event"] in ("request", "request_refused")
        and event["worker"] == worker
        and event["boot_s"] > boot_s
    ]


def outlived_leases(runs: Iterable[Run]) -> list[Finding]:
    """Returns attempts that ended, later than their last lease."""
    return [
        Finding(
            kind="outlived_lease",
            subject=run.task,
            boot_s=run.lease_s,
            detail=f"{_name(run)} ran until {run.end_s:.3f}, its lease until {run.lease_s:.3f}",
        )
        for run in runs
        if run.how and run.end_s > run.lease_s + TOLERANCE
    ]


def repeated_attempts(runs: Iterable[Run]) -> list[Finding]:
    """Returns attempt numbers of a task that started more than once."""
    seen: dict[tuple[str, int], Run] = {}
    found = []
    for run in runs:
        first = seen.setdefault((run.task, run.attempt), run)
        if first is not run:
            found.append(_repeat("attempt_repeated", first, run))
    return found


def repeated_finishes(runs: Iterable[Run]) -> list[Finding]:
    """Returns tasks that finished more than once.

    A finish that was never acknowledged may have been lost with its worker; a second one is
    then no violation.
    """
    found = []
    for own in _by_task(runs).values():
        finished = [run for run in own if run.how == "finished"]
        for first, second in zip(finished, finished[1:], strict=False):
            found.append(_repeat("finished_twice", first, second, violation=first.acknowledged))
    return found


def repeated_resumes(runs: Iterable[Run]) -> list[Finding]:
    """Returns attempts that resumed from a checkpoint which an earlier attempt had used up.

    An earlier attempt that was lost, failed or stopped without a checkpoint leaves nothing
    newer to resume from.
    """
    found = []
    for own in _by_task(runs).values():
        users: dict[str, Run] = {}
        for run in own:
            if not run.checkpoint:
                continue
            first = users.get(run.checkpoint)
            if first is not None and first.how in ("finished", "checkpointed", ""):
                violation = first.acknowledged or not first.how
                found.append(_repeat("resumed_twice", first, run, violation=violation))
            users[run.checkpoint] = run
    return found


def repeated_requests(events: Iterable[Event]) -> list[Finding]:
    """Returns requests that ran more than once although they must not.

    Requests are the same when their service and Idempotency-Key are, or, for methods that are
    not idempotent, when callers gave them the same `nonce` query parameter.
    """
    seen: dict[tuple[str, str, str], Event] = {}
    found = []
    for event in events:
        if event["event"] != "request":
            continue
        names = [("key", event["key"])]
        if event["method"] not in IDEMPOTENT_METHODS:
            names.append(("nonce", event["nonce"]))
        for name, value in names:
            first = seen.setdefault((event["service"], name, value), event) if value else event
            if first is not event:
                found.append(
                    Finding(
                        kind=f"request_{name}_repeated",
                        subject=f"{event['service']} {value}",
                        boot_s=event["boot_s"],
                        detail=f"ran on {first['worker']}, then on {event['worker']}",
                    )
                )
    return found


def cut_requests(events: Iterable[Event]) -> list[Finding]:
    """Returns requests whose replica ended while it answered."""
    return [
        Finding(
            kind="request_cut",
            subject=event["request_id"],
            boot_s=event["boot_s"],
            detail=f"no replica of {event['service']} left on {event['worker']}",
        )
        for event in events
        if event["event"] == "request_cut"
    ]


def _started(event: Event) -> Run:
    return Run(
        task=event["task"],
        attempt=event["attempt"],
        worker=event["worker"],
        zone=event["zone"],
        service=event["service"],
        size=event["size"],
        checkpoint=event["checkpoint"],
        start_s=event["boot_s"],
        lease_s=event["leases"][0][2],
    )


def _by_task(runs: Iterable[Run]) -> dict[str, list[Run]]:
    grouped: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda item: item.start_s):
        grouped[run.task].append(run)
    return grouped


def _name(run: Run) -> str:
    return f"attempt {run.attempt} on {run.worker}"


def _repeat(kind: str, first: Run, second: Run, *, violation: bool = True) -> Finding:
    return Finding(
        kind=kind,
        subject=second.task,
        boot_s=second.start_s,
        detail=f"{_name(first)} ({first.how or 'running'}), then {_name(second)}",
        violation=violation,
    )
