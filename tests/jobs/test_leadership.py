"""Leader election: claims, planned handovers, and requests of a leader to claim."""

import random
import threading
import time

import attrs
import pytest

from fescuerudder.clock import SystemClock
from fescuerudder.jobs.claim import Claim, Heartbeat, dump_row, load_claim, load_heartbeat
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.leadership import (
    CLAIM_REQUEST_VALID_S,
    HANDOVER_TIMEOUT_S,
    HEARTBEAT_READ_INTERVAL_S,
    MAX_RANK_S,
    STEP_INTERVAL_S,
    Leadership,
)
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.storage import CLAIM_KEY, HEARTBEAT_KEY
from standins.rows import MemoryRowStore
from tests.jobs.link_simulation import FakeConfig, wait_until


@attrs.define
class FakeFollowerLink:
    """Link to a leader that has no pulses unless its fields say otherwise."""

    is_connected: bool = False
    refused: bool = True
    last_pulse_s: float | None = None
    followed: list = attrs.Factory(list)

    @property
    def is_suspect(self):
        return not self.is_connected

    def follow(self, claim):
        self.followed.append(claim)


@attrs.define
class FakeLeaderLink:
    """Link to followers given by id; calls `on_claim_request` with each that is asked to claim."""

    followers: list = attrs.Factory(list)
    store_age_s: float = 0.1
    on_claim_request: object = lambda name: None
    asked: list = attrs.Factory(list)

    def activate(self, source):
        pass

    def deactivate(self):
        pass

    def find_successor(self, *, asked=(), max_store_age_s=60.0):
        found = self.followers if self.store_age_s < max_store_age_s else []
        return next((name for name in found if name not in asked), None)

    def request_claim(self, name, *, epoch):
        self.asked.append(name)
        self.on_claim_request(name)


class FakeTerm:
    """A term that does nothing."""

    def __init__(self, claim, version):
        self.claim, self.version = claim, version
        self.lost = threading.Event()
        self.unconfirmed_s = 0.0
        self.starts_recorded = False
        self.is_loading = self.is_stalled = False
        self.while_loading = lambda: None
        self.views = []

    def __enter__(self):
        self.while_loading()
        return self

    def configure(self, view):
        self.views.append(view)

    def __exit__(self, *exc_info):
        pass

    def states(self):
        return {}


def make_leadership(
    rows,
    *,
    leader_link=None,
    follower_link=None,
    terms=None,
    store_age_s=0.0,
    config=None,
    while_loading=lambda: None,
):
    terms = [] if terms is None else terms

    def make_term(claim, version):
        terms.append(FakeTerm(claim, version))
        terms[-1].while_loading = while_loading
        return terms[-1]

    return Leadership(
        instance="me",
        address="127.0.0.1:1",
        store=rows,
        clock=SystemClock(),
        rng=random.Random(1),
        make_term=make_term,
        leader_link=leader_link or FakeLeaderLink(),
        follower_link=follower_link or FakeFollowerLink(),
        store_for_follower=lambda message: "stored",
        store_age_s=lambda: store_age_s,
        config=config or FakeConfig(),
    )


def test_a_claim_stores_no_count_of_waiting_jobs():
    """Guards against a count of zero from a heartbeat written before the new leader has counted."""
    rows = MemoryRowStore()
    old = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
    beat = Heartbeat(epoch=4, count=9, pending={"q": 6})
    rows.write(
        RowTransaction(puts=((CLAIM_KEY, dump_row(old)), (HEARTBEAT_KEY, dump_row(beat)))),
        timeout_s=1.0,
    )
    leadership = make_leadership(rows)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        claim = load_claim(rows.get(CLAIM_KEY).value)
        assert (claim.epoch, claim.instance) == (5, "me")
        assert load_heartbeat(rows.get(HEARTBEAT_KEY).value).pending is None
    assert load_claim(rows.get(CLAIM_KEY).value).released
    assert load_heartbeat(rows.get(HEARTBEAT_KEY).value).pending is None


@pytest.mark.parametrize(
    ("followers", "claimant", "asked"),
    [
        (["a", "b"], "a", ["a"]),
        (["a", "b"], "b", ["a", "b"]),
        (["a", "b"], "", ["a", "b"]),
        ([], "", []),
    ],
)
def test_a_planned_stop_asks_another_successor_if_the_first_does_not_claim(
    followers, claimant, asked
):
    """Guards against seconds without a leader after a handover to an instance that has crashed."""
    rows, terms = MemoryRowStore(), []
    link = FakeLeaderLink(followers)

    def claim(name):
        if name == claimant:
            terms[0].lost.set()

    link.on_claim_request = claim
    leadership = make_leadership(rows, leader_link=link, terms=terms)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        started_s = SystemClock().now_s()
        leadership.step_down()
    assert link.asked == asked
    assert SystemClock().now_s() - started_s < (len(asked) + 1) * HANDOVER_TIMEOUT_S + 0.5
    assert load_claim(rows.get(CLAIM_KEY).value).released is (claimant == "")


@pytest.mark.parametrize(
    ("unconfirmed_s", "store_age_s", "follower_age_s", "is_asked"),
    [
        (1.5, 1.5, 0.1, True),
        (1.5, 0.4, 0.1, False),
        (0.4, 1.5, 0.1, False),
        (1.5, 1.5, 1.3, False),
    ],
)
def test_a_leader_asks_a_successor_only_if_it_cannot_reach_the_store(
    unconfirmed_s, store_age_s, follower_age_s, is_asked
):
    """Guards against handovers back and forth while the store is slow for every instance.

    A follower that the store answered last when it answered the leader reaches it no better.
    """
    rows, terms, link = MemoryRowStore(), [], FakeLeaderLink(["a"], store_age_s=follower_age_s)
    leadership = make_leadership(rows, leader_link=link, terms=terms, store_age_s=store_age_s)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        terms[0].unconfirmed_s = unconfirmed_s
        time.sleep(0.3)
        assert link.asked == (["a"] if is_asked else [])
        terms[0].lost.set()


@pytest.mark.parametrize(
    ("outage_s", "is_claimed"), [(0.3, True), (CLAIM_REQUEST_VALID_S + 0.5, False)]
)
def test_an_expired_claim_request_is_ignored(outage_s, is_claimed):
    """Guards against a healthy leader being replaced at the end of a store outage.

    A follower that was asked to claim during the outage would claim once the store is back.
    """
    rows = MemoryRowStore()
    other = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
    beat = Heartbeat(epoch=4, count=9, pending={})
    rows.write(
        RowTransaction(puts=((CLAIM_KEY, dump_row(other)), (HEARTBEAT_KEY, dump_row(beat)))),
        timeout_s=1.0,
    )
    rows.faults.down = True
    link = FakeFollowerLink(
        is_connected=True, refused=False, last_pulse_s=SystemClock().now_s() + 60
    )
    with make_leadership(rows, follower_link=link) as leadership:
        leadership.claim_now(4)
        time.sleep(outage_s)
        rows.faults.down = False
        time.sleep(0.6)
        assert (leadership.term is not None) is is_claimed


def test_a_follower_of_a_live_leader_keeps_reading_the_heartbeat():
    """Guards against followers that don't know whether and how fast they reach the store."""
    rows = MemoryRowStore()
    other = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
    beat = Heartbeat(epoch=4, count=9, pending={})
    rows.write(
        RowTransaction(puts=((CLAIM_KEY, dump_row(other)), (HEARTBEAT_KEY, dump_row(beat)))),
        timeout_s=1.0,
    )
    link = FakeFollowerLink(
        is_connected=True, refused=False, last_pulse_s=SystemClock().now_s() + 60
    )
    with make_leadership(rows, follower_link=link) as leadership:
        time.sleep(2 * HEARTBEAT_READ_INTERVAL_S + STEP_INTERVAL_S + 0.1)
        assert rows.reads >= 3
        assert leadership.rank_s < MAX_RANK_S
        assert leadership.term is None


def test_a_configuration_change_while_a_term_loads_is_applied():
    """Guards against a leader that never starts the jobs of a queue which it doesn't know.

    The first manifest arrives after the loading term has read the configuration and before
    changes are sent to that term.
    """
    rows, terms, config = MemoryRowStore(), [], FakeConfig()
    newer = ConfigView(version=7)

    def change_config():
        config.view = newer

    leadership = make_leadership(rows, terms=terms, config=config, while_loading=change_config)
    with leadership:
        wait_until(lambda: leadership.term is not None and terms[0].views)
        assert terms[0].views[-1] is newer


CLAIM = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
BEAT = Heartbeat(epoch=4, count=9)
ODD_ROWS = {"nested": b"[" * 100_000, "empty": b"", "huge": b'{"epoch": 1e300, "count": 1}'}


@pytest.mark.parametrize("data", ODD_ROWS.values(), ids=ODD_ROWS)
@pytest.mark.parametrize(
    ("odd_key", "epoch"), [(HEARTBEAT_KEY, 5), (CLAIM_KEY, 5)], ids=["heartbeat", "claim"]
)
def test_an_odd_row_of_the_leader_keeps_nobody_from_claiming(odd_key, epoch, data):
    """Guards against a system without a leader, or with one whose tokens all workers refuse."""
    rows = MemoryRowStore()
    puts = {CLAIM_KEY: dump_row(CLAIM), HEARTBEAT_KEY: dump_row(BEAT), odd_key: data}
    rows.write(RowTransaction(puts=tuple(puts.items())), timeout_s=1.0)
    leadership = make_leadership(rows)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        assert load_claim(rows.get(CLAIM_KEY).value).epoch == epoch
