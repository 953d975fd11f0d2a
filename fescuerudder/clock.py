"""Clocks. Decisions take a `Clock` so that tests can replay any timing."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_s(self) -> float:
        """Returns seconds since an arbitrary start; never goes back."""

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits until `event` is set or `timeout_s` seconds passed; returns whether it is set."""


class SystemClock:
    """Monotonic clock of this machine.

    CLOCK_BOOTTIME also advances while the machine is suspended, so a lease can't outlive
    its time because its holder was paused.
    """

    def now_s(self) -> float:
        """Returns seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits on `event`; returns whether it is set."""
        return event.wait(timeout_s)


class ManualClock:
    """Clock that moves only when told to.

    Args:
        start_s: first reading in seconds.
    """

    def __init__(self, *, start_s: float = 0.0) -> None:
        self._now_s = start_s
        self._lock = threading.Lock()

    def now_s(self) -> float:
        """Returns the current reading in seconds."""
        with self._lock:
            return self._now_s

    def advance(self, *, seconds: float) -> None:
        """Moves the clock forward by `seconds`."""
        if seconds < 0:
            raise ValueError("a monotonic clock can't go back")
        with self._lock:
            self._now_s += seconds

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Advances by `timeout_s` unless `event` is set; returns whether it is set."""
        if not event.is_set():
            self.advance(seconds=timeout_s)
        return event.is_set()
