"""Who leads: claims, planned handovers, and what an unfinished claim leaves behind."""

import random
import threading
import time

import attrs
import pytest

from fescuerudder.clock import SystemClock
from fescuerudder.jobs.claim import Claim, Heartbeat, dump, load_claim, load_heartbeat
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.leadership import (
    ASKED_S,
    HANDOVER_S,
    LOOK_S,
    MAX_RANK_S,
    WATCH_S,
    Leadership,
)
from fescuerudder.jobs.rows import RowsTxn
from fescuerudder.jobs.storage import CLAIM, HEARTBEAT
from standins.rows import MemoryRowStore
from tests.jobs.test_links import FakeConfig, wait_until


@attrs.define
class FakeFollowerLink:
    """What an instance hears of another leader: nothing, unless it is told so."""

    is_fresh: bool = False
    refused: bool = True
    pulse_s: float | None = None
    followed: list = attrs.Factory(list)

    @property
    def is_suspect(self):
        return not self.is_fresh

    def follow(self, claim):
        self.followed.append(claim)


@attrs.define
class FakeLeaderLink:
    """Followers of this instance; `claims` is called for each that is asked to claim."""

    followers: list = attrs.Factory(list)
    claims: object = lambda name: None
    asked: list = attrs.Factory(list)

    def activate(self, source):
        pass

    def deactivate(self):
        pass

    def find_successor(self, *, asked=()):
        return next((name for name in self.followers if name not in asked), None)

    def ask_to_claim(self, name, *, epoch):
        self.asked.append(name)
        self.claims(name)


class FakeTerm:
    """A term that does nothing."""

    def __init__(self, claim, version):
        self.claim, self.version = claim, version
        self.lost = threading.Event()
        self.unconfirmed_s = 0.0
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


def test_a_claim_counts_no_waiting_jobs():
    """Guards against "none waits" from a heartbeat that was written before anybody counted."""
    rows = MemoryRowStore()
    old = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
    beat = Heartbeat(epoch=4, count=9, pending={"q": 6})
    rows.write(RowsTxn(puts=((CLAIM, dump(old)), (HEARTBEAT, dump(beat)))), timeout_s=1.0)
    leadership = make_leadership(rows)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        claim = load_claim(rows.get(CLAIM).value)
        assert (claim.epoch, claim.instance) == (5, "me")
        assert load_heartbeat(rows.get(HEARTBEAT).value).pending is None
    assert load_claim(rows.get(CLAIM).value).released
    assert load_heartbeat(rows.get(HEARTBEAT).value).pending is None


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
    """Guards against seconds without a leader after a handover to an instance that died."""
    rows, terms = MemoryRowStore(), []
    link = FakeLeaderLink(followers)

    def claim(name):
        if name == claimant:
            terms[0].lost.set()

    link.claims = claim
    leadership = make_leadership(rows, leader_link=link, terms=terms)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        started_s = SystemClock().now_s()
        leadership.step_down()
    assert link.asked == asked
    assert SystemClock().now_s() - started_s < (len(asked) + 1) * HANDOVER_S + 0.5
    assert load_claim(rows.get(CLAIM).value).released is (claimant == "")


@pytest.mark.parametrize(
    ("unconfirmed_s", "store_age_s", "is_asked"),
    [(1.5, 1.5, True), (1.5, 0.4, False), (0.4, 1.5, False)],
)
def test_a_leader_asks_a_successor_only_if_the_store_turns_it_away(
    unconfirmed_s, store_age_s, is_asked
):
    """Guards against handovers to and fro while the store is slow for everybody."""
    rows, terms, link = MemoryRowStore(), [], FakeLeaderLink(["a"])
    leadership = make_leadership(rows, leader_link=link, terms=terms, store_age_s=store_age_s)
    with leadership:
        wait_until(lambda: leadership.term is not None)
        terms[0].unconfirmed_s = unconfirmed_s
        time.sleep(0.3)
        assert link.asked == (["a"] if is_asked else [])
        terms[0].lost.set()


@pytest.mark.parametrize(("outage_s", "claims"), [(0.3, True), (ASKED_S + 0.5, False)])
def test_a_follower_that_was_asked_long_ago_claims_no_more(outage_s, claims):
    """Guards against a healthy leader replaced at the end of an outage of the store."""
    rows = MemoryRowStore()
    other = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
    beat = Heartbeat(epoch=4, count=9, pending={})
    rows.write(RowsTxn(puts=((CLAIM, dump(other)), (HEARTBEAT, dump(beat)))), timeout_s=1.0)
    rows.faults.down = True
    link = FakeFollowerLink(is_fresh=True, refused=False, pulse_s=SystemClock().now_s() + 60)
    with make_leadership(rows, follower_link=link) as leadership:
        leadership.claim_now(4)
        time.sleep(outage_s)
        rows.faults.down = False
        time.sleep(0.6)
        assert (leadership.term is not None) is claims


def test_a_follower_of_a_live_leader_goes_on_looking_at_the_store():
    """Guards against followers that can't tell whether they would do as successors."""
    rows = MemoryRowStore()
    other = Claim(epoch=4, instance="other", address="127.0.0.1:2", key="k")
    beat = Heartbeat(epoch=4, count=9, pending={})
    rows.write(RowsTxn(puts=((CLAIM, dump(other)), (HEARTBEAT, dump(beat)))), timeout_s=1.0)
    link = FakeFollowerLink(is_fresh=True, refused=False, pulse_s=SystemClock().now_s() + 60)
    with make_leadership(rows, follower_link=link) as leadership:
        time.sleep(2 * LOOK_S + WATCH_S + 0.1)
        assert rows.reads >= 3
        assert leadership.rank_s < MAX_RANK_S
        assert leadership.term is None


def test_a_configuration_that_comes_while_a_term_loads_is_not_missed():
    """Guards against a leader that starts nothing all day because it never heard of a queue.

    The first manifest came after the term had looked for one, and before anybody knew of the term.
    """
    rows, terms, config = MemoryRowStore(), [], FakeConfig()
    newer = ConfigView(version=7)

    def take():
        config.view = newer

    leadership = make_leadership(rows, terms=terms, config=config, while_loading=take)
    with leadership:
        wait_until(lambda: leadership.term is not None and terms[0].views)
        assert terms[0].views[-1] is newer
