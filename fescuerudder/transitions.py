"""Transactions of task transitions, with the checks that fence a stale owner."""

import attrs

from fescuerudder.ownership_types import RackLease
from fescuerudder.table import Check, Put, Transaction
from fescuerudder.task import Task, queue_key, queue_put, task_key, task_put


@attrs.frozen(kw_only=True)
class StoredTask:
    """A task as last read or written, with the version of its row."""

    task: Task
    version: int


def rack_key(rack: str) -> str:
    """Returns the key of the row that records the owner of a rack."""
    return f"rack/{rack}"


def assigned_prefix(rack: str) -> str:
    """Returns the prefix of the rows that list the assigned tasks of a rack."""
    return f"assigned/{rack}/"


def assigned_key(rack: str, task_id: str) -> str:
    """Returns the key of the row that lists an assigned task under its rack.

    These rows save a new owner from reading all tasks to find those of the rack.
    """
    return f"{assigned_prefix(rack)}{task_id}"


def transition(*, lease: RackLease, stored: StoredTask, new: Task) -> Transaction:
    """Returns the transaction that replaces the stored task by `new`.

    The transaction checks the version of the rack row, which fences a stale owner, and that of the
    task row, so that no concurrent change is overwritten. It updates the queue and assignment rows.
    """
    before, after = _index_key(stored.task), _index_key(new)
    return Transaction(
        checks=(
            Check(key=rack_key(lease.rack), version=lease.version),
            Check(key=task_key(new.id), version=stored.version),
        ),
        puts=(task_put(new), *_index_puts(new)),
        deletes=(before,) if before and before != after else (),
    )


def _index_key(task: Task) -> str:
    if task.state == "queued":
        return queue_key(task.rack, task.id)
    if task.state == "assigned":
        return assigned_key(task.rack, task.id)
    return ""


def _index_puts(task: Task) -> tuple[Put, ...]:
    if task.state == "queued":
        return (queue_put(task),)
    if task.state == "assigned":
        value = {"task": task.id, "worker": task.worker, "txn": task.txn}
        return (Put(key=assigned_key(task.rack, task.id), value=value),)
    return ()
