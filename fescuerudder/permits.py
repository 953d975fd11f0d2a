"""Slot permits: an owner grants the slots of its rack's workers, an instance holds them."""

import itertools
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.messages import (
    Message,
    PermitAsk,
    PermitDemand,
    PermitOffer,
    PermitReply,
    SlotPermit,
)

_log = structlog.get_logger(__name__)

PERMIT_TTL_S = 3.0
PERMIT_RENEW_S = 1.0
PERMIT_IDLE_S = 1.0
PERMIT_RETRY_S = 0.05
UPSTREAM_FRESH_S = 3.0
PROBE_S = 1.0
UNOWNED_ASK_S = 1.0
DEMAND_FRESH_S = 0.5
DEMAND_NOTICE_S = 0.05
DEMAND_HOLD_S = 0.1
"""A holder returns idle permits at once for this long after a notice of others' demand."""

LONGEST_REQUEST_S = 30.0
"""A permit that was not returned may serve a request for this long after its end: the deadline
of requests that state none."""

MAX_WANTED = 64
UNOWNED_SERIAL = -1

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
        reaches_all: whether all live instances can ask, so that none uses workers unowned.
        tell: sends a message to an instance, best effort; called without the lock.
    """

    def __init__(
        self,
        *,
        rack: str,
        epoch: int,
        clock: Clock,
        is_owner: Callable[[], bool] = lambda: True,
        reaches_all: Callable[[], bool] = lambda: True,
        tell: Callable[[str, Message], None] = lambda asker, message: None,
    ) -> None:
        self._rack = rack
        self._clock = clock
        self._is_owner = is_owner
        self._reaches_all = reaches_all
        self._tell = tell
        self._noticed_s: dict[tuple[str, str], float] = {}
        self._serials = itertools.count(epoch * _SERIALS_PER_EPOCH)
        # A predecessor's permits are live for up to their ttl; the first epoch has none.
        wait_s = PERMIT_TTL_S if epoch > 1 else 0.0
        self._settled_s = clock.now_s() + wait_s
        # Slots whose holder reported them to this granter and then returned them: unlike all
        # other slots they are certainly free even while permits of a predecessor may be live.
        self._returned: set[tuple[str, int]] = set()
        # Requests under a predecessor's permits are unknown here.
        self._unknown_until_s = self._settled_s + (LONGEST_REQUEST_S if epoch > 1 else 0.0)
        self._unreturned: dict[int, _Grant] = {}
        self._unowned: dict[tuple[str, str], tuple[tuple[str, ...], float]] = {}
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

    def live_permits(self) -> int:
        """Returns how many permits may be live."""
        with self._lock:
            self._expire(self._clock.now_s())
            return len(self._grants)

    def may_be_in_use(self, worker: str, service: str) -> bool:
        """Returns whether a request to the service on the worker may be in progress."""
        if not self._reaches_all():
            return True
        with self._lock:
            now = self._clock.now_s()
            self._expire(now)
            grants = [*self._grants.values(), *self._unreturned.values()]
            return (
                now < self._unknown_until_s
                or any(g.permit.worker == worker and g.service == service for g in grants)
                or any(
                    name == service and worker in workers
                    for (_, name), (workers, _) in self._unowned.items()
                )
            )

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
            self._note_unowned(asker, ask, now)
            renewed = self._renew(asker, ask, now)
            granted = self._grant(asker, ask, now)
            holders = self._holders_to_notice(asker, ask.service, now)
            offers = self._offers(asker, now) if ask.returned else []
        for waiting, service in offers:
            self._tell(waiting, PermitOffer(rack=self._rack, service=service))
        for holder in holders:
            self._tell(holder, PermitDemand(rack=self._rack, service=ask.service))
        return PermitReply(rack=self._rack, permits=(*renewed, *granted))

    def _holders_to_notice(self, asker: str, service: str, now: float) -> list[str]:
        """Returns whom to tell of an unmet demand; each holder once per `DEMAND_NOTICE_S`."""
        if (asker, service) not in self._demands:
            return []
        names = {item.worker for item in self._usable(service, now)}
        holders = {g.asker for (worker, _), g in self._grants.items() if worker in names}
        due = [
            holder
            for holder in sorted(holders - {asker})
            if (holder, service) not in self._noticed_s
        ]
        self._noticed_s.update({(holder, service): now for holder in due})
        return due

    def _offers(self, asker: str, now: float) -> list[tuple[str, str]]:
        """Returns the instances that may ask again, those served longest ago first."""
        waiting = sorted(
            (key for key in self._demands if key[0] != asker),
            key=lambda key: self._granted_s.get(key[0], float("-inf")),
        )
        return [
            (name, service)
            for name, service in waiting
            if any(self._free_slots(item, now) for item in self._usable(service, now))
        ]

    def _expire(self, now: float) -> None:
        ended = [grant for grant in self._grants.values() if grant.ends_s <= now]
        self._grants = {key: grant for key, grant in self._grants.items() if grant.ends_s > now}
        self._unreturned.update({grant.permit.serial: grant for grant in ended})
        oldest_s = now - LONGEST_REQUEST_S
        self._unreturned = {s: g for s, g in self._unreturned.items() if g.ends_s > oldest_s}
        self._unowned = {key: item for key, item in self._unowned.items() if item[1] > oldest_s}
        self._demands = {
            key: demand
            for key, demand in self._demands.items()
            if now - demand[1] <= DEMAND_FRESH_S
        }
        self._noticed_s = {
            key: noticed_s
            for key, noticed_s in self._noticed_s.items()
            if now - noticed_s < DEMAND_NOTICE_S
        }

    def _take_back(self, asker: str, returned: Iterable[SlotPermit]) -> None:
        for permit in returned:
            # A returned permit serves no request, even if it ended before.
            self._unreturned.pop(permit.serial, None)
            if self._find(asker, permit) is not None:
                del self._grants[permit.worker, permit.slot]
                self._returned.add((permit.worker, permit.slot))

    def _note_unowned(self, asker: str, ask: PermitAsk, now: float) -> None:
        """Keeps on which workers the asker has requests in progress without a permit."""
        self._unowned.pop((asker, ask.service), None)
        if ask.unowned:
            self._unowned[asker, ask.service] = (ask.unowned, now)

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
        usable = [w for w in self._usable(ask.service, now) if self._free_slots(w, now)]
        best = max(
            usable,
            key=lambda w: (w.worker not in ask.avoid, len(self._free_slots(w, now)), w.worker),
            default=None,
        )
        if best is None:
            return None
        permit = SlotPermit(
            rack=self._rack,
            worker=best.worker,
            data=best.data,
            slot=self._free_slots(best, now)[0],
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

    def _free_slots(self, item: WorkerSlots, now: float) -> list[int]:
        free = [slot for slot in range(item.slots) if (item.worker, slot) not in self._grants]
        if now >= self._settled_s:
            return free
        return [slot for slot in free if (item.worker, slot) in self._returned]

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
            free=sum(len(self._free_slots(item, now)) for item in usable),
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
