"""Reconciles the rows of assigned tasks with the attempts that workers report."""

from typing import Any

import attrs

from fescuerudder.fleet import WorkerState
from fescuerudder.graceful import select_stoppable
from fescuerudder.leases import START_WINDOW_S, certain_expiry_s
from fescuerudder.rackevents import RackEvent, task_event
from fescuerudder.rackstate import RackState
from fescuerudder.renewals import is_current_attempt
from fescuerudder.task import Task, attempt_failed, cancelled, finished, requeued
from fescuerudder.transitions import StoredTask
from fescuerudder.workers import AttemptState

BROKEN_WORKER_REFUSAL = "broken"


@attrs.frozen(kw_only=True)
class AttemptOutcome:
    """The state in which an attempt ended, once it is certain that it no longer runs.

    Args:
        state: state that the worker reported, or `lapsed` if the lease certainly expired.
        checkpoint: object name of the last checkpoint, or empty.
        result: result or reason of failure.
    """

    state: AttemptState
    checkpoint: str = ""
    result: str = ""


def record_outcome(
    state: RackState,
    stored: StoredTask,
    outcome: AttemptOutcome,
    *,
    rack: str = "",
    evicted_for: str = "",
) -> None:
    """Writes the next state of a task whose attempt ended: final, or queued again.

    Args:
        state: state of the rack.
        stored: the assigned task.
        outcome: how its attempt ended.
        rack: rack whose queue the task joins if it runs again; empty for the default one.
        evicted_for: reason of the eviction, empty if the task was not evicted.
    """
    task, txn = stored.task, state.new_id()
    if outcome.state == "finished":
        new = finished(task, result=outcome.result, txn=txn)
    elif task.cancel_requested:
        new = cancelled(task, txn=txn)
    elif outcome.state == "failed":
        home = rack or _next_rack(state, task)
        new = attempt_failed(task, rack=home, reason=outcome.result, txn=txn)
    else:
        new = requeued(
            task,
            rack=rack or _next_rack(state, task),
            checkpoint=outcome.checkpoint,
            evicted=outcome.state == "checkpointed",
            txn=txn,
        )
    _record_result(state, task, outcome)
    state.pending_events[task.id] = _end_event(state, task, new, outcome, evicted_for)
    state.rows.write(stored=stored, new=new)


def _end_event(
    state: RackState, task: Task, new: Task, outcome: AttemptOutcome, evicted_for: str
) -> RackEvent:
    if new.state == "cancelled" or outcome.state in ("finished", "failed"):
        detail = "cancelled" if new.state == "cancelled" else outcome.state
        return task_event("end", task, detail=detail)
    if evicted_for:
        return task_event("evict", task, detail=evicted_for)
    detail = "not_started" if _is_unsent(state, task) else "lost"
    return task_event("end", task, detail=detail)


def reconcile(state: RackState) -> None:
    """Handles every assigned task whose attempt ended, lapsed, did not start or must be stopped."""
    for stored in state.rows.assigned():
        worker = state.fleet.workers.get(stored.task.worker)
        if worker is None or not worker.is_reachable:
            _handle_unreachable(state, stored, worker)
            continue
        attempt = worker.find_attempt(task=stored.task.id, attempt=stored.task.attempt)
        if attempt is None:
            _handle_missing(state, stored, worker)
        elif attempt.is_ended:
            outcome = AttemptOutcome(
                state=attempt.state, checkpoint=attempt.checkpoint, result=attempt.result
            )
            record_outcome(state, stored, outcome)
        else:
            _handle_running(state, stored, worker)


def cancel_queued(state: RackState) -> None:
    """Cancels the waiting tasks whose callers asked for it."""
    for stored in state.rows.queued():
        if stored.task.cancel_requested:
            state.pending_events[stored.task.id] = task_event(
                "end", stored.task, detail="cancelled"
            )
            state.rows.write(stored=stored, new=cancelled(stored.task, txn=state.new_id()))


def clean_up_attempts(state: RackState) -> None:
    """Stops running attempts that their rows do not name and acknowledges ended ones."""
    for worker in state.fleet.reachable():
        done = []
        for attempt in worker.attempts:
            if not state.rows.is_settled(attempt.task):
                continue
            if is_current_attempt(state, worker.member.id, attempt):
                continue
            if attempt.is_ended:
                done.append((attempt.task, attempt.attempt))
                continue
            state.fleet.stop(worker, task=attempt.task, attempt=attempt.attempt, checkpoint=False)
        if done:
            _acknowledge(state, worker, done)


def _next_rack(state: RackState, task: Task) -> str:
    """Returns the rack whose queue a task joins again: this one if its zone is in service."""
    if state.is_zone_in_service():
        return state.lease.rack
    return state.choose_other_rack(task, required="in_service") or state.lease.rack


def _handle_unreachable(state: RackState, stored: StoredTask, worker: WorkerState | None) -> None:
    """Queues the task of an unreachable worker again once its lease has certainly expired."""
    if _is_unsent(state, stored.task):
        record_outcome(state, stored, AttemptOutcome(state="lapsed"))
        return
    expired_at_s = certain_expiry_s(
        lease=state.lease,
        outage_run_s=stored.task.outage_run_s,
        fenced_at_s=worker.fenced_at_s if worker else None,
        last_sent_s=worker.last_sent_s if worker else None,
    )
    if state.clock.now_s() >= expired_at_s:
        record_outcome(state, stored, AttemptOutcome(state="lapsed"))


def _handle_missing(state: RackState, stored: StoredTask, worker: WorkerState) -> None:
    """Queues a task again if its worker does not report the attempt and it can't start any more."""
    task = stored.task
    if _is_unsent(state, task):
        is_startable = state.takes_work(worker) or state.quarantine.is_quarantined(
            worker=worker.member.id
        )
        same = worker.status.incarnation == task.worker_incarnation
        if is_startable and same and state.is_zone_in_service() and not task.cancel_requested:
            return
        record_outcome(state, stored, AttemptOutcome(state="lapsed"))
    elif _can_no_longer_start(state, task, worker):
        record_outcome(state, stored, _outcome_of_missing(state, task))


def _can_no_longer_start(state: RackState, task: Task, worker: WorkerState) -> bool:
    """Returns whether an attempt that its worker does not report can no longer start."""
    if task.epoch < state.lease.epoch:
        return worker.is_fenced
    record = state.sent_starts[(task.id, task.attempt)]
    if record.refusal:
        return True
    if worker.status.incarnation != task.worker_incarnation:
        # The clock of a restarted worker may have been reset, so the local clock decides.
        return state.clock.now_s() > record.sent_at_s + START_WINDOW_S
    return worker.status.clock_s > record.start_by_s


def _outcome_of_missing(state: RackState, task: Task) -> AttemptOutcome:
    """Returns the outcome of an attempt that never ran: `failed` if the worker is broken."""
    record = state.sent_starts.get((task.id, task.attempt))
    if record is not None and record.refusal == BROKEN_WORKER_REFUSAL:
        return AttemptOutcome(state="failed", result="the worker failed to start the task")
    return AttemptOutcome(state="lapsed")


def _is_unsent(state: RackState, task: Task) -> bool:
    """Returns whether this owner assigned the attempt and has not sent its start order."""
    return task.epoch == state.lease.epoch and (task.id, task.attempt) not in state.sent_starts


def _handle_running(state: RackState, stored: StoredTask, worker: WorkerState) -> None:
    task = stored.task
    key = (task.id, task.attempt)
    now_s = state.clock.now_s()
    run_s = now_s - state.running_since_s.setdefault(key, now_s)
    state.quarantine.record_running(worker=worker.member.id, run_s=run_s)
    doc = state.services().get(task.service)
    is_overdue = doc is not None and 0 < doc.max_run_s < run_s
    if not (task.cancel_requested or is_overdue) or not select_stoppable(state, [(stored, worker)]):
        return
    outcome = state.fleet.stop(worker, task=task.id, attempt=task.attempt, checkpoint=False)
    if outcome is None or outcome.state == "running":
        return
    if outcome.state == "finished":
        return  # The next status contains its result.
    reason = "stopped: longest run exceeded"
    record_outcome(
        state, stored, AttemptOutcome(state="failed" if is_overdue else "stopped", result=reason)
    )


def _record_result(state: RackState, task: Task, outcome: AttemptOutcome) -> None:
    since_s = state.running_since_s.pop((task.id, task.attempt), None)
    if outcome.state == "failed":
        was_quarantined = state.quarantine.is_quarantined(worker=task.worker)
        state.quarantine.record_failure(worker=task.worker, task=task.id)
        if not was_quarantined and state.quarantine.is_quarantined(worker=task.worker):
            state.observe(RackEvent(kind="quarantine", worker=task.worker))
    elif outcome.state == "finished":
        state.quarantine.record_success(worker=task.worker)
        if since_s is not None:
            run_s = state.clock.now_s() - since_s
            state.learned.run_times.observe(service=task.service, run_s=run_s)


def _acknowledge(state: RackState, worker: WorkerState, done: list[Any]) -> None:
    state.fleet.send(lambda: worker.control.acknowledge(epoch=state.lease.epoch, ended=done))
