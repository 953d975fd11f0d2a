"""The thread of an instance that asks for permits and returns them."""

import threading
from collections.abc import Callable

import structlog

from fescuerudder.permitholder import PermitHolder
from fescuerudder.permits import PERMIT_RETRY_S

_log = structlog.get_logger(__name__)


class PermitService:
    """Drives the permit holder: at once when woken, else at its retry interval.

    Args:
        holder: the permit holder of this instance.
    """

    def __init__(self, *, holder: PermitHolder) -> None:
        self._holder = holder
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="permit-holder", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopped.set()
        self._holder.wake.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._holder.wake.wait(PERMIT_RETRY_S)
            run_exchange(self._holder.step)


def run_exchange(work: Callable[[], None]) -> None:
    """Runs one exchange of permits and logs its failure; the next one is tried all the same."""
    try:
        work()
    except Exception:
        _log.exception("permit exchange failed")
