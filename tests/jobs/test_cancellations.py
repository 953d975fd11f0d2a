"""A job that was cancelled before it was stored doesn't run when it is stored later."""

import itertools
import json

import attrs
import pytest
from result import Ok

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs import cancellations
from fescuerudder.jobs.cancellations import (
    EARLY_KEPT_S,
    Cancellation,
    CancellationIndex,
    EarlyResult,
    load_cancellation,
    store_early_cancellation,
)
from fescuerudder.jobs.endedjobs import EndedRow, dump_ended
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.progress import dump_job
from fescuerudder.jobs.rows import HistoryLostError, Row, RowTransaction
from fescuerudder.jobs.storage import (
    CANCEL_SUFFIX,
    JOB_PARTITIONS,
    JOBS_TABLE,
    cancel_key,
    cancellation_index_key,
    ended_key,
    job_key,
    partition_of,
)
from fescuerudder.jobs.takeover import load_stored_state, split_job_rows
from standins.rows import MemoryRowStore
from tests.jobs.test_history import Deployment
from tests.jobs.test_intake import JOB, FakeLeader, make_intake

KEPT_MS = int(EARLY_KEPT_S * 1000)


class StoreTime:
    """The store's clock, set by hand."""

    def __init__(self):
        self.now_ms = 5_000

    def __call__(self):
        return self.now_ms


class LateStore(MemoryRowStore):
    """A store that carries out what is delayed just before it writes a certain row.

    Args:
        before: key of that row.
    """

    def __init__(self, *, before):
        super().__init__()
        self._before = before

    def write(self, txn, *, timeout_s):
        if any(key == self._before for key, _ in txn.puts) and self.faults.delayed:
            self.apply_delayed()
        return super().write(txn, timeout_s=timeout_s)


def submit_late(rows):
    """Hands the job in at an instance whose write is delayed; it gets no certain answer."""
    rows.faults.lose_writes = 99
    answer = make_intake(rows).submit(JOB, deadline_s=3.0)
    assert answer.is_err() and answer.err_value.ran is None
    rows.faults.lose_writes = 0


def ids_of_partition(count):
    """Returns ids of jobs in the partition of JOB."""
    ids = (f"{number:016x}" for number in itertools.count(1000))
    same = (job_id for job_id in ids if partition_of(job_id) == partition_of(JOB.id))
    return list(itertools.islice(same, count))


def cancelled_ids(rows):
    """Returns the ids of the jobs of which a cancellation is stored."""
    pages = [rows.read(table=JOBS_TABLE, partition=p, timeout_s=1) for p in JOB_PARTITIONS]
    keys = [row.key.key for page in pages for row in page.rows]
    return [key.removesuffix(CANCEL_SUFFIX) for key in keys if key.endswith(CANCEL_SUFFIX)]


@pytest.mark.parametrize("canceller", ["the same instance", "another instance"])
@pytest.mark.parametrize("takeovers", ["none", "before the write", "after the write", "both"])
def test_a_late_write_of_a_cancelled_job_is_not_run(canceller, takeovers):
    """Guards against a job that runs although its cancelling was answered "no such job".

    Seen in review/9: the submission had got 504, its write was done 4.5 s after the cancelling.
    """
    sim = JobSimulation(workers=2)
    sim.claim("a")
    sim.run(2.0)
    intake = make_intake(sim.store)
    sim.store.faults.lose_writes = 99
    assert intake.submit(JOB, deadline_s=3.0).err_value.ran is None
    sim.store.faults.lose_writes = 0
    if canceller == "another instance":
        intake = make_intake(sim.store)
    assert intake.cancel(JOB.id, deadline_s=3.0) == Ok(False)
    sim.run(1.0)
    if takeovers in ("before the write", "both"):
        sim.claim("b")
        sim.run(1.0)
    sim.store.apply_delayed()
    if takeovers in ("after the write", "both"):
        sim.claim("c")
    sim.run(10.0)
    assert sim.starts(JOB.id) == 0
    assert make_intake(sim.store).state(JOB.id) == Ok(JobState.CANCELLED)


def test_a_job_and_its_early_cancellation_that_are_read_together_start_nothing():
    """Guards against a start between the job and its cancellation where the feed lags."""
    sim = JobSimulation(workers=2)
    leader = sim.claim("a")
    sim.run(2.0)
    leader.reaches_store = False
    assert make_intake(sim.store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    assert make_intake(sim.store).submit(JOB, deadline_s=3.0) == Ok(None)
    leader.reaches_store = True
    sim.run(5.0)
    assert sim.starts(JOB.id) == 0


def test_a_job_that_is_stored_during_its_cancelling_is_cancelled():
    """Guards against "no such job" for one whose late write is done after it was looked for."""
    rows = LateStore(before=cancel_key(JOB.id))
    submit_late(rows)
    assert make_intake(rows).cancel(JOB.id, deadline_s=3.0) == Ok(True)
    assert rows.get(job_key(JOB.id)) is not None
    assert load_cancellation(rows.get(cancel_key(JOB.id))).early_ms is None


def test_a_job_that_ends_during_its_cancelling_stays_ended():
    """Guards against a cancellation of the id of an ended job, which is kept for nothing."""
    rows = LateStore(before=cancel_key(JOB.id))
    ended = dump_ended(EndedRow(state=JobState.COMPLETED, epoch=1, at_s=1.0))
    rows.faults.delayed.append(RowTransaction(puts=((ended_key(JOB.id), ended),)))
    assert make_intake(rows).cancel(JOB.id, deadline_s=3.0) == Ok(True)
    assert make_intake(rows).state(JOB.id) == Ok(JobState.COMPLETED)
    assert cancelled_ids(rows) == []


@pytest.mark.parametrize("is_relayed", [False, True])
def test_a_submission_after_the_cancelling_is_shown_as_cancelled(is_relayed):
    """Guards against an accepted job that is lost, and against one that runs after all."""
    world = Deployment(jobs=[])
    store = world.sim.store
    assert make_intake(store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    # Nobody has handed it in yet, so it isn't shown as a job.
    assert make_intake(store).state(JOB.id) == Ok(None)
    world.run(5.0)
    intake = make_intake(store)
    if is_relayed:
        lost_store = MemoryRowStore()
        lost_store.faults.down = True
        intake = make_intake(lost_store, FakeLeader(is_connected=True, rows=store))
    assert intake.submit(JOB, deadline_s=3.0) == Ok(None)
    world.run(2.0)
    assert make_intake(store).state(JOB.id) == Ok(JobState.CANCELLED)
    world.run(20.0)
    # It has left with its cancellation, and a repeated submission doesn't bring it back.
    assert world.rows() == []
    assert make_intake(store).submit(JOB, deadline_s=3.0) == Ok(None)
    assert make_intake(store).state(JOB.id) == Ok(JobState.CANCELLED)
    assert world.sim.starts(JOB.id) == 0


@pytest.mark.parametrize(
    ("fault", "is_answered"),
    [({"lose_answers": 1}, True), ({"lose_writes": 1}, True), ({"lose_writes": 99}, False)],
)
def test_a_cancelling_that_may_not_be_stored_is_not_confirmed(fault, is_answered):
    """Guards against "no such job" on the strength of a write that may never be done."""
    rows = MemoryRowStore()
    for name, value in fault.items():
        setattr(rows.faults, name, value)
    answer = make_intake(rows).cancel(JOB.id, deadline_s=3.0)
    assert answer.is_ok() is is_answered
    assert (cancelled_ids(rows) == [JOB.id]) is is_answered
    if not is_answered:
        assert answer.err_value.ran is None
    rows.apply_delayed()
    assert cancelled_ids(rows) == [JOB.id]


def test_a_late_cancelling_without_an_answer_spares_a_job_that_was_stored_meanwhile():
    """Guards against an accepted job that is cancelled by a request that was never confirmed."""
    rows = MemoryRowStore()
    rows.faults.lose_writes = 99
    assert make_intake(rows).cancel(JOB.id, deadline_s=3.0).is_err()
    rows.faults.lose_writes = 0
    assert make_intake(rows).submit(JOB, deadline_s=3.0) == Ok(None)
    rows.apply_delayed()
    assert cancelled_ids(rows) == []


def test_early_cancellations_are_bounded_in_number(monkeypatch):
    """Guards against a store that callers fill by cancelling ids that nobody hands in."""
    monkeypatch.setattr(cancellations, "MAX_EARLY_CANCELLATIONS", 10)
    time = StoreTime()
    rows = MemoryRowStore(now_ms=time)
    ids = ids_of_partition(40)
    for job_id in ids[:10]:
        assert make_intake(rows).cancel(job_id, deadline_s=3.0) == Ok(False)
    refusal = make_intake(rows).cancel(ids[10], deadline_s=3.0).err_value
    assert refusal.ran is False and refusal.retry_after_s > 0
    time.now_ms += KEPT_MS
    for job_id in ids[10:]:
        assert make_intake(rows).cancel(job_id, deadline_s=3.0) == Ok(False)
        assert len(cancelled_ids(rows)) <= 10
        time.now_ms += KEPT_MS // 10
    assert len(json.loads(rows.get(cancellation_index_key(JOB.id)).value)["early"]) <= 10


def test_the_largest_index_fits_into_a_row():
    """Guards against an index that the store rejects, after which nothing could be cancelled."""
    count = cancellations.MAX_EARLY_CANCELLATIONS
    entries = tuple((f"{number:016x}", 2**53 - 1) for number in range(count))
    index = CancellationIndex(entries=entries)
    assert len(cancellations._dump({"early": index.entries})) < 65_536


@pytest.mark.parametrize("has_come", [False, True])
def test_an_outdated_cancellation_stays_if_its_job_has_come(has_come):
    """Guards against a job that runs as its cancellation is removed before a leader has read it."""
    time = StoreTime()
    rows = MemoryRowStore(now_ms=time)
    first, second = ids_of_partition(2)
    assert store_early_cancellation(rows, first, timeout_s=1.0) is EarlyResult.STORED
    if has_come:
        job = attrs.evolve(JOB, id=first)
        rows.write(RowTransaction(puts=((job_key(first), dump_job(job)),)), timeout_s=1.0)
    time.now_ms += KEPT_MS
    assert store_early_cancellation(rows, second, timeout_s=1.0) is EarlyResult.STORED
    assert cancelled_ids(rows) == ([first, second] if has_come else [second])


@pytest.mark.parametrize("terms", [1, 4])
def test_the_leader_removes_outdated_cancellations(terms):
    """Guards against rows that each claimant reads for good, and against removal too early.

    Their age counts through all terms, or they would stay as long as leaders change.
    """
    world = Deployment(jobs=[])
    store = world.sim.store
    world.sim.specs[JOB.id] = JOB
    world.run(1.0)
    assert make_intake(store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    for term in range(terms):
        if term:
            world.leader.alive = False
            world.claim(f"b{term}")
        world.run((EARLY_KEPT_S - 10.0) / terms)
        assert cancelled_ids(store) == [JOB.id]
    world.run(20.0)
    assert cancelled_ids(store) == []
    assert make_intake(store).submit(JOB, deadline_s=3.0) == Ok(None)
    world.run(10.0)
    assert world.sim.starts(JOB.id) == 1


def test_a_cancellation_that_is_stored_anew_is_kept_anew():
    """Guards against a removal that was decided for an earlier cancellation of the same id."""
    world = Deployment(jobs=[])
    intake = make_intake(world.sim.store)
    assert intake.cancel(JOB.id, deadline_s=3.0) == Ok(False)
    world.run(1.0)
    history = world.leader.scheduler.history
    world.run(EARLY_KEPT_S + 3.0, moves=False)
    batch = history.take_moves()
    assert [cancel.job_id for cancel in batch.cancels] == [JOB.id]
    assert intake.cancel(JOB.id, deadline_s=3.0) == Ok(False)
    world.mover._move(batch)
    assert cancelled_ids(world.sim.store) == [JOB.id]
    world.run(5.0)
    assert intake.submit(JOB, deadline_s=3.0) == Ok(None)
    world.run(5.0)
    assert world.sim.starts(JOB.id) == 0


def test_a_lost_history_of_the_feed_hides_no_early_cancellation():
    """Guards against a job that runs as the leader reads all jobs anew instead of the changes."""
    sim = JobSimulation(workers=2)
    leader = sim.claim("a")
    sim.run(2.0)
    leader.reaches_store = False
    submit_late(sim.store)
    assert make_intake(sim.store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    sim.store.forget_history()
    sim.store.apply_delayed()
    with pytest.raises(HistoryLostError):
        sim.store.changes(table=JOBS_TABLE, after=leader.feed, wait_s=0)
    pages = [sim.store.read(table=JOBS_TABLE, partition=p, timeout_s=1) for p in JOB_PARTITIONS]
    jobs, cancels = split_job_rows([row for page in pages for row in page.rows])
    leader.scheduler.add_jobs(jobs)
    leader.scheduler.cancel(cancels)
    assert not leader.scheduler.plan()
    assert leader.scheduler.state.jobs[JOB.id].state is JobState.CANCELLED


def test_a_store_whose_clock_began_anew_keeps_no_cancellation_for_good():
    """Guards against early cancellations of a time to come that are never outdated."""
    assert cancellations.is_outdated(9_000, now_ms=10)
    assert not cancellations.is_outdated(9_000, now_ms=9_000)


@pytest.mark.parametrize("value", [b'{"early": 3}', b'{"early": [[1, 2]]}', b"[", b""])
def test_an_index_that_cannot_be_read_hinders_no_cancelling(value):
    """Guards against a partition in which nothing can be cancelled any more."""
    rows = MemoryRowStore()
    rows.write(RowTransaction(puts=((cancellation_index_key(JOB.id), value),)), timeout_s=1.0)
    assert make_intake(rows).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    assert cancelled_ids(rows) == [JOB.id]


@pytest.mark.parametrize("value", [b"{}", b'{"early_ms": -1}', b'{"early_ms": "x"}', b"[]", b""])
def test_a_cancellation_that_cannot_be_read_still_cancels(value):
    """Guards against a cancellation that is dropped, or ends the reading of all jobs."""
    cancel = load_cancellation(Row(cancel_key(JOB.id), value, 7))
    assert cancel == Cancellation(job_id=JOB.id, version=7)


@attrs.define
class BusyStore:
    """A store in which others cancel jobs of the same partition before each write."""

    rows: MemoryRowStore
    others: list[str]

    def read(self, **request):
        return self.rows.read(**request)

    def write(self, txn, *, timeout_s):
        if self.others:
            store_early_cancellation(self.rows, self.others.pop(), timeout_s=timeout_s)
        return self.rows.write(txn, timeout_s=timeout_s)


@pytest.mark.parametrize("others", [0, 1, 3, 12])
def test_instances_that_cancel_at_the_same_time_hinder_each_other_for_a_moment_only(others):
    """Guards against a lost entry of the index, and against endless attempts."""
    rows = MemoryRowStore()
    store = BusyStore(rows, ids_of_partition(others))
    assert make_intake(store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    index = json.loads(rows.get(cancellation_index_key(JOB.id)).value)["early"]
    assert sorted(job_id for job_id, _ in index) == sorted(cancelled_ids(rows))


def former_cancels(rows):
    """Returns the ids of cancelled jobs as 8cad3ee reads them from the table of jobs."""
    return [
        row.key.key.removesuffix(CANCEL_SUFFIX)
        for row in rows
        if row.key.key.endswith(CANCEL_SUFFIX)
    ]


def test_the_former_version_reads_an_early_cancellation_as_any_other():
    """Guards against a row at which a leader of the former version stumbles, or takes for a job."""
    rows = MemoryRowStore()
    make_intake(rows).cancel(JOB.id, deadline_s=3.0)
    stored = rows.read(table=JOBS_TABLE, partition=partition_of(JOB.id), timeout_s=1).rows
    assert former_cancels(stored) == [JOB.id] and len(stored) == 1


@pytest.mark.parametrize("is_removed", [False, True])
def test_a_former_leader_in_between_is_survived(is_removed):
    """Guards against an index that fills up, as a former leader removes cancellations early."""
    sim = JobSimulation(workers=2)
    assert make_intake(sim.store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    if is_removed:
        sim.store.write(RowTransaction(deletes=(cancel_key(JOB.id),)), timeout_s=1.0)
        assert make_intake(sim.store).cancel(JOB.id, deadline_s=3.0) == Ok(False)
    sim.claim("b")
    sim.run(1.0)
    assert make_intake(sim.store).submit(JOB, deadline_s=3.0) == Ok(None)
    sim.run(5.0)
    assert sim.starts(JOB.id) == 0


def test_a_load_tells_the_early_cancellations_apart():
    """Guards against a successor that removes one as left over before its job has come."""
    sim = JobSimulation(workers=2)
    first, second = ids_of_partition(2)
    make_intake(sim.store).cancel(first, deadline_s=3.0)
    sim.cancel(second)
    leader = sim.claim("b")
    assert leader.scheduler.history.take_moves().cancels[0].job_id == second
    loaded = load_stored_state(
        store=sim.store, clock=sim.clock, wall_ms=lambda: 0.0, pool=InlinePool()
    )
    assert [c.early_ms is not None for c in loaded.cancels] == [True, False]


class InlinePool:
    """Runs reads one after another."""

    def map(self, function, items):
        return map(function, items)
