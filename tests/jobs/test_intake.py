"""Submissions, cancellations and queries at any instance, with a store that fails."""

import random

import attrs
import pytest
from result import Err, Ok

from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.jobs.admission import RefusalReason
from fescuerudder.jobs.claim import Heartbeat, dump_row
from fescuerudder.jobs.intake import (
    MAX_OUTAGE_RETRY_S,
    MIN_OUTAGE_RETRY_S,
    REFUSED,
    STORED,
    UNKNOWN,
    JobIntake,
    store_row,
)
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.jobstates import JobStates
from fescuerudder.jobs.linkmessages import StoreJob
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.storage import HEARTBEAT_KEY, job_key, progress_key
from standins.rows import MemoryRowStore

JOB = Job(
    id="00000000000000aa",
    queue="q",
    payload="p",
    steps=(Step(count=1, size=Size(processors=1.0, memory_mb=10)),),
)


@attrs.define
class FakeLeader:
    """A leader that stores rows in `rows`, or refuses to if there are none."""

    is_connected: bool = False
    pending: dict[str, int] | None = None
    rows: MemoryRowStore | None = None

    @property
    def can_relay(self):
        return self.is_connected

    def store(self, message, *, timeout_s):
        return REFUSED if self.rows is None else store_row(self.rows, message, timeout_s=timeout_s)


def make_intake(rows, leader=None, *, clock=None, store_down_s=lambda: 0.0, **fields):
    return JobIntake(
        store=rows,
        clock=clock or ManualClock(),
        wall_ms=lambda: 1_000_000.0,
        states=JobStates(),
        leader=leader or FakeLeader(),
        store_down_s=store_down_s,
        rng=random.Random(1),
        **fields,
    )


@pytest.mark.parametrize(
    ("fault", "ran", "is_stored"),
    [
        ({"down": True}, False, False),
        ({"lose_answers": 1}, "accepted", True),
        ({"lose_writes": 99}, None, False),
    ],
)
def test_a_refusal_states_whether_the_job_may_be_stored(fault, ran, is_stored):
    """Guards against "not run" for a job that may be stored, and acceptance of one that isn't."""
    rows = MemoryRowStore()
    for name, value in fault.items():
        setattr(rows.faults, name, value)
    answer = make_intake(rows).submit(JOB, deadline_s=3.0)
    if ran == "accepted":
        assert answer == Ok(None)
    else:
        assert isinstance(answer, Err) and answer.err_value.ran is ran
        assert answer.err_value.retry_after_s > 0
    assert (rows.get(job_key(JOB.id)) is not None) is is_stored


def test_leader_stores_for_an_instance_that_cannot_reach_the_store():
    """Guards against refused jobs while the leader still reaches the store."""
    lost_store, rows = MemoryRowStore(), MemoryRowStore()
    lost_store.faults.down = True
    intake = make_intake(lost_store, FakeLeader(is_connected=True, rows=rows))
    assert intake.submit(JOB, deadline_s=3.0) == Ok(None)
    assert rows.get(job_key(JOB.id)) is not None


@pytest.mark.parametrize(
    ("leader", "comes_back_s", "is_stored", "max_s"),
    [
        ("reaches the store", None, True, 0.0),
        ("has lost the store", None, False, 0.75),
        ("disconnected", None, False, 0.75),
        ("disconnected", 0.15, True, 0.3),
    ],
)
def test_no_write_is_sent_while_the_store_is_down(leader, comes_back_s, is_stored, max_s):
    """Guards against callers that wait out a known outage and get an unknown outcome."""
    clock, lost_store, rows = ManualClock(), MemoryRowStore(), MemoryRowStore()
    lost_store.faults.lose_writes = 99
    leader_rows = rows if leader == "reaches the store" else None
    intake = make_intake(
        lost_store,
        FakeLeader(is_connected=leader != "disconnected", rows=leader_rows),
        clock=clock,
        store_down_s=lambda: (
            0.2 + clock.now_s() if comes_back_s is None or clock.now_s() < comes_back_s else 0.0
        ),
    )
    if comes_back_s is not None:
        lost_store.faults.lose_writes = 0
    answer = intake.submit(JOB, deadline_s=3.0)
    assert answer.is_ok() is is_stored
    assert clock.now_s() <= max_s
    assert lost_store.faults.delayed == []
    if not is_stored:
        assert answer.err_value.ran is False


@pytest.mark.parametrize(("is_down", "outcome"), [(True, REFUSED), (False, UNKNOWN)])
def test_a_leader_relays_nothing_during_an_outage(is_down, outcome):
    """Guards against an unknown outcome at a follower for a row that was never sent."""
    rows = MemoryRowStore()
    rows.faults.lose_writes = 99
    intake = make_intake(rows, store_down_s=lambda: 1.0 if is_down else 0.0)
    assert intake.relay(StoreJob(key=JOB.id, value=b"x", creates=True)) == outcome
    assert len(rows.faults.delayed) == (0 if is_down else 1)


def test_a_resubmitted_job_is_stored_once():
    """Guards against a repeated submission that replaces the job or is refused."""
    rows = MemoryRowStore()
    assert make_intake(rows).submit(JOB, deadline_s=3.0) == Ok(None)
    version = rows.get(job_key(JOB.id)).version
    assert make_intake(rows).submit(JOB, deadline_s=3.0) == Ok(None)
    assert rows.get(job_key(JOB.id)).version == version
    assert make_intake(rows).state(JOB.id) == Ok(JobState.QUEUED)


@pytest.mark.parametrize(
    ("leader", "count"),
    [
        (FakeLeader(is_connected=True, pending={"q": 4}), 4),
        (FakeLeader(is_connected=True, pending={}), 0),
        (FakeLeader(is_connected=True, pending=None), 7),
        (FakeLeader(is_connected=False, pending={"q": 4}), 7),
    ],
)
def test_the_number_of_waiting_jobs_comes_from_the_leader_or_its_heartbeat(leader, count):
    """Guards against a count of zero from an instance without a report of the leader."""
    rows = MemoryRowStore()
    beat = dump_row(Heartbeat(epoch=1, count=1, pending={"q": 7}))
    rows.write(RowTransaction(puts=((HEARTBEAT_KEY, beat),)), timeout_s=1.0)
    assert make_intake(rows, leader).pending("q") == Ok(count)


@pytest.mark.parametrize("beat", [None, Heartbeat(epoch=2, count=0)])
def test_the_number_of_waiting_jobs_is_unknown_until_a_leader_has_counted(beat):
    """Guards against a count of zero between a claim and the first count of the new term."""
    rows = MemoryRowStore()
    if beat is not None:
        rows.write(RowTransaction(puts=((HEARTBEAT_KEY, dump_row(beat)),)), timeout_s=1.0)
    assert make_intake(rows).pending("q").is_err()


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [({}, STORED), ({"down": True}, REFUSED), ({"lose_answers": 1}, UNKNOWN)],
)
def test_cancellation_of_a_known_job(fault, outcome):
    """Guards against a cancellation that is confirmed but was refused by the store."""
    rows = MemoryRowStore()
    intake = make_intake(rows)
    intake.submit(JOB, deadline_s=3.0)
    for name, value in fault.items():
        setattr(rows.faults, name, value)
    answer = intake.cancel(JOB.id, deadline_s=3.0)
    assert answer.is_ok() is (outcome is not REFUSED)


@pytest.mark.parametrize("patience_s", [1.0, 3.0, 30.0])
@pytest.mark.parametrize("down_s", [0.7, 1.5, 4.0, 100.0])
@pytest.mark.parametrize("leader", [FakeLeader(), FakeLeader(is_connected=True)])
def test_callers_are_refused_at_once_in_a_known_outage(leader, down_s, patience_s):
    """Guards against callers that are held in vain, or asked to return after they have given up.

    Seen on large, trouble-3, in an outage of 4.2 s: callers that wait for 3 s in all were asked to
    return after 2 s, and most of their last tries fell into the outage.
    """
    clock, rows = ManualClock(start_s=10.0), MemoryRowStore()
    rows.faults.down = True
    intake = make_intake(rows, leader, clock=clock, store_down_s=lambda: down_s)
    waits = []
    for _ in range(50):
        answer = intake.submit(JOB, deadline_s=clock.now_s() + patience_s)
        assert answer.err_value.ran is False
        waits.append(answer.err_value.retry_after_s)
    assert clock.now_s() == 10.0
    expected_s = min(MAX_OUTAGE_RETRY_S, max(MIN_OUTAGE_RETRY_S, down_s), patience_s / 4)
    assert 0.7 * expected_s < min(waits) < 0.9 * expected_s
    assert 1.1 * expected_s < max(waits) < 1.3 * expected_s


@attrs.define
class SlowLeader(FakeLeader):
    """A leader that refuses after a while, and whose answer is unknown if there is less time."""

    clock: ManualClock = attrs.field(kw_only=True)
    takes_s: float = attrs.field(kw_only=True)

    def store(self, message, *, timeout_s):
        self.clock.advance(seconds=min(self.takes_s, timeout_s))
        return REFUSED if timeout_s > self.takes_s else UNKNOWN


@pytest.mark.parametrize("takes_s", [0.03, 0.07, 0.11, 0.2])
@pytest.mark.parametrize("deadline_s", [0.5, 0.9, 3.0])
def test_no_attempt_is_cut_short(takes_s, deadline_s):
    """Guards against an unknown outcome only because the last attempt had no time for its answer.

    Seen on large, trouble-3: each further attempt was refused with certainty, the last one was sent
    with less than 0.1 s left, and the caller got 504.
    """
    clock, rows = ManualClock(start_s=10.0), MemoryRowStore()
    rows.faults.down = True
    leader = SlowLeader(is_connected=True, clock=clock, takes_s=takes_s)
    down_s = 0.2

    def store_down_s():
        return down_s + clock.now_s() - 10.0

    intake = make_intake(rows, leader, clock=clock, store_down_s=store_down_s)
    answer = intake.submit(JOB, deadline_s=clock.now_s() + deadline_s)
    assert answer.err_value.ran is False
    assert clock.now_s() - 10.0 <= min(deadline_s, 1.0)


@pytest.mark.parametrize("data", [b"", b"[" * 100_000, b"[]", b'{"state": "of a later version"}'])
def test_questions_about_unreadable_rows_are_refused(data):
    """Guards against 500, which tells a caller nothing, where it may ask again later."""
    rows = MemoryRowStore()
    rows.write(
        RowTransaction(puts=((progress_key(JOB.id), data), (HEARTBEAT_KEY, data))), timeout_s=1
    )
    intake = make_intake(rows)
    for answer in (
        intake.state(JOB.id),
        intake.pending("q"),
        intake.cancel(JOB.id, deadline_s=3.0),
    ):
        assert answer.is_err() and answer.err().ran is False


@attrs.define
class FakeGate:
    """Refuses every job while it is closed."""

    is_closed: bool = True
    refused: list = attrs.Factory(list)

    def check(self, job, *, patience_s):
        return FakeRefused() if self.is_closed else None

    def record_refused(self, job, refused):
        self.refused.append(job.id)


@attrs.frozen
class FakeRefused:
    """A refusal because of load."""

    reason: RefusalReason = RefusalReason.LATE
    retry_after_s: float = 2.5


def test_a_job_that_is_refused_because_of_load_is_not_stored():
    """Guards against a job that runs although its caller was told that it doesn't."""
    rows, gate = MemoryRowStore(), FakeGate()
    refusal = make_intake(rows, gate=gate).submit(JOB, deadline_s=3.0).err_value
    assert (refusal.ran, refusal.is_overload, refusal.retry_after_s) == (False, True, 2.5)
    assert rows.get(job_key(JOB.id)) is None and gate.refused == [JOB.id]


@pytest.mark.parametrize("known_by", ["this instance", "another one", "a write without an answer"])
def test_a_job_that_may_be_stored_is_not_refused_because_of_load(known_by):
    """Guards against "not run" for a job that runs, as when its caller repeats it after a 504."""
    rows, gate = MemoryRowStore(), FakeGate(is_closed=False)
    intake = make_intake(rows, gate=gate)
    if known_by == "a write without an answer":
        rows.faults.lose_writes = 99
        assert intake.submit(JOB, deadline_s=3.0).err_value.ran is None
        rows.faults.lose_writes = 0
    else:
        first = intake if known_by == "this instance" else make_intake(rows)
        assert first.submit(JOB, deadline_s=3.0) == Ok(None)
    gate.is_closed = True
    assert intake.submit(JOB, deadline_s=3.0) == Ok(None)


@pytest.mark.parametrize("is_known_down", [False, True])
def test_no_job_is_refused_because_of_load_while_the_store_does_not_answer(is_known_down):
    """Guards against a refusal of an ID that may be stored, and a slow store taken for load."""
    lookup, rows, gate = MemoryRowStore(), MemoryRowStore(), FakeGate()
    lookup.faults.down = True
    intake = make_intake(
        rows, gate=gate, lookup=lookup, store_down_s=lambda: 1.0 if is_known_down else 0.0
    )
    answer = intake.submit(JOB, deadline_s=3.0)
    assert answer.is_ok() is not is_known_down
    assert not gate.refused and (is_known_down or rows.get(job_key(JOB.id)) is not None)
