"""Slot permits at an instance: obtained, renewed, used by waiting requests, and returned."""

import random
import threading
from collections.abc import Callable, Sequence

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import PeerError
from fescuerudder.messages import PermitAsk, PermitReply, SlotPermit
from fescuerudder.permits import (
    DEMAND_HOLD_S,
    MAX_WANTED,
    PERMIT_IDLE_S,
    PERMIT_RENEW_S,
    PERMIT_RETRY_S,
    UNOWNED_SERIAL,
)
from fescuerudder.routes import RackRoute, WorkerRoute
from fescuerudder.unownedracks import UnownedRacks
from fescuerudder.waitqueue import Waiter, WaitQueue

_log = structlog.get_logger(__name__)


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
    told_unowned: tuple[str, ...] = ()
    in_flight: bool = False
    asked_s: float = float("-inf")
    exhausted_until_s: float = float("-inf")
    demanded_until_s: float = float("-inf")
    offered_s: float = float("-inf")

    def idle_limit_s(self, now: float) -> float:
        """Returns for how long a permit may stay idle."""
        return 0.0 if now < self.demanded_until_s else PERMIT_IDLE_S


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
        self._unowned = UnownedRacks(rng=rng)
        self._avoid: dict[str, float] = {}
        self._lock = threading.RLock()

    def update_racks(self, racks: Sequence[RackRoute]) -> None:
        """Replaces the racks whose owners are asked."""
        with self._lock:
            self._racks = {item.rack: item for item in racks}
            self._unowned.retain(self._racks)
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
                self._unowned.release(permit.worker)
                self._on_drop(permit)
            else:
                self._release_held(permit, ok)
            for service in self._queues:
                self._dispatch(service)
            self._wake_if_demanded(permit)

    def note_demand(self, rack: str, service: str) -> None:
        """Notes that others wait for slots of a rack, so that idle permits return at once."""
        with self._lock:
            pool = self._pool(rack, service)
            pool.demanded_until_s = self._clock.now_s() + DEMAND_HOLD_S
        self.wake.set()

    def note_offer(self, rack: str, service: str) -> None:
        """Notes that slots of a rack came free, so that it may be asked again at once."""
        with self._lock:
            pool = self._pool(rack, service)
            pool.offered_s = self._clock.now_s()
            pool.exhausted_until_s = float("-inf")
        self.wake.set()

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
            waiting = [name for name, queue in self._queues.items() if len(queue)]
            probes = self._unowned.start_probes(self._racks, waiting, now)
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

    def _wake_if_demanded(self, permit: SlotPermit) -> None:
        """Wakes the driver if a permit just became idle that others wait for."""
        if (permit.rack, permit.serial) in self._busy:
            return
        now = self._clock.now_s()
        demanded = (p.demanded_until_s > now for p in self._pools.values() if p.rack == permit.rack)
        if any(demanded):
            self.wake.set()

    def _expire(self, pool: _Pool, now: float) -> None:
        for serial in [s for s, held in pool.held.items() if held.ends_s <= now]:
            held = pool.held[serial]
            self._drop(pool, serial)
            if not held.busy:
                # Tells the granter that no request is in progress.
                pool.returning.append(held.permit)

    def _drop(self, pool: _Pool, serial: int) -> None:
        held = pool.held.pop(serial)
        if not held.busy:
            self._on_drop(held.permit)

    def _return_idle(self, pool: _Pool, now: float) -> None:
        if len(self._queue(pool.service)):
            return
        for serial, held in list(pool.held.items()):
            if not held.busy and now - held.idle_since_s >= pool.idle_limit_s(now):
                self._drop(pool, serial)
                pool.returning.append(held.permit)

    def _plan_wanted(self, service: str, now: float) -> None:
        """Sets how many permits each rack is asked for; far racks only if near ones grant none."""
        pools = [pool for pool in self._pools.values() if pool.service == service]
        pending = sum(pool.asking for pool in pools if pool.in_flight)
        wanted = len(self._queue(service)) - pending
        for pool in pools:
            if not pool.in_flight:
                pool.asking = 0
        if wanted <= 0:
            return
        routes = [
            route
            for route in self._racks.values()
            if route.runs(service) and not self._unowned.is_ask_deferred(route.rack, now)
        ]
        near = [r for r in routes if r.near]
        far = [r for r in routes if not r.near]
        askable_near = self._askable(near, service, now)
        choices = askable_near or (
            [] if self._is_asking(near) else self._askable(far, service, now)
        )
        if choices:
            route = self._rng.choice(choices)
            self._pool(route.rack, service).asking = min(wanted, MAX_WANTED)

    def _is_asking(self, routes: list[RackRoute]) -> bool:
        """Returns whether an ask for more permits of one of these racks is in flight."""
        return any(
            pool.in_flight and pool.asking
            for pool in self._pools.values()
            if any(pool.rack == route.rack for route in routes)
        )

    def _askable(self, routes: list[RackRoute], service: str, now: float) -> list[RackRoute]:
        """Returns the racks that may be asked for more now."""
        pools = {route.rack: self._pool(route.rack, service) for route in routes}
        return [
            route
            for route in routes
            if not pools[route.rack].in_flight and pools[route.rack].exhausted_until_s <= now
        ]

    def _pool(self, rack: str, service: str) -> _Pool:
        return self._pools.setdefault((rack, service), _Pool(rack=rack, service=service))

    def _is_due(self, pool: _Pool, now: float) -> bool:
        if pool.in_flight:
            return False
        if pool.asking:
            return True
        if pool.rack in self._racks and self._unowned.is_ask_deferred(pool.rack, now):
            return False
        in_use = self._unowned.workers_in_use(pool.rack, pool.service)
        if pool.returning or in_use != pool.told_unowned:
            return True
        return bool(pool.held) and now - pool.asked_s >= PERMIT_RENEW_S

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
        if len(self._queue(pool.service)) or pool.returning:
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
            unowned=self._unowned.workers_in_use(pool.rack, pool.service),
        )

    def _apply(self, pool: _Pool, ask: PermitAsk, reply: PermitReply, sent_s: float) -> None:
        now = self._clock.now_s()
        self._expire(pool, now)
        if not reply.is_owner:
            self._unowned.mark_unowned(pool.rack, now)
            if pool.rack in self._racks:
                pool.returning.extend(ask.returned)
            return
        self._unowned.mark_owned(pool.rack)
        pool.told_unowned = ask.unowned
        asked = {permit.serial for permit in ask.held}
        listed = {permit.serial for permit in reply.permits}
        for permit in reply.permits:
            self._accept(pool, permit, sent_s + permit.ttl_s, permit.serial in asked)
        for serial in asked - listed:
            if serial in pool.held:
                self._revoke(pool, serial)
        # A permit that ended on its way counts as none, or the holder would ask without pause.
        is_exhausted = not (listed - asked) & pool.held.keys()
        # An offer may overtake the answer to the ask before it.
        if ask.wanted and is_exhausted and pool.offered_s < sent_s:
            pool.exhausted_until_s = now + PERMIT_RETRY_S

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
            queue.serve(lambda waiter: self._claim_idle(service, waiter))

    def _claim_idle(self, service: str, waiter: Waiter) -> SlotPermit | None:
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
            return self._acquire_unowned(service, waiter, now)
        # The most recently used permit first, so that surplus ones become idle and return.
        pool, held = max(idle, key=lambda item: (self._is_near(item[0]), item[1].idle_since_s))
        held.busy = True
        self._busy[pool.rack, held.permit.serial] = (pool, held)
        return attrs.evolve(held.permit, ttl_s=held.ends_s - now)

    def _is_near(self, pool: _Pool) -> bool:
        route = self._racks.get(pool.rack)
        return route is not None and route.near

    def _acquire_unowned(self, service: str, waiter: Waiter, now: float) -> SlotPermit | None:
        """Returns a substitute on a worker of which this instance holds no permit, or None."""
        with_permits = {
            held.permit.worker for pool in self._pools.values() for held in pool.held.values()
        }
        with_permits |= {held.permit.worker for _, held in self._busy.values()}
        excluded = with_permits | waiter.avoid
        return self._unowned.acquire(service, self._racks.values(), excluded, now)

    def _probe_rack(self, route: RackRoute) -> None:
        try:
            for item in route.workers:
                self._probe_worker(route.rack, item)
        finally:
            with self._lock:
                self._unowned.end_probe(route.rack)

    def _probe_worker(self, rack: str, item: WorkerRoute) -> None:
        sent_s = self._clock.now_s()
        usable = self._probe(item)
        with self._lock:
            if not self._unowned.note_probe(rack, item, usable=usable, sent_s=sent_s):
                return
            for service in self._queues:
                self._dispatch(service)
