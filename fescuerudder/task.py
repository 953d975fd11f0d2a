"""Tasks: their rows in the table and the transitions between states."""

import hashlib
from typing import Any, Literal

import attrs
import cattrs

from fescuerudder.document import DEFAULT_OUTAGE_RUN_S, Size
from fescuerudder.table import Put

TaskState = Literal["queued", "assigned", "finished", "cancelled", "failed"]
TaskKind = Literal["batch", "replica"]

MAX_FAILED_WORKERS = 3
"""A task that failed on this many different workers fails for good."""

FINAL_STATES: frozenset[TaskState] = frozenset({"finished", "cancelled", "failed"})


@attrs.frozen(kw_only=True)
class Task:
    """The content of a task row.

    Args:
        id: unique id.
        service: service whose document it runs under.
        team: team of the service.
        kind: `batch` or `replica` (long-running task of a latency-critical service).
        size: committed resources.
        zones: allowed availability zones; empty allows all.
        urgent: whether it is assigned before tasks that are not urgent.
        payload: opaque input for the worker.
        body_hash: hash of the submission, to detect a reused idempotency key.
        submitted_at_s: wall-clock time of submission, for ordering only.
        state: state of the row.
        rack: rack in whose queue the task waits or on which it is assigned.
        worker: assigned worker, empty while queued.
        worker_incarnation: incarnation of the assigned worker.
        attempt: number of the current or latest assignment, from 1.
        epoch: rack epoch of the current assignment.
        checkpoint: object name to resume from, or empty.
        evictions: number of completed evictions.
        failed_workers: workers on which an attempt failed.
        cancel_requested: whether cancellation was requested.
        outage_run_s: how long an attempt may run on without the store.
        result: result or reason of failure.
        trace_id: id that follows the task through all logs.
        txn: id of the transaction that wrote the row.
    """

    id: str
    service: str
    team: str
    kind: TaskKind
    size: Size
    zones: tuple[str, ...] = ()
    urgent: bool = False
    payload: str = ""
    body_hash: str = ""
    submitted_at_s: float = 0.0
    state: TaskState = "queued"
    rack: str = ""
    worker: str = ""
    worker_incarnation: str = ""
    attempt: int = 0
    epoch: int = 0
    checkpoint: str = ""
    evictions: int = 0
    failed_workers: tuple[str, ...] = ()
    cancel_requested: bool = False
    outage_run_s: float = DEFAULT_OUTAGE_RUN_S
    result: str = ""
    trace_id: str = ""
    txn: str = ""

    @property
    def is_final(self) -> bool:
        """Whether the task is in a final state."""
        return self.state in FINAL_STATES


# Unknown fields are ignored on purpose, since a newer version may have written the row.
_CONVERTER = cattrs.Converter()


def task_key(task_id: str) -> str:
    """Returns the key of a task row."""
    return f"task/{task_id}"


def queue_key(rack: str, task_id: str) -> str:
    """Returns the key of a queue row."""
    return f"queue/{rack}/{task_id}"


def task_id_for(*, service: str, idempotency_key: str) -> str:
    """Returns the id of the task that a caller submits under `idempotency_key`."""
    digest = hashlib.sha256(f"{service}\0{idempotency_key}".encode())
    return digest.hexdigest()[:32]


def dump_task(task: Task) -> dict[str, Any]:
    """Returns the row value of `task`."""
    return _CONVERTER.unstructure(task)


def load_task(value: dict[str, Any]) -> Task:
    """Returns the task of a row value."""
    return _CONVERTER.structure(value, Task)


def task_put(task: Task) -> Put:
    """Returns the write of the task row."""
    return Put(key=task_key(task.id), value=dump_task(task))


def queue_put(task: Task) -> Put:
    """Returns the write of the queue row."""
    value = {
        "task": task.id,
        "service": task.service,
        "team": task.team,
        "urgent": task.urgent,
        "submitted_at_s": task.submitted_at_s,
        "txn": task.txn,
    }
    return Put(key=queue_key(task.rack, task.id), value=value)


def assigned(task: Task, *, worker: str, worker_incarnation: str, epoch: int, txn: str) -> Task:
    """Returns the task with its next attempt assigned to `worker`."""
    _require_state(task, "queued")
    return attrs.evolve(
        task,
        state="assigned",
        worker=worker,
        worker_incarnation=worker_incarnation,
        epoch=epoch,
        attempt=task.attempt + 1,
        txn=txn,
    )


def requeued(task: Task, *, rack: str, checkpoint: str, evicted: bool, txn: str) -> Task:
    """Returns the task queued again on `rack`; its attempt must have certainly ended."""
    _require_state(task, "assigned")
    return attrs.evolve(
        task,
        state="queued",
        rack=rack,
        worker="",
        worker_incarnation="",
        checkpoint=checkpoint or task.checkpoint,
        evictions=task.evictions + (1 if evicted else 0),
        txn=txn,
    )


def transferred(task: Task, *, rack: str, txn: str) -> Task:
    """Returns the queued task moved to the queue of another rack."""
    _require_state(task, "queued")
    return attrs.evolve(task, rack=rack, txn=txn)


def finished(task: Task, *, result: str, txn: str) -> Task:
    """Returns the task finished with `result`."""
    _require_state(task, "assigned")
    return attrs.evolve(task, state="finished", result=result, txn=txn)


def attempt_failed(task: Task, *, rack: str, reason: str, txn: str) -> Task:
    """Returns the task after its attempt failed: queued again, or failed for good."""
    _require_state(task, "assigned")
    failed_workers = tuple(sorted({*task.failed_workers, task.worker}))
    if len(failed_workers) >= MAX_FAILED_WORKERS:
        return attrs.evolve(
            task, state="failed", result=reason, failed_workers=failed_workers, txn=txn
        )
    queued = requeued(task, rack=rack, checkpoint="", evicted=False, txn=txn)
    return attrs.evolve(queued, failed_workers=failed_workers)


def cancelled(task: Task, *, txn: str) -> Task:
    """Returns the task cancelled; an assigned attempt must have certainly ended."""
    if task.is_final:
        raise ValueError(f"task {task.id} is already {task.state}")
    return attrs.evolve(task, state="cancelled", cancel_requested=True, txn=txn)


def _require_state(task: Task, state: TaskState) -> None:
    if task.state != state:
        raise ValueError(f"task {task.id} is {task.state}, not {state}")
