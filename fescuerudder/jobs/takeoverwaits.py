"""On whom the steps of older jobs wait after a takeover, as log lines for the operators."""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

import attrs
import structlog

from fescuerudder.jobs.jobrun import Attempt, JobRun, Phase, StepRun
from fescuerudder.jobs.roster import UNREADABLE
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.workerrecord import WorkerRecord

CHECK_INTERVAL_S = 1.0
"""Time between two checks; a check looks at all open steps."""

LOG_INTERVAL_S = 5.0
"""Time between two log lines that name the same workers."""

SETTLED_S = 1.0
"""Time after the claim by which the workers within reach have answered; jobs that still wait then
get a line of their own."""

MAX_JOB_LINES = 200
"""Number of jobs that get a line of their own in one check; the others get theirs in the next."""

MAX_NAMED_WORKERS = 5
"""Number of workers that a log line names."""

_log = structlog.get_logger(__name__)


class Unresolved(enum.Enum):
    """Why a leader doesn't know what earlier leaders left on a worker."""

    UNREADABLE = "roster unreadable"
    UNLISTED = "silent, not in the registry"
    SILENT = "silent"
    NOT_ANSWERED = "no answer yet"
    FURTHER_ENDS = "has further ends"
    UNSETTLED = "start not settled"


def is_restored(attempt: Attempt) -> bool:
    """Returns whether an attempt of an earlier leader is known from the store alone."""
    return attempt.restored and attempt.phase is Phase.UNCERTAIN


@attrs.define(kw_only=True)
class _HeldSteps:
    """Steps of older jobs that wait for workers.

    Args:
        jobs: the waiting jobs, each with the workers that its first waiting step waits for.
        count: number of steps.
        longest_s: longest wait.
        example: the step that has waited longest.
        workers: number of steps that wait for each worker, by worker id.
    """

    jobs: dict[JobRun, list[WorkerRecord]] = attrs.Factory(dict)
    count: int = 0
    longest_s: float = 0.0
    example: StepRun | None = None
    workers: Counter[str] = attrs.Factory(Counter)

    def add(self, step: StepRun, workers: list[WorkerRecord], now_s: float) -> None:
        """Adds a step."""
        self.count += 1
        self.jobs.setdefault(step.job, workers)
        self.workers.update(record.id for record in workers)
        waited_s = now_s - (step.opened_s if step.opened_s is not None else now_s)
        if self.example is None or waited_s > self.longest_s:
            self.longest_s, self.example = waited_s, step


class TakeoverWaits:
    """Reports which older jobs wait for which workers, and when each older job goes on.

    An older job is one that was stored before the claim. Must be created at the claim.

    Args:
        state: state of the term.
        planner: plans the starts.
    """

    def __init__(self, *, state: SchedulerState, planner: StartPlanner) -> None:
        self._state = state
        self._planner = planner
        self._claimed_s = state.clock.now_s()
        self._observed_s = -math.inf
        self._next_check_s = -math.inf
        self._logged_s = -math.inf
        self._logged_workers: set[str] = set()
        self._held_back: set[JobRun] = set()
        self._reported: set[JobRun] = set()
        self._pending: dict[JobRun, None] | None = None

    def observe(self, now_s: float) -> None:
        """Logs what has changed; to be called after each plan of starts."""
        if self._pending is None:
            self._pending = {step.job: None for step in self._older_steps()}
        self._report_first_starts()
        self._observed_s = now_s
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + CHECK_INTERVAL_S
            self._check(now_s)

    def _older_steps(self) -> Iterator[StepRun]:
        claim_version = self._state.term.claim_version
        for step in self._state.open_steps:
            if step.job.version <= claim_version and step.job.is_live and not step.is_done:
                yield step

    def _awaited_workers(self, step: StepRun, unresolved: list[WorkerRecord]) -> list[WorkerRecord]:
        """Returns the workers on which tasks of a step may run that an earlier leader started."""
        workers = self._state.workers
        names = {a.worker for task in step.tasks for a in task.attempts if is_restored(a)}
        unresolved = unresolved or self._state.unresolved_workers(step.job)
        if unresolved and len(self._planner.startable_tasks(step)) < len(step.startable_tasks()):
            names |= {record.id for record in self._state.unresolved_workers(step.job)}
        return [workers[name] for name in sorted(names) if name in workers]

    # --- the first start of each job

    def _report_first_starts(self) -> None:
        """Logs the older jobs that have got their first start since the last call."""
        for record in self._state.workers.values() if self._pending else ():
            if record.last_start_s >= self._observed_s:
                for attempt in record.attempts.values():
                    self._report_first_start(attempt)

    def _report_first_start(self, attempt: Attempt) -> None:
        run = attempt.task.step.job
        if self._pending is None or run not in self._pending:
            return
        if attempt.adopted or attempt.phase is Phase.PLANNED:
            return
        del self._pending[run]
        if run.was_seen_running:
            # It has run all the while, so this start doesn't end a wait.
            return
        _log.info(
            "older job goes on",
            job=run.job.id,
            result="held back" if run in self._held_back else "not held back",
            after_claim_s=round(attempt.sent_s - self._claimed_s, 2),
        )

    # --- the jobs that wait

    def _check(self, now_s: float) -> None:
        self._pending = {run: None for run in self._pending or () if run.is_live}
        held, unresolved = _HeldSteps(), self._state.unresolved_workers()
        for step in self._older_steps():
            workers = self._awaited_workers(step, unresolved)
            if workers:
                held.add(step, workers, now_s)
        self._log_held(held, now_s)
        if now_s - self._claimed_s >= SETTLED_S:
            self._held_back.update(held.jobs)
            self._log_jobs(held, now_s)

    def _log_held(self, held: _HeldSteps, now_s: float) -> None:
        """Logs the waiting steps if they wait for other workers than before, or after a while."""
        workers = set(held.workers)
        if workers == self._logged_workers and now_s - self._logged_s < LOG_INTERVAL_S:
            return
        if held.example is None:
            if self._logged_workers:
                _log.info("no older step waits", after_claim_s=round(now_s - self._claimed_s, 2))
            self._logged_workers = workers
            return
        self._logged_s, self._logged_workers = now_s, workers
        _log.warning(
            "older steps wait",
            steps=held.count,
            jobs=len(held.jobs),
            longest_s=round(held.longest_s, 2),
            after_claim_s=round(now_s - self._claimed_s, 2),
            job=held.example.job.job.id,
            step=held.example.id[1:],
            worker_count=len(workers),
            workers=self._describe((name for name, _ in held.workers.most_common()), now_s),
        )

    def _log_jobs(self, held: _HeldSteps, now_s: float) -> None:
        """Logs each waiting job once, with the workers that it waits for."""
        new = [run for run in held.jobs if run not in self._reported]
        for run in new[:MAX_JOB_LINES]:
            self._reported.add(run)
            records = held.jobs[run]
            _log.warning(
                "older job waits",
                job=run.job.id,
                running=sum(1 for attempt in run.attempts() if attempt.phase is Phase.RUNNING),
                after_claim_s=round(now_s - self._claimed_s, 2),
                worker_count=len(records),
                workers=self._describe((record.id for record in records), now_s),
            )

    def _describe(self, workers: Iterable[str], now_s: float) -> list[dict[str, Any]]:
        """Returns of the first workers why they are awaited, and until when at the latest."""
        records = [self._state.workers[name] for name in islice(workers, MAX_NAMED_WORKERS)]
        return [
            {
                "id": record.id,
                "why": _why_unresolved(record).value,
                "silent_s": _silent_s(record, now_s),
                "left_s": round(max(0.0, _ended_by_s(record) - now_s), 2),
            }
            for record in records
        ]


def _why_unresolved(record: WorkerRecord) -> Unresolved:
    if record.info == UNREADABLE.info:
        return Unresolved.UNREADABLE
    if record.is_silent:
        return Unresolved.SILENT if record.listed else Unresolved.UNLISTED
    if record.report_s is None:
        return Unresolved.NOT_ANSWERED
    return Unresolved.UNSETTLED if record.lists_all_ends else Unresolved.FURTHER_ENDS


def _silent_s(record: WorkerRecord, now_s: float) -> float:
    """Returns the time for which a worker has not answered this leader, 0 if it answers."""
    return round(now_s - record.silent_since_s, 2) if record.silent_since_s is not None else 0.0


def _ended_by_s(record: WorkerRecord) -> float:
    """Returns when everything that earlier leaders left on a worker has ended."""
    unknown_s = record.unknown_ended_by_s() if record.may_run_unknown else -math.inf
    return max(record.lapsed_by_s(), unknown_s)
