"""Open-loop load on one entry instance for measurements."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from fescuerudder.client import ClientError

LOAD_THREADS = 24


class Load:
    """Calls `work(number)` at a fixed rate and counts what succeeded.

    Args:
        rate: calls each second; 0 makes none.
        work: one call.
    """

    def __init__(self, *, rate: float, work: Callable[[int], object]) -> None:
        self._rate = rate
        self._work = work
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.done = 0
        self.failed = 0

    @contextmanager
    def running(self) -> Iterator["Load"]:
        """Runs the load in the background."""
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        try:
            yield self
        finally:
            self._stop.set()
            thread.join()

    def _run(self) -> None:
        if not self._rate:
            return
        started_s = time.monotonic()
        number = 0
        with ThreadPoolExecutor(LOAD_THREADS) as pool:
            while not self._stop.is_set():
                pool.submit(self._call, number)
                number += 1
                due_s = started_s + number / self._rate
                self._stop.wait(max(0.0, due_s - time.monotonic()))
            pool.shutdown(cancel_futures=True)

    def _call(self, number: int) -> None:
        try:
            self._work(number)
        except ClientError:
            with self._lock:
                self.failed += 1
        else:
            with self._lock:
                self.done += 1
