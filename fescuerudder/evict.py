"""Evicts running tasks for a zone out of service, leaving workers, quotas and interference."""

import functools

import attrs

from fescuerudder.document import Size
from fescuerudder.fleet import WorkerState
from fescuerudder.graceful import RunningTask, select_stoppable
from fescuerudder.interference import Remedy
from fescuerudder.placement import WorkerLoad, is_feasible
from fescuerudder.rackevents import task_event
from fescuerudder.rackstate import RackState
from fescuerudder.reconcile import AttemptOutcome, record_outcome
from fescuerudder.task import Task
from fescuerudder.taskqueue import FairQueue, TeamShares
from fescuerudder.transitions import StoredTask
from fescuerudder.workers import StopOutcome

MAX_RECLAIMS_PER_CYCLE = 4


def evict_all_due(state: RackState) -> None:
    """Evicts every task for which there is a reason.

    Without a live session nothing is evicted, since the tasks could not be queued again.
    """
    if not state.session.is_live():
        return
    if not state.is_zone_in_service():
        evict_many(state, _running_tasks(state), reason="zone")
        return
    leaving = [pair for pair in _running_tasks(state) if pair[1].is_leaving]
    evict_many(state, leaving, reason="leaving")
    apply_remedies(state)
    reclaim(state)


def evict_many(state: RackState, pairs: list[RunningTask], *, reason: str, rack: str = "") -> None:
    """Stops attempts with a checkpoint and queues their tasks again.

    Replicas that may be serving requests are withdrawn from routing first and stopped in a later
    cycle.
    """
    pairs = select_stoppable(state, pairs)
    calls = [functools.partial(_stop, state, stored, worker) for stored, worker in pairs]
    for (stored, _), outcome in zip(pairs, state.fleet.run(calls), strict=True):
        if outcome is None or outcome.state in ("running", "finished", "failed"):
            continue  # The next status shows how it ended.
        attempt_outcome = AttemptOutcome(state=outcome.state, checkpoint=outcome.checkpoint)
        record_outcome(state, stored, attempt_outcome, rack=rack, evicted_for=reason)


def apply_remedies(state: RackState) -> None:
    """Throttles or moves batch tasks that slow down latency-critical services."""
    objectives_ms = {
        doc.name: doc.objective.latency_ms
        for doc in state.services().values()
        if doc.kind == "latency-critical"
    }
    running = _running_tasks(state)
    for worker in state.fleet.reachable():
        on_worker = {stored.task.id: stored for stored, w in running if w is worker}
        remedy = state.remedies.decide(
            status=worker.status,
            new_usage=state.new_usage.get(worker.member.id, []),
            objectives_ms=objectives_ms,
            batch={i: s.task.service for i, s in on_worker.items() if s.task.kind == "batch"},
            adopted=[i for i, s in on_worker.items() if s.task.epoch < state.lease.epoch],
            may_move=lambda task, on_worker=on_worker: _better_rack(state, on_worker[task].task)
            is not None,
        )
        if remedy is not None:
            for task in remedy.tasks:
                _apply(state, remedy, on_worker[task], worker)


def _better_rack(state: RackState, task: Task) -> str | None:
    """Returns the rack where the task would probably slow down services less, or None.

    Slowdowns are compared on this rack only; of other racks only the free resources are known.
    """
    loads, services = state.loads(), state.services()
    slowdowns_caused = {load.worker: _slowdown_caused(state, task, load) for load in loads}
    limit = slowdowns_caused.get(task.worker, 1.0)
    others = [load for load in loads if load.worker != task.worker]
    if any(
        is_feasible(task, load, services) and slowdowns_caused[load.worker] < limit
        for load in others
    ):
        return state.lease.rack
    return state.choose_other_rack(task, required="room")


def _slowdown_caused(state: RackState, task: Task, load: WorkerLoad) -> float:
    """Returns the largest slowdown that the task causes to a latency-critical service there."""
    services = state.services()
    critical = [
        name
        for name in set(load.services)
        if name in services and services[name].kind == "latency-critical"
    ]
    pairs = (
        state.learned.slowdowns.pair_slowdown(name, task.service, load=load.load)
        for name in critical
    )
    return max(pairs, default=1.0)


def reclaim(state: RackState) -> None:
    """Evicts tasks of teams above their quota in favour of waiting tasks of teams within theirs."""
    if not state.may_assign():
        return
    shares = state.team_shares()
    queue = [stored.task for stored in state.rows.queued()]
    waiting = [t for t in queue if shares.may_reclaim(t, waited_s=state.waited_s(t))]
    loads = {load.worker: load for load in state.loads()}
    order = FairQueue(tasks=waiting, usage=shares.usage, quotas=shares.quotas)
    remaining = MAX_RECLAIMS_PER_CYCLE
    # If a task has no victims, neither has another one of its class, until an eviction changes
    # the loads.
    without_victims: set[tuple[str, str, Size]] = set()
    for task in order:
        if remaining == 0:
            return
        equivalence_class = (task.team, task.service, task.size)
        if equivalence_class in without_victims:
            continue
        victims = _victims_for(state, task, shares, loads)
        if not victims:
            without_victims.add(equivalence_class)
            continue
        without_victims.clear()
        remaining -= 1
        evict_many(state, victims, reason="quota")
        shares = _shares_after(shares, task, [stored.task for stored, _ in victims])
        worker = victims[0][0].task.worker
        for stored, _ in victims:
            loads[worker] = loads[worker].without_task(stored.task)
        loads[worker] = loads[worker].with_task(task)


def _running_tasks(state: RackState) -> list[RunningTask]:
    """Returns the tasks whose assigned attempt runs, with their workers."""
    found = []
    for stored in state.rows.assigned():
        worker = state.fleet.workers.get(stored.task.worker)
        if worker is None or not worker.is_reachable:
            continue
        attempt = worker.find_attempt(task=stored.task.id, attempt=stored.task.attempt)
        if attempt is not None and not attempt.is_ended:
            found.append((stored, worker))
    return found


def _stop(state: RackState, stored: StoredTask, worker: WorkerState) -> StopOutcome | None:
    return state.fleet.stop(
        worker, task=stored.task.id, attempt=stored.task.attempt, checkpoint=True
    )


def _apply(state: RackState, remedy: Remedy, stored: StoredTask, worker: WorkerState) -> None:
    if remedy.share is None:
        state.observe(task_event("remedy", stored.task, detail="move"))
        rack = _better_rack(state, stored.task) or ""
        evict_many(state, [(stored, worker)], reason="interference", rack=rack)
        return
    throttle = functools.partial(
        worker.control.throttle,
        task=stored.task.id,
        attempt=stored.task.attempt,
        epoch=state.lease.epoch,
        share=remedy.share,
    )
    if state.fleet.send(throttle).is_ok():
        state.observe(task_event("remedy", stored.task, detail=_remedy_name(remedy.share)))


def _remedy_name(share: float) -> str:
    return "lift" if share >= 1.0 else f"throttle_{share:.0%}".rstrip("%")


def _victims_for(
    state: RackState, task: Task, shares: TeamShares, loads: dict[str, WorkerLoad]
) -> list[tuple[StoredTask, WorkerState]]:
    """Returns the fewest tasks of one worker whose eviction makes room for `task`.

    Returns none if the task fits without an eviction, or if no evictions suffice.
    """
    if not shares.may_reclaim(task, waited_s=state.waited_s(task)):
        return []
    running = {stored.task.id: (stored, worker) for stored, worker in _running_tasks(state)}
    newest = shares.reclaimable([stored.task for stored, _ in running.values()])
    services = state.services()
    best: list[Task] | None = None
    for load in loads.values():
        plan = _eviction_plan(task, load, newest, services)
        if plan is not None and (best is None or len(plan) < len(best)):
            best = plan
    return [running[victim.id] for victim in best or []]


def _eviction_plan(
    task: Task, load: WorkerLoad, newest: list[Task], services: dict
) -> list[Task] | None:
    """Returns the tasks to evict, newest first, so that `task` fits on the worker, or None."""
    plan: list[Task] = []
    if is_feasible(task, load, services):
        return plan
    for victim in newest:
        if victim.worker != load.worker:
            continue
        plan.append(victim)
        load = load.without_task(victim)
        if is_feasible(task, load, services):
            return plan
    return None


def _shares_after(shares: TeamShares, task: Task, victims: list[Task]) -> TeamShares:
    """Returns the shares after `task` replaced `victims`."""
    usage = dict(shares.usage)
    for victim in victims:
        usage[victim.team] = usage[victim.team].minus(victim.size)
    usage[task.team] = usage[task.team].plus(task.size) if task.team in usage else task.size
    return attrs.evolve(shares, usage=usage)
