"""Progress of a job: which tasks are done, which attempts are live, what may start next."""

import enum
import math
from collections.abc import Iterator

import attrs

from fescuerudder.jobs.job import Job, Step, StepId, TaskId

FULL_SPEED = 100
"""Throttle, in percent, of an attempt that works at its own speed."""


MAX_COPIES = 2
"""Live attempts of a speculative task, at most."""


MAX_AVOIDED_WORKERS = 2
"""Workers that a task gives up before the task itself counts as the cause."""


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


class Phase(enum.Enum):
    """What is known of a live attempt."""

    STARTING = "starting"  # the order is under way
    UNCERTAIN = "uncertain"  # the order got no answer
    RUNNING = "running"
    STOPPING = "stopping"  # it was told to stop, its end is not listed yet


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """A live attempt of a task on a worker. Times are on this instance's clock, in seconds.

    Args:
        task: the task.
        worker: id of the worker.
        number: number of the attempt.
        phase: what is known of it.
        token: fencing token of its start order.
        sent_s: when the order was sent.
        confirmed_s: when the worker confirmed that it runs, None before.
        reported: a report of the worker's present life listed it.
        checkpoint: latest saved state known.
        percent: progress of its work, see `RunningAttempt`.
        latency_ms: last reported tail latency, 0 if none.
        processors: cores that it was last seen to use, 0 if unknown.
        throttle: share of its speed at which it was told to work, in percent; None if an
            earlier leader may have told it.
        stop_sent_s: when a stop was last sent.
        evicted: it is to be stopped and started elsewhere.
        evicted_for_throttle: it is because it was throttled; its worker does well.
        from_roster: an earlier leader started it on a worker that has been silent since.
        worker_in_doubt: its worker is silent, slow or stands still; a copy may start.
    """

    task: "TaskRun"
    worker: str
    number: int
    phase: Phase
    token: int
    sent_s: float
    confirmed_s: float | None = None
    reported: bool = False
    checkpoint: str = ""
    percent: int = 0
    latency_ms: float = 0.0
    processors: float = 0.0
    throttle: int | None = FULL_SPEED
    stop_sent_s: float | None = None
    evicted: bool = False
    evicted_for_throttle: bool = False
    from_roster: bool = False
    worker_in_doubt: bool = False


@attrs.define(eq=False, kw_only=True)
class TaskRun:
    """One task of a step.

    Args:
        id: identity.
        step: the step it belongs to.
        done: an attempt ended as done.
        failed_attempts: numbers of the attempts that failed; a worker may report an end twice.
        checkpoint: state to resume from.
        last_number: highest attempt number used so far.
        attempts: live attempts; more than one only for speculative steps.
        avoided_workers: workers on which it failed or got nowhere.
        rate: progress in percent a second of the attempt that ended as done.
        done_by: worker of that attempt.
        last_end_s: when an attempt of it last ended, on this instance's clock.
    """

    id: TaskId
    step: "StepRun"
    done: bool = False
    failed_attempts: list[int] = attrs.Factory(list)
    checkpoint: str = ""
    last_number: int = 0
    attempts: list[Attempt] = attrs.Factory(list)
    avoided_workers: set[str] = attrs.Factory(set)
    rate: float | None = None
    done_by: str = ""
    last_end_s: float = -math.inf

    @property
    def is_likely_faulty(self) -> bool:
        """Whether it got nowhere on several workers, so that they are not the cause."""
        return len(self.avoided_workers) >= MAX_AVOIDED_WORKERS

    @property
    def is_startable(self) -> bool:
        """Whether it may be started: not done, and nothing of it may run anywhere.

        A speculative task may be started beside an attempt whose worker is in doubt.
        """
        if self.done or not self.attempts:
            return not self.done
        is_copied = len(self.attempts) >= MAX_COPIES or self.step.spec.gang
        return (
            self.step.spec.speculative
            and not is_copied
            and all(a.worker_in_doubt for a in self.attempts)
        )


@attrs.define(eq=False, kw_only=True)
class StepRun:
    """One step in one occurrence of a job.

    Args:
        job: the job.
        occurrence: repetition, from 0.
        number: number of the step, from 0.
        spec: the step as submitted.
        tasks: its tasks.
        opened_s: when its tasks could first start, None before.
    """

    job: "JobRun"
    occurrence: int
    number: int
    spec: Step
    tasks: list[TaskRun] = attrs.Factory(list)
    opened_s: float | None = None

    @property
    def id(self) -> StepId:
        """Its identity."""
        return StepId(self.job.job.id, self.occurrence, self.number)

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.done for task in self.tasks)

    def startable_tasks(self) -> list[TaskRun]:
        """Returns the tasks that may be started."""
        return [task for task in self.tasks if task.is_startable]


@attrs.define(eq=False, kw_only=True)
class JobRun:
    """A job and its progress.

    Args:
        job: the job as submitted.
        version: version of its row in the store.
        received_s: when this instance learned of it, on its clock.
        state: state of its progress; callers see it once it is stored.
        begun: a task was seen to run at some time.
        cancel_requested: a caller asked for its cancellation.
        critical_path_ms: estimated work on the longest chain of steps, in milliseconds.
        work: estimated work of all tasks, in core seconds.
        done_work: the same of the tasks that are done.
        steps: the steps of all occurrences.
        dirty: its progress differs from what is stored.
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
    steps: dict[tuple[int, int], StepRun] = attrs.Factory(dict)
    dirty: bool = False

    @classmethod
    def create(cls, *, job: Job, version: int, received_s: float) -> "JobRun":
        """Returns a job none of whose tasks has started."""
        critical_path_ms = _critical_path_ms(job)
        run = cls(
            job=job, version=version, received_s=received_s, critical_path_ms=critical_path_ms
        )
        for occurrence in range(job.occurrences):
            for number, spec in enumerate(job.steps):
                step = StepRun(job=run, occurrence=occurrence, number=number, spec=spec)
                step.tasks = [
                    TaskRun(id=TaskId(job.id, occurrence, number, index), step=step)
                    for index in range(spec.count)
                ]
                run.steps[(occurrence, number)] = step
                run.work += spec.count * spec.work
        return run

    @property
    def is_live(self) -> bool:
        """Whether tasks of the job may still be started."""
        return not self.state.is_final and not self.cancel_requested

    def tasks(self) -> Iterator[TaskRun]:
        """Yields all tasks."""
        for step in self.steps.values():
            yield from step.tasks

    def attempts(self) -> Iterator[Attempt]:
        """Yields all live attempts."""
        for task in self.tasks():
            yield from task.attempts

    def task(self, task_id: TaskId) -> TaskRun | None:
        """Returns a task by its id, if the job has it."""
        step = self.steps.get((task_id.occurrence, task_id.step))
        if step is None or not 0 <= task_id.index < len(step.tasks):
            return None
        return step.tasks[task_id.index]

    def remaining_path_ms(self, number: int) -> int:
        """Returns the estimated work on the longest chain that begins with a step."""
        steps = self.job.steps
        after = [k for k in range(number + 1, len(steps)) if number in steps[k].after]
        return steps[number].estimated_ms + max(map(self.remaining_path_ms, after), default=0)

    def may_open(self, step: StepRun) -> bool:
        """Returns whether all steps that `step` depends on are done."""
        return all(self.steps[(step.occurrence, number)].is_done for number in step.spec.after)

    def record_done(self, task: TaskRun) -> None:
        """Notes that an attempt of the task ended as done; completes the job with the last one.

        One such end stands for all members of a gang.
        """
        for member in task.step.tasks if task.step.spec.gang else (task,):
            self.done_work += 0.0 if member.done else task.step.spec.work
            member.done = True
            member.checkpoint = ""
        self.dirty = True
        if not self.state.is_final and all(step.is_done for step in self.steps.values()):
            self.state = JobState.COMPLETED

    def record_failure(self, task: TaskRun, *, attempt: int, max_failures: int) -> None:
        """Notes a failed attempt; the job fails with `max_failures` of a task that must end.

        The failures of all members of a gang count together.
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

    def cancel(self) -> None:
        """Notes a caller's cancellation; a job that has ended stays as it is."""
        if self.state.is_final:
            return
        self.cancel_requested = True
        self.state = JobState.CANCELLED
        self.dirty = True


def _critical_path_ms(job: Job) -> int:
    """Returns the estimated work on the longest chain of steps; steps follow earlier ones."""
    ends: list[int] = []
    for step in job.steps:
        begins = max((ends[number] for number in step.after if number < len(ends)), default=0)
        ends.append(begins + step.estimated_ms)
    return max(ends, default=0)
