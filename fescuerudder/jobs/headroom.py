"""Model of the latency headroom of tasks, and of what they lose to best-effort neighbours.

The headroom of a task is its latency target divided by its tail latency: 1 is at the target, 2 is
twice as fast. A tail latency grows with the reciprocal of the idle share of what a task needs, so
the losses to several neighbours add up.

Each report gives one equation for each latency-critical task: headroom = baseline headroom of its
job - sum of effect x share. All terms are estimated together, as by a Kalman filter without
covariances: the difference between a report and the prediction corrects each estimate in
proportion to its variance. The baseline, which is the headroom without best-effort neighbours,
follows the load of the job, which all its tasks share, so it stays uncertain; the effects of images
converge.
"""

from typing import Any

import attrs

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import Attempt, StepRun
from fescuerudder.jobs.workerbook import WorkerBook

PRIOR_EFFECT = 4.0
"""Assumed effect of a best-effort image that was not observed yet: the headroom that other tasks
lose if it uses all processors of their worker."""

PRIOR_DEVIATION = 12.0
LEAST_VARIANCE = 0.5
"""Lower bound of the variance of an effect, so that its estimate can follow a change."""

MAX_EFFECT = 80.0
LEAST_SHRINKAGE = 0.05
"""Smallest factor by which one report multiplies the variance of an effect."""

DRIFT = 0.15
"""Standard deviation of the change of a baseline in a second, beyond its slope."""

SLOPE_DRIFT = 0.4
"""Standard deviation of the change of the slope of a baseline in a second."""

NOISE = 0.3
RELATIVE_NOISE = 0.05
ROUNDING_MS = 0.3
"""Standard deviation of the rounding error of a tail latency, reported in whole milliseconds."""

OUTLIER = 3.0
"""Number of standard deviations beyond which a report has less weight."""

PRIOR_VARIANCE = 0.3
PRIOR_SLOPE_VARIANCE = 0.1
LEAST_SLOPE_SHRINKAGE = 0.2
MAX_HEADROOM = 8.0
HOPELESS_HEADROOM = 0.1
MAX_SLOPE = 1.2
MEASURED_S = 0.5
"""Time that the measurements in a report cover."""

UNKNOWN_HEADROOM = 2.0
"""Headroom assumed for a job until a report shows that one of its tasks is ready."""

RESIDUAL_GAIN = 0.5
"""Weight of the latest report in the average residual of a task."""

AT_WORK = 100
"""Progress, in percent, from which a long-running task is ready and serves requests."""


@attrs.frozen(kw_only=True)
class Measurement:
    """Latest measurement of a latency-critical task.

    Args:
        headroom: its headroom.
        missed_since_s: when it began to miss its target, None if it meets it.
    """

    headroom: float
    missed_since_s: float | None


@attrs.define(kw_only=True)
class _Undisturbed:
    """Estimated headroom of the tasks of a job without best-effort neighbours.

    Args:
        headroom: the estimate.
        variance: variance of the estimate.
        slope: change per second.
        slope_variance: variance of the slope.
        read_s: time of the last report.
    """

    headroom: float
    variance: float
    slope: float
    slope_variance: float
    read_s: float

    def pass_time(self, now_s: float) -> float:
        """Extrapolates the estimate to `now_s`; returns the seconds since the last report."""
        passed_s = max(0.0, now_s - self.read_s)
        self.headroom += self.slope * passed_s
        self.variance += self.slope_variance * passed_s**2 + DRIFT**2 * passed_s
        self.slope_variance += SLOPE_DRIFT**2 * passed_s
        self.read_s = max(self.read_s, now_s)
        return passed_s

    def correct(self, surprise: float, total: float, passed_s: float) -> None:
        """Corrects the estimate and its slope by their parts of an innovation."""
        gain = self.variance / total
        slope_gain = self.slope_variance * passed_s / total
        self.headroom = max(0.0, min(MAX_HEADROOM, self.headroom + gain * surprise))
        self.slope = max(-MAX_SLOPE, min(MAX_SLOPE, self.slope + slope_gain * surprise))
        self.variance *= 1 - gain
        self.slope_variance *= max(LEAST_SLOPE_SHRINKAGE, 1 - slope_gain * passed_s)

    def expected(self, at_s: float) -> float:
        """Returns the headroom expected at a time; does not extrapolate a rise."""
        return self.headroom + min(0.0, self.slope) * (at_s - self.read_s)


@attrs.define(kw_only=True)
class _Effect:
    """Headroom that one image loses if another one uses a whole worker; estimate and variance."""

    mean: float = PRIOR_EFFECT
    variance: float = PRIOR_DEVIATION**2

    def correct(self, surprise: float, total: float, share: float) -> None:
        """Corrects the estimate by its part of an innovation; a negative one increases it."""
        gain = self.variance * share / total
        self.mean = max(0.0, min(MAX_EFFECT, self.mean - gain * surprise))
        shrinkage = max(LEAST_SHRINKAGE, 1 - gain * share)
        self.variance = max(LEAST_VARIANCE, self.variance * shrinkage)


@attrs.define(kw_only=True)
class _Filler:
    """Time and processor use of a best-effort task on a worker.

    Args:
        spec: its step.
        share: processors that it uses, as a share of the worker's.
        since_s: when its start was confirmed.
        until_s: when its end was reported, None while it runs.
    """

    spec: Step
    share: float
    since_s: float
    until_s: float | None = None

    def presence(self, now_s: float) -> float:
        """Returns the share of the time covered by a report during which the task ran."""
        end_s = now_s if self.until_s is None else self.until_s
        return max(0.0, end_s - max(self.since_s, now_s - MEASURED_S)) / MEASURED_S


class HeadroomModel:
    """Estimates of the headroom of latency-critical tasks and of the effects of other images."""

    unknown = UNKNOWN_HEADROOM

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], _Effect] = {}
        self._jobs: dict[StepRun, _Undisturbed] = {}
        self._measured: dict[Attempt, Measurement] = {}
        self._residuals: dict[Attempt, float] = {}
        self._fillers: dict[str, dict[Attempt, _Filler]] = {}

    def dump(self) -> list[list[Any]]:
        """Returns the learned effects, to be stored."""
        return [
            [filler, guarded, round(effect.mean, 2), round(effect.variance, 2)]
            for (filler, guarded), effect in self._effects.items()
        ]

    def restore(self, rows: list[list[Any]]) -> None:
        """Adds the effects that an earlier leader learned."""
        for filler, guarded, mean, variance in rows:
            self._effects[(filler, guarded)] = _Effect(mean=float(mean), variance=float(variance))

    def loss(self, *, filler: Step, guarded: Step, share: float) -> float:
        """Returns the headroom that a latency-critical task loses to a best-effort one.

        Args:
            filler: step of the best-effort task.
            guarded: step of the latency-critical task.
            share: processors that the best-effort task uses, as a share of the worker's.
        """
        effect = self._effects.get((filler.image, guarded.image))
        return (PRIOR_EFFECT if effect is None else effect.mean) * share

    def expected(self, attempt: Attempt, *, at_s: float) -> float:
        """Returns the headroom that a task would have at a time without best-effort neighbours.

        Includes the task's recent residual: its worker may be slower than others, or its other
        neighbours may interfere more.
        """
        job = self._jobs.get(attempt.task.step)
        if job is None:
            return UNKNOWN_HEADROOM
        return job.expected(at_s) + self._residuals.get(attempt, 0.0)

    def measured(self, attempt: Attempt) -> Measurement | None:
        """Returns the latest measurement of a task, None if there is none."""
        return self._measured.get(attempt)

    def read(self, book: WorkerBook, *, now_s: float) -> None:
        """Updates the estimates with the measurements in a worker's latest report."""
        shares = self._note_fillers(book, now_s)
        for attempt in book.attempts.values():
            target = attempt.task.step.spec.latency_target_ms
            if target and attempt.latency_ms > 0 and attempt.percent >= AT_WORK:
                self._read(attempt, target / attempt.latency_ms, shares, now_s)

    def forget_ended(self) -> None:
        """Drops the data of jobs and tasks that no longer run."""
        self._measured = {a: m for a, m in self._measured.items() if a in a.task.attempts}
        live = {attempt.task.step for attempt in self._measured}
        self._jobs = {step: job for step, job in self._jobs.items() if step in live}
        self._residuals = {a: r for a, r in self._residuals.items() if a in self._measured}

    def _note_fillers(self, book: WorkerBook, now_s: float) -> list[tuple[Step, float]]:
        """Returns the best-effort tasks that ran during the time of the report, and their shares.

        A share is the part of the worker's processors that a task used, averaged over that time.
        """
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
        self._measure(attempt, headroom, now_s)
        if headroom < HOPELESS_HEADROOM:
            # Neighbours can't have that effect: the worker is faulty, or the task has just
            # started and its tail latency is still high.
            return
        job = self._jobs.get(attempt.task.step)
        if job is None:
            self._jobs[attempt.task.step] = _Undisturbed(
                headroom=min(MAX_HEADROOM, headroom + loss),
                variance=PRIOR_VARIANCE + doubt,
                slope=0.0,
                slope_variance=PRIOR_SLOPE_VARIANCE,
                read_s=now_s,
            )
            return
        passed_s = job.pass_time(now_s)
        surprise = headroom - max(0.0, job.headroom - loss)
        rounding = ROUNDING_MS * headroom**2 / spec.latency_target_ms
        noise = NOISE**2 + (RELATIVE_NOISE * headroom) ** 2 + rounding**2
        total = max(job.variance + doubt + noise, (surprise / OUTLIER) ** 2)
        job.correct(surprise, total, passed_s)
        for effect, share in found:
            effect.correct(surprise, total, share)
        left = headroom - (job.headroom - sum(effect.mean * share for effect, share in found))
        known = self._residuals.get(attempt, 0.0)
        self._residuals[attempt] = known + RESIDUAL_GAIN * (left - known)

    def _measure(self, attempt: Attempt, headroom: float, now_s: float) -> None:
        last = self._measured.get(attempt)
        missed_since_s = None
        if headroom < 1.0:
            was_missed = last is not None and last.missed_since_s is not None
            missed_since_s = last.missed_since_s if was_missed else now_s - MEASURED_S
        self._measured[attempt] = Measurement(headroom=headroom, missed_since_s=missed_since_s)

    def _effect(self, filler: Step, guarded: Step) -> _Effect:
        return self._effects.setdefault((filler.image, guarded.image), _Effect())
