"""Progress of the tasks of a step: attempts, failures, crashes and checkpoints."""

import enum
import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

from fescuerudder.jobs.job import Step, StepId, TaskId

if TYPE_CHECKING:
    from fescuerudder.jobs.jobrun import JobRun

FULL_SPEED = 100
"""Throttle, in percent, of an attempt that is not slowed down."""

MAX_COPIES = 2
"""Maximum number of live attempts of a speculative task."""

MAX_POSSIBLE_CRASHES = 4
"""Number of crashes, possible ones included, from which a task isn't started any more. The platform
allows five starts that crash their workers, of which one may go unnoticed: a start that is not
answered yet as another worker takes the address."""

MAX_ORDER_DELAY_S = 20.0
"""Time after which an unanswered order can't be carried out any more: it has been, or is lost."""

MAX_AVOIDED_WORKERS = 2
"""Number of avoided workers from which the task itself counts as the cause."""


UNKNOWN_NUMBER = 0
"""Number of an attempt of which only the task and the worker are known."""


class Phase(enum.Enum):
    """What is known about a live attempt."""

    PLANNED = "planned"  # the start order waits until its record is stored
    STARTING = "starting"  # the start order has not been answered yet
    UNCERTAIN = "uncertain"  # the start order got no answer, so the attempt may run
    RUNNING = "running"
    STOPPING = "stopping"  # a stop was sent; no report has listed the end yet


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """A live attempt of a task on a worker. Times are on this instance's clock, in seconds.

    Args:
        task: the task.
        worker: id of the worker.
        incarnation_ms: start time of the worker's incarnation for which it was planned, or on which
            a report listed it.
        number: number of the attempt.
        phase: what is known about it.
        token: fencing token of its start order.
        sent_s: when the start order was planned or, later, sent.
        confirmed_s: when the worker confirmed that it runs, None before.
        is_answered: the worker answered its start order or listed it, so the order can't be
            carried out later.
        late_until_s: when an order that an earlier leader knew to be late can no longer be carried
            out, None for any other order.
        reported: a report of the worker's current incarnation listed it.
        listed_s: when a report last listed it, None before.
        checkpoint: latest saved state that was reported.
        percent: progress of its work; see `RunningAttempt`.
        latency_ms: last reported tail latency, 0 if none.
        processors: cores in use in the last report, 0 if unknown.
        throttle: throttle that was ordered, in percent of its full speed; None if unknown, such as
            for an attempt that an earlier leader started.
        stop_sent_s: when a stop was last sent, None if none was.
        evicted: it is to be stopped so that its task can start elsewhere.
        leaves_healthy_worker: it is evicted for another reason than its worker, which its task
            does not avoid afterwards.
        is_released: it is a late start that does not bind its task any more; see `latestarts`.
        adopted: an earlier leader started it, so `sent_s` is not when it began.
        restored: it was restored from what an earlier leader stored; no report to this leader has
            listed it yet.
        is_last_resort: it was started on a worker that its task would otherwise not use, so it is
            not evicted from there.
        worker_in_doubt: its worker is silent, slow or stalled, so a copy of a speculative task may
            start.
    """

    task: "TaskRun"
    worker: str
    incarnation_ms: int = 0
    number: int
    phase: Phase
    token: int
    sent_s: float
    confirmed_s: float | None = None
    is_answered: bool = False
    late_until_s: float | None = None
    reported: bool = False
    listed_s: float | None = None
    checkpoint: str = ""
    percent: int = 0
    latency_ms: float = 0.0
    processors: float = 0.0
    throttle: int | None = FULL_SPEED
    stop_sent_s: float | None = None
    evicted: bool = False
    leaves_healthy_worker: bool = False
    is_released: bool = False
    adopted: bool = False
    restored: bool = False
    is_last_resort: bool = False
    worker_in_doubt: bool = False

    @property
    def order_ends_s(self) -> float:
        """When its start order can no longer be carried out, if it got no answer."""
        if self.late_until_s is not None:
            return self.late_until_s
        return self.sent_s + MAX_ORDER_DELAY_S

    @property
    def is_wanted(self) -> bool:
        """Whether it may start or go on, as far as its task and its gang are concerned."""
        step = self.task.step
        is_broken = self.number <= step.broken_attempt
        return not (self.evicted or is_broken or self.task.done) and step.job.is_live


@attrs.define(eq=False, kw_only=True)
class TaskRun:
    """One task of a step.

    Args:
        id: identity.
        step: the step it belongs to.
        done: an attempt has completed the task.
        failed_attempts: numbers of the attempts that failed. Each counts once, though a worker may
            report an end twice.
        crashed_attempts: numbers of the attempts that began on a worker and are suspected to have
            crashed it.
        possible_crashes: numbers of the other attempts that were lost with their worker, and that
            are not known to have begun there.
        lapsed_count: number of its attempts whose leases ended on workers that are still away, and
            may have crashed.
        own_checkpoint: state that it saved; not used for members of a gang.
        last_number: highest attempt number used so far.
        attempts: live attempts; more than one only for speculative steps.
        late_starts: attempts of start orders that a later incarnation of their worker may carry
            out; see `latestarts`.
        avoided_workers: ids of the workers on which it failed or made no progress.
        rate: progress, in percent per second, of the attempt that completed the task, None if
            unknown.
        done_by: id of the worker of that attempt, or empty.
        quiet_wait_since_s: since when it has waited for a worker on which nothing has begun lately,
            None if it does not.
        last_end_s: when an attempt of it last ended, on this instance's clock.
        last_worker: id of the worker of that attempt, or empty.
        last_ended: number of that attempt, 0 if none has ended.
        seen_running: a report to this leader listed an attempt, so the earlier leader had not found
            it ended, and had not started another one.
        done_in_term: an attempt completed the task of which no earlier leader can have learned.
    """

    id: TaskId
    step: "StepRun"
    done: bool = False
    failed_attempts: list[int] = attrs.Factory(list)
    crashed_attempts: list[int] = attrs.Factory(list)
    possible_crashes: list[int] = attrs.Factory(list)
    lapsed_count: int = 0
    own_checkpoint: str = ""
    last_number: int = 0
    attempts: list[Attempt] = attrs.Factory(list)
    late_starts: list[Attempt] = attrs.Factory(list)
    avoided_workers: set[str] = attrs.Factory(set)
    rate: float | None = None
    done_by: str = ""
    quiet_wait_since_s: float | None = None
    last_end_s: float = -math.inf
    last_worker: str = ""
    last_ended: int = 0
    seen_running: bool = False
    done_in_term: bool = False

    @property
    def checkpoint(self) -> str:
        """State to resume from, or empty; all members of a gang have the same."""
        return self.step.gang_checkpoint if self.step.spec.gang else self.own_checkpoint

    def save_checkpoint(self, checkpoint: str, *, attempt: int, has_ended: bool) -> None:
        """Records a state that an attempt saved.

        The state of any member is valid for its gang. The latest attempt counts, and in it a state
        listed with an end goes before one that was listed while the member ran.

        Args:
            checkpoint: the state; if empty, the one known so far stays.
            attempt: number of the attempt.
            has_ended: it was listed with the end of the attempt.
        """
        step = self.step
        if not checkpoint or self.done:
            return
        if not step.spec.gang:
            self.own_checkpoint = checkpoint
        elif attempt > step.checkpoint_attempt or (
            has_ended and attempt == step.checkpoint_attempt
        ):
            step.gang_checkpoint, step.checkpoint_attempt = checkpoint, attempt

    @property
    def is_likely_faulty(self) -> bool:
        """Whether it failed or made no progress on several workers, so they are not the cause."""
        return len(self.avoided_workers) >= MAX_AVOIDED_WORKERS

    @property
    def crash_count(self) -> int:
        """Number of crashes of workers that it may have caused."""
        return len(self.crashed_attempts) + len(self.possible_crashes)

    @property
    def is_held_back(self) -> bool:
        """Whether it isn't started any more, as it may have crashed too many workers.

        A task without any other suspicion may start again however many workers are away, as these
        are probably cut off.
        """
        possible = self.crash_count + self.lapsed_count
        return self.crash_count > 0 and possible >= MAX_POSSIBLE_CRASHES

    @property
    def is_startable(self) -> bool:
        """Whether an attempt may be started: the task is not done and has no live attempt.

        A copy of a speculative task may also run beside an attempt whose worker is in doubt, unless
        the task is suspected to crash its workers.
        """
        if self.done or self.is_held_back or self.step.job.is_isolated:
            return False
        if not self.attempts:
            return True
        is_copied = len(self.attempts) >= MAX_COPIES or self.step.spec.gang
        return (
            self.step.spec.speculative
            and not is_copied
            and not self.crash_count
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
        opened_s: when its tasks could first start, on this instance's clock, None before.
        gang_checkpoint: state from which all members of a gang resume, or empty.
        checkpoint_attempt: number of the attempt that saved it, 0 if unknown.
        broken_attempt: highest number of an attempt of a gang of which a member doesn't run any
            more, so the others can't work.
        done_first: number of tasks, from the first one on, that are known to be done.
    """

    job: "JobRun"
    occurrence: int
    number: int
    spec: Step
    tasks: list[TaskRun] = attrs.Factory(list)
    opened_s: float | None = None
    gang_checkpoint: str = ""
    checkpoint_attempt: int = 0
    broken_attempt: int = 0
    done_first: int = 0

    @property
    def id(self) -> StepId:
        """Its identity."""
        return StepId(self.job.job.id, self.occurrence, self.number)

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        # A task that is done stays so, so each is passed once.
        while self.done_first < len(self.tasks) and self.tasks[self.done_first].done:
            self.done_first += 1
        return self.done_first == len(self.tasks)

    def task(self, index: int) -> TaskRun | None:
        """Returns a task by its index, if the step has it."""
        return self.tasks[index] if 0 <= index < len(self.tasks) else None

    def recorded_attempts(self) -> Iterator[Attempt]:
        """Yields what a record of starts names of the tasks that are not done.

        These are the live attempts and the late starts.
        """
        for task in self.tasks:
            if not task.done:
                yield from task.attempts
                yield from task.late_starts

    def startable_tasks(self) -> list[TaskRun]:
        """Returns the tasks that may be started."""
        return [task for task in self.tasks if task.is_startable]


@attrs.frozen(kw_only=True)
class RecordedStart:
    """A live attempt that a stored record names.

    Args:
        task: its task.
        worker: id of its worker.
        incarnation_ms: start time of the worker's incarnation.
        number: number of the attempt.
    """

    task: TaskRun
    worker: str
    incarnation_ms: int
    number: int = UNKNOWN_NUMBER

    def covers(self, task: TaskRun) -> bool:
        """Returns whether a task of the same job may start on the worker without a record.

        These are the same task and the one with the same index in any other step of the
        occurrence, so the record also tells a successor of them. A step with more tasks begins
        again with the first index.
        """
        own = self.task.id
        is_same_index = task.id.index % len(self.task.step.tasks) == own.index
        return is_same_index and task.id.occurrence == own.occurrence
