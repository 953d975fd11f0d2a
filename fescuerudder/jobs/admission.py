"""Decides from a load summary whether a new job is accepted. Does no I/O.

The wait of a job is predicted from the work that goes before it in the leader's order. That order
puts first what earns most for its core seconds, so the wait is longest, and refusals begin, where
a refusal costs callers least. See docs/design/admission.md.
"""

import enum
import math
import random

import attrs

from fescuerudder.jobs.job import Job
from fescuerudder.jobs.loadsummary import (
    Amount,
    LoadSummary,
    PoolLoad,
    WaitingWork,
    amount_of,
)
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.refusals import OVERDUE_S, RefusedJob, RefusedJobs
from fescuerudder.jobs.urgency import (
    BASE_VALUE,
    DENSITY_CLASS_RATIO,
    EXPIRY_FACTOR,
    MAX_VALUE,
    MIN_REMAINING_SHARE,
)

MAX_SUMMARY_AGE_S = 1.5
"""Age from which a summary is not used, so that everything is accepted."""

MIN_SCARCE_S = 1.0
"""Time for which a pool must have been short of capacity before anything is refused."""

CERTAIN_SHARE = 0.6
"""Share of the wait for what stays ahead that is certain, as many tasks are added up in it."""

CERTAIN_PATH_SHARE = 0.1
"""Share of a job's own chain of steps that is certain, as estimates are off by up to 0.9."""

LATE_FACTOR = 1.35
"""Multiple of its objective that a job may be predicted to take."""

RETRY_FACTOR = 1.0
"""Multiple of its objective that a job should take once its caller returns. It is lower than
LATE_FACTOR: a job that is delayed and late all the same would have done better at once."""

RETURN_BONUS = 0.5
"""Further multiple for each earlier refusal, so that no job is refused again and again."""

HYSTERESIS_S = 2.0
"""Time after a refusal for which the limit of its queue stays lower."""

HYSTERESIS_SHARE = 0.8
"""The lower limit, as a share of the usual one."""

MIN_RETRY_S = 0.5
MAX_RETRY_S = 8.0
RETRY_SPREAD = 0.25
"""`Retry-After` is the time until the wait has fallen enough, within these bounds and spread by
this share, so that callers don't return together."""

PATIENCE_SHARE = 0.5
"""Share of the caller's deadline after which it is asked to return at the latest. If that is too
early for a late job to be in time, it is accepted, as its caller would give up."""


class RefusalReason(enum.Enum):
    """Why a job is refused because of load."""

    NO_USE = "no use"
    LATE = "late"


@attrs.frozen(kw_only=True)
class Prediction:
    """When a job would end, in seconds from now.

    Args:
        pool: load of its pool.
        place: its priority and class of value density.
        limit_s: its objective.
        path_s: estimated run time of its longest chain of steps.
        need: its estimated resources times seconds.
        ahead: resources times seconds that go before it.
        reserved: the part of `ahead` that belongs to jobs that were refused.
        wait_s: time until the work ahead is done.
        sure_wait_s: the same for what stays ahead: jobs of the same priority that turn late drop
            behind it, and refused ones may not return.
    """

    pool: PoolLoad
    place: tuple[int, int]
    limit_s: float
    path_s: float
    need: Amount
    ahead: Amount
    reserved: Amount
    wait_s: float
    sure_wait_s: float

    @property
    def end_s(self) -> float:
        """Expected time until the end."""
        return self.wait_s + self.path_s

    @property
    def certain_s(self) -> float:
        """Time before which the job certainly doesn't end."""
        return CERTAIN_SHARE * self.sure_wait_s + CERTAIN_PATH_SHARE * self.path_s


@attrs.frozen(kw_only=True)
class Refused:
    """A refusal.

    Args:
        reason: the reason.
        retry_after_s: time after which the caller may retry.
        tries: how often the job was refused, this time included.
        prediction: the figures that decided it.
        summary_age_s: age of the summary.
    """

    reason: RefusalReason
    retry_after_s: float
    tries: int
    prediction: Prediction
    summary_age_s: float


class Admission:
    """Decides on the jobs of one instance; not thread-safe.

    Args:
        rng: source of the spread.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._refused_s: dict[str, float] = {}
        self.refused = RefusedJobs()

    def decide(
        self,
        job: Job,
        queue: Queue,
        summary: LoadSummary,
        *,
        age_s: float,
        now_s: float,
        patience_s: float,
    ) -> Refused | None:
        """Returns the refusal of a job, or None to accept it.

        Args:
            job: a job that isn't known to be stored.
            queue: its queue.
            summary: the latest load summary.
            age_s: age of the summary, in seconds.
            now_s: the time.
            patience_s: time that the caller has left.
        """
        self.refused.drop_overdue(now_s)
        pool = summary.pools.get(queue.pool)
        is_usable = 0.0 <= age_s < MAX_SUMMARY_AGE_S
        if pool is None or not is_usable or pool.scarce_s < MIN_SCARCE_S or is_exempt(job, queue):
            return None
        if any(pool.free.covers(amount_of(step.size)) for step in job.steps if not step.after):
            return None
        earlier = self.refused.get(job.id)
        prediction = self._predict(job, queue, summary, pool, is_new=earlier is None)
        tries = earlier.tries if earlier is not None else 0
        limit = self._late_limit(queue, tries, now_s)
        reason = _reason(prediction, limit, has_live_jobs=queue.name in summary.queues)
        if reason is None:
            return None
        expected_s = _expected_s(prediction, reason)
        if reason is RefusalReason.LATE and expected_s > PATIENCE_SHARE * patience_s:
            # Its caller would give up before there is capacity, which costs more than being late.
            return None
        return Refused(
            reason=reason,
            retry_after_s=self._retry_after_s(expected_s, patience_s),
            tries=tries + 1,
            prediction=prediction,
            summary_age_s=age_s,
        )

    def record_refused(self, job: Job, queue: Queue, refused: Refused, now_s: float) -> RefusedJob:
        """Records that a job was refused; its work is kept free for its return."""
        priority, density_class = refused.prediction.place
        entry = RefusedJob(
            pool=queue.pool,
            priority=priority,
            density_class=density_class,
            work=refused.prediction.need,
            expected_by_s=now_s + refused.retry_after_s + OVERDUE_S,
            tries=refused.tries,
        )
        self.refused.add(job.id, entry)
        self._refused_s[queue.name] = now_s
        return entry

    def _late_limit(self, queue: Queue, tries: int, now_s: float) -> float:
        """Returns the multiple of its objective that a job may be predicted to take."""
        limit = LATE_FACTOR + RETURN_BONUS * tries
        is_refusing = now_s - self._refused_s.get(queue.name, -math.inf) < HYSTERESIS_S
        return limit * HYSTERESIS_SHARE if is_refusing and not tries else limit

    def _predict(
        self, job: Job, queue: Queue, summary: LoadSummary, pool: PoolLoad, *, is_new: bool
    ) -> Prediction:
        need = _work(job)
        path_s = _path_ms(job) / 1000
        limit_s = queue.stretch * path_s + queue.allowance_ms / 1000
        load = summary.queues.get(queue.name)
        mean = load.mean_work if load is not None else 0.0
        density_class = new_job_class(need.processors / mean if mean > 0.0 else 1.0)
        place = (queue.priority, density_class)
        reserved = self.refused.reserved(queue.pool, *place) if is_new else Amount()
        ahead, sure = reserved, Amount()
        for row in pool.waiting:
            share = _share_ahead(row, place, limit_s)
            if share <= 0.0:
                continue
            work = Amount().plus(row.work, share)
            ahead = ahead.plus(work)
            sure = sure.plus(work if row.priority < place[0] else _done_in_time(work, row, pool))
        return Prediction(
            pool=pool,
            place=place,
            limit_s=limit_s,
            path_s=path_s,
            need=need,
            ahead=ahead,
            reserved=reserved,
            wait_s=_wait_s(ahead, need, pool),
            sure_wait_s=_wait_s(sure, need, pool),
        )

    def _retry_after_s(self, expected_s: float, patience_s: float) -> float:
        """Returns the time until the wait has fallen to what is admitted, bounded and spread."""
        expected_s = min(expected_s, MAX_RETRY_S, PATIENCE_SHARE * patience_s)
        spread = self._rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return max(MIN_RETRY_S, expected_s) * spread


def is_exempt(job: Job, queue: Queue) -> bool:
    """Returns whether a job is never refused because of load."""
    return (
        job.repetition is not None
        or queue.advice is not None
        or any(step.long_running or step.best_effort for step in job.steps)
        or all(step.estimated_ms <= 0 for step in job.steps)
    )


def new_job_class(relative_size: float) -> int:
    """Returns the class of value density of a job of which nothing is done, as `urgency_key` does.

    Args:
        relative_size: its work as a multiple of the mean of its queue.
    """
    value = min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * relative_size)
    density = value / max(relative_size, MIN_REMAINING_SHARE)
    return -round(math.log(density, DENSITY_CLASS_RATIO))


def _reason(
    prediction: Prediction, late_limit: float, *, has_live_jobs: bool
) -> RefusalReason | None:
    """Returns why a job is refused, None if it isn't."""
    if prediction.certain_s > EXPIRY_FACTOR * prediction.limit_s:
        return RefusalReason.NO_USE
    if has_live_jobs and prediction.end_s > late_limit * prediction.limit_s:
        return RefusalReason.LATE
    return None


def _expected_s(prediction: Prediction, reason: RefusalReason) -> float:
    """Returns the time until the wait has fallen to what is admitted, in seconds.

    More urgent jobs keep arriving meanwhile; where they take everything, the time is infinite.
    """
    factor = RETRY_FACTOR if reason is RefusalReason.LATE else EXPIRY_FACTOR
    excess_s = max(0.0, prediction.end_s - factor * prediction.limit_s)
    pool, (priority, _) = prediction.pool, prediction.place
    done = pool.capacity.processors * pool.speed
    urgent = sum(rate for other, rate in pool.arriving.items() if other < priority)
    if prediction.need.processors <= 0.0 or done <= 0.0:
        return excess_s
    return excess_s * done / (done - urgent) if urgent < done else math.inf


def _share_ahead(row: WaitingWork, place: tuple[int, int], limit_s: float) -> float:
    """Returns the share of waiting work that goes before a new job.

    Within a class the job that is due first goes first; the times left are taken as evenly spread
    between 0 and twice their mean.
    """
    rank = (row.priority, row.density_class)
    if rank != place:
        return 1.0 if rank < place else 0.0
    return min(1.0, limit_s / (2 * row.left_s)) if row.left_s > 0.0 else 1.0


def _done_in_time(work: Amount, row: WaitingWork, pool: PoolLoad) -> Amount:
    """Returns as much of some work as can be done before the latest deadline of its jobs."""
    seconds = 2 * row.left_s * pool.speed
    return Amount(*(min(w, seconds * c) for w, c in zip(work, pool.capacity, strict=True)))


def _wait_s(ahead: Amount, need: Amount, pool: PoolLoad) -> float:
    """Returns the time until the work ahead is done, by the resource that takes longest.

    Resources that the job doesn't need don't delay it, nor do those of which there is no capacity
    at the moment.
    """
    waits_s = [
        amount / (capacity * pool.speed)
        for amount, needed, capacity in zip(ahead, need, pool.capacity, strict=True)
        if needed > 0.0 and capacity > 0.0
    ]
    return max(waits_s, default=0.0)


def _work(job: Job) -> Amount:
    """Returns the estimated resources times seconds of all tasks."""
    total = Amount()
    for step in job.steps:
        total = total.plus(amount_of(step.size), step.count * step.estimated_ms / 1000)
    return total


def _path_ms(job: Job) -> int:
    """Returns the estimated run time of the longest chain of steps, in milliseconds.

    A step depends only on steps before it.
    """
    ends: list[int] = []
    for step in job.steps:
        begins = max((ends[number] for number in step.after if number < len(ends)), default=0)
        ends.append(begins + step.estimated_ms)
    return max(ends, default=0)
