"""An event loop in a thread of its own, for code that isn't asynchronous."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any

import structlog

STOP_TIMEOUT_S = 2.0
CLEAN_UP_TIMEOUT_S = 1.0

_log = structlog.get_logger(__name__)


class LoopThread:
    """Runs coroutines and functions for callers in other threads; a context manager.

    Args:
        name: name of the thread.
    """

    def __init__(self, *, name: str) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def __enter__(self) -> "LoopThread":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=STOP_TIMEOUT_S)

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Future:
        """Starts a coroutine in the loop; returns a future of its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call(self, func: Callable[..., None], *args: Any) -> None:
        """Schedules a call of a function in the thread of the loop; returns at once."""
        self._loop.call_soon_threadsafe(func, *args)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            tasks = asyncio.all_tasks(self._loop)
            for task in tasks:
                task.cancel()
            # Cancelled tasks need the loop to run their clean-up.
            if tasks:
                self._loop.run_until_complete(asyncio.wait(tasks, timeout=CLEAN_UP_TIMEOUT_S))
            self._loop.close()


def log_failure(event: str) -> Callable[[asyncio.Task[Any]], None]:
    """Returns a callback for tasks that nobody awaits; it logs the exception that ended one."""

    def report(task: asyncio.Task[Any]) -> None:
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            _log.warning(event, reason=f"{type(exc).__name__}: {exc}")

    return report
