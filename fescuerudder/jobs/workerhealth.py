"""Detection of workers that fail the tasks they start, are stalled or are slow."""

import enum
import statistics

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.headroom import HOPELESS_HEADROOM, HeadroomModel
from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, Phase, StepRun
from fescuerudder.jobs.workerbook import WorkerBook
from fescuerudder.jobs.workerport import AttemptEnd
from fescuerudder.quarantine import Quarantine, QuarantinePolicy

POLICY = QuarantinePolicy(failures=2, first_probe_s=3.0, last_probe_s=30.0, probe_pass_s=4.0)

QUICK_FAILURE_S = 1.0
"""Run time up to which a failure counts against the worker. A faulty worker fails its tasks at
once; later failures are caused by the tasks."""

STILL_S = 1.2
"""Time without progress after which a task counts as stalled."""

STILL_SHARE = 0.15
"""The same as a share of the task's estimated run time; the longer time applies."""

WATCHED_S = 0.8
"""Time for which an attempt is observed before its speed is used."""

SLOW = 0.35
"""Speed, relative to tasks of the same step on other workers, below which a worker is slow."""

LEAST_COMPARED = 2
"""Number of tasks with a known relative speed needed to call a worker slow; a single slow task may just
have more work than others."""

LEAST_PEERS = 3
"""Number of tasks on other workers that are needed for the usual speed of a step."""

LEAST_THROTTLE = 30
"""Throttle, in percent, below which the progress of a task says nothing about its worker."""

HOPELESS_S = 1.5
"""Time for which all latency-critical tasks of a worker must have less than HOPELESS_HEADROOM
before the worker counts as stalled."""

_log = structlog.get_logger(__name__)


class HealthStatus(enum.Enum):
    """Health of a worker."""

    HEALTHY = "sound"
    SLOW = "slow"
    STALLED = "standing still"


@attrs.define(kw_only=True)
class _Track:
    """Progress of an attempt.

    Args:
        since_s: start of the observation.
        start_percent: its progress then.
        percent: latest progress.
        moved_s: when the progress last increased.
        share: average share of the declared processors that it used.
    """

    since_s: float
    start_percent: int
    percent: int
    moved_s: float
    share: float = 1.0

    def rate(self, now_s: float) -> float | None:
        """Returns the progress in percent per second, scaled to the declared processors.

        Returns None while the observation is too short.
        """
        watched_s = now_s - self.since_s
        if watched_s < WATCHED_S:
            return None
        return (self.percent - self.start_percent) / watched_s / max(0.1, self.share)


class WorkerHealth:
    """Monitors workers by the progress and the ends of their attempts.

    Args:
        clock: source of time.
        headroom_model: latency headroom of tasks.
    """

    def __init__(self, *, clock: Clock, headroom_model: HeadroomModel) -> None:
        self._clock = clock
        self._headroom_model = headroom_model
        self._quarantine = Quarantine(clock=clock, policy=POLICY)
        self._tracks: dict[Attempt, _Track] = {}

    def most_starts(self, worker: str) -> int | None:
        """Returns how many tasks may be started on a worker now, None if unlimited."""
        if not self._quarantine.is_quarantined(worker=worker):
            return None
        return 1 if self._quarantine.may_probe(worker=worker) else 0

    def note_start(self, worker: str) -> None:
        """Records that a task was started on a worker; on a quarantined one it is a probe."""
        if self._quarantine.is_quarantined(worker=worker):
            self._quarantine.probed(worker=worker)

    def note_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Records the end of an attempt, which may begin or end a quarantine."""
        self._tracks.pop(attempt, None)
        worker, now_s = attempt.worker, self._clock.now_s()
        if end is AttemptEnd.DONE and attempt.confirmed_s is not None:
            self._quarantine.succeeded(worker=worker, run_s=now_s - attempt.confirmed_s)
        if end is not AttemptEnd.FAILED or attempt.confirmed_s is None:
            return
        if now_s - attempt.confirmed_s < QUICK_FAILURE_S:
            was_aside = self._quarantine.is_quarantined(worker=worker)
            self._quarantine.failed(worker=worker, task=str(attempt.task.id))
            if not was_aside and self._quarantine.is_quarantined(worker=worker):
                _log.warning("worker set aside", worker=worker, reason="fails what it starts")

    def read(self, book: WorkerBook) -> HealthStatus:
        """Returns the health of a worker by its latest report; quarantines it if it is bad."""
        now_s = self._clock.now_s()
        still, speeds = [], []
        for attempt in book.attempts.values():
            if not _shows_progress(attempt):
                self._tracks.pop(attempt, None)
                if attempt.phase is Phase.RUNNING and attempt.confirmed_s is not None:
                    self._quarantine.ran(worker=book.id, run_s=now_s - attempt.confirmed_s)
                continue
            track = self._follow(attempt, now_s)
            still.append(now_s - track.moved_s >= _still_s(attempt))
            speed = self._compare(attempt, track, now_s)
            if speed is not None:
                speeds.append(speed)
        health = self._judge(book, still, speeds, now_s)
        if health is not HealthStatus.HEALTHY:
            self._set_aside(book, health)
        return health

    def forget_ended(self) -> None:
        """Drops the data of attempts that are no longer live."""
        self._tracks = {a: t for a, t in self._tracks.items() if a in a.task.attempts}

    def _follow(self, attempt: Attempt, now_s: float) -> _Track:
        track = self._tracks.get(attempt)
        declared = attempt.task.step.spec.size.processors
        if track is None:
            track = _Track(
                since_s=now_s,
                start_percent=attempt.percent,
                percent=attempt.percent,
                moved_s=now_s,
            )
            self._tracks[attempt] = track
        if attempt.percent > track.percent:
            track.percent, track.moved_s = attempt.percent, now_s
        if attempt.task.step.spec.best_effort and attempt.processors > 0 and declared > 0:
            track.share += (attempt.processors / declared - track.share) / 4
        return track

    def _compare(self, attempt: Attempt, track: _Track, now_s: float) -> float | None:
        """Returns the speed of an attempt relative to its step on other workers, if known."""
        rate = track.rate(now_s)
        if rate is None:
            return None
        others = _rates(attempt.task.step, attempt.worker, self._tracks, now_s)
        if len(others) < LEAST_PEERS:
            return None
        usual = statistics.median(others)
        return rate / usual if usual > 0.0 else None

    def _judge(
        self, book: WorkerBook, still: list[bool], speeds: list[float], now_s: float
    ) -> HealthStatus:
        if still and all(still):
            return HealthStatus.STALLED
        if not still and self._is_hopeless(book, now_s):
            return HealthStatus.STALLED
        if len(speeds) >= LEAST_COMPARED and statistics.median(speeds) < SLOW:
            return HealthStatus.SLOW
        return HealthStatus.HEALTHY

    def _is_hopeless(self, book: WorkerBook, now_s: float) -> bool:
        """Returns whether all latency-critical tasks have long missed their targets by far."""
        guarded = [a for a in book.attempts.values() if a.task.step.spec.latency_target_ms]
        measured = [self._headroom_model.measured(attempt) for attempt in guarded]
        return bool(measured) and all(
            m is not None
            and m.headroom < HOPELESS_HEADROOM
            and m.missed_since_s is not None
            and now_s - m.missed_since_s >= HOPELESS_S
            for m in measured
        )

    def _set_aside(self, book: WorkerBook, health: HealthStatus) -> None:
        if not self._quarantine.is_quarantined(worker=book.id):
            _log.warning("worker set aside", worker=book.id, reason=health.value)
        self._quarantine.set_aside(worker=book.id)


def _shows_progress(attempt: Attempt) -> bool:
    """Returns whether the progress of an attempt reflects the speed of its worker."""
    spec = attempt.task.step.spec
    return (
        attempt.phase is Phase.RUNNING
        and not spec.long_running
        and not spec.gang
        and not attempt.task.is_odd
        and (attempt.throttle or FULL_SPEED) >= LEAST_THROTTLE
        and attempt.throttle != 0
    )


def _still_s(attempt: Attempt) -> float:
    return max(STILL_S, STILL_SHARE * attempt.task.step.spec.estimated_ms / 1000)


def _rates(step: StepRun, worker: str, tracks: dict[Attempt, _Track], now_s: float) -> list[float]:
    """Returns the rates of the tasks of a step on other workers, including done ones."""
    rates = [task.rate for task in step.tasks if task.rate and task.done_by != worker]
    for task in step.tasks:
        for attempt in task.attempts:
            track = tracks.get(attempt) if attempt.worker != worker else None
            rate = track.rate(now_s) if track is not None else None
            if rate is not None:
                rates.append(rate)
    return rates
