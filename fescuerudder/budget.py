"""Retry budget: retries may add only a small share to the load of a service."""

import threading
from collections import deque

from fescuerudder.clock import Clock

RETRY_SHARE = 0.1
RETRY_RESERVE = 10
WINDOW_S = 10.0


class RetryBudget:
    """Allows retries up to a share of the recent requests. Safe for use by several threads.

    Args:
        clock: source of time.
        share: retries allowed for each request of the window.
        reserve: retries always allowed within a window.
        window_s: length of the window in seconds.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        share: float = RETRY_SHARE,
        reserve: int = RETRY_RESERVE,
        window_s: float = WINDOW_S,
    ) -> None:
        self._clock = clock
        self._share = share
        self._reserve = reserve
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._lock = threading.Lock()

    def count_request(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._forget()
            self._requests.append(self._clock.now_s())

    def try_retry(self) -> bool:
        """Spends one retry of the budget; returns whether one was left."""
        with self._lock:
            self._forget()
            allowed = max(self._reserve, self._share * len(self._requests))
            if len(self._retries) + 1 > allowed:
                return False
            self._retries.append(self._clock.now_s())
            return True

    def _forget(self) -> None:
        start_s = self._clock.now_s() - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= start_s:
                times.popleft()
