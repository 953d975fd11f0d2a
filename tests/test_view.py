"""A view never goes back, and is fresh only for a time after a reading was sent."""

import random

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.configuration import Configurator
from fescuerudder.document import parse_document
from fescuerudder.table import Put, Transaction
from fescuerudder.view import ViewKeeper
from tests.fakes import FakeTable

DOC = parse_document({"name": "draw", "team": "t", "kind": "batch", "size": {"processors": 1}})


class World:
    def __init__(self):
        self.table, self.clock = FakeTable(), ManualClock(start_s=10.0)
        self.view = ViewKeeper(table=self.table, clock=self.clock)
        self.changes = Configurator(
            instance="e1",
            table=self.table,
            view=self.view,
            clock=self.clock,
            rng=random.Random(1),
        )


@pytest.fixture
def world():
    return World()


def test_freshness_counts_from_the_sending(world):
    assert not world.view.is_fresh()
    read = world.table.read

    def slow_read(**query):
        world.clock.advance(seconds=1.0)
        return read(**query)

    world.table.read = slow_read
    assert world.view.poll()
    # The head was read first; the reading of all rows was sent after that.
    assert world.view.current().sent_at_s == 11.0
    assert world.view.poll() and world.view.current().sent_at_s == 12.0
    world.clock.advance(seconds=0.6)
    assert not world.view.is_fresh()


def test_an_outage_ends_freshness_but_keeps_the_view(world):
    world.changes.put_zone("z1", "out", "op")
    assert world.view.poll()
    world.table.down = True
    world.clock.advance(seconds=1.6)
    assert not world.view.poll() and not world.view.is_fresh()
    assert world.view.current().zones == {"z1": "out"}


def test_a_late_older_reading_is_ignored(world):
    world.changes.put_zone("z1", "in", "op")
    read = world.table.read

    def overtaken(**query):
        rows = read(**query)
        if "prefixes" in query:
            world.table.read = read
            world.changes.put_zone("z1", "out", "op")
            assert world.view.poll()
        return rows

    world.table.read = overtaken
    assert not world.view.poll()
    assert world.view.current().revision == 2 and world.view.current().zones == {"z1": "out"}


@pytest.mark.parametrize("known", [True, False])
def test_a_malformed_row_keeps_the_last_good_one(world, known):
    world.changes.put_service(DOC)
    world.changes.put_zone("z1", "in", "op")
    assert not known or world.view.poll()
    bad = [("config/service/draw", {"document": {}}), ("config/zone/z1", {"state": "?"})]
    puts = [Put(key=k, value=v) for k, v in bad + [("config/head", {"revision": 9})]]
    world.table.transact(Transaction(puts=tuple(puts)))
    assert world.view.poll()
    view = world.view.current()
    assert view.revision == 9
    assert view.services == ({"draw": DOC} if known else {})
    assert view.zones == {"z1": "in" if known else "out"}


def test_a_replaced_drain_does_not_return_from_a_peer(world):
    """Guards against peers that bring a settled drain back, so that the zone stays out."""
    world.view.poll()
    notice = world.changes.provisional_out("z1", "op")
    assert world.changes.settle() and world.view.poll() and world.changes.settle()
    world.changes.put_zone("z1", "in", "op")
    assert world.view.poll()
    world.changes.merge(notice)
    assert world.changes.notices() == [] and world.changes.zones_out() == frozenset()
