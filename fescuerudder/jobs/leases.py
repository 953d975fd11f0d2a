"""How long the leases of a leader may last, so that a successor knows when they have ended."""

from collections.abc import Callable

import attrs

from fescuerudder.jobs.workerrecord import CLOCK_DRIFT

HORIZON_S = 9.0
"""Time after the last confirmed heartbeat at which the last lease ends."""

LEAST_LEASE_S = 1.0
"""A lease that would be shorter is not given."""

TAKEOVER_MARGIN_S = 0.2


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """Length of the leases that a leader gives.

    No lease ends later than HORIZON_S after the leader last knew that it led. What a successor
    can't see has therefore ended `PREDECESSOR_S` after its claim.

    Args:
        lease_s: usual length, in seconds.
        confirmed_s: returns when the last stored heartbeat was sent, on this instance's clock.
    """

    lease_s: float
    confirmed_s: Callable[[], float]

    def length_s(self, now_s: float) -> float:
        """Returns the length of a lease that begins now; 0 if none may be given."""
        left_s = self.confirmed_s() + HORIZON_S - now_s
        return min(self.lease_s, left_s) if left_s >= LEAST_LEASE_S else 0.0


PREDECESSOR_S = HORIZON_S / (1 - CLOCK_DRIFT) + TAKEOVER_MARGIN_S
"""Time after a claim at which all leases of earlier leaders have ended, also on slow clocks."""
