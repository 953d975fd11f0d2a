"""The retry budget bounds the load that retries add."""

import pytest

from fescuerudder.budget import RetryBudget
from fescuerudder.clock import ManualClock


@pytest.mark.parametrize(
    ("requests", "wait_s", "allowed"), [(0, 0, 10), (50, 0, 10), (300, 0, 30), (300, 10, 10)]
)
def test_retries_are_bounded_by_recent_requests(requests, wait_s, allowed):
    """Guards against retry storms, and against no retries at all under little load."""
    clock = ManualClock()
    budget = RetryBudget(clock=clock)
    for _ in range(requests):
        budget.count_request()
    clock.advance(seconds=wait_s)
    assert sum(budget.try_retry() for _ in range(100)) == allowed
