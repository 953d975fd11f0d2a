"""Replica rows follow the documents."""

from random import Random

import attrs

from fescuerudder import rendezvous
from fescuerudder.document import ServiceDocument, Size
from fescuerudder.replicas import ReplicaController
from tests.rack_simulation import FakeCommitter, World

DOC = ServiceDocument(
    name="entry", team="t", kind="latency-critical", size=Size(processors=1), replicas=3
)


def make_keeper(world, instance):
    return ReplicaController(
        instance=instance,
        live=lambda: ["A", "C"],
        table=world.table,
        committer=FakeCommitter(table=world.table),
        view=world.instances["C"].view,
        summaries=world.summaries,
        clock=world.clock,
        rng=Random(3),
        wall_s=world.clock.now_s,
        new_id=world.new_id,
    )


def test_replicas_are_created_ended_and_queued_again():
    world = World(services=[DOC])
    keepers = [make_keeper(world, name) for name in ("A", "C")]

    def run(replicas):
        world.config.services["entry"] = attrs.evolve(DOC, replicas=replicas)
        for _ in range(30):
            world.advance(0.5)
            for keeper in keepers:
                keeper.step()
        return sorted(a.task for w in world.workers.values() for a in w.running())

    assert run(3) == ["entry.0", "entry.1", "entry.2"]
    assert run(1) == ["entry.0"]
    assert run(2) == ["entry.0", "entry.1"]
    world.check()


def test_choice_moves_only_what_the_lost_instance_had():
    names = ["A", "B", "C", "D"]
    before = {key: rendezvous.first(nodes=names, key=str(key)) for key in range(50)}
    after = {key: rendezvous.first(nodes=names[:3], key=str(key)) for key in range(50)}
    assert {before[k] for k in before if before[k] != after[k]} == {"D"}
    assert rendezvous.first(nodes=[], key="x") is None
