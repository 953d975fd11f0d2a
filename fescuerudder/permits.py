"""Slot permits: an owner grants the slots of its rack's workers, an instance holds them."""

import heapq
import itertools
import random
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import PeerError
from fescuerudder.messages import PermitAsk, PermitReply, SlotPermit

_log = structlog.get_logger(__name__)

PERMIT_TTL_S = 3.0
PERMIT_RENEW_S = 1.0
PERMIT_IDLE_S = 0.2
PERMIT_RETRY_S = 0.05
UPSTREAM_FRESH_S = 3.0
PROBE_S = 1.0
UNOWNED_ASK_S = 1.0
DEMAND_FRESH_S = 0.5
MAX_WANTED = 64
UNOWNED_SERIAL = -1
UNRETURNED_S = 30.0
"""The default deadline of requests."""

_SERIALS_PER_EPOCH = 1 << 32


@attrs.frozen(kw_only=True)
class WorkerSlots:
    """What the granter needs to know of one worker.

    Args:
        worker: worker id.
        data: `ip:port` for requests.
        slots: requests it runs at a time.
        services: services with a running replica.
        leaving: whether it must get no new work.
        status_age_s: time since the status was asked for.
    """

    worker: str
    data: str
    slots: int
    services: frozenset[str]
    leaving: bool = False
    status_age_s: float = 0.0


@attrs.define(kw_only=True)
class _Grant:
    """A granted permit; `ends_s` is on the granter's clock."""

    asker: str
    service: str
    permit: SlotPermit
    ends_s: float
    since_s: float
    revoked: bool = False


@attrs.frozen(kw_only=True)
class _Shares:
    """Division of the slots of a service among its askers."""

    free: int
    share: int
    held: Counter[str]
    deficits: dict[str, int]
    coming: int
    scarce: bool

    def owed_to_others(self, asker: str) -> int:
        """Returns the slots that other askers lack up to their share."""
        return sum(lack for name, lack in self.deficits.items() if name != asker)


class PermitGranter:
    """Grants the slots of one rack's workers. Safe for use by several threads.

    Args:
        rack: rack id.
        epoch: epoch of the ownership; makes serials unique over all owners of the rack.
        clock: source of time; the claim counts as made at construction.
        is_owner: whether the ownership is still valid; asked after an ask has arrived.
    """

    def __init__(
        self,
        *,
        rack: str,
        epoch: int,
        clock: Clock,
        is_owner: Callable[[], bool] = lambda: True,
    ) -> None:
        self._rack = rack
        self._clock = clock
        self._is_owner = is_owner
        self._serials = itertools.count(epoch * _SERIALS_PER_EPOCH)
        # A predecessor's permits are live for up to their ttl; the first epoch has none.
        wait_s = PERMIT_TTL_S if epoch > 1 else 0.0
        self._settled_s = clock.now_s() + wait_s
        self._workers: dict[str, WorkerSlots] = {}
        self._seen_s: dict[str, float] = {}
        self._grants: dict[tuple[str, int], _Grant] = {}
        self._unreturned: dict[int, _Grant] = {}
        self._demands: dict[tuple[str, str], tuple[int, float]] = {}
        self._granted_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def update_workers(self, workers: Sequence[WorkerSlots]) -> None:
        """Replaces the known workers and their status."""
        with self._lock:
            now = self._clock.now_s()
            self._workers = {item.worker: item for item in workers}
            self._seen_s = {item.worker: now - item.status_age_s for item in workers}
            self._unreturned = {
                serial: grant
                for serial, grant in self._unreturned.items()
                if now - grant.ends_s <= UNRETURNED_S
            }

    def may_be_in_use(self, worker: str, service: str) -> bool:
        """Returns whether requests to a service may be running on a worker or come to it.

        False is certain for requests that end within `UNRETURNED_S` after their permits.
        """
        with self._lock:
            now = self._clock.now_s()
            self._expire(now)
            item = self._workers.get(worker)
            if now < self._settled_s:
                return True
            if item is not None and not item.leaving and service in item.services:
                return True
            grants = [*self._grants.values(), *self._unreturned.values()]
            return any(
                grant.permit.worker == worker
                and grant.service == service
                and now - grant.ends_s <= UNRETURNED_S
                for grant in grants
            )

    def live_permits(self) -> int:
        """Returns how many permits may be live."""
        with self._lock:
            self._expire(self._clock.now_s())
            return len(self._grants)

    def answer(self, asker: str, ask: PermitAsk) -> PermitReply:
        """Returns renewed and new permits.

        `ask.held` lists permits in use first: a granter that must take some back
        doesn't renew those at the end of the list.
        """
        if not self._is_owner():
            return PermitReply(rack=self._rack, is_owner=False)
        with self._lock:
            now = self._clock.now_s()
            self._expire(now)
            self._take_back(asker, ask.returned)
            renewed = self._renew(asker, ask, now)
            granted = self._grant(asker, ask, now)
        return PermitReply(rack=self._rack, permits=(*renewed, *granted))

    def _expire(self, now: float) -> None:
        # Requests may outlast their permits; their holders return these when they end.
        for key in [key for key, grant in self._grants.items() if grant.ends_s <= now]:
            grant = self._grants.pop(key)
            self._unreturned[grant.permit.serial] = grant
        self._demands = {
            key: demand
            for key, demand in self._demands.items()
            if now - demand[1] <= DEMAND_FRESH_S
        }

    def _take_back(self, asker: str, returned: Iterable[SlotPermit]) -> None:
        for permit in returned:
            self._unreturned.pop(permit.serial, None)
            if self._find(asker, permit) is not None:
                del self._grants[permit.worker, permit.slot]

    def _find(self, asker: str, permit: SlotPermit) -> _Grant | None:
        grant = self._grants.get((permit.worker, permit.slot))
        if grant is None or grant.asker != asker or grant.permit.serial != permit.serial:
            return None
        return grant

    def _ttl_s(self, worker: str, service: str, now: float) -> float:
        """Returns how long a grant on `worker` may last; 0 if none is allowed."""
        item = self._workers.get(worker)
        if item is None or item.leaving or service not in item.services:
            return 0.0
        return max(0.0, PERMIT_TTL_S - (now - self._seen_s[worker]))

    def _renew(self, asker: str, ask: PermitAsk, now: float) -> list[SlotPermit]:
        kept = list(ask.held)
        surplus = self._surplus(asker, ask, now)
        for permit in kept[len(kept) - surplus :]:
            grant = self._find(asker, permit)
            if grant is not None:
                grant.revoked = True
        renewed = (self._renew_one(asker, ask, p, now) for p in kept[: len(kept) - surplus])
        return [permit for permit in renewed if permit is not None]

    def _renew_one(
        self, asker: str, ask: PermitAsk, permit: SlotPermit, now: float
    ) -> SlotPermit | None:
        in_window = now < self._settled_s
        if in_window and permit.worker not in self._workers:
            # A new owner that has not read the worker's status neither extends nor revokes.
            return attrs.evolve(permit, ttl_s=0.0)
        ttl_s = self._ttl_s(permit.worker, ask.service, now)
        if ttl_s <= 0:
            return None
        grant = self._find(asker, permit)
        if grant is None:
            if not in_window or not self._is_free(permit):
                return None
            grant = _Grant(asker=asker, service=ask.service, permit=permit, ends_s=0.0, since_s=now)
            self._grants[permit.worker, permit.slot] = grant
        grant.revoked = False
        grant.ends_s = max(grant.ends_s, now + ttl_s)
        return attrs.evolve(permit, ttl_s=ttl_s)

    def _is_free(self, permit: SlotPermit) -> bool:
        slots = self._workers[permit.worker].slots
        return 0 <= permit.slot < slots and (permit.worker, permit.slot) not in self._grants

    def _grant(self, asker: str, ask: PermitAsk, now: float) -> list[SlotPermit]:
        wanted = min(ask.wanted, MAX_WANTED)
        self._demands.pop((asker, ask.service), None)
        if wanted <= 0:
            return []
        granted: list[SlotPermit] = []
        if now >= self._settled_s:
            shares = self._shares(ask.service, now, newcomer=asker)
            for _ in range(min(wanted, self._allowance(asker, shares))):
                permit = self._grant_one(asker, ask, now)
                if permit is None:
                    break
                granted.append(permit)
                self._granted_s[asker] = now
        if len(granted) < wanted:
            self._demands[asker, ask.service] = (wanted - len(granted), now)
        return granted

    def _allowance(self, asker: str, shares: _Shares) -> int:
        """Returns how many free slots `asker` may take."""
        within_share = shares.share - shares.held[asker]
        unclaimed = shares.free - shares.owed_to_others(asker)
        # One ask gets at most half of the free slots: with all of them gone at once, askers
        # that come a moment later would wait until others' permits are idle.
        half = (shares.free + 1) // 2
        allowed = min(half, max(within_share, unclaimed))
        if not shares.scarce:
            return allowed
        # Fewer slots than askers: those served longest ago go first.
        own_s = self._granted_s.get(asker, float("-inf"))
        ahead = sum(
            self._granted_s.get(name, float("-inf")) < own_s
            for name in shares.deficits
            if name != asker
        )
        return min(allowed, shares.free - ahead)

    def _grant_one(self, asker: str, ask: PermitAsk, now: float) -> SlotPermit | None:
        """Grants a slot of the worker with the most free slots; avoided workers come last."""
        usable = [w for w in self._usable(ask.service, now) if self._free_slots(w)]
        best = max(
            usable,
            key=lambda w: (w.worker not in ask.avoid, len(self._free_slots(w)), w.worker),
            default=None,
        )
        if best is None:
            return None
        permit = SlotPermit(
            rack=self._rack,
            worker=best.worker,
            data=best.data,
            slot=self._free_slots(best)[0],
            serial=next(self._serials),
            ttl_s=self._ttl_s(best.worker, ask.service, now),
        )
        self._grants[permit.worker, permit.slot] = _Grant(
            asker=asker,
            service=ask.service,
            permit=permit,
            ends_s=now + permit.ttl_s,
            since_s=now,
        )
        return permit

    def _usable(self, service: str, now: float) -> list[WorkerSlots]:
        return [w for w in self._workers.values() if self._ttl_s(w.worker, service, now) > 0]

    def _free_slots(self, item: WorkerSlots) -> list[int]:
        return [slot for slot in range(item.slots) if (item.worker, slot) not in self._grants]

    def _shares(self, service: str, now: float, *, newcomer: str) -> _Shares:
        """Divides the slots of the workers that run `service` among all that use or want them."""
        usable = self._usable(service, now)
        names = {item.worker for item in usable}
        services = frozenset[str]().union(*(item.services for item in usable))
        grants = [grant for (worker, _), grant in self._grants.items() if worker in names]
        held = Counter(grant.asker for grant in grants if not grant.revoked)
        wanted: Counter[str] = Counter()
        for (asker, wanted_service), (count, _) in self._demands.items():
            if wanted_service in services:
                wanted[asker] += count
        claimants = set(held) | set(wanted) | {newcomer}
        capacity = sum(item.slots for item in usable)
        share = max(1, capacity // len(claimants))
        deficits = {
            asker: min(count, share - held[asker])
            for asker, count in wanted.items()
            if held[asker] < share
        }
        return _Shares(
            free=sum(len(self._free_slots(item)) for item in usable),
            share=share,
            held=held,
            deficits=deficits,
            coming=sum(grant.revoked for grant in grants),
            scarce=capacity < len(claimants),
        )

    def _surplus(self, asker: str, ask: PermitAsk, now: float) -> int:
        """Returns how many of the held permits must go to askers below their share."""
        if now < self._settled_s:
            return 0
        shares = self._shares(ask.service, now, newcomer=asker)
        lacking = shares.owed_to_others(asker) - shares.free - shares.coming
        if lacking <= 0:
            return 0
        surplus = shares.held[asker] - shares.share
        if shares.scarce and surplus <= 0:
            # Fewer slots than askers: a slot goes round after each ttl.
            grants = [self._find(asker, permit) for permit in ask.held]
            surplus = sum(g is not None and now - g.since_s >= PERMIT_TTL_S for g in grants)
        return max(0, min(surplus, lacking, len(ask.held)))


@attrs.frozen(kw_only=True)
class WorkerRoute:
    """A worker as a holder knows it from the lists, for use without an owner."""

    worker: str
    data: str
    services: frozenset[str]


@attrs.frozen(kw_only=True)
class RackRoute:
    """A rack as a holder knows it.

    Args:
        rack: rack id.
        near: whether it is in the holder's region; other racks serve only spill-over.
        workers: workers in zones that are in service, leaving ones left out.
    """

    rack: str
    near: bool
    workers: tuple[WorkerRoute, ...]

    def runs(self, service: str) -> bool:
        """Returns whether a worker of the rack may run `service`."""
        return any(service in item.services for item in self.workers)


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """A request that waits for a permit.

    Args:
        deadline_s: end of the wait; requests with earlier deadlines go first.
        avoid: workers that must not be used.
    """

    deadline_s: float
    avoid: frozenset[str]
    event: threading.Event = attrs.field(factory=threading.Event)
    permit: SlotPermit | None = None


class WaitQueue:
    """Requests in the order of their deadlines. Callers hold a lock of their own."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiter]] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""
        heapq.heappush(self._heap, (waiter.deadline_s, next(self._order), waiter))

    def remove(self, waiter: Waiter) -> None:
        """Removes a request, if it is there."""
        self._heap = [entry for entry in self._heap if entry[2] is not waiter]
        heapq.heapify(self._heap)

    def serve(self, find: Callable[[Waiter], SlotPermit | None]) -> None:
        """Hands each request, earliest deadline first, the permit that `find` returns for it."""
        for entry in sorted(self._heap, key=lambda entry: entry[:2]):
            waiter = entry[2]
            waiter.permit = find(waiter)
            if waiter.permit is not None:
                self.remove(waiter)
                waiter.event.set()
            elif not waiter.avoid:
                return


@attrs.define(kw_only=True)
class _Held:
    """A permit at its holder; times are on the holder's clock."""

    permit: SlotPermit
    ends_s: float
    idle_since_s: float
    busy: bool = False


@attrs.define(kw_only=True)
class _Pool:
    """Permits of one service on one rack."""

    rack: str
    service: str
    held: dict[int, _Held] = attrs.field(factory=dict)
    returning: list[SlotPermit] = attrs.field(factory=list)
    asking: int = 0
    in_flight: bool = False
    asked_s: float = float("-inf")
    dry_until_s: float = float("-inf")


@attrs.define(kw_only=True)
class _Unowned:
    """State of a rack without a reachable owner."""

    ask_s: float
    probed_s: dict[str, float] = attrs.field(factory=dict)
    probing: bool = False
    probe_due_s: float = float("-inf")


def _call_inline(work: Callable[[], None]) -> None:
    work()


class PermitHolder:
    """Obtains, renews and returns permits for one instance. Safe for use by several threads.

    `step()` drives the exchange with owners; call it again when `wake` is set and at
    least every `PERMIT_RETRY_S`.

    Args:
        clock: source of time.
        rng: spreads asks over racks.
        ask: sends an ask to the owner of a rack (its id); raises PeerError if there is
            no reachable owner.
        probe: asks a worker for its status now; returns whether it may be used.
        run: runs an exchange; the default runs it in the thread of `step()`.
        on_drop: called when a permit is over and not in use, to close its connection.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        ask: Callable[[str, PermitAsk], PermitReply],
        probe: Callable[[WorkerRoute], bool],
        run: Callable[[Callable[[], None]], object] = _call_inline,
        on_drop: Callable[[SlotPermit], None] = lambda permit: None,
    ) -> None:
        self.wake = threading.Event()
        self._clock = clock
        self._rng = rng
        self._ask = ask
        self._probe = probe
        self._run = run
        self._on_drop = on_drop
        self._racks: dict[str, RackRoute] = {}
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._queues: dict[str, WaitQueue] = {}
        self._busy: dict[tuple[str, int], tuple[_Pool, _Held]] = {}
        self._unowned: dict[str, _Unowned] = {}
        self._unowned_busy: set[str] = set()
        self._avoid: dict[str, float] = {}
        self._lock = threading.RLock()

    def update_racks(self, racks: Sequence[RackRoute]) -> None:
        """Replaces the known racks."""
        with self._lock:
            self._racks = {item.rack: item for item in racks}
            self._unowned = {k: v for k, v in self._unowned.items() if k in self._racks}
        self.wake.set()

    def acquire(
        self, service: str, deadline_s: float, avoid: frozenset[str] = frozenset()
    ) -> SlotPermit | None:
        """Returns a permit for one request, or None if none came until `deadline_s`.

        Requests with earlier deadlines get permits first.
        """
        waiter = Waiter(deadline_s=deadline_s, avoid=avoid)
        with self._lock:
            self._queue(service).push(waiter)
            self._dispatch(service)
        try:
            if waiter.permit is None:
                self.wake.set()
                self._clock.wait_s(waiter.event, max(0.0, deadline_s - self._clock.now_s()))
        finally:
            with self._lock:
                self._queue(service).remove(waiter)
        return waiter.permit

    def release(self, permit: SlotPermit, ok: bool) -> None:
        """Ends the use of a permit; `ok` is False if the worker failed the request."""
        with self._lock:
            if not ok:
                self._avoid[permit.worker] = self._clock.now_s() + PERMIT_RENEW_S
            if permit.serial == UNOWNED_SERIAL:
                self._unowned_busy.discard(permit.worker)
                self._on_drop(permit)
            else:
                self._release_held(permit, ok)
            for service in self._queues:
                self._dispatch(service)

    def waiting(self, service: str) -> int:
        """Returns how many requests wait."""
        with self._lock:
            return len(self._queue(service))

    def held(self, service: str) -> int:
        """Returns how many live permits the instance holds for `service`."""
        with self._lock:
            now = self._clock.now_s()
            pools = [pool for pool in self._pools.values() if pool.service == service]
            return sum(held.ends_s > now for pool in pools for held in pool.held.values())

    def live(self) -> list[SlotPermit]:
        """Returns all permits that the holder regards as live."""
        with self._lock:
            now = self._clock.now_s()
            held = [item for pool in self._pools.values() for item in pool.held.values()]
            return [item.permit for item in held if item.ends_s > now]

    def step(self) -> None:
        """Drops, returns, renews and asks for permits, and probes workers without owner."""
        self.wake.clear()
        with self._lock:
            now = self._clock.now_s()
            for pool in self._pools.values():
                self._expire(pool, now)
                self._return_idle(pool, now)
            for service in list(self._queues):
                self._plan_wanted(service, now)
            due = [pool for pool in self._pools.values() if self._is_due(pool, now)]
            for pool in due:
                pool.in_flight = True
            probes = self._plan_probes(now)
        for pool in due:
            self._run(lambda pool=pool: self._exchange(pool))
        for route in probes:
            self._run(lambda route=route: self._probe_rack(route))
        with self._lock:
            for service in self._queues:
                self._dispatch(service)

    def _queue(self, service: str) -> WaitQueue:
        return self._queues.setdefault(service, WaitQueue())

    def _release_held(self, permit: SlotPermit, ok: bool) -> None:
        pool, held = self._busy.pop((permit.rack, permit.serial))
        held.busy = False
        held.idle_since_s = self._clock.now_s()
        if pool.held.get(permit.serial) is not held:
            # Revoked or expired while in use: give it back at once.
            pool.returning.append(permit)
            self._on_drop(permit)
            self.wake.set()
        elif not ok:
            del pool.held[permit.serial]
            pool.returning.append(permit)
            self._on_drop(permit)
            self.wake.set()

    def _expire(self, pool: _Pool, now: float) -> None:
        for serial in [s for s, held in pool.held.items() if held.ends_s <= now]:
            self._drop(pool, serial)

    def _drop(self, pool: _Pool, serial: int) -> None:
        held = pool.held.pop(serial)
        if not held.busy:
            self._on_drop(held.permit)

    def _return_idle(self, pool: _Pool, now: float) -> None:
        if len(self._queue(pool.service)):
            return
        for serial, held in list(pool.held.items()):
            if not held.busy and now - held.idle_since_s >= PERMIT_IDLE_S:
                self._drop(pool, serial)
                pool.returning.append(held.permit)

    def _plan_wanted(self, service: str, now: float) -> None:
        """Sets how many permits each rack is asked for; far racks only if near ones are dry."""
        pools = [pool for pool in self._pools.values() if pool.service == service]
        pending = sum(pool.asking for pool in pools if pool.in_flight)
        wanted = len(self._queue(service)) - pending
        for pool in pools:
            if not pool.in_flight:
                pool.asking = 0
        if wanted <= 0:
            return
        routes = [r for r in self._racks.values() if r.runs(service) and not self._is_cut(r, now)]
        near = [r for r in routes if r.near]
        far = [r for r in routes if not r.near]
        open_near = self._open(near, service, now)
        choices = open_near or (self._open(far, service, now) if self._all_dry(near) else [])
        if choices:
            route = self._rng.choice(choices)
            self._pool(route.rack, service).asking = min(wanted, MAX_WANTED)

    def _all_dry(self, near: list[RackRoute]) -> bool:
        return not any(
            pool.in_flight and pool.asking
            for pool in self._pools.values()
            if any(pool.rack == route.rack for route in near)
        )

    def _open(self, routes: list[RackRoute], service: str, now: float) -> list[RackRoute]:
        """Returns the racks that may be asked for more now."""
        pools = {route.rack: self._pool(route.rack, service) for route in routes}
        return [
            route
            for route in routes
            if not pools[route.rack].in_flight and pools[route.rack].dry_until_s <= now
        ]

    def _is_cut(self, route: RackRoute, now: float) -> bool:
        state = self._unowned.get(route.rack)
        return state is not None and state.ask_s > now

    def _pool(self, rack: str, service: str) -> _Pool:
        return self._pools.setdefault((rack, service), _Pool(rack=rack, service=service))

    def _is_due(self, pool: _Pool, now: float) -> bool:
        if pool.in_flight:
            return False
        if pool.asking:
            return True
        route = self._racks.get(pool.rack)
        if route is not None and self._is_cut(route, now):
            return False
        return bool(pool.returning) or bool(pool.held) and now - pool.asked_s >= PERMIT_RENEW_S

    def _exchange(self, pool: _Pool) -> None:
        """Sends one ask and applies its answer."""
        with self._lock:
            sent_s = self._clock.now_s()
            self._expire(pool, sent_s)
            ask = self._make_ask(pool, sent_s)
            pool.asked_s = sent_s
            pool.returning = []
        try:
            reply = self._ask(pool.rack, ask)
        except PeerError as exc:
            _log.debug("owner not reached; using the rack unowned", rack=pool.rack, error=str(exc))
            reply = PermitReply(rack=pool.rack, is_owner=False)
        except Exception:
            with self._lock:
                pool.in_flight = False
            raise
        with self._lock:
            pool.in_flight = False
            pool.asking = 0
            self._apply(pool, ask, reply, sent_s)
            self._dispatch(pool.service)
        if len(self._queue(pool.service)):
            self.wake.set()

    def _make_ask(self, pool: _Pool, now: float) -> PermitAsk:
        self._avoid = {worker: end for worker, end in self._avoid.items() if end > now}
        in_use_first = sorted(pool.held.values(), key=lambda held: not held.busy)
        return PermitAsk(
            rack=pool.rack,
            service=pool.service,
            wanted=pool.asking,
            held=tuple(held.permit for held in in_use_first),
            returned=tuple(pool.returning),
            avoid=tuple(sorted(self._avoid)),
        )

    def _apply(self, pool: _Pool, ask: PermitAsk, reply: PermitReply, sent_s: float) -> None:
        now = self._clock.now_s()
        self._expire(pool, now)
        if not reply.is_owner:
            state = self._unowned.setdefault(pool.rack, _Unowned(ask_s=now))
            state.ask_s = now + UNOWNED_ASK_S
            if pool.rack in self._racks:
                pool.returning.extend(ask.returned)
            return
        self._unowned.pop(pool.rack, None)
        asked = {permit.serial for permit in ask.held}
        listed = {permit.serial for permit in reply.permits}
        for permit in reply.permits:
            self._accept(pool, permit, sent_s + permit.ttl_s, permit.serial in asked)
        for serial in asked - listed:
            if serial in pool.held:
                self._revoke(pool, serial)
        if ask.wanted and not listed - asked:
            pool.dry_until_s = now + PERMIT_RETRY_S

    def _accept(self, pool: _Pool, permit: SlotPermit, ends_s: float, renewed: bool) -> None:
        held = pool.held.get(permit.serial)
        if held is not None:
            held.ends_s = max(held.ends_s, ends_s)
            return
        # A renewal that arrives after the permit's end doesn't revive it: a former owner
        # may have granted the slot to somebody else since.
        now = self._clock.now_s()
        if not renewed and ends_s > now:
            pool.held[permit.serial] = _Held(permit=permit, ends_s=ends_s, idle_since_s=now)

    def _revoke(self, pool: _Pool, serial: int) -> None:
        held = pool.held[serial]
        self._drop(pool, serial)
        if not held.busy:
            pool.returning.append(held.permit)

    def _dispatch(self, service: str) -> None:
        queue = self._queue(service)
        if len(queue):
            queue.serve(lambda waiter: self._take(service, waiter))

    def _take(self, service: str, waiter: Waiter) -> SlotPermit | None:
        now = self._clock.now_s()
        if waiter.deadline_s <= now:
            return None
        idle = [
            (pool, held)
            for pool in self._pools.values()
            if pool.service == service and pool.rack in self._racks
            for held in pool.held.values()
            if not held.busy and held.ends_s > now and held.permit.worker not in waiter.avoid
        ]
        if not idle:
            return self._take_unowned(service, waiter, now)
        # The most recently used permit first, so that surplus ones become idle and return.
        pool, held = max(idle, key=lambda item: (self._is_near(item[0]), item[1].idle_since_s))
        held.busy = True
        self._busy[pool.rack, held.permit.serial] = (pool, held)
        return attrs.evolve(held.permit, ttl_s=held.ends_s - now)

    def _is_near(self, pool: _Pool) -> bool:
        route = self._racks.get(pool.rack)
        return route is not None and route.near

    def _take_unowned(self, service: str, waiter: Waiter, now: float) -> SlotPermit | None:
        with_permits = {
            held.permit.worker for pool in self._pools.values() for held in pool.held.values()
        }
        with_permits |= {held.permit.worker for _, held in self._busy.values()}
        choices = [
            (route, item)
            for route in sorted(self._racks.values(), key=lambda route: not route.near)
            if route.rack in self._unowned
            for item in route.workers
            if service in item.services
            and item.worker not in self._unowned_busy | with_permits | waiter.avoid
            and self._is_probed(route.rack, item.worker, now)
        ]
        near = [choice for choice in choices if choice[0].near]
        if not choices:
            return None
        route, item = self._rng.choice(near or choices)
        self._unowned_busy.add(item.worker)
        return SlotPermit(
            rack=route.rack,
            worker=item.worker,
            data=item.data,
            slot=UNOWNED_SERIAL,
            serial=UNOWNED_SERIAL,
            ttl_s=self._unowned[route.rack].probed_s[item.worker] + UPSTREAM_FRESH_S - now,
        )

    def _is_probed(self, rack: str, worker: str, now: float) -> bool:
        probed_s = self._unowned[rack].probed_s.get(worker, float("-inf"))
        return now - probed_s <= UPSTREAM_FRESH_S

    def _plan_probes(self, now: float) -> list[RackRoute]:
        due = []
        for rack, state in self._unowned.items():
            route = self._racks.get(rack)
            if route is None or state.probing or state.probe_due_s > now:
                continue
            if any(len(q) and route.runs(name) for name, q in self._queues.items()):
                state.probing = True
                state.probe_due_s = now + PROBE_S
                due.append(route)
        return due

    def _probe_rack(self, route: RackRoute) -> None:
        try:
            for item in route.workers:
                self._probe_worker(route.rack, item)
        finally:
            with self._lock:
                if route.rack in self._unowned:
                    self._unowned[route.rack].probing = False

    def _probe_worker(self, rack: str, item: WorkerRoute) -> None:
        sent_s = self._clock.now_s()
        usable = self._probe(item)
        with self._lock:
            state = self._unowned.get(rack)
            if state is None:
                return
            state.probed_s.pop(item.worker, None)
            if usable:
                state.probed_s[item.worker] = sent_s
            for service in self._queues:
                self._dispatch(service)
