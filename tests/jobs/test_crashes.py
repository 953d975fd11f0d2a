"""Tasks that crash each worker that starts them."""

import attrs
import pytest

from bench._jobsimulation import CALL_TIMEOUT_S, JobSimulation
from fescuerudder.jobs.crashes import EXONERATED_AFTER_S, MAX_CRASHES
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_scheduler import JOB, ONE, steps

OTHERS = [f"{number:016x}" for number in range(1, 7)]

MAX_STARTS = 5
"""Starts that the platform allows: it tolerates two more after three workers have crashed."""


def crash_simulation(*, delay_s=0.05, workers=6, keeps_id=True, run_s=1.0, **fields):
    """Returns a simulation in which task 0 of JOB crashes its workers, beside other jobs."""
    sim = JobSimulation(workers=workers)
    sim.run_s = run_s
    sim.keeps_id = keeps_id
    sim.crash_delay_s = lambda task: delay_s if task.job == JOB and task.index == 0 else None
    sim.claim("l0")
    for job_id in OTHERS:
        sim.submit(job_id, steps=steps(3, 2))
    sim.run(0.3)
    sim.submit(JOB, steps=(Step(count=2, size=ONE, **fields),))
    return sim


def starts_of_crashing_task(sim):
    return sum(1 for e in sim.events if e[4] == "start" and e[2].job == JOB and e[2].index == 0)


@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.6, 4.0])
@pytest.mark.parametrize(
    "fields", [{}, {"speculative": True}, {"long_running": True}], ids=["plain", "copies", "lasts"]
)
def test_a_task_that_crashes_its_workers_is_given_up(keeps_id, delay_s, fields):
    """Guards against one task that crashes worker after worker for as long as its job lives."""
    sim = crash_simulation(delay_s=delay_s, keeps_id=keeps_id, run_s=5.0, **fields)
    sim.copies_allowed = True
    sim.run(60)
    assert sim.state(JOB) is JobState.FAILED
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("replaced_at_s", [0.1, 1.0, 2.9, 3.2, 4.0, 6.5])
@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
def test_a_successor_knows_of_the_crashes(replaced_at_s, keeps_id):
    """Guards against a budget of crashes that begins anew with each leader."""
    sim = crash_simulation(keeps_id=keeps_id)
    sim.run(replaced_at_s)
    sim.leaders[-1].alive = False
    sim.run(1.0)
    sim.claim("l1")
    sim.run(50)
    assert sim.state(JOB) is JobState.FAILED
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("crashes", [1, MAX_CRASHES + 1])
def test_a_task_is_not_blamed_for_crashes_of_long_used_workers(crashes):
    """Guards against a job that is given up because its workers crash, however often."""
    sim = JobSimulation(workers=2)
    sim.run_s = 1e6
    sim.claim("a")
    sim.submit(JOB, steps=steps(1, long_running=True))
    for _ in range(crashes):
        sim.run(15.0)
        (worker,) = [worker for worker in sim.workers.values() if worker.runs]
        worker.crash()
        sim.run(3.0)
        worker.restart()
    sim.run(5.0)
    assert sim.state(JOB) is JobState.RUNNING
    assert any(worker.runs for worker in sim.workers.values())


def test_a_crash_of_a_zone_gives_up_nothing():
    """Guards against jobs that fail because all workers of a zone crash at once."""
    sim = JobSimulation(workers=6)
    sim.claim("a")
    for job_id in OTHERS:
        sim.submit(job_id, steps=steps(4, 4))
    sim.run(0.4)
    for _ in range(2):
        zone = [worker for worker in sim.workers.values() if worker.info.zone == "z0"]
        for worker in zone:
            worker.crash()
        sim.run(3.0)
        for worker in zone:
            worker.restart()
        sim.run(1.0)
    sim.run(30.0)
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("restarts", [2, 3])
def test_planned_restarts_of_workers_give_up_nothing(restarts):
    """Guards against a job that fails because its workers were stopped as announced."""
    sim = JobSimulation(workers=2)
    sim.run_s = 8.0
    sim.claim("a")
    sim.submit(JOB, steps=steps(1))
    sim.run(0.5)
    for _ in range(restarts):
        sim.run(5.0)
        (worker,) = [w for w in sim.workers.values() if w.runs]
        worker.info = attrs.evolve(worker.info, draining=True)
        sim.run(1.0)
        worker.crash()
        sim.run(2.0)
        worker.info = attrs.evolve(worker.info, draining=False)
        worker.restart()
        sim.run(0.3)
    sim.run(20.0)
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
@pytest.mark.parametrize("restart_delay_s", [2.0, 5.0, 7.0, 12.0])
def test_crashes_are_charged_however_late_the_worker_is_back(keeps_id, restart_delay_s):
    """Guards against crashes that are forgotten if the leases end before the worker is back."""
    sim = crash_simulation(keeps_id=keeps_id)
    sim.restart_delay_s = restart_delay_s
    sim.run(120)
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    assert sim.state(JOB) is JobState.FAILED


@pytest.mark.parametrize("takeovers", [2, 3, 4, 6])
def test_crashes_are_charged_over_several_takeovers(takeovers):
    """Guards against a task that goes on crashing workers while leaders follow one another."""
    sim = crash_simulation()
    for n in range(takeovers):
        sim.run(3.0)
        sim.leaders[-1].alive = False
        sim.run(1.0)
        sim.claim(f"l{n + 1}")
    sim.run(60)
    assert starts_of_crashing_task(sim) <= MAX_STARTS


def test_a_start_that_another_worker_refuses_is_no_crash():
    """Guards against a job that fails because its starts meet another worker at the address."""
    sim = JobSimulation(workers=1)
    leader = sim.claim("a")
    sim.run(0.5)
    sim.replaced["w0"] = "w1"
    sim.submit(JOB, steps=steps(1))
    sim.run(2.0)
    (task,) = leader.scheduler.state.jobs[JOB].tasks()
    assert task.last_number and not task.crashed_attempts


def lose_power(sim, name, *, down_s=2.5):
    """Takes a worker down, which is back under its id with nothing running."""
    sim.workers[name].crash()
    sim._at(sim.clock.now_s() + down_s, sim.workers[name].restart)


def crash_before_answers(sim):
    """Crashes the workers of the crashing task when they start it, before they answer."""
    execute, answer, unanswered = sim._execute, sim._answer, []

    def execute_or_crash(worker, order):
        result = execute(worker, order)
        if isinstance(order, StartOrder) and order.task.job == JOB and not order.task.index:
            unanswered.append(order)
            worker.crash()
            name = worker.info.id
            sim._at(sim.clock.now_s() + sim.restart_delay_s, lambda: sim._restart_crashed(name))
        return result

    def answer_unless_crashed(leader, order, sent_s, result):
        if order in unanswered:
            at_s = sent_s + CALL_TIMEOUT_S
            sim._at(at_s, lambda: sim._no_answer(leader, order, sent_s))
        else:
            answer(leader, order, sent_s, result)

    sim._execute, sim._answer = execute_or_crash, answer_unless_crashed
    sim.crash_delay_s = lambda task: None


def lose_power_at_starts(sim, *, count, down_s):
    """Takes the workers of the next starts down just before these arrive; returns their ids."""
    send, lost = sim.send, []

    def send_or_lose(leader, order):
        if isinstance(order, StartOrder) and len(lost) < count:
            lost.append(order.worker)
            lose_power(sim, order.worker, down_s=down_s)
        send(leader, order)

    sim.send = send_or_lose
    return lost


def run_until_begun(sim):
    """Runs until a task has begun; returns its worker."""
    for _ in range(400):
        sim.run(0.05)
        for name, worker in sim.workers.items():
            if worker.runs:
                return name
    raise AssertionError("no task has begun")


@pytest.mark.parametrize("lost_starts", [1, 2])
@pytest.mark.parametrize("run_s", [0.1, 0.6, 1.2])
@pytest.mark.parametrize("down_s", [0.6, 2.5])
@pytest.mark.parametrize("workers", [1, 3])
def test_a_start_that_never_arrived_is_no_crash(lost_starts, run_s, down_s, workers):
    """Guards against a job that fails after one lost run, beside starts that met a dead worker."""
    sim = JobSimulation(workers=workers)
    sim.run_s = 4.0
    sim.claim("a")
    sim.run(0.5)
    lost = lose_power_at_starts(sim, count=lost_starts, down_s=down_s)
    sim.submit(JOB, steps=steps(1))
    worker = run_until_begun(sim)
    assert len(lost) == lost_starts
    sim.run(run_s)
    lose_power(sim, worker, down_s=down_s)
    sim.run(25.0)
    assert sim.state(JOB) is JobState.COMPLETED
    assert sim.starts(JOB) == 2


@pytest.mark.parametrize("keeps_id", [True, False], ids=["same id", "new id"])
@pytest.mark.parametrize("restart_delay_s", [0.5, 1.0, 3.0, 7.0, 12.0])
@pytest.mark.parametrize("fields", [{}, {"speculative": True}], ids=["plain", "copies"])
def test_starts_without_an_answer_are_limited(keeps_id, restart_delay_s, fields):
    """Guards against a task that crashes its workers before they answer, without end."""
    sim = crash_simulation(keeps_id=keeps_id, **fields)
    sim.copies_allowed = True
    sim.restart_delay_s = restart_delay_s
    crash_before_answers(sim)
    sim.run(120)
    assert starts_of_crashing_task(sim) <= MAX_STARTS
    assert sim.state(JOB) is JobState.RUNNING, "no run of the task is known to have begun"
    for job_id in OTHERS:
        assert sim.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("takeovers", [1, 2, 4, 6])
@pytest.mark.parametrize("term_s", [1.0, 3.0, 4.0, 8.0, 14.0])
def test_a_successor_knows_of_possible_crashes(term_s, takeovers):
    """Guards against a limit on starts without an answer that begins anew with each leader."""
    sim = crash_simulation()
    crash_before_answers(sim)
    for number in range(takeovers):
        sim.run(term_s)
        sim.leaders[-1].alive = False
        sim.run(1.0)
        sim.claim(f"l{number + 1}")
    sim.run(90)
    assert starts_of_crashing_task(sim) <= MAX_STARTS


def test_a_long_run_clears_possible_crashes():
    """Guards against a task that is held back for starts that were lost long before."""
    sim = JobSimulation(workers=3)
    sim.run_s = 60.0
    leader = sim.claim("a")
    sim.run(0.5)
    lose_power_at_starts(sim, count=2, down_s=2.5)
    sim.submit(JOB, steps=steps(1))
    run_until_begun(sim)
    (task,) = leader.scheduler.state.jobs[JOB].tasks()
    assert len(task.possible_crashes) == 2
    sim.run(EXONERATED_AFTER_S + 1.0)
    assert not task.possible_crashes


@pytest.mark.parametrize(
    ("is_registry_late", "arrives_s"), [(True, 0.7), (True, 1.3), (False, 0.6)]
)
def test_an_answer_of_the_next_life_is_no_word_of_the_last(is_registry_late, arrives_s):
    """Guards against a crash that is charged to a start that the restarted worker carried out."""
    sim = JobSimulation(workers=2)
    sim.plan = lambda task, attempt, worker: (ONE, 2.0, attempt == 1)
    leader = sim.claim("a")
    sim.run(5.0)
    send, deliver = sim.send, sim._deliver

    def delay_first_start(leader, order):
        if not isinstance(order, StartOrder) or order.attempt > 1:
            send(leader, order)
            return
        sent_s, worker = sim.clock.now_s(), sim.workers[order.worker]
        if is_registry_late:
            sim.stale_entries[order.worker] = (worker.registry_entry(), sent_s + 3.0)
        lose_power(sim, order.worker, down_s=0.6)
        sim._at(sent_s + arrives_s, lambda: deliver(leader, order, sent_s, False))

    sim.send = delay_first_start
    sim.submit(JOB, steps=steps(1))
    sim.run(1.8)
    (task,) = leader.scheduler.state.jobs[JOB].tasks()
    assert not task.crash_count, "it runs, so it was not lost"
    sim.run(1.7)
    worker = run_until_begun(sim)
    sim.run(0.5)
    lose_power(sim, worker)
    sim.run(15.0)
    events = [e[4] for e in sim.events if e[4] in ("start", "failed", "lost")]
    assert events == ["start", "failed", "start", "lost", "start"]
    assert sim.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize(
    ("possible", "state"),
    [(0, JobState.COMPLETED), (1, JobState.COMPLETED), (2, JobState.FAILED)],
)
def test_a_task_at_the_limit_of_starts_is_given_up_after_two_known_crashes(possible, state):
    """Guards against a job that waits for ever although its task is known to crash workers."""
    sim = JobSimulation(workers=1)
    sim.run_s = 4.0
    leader = sim.claim("a")
    sim.run(0.5)
    sim.submit(JOB, steps=steps(2))
    for number in range(2):
        worker = run_until_begun(sim)
        tasks = list(leader.scheduler.state.jobs[JOB].tasks())
        for task in tasks:
            task.possible_crashes = list(range(-possible, 0))
        sim.run(0.2)
        lose_power(sim, worker)
        sim.run(4.0)
        assert len(tasks[0].crashed_attempts) == number + 1
    sim.run(30.0)
    assert sim.state(JOB) is state
