"""Decisions of the leader against model workers, with faults of every kind."""

import attrs
import pytest

from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState
from tests.jobs.job_world import JobWorld, queue

JOB = "00000000000000aa"
ONE = Size(processors=1.0, memory_mb=10)


def steps(*counts, **fields):
    """Returns steps that run one after another."""
    return tuple(
        Step(count=count, size=ONE, after=(number - 1,) if number else (), **fields)
        for number, count in enumerate(counts)
    )


def test_a_job_completes_step_by_step():
    """Guards against tasks that start too early, twice or never."""
    world = JobWorld()
    world.submit(JOB, steps=steps(3, 2, 4))
    world.claim("a")
    world.run(6)
    assert world.state(JOB) is JobState.COMPLETED
    assert world.starts(JOB) == 9
    world.check_history()


def test_more_tasks_than_room_wait():
    """Guards against starts beyond a worker's capacity."""
    world = JobWorld(workers=1, capacity=2.0)
    world.submit(JOB, steps=steps(5))
    world.claim("a")
    world.run(1)
    assert world.starts(JOB) == 2
    world.run(4)
    assert world.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize(
    ("fails", "limit", "state", "starts"),
    [
        (1, 3, JobState.COMPLETED, 2),
        (2, 3, JobState.COMPLETED, 3),
        (5, 3, JobState.FAILED, 3),
        (1, 1, JobState.FAILED, 1),
    ],
)
def test_failed_attempts_are_counted(fails, limit, state, starts):
    """Guards against jobs that fail too early, and starts beyond the limit."""
    world = JobWorld(
        plan=lambda task, attempt, worker: (ONE, 0.5, attempt <= fails),
        queues=(queue(max_failures=limit),),
    )
    world.submit(JOB, steps=steps(1))
    world.claim("a")
    world.run(6)
    assert world.state(JOB) is state
    assert world.starts(JOB) == starts


def test_a_cancelled_job_stops():
    """Guards against tasks that run on or start after the cancellation."""
    world = JobWorld(workers=1, capacity=2.0)
    world.run_s = 30.0
    world.submit(JOB, steps=steps(4))
    world.claim("a")
    world.run(1)
    world.cancel(JOB)
    world.run(1)
    assert world.state(JOB) is JobState.CANCELLED
    assert world.starts(JOB) == 2
    assert not world.workers["w0"].runs


def test_long_running_tasks_are_restarted():
    """Guards against a task that is to last and stays away after its end."""
    world = JobWorld(workers=2, plan=lambda task, attempt, worker: (ONE, 2.0, attempt == 1))
    world.submit(JOB, steps=steps(2, long_running=True))
    world.claim("a")
    world.run(8)
    assert world.state(JOB) is JobState.RUNNING
    assert world.starts(JOB) >= 6
    assert sum(len(w.runs) for w in world.workers.values()) == 2


def test_a_successor_adopts_what_runs():
    """Guards against second runs of a task, and against work thrown away, at a takeover."""
    world = JobWorld()
    world.run_s = 4.0
    world.submit(JOB, steps=steps(3, 1))
    first = world.claim("a")
    world.run(1)
    first.alive = False
    world.run(2)
    world.claim("b")
    world.run(9)
    assert world.state(JOB) is JobState.COMPLETED
    assert world.starts(JOB) == 4
    world.check_history()


def test_a_leader_that_was_replaced_changes_nothing():
    """Guards against a paused leader whose orders and writes arrive after a takeover."""
    world = JobWorld()
    world.run_s = 1.5
    world.submit(JOB, steps=steps(2, 2, 2))
    first = world.claim("a")
    world.run(1)
    first.paused_until_s = world.clock.now_s() + 3
    world.run(2)
    world.claim("b")
    world.run(8)
    assert not first.alive
    assert world.state(JOB) is JobState.COMPLETED
    world.check_history()


def test_a_start_without_an_answer_is_settled_before_another():
    """Guards against a second run where an order is carried out seconds late."""
    world = JobWorld(workers=3)
    world.run_s = 8.0
    world.lose_orders = 0.3
    world.submit(JOB, steps=steps(6))
    world.claim("a")
    world.run(12)
    world.lose_orders = 0.0
    world.run(25)
    assert world.state(JOB) is JobState.COMPLETED
    world.check_history()


def test_work_of_an_unreachable_worker_waits_for_its_lease():
    """Guards against a second run of a task whose worker is cut off and runs on."""
    world = JobWorld(workers=2)
    world.run_s = 9.0
    world.submit(JOB, steps=steps(2))
    leader = world.claim("a")
    world.run(1)
    world.cut.add((leader.name, "w0"))
    world.run(25)
    assert world.state(JOB) is JobState.COMPLETED
    world.check_history()


def test_a_leader_cut_off_with_a_zone_restarts_nothing_that_a_successor_goes_on_with():
    """Guards against second runs where leases look ended to a leader that was replaced."""
    world = JobWorld(workers=3, capacity=2.0)
    world.run_s = 9.0
    world.submit(JOB, steps=steps(4))
    first = world.claim("a")
    world.run(1)
    world.partition(first, reached={"w2"}, successor="b")
    world.run(3)
    world.claim("b")
    world.run(22)
    assert world.state(JOB) is JobState.COMPLETED
    world.check_history()


def test_a_worker_born_again_gets_its_work_restarted_at_once():
    """Guards against waiting for a lease of a life that has ended."""
    world = JobWorld(workers=1)
    world.run_s = 2.0
    world.submit(JOB, steps=steps(2))
    world.claim("a")
    world.run(1)
    world.workers["w0"].crash()
    world.run(0.5)
    world.workers["w0"].restart()
    world.run(3.5)
    assert world.state(JOB) is JobState.COMPLETED


def test_the_store_away_stops_no_running_work():
    """Guards against work that is lost or runs twice when the store is down for seconds."""
    world = JobWorld()
    world.submit(JOB, steps=steps(3, 3, 3, 3))
    world.claim("a")
    world.run(0.5)
    world.store.faults.down = True
    world.run(3)
    world.store.faults.down = False
    world.run(3)
    assert world.state(JOB) is JobState.COMPLETED
    assert world.starts(JOB) == 12
    world.check_history()


def test_at_most_so_many_tasks_of_a_step_on_one_worker():
    """Guards against tasks of a step that share a worker beyond the limit."""
    world = JobWorld(workers=3)
    world.run_s = 3.0
    world.submit(JOB, steps=steps(5, max_per_worker=1))
    world.claim("a")
    world.run(1)
    assert sorted(len(w.runs) for w in world.workers.values()) == [1, 1, 1]


def test_a_gang_starts_whole_or_not_at_all():
    """Guards against members of a gang that wait for others."""
    world = JobWorld(workers=2, capacity=2.0)
    world.run_s = 2.0
    world.submit("00000000000000a1", steps=steps(2))
    world.claim("a")
    world.run(0.5)
    world.submit(JOB, steps=steps(3, gang=True))
    world.run(1)
    assert world.starts(JOB) == 0
    world.run(5)
    assert world.state(JOB) is JobState.COMPLETED
    numbers = {e[3] for e in world.events if e[2].job == JOB and e[4] == "start"}
    assert len(numbers) == 1


def test_a_zone_out_of_service_gets_no_starts():
    """Guards against starts in a zone that operators took out."""
    world = JobWorld(workers=3)
    leader = world.claim("a")
    leader.scheduler.set_zones_out(frozenset({"z0", "z1"}))
    world.submit(JOB, steps=steps(4))
    world.run(3)
    assert {e[1] for e in world.events if e[4] == "start"} == {"w2"}


@pytest.mark.parametrize("draining", [True, False])
def test_a_draining_worker_gets_no_starts(draining):
    """Guards against starts on a worker that is about to leave."""
    world = JobWorld(workers=1)
    worker = world.workers["w0"]
    worker.info = attrs.evolve(worker.info, draining=draining)
    world.submit(JOB, steps=steps(2))
    world.claim("a")
    world.run(3)
    assert (world.starts(JOB) == 0) is draining


def test_a_worker_that_fails_everything_is_set_aside():
    """Guards against one bad worker that uses up the attempts of all tasks."""
    world = JobWorld(
        workers=4,
        capacity=8.0,
        plan=lambda task, attempt, worker: (ONE, 0.1 if worker == "w1" else 0.8, worker == "w1"),
        queues=(queue(max_failures=2),),
    )
    world.claim("a")
    for number in range(12):
        world.submit(f"{number:016x}", steps=steps(4))
        world.run(0.4)
    world.run(10)
    assert {world.state(job) for job in world.specs} == {JobState.COMPLETED}
    failed = sum(1 for event in world.events if event[4] == "failed")
    assert failed <= 16


def test_tasks_leave_a_worker_that_stands_still():
    """Guards against tasks that wait for a worker whose tasks make no progress."""
    world = JobWorld(workers=2, capacity=8.0)
    world.submit(JOB, steps=steps(4, estimated_ms=1000))
    world.claim("a")
    world.run(0.3)
    stuck = world.workers["w0"]
    assert stuck.runs
    stuck.is_stalled = True
    world.run(6)
    assert world.state(JOB) is JobState.COMPLETED
    world.check_history()


def test_a_copy_runs_beside_a_speculative_task_in_doubt():
    """Guards against waiting for the lease of a task of which copies are allowed."""
    world = JobWorld(workers=2, capacity=8.0)
    world.submit(JOB, steps=steps(4, speculative=True))
    leader = world.claim("a")
    world.run(0.3)
    world.cut.add((leader.name, "w0"))
    world.copies_allowed = True
    world.run(4.0)
    assert world.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("is_reachable", [True, False])
def test_a_worker_missing_from_the_registry_still_counts_at_a_takeover(is_reachable):
    """Guards against second runs of what an unlisted worker runs on its lease."""
    world = JobWorld(workers=3, capacity=2.0)
    world.run_s = 60.0
    world.submit(JOB, steps=steps(6, long_running=True))
    first = world.claim("a")
    world.run(2)
    first.alive = False
    world.hidden.add("w0")
    if not is_reachable:
        world.cut.add(("b", "w0"))
    for number in (3, 4):
        world.add_worker(number, 2.0)
    world.claim("b")
    world.run(20)
    assert world.starts(JOB) == (6 if is_reachable else 8)
    assert sum(len(w.runs) for w in world.workers.values()) == 6
    world.check_history()


def test_no_task_starts_on_a_worker_that_a_successor_would_not_know_of():
    """Guards against starts before the worker is on the stored roster."""
    world = JobWorld(workers=1)
    world.submit(JOB, steps=steps(1))
    leader = world.claim("a")
    world.store.faults.down = True
    world.run(2)
    assert world.starts(JOB) == 0
    world.store.faults.down = False
    world.run(1)
    assert world.starts(JOB) == 1
    assert leader.scheduler.world.books["w0"].recorded


def test_a_worker_that_returns_to_the_registry_keeps_its_token():
    """Guards against a leader that takes its own raised token for that of a successor."""
    world = JobWorld(workers=1)
    leader = world.claim("a")
    world.run(1)
    book = leader.scheduler.world.books["w0"]
    book.token += 1
    world.workers["w0"].highest_token = book.token
    world.hidden.add("w0")
    world.run(1)
    assert "w0" not in leader.scheduler.world.books
    world.hidden.clear()
    world.submit(JOB, steps=steps(1))
    world.run(3)
    assert not leader.scheduler.is_superseded
    assert world.state(JOB) is JobState.COMPLETED


def test_an_idle_worker_that_was_silent_is_used_again():
    """Guards against capacity that stays lost after a cut: nobody asked an idle worker again."""
    world = JobWorld(workers=1, capacity=2.0)
    world.submit(JOB, steps=steps(2))
    world.claim("a")
    world.run(0.5)
    world.cut.add(("a", "w0"))
    world.run(8)
    world.cut.clear()
    world.run(10)
    assert world.state(JOB) is JobState.COMPLETED
    world.submit("00000000000000bb", steps=steps(2))
    world.run(3)
    assert world.state("00000000000000bb") is JobState.COMPLETED


def test_an_answer_to_a_forgotten_book_does_not_stop_renewals():
    """Guards against a worker that is never asked again after it left and came back."""
    world = JobWorld(workers=1)
    leader = world.claim("a")
    world.run(1)
    books = leader.scheduler.world.books
    order = leader.scheduler._renew(books["w0"], world.clock.now_s())
    world.hidden.add("w0")
    world.run(0.2)
    world.hidden.clear()
    world.run(0.2)
    leader.scheduler.on_silence(order, sent_s=world.clock.now_s(), reason="no answer")
    world.submit(JOB, steps=steps(1))
    world.run(4)
    assert world.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("is_taken_over", [True, False])
def test_another_worker_at_the_address_ends_the_wait(is_taken_over):
    """Guards against work that waits for the lease of a worker whose machine is back as another.

    Where a successor comes at that time, it would wait with all jobs for 9 s.
    """
    world = JobWorld(workers=2)
    world.run_s = 60.0
    world.submit(JOB, steps=steps(4, long_running=True))
    first = world.claim("a")
    world.run(2)
    world.workers["w0"].crash()
    world.replaced["w0"] = "w2"
    world.add_worker(2, 4.0)
    if is_taken_over:
        first.alive = False
        world.claim("b")
    world.run(2.5)
    assert sum(len(w.runs) for w in world.workers.values()) == 4
    assert "w0" not in world.leaders[-1].scheduler.world.books


def test_a_job_waits_until_a_task_is_seen_to_run():
    """Guards against jobs that count as begun because of orders that no worker carried out."""
    world = JobWorld(workers=1)
    world.workers["w0"].refuses_starts = True
    world.submit(JOB, steps=steps(1))
    leader = world.claim("a")
    world.run(3)
    assert leader.scheduler.pending() == {"q": 1}
    world.workers["w0"].refuses_starts = False
    world.run(0.8)
    assert leader.scheduler.pending() == {}
    assert world.state(JOB) is JobState.RUNNING


@pytest.mark.parametrize(
    ("ages_s", "first"),
    [((2.0, 1.0), 0), ((8.0, 1.0), 1), ((30.0, 8.0), 1), ((40.0, 30.0), 0)],
)
def test_jobs_that_can_still_be_in_time_go_first(ages_s, first):
    """Guards against one late job after the other, each of which makes the next one late.

    Both jobs have 2 s of work and 5 s for it; after 15 s they are of no use.
    """
    world = JobWorld(workers=1, capacity=1.0)
    spec = Step(count=1, size=ONE, estimated_ms=2000)
    leader = world.claim("a")
    world.workers["w0"].refuses_starts = True
    ids = [f"{number:016x}" for number in range(2)]
    for job_id in ids:
        world.submit(job_id, steps=(spec,))
    world.run(1)
    for job_id, age_s in zip(ids, ages_s, strict=True):
        leader.scheduler.world.jobs[job_id].received_s = world.clock.now_s() - age_s
    # What was ordered before is refused.
    world.run(0.5)
    world.workers["w0"].refuses_starts = False
    world.run(0.5)
    assert [e[2].job for e in world.events if e[4] == "start"][:1] == [ids[first]]


@pytest.mark.parametrize("sent_s", [0.0, 0.2])
def test_a_start_that_a_new_life_took_is_not_repeated(sent_s):
    """Guards against a second run on a worker that was born again before anybody noticed.

    The new life carries out a start that was meant for the one before; its answer looks alike.
    """
    world = JobWorld(workers=1)
    world.run_s = 2.0
    world.claim("a")
    world.run(1)
    world.reborn("w0", unnoticed_s=0.6)
    world.run(sent_s)
    world.submit(JOB, steps=steps(1))
    world.run(6)
    assert world.state(JOB) is JobState.COMPLETED
    assert world.starts(JOB) == 1
