"""Evicts tasks: zone out of service, leaving workers, reclaimed shares, interference."""

import functools

import attrs

from fescuerudder.errors import WorkerRefusedError, WorkerUnreachableError
from fescuerudder.fleet import WorkerState
from fescuerudder.interference import Mitigation
from fescuerudder.placement import WorkerLoad, is_feasible
from fescuerudder.rackstate import RackState
from fescuerudder.reconcile import Ending, settle
from fescuerudder.task import Task
from fescuerudder.taskqueue import FairOrder, Shares
from fescuerudder.transitions import HeldTask
from fescuerudder.workers import StopOutcome

RECLAIMS_PER_CYCLE = 4


def evict_all_due(state: RackState) -> None:
    """Evicts whatever must leave.

    Without a live session nothing is evicted, since the task could not be queued again.
    """
    if not state.session.is_live():
        return
    idle = [pair for pair in _running(state) if not state.is_awaited(pair[0].task)]
    if not state.zone_is_in():
        evict_many(state, idle)
        return
    evict_many(state, [pair for pair in idle if pair[1].is_leaving])
    mitigate(state)
    reclaim(state)


def evict_many(state: RackState, pairs: list[tuple[HeldTask, WorkerState]]) -> None:
    """Stops attempts with a checkpoint and queues their tasks again."""
    calls = [functools.partial(_stop, state, held, worker) for held, worker in pairs]
    for (held, _), outcome in zip(pairs, state.fleet.run(calls), strict=True):
        if outcome is None or outcome.state in ("running", "finished", "failed"):
            continue  # The next status tells how it ended.
        settle(state, held, Ending(state=outcome.state, checkpoint=outcome.checkpoint))


def mitigate(state: RackState) -> None:
    """Throttles or moves batch tasks that slow down latency-critical services."""
    objectives_ms = {
        doc.name: doc.objective.latency_ms
        for doc in state.services().values()
        if doc.kind == "latency-critical"
    }
    running = _running(state)
    for worker in state.fleet.reachable():
        mine = {held.task.id: held for held, w in running if w is worker}
        action = state.remedies.decide(
            status=worker.status,
            fresh=state.fresh_usage.get(worker.member.id, []),
            objectives_ms=objectives_ms,
            batch={i: h.task.service for i, h in mine.items() if h.task.kind == "batch"},
        )
        if action is not None:
            _apply(state, action, mine[action.task], worker)


def reclaim(state: RackState) -> None:
    """Evicts tasks of teams above their quota for waiting tasks of teams below theirs."""
    if not state.may_assign():
        return
    shares = state.shares()
    queue = [held.task for held in state.rows.queued()]
    waiting = [t for t in queue if shares.may_reclaim(t, waited_s=state.waited_s(t))]
    loads = {load.worker: load for load in state.loads()}
    order = FairOrder(tasks=waiting, usage=shares.usage, quotas=shares.quotas)
    left = RECLAIMS_PER_CYCLE
    for task in order:
        if left == 0:
            return
        victims = _victims_for(state, task, shares, loads)
        if not victims:
            continue
        left -= 1
        evict_many(state, victims)
        shares = _moved(shares, task, [held.task for held, _ in victims])
        worker = victims[0][0].task.worker
        for held, _ in victims:
            loads[worker] = loads[worker].without_task(held.task)
        loads[worker] = loads[worker].with_task(task)


def _running(state: RackState) -> list[tuple[HeldTask, WorkerState]]:
    """Returns the tasks that run as their rows say, with their workers."""
    found = []
    for held in state.rows.assigned():
        worker = state.fleet.states.get(held.task.worker)
        if worker is None or not worker.is_reachable:
            continue
        attempt = worker.attempt_of(task=held.task.id, attempt=held.task.attempt)
        if attempt is not None and not attempt.is_ended:
            found.append((held, worker))
    return found


def _stop(state: RackState, held: HeldTask, worker: WorkerState) -> StopOutcome | None:
    return state.fleet.stop(worker, task=held.task.id, attempt=held.task.attempt, checkpoint=True)


def _apply(state: RackState, action: Mitigation, held: HeldTask, worker: WorkerState) -> None:
    if action.share is None:
        evict_many(state, [(held, worker)])
        return
    try:
        worker.control.throttle(
            task=held.task.id,
            attempt=held.task.attempt,
            epoch=state.lease.epoch,
            share=action.share,
        )
    except WorkerUnreachableError:
        return
    except WorkerRefusedError as exc:
        state.fleet.note_refusal(exc)


def _victims_for(
    state: RackState, task: Task, shares: Shares, loads: dict[str, WorkerLoad]
) -> list[tuple[HeldTask, WorkerState]]:
    """Returns the fewest tasks of one worker whose eviction makes room, or none.

    Nothing is returned if the task fits without an eviction.
    """
    if not shares.may_reclaim(task, waited_s=state.waited_s(task)):
        return []
    running = {held.task.id: (held, worker) for held, worker in _running(state)}
    newest = shares.reclaimable([held.task for held, _ in running.values()])
    services = state.services()
    best: list[Task] | None = None
    for load in loads.values():
        plan = _plan(task, load, newest, services)
        if plan is not None and (best is None or len(plan) < len(best)):
            best = plan
    return [running[victim.id] for victim in best or []]


def _plan(task: Task, load: WorkerLoad, newest: list[Task], services: dict) -> list[Task] | None:
    """Returns the evictions after which `task` fits on the worker, or None."""
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


def _moved(shares: Shares, task: Task, victims: list[Task]) -> Shares:
    """Returns the shares after `task` took the place of `victims`."""
    usage = dict(shares.usage)
    for victim in victims:
        usage[victim.team] = usage[victim.team].minus(victim.size)
    usage[task.team] = usage[task.team].plus(task.size) if task.team in usage else task.size
    return attrs.evolve(shares, usage=usage)
