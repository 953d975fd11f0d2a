"""Replicas are created and ended as the service documents state."""

from random import Random

import attrs

from fescuerudder import rendezvous
from fescuerudder.document import ServiceDocument, Size
from fescuerudder.replicas import ReplicaController
from tests.rack_simulation import FakeCommitter, RackSimulation

DOC = ServiceDocument(
    name="entry", team="t", kind="latency-critical", size=Size(processors=1), replicas=3
)


def make_controller(sim, instance):
    return ReplicaController(
        instance=instance,
        live=lambda: ["A", "C"],
        table=sim.table,
        committer=FakeCommitter(table=sim.table),
        view=sim.instances["C"].view,
        summaries=sim.summaries,
        clock=sim.clock,
        rng=Random(3),
        wall_s=sim.clock.now_s,
        new_id=sim.new_id,
    )


def test_replicas_are_created_ended_and_queued_again():
    sim = RackSimulation(services=[DOC])
    controllers = [make_controller(sim, name) for name in ("A", "C")]

    def run(replicas):
        sim.config.services["entry"] = attrs.evolve(DOC, replicas=replicas)
        for _ in range(30):
            sim.advance(0.5)
            for controller in controllers:
                controller.step()
        return sorted(a.task for w in sim.workers.values() for a in w.running())

    assert run(3) == ["entry.0", "entry.1", "entry.2"]
    assert run(1) == ["entry.0"]
    assert run(2) == ["entry.0", "entry.1"]
    sim.check()


def test_only_keys_of_a_lost_instance_move():
    names = ["A", "B", "C", "D"]
    before = {key: rendezvous.first(nodes=names, key=str(key)) for key in range(50)}
    after = {key: rendezvous.first(nodes=names[:3], key=str(key)) for key in range(50)}
    assert {before[k] for k in before if before[k] != after[k]} == {"D"}
    assert rendezvous.first(nodes=[], key="x") is None
