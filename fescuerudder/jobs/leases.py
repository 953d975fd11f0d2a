"""Bounds on the leases of a leader, from which a successor knows when they have expired."""

from collections.abc import Callable

import attrs

from fescuerudder.jobs.workerrecord import CLOCK_DRIFT, longest_lease_s

LEASE_HORIZON_S = 8.0
"""Time after the last stored bound at which the last lease ends at the latest. A task that lasts
must run again within 9 s of the loss of its worker, also if the leader is lost with it."""

UNBOUND_HORIZON_S = 9.0
"""The same, after its last heartbeat, of a leader that stored no bound."""

MIN_LEASE_S = 1.0
"""Minimum length of a lease; a shorter one is not granted."""

TAKEOVER_MARGIN_S = 0.2

STORE_OUT_S = 1.0
"""Time without an answer to a write from which the store counts as out; a slow store needs most of
a second for one."""


@attrs.frozen(kw_only=True)
class LeasePolicy:
    """Length of the leases that a leader grants.

    No lease ends later than LEASE_HORIZON_S after the last stored bound was made, so a successor
    that reads the bound knows when all leases have expired. Without one they have expired
    `predecessor_leases_s` after its claim. An order to an earlier incarnation of a worker may
    extend leases beyond the horizon; the bound covers these too.

    Args:
        lease_s: usual length, in seconds.
        max_lease_s: longest lease that a worker grants, in seconds. The deadline in a late order
            may seem far off to a later incarnation, whose clock has started anew.
        confirmed_s: returns when the last stored heartbeat was sent, on this instance's clock.
        answered_s: returns when the answer that confirmed it arrived.
        bounded_s: returns when the last stored bound on leases was made, on this instance's clock.
    """

    lease_s: float
    confirmed_s: Callable[[], float]
    answered_s: Callable[[], float]
    bounded_s: Callable[[], float]
    max_lease_s: float = LEASE_HORIZON_S

    def length_s(self, now_s: float) -> float:
        """Returns the length of a lease that begins now; 0 if none may be granted."""
        left_s = self.bounded_s() + LEASE_HORIZON_S - now_s
        return min(self.lease_s, left_s) if left_s >= MIN_LEASE_S else 0.0

    def is_store_out(self, now_s: float) -> bool:
        """Returns whether no write was answered for so long that the store seems to be out.

        The age of the confirmed heartbeat says less: with a store that needs 0.7 s for a write, it
        grows to two writes, and starts would be withdrawn while their records are being stored.
        """
        return now_s - self.answered_s() >= STORE_OUT_S


PREDECESSOR_LEASES_S = UNBOUND_HORIZON_S / (1 - CLOCK_DRIFT) + TAKEOVER_MARGIN_S
"""Time after a claim at which all leases that earlier leaders granted have expired, even on slow
clocks."""

BOUND_S = LEASE_HORIZON_S / (1 - CLOCK_DRIFT) + TAKEOVER_MARGIN_S
"""The same after the last bound of the latest of them was made."""


def predecessor_leases_s(max_lease_s: float) -> float:
    """Returns the time after a claim at which all leases have expired that began before it.

    Those that earlier leaders granted end after PREDECESSOR_LEASES_S, and those that an order to an
    earlier incarnation of a worker extended after the longest lease.

    Args:
        max_lease_s: longest lease that a worker grants, in seconds.
    """
    return max(PREDECESSOR_LEASES_S, longest_lease_s(max_lease_s) + TAKEOVER_MARGIN_S)
