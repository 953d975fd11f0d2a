"""Renews the leases of the attempts that task rows name."""

import functools

from fescuerudder.fleet import WorkerState
from fescuerudder.leases import RENEW_INTERVAL_S, lease_end_s, may_renew
from fescuerudder.rackstate import RackState
from fescuerudder.workers import Attempt


def is_current_attempt(state: RackState, worker: str, attempt: Attempt) -> bool:
    """Returns whether the row of the task names this attempt on this worker and rack."""
    stored = state.rows.get(attempt.task)
    return (
        stored is not None
        and stored.task.state == "assigned"
        and stored.task.rack == state.lease.rack
        and stored.task.worker == worker
        and stored.task.attempt == attempt.attempt
    )


def renew_leases(state: RackState) -> None:
    """Sends the renewals that are due to all reachable workers.

    The first renewal to a worker fences former owners, even if it contains no lease.
    """
    if state.session.fenced:
        return
    calls = []
    for worker in state.fleet.reachable():
        leases = _leases_due(state, worker)
        if leases or not worker.is_fenced:
            calls.append(functools.partial(_send_renewal, state, worker, leases))
    state.fleet.run(calls)


def _leases_due(state: RackState, worker: WorkerState) -> dict[str, tuple[int, float]]:
    """Returns attempt and end of lease on the worker's clock, by task id."""
    now_s = state.clock.now_s()
    attempts = [a for a in worker.attempts if _is_renewable(state, worker, a, now_s)]
    keys = {(a.task, a.attempt) for a in attempts}
    due = worker.renewed_at_s is None or now_s >= worker.renewed_at_s + RENEW_INTERVAL_S
    # Attempts started since the last renewal make it due at once; all attempts of a worker are
    # renewed together.
    if not due and keys <= worker.renewed_attempts:
        return {}
    until_s = lease_end_s(reading=worker.clock_reading, now_s=now_s)
    return {a.task: (a.attempt, until_s) for a in attempts}


def _is_renewable(state: RackState, worker: WorkerState, attempt: Attempt, now_s: float) -> bool:
    if attempt.is_ended or not is_current_attempt(state, worker.member.id, attempt):
        return False
    return may_renew(
        is_live=state.session.is_live(),
        is_fenced=state.session.fenced,
        now_s=now_s,
        last_live_s=state.session.last_live_s(),
        outage_run_s=state.rows.get(attempt.task).task.outage_run_s,
    )


def _send_renewal(
    state: RackState, worker: WorkerState, leases: dict[str, tuple[int, float]]
) -> None:
    now_s = state.clock.now_s()
    # Recorded before sending: without an answer, the renewal may still have taken effect.
    worker.last_sent_s = now_s
    sent = state.fleet.send(lambda: worker.control.renew(epoch=state.lease.epoch, leases=leases))
    if sent.is_ok():
        worker.renewed_at_s = now_s
        worker.renewed_attempts = frozenset(
            (task, attempt) for task, (attempt, _) in leases.items()
        )
