"""Slot permits: safety under any interleaving, and the rules of granting and holding."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescuerudder.clock import ManualClock
from fescuerudder.errors import PeerError
from fescuerudder.messages import PermitAsk, PermitDemand, PermitReply
from fescuerudder.permitholder import PermitHolder
from fescuerudder.permits import (
    LONGEST_REQUEST_S,
    PERMIT_IDLE_S,
    PERMIT_TTL_S,
    UNOWNED_SERIAL,
    PermitGranter,
    WorkerSlots,
)
from fescuerudder.routes import RackRoute, WorkerRoute

RACK = "rack-1"


def make_workers(count=1, *, slots=2, **fields):
    base = {"slots": slots, "services": frozenset({"draw"})}
    return [
        WorkerSlots(worker=f"w{n}", data=f"10.0.0.{n}:80", **{**base, **fields})
        for n in range(count)
    ]


def make_granter(clock, *, epoch=1, workers=None, is_owner=lambda: True, **fields):
    granter = PermitGranter(rack=RACK, epoch=epoch, clock=clock, is_owner=is_owner, **fields)
    granter.update_workers(make_workers() if workers is None else workers)
    return granter


def deliver(holder, message):
    """Hands a notice of a granter to a holder."""
    if isinstance(message, PermitDemand):
        holder.note_demand(message.rack, message.service)
    else:
        holder.note_offer(message.rack, message.service)


def make_ask(wanted=0, **fields):
    return PermitAsk(rack=RACK, service="draw", wanted=wanted, **fields)


def make_holder(clock, ask, *, probe=lambda route: True, count=2):
    holder = PermitHolder(clock=clock, rng=random.Random(1), ask=ask, probe=probe)
    routes = tuple(
        WorkerRoute(worker=f"w{n}", data=f"10.0.0.{n}:80", services=frozenset({"draw"}))
        for n in range(count)
    )
    holder.update_racks([RackRoute(rack=RACK, near=True, workers=routes)])
    return holder


PLANS = ("ok", "ok", "ok", "drop", "drop_answer", "delay_ask", "delay_answer")
EVENTS = ("want",) * 5 + ("release", "step", "step", "advance", "advance")
ADVANCES_S = (0.01, 0.2, 0.9, 1.1, 1.9, 2.9, PERMIT_TTL_S)


class World:
    """Holders and successive owners of one rack, with messages that may be late or lost."""

    def __init__(self, *, rng, slots):
        self.clock = ManualClock()
        self.rng = rng
        self.slots = slots
        self.granters = []
        self.used = {name: [] for name in "abc"}
        self.depth = 0
        self.grants = 0
        self.claim()
        self.holders = {
            name: make_holder(self.clock, lambda rack, msg, name=name: self.carry(name, msg))
            for name in self.used
        }

    def claim(self):
        """Makes a new owner; the session of the former one has ended before."""
        epoch = len(self.granters) + 1
        workers = make_workers(slots=self.slots) if self.rng.random() < 0.8 else []
        self.granters.append(
            make_granter(
                self.clock,
                epoch=epoch,
                workers=workers,
                is_owner=lambda: epoch == len(self.granters),
                tell=self.tell,
            )
        )

    def tell(self, name, message):
        """Delivers a notice, or loses it."""
        if self.rng.random() < 0.8:
            deliver(self.holders[name], message)

    def carry(self, name, ask):
        """Delivers an ask, perhaps to the former owner; other events may happen meanwhile."""
        plan = self.rng.choice(PLANS) if self.depth < 2 else "ok"
        if plan == "drop":
            raise PeerError("lost")
        if plan == "delay_ask":
            self.meanwhile()
        granter = self.granters[-2:][0] if self.rng.random() < 0.3 else self.granters[-1]
        reply = granter.answer(name, ask)
        if plan == "delay_answer":
            self.meanwhile()
        if plan == "drop_answer":
            raise PeerError("answer lost")
        return reply

    def meanwhile(self):
        self.depth += 1
        for _ in range(self.rng.randint(1, 8)):
            self.play()
        self.depth -= 1

    def play(self):
        """Plays one random event and checks the permits of all holders."""
        event = self.rng.choice(EVENTS)
        name = self.rng.choice("abc")
        if self.rng.random() < 0.04:
            self.claim()
        elif event == "advance":
            self.clock.advance(seconds=self.rng.choice(ADVANCES_S))
        elif event == "step":
            self.holders[name].step()
        elif event == "want":
            permit = acquire_stepping(self.holders[name], self.clock)
            if permit is not None and permit.serial != UNOWNED_SERIAL:
                self.used[name].append(permit)
                self.grants += 1
        elif self.used[name]:
            self.holders[name].release(self.used[name].pop(), True)
        for granter in self.granters[-2:]:
            if self.rng.random() < 0.4:
                granter.update_workers(make_workers(slots=self.slots))
        live = [(p.worker, p.slot) for h in self.holders.values() for p in h.live()]
        assert len(live) == len(set(live)) and len(live) <= self.slots


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), slots=st.integers(1, 3))
def test_no_slot_is_ever_held_twice(seed, slots):
    """Guards against two live permits for a slot with pauses, lost answers, new owners."""
    world = World(rng=random.Random(seed), slots=slots)
    for _ in range(200):
        world.play()
    assert world.grants > 0


def acquire_stepping(holder, clock):
    """Acquires with all exchanges that become due driven inside the wait."""
    original = clock.wait_s

    def wait_s(event, timeout_s):
        clock.wait_s = original
        while holder.wake.is_set() and not event.is_set():
            holder.step()
        return event.is_set()

    clock.wait_s = wait_s
    try:
        return holder.acquire("draw", clock.now_s() + 0.001)
    finally:
        clock.wait_s = original


@pytest.mark.parametrize(
    ("fields", "granted"),
    [
        ({}, 1),
        ({"leaving": True}, 0),
        ({"services": frozenset({"other"})}, 0),
        ({"status_age_s": PERMIT_TTL_S}, 0),
    ],
)
def test_only_usable_workers_are_granted(fields, granted):
    """Guards against work for leaving, silent or unsuitable workers."""
    granter = make_granter(ManualClock(), workers=make_workers(**fields))
    assert len(granter.answer("a", make_ask(5)).permits) == granted


def test_ttl_is_reduced_by_the_age_of_the_status():
    """Guards against permits that outlive a worker's last sign of not leaving by over 3 s."""
    granter = make_granter(ManualClock(), workers=make_workers(status_age_s=2.0))
    assert {p.ttl_s for p in granter.answer("a", make_ask(1)).permits} == {1.0}


def test_leaving_ends_renewals():
    """Guards against renewing permits of a leaving worker."""
    granter = make_granter(ManualClock())
    held = granter.answer("a", make_ask(2)).permits
    granter.update_workers(make_workers(leaving=True))
    assert granter.answer("a", make_ask(held=held)).permits == ()


def test_new_owner_accepts_reported_permits_and_waits_with_others():
    """Guards against granting slots that a former owner's permits still use."""
    clock = ManualClock()
    first = make_granter(clock)
    held = first.answer("a", make_ask(1)).permits
    second = make_granter(clock, epoch=2)
    assert second.answer("b", make_ask(1)).permits == ()
    renewed = second.answer("a", make_ask(held=held)).permits
    assert [p.serial for p in renewed] == [p.serial for p in held]
    clock.advance(seconds=PERMIT_TTL_S)
    second.update_workers(make_workers())
    assert len(second.answer("b", make_ask(2)).permits) == 1


def test_new_owner_grants_reported_slots_once_they_are_returned():
    """Guards against a loss of capacity for seconds after each planned handover."""
    clock = ManualClock()
    held = make_granter(clock).answer("a", make_ask(1)).permits
    second = make_granter(clock, epoch=2)
    assert second.answer("a", make_ask(returned=held)).permits == ()
    assert second.answer("b", make_ask(1)).permits == ()
    second.answer("a", make_ask(held=held))
    second.answer("a", make_ask(returned=held))
    slots = [(p.worker, p.slot) for p in second.answer("b", make_ask(2)).permits]
    assert slots == [(p.worker, p.slot) for p in held]


def test_new_owner_without_status_does_not_revoke():
    """Guards against cutting all permits off in the moment after a claim."""
    clock = ManualClock()
    held = make_granter(clock).answer("a", make_ask(1)).permits
    reply = make_granter(clock, epoch=2, workers=[]).answer("a", make_ask(held=held))
    assert [p.ttl_s for p in reply.permits] == [0.0]


def test_former_owner_grants_nothing():
    """Guards against an answer of an instance whose session has ended."""
    granter = make_granter(ManualClock(), is_owner=lambda: False)
    assert granter.answer("a", make_ask(1)) == PermitReply(rack=RACK, is_owner=False)


@pytest.mark.parametrize(("askers", "slots"), [(2, 8), (3, 8), (9, 8), (5, 2)])
def test_nobody_hoards(askers, slots):
    """Guards against one asker that keeps renewing all slots while others get none."""
    clock = ManualClock()
    granter = make_granter(clock, workers=make_workers(slots=slots))
    held = {f"i{n}": () for n in range(askers)}
    turns = {name: 0 for name in held}
    for _ in range(200):
        granter.update_workers(make_workers(slots=slots))
        for name in held:
            reply = granter.answer(name, make_ask(slots, held=held[name]))
            held[name] = reply.permits
            turns[name] += len(reply.permits)
        clock.advance(seconds=0.1)
    assert min(turns.values()) > 0
    assert max(turns.values()) < 3 * min(turns.values())


def test_first_asker_leaves_slots_for_the_next():
    """Guards against one burst that takes all slots and leaves other instances waiting."""
    granter = make_granter(ManualClock(), workers=make_workers(slots=8))
    granted = [len(granter.answer(name, make_ask(64)).permits) for name in "abc"]
    assert min(granted) > 0


def test_black_hole_worker_is_avoided():
    """Guards against a worker that fails fast and so always looks the least loaded."""
    granter = make_granter(ManualClock(), workers=make_workers(2))
    replies = [granter.answer("a", make_ask(1, avoid=("w1",))) for _ in range(3)]
    assert [reply.permits[0].worker for reply in replies] == ["w0", "w0", "w1"]


def test_idle_permit_is_returned():
    """Guards against idle permits that block other instances."""
    clock = ManualClock()
    granter = make_granter(clock)
    holder = make_holder(clock, lambda rack, ask: granter.answer("a", ask))
    holder.release(acquire_stepping(holder, clock), True)
    clock.advance(seconds=PERMIT_IDLE_S)
    holder.step()
    assert (holder.held("draw"), granter.live_permits()) == (0, 0)


def test_idle_permit_is_returned_at_once_when_others_wait():
    """Guards against requests that wait while another instance holds idle permits."""
    clock = ManualClock()
    holders = {}
    granter = make_granter(
        clock,
        workers=make_workers(slots=1),
        tell=lambda name, msg: deliver(holders[name], msg),
    )
    for name in "ab":
        holders[name] = make_holder(clock, lambda rack, ask, name=name: granter.answer(name, ask))
    holders["a"].release(acquire_stepping(holders["a"], clock), True)
    # The first ask finds no free slot; the notices let the second one succeed without a pause.
    clock.wait_s = lambda event, timeout_s: [holders[name].step() for name in "bab"]
    start_s = clock.now_s()
    assert holders["b"].acquire("draw", start_s + 1.0) is not None
    assert clock.now_s() == start_s


def test_late_answer_does_not_revive_a_permit():
    """Guards against using a permit whose time ran out while its holder was paused."""
    clock = ManualClock()
    granter = make_granter(clock)

    def ask(rack, msg):
        reply = granter.answer("a", msg)
        clock.advance(seconds=PERMIT_TTL_S)
        return reply

    holder = make_holder(clock, ask)
    assert acquire_stepping(holder, clock) is None
    assert holder.held("draw") == 0


def test_unowned_mode_uses_each_probed_worker_once_and_ends_with_an_owner():
    """Guards against losing a rack's workers, or flooding them, while it has no owner."""
    clock = ManualClock()
    granter = make_granter(clock)
    owner_up = []

    def ask(rack, msg):
        if not owner_up:
            raise PeerError("no owner")
        return granter.answer("a", msg)

    probed = []

    def probe(route):
        probed.append(route.worker)
        return route.worker == "w0"

    holder = make_holder(clock, ask, probe=probe)
    permit = acquire_stepping(holder, clock)
    assert (permit.worker, permit.serial) == ("w0", UNOWNED_SERIAL)
    assert acquire_stepping(holder, clock) is None
    holder.release(permit, True)
    clock.advance(seconds=10.0)
    granter.update_workers(make_workers())
    owner_up.append(True)
    assert acquire_stepping(holder, clock).serial != UNOWNED_SERIAL
    assert set(probed) == {"w0", "w1"}


def make_two_racks(clock):
    """Returns a holder and the granters of a near and a far rack with one slot each."""
    near = make_granter(clock, workers=make_workers(slots=1))
    far = make_granter(clock, workers=make_workers(slots=1))
    racks = {"near": near, "far": far}

    def ask(rack, msg):
        reply = racks[rack].answer("a", msg)
        return attrs.evolve(reply, permits=tuple(attrs.evolve(p, rack=rack) for p in reply.permits))

    holder = make_holder(clock, ask)
    route = WorkerRoute(worker="w0", data="10.0.0.0:80", services=frozenset({"draw"}))
    holder.update_racks(
        [RackRoute(rack=name, near=name == "near", workers=(route,)) for name in racks]
    )
    return holder, racks


def test_far_rack_serves_only_spill_over():
    """Guards against crossing the link while the local region has a free slot."""
    clock = ManualClock()
    holder, racks = make_two_racks(clock)
    assert acquire_stepping(holder, clock).rack == "near"
    assert racks["far"].live_permits() == 0
    assert acquire_stepping(holder, clock).rack == "far"


def test_permits_that_end_on_their_way_are_not_asked_for_without_pause():
    """Guards against a busy loop of asks while a worker's status is nearly too old."""
    clock = ManualClock()
    granter = make_granter(clock, workers=make_workers(status_age_s=PERMIT_TTL_S - 0.01))
    asks = []

    def ask(rack, msg):
        asks.append(msg)
        assert len(asks) < 10
        reply = granter.answer("a", msg)
        clock.advance(seconds=0.02)
        granter.update_workers(make_workers(status_age_s=PERMIT_TTL_S - 0.01))
        return reply

    assert acquire_stepping(make_holder(clock, ask), clock) is None
    assert len(asks) == 1


def test_equal_serials_of_two_racks_are_distinct():
    """Guards against releasing another rack's permit: owners count alike."""
    clock = ManualClock()
    holder, _ = make_two_racks(clock)
    permits = [acquire_stepping(holder, clock) for _ in range(2)]
    assert permits[0].serial == permits[1].serial
    for permit in permits:
        holder.release(permit, True)
    assert holder.held("draw") == 2


def test_permit_of_a_removed_rack_is_not_used():
    """Guards against new requests in a zone that was taken out of service."""
    clock = ManualClock()
    holder, _ = make_two_racks(clock)
    holder.release(acquire_stepping(holder, clock), True)
    holder.update_racks([])
    assert acquire_stepping(holder, clock) is None


def test_failing_exchange_does_not_block_later_ones():
    """Guards against a rack that is never asked again after one unexpected error."""
    clock = ManualClock()
    granter = make_granter(clock)
    faults = [OSError("fault")]

    def ask(rack, msg):
        if faults:
            raise faults.pop()
        return granter.answer("a", msg)

    holder = make_holder(clock, ask)
    with pytest.raises(OSError, match="fault"):
        acquire_stepping(holder, clock)
    assert acquire_stepping(holder, clock) is not None


@pytest.mark.parametrize(
    ("offered", "returned", "after_s", "in_use"),
    [
        (False, True, 0.0, False),
        (False, False, 0.0, True),
        (False, False, PERMIT_TTL_S + LONGEST_REQUEST_S - 0.1, True),
        (False, False, PERMIT_TTL_S + LONGEST_REQUEST_S + 0.1, False),
        (False, True, PERMIT_TTL_S + 0.1, False),
    ],
)
def test_a_service_is_in_use_until_its_permits_are_back(offered, returned, after_s, in_use):
    """Guards against stopping a replica that still answers requests."""
    clock = ManualClock()
    granter = make_granter(clock)
    held = granter.answer("a", make_ask(2)).permits
    if not offered:
        granter.update_workers(make_workers(services=frozenset()))
    clock.advance(seconds=after_s)
    if returned:
        granter.answer("a", make_ask(returned=held))
    assert granter.may_be_in_use("w0", "draw") is in_use
    assert granter.may_be_in_use("w0", "other") is False


def test_a_late_return_ends_the_use():
    """Guards against waiting for a request that ended after its permit."""
    clock = ManualClock()
    granter = make_granter(clock)
    held = granter.answer("a", make_ask(1)).permits
    granter.update_workers(make_workers(leaving=True))
    clock.advance(seconds=PERMIT_TTL_S + 1.0)
    assert granter.may_be_in_use("w0", "draw")
    granter.answer("a", make_ask(returned=held))
    assert not granter.may_be_in_use("w0", "draw")


def test_a_new_owner_takes_everything_for_in_use_at_first():
    """Guards against stopping replicas that a predecessor's permits still use."""
    clock = ManualClock()
    granter = make_granter(clock, epoch=2, workers=[])
    assert granter.may_be_in_use("w0", "draw")
    clock.advance(seconds=PERMIT_TTL_S + LONGEST_REQUEST_S - 0.1)
    assert granter.may_be_in_use("w0", "draw")
    clock.advance(seconds=0.1)
    assert not granter.may_be_in_use("w0", "draw")
