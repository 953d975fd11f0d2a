"""Withdraws replicas from routing before they are stopped, so that no request is cut off."""

from collections.abc import Callable

import attrs

from fescuerudder.clock import Clock
from fescuerudder.permits import LONGEST_REQUEST_S, PERMIT_TTL_S
from fescuerudder.rackports import SessionStatus

HEARTBEAT_PROPAGATION_S = 2.5
"""Longest time until instances route by a stored heartbeat: they read heartbeats once a second and
update routes every half second."""

MayBeInUse = Callable[[str, str], bool]
"""Returns whether a request to (worker, service) may be in progress."""


def assume_in_use(worker: str, service: str) -> bool:
    """Returns True; the default for an owner without knowledge of requests."""
    return True


@attrs.define(kw_only=True)
class _Withdrawal:
    """Progress of the withdrawal of one service on one worker. Times are on the local clock.

    Args:
        is_requested: whether this cycle requested it.
        granter_knows_s: time from which the granter certainly grants no more permits.
        published_s: time from which a heartbeat with the withdrawal is certainly stored.
    """

    is_requested: bool = True
    granter_knows_s: float | None = None
    published_s: float | None = None


class Withdrawals:
    """Withdrawals in effect on one rack, by worker and service.

    A withdrawal that is not requested again in the next cycle ends, so that the replica serves
    again once its zone has returned or while the store is down. Nothing is stored: a new owner
    restarts each withdrawal.

    Args:
        clock: source of time.
        session: session whose heartbeats publish the withdrawals.
        may_be_in_use: returns whether a request to (worker, service) may be in progress.
    """

    def __init__(self, *, clock: Clock, session: SessionStatus, may_be_in_use: MayBeInUse) -> None:
        self._clock = clock
        self._session = session
        self._may_be_in_use = may_be_in_use
        self._withdrawals: dict[tuple[str, str], _Withdrawal] = {}

    def begin_cycle(self) -> None:
        """Ends the withdrawals that the last cycle did not request and advances the others."""
        self._withdrawals = {
            key: withdrawal
            for key, withdrawal in self._withdrawals.items()
            if withdrawal.is_requested
        }
        now_s, beat_s = self._clock.now_s(), self._session.last_beat_s()
        for withdrawal in self._withdrawals.values():
            withdrawal.is_requested = False
            if withdrawal.granter_knows_s is None:
                # The granter was updated at the end of the cycle that began the withdrawal.
                withdrawal.granter_knows_s = now_s
            elif (
                withdrawal.published_s is None
                and beat_s is not None
                and beat_s > withdrawal.granter_knows_s
            ):
                withdrawal.published_s = now_s

    def is_withdrawn(self, worker: str, service: str) -> bool:
        """Returns whether the service on the worker is withdrawn from routing."""
        withdrawal = self._withdrawals.get((worker, service))
        return withdrawal is not None and withdrawal.is_requested

    def request_stop(self, worker: str, service: str) -> bool:
        """Withdraws the service on the worker; returns whether it may be stopped now.

        The wait for requests in progress is limited to `LONGEST_REQUEST_S`, the deadline of
        requests that state none. With the longest deadline that can be stated (a day) as the
        limit, a zone could not be emptied in reasonable time.
        """
        withdrawal = self._withdrawals.setdefault((worker, service), _Withdrawal())
        withdrawal.is_requested = True
        if withdrawal.granter_knows_s is None or withdrawal.published_s is None:
            return False
        # Permits expire after their time to live; instances without permits route by heartbeats.
        all_know_s = max(
            withdrawal.granter_knows_s + PERMIT_TTL_S,
            withdrawal.published_s + HEARTBEAT_PROPAGATION_S,
        )
        now_s = self._clock.now_s()
        if now_s < all_know_s:
            return False
        return now_s >= all_know_s + LONGEST_REQUEST_S or not self._may_be_in_use(worker, service)
