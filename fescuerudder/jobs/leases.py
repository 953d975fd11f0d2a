"""Bounds on the leases of a leader, from which a successor knows when they have expired."""

from collections.abc import Callable

import attrs

from fescuerudder.jobs.workerrecord import CLOCK_DRIFT

LEASE_HORIZON_S = 9.0
"""Time after the last confirmed heartbeat at which the last lease ends at the latest."""

MIN_LEASE_S = 1.0
"""Minimum length of a lease; a shorter one is not granted."""

TAKEOVER_MARGIN_S = 0.2

STORE_OUT_S = 1.0
"""Time without a confirmed heartbeat from which the store counts as out; a slow store needs most of
a second."""


@attrs.frozen(kw_only=True)
class LeasePolicy:
    """Length of the leases that a leader grants.

    No lease ends later than LEASE_HORIZON_S after the last confirmed heartbeat. A lease that a
    successor does not know of has therefore expired PREDECESSOR_LEASES_S after its claim.

    Args:
        lease_s: usual length, in seconds.
        confirmed_s: returns when the last stored heartbeat was sent, on this instance's clock.
    """

    lease_s: float
    confirmed_s: Callable[[], float]

    def length_s(self, now_s: float) -> float:
        """Returns the length of a lease that begins now; 0 if none may be granted."""
        left_s = self.confirmed_s() + LEASE_HORIZON_S - now_s
        return min(self.lease_s, left_s) if left_s >= MIN_LEASE_S else 0.0

    def is_store_out(self, now_s: float) -> bool:
        """Returns whether no heartbeat was confirmed for so long that the store seems to be out."""
        return now_s - self.confirmed_s() >= STORE_OUT_S


PREDECESSOR_LEASES_S = LEASE_HORIZON_S / (1 - CLOCK_DRIFT) + TAKEOVER_MARGIN_S
"""Time after a claim at which all leases of earlier leaders have expired, even on slow clocks."""
