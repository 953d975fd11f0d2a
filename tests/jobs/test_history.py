"""Ended jobs leave the rows that a claimant reads, and stay known for as long as callers ask."""

import threading

import pytest
from result import Ok

from bench._jobsimulation import JobSimulation
from fescuerudder.clock import ManualClock
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.endedjobs import KEPT_S, STATUS_S, EndedRow, load_ended
from fescuerudder.jobs.historymover import HistoryMover
from fescuerudder.jobs.jobhistory import MIN_MOVE_AGE_S
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.jobstates import JobStates
from fescuerudder.jobs.storage import (
    JOB_PARTITIONS,
    JOBS_TABLE,
    LEADER_PARTITION,
    PROGRESS_TABLE,
    cancel_key,
    ended_key,
    job_key,
    progress_key,
)
from tests.jobs.link_simulation import wait_until
from tests.jobs.test_intake import JOB as INTAKE_JOB
from tests.jobs.test_intake import FakeLeader, make_intake

IDS = [f"{number:016x}" for number in range(40)]


class Deployment:
    """A simulation whose leader moves ended jobs."""

    def __init__(self, *, jobs=IDS):
        self.sim = JobSimulation(workers=4)
        self.sim.run_s = 0.1
        self.may_move = True
        for job_id in jobs:
            self.sim.submit(job_id)
        self.leader = self.mover = None
        self.claim("a")

    def claim(self, name):
        self.leader = self.sim.claim(name)
        history = self.leader.scheduler.history
        self.mover = HistoryMover(
            store=self.sim.store,
            clock=self.sim.clock,
            stopping=threading.Event(),
            epoch=self.leader.scheduler.state.term.epoch,
            may_move=lambda: self.may_move,
            take=history.take_moves,
            on_moved=history.on_moved,
            on_kept=history.on_kept,
        )

    def run(self, seconds, *, moves=True):
        for _ in range(round(seconds / 0.2)):
            self.sim.run(0.2)
            if moves:
                self.mover.step()

    def rows(self):
        """Returns the keys of the rows of jobs and progress, which a claimant reads."""
        places = [(PROGRESS_TABLE, LEADER_PARTITION), *((JOBS_TABLE, p) for p in JOB_PARTITIONS)]
        pages = [self.sim.store.read(table=t, partition=p, timeout_s=1) for t, p in places]
        return [row.key for page in pages for row in page.rows]


def test_a_claimant_reads_no_job_that_ended_some_time_ago():
    """Guards against a takeover whose load grows with all jobs ever accepted."""
    world = Deployment()
    world.run(40.0)
    assert world.rows() == []
    world.sim.submit("00000000000000fe")
    world.claim("b")
    assert [run.job.id for run in world.leader.scheduler.state.jobs.values()] == [
        "00000000000000fe"
    ]
    world.run(20.0)
    assert world.sim.starts("00000000000000fe") == 2 and world.rows() == []
    assert all(world.sim.starts(job_id) == 2 for job_id in IDS)
    world.sim.check_history()


def test_the_leader_forgets_what_has_ended():
    """Guards against memory and counts of waiting jobs that grow with all jobs ever accepted."""
    world = Deployment()
    world.run(60.0)
    scheduler = world.leader.scheduler
    assert not scheduler.state.jobs and len(scheduler.stored_states) == len(IDS)
    world.run(STATUS_S)
    assert not scheduler.stored_states


@pytest.mark.parametrize("stage", ["before", "rows moved", "progress deleted"])
def test_a_query_gets_the_true_state_after_a_takeover(stage):
    """Guards against "no such job", or a job that runs again, while its rows are being moved."""
    world = Deployment(jobs=IDS[:3])
    world.run(8.0, moves=False)
    if stage != "before":
        world.mover.step()
        while world.leader.scheduler.history.unmoved:
            world.mover.step()
    if stage == "progress deleted":
        world.run(2.0)
    world.leader.alive = False
    world.claim("b")
    for job_id in IDS[:3]:
        assert make_intake(world.sim.store).state(job_id) == Ok(JobState.COMPLETED)
    world.run(30.0)
    for job_id in IDS[:3]:
        assert make_intake(world.sim.store).state(job_id) == Ok(JobState.COMPLETED)
        assert world.sim.starts(job_id) == 2
    assert world.rows() == []


@pytest.mark.parametrize("is_moved", [False, True])
def test_an_id_submitted_again_stays_the_ended_job(is_moved):
    """Guards against a job that runs again, and against "queued" for one that has ended."""
    world = Deployment(jobs=[INTAKE_JOB.id])
    world.run(20.0, moves=is_moved)
    assert (job_key(INTAKE_JOB.id) in world.rows()) is not is_moved
    intake = make_intake(world.sim.store, FakeLeader(is_connected=True))
    assert intake.submit(INTAKE_JOB, deadline_s=3.0) == Ok(None)
    assert intake.state(INTAKE_JOB.id) == Ok(JobState.COMPLETED)
    world.run(10.0)
    assert world.sim.starts(INTAKE_JOB.id) == 2


def test_a_row_created_anew_by_an_earlier_version_is_not_run():
    """Guards against a job that runs again during a rolling restart."""
    world = Deployment(jobs=IDS[:1])
    world.run(20.0)
    assert world.rows() == []
    world.sim.submit(IDS[0])
    world.run(10.0)
    assert world.sim.starts(IDS[0]) == 2 and world.rows() == []
    assert make_intake(world.sim.store).state(IDS[0]) == Ok(JobState.COMPLETED)


def test_a_cancelled_job_leaves_with_its_cancellation():
    """Guards against cancellations that each claimant reads for good."""
    world = Deployment(jobs=IDS[:2])
    world.sim.run_s = 30.0
    world.run(1.0)
    world.sim.cancel(IDS[0])
    world.run(15.0)
    assert make_intake(world.sim.store).state(IDS[0]) == Ok(JobState.CANCELLED)
    world.sim.cancel(IDS[0])
    world.run(5.0)
    assert cancel_key(IDS[0]) not in world.rows() and job_key(IDS[1]) in world.rows()


def test_nothing_is_moved_while_an_instance_could_not_find_it():
    """Guards against "no such job" at an instance of an earlier version, or one that may lead."""
    world = Deployment(jobs=IDS[:3])
    world.may_move = False
    world.run(30.0)
    assert set(world.rows()) == {k(i) for i in IDS[:3] for k in (job_key, progress_key)}
    world.may_move = True
    world.run(5.0)
    assert world.rows() == []


@pytest.mark.parametrize("fault", [{"lose_answers": 1}, {"lose_writes": 1}, {"down": True}])
def test_a_move_without_an_answer_is_settled(fault):
    """Guards against a state that is lost, or shown twice, as a move got no answer."""
    world = Deployment(jobs=IDS[:1])
    world.run(10.0, moves=False)
    for name, value in fault.items():
        setattr(world.sim.store.faults, name, value)
    with pytest.raises((StoreOutcomeUnknownError, StoreUnavailableError)):
        world.mover.step()
    world.sim.store.faults.down = False
    world.run(10.0)
    world.sim.store.apply_delayed()
    assert world.rows() == []
    assert load_ended(world.sim.store.get(ended_key(IDS[0])).value).state is JobState.COMPLETED


def test_rows_are_removed_after_the_time_for_queries():
    """Guards against rows of ended jobs that stay for good, and against one removed too early."""
    world = Deployment(jobs=IDS[:3])
    world.run(KEPT_S - 10.0)
    keys = [ended_key(job_id) for job_id in IDS[:3]]
    assert all(world.sim.store.get(key) for key in keys)
    world.leader.alive = False
    world.claim("b")
    world.run(KEPT_S - 5.0)
    # The clock of the leader that wrote them is not known any more.
    assert all(world.sim.store.get(key) for key in keys)
    world.run(70.0)
    assert not any(world.sim.store.get(key) for key in keys)


@pytest.mark.parametrize(
    ("row_epoch", "at_s", "is_outdated"),
    [(3, 100.0, True), (3, 101.0, False), (2, 9e9, True), (4, 0.0, False)],
)
def test_a_row_of_another_term_counts_from_the_start_of_this_one(row_epoch, at_s, is_outdated):
    """Guards against a comparison of two instances' clocks, and a late leader that removes rows."""
    row = EndedRow(state=JobState.FAILED, epoch=row_epoch, at_s=at_s)
    now_s = 100.0 + KEPT_S
    assert row.is_outdated(epoch=3, now_s=now_s, term_started_s=100.0) is is_outdated


def test_a_known_state_ends_before_its_id_is_free_again():
    """Guards against an instance that shows the end of an earlier job of the same id."""
    clock = ManualClock()
    states = JobStates(clock=clock)
    states.update("a", JobState.COMPLETED)
    clock.advance(seconds=STATUS_S - 1.0)
    assert states.get("a") is JobState.COMPLETED
    clock.advance(seconds=2.0)
    assert states.get("a") is None
    states.update("a", JobState.QUEUED)
    assert states.get("a") is JobState.QUEUED
    assert 2 * STATUS_S + MIN_MOVE_AGE_S < KEPT_S


def test_live_states_are_dropped_when_changes_may_have_been_missed():
    """Guards against "running" for good if a job ended and was moved while the link was down."""
    states = JobStates()
    states.update("a", JobState.RUNNING)
    states.update("b", JobState.COMPLETED)
    states.drop_live()
    assert states.get("a") is None and states.get("b") is JobState.COMPLETED


def test_followers_that_find_moved_jobs_say_so(links):
    """Guards against moves beside an instance of an earlier version."""
    links.leader.activate(links.source)
    follower = links.follow("a")
    wait_until(lambda: follower.is_connected and links.leader._followers)
    assert links.leader.earlier_version_age_s == links.leader.one_row_age_s == float("inf")
