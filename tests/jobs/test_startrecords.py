"""Records of starts: what is stored before an order is sent, and what a successor makes of it."""

import json

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.claim import Heartbeat, dump_row, load_heartbeat
from fescuerudder.jobs.job import Step, StepId
from fescuerudder.jobs.jobrun import JobState, Phase
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.startrecords import StepStarts, StoredStart, load_starts
from fescuerudder.jobs.storage import (
    HEARTBEAT_KEY,
    LEADER_PARTITION,
    STARTS_TABLE,
    progress_key,
    starts_key,
)
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_scheduler import JOB, ONE, steps

STEP = StepId(JOB, 0, 0)


def records(sim):
    """Returns the stored records by step, also while the store is down."""
    faults = sim.store.faults
    is_down, faults.down = faults.down, False
    page = sim.store.read(table=STARTS_TABLE, partition=LEADER_PARTITION, timeout_s=1)
    faults.down = is_down
    return {
        record.step: record for record in (load_starts(row.key.key, row.value) for row in page.rows)
    }


def lasting_simulation(workers=4, **changes):
    """Returns a simulation whose tasks run for a minute."""
    sim = JobSimulation(workers=workers)
    sim.plan = lambda task, attempt, worker: (ONE, 60.0, False)
    sim.submit(JOB, steps=steps(2, **changes))
    return sim


def is_covered(sim, order):
    """Returns whether a stored record names the task of an order, or one that covers it.

    A task that the stored progress shows as done covers no other.
    """
    progress = sim.store.get(progress_key(order.task.job))
    stored = json.loads(progress.value)["steps"] if progress is not None else {}
    for step, record in records(sim).items():
        done = int(stored.get(f"{step.occurrence}.{step.step}", {}).get("done") or "0", 16)
        count = sim.specs[step.job].steps[step.step].count
        for start in record.starts if step.job == order.task.job else ():
            is_same = (start.worker, start.index) == (order.worker, order.task.index % count)
            if is_same and not done >> start.index & 1:
                return True
    return False


@pytest.mark.parametrize("seed", range(6))
def test_every_start_is_covered_by_a_record_before_its_order_is_sent(seed):
    """Guards against tasks that run twice: a successor can't know of a start without a record."""
    sim, uncovered = JobSimulation(seed=seed, workers=4), []
    send = sim.send

    def check_covered(leader, order):
        if isinstance(order, StartOrder) and not is_covered(sim, order):
            uncovered.append(order)
        send(leader, order)

    sim.send = check_covered
    sim.plan = lambda task, attempt, worker: (ONE, 0.5, (task.index + attempt + seed) % 5 == 0)
    sim.submit(JOB, steps=steps(5, 3, 6, 2))
    sim.claim("a")
    for _ in range(6):
        sim.run(sim.rng.uniform(0.3, 1.0))
        sim.store.faults.down = not sim.store.faults.down
    sim.run(12.0)
    assert sim.state(JOB).is_final and uncovered == []


def test_records_of_ended_steps_are_deleted():
    """Guards against a store and takeovers that grow with all jobs ever accepted."""
    sim = JobSimulation(workers=4)
    sim.submit(JOB, steps=steps(5, 3, 2))
    sim.claim("a")
    most = 0
    for _ in range(80):
        sim.run(0.1)
        most = max(most, len(records(sim)))
    assert sim.state(JOB) is JobState.COMPLETED
    assert 0 < most <= 2 and records(sim) == {}


@pytest.mark.parametrize("ends", ["completed", "cancelled"])
def test_a_successor_deletes_records_that_are_left_over(ends):
    """Guards against records that stay for good as their leader was lost before it deleted them."""
    sim = JobSimulation(workers=4)
    sim.submit(JOB, steps=steps(2))
    leader = sim.claim("a")
    sim.run(0.3)
    (row,) = sim.store.read(table=STARTS_TABLE, partition=LEADER_PARTITION, timeout_s=1).rows
    if ends == "cancelled":
        sim.cancel(JOB)
    sim.run(3.0)
    leader.alive = False
    sim.store.write(RowTransaction(puts=((row.key, row.value),)), timeout_s=1)
    sim.claim("b")
    sim.run(1.0)
    assert sim.state(JOB).is_final and records(sim) == {}


def remove_records(sim):
    """Makes the store look as if the last leader were of a version that records no starts."""
    page = sim.store.read(table=STARTS_TABLE, partition=LEADER_PARTITION, timeout_s=1)
    heartbeat = load_heartbeat(sim.store.get(HEARTBEAT_KEY).value)
    earlier = Heartbeat(epoch=heartbeat.epoch, count=heartbeat.count, pending={})
    row = dump_row(earlier).replace(b',"starts_recorded":false', b"")
    deletes = tuple(row.key for row in page.rows)
    sim.store.write(RowTransaction(puts=((HEARTBEAT_KEY, row),), deletes=deletes), timeout_s=1)


@pytest.mark.parametrize("leaders", [1, 2, 3])
def test_starts_of_a_version_without_records_are_not_repeated(leaders):
    """Guards against tasks that run twice during a rolling restart.

    The worker that runs them can't reach any of the leaders of this version, which follow one
    another before the leases of the earlier leader have ended.
    """
    sim = lasting_simulation(max_per_worker=1)
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    remove_records(sim)
    used = [name for name, worker in sim.workers.items() if worker.runs]
    for name in "bcd"[:leaders]:
        sim.cut |= {(name, worker) for worker in used}
        leader = sim.claim(name)
        assert not leader.scheduler.state.starts_recorded
        sim.run(2.0)
        leader.alive = False
    sim.cut |= {("e", worker) for worker in used}
    sim.claim("e")
    sim.run(14.0)
    sim.check_history()
    assert sim.starts(JOB) == 4


def test_leaders_of_this_version_go_on_with_what_an_earlier_version_started():
    """Guards against records that miss attempts which a leader adopted from an earlier version."""
    sim = lasting_simulation(max_per_worker=1)
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    remove_records(sim)
    adopter = sim.claim("b")
    sim.run(1.0)
    assert adopter.scheduler.state.starts_recorded
    assert len(records(sim)[STEP].starts) == 2
    used = next(name for name, worker in sim.workers.items() if worker.runs)
    adopter.alive = False
    sim.cut.add(("c", used))
    assert sim.claim("c").scheduler.state.starts_recorded
    sim.run(8.0)
    sim.check_history()
    assert sim.starts(JOB) == 2


@pytest.mark.parametrize("outage_s", [2.0, 3.0])
@pytest.mark.parametrize("mode", ["cut off", "leader alive"])
def test_starts_in_an_outage_of_the_store_are_not_repeated_by_a_successor(outage_s, mode):
    """Guards against tasks that run twice, as a start in an outage can't be recorded.

    The worker of such a start can't be reached by the successor, whose predecessor may go on.
    """
    sim = JobSimulation(workers=2)
    sim.plan = lambda task, attempt, worker: (ONE, 2.0 if task.step == 0 else 30.0, False)
    sim.submit(JOB, steps=steps(2, 2, max_per_worker=1))
    first = sim.claim("a")
    sim.run(0.8)
    sim.store.faults.down = True
    sim.run(outage_s)
    used = {name for name, worker in sim.workers.items() if worker.runs}
    assert len(used) == 2
    sim.cut.add(("b", min(used)))
    if mode == "leader alive":
        first.reaches_store = False
    else:
        first.alive = False
    sim.store.faults.down = False
    sim.claim("b")
    sim.run(14.0)
    sim.check_history()


def test_jobs_that_run_go_on_in_an_outage_of_the_store():
    """Guards against steps that wait for the store while their workers are free."""
    sim = JobSimulation(workers=3)
    sim.run_s = 0.4
    sim.submit(JOB, steps=steps(3, 4, 3))
    sim.claim("a")
    sim.run(0.3)
    sim.store.faults.down = True
    sim.run(4.0)
    assert sim.starts(JOB) == 10


def test_a_start_is_withdrawn_if_its_worker_is_lost_before_the_record_is_stored():
    """Guards against an order to a worker that was lost, or taken out of service, meanwhile."""
    sim = lasting_simulation(workers=2)
    leader = sim.claim("a")
    sim.run(0.05)
    leader.scheduler.state.zones_out = frozenset()
    sim.store.faults.lose_writes = 1
    sim.run(0.05)
    planned = list(leader.scheduler.state.planned)
    assert planned and all(attempt.phase is Phase.PLANNED for attempt in planned)
    leader.scheduler.state.zones_out = frozenset(w.info.zone for w in sim.workers.values())
    sim.run(0.5)
    assert sim.starts(JOB) == 0 and not leader.scheduler.state.planned


@pytest.mark.parametrize(
    ("key", "data", "expected"),
    [
        (
            f"{JOB}.2.1",
            b'[["w1",5,[[0,3],[2,4]]],["w2",6,[]]]',
            StepStarts(
                step=StepId(JOB, 2, 1),
                starts=(
                    StoredStart(worker="w1", incarnation_ms=5, index=0, number=3),
                    StoredStart(worker="w1", incarnation_ms=5, index=2, number=4),
                ),
            ),
        ),
        (f"{JOB}.2", b"[]", None),
        ("x.1.y", b"[]", None),
        (f"{JOB}.2.1", b"{", None),
        (f"{JOB}.2.1", b'[["w1",5]]', None),
        (f"{JOB}.2.1", b'[["w1",5,[[0,-1]]]]', None),
        (f"{JOB}.2.1", b"[[7,5,[[0,1]]]]", None),
        (f"{JOB}.2.1", b'[["w1",5,[[0]]]]', None),
    ],
)
def test_a_malformed_record_is_told_from_others(key, data, expected):
    """Guards against a takeover that takes part of a record for the whole, or ends by an error."""
    if expected is None:
        with pytest.raises(StoredFormError):
            load_starts(key, data)
    else:
        assert load_starts(key, data) == expected


def test_an_unreadable_record_makes_the_successor_wait():
    """Guards against tasks that run twice because the record of their start can't be read."""
    sim = lasting_simulation(max_per_worker=1)
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    sim.store.write(RowTransaction(puts=((starts_key(STEP), b"{"),)), timeout_s=1)
    used = next(name for name, worker in sim.workers.items() if worker.runs)
    sim.cut.add(("b", used))
    leader = sim.claim("b")
    assert not leader.scheduler.state.starts_recorded
    sim.run(8.0)
    sim.check_history()
    assert sim.starts(JOB) == 2


def test_the_record_names_what_runs_in_each_incarnation():
    """Guards against records that can't tell two lives of a worker apart."""
    sim = lasting_simulation(workers=1)
    sim.claim("a")
    sim.run(1.0)
    start, other = records(sim)[STEP].starts
    assert (start.worker, start.incarnation_ms) == ("w0", 1000)
    assert attrs.evolve(start, index=other.index) == other


def lose_leader_after(sim, leader, writes):
    """Runs until a leader is lost before one of its next writes to the store."""
    store_write, count = sim.store.write, 0

    def write(txn, *, timeout_s):
        nonlocal count
        if count == writes:
            leader.alive = False
            raise StoreUnavailableError("the leader is lost")
        count += 1
        return store_write(txn, timeout_s=timeout_s)

    sim.store.write = write
    sim.run(1.0)
    sim.store.write = store_write
    assert not leader.alive


@pytest.mark.parametrize(
    "writes",
    [0, 1, 2, 3, 4],
)
def test_a_covered_start_is_known_after_each_transaction_of_a_batch(writes):
    """Guards against tasks that run twice as their cover ends before their own record is stored.

    After an outage one batch takes several transactions: some store that the tasks on record are
    done, others the starts that these covered.
    """
    sim = JobSimulation(workers=2, capacity=200.0)
    sim.plan = lambda task, attempt, worker: (ONE, 2.0 if task.step == 0 else 30.0, False)
    for number in range(120):
        sim.submit(f"{number:016x}", steps=steps(1, 1))
    first = sim.claim("a")
    sim.run(0.8)
    sim.store.faults.down = True
    sim.run(2.5)
    assert {task.step for worker in sim.workers.values() for task, _ in worker.runs} == {1}
    sim.store.faults.down = False
    sim.cut.add(("b", "w1"))
    lose_leader_after(sim, first, writes)
    sim.claim("b")
    sim.run(9.0)
    sim.check_history()


@pytest.mark.parametrize("is_gang", [False, True], ids=["alone", "gang"])
def test_a_covered_start_is_known_to_the_second_successor(is_gang):
    """Guards against tasks that run twice as a successor deletes the record that covers them.

    The end of one member of a gang ends the step, while a worker of another member is out of reach.
    """
    sim = JobSimulation(workers=3)
    sim.plan = lambda task, attempt, worker: (ONE, 2.0 if task.step == 0 else 30.0, False)
    pair = Step(count=2, size=ONE, max_per_worker=1, gang=is_gang)
    sim.submit(JOB, steps=(pair, attrs.evolve(pair, gang=False, after=(0,))))
    sim.claim("a")
    sim.run(0.8)
    sim.store.faults.down = True
    sim.run(2.5)
    used = [name for name, worker in sim.workers.items() if worker.runs]
    assert {task.step for name in used for task, _ in sim.workers[name].runs} == {1}
    sim.cut |= {("b", max(used)), ("c", max(used))}
    sim.leaders[-1].alive = False
    sim.store.faults.down = False
    sim.claim("b")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    sim.claim("c")
    sim.run(10.0)
    sim.check_history()
