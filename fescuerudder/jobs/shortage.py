"""Pools in which work waits for capacity.

Only there does the order of waiting steps decide which jobs are late, so only there may it differ
from the order in which they would all start at once.
"""

from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.job import Step
from fescuerudder.jobs.load import ROUNDING_TOLERANCE, Load
from fescuerudder.jobs.policy import OverloadOrder

LOG_AFTER_S = 1.0
"""Time for which a pool must be short, or not be short any more, before that is logged."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class WaitingTasks:
    """Tasks of a step that may start now.

    Args:
        pool: pool of their queue.
        step: their step.
        count: number of tasks.
    """

    pool: str
    step: Step
    count: int


@attrs.define(kw_only=True)
class _Need:
    """Resources that waiting tasks need beyond those found free; negative parts are met."""

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, tasks: WaitingTasks) -> None:
        """Adds the resources of tasks."""
        size = tasks.step.size
        self.processors += size.processors * tasks.count
        self.memory_mb += size.memory_mb * tasks.count
        self.accelerators += size.accelerators * tasks.count

    def take(self, load: Load) -> None:
        """Subtracts what is free on a worker."""
        self.processors -= max(0.0, load.processors)
        self.memory_mb -= max(0, load.memory_mb)
        self.accelerators -= max(0, load.accelerators)

    @property
    def is_met(self) -> bool:
        """Whether as much is free as is needed."""
        tolerated = self.processors <= ROUNDING_TOLERANCE
        return tolerated and self.memory_mb <= 0 and self.accelerators <= 0


@attrs.define(kw_only=True)
class _Spell:
    """Time in which a pool is short, with interruptions of less than LOG_AFTER_S."""

    since_s: float
    last_s: float
    is_logged: bool = False


class ShortageLog:
    """Logs when pools become short of capacity and when they are no longer."""

    def __init__(self) -> None:
        self._spells: dict[str, _Spell] = {}

    def update(self, short_pools: Iterable[str], *, now_s: float) -> None:
        """Takes up the pools that are short now."""
        for pool in short_pools:
            spell = self._spells.setdefault(pool, _Spell(since_s=now_s, last_s=now_s))
            spell.last_s = now_s
            if not spell.is_logged and now_s - spell.since_s >= LOG_AFTER_S:
                spell.is_logged = True
                _log.warning("capacity short", pool=pool)
        for pool, spell in list(self._spells.items()):
            if now_s - spell.last_s >= LOG_AFTER_S:
                del self._spells[pool]
                if spell.is_logged:
                    short_s = round(spell.last_s - spell.since_s, 1)
                    _log.info("capacity no longer short", pool=pool, short_s=short_s)


class ShortageMonitor:
    """Tells in which pools work waits for capacity.

    Work waits if more is needed than is free, or if the last plan had no room for a task, as the
    free capacity may be in fragments that are too small. Long-running tasks may wait for days and
    best-effort tasks reserve no processors, so neither counts.
    """

    def __init__(self) -> None:
        self._unplaced: frozenset[str] = frozenset()
        self._shortage_log = ShortageLog()

    def short_pools(
        self, waiting: Iterable[WaitingTasks], loads: Iterable[Load], *, now_s: float
    ) -> frozenset[str]:
        """Returns the names of the pools in which work waits for capacity."""
        missing = _needs(waiting)
        unplaced = frozenset(pool for pool in missing if pool in self._unplaced)
        for load in loads:
            need = missing.get(load.record.info.pool)
            if need is None:
                continue
            need.take(load)
            if need.is_met:
                del missing[load.record.info.pool]
                if not missing:
                    break
        short_pools = unplaced | missing.keys()
        self._shortage_log.update(short_pools, now_s=now_s)
        return short_pools

    def record_unplaced(self, pools: Iterable[str]) -> None:
        """Records the pools in which the plan had no room for a task."""
        self._unplaced = frozenset(pools)


class NoShortage:
    """Replaces the monitor where no order depends on it: reports no shortage, computes nothing."""

    def short_pools(
        self, waiting: Iterable[WaitingTasks], loads: Iterable[Load], *, now_s: float
    ) -> frozenset[str]:
        """Returns no pool."""
        return frozenset()

    def record_unplaced(self, pools: Iterable[str]) -> None:
        """Ignores the pools."""


def make_shortage_monitor(order: OverloadOrder) -> ShortageMonitor | NoShortage:
    """Returns what tells the pools that are short to an order."""
    return ShortageMonitor() if order is OverloadOrder.LATE_LAST else NoShortage()


def _needs(waiting: Iterable[WaitingTasks]) -> dict[str, _Need]:
    """Returns what the tasks that count need in each pool."""
    needs: dict[str, _Need] = {}
    for tasks in waiting:
        if not tasks.step.long_running and not tasks.step.best_effort:
            needs.setdefault(tasks.pool, _Need()).add(tasks)
    return needs
