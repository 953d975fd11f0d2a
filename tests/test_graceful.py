"""Planned stops of replicas cut off no request; replicas are spread and replaced."""

from collections import Counter
from random import Random

import attrs
import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.document import ServiceDocument, Size
from fescuerudder.messages import PermitAsk
from fescuerudder.ownership_types import RackSummary
from fescuerudder.permits import LONGEST_REQUEST_S, PERMIT_TTL_S, PermitGranter, WorkerSlots
from fescuerudder.rackchoice import choose_rack
from tests.rack_simulation import RackSimulation
from tests.test_replicas import make_controller

DOC = ServiceDocument(
    name="entry", team="t", kind="latency-critical", size=Size(processors=1), replicas=2
)
SLOTS = WorkerSlots(worker="w", data="d", slots=2, services=frozenset({"entry"}))


class ServingSimulation(RackSimulation):
    """Simulation with one replica in each zone; the one on rack r1 serves requests."""

    def __init__(self) -> None:
        super().__init__(services=[DOC])
        self.controllers = [make_controller(self, name) for name in ("A", "C")]
        self.run(10)
        self.serving = next(w for w in self.workers.values() if w.zone == "a" and w.running())
        self.in_use = {(self.serving.name, "entry")}

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.advance(0.5)
            for controller in self.controllers:
                controller.step()

    def is_published(self) -> bool:
        ups = [up for s in self.summaries() for up in s.upstreams]
        return any(up.worker == self.serving.name and "entry" in up.services for up in ups)

    def replicas(self) -> list[str]:
        return sorted(w.zone for w in self.workers.values() for a in w.running())


def withdraw(sim, reason):
    if reason == "zone":
        sim.set_zone("a", "out")
    elif reason == "leaving":
        sim.serving.leaving = True
    else:
        sim.config.services["entry"] = attrs.evolve(DOC, replicas=0)


@pytest.mark.parametrize("reason", ["zone", "leaving", "surplus"])
def test_replica_is_withdrawn_and_stops_after_its_requests(reason):
    """Guards against a stop that cuts off a request in progress."""
    sim = ServingSimulation()
    assert sim.is_published()
    withdraw(sim, reason)
    sim.run(10)
    assert not sim.is_published()
    assert len(sim.serving.running()) == 1
    sim.in_use.clear()
    sim.run(1)
    assert sim.serving.running() == []
    sim.check()


def test_idle_replica_stops_only_after_every_permit_ended():
    sim = ServingSimulation()
    sim.in_use.clear()
    sim.set_zone("a", "out")
    sim.run(PERMIT_TTL_S)
    assert len(sim.serving.running()) == 1
    sim.run(5)
    assert sim.serving.running() == []


def test_replica_with_requests_stops_after_the_bound():
    sim = ServingSimulation()
    sim.set_zone("a", "out")
    sim.run(LONGEST_REQUEST_S)
    assert len(sim.serving.running()) == 1
    sim.run(10)
    assert sim.serving.running() == []


def test_new_owner_begins_the_withdrawal_anew():
    """Guards against a new owner that counts its predecessor's wait and stops too early."""
    sim = ServingSimulation()
    sim.set_zone("a", "out")
    sim.run(3)
    sim.in_use.clear()
    sim.hand_over("A", "B", "r1")
    sim.run(PERMIT_TTL_S)
    assert len(sim.serving.running()) == 1
    sim.run(6)
    assert sim.serving.running() == []
    sim.check()


def test_withdrawal_ends_when_the_zone_returns():
    sim = ServingSimulation()
    sim.set_zone("a", "out")
    sim.advance(3)
    sim.set_zone("a", "in")
    sim.advance(3)
    assert sim.is_published()
    sim.check()


def test_withdrawal_waits_for_a_heartbeat():
    """Guards against a stop before instances without permits could read of the withdrawal."""
    sim = ServingSimulation()
    sim.in_use.clear()
    sim.set_zone("a", "out")
    sim.advance(1)
    sim.instances["A"].session.beat = lambda: None
    sim.advance(3.5)
    assert len(sim.serving.running()) == 1


def test_replacement_runs_before_the_leaving_replica_stops():
    sim = ServingSimulation()
    sim.set_zone("a", "out")
    sim.run(3)
    assert sim.replicas() == ["a", "b", "b"]
    sim.in_use.clear()
    sim.run(5)
    assert sim.replicas() == ["b", "b"]
    assert sim.witness.violations == []


def test_replicas_go_to_different_zones_then_racks():
    """Guards against the loss of most replicas of a service with one zone."""
    size = Size(processors=1)
    places = {"r1": "a", "r2": "a", "r3": "b", "r4": "b", "r5": "c"}
    summaries = [
        RackSummary(rack=rack, zone=zone, free=(size,), largest=(size,))
        for rack, zone in places.items()
    ]
    replica_counts: Counter[str] = Counter()
    for number in range(6):
        rack = choose_rack(
            size=size,
            zones=(),
            summaries=summaries,
            zone_states={},
            rng=Random(number),
            replica_counts=replica_counts,
        )
        replica_counts[rack] += 1
    assert replica_counts == {"r1": 1, "r2": 1, "r3": 1, "r4": 1, "r5": 2}


def test_crowded_replicas_move_one_by_one_without_a_gap():
    """Guards against a service that stays in one zone since the others joined later."""
    sim = RackSimulation(services=[DOC])
    for name in ("w3", "w2"):
        sim.workers[name].leaving = True
    sim.config.services["entry"] = attrs.evolve(DOC, replicas=3)
    controllers = [make_controller(sim, name) for name in ("A", "C")]

    def run(seconds):
        fewest = 9
        for _ in range(int(seconds * 2)):
            sim.advance(0.5)
            for controller in controllers:
                controller.step()
            running = [w.zone for w in sim.workers.values() for a in w.running()]
            fewest = min(fewest, len(running))
        return fewest, sorted(running)

    assert run(10)[1] == ["a", "a", "a"]
    for name in ("w3", "w2"):
        sim.workers[name].leaving = False
    assert run(60) == (3, ["a", "a", "b"])
    starts = sim.witness.starts
    assert run(120) == (3, ["a", "a", "b"])
    assert sim.witness.starts == starts
    sim.check()


class TestUse:
    """PermitGranter.may_be_in_use: whether a request to a worker may be in progress."""

    def setup_method(self):
        self.clock = ManualClock(start_s=0.0)
        self.is_complete = True
        self.granter = self.make(epoch=1)

    def make(self, *, epoch):
        granter = PermitGranter(
            rack="r", epoch=epoch, clock=self.clock, reaches_all=lambda: self.is_complete
        )
        granter.update_workers([SLOTS])
        return granter

    def ask(self, **fields):
        ask = PermitAsk(**{"rack": "r", "service": "entry", "wanted": 0, **fields})
        return self.granter.answer("A", ask).permits

    def in_use(self):
        return self.granter.may_be_in_use("w", "entry")

    def test_until_the_permit_is_returned(self):
        assert not self.in_use()
        permits = self.ask(wanted=1)
        assert self.in_use() and not self.granter.may_be_in_use("w", "other")
        self.clock.advance(seconds=PERMIT_TTL_S + 1)
        assert self.in_use(), "the permit expired while its request went on"
        self.ask(returned=permits)
        assert not self.in_use()

    def test_of_a_lost_holder_until_its_longest_request_ended(self):
        self.ask(wanted=1)
        self.clock.advance(seconds=PERMIT_TTL_S + LONGEST_REQUEST_S + 1)
        assert not self.in_use()

    def test_without_a_permit_as_the_holder_reports(self):
        self.ask(unowned=("w",))
        assert self.in_use()
        self.ask()
        assert not self.in_use()

    def test_is_unknown_after_a_claim_and_without_a_connection(self):
        self.granter = self.make(epoch=2)
        assert self.in_use()
        self.clock.advance(seconds=PERMIT_TTL_S + LONGEST_REQUEST_S)
        assert not self.in_use()
        self.is_complete = False
        assert self.in_use()
