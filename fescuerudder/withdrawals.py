"""Withdraws replicas from requests before they are stopped, so that a stop cuts none off."""

from collections.abc import Callable

import attrs

from fescuerudder.clock import Clock
from fescuerudder.permits import LONGEST_REQUEST_S, PERMIT_TTL_S
from fescuerudder.rackports import SessionStatus

SPREAD_S = 2.5
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
        is_wanted: whether this cycle asked for it.
        effective_s: since when the granter certainly knows of it.
        published_s: since when a heartbeat that tells of it is certainly stored.
    """

    is_wanted: bool = True
    effective_s: float | None = None
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
        self._items: dict[tuple[str, str], _Withdrawal] = {}

    def begin_cycle(self) -> None:
        """Ends the withdrawals that the last cycle did not ask for."""
        self._items = {key: item for key, item in self._items.items() if item.is_wanted}
        now_s, beat_s = self._clock.now_s(), self._session.last_beat_s()
        for item in self._items.values():
            item.is_wanted = False
            if item.effective_s is None:
                # The granter learned of it at the end of the cycle that began it.
                item.effective_s = now_s
            elif item.published_s is None and beat_s is not None and beat_s > item.effective_s:
                item.published_s = now_s

    def is_withdrawn(self, worker: str, service: str) -> bool:
        """Returns whether the service on the worker must get no requests."""
        item = self._items.get((worker, service))
        return item is not None and item.is_wanted

    def may_stop(self, worker: str, service: str) -> bool:
        """Withdraws the service on the worker; returns whether a stop cuts off no request.

        Requests in progress are waited for `LONGEST_REQUEST_S` at most, the deadline of those
        that state none. Waiting for the longest stated one (a day) would keep a zone from
        being emptied.
        """
        item = self._items.setdefault((worker, service), _Withdrawal())
        item.is_wanted = True
        if item.effective_s is None or item.published_s is None:
            return False
        # No permit outlives its ttl; instances without permits go by the heartbeat.
        known_s = max(item.effective_s + PERMIT_TTL_S, item.published_s + SPREAD_S)
        now_s = self._clock.now_s()
        if now_s < known_s:
            return False
        return now_s >= known_s + LONGEST_REQUEST_S or not self._may_be_in_use(worker, service)
