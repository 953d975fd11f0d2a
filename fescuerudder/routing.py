"""Routing of requests: admission, late binding to permits, retries, and simpler baselines."""

import itertools
import math
import random
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
from result import Err, Ok, Result

from fescuerudder.budget import RetryBudget
from fescuerudder.clock import Clock
from fescuerudder.errors import RequestError, ShedError, UpstreamError
from fescuerudder.idempotency import IdempotencyRecords, Replay
from fescuerudder.messages import SlotPermit
from fescuerudder.permitholder import PermitHolder
from fescuerudder.routes import RackRoute, WorkerRoute
from fescuerudder.upstream import Answer, Request
from fescuerudder.waitqueue import Waiter, WaitQueue

QUEUE_MAX = 256
AVOID_S = 0.1
MEAN_WEIGHT = 0.1
USUAL_SHARE = 0.5
"""Share of answers that come sooner than the run time that a waiting request must have left.

A lower one lets slots go to requests that time out, a higher one refuses some that would not."""

USUAL_STEP = 0.05
"""Step of that estimate, as a share of the mean run time."""

AT_ONCE_S = 0.02
"""Time in which an idle permit is found; it is used however little time the request has left."""

LOCAL_LIMIT = 7
"""Connections of one instance to one worker under the baselines: 9 instances stay below 64."""

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class Balancer(Protocol):
    """Chooses workers for requests. Implementations: `PermitHolder`, `LocalBalancer`."""

    def update_racks(self, racks: Sequence[RackRoute]) -> None:
        """Replaces the known racks."""

    def acquire(
        self, service: str, deadline_s: float, avoid: frozenset[str] = frozenset()
    ) -> SlotPermit | None:
        """Returns the right to send one request, or None if there was none in time."""

    def release(self, permit: SlotPermit, ok: bool) -> None:
        """Ends the use of a permit."""


class Forwarder(Protocol):
    """Sends one request to one worker. Implementation: `Upstream`."""

    def forward(self, permit: SlotPermit, req: Request) -> Result[Answer, UpstreamError]:
        """Returns the complete answer, or a failure with its outcome."""


@attrs.define(kw_only=True)
class _Load:
    """Load of one service as this instance sees it."""

    budget: RetryBudget
    waiting: int = 0
    in_flight: int = 0
    mean_s: float = 0.0
    usual_s: float = 0.0

    def expected_wait_s(self) -> float:
        """Returns how long a new request would wait; 0 while nothing waits."""
        return self.waiting * self.mean_s / max(1, self.in_flight)

    def observe(self, seconds: float) -> None:
        """Counts the duration of an answered request."""
        if self.mean_s == 0:
            self.mean_s = self.usual_s = seconds
        self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)
        step_s = USUAL_STEP * self.mean_s
        self.usual_s += step_s * (USUAL_SHARE - (seconds < self.usual_s))


class Router:
    """Forwards requests to workers and returns their answers. Thread-safe.

    Args:
        clock: source of time.
        balancer: chooses workers.
        forwarder: sends requests.
        records: records of keyed requests.
        is_known: whether a service of that name takes requests.
        queue_max: requests of one service that may wait.
        sheds: whether requests that would wait beyond their deadline are refused at once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        balancer: Balancer,
        forwarder: Forwarder,
        records: IdempotencyRecords,
        is_known: Callable[[str], bool],
        queue_max: int = QUEUE_MAX,
        sheds: bool = True,
    ) -> None:
        self._clock = clock
        self._balancer = balancer
        self._forwarder = forwarder
        self._records = records
        self._is_known = is_known
        self._queue_max = queue_max
        self._sheds = sheds
        self._loads: dict[str, _Load] = {}
        self._lock = threading.Lock()

    def handle(self, req: Request) -> Result[Answer, RequestError]:
        """Returns the complete answer, or why there is none and whether it may have run."""
        if not self._is_known(req.service):
            return Err(RequestError("no such service", status=404))
        load = self._load(req.service)
        refusal = self._admit(load, req)
        if refusal is not None:
            return Err(refusal)
        load.budget.count_request()
        key = req.header("idempotency-key")
        if key and req.method not in IDEMPOTENT_METHODS:
            return self._run_keyed(load, req, key)
        return self._run(load, req)

    def waiting(self) -> dict[str, int]:
        """Returns the number of waiting requests by service."""
        with self._lock:
            return {name: load.waiting for name, load in self._loads.items()}

    def _load(self, service: str) -> _Load:
        with self._lock:
            if service not in self._loads:
                self._loads[service] = _Load(budget=RetryBudget(clock=self._clock))
            return self._loads[service]

    def _admit(self, load: _Load, req: Request) -> ShedError | None:
        left_s = req.deadline_s - self._clock.now_s()
        with self._lock:
            if load.waiting >= self._queue_max:
                return ShedError("the queue of the service is full", status=503)
            if left_s <= (load.expected_wait_s() if self._sheds else 0.0):
                return ShedError("the expected wait exceeds the deadline", status=503)
        return None

    def _run_keyed(self, load: _Load, req: Request, key: str) -> Result[Answer, RequestError]:
        begun = self._records.begin(req, key)
        if isinstance(begun, Err):
            return begun
        record = begun.ok_value
        if isinstance(record, Replay):
            return Ok(record.answer)
        try:
            res = self._run(load, req)
        except Exception:
            self._records.mark_unknown(record)
            raise
        if isinstance(res, Ok):
            self._records.finish(record, res.ok_value)
        elif res.err_value.outcome == "not_run":
            self._records.abandon(record)
        else:
            self._records.mark_unknown(record)
        return res

    def _run(self, load: _Load, req: Request) -> Result[Answer, RequestError]:
        """Tries the request until it is answered or may not be tried again."""
        outcome = "not_run"
        failed_on: frozenset[str] = frozenset()
        while True:
            permit = self._acquire(load, req, failed_on)
            if isinstance(permit, Err):
                permit.err_value.outcome = outcome
                return permit
            res = self._forward(load, permit.ok_value, req)
            if isinstance(res, Ok):
                return res
            if res.err_value.outcome != "not_run":
                outcome = "unknown"
            if not self._may_retry(load, req, outcome):
                res.err_value.outcome = outcome
                return res
            failed_on |= {permit.ok_value.worker}

    def _may_retry(self, load: _Load, req: Request, outcome: str) -> bool:
        if outcome != "not_run" and req.method not in IDEMPOTENT_METHODS:
            return False
        return self._clock.now_s() < req.deadline_s and load.budget.try_retry()

    def _acquire(
        self, load: _Load, req: Request, failed_on: frozenset[str]
    ) -> Result[SlotPermit, ShedError]:
        with self._lock:
            if load.waiting >= self._queue_max:
                return Err(ShedError("the queue of the service is full", status=503))
            load.waiting += 1
            start_by_s = self._start_by_s(load, req)
        try:
            permit = None
            if failed_on:
                # Another worker is preferred for a moment, not demanded: there may be none.
                until_s = min(start_by_s, self._clock.now_s() + AVOID_S)
                permit = self._balancer.acquire(req.service, until_s, failed_on)
            if permit is None:
                permit = self._balancer.acquire(req.service, start_by_s)
        finally:
            with self._lock:
                load.waiting -= 1
        if permit is None:
            return Err(ShedError("no slot became free in time", status=503))
        return Ok(permit)

    def _start_by_s(self, load: _Load, req: Request) -> float:
        """Returns how long a request may wait; later, its run would not end by its deadline.

        A slot is better spent on a request that it can still answer.
        """
        at_once_s = min(req.deadline_s, self._clock.now_s() + AT_ONCE_S)
        return max(at_once_s, req.deadline_s - load.usual_s)

    def _forward(
        self, load: _Load, permit: SlotPermit, req: Request
    ) -> Result[Answer, UpstreamError]:
        start_s = self._clock.now_s()
        ok = False
        with self._lock:
            load.in_flight += 1
        try:
            res = self._forwarder.forward(permit, req)
            ok = isinstance(res, Ok)
        finally:
            with self._lock:
                load.in_flight -= 1
                if ok:
                    load.observe(self._clock.now_s() - start_s)
            self._balancer.release(permit, ok)
        return res


Choice = Callable[[list[WorkerRoute], Counter[str]], WorkerRoute]
"""Chooses among usable workers, given this instance's requests in flight at each."""


def _random_choice(rng: random.Random) -> Choice:
    return lambda workers, in_flight: rng.choice(workers)


def _round_robin_choice(rng: random.Random) -> Choice:
    turns = itertools.count(rng.randrange(1 << 16))
    return lambda workers, in_flight: workers[next(turns) % len(workers)]


def _least_outstanding_choice(rng: random.Random) -> Choice:
    return lambda workers, in_flight: min(
        workers, key=lambda item: (in_flight[item.worker], rng.random())
    )


_CHOICES: dict[str, Callable[[random.Random], Choice]] = {
    "random": _random_choice,
    "round_robin": _round_robin_choice,
    "least_outstanding": _least_outstanding_choice,
}


class LocalBalancer:
    """Baseline: chooses by what this instance alone knows. Safe for several threads.

    Args:
        clock: source of time.
        choice: chooses among workers with fewer than `limit` requests in flight.
        limit: requests of this instance in flight at one worker.
    """

    def __init__(self, *, clock: Clock, choice: Choice, limit: int = LOCAL_LIMIT) -> None:
        self._clock = clock
        self._choice = choice
        self._limit = limit
        self._racks: tuple[RackRoute, ...] = ()
        self._in_flight: Counter[str] = Counter()
        self._slots: dict[str, set[int]] = defaultdict(set)
        self._queues: dict[str, WaitQueue] = defaultdict(WaitQueue)
        self._lock = threading.Lock()

    def update_racks(self, racks: Sequence[RackRoute]) -> None:
        """Replaces the known racks."""
        with self._lock:
            self._racks = tuple(racks)
            self._dispatch()

    def acquire(
        self, service: str, deadline_s: float, avoid: frozenset[str] = frozenset()
    ) -> SlotPermit | None:
        """Returns a local permit; see `Balancer.acquire`."""
        waiter = Waiter(deadline_s=deadline_s, avoid=avoid)
        with self._lock:
            self._queues[service].push(waiter)
            self._dispatch()
        if waiter.permit is None:
            self._clock.wait_s(waiter.event, max(0.0, deadline_s - self._clock.now_s()))
        with self._lock:
            self._queues[service].remove(waiter)
        return waiter.permit

    def release(self, permit: SlotPermit, ok: bool) -> None:
        """Ends the use of a permit."""
        with self._lock:
            self._in_flight[permit.worker] -= 1
            self._slots[permit.worker].discard(permit.slot)
            self._dispatch()

    def _dispatch(self) -> None:
        for service, queue in self._queues.items():
            if len(queue):
                queue.serve(lambda waiter, service=service: self._grant_permit(service, waiter))

    def _grant_permit(self, service: str, waiter: Waiter) -> SlotPermit | None:
        if waiter.deadline_s <= self._clock.now_s():
            return None
        for near in (True, False):
            usable = [
                (route, item)
                for route in self._racks
                if route.near == near
                for item in route.workers
                if service in item.services
                and item.worker not in waiter.avoid
                and self._in_flight[item.worker] < self._limit
            ]
            if usable:
                return self._make_permit(usable)
        return None

    def _make_permit(self, usable: list[tuple[RackRoute, WorkerRoute]]) -> SlotPermit:
        item = self._choice([item for _, item in usable], self._in_flight)
        rack = next(route.rack for route, other in usable if other is item)
        taken = self._slots[item.worker]
        slot = next(number for number in itertools.count() if number not in taken)
        taken.add(slot)
        self._in_flight[item.worker] += 1
        return SlotPermit(
            rack=rack, worker=item.worker, data=item.data, slot=slot, serial=0, ttl_s=math.inf
        )


def make_balancer(
    *, policy: str, clock: Clock, rng: random.Random, holder: PermitHolder
) -> Balancer:
    """Returns the balancer of the setting `routing`; `holder` serves `permits`.

    Raises:
        KeyError: there is no such policy.
    """
    if policy == "permits":
        return holder
    return LocalBalancer(clock=clock, choice=_CHOICES[policy](rng))
