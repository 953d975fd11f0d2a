"""Caps of accounts: every way to begin an attempt keeps to them, and faults don't lose count."""

import pytest
import structlog

from bench._jobsimulation import queue
from fescuerudder.document import Size
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.workerport import OrderAnswer, OrderResult
from tests.jobs.account_simulation import ONE, AccountSimulation, account, step
from tests.jobs.test_idleroom import quarantine_all
from tests.jobs.test_random_worlds import FAULTS, ensure_leader

CAP = 3.0


def doubt_all(sim):
    """Makes the leader copy the speculative tasks that run."""
    for record in sim.leaders[-1].scheduler.state.workers.values():
        for attempt in record.attempts.values():
            attempt.worker_in_doubt = True
    sim.copies_allowed = True


def lose_store(sim):
    """Leaves only starts that a stored record covers: the job has a second step."""
    sim.store.faults.down = True


PATHS = {
    "ordinary": (step(9), lambda sim: None),
    "small": (step(30, size=Size(processors=0.4, memory_mb=1)), lambda sim: None),
    "best effort": (step(9, best_effort=True, image="b"), lambda sim: None),
    "long running": (step(9, long_running=True), lambda sim: None),
    "copies": (step(2, speculative=True), doubt_all),
    "gang": (step(2, gang=True), lambda sim: None),
    "on quarantined workers": (step(9, long_running=True), quarantine_all),
    "beside idle room": (step(9), quarantine_all),
    "on recorded workers": (step(9), lose_store),
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("jobs", [1, 4])
def test_each_way_to_start_keeps_to_the_cap(path, jobs):
    """Guards against a way to begin an attempt that doesn't check the cap."""
    spec, happens = PATHS[path]
    ends_s = 0.7 if path != "copies" else 9.0
    sim = AccountSimulation(account("a", CAP), account("b"), workers=4, capacity=6.0)
    sim.plan = lambda task, attempt, worker: (spec.size, ends_s, False)
    sim.claim("l")
    sim.run(0.2)
    for _ in range(jobs):
        sim.send_job("a", spec, step(9, after=(0,)))
    most = 0.0
    for tick in range(160):
        if tick == 8:
            happens(sim)
        sim.run(0.05)
        most = max(most, sim.planned("a"), sim.running("a"))
    assert CAP - 1.0 <= most <= CAP


@pytest.mark.parametrize(
    ("cap", "size"),
    [
        (account("a", memory_mb=25), ONE),
        (account("a", accelerators=2), Size(processors=0.1, memory_mb=1, accelerators=1)),
        (account("a", 2.0, memory_mb=1000), ONE),
    ],
)
def test_each_resource_is_bounded(cap, size):
    """Guards against a cap of which only the processors count."""
    sim = AccountSimulation(cap, workers=2, capacity=8.0)
    sim.run_s = 60.0
    for worker in sim.workers.values():
        capacity = Size(processors=8.0, memory_mb=1000, accelerators=4)
        worker.info = worker.info.__class__(
            **{name: getattr(worker.info, name) for name in worker.info.__slots__[:-1]}
            | {"capacity": capacity}
        )
    sim.claim("l")
    sim.send_job("a", step(6, size=size))
    sim.run(2)
    assert sum(len(worker.runs) for worker in sim.workers.values()) == 2


def test_an_account_at_its_cap_holds_back_nobody_and_says_so():
    """Guards against others that wait behind an account at its cap, and waits without a reason."""
    sim = AccountSimulation(account("a", 2.0), account("b"), workers=2, capacity=4.0)
    sim.run_s = 60.0
    sim.claim("l")
    sim.send_job("a", step(50))
    sim.run(1)
    sim.send_job("b", step(3))
    sim.send_job("", step(2))
    with structlog.testing.capture_logs() as lines:
        sim.run(0.5)
        assert (sim.running("a"), sim.running("b"), sim.running("")) == (2.0, 3.0, 2.0)
        waiting = sim.send_job("a", step(1))
        sim.run(5)
    line, *_ = [line for line in lines if line["event"] == "steps wait"]
    assert (line["result"], line["job"]) == ("account at its cap", waiting)
    assert (line["account"], line["used"], line["cap"]) == ("a", [2.0, 20, 0], [2.0, 0, 0])


def test_a_gang_starts_whole_or_not_at_all():
    """Guards against a gang of which the cap admits only some members."""
    sim = AccountSimulation(account("a", 3.0), workers=4, capacity=4.0)
    sim.run_s = 1.0
    sim.claim("l")
    sim.send_job("a", step(1))
    sim.run(0.2)
    gang = sim.send_job("a", step(3, gang=True))
    large = sim.send_job("a", step(4, gang=True))
    sim.run(0.6)
    assert sim.starts(gang) == 0
    sim.run(6)
    assert sim.state(gang) is JobState.COMPLETED
    assert sim.starts(large) == 0


def test_a_cap_that_shrinks_stops_starts_and_no_running_work():
    """Guards against running work that a smaller cap ends, or starts that it doesn't stop."""
    sim = AccountSimulation(account("a", 8.0), workers=3, capacity=4.0)
    sim.plan = lambda task, attempt, worker: (ONE, 1.0 + task.index / 4, False)
    sim.claim("l")
    job = sim.send_job("a", step(16))
    sim.run(0.6)
    assert sim.running("a") == 8.0
    sim.set_accounts(account("a", 2.0))
    started = sim.starts(job)
    while sim.running("a") > 2.0:
        assert sim.starts(job) == started
        sim.run(0.05)
    sim.run(0.8)
    assert sim.starts(job) > started and sim.planned("a") <= 2.0
    sim.set_accounts(account("a", 5.0))
    sim.run(0.3)
    assert sim.running("a") == 5.0
    assert not [event for event in sim.events if event[4] not in ("start", "done", "noted done")]


def test_a_removed_account_keeps_its_cap_while_others_are_in_force():
    """Guards against an account that gets rid of its cap by leaving the manifest."""
    sim = AccountSimulation(account("a", 2.0), account("b"), workers=2, capacity=4.0)
    sim.run_s = 60.0
    sim.claim("l")
    sim.send_job("a", step(8))
    sim.run(0.5)
    sim.set_accounts(account("b"))
    sim.run(0.5)
    assert sim.running("a") == 2.0
    sim.set_accounts()
    sim.run(0.5)
    assert sim.running("a") == 8.0


@pytest.mark.parametrize("loss_rate", [0.0, 1.0])
def test_a_leader_lost_between_a_start_and_its_answer(loss_rate):
    """Guards against a successor that doesn't count what its predecessor has just started.

    Some of the starts are carried out after the claim, and half of the workers are out of reach.
    """
    sim = AccountSimulation(account("a", 4.0), workers=6, capacity=2.0, seed=3)
    sim.run_s = 4.0
    sim.claim("l")
    sim.order_loss_rate = loss_rate
    sim.lost_order_delay_s = (0.1, 1.5)
    sim.send_job("a", step(4))
    first = sim.leaders[0]
    sim.run_until(lambda: sim.planned("a") == 4.0 and not first.scheduler.state.planned)
    first.alive = False
    sim.order_loss_rate = 0.0
    sim.cut |= {("m", f"w{number}") for number in range(3)}
    sim.claim("m")
    sim.send_job("a", step(8))
    for _ in range(int(20 / 0.05)):
        sim.run(0.05)
        assert sim.running("a") <= 4.0 and sim.planned("a") <= 4.0
    sim.check_history()


@pytest.mark.parametrize("cancels", [False, True])
def test_an_unreachable_worker_counts_until_its_leases_have_ended(cancels):
    """Guards against starts in place of what still runs out of reach, of a cancelled job too."""
    sim = AccountSimulation(account("a", 3.0), workers=6, capacity=3.0)
    sim.plan = lambda task, attempt, worker: (ONE, 30.0, False)
    sim.claim("l")
    job = sim.send_job("a", step(3))
    sim.run(1)
    lost = [worker for worker in sim.workers.values() if worker.runs]
    sim.cut |= {("l", worker.info.id) for worker in lost}
    other = sim.send_job("a", step(3))
    if cancels:
        sim.cancel(job)
    sim.run(2)
    assert sim.starts(other) == 0 and sim.running("a") == 3.0
    for _ in range(int(12 / 0.05)):
        sim.run(0.05)
        assert sim.running("a") <= 3.0
    assert sim.running("a") == 3.0 and not any(worker.runs for worker in lost)


@pytest.mark.parametrize("takeover", [False, True])
def test_tasks_of_a_cancelled_job_count_while_a_worker_lists_them(takeover):
    """Guards against starts beside tasks of an ended job that are slow to stop."""
    sim = AccountSimulation(account("a", 3.0), workers=2, capacity=8.0)
    sim.plan = lambda task, attempt, worker: (ONE, 60.0, False)
    sim.claim("l")
    job = sim.send_job("a", step(3))
    sim.run(1)
    for worker in sim.workers.values():
        worker.stop = lambda order: OrderAnswer(OrderResult.UNKNOWN)
    sim.cancel(job)
    sim.send_job("a", step(3))
    sim.run(1)
    assert sim.state(job) is JobState.CANCELLED
    if takeover:
        sim.leaders[-1].alive = False
        sim.claim("m")
    for _ in range(40):
        sim.run(0.05)
        assert sim.running("a") == 3.0
    for worker in sim.workers.values():
        del worker.stop
    sim.run(3)
    assert sim.running("a") == 3.0


@pytest.mark.parametrize("seed", range(20))
def test_the_sums_equal_a_count_beside_random_faults(seed):
    """Guards against sums that drift, and against starts far above a cap, whatever fails.

    The simulation compares the sums with a count over all attempts after each tick.
    """
    sim = AccountSimulation(
        account("a", 3.0), account("b", 2.0), seed=seed, workers=4, queues=(queue(),)
    )
    caps, rng = {"a": 3.0, "b": 2.0}, sim.rng
    sim.plan = lambda task, attempt, worker: (
        ONE,
        0.3 + (task.index * 7) % 10 / 4,
        (task.index + attempt) % 11 == 0,
    )
    sim.copies_allowed = True
    sim.claim("l0")
    for _ in range(8):
        if not sim.store.faults.down:
            sim.send_job(rng.choice(("a", "b", "")), step(rng.randint(1, 4)))
        for _ in range(rng.randint(0, 3)):
            rng.choice(FAULTS)(sim)
        for _ in range(rng.randint(2, 30)):
            sim.run(0.05)
            for name, cap in caps.items():
                assert sim.running(name) <= 1.1 * cap + 1.0
    sim.store.faults.down = False
    sim.store.faults.lose_answers = sim.store.faults.lose_writes = 0
    sim.cut.clear()
    ensure_leader(sim, "last")
    sim.run(1)


def test_what_runs_counts_when_accounts_come_into_force():
    """Guards against a cap that holds only for work that was started under it."""
    sim = AccountSimulation(workers=2, capacity=4.0)
    sim.run_s = 60.0
    sim.claim("l")
    sim.send_job("a", step(5))
    sim.run(1)
    assert sim.running("a") == 5.0
    sim.set_accounts(account("a", 6.0))
    sim.send_job("a", step(5))
    sim.run(1)
    assert sim.running("a") == 6.0


def test_starts_that_a_record_covers_keep_to_the_cap():
    """Guards against starts above a cap in an outage of the store, beside the job's own tasks."""
    sim = AccountSimulation(account("a", CAP), workers=4, capacity=6.0)
    sim.plan = lambda task, attempt, worker: (ONE, 2.5, False)
    sim.claim("l")
    sim.run(0.2)
    job = sim.send_job("a", step(3), step(3))
    sim.run(0.6)
    assert sim.starts(job) == 3
    sim.store.faults.down = True
    for _ in range(80):
        sim.run(0.05)
        assert sim.planned("a") <= CAP and sim.running("a") <= CAP
    assert sim.starts(job) > 3
