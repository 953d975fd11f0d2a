"""What the accounts have, want and wait for, for log lines and metrics of the operators."""

import math
from collections import Counter

import structlog

from fescuerudder.jobs.accountmetrics import AccountFigures
from fescuerudder.jobs.accounts import Account
from fescuerudder.jobs.accountusage import PARTS, Amounts, amounts_of
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.shares import dominant_share

CHECK_INTERVAL_S = 1.0
"""Time between two checks; a check looks at all open steps and workers."""

LOG_INTERVAL_S = 10.0
"""Time between two log lines of the same kind about an account."""

MAX_LINES = 10
"""Number of accounts that one check logs; of the others it logs the number."""

_log = structlog.get_logger(__name__)


class AccountMonitor:
    """Collects the figures of the accounts, and logs which of them are held back by their caps.

    Args:
        state: state of the term.
    """

    def __init__(self, *, state: SchedulerState) -> None:
        self._state = state
        self._next_check_s = -math.inf
        self._logged_s: dict[str, float] = {}
        self._at_cap: set[str] = set()
        self.figures: tuple[AccountFigures, ...] = ()

    def observe(self, now_s: float) -> None:
        """Updates the figures once in CHECK_INTERVAL_S, while accounts are in force."""
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        usage = self._state.usage
        if not usage.is_enforced:
            self.figures = ()
            return
        waiting, held_back = self._count_waiting()
        capacities = self._capacities()
        self.figures = tuple(
            self._figures(account, waiting[account.name], capacities)
            for account in usage.accounts.values()
        )
        self._log_caps(held_back, now_s)

    def _count_waiting(self) -> tuple[Counter[str], Counter[str]]:
        """Returns the number of waiting tasks by account, and of those that a cap holds back."""
        waiting: Counter[str] = Counter()
        held_back: Counter[str] = Counter()
        for step in self._state.open_steps:
            count = sum(1 for task in step.tasks if not task.attempts and not task.done)
            if count:
                waiting[step.job.job.account] += count
                if not self._state.usage.may_start(step):
                    held_back[step.job.job.account] += count
        return waiting, held_back

    def _capacities(self) -> dict[str, Amounts]:
        """Returns the capacity of each pool."""
        sums: dict[str, Amounts] = {}
        for record in self._state.workers.values():
            if record.listed and not record.gone:
                pool, capacity = record.info.pool, amounts_of(record.info.capacity)
                old = sums.get(pool, (0, 0, 0))
                sums[pool] = (old[0] + capacity[0], old[1] + capacity[1], old[2] + capacity[2])
        return sums

    def _figures(
        self, account: Account, waiting: int, capacities: dict[str, Amounts]
    ) -> AccountFigures:
        usage = self._state.usage
        processors, memory_mb, accelerators = usage.total(account.name)
        shares = [
            dominant_share(usage.in_pool(pool, account.name), capacity)
            for pool, capacity in capacities.items()
        ]
        return AccountFigures(
            account=account.name,
            used=(processors / PARTS, memory_mb, accelerators),
            cap=(account.cap.processors, account.cap.memory_mb, account.cap.accelerators),
            share=max(shares, default=0.0),
            weight=account.weight,
            waiting=waiting,
        )

    def _log_caps(self, held_back: Counter[str], now_s: float) -> None:
        """Logs the accounts that have come to their caps, and those that are below them again."""
        due = [
            name
            for name in sorted(self._at_cap ^ set(held_back))
            if now_s - self._logged_s.get(name, -math.inf) >= LOG_INTERVAL_S
        ]
        for name in due[:MAX_LINES]:
            self._logged_s[name] = now_s
            is_held_back = name in held_back
            (self._at_cap.add if is_held_back else self._at_cap.discard)(name)
            _log.info(
                "account at its cap" if is_held_back else "account below its cap",
                account=name,
                waiting=held_back[name],
                **self._state.usage.figures(name),
            )
        if len(due) > MAX_LINES:
            _log.info("more accounts at their caps, or below them", count=len(due) - MAX_LINES)
        if len(self._logged_s) > len(self._state.usage.accounts):
            self._logged_s = {n: s for n, s in self._logged_s.items() if now_s - s < LOG_INTERVAL_S}
