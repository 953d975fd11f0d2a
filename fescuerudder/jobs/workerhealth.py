"""Detection of workers that fail the tasks they start, are stalled or are slow."""

import enum
import statistics

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.headroom import FAULTY_WORKER_HEADROOM, HeadroomModel
from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, Phase, StepRun
from fescuerudder.jobs.workerport import AttemptEnd
from fescuerudder.jobs.workerrecord import WorkerRecord
from fescuerudder.quarantine import Quarantine, QuarantinePolicy

QUARANTINE_POLICY = QuarantinePolicy(
    failure_threshold=2, first_probe_delay_s=3.0, max_probe_delay_s=30.0, probe_pass_run_s=4.0
)

QUICK_FAILURE_S = 1.0
"""Run time up to which a failure counts against the worker. A faulty worker fails its tasks at
once; later failures are caused by the tasks."""

STALLED_AFTER_S = 1.2
"""Time without progress after which a task counts as stalled."""

STALLED_AFTER_SHARE = 0.15
"""The same as a share of the task's estimated run time; the longer time applies."""

MIN_OBSERVATION_S = 0.8
"""Time for which an attempt is observed before its speed is used."""

SLOW_RELATIVE_SPEED = 0.35
"""Speed, relative to tasks of the same step on other workers, below which a worker is slow."""

MIN_COMPARED_TASKS = 2
"""Number of tasks whose relative speed must be known before a worker can count as slow; a single
task may just have more work than others."""

MIN_PEER_RATES = 3
"""Number of tasks on other workers that are needed for the usual speed of a step."""

MIN_THROTTLE_PERCENT = 30
"""Throttle, in percent, below which the progress of a task says nothing about its worker."""

PEER_RATES_AGE_S = 0.2
"""Age up to which the collected rates of a step's tasks are used again."""

FAULTY_WORKER_S = 1.5
"""Time for which all latency-critical tasks of a worker must have less than FAULTY_WORKER_HEADROOM
before the worker counts as stalled."""

_log = structlog.get_logger(__name__)


class HealthStatus(enum.Enum):
    """Health of a worker."""

    HEALTHY = "sound"
    SLOW = "slow"
    STALLED = "standing still"


@attrs.define(kw_only=True)
class _ProgressTrack:
    """Progress of an attempt.

    Args:
        since_s: start of the observation.
        start_percent: its progress then.
        percent: latest progress.
        advanced_s: when the progress last increased.
        share: average share of the declared processors that it used.
    """

    since_s: float
    start_percent: int
    percent: int
    advanced_s: float
    share: float = 1.0

    def rate(self, now_s: float) -> float | None:
        """Returns the progress in percent per second, scaled to the declared processors.

        Returns None while the observation is too short.
        """
        observed_s = now_s - self.since_s
        if observed_s < MIN_OBSERVATION_S:
            return None
        return (self.percent - self.start_percent) / observed_s / max(0.1, self.share)


@attrs.frozen(kw_only=True)
class _StepRates:
    """Rates of the tasks of a step, including done ones.

    Args:
        collected_s: when they were collected.
        by_worker: worker and rate of each task.
        highest: the highest of them, 0 if there are none.
    """

    collected_s: float
    by_worker: list[tuple[str, float]]
    highest: float

    def usual_elsewhere(self, worker: str) -> float | None:
        """Returns the median of the rates on other workers, None if there are too few."""
        others = [rate for name, rate in self.by_worker if name != worker]
        return statistics.median(others) if len(others) >= MIN_PEER_RATES else None


class WorkerHealth:
    """Monitors workers by the progress and the ends of their attempts.

    Args:
        clock: source of time.
        headroom_model: latency headroom of tasks.
    """

    def __init__(self, *, clock: Clock, headroom_model: HeadroomModel) -> None:
        self._clock = clock
        self._headroom_model = headroom_model
        self._quarantine = Quarantine(clock=clock, policy=QUARANTINE_POLICY)
        self._tracks: dict[Attempt, _ProgressTrack] = {}
        self._rates: dict[StepRun, _StepRates] = {}

    def max_starts(self, worker: str) -> int | None:
        """Returns how many tasks may be started on a worker now, None if unlimited."""
        if not self._quarantine.is_quarantined(worker=worker):
            return None
        return 1 if self._quarantine.is_probe_due(worker=worker) else 0

    def record_start(self, worker: str) -> None:
        """Records that a task was started on a worker; on a quarantined one it is a probe."""
        if self._quarantine.is_quarantined(worker=worker):
            self._quarantine.record_probe(worker=worker)

    def record_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Records the end of an attempt, which may begin or end a quarantine."""
        self._tracks.pop(attempt, None)
        worker, now_s = attempt.worker, self._clock.now_s()
        if end is AttemptEnd.DONE and attempt.confirmed_s is not None:
            self._quarantine.record_success(worker=worker, run_s=now_s - attempt.confirmed_s)
        if end is not AttemptEnd.FAILED or attempt.confirmed_s is None:
            return
        if not _is_begin_known(attempt):
            return
        run_s = now_s - attempt.confirmed_s
        if run_s < QUICK_FAILURE_S:
            was_quarantined = self._quarantine.is_quarantined(worker=worker)
            self._quarantine.record_failure(worker=worker, task=str(attempt.task.id), run_s=run_s)
            if not was_quarantined and self._quarantine.is_quarantined(worker=worker):
                _log.warning("worker set aside", worker=worker, reason="fails what it starts")

    def evaluate(self, record: WorkerRecord) -> HealthStatus:
        """Returns the health of a worker by its latest report; quarantines it unless healthy."""
        now_s = self._clock.now_s()
        stalled, rates = [], []
        for attempt in record.attempts.values():
            if not _reflects_worker_speed(attempt):
                self._tracks.pop(attempt, None)
                if attempt.phase is Phase.RUNNING and attempt.confirmed_s is not None:
                    self._quarantine.record_running(
                        worker=record.id, run_s=now_s - attempt.confirmed_s
                    )
                continue
            track = self._track(attempt, now_s)
            stalled.append(now_s - track.advanced_s >= _stall_limit_s(attempt))
            rate = track.rate(now_s)
            if rate is not None:
                rates.append((attempt, rate))
        health = self._classify(record, stalled, rates, now_s)
        if health is not HealthStatus.HEALTHY:
            self._quarantine_worker(record, health)
        return health

    def forget_ended(self) -> None:
        """Drops the data of attempts that are no longer live."""
        self._tracks = {a: t for a, t in self._tracks.items() if a in a.task.attempts}
        self._rates.clear()

    def _track(self, attempt: Attempt, now_s: float) -> _ProgressTrack:
        track = self._tracks.get(attempt)
        declared = attempt.task.step.spec.size.processors
        if track is None:
            track = _ProgressTrack(
                since_s=now_s,
                start_percent=attempt.percent,
                percent=attempt.percent,
                advanced_s=now_s,
            )
            self._tracks[attempt] = track
        if attempt.percent > track.percent:
            track.percent, track.advanced_s = attempt.percent, now_s
        if attempt.task.step.spec.best_effort and attempt.processors > 0 and declared > 0:
            track.share += (attempt.processors / declared - track.share) / 4
        return track

    def _relative_speeds(self, rates: list[tuple[Attempt, float]], now_s: float) -> list[float]:
        """Returns the speeds of a worker's attempts relative to their steps on other workers.

        Leaves out attempts of steps for which the usual speed isn't known.
        """
        step_rates = [self._step_rates(attempt.task.step, now_s) for attempt, _ in rates]
        if all(
            rate >= SLOW_RELATIVE_SPEED * step.highest
            for (_, rate), step in zip(rates, step_rates, strict=True)
        ):
            # None can be slow, as no usual speed exceeds the highest one.
            return []
        speeds = []
        for (attempt, rate), step in zip(rates, step_rates, strict=True):
            usual = step.usual_elsewhere(attempt.worker)
            if usual is not None and usual > 0.0:
                speeds.append(rate / usual)
        return speeds

    def _step_rates(self, step: StepRun, now_s: float) -> _StepRates:
        rates = self._rates.get(step)
        if rates is None or now_s - rates.collected_s > PEER_RATES_AGE_S:
            by_worker = _collect_rates(step, self._tracks, now_s)
            highest = max((rate for _, rate in by_worker), default=0.0)
            rates = _StepRates(collected_s=now_s, by_worker=by_worker, highest=highest)
            self._rates[step] = rates
        return rates

    def _classify(
        self,
        record: WorkerRecord,
        stalled: list[bool],
        rates: list[tuple[Attempt, float]],
        now_s: float,
    ) -> HealthStatus:
        if stalled and all(stalled):
            return HealthStatus.STALLED
        if not stalled and self._misses_all_targets(record, now_s):
            return HealthStatus.STALLED
        speeds = self._relative_speeds(rates, now_s) if len(rates) >= MIN_COMPARED_TASKS else []
        if len(speeds) >= MIN_COMPARED_TASKS and statistics.median(speeds) < SLOW_RELATIVE_SPEED:
            return HealthStatus.SLOW
        return HealthStatus.HEALTHY

    def _misses_all_targets(self, record: WorkerRecord, now_s: float) -> bool:
        """Returns whether all latency-critical tasks have long missed their targets by far.

        Used for workers that have no other tasks whose progress can be observed.
        """
        latency_critical = [
            a for a in record.attempts.values() if a.task.step.spec.latency_target_ms
        ]
        measured = [self._headroom_model.measured(attempt) for attempt in latency_critical]
        return bool(measured) and all(
            m is not None
            and m.headroom < FAULTY_WORKER_HEADROOM
            and m.missed_since_s is not None
            and now_s - m.missed_since_s >= FAULTY_WORKER_S
            for m in measured
        )

    def _quarantine_worker(self, record: WorkerRecord, health: HealthStatus) -> None:
        if not self._quarantine.is_quarantined(worker=record.id):
            _log.warning("worker set aside", worker=record.id, reason=health.value)
        self._quarantine.add(worker=record.id)


def _is_begin_known(attempt: Attempt) -> bool:
    """Returns whether it is known when an attempt began.

    One of an earlier leader, or one whose start got no answer, may have run long before this leader
    learned of it.
    """
    return (
        not attempt.adopted
        and attempt.confirmed_s is not None
        and attempt.confirmed_s - attempt.sent_s < QUICK_FAILURE_S
    )


def _reflects_worker_speed(attempt: Attempt) -> bool:
    """Returns whether the progress of an attempt reflects the speed of its worker."""
    spec = attempt.task.step.spec
    return (
        attempt.phase is Phase.RUNNING
        and not spec.long_running
        and not spec.gang
        and not attempt.task.is_likely_faulty
        and (attempt.throttle or FULL_SPEED) >= MIN_THROTTLE_PERCENT
        and attempt.throttle != 0
    )


def _stall_limit_s(attempt: Attempt) -> float:
    return max(STALLED_AFTER_S, STALLED_AFTER_SHARE * attempt.task.step.spec.estimated_ms / 1000)


def _collect_rates(
    step: StepRun, tracks: dict[Attempt, _ProgressTrack], now_s: float
) -> list[tuple[str, float]]:
    """Returns worker and rate of each task of a step, including done ones."""
    rates = [(task.done_by, task.rate) for task in step.tasks if task.rate]
    for task in step.tasks:
        for attempt in task.attempts:
            track = tracks.get(attempt)
            rate = track.rate(now_s) if track is not None else None
            if rate is not None:
                rates.append((attempt.worker, rate))
    return rates
