"""Quarantine of workers whose tasks keep failing; single probe tasks show when they recovered."""

import attrs

from fescuerudder.clock import Clock


@attrs.frozen(kw_only=True)
class QuarantinePolicy:
    """When workers enter quarantine, are probed and leave it.

    Args:
        failures: consecutive failures of different tasks after which a worker is quarantined.
        first_probe_s: seconds until its first probe; doubled after each failed probe.
        last_probe_s: upper limit of the seconds between two probes.
        probe_pass_s: seconds after which a running probe counts as passed, since some tasks
            never finish.
    """

    failures: int = 3
    first_probe_s: float = 5.0
    last_probe_s: float = 300.0
    probe_pass_s: float = 10.0


@attrs.define(kw_only=True)
class _Record:
    """Consecutive failures and quarantine of one worker; a delay above 0 means quarantined."""

    failed_tasks: set[str] = attrs.field(factory=set)
    delay_s: float = 0.0
    aside_s: float = 0.0
    probe_at_s: float = 0.0


class Quarantine:
    """Decides which workers get no tasks, or only probes, after failures.

    Args:
        clock: source of time.
        policy: thresholds and delays; the defaults if None.
    """

    def __init__(self, *, clock: Clock, policy: QuarantinePolicy | None = None) -> None:
        self._clock = clock
        self._policy = policy or QuarantinePolicy()
        self._records: dict[str, _Record] = {}

    def failed(self, *, worker: str, task: str) -> None:
        """Records a failed start or a failed task."""
        record = self._records.setdefault(worker, _Record())
        record.failed_tasks.add(task)
        if record.delay_s:
            self._postpone(record, min(record.delay_s * 2, self._policy.last_probe_s))
        elif len(record.failed_tasks) >= self._policy.failures:
            self._postpone(record, self._policy.first_probe_s)

    def set_aside(self, *, worker: str) -> None:
        """Quarantines a worker for another reason than failures."""
        record = self._records.setdefault(worker, _Record())
        self._postpone(record, max(record.delay_s, self._policy.first_probe_s))

    def succeeded(self, *, worker: str, run_s: float = 0.0) -> None:
        """Records a task that finished after `run_s` seconds.

        Ends the quarantine, or the count of failures, unless the task began before it.
        """
        if self._began_aside(worker, run_s):
            self._records.pop(worker, None)

    def ran(self, *, worker: str, run_s: float) -> None:
        """Records that a task has been running for `run_s` seconds; a long run passes as probe."""
        if run_s >= self._policy.probe_pass_s and self.is_quarantined(worker=worker):
            self.succeeded(worker=worker, run_s=run_s)

    def is_quarantined(self, *, worker: str) -> bool:
        """Returns whether the worker may get only probes."""
        record = self._records.get(worker)
        return record is not None and record.delay_s > 0

    def may_probe(self, *, worker: str) -> bool:
        """Returns whether the next probe of a quarantined worker is due."""
        record = self._records.get(worker)
        return record is not None and self._clock.now_s() >= record.probe_at_s

    def probed(self, *, worker: str) -> None:
        """Records that a probe was assigned; the next one waits at least the current delay."""
        record = self._records.get(worker)
        if record is not None:
            self._postpone(record, record.delay_s)

    def _began_aside(self, worker: str, run_s: float) -> bool:
        """Returns whether a task began after its worker was quarantined.

        An older task proves nothing: a worker may fail only new starts.
        """
        record = self._records.get(worker)
        return record is not None and self._clock.now_s() - run_s >= record.aside_s

    def _postpone(self, record: _Record, delay_s: float) -> None:
        if not record.delay_s:
            record.aside_s = self._clock.now_s()
        record.delay_s = delay_s
        record.probe_at_s = self._clock.now_s() + delay_s
