"""Records of keyed requests: nothing runs twice, whatever the store does."""

import itertools
from concurrent.futures import Future

import attrs
import pytest
from result import Err, Ok

from fescuerudder.errors import PlatformError, StoreUnavailableError
from fescuerudder.idempotency import Begun, IdempotencyRecords, Replay
from fescuerudder.upstream import Answer, Request
from tests.fakes import FakeTable

REQ = Request(
    service="proof", method="POST", target="/proof/x", body=b"1", deadline_s=9.0, trace_id="t"
)
ANSWER = Answer(status=201, headers=(("ETag", "a"),), body=b"done")


class DirectCommitter:
    """Commits each transaction at once, without resolving lost answers."""

    def __init__(self, table):
        self._table = table

    def commit(self, txn):
        try:
            return Ok(self._table.transact(txn))
        except PlatformError as exc:
            return Err(exc)

    def submit(self, txn):
        fut = Future()
        fut.set_result(self.commit(txn))
        return fut


def make_records(table, *, live=("a", "b"), instance="a"):
    ids = itertools.count()
    return IdempotencyRecords(
        table=table,
        committer=DirectCommitter(table),
        is_live=lambda name, incarnation: name in live,
        instance=instance,
        incarnation=lambda: "1",
        new_id=lambda: f"{instance}{next(ids)}",
    )


def begin(table):
    return make_records(table).begin(REQ, "k").ok_value


@pytest.mark.parametrize(
    ("end", "live", "status", "outcome", "state"),
    [
        ("none", "ab", 409, "unknown", "in_progress"),
        ("none", "b", 409, "unknown", None),
        ("unknown", "ab", 409, "unknown", None),
        ("large", "ab", 409, "unknown", "finished"),
        ("other body", "ab", 422, "not_run", None),
    ],
)
def test_repeated_request_is_refused(end, live, status, outcome, state):
    """Guards against running a request twice, and against a false 'not run'."""
    table = FakeTable()
    first = make_records(table)
    begun = first.begin(REQ, "k").ok_value
    if end == "unknown":
        first.mark_unknown(begun)
    elif end == "large":
        first.finish(begun, attrs.evolve(ANSWER, body=b"x" * 16385))
    req = attrs.evolve(REQ, body=b"2") if end == "other body" else REQ
    error = make_records(table, live=live, instance="b").begin(req, "k").err_value
    assert (error.status, error.outcome) == (status, outcome)
    assert error.details.get("state") == state


def test_finished_request_is_replayed_at_any_instance():
    """Guards against losing the answer to a caller whose connection broke."""
    table = FakeTable()
    first = make_records(table)
    first.finish(first.begin(REQ, "k").ok_value, ANSWER)
    replay = make_records(table, live="", instance="b").begin(REQ, "k").ok_value
    assert isinstance(replay, Replay)
    assert (replay.answer.status, replay.answer.body) == (201, b"done")
    assert replay.answer.headers == (("ETag", "a"), ("Idempotency-Replayed", "true"))


def test_request_that_did_not_run_may_run_later():
    """Guards against blocking a key whose request never ran."""
    table = FakeTable()
    first = make_records(table)
    first.abandon(first.begin(REQ, "k").ok_value)
    assert isinstance(make_records(table, instance="b").begin(REQ, "k").ok_value, Begun)


def test_store_down_refuses_as_not_run():
    """Guards against running a keyed request without its record."""
    table = FakeTable()
    table.down = True
    error = make_records(table).begin(REQ, "k").err_value
    assert (error.status, error.outcome) == (503, "not_run")


@pytest.mark.parametrize("end", ["finish", "mark_unknown", "abandon"])
@pytest.mark.parametrize("fault", ["down", "lose_answers", "drop_writes"])
def test_completion_survives_store_faults(end, fault):
    """Guards against records that stay 'started' because the store failed once."""
    table = FakeTable()
    records = make_records(table)
    begun = records.begin(REQ, "k").ok_value
    setattr(table, fault, 1)
    getattr(records, end)(*([begun, ANSWER] if end == "finish" else [begun]))
    table.down = False
    for _ in range(2):
        records.flush()
    assert records.pending() == 0
    rows = table.read(keys=(begun.key,))
    states = [row.value["state"] for row in rows]
    assert states == {"finish": ["finished"], "mark_unknown": ["unknown"], "abandon": []}[end]


@pytest.mark.parametrize("end", ["finish", "mark_unknown"])
def test_completion_does_not_wait_for_the_store_and_nothing_runs_meanwhile(end):
    """Guards against slow answers while the store is slow, and against a second run."""
    table = FakeTable()
    records = make_records(table)
    begun = records.begin(REQ, "k").ok_value
    fut = Future()
    records._committer.submit = lambda txn: fut
    getattr(records, end)(*([begun, ANSWER] if end == "finish" else [begun]))
    error = make_records(table, instance="b").begin(REQ, "k").err_value
    assert error.details == {"state": "in_progress"}
    fut.set_result(Err(StoreUnavailableError("down")))
    records.flush()
    res = make_records(table, instance="b").begin(REQ, "k")
    assert isinstance(res, Ok if end == "finish" else Err)


def test_creation_with_a_lost_answer_is_recognised():
    """Guards against refusing a request because of its own record."""
    table = FakeTable()
    table.lose_answers = 1
    assert isinstance(begin(table), Begun)


def test_creation_that_arrives_late_does_not_block_the_key():
    """Guards against a key that stays 'in progress' though nothing ran."""
    table = FakeTable()
    records = make_records(table)
    sent = []
    table.before_transact = sent.append
    table.drop_writes = 1
    assert records.begin(REQ, "k").err_value.outcome == "not_run"
    table.transact(sent[0])
    records.flush()
    assert isinstance(begin(table), Begun)


def test_racing_creations_have_one_winner():
    """Guards against two instances that both run the request."""
    table = FakeTable()
    table.before_transact = lambda txn: make_records(table, instance="b").begin(REQ, "k")
    error = make_records(table).begin(REQ, "k").err_value
    assert (error.status, error.details) == (409, {"state": "in_progress"})
