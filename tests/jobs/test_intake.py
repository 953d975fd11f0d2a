"""Callers' jobs and questions at any instance, with a store that fails."""

import attrs
import pytest
from result import Err, Ok

from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.jobs.claim import Heartbeat, dump
from fescuerudder.jobs.intake import REFUSED, STORED, UNKNOWN, JobIntake, store_row
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.jobstates import JobStates
from fescuerudder.jobs.linkmessages import StoreJob
from fescuerudder.jobs.rows import RowsTxn
from fescuerudder.jobs.storage import HEARTBEAT, job_key
from standins.rows import MemoryRowStore

JOB = Job(
    id="00000000000000aa",
    queue="q",
    payload="p",
    steps=(Step(count=1, size=Size(processors=1.0, memory_mb=10)),),
)


@attrs.define
class FakeLeader:
    """What an instance hears from the leader."""

    is_fresh: bool = False
    pending: dict[str, int] | None = None
    rows: MemoryRowStore | None = None

    @property
    def relays(self):
        return self.is_fresh

    def store(self, message, *, timeout_s):
        return REFUSED if self.rows is None else store_row(self.rows, message, timeout_s=timeout_s)


def make_intake(rows, leader=None, *, clock=None, store_is_down=lambda: False):
    return JobIntake(
        store=rows,
        clock=clock or ManualClock(),
        wall_ms=lambda: 1_000_000.0,
        states=JobStates(),
        leader=leader or FakeLeader(),
        store_is_down=store_is_down,
    )


@pytest.mark.parametrize(
    ("fault", "ran", "is_stored"),
    [
        ({"down": True}, False, False),
        ({"lose_answers": 1}, "accepted", True),
        ({"lose_writes": 99}, None, False),
    ],
)
def test_answer_tells_what_is_certain(fault, ran, is_stored):
    """Guards against "not run" for a job that may be stored, and 2xx for one that isn't."""
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


def test_leader_stores_for_an_instance_that_the_store_turns_away():
    """Guards against refusals while another instance reaches the store."""
    away, rows = MemoryRowStore(), MemoryRowStore()
    away.faults.down = True
    intake = make_intake(away, FakeLeader(is_fresh=True, rows=rows))
    assert intake.submit(JOB, deadline_s=3.0) == Ok(None)
    assert rows.get(job_key(JOB.id)) is not None


@pytest.mark.parametrize(
    ("leader", "comes_back_s", "is_stored", "most_s"),
    [
        ("reaches it", None, True, 0.0),
        ("has none either", None, False, 0.75),
        ("away", None, False, 0.75),
        ("away", 0.15, True, 0.3),
    ],
)
def test_a_store_that_is_down_is_not_asked_to_write(leader, comes_back_s, is_stored, most_s):
    """Guards against callers that wait for a known outage and learn nothing certain."""
    clock, away, rows = ManualClock(), MemoryRowStore(), MemoryRowStore()
    away.faults.lose_writes = 99
    reached = rows if leader == "reaches it" else None
    intake = make_intake(
        away,
        FakeLeader(is_fresh=leader != "away", rows=reached),
        clock=clock,
        store_is_down=lambda: comes_back_s is None or clock.now_s() < comes_back_s,
    )
    if comes_back_s is not None:
        away.faults.lose_writes = 0
    answer = intake.submit(JOB, deadline_s=3.0)
    assert answer.is_ok() is is_stored
    assert clock.now_s() <= most_s
    assert away.faults.delayed == []
    if not is_stored:
        assert answer.err_value.ran is False


@pytest.mark.parametrize(("is_down", "outcome"), [(True, REFUSED), (False, UNKNOWN)])
def test_a_leader_in_an_outage_tries_for_nobody(is_down, outcome):
    """Guards against an unknown outcome at a follower for a row that no one has sent."""
    rows = MemoryRowStore()
    rows.faults.lose_writes = 99
    intake = make_intake(rows, store_is_down=lambda: is_down)
    assert intake.relay(StoreJob(key=JOB.id, value=b"x", creates=True)) == outcome
    assert len(rows.faults.delayed) == (0 if is_down else 1)


def test_job_sent_again_stays_one():
    """Guards against a repeat that replaces the job or is refused."""
    rows = MemoryRowStore()
    assert make_intake(rows).submit(JOB, deadline_s=3.0) == Ok(None)
    version = rows.get(job_key(JOB.id)).version
    assert make_intake(rows).submit(JOB, deadline_s=3.0) == Ok(None)
    assert rows.get(job_key(JOB.id)).version == version
    assert make_intake(rows).state(JOB.id) == Ok(JobState.QUEUED)


@pytest.mark.parametrize(
    ("leader", "count"),
    [
        (FakeLeader(is_fresh=True, pending={"q": 4}), 4),
        (FakeLeader(is_fresh=True, pending={}), 0),
        (FakeLeader(is_fresh=True, pending=None), 7),
        (FakeLeader(is_fresh=False, pending={"q": 4}), 7),
    ],
)
def test_waiting_jobs_come_from_who_knows_them(leader, count):
    """Guards against "none waits" from an instance that the leader has told nothing yet."""
    rows = MemoryRowStore()
    beat = dump(Heartbeat(epoch=1, count=1, pending={"q": 7}))
    rows.write(RowsTxn(puts=((HEARTBEAT, beat),)), timeout_s=1.0)
    assert make_intake(rows, leader).pending("q") == Ok(count)


@pytest.mark.parametrize("beat", [None, Heartbeat(epoch=2, count=0)])
def test_nobody_says_that_no_job_waits_before_a_leader_has_counted(beat):
    """Guards against "none waits" between a claim and the first heartbeat of the new term."""
    rows = MemoryRowStore()
    if beat is not None:
        rows.write(RowsTxn(puts=((HEARTBEAT, dump(beat)),)), timeout_s=1.0)
    assert make_intake(rows).pending("q").is_err()


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [({}, STORED), ({"down": True}, REFUSED), ({"lose_answers": 1}, UNKNOWN)],
)
def test_cancellation_of_a_known_job(fault, outcome):
    """Guards against a cancellation that is confirmed and not stored."""
    rows = MemoryRowStore()
    intake = make_intake(rows)
    intake.submit(JOB, deadline_s=3.0)
    for name, value in fault.items():
        setattr(rows.faults, name, value)
    answer = intake.cancel(JOB.id, deadline_s=3.0)
    assert answer.is_ok() is (outcome is not REFUSED)
