"""A plan on a copy of the scheduler's state, which starts, stores and reserves nothing.

The copy shares what a plan only reads. What it changes is copied: the waiting steps with their
tasks and jobs, the loads, the workers that get a task, and the sums by account.
"""

import copy
from collections.abc import Callable
from operator import attrgetter
from typing import Any, TypeVar

import attrs

from fescuerudder.jobs.advice import AdviceCache
from fescuerudder.jobs.attemptstarter import AttemptStarter
from fescuerudder.jobs.candidates import Candidates
from fescuerudder.jobs.job import StepId
from fescuerudder.jobs.jobrun import Attempt, JobRun, StepRun, TaskRun
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.saturation import Saturation
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.shares import Ordered, ShareControl, Turns
from fescuerudder.jobs.shortage import ShortageLog
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.workerhealth import WorkerHealth
from fescuerudder.jobs.workerrecord import WorkerRecord

_T = TypeVar("_T")

ObserveStep = Callable[[StepRun, Saturation], None]
"""Called with a step before its tasks have their turn, and with what found no room until then."""


class _TrialAdvice:
    """Permits of the advice service; requests none."""

    def __init__(self, advice: AdviceCache) -> None:
        self._advice = advice

    def permit(self, step: StepId, record: WorkerRecord) -> str:
        """Returns the permit of a step on a worker, empty if there is none."""
        return self._advice.permit(step, record)

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Does nothing; a trial makes no queries."""


class _TrialHealth:
    """Health of the workers; records no starts."""

    def __init__(self, health: WorkerHealth) -> None:
        self._health = health

    def max_starts(self, worker: str) -> int | None:
        """Returns how many tasks may be started on a worker now, None if unlimited."""
        return self._health.max_starts(worker)

    def record_start(self, worker: str) -> None:
        """Does nothing; nothing starts in a trial."""


class _TrialShares(ShareControl):
    """Turns of a trial; keeps the order of the steps."""

    ordered: tuple[StepRun, ...] = ()

    def turns(self, ordered: Ordered, *args: Any, **kwargs: Any) -> Turns:
        """Returns the turns of the plan; see `ShareControl.turns`."""
        self.ordered = tuple(step for _, step in ordered)
        return super().turns(ordered, *args, **kwargs)


class _TrialStarter(AttemptStarter):
    """Begins attempts on copies of their workers; most workers get none and aren't copied."""

    def __init__(self, *, state: SchedulerState, leases: LeasePolicy) -> None:
        super().__init__(state=state, leases=leases)
        self._copied: dict[str, WorkerRecord] = {}

    def plan(
        self, task: TaskRun, record: WorkerRecord, now_s: float, *, number: int = 0
    ) -> Attempt:
        """Adds an attempt of a task on a copy of a worker; see `AttemptStarter.plan`."""
        return super().plan(task, self._copy_of(record), now_s, number=number)

    def _copy_of(self, record: WorkerRecord) -> WorkerRecord:
        copied = self._copied.get(record.id)
        if copied is None:
            copied = self._copied[record.id] = copy.copy(record)
            copied.attempts = dict(record.attempts)
            self._state.workers[record.id] = copied
            load = self._state._loads.get(record.id)
            if load is not None:
                load.record = copied
        return copied


class TrialPlanner(StartPlanner):
    """Plans on a copy of the state of another planner, with what that one remembers.

    Args:
        planner: the planner of the term.
        observe: called before each step's turn.
    """

    def __init__(self, *, planner: StartPlanner, observe: ObserveStep) -> None:
        state = copy_state(planner._state, planner)
        super().__init__(
            state=state,
            leases=planner._leases,
            starter=_TrialStarter(state=state, leases=planner._leases),
            urgency=planner._urgency_key,
        )
        self.state = state
        self._observe = observe
        self._margin_control = planner._margin_control
        self._shortage = copy.copy(planner._shortage)
        # A log of its own never shows a pool as short, as that takes time.
        self._shortage._shortage_log = ShortageLog()
        self._shares = _TrialShares(usage=state.usage, queues=state.queues)
        self._shares._short = set(planner._shares._short)
        self._shares._held = set(planner._shares._held)

    @property
    def ordered(self) -> tuple[StepRun, ...]:
        """Steps that waited in the plan, in their order."""
        return self._shares.ordered

    def _start_step(
        self,
        step: StepRun,
        tasks: list[TaskRun],
        candidates: Candidates,
        saturation: Saturation,
        now_s: float,
    ) -> None:
        self._observe(step, saturation)
        super()._start_step(step, tasks, candidates, saturation, now_s)

    def _log_last_resort(self, task: TaskRun, record: WorkerRecord) -> None:
        """Logs nothing, as nothing starts."""


def copy_state(state: SchedulerState, planner: StartPlanner) -> SchedulerState:
    """Returns a state on which a plan can be made without a change to the given one."""
    copied = copy.copy(state)
    copied.workers = dict(state.workers)
    copied._loads = {name: _copy_load(load) for name, load in state._loads.items()}
    copied.jobs, copied.queues = dict(state.jobs), dict(state.queues)
    copied.open_steps = dict.fromkeys(_copy_waiting(state, planner))
    copied.openable_jobs, copied.dirty_jobs = {}, {}
    copied.planned, copied.unrecorded_steps = {}, {}
    copied.recorded_steps, copied.obsolete_records = set(), {}
    copied.usage = state.usage.copy()
    copied.job_sizes = copy.deepcopy(state.job_sizes)
    copied.entitlements = copy.deepcopy(state.entitlements)
    copied.advice = _TrialAdvice(state.advice)
    copied.health = _TrialHealth(state.health)
    return copied


def _make_copier(cls: type[_T]) -> Callable[[_T], _T]:
    """Returns a function that copies instances of an attrs class, faster than `copy.copy`."""
    fields = attrs.fields(cls)
    names, values = [f.alias for f in fields], attrgetter(*(f.name for f in fields))
    return lambda given: cls(**dict(zip(names, values(given), strict=True)))


_clone_load = _make_copier(Load)
_clone_task = _make_copier(TaskRun)


def _copy_load(load: Load) -> Load:
    copied = _clone_load(load)
    if load.latency_critical:
        copied.latency_critical = [copy.copy(task) for task in load.latency_critical]
    return copied


def _copy_waiting(state: SchedulerState, planner: StartPlanner) -> list[StepRun]:
    """Returns copies of the open steps with tasks to start, with copies of their jobs."""
    runs: dict[JobRun, JobRun] = {}
    copies = []
    for step in state.open_steps:
        if not step.job.is_live or not planner.startable_tasks(step):
            continue
        run = runs.get(step.job)
        if run is None:
            run = runs[step.job] = copy.copy(step.job)
            run.steps = dict(run.steps)
        copied = copy.copy(step)
        copied.job = run
        copied.tasks = [_copy_task(task, copied) for task in step.tasks]
        run.steps[(step.occurrence, step.number)] = copied
        copies.append(copied)
    return copies


def _copy_task(task: TaskRun, step: StepRun) -> TaskRun:
    copied = _clone_task(task)
    copied.step, copied.attempts = step, list(task.attempts)
    copied.avoided_workers = set(task.avoided_workers)
    return copied
