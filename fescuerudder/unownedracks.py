"""Racks without a reachable owner, whose workers serve requests without slot permits."""

import random
from collections.abc import Collection, Iterable

import attrs

from fescuerudder.messages import SlotPermit
from fescuerudder.permits import PROBE_S, UNOWNED_ASK_S, UNOWNED_SERIAL, UPSTREAM_FRESH_S
from fescuerudder.routes import RackRoute, WorkerRoute


@attrs.define(kw_only=True)
class _Unowned:
    """State of one rack; `ask_s` is when its owner may be asked again."""

    ask_s: float
    probed_s: dict[str, float] = attrs.field(factory=dict)
    probing: bool = False
    probe_due_s: float = float("-inf")


class UnownedRacks:
    """Which workers an instance may use while their rack has no reachable owner.

    A worker serves one request at a time, and only soon after a probe that it answered.
    Not thread-safe; the caller's lock covers each call. Times are on the caller's clock.

    Args:
        rng: chooses among usable workers.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[str, _Unowned] = {}
        self._in_use: dict[str, tuple[str, str]] = {}

    def retain(self, racks: Collection[str]) -> None:
        """Drops the state of all racks other than `racks`."""
        self._states = {rack: state for rack, state in self._states.items() if rack in racks}

    def mark_unowned(self, rack: str, now: float) -> None:
        """Records that no owner answered for a rack."""
        state = self._states.setdefault(rack, _Unowned(ask_s=now))
        state.ask_s = now + UNOWNED_ASK_S

    def mark_owned(self, rack: str) -> None:
        """Records that the owner of a rack answered; its workers need permits again."""
        self._states.pop(rack, None)

    def is_ask_deferred(self, rack: str, now: float) -> bool:
        """Returns whether it is too early to ask for an owner of the rack again."""
        state = self._states.get(rack)
        return state is not None and state.ask_s > now

    def workers_in_use(self, rack: str, service: str) -> tuple[str, ...]:
        """Returns the workers with a request of `service` in progress without a permit."""
        place = (rack, service)
        return tuple(sorted(worker for worker, used in self._in_use.items() if used == place))

    def acquire(
        self, service: str, routes: Iterable[RackRoute], excluded: Collection[str], now: float
    ) -> SlotPermit | None:
        """Returns a substitute for a permit on a usable worker, near ones first, or None.

        Args:
            service: service of the request.
            routes: all racks with their workers.
            excluded: workers that must not be used.
            now: present time.
        """
        choices = [
            (route, item)
            for route in sorted(routes, key=lambda route: not route.near)
            if route.rack in self._states
            for item in route.workers
            if service in item.services
            and item.worker not in self._in_use.keys() | excluded
            and self._is_probed(route.rack, item.worker, now)
        ]
        near = [choice for choice in choices if choice[0].near]
        if not choices:
            return None
        route, item = self._rng.choice(near or choices)
        self._in_use[item.worker] = (route.rack, service)
        return SlotPermit(
            rack=route.rack,
            worker=item.worker,
            data=item.data,
            slot=UNOWNED_SERIAL,
            serial=UNOWNED_SERIAL,
            ttl_s=self._states[route.rack].probed_s[item.worker] + UPSTREAM_FRESH_S - now,
        )

    def release(self, worker: str) -> None:
        """Ends the use of a worker."""
        self._in_use.pop(worker, None)

    def start_probes(
        self, routes: dict[str, RackRoute], waiting: Collection[str], now: float
    ) -> list[RackRoute]:
        """Returns the racks to probe now; they count as being probed until `end_probe`.

        Args:
            routes: all racks by id.
            waiting: services with waiting requests.
            now: present time.
        """
        due = []
        for rack, state in self._states.items():
            route = routes.get(rack)
            if route is None or state.probing or state.probe_due_s > now:
                continue
            if any(route.runs(service) for service in waiting):
                state.probing = True
                state.probe_due_s = now + PROBE_S
                due.append(route)
        return due

    def note_probe(self, rack: str, item: WorkerRoute, *, usable: bool, sent_s: float) -> bool:
        """Records the result of a probe; returns whether the rack is still without owner."""
        state = self._states.get(rack)
        if state is None:
            return False
        state.probed_s.pop(item.worker, None)
        if usable:
            state.probed_s[item.worker] = sent_s
        return True

    def end_probe(self, rack: str) -> None:
        """Ends the probing of a rack."""
        if rack in self._states:
            self._states[rack].probing = False

    def _is_probed(self, rack: str, worker: str, now: float) -> bool:
        probed_s = self._states[rack].probed_s.get(worker, float("-inf"))
        return now - probed_s <= UPSTREAM_FRESH_S
