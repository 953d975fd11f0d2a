"""What a leader would do with a job now: its place in the order, its workers, its expected start.

The job takes part in a trial plan (see `trialplan`), so all decisions are those of the planner.
"""

import itertools
import math
from collections import Counter
from collections.abc import Iterable

import attrs

from fescuerudder.jobs.candidates import may_use
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobplacement import (
    SHORT_TASK_SHARE,
    Demand,
    cost_criteria,
    fits,
    placement_cost,
    rank_workers,
)
from fescuerudder.jobs.jobrun import JobRun, StepRun
from fescuerudder.jobs.load import ROUNDING_TOLERANCE, Load
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.saturation import Saturation
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.trialplan import TrialPlanner
from fescuerudder.jobs.usableworkers import why_takes_no_work
from fescuerudder.jobs.waitreasons import WaitReason
from fescuerudder.jobs.workerrecord import WorkerRecord

MAX_CANDIDATES = 10
"""Number of workers that a preview names for a step; of the others it has the number."""

NOT_DUE = "not due yet"


@attrs.frozen(kw_only=True)
class Candidate:
    """A worker that could take the first task of a step.

    Args:
        worker: its id.
        criteria: what was weighed, in the order in which it counts; lower values are preferred.
        tasks: number of tasks of the step that would start there now.
    """

    worker: str
    criteria: dict[str, float]
    tasks: int = 0


@attrs.frozen(kw_only=True)
class WaitForecast:
    """Predicted wait of a step that finds no room.

    Args:
        wait_s: the wait in seconds; None if nothing that ends would make room, or if enough
            processors are free already, so that something else is missing or they are scattered.
        processors_ahead: processors of the waiting tasks that go first, and of the first own task.
        processors_free: processors that are free on the workers that the step may use.
        processors_ending: processors of the tasks that run there and end by themselves.
        run_s: mean expected run time of the tasks that wait, in seconds.
    """

    wait_s: float | None
    processors_ahead: float
    processors_free: float
    processors_ending: float
    run_s: float


@attrs.frozen(kw_only=True)
class StepPreview:
    """What would happen to a step without dependencies.

    Args:
        step: its number.
        tasks: number of its tasks.
        position: place in the order of the waiting steps, from 1; 0 if it is not in that order.
        waiting: number of steps in that order.
        starts: number of its tasks that would start now.
        reason: why its first task would wait, empty if it would start.
        candidates: the workers that could take its first task, the preferred ones first.
        candidate_count: number of all such workers.
        excluded: number of the other workers by reason.
        forecast: the predicted wait, None if it is not for room.
        due_s: time until it may start, in seconds; 0 unless the job is repeated.
    """

    step: int
    tasks: int
    position: int
    waiting: int
    starts: int
    reason: str
    candidates: tuple[Candidate, ...]
    candidate_count: int
    excluded: dict[str, int]
    forecast: WaitForecast | None = None
    due_s: float = 0.0


@attrs.frozen(kw_only=True)
class Preview:
    """What would happen to a job.

    Args:
        queue: name of its queue.
        pool: name of the pool.
        priority: priority of the queue.
        account: its account, empty for none.
        used: processors, memory in MB and accelerators that the account has.
        cap: the account's cap, 0 for no bound.
        steps: its steps without dependencies.
    """

    queue: str
    pool: str
    priority: int
    account: str
    used: tuple[float, float, float]
    cap: tuple[float, float, float]
    steps: tuple[StepPreview, ...]


@attrs.frozen(kw_only=True)
class _View:
    """Workers for the first task of a step, when the step had its turn.

    Args:
        candidates: the preferred ones of those that could take it.
        count: number of those that could take it.
        excluded: number of the others by reason.
        usable: loads of those that the step may use, with room or not.
    """

    candidates: tuple[Candidate, ...]
    count: int
    excluded: dict[str, int]
    usable: list[Load]


def preview_job(
    *, state: SchedulerState, planner: StartPlanner, job: Job, now_s: float, wall_ms: float
) -> Preview:
    """Returns what would happen to a job; changes nothing.

    Args:
        state: state of the term.
        planner: planner of the term.
        job: the job; its id must not be that of a known job.
        now_s: the time, on this instance's clock.
        wall_ms: Unix time in milliseconds.

    Raises:
        LookupError: the leader doesn't know the job's queue.
    """
    queue = state.queues.get(job.queue)
    if queue is None:
        raise LookupError(f"the leader knows no queue {job.queue!r}")
    figures = state.usage.figures(job.account)
    trial = _Trial(planner=planner, job=job, queue=queue, now_s=now_s)
    trial.planner.plan(now_s=now_s, wall_ms=wall_ms)
    return Preview(
        queue=queue.name,
        pool=queue.pool,
        priority=queue.priority,
        account=job.account,
        used=tuple(figures["used"]),
        cap=tuple(figures["cap"]),
        steps=tuple(trial.describe(step, wall_ms) for step in trial.first_steps()),
    )


class _Trial:
    """A trial plan with a new job.

    Args:
        planner: planner of the term.
        job: the job.
        queue: its queue.
        now_s: the time.
    """

    def __init__(self, *, planner: StartPlanner, job: Job, queue: Queue, now_s: float) -> None:
        self.planner = TrialPlanner(planner=planner, observe=self._observe)
        self._state = self.planner.state
        self._queue = queue
        self._now_s = now_s
        self._views: dict[StepRun, _View] = {}
        version = self._state.term.claim_version + 1
        self._run = JobRun.create(job=job, version=version, received_s=now_s)
        self._state.add_job(self._run)

    def first_steps(self) -> list[StepRun]:
        """Returns the steps of the first occurrence without dependencies."""
        numbers = range(len(self._run.job.steps))
        steps = (self._run.find_step(0, number) for number in numbers)
        return [step for step in steps if step is not None and not step.spec.after]

    def describe(self, step: StepRun, wall_ms: float) -> StepPreview:
        """Returns what the plan did with a step."""
        view = self._views.get(step)
        if view is None:
            view = self._view(step, room_is_scarce=False)
        started = Counter(a.worker for task in step.tasks for a in task.attempts)
        ordered = self.planner.ordered
        repetition = self._run.job.repetition
        due_s = max(0.0, (repetition.due_ms(0) - wall_ms) / 1000) if repetition is not None else 0.0
        reason = "" if started else self._reason(step, view)
        return StepPreview(
            step=step.number,
            tasks=len(step.tasks),
            position=ordered.index(step) + 1 if step in ordered else 0,
            waiting=len(ordered),
            starts=started.total(),
            reason=reason,
            candidates=tuple(attrs.evolve(c, tasks=started[c.worker]) for c in view.candidates),
            candidate_count=view.count,
            excluded=view.excluded,
            forecast=self._forecast(step, view) if reason == WaitReason.NO_ROOM.value else None,
            due_s=due_s,
        )

    def _observe(self, step: StepRun, saturation: Saturation) -> None:
        if step.job is self._run and step not in self._views:
            is_scarce = saturation.is_scarce(self._queue.pool)
            self._views[step] = self._view(step, room_is_scarce=is_scarce)

    def _view(self, step: StepRun, *, room_is_scarce: bool) -> _View:
        demand = self.planner._demand(step, 1, self._queue, self._now_s)
        demand = attrs.evolve(demand, room_is_scarce=room_is_scarce)
        if step.spec.long_running:
            demand = attrs.evolve(demand, free_share=SHORT_TASK_SHARE)
        excluded: Counter[str] = Counter()
        usable: list[Load] = []
        for record in self._state.workers.values():
            reason = self._unusable(step, record)
            if reason:
                excluded[reason] += 1
            else:
                usable.append(self._state.load_of(record, now_s=self._now_s))
        ranked = rank_workers(demand, usable)
        if not ranked and demand.free_share:
            # The planner lets long-running tasks use that share if nothing else is left.
            demand = attrs.evolve(demand, free_share=0.0)
            ranked = rank_workers(demand, usable)
        able = {load.record.id for load in ranked}
        lacking = [load for load in usable if load.record.id not in able]
        excluded.update(_lacking(demand, load) for load in lacking)
        names = cost_criteria(demand)
        candidates = tuple(
            Candidate(
                worker=load.record.id,
                criteria=dict(zip(names, placement_cost(demand, load) or (), strict=True)),
            )
            for load in ranked[:MAX_CANDIDATES]
        )
        return _View(
            candidates=candidates, count=len(ranked), excluded=dict(excluded), usable=usable
        )

    def _unusable(self, step: StepRun, record: WorkerRecord) -> str:
        """Returns why a step can't use a worker, whatever room there is; empty if it can."""
        if record.info.pool != self._queue.pool:
            return "other pool"
        if not may_use(record, step.spec, self._queue):
            return f"without label {step.spec.required_label!r}"
        if reason := why_takes_no_work(self._state, record, self._now_s):
            return reason
        if self._queue.advice is not None and not self._state.advice.permit(step.id, record):
            return "no permit of the advice service"
        return ""

    def _reason(self, step: StepRun, view: _View) -> str:
        """Returns why no task of a step starts."""
        if step.opened_s is None:
            return NOT_DUE
        if self.planner.is_store_out(self._now_s):
            return WaitReason.STORE_OUT.value
        if not self._state.usage.may_start(step):
            return WaitReason.AT_CAP.value
        if not view.usable:
            return WaitReason.NO_WORKER.value
        needed = len(step.tasks) if step.spec.gang else 1
        return WaitReason.NO_ROOM.value if view.count < needed else WaitReason.OTHER.value

    def _forecast(self, step: StepRun, view: _View) -> WaitForecast:
        """Predicts when the tasks that go first and the first own one have found room."""
        loads = [load for load in view.usable if _is_large_enough(load.record, step.spec)]
        ends = self._running_ends(load.record for load in loads)
        waiting = list(self._waiting_before(step))
        ahead = sum(count * spec.size.processors for spec, count in waiting)
        unit = len(step.tasks) if step.spec.gang else 1
        ahead += unit * step.spec.size.processors
        runs_s = [(self._expected_s(spec), count) for spec, count in [*waiting, (step.spec, unit)]]
        tasks = sum(count for _, count in runs_s)
        run_s = sum(seconds * count for seconds, count in runs_s) / max(1, tasks)
        free = sum(max(0.0, load.processors) for load in loads)
        return WaitForecast(
            wait_s=predict_wait_s(ends, needed=ahead - free, run_s=run_s),
            processors_ahead=round(ahead, 3),
            processors_free=round(free, 3),
            processors_ending=round(sum(processors for _, processors in ends), 3),
            run_s=round(run_s, 3),
        )

    def _waiting_before(self, step: StepRun) -> Iterable[tuple[Step, int]]:
        """Yields the specs of the steps before a step that need room in its pool, with counts."""
        for other in itertools.takewhile(lambda s: s is not step, self.planner.ordered):
            queue = self._state.queues.get(other.job.job.queue)
            if queue is not None and queue.pool == self._queue.pool and not other.spec.best_effort:
                count = sum(1 for task in other.tasks if not task.attempts and not task.done)
                if count:
                    yield other.spec, count

    def _running_ends(self, records: Iterable[WorkerRecord]) -> list[tuple[float, float]]:
        """Returns when the tasks that end by themselves are expected to, and their processors.

        Of those that run for longer than expected, nothing is known but that they end; their ends
        are spread evenly over the run time that was expected.
        """
        ends: list[tuple[float, float]] = []
        overdue: list[tuple[float, float]] = []
        expected_s: dict[StepRun, float] = {}
        for record in records:
            for attempt in record.attempts.values():
                step = attempt.task.step
                if step.spec.long_running or step.spec.best_effort:
                    continue
                run_s = expected_s.get(step)
                if run_s is None:
                    run_s = expected_s[step] = self._expected_s(step.spec, step.job.job.queue)
                began_s = attempt.confirmed_s if attempt.confirmed_s is not None else attempt.sent_s
                left_s = began_s + run_s - self._now_s
                found, seconds = (ends, left_s) if left_s > 0.0 else (overdue, run_s)
                found.append((seconds, step.spec.size.processors))
        spread = len(overdue) + 1
        ends += [(run_s * n / spread, cores) for n, (run_s, cores) in enumerate(overdue, start=1)]
        return ends

    def _expected_s(self, spec: Step, queue: str = "") -> float:
        return self._state.run_times.expected_s(queue or self._queue.name, spec)


def predict_wait_s(ends: list[tuple[float, float]], *, needed: float, run_s: float) -> float | None:
    """Returns when enough processors have become free, in seconds; None if it can't be said.

    Once all that runs has ended, the tasks that went first end in turn.

    Args:
        ends: for each running task the time until its end, in seconds, and its processors.
        needed: processors that must become free.
        run_s: mean run time of the tasks that go first, in seconds.
    """
    ending = sum(processors for _, processors in ends)
    if ending <= 0.0 or needed <= 0.0:
        return None
    rounds = math.ceil(needed / ending) - 1
    left, wait_s = needed - rounds * ending, 0.0
    for end_s, processors in sorted(ends):
        wait_s = end_s
        left -= processors
        if left <= 0.0:
            break
    return round(wait_s + rounds * run_s, 3)


def _is_large_enough(record: WorkerRecord, step: Step) -> bool:
    """Returns whether a task of a step would fit on a worker on which nothing else runs."""
    capacity, size = record.info.capacity, step.size
    return step.best_effort or (
        size.processors <= capacity.processors + ROUNDING_TOLERANCE
        and size.memory_mb <= capacity.memory_mb
        and size.accelerators <= capacity.accelerators
    )


def _lacking(demand: Demand, load: Load) -> str:
    """Returns what a worker lacks that takes work and can't take a task."""
    if not _is_large_enough(load.record, demand.step):
        return "too small"
    if load.is_closed:
        return "capacity not known"
    if load.starts_left == 0:
        return "no further start now"
    if fits(demand, load):
        return "enough tasks of the step"
    size = demand.step.size
    if not demand.step.best_effort and size.processors > load.processors:
        return "too few processors free"
    if size.memory_mb > load.memory_mb:
        return "too little memory free"
    if size.accelerators > load.accelerators:
        return "too few accelerators free"
    return "too little headroom or room to spare"
