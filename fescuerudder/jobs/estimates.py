"""Processor use of tasks, estimated from reports."""

import itertools
from typing import Any

from fescuerudder import checked
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import Attempt

READING_WEIGHT = 0.1
"""Weight of a new reading in the moving average."""

IDLE_HEADROOM = 6.0
"""Headroom at which a latency-critical task is assumed to have no load. Its processor use is
derived from its headroom, since reports don't state it."""

MAX_IMAGES = 1000
"""Number of images of which the share is remembered."""

MIN_LATENCY_CRITICAL_SHARE = 0.2
MIN_USED_SHARE = 0.3


def evict_oldest(entries: dict[Any, Any], most: int) -> int:
    """Drops the first entries of a map until it has at most `most`; returns how many."""
    excess = max(0, len(entries) - most)
    for key in list(itertools.islice(entries, excess)):
        del entries[key]
    return excess


class UsageEstimates:
    """Share of the declared processors that the tasks of each image use.

    Attributes:
        evicted: number of shares that were dropped, the least recently used first.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self.evicted = 0

    def dump(self) -> dict[str, float]:
        """Returns the learned shares, to be stored."""
        return {image: round(share, 3) for image, share in self._shares.items()}

    def restore(self, shares: dict[str, float]) -> None:
        """Adds the shares that an earlier leader learned.

        Raises:
            ValueError: a share is out of range.
        """
        checked_shares = {
            checked.text(image): checked.finite(share, most=1.0) for image, share in shares.items()
        }
        self._shares.update(checked_shares)

    def observe(self, attempt: Attempt) -> None:
        """Updates the share of an image from the latest report on an attempt at full speed."""
        spec = attempt.task.step.spec
        if spec.latency_target_ms or not spec.size.processors or not attempt.processors:
            return
        share = max(MIN_USED_SHARE, min(1.0, attempt.processors / spec.size.processors))
        average = self._shares.get(spec.image, 1.0)
        # The least recently used entry stays the first.
        self._shares.pop(spec.image, None)
        self._shares[spec.image] = average + READING_WEIGHT * (share - average)
        self.evicted += evict_oldest(self._shares, MAX_IMAGES)

    def expected_processors(self, spec: Step) -> float:
        """Returns the processors that a task without a latency target uses if they are free."""
        return spec.size.processors * self._shares.get(spec.image, 1.0)

    def latency_critical_processors(self, spec: Step, *, baseline: float) -> float:
        """Returns the processors that a latency-critical task uses.

        Args:
            spec: its step.
            baseline: its headroom without best-effort neighbours; it falls with the load.
        """
        share = 1.0 - baseline / IDLE_HEADROOM
        return spec.size.processors * max(MIN_LATENCY_CRITICAL_SHARE, min(1.0, share))
