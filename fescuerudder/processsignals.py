"""Signals to a process that serves, taken from its first lines on.

Without a handler, SIGHUP and SIGTERM end the process at once. The imports of a node alone take up
to half a second, so `__main__` installs the handlers before them. This module must therefore import
nothing that is slow.
"""

import contextlib
import queue
import signal
from collections.abc import Iterable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
COMMAND_SIGNALS = {"node": (signal.SIGHUP, *STOP_SIGNALS), "entry": STOP_SIGNALS}
"""Signals that the commands that serve handle. `entry` has no settings that it could read again."""


class ProcessSignals:
    """Records the signals that arrive, until the process is ready to act on them."""

    def __init__(self) -> None:
        self._is_stop_requested = False
        self._is_reload_requested = False
        # Unlike an Event, it may be used in a handler that interrupts a wait for it.
        self._arrivals: queue.SimpleQueue[None] = queue.SimpleQueue()

    @property
    def is_stop_requested(self) -> bool:
        """Whether SIGTERM or SIGINT has arrived."""
        return self._is_stop_requested

    def take_reload_request(self) -> bool:
        """Returns whether SIGHUP has arrived since the last call."""
        is_requested, self._is_reload_requested = self._is_reload_requested, False
        return is_requested

    def install(self, numbers: Iterable[signal.Signals]) -> None:
        """Installs the handlers; only the main thread may."""
        for number in numbers:
            signal.signal(number, self._record)

    def wait(self, timeout_s: float) -> None:
        """Waits for a signal, or until the time is over."""
        with contextlib.suppress(queue.Empty):
            self._arrivals.get(timeout=timeout_s)

    def _record(self, number: int, frame: object) -> None:
        if number == signal.SIGHUP:
            self._is_reload_requested = True
        else:
            self._is_stop_requested = True
        self._arrivals.put(None)


PROCESS_SIGNALS = ProcessSignals()
"""Signals of this process."""
