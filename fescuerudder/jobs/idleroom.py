"""When a job that nothing runs of may use workers that would otherwise be left out."""

from collections import Counter
from collections.abc import Iterable

from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.load import Load

MAX_IDLE_SHARE = 0.5
"""Share of a pool's processors that may be free while a job that could run has nothing running."""

MAX_STANDSTILL_S = 2.0
"""Time for which a job may have nothing running beside such a pool."""

ANY_HEADROOM = -100.0
"""Headroom below all that is measured."""


def idle_pools(loads: Iterable[Load]) -> set[str]:
    """Returns the pools of which at least MAX_IDLE_SHARE is not reserved."""
    free: Counter[str] = Counter()
    total: Counter[str] = Counter()
    for load in loads:
        info = load.record.info
        free[info.pool] += max(0.0, load.processors)
        total[info.pool] += info.capacity.processors
    return {pool for pool in total if free[pool] >= MAX_IDLE_SHARE * total[pool] > 0.0}


def stands_still(run: JobRun, now_s: float) -> bool:
    """Returns whether a job has had no live attempt for MAX_STANDSTILL_S."""
    since_s = max(run.received_s, run.last_active_s)
    for step in run.steps.values():
        if step.opened_s is None:
            continue
        since_s = max(since_s, step.opened_s)
        for task in step.tasks:
            if task.attempts:
                return False
            since_s = max(since_s, task.last_end_s)
    return now_s - since_s >= MAX_STANDSTILL_S
