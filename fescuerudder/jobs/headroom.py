"""How much latency headroom tasks have, and how much best-effort tasks beside them take.

The headroom of a task is its latency target divided by its tail latency: 1 is at the target, 2 is
twice as fast. A tail grows with the reciprocal of the idle share of what a task needs, so what
several neighbours take of the headroom adds up.

Each report gives one equation: headroom = undisturbed headroom - sum of effect x share. Both sides
of the sum are estimated together, as by a Kalman filter without its covariances: what a report
does not confirm corrects each estimate in proportion to its uncertainty. The undisturbed headroom
drifts with the load of the job and so stays uncertain; the effects of images settle.
"""

from typing import Any

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import Attempt
from fescuerudder.jobs.workerbook import WorkerBook

PRIOR_EFFECT = 8.0
"""Headroom that a best-effort image takes, before it is known, with all of a worker."""

PRIOR_DEVIATION = 12.0
LEAST_VARIANCE = 0.5
"""Variance that an effect keeps, so that it can follow a change."""

MAX_EFFECT = 80.0
LEAST_SHRINKAGE = 0.05
"""Share of its variance that an effect keeps in one report, at least."""

DRIFT = 0.35
"""Standard deviation of the change of an undisturbed headroom in a second."""

NOISE = 0.15
RELATIVE_NOISE = 0.05
MAX_HEADROOM = 8.0
MEASURED_S = 0.5
"""Time that the figures of a report cover."""

LEAST_INTERVAL_S = 0.05
"""Reports that follow each other more closely tell the same."""

MAX_SLOPE = 0.5
"""Headroom that a change of a job's load takes or gives in a second, at most."""

UNKNOWN_HEADROOM = 2.0
"""Assumed of a task that was not reported at work yet."""

AT_WORK = 100
"""Progress, in percent, from which a long-running task is at work."""


@attrs.define(kw_only=True)
class Reading:
    """Headroom of a long-running task by the reports so far.

    Args:
        undisturbed: estimated headroom without best-effort neighbours.
        variance: variance of that estimate.
        measured: headroom that was reported last.
        slope: change of the undisturbed one per second.
        read_s: time of the last report.
    """

    undisturbed: float
    variance: float
    measured: float
    slope: float
    read_s: float

    def expected(self, at_s: float) -> float:
        """Returns the undisturbed headroom expected at a time; a rise is not counted on."""
        return self.undisturbed + min(0.0, self.slope) * (at_s - self.read_s)


@attrs.define(kw_only=True)
class _Effect:
    """Headroom that an image takes of another one with all of a worker; estimate and variance."""

    mean: float = PRIOR_EFFECT
    variance: float = PRIOR_DEVIATION**2


@attrs.define(kw_only=True)
class _Filler:
    """Presence of a best-effort task on a worker.

    Args:
        spec: its step.
        share: processors that it uses, as a share of the worker's.
        since_s: when it was confirmed.
        until_s: when its end was noticed, None while it runs.
    """

    spec: Step
    share: float
    since_s: float
    until_s: float | None = None

    def presence(self, now_s: float) -> float:
        """Returns the part of the time that a report covers in which it ran."""
        end_s = now_s if self.until_s is None else self.until_s
        return max(0.0, end_s - max(self.since_s, now_s - MEASURED_S)) / MEASURED_S


class Headrooms:
    """Headroom of every task with a latency target, and what best-effort images take of it."""

    unknown = UNKNOWN_HEADROOM

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], _Effect] = {}
        self._readings: dict[Attempt, Reading] = {}
        self._fillers: dict[str, dict[Attempt, _Filler]] = {}

    def dump(self) -> list[list[Any]]:
        """Returns the learned effects, to be stored."""
        return [
            [filler, guarded, round(effect.mean, 2), round(effect.variance, 2)]
            for (filler, guarded), effect in self._effects.items()
        ]

    def restore(self, rows: list[list[Any]]) -> None:
        """Takes effects that an earlier leader learned."""
        for filler, guarded, mean, variance in rows:
            self._effects[(filler, guarded)] = _Effect(mean=float(mean), variance=float(variance))

    def loss(self, *, filler: Step, guarded: Step, share: float) -> float:
        """Returns the headroom that a best-effort task takes.

        Args:
            filler: step of the best-effort task.
            guarded: step of the task with a latency target.
            share: processors that the best-effort task uses, as a share of the worker's.
        """
        effect = self._effects.get((filler.image, guarded.image))
        return (PRIOR_EFFECT if effect is None else effect.mean) * share

    def expected(self, attempt: Attempt, *, at_s: float) -> float:
        """Returns the headroom of a task at a time if it had no best-effort neighbours."""
        reading = self._readings.get(attempt)
        return UNKNOWN_HEADROOM if reading is None else reading.expected(at_s)

    def measured(self, attempt: Attempt) -> float | None:
        """Returns the headroom of a task in the last report, None without one."""
        reading = self._readings.get(attempt)
        return None if reading is None else reading.measured

    def read(self, book: WorkerBook, *, now_s: float) -> None:
        """Takes the figures in a worker's latest report and learns from them."""
        shares = self._note_fillers(book, now_s)
        for attempt in book.attempts.values():
            target = attempt.task.step.spec.latency_target_ms
            if target and attempt.latency_ms > 0 and attempt.percent >= AT_WORK:
                self._read(attempt, target / attempt.latency_ms, shares, now_s)

    def forget_ended(self) -> None:
        """Drops the readings of attempts that are no longer live."""
        self._readings = {
            attempt: reading
            for attempt, reading in self._readings.items()
            if attempt in attempt.task.attempts
        }

    def _note_fillers(self, book: WorkerBook, now_s: float) -> list[tuple[Step, float]]:
        """Returns the best-effort tasks of the time that the report covers, with their shares."""
        known = self._fillers.setdefault(book.id, {})
        capacity = book.info.capacity.processors or 1.0
        live = set(book.attempts.values())
        for attempt in live:
            spec = attempt.task.step.spec
            if spec.best_effort and attempt.processors > 0 and attempt.confirmed_s is not None:
                share = attempt.processors / capacity
                known[attempt] = _Filler(spec=spec, share=share, since_s=attempt.confirmed_s)
        for attempt, filler in list(known.items()):
            if attempt not in live and filler.until_s is None:
                filler.until_s = now_s
            if filler.presence(now_s) <= 0.0:
                del known[attempt]
        return [(f.spec, f.share * f.presence(now_s)) for f in known.values()]

    def _read(
        self, attempt: Attempt, headroom: float, shares: list[tuple[Step, float]], now_s: float
    ) -> None:
        spec = attempt.task.step.spec
        found = [(self._effect(filler, spec), share) for filler, share in shares if share > 0]
        loss = sum(effect.mean * share for effect, share in found)
        doubt = sum(effect.variance * share * share for effect, share in found)
        last = self._readings.get(attempt)
        if last is None:
            self._readings[attempt] = Reading(
                undisturbed=min(MAX_HEADROOM, headroom + loss),
                variance=NOISE**2 + doubt,
                measured=headroom,
                slope=0.0,
                read_s=now_s,
            )
        elif now_s - last.read_s >= LEAST_INTERVAL_S:
            self._correct(last, headroom, loss, doubt, found, now_s)

    def _correct(
        self,
        reading: Reading,
        headroom: float,
        loss: float,
        doubt: float,
        found: list[tuple[_Effect, float]],
        now_s: float,
    ) -> None:
        """Corrects the undisturbed headroom and the effects by a report."""
        passed_s = now_s - reading.read_s
        variance = reading.variance + DRIFT**2 * passed_s
        noise = NOISE**2 + (RELATIVE_NOISE * headroom) ** 2
        total = variance + doubt + noise
        surprise = headroom - max(0.0, reading.undisturbed - loss)
        for effect, share in found:
            gain = effect.variance * share / total
            effect.mean = max(0.0, min(MAX_EFFECT, effect.mean - gain * surprise))
            shrinkage = max(LEAST_SHRINKAGE, 1 - gain * share)
            effect.variance = max(LEAST_VARIANCE, effect.variance * shrinkage)
        change = variance / total * surprise
        slope = max(-MAX_SLOPE, min(MAX_SLOPE, change / passed_s))
        reading.slope += (slope - reading.slope) * min(1.0, passed_s)
        reading.undisturbed = max(0.0, min(MAX_HEADROOM, reading.undisturbed + change))
        reading.variance = variance * (1 - variance / total)
        reading.measured = headroom
        reading.read_s = now_s

    def _effect(self, filler: Step, guarded: Step) -> _Effect:
        return self._effects.setdefault((filler.image, guarded.image), _Effect())
