"""Model of the latency headroom of tasks, and of what they lose to best-effort neighbours.

The headroom of a task is its latency target divided by its tail latency: 1 is at the target, 2 is
twice as fast. A tail latency grows with the reciprocal of the idle share of what a task needs, so
the losses to several neighbours add up.

Each report gives one equation for each latency-critical task: headroom = baseline headroom of its
job - sum of effect x share. All terms are estimated together, as by a Kalman filter without
covariances: the difference between a report and the prediction (the innovation) corrects each
estimate in proportion to its variance. The baseline, which is the headroom without best-effort
neighbours, follows the load of the job, which all its tasks share, so it stays uncertain; the
effects of images converge.
"""

from typing import Any

import attrs

from fescuerudder import checked
from fescuerudder.jobs.estimates import evict_oldest
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import Attempt, StepRun
from fescuerudder.jobs.workerrecord import WorkerRecord

PRIOR_EFFECT = 4.0
"""Assumed effect of a best-effort image that was not observed yet: the headroom that other tasks
lose if it uses all processors of their worker."""

PRIOR_EFFECT_DEVIATION = 12.0
MIN_EFFECT_VARIANCE = 0.5
"""Lower bound of the variance of an effect, so that its estimate can follow a change."""

MAX_EFFECT = 80.0
MAX_EFFECTS = 2000
"""Number of pairs of images of which the effect is remembered."""

MIN_EFFECT_SHRINKAGE = 0.05
"""Smallest factor by which one report multiplies the variance of an effect."""

BASELINE_DRIFT = 0.15
"""Standard deviation of the change of a baseline in a second, beyond its slope."""

SLOPE_DRIFT = 0.4
"""Standard deviation of the change of the slope of a baseline in a second."""

MEASUREMENT_NOISE = 0.3
RELATIVE_NOISE = 0.05
ROUNDING_MS = 0.3
"""Standard deviation of the rounding error of a tail latency, reported in whole milliseconds."""

OUTLIER_DEVIATIONS = 3.0
"""Number of standard deviations beyond which a report has less weight."""

PRIOR_BASELINE_VARIANCE = 0.3
PRIOR_SLOPE_VARIANCE = 0.1
MIN_SLOPE_SHRINKAGE = 0.2
MAX_HEADROOM = 8.0
FAULTY_WORKER_HEADROOM = 0.1
MAX_SLOPE = 1.2
MEASUREMENT_WINDOW_S = 0.5
"""Time that the measurements in a report cover."""

DEFAULT_HEADROOM = 2.0
"""Headroom assumed for a job until a report shows that one of its tasks is ready."""

RESIDUAL_GAIN = 0.5
"""Weight of the latest report in the average residual of a task."""

READY_PERCENT = 100
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
class _Baseline:
    """Estimated headroom of the tasks of a job without best-effort neighbours.

    Args:
        headroom: the estimate.
        variance: variance of the estimate.
        slope: change per second.
        slope_variance: variance of the slope.
        updated_s: time of the last report.
    """

    headroom: float
    variance: float
    slope: float
    slope_variance: float
    updated_s: float

    def predict(self, now_s: float) -> float:
        """Extrapolates the estimate to `now_s`; returns the seconds since the last report."""
        passed_s = max(0.0, now_s - self.updated_s)
        self.headroom += self.slope * passed_s
        self.variance += self.slope_variance * passed_s**2 + BASELINE_DRIFT**2 * passed_s
        self.slope_variance += SLOPE_DRIFT**2 * passed_s
        self.updated_s = max(self.updated_s, now_s)
        return passed_s

    def correct(self, innovation: float, innovation_variance: float, passed_s: float) -> None:
        """Corrects the estimate and its slope by their parts of an innovation."""
        gain = self.variance / innovation_variance
        slope_gain = self.slope_variance * passed_s / innovation_variance
        self.headroom = max(0.0, min(MAX_HEADROOM, self.headroom + gain * innovation))
        self.slope = max(-MAX_SLOPE, min(MAX_SLOPE, self.slope + slope_gain * innovation))
        self.variance *= 1 - gain
        self.slope_variance *= max(MIN_SLOPE_SHRINKAGE, 1 - slope_gain * passed_s)

    def expected(self, at_s: float) -> float:
        """Returns the headroom expected at a time; does not extrapolate a rise."""
        return self.headroom + min(0.0, self.slope) * (at_s - self.updated_s)


@attrs.define(kw_only=True)
class _Effect:
    """Headroom that one image loses if another one uses a whole worker; estimate and variance."""

    mean: float = PRIOR_EFFECT
    variance: float = PRIOR_EFFECT_DEVIATION**2

    def correct(self, innovation: float, innovation_variance: float, share: float) -> None:
        """Corrects the estimate by its part of an innovation; a negative one increases it."""
        gain = self.variance * share / innovation_variance
        self.mean = max(0.0, min(MAX_EFFECT, self.mean - gain * innovation))
        shrinkage = max(MIN_EFFECT_SHRINKAGE, 1 - gain * share)
        self.variance = max(MIN_EFFECT_VARIANCE, self.variance * shrinkage)


@attrs.define(kw_only=True)
class _BestEffortTask:
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

    def active_share(self, now_s: float) -> float:
        """Returns the share of the time covered by a report during which the task ran."""
        end_s = now_s if self.until_s is None else self.until_s
        return (
            max(0.0, end_s - max(self.since_s, now_s - MEASUREMENT_WINDOW_S)) / MEASUREMENT_WINDOW_S
        )


class HeadroomModel:
    """Estimates of the headroom of latency-critical tasks and of the effects of other images."""

    default = DEFAULT_HEADROOM

    def __init__(self) -> None:
        self._effects: dict[tuple[str, str], _Effect] = {}
        self.evicted = 0
        self._jobs: dict[StepRun, _Baseline] = {}
        self._measured: dict[Attempt, Measurement] = {}
        self._residuals: dict[Attempt, float] = {}
        self._best_effort: dict[str, dict[Attempt, _BestEffortTask]] = {}

    def dump(self) -> list[list[Any]]:
        """Returns the learned effects, to be stored."""
        return [
            [best_effort, latency_critical, round(effect.mean, 2), round(effect.variance, 2)]
            for (best_effort, latency_critical), effect in self._effects.items()
        ]

    def restore(self, rows: list[list[Any]]) -> None:
        """Adds the effects that an earlier leader learned.

        Raises:
            ValueError: an effect is out of range.
        """
        effects = {
            (checked.text(best_effort), checked.text(latency_critical)): _Effect(
                mean=checked.finite(mean, most=MAX_EFFECT), variance=checked.finite(variance)
            )
            for best_effort, latency_critical, mean, variance in rows
        }
        self._effects.update(effects)

    def headroom_loss(self, *, best_effort: Step, latency_critical: Step, share: float) -> float:
        """Returns the headroom that a latency-critical task loses to a best-effort one.

        Args:
            best_effort: step of the best-effort task.
            latency_critical: step of the latency-critical task.
            share: processors that the best-effort task uses, as a share of the worker's.
        """
        effect = self._effects.get((best_effort.image, latency_critical.image))
        return (PRIOR_EFFECT if effect is None else effect.mean) * share

    def expected_baseline(self, attempt: Attempt, *, at_s: float) -> float:
        """Returns the headroom that a task would have at a time without best-effort neighbours.

        Includes the task's recent residual: its worker may be slower than others, or its other
        neighbours may interfere more.
        """
        job = self._jobs.get(attempt.task.step)
        if job is None:
            return DEFAULT_HEADROOM
        return job.expected(at_s) + self._residuals.get(attempt, 0.0)

    def measured(self, attempt: Attempt) -> Measurement | None:
        """Returns the latest measurement of a task, None if there is none."""
        return self._measured.get(attempt)

    def update(self, record: WorkerRecord, *, now_s: float) -> None:
        """Updates the estimates with the measurements in a worker's latest report."""
        shares = self._track_best_effort(record, now_s)
        for attempt in record.attempts.values():
            target = attempt.task.step.spec.latency_target_ms
            if target and attempt.latency_ms > 0 and attempt.percent >= READY_PERCENT:
                self._update_attempt(attempt, target / attempt.latency_ms, shares, now_s)

    def forget_ended(self) -> None:
        """Drops the data of jobs and tasks that no longer run."""
        self._measured = {a: m for a, m in self._measured.items() if a in a.task.attempts}
        live = {attempt.task.step for attempt in self._measured}
        self._jobs = {step: job for step, job in self._jobs.items() if step in live}
        self._residuals = {a: r for a, r in self._residuals.items() if a in self._measured}

    def _track_best_effort(self, record: WorkerRecord, now_s: float) -> list[tuple[Step, float]]:
        """Returns the best-effort tasks that ran during the time of the report, and their shares.

        A share is the part of the worker's processors that a task used, averaged over that time.
        """
        tracked = self._best_effort.setdefault(record.id, {})
        capacity = record.info.capacity.processors or 1.0
        live = set(record.attempts.values())
        for attempt in record.attempts.values():
            spec = attempt.task.step.spec
            if spec.best_effort and attempt.processors > 0 and attempt.confirmed_s is not None:
                share = attempt.processors / capacity
                tracked[attempt] = _BestEffortTask(
                    spec=spec, share=share, since_s=attempt.confirmed_s
                )
        for attempt, task in list(tracked.items()):
            if attempt not in live and task.until_s is None:
                task.until_s = now_s
            if task.active_share(now_s) <= 0.0:
                del tracked[attempt]
        return [(t.spec, t.share * t.active_share(now_s)) for t in tracked.values()]

    def _update_attempt(
        self, attempt: Attempt, headroom: float, shares: list[tuple[Step, float]], now_s: float
    ) -> None:
        spec = attempt.task.step.spec
        effects = [
            (self._effect(best_effort, spec), share) for best_effort, share in shares if share > 0
        ]
        headroom_loss = sum(effect.mean * share for effect, share in effects)
        effects_variance = sum(effect.variance * share * share for effect, share in effects)
        self._record_measurement(attempt, headroom, now_s)
        if headroom < FAULTY_WORKER_HEADROOM:
            # Neighbours can't have that effect: the worker is faulty, or the task has just
            # started and its tail latency is still high.
            return
        job = self._jobs.get(attempt.task.step)
        if job is None:
            self._jobs[attempt.task.step] = _Baseline(
                headroom=min(MAX_HEADROOM, headroom + headroom_loss),
                variance=PRIOR_BASELINE_VARIANCE + effects_variance,
                slope=0.0,
                slope_variance=PRIOR_SLOPE_VARIANCE,
                updated_s=now_s,
            )
            return
        passed_s = job.predict(now_s)
        innovation = headroom - max(0.0, job.headroom - headroom_loss)
        rounding = ROUNDING_MS * headroom**2 / spec.latency_target_ms
        noise = MEASUREMENT_NOISE**2 + (RELATIVE_NOISE * headroom) ** 2 + rounding**2
        innovation_variance = max(
            job.variance + effects_variance + noise, (innovation / OUTLIER_DEVIATIONS) ** 2
        )
        job.correct(innovation, innovation_variance, passed_s)
        for effect, share in effects:
            effect.correct(innovation, innovation_variance, share)
        residual = headroom - (job.headroom - sum(effect.mean * share for effect, share in effects))
        average = self._residuals.get(attempt, 0.0)
        self._residuals[attempt] = average + RESIDUAL_GAIN * (residual - average)

    def _record_measurement(self, attempt: Attempt, headroom: float, now_s: float) -> None:
        last = self._measured.get(attempt)
        missed_since_s = None
        if headroom < 1.0:
            was_missed = last is not None and last.missed_since_s is not None
            missed_since_s = last.missed_since_s if was_missed else now_s - MEASUREMENT_WINDOW_S
        self._measured[attempt] = Measurement(headroom=headroom, missed_since_s=missed_since_s)

    def _effect(self, best_effort: Step, latency_critical: Step) -> _Effect:
        key = (best_effort.image, latency_critical.image)
        # The least recently used entry stays the first.
        effect = self._effects[key] = self._effects.pop(key, None) or _Effect()
        self.evicted += evict_oldest(self._effects, MAX_EFFECTS)
        return effect
