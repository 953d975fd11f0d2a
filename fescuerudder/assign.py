"""Assigns waiting tasks to workers and sends their start orders."""

import functools
from collections.abc import Mapping

import attrs
from result import Err, Ok

from fescuerudder.document import ServiceDocument, Size
from fescuerudder.errors import WorkerRefusedError
from fescuerudder.fleet import WorkerState
from fescuerudder.leases import lease_end_s, start_deadline_s
from fescuerudder.placement import WorkerLoad
from fescuerudder.rackevents import task_event
from fescuerudder.rackstate import RackState, StartRecord
from fescuerudder.task import Task, assigned
from fescuerudder.taskqueue import FairQueue
from fescuerudder.transitions import StoredTask
from fescuerudder.workers import StartOrder

ATTEMPT_KNOWN_REFUSALS = frozenset({"attempt_known", "task_running"})
"""Refusals that do not prove that the attempt never ran; the next status shows whether it does."""


def assign_queue(state: RackState) -> None:
    """Writes assignments for the waiting tasks that fit on a worker, in fair order."""
    if not state.may_assign():
        return
    stored = {s.task.id: s for s in state.rows.queued() if not s.task.cancel_requested}
    if not stored:
        return
    loads = {load.worker: load for load in state.loads()}
    search = _WorkerSearch(state=state, services=state.services())
    # Sorting a long queue costs far more than checking which of its tasks fit on a worker.
    tasks = [s.task for s in stored.values() if search.may_fit(s.task, loads)]
    shares = state.team_shares()
    order = FairQueue(tasks=tasks, usage=shares.usage, quotas=shares.quotas)
    for task in order:
        found = search.find(task, loads)
        if found is None:
            continue
        sized, worker = found
        _assign(state, stored[task.id], sized, worker)
        order.record_placement(sized)
        loads[worker] = _load_with(state, loads[worker], sized)


_EquivalenceClass = tuple[str, Size, tuple[str, ...]]
"""Service, size and zones of a task, which decide whether a worker has room for it."""


def _equivalence_class(task: Task) -> _EquivalenceClass:
    return task.service, task.size, task.zones


@attrs.define(kw_only=True)
class _WorkerSearch:
    """Finds workers for waiting tasks within one cycle.

    Free resources only shrink within a cycle: once a task has found no worker, no other task
    of its class is tried.
    """

    state: RackState
    services: Mapping[str, ServiceDocument]
    tried: set[_EquivalenceClass] = attrs.field(factory=set)
    without_worker: set[_EquivalenceClass] = attrs.field(factory=set)

    def may_fit(self, task: Task, loads: dict[str, WorkerLoad]) -> bool:
        """Returns whether `task` may find a worker; one task of each class is tried."""
        equivalence_class = _equivalence_class(task)
        if task.failed_workers or equivalence_class in self.tried:
            return bool(task.failed_workers) or equivalence_class not in self.without_worker
        self.tried.add(equivalence_class)
        return self.find(task, loads) is not None

    def find(self, task: Task, loads: dict[str, WorkerLoad]) -> tuple[Task, str] | None:
        """Returns the task with its learned size and the worker chosen for it, or None."""
        equivalence_class = _equivalence_class(task)
        if equivalence_class in self.without_worker and not task.failed_workers:
            return None
        sized = _with_learned_size(self.state, task, list(loads.values()))
        worker = None
        if not sized.zones or self.state.zone in sized.zones:
            worker = self.state.placement.choose(
                task=sized, loads=list(loads.values()), services=self.services
            )
        if worker is not None:
            return sized, worker
        if not task.failed_workers:
            # The choice for a task with failed workers depends on more than its class.
            self.without_worker.add(equivalence_class)
        return None


def send_starts(state: RackState) -> None:
    """Sends start orders for durable assignments that have none yet."""
    calls = []
    for stored in state.rows.assigned():
        worker = state.fleet.workers.get(stored.task.worker)
        if worker is not None and _is_startable(state, stored.task, worker):
            calls.append(functools.partial(_start, state, stored.task, worker))
    state.fleet.run(calls)


def _with_learned_size(state: RackState, task: Task, loads: list[WorkerLoad]) -> Task:
    size = state.learned.sizes.size_to_commit(
        service=task.service, declared=task.size, capacities=[load.capacity for load in loads]
    )
    return attrs.evolve(task, size=size)


def _assign(state: RackState, stored: StoredTask, sized: Task, worker: str) -> None:
    status = state.fleet.workers[worker].status
    new = assigned(
        sized,
        worker=worker,
        worker_incarnation=status.incarnation,
        epoch=state.lease.epoch,
        txn=state.new_id(),
    )
    state.rows.write(stored=stored, new=new)


def _load_with(state: RackState, load: WorkerLoad, task: Task) -> WorkerLoad:
    """Returns the load of a worker after `task` was assigned to it.

    On a quarantined worker the task is a probe, and no second one is assigned.
    """
    after = load.with_task(task)
    if not state.quarantine.is_quarantined(worker=load.worker):
        return after
    state.last_probes[load.worker] = task.id
    state.quarantine.record_probe(worker=load.worker)
    return attrs.evolve(after, takes_work=False)


def _is_startable(state: RackState, task: Task, worker: WorkerState) -> bool:
    return (
        task.epoch == state.lease.epoch
        and (task.id, task.attempt) not in state.sent_starts
        and not task.cancel_requested
        and worker.is_reachable
        and worker.is_fenced
        and not worker.is_leaving
        and worker.status.incarnation == task.worker_incarnation
    )


def _start(state: RackState, task: Task, worker: WorkerState) -> None:
    """Sends one start order, unless work may no longer start on the rack.

    The start deadline is computed before the check, so a pause of the process after the check
    can't extend it.
    """
    now_s = state.clock.now_s()
    order = _start_order(state, task, worker, now_s)
    if not state.may_assign():
        return
    # Recorded before sending: without an answer, the start may still have taken effect.
    record = StartRecord(start_by_s=order.start_by_s, sent_at_s=now_s)
    state.sent_starts[(task.id, task.attempt)] = record
    worker.last_sent_s = now_s
    match state.fleet.send(lambda: worker.control.start(order)):
        case Ok(_):
            state.observe(task_event("start", task))
        case Err(WorkerRefusedError(reason=reason)):
            record.refusal = "" if reason in ATTEMPT_KNOWN_REFUSALS else reason


def _start_order(state: RackState, task: Task, worker: WorkerState, now_s: float) -> StartOrder:
    return StartOrder(
        task=task.id,
        attempt=task.attempt,
        epoch=state.lease.epoch,
        incarnation=task.worker_incarnation,
        service=task.service,
        kind=task.kind,
        size=task.size,
        payload=task.payload,
        checkpoint=task.checkpoint,
        lease_until_s=lease_end_s(reading=worker.clock_reading, now_s=now_s),
        start_by_s=start_deadline_s(reading=worker.clock_reading, now_s=now_s),
        trace_id=task.trace_id,
    )
