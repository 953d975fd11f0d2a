"""Finds workers that fail what they start, stand still or are slow."""

import enum
import statistics

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.headroom import HOPELESS_HEADROOM, Headrooms
from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, Phase, StepRun
from fescuerudder.jobs.workerbook import WorkerBook
from fescuerudder.jobs.workerport import AttemptEnd
from fescuerudder.quarantine import Quarantine, QuarantinePolicy

POLICY = QuarantinePolicy(
    failure_threshold=2, first_probe_delay_s=3.0, max_probe_delay_s=30.0, probe_pass_run_s=4.0
)

QUICK_FAILURE_S = 1.0
"""A worker that fails everything does so at once; later failures are the tasks' own."""

STILL_S = 1.2
"""Time without progress after which a task counts as standing still."""

STILL_SHARE = 0.15
"""The same as a share of its estimated run time; the longer of both counts."""

WATCHED_S = 0.8
"""Time for which an attempt is watched before its speed counts."""

SLOW = 0.35
"""Speed, compared with tasks of the same step elsewhere, below which a worker is slow."""

LEAST_COMPARED = 2
"""Tasks of a worker that must be slow for the worker to be; one may just have more to do."""

LEAST_PEERS = 3
"""Tasks of the step on other workers from which its usual speed is known."""

LEAST_THROTTLE = 30
"""Throttle, in percent, below which progress tells nothing."""

HOPELESS_S = 1.5
"""A worker all of whose guarded tasks have less than HOPELESS_HEADROOM for HOPELESS_S is ill."""

_log = structlog.get_logger(__name__)


class Verdict(enum.Enum):
    """How a worker does."""

    SOUND = "sound"
    SLOW = "slow"
    STILL = "standing still"


@attrs.define(kw_only=True)
class _Track:
    """Progress of an attempt.

    Args:
        since_s: when it was first seen at work.
        start_percent: its progress then.
        percent: latest progress.
        moved_s: when the progress last grew.
        share: average share of the declared processors that it used.
    """

    since_s: float
    start_percent: int
    percent: int
    moved_s: float
    share: float = 1.0

    def rate(self, now_s: float) -> float | None:
        """Returns the progress in percent a second at its declared processors, if watched."""
        watched_s = now_s - self.since_s
        if watched_s < WATCHED_S:
            return None
        return (self.percent - self.start_percent) / watched_s / max(0.1, self.share)


class WorkerHealth:
    """Watches workers by what runs and ends there.

    Args:
        clock: source of time.
        headrooms: latency headrooms.
    """

    def __init__(self, *, clock: Clock, headrooms: Headrooms) -> None:
        self._clock = clock
        self._headrooms = headrooms
        self._quarantine = Quarantine(clock=clock, policy=POLICY)
        self._tracks: dict[Attempt, _Track] = {}

    def most_starts(self, worker: str) -> int | None:
        """Returns how many tasks a worker may get now, None for any number."""
        if not self._quarantine.is_quarantined(worker=worker):
            return None
        return 1 if self._quarantine.is_probe_due(worker=worker) else 0

    def note_start(self, worker: str) -> None:
        """Notes that a worker got a task."""
        if self._quarantine.is_quarantined(worker=worker):
            self._quarantine.record_probe(worker=worker)

    def note_end(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Takes the end of an attempt."""
        self._tracks.pop(attempt, None)
        worker, now_s = attempt.worker, self._clock.now_s()
        if end is AttemptEnd.DONE and attempt.confirmed_s is not None:
            self._quarantine.record_success(worker=worker, run_s=now_s - attempt.confirmed_s)
        if end is not AttemptEnd.FAILED or attempt.confirmed_s is None:
            return
        if now_s - attempt.confirmed_s < QUICK_FAILURE_S:
            was_aside = self._quarantine.is_quarantined(worker=worker)
            self._quarantine.record_failure(worker=worker, task=str(attempt.task.id))
            if not was_aside and self._quarantine.is_quarantined(worker=worker):
                _log.warning("worker set aside", worker=worker, reason="fails what it starts")

    def read(self, book: WorkerBook) -> Verdict:
        """Takes a worker's latest report; returns how the worker does."""
        now_s = self._clock.now_s()
        still, speeds = [], []
        for attempt in book.attempts.values():
            if not _shows_progress(attempt):
                self._tracks.pop(attempt, None)
                if attempt.phase is Phase.RUNNING and attempt.confirmed_s is not None:
                    self._quarantine.record_running(
                        worker=book.id, run_s=now_s - attempt.confirmed_s
                    )
                continue
            track = self._follow(attempt, now_s)
            still.append(now_s - track.moved_s >= _still_s(attempt))
            speed = self._compare(attempt, track, now_s)
            if speed is not None:
                speeds.append(speed)
        verdict = self._judge(book, still, speeds, now_s)
        if verdict is not Verdict.SOUND:
            self._set_aside(book, verdict)
        return verdict

    def forget_ended(self) -> None:
        """Drops what is known of attempts that are no longer live."""
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
        """Returns the speed of an attempt as a share of that of its step on other workers."""
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
    ) -> Verdict:
        if still and all(still):
            return Verdict.STILL
        if not still and self._is_hopeless(book, now_s):
            return Verdict.STILL
        if len(speeds) >= LEAST_COMPARED and statistics.median(speeds) < SLOW:
            return Verdict.SLOW
        return Verdict.SOUND

    def _is_hopeless(self, book: WorkerBook, now_s: float) -> bool:
        """Returns whether all guarded tasks miss their targets by far, without neighbours."""
        guarded = [a for a in book.attempts.values() if a.task.step.spec.latency_target_ms]
        measured = [self._headrooms.measured(attempt) for attempt in guarded]
        return bool(measured) and all(
            m is not None
            and m.headroom < HOPELESS_HEADROOM
            and m.missed_since_s is not None
            and now_s - m.missed_since_s >= HOPELESS_S
            for m in measured
        )

    def _set_aside(self, book: WorkerBook, verdict: Verdict) -> None:
        if not self._quarantine.is_quarantined(worker=book.id):
            _log.warning("worker set aside", worker=book.id, reason=verdict.value)
        self._quarantine.add(worker=book.id)


def _shows_progress(attempt: Attempt) -> bool:
    """Returns whether the progress of an attempt tells of the speed of its worker."""
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
    """Returns the rates of the tasks of a step on other workers, those that are done included."""
    rates = [task.rate for task in step.tasks if task.rate and task.done_by != worker]
    for task in step.tasks:
        for attempt in task.attempts:
            track = tracks.get(attempt) if attempt.worker != worker else None
            rate = track.rate(now_s) if track is not None else None
            if rate is not None:
                rates.append(rate)
    return rates
