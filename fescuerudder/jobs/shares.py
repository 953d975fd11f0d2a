"""Turns of the accounts where there is too little capacity for all.

In a pool that can't hold all that waits, each turn goes to the account whose share is lowest for
its weight, by its dominant resource (Ghodsi et al., NSDI 2011). An account takes its steps in the
usual order, and what it can't use goes to the others in the same plan. The priority of a queue goes
before the shares, and jobs that are no longer of use come last.

Best-effort tasks reserve no processors and wait for latency headroom, not for capacity. They take
no part in the shares: after the others of their priority they start in the usual order.

Callers of an account are entitled to `weight` jobs a second. What they send beyond that has the
lowest priority that waits in its pool, so a flood in an urgent queue doesn't displace less urgent
work of others; it becomes entitled as time passes.
"""

import heapq
import math
from collections import deque
from collections.abc import Container, Iterable, Iterator
from operator import itemgetter
from typing import Any

import attrs

from fescuerudder.jobs.accountusage import AccountUsage, Amounts, add, amounts_of
from fescuerudder.jobs.jobrun import JobRun, StepRun, TaskRun
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.poolroom import PoolRoom, measure
from fescuerudder.jobs.saturation import Saturation

NO_ACCOUNT_WEIGHT = 1.0
"""Weight of the jobs that were submitted without a key, together."""

BURST_S = 1.0
"""Time whose jobs an account may send at once: callers are entitled to a number of jobs in a
second, not at equal distances. What is sent at once delays the less urgent jobs of others."""

MAX_ROUNDS = 8
"""Number of times that room is allotted in a plan; further tasks have their turns one by one."""

FREE_MARGIN = 0.9
"""Share of the free room that waiting tasks certainly fit in; some of it is in too small pieces."""

Turns = Iterator["Turn"]

Ordered = list[tuple[tuple[Any, ...], StepRun]]
"""Keys of steps and the steps, in their order."""


@attrs.define(eq=False, kw_only=True)
class Turn:
    """Tasks of a step that may be started now.

    Args:
        step: the step.
        tasks: the tasks.
        started: number of the tasks that were started, set by the planner.
    """

    step: StepRun
    tasks: list[TaskRun]
    started: int = 0


class Entitlements:
    """When the callers of each account are entitled to each job."""

    def __init__(self) -> None:
        self._next_s: dict[str, float] = {}

    def observe(self, run: JobRun, *, weight: float) -> None:
        """Records when the callers of an account are entitled to a new job."""
        account = run.job.account
        run.entitled_s = max(run.received_s, self._next_s.get(account, -math.inf))
        self._next_s[account] = run.entitled_s + (1 / weight if weight > 0.0 else math.inf)


@attrs.define(eq=False, kw_only=True)
class _Lane:
    """Steps of one account in one pool.

    Args:
        pool: the pool.
        account: the account.
        weight: its weight.
        steps: the steps in their order, each with its place among all.
        unfit: steps for which no worker seems to have room.
        tasks: tasks of the first step that are left, if some have had their turn.
        has_kept_room: room was kept for one of its tasks, or doesn't need to be.
    """

    pool: PoolRoom
    account: str
    weight: float
    steps: deque[tuple[int, StepRun]] = attrs.Factory(deque)
    unfit: list[tuple[int, StepRun]] = attrs.Factory(list)
    tasks: list[TaskRun] = attrs.Factory(list)
    has_kept_room: bool = False

    def share(self, used: Amounts) -> float:
        """Returns the dominant share in the pool, for its weight, of what the account has."""
        share = dominant_share(used, self.pool.total)
        return share / self.weight if self.weight > 0.0 else math.inf


@attrs.define(eq=False, kw_only=True)
class _Allotment:
    """Tasks of a step that are given room.

    Args:
        lane: the lane of the step.
        position: the place of the step among all.
        tasks: its tasks that wait.
        count: number of them that are given room.
    """

    lane: _Lane
    position: int
    tasks: list[TaskRun]
    count: int = 0


def weight_of(usage: AccountUsage, account: str) -> float:
    """Returns the weight of an account."""
    known = usage.accounts.get(account)
    return known.weight if known is not None else NO_ACCOUNT_WEIGHT


def dominant_share(used: Amounts, total: Amounts) -> float:
    """Returns the share of the resource of which an account has the largest share."""
    share = 0.0
    for number in range(3):
        if total[number] > 0 and used[number] > share * total[number]:
            share = used[number] / total[number]
    return share


class ShareOrder:
    """Returns the steps that wait in turns of their accounts.

    Args:
        usage: what each account has.
        queues: queues by name.
        loads: loads of the workers that take tasks.
        saturation: what finds no room in this plan.
        now_s: the time.
        short: names of the pools in which tasks found no room in the last plan.
        held: ids of the workers on which room was kept in it.
    """

    def __init__(
        self,
        *,
        usage: AccountUsage,
        queues: dict[str, Queue],
        loads: Iterable[Load],
        saturation: Saturation,
        now_s: float,
        short: Container[str] = (),
        held: Container[str] = (),
    ) -> None:
        self._short = short
        self._saturation = saturation
        self._usage = usage
        self._queues = queues
        self._now_s = now_s
        self._pools = measure(loads, held_before=held)

    def turns(self, ordered: Ordered, waiting: dict[StepRun, list[TaskRun]]) -> Turns:
        """Yields turns; each has to be carried out before the next one is taken.

        Args:
            ordered: keys of the steps and the steps that wait, in the usual order.
            waiting: the tasks of each that may be started.
        """
        self._find_scarce(ordered, waiting)
        if not any(pool.is_scarce for pool in self._pools.values()):
            yield from in_order(ordered, waiting)
            return
        segments: dict[tuple[float, bool], list[_Lane]] = {}
        lanes: dict[tuple[float, bool, str, str], _Lane] = {}
        best_effort: dict[tuple[float, bool], list[StepRun]] = {}
        pools = {name: self._pools.get(queue.pool) for name, queue in self._queues.items()}
        for position, (key, step) in enumerate(ordered):
            run = step.job
            pool = pools.get(run.job.queue)
            if pool is None:
                continue
            priority, is_expired = self._priority(key[0], run, pool), key[2] == math.inf
            if step.spec.best_effort:
                best_effort.setdefault((priority, is_expired), []).append(step)
                continue
            account = run.job.account
            lane = lanes.get((priority, is_expired, pool.name, account))
            if lane is None:
                weight = weight_of(self._usage, account)
                lane = _Lane(pool=pool, account=account, weight=weight)
                lanes[(priority, is_expired, pool.name, account)] = lane
                segments.setdefault((priority, is_expired), []).append(lane)
            lane.steps.append((position, step))
        for segment in sorted({*segments, *best_effort}):
            yield from self._take_turns(segments.get(segment, []), waiting)
            for step in best_effort.get(segment, ()):
                yield Turn(step=step, tasks=_tasks(step, waiting))

    def _take_turns(self, lanes: list[_Lane], waiting: dict[StepRun, list[TaskRun]]) -> Turns:
        """Yields the turns of the lanes of one segment, the lowest share first."""
        if len({lane.account for lane in lanes}) <= 1:
            for lane in lanes:
                lane.has_kept_room = True
        else:
            scarce = [lane for lane in lanes if lane.pool.is_scarce]
            for lane in scarce:
                if not lane.pool.slots(lane.steps[0][1].spec):
                    self._keep_room(lane, lane.steps[0][1])
            yield from self._fill(scarce, waiting)
        heap = [self._entry(lane) for lane in lanes if lane.steps]
        heapq.heapify(heap)
        while heap:
            lane = heap[0][-1]
            if not lane.tasks:
                self._skip_without_room(lane)
            if lane.steps:
                yield from self._take_turn(lane, waiting, is_alone=len(heap) == 1)
            if lane.steps:
                heapq.heapreplace(heap, self._entry(lane))
            else:
                heapq.heappop(heap)

    def _skip_without_room(self, lane: _Lane) -> None:
        """Drops the first steps of a lane as far as they certainly find no room."""
        pool, steps = lane.pool, lane.steps
        while steps and self._saturation.covers_step(pool.name, steps[0][1].spec):
            self._keep_room(lane, steps.popleft()[1])

    def _take_turn(
        self, lane: _Lane, waiting: dict[StepRun, list[TaskRun]], *, is_alone: bool
    ) -> Turns:
        step = lane.steps[0][1]
        tasks = lane.tasks or _clean_first(step, waiting)
        is_whole = is_alone or step.spec.gang or not lane.pool.is_scarce
        count = len(tasks) if is_whole else 1
        turn = Turn(step=step, tasks=tasks[:count])
        yield turn
        lane.tasks = tasks[count:] if turn.started == count else []
        if not lane.tasks:
            lane.steps.popleft()
        if not turn.started:
            self._keep_room(lane, step)

    def _fill(self, lanes: list[_Lane], waiting: dict[StepRun, list[TaskRun]]) -> Turns:
        """Yields turns with as many tasks as the shares come to, as long as they find room."""
        has_started, rounds = True, 0
        while has_started and rounds < MAX_ROUNDS:
            has_started, rounds = False, rounds + 1
            for pool in {lane.pool.name: lane.pool for lane in lanes}.values():
                pool.measure_again()
            for step, given in self._allot(lanes, waiting).items():
                turn = Turn(step=step, tasks=given.tasks[: given.count])
                yield turn
                has_started |= turn.started > 0
                self._take_back(given, step, turn.started)
        for lane in lanes:
            if lane.unfit:
                # What is left of a step that has begun goes first.
                begun = [lane.steps.popleft()] if lane.tasks else []
                rest = sorted([*lane.unfit, *lane.steps], key=itemgetter(0))
                lane.steps = deque([*begun, *rest])

    def _take_back(self, given: _Allotment, step: StepRun, started: int) -> None:
        """Gives the tasks that found no room further turns, unless none of them did."""
        lane = given.lane
        rest = given.tasks[given.count :] if started == given.count else []
        if 0 < started < given.count and not step.spec.speculative:
            rest = [task for task in given.tasks if not task.attempts]
        if lane.steps and lane.steps[0][1] is step:
            lane.tasks = rest
            if not rest:
                lane.steps.popleft()
        elif rest:
            lane.unfit.append((given.position, step))

    def _allot(
        self, lanes: list[_Lane], waiting: dict[StepRun, list[TaskRun]]
    ) -> dict[StepRun, _Allotment]:
        """Returns how many tasks of which steps are given the room that is left."""
        allotted: dict[StepRun, _Allotment] = {}
        used = {lane: self._used(lane) for lane in lanes}
        totals = {lane.account: self._usage.total(lane.account) for lane in lanes}
        for lane in lanes:
            self._pass_unfit(lane)
        heap = [self._entry(lane) for lane in lanes if lane.steps]
        heapq.heapify(heap)
        while heap:
            lane = heap[0][-1]
            position, step = lane.steps[0]
            given = allotted.get(step)
            if given is None:
                lane.tasks = lane.tasks or _clean_first(step, waiting)
                given = _Allotment(lane=lane, position=position, tasks=lane.tasks)
            left = len(given.tasks) - given.count
            count = _unit(step) if step.spec.gang else lane.pool.portion(step.spec, left, len(heap))
            total = add(totals[lane.account], step.spec.size, count)
            if count > 1 and not step.spec.gang and self._usage.exceeds_cap(lane.account, total):
                count = 1
                total = add(totals[lane.account], step.spec.size, count)
            if left < 1 or self._usage.exceeds_cap(lane.account, total):
                heapq.heappop(heap)
                continue
            if not lane.pool.allot(step.spec, count):
                break
            given.count += count
            allotted[step] = given
            totals[lane.account] = total
            used[lane] = add(used[lane], step.spec.size, count)
            if count >= left:
                lane.steps.popleft()
                lane.tasks = []
                self._pass_unfit(lane)
            if lane.steps:
                heapq.heapreplace(heap, (lane.share(used[lane]), lane.steps[0][0], lane))
            else:
                heapq.heappop(heap)
        return allotted

    def _pass_unfit(self, lane: _Lane) -> None:
        """Sets the first steps of a lane aside as far as no worker seems to have room for them."""
        while lane.steps and lane.pool.slots(lane.steps[0][1].spec) < _unit(lane.steps[0][1]):
            lane.unfit.append(lane.steps.popleft())
            lane.tasks = []

    def _entry(self, lane: _Lane) -> tuple[float, int, _Lane]:
        """Returns the place of a lane in the order; no two lanes have a step in common."""
        share = lane.share(self._used(lane)) if lane.pool.is_scarce else -1.0
        return (share, lane.steps[0][0], lane)

    def _used(self, lane: _Lane) -> Amounts:
        return self._usage.in_pool(lane.pool.name, lane.account)

    def _keep_room(self, lane: _Lane, step: StepRun) -> None:
        """Keeps room for a task that found none, if its account is far from its share."""
        pool = lane.pool
        if lane.has_kept_room or not pool.is_scarce or step.spec.gang or lane.weight <= 0.0:
            return
        lane.has_kept_room = True
        if not pool.may_keep_room:
            return
        next_share = lane.share(self._used(lane)) + lane.share(amounts_of(step.spec.size))
        if self._is_share_exceeded(pool, next_share):
            pool.keep_room(step.spec)

    def _is_share_exceeded(self, pool: PoolRoom, share: float) -> bool:
        """Returns whether any account has a higher share in a pool, for its weight.

        Each lane may ask this in each plan, so it ends with the first account that has.
        """
        total, usage = pool.total, self._usage
        return any(
            dominant_share(usage.in_pool(pool.name, name), total) / weight > share
            for name in usage.accounts_in(pool.name)
            if (weight := weight_of(usage, name)) > 0.0
        )

    def _priority(self, priority: float, run: JobRun, pool: PoolRoom) -> float:
        """Returns the priority of a job; what its account isn't entitled to yet has the lowest."""
        if not pool.is_scarce or run.entitled_s <= self._now_s + BURST_S:
            return priority
        return max(priority, pool.lowest_priority)

    def held(self) -> set[str]:
        """Returns the ids of the workers on which room is kept."""
        return set().union(*(pool.held for pool in self._pools.values()))

    def _pool_of(self, queue_name: str) -> PoolRoom | None:
        queue = self._queues.get(queue_name)
        return self._pools.get(queue.pool) if queue is not None else None

    def _find_scarce(self, ordered: Ordered, waiting: dict[StepRun, list[TaskRun]]) -> None:
        """Finds the pools in which not everything that waits fits, and their lowest priorities."""
        wanted = {name: [0, 0, 0] for name in self._pools}
        free: dict[str, Amounts] = {}
        for pool in self._pools.values():
            pool.is_scarce = pool.name in self._short
        for _, step in ordered:
            if all(pool.is_scarce for pool in self._pools.values()):
                break
            found = self._pool_of(step.job.job.queue)
            if found is None or found.is_scarce or step.spec.best_effort:
                continue
            amounts, count = amounts_of(step.spec.size), len(waiting[step])
            sums, unused = wanted[found.name], free.get(found.name)
            if unused is None:
                unused = free[found.name] = found.free
            for number in range(3):
                sums[number] += count * amounts[number]
                found.is_scarce |= sums[number] > FREE_MARGIN * unused[number]
        unseen = {pool.name for pool in self._pools.values() if pool.is_scarce}
        for key, step in reversed(ordered):
            if not unseen:
                break
            found = self._pool_of(step.job.job.queue)
            if found is not None and found.name in unseen:
                found.lowest_priority = int(key[0])
                unseen.discard(found.name)


class ShareControl:
    """Returns the turns of each plan, and remembers where tasks found no room.

    Args:
        usage: what each account has.
        queues: queues by name.
    """

    def __init__(self, *, usage: AccountUsage, queues: dict[str, Queue]) -> None:
        self._usage = usage
        self._queues = queues
        self._short: set[str] = set()
        self._held: set[str] = set()

    def turns(
        self,
        ordered: Ordered,
        waiting: dict[StepRun, list[TaskRun]],
        loads: Iterable[Load],
        saturation: Saturation,
        now_s: float,
    ) -> Turns:
        """Returns the turns of one plan: in the given order if no accounts are in force."""
        if not self._usage.is_enforced:
            return in_order(ordered, waiting)
        order = ShareOrder(
            usage=self._usage,
            queues=self._queues,
            loads=loads,
            saturation=saturation,
            now_s=now_s,
            short=frozenset(self._short),
            held=frozenset(self._held),
        )
        return self._share_out(order, ordered, waiting)

    def _share_out(
        self, order: ShareOrder, ordered: Ordered, waiting: dict[StepRun, list[TaskRun]]
    ) -> Turns:
        self._short.clear()
        for turn in order.turns(ordered, waiting):
            yield turn
            queue = self._queues.get(turn.step.job.job.queue)
            is_reserved = not turn.step.spec.best_effort
            if queue is not None and is_reserved and turn.started < len(turn.tasks):
                self._short.add(queue.pool)
        self._held = order.held()


def in_order(ordered: Ordered, waiting: dict[StepRun, list[TaskRun]]) -> Turns:
    """Yields one turn for each step, in the given order."""
    for _, step in ordered:
        yield Turn(step=step, tasks=_tasks(step, waiting))


def _tasks(step: StepRun, waiting: dict[StepRun, list[TaskRun]]) -> list[TaskRun]:
    """Returns the tasks of a step to be started; a copy is only for speculative ones."""
    if step.spec.speculative:
        return list(waiting[step])
    return [task for task in waiting[step] if not task.attempts]


def _unit(step: StepRun) -> int:
    """Returns how many tasks of a step start together."""
    return len(step.tasks) if step.spec.gang else 1


def _clean_first(step: StepRun, waiting: dict[StepRun, list[TaskRun]]) -> list[TaskRun]:
    """Returns the tasks of a step; those that may not find a worker where others do are last."""
    tasks = _tasks(step, waiting)
    choosy = [
        task
        for task in tasks
        if task.avoided_workers or task.attempts or task.crashed_attempts or task.possible_crashes
    ]
    return [*(task for task in tasks if task not in choosy), *choosy] if choosy else tasks
