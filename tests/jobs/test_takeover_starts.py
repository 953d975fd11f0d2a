"""What a new leader starts while workers that went dark with its predecessor are out of reach."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step, TaskId
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.storage import LEADER_PARTITION
from fescuerudder.jobs.workerport import StartOrder
from standins.jobworker import LONG_RUN_S
from tests.jobs.test_scheduler import JOB, ONE, steps

OTHER = "00000000000000bb"
FILLER = "00000000000000cc"

WAIT_S = 3.0
"""Time from a claim by which an older job with free room and nothing running has a start, in
seconds."""

STARTS_TABLE = "starts"
"""Table in which a leader stores starts before it orders them."""

DARK_MODES = ["crashed", "cut off", "cut off and unlisted"]


@attrs.define(kw_only=True)
class OrderLog:
    """Start orders that leaders sent.

    Args:
        starts: worker, task and attempt number of each order.
    """

    starts: list[tuple[str, TaskId, int]] = attrs.Factory(list)

    def workers(self, job_id):
        """Returns the workers that a start of a job was sent to."""
        return {worker for worker, task, _ in self.starts if task.job == job_id}


def record_orders(sim):
    """Records the start orders of a simulation from now on."""
    log, send = OrderLog(), sim.send

    def send_recorded(leader, order):
        if isinstance(order, StartOrder):
            log.starts.append((order.worker, order.task, order.attempt))
        send(leader, order)

    sim.send = send_recorded
    return log


def may_have_started_on(sim, orders, job_id, worker):
    """Returns whether a start of a job was sent to a worker, or stored before it would be sent."""
    page = sim.store.read(table=STARTS_TABLE, partition=LEADER_PARTITION, timeout_s=1)
    recorded = any(
        row.key.key.startswith(job_id) and f'"{worker}"'.encode() in row.value for row in page.rows
    )
    return recorded or worker in orders.workers(job_id)


def go_dark(sim, name, mode, *, leaders="bcdefgh"):
    """Takes a worker away from all later leaders."""
    if mode == "crashed":
        sim.workers[name].crash()
        return
    sim.cut |= {(leader, name) for leader in leaders}
    if mode == "cut off and unlisted":
        sim.unlisted.add(name)


def is_running(sim, job_id):
    return any(task.job == job_id for w in sim.workers.values() for task, _ in w.runs)


def run_until(sim, is_reached, seconds=10.0):
    end_s = sim.clock.now_s() + seconds
    while not is_reached():
        if sim.clock.now_s() >= end_s:
            pytest.fail("the simulation does not get there")
        sim.run(0.05)


def lose_leader(sim):
    """Kills the leader; the orders that are on their way don't arrive."""
    leader = sim.leaders[-1]
    leader.alive = False
    sim.cut |= {(leader.name, name) for name in sim.workers}


def stored_without_leader(sim):
    """A job that was accepted after its leader was lost."""
    sim.run(1.0)
    lose_leader(sim)
    sim.submit(JOB, steps=steps(1))
    return [JOB]


def known_without_room(sim):
    """A job that the leader knew and had no room for; a worker joined since."""
    sim.submit(FILLER, steps=steps(13))
    sim.run(1.0)
    sim.submit(JOB, steps=steps(2))
    sim.run(1.0)
    lose_leader(sim)
    sim.add_worker(8, 4.0)
    return [JOB]


def first_step_just_ended(sim):
    """A job of which the end of the first step was stored in the leader's last write."""
    sim.submit(JOB, steps=steps(1, 1))
    run_until(sim, lambda: is_running(sim, JOB))
    scheduler = sim.leaders[-1].scheduler
    (first,) = scheduler.state.jobs[JOB].steps[(0, 0)].tasks
    run_until(
        sim, lambda: first.done and scheduler.state.jobs[JOB] not in scheduler.state.dirty_jobs
    )
    lose_leader(sim)
    return [JOB]


def first_step_ended_earlier(sim):
    """A job of which the second step has waited for a whole worker; one joined since."""
    large = Step(count=1, size=attrs.evolve(ONE, processors=4.0), after=(0,))
    sim.submit(JOB, steps=(*steps(2), large))
    run_until(sim, lambda: is_running(sim, JOB))
    sim.submit(FILLER, steps=steps(13))
    run_until(sim, lambda: any(e[2].job == JOB and e[4] == "noted done" for e in sim.events))
    sim.run(0.5)
    lose_leader(sim)
    sim.add_worker(8, 4.0)
    return [JOB]


def many_jobs(sim):
    """Jobs of several tasks that were accepted while there was no leader."""
    sim.run(1.0)
    lose_leader(sim)
    ids = [f"{number:016x}" for number in range(1, 5)]
    for number, job_id in enumerate(ids):
        sim.submit(job_id, steps=steps(1 + number % 3, 2))
    return ids


def gang(sim):
    """A gang that was accepted while there was no leader."""
    sim.run(1.0)
    lose_leader(sim)
    sim.submit(JOB, steps=steps(3, gang=True))
    return [JOB]


def long_running(sim):
    """A job of tasks that last, accepted while there was no leader."""
    sim.run(1.0)
    lose_leader(sim)
    sim.submit(JOB, steps=steps(2, long_running=True))
    return [JOB]


SHAPES = [
    stored_without_leader,
    known_without_room,
    first_step_just_ended,
    first_step_ended_earlier,
    many_jobs,
    gang,
    long_running,
]


def busy_simulation():
    """Returns a simulation whose leader has started three tasks that last, and its orders."""
    sim = JobSimulation(workers=4)
    orders = record_orders(sim)
    run_s = {OTHER: LONG_RUN_S, FILLER: 60.0}
    sim.plan = lambda task, attempt, worker: (
        sim.specs[task.job].steps[task.step].size,
        run_s.get(task.job, 1.0),
        False,
    )
    sim.claim("a")
    sim.submit(OTHER, steps=steps(3, max_per_worker=1))
    sim.run(0.5)
    return sim, orders


@pytest.mark.parametrize("mode", DARK_MODES)
@pytest.mark.parametrize("shape", SHAPES)
def test_what_never_started_on_a_dark_worker_starts_after_a_takeover(shape, mode):
    """Guards against accepted jobs that wait 9.4 s beside free workers for one that went dark.

    The worker runs tasks of another job, and was never told to start any task of those that wait.
    """
    sim, orders = busy_simulation()
    ids = shape(sim)
    dark = next(
        name
        for name in sim.workers
        if not any(may_have_started_on(sim, orders, job_id, name) for job_id in ids)
        and orders.workers(OTHER) & {name}
    )
    go_dark(sim, dark, mode)
    before = {job_id: sim.starts(job_id) for job_id in ids}
    sim.claim("b")
    sim.run(WAIT_S)
    waiting = [job_id for job_id in ids if sim.starts(job_id) == before[job_id]]
    assert waiting == []


@pytest.mark.parametrize("mode", DARK_MODES)
@pytest.mark.parametrize("long_running", [False, True])
def test_other_tasks_of_a_job_on_a_dark_worker_start_after_a_takeover(long_running, mode):
    """Guards against tasks that wait for others of their step, which ran on a worker gone dark.

    The tasks had no room before, and were never told to start anywhere. A worker joined since.
    """
    sim = JobSimulation(workers=3)
    orders = record_orders(sim)
    sim.plan = lambda task, attempt, worker: (ONE, LONG_RUN_S, False)
    sim.claim("a")
    sim.submit(JOB, steps=steps(15, long_running=long_running))
    sim.run(1.0)
    ordered = {task for _, task, _ in orders.starts}
    lose_leader(sim)
    go_dark(sim, "w0", mode)
    sim.add_worker(8, 8.0)
    sim.claim("b")
    sim.run(WAIT_S)
    started = {event[2] for event in sim.events if event[4] == "start"}
    never = {TaskId(JOB, 0, 0, index) for index in range(15)} - ordered
    if not 0 < len(never) < 6:
        pytest.fail(f"{len(never)} tasks never started")
    assert never - started == set()


@pytest.mark.parametrize("mode", DARK_MODES)
@pytest.mark.parametrize("leaders", ["bcd", "bcde"])
@pytest.mark.parametrize("term_s", [0.1, 0.4, 0.9, 1.6])
def test_what_never_started_on_a_dark_worker_starts_after_several_takeovers(term_s, leaders, mode):
    """Guards against accepted jobs that wait while leaders are lost one after another.

    A worker went dark with the first of them. Before each claim a further job is accepted.
    """
    sim, orders = busy_simulation()
    sim.run(1.0)
    dark = min(orders.workers(OTHER))
    go_dark(sim, dark, mode)
    ids = [f"{number:016x}" for number in range(1, 1 + len(leaders))]
    for name, job_id in zip(leaders, ids, strict=True):
        lose_leader(sim)
        sim.submit(job_id, steps=steps(2))
        sim.claim(name)
        sim.run(term_s)
    sim.run(WAIT_S - term_s)
    assert [job_id for job_id in ids if not sim.starts(job_id)] == []


def cut_off_from_successors(sim, dark):
    """The leader is lost; the dark workers run on."""
    sim.leaders[-1].alive = False
    sim.cut |= {(name, worker) for name in "bcd" for worker in dark}


def cut_off_with_the_leader(sim, dark):
    """The leader is cut off from the store and still reaches the dark workers."""
    sim.partition(sim.leaders[-1], reached=set(dark), successor="b")
    sim.cut |= {(name, worker) for name in "cd" for worker in dark}


def cut_off_from_the_store(sim, dark):
    """The leader is cut off from the store and still reaches all workers."""
    sim.leaders[-1].reaches_store = False
    sim.cut |= {(name, worker) for name in "bcd" for worker in dark}


def late_orders(sim, dark):
    """The last orders of the leader arrive late, and without an answer."""
    sim.order_loss_rate = 1.0
    sim.run(0.5)
    cut_off_from_successors(sim, dark)
    sim.order_loss_rate = 0.0


def lost_answers_of_the_store(sim, dark):
    """The answers to the last writes of the leader are lost."""
    sim.store.faults.lose_answers = 3
    sim.run(0.5)
    cut_off_with_the_leader(sim, dark)
    sim.store.faults.lose_answers = 0


def late_writes(sim, dark):
    """The last writes of the leader are applied late, or not at all."""
    sim.store.faults.lose_writes = 2
    sim.run(0.3)
    cut_off_with_the_leader(sim, dark)
    sim.store.faults.lose_writes = 0
    sim.run(0.2)
    sim.store.apply_delayed()


def paused_leader(sim, dark):
    """The leader stands still, and goes on when its successor has begun."""
    sim.leaders[-1].paused_until_s = sim.clock.now_s() + 2.0
    sim.cut |= {(name, worker) for name in "bcd" for worker in dark}


LOSSES = [
    cut_off_from_successors,
    cut_off_with_the_leader,
    cut_off_from_the_store,
    late_orders,
    lost_answers_of_the_store,
    late_writes,
    paused_leader,
]


@pytest.mark.parametrize("lose", LOSSES)
@pytest.mark.parametrize("dark_count", [1, 2])
@pytest.mark.parametrize("claim_after_s", [0.0, 0.5, 2.5])
@pytest.mark.parametrize("heal_after_s", [2.0, 5.0, 15.0])
def test_what_started_on_a_dark_worker_does_not_run_twice(
    lose, dark_count, claim_after_s, heal_after_s
):
    """Guards against tasks that a successor starts while they run, or after they ended, elsewhere.

    Tasks wait for room when the leader is lost, so a leader that lives on has more to start on the
    dark workers as soon as tasks there end.
    """
    sim = JobSimulation(workers=4)
    run_s = {JOB: 12.0, OTHER: 1.0, FILLER: 3.0}
    sim.plan = lambda task, attempt, worker: (
        ONE,
        run_s.get(task.job, 1.0) + task.index % 5 * 0.3,
        False,
    )
    sim.claim("a")
    sim.submit(JOB, steps=steps(4, 2))
    sim.submit(OTHER, steps=steps(6, 6, 6))
    sim.submit(FILLER, steps=steps(20))
    sim.run(1.3)
    lose(sim, sorted(sim.workers)[:dark_count])
    sim.run(claim_after_s)
    sim.claim("b")
    sim.run(heal_after_s)
    sim.cut.clear()
    sim.run(35.0)
    sim.check_history()
    assert {sim.state(job_id) for job_id in sim.specs} == {JobState.COMPLETED}


@pytest.mark.parametrize("lose", LOSSES)
@pytest.mark.parametrize("term_s", [0.3, 1.0, 3.0])
def test_what_started_on_a_dark_worker_does_not_run_twice_after_several_takeovers(lose, term_s):
    """Guards against tasks that run twice because the second successor knows less than the first.

    The worker of some running tasks goes on, and no leader after the first reaches it.
    """
    sim = JobSimulation(workers=4)
    sim.plan = lambda task, attempt, worker: (ONE, 2.0 + task.index % 7, False)
    sim.claim("a")
    sim.submit(JOB, steps=steps(12, 4))
    sim.submit(OTHER, steps=steps(2, 2, 2))
    sim.run(1.0)
    lose(sim, ["w0"])
    for name in "bcd":
        sim.claim(name)
        sim.run(term_s)
        sim.leaders[-1].alive = False
    sim.claim("d")
    sim.run(12.0)
    sim.cut.clear()
    sim.run(40.0)
    sim.check_history()
    assert {sim.state(job_id) for job_id in sim.specs} == {JobState.COMPLETED}


@attrs.define(kw_only=True)
class World:
    """A simulation in which leaders are lost together with some workers, at random moments.

    Args:
        sim: the simulation.
        orders: its start orders.
        dark: workers that went dark.
        examined: number of jobs that could go on at a claim.
        waited: these jobs, if they had nothing running for WAIT_S after it.
    """

    sim: JobSimulation
    orders: OrderLog
    dark: set[str] = attrs.Factory(set)
    examined: int = 0
    waited: list[tuple[str, str]] = attrs.Factory(list)

    @classmethod
    def create(cls, seed):
        """Returns a world in which all room that is ever needed is free on the last workers."""
        sim = JobSimulation(seed=seed, workers=9, capacity=8.0)
        sim.plan = lambda task, attempt, worker: (
            ONE,
            0.3 + (task.index * 7 + task.step * 3 + seed) % 10 / 3,
            False,
        )
        return cls(sim=sim, orders=record_orders(sim))

    def submit(self, count):
        """Lets callers submit jobs."""
        rng = self.sim.rng
        for _ in range(count):
            widths = [rng.randint(1, 3) for _ in range(rng.randint(1, 3))]
            self.sim.submit(f"{len(self.sim.specs):016x}", steps=steps(*widths))

    def lose_leader_and_workers(self, successors):
        """Loses the leader and up to two workers, in one of several ways."""
        sim, rng = self.sim, self.sim.rng
        leader = sim.leaders[-1]
        names = rng.sample(sorted(set(sim.workers) - self.dark), rng.randint(1, 2))
        self.dark |= set(names)
        for name in names:
            if rng.random() < 0.4:
                sim.workers[name].crash()
            elif rng.random() < 0.3:
                sim.unlisted.add(name)
        kind = rng.choice(("killed", "killed with its orders", "cut off", "paused"))
        if kind == "cut off":
            sim.partition(leader, reached=set(names), successor=successors[0])
        elif kind == "paused":
            leader.paused_until_s = sim.clock.now_s() + rng.uniform(0.5, 4.0)
        else:
            leader.alive = False
        if kind == "killed with its orders":
            sim.cut |= {(leader.name, name) for name in sim.workers}
        sim.cut |= {(name, worker) for name in successors for worker in self.dark}

    def take_over(self, name):
        """Lets an instance claim, and notes which jobs go on within WAIT_S."""
        sim = self.sim
        ready = [job_id for job_id in sim.specs if self._can_go_on(job_id)]
        self.examined += len(ready)
        before = {job_id: sim.starts(job_id) for job_id in ready}
        sim.claim(name)
        sim.run(WAIT_S)
        self.waited += [(name, j) for j in ready if sim.starts(j) == before[j]]

    def _can_go_on(self, job_id):
        """Returns whether a job has nothing running and nothing that may run on a dark worker."""
        state = self.sim.state(job_id)
        return (
            (state is None or not state.is_final)
            and not is_running(self.sim, job_id)
            and self._has_waiting_tasks(job_id)
            and not any(
                may_have_started_on(self.sim, self.orders, job_id, name) for name in self.dark
            )
        )

    def _has_waiting_tasks(self, job_id):
        """Returns whether a task has not ended yet; a worker may still have to report the ends."""
        done = {event[2] for event in self.sim.events if event[4] == "done"}
        total = sum(step.count for step in self.sim.specs[job_id].steps)
        return len([task for task in done if task.job == job_id]) < total

    def play(self):
        """Loses three leaders, each with some workers, then heals all faults."""
        sim, rng, names = self.sim, self.sim.rng, ["a", "b", "c", "d"]
        sim.claim(names[0])
        for number in range(1, 4):
            self.submit(rng.randint(1, 3))
            sim.run(rng.uniform(0.3, 3.0))
            self.submit(rng.randint(0, 2))
            sim.run(rng.uniform(0.0, 0.3))
            self.lose_leader_and_workers(names[number:])
            sim.run(rng.choice((0.0, 0.4, 2.0)))
            self.submit(1)
            self.take_over(names[number])

    def heal(self):
        """Lets all machines reach each other again, and waits until all jobs have ended."""
        self.sim.cut.clear()
        self.sim.unlisted.clear()
        self.sim.run(40.0)


SEEDS = range(24)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_losses_of_leaders_and_workers_let_other_jobs_go_on(seed):
    """Guards against accepted jobs that stand still after a takeover beside free room.

    At each claim, a job that runs nowhere, and that no worker out of reach was told to start, has a
    start within WAIT_S.
    """
    world = World.create(seed)
    world.play()
    assert world.waited == [], f"of {world.examined}"


@pytest.mark.parametrize("seed", SEEDS)
def test_random_losses_of_leaders_and_workers_let_no_task_run_twice(seed):
    """Guards against tasks that a successor starts although they run out of its reach."""
    world = World.create(seed)
    world.play()
    world.heal()
    world.sim.check_history()
    assert world.examined >= 3
    assert {world.sim.state(job_id) for job_id in world.sim.specs} == {JobState.COMPLETED}
