"""Throttling of best-effort tasks whose neighbours are about to miss their latency targets."""

import structlog

from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, Phase
from fescuerudder.jobs.load import LatencyCriticalTask, Load
from fescuerudder.jobs.margins import Margins
from fescuerudder.jobs.workerport import ThrottleOrder

PAUSE_AFTER_MISS_S = 1.2
"""Time for which a target may be missed before all neighbours are paused."""

MIN_CHANGE_PERCENT = 10
"""Smallest change of a throttle that is worth an order."""

_log = structlog.get_logger(__name__)


def plan_throttles(load: Load, margins: Margins) -> list[ThrottleOrder]:
    """Returns the orders for throttles to change on a worker, and updates its attempts.

    Args:
        load: load of the worker as expected until its next report.
        margins: headroom that latency-critical tasks must keep.
    """
    best_effort = [
        attempt
        for attempt in load.record.attempts.values()
        if attempt.task.step.spec.best_effort and attempt.phase is Phase.RUNNING
    ]
    shares = dict.fromkeys(best_effort, load.best_effort_speed)
    for task in load.latency_critical:
        _limit_shares(load, task, shares, margins)
    percents = {attempt: int(share * FULL_SPEED) for attempt, share in shares.items()}
    return [_throttle_order(load, a, p) for a, p in percents.items() if _is_due(a.throttle, p)]


def _limit_shares(
    load: Load, task: LatencyCriticalTask, shares: dict[Attempt, float], margins: Margins
) -> None:
    """Lowers the speeds of neighbours, the worst first, until the task has enough headroom."""
    if task.missed_s >= PAUSE_AFTER_MISS_S:
        # The estimates may be wrong, so any neighbour may be the cause.
        for attempt in shares:
            shares[attempt] = 0.0
        return
    losses = {attempt: load.headroom_loss(attempt.task.step.spec, task) for attempt in shares}
    is_throttled = any(attempt.throttle != FULL_SPEED for attempt in shares)
    limit = margins.release if is_throttled else margins.throttle
    if task.baseline - sum(losses.values()) >= limit:
        return
    excess = margins.throttle - task.baseline + sum(losses.values())
    for attempt, loss in sorted(losses.items(), key=lambda item: -item[1]):
        if excess <= 0.0 or loss <= 0.0:
            break
        shares[attempt] = min(shares[attempt], max(0.0, 1.0 - excess / loss))
        excess -= loss


def _is_due(throttle: int | None, percent: int) -> bool:
    if throttle is None:
        return True
    is_end = percent in (0, FULL_SPEED) and throttle != percent
    return is_end or abs(percent - throttle) >= MIN_CHANGE_PERCENT


def _throttle_order(load: Load, attempt: Attempt, percent: int) -> ThrottleOrder:
    _log.info(
        "throttle ordered",
        job=attempt.task.id.job,
        task=attempt.task.id[1:],
        attempt=attempt.number,
        worker=attempt.worker,
        percent=percent,
        before=attempt.throttle,
        headroom=round(load.lowest_headroom(), 2),
    )
    attempt.throttle = percent
    return ThrottleOrder(
        worker=load.record.id,
        address=load.record.info.address,
        task=attempt.task.id,
        attempt=attempt.number,
        percent=percent,
        token=load.record.token,
    )
