"""Events of the control loop of a rack, for logs, metrics and the burn report."""

from collections.abc import Callable
from typing import Literal

import attrs

from fescuerudder.task import Task

EventKind = Literal["assign", "start", "evict", "end", "remedy", "quarantine", "unschedulable"]


@attrs.frozen(kw_only=True)
class RackEvent:
    """One event. The event of a write is reported only after the write is durable.

    Args:
        kind: kind of the event.
        detail: a short fixed code: the reason of an eviction (`zone`, `leaving`,
            `interference`, `quota`), the end of an attempt (`finished`, `failed`,
            `cancelled`, `lost`, `not_started`) or the remedy.
        task: task id, empty for a quarantine.
        trace_id: trace id of the task.
        service: service of the task.
        attempt: attempt of the task.
        worker: worker concerned.
    """

    kind: EventKind
    detail: str = ""
    task: str = ""
    trace_id: str = ""
    service: str = ""
    attempt: int = 0
    worker: str = ""


RackObserver = Callable[[RackEvent], None]
"""Handles an event. May be called by any thread; must not block."""


def ignore_event(event: RackEvent) -> None:
    """Ignores an event."""


def task_event(kind: EventKind, task: Task, *, detail: str = "") -> RackEvent:
    """Returns an event of a task."""
    return RackEvent(
        kind=kind,
        detail=detail,
        task=task.id,
        trace_id=task.trace_id,
        service=task.service,
        attempt=task.attempt,
        worker=task.worker,
    )
