"""An owner's deadline passes before any observer's, and a fenced session stays ended."""

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.session import (
    SESSION_TTL_S,
    SessionKeeper,
    SessionObserver,
    fencing,
    pack,
    unpack,
)
from fescuerudder.table import Put, Transaction
from tests.fakes import FakeTable


class World:
    """One keeper and one observer whose clocks differ."""

    def __init__(self):
        self.table = FakeTable()
        self.clock = ManualClock(start_s=0.0)
        self.other = ManualClock(start_s=5000.0)
        self.keeper = self.make_keeper()
        self.observer = SessionObserver(clock=self.other)

    def make_keeper(self):
        return SessionKeeper(
            instance="e1",
            zone="z",
            region="r",
            peer="127.0.0.1:1",
            http="127.0.0.1:2",
            table=self.table,
            clock=self.clock,
        )

    def pass_time(self, seconds):
        self.clock.advance(seconds=seconds)
        self.other.advance(seconds=seconds)

    def observe(self):
        self.observer.observe(self.table.read(prefixes=("session/",)))

    def lapse(self):
        """Observes without heartbeats until the session expires."""
        for _ in range(9):
            self.observe()
            self.pass_time(0.5)
        return self.observer.lapsed()["e1"]


@pytest.fixture
def world():
    return World()


def test_heartbeat_carries_summaries_and_state(world):
    assert not world.keeper.is_live()
    assert world.keeper.beat([{"rack": "a", "free": 3}])
    world.observe()
    assert world.observer.live()["e1"].summaries == [{"rack": "a", "free": 3}]
    world.keeper.start_draining()
    assert world.keeper.beat()
    world.observe()
    assert not world.observer.live() and "e1" in world.observer.draining()
    assert world.observer.is_live("e1", world.keeper.incarnation)
    assert not world.observer.is_live("e1", "an earlier run")


def test_session_counts_from_the_sending(world):
    world.table.before_transact = lambda _: world.pass_time(1.5)
    assert world.keeper.beat()
    assert world.keeper.last_live_s() == 0.0
    assert world.keeper.live_until_s == SESSION_TTL_S


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
def test_a_lost_answer_does_not_end_the_session(world, fault):
    assert world.keeper.beat()
    world.pass_time(1.0)
    setattr(world.table, fault, 1)
    assert not world.keeper.beat()
    assert world.keeper.last_live_s() == 0.0
    world.pass_time(1.0)
    assert world.keeper.beat()
    assert world.keeper.last_live_s() == 2.0 and not world.keeper.fenced


def test_a_fenced_session_refuses_a_late_heartbeat_and_rejoins(world):
    assert world.keeper.beat()
    old = world.keeper.incarnation
    lapsed = world.lapse()
    assert not world.keeper.is_live()
    world.table.before_transact = lambda _: world.table.transact(fencing(lapsed))
    assert not world.keeper.beat()
    assert world.keeper.fenced and not world.keeper.beat()
    world.keeper.rejoin()
    assert not world.keeper.is_live()
    assert world.keeper.beat() and world.keeper.is_live()
    assert world.keeper.incarnation != old


def test_fencing_fails_after_another_heartbeat(world):
    assert world.keeper.beat()
    lapsed = world.lapse()
    assert world.keeper.beat()
    with pytest.raises(Exception, match="checks failed"):
        world.table.transact(fencing(lapsed))


def test_a_restart_under_the_same_name_ends_the_earlier_run(world):
    assert world.keeper.beat()
    assert world.make_keeper().beat()
    assert not world.keeper.beat() and world.keeper.fenced


def test_a_fence_notice_counts_only_for_its_incarnation(world):
    assert world.keeper.beat()
    world.keeper.mark_fenced(incarnation="an earlier run")
    assert world.keeper.is_live()
    world.keeper.mark_fenced(incarnation=world.keeper.incarnation)
    assert not world.keeper.is_live()


def test_an_observer_does_not_count_a_gap_in_its_readings(world):
    """After a store outage or its own pause it would otherwise fence everyone at once."""
    assert world.keeper.beat()
    world.observe()
    world.pass_time(60.0)
    world.observe()
    assert "e1" in world.observer.live()
    assert world.observer.age_s("e1") == 60.0
    assert world.lapse()


def test_malformed_rows_are_skipped(world):
    puts = (Put(key="session/x", value={"beat": "?"}), Put(key="session/y", value={}))
    world.table.transact(Transaction(puts=puts))
    world.keeper.beat()
    world.observe()
    assert list(world.observer.sessions()) == ["e1"]


def test_packed_summaries_survive_and_damaged_ones_are_refused():
    summaries = [{"rack": "a", "free": [{"processors": 3.5}]}]
    assert unpack(pack(summaries)) == summaries
    with pytest.raises(ValueError, match="not compressed"):
        unpack("AAAA")
