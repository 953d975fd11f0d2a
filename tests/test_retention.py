"""Removal of old idempotency records."""

import pytest

from fescuerudder.retention import RETENTION_S, SWEEP_BATCH, SWEEP_DIGITS, RecordSweeper
from tests.fakes import FakeTable
from tests.test_idempotency import ANSWER, REQ, DirectCommitter, make_records

HOUR_S = 3600.0


def make_sweeper(table, *, now_s, live=("a",)):
    return RecordSweeper(
        instance="a",
        live=lambda: live,
        table=table,
        committer=DirectCommitter(table),
        wall_s=lambda: now_s,
    )


def sweep(table, **fields):
    sweeper = make_sweeper(table, **fields)
    return sum(sweeper.step() for _ in range(16**SWEEP_DIGITS))


@pytest.mark.parametrize(
    ("state", "age_s", "removed"),
    [
        ("finished", RETENTION_S + 1, 1),
        ("finished", RETENTION_S - HOUR_S, 0),
        ("started", 10 * RETENTION_S, 0),
        ("unknown", 10 * RETENTION_S, 0),
    ],
)
def test_only_finished_records_past_their_retention_are_removed(state, age_s, removed):
    """Guards against rows that pile up, and against a repeat that runs within a day."""
    table = FakeTable()
    records = make_records(table)
    records._wall_s = lambda: 1_000_000.0
    begun = records.begin(REQ, "k").ok_value
    if state == "finished":
        records.finish(begun, ANSWER)
    elif state == "unknown":
        records.mark_unknown(begun)
    assert sweep(table, now_s=1_000_000.0 + age_s) == removed


def test_one_instance_removes_in_small_batches():
    """Guards against all instances reading all records, and against bursts of writes."""
    table = FakeTable()
    value = {"state": "finished", "finished_at_s": 0.0}
    table.state.transact(
        checks=[], puts=[(f"request/000{n}", value) for n in range(SWEEP_BATCH + 1)], deletes=[]
    )
    assert make_sweeper(table, now_s=RETENTION_S, live=("other",)).step() == 0
    sweeper = make_sweeper(table, now_s=RETENTION_S)
    assert [sweeper.step() for _ in range(2)] == [SWEEP_BATCH, 1]
