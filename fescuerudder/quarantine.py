"""Quarantine of workers whose tasks keep failing; single probe tasks show when they recovered."""

import attrs

from fescuerudder.clock import Clock


@attrs.frozen(kw_only=True)
class QuarantinePolicy:
    """When workers enter quarantine, are probed and leave it.

    Args:
        failure_threshold: consecutive failures of different tasks that start a quarantine.
        first_probe_delay_s: seconds until its first probe; doubled after each failed probe.
        max_probe_delay_s: upper limit of the seconds between two probes.
        probe_pass_run_s: seconds after which a running probe counts as passed, since some tasks
            never finish.
    """

    failure_threshold: int = 3
    first_probe_delay_s: float = 5.0
    max_probe_delay_s: float = 300.0
    probe_pass_run_s: float = 10.0


@attrs.define(kw_only=True)
class _WorkerHistory:
    """Consecutive failures and quarantine of one worker; a delay above 0 means quarantined.

    `is_probed` means that a probe has begun since the last delay was set.
    """

    failed_tasks: set[str] = attrs.field(factory=set)
    probe_delay_s: float = 0.0
    quarantined_at_s: float = 0.0
    probe_at_s: float = 0.0
    is_probed: bool = False


class Quarantine:
    """Decides which workers get no tasks, or only probes, after failures.

    Args:
        clock: source of time.
        policy: thresholds and delays; the defaults if None.
    """

    def __init__(self, *, clock: Clock, policy: QuarantinePolicy | None = None) -> None:
        self._clock = clock
        self._policy = policy or QuarantinePolicy()
        self._histories: dict[str, _WorkerHistory] = {}

    def record_failure(self, *, worker: str, task: str, run_s: float = 0.0) -> None:
        """Records a failed start or a task that failed after `run_s` seconds.

        In quarantine only a task that began in it delays the next probe; the others tell nothing
        that the quarantine doesn't say already.
        """
        history = self._histories.setdefault(worker, _WorkerHistory())
        history.failed_tasks.add(task)
        if history.probe_delay_s:
            if not self._began_in_quarantine(worker, run_s):
                return
            self._schedule_probe(
                history, min(history.probe_delay_s * 2, self._policy.max_probe_delay_s)
            )
        elif len(history.failed_tasks) >= self._policy.failure_threshold:
            self._schedule_probe(history, self._policy.first_probe_delay_s)

    def add(self, *, worker: str) -> None:
        """Quarantines a worker for another reason than failures.

        If it is quarantined already, the probe that is due stays due, unless one began meanwhile:
        that has shown nothing better.
        """
        history = self._histories.setdefault(worker, _WorkerHistory())
        if not history.probe_delay_s:
            self._schedule_probe(history, self._policy.first_probe_delay_s)
        elif history.is_probed:
            history.is_probed = False
            self._schedule_probe(
                history, min(history.probe_delay_s * 2, self._policy.max_probe_delay_s)
            )

    def record_success(self, *, worker: str, run_s: float = 0.0) -> None:
        """Records a task that finished after `run_s` seconds.

        Ends the quarantine, or the count of failures, unless the task began before it.
        """
        if self._began_in_quarantine(worker, run_s):
            self._histories.pop(worker, None)

    def record_running(self, *, worker: str, run_s: float) -> None:
        """Records that a task has been running for `run_s` seconds; a long run passes as probe."""
        if run_s >= self._policy.probe_pass_run_s and self.is_quarantined(worker=worker):
            self.record_success(worker=worker, run_s=run_s)

    def is_quarantined(self, *, worker: str) -> bool:
        """Returns whether the worker may get only probes."""
        history = self._histories.get(worker)
        return history is not None and history.probe_delay_s > 0

    def is_probe_due(self, *, worker: str) -> bool:
        """Returns whether the next probe of a quarantined worker is due."""
        history = self._histories.get(worker)
        return history is not None and self._clock.now_s() >= history.probe_at_s

    def record_probe(self, *, worker: str) -> None:
        """Records that a probe was assigned; the next one waits at least the current delay."""
        history = self._histories.get(worker)
        if history is not None:
            history.is_probed = True
            self._schedule_probe(history, history.probe_delay_s)

    def _began_in_quarantine(self, worker: str, run_s: float) -> bool:
        """Returns whether a task began after its worker was quarantined.

        An older task proves nothing: a worker may fail only new starts.
        """
        history = self._histories.get(worker)
        return history is not None and self._clock.now_s() - run_s >= history.quarantined_at_s

    def _schedule_probe(self, history: _WorkerHistory, probe_delay_s: float) -> None:
        if not history.probe_delay_s:
            history.quarantined_at_s = self._clock.now_s()
        history.probe_delay_s = probe_delay_s
        history.probe_at_s = self._clock.now_s() + probe_delay_s
