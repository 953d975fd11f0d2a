"""Ends of leases, who may renew them, and the wait until one has certainly expired."""

import pytest

from fescuerudder.leases import ClockReading, certain_expiry_s, lease_end_s, may_renew
from fescuerudder.ownership_types import RackLease


def test_delay_before_sending_does_not_extend_a_lease():
    reading = ClockReading(worker_s=500.0, received_at_s=10.0)
    assert lease_end_s(reading=reading, now_s=12.0) == 517.0


@pytest.mark.parametrize(
    ("is_live", "is_fenced", "now_s", "expected"),
    [(True, False, 500, True), (False, False, 109, True), (False, False, 111, False)]
    + [(True, True, 0, False), (False, True, 0, False)],
)
def test_who_may_renew(is_live, is_fenced, now_s, expected):
    times = {"now_s": now_s, "last_live_s": 100, "outage_run_s": 10}
    assert may_renew(is_live=is_live, is_fenced=is_fenced, **times) is expected


@pytest.mark.parametrize(
    ("planned", "continuous", "fenced_at_s", "last_sent_s", "expected"),
    [
        (False, False, None, None, 100 + 40 + 15.5),
        (True, False, None, None, 115.5),
        (False, True, None, 130, 145.5),
        (False, False, 105, None, 120.5),
        (False, False, 105, 140, 155.5),
    ],
)
def test_wait_for_an_unreachable_worker(planned, continuous, fenced_at_s, last_sent_s, expected):
    lease = RackLease(
        rack="r", epoch=1, version=1, gained_at_s=100, planned=planned, continuous=continuous
    )
    expired_at_s = certain_expiry_s(
        lease=lease, outage_run_s=40, fenced_at_s=fenced_at_s, last_sent_s=last_sent_s
    )
    assert expired_at_s == expected
