"""Whether a store counts as reachable, by the outcomes of its calls."""

import contextlib

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.errors import PlatformError
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.monitoredstore import MonitoredStore
from fescuerudder.jobs.rows import RowConflictError, RowKey, RowTransaction
from standins.rows import MemoryRowStore

KEY = RowKey("jobs", "p0", "a")
CREATE = RowTransaction(expects=((KEY, 0),), puts=((KEY, b"x"),))


@pytest.mark.parametrize(
    ("calls", "is_down"),
    [
        ([(0.0, True)], False),
        ([(0.0, False), (0.1, False)], False),
        ([(0.0, False), (0.3, False)], True),
        ([(0.0, False), (0.3, False), (0.4, True)], False),
        ([(0.0, False), (0.3, True), (0.6, False)], False),
    ],
)
def test_a_store_is_down_while_every_call_fails(calls, is_down):
    """Guards against a store that counts as down after one lost call, or as up in an outage."""
    clock, rows = ManualClock(), MemoryRowStore()
    with JobMetrics(instance="n") as metrics:
        store = MonitoredStore(store=rows, clock=clock, metrics=metrics)
        for at_s, succeeds in calls:
            clock.advance(seconds=at_s - clock.now_s())
            rows.faults.down = not succeeds
            with contextlib.suppress(PlatformError):
                store.read(table="jobs", partition="p0", timeout_s=1.0)
        assert store.is_down is is_down


def test_a_conflict_counts_as_an_answer():
    """Guards against a store that counts as down because it refused to create an existing row."""
    clock, rows = ManualClock(), MemoryRowStore()
    with JobMetrics(instance="n") as metrics:
        store = MonitoredStore(store=rows, clock=clock, metrics=metrics)
        store.write(CREATE, timeout_s=1.0)
        clock.advance(seconds=5.0)
        with pytest.raises(RowConflictError):
            store.write(CREATE, timeout_s=1.0)
        assert store.answer_age_s == 0.0
        assert not store.is_down
