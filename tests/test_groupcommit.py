"""Each operation gets its true outcome, however it was combined and whatever was lost."""

import contextlib
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescuerudder.clock import ManualClock
from fescuerudder.errors import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.groupcommit import (
    GROUP_PACE_S,
    GROUP_WINDOW_S,
    OVERWRITTEN,
    GroupCommitter,
    Resolver,
    _Operation,
    take_group,
)
from fescuerudder.table import Check, Put, Transaction, new_txn_id
from tests.fakes import FakeTable


def op(*, checks=(), puts=(), deletes=()):
    return Transaction(
        checks=tuple(Check(key=key, version=version) for key, version in checks),
        puts=tuple(Put(key=key, value={"txn": new_txn_id()}) for key in puts),
        deletes=tuple(deletes),
    )


def create(key):
    return op(checks=[(key, 0)], puts=[key])


def committer(table, **options):
    return GroupCommitter(table=table, clock=ManualClock(), **options)


def run(table, *ops):
    """Submits before the thread starts, so that the grouping is deterministic."""
    group = committer(table)
    futures = [group.submit(one) for one in ops]
    with group:
        return [fut.result(timeout=5) for fut in futures]


def keys(table):
    return [row.key for row in table.read(prefixes=("",))]


@pytest.mark.parametrize(
    ("ops", "groups"),
    [
        ([create("a"), create("b")], [[0, 1]]),
        ([op(checks=[("r", 5)], puts="a"), op(checks=[("r", 5)], puts="b")], [[0, 1]]),
        ([op(checks=[("r", 5)], puts="a"), op(checks=[("r", 6)], puts="b")], [[0], [1]]),
        ([op(checks=[("r", 5)]), op(puts="r"), op(checks=[("r", 5)])], [[0], [1], [2]]),
        ([op(puts="a"), op(puts="a"), op(puts="b")], [[0, 2], [1]]),
        ([op(puts="a"), op(puts="ab"), op(puts="b"), op(puts="c")], [[0, 3], [1], [2]]),
        ([op(deletes="a"), op(checks=[("a", 1)])], [[0], [1]]),
        ([create(str(n)) for n in range(5)], [[0, 1, 2, 3], [4]]),
    ],
)
def test_only_independent_operations_are_combined_and_none_overtakes(ops, groups):
    pending = deque(_Operation(txn=one) for one in ops)
    order = list(pending)
    found = []
    while pending:
        found.append([order.index(taken) for taken in take_group(pending, max_ops=4)])
    assert found == groups


def test_a_conflict_stays_with_its_operation():
    table = FakeTable()
    table.transact(create("key-5"))
    results = run(table, *(create(f"key-{n}") for n in range(20)))
    assert [n for n, res in enumerate(results) if res.is_err()] == [5]
    assert isinstance(results[5].err_value, ConflictError)
    assert results[6].ok_value == {"key-6": table.read(keys=("key-6",))[0].version}


def test_many_operations_take_few_transactions():
    table = FakeTable()
    assert all(res.is_ok() for res in run(table, *(create(f"k{n}") for n in range(100))))
    assert table.transactions == 4


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
@pytest.mark.parametrize("deletes_only", [False, True])
def test_a_lost_answer_is_resolved(fault, deletes_only):
    table = FakeTable()
    table.transact(op(puts=["a", "b"]))
    setattr(table, fault, 1)
    ops = [op(deletes=["a"]), op(deletes=["b"])] if deletes_only else [create("c"), create("d")]
    assert all(res.is_ok() for res in run(table, *ops))
    # The receipt of a group of deletes must not stay behind.
    assert keys(table) == ([] if deletes_only else ["a", "b", "c", "d"])


@pytest.mark.parametrize(
    ("overwritten", "expected"), [(["a"], {"a": OVERWRITTEN, "b": 2}), (["a", "b"], None)]
)
def test_rows_overwritten_before_the_reading(overwritten, expected):
    """One row left shows that it applied; with none left, claiming either would be a guess."""
    table = FakeTable()
    read = table.read

    def read_after_overwriting(**query):
        table.read = read
        table.transact(op(puts=overwritten))
        return read(**query)

    table.read = read_after_overwriting
    table.lose_answers = 1
    txn = op(checks=[("a", 0), ("b", 0)], puts=["a", "b"])
    outcome = Resolver(table=table, clock=ManualClock()).commit(txn)
    if expected:
        assert outcome.ok_value == expected
    else:
        assert isinstance(outcome.err_value, StoreOutcomeUnknownError)


def test_store_down_means_not_applied_unless_an_answer_was_lost_before():
    table = FakeTable()
    table.down = True
    assert isinstance(run(table, create("a"))[0].err_value, StoreUnavailableError)
    table.down = False
    table.lose_answers = 1
    table.read = lambda **_: (_ for _ in ()).throw(StoreUnavailableError("down"))
    assert isinstance(run(table, create("a"))[0].err_value, StoreOutcomeUnknownError)


def test_a_full_backlog_refuses():
    group = committer(FakeTable(), backlog_max=2)
    futures = [group.submit(create(key)) for key in "abc"]
    assert isinstance(futures[2].result(timeout=0).err_value, StoreUnavailableError)
    with group:
        assert futures[1].result(timeout=5).is_ok()
    assert group.submit(create("d")).result(timeout=0).is_err()


class LateTable(FakeTable):
    """Table that gets some transactions late, after their sender gave up on the answer."""

    def __init__(self, faults):
        super().__init__()
        self.faults = deque(faults)
        self.late = []

    def transact(self, txn):
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "late":
            self.late.append(txn)
            raise StoreOutcomeUnknownError("request is on its way")
        if fault == "arrive":
            self.deliver()
        if fault == "down":
            raise StoreUnavailableError("store is down")
        self.lose_answers += fault == "lost"
        return super().transact(txn)

    def deliver(self):
        late, self.late = self.late, []
        for txn in late:
            with contextlib.suppress(ConflictError):
                self.state.transact(txn)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    faults=st.lists(st.sampled_from(["ok", "late", "lost", "down", "arrive"]), max_size=14),
    clashing=st.sets(st.integers(0, 3)),
)
def test_outcomes_stay_true_when_requests_arrive_late(faults, clashing):
    table = LateTable(faults=[])
    table.transact(op(puts=[f"old-{n}" for n in range(4)]))
    for n in clashing:
        table.transact(create(f"new-{n}"))
    versions = {row.key: row.version for row in table.read(prefixes=("old-",))}
    table.faults.extend(faults)
    ops = [
        op(
            checks=[(f"old-{n}", versions[f"old-{n}"]), (f"new-{n}", 0)],
            puts=[f"new-{n}"],
            deletes=[f"old-{n}"],
        )
        for n in range(4)
    ]
    results = run(table, *ops)
    table.faults.clear()
    table.deliver()
    for n, (res, one) in enumerate(zip(results, ops, strict=True)):
        row = table.read(keys=(f"new-{n}",))
        applied = bool(row) and row[0].value["txn"] == one.puts[0].value["txn"]
        unknown = isinstance(res.err(), StoreOutcomeUnknownError)
        assert unknown or applied == res.is_ok()
        assert applied != bool(table.read(keys=(f"old-{n}",)))


@pytest.mark.parametrize(("is_prompt", "paused_s"), [(False, GROUP_PACE_S), (True, GROUP_WINDOW_S)])
def test_only_prompt_operations_skip_the_pace(is_prompt, paused_s):
    """Guards against a transaction for each operation, and against slow keyed requests."""
    clock = ManualClock()
    with GroupCommitter(table=FakeTable(), clock=clock) as group:
        group.commit(create("a"))
        before_s = clock.now_s()
        group.commit(create("b"), is_prompt=is_prompt)
        assert paused_s <= clock.now_s() - before_s < paused_s + 2 * GROUP_WINDOW_S
