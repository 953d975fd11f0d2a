"""Records of starts and bounds on leases: what a successor would miss, or wait for too long."""

import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.job import Job, Step, StepId, TaskId
from fescuerudder.jobs.jobrun import Attempt, JobRun, JobState, Phase
from fescuerudder.jobs.leases import (
    MIN_LEASE_S,
    PREDECESSOR_LEASES_S,
    UNBOUND_HORIZON_S,
    LeasePolicy,
)
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.startrecords import dump_starts, load_starts
from fescuerudder.jobs.storage import LEASES_KEY, progress_key, starts_key
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_scheduler import JOB, ONE, steps
from tests.jobs.test_startrecords import records, remove_records
from tests.jobs.test_takeover_starts import record_orders, run_until

MAX_ROW_BYTES = 65_536


def cut_off(sim, worker):
    """Takes a worker away from all leaders but the first."""
    sim.cut |= {(leader, worker) for leader in "bcd"}


def workers_with(sim, task):
    """Returns the workers that a task was started on, in the order of its starts."""
    return [event[1] for event in sim.events if event[4] == "start" and event[2] == task]


def test_a_claim_between_two_transactions_of_a_batch_finds_each_start():
    """Guards against a task that runs twice: its record was to follow the end of the covering one.

    In an outage the first step ends and the second starts where the record of the first covers it.
    With the progress of many jobs, the record of the second is in a later transaction than the
    progress that shows the first as done.
    """
    sim = JobSimulation(workers=3, capacity=200.0)
    run_s = {(JOB, 0): 1.2, (JOB, 1): 30.0}
    sim.plan = lambda task, attempt, worker: (ONE, run_s.get((task.job, task.step), 1.6), False)
    second = TaskId(JOB, 0, 1, 0)
    near = {"count": 1, "size": ONE, "required_label": "r0"}
    sim.submit(JOB, steps=(Step(**near), Step(after=(0,), **near)))
    for number in range(100):
        far = Step(count=1, size=ONE, required_label="r1")
        sim.submit(f"{number:016x}", steps=(far,))
    leader = sim.claim("a")
    sim.run(0.8)
    sim.store.faults.down = True
    sim.run(2.5)
    (used,) = workers_with(sim, second)
    sim.store.faults.down = False
    write, written = sim.store.write, []

    def write_once(txn, *, timeout_s):
        if written:
            raise StoreUnavailableError("the store is down again")
        if any(key == progress_key(JOB) for key, _ in txn.puts):
            written.append(txn)
        return write(txn, timeout_s=timeout_s)

    sim.store.write = write_once
    sim.run(0.2)
    leader.alive = False
    sim.store.write = write
    assert len(written) == 1
    cut_off(sim, used)
    sim.claim("b")
    sim.run(2.0)
    assert workers_with(sim, second) == [used]


def test_a_second_successor_holds_back_what_a_record_covered_until_its_task_was_done():
    """Guards against a task that runs twice, as its covering task ended elsewhere meanwhile.

    A start in an outage is covered by the record of a member of a gang on the same worker. The
    first successor learns from another member that the gang is done; the second reads so, and
    takes no account of the record.
    """
    sim = JobSimulation(workers=4)
    run_s = {0: 4.5, 1: 1.2, 2: 30.0}
    sim.plan = lambda task, attempt, worker: (ONE, run_s[task.step], False)
    near, far = {"size": ONE, "required_label": "r0"}, {"size": ONE, "required_label": "r1"}
    sim.submit(
        JOB,
        steps=(
            Step(count=2, gang=True, max_per_worker=1, **near),
            Step(count=1, **far),
            Step(count=1, after=(1,), **near),
        ),
    )
    covered = TaskId(JOB, 0, 2, 0)
    first = sim.claim("a")
    sim.run(0.8)
    sim.store.faults.down = True
    sim.run(2.5)
    (used,) = workers_with(sim, covered)
    first.reaches_store = False
    sim.store.faults.down = False
    cut_off(sim, used)
    second = sim.claim("b")
    member = second.scheduler.state.find_task(TaskId(JOB, 0, 0, 0))
    run_until(sim, lambda: member.done)
    sim.run(0.5)
    assert workers_with(sim, covered) == [used]
    second.alive = False
    sim.claim("c")
    sim.run(1.0)
    assert workers_with(sim, covered) == [used]


def test_an_unreadable_record_does_not_make_all_later_successors_wait():
    """Guards against a row that nobody deletes, so that each takeover holds back all older jobs."""
    sim = JobSimulation(workers=3)
    sim.plan = lambda task, attempt, worker: (ONE, 60.0, False)
    sim.submit(JOB, steps=(Step(count=2, size=ONE),))
    sim.claim("a")
    sim.run(1.0)
    lost = starts_key(StepId("00000000000000ee", 0, 0))
    sim.store.write(RowTransaction(puts=((lost, b"{"),)), timeout_s=1)
    for name in "bc":
        sim.leaders[-1].alive = False
        leader = sim.claim(name)
        sim.run(12.0)
        assert leader.scheduler.state.starts_recorded
    sim.leaders[-1].alive = False
    assert sim.claim("d").scheduler.state.starts_recorded


def test_a_gang_that_lost_a_member_before_its_record_was_stored_is_not_started():
    """Guards against members that are started and stopped, as one of them was withdrawn before."""
    sim = JobSimulation(workers=3)
    sim.plan = lambda task, attempt, worker: (ONE, 60.0, False)
    orders = record_orders(sim)
    leader = sim.claim("a")
    sim.run(1.0)
    sim.submit(JOB, steps=(Step(count=3, size=ONE, gang=True, max_per_worker=1),))
    sim.store.faults.lose_writes = 2
    run_until(sim, lambda: leader.scheduler.state.planned)
    first = next(iter(leader.scheduler.state.planned))
    sim.restart_worker(first.worker, registry_lag_s=0.0)
    sim.run(1.5)
    members = {}
    for _, task, number in orders.starts:
        members.setdefault(number, set()).add(task.index)
    assert members and all(len(indexes) == 3 for indexes in members.values())


def test_a_recorded_start_on_a_restarted_worker_out_of_reach_is_held_as_long_as_others():
    """Guards against a job with nothing running that waits for a late order, not for the leases."""
    sim = JobSimulation(workers=3)
    sim.plan = lambda task, attempt, worker: (ONE, 60.0, False)
    sim.submit(JOB, steps=(Step(count=1, size=ONE),))
    sim.claim("a")
    sim.run(1.0)
    (used,) = workers_with(sim, TaskId(JOB, 0, 0, 0))
    sim.leaders[-1].alive = False
    sim.restart_worker(used, registry_lag_s=0.0)
    cut_off(sim, used)
    sim.claim("b")
    sim.run(PREDECESSOR_LEASES_S + 1.0)
    assert sim.starts(JOB) == 2


def test_the_record_of_a_wide_step_fits_into_a_row():
    """Guards against a row that the store refuses, and with it all heartbeats and progress."""
    spec = Step(count=4000, size=ONE)
    run = JobRun.create(
        job=Job(id=JOB, queue="q", payload="p", steps=(spec,)), version=1, received_s=0.0
    )
    step = run.steps[(0, 0)]
    for task in step.tasks:
        attempt = Attempt(
            task=task,
            worker=f"{task.id.index % 840:016x}",
            incarnation_ms=1_700_000_000_000,
            number=10_001,
            phase=Phase.RUNNING,
            token=1,
            sent_s=0.0,
        )
        task.attempts.append(attempt)
    rows = dump_starts(step)
    assert max(len(value) for value in rows.values()) <= MAX_ROW_BYTES
    stored = [load_starts(key.key, value) for key, value in rows.items()]
    assert {record.step for record in stored} == {step.id}
    assert sum(len(record.starts) for record in stored) == 4000


def test_the_record_of_an_adopted_attempt_is_deleted_when_its_job_is_cancelled():
    """Guards against records that stay until the next takeover, as their step was never opened.

    The first step is not done as far as the successor knows, as one of its workers went dark.
    """
    sim = JobSimulation(workers=2)
    sim.plan = lambda task, attempt, worker: (ONE, 1.2 if task.step == 0 else 30.0, False)
    sim.submit(JOB, steps=steps(2, 1, max_per_worker=1))
    leader = sim.claim("a")
    sim.run(0.8)
    sim.store.faults.down = True
    sim.run(2.5)
    (used,) = workers_with(sim, TaskId(JOB, 0, 1, 0))
    leader.alive = False
    sim.store.faults.down = False
    (dark,) = set(sim.workers) - {used}
    cut_off(sim, dark)
    sim.claim("b")
    sim.run(1.0)
    assert StepId(JOB, 0, 1) in records(sim)
    sim.cancel(JOB)
    sim.run(15.0)
    assert sim.state(JOB).is_final and records(sim) == {}


def test_a_recorded_start_that_was_never_ordered_does_not_count_as_a_crash():
    """Guards against a job that fails without a run: leaders were lost before they sent the order.

    The worker that the record names restarts each time.
    """
    sim = JobSimulation(workers=3)
    sim.plan = lambda task, attempt, worker: (ONE, 1.0, False)
    sim.claim("a")
    sim.run(1.0)
    sim.submit(JOB, steps=steps(1))
    send, unsent = sim.send, []

    def send_all_but_starts(leader, order):
        if isinstance(order, StartOrder):
            unsent.append(order)
        else:
            send(leader, order)

    for name in "bc":
        unsent.clear()
        sim.send = send_all_but_starts
        run_until(sim, lambda: unsent)
        sim.send = send
        sim.leaders[-1].alive = False
        sim.restart_worker(unsent[0].worker, registry_lag_s=0.0)
        sim.claim(name)
    sim.run(8.0)
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("term_s", [0.1, 0.3, 0.6])
def test_a_bound_covers_the_leases_of_an_earlier_version(monkeypatch, term_s):
    """Guards against a task that runs twice in a rolling restart.

    The leader of the earlier version, whose leases end up to 9 s after its last heartbeat, goes on
    without the store. Its successor stores a bound and is lost.
    """
    sim = JobSimulation(workers=4, seed=3)
    sim.plan = lambda task, attempt, worker: (ONE, 90.0, False)
    sim.submit(JOB, steps=steps(1, long_running=True))
    earlier = sim.claim("a")
    sim.run(2.5)
    (used,) = workers_with(sim, TaskId(JOB, 0, 0, 0))
    length_s = LeasePolicy.length_s

    def length_by_version_s(policy, now_s):
        if policy is not earlier.leases:
            return length_s(policy, now_s)
        left_s = policy.confirmed_s() + UNBOUND_HORIZON_S - now_s
        return min(policy.lease_s, left_s) if left_s >= MIN_LEASE_S else 0.0

    monkeypatch.setattr(LeasePolicy, "length_s", length_by_version_s)
    run_until(sim, lambda: sim.clock.now_s() - earlier.writer.confirmed_s < 0.06)
    earlier.reaches_store = False
    sim.store.write(RowTransaction(deletes=(LEASES_KEY,)), timeout_s=1)
    remove_records(sim)
    cut_off(sim, used)
    sim.claim("b")
    sim.run(term_s)
    sim.leaders[-1].alive = False
    sim.claim("c")
    sim.run(14.0)
    assert sim.starts(JOB) == 2
