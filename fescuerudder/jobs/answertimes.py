"""Timeouts of calls to workers, adapted to how fast each worker answers.

An order whose answer is lost is settled by a report to a higher token, so a timeout that is too
short costs one report, and one that is too long delays the job. The estimate is that of a TCP
retransmission timer (RFC 6298): average answer time and four times its average deviation, doubled
with each call without an answer.
"""

import attrs

MIN_TIMEOUT_S = 0.25
"""Shortest timeout; the leader may do something else for a while before it sees an answer."""

MAX_ORDER_TIMEOUT_S = 0.6
"""Longest timeout of an order: ten times the way to another region and back."""

MAX_REPORT_MARGIN_S = 0.8
"""Longest time allowed for a report beyond the time that the worker waits for an attempt to end."""

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
MAX_BACKOFF = 8.0


@attrs.define(kw_only=True)
class _Estimate:
    """Answer time of a worker, in seconds.

    Args:
        mean: moving average.
        deviation: moving average of the deviation from it.
        backoff: factor of the timeout, more than one after calls without an answer.
    """

    mean: float
    deviation: float
    backoff: float = 1.0

    def observe(self, seconds: float) -> None:
        """Adds the time that an answer took."""
        self.deviation += DEVIATION_WEIGHT * (abs(seconds - self.mean) - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)
        self.backoff = 1.0

    @property
    def timeout_s(self) -> float:
        """Timeout without bounds."""
        return (self.mean + DEVIATIONS * self.deviation) * self.backoff


class AnswerTimes:
    """Answer times of all workers, by worker id."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record_answer(self, worker: str, seconds: float) -> None:
        """Records the time that a worker took to answer a call at once."""
        estimate = self._estimates.get(worker)
        if estimate is None:
            self._estimates[worker] = _Estimate(mean=seconds, deviation=seconds / 2)
        else:
            estimate.observe(seconds)

    def record_loss(self, worker: str) -> None:
        """Records a call without an answer."""
        estimate = self._estimates.get(worker)
        if estimate is not None:
            estimate.backoff = min(MAX_BACKOFF, 2 * estimate.backoff)

    def order_timeout_s(self, worker: str) -> float:
        """Returns the timeout of an order."""
        return self._bounded(worker, MAX_ORDER_TIMEOUT_S)

    def report_margin_s(self, worker: str) -> float:
        """Returns the time allowed for a report beyond the wait that was asked for."""
        return self._bounded(worker, MAX_REPORT_MARGIN_S)

    def _bounded(self, worker: str, longest_s: float) -> float:
        estimate = self._estimates.get(worker)
        if estimate is None:
            return longest_s
        return min(longest_s, max(MIN_TIMEOUT_S * estimate.backoff, estimate.timeout_s))
