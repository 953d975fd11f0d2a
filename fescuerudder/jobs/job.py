"""Jobs as callers submit them: steps with dependencies, each of several identical tasks."""

from typing import NamedTuple

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.manifest import Queue


class TaskId(NamedTuple):
    """Identity of one task of a job.

    Args:
        job: id of the job.
        occurrence: repetition of the job, from 0.
        step: number of the step, from 0.
        index: number of the task in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int


class StepId(NamedTuple):
    """Identity of one step of a job.

    Args:
        job: id of the job.
        occurrence: repetition of the job, from 0.
        step: number of the step, from 0.
    """

    job: str
    occurrence: int
    step: int


@attrs.frozen(kw_only=True)
class Step:
    """Identical tasks that may run once other steps are done.

    Args:
        count: number of tasks.
        size: resources of each task.
        estimated_ms: rough run time of a task.
        after: numbers of the steps that must be done first.
        gang: the tasks start and end together.
        same_rack: a gang over several racks runs slower by the deployment's remote factor.
        required_label: label that the worker must have, or empty.
        data_rack: rack that holds the data; tasks run slower elsewhere. Empty if no rack is
            preferred.
        max_per_worker: maximum number of tasks of the step on one worker, 0 for no limit.
        speculative: copies of a task may run at the same time.
        checkpoints: tasks save their progress.
        long_running: tasks run until the job is cancelled and are restarted when they end.
        image: what the tasks run; tasks of one image behave alike.
        latency_target_ms: upper bound on the tail latency of a long-running task, 0 for none.
        best_effort: the processors are not reserved; tasks use what others leave.
        max_unavailable: maximum number of tasks of the step that the scheduler may keep from
            running at a time, None for no limit.
    """

    count: int
    size: Size
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    checkpoints: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int | None = None

    @property
    def work(self) -> float:
        """Estimated work of a task, in core seconds."""
        return self.size.processors * self.estimated_ms / 1000


@attrs.frozen(kw_only=True)
class Repetition:
    """Schedule of a repeated job.

    Args:
        times: number of occurrences.
        first_ms: Unix time of the first occurrence, in milliseconds.
        interval_ms: time between two occurrences, in milliseconds.
    """

    times: int
    first_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix time in milliseconds at which `occurrence` may start."""
        return self.first_ms + occurrence * self.interval_ms


@attrs.frozen(kw_only=True)
class Job:
    """A submitted job.

    Args:
        id: chosen by the caller; a repeated submission has the same one.
        queue: name of the queue it was submitted to.
        payload: input of all tasks.
        steps: its steps.
        repetition: schedule of a repeated job, None for a job that runs once and at once.
        submitted_ms: Unix time at which an instance accepted it, in milliseconds, 0 if unknown.
        account: name of the account that submitted it, empty if none did.
        accepted_queue: its queue as it was then, for leaders that come after the queue is removed;
            None if an instance of an earlier version accepted it.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None
    submitted_ms: int = 0
    accepted_queue: Queue | None = None
    account: str = ""

    @property
    def occurrences(self) -> int:
        """Number of times the steps run."""
        return self.repetition.times if self.repetition else 1

    @property
    def occurrence_work(self) -> float:
        """Estimated work of all tasks of one occurrence, in core seconds."""
        work = 0.0
        for step in self.steps:
            work += step.count * step.work
        return work
