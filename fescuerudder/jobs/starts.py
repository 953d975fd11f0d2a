"""Plans which tasks start on which workers."""

from collections import Counter
from operator import itemgetter

import attrs
import structlog

from fescuerudder.jobs.attemptstarter import AttemptStarter
from fescuerudder.jobs.candidates import Candidates, may_use
from fescuerudder.jobs.crashes import is_on_probation, may_start_beside
from fescuerudder.jobs.gangplacement import choose_gang
from fescuerudder.jobs.idleroom import ANY_HEADROOM, idle_pools, stands_still
from fescuerudder.jobs.jobplacement import (
    Demand,
    choose_for_long_running,
    choose_workers,
    rank_workers,
)
from fescuerudder.jobs.jobrun import StepRun, TaskRun
from fescuerudder.jobs.latestarts import bound_worker, may_start_on
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.manifest import AdvicePolicy, Queue
from fescuerudder.jobs.margins import Margins, make_margin_control
from fescuerudder.jobs.saturation import Saturation
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.shares import ShareControl
from fescuerudder.jobs.shortage import WaitingTasks, make_shortage_monitor
from fescuerudder.jobs.startrelease import may_start_covered
from fescuerudder.jobs.stepgroups import (
    group_by_avoided,
    grouping_key,
    has_free_choice,
    image_demands,
)
from fescuerudder.jobs.stepopening import open_steps
from fescuerudder.jobs.taskrelease import release_untaken
from fescuerudder.jobs.urgency import OrderInputs, UrgencyKey, objective_s, urgency_key
from fescuerudder.jobs.usableworkers import is_usable, passes_quarantine, usable_loads
from fescuerudder.jobs.workerrecord import WorkerRecord

FALLBACK_WAIT_S = 2.0
"""Time for which a long-running task waits for another worker before it starts on a quarantined one
or on one that it failed on."""

_log = structlog.get_logger(__name__)


class StartPlanner:
    """Matches startable tasks with workers.

    Args:
        state: state of the term.
        leases: length of the leases.
        starter: adds the attempts.
        urgency: sort key of waiting steps.
    """

    def __init__(
        self,
        *,
        state: SchedulerState,
        leases: LeasePolicy,
        starter: AttemptStarter,
        urgency: UrgencyKey = urgency_key,
    ) -> None:
        self._state = state
        self._leases = leases
        self._starter = starter
        self._urgency_key = urgency
        self._shortage = make_shortage_monitor(state.policy.overload_order)
        self._margin_control = make_margin_control(state.policy.latency_margins)
        self._shares = ShareControl(usage=state.usage, queues=state.queues)

    @property
    def margins(self) -> Margins:
        """Headroom that best-effort tasks leave latency-critical ones."""
        return self._margin_control.margins

    def is_store_out(self, now_s: float) -> bool:
        """Returns whether only starts that need no new record are planned."""
        return self._leases.is_store_out(now_s)

    def update_margins(self, now_s: float) -> None:
        """Adjusts the margins to how the best-effort jobs fare."""
        self._margin_control.update(self._state.open_steps, now_s=now_s)

    def plan(self, *, now_s: float, wall_ms: float) -> None:
        """Plans an attempt of each task that can start now."""
        open_steps(self._state, now_s=now_s, wall_ms=wall_ms)
        waiting = self._waiting_tasks()
        if not waiting:
            return
        state = self._state
        loads = usable_loads(state, now_s)
        if self.is_store_out(now_s):
            self._start_on_recorded_workers(waiting, loads, now_s)
            return
        quarantined = [
            state.load_of(record, now_s=now_s)
            for record in state.workers.values()
            if is_usable(state, record, now_s) and not passes_quarantine(state, record)
        ]
        if not state.late_starts.is_empty:
            waiting = self._restart_bound(waiting, loads, now_s)
        self._restart_long_running(waiting, loads, now_s)
        saturation, candidates = Saturation(loads=loads), Candidates(loads=loads, steps=waiting)
        inputs = self._order_inputs(now_s, self._short_pools(waiting, loads, now_s))
        demands = image_demands(waiting)
        keyed = [((*self._urgency(s, inputs), *grouping_key(s, demands)), s) for s in waiting]
        ordered = sorted(keyed, key=itemgetter(0))
        for turn in self._shares.turns(ordered, waiting, loads, saturation, now_s):
            step, planned = turn.step, len(state.planned)
            self._start_step(step, turn.tasks, candidates, saturation, now_s)
            turn.started = len(state.planned) - planned
            if step.spec.long_running and turn.started < len(turn.tasks):
                self._start_on_fallback_workers(step, loads, quarantined, now_s)
        self._shortage.record_unplaced(saturation.pools_without_room())
        self._start_beside_idle_room(waiting, [*loads, *quarantined], now_s)

    def _short_pools(
        self, waiting: dict[StepRun, list[TaskRun]], loads: list[Load], now_s: float
    ) -> frozenset[str]:
        tasks = (
            WaitingTasks(pool=queue.pool, step=step.spec, count=len(tasks))
            for step, tasks in waiting.items()
            if (queue := self._queue(step)) is not None
        )
        return self._shortage.short_pools(tasks, loads, now_s=now_s)

    def _start_on_recorded_workers(
        self, waiting: dict[StepRun, list[TaskRun]], loads: list[Load], now_s: float
    ) -> None:
        """Starts tasks where a stored record covers them, as no other can be stored now."""
        by_life = {(load.record.id, load.record.info.incarnation_ms): load for load in loads}
        inputs = self._order_inputs(now_s)
        for step in sorted(waiting, key=lambda s: self._urgency(s, inputs)):
            queue = self._queue(step)
            if queue is None or step.spec.gang:
                continue
            recorded = [
                (start, load)
                for start in step.job.recorded_starts
                if start.task.id.occurrence == step.occurrence
                and (load := by_life.get((start.worker, start.incarnation_ms))) is not None
            ]
            for task in waiting[step] if recorded else ():
                if not self._state.usage.may_start(step):
                    break
                covering = [
                    load
                    for start, load in recorded
                    if start.covers(task)
                    and may_start_covered(task)
                    and self._suits(task, load.record, now_s)
                ]
                eligible = self._eligible_with_permit(step, queue, covering)
                if eligible:
                    demand = self._demand(step, 1, queue, now_s)
                    self._plan_starts([task], choose_workers(demand, eligible), now_s)

    def _restart_bound(
        self, waiting: dict[StepRun, list[TaskRun]], loads: list[Load], now_s: float
    ) -> dict[StepRun, list[TaskRun]]:
        """Starts the bound tasks on their workers; returns the other waiting tasks.

        They go before all others, as they may go nowhere else, and take the room that their lost
        starts had reserved.
        """
        by_id = {load.record.id: load for load in loads}
        others: dict[StepRun, list[TaskRun]] = {}
        for step, tasks in waiting.items():
            for task in tasks:
                worker = bound_worker(task)
                if worker is None or step.spec.gang:
                    others.setdefault(step, []).append(task)
                else:
                    self._restart_or_release(task, by_id.get(worker), now_s)
        return others

    def _restart_or_release(self, task: TaskRun, load: Load | None, now_s: float) -> None:
        """Starts a bound task on its worker if that takes it, else releases it after a while."""
        if not self._state.usage.may_start(task.step):
            return
        if load is not None and may_start_on(task, load.record.id):
            self._restart_on(task, load, now_s)
        if not task.attempts:
            release_untaken(self._state, task, now_s)

    def _restart_on(self, task: TaskRun, load: Load, now_s: float) -> None:
        """Starts a bound task on its worker if that takes it."""
        queue = self._queue(task.step)
        if queue is None or load.record.id in task.avoided_workers:
            return
        if may_use(load.record, task.step.spec, queue) and may_start_beside(
            task, load.record, now_s
        ):
            eligible = self._eligible_with_permit(task.step, queue, [load])
            demand = self._demand(task.step, 1, queue, now_s)
            self._plan_starts([task], choose_workers(demand, eligible), now_s)

    def _suits(self, task: TaskRun, record: WorkerRecord, now_s: float) -> bool:
        """Returns whether a task may be started on a worker, as far as its own past says."""
        avoided = task.avoided_workers | {attempt.worker for attempt in task.attempts}
        return (
            self.is_restart_safe(task)
            and may_start_on(task, record.id)
            and record.id not in avoided
            and may_start_beside(task, record, now_s)
        )

    def _restart_long_running(
        self, waiting: dict[StepRun, list[TaskRun]], loads: list[Load], now_s: float
    ) -> None:
        """Restarts long-running tasks that ran before, which go before all others.

        They take the room that they had, so they don't take any from short tasks.
        """
        for step, tasks in waiting.items():
            queue = self._queue(step)
            ended = [task for task in tasks if task.last_number]
            if not step.spec.long_running or step.spec.gang or not ended or queue is None:
                continue
            demand = self._demand(step, len(ended), queue, now_s)
            eligible = self._eligible_with_permit(step, queue, loads)
            for avoided, members in group_by_avoided(ended):
                group = self._state.usage.limit(step, members)
                if not group:
                    break
                usable = [
                    load
                    for load in eligible
                    if load.record.id not in avoided
                    and may_start_beside(group[0], load.record, now_s)
                ]
                chosen = choose_workers(attrs.evolve(demand, count=len(group)), usable)
                self._plan_starts(group, chosen, now_s)

    def _plan_starts(self, tasks: list[TaskRun], chosen: list[Load], now_s: float) -> None:
        """Plans an attempt of each task on its worker; fewer workers may be chosen."""
        for task, load in zip(tasks, chosen, strict=False):
            self._starter.plan(task, load.record, now_s)

    def _waiting_tasks(self) -> dict[StepRun, list[TaskRun]]:
        """Returns the tasks that may be started, by step, of accounts that are below their cap."""
        waiting, usage = {}, self._state.usage
        near_caps = usage.near_caps()
        for step in self._state.open_steps:
            is_near = step.job.job.account in near_caps
            if is_near and not step.spec.gang and not usage.may_start(step):
                continue
            tasks = self.startable_tasks(step)
            if tasks:
                waiting[step] = tasks
        return waiting

    def startable_tasks(self, step: StepRun) -> list[TaskRun]:
        """Returns the tasks of which no attempt runs or, of an earlier leader, may run unseen."""
        tasks = step.startable_tasks()
        run, term = step.job, self._state.term
        if run.version > term.claim_version or not self._state.unresolved_workers(run):
            return tasks
        if run.opened_in_term(step):
            return tasks
        return [t for t in tasks if t.seen_running or not self._state.may_run_unseen(t)]

    def _queue(self, step: StepRun) -> Queue | None:
        return self._state.queues.get(step.job.job.queue)

    def _order_inputs(self, now_s: float, short_pools: frozenset[str] = frozenset()) -> OrderInputs:
        sizes, run_times = self._state.job_sizes, self._state.run_times
        return OrderInputs(sizes=sizes, run_times=run_times, now_s=now_s, short_pools=short_pools)

    def _urgency(self, step: StepRun, inputs: OrderInputs) -> tuple[float, ...]:
        return self._urgency_key(step, self._queue(step), inputs)

    def _start_step(
        self,
        step: StepRun,
        tasks: list[TaskRun],
        candidates: Candidates,
        saturation: Saturation,
        now_s: float,
    ) -> None:
        queue = self._queue(step)
        if not tasks or queue is None or saturation.covers_step(queue.pool, step.spec):
            return
        count = len(tasks if step.spec.gang else self._state.usage.limit(step, tasks))
        if not count:
            return
        demand = self._demand(step, count, queue, now_s)
        demand = attrs.evolve(demand, room_is_scarce=saturation.is_scarce(queue.pool))
        if saturation.covers(queue.pool, demand):
            return
        eligible = candidates.usable(step.spec, queue)
        if queue.advice is not None:
            eligible = self._filter_permitted(step, queue.advice, eligible, demand)
        if step.spec.gang:
            self._start_gang(step, tasks, eligible, demand, now_s)
            return
        for avoided, members in group_by_avoided(tasks):
            group = self._state.usage.limit(step, members)
            if not group:
                break
            may_use_all = not avoided and not is_on_probation(group[0])
            if may_use_all and queue.advice is None:
                usable = candidates.roomy(step.spec, queue)
            else:
                # A task that failed everywhere may try again anywhere.
                others = [load for load in eligible if load.record.id not in avoided] or eligible
                usable = [x for x in others if may_start_beside(group[0], x.record, now_s)]
            choice = choose_for_long_running if step.spec.long_running else choose_workers
            chosen = choice(attrs.evolve(demand, count=len(group)), usable)
            if len(chosen) < len(group) and may_use_all and has_free_choice(step.spec, queue):
                saturation.add(queue.pool, demand)
            self._plan_starts(group, chosen, now_s)

    def _demand(self, step: StepRun, count: int, queue: Queue, now_s: float) -> Demand:
        waited_share = (now_s - step.job.received_s) / max(objective_s(step.job, queue), 1e-3)
        return Demand(
            step=step.spec,
            count=count,
            per_worker=Counter(a.worker for task in step.tasks for a in task.attempts),
            min_headroom=self.margins.required_headroom(waited_share=waited_share),
        )

    def _filter_permitted(
        self, step: StepRun, policy: AdvicePolicy, eligible: list[Load], demand: Demand
    ) -> list[Load]:
        """Returns the workers with a permit; requests more permits if the tasks need them."""
        advice = self._state.advice
        permitted = [load for load in eligible if advice.permit(step.id, load.record)]
        trial = attrs.evolve(demand, per_worker=Counter(demand.per_worker))
        placed = choose_workers(trial, [load.copy() for load in permitted])
        if len(placed) < demand.count:
            others = [load for load in eligible if load not in permitted]
            advice.request(
                step.id, policy, rank_workers(demand, others), count=demand.count - len(placed)
            )
        return permitted

    def _start_on_fallback_workers(
        self, step: StepRun, loads: list[Load], quarantined: list[Load], now_s: float
    ) -> None:
        """Starts long-running tasks that have waited too long for a worker they don't avoid.

        They may fail again on a quarantined worker or on one that they failed on, but otherwise
        they would not run at all.
        """
        opened_s = step.opened_s or now_s
        tasks = [
            task
            for task in self.startable_tasks(step)
            if now_s - max(opened_s, task.last_end_s) >= FALLBACK_WAIT_S
            and bound_worker(task) is None
        ]
        tasks = self._state.usage.limit(step, tasks)
        queue = self._queue(step)
        if not tasks or queue is None or step.spec.gang:
            return
        demand = Demand(
            step=step.spec,
            count=len(tasks),
            per_worker=Counter(a.worker for task in step.tasks for a in task.attempts),
        )
        eligible = self._eligible_with_permit(step, queue, loads)
        chosen = choose_for_long_running(demand, eligible)
        others = self._eligible_with_permit(step, queue, quarantined)
        for load in others:
            load.starts_left = None
        chosen += choose_workers(attrs.evolve(demand, count=len(tasks) - len(chosen)), others)
        self._plan_starts(tasks, chosen, now_s)

    def _start_beside_idle_room(
        self, waiting: dict[StepRun, list[TaskRun]], loads: list[Load], now_s: float
    ) -> None:
        """Starts one task of each job that nothing runs of although most of its pool is idle.

        Its step finds no worker because most are quarantined, or because best-effort tasks would
        leave too little headroom there. The task may fail or be throttled, but otherwise an
        accepted job would not run at all.
        """
        idle = idle_pools(loads)
        for step, tasks in waiting.items() if idle else ():
            queue = self._queue(step)
            if queue is None or queue.pool not in idle or step.spec.gang or step.spec.long_running:
                continue
            if stands_still(step.job, now_s) and self._state.usage.may_start(step):
                task = min(tasks, key=lambda t: len(t.failed_attempts))
                self._start_anywhere(task, queue, loads, now_s)

    def _start_anywhere(self, task: TaskRun, queue: Queue, loads: list[Load], now_s: float) -> None:
        """Starts a task on a worker with room, quarantined or not, whatever headroom is left."""
        step = task.step
        eligible = self._eligible_with_permit(step, queue, loads)
        preferred = [load for load in eligible if load.record.id not in task.avoided_workers]
        for load in eligible:
            load.starts_left = None
        demand = Demand(
            step=step.spec,
            count=1,
            per_worker=Counter(a.worker for t in step.tasks for a in t.attempts),
            min_headroom=ANY_HEADROOM,
        )
        for load in choose_workers(demand, preferred) or choose_workers(demand, eligible):
            self._log_last_resort(task, load.record)
            self._starter.plan(task, load.record, now_s).is_last_resort = True

    def _log_last_resort(self, task: TaskRun, record: WorkerRecord) -> None:
        _log.warning(
            "job started beside idle room",
            job=task.id.job,
            task=task.id[1:],
            worker=record.id,
            quarantined=not passes_quarantine(self._state, record),
        )

    def _eligible_with_permit(self, step: StepRun, queue: Queue, loads: list[Load]) -> list[Load]:
        """Returns the workers that a step may use, with a permit if its queue requires one."""
        advice = self._state.advice
        return [
            load
            for load in loads
            if may_use(load.record, step.spec, queue)
            and (queue.advice is None or advice.permit(step.id, load.record))
        ]

    def is_restart_safe(self, task: TaskRun) -> bool:
        """Returns whether a task may be started where a record covers it; see `StartReleaser`."""
        return task.last_end_s <= self._leases.confirmed_s()

    def _start_gang(
        self,
        step: StepRun,
        tasks: list[TaskRun],
        eligible: list[Load],
        demand: Demand,
        now_s: float,
    ) -> None:
        """Starts either all members at once, with one attempt number, or none."""
        if len(tasks) < len(step.tasks):
            # The members that run can't work; an earlier leader may have started only these.
            live = [a.number for task in step.tasks for a in task.attempts]
            step.broken_attempt = max(step.broken_attempt, *live, 0)
            return
        if not self._state.usage.may_start(step):
            return
        avoided = frozenset().union(*(task.avoided_workers for task in tasks))
        preferred = [load for load in eligible if load.record.id not in avoided]
        tasks = sorted(tasks, key=lambda task: bound_worker(task) is None)
        bound = {task: worker for task in tasks if (worker := bound_worker(task)) is not None}
        chosen: list[Load] = []
        if all(may_start_on(task, worker) for task, worker in bound.items()):
            workers = list(bound.values())
            chosen = choose_gang(demand, preferred, bound=workers)
            chosen = chosen or choose_gang(demand, eligible, bound=workers)
        if len(chosen) < len(tasks):
            for task in bound:
                release_untaken(self._state, task, now_s)
            return
        number = max(self._starter.next_number(task) for task in tasks)
        for task, load in zip(tasks, chosen, strict=True):
            self._starter.plan(task, load.record, now_s, number=number)
