"""What each account has running on all workers together, and what more fits under its cap.

The sums follow the live attempts and the orphans as they come and go, whatever their phase, so a
check costs the same however much runs. What may run without the leader's knowledge isn't in them.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from fescuerudder.document import Size
from fescuerudder.jobs.accounts import Account
from fescuerudder.jobs.job import Job, TaskId
from fescuerudder.jobs.jobrun import Attempt, StepRun, TaskRun

PARTS = 1_000_000
"""Parts of a processor that are counted: sums of whole numbers have no rounding errors."""

Amounts = tuple[int, int, int]
"""Parts of processors, memory in MB and accelerators."""

NOTHING: Amounts = (0, 0, 0)


class _Counted(NamedTuple):
    """An attempt or an orphan in the sums.

    Args:
        account: its account, empty for none.
        pool: pool that it runs in, empty if unknown.
        amounts: what it takes.
    """

    account: str
    pool: str
    amounts: Amounts


class AccountUsage:
    """Running sums by account, and by pool and account, while accounts are in force.

    Once they come into force, whatever is live has to be added.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        self._caps: dict[str, tuple[tuple[int, int], ...]] = {}
        self._attempts: dict[Attempt, _Counted] = {}
        self._orphans: dict[str, list[_Counted]] = {}
        self._sums: dict[str, dict[str, list[int]]] = {}
        self._largest: dict[str, Amounts] = {}
        self._ended: dict[str, tuple[str, tuple[Amounts, ...]]] = {}

    @property
    def is_enforced(self) -> bool:
        """Whether accounts are in force."""
        return bool(self.accounts)

    def set_accounts(self, accounts: Iterable[Account]) -> None:
        """Takes the accounts of a manifest.

        One that is removed keeps its cap and weight for the jobs that it had submitted, as long as
        accounts are in force.
        """
        changed = {account.name: account for account in accounts}
        self.accounts = self.accounts | changed if changed else {}
        if not changed:
            for sums in (self._attempts, self._orphans, self._sums):
                sums.clear()
        self._caps = {account.name: _limits(account.cap) for account in self.accounts.values()}

    def copy(self) -> "AccountUsage":
        """Returns a copy to which attempts can be added; none that was counted can be removed."""
        copied = AccountUsage()
        copied.accounts, copied._caps, copied._ended = self.accounts, self._caps, self._ended
        copied._largest = dict(self._largest)
        copied._sums = {
            account: {pool: list(sums) for pool, sums in pools.items()}
            for account, pools in self._sums.items()
        }
        return copied

    def observe(self, job: Job) -> None:
        """Takes note of the sizes of the tasks of a new job."""
        if job.account:
            processors, memory_mb, accelerators = self._largest.get(job.account, NOTHING)
            for step in job.steps:
                amounts = amounts_of(step.size)
                processors = max(processors, amounts[0])
                memory_mb = max(memory_mb, amounts[1])
                accelerators = max(accelerators, amounts[2])
            self._largest[job.account] = (processors, memory_mb, accelerators)

    def near_caps(self) -> set[str]:
        """Returns the accounts under whose caps not every one of their tasks fits."""
        return {
            account
            for account, limits in self._caps.items()
            if any(
                self.total(account)[number] + self._largest.get(account, NOTHING)[number] > limit
                for number, limit in limits
            )
        }

    def add(self, attempt: Attempt, *, pool: str) -> None:
        """Adds a live attempt in a pool."""
        if attempt in self._attempts or not self.accounts:
            return
        step = attempt.task.step
        counted = _Counted(step.job.job.account, pool, amounts_of(step.spec.size))
        self._attempts[attempt] = counted
        self._change(counted, 1)

    def remove(self, attempt: Attempt) -> None:
        """Removes an attempt that is known not to run and not to start later."""
        counted = self._attempts.pop(attempt, None)
        if counted is not None:
            self._change(counted, -1)

    def set_orphans(
        self, worker: str, orphans: Iterable[tuple[TaskId, TaskRun | None, str]]
    ) -> None:
        """Replaces the orphans of a worker, each with its task and pool if the job is known."""
        for counted in self._orphans.pop(worker, ()):
            self._change(counted, -1)
        found: list[_Counted] = []
        if not self.accounts:
            return
        for task_id, task, pool in orphans:
            account, amounts = self._describe(task_id, task)
            found.append(_Counted(account, pool, amounts))
            self._change(found[-1], 1)
        if found:
            self._orphans[worker] = found

    def remember_ended(self, job: Job) -> None:
        """Keeps what tells the size of the tasks of a job that ended under an earlier leader."""
        if job.account:
            sizes = tuple(amounts_of(step.size) for step in job.steps)
            self._ended[job.id] = (job.account, sizes)

    def total(self, account: str) -> Amounts:
        """Returns what an account has on all workers together."""
        pools = self._sums.get(account)
        if pools is None:
            return NOTHING
        processors = memory_mb = accelerators = 0
        for sums in pools.values():
            processors += sums[0]
            memory_mb += sums[1]
            accelerators += sums[2]
        return (processors, memory_mb, accelerators)

    def in_pool(self, pool: str, account: str) -> Amounts:
        """Returns what an account has on the workers of a pool."""
        sums = self._sums.get(account, {}).get(pool)
        return (sums[0], sums[1], sums[2]) if sums is not None else NOTHING

    def accounts_in(self, pool: str) -> list[str]:
        """Returns the accounts that have anything on the workers of a pool."""
        return [account for account, pools in self._sums.items() if pool in pools]

    def names(self) -> set[str]:
        """Returns the accounts that have anything."""
        return set(self._sums)

    def figures(self, account: str) -> dict[str, list[float]]:
        """Returns what an account has and its cap, for the log: cores, memory, accelerators."""
        known = self.accounts.get(account)
        processors, memory_mb, accelerators = self.total(account)
        cap = known.cap if known is not None else Size()
        return {
            "used": [processors / PARTS, memory_mb, accelerators],
            "cap": [cap.processors, cap.memory_mb, cap.accelerators],
        }

    def room(self, account: str, size: Size) -> float:
        """Returns how many more tasks of a size fit under the cap of an account."""
        limits = self._caps.get(account)
        if not limits:
            return math.inf
        used, amounts = self.total(account), amounts_of(size)
        room = math.inf
        for number, limit in limits:
            if amounts[number] > 0:
                room = min(room, max(0, (limit - used[number]) // amounts[number]))
        return room

    def exceeds_cap(self, account: str, amounts: Amounts) -> bool:
        """Returns whether amounts are above the cap of an account."""
        limits = self._caps.get(account, ())
        return any(amounts[number] > limit for number, limit in limits)

    def limit(self, step: StepRun, tasks: list[TaskRun]) -> list[TaskRun]:
        """Returns as many of the tasks of a step as fit under the cap of its account."""
        room = self.room(step.job.job.account, step.spec.size)
        return tasks if room >= len(tasks) else tasks[: int(room)]

    def may_start(self, step: StepRun) -> bool:
        """Returns whether a task of a step, or its whole gang, fits under the cap."""
        count = len(step.tasks) if step.spec.gang else 1
        return self.room(step.job.job.account, step.spec.size) >= count

    def may_move(self, attempt: Attempt) -> bool:
        """Returns whether the task of an attempt may start again once the attempt has ended.

        Above a cap that has shrunk, a move would end running work.
        """
        account = attempt.task.step.job.job.account
        return not self._caps.get(account) or not self.exceeds_cap(account, self.total(account))

    def _describe(self, task_id: TaskId, task: TaskRun | None) -> tuple[str, Amounts]:
        if task is not None:
            return task.step.job.job.account, amounts_of(task.step.spec.size)
        account, sizes = self._ended.get(task_id.job, ("", ()))
        return account, sizes[task_id.step] if 0 <= task_id.step < len(sizes) else NOTHING

    def _change(self, counted: _Counted, sign: int) -> None:
        account, pool, (processors, memory_mb, accelerators) = counted
        pools = self._sums.get(account)
        if pools is None:
            pools = self._sums[account] = {}
        sums = pools.get(pool)
        if sums is None:
            sums = pools[pool] = [0, 0, 0]
        sums[0] += sign * processors
        sums[1] += sign * memory_mb
        sums[2] += sign * accelerators
        if sign < 0 and not any(sums):
            del pools[pool]
            if not pools:
                del self._sums[account]


def add(amounts: Amounts, size: Size, count: int) -> Amounts:
    """Returns amounts with some tasks of a size added."""
    return (
        amounts[0] + count * round(size.processors * PARTS),
        amounts[1] + count * size.memory_mb,
        amounts[2] + count * size.accelerators,
    )


def amounts_of(size: Size) -> Amounts:
    """Returns a size as a tuple."""
    return (round(size.processors * PARTS), size.memory_mb, size.accelerators)


def _limits(cap: Size) -> tuple[tuple[int, int], ...]:
    """Returns the bounds of a cap with the number of the amount that each is for."""
    return tuple((number, bound) for number, bound in enumerate(amounts_of(cap)) if bound > 0)
