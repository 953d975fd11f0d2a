"""Decides which ended jobs leave the rows that a claimant reads, and what the leader forgets."""

from collections import deque
from collections.abc import Iterable, Mapping

import attrs

from fescuerudder.jobs.cancellations import EARLY_KEPT_S, Cancellation
from fescuerudder.jobs.endedjobs import JOBS_PER_MOVE, STATUS_S, EndedJob
from fescuerudder.jobs.jobrun import JobRun, JobState
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.storage import partition_of

MIN_MOVE_AGE_S = 2.0
"""Time after which an ended job is moved, so that its state has reached the followers."""

FORGET_S = 30.0
"""Time for which the leader remembers an ended job; an order without an answer may be carried out
for 20 s."""

MAX_EXAMINED = 400
"""Number of ended jobs that one decision looks at."""


@attrs.frozen(kw_only=True)
class MoveBatch:
    """Rows to move or to remove next.

    Args:
        jobs: ended jobs of one partition to move.
        cancels: cancellations that are left over.
    """

    jobs: tuple[EndedJob, ...] = ()
    cancels: tuple[Cancellation, ...] = ()


class JobHistory:
    """Ended jobs of a term, used by the scheduler's thread only.

    Args:
        state: state of the term.
    """

    def __init__(self, *, state: SchedulerState) -> None:
        self._state = state
        self._unmoved: dict[str, deque[tuple[float, EndedJob]]] = {}
        self._cancels: dict[str, Cancellation] = {}
        self._early: dict[str, tuple[float, Cancellation]] = {}
        self._progress: dict[str, None] = {}
        self._forgettable: deque[tuple[float, str]] = deque()
        self._shown: deque[tuple[float, str]] = deque()

    @property
    def unmoved(self) -> int:
        """Number of ended jobs that a claimant would read."""
        return sum(len(jobs) for jobs in self._unmoved.values())

    def add(self, jobs: Iterable[EndedJob]) -> None:
        """Adds jobs whose final state is stored."""
        now_s = self._state.clock.now_s()
        for job in jobs:
            self._unmoved.setdefault(partition_of(job.id), deque()).append((now_s, job))
            self._shown.append((now_s, job.id))

    def add_cancel(self, cancel: Cancellation) -> None:
        """Adds a cancellation that is of no more use: its job was moved, or is not known."""
        self._cancels[cancel.job_id] = cancel

    def add_early(self, cancel: Cancellation, *, age_s: float) -> None:
        """Adds a cancellation that waits for its job, which may not come.

        Args:
            cancel: the cancellation.
            age_s: time since it was stored.
        """
        _, known = self._early.get(cancel.job_id, (0.0, None))
        if known is None or known.version != cancel.version:
            end_s = self._state.clock.now_s() + EARLY_KEPT_S - age_s
            self._early[cancel.job_id] = end_s, cancel
            self._cancels.pop(cancel.job_id, None)

    def take_early(self, job_id: str) -> bool:
        """Returns whether a job that comes was cancelled before; its cancellation waits no more."""
        return self._early.pop(job_id, None) is not None

    def add_progress(self, job_ids: Iterable[str]) -> None:
        """Adds jobs that were moved and whose progress is still stored."""
        self._progress.update(dict.fromkeys(job_ids))

    def take_moves(self) -> MoveBatch:
        """Returns what to move next; `on_moved` or `on_kept` must follow."""
        cancels = tuple(self._cancels.values())[:JOBS_PER_MOVE]
        for cancel in cancels:
            del self._cancels[cancel.job_id]
        waiting = max(self._unmoved.values(), key=len, default=None)
        jobs = self._take_movable(waiting) if waiting else ()
        return MoveBatch(jobs=jobs, cancels=cancels)

    def _take_movable(self, waiting: deque[tuple[float, EndedJob]]) -> tuple[EndedJob, ...]:
        now_s = self._state.clock.now_s()
        found: list[EndedJob] = []
        for _ in range(min(len(waiting), MAX_EXAMINED)):
            if len(found) == JOBS_PER_MOVE or now_s - waiting[0][0] < MIN_MOVE_AGE_S:
                break
            ended_s, job = waiting.popleft()
            if self._is_settled(self._state.jobs.get(job.id)):
                found.append(job)
            else:
                waiting.append((now_s, job))
        return tuple(found)

    def _is_settled(self, run: JobRun | None) -> bool:
        """Returns whether nothing of an ended job runs or is recorded any more."""
        if run is None:
            return True
        is_recorded = any(step in self._state.recorded_steps for step in run.steps.values())
        return not (run.is_isolated or is_recorded or any(True for _ in run.attempts()))

    def on_moved(self, batch: MoveBatch) -> None:
        """Records that a batch is stored; its progress may be deleted and its jobs forgotten."""
        now_s = self._state.clock.now_s()
        for job in batch.jobs:
            run = self._state.jobs.get(job.id)
            if run is not None:
                run.is_moved = True
            self._progress[job.id] = None
            self._forgettable.append((now_s + FORGET_S, job.id))

    def on_kept(self, batch: MoveBatch) -> None:
        """Records that nothing of a batch is stored."""
        now_s = self._state.clock.now_s()
        for job in batch.jobs:
            self._unmoved.setdefault(partition_of(job.id), deque()).append((now_s, job))
        for cancel in batch.cancels:
            if cancel.job_id not in self._early:
                self._cancels.setdefault(cancel.job_id, cancel)

    def take_progress(self, limit: int) -> list[str]:
        """Returns up to `limit` moved jobs whose progress is to be deleted."""
        taken = list(self._progress)[: max(0, limit)]
        for job_id in taken:
            del self._progress[job_id]
        return taken

    def forget(self) -> list[str]:
        """Drops moved jobs from the state; returns the jobs whose state is shown no longer.

        Early cancellations whose jobs have not come are to be removed then, too.
        """
        now_s, jobs = self._state.clock.now_s(), self._state.jobs
        for job_id in [job_id for job_id, (end_s, _) in self._early.items() if end_s <= now_s]:
            self.add_cancel(self._early.pop(job_id)[1])
        while self._forgettable and self._forgettable[0][0] <= now_s:
            _, job_id = self._forgettable.popleft()
            run = jobs.get(job_id)
            if run is not None and any(True for _ in run.attempts()):
                self._forgettable.append((now_s + FORGET_S, job_id))
            elif run is not None:
                del jobs[job_id]
                self._state.dirty_jobs.pop(run, None)
                self._state.openable_jobs.pop(run, None)
        expired = []
        while self._shown and now_s - self._shown[0][0] >= STATUS_S:
            expired.append(self._shown.popleft()[1])
        return expired


def ended_jobs(runs: Mapping[str, JobRun], stored: Mapping[str, JobState]) -> list[EndedJob]:
    """Returns those of the jobs that were just stored that have ended, each once."""
    found = []
    for run in (runs[job_id] for job_id in stored if job_id in runs):
        if stored[run.job.id].is_final and not run.in_history:
            run.in_history = True
            found.append(EndedJob(id=run.job.id, version=run.version, state=run.state))
    return found
