"""Selection of the running attempts that may be stopped without cutting off a request."""

from fescuerudder.fleet import WorkerState
from fescuerudder.rackstate import RackState
from fescuerudder.renewals import is_current_attempt
from fescuerudder.transitions import StoredTask

RunningTask = tuple[StoredTask, WorkerState]


def select_stoppable(state: RackState, pairs: list[RunningTask]) -> list[RunningTask]:
    """Returns those of `pairs` that may be stopped together; withdraws the others.

    A replica may be stopped at once if another replica of its service remains on the worker.
    """
    due = {stored.task.id for stored, _ in pairs}
    return [(stored, worker) for stored, worker in pairs if _is_ready(state, stored, worker, due)]


def _is_ready(state: RackState, stored: StoredTask, worker: WorkerState, due: set[str]) -> bool:
    service, name = stored.task.service, worker.member.id
    if stored.task.kind != "replica" or _has_other(state, service, worker, due):
        return True
    return state.withdrawals.request_stop(name, service)


def _has_other(state: RackState, service: str, worker: WorkerState, due: set[str]) -> bool:
    return any(
        attempt.service == service
        and not attempt.is_ended
        and attempt.task not in due
        and is_current_attempt(state, worker.member.id, attempt)
        for attempt in worker.attempts
    )
