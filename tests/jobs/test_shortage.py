"""Pools in which work waits for capacity."""

from types import SimpleNamespace

import pytest
from structlog.testing import capture_logs

from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.shortage import LOG_AFTER_S, ShortageLog, ShortageMonitor, WaitingTasks


def load(*, pool="a", processors=4.0, memory_mb=100):
    record = SimpleNamespace(info=SimpleNamespace(pool=pool))
    return SimpleNamespace(
        record=record, processors=processors, memory_mb=memory_mb, accelerators=0
    )


def tasks(*, pool="a", count=1, processors=2.0, memory_mb=10, **spec):
    size = Size(processors=processors, memory_mb=memory_mb)
    return WaitingTasks(pool=pool, step=Step(count=count, size=size, **spec), count=count)


@pytest.mark.parametrize(
    ("waiting", "short_pools"),
    [
        pytest.param([tasks(count=4)], set(), id="as much as is free"),
        pytest.param([tasks(count=5)], {"a"}, id="too many processors"),
        pytest.param([tasks(count=3), tasks(count=2)], {"a"}, id="too much together"),
        pytest.param([tasks(memory_mb=201)], {"a"}, id="too much memory"),
        pytest.param([tasks(pool="b", count=1)], {"b"}, id="a pool without workers"),
        pytest.param([tasks(count=9, long_running=True)], set(), id="long-running"),
        pytest.param([tasks(count=9, best_effort=True)], set(), id="best-effort"),
        pytest.param([], set(), id="nothing"),
    ],
)
def test_a_pool_is_short_while_tasks_need_more_than_is_free(waiting, short_pools):
    """Guards against an order for overload that is used on a quiet day, or not used in a burst."""
    assert ShortageMonitor().short_pools(waiting, [load(), load()], now_s=0.0) == short_pools


def test_a_pool_is_short_while_free_capacity_is_in_fragments():
    """Guards against a burst that is not noticed as no worker has room although much is free."""
    monitor = ShortageMonitor()
    monitor.record_unplaced({"a"})
    assert monitor.short_pools([tasks()], [load(processors=1.0)] * 8, now_s=0.0) == {"a"}
    monitor.record_unplaced(set())
    assert monitor.short_pools([tasks()], [load(processors=1.0)] * 8, now_s=0.0) == set()


def test_a_shortage_is_logged_once_with_its_length():
    """Guards against a log line for each plan, and against a shortage that operators never see."""
    log = ShortageLog()
    with capture_logs() as lines:
        for tick in range(100):
            is_short = 10 <= tick < 60 and tick % 10
            log.update({"a"} if is_short else set(), now_s=tick * LOG_AFTER_S / 10)
    assert [line["event"] for line in lines] == ["capacity short", "capacity no longer short"]
    assert lines[1]["short_s"] == pytest.approx(4.8 * LOG_AFTER_S)
