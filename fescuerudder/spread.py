"""Distribution of the replicas of a service over zones, racks and workers."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from fescuerudder.task import Task

MIN_CROWDING_DIFFERENCE = 2
"""Moving a replica reduces the imbalance only if its zone or rack has at least this many more
replicas than the other one."""


@attrs.frozen(kw_only=True)
class Spread:
    """Number of replicas of one service by zone, rack and worker.

    Args:
        zones: zone of each rack that can run a replica.
        by_zone: replicas in each zone.
        by_rack: replicas on each rack.
        by_worker: replicas on each worker.
    """

    zones: Mapping[str, str]
    by_zone: Counter[str]
    by_rack: Counter[str]
    by_worker: Counter[str]

    @property
    def imbalance(self) -> int:
        """Sum of the squared counts by zone and by rack; lowest for the most even spread."""
        counts = [*self.by_zone.values(), *self.by_rack.values()]
        return sum(count * count for count in counts)

    def is_crowded(self, rack: str) -> bool:
        """Returns whether moving a replica away from `rack` would reduce the imbalance."""
        zone = self.zones.get(rack, "")
        fewest_zone = min((self.by_zone[z] for z in self.zones.values()), default=0)
        if self.by_zone[zone] - fewest_zone >= MIN_CROWDING_DIFFERENCE:
            return True
        siblings = [r for r, other in self.zones.items() if other == zone]
        fewest_rack = min((self.by_rack[r] for r in siblings), default=0)
        return self.by_rack[rack] - fewest_rack >= MIN_CROWDING_DIFFERENCE

    def removal_key(self, task: Task) -> tuple[bool, int, int]:
        """Returns a sort key; the replica with the largest one is removed first."""
        shared = self.by_worker[task.worker] if task.worker else 0
        return self.is_crowded(task.rack), shared, self.by_zone[self.zones.get(task.rack, "")]


def spread_of(tasks: Iterable[Task], zones: Mapping[str, str]) -> Spread:
    """Returns the spread of replicas; `zones` names the zone of each usable rack."""
    tasks = list(tasks)
    return Spread(
        zones=zones,
        by_zone=Counter(zones.get(task.rack, "") for task in tasks),
        by_rack=Counter(task.rack for task in tasks),
        by_worker=Counter(task.worker for task in tasks if task.worker),
    )
