"""Headroom that best-effort tasks leave latency-critical ones, by how much of their work waits.

The expected headroom of a task is uncertain, so a wide margin keeps more tasks within their
targets. It costs best-effort jobs little where they find other room. Where much of their work waits
or is throttled, the margin narrows: they would be too late to be of use otherwise.
"""

import math
from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, StepRun
from fescuerudder.jobs.policy import LatencyMargins


@attrs.frozen(kw_only=True)
class Margins:
    """Headroom of latency-critical tasks; 1 is at the target.

    Args:
        throttle: expected headroom below which neighbours are throttled.
        release: expected headroom, with all neighbours at full speed, from which throttles are
            lifted again.
        early: expected headroom that a new best-effort task must leave the tasks beside it when its
            job has just arrived.
        overdue: the same when its job is due.
    """

    throttle: float
    release: float
    early: float
    overdue: float

    def required_headroom(self, *, waited_share: float) -> float:
        """Returns the headroom that a best-effort task must leave on the worker where it is placed.

        Args:
            waited_share: time since the job arrived, as a share of the time within which it should
                be complete; the longer it has waited, the less headroom it must leave.
        """
        remaining_share = max(0.0, 1.0 - waited_share)
        return self.overdue + (self.early - self.overdue) * remaining_share


WIDE = Margins(throttle=1.35, release=1.7, early=2.1, overdue=1.6)
NARROW = Margins(throttle=1.1, release=1.3, early=1.5, overdue=1.2)

AT_TARGET = Margins(throttle=1.0, release=1.15, early=1.3, overdue=1.05)
"""Margins with `LatencyMargins.AT_TARGET`. Throttles are lifted a little above the target, so that
they don't change with each report."""

WIDE_UP_TO_STARVED_SHARE = 0.25
NARROW_FROM_STARVED_SHARE = 0.5
"""Shares of the wanted best-effort processors that do not work between which the margins change."""

MIN_WAIT_S = 0.5
"""Age from which the tasks of a step count; before it they may just be about to start."""

SMOOTHING_S = 3.0
"""Time constant of the average of that share."""

UPDATE_INTERVAL_S = 0.5

_log = structlog.get_logger(__name__)


class MarginControl:
    """Adjusts the margins to the share of best-effort work that waits or is throttled."""

    def __init__(self) -> None:
        self._starved_share = 0.0
        self._updated_s = -math.inf
        self.margins = WIDE

    def update(self, open_steps: Iterable[StepRun], *, now_s: float) -> None:
        """Updates the margins from the steps that have tasks to run, if they are due.

        Args:
            open_steps: steps that have tasks that are not done.
            now_s: the time.
        """
        passed_s = now_s - self._updated_s
        if passed_s < UPDATE_INTERVAL_S:
            return
        wanted, idle = _starved_share(open_steps, now_s)
        share = idle / wanted if wanted else 0.0
        self._starved_share += (share - self._starved_share) * min(1.0, passed_s / SMOOTHING_S)
        self._updated_s = now_s
        before, self.margins = self.margins, margins_for(self._starved_share)
        if round(before.throttle, 1) != round(self.margins.throttle, 1):
            _log.info(
                "latency margins changed",
                starved_share=round(self._starved_share, 2),
                wanted_processors=round(wanted),
                throttle=round(self.margins.throttle, 2),
            )


class FixedMargins:
    """Margins that don't depend on how much best-effort work waits."""

    margins = AT_TARGET

    def update(self, open_steps: Iterable[StepRun], *, now_s: float) -> None:
        """Ignores the steps."""


def make_margin_control(choice: LatencyMargins) -> MarginControl | FixedMargins:
    """Returns what sets the margins, by the choice of the operators."""
    return FixedMargins() if choice is LatencyMargins.AT_TARGET else MarginControl()


def margins_for(starved_share: float) -> Margins:
    """Returns the margins while a share of the best-effort work that is wanted does not run."""
    span = NARROW_FROM_STARVED_SHARE - WIDE_UP_TO_STARVED_SHARE
    weight = min(1.0, max(0.0, (starved_share - WIDE_UP_TO_STARVED_SHARE) / span))
    return Margins(
        throttle=_mix(WIDE.throttle, NARROW.throttle, weight),
        release=_mix(WIDE.release, NARROW.release, weight),
        early=_mix(WIDE.early, NARROW.early, weight),
        overdue=_mix(WIDE.overdue, NARROW.overdue, weight),
    )


def _mix(wide: float, narrow: float, weight: float) -> float:
    return wide + weight * (narrow - wide)


def _starved_share(open_steps: Iterable[StepRun], now_s: float) -> tuple[float, float]:
    """Returns the best-effort processors that are wanted, and those of them that do not work.

    A task does not work while it waits for a worker, and as far as it is throttled.
    """
    wanted = idle = 0.0
    for step in open_steps:
        if not step.spec.best_effort or step.opened_s is None:
            continue
        if now_s - step.opened_s < MIN_WAIT_S:
            continue
        processors = step.spec.size.processors
        for task in step.tasks:
            if task.done:
                continue
            wanted += processors
            idle += processors * (1 - max(map(_speed, task.attempts), default=0.0))
    return wanted, idle


def _speed(attempt: Attempt) -> float:
    """Returns the share of its full speed at which an attempt may work."""
    return (FULL_SPEED if attempt.throttle is None else attempt.throttle) / FULL_SPEED
