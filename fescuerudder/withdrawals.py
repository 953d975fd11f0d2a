"""Withdraws replicas from requests before they are stopped, so that a stop cuts none off."""

from collections.abc import Callable

import attrs

from fescuerudder.clock import Clock
from fescuerudder.permits import LONGEST_REQUEST_S, PERMIT_TTL_S
from fescuerudder.rackports import SessionStatus

HEARTBEAT_PROPAGATION_S = 2.5
"""Longest time from a heartbeat to its use: read each second, routes set each half second."""

MayBeInUse = Callable[[str, str], bool]
"""Returns whether a request to (worker, service) may be in progress."""


def assume_in_use(worker: str, service: str) -> bool:
    """Returns True, for an owner that knows nothing of requests."""
    return True


@attrs.define(kw_only=True)
class _Withdrawal:
    """One withdrawal.

    Args:
        is_requested: whether this cycle asked for it.
        granter_knows_s: since when the granter certainly knows of it.
        published_s: since when a heartbeat that tells of it is certainly stored.
    """

    is_requested: bool = True
    granter_knows_s: float | None = None
    published_s: float | None = None


class Withdrawals:
    """Withdrawals in force on one rack, by worker and service.

    A withdrawal that a cycle does not ask for ends, so that the replica serves again when its
    zone returned or the store is down. Nothing is stored: a new owner begins anew.

    Args:
        clock: source of time.
        session: its heartbeats publish the withdrawals.
        may_be_in_use: whether a request may be in progress.
    """

    def __init__(self, *, clock: Clock, session: SessionStatus, may_be_in_use: MayBeInUse) -> None:
        self._clock = clock
        self._session = session
        self._may_be_in_use = may_be_in_use
        self._withdrawals: dict[tuple[str, str], _Withdrawal] = {}

    def begin_cycle(self) -> None:
        """Ends the withdrawals that the last cycle did not ask for."""
        self._withdrawals = {
            key: withdrawal
            for key, withdrawal in self._withdrawals.items()
            if withdrawal.is_requested
        }
        now_s, beat_s = self._clock.now_s(), self._session.last_beat_s()
        for withdrawal in self._withdrawals.values():
            withdrawal.is_requested = False
            if withdrawal.granter_knows_s is None:
                # The granter learned of it at the end of the cycle that began it.
                withdrawal.granter_knows_s = now_s
            elif (
                withdrawal.published_s is None
                and beat_s is not None
                and beat_s > withdrawal.granter_knows_s
            ):
                withdrawal.published_s = now_s

    def is_withdrawn(self, worker: str, service: str) -> bool:
        """Returns whether the service on the worker must get no requests."""
        withdrawal = self._withdrawals.get((worker, service))
        return withdrawal is not None and withdrawal.is_requested

    def request_stop(self, worker: str, service: str) -> bool:
        """Withdraws the service on the worker; returns whether a stop cuts off no request.

        Requests in progress are waited for `LONGEST_REQUEST_S` at most, the deadline of those
        that state none. Waiting for the longest stated one (a day) would keep a zone from
        being emptied.
        """
        withdrawal = self._withdrawals.setdefault((worker, service), _Withdrawal())
        withdrawal.is_requested = True
        if withdrawal.granter_knows_s is None or withdrawal.published_s is None:
            return False
        # No permit outlives its ttl; instances without permits go by the heartbeat.
        all_know_s = max(
            withdrawal.granter_knows_s + PERMIT_TTL_S,
            withdrawal.published_s + HEARTBEAT_PROPAGATION_S,
        )
        now_s = self._clock.now_s()
        if now_s < all_know_s:
            return False
        return now_s >= all_know_s + LONGEST_REQUEST_S or not self._may_be_in_use(worker, service)
