"""How a term sends orders to workers and writes to the store."""

import asyncio

import pykka
import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.errors import StoreOutcomeUnknownError
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.leader import MAX_ORDER_QUEUE_S, LeaderTerm
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.termevents import Answered, Silent
from fescuerudder.jobs.workerport import OrderAnswer, OrderResult, RenewOrder, StartOrder
from standins.rows import MemoryRowStore

START = StartOrder(
    worker="w",
    address="w:1",
    task=TaskId("00000000000000aa", 0, 0, 0),
    attempt=1,
    payload="",
    lease_until_ms=1,
    token=1,
)


EMPTY_BATCH = ProgressBatch(
    rows={},
    deletes=(),
    recorded={},
    starts_recorded=False,
    states={},
    serials={},
    ends={},
    pending={},
    knowledge=None,
    roster=None,
    late_starts=None,
    roster_incarnations={},
)


class FakeWorkers:
    """Starts everything."""

    def __init__(self):
        self.started = []

    async def start(self, order, *, timeout_s):
        self.started.append(order)
        return OrderAnswer(OrderResult.DONE)


def make_term(clock, metrics, *, store, workers=None):
    """Returns a term that was not entered: no thread of it runs."""
    return LeaderTerm(
        store=store,
        loop=None,
        workers=workers,
        advice=None,
        registry=None,
        clock=clock,
        wall_ms=lambda: 0.0,
        claim=Claim(epoch=1, instance="n", address="", key=""),
        claim_version=1,
        lease_s=5.0,
        view=ConfigView,
        publish=lambda states, pending: None,
        metrics=metrics,
    )


@pytest.mark.parametrize(
    ("queued_s", "result"),
    [
        (0.0, OrderResult.DONE),
        (1.0, OrderResult.DONE),
        (MAX_ORDER_QUEUE_S + 0.1, OrderResult.NOT_SENT),
    ],
)
def test_an_order_that_waited_too_long_is_not_sent(monkeypatch, queued_s, result):
    """Guards against starts from an outdated plan when the event loop was busy for a while.

    After a pause of a second, the starts that are due at once must not be dropped: they would be
    recorded and ordered again, which keeps the loop busy.
    """
    clock, workers, events = ManualClock(start_s=10.0), FakeWorkers(), []
    with JobMetrics(instance="n") as metrics:
        term = make_term(clock, metrics, store=MemoryRowStore(), workers=workers)
        monkeypatch.setattr(term, "_collect_event", events.append)
        asyncio.run(term._execute_order(START, clock.now_s() - queued_s))
    assert events[0].answer.result is result
    assert len(workers.started) == (result is OrderResult.DONE)


RENEW = RenewOrder(
    worker="w", address="w:1", token=1, acknowledged=0, lease_until_ms=None, wait_ms=0
)


class FailingWorkers:
    """A port whose calls raise an error that no port should raise."""

    async def start(self, order, *, timeout_s):
        raise OverflowError("port must be 0-65535")

    async def renew(self, order, *, timeout_s):
        raise OverflowError("port must be 0-65535")


@pytest.mark.parametrize(("order", "expected"), [(START, Answered), (RENEW, Silent)])
def test_an_order_that_fails_unexpectedly_counts_as_unanswered(monkeypatch, order, expected):
    """Guards against a task or a worker that waits forever for the answer to an order."""
    clock, events = ManualClock(start_s=10.0), []
    with JobMetrics(instance="n") as metrics:
        term = make_term(clock, metrics, store=MemoryRowStore(), workers=FailingWorkers())
        monkeypatch.setattr(term, "_collect_event", events.append)
        asyncio.run(term._execute_order(order, clock.now_s()))
    (event,) = events
    assert isinstance(event, expected)
    if expected is Answered:
        assert event.answer.result is OrderResult.UNKNOWN


def test_a_term_ends_with_its_scheduler(monkeypatch):
    """Guards against a leader that goes on, and asks in a loop, after its scheduler has ended."""
    clock = ManualClock(start_s=10.0)

    def raise_dead():
        raise pykka.ActorDeadError("the actor has ended")

    with JobMetrics(instance="n") as metrics:
        term = make_term(clock, metrics, store=MemoryRowStore())
        monkeypatch.setattr(term, "_next_batch", raise_dead)
        term._write()
    assert term.lost.is_set()


class ResettingStore:
    """A store that resets the connection of each call."""

    def __init__(self, clock):
        self._clock = clock
        self.calls_s = []
        self.on_call = lambda: None

    def write(self, txn, *, timeout_s):
        self.calls_s.append(self._clock.now_s())
        self.on_call()
        raise StoreOutcomeUnknownError("connection reset")


def test_a_store_that_resets_connections_is_asked_ever_less_often(monkeypatch):
    """Guards against a leader that spends an outage on writes whose connections are reset.

    Seen in the sealed incident of cwmtaf-wax: 552 writes in 4 s from an instance with 0.43 cores. A
    single lost answer is settled at once.
    """
    clock = ManualClock(start_s=10.0)
    store = ResettingStore(clock)
    with JobMetrics(instance="n") as metrics:
        term = make_term(clock, metrics, store=store)
        monkeypatch.setattr(term, "_next_batch", lambda: EMPTY_BATCH)
        store.on_call = lambda: (
            term._stopping.set() if clock.now_s() >= 14.0 or len(store.calls_s) > 1000 else None
        )
        term._write()
    assert store.calls_s[1] == store.calls_s[0]
    assert 10 <= len(store.calls_s) <= 30
    gaps = [later - at for at, later in zip(store.calls_s, store.calls_s[1:], strict=False)]
    assert gaps == sorted(gaps)
