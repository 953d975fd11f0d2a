"""Plans which tasks start where."""

from collections import Counter

import attrs
import structlog

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobplacement import Demand, choose, choose_lasting, placed_headroom, rank
from fescuerudder.jobs.jobrun import Attempt, JobRun, Phase, StepRun, TaskRun
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.manifest import AdvicePolicy, Queue
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.urgency import objective_s, urgency
from fescuerudder.jobs.workerport import StartOrder
from fescuerudder.jobs.workerrecord import WorkerRecord

LAST_RESORT_S = 2.0
"""Time for which a long-running task waits for other workers before it takes one that was set aside
or that it failed on."""

_log = structlog.get_logger(__name__)


class StartPlanner:
    """Matches startable tasks with workers.

    Args:
        state: the leader's picture.
        leases: length of the leases.
    """

    def __init__(self, *, state: SchedulerState, leases: LeasePolicy) -> None:
        self._state = state
        self._leases = leases

    def plan(self, *, now_s: float, wall_ms: float) -> list[StartOrder]:
        """Returns the orders for everything that can start now, and notes their attempts."""
        self._open_steps(now_s=now_s, wall_ms=wall_ms)
        steps = [step for step in self._state.open_steps if self._may_start(step)]
        if not steps:
            return []
        state = self._state
        loads = self.loads(now_s)
        suspects = [
            state.load_of(record, now_s=now_s)
            for record in state.workers.values()
            if self._is_usable(record, now_s) and not self._is_trusted(record)
        ]
        orders: list[StartOrder] = []
        demands = _image_demands(steps)
        for step in sorted(steps, key=lambda s: (*self._urgency(s, now_s), *_grouping(s, demands))):
            orders += self._start_step(step, loads, now_s)
            if step.spec.long_running:
                orders += self._start_overdue(step, loads, suspects, now_s)
        return orders

    def loads(self, now_s: float) -> list[Load]:
        """Returns the loads of the workers that may get tasks now."""
        records = self._state.workers.values()
        return [
            self._load_of(record, now_s) for record in records if self.takes_work(record, now_s)
        ]

    def _load_of(self, record: WorkerRecord, now_s: float) -> Load:
        load = self._state.load_of(record, now_s=now_s)
        load.starts_left = self._state.health.most_starts(record.id)
        return load

    def _open_steps(self, *, now_s: float, wall_ms: float) -> None:
        state = self._state
        state.close_steps([s for s in state.open_steps if s.is_done or not s.job.is_live])
        for run in list(state.openable_jobs):
            waits = run.is_live and self._open_steps_of(run, now_s, wall_ms)
            if not waits:
                del state.openable_jobs[run]

    def _open_steps_of(self, run: JobRun, now_s: float, wall_ms: float) -> bool:
        """Opens the steps of a job whose turn has come; returns whether one waits for its time."""
        repetition, waits = run.job.repetition, False
        for step in run.steps.values():
            if step.opened_s is not None or not run.may_open(step):
                continue
            if repetition is not None and repetition.due_ms(step.occurrence) > wall_ms:
                waits = True
                continue
            step.opened_s = now_s
            self._state.open_steps[step] = None
        return waits

    def _may_start(self, step: StepRun) -> bool:
        """Returns whether nothing of the step's startable tasks can be running unseen."""
        term = self._state.term
        return step.job.version > term.claim_version or not self._state.unresolved_workers()

    def takes_work(self, record: WorkerRecord, now_s: float) -> bool:
        """Returns whether a worker may get tasks now."""
        return self._is_trusted(record) and self._is_usable(record, now_s)

    def _is_trusted(self, record: WorkerRecord) -> bool:
        """Returns whether a worker does well, or is due for a probe."""
        return self._state.health.most_starts(record.id) != 0

    def _is_usable(self, record: WorkerRecord, now_s: float) -> bool:
        """Returns whether a worker could take tasks, however it does."""
        return (
            record.listed
            and record.on_roster
            and not record.gone
            and record.resolved
            and not record.info.draining
            and not record.is_silent
            and record.info.zone not in self._state.zones_out
            and now_s >= record.no_starts_until_s
        )

    def _queue(self, step: StepRun) -> Queue | None:
        return self._state.queues.get(step.job.job.queue)

    def _urgency(self, step: StepRun, now_s: float) -> tuple[float, ...]:
        return urgency(step, self._queue(step), self._state.job_sizes, now_s)

    def _start_step(self, step: StepRun, loads: list[Load], now_s: float) -> list[StartOrder]:
        tasks = [task for task in step.startable_tasks() if self._is_free(task)]
        queue = self._queue(step)
        if not tasks or queue is None:
            return []
        eligible = [load for load in loads if _is_eligible(load, step.spec, queue)]
        waited_share = (now_s - step.job.received_s) / max(objective_s(step.job, queue), 1e-3)
        demand = Demand(
            step=step.spec,
            count=len(tasks),
            taken=Counter(a.worker for task in step.tasks for a in task.attempts),
            headroom=placed_headroom(waited_share=waited_share),
        )
        if queue.advice is not None:
            eligible = self._keep_permitted(step, queue.advice, eligible, demand)
        if step.spec.gang:
            return self._start_gang(step, tasks, eligible, demand, now_s)
        orders: list[StartOrder] = []
        for avoided, group in _by_avoided(tasks).items():
            # A task that failed everywhere may try again anywhere.
            loads = [load for load in eligible if load.record.id not in avoided] or eligible
            choice = choose_lasting if step.spec.long_running else choose
            chosen = choice(attrs.evolve(demand, count=len(group)), loads)
            orders += [
                self._start(task, load.record, now_s)
                for task, load in zip(group, chosen, strict=False)
            ]
        return orders

    def _keep_permitted(
        self, step: StepRun, policy: AdvicePolicy, eligible: list[Load], demand: Demand
    ) -> list[Load]:
        """Returns the workers with a permit; asks for further ones if the tasks need them."""
        advice = self._state.advice
        permitted = [load for load in eligible if advice.permit(step.id, load.record)]
        trial = attrs.evolve(demand, taken=Counter(demand.taken))
        placed = choose(trial, [load.copy() for load in permitted])
        if len(placed) < demand.count:
            others = [load for load in eligible if load not in permitted]
            advice.request(step.id, policy, rank(demand, others), count=demand.count - len(placed))
        return permitted

    def _start_overdue(
        self, step: StepRun, loads: list[Load], suspects: list[Load], now_s: float
    ) -> list[StartOrder]:
        """Starts long-running tasks that found no room on sound workers that they don't avoid.

        On a worker that they failed on, or one that was set aside, they may fail again, but
        elsewhere they would not run at all.
        """
        opened_s = step.opened_s or now_s
        tasks = [
            task
            for task in step.startable_tasks()
            if self._is_free(task) and now_s - max(opened_s, task.last_end_s) >= LAST_RESORT_S
        ]
        queue = self._queue(step)
        if not tasks or queue is None or step.spec.gang:
            return []
        demand = Demand(
            step=step.spec,
            count=len(tasks),
            taken=Counter(a.worker for task in step.tasks for a in task.attempts),
        )
        chosen = choose_lasting(demand, self._eligible_now(step, queue, loads))
        others = self._eligible_now(step, queue, suspects)
        for load in others:
            load.starts_left = None
        chosen += choose(attrs.evolve(demand, count=len(tasks) - len(chosen)), others)
        return [
            self._start(task, load.record, now_s) for task, load in zip(tasks, chosen, strict=False)
        ]

    def _eligible_now(self, step: StepRun, queue: Queue, loads: list[Load]) -> list[Load]:
        """Returns the workers that a step may use, with a permit if its queue needs one."""
        advice = self._state.advice
        return [
            load
            for load in loads
            if _is_eligible(load, step.spec, queue)
            and (queue.advice is None or advice.permit(step.id, load.record))
        ]

    def _is_free(self, task: TaskRun) -> bool:
        """Returns whether no later leader can know more of the task's earlier attempts.

        It might have seen one of them end as done, or have renewed a lease that looks ended here.
        """
        return task.last_end_s <= self._leases.confirmed_s()

    def _start_gang(
        self,
        step: StepRun,
        tasks: list[TaskRun],
        eligible: list[Load],
        demand: Demand,
        now_s: float,
    ) -> list[StartOrder]:
        """Starts all members at once, with one attempt number, or none."""
        if len(tasks) < len(step.tasks):
            return []
        chosen = _choose_gang(demand, eligible)
        if len(chosen) < len(tasks):
            return []
        number = max(self._next_number(task) for task in tasks)
        return [
            self._start(task, load.record, now_s, number=number)
            for task, load in zip(tasks, chosen, strict=True)
        ]

    def _next_number(self, task: TaskRun) -> int:
        return max(task.last_number + 1, self._state.term.first_attempt)

    def _start(
        self, task: TaskRun, record: WorkerRecord, now_s: float, *, number: int = 0
    ) -> StartOrder:
        attempt = Attempt(
            task=task,
            worker=record.id,
            number=number or self._next_number(task),
            phase=Phase.STARTING,
            token=record.token,
            sent_s=now_s,
            checkpoint=task.checkpoint,
        )
        self._state.add_attempt(attempt)
        self._state.health.note_start(record.id)
        run = task.step.job
        _log.info(
            "start ordered",
            job=task.id.job,
            task=task.id[1:],
            attempt=attempt.number,
            worker=record.id,
            token=attempt.token,
            checkpoint=task.checkpoint,
        )
        return StartOrder(
            worker=record.id,
            address=record.info.address,
            task=task.id,
            attempt=attempt.number,
            payload=run.job.payload,
            lease_until_ms=record.extend_lease_ms(
                now_s=now_s, lease_s=self._leases.length_s(now_s)
            ),
            token=record.token,
            checkpoint=task.checkpoint,
            permit=self._state.advice.permit(task.step.id, record),
        )


def _image_demands(steps: list[StepRun]) -> dict[str, float]:
    """Returns the processors that the startable tasks of each guarded image reserve."""
    demands: Counter[str] = Counter()
    for step in steps:
        if step.spec.latency_target_ms:
            demands[step.spec.image] += step.spec.size.processors * len(step.startable_tasks())
    return demands


def _grouping(step: StepRun, demands: dict[str, float]) -> tuple[float, str, int]:
    """Returns an order that brings guarded tasks of one image together, the largest first.

    Steps that must spread over many workers go before the others of their image.
    """
    spec = step.spec
    if not spec.latency_target_ms:
        return (0.0, "", 0)
    return (-demands[spec.image], spec.image, spec.max_per_worker or spec.count)


def _by_avoided(tasks: list[TaskRun]) -> dict[frozenset[str], list[TaskRun]]:
    """Groups tasks by the workers that they must not or should not use."""
    groups: dict[frozenset[str], list[TaskRun]] = {}
    for task in tasks:
        avoided = frozenset(task.avoided_workers | {attempt.worker for attempt in task.attempts})
        groups.setdefault(avoided, []).append(task)
    return groups


def _is_eligible(load: Load, step: Step, queue: Queue) -> bool:
    info = load.record.info
    return info.pool == queue.pool and (
        not step.required_label or step.required_label in info.labels
    )


def _choose_gang(demand: Demand, eligible: list[Load]) -> list[Load]:
    """Returns workers for all members, of one rack if the step asks for it and one has room."""
    racks: dict[str, list[Load]] = {}
    for load in eligible:
        racks.setdefault(load.record.info.rack, []).append(load)
    groups = [*racks.values(), eligible] if demand.step.same_rack else [eligible]
    for group in groups:
        copies = [load.copy() for load in group]
        trial = attrs.evolve(demand, taken=Counter(demand.taken))
        if len(choose(trial, copies)) == demand.count:
            return choose(demand, group)
    return []
