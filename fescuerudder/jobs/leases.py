"""How long the leases of a leader may last, so that a successor knows when they have ended."""

from collections.abc import Callable

import attrs

from fescuerudder.jobs.workerrecord import CLOCK_DRIFT

LEASE_HORIZON_S = 9.0
"""Time after the last confirmed heartbeat at which the last lease ends."""

MIN_LEASE_S = 1.0
"""A lease that would be shorter is not given."""

TAKEOVER_MARGIN_S = 0.2


@attrs.frozen(kw_only=True)
class LeasePolicy:
    """Length of the leases that a leader gives.

    No lease ends later than LEASE_HORIZON_S after the last confirmed heartbeat. A lease that a
    successor does not know of has therefore expired PREDECESSOR_LEASES_S after its claim.

    Args:
        lease_s: usual length, in seconds.
        confirmed_s: returns when the last stored heartbeat was sent, on this instance's clock.
    """

    lease_s: float
    confirmed_s: Callable[[], float]

    def length_s(self, now_s: float) -> float:
        """Returns the length of a lease that begins now; 0 if none may be given."""
        left_s = self.confirmed_s() + LEASE_HORIZON_S - now_s
        return min(self.lease_s, left_s) if left_s >= MIN_LEASE_S else 0.0


PREDECESSOR_LEASES_S = LEASE_HORIZON_S / (1 - CLOCK_DRIFT) + TAKEOVER_MARGIN_S
"""Time after a claim at which all leases of earlier leaders have ended, also on slow clocks."""
