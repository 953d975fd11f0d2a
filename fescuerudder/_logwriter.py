"""Writes log lines in a thread of its own, so that a stalled reader never delays a decision."""

import atexit
import collections
import os
import threading
import time
from collections.abc import Iterator

MAX_WAITING_LINES = 20_000
"""Lines that wait for the reader; later ones are counted and left out."""

BATCH_PAUSE_S = 0.02
"""Time in which lines are collected for one write."""

ATOMIC_BYTES = 4096
"""Longest write to a pipe that can't be mixed with those of others (PIPE_BUF)."""

CLOSE_TIMEOUT_S = 0.5
DROPPED_LINE = '{{"event": "log lines left out", "level": "warning", "count": {}}}\n'


class LogWriter:
    """File-like target of log lines; never blocks its callers.

    Args:
        descriptor: file descriptor to write to.
        max_waiting: lines that may wait.
    """

    def __init__(self, *, descriptor: int, max_waiting: int = MAX_WAITING_LINES) -> None:
        self._descriptor = descriptor
        self._max_waiting = max_waiting
        self._waiting: collections.deque[str] = collections.deque()
        self._arrived = threading.Event()
        self._written = threading.Event()
        self._lock = threading.Lock()
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()
        atexit.register(self.close)

    def write(self, text: str) -> None:
        """Queues text for the writer thread; drops and counts it if too much waits."""
        if len(self._waiting) >= self._max_waiting:
            with self._lock:
                self.dropped += 1
            return
        self._waiting.append(text)
        self._arrived.set()

    def flush(self) -> None:
        """Does nothing: the thread writes as soon as the reader lets it."""

    def close(self) -> None:
        """Waits a moment until what was taken is written."""
        end_s = time.monotonic() + CLOSE_TIMEOUT_S
        while self._waiting and time.monotonic() < end_s:
            time.sleep(BATCH_PAUSE_S)
        self._written.wait(max(0.0, end_s - time.monotonic()))

    def _run(self) -> None:
        while True:
            self._arrived.wait()
            time.sleep(BATCH_PAUSE_S)
            self._arrived.clear()
            self._written.clear()
            try:
                for part in _group(self._take()):
                    self._write_all(part)
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._waiting.clear()
            self._written.set()

    def _take(self) -> list[bytes]:
        lines = [self._waiting.popleft() for _ in range(len(self._waiting))]
        with self._lock:
            dropped, self.dropped = self.dropped, 0
        if dropped:
            lines.append(DROPPED_LINE.format(dropped))
        return [line.encode() for line in lines]

    def _write_all(self, data: bytes) -> None:
        while data:
            data = data[os.write(self._descriptor, data) :]


def _group(lines: list[bytes]) -> Iterator[bytes]:
    """Yields the lines in parts of at most ATOMIC_BYTES; a longer line is a part of its own."""
    part = b""
    for line in lines:
        if part and len(part) + len(line) > ATOMIC_BYTES:
            yield part
            part = b""
        part += line
    if part:
        yield part
