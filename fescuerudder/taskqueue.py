"""Order of waiting tasks: urgent ones first, then by fair share, then by submission time."""

import heapq
from collections.abc import Iterable, Iterator, Mapping

import attrs

from fescuerudder.document import ServiceDocument, Size
from fescuerudder.task import Task

MIN_RECLAIM_WAIT_S = 2.0


def team_quotas(services: Iterable[ServiceDocument]) -> dict[str, Size]:
    """Returns the quota of each team, which is the sum over its services."""
    quotas: dict[str, Size] = {}
    for doc in services:
        quotas[doc.team] = quotas.get(doc.team, Size()).plus(doc.quota)
    return quotas


def dominant_share(*, usage: Size, quota: Size) -> float:
    """Returns the dominant share: the largest ratio of usage to quota over the resources in use."""
    ratios = [0.0]
    for name in ("processors", "memory_mb", "accelerators"):
        used, allowed = getattr(usage, name), getattr(quota, name)
        if used > 0:
            ratios.append(used / allowed if allowed > 0 else float("inf"))
    return max(ratios)


class FairQueue:
    """Yields waiting tasks in fair order; each placed task counts as usage of its team.

    Args:
        tasks: waiting tasks.
        usage: committed resources by team.
        quotas: quota by team.
    """

    def __init__(
        self, *, tasks: Iterable[Task], usage: Mapping[str, Size], quotas: Mapping[str, Size]
    ) -> None:
        self._usage = dict(usage)
        self._quotas = quotas
        self._subqueues: dict[tuple[bool, str], list[Task]] = {}
        for task in sorted(tasks, key=lambda t: (t.submitted_at_s, t.id), reverse=True):
            self._subqueues.setdefault((not task.urgent, task.team), []).append(task)
        self._heap = [self._entry(subqueue) for subqueue in self._subqueues]
        heapq.heapify(self._heap)

    def __iter__(self) -> Iterator[Task]:
        while self._heap:
            is_normal, _, _, _, team = heapq.heappop(self._heap)
            subqueue = (is_normal, team)
            # The team's share may have grown since this entry was made, through a task of its
            # other subqueue.
            entry = self._entry(subqueue)
            if self._heap and entry > self._heap[0]:
                heapq.heappush(self._heap, entry)
                continue
            task = self._subqueues[subqueue].pop()
            yield task
            if self._subqueues[subqueue]:
                heapq.heappush(self._heap, self._entry(subqueue))

    def record_placement(self, task: Task) -> None:
        """Counts a placed task as usage of its team."""
        self._usage[task.team] = self._usage.get(task.team, Size()).plus(task.size)

    def _entry(self, subqueue: tuple[bool, str]) -> tuple[bool, float, float, str, str]:
        is_normal, team = subqueue
        task = self._subqueues[subqueue][-1]
        ratio = dominant_share(
            usage=self._usage.get(team, Size()), quota=self._quotas.get(team, Size())
        )
        return is_normal, ratio, task.submitted_at_s, task.id, team


@attrs.frozen(kw_only=True)
class TeamShares:
    """Usage and quotas of all teams, to decide which tasks are evicted for a team's quota.

    Args:
        usage: committed resources by team over all racks.
        quotas: quota by team.
    """

    usage: Mapping[str, Size]
    quotas: Mapping[str, Size]

    def may_reclaim(self, task: Task, *, waited_s: float) -> bool:
        """Returns whether `task` waited long enough and would leave its team within its quota."""
        if waited_s < MIN_RECLAIM_WAIT_S:
            return False
        usage = self.usage.get(task.team, Size()).plus(task.size)
        return dominant_share(usage=usage, quota=self.quotas.get(task.team, Size())) <= 1.0

    def reclaimable(self, running: Iterable[Task]) -> list[Task]:
        """Returns batch tasks of teams above their quota, newest first.

        A task is returned only if its team is above its quota without the tasks returned before.
        """
        usage = dict(self.usage)
        found = []
        for task in sorted(running, key=lambda t: (t.submitted_at_s, t.id), reverse=True):
            used, quota = usage.get(task.team, Size()), self.quotas.get(task.team, Size())
            if task.kind != "batch" or dominant_share(usage=used, quota=quota) <= 1.0:
                continue
            usage[task.team] = used.minus(task.size)
            found.append(task)
        return found
