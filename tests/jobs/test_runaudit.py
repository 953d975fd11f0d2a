"""Log lines on runs of orders to an earlier incarnation, and on second runs of a task."""

import math

import attrs
import pytest
from structlog.testing import capture_logs

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.latestarts import dump_late_starts
from fescuerudder.jobs.rows import RowTransaction
from fescuerudder.jobs.runaudit import RunAudit, epoch_of
from fescuerudder.jobs.schedulerstate import ATTEMPTS_PER_EPOCH
from fescuerudder.jobs.storage import UNANSWERED_KEY
from fescuerudder.jobs.workerport import Report, RunningAttempt, StartOrder
from tests.jobs.test_former_incarnation import delay, make_world, require, run_until
from tests.jobs.test_scheduler import JOB, ONE, steps

LATER = "start carried out by a later incarnation"
TWICE = "task may run on two workers"
EXPIRED = "leases ended unseen"

OTHER_JOB = "00000000000000bb"
THIRD_JOB = "00000000000000cc"

TASKS = 8
"""Number of tasks of a job that leaves no worker idle."""

START_DELAY_S = 3.5
NEVER_S = 90.0
LONG_RUN_S = 60.0
"""Run time of tasks that run throughout a test; slower progress counts as standing still."""

LONG_LEASE_MS = 300_000


def named(lines, event):
    """Returns the log lines of an event."""
    return [line for line in lines if line["event"] == event]


def lose_starts(sim, worker, *, arrives_s=START_DELAY_S):
    """Lets all starts on the first worker reach its next incarnation, after `arrives_s`."""
    late = delay(sim, lambda order: arrives_s if isinstance(order, StartOrder) else NEVER_S)
    sim.run_s = LONG_RUN_S
    sim.submit(OTHER_JOB, steps=[Step(count=TASKS, size=ONE)])
    run_until(sim, lambda: any(isinstance(order, StartOrder) for order in late))
    sim.unlisted.add("w0")
    sim.run(0.6)
    worker.crash()
    worker.restart()
    return [order for order in late if isinstance(order, StartOrder)]


def stay_cut_off(sim, name):
    """Cuts the first worker off from a leader, and makes room for its tasks elsewhere."""
    sim.cut.add((name, "w0"))
    sim.add_worker(len(sim.workers), 6.0)


def store_all_answered(sim):
    """Stores, for a lost leader that wrongly believed it, that all its starts were answered."""
    txn = RowTransaction(puts=((UNANSWERED_KEY, dump_late_starts(())),))
    sim.store.write(txn, timeout_s=1)


def run_twice(sim, leader, worker):
    """Lets a successor start tasks that the next incarnation of a worker it can't reach runs (H2).

    The lost leader stored that the starts there were answered, so the successor takes the runs for
    ended by their leases. The runs there last until the test has seen what is logged of them,
    whatever leases the leader counts.
    """
    sim.copies_allowed = True
    starts = lose_starts(sim, worker)
    run_until(sim, lambda: worker.runs)
    worker.lease_until_ms += LONG_LEASE_MS
    leader.alive = False
    store_all_answered(sim)
    stay_cut_off(sim, "b")
    sim.run(0.4)
    sim.claim("b")
    run_until(sim, lambda: runs_elsewhere(sim, worker), limit_s=60.0)
    sim.run(1.0)
    require(worker.runs)
    return starts


def runs_elsewhere(sim, worker):
    """Returns whether all that runs on a worker runs on other ones, too."""
    others = {task for w in sim.workers.values() if w is not worker for task, _ in w.runs}
    return {task for task, _ in worker.runs} <= others


def restart_before(sim, arrives_s):
    """Restarts the first worker just before an order arrives; no renewal arrives before it."""
    sim.run(arrives_s - 0.3 - sim.clock.now_s())
    delay(sim, lambda order: NEVER_S)
    sim.run(0.2)
    sim.restart_worker("w0", registry_lag_s=4.0)
    sim.run(0.25)


def return_to(sim, name):
    """Ends the cut between the first worker and a leader."""
    sim.late_by_s = lambda order: None
    sim.cut.discard((name, "w0"))
    sim.unlisted.discard("w0")
    sim.run(3.0)


@pytest.mark.parametrize(
    ("arrives_s", "claims_after_s", "result", "is_timed"),
    [
        (1.2, None, "live attempt", True),
        (10.0, None, "late start", True),
        (1.2, 0.2, "restored", False),
        (1.2, 0.2, "restored late start", False),
        (10.0, 4.0, "restored late start", False),
    ],
)
def test_a_run_of_an_order_to_the_last_incarnation_is_logged(
    arrives_s, claims_after_s, result, is_timed
):
    """Guards against logs that don't tell which leader still knew of a start, and how.

    The worker restarts just before the order arrives. The leader has given the start up by then
    (late start) or not, and it is the one that sent it or its successor. The registry doesn't list
    the worker, so the start is not sent again under its number.
    """
    sim, leader, worker = make_world(tasks=0, workers=1)
    sim.run_s = LONG_RUN_S
    late = delay(sim, lambda order: arrives_s if isinstance(order, StartOrder) else None)
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: late)
    sent_s = sim.clock.now_s()
    sim.unlisted.add("w0")
    sim.late_by_s = lambda order: NEVER_S if isinstance(order, StartOrder) else None
    if claims_after_s is not None:
        sim.run(claims_after_s)
        leader.alive = False
        if result == "restored":
            store_all_answered(sim)
        sim.cut.add(("b", "w0"))
        leader = sim.claim("b")
    with capture_logs() as lines:
        restart_before(sim, sent_s + arrives_s)
        require(worker.runs)
        sim.late_by_s = lambda order: None
        sim.cut.clear()
        sim.unlisted.clear()
        sim.stale_entries.clear()
        sim.run(5.0)
    (line,) = named(lines, LATER)
    assert (line["job"], line["attempt"], line["worker"]) == (OTHER_JOB, 1, "w0")
    assert (line["ordered_for_ms"], line["born_ms"]) == (1000, 1001)
    assert (line["epoch"], line["leader_epoch"]) == (1, leader.scheduler.state.term.epoch)
    assert (line["result"], line["listed_as"], line["lapsed"]) == (result, "running", False)
    assert (line["sent_ago_s"] is not None) is is_timed
    assert not is_timed or arrives_s < line["sent_ago_s"] < arrives_s + 5.0


def test_a_run_that_has_ended_before_any_report_is_logged():
    """Guards against short runs of late orders that no log line tells of."""
    sim, leader, worker = make_world(tasks=0, workers=1)
    sim.run_s = 0.2
    late = delay(sim, lambda order: 1.2 if isinstance(order, StartOrder) else None)
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    run_until(sim, lambda: late)
    restart_before(sim, sim.clock.now_s() + 1.2)
    sim.run(0.3)
    require(not worker.runs)
    with capture_logs() as lines:
        sim.late_by_s = lambda order: None
        sim.run(5.0)
    (line,) = named(lines, LATER)
    assert (line["result"], line["listed_as"]) == ("live attempt", "ended")


def test_two_runs_of_a_task_are_logged_once():
    """Guards against a leader that stops one of two runs of a task without a word (H2).

    Only the lost leader knew that the start had got no answer; its successor takes the run for
    ended by its lease.
    """
    sim, leader, worker = make_world(tasks=0)
    with capture_logs() as lines:
        starts = run_twice(sim, leader, worker)
        running = set(worker.runs)
        require(running)
        return_to(sim, "b")
        sim.run(3.0)
    expired = [line for line in named(lines, EXPIRED) if line["restored"]]
    assert [line["log_level"] for line in expired] == ["warning"]
    assert expired[0]["restored"] == len(starts)
    assert not expired[0]["answered"] + expired[0]["unanswered"]
    assert {(s[0], s[1:4], s[4]) for s in expired[0]["starts"]} == {
        (order.task.job, order.task[1:], order.attempt) for order in starts
    }
    twice = named(lines, TWICE)
    pairs = [(line["task"], line["attempt"], line["other_attempt"]) for line in twice]
    assert len(pairs) == len(set(pairs)) == len(running)
    for line in twice:
        assert line["log_level"] == "error"
        assert (line["worker"], line["epoch"], line["known"]) == ("w0", 1, "restored")
        assert line["lapsed"]
        assert (line["other_epoch"], line["other_known"]) == (2, "live attempt")
        assert line["result"] == "listed"
    later = named(lines, LATER)
    assert {line["result"] for line in later} == {"restored"}
    assert all(line["lapsed"] for line in later)
    assert {(line["task"], line["attempt"]) for line in later} == {
        (task[1:], number) for task, number in running
    }


def test_a_run_that_ended_beside_another_one_is_logged():
    """Guards against a second run that no report lists before it has ended (random world 475)."""
    sim, leader, worker = make_world(tasks=0)
    run_twice(sim, leader, worker)
    ended = {task[1:] for task, _ in worker.runs}
    worker.lease_until_ms = 0.0
    sim.run(0.1)
    require(not worker.runs)
    with capture_logs() as lines:
        return_to(sim, "b")
    twice = named(lines, TWICE)
    assert {line["task"] for line in twice} == ended
    assert {line["listed_as"] for line in [*twice, *named(lines, LATER)]} == {"ended"}


def restore_only_first_starts(sim):
    """Lets the newest leader know the first leader's starts in place of the second one's.

    It drops them as it adopts what the second leader has started.
    """
    state = sim.leaders[-1].scheduler.state
    record = state.workers["w0"]
    for attempt in list(state.jobs[OTHER_JOB].attempts()):
        if (attempt.task.id, 1) in sim.workers["w0"].runs:
            state.drop_attempt(attempt)
            first = attrs.evolve(attempt, worker="w0", number=1, incarnation_ms=1000)
            state.add_attempt(first)
    require(record.attempts)
    record.resolved_by_s = sim.clock.now_s() + NEVER_S


@pytest.mark.parametrize(
    ("change", "known", "other_known"),
    [
        (lambda sim: None, "unknown", "adopted"),
        (restore_only_first_starts, "restored", "adopted"),
    ],
)
def test_a_third_leader_logs_a_run_that_only_the_first_one_knew(change, known, other_known):
    """Guards against logs that don't tell a chain of takeovers from one (H3).

    The second leader takes the run for ended, and its record of the step names its own start only.
    """
    sim, leader, worker = make_world(tasks=0)
    run_twice(sim, leader, worker)
    sim.leaders[-1].alive = False
    sim.claim("c")
    with capture_logs() as lines:
        change(sim)
        sim.run(1.0)
        require(worker.runs)
        running = {(task[1:], number) for task, number in worker.runs}
        return_to(sim, "c")
    later = named(lines, LATER)
    assert {(line["task"], line["attempt"]) for line in later} == running
    assert {(x["epoch"], x["leader_epoch"], x["result"]) for x in later} == {(1, 3, known)}
    twice = named(lines, TWICE)
    assert len(twice) == len(running)
    assert {line["result"] for line in twice} == {"listed"}
    assert {line["leader_epoch"] for line in twice} == {3}
    for line in twice:
        assert (line["epoch"], line["known"]) == (1, known)
        assert (line["other_epoch"], line["other_known"]) == (2, other_known)


def test_two_runs_that_are_not_wanted_are_logged():
    """Guards against a leader that has both runs of a task stopped without a word.

    Their job is cancelled before it claims, so it knows neither.
    """
    sim, leader, worker = make_world(tasks=0)
    run_twice(sim, leader, worker)
    sim.leaders[-1].alive = False
    sim.cancel(OTHER_JOB)
    running = {task[1:] for task, _ in worker.runs}
    with capture_logs() as lines:
        sim.claim("c")
        return_to(sim, "c")
    twice = named(lines, TWICE)
    assert sorted(line["task"] for line in twice) == sorted(running)
    assert {(x["known"], x["other_known"], x["result"]) for x in twice} == {
        ("unknown", "unknown", "listed")
    }
    assert {frozenset((line["worker"], line["other_worker"])) for line in twice} == {
        frozenset(("w0", "w2"))
    }


@pytest.mark.parametrize("takeover", [False, True])
@pytest.mark.parametrize("other_ends", [False, True])
def test_a_run_whose_leases_were_counted_is_no_second_one(takeover, other_ends):
    """Guards against alarms for a run in a later incarnation that a leader knew (random world 0).

    It ends by its lease, its task starts elsewhere, and its end is listed once the worker is back.
    """
    sim, leader, worker = make_world(tasks=0)
    sim.run_s = LONG_RUN_S
    late = delay(sim, lambda order: 1.2 if isinstance(order, StartOrder) else None)
    sim.submit(OTHER_JOB, steps=[Step(count=2, size=ONE)])
    run_until(sim, lambda: late)
    with capture_logs() as lines:
        restart_before(sim, sim.clock.now_s() + 1.2)
        require(worker.runs)
        sim.late_by_s = lambda order: None
        sim.run(5.0)
        require(len(named(lines, LATER)) == len(worker.runs))
        if takeover:
            leader.alive = False
            leader = sim.claim("b")
        stay_cut_off(sim, leader.name)
        sim.run(20.0)
        require(not worker.runs and sim.starts(OTHER_JOB) > 2)
        if other_ends:
            for run in (run for w in sim.workers.values() for run in w.runs.values()):
                run.done_at_s = sim.clock.now_s()
            sim.run(2.0)
        return_to(sim, leader.name)
    ends = [line for line in named(lines, "attempt ended") if line["worker"] == "w0"]
    assert [line["end"] for line in ends] == ["lapsed"]
    assert not named(lines, TWICE)


def test_a_run_beside_one_that_has_ended_since_is_logged():
    """Guards against two runs at a time whose first sign comes after one's end (random world 579).

    The successor started the task elsewhere once it had taken the leases for ended.
    """
    sim, leader, worker = make_world(tasks=0)
    run_twice(sim, leader, worker)
    others = [w for w in sim.workers.values() if w is not worker]
    ended = {run.task: run for w in others for run in w.runs.values()}
    ended = {task: run.attempt for task, run in ended.items() if (task, 1) in worker.runs}
    for run in (run for w in others for run in w.runs.values()):
        run.done_at_s = sim.clock.now_s()
    sim.run(2.0)
    with capture_logs() as lines:
        return_to(sim, "b")
    twice = named(lines, TWICE)
    assert {(x["task"], x["other_attempt"]) for x in twice} == {
        (task[1:], number) for task, number in ended.items()
    }
    assert {line["result"] for line in twice} == {"ended"}
    assert {line["done"] for line in named(lines, LATER)} == {True}


def test_a_stored_start_of_which_nothing_is_known_is_no_second_run():
    """Guards against alarms at a takeover: what an earlier leader stored may have ended since."""
    sim, _, worker = make_world(tasks=0)
    sim.run_s = LONG_RUN_S
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    sim.run(1.0)
    state = sim.claim("b").scheduler.state
    (attempt,) = state.jobs[OTHER_JOB].attempts()
    (other,) = {"w0", "w1"} - {attempt.worker}
    state.add_attempt(attrs.evolve(attempt, worker=other, number=0))
    sim.cut.add(("b", other))
    with capture_logs() as lines:
        sim.run(3.0)
    require(attempt.reported)
    assert not named(lines, TWICE)


def test_a_run_that_outlived_its_leases_and_its_successor_are_logged():
    """Guards against two runs of one leader's starts of which only one is named."""
    sim, leader, worker = make_world(tasks=0)
    sim.copies_allowed = True
    sim.run_s = LONG_RUN_S
    sim.submit(OTHER_JOB, steps=[Step(count=TASKS, size=ONE)])
    sim.run(2.0)
    running = len(worker.runs)
    with capture_logs() as lines:
        stay_cut_off(sim, leader.name)
        worker.lease_until_ms += LONG_LEASE_MS
        sim.run(12.0)
        runs = set(worker.runs)
        return_to(sim, leader.name)
    (expired,) = named(lines, EXPIRED)
    assert (expired["log_level"], expired["answered"], expired["restored"]) == ("info", running, 0)
    assert expired["bound"] == "leases of this term"
    twice = named(lines, TWICE)
    ended_s = {event[2:4]: event[0] for event in sim.events if event[4] == "stopped"}
    others = {event[2]: event[0] for event in sim.events if event[4] == "start" and event[3] > 1}
    doubled = {run[0] for run in runs if others.get(run[0], math.inf) < ended_s[run]}
    require(doubled)
    assert sorted(line["task"] for line in twice) == sorted(task[1:] for task in doubled)
    assert {(line["known"], line["lapsed"], line["result"]) for line in twice} == {
        ("live attempt", True, "listed")
    }
    assert not named(lines, LATER)


def play_quiet_day(sim):
    """Lets a job with dependent steps end."""
    sim.submit(JOB, steps=steps(3, 3))


def play_restart(sim):
    """Restarts a worker under its id while tasks run."""
    sim.submit(JOB, steps=steps(TASKS))
    sim.run(0.5)
    sim.restart_worker("w0", registry_lag_s=0.3)


def play_takeover(sim):
    """Lets a successor adopt what runs."""
    sim.submit(JOB, steps=steps(TASKS))
    sim.run(0.5)
    sim.claim("b")


def play_copies(sim):
    """Lets a task of a speculative step run twice, as its worker has stalled."""
    sim.copies_allowed = True
    sim.run_s = 4.0
    sim.submit(JOB, steps=[Step(count=2, size=ONE, speculative=True)])
    sim.run(0.5)
    sim.workers["w0"].is_stalled = True
    sim.run(15.0)
    require(sim.starts(JOB) > 2)


@pytest.mark.parametrize("play", [play_quiet_day, play_restart, play_takeover, play_copies])
def test_nothing_is_logged_while_no_run_is_odd(play):
    """Guards against lines that alarm operators while nothing is wrong."""
    sim = JobSimulation(workers=3)
    sim.claim("a")
    sim.run(1.0)
    with capture_logs() as lines:
        play(sim)
        sim.run(15.0)
    assert not named(lines, LATER) + named(lines, TWICE)


@pytest.mark.parametrize(("number", "lines"), [(2, 1), (ATTEMPTS_PER_EPOCH + 1, 0)])
def test_a_superseded_leader_logs_nothing_of_a_later_one(number, lines):
    """Guards against alarms for a run of which only a later leader knows (random world 144)."""
    sim, leader, _ = make_world(tasks=0)
    sim.run_s = LONG_RUN_S
    sim.submit(OTHER_JOB, steps=[Step(count=1, size=ONE)])
    sim.run(1.0)
    state = leader.scheduler.state
    (attempt,) = state.jobs[OTHER_JOB].attempts()
    (other,) = {"w0", "w1"} - {attempt.worker}
    row = RunningAttempt(attempt.task.id, number, "", 0, 0.0, 0.0)
    report = Report(incarnation_ms=1000, clock_ms=9000, running=(row,), ended=())
    with capture_logs() as logged:
        RunAudit(state=state).check(state.workers[other], report, now_s=sim.clock.now_s())
    assert len(named(logged, TWICE)) == lines


@pytest.mark.parametrize(
    ("number", "epoch"),
    [(1, 1), (ATTEMPTS_PER_EPOCH, 1), (ATTEMPTS_PER_EPOCH + 1, 2), (2 * ATTEMPTS_PER_EPOCH + 2, 3)],
)
def test_an_attempt_number_tells_its_epoch(number, epoch):
    """Guards against starts that are ascribed to another leader."""
    assert epoch_of(number) == epoch


def test_the_lines_are_counted():
    """Guards against runs that only the logs show, and not the metric."""
    sim, leader, worker = make_world(tasks=0)
    with capture_logs() as lines:
        run_twice(sim, leader, worker)
        return_to(sim, "b")
    with JobMetrics(instance="a") as metrics:
        for line in lines:
            metrics.count_event(None, line["log_level"], {**line, "level": line["log_level"]})
        text = metrics.render().decode()
    for event, level, result in ((LATER, "info", "restored"), (TWICE, "error", "listed")):
        labels = f'event="{event}",level="{level}",'
        counts = [x for x in text.splitlines() if labels in x and f'result="{result}"' in x]
        assert len(counts) == 1, text
