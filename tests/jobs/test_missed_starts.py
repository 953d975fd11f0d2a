"""Starts that a successor would miss: records that are split, or whose task has ended elsewhere."""

from bench._jobsimulation import JobSimulation
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.job import Step, TaskId
from fescuerudder.jobs.storage import progress_key
from tests.jobs.test_scheduler import JOB, ONE
from tests.jobs.test_takeover_starts import run_until


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
