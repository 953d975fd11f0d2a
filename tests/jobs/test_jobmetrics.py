"""Metrics of an instance that serves jobs."""

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.monitoredstore import MonitoredStore
from fescuerudder.jobs.rows import RowKey, RowTransaction
from standins.rows import MemoryRowStore

TXN = RowTransaction(puts=((RowKey("t", "", "k"), b"v"),))


def test_each_log_event_is_counted_by_its_outcome():
    """Guards against failures that the counters don't show, and job ids as labels."""
    with JobMetrics(instance="a") as metrics:
        for end in ("done", "done", "failed"):
            event = {"event": "attempt ended", "end": end, "job": "secret"}
            assert metrics.count_event(None, "info", event) is event
        text = metrics.render().decode()
    counts = [line for line in text.splitlines() if line.startswith("fescuerudder_decisions")]
    assert [line.rsplit(" ", 1)[1] for line in sorted(counts)] == ["2.0", "1.0"]
    assert "secret" not in text


@pytest.mark.parametrize(
    ("fault", "outcome", "is_reached"),
    [
        ({}, "answered", True),
        ({"down": True}, "StoreUnavailableError", False),
        ({"lose_answers": 1}, "StoreOutcomeUnknownError", False),
    ],
)
def test_store_calls_are_timed_by_outcome(fault, outcome, is_reached):
    """Guards against store failures without a metric, and against a failure taken for an answer."""
    clock, rows = ManualClock(), MemoryRowStore()
    for name, value in fault.items():
        setattr(rows.faults, name, value)
    with JobMetrics(instance="a") as metrics:
        store = MonitoredStore(store=rows, clock=clock, metrics=metrics)
        clock.advance(seconds=5.0)
        try:
            store.write(TXN, timeout_s=1.0)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
            assert type(exc).__name__ == outcome
        assert (store.answer_age_s == 0.0) is is_reached
        assert f'operation="write",outcome="{outcome}",peer="store"' in metrics.render().decode()


@pytest.mark.parametrize(
    ("seconds", "bound"), [(0.0, "0.005"), (0.005, "0.005"), (0.006, "0.01"), (9.0, "+Inf")]
)
def test_a_call_is_counted_in_the_bucket_of_its_duration(seconds, bound):
    """Guards against latencies that are shown one bucket too low or too high."""
    with JobMetrics(instance="a") as metrics:
        metrics.record_call(peer="worker", operation="StartOrder", outcome="done", seconds=seconds)
        lines = metrics.render().decode().splitlines()
    buckets = [
        line for line in lines if line.startswith("fescuerudder_call_latency_seconds_bucket")
    ]
    counted = [line for line in buckets if line.endswith(" 1.0")]
    assert f'le="{bound}"' in counted[0]


WAITING = {
    "event": "steps wait",
    "result": "no room",
    "steps": 3,
    "longest_s": 4.5,
    "job": "secret",
}


@pytest.mark.parametrize(
    ("later", "passed_s", "is_shown"),
    [
        (None, 0.0, True),
        (None, 11.0, True),
        (None, 13.0, False),
        ({"event": "steps wait no more", "result": "no room"}, 0.0, False),
        ({"event": "steps wait no more", "result": "other"}, 0.0, True),
        ({"event": "leadership lost", "reason": "r"}, 0.0, False),
        ({"event": "term ended", "epoch": 1}, 0.0, False),
    ],
)
def test_waiting_steps_are_shown_while_they_wait(later, passed_s, is_shown):
    """Guards against waits without a metric, and against a metric that outlasts them."""
    clock = ManualClock()
    with JobMetrics(instance="a", clock=clock) as metrics:
        metrics.count_event(None, "warning", dict(WAITING))
        if later is not None:
            metrics.count_event(None, "info", later)
        clock.advance(seconds=passed_s)
        lines = metrics.render().decode().splitlines()
    shown = [line for line in lines if line.startswith("fescuerudder_waiting_steps")]
    expected = [
        'fescuerudder_waiting_steps{reason="no room"} 3.0',
        'fescuerudder_waiting_steps_longest_seconds{reason="no room"} 4.5',
    ]
    assert shown == (expected if is_shown else [])
    assert not any("secret" in line for line in lines)


@pytest.mark.parametrize(("seconds", "bound"), [(0.1, "0.1"), (3.0, "3.0"), (3.01, "5.0")])
def test_the_first_start_after_a_takeover_is_counted_by_its_time(seconds, bound):
    """Guards against waits of over 3 s that the histogram counts as shorter ones."""
    event = {"event": "older job goes on", "result": "held back", "after_claim_s": seconds}
    with JobMetrics(instance="a") as metrics:
        metrics.count_event(None, "info", event)
        lines = metrics.render().decode().splitlines()
    name = "fescuerudder_takeover_first_start_seconds_bucket"
    counted = [line for line in lines if line.startswith(name) and line.endswith(" 1.0")]
    assert f'le="{bound}",result="held back"' in counted[0]
