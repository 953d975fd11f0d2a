"""Task leases: their ends, who may renew them, and when they have certainly expired."""

import attrs

from fescuerudder.ownership_types import RackLease

TASK_LEASE_S = 15.0
RENEW_INTERVAL_S = 3.0
START_WINDOW_S = 1.0

LEASE_MARGIN_S = 0.5
"""Added to each wait for the end of a lease, since clocks of two machines advance at slightly
different rates."""


@attrs.frozen(kw_only=True)
class ClockReading:
    """A reading of a worker's clock, in seconds.

    Args:
        worker_s: time on the worker's clock when it answered.
        received_at_s: time on the local clock when the answer arrived.
    """

    worker_s: float
    received_at_s: float

    def estimate_s(self, *, now_s: float) -> float:
        """Returns a lower bound of the worker's clock at `now_s` on the local clock."""
        return self.worker_s + (now_s - self.received_at_s)


def lease_end_s(*, reading: ClockReading, now_s: float) -> float:
    """Returns the end, on the worker's clock, of a lease that is granted now."""
    return reading.estimate_s(now_s=now_s) + TASK_LEASE_S


def start_deadline_s(*, reading: ClockReading, now_s: float) -> float:
    """Returns the time on the worker's clock after which it refuses a start sent now."""
    return reading.estimate_s(now_s=now_s) + START_WINDOW_S


def may_renew(
    *, is_live: bool, is_fenced: bool, now_s: float, last_live_s: float, outage_run_s: float
) -> bool:
    """Returns whether an owner may renew the lease of a task.

    Args:
        is_live: whether the owner's session is live.
        is_fenced: whether the owner was fenced.
        now_s: time on the local clock.
        last_live_s: until when, on the local clock, the session was live.
        outage_run_s: how long the task may run on after that without the store.
    """
    if is_fenced:
        return False
    return is_live or now_s <= last_live_s + outage_run_s


def certain_expiry_s(
    *,
    lease: RackLease,
    outage_run_s: float,
    fenced_at_s: float | None,
    last_sent_s: float | None,
) -> float:
    """Returns the time on the local clock from which an unreachable worker runs no attempt.

    Args:
        lease: ownership of the rack.
        outage_run_s: how long a former owner may have renewed without the store.
        fenced_at_s: when the worker was first known to refuse former owners, if ever.
        last_sent_s: when the last renewal or start was sent to the worker, if any.
    """
    # Once the worker refuses former owners, only renewals of this owner extend its leases.
    if fenced_at_s is not None:
        bound_s = fenced_at_s + TASK_LEASE_S
    elif lease.planned or lease.continuous:
        bound_s = lease.gained_at_s + TASK_LEASE_S
    else:
        bound_s = lease.gained_at_s + outage_run_s + TASK_LEASE_S
    if last_sent_s is not None:
        bound_s = max(bound_s, last_sent_s + TASK_LEASE_S)
    return bound_s + LEASE_MARGIN_S
