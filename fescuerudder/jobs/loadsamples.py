"""What the leader observed of tasks that ended and jobs that began, for the load summary."""

import math

import attrs

HALF_LIFE_S = 5.0
"""Time after which an observed run time has half its weight."""

MIN_ENDS = 10.0
"""Weight of observed ends from which they correct the estimates."""

MIN_SPEED = 0.25
MAX_SPEED = 4.0
"""Bounds of the correction."""

FIRST_START_WEIGHT = 0.2
"""Weight of a new wait in the moving average of its queue."""

MAX_QUEUES = 500
"""Number of queues whose waits are kept; the one that was observed first is dropped."""


@attrs.define(kw_only=True)
class _Ends:
    """Decaying sums over the ends in one pool.

    Args:
        estimated: core seconds, as estimated by callers.
        real: core seconds that the tasks took.
        count: number of ends.
        updated_s: when the sums last decayed.
    """

    estimated: float = 0.0
    real: float = 0.0
    count: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Reduces the weight of earlier ends."""
        factor = 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        self.estimated *= factor
        self.real *= factor
        self.count *= factor
        self.updated_s = now_s


@attrs.define(kw_only=True)
class _Arrivals:
    """Decaying sum of the work that arrived.

    Args:
        work: core seconds.
        updated_s: when the sum last decayed.
    """

    work: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Reduces the weight of earlier arrivals."""
        self.work *= 0.5 ** ((now_s - self.updated_s) / HALF_LIFE_S)
        self.updated_s = now_s


class LoadSamples:
    """Run times and arrivals by pool, waits up to the first start by queue, within one term."""

    def __init__(self) -> None:
        self._arrivals: dict[tuple[str, int], _Arrivals] = {}
        self._ends: dict[str, _Ends] = {}
        self._first_starts: dict[str, float] = {}
        self.first_end_s = math.inf

    def record_end(self, pool: str, *, estimated: float, real: float, now_s: float) -> None:
        """Records that a task is done.

        Args:
            pool: pool of its worker.
            estimated: its work, in core seconds, as its caller estimated it; 0 if not stated.
            real: core seconds for which it ran.
            now_s: the time.
        """
        self.first_end_s = min(self.first_end_s, now_s)
        if estimated <= 0.0 or real <= 0.0:
            return
        ends = self._ends.setdefault(pool, _Ends(updated_s=now_s))
        ends.decay(now_s)
        ends.estimated += estimated
        ends.real += real
        ends.count += 1

    def speed(self, pool: str, now_s: float) -> float:
        """Returns the ratio of estimated to real run times in a pool, 1 if it is not known."""
        ends = self._ends.get(pool)
        if ends is None:
            return 1.0
        ends.decay(now_s)
        if ends.count < MIN_ENDS:
            return 1.0
        return max(MIN_SPEED, min(MAX_SPEED, ends.estimated / ends.real))

    def record_arrival(self, pool: str, priority: int, *, work: float, now_s: float) -> None:
        """Records the estimated work of a new job, in core seconds."""
        arrivals = self._arrivals.setdefault((pool, priority), _Arrivals(updated_s=now_s))
        arrivals.decay(now_s)
        arrivals.work += work

    def arriving(self, pool: str, now_s: float) -> dict[int, float]:
        """Returns the core seconds a second that arrived in a pool lately, by priority."""
        rates = {}
        for (name, priority), arrivals in self._arrivals.items():
            if name == pool:
                arrivals.decay(now_s)
                rates[priority] = arrivals.work * math.log(2) / HALF_LIFE_S
        return rates

    def record_first_start(self, queue: str, waited_s: float) -> None:
        """Records how long a job waited from its acceptance until its first task ran."""
        mean_s = self._first_starts.pop(queue, waited_s)
        self._first_starts[queue] = mean_s + FIRST_START_WEIGHT * (waited_s - mean_s)
        if len(self._first_starts) > MAX_QUEUES:
            del self._first_starts[next(iter(self._first_starts))]

    def first_start_s(self, queue: str) -> float | None:
        """Returns the mean wait of the jobs of a queue that began lately, None if unknown."""
        return self._first_starts.get(queue)
