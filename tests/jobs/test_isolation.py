"""Rows that the store rejects: everything else is stored, and nothing acknowledged is lost."""

import pytest
import structlog

from bench._jobsimulation import JobSimulation
from fescuerudder.clock import ManualClock
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.claim import Claim, load_heartbeat
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leaderwriter import LeaderWriter
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.storage import (
    CLAIM_KEY,
    DEADLINES_KEY,
    HEARTBEAT_KEY,
    KNOWLEDGE_KEY,
    ROSTER_KEY,
    job_of,
    progress_key,
)
from standins.rows import MemoryRowStore
from tests.jobs.test_leader import EMPTY_BATCH, make_term
from tests.jobs.test_startrecords import lasting_simulation, remove_records

JOB, OTHERS = "00000000000000aa", [f"00000000000000b{number}" for number in range(4)]
OWN_ROWS = {KNOWLEDGE_KEY: b"k", ROSTER_KEY: b"r", DEADLINES_KEY: b"d"}


def make_writer(store):
    """Returns a writer whose claim and heartbeat are in the store."""
    version = store.write(
        RowTransaction(puts=((CLAIM_KEY, b"c"), (HEARTBEAT_KEY, b"h"))), timeout_s=1
    )
    claim = Claim(epoch=1, instance="n", address="", key="")
    return LeaderWriter(store=store, clock=ManualClock(), claim=claim, claim_version=version)


def job_rows(count):
    return {progress_key(f"{number:016x}"): b"p" for number in range(count)}


@pytest.mark.parametrize(
    "rejected",
    [
        {f"{5:016x}"},
        {f"{0:016x}", f"{199:016x}"},
        {"knowledge"},
        {"workers"},
        {f"{7:016x}", "workers"},
    ],
)
def test_only_the_rejected_rows_are_not_stored(rejected):
    """Guards against one row that holds the heartbeat and all other progress."""
    store, rows = MemoryRowStore(), job_rows(200)
    writer = make_writer(store)
    store.faults.rejects = lambda key, value: job_of(key) in rejected
    found = writer.write(rows, pending={}, leader_rows=OWN_ROWS, starts_recorded=True)
    assert {group.name for group in found} == rejected
    lost = {key for key in (*rows, *OWN_ROWS) if store.get(key) is None}
    assert {key for key in lost if key != DEADLINES_KEY} == {
        key for key in (*rows, *OWN_ROWS) if job_of(key) in rejected
    }
    # The roster counts only with the deadlines of the same transaction.
    assert (DEADLINES_KEY in lost) is ("workers" in rejected)
    assert load_heartbeat(store.get(HEARTBEAT_KEY).value).count > 0
    assert store.writes < 60


def test_a_store_that_rejects_everything_counts_as_unavailable():
    """Guards against jobs that are isolated one by one while the store takes no write at all."""
    store = MemoryRowStore()
    writer = make_writer(store)
    store.faults.rejects = lambda key, value: True
    with pytest.raises(StoreUnavailableError, match="not acceptable"):
        writer.write(job_rows(50), pending={})
    assert store.writes <= 3
    store.faults.rejects = lambda key, value: False
    assert not writer.write(job_rows(50), pending={})


def rejecting_simulation():
    """Returns a simulation with five jobs; the store rejects the progress of one of them."""
    sim = JobSimulation(workers=2)
    sim.store.faults.rejects = lambda key, value: key == progress_key(JOB)
    for job_id in (JOB, *OTHERS):
        sim.submit(job_id)
    return sim


def test_the_other_jobs_go_on_and_the_isolated_one_follows():
    """Guards against a rejected row that stops all queues, and a job that never goes on."""
    sim = rejecting_simulation()
    leader = sim.claim("a")
    sim.run(8.0)
    assert leader.alive
    assert [sim.state(job_id) for job_id in OTHERS] == [JobState.COMPLETED] * 4
    assert sim.state(JOB) is None and leader.scheduler.stored_states[JOB] is JobState.QUEUED
    sim.store.faults.rejects = lambda key, value: False
    sim.run(12.0)
    assert sim.state(JOB) is JobState.COMPLETED
    assert not sim.errors


def test_an_end_that_is_not_stored_is_not_acknowledged():
    """Guards against a task that runs again, as its worker was told to forget its end."""
    sim = rejecting_simulation()
    sim.claim("a")
    sim.run(8.0)
    sim.store.faults.rejects = lambda key, value: False
    sim.leaders[-1].alive = False
    sim.claim("b")
    sim.run(12.0)
    assert sim.state(JOB) is JobState.COMPLETED
    assert sim.starts(JOB) == 2


def test_an_isolated_job_is_logged_once_and_counted(monkeypatch):
    """Guards against an isolated row that no operator can notice, and a log line at each try."""
    sim = rejecting_simulation()
    with structlog.testing.capture_logs() as logs:
        sim.claim("a")
        sim.run(30.0)
    assert [line["job"] for line in logs if line["event"] == "job isolated"] == [JOB]
    store = MemoryRowStore()
    with JobMetrics(instance="n") as metrics:
        term = make_term(ManualClock(), metrics, store=store)
        monkeypatch.setattr(term, "_writer", make_writer(store))
        store.faults.rejects = lambda key, value: job_of(key) == JOB
        rejected = term._writer.write({progress_key(JOB): b"p"}, pending={})
        term._finish_batch(EMPTY_BATCH, rejected)
        assert b"fescuerudder_isolated_rows_total" in metrics.render()


def test_a_leader_goes_on_that_adopts_attempts_of_an_isolated_job():
    """Guards against a leader that stores nothing more, as it asks for a job's hidden attempts.

    An earlier leader recorded no starts, one of its workers is out of reach, and the store rejects
    the record of what runs on the other.
    """
    sim = lasting_simulation(max_per_worker=1)
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    remove_records(sim)
    sim.store.faults.rejects = lambda key, value: job_of(key) == JOB
    sim.cut.add(("b", next(name for name, worker in sim.workers.items() if worker.runs)))
    leader = sim.claim("b")
    sim.run(11.0)
    assert leader.alive
    assert not load_heartbeat(sim.store.get(HEARTBEAT_KEY).value).starts_recorded
    sim.store.faults.rejects = lambda key, value: False
    sim.run(12.0)
    assert load_heartbeat(sim.store.get(HEARTBEAT_KEY).value).starts_recorded
