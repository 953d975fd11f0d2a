"""Workers that fail everything they start are set aside and probed."""

import attrs

from fescuerudder.clock import Clock

FAILURES_TO_QUARANTINE = 3
FIRST_PROBE_S = 5.0
LAST_PROBE_S = 300.0

PROBE_PASS_S = 10.0
"""A probe that has run this long passes; a replica never finishes, so waiting would not end."""


@attrs.define(kw_only=True)
class _Record:
    """Recent failures of one worker."""

    failed_tasks: set[str] = attrs.field(factory=set)
    delay_s: float = 0.0
    probe_at_s: float = 0.0


class Quarantine:
    """Decides which workers get work after failures.

    Args:
        clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def failed(self, *, worker: str, task: str) -> None:
        """Notes a failed start or a failed task."""
        record = self._records.setdefault(worker, _Record())
        record.failed_tasks.add(task)
        if record.delay_s:
            self._postpone(record, min(record.delay_s * 2, LAST_PROBE_S))
        elif len(record.failed_tasks) >= FAILURES_TO_QUARANTINE:
            self._postpone(record, FIRST_PROBE_S)

    def succeeded(self, *, worker: str) -> None:
        """Notes a finished task, which ends the quarantine."""
        self._records.pop(worker, None)

    def ran(self, *, worker: str, run_s: float) -> None:
        """Notes that a task has been running for `run_s` seconds on a quarantined worker."""
        if run_s >= PROBE_PASS_S and self.is_quarantined(worker=worker):
            self.succeeded(worker=worker)

    def is_quarantined(self, *, worker: str) -> bool:
        """Returns whether the worker takes probes only."""
        record = self._records.get(worker)
        return record is not None and record.delay_s > 0

    def may_probe(self, *, worker: str) -> bool:
        """Returns whether the next probe of a quarantined worker is due."""
        record = self._records.get(worker)
        return record is not None and self._clock.now_s() >= record.probe_at_s

    def probed(self, *, worker: str) -> None:
        """Notes that a probe was assigned; the next one waits at least the current delay."""
        record = self._records.get(worker)
        if record is not None:
            self._postpone(record, record.delay_s)

    def _postpone(self, record: _Record, delay_s: float) -> None:
        record.delay_s = delay_s
        record.probe_at_s = self._clock.now_s() + delay_s
