"""Which workers may get tasks now, whatever the tasks."""

from collections.abc import Callable

from fescuerudder.jobs.candidates import may_use
from fescuerudder.jobs.jobrun import StepRun
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerrecord import WorkerRecord


def takes_work(state: SchedulerState, record: WorkerRecord, now_s: float) -> bool:
    """Returns whether a worker may get tasks now."""
    return passes_quarantine(state, record) and is_usable(state, record, now_s)


def passes_quarantine(state: SchedulerState, record: WorkerRecord) -> bool:
    """Returns whether a worker is not quarantined, or is due for a probe."""
    return state.health.max_starts(record.id) != 0


def is_usable(state: SchedulerState, record: WorkerRecord, now_s: float) -> bool:
    """Returns whether a worker could take tasks, apart from quarantine."""
    return (
        record.listed
        and record.is_described
        and record.on_roster
        and not record.gone
        and record.resolved
        and not record.info.draining
        and not record.is_silent
        and record.info.zone not in state.zones_out
        and now_s >= max(record.no_starts_until_s, record.probation_until_s)
    )


_TAKES_NO_WORK: tuple[tuple[str, Callable[[SchedulerState, WorkerRecord, float], bool]], ...] = (
    ("zone out of service", lambda state, record, _: record.info.zone in state.zones_out),
    ("gone", lambda state, record, _: record.gone or not record.listed),
    ("not on the roster", lambda state, record, _: not record.on_roster or not record.is_described),
    ("runs of an earlier leader unresolved", lambda state, record, _: not record.resolved),
    ("draining", lambda state, record, _: record.info.draining),
    ("silent", lambda state, record, _: record.is_silent),
    ("pause after a refused start", lambda state, record, now_s: now_s < record.no_starts_until_s),
    (
        "a task on probation runs there",
        lambda state, record, now_s: now_s < record.probation_until_s,
    ),
)
"""Reasons for which a worker is not usable, the first one that applies.

They are the conditions of `is_usable`, which is written out as each plan asks it for each worker.
"""


def why_takes_no_work(state: SchedulerState, record: WorkerRecord, now_s: float) -> str:
    """Returns why a worker gets no tasks now, empty if it may."""
    if takes_work(state, record, now_s):
        return ""
    found = (reason for reason, applies in _TAKES_NO_WORK if applies(state, record, now_s))
    return next(found, "quarantined")


def usable_loads(state: SchedulerState, now_s: float) -> list[Load]:
    """Returns the loads of the workers that may get tasks now."""
    loads = []
    for record in state.workers.values():
        if takes_work(state, record, now_s):
            load = state.load_of(record, now_s=now_s)
            load.starts_left = state.health.max_starts(record.id)
            loads.append(load)
    return loads


def workers_for(state: SchedulerState, step: StepRun, now_s: float) -> list[WorkerRecord]:
    """Returns the workers that a step may use, quarantined ones included, with room or not."""
    queue = state.queues.get(step.job.job.queue)
    if queue is None:
        return []
    return [
        record
        for record in state.workers.values()
        if may_use(record, step.spec, queue) and is_usable(state, record, now_s)
    ]
