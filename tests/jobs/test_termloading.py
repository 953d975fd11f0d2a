"""A load that takes longer than followers wait keeps the leadership; one that stalls loses it."""

import threading
import time

import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.clock import ManualClock, SystemClock
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.claim import Claim, Heartbeat, dump_row, load_claim, load_heartbeat
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leadership import HEARTBEAT_TIMEOUT_S
from fescuerudder.jobs.leaderwriter import LeadershipLostError, LeaderWriter
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.scheduler import Scheduler
from fescuerudder.jobs.schedulerstate import Term
from fescuerudder.jobs.storage import CLAIM_KEY, HEARTBEAT_KEY, LEADER_TABLE
from fescuerudder.jobs.termloading import LOAD_HEARTBEAT_S, LOAD_STALL_S, TermLoader
from standins.rows import MemoryRowStore
from tests.jobs.link_simulation import wait_until
from tests.jobs.test_leadership import FakeLeaderLink, make_leadership

EPOCH = 3
LEASES = LeasePolicy(
    lease_s=5.0,
    confirmed_s=lambda: 0.0,
    answered_s=lambda: 0.0,
    bounded_s=lambda: 0.0,
)


class SlowStore(MemoryRowStore):
    """A store whose partitions take some time to read, but for the leader's own rows."""

    def __init__(self, read_s=0.0):
        super().__init__()
        self.read_s = read_s
        self.on_read = lambda: None

    def read(self, *, table, **kwargs):
        if table != LEADER_TABLE:
            self.on_read()
            time.sleep(self.read_s)
        return super().read(table=table, **kwargs)


def claim_in(store, *, starts_recorded=True):
    """Stores the claim and heartbeat of a new term; returns its version."""
    claim = Claim(epoch=EPOCH, instance="n", address="", key="")
    beat = Heartbeat(epoch=EPOCH, count=0, starts_recorded=starts_recorded)
    puts = ((CLAIM_KEY, dump_row(claim)), (HEARTBEAT_KEY, dump_row(beat)))
    return claim, store.write(RowTransaction(puts=puts), timeout_s=1)


def make_loader(store, clock, *, starts_recorded=True):
    claim, version = claim_in(store, starts_recorded=starts_recorded)
    writer = LeaderWriter(store=store, clock=clock, claim=claim, claim_version=version)
    scheduler = Scheduler(
        term=Term(epoch=EPOCH, claim_version=version),
        clock=clock,
        wall_ms=lambda: 0.0,
        leases=LEASES,
    )
    return TermLoader(store=store, clock=clock, wall_ms=lambda: 0.0, writer=writer), scheduler


def beat_of(store):
    return load_heartbeat(store.get(HEARTBEAT_KEY).value)


@pytest.mark.parametrize("starts_recorded", [False, True])
def test_heartbeats_are_stored_while_a_load_goes_on(starts_recorded):
    """Guards against a claim of another instance during each long load, so that none ever ends."""
    store = SlowStore(read_s=HEARTBEAT_TIMEOUT_S / 2)
    loader, scheduler = make_loader(store, SystemClock(), starts_recorded=starts_recorded)
    with loader:
        loaded = loader.load(scheduler, ConfigView())
        assert loader.is_loading and not loader.is_stalled
    loader.prepare_writer(loaded, scheduler)
    beat = beat_of(store)
    # 19 partitions in 8 threads take three times as long as one.
    assert beat.count >= int(HEARTBEAT_TIMEOUT_S / LOAD_HEARTBEAT_S) and beat.pending is None
    # Both a successor and the load itself learn from it what the claim said.
    assert beat.starts_recorded is starts_recorded
    assert loaded.starts.is_complete is starts_recorded
    assert not loader.is_loading


def test_a_load_without_progress_stores_no_heartbeats():
    """Guards against a leader that loads for good while no other instance claims."""
    clock, store = ManualClock(start_s=10.0), MemoryRowStore()
    loader, _ = make_loader(store, clock)
    loader._watch.is_loading = True
    loader.store_heartbeat()
    assert beat_of(store).count == 1
    clock.advance(seconds=LOAD_STALL_S + 0.1)
    loader.store_heartbeat()
    assert loader.is_stalled and beat_of(store).count == 1
    loader._watch.advance()
    loader.store_heartbeat()
    assert not loader.is_stalled and beat_of(store).count == 2


def test_a_load_ends_once_another_instance_has_claimed():
    """Guards against an instance that goes on loading for a term that is over."""
    store = SlowStore(read_s=0.3)
    loader, scheduler = make_loader(store, SystemClock())
    is_claimed = threading.Event()

    def claim_once():
        if not is_claimed.is_set():
            is_claimed.set()
            claim_in(store)

    store.on_read = claim_once
    with loader, pytest.raises(StoreUnavailableError, match="leadership lost"):
        loader.load(scheduler, ConfigView())
    with pytest.raises(LeadershipLostError):
        loader.store_heartbeat()


def test_no_bound_on_leases_is_stored_while_loading():
    """Guards against a bound of this term that hides the one of the leader before it."""
    sim = JobSimulation()
    sim.submit()
    first = sim.claim("a")
    sim.run(3.0)
    first.alive = False
    claimed = load_claim(sim.store.get(CLAIM_KEY).value).epoch
    assert claimed == 1
    second = sim.claim("b")
    writer = LeaderWriter(
        store=sim.store,
        clock=sim.clock,
        claim=load_claim(sim.store.get(CLAIM_KEY).value),
        claim_version=sim.store.get(CLAIM_KEY).version,
    )
    loader = TermLoader(store=sim.store, clock=sim.clock, wall_ms=lambda: 0.0, writer=writer)
    for _ in range(5):
        loader.store_heartbeat()
        sim.clock.advance(seconds=LOAD_HEARTBEAT_S)
    loaded = loader.load(second.scheduler, ConfigView())
    assert loaded.leases_until_ms is not None


def test_followers_connect_while_the_leader_loads():
    """Guards against followers that are refused by a loading leader, and claim in its place."""
    events = []

    class RecordingLink(FakeLeaderLink):
        def activate(self, source):
            events.append("link")

    leadership = make_leadership(
        MemoryRowStore(),
        leader_link=RecordingLink(),
        while_loading=lambda: events.append("load"),
    )
    with leadership:
        wait_until(lambda: leadership.term is not None)
    assert events[:2] == ["link", "load"]


def test_pulses_go_on_while_the_leader_loads_and_end_if_it_stalls(links):
    """Guards against a leader that is taken for gone while it loads, or never if it stalls."""
    load = {"loading": True, "stalled": False}
    source = type(links.source)(
        claim=links.claim,
        states=dict,
        store=links.source.store,
        config=links.config,
        is_loading=lambda: load["loading"],
        is_stalled=lambda: load["stalled"],
    )
    links.leader.activate(source)
    follower = links.follow("a")
    wait_until(lambda: follower.is_connected and follower._is_loading)
    assert follower.pending is None
    states = {f"{number:016x}": JobState.RUNNING for number in range(5000)}
    links.leader.publish(states, {"q": 1})
    load["loading"] = False
    wait_until(lambda: follower._states.get(f"{4999:016x}") is JobState.RUNNING)
    assert follower.pending == {"q": 1} and not follower._is_loading
    load["stalled"] = True
    wait_until(lambda: not follower.is_connected)
