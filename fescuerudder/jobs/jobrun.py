"""Progress of a job: which tasks are done, which attempts are live and what may start next."""

import enum
import math
from collections.abc import Callable, Iterator

import attrs

from fescuerudder.jobs.coveringstarts import CoveringStarts
from fescuerudder.jobs.criticalpath import (
    critical_path_ms,
    estimated_run_ms,
    remaining_path_ms,
)
from fescuerudder.jobs.job import Job, Step, TaskId
from fescuerudder.jobs.occurrences import Occurrences
from fescuerudder.jobs.taskrun import (
    FULL_SPEED,
    MAX_AVOIDED_WORKERS,
    MAX_COPIES,
    MAX_ORDER_DELAY_S,
    MAX_POSSIBLE_CRASHES,
    UNKNOWN_NUMBER,
    Attempt,
    Phase,
    RecordedStart,
    StepRun,
    TaskRun,
)

__all__ = [
    "FULL_SPEED",
    "MAX_AVOIDED_WORKERS",
    "MAX_COPIES",
    "MAX_ORDER_DELAY_S",
    "MAX_POSSIBLE_CRASHES",
    "UNKNOWN_NUMBER",
    "Attempt",
    "JobRun",
    "JobState",
    "Phase",
    "RecordedStart",
    "StepRun",
    "TaskRun",
]


class JobState(enum.Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@attrs.define(eq=False, kw_only=True)
class JobRun:
    """A job and its progress.

    Args:
        job: the job as submitted.
        version: version of its row in the store.
        received_s: when it was submitted or this instance learned of it, on this instance's clock.
        state: current state; callers see it once it is stored.
        begun: a task of the job was seen to run.
        cancel_requested: a caller requested its cancellation.
        critical_path_ms: estimated run time of the longest chain of steps, in milliseconds.
        work: estimated work of all tasks, in core seconds.
        done_work: estimated work of the tasks that are done, in core seconds.
        occurrences: which occurrences have ended and which are to come.
        steps: steps of the occurrences that exist, by occurrence and number.
        recorded_starts: what the stored records name of tasks that are not done, as far as neither
            a record nor progress that is being stored says otherwise.
        earlier_starts: what the records of earlier leaders name.
        dirty: its progress has changed since it was last stored.
        entitled_s: when the callers of its account are entitled to it; see `shares.Entitlements`.
        is_isolated: the store rejects its rows, so none of its tasks are started.
        in_history: its final state is stored, so it is to leave the rows that a claimant reads.
        is_moved: it has left them, so its progress is not written any more.
        parts: number of the rows that the store may hold of its progress beside the first one.
        is_compact: its progress was last written in a form that 122f4c3 doesn't read.
        last_active_s: when a step of a dropped occurrence last opened or had an attempt that ended,
            on this instance's clock.
        dropped_seen_running: a report to this leader listed an attempt of a dropped occurrence.
    """

    job: Job
    version: int
    received_s: float
    state: JobState = JobState.QUEUED
    begun: bool = False
    cancel_requested: bool = False
    critical_path_ms: int = 0
    work: float = 0.0
    done_work: float = 0.0
    occurrences: Occurrences = attrs.field(init=False)
    steps: dict[tuple[int, int], StepRun] = attrs.Factory(dict)
    recorded_starts: set[RecordedStart] = attrs.Factory(set)
    earlier_starts: CoveringStarts = attrs.Factory(CoveringStarts)
    dirty: bool = False
    entitled_s: float = -math.inf
    is_isolated: bool = False
    in_history: bool = False
    is_moved: bool = False
    parts: int = 0
    is_compact: bool = False
    last_active_s: float = -math.inf
    dropped_seen_running: bool = False

    def __attrs_post_init__(self) -> None:
        self.occurrences = Occurrences(count=self.job.occurrences)

    @classmethod
    def create(cls, *, job: Job, version: int, received_s: float) -> "JobRun":
        """Returns a job of which no task has started; occurrences of repeated jobs come later."""
        path_ms = critical_path_ms(job)
        run = cls(job=job, version=version, received_s=received_s, critical_path_ms=path_ms)
        run.work = job.occurrences * job.occurrence_work
        if job.repetition is None:
            run.create_occurrence(0)
        return run

    def create_occurrence(self, occurrence: int) -> None:
        """Creates the steps and tasks of an occurrence; those of one that has ended are done."""
        has_ended = self.occurrences.has_ended(occurrence)
        for number, spec in enumerate(self.job.steps):
            step = StepRun(job=self, occurrence=occurrence, number=number, spec=spec)
            step.tasks = [
                TaskRun(
                    id=TaskId(self.job.id, occurrence, number, index), step=step, done=has_ended
                )
                for index in range(spec.count)
            ]
            self.steps[(occurrence, number)] = step
        if has_ended:
            self.occurrences.mark_existing(occurrence)

    def steps_of(self, occurrence: int) -> list[StepRun]:
        """Returns the steps of an occurrence that exists."""
        return [self.steps[(occurrence, number)] for number in range(len(self.job.steps))]

    def end_occurrence_if_done(self, occurrence: int) -> bool:
        """Records the end of an occurrence if all its tasks are done; returns whether they are."""
        if not self.occurrences.has_ended(occurrence):
            if not all(step.is_done for step in self.steps_of(occurrence)):
                return False
            self.occurrences.add_ended(occurrence, occurrence + 1)
            self.occurrences.mark_existing(occurrence)
        return True

    def drop_occurrence(self, occurrence: int) -> None:
        """Drops the steps and tasks of an ended occurrence of which nothing runs any more."""
        for step in self.steps_of(occurrence):
            del self.steps[(occurrence, step.number)]
            self.dropped_seen_running |= any(task.seen_running for task in step.tasks)
            if step.opened_s is not None:
                ends = (task.last_end_s for task in step.tasks)
                self.last_active_s = max(self.last_active_s, step.opened_s, *ends)
        self.occurrences.mark_dropped(occurrence)

    @property
    def was_seen_running(self) -> bool:
        """Whether a report to this leader listed an attempt of the job."""
        return self.dropped_seen_running or any(task.seen_running for task in self.tasks())

    @property
    def is_live(self) -> bool:
        """Whether tasks of the job may still be started."""
        return not self.state.is_final and not self.cancel_requested

    def tasks(self) -> Iterator[TaskRun]:
        """Yields the tasks of the occurrences that exist."""
        for step in self.steps.values():
            yield from step.tasks

    def attempts(self) -> Iterator[Attempt]:
        """Yields all live attempts."""
        for task in self.tasks():
            yield from task.attempts

    def task(self, task_id: TaskId) -> TaskRun | None:
        """Returns a task by its id, if the job has it; see `find_step`."""
        step = self.find_step(task_id.occurrence, task_id.step)
        return step.task(task_id.index) if step is not None else None

    def find_step(self, occurrence: int, number: int) -> StepRun | None:
        """Returns a step, if the job has it; creates its occurrence if that doesn't exist.

        A worker or an earlier leader may name an occurrence that is to come by the clock of this
        instance, or one that has ended.
        """
        step = self.steps.get((occurrence, number))
        is_known = 0 <= occurrence < self.job.occurrences and 0 <= number < len(self.job.steps)
        if step is None and is_known:
            self.create_occurrence(occurrence)
            step = self.steps[(occurrence, number)]
        return step

    def remaining_path_ms(
        self, number: int, run_ms: Callable[[Step], float] = estimated_run_ms
    ) -> float:
        """Returns the run time of the longest chain of steps that begins with a step.

        Args:
            number: number of the step.
            run_ms: returns the run time of a task of a step, the submitted estimate by default.
        """
        return remaining_path_ms(self.job.steps, number, run_ms)

    def may_open(self, step: StepRun) -> bool:
        """Returns whether all steps that `step` depends on are done."""
        return all(self.steps[(step.occurrence, number)].is_done for number in step.spec.after)

    def opened_in_term(self, step: StepRun) -> bool:
        """Returns whether a step became ready under this leader.

        No earlier leader can have learned of the end of a task that it depends on.
        """
        return any(
            task.done_in_term
            for number in step.spec.after
            for task in self.steps[(step.occurrence, number)].tasks
        )

    def record_done(self, task: TaskRun) -> None:
        """Records that an attempt completed the task; the job is complete with its last task.

        The end of one member of a gang counts for all members.
        """
        for member in task.step.tasks if task.step.spec.gang else (task,):
            self.done_work += 0.0 if member.done else task.step.spec.work
            member.done = True
            member.own_checkpoint = ""
        task.step.gang_checkpoint = ""
        self.dirty = True
        if task.step.is_done:
            self.end_occurrence_if_done(task.step.occurrence)
        if not self.state.is_final and self.occurrences.have_all_ended:
            self.state = JobState.COMPLETED

    def record_failure(self, task: TaskRun, *, attempt: int, max_failures: int) -> None:
        """Records a failed attempt; `max_failures` of a task that is not long-running fail the job.

        The failed attempts of all members of a gang count together.
        """
        if attempt in task.failed_attempts:
            return
        task.failed_attempts.append(attempt)
        self.dirty = True
        if task.step.spec.long_running or task.done or self.state.is_final:
            return
        members = task.step.tasks if task.step.spec.gang else (task,)
        if len({number for member in members for number in member.failed_attempts}) >= max_failures:
            self.state = JobState.FAILED

    def give_up(self) -> None:
        """Fails the job because one of its tasks crashes the workers that start it."""
        if not self.state.is_final:
            self.state = JobState.FAILED
            self.dirty = True

    def cancel(self) -> None:
        """Cancels the job at a caller's request; a job that has ended stays as it is."""
        if self.state.is_final:
            return
        self.cancel_requested = True
        self.state = JobState.CANCELLED
        self.dirty = True
