"""Jobs that were refused because of load and whose callers are expected to return."""

import heapq
from collections import Counter

import attrs

from fescuerudder.jobs.loadsummary import Amount

OVERDUE_S = 1.0
"""Time after the end of its `Retry-After` for which a job is still expected."""

MAX_REFUSED = 5000
"""Number of jobs that are kept; the one that was refused first is dropped."""

_Place = tuple[str, int, int]
"""Pool, priority and class of value density."""


@attrs.frozen(kw_only=True)
class RefusedJob:
    """A job that was refused.

    Args:
        pool: pool of its queue.
        priority: priority of its queue.
        density_class: its class of value density, as in `urgency_key`.
        work: its estimated resources times seconds.
        expected_by_s: when its caller has returned, or has given up.
        tries: how often it was refused.
    """

    pool: str
    priority: int
    density_class: int
    work: Amount
    expected_by_s: float
    tries: int = 1

    @property
    def place(self) -> _Place:
        """Where its work stands in the leader's order."""
        return (self.pool, self.priority, self.density_class)


class RefusedJobs:
    """Refused jobs by id, and the sum of their work by place in the leader's order."""

    def __init__(self) -> None:
        self._jobs: dict[str, RefusedJob] = {}
        self._ends: list[tuple[float, str]] = []
        self._reserved: dict[_Place, Amount] = {}
        self._counts: Counter[_Place] = Counter()

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, job_id: str) -> RefusedJob | None:
        """Returns a refused job, None if it isn't known as one."""
        return self._jobs.get(job_id)

    def add(self, job_id: str, job: RefusedJob) -> None:
        """Adds a job, or replaces it if it was refused before."""
        self.remove(job_id)
        self._jobs[job_id] = job
        heapq.heappush(self._ends, (job.expected_by_s, job_id))
        self._counts[job.place] += 1
        self._reserved[job.place] = self._reserved.get(job.place, Amount()).plus(job.work)
        if len(self._jobs) > MAX_REFUSED:
            self.remove(next(iter(self._jobs)))

    def remove(self, job_id: str) -> None:
        """Removes a job that was admitted, or that isn't expected any more."""
        job = self._jobs.pop(job_id, None)
        if job is None:
            return
        place = job.place
        self._counts[place] -= 1
        self._reserved[place] = self._reserved[place].plus(job.work, -1.0)
        if not self._counts[place]:
            del self._counts[place], self._reserved[place]

    def drop_overdue(self, now_s: float) -> None:
        """Removes jobs that didn't return in time."""
        while self._ends and self._ends[0][0] <= now_s:
            end_s, job_id = heapq.heappop(self._ends)
            job = self._jobs.get(job_id)
            # A job that was refused again is expected later.
            if job is not None and job.expected_by_s <= end_s:
                self.remove(job_id)

    def reserved(self, pool: str, priority: int, density_class: int) -> Amount:
        """Returns the work of the jobs of a pool that go before a job or have the same place."""
        total = Amount()
        for (other, *rank), work in self._reserved.items():
            if other == pool and tuple(rank) <= (priority, density_class):
                total = total.plus(work)
        return total
