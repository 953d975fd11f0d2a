"""Shares of accounts where there is too little capacity for all."""

import random

import attrs
import pytest

from bench._jobsimulation import queue
from fescuerudder.document import Size
from fescuerudder.jobs.accountusage import AccountUsage
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.poolroom import PoolRoom
from fescuerudder.jobs.saturation import Saturation
from fescuerudder.jobs.shares import BURST_S, Entitlements, dominant_share
from tests.jobs.account_simulation import ONE, AccountSimulation, account, step


def core_seconds(sim, names, seconds):
    """Runs the simulation; returns the core seconds that each account had."""
    found = dict.fromkeys(names, 0.0)
    for _ in range(int(seconds / 0.05)):
        sim.run(0.05)
        for name in names:
            found[name] += 0.05 * sim.running(name)
    return found


@pytest.mark.parametrize("weights", [(1, 3), (1, 1), (2, 1)])
def test_two_accounts_that_want_all_get_shares_by_their_weights(weights):
    """Guards against shares that differ from the weights.

    Load: one pool of 16 cores; each of two accounts sends 12 tasks of 1 s each 0.5 s.
    """
    accounts = [account(name, weight=w) for name, w in zip("ab", weights, strict=True)]
    sim = AccountSimulation(*accounts, workers=4, capacity=4.0)
    sim.claim("l")
    for _ in range(6):
        sim.send_job("a", step(12))
        sim.send_job("b", step(12))
        sim.run(0.5)
    had = core_seconds(sim, "ab", 3)
    assert had["b"] / had["a"] == pytest.approx(weights[1] / weights[0], rel=0.12)
    assert sum(had.values()) >= 0.85 * 16 * 3


def test_a_flood_takes_nothing_from_the_others_and_gets_what_is_left():
    """Guards against an account that displaces others by sending many times its usual load.

    Load: 12 cores; `a` sends a job of 3 tasks of 0.5 s each 0.6 s, in another queue of a lower
    priority than that in which `flood`, entitled to 2 jobs a second, sends 20 of 3 such tasks.
    """

    def play(is_flooded):
        sim = AccountSimulation(
            account("a", weight=2.0),
            account("flood", weight=2.0),
            workers=3,
            capacity=4.0,
            queues=(queue(priority=0), queue(name="low", prefix="/l/", priority=2)),
        )
        sim.run_s = 0.5
        sim.claim("l")
        sent, done_s = {}, []
        for tick in range(200):
            if is_flooded:
                sim.send_job("flood", step(3))
            if tick % 12 == 0 and tick < 160:
                job = sim.send_job("a", step(3), queue_name="low")
                sent[job] = sim.clock.now_s()
            sim.run(0.05)
        ends = {}
        for at_s, _, task, _, event in sim.events:
            if event == "done" and task.job in sent:
                ends[task.job] = at_s
        done_s = [ends[job] - at_s for job, at_s in sent.items()]
        return max(done_s), sim.running("flood") + sim.running("a")

    # An own job waits at most until the tasks that run when it comes have ended and are reported.
    usual_s, _ = play(False)
    flooded_s, used = play(True)
    assert flooded_s <= usual_s + 0.8
    assert used >= 11


def test_what_one_account_leaves_unused_goes_to_the_others_at_once():
    """Guards against shares that are kept free for accounts without work."""
    sim = AccountSimulation(
        account("a", weight=1.0), account("b", weight=99.0), workers=2, capacity=4.0
    )
    sim.run_s = 0.5
    sim.claim("l")
    sim.send_job("a", step(60))
    sim.run(0.4)
    assert sim.running("a") == 8.0
    sim.send_job("b", step(4))
    sim.run(1)
    sim.run_until(lambda: sim.running("b") == 0.0)
    sim.run(0.3)
    assert sim.running("a") == 8.0


@pytest.mark.parametrize("large_cores", [2.0, 4.0])
def test_a_large_job_and_many_small_ones(large_cores):
    """Guards against large tasks that never find room beside the small ones of another account.

    Load: 4 workers of 4 cores, kept full by tasks of one core that end one by one.
    """
    sim = AccountSimulation(account("large"), account("small"), workers=4, capacity=4.0)
    sim.plan = lambda task, attempt, worker: (
        sim.specs[task.job].steps[0].size,
        0.6 + (task.index * 5 + int(task.job, 16) * 3) % 11 / 10,
        False,
    )
    sim.claim("l")
    for _ in range(4):
        sim.send_job("small", step(20))
    sim.run(1)
    size = Size(processors=large_cores, memory_mb=10)
    job = sim.send_job("large", step(4, size=size, estimated_ms=1000))
    for _ in range(40):
        sim.send_job("small", step(8))
        sim.run(0.25)
        if sim.state(job) is JobState.COMPLETED:
            break
    assert sim.state(job) is JobState.COMPLETED


def test_jobs_of_no_more_use_come_last_whatever_their_account():
    """Guards against shares that are spent on jobs that are too late."""
    sim = AccountSimulation(account("a"), account("b"), workers=1, capacity=2.0)
    sim.run_s = 4.0
    sim.claim("l")
    sim.send_job("b", step(1, estimated_ms=4000))
    sim.run(0.5)
    sim.send_job("b", step(1, estimated_ms=4000))
    sim.run(0.2)
    late = sim.send_job("a", step(2, estimated_ms=1))
    sim.run(3.4)
    fresh = sim.send_job("b", step(1, estimated_ms=4000))
    sim.run_until(lambda: sim.starts(late) or sim.starts(fresh))
    assert (sim.starts(late), sim.starts(fresh)) == (0, 1)
    sim.run(9)
    assert sim.state(late) is JobState.COMPLETED


def test_the_priority_of_a_queue_goes_before_the_shares():
    """Guards against urgent jobs that wait because their account already has its share."""
    sim = AccountSimulation(
        account("a", weight=50.0),
        account("b", weight=50.0),
        workers=2,
        capacity=4.0,
        queues=(queue(priority=1), queue(name="urgent", prefix="/u/", priority=0)),
    )
    sim.claim("l")
    sim.send_job("a", step(8), queue_name="urgent")
    sim.run(0.5)
    sim.send_job("b", step(30))
    urgent = sim.send_job("a", step(8), queue_name="urgent")
    sim.run(1.2)
    assert sim.starts(urgent) == 8


def test_a_successor_shares_as_its_predecessor_did():
    """Guards against shares that begin anew with each leader."""
    sim = AccountSimulation(account("a"), account("b", weight=3.0), workers=4, capacity=4.0)
    sim.claim("l")
    for _ in range(8):
        sim.send_job("a", step(20))
        sim.send_job("b", step(20))
    sim.run(3)
    sim.leaders[-1].alive = False
    sim.claim("m")
    sim.run(2)
    had = core_seconds(sim, "ab", 2)
    assert had["b"] / had["a"] == pytest.approx(3.0, rel=0.15)


def test_callers_are_entitled_to_weight_jobs_a_second():
    """Guards against a flood that counts as entitled, and a burst that never becomes so."""

    @attrs.define
    class Run:
        job: object
        received_s: float
        entitled_s: float = 0.0

    entitlements, job = Entitlements(), account("a")
    job = attrs.make_class("Job", ["account"])("a")
    runs = [Run(job=job, received_s=10.0) for _ in range(21)]
    for run in runs:
        entitlements.observe(run, weight=2.0)
    assert [run.entitled_s for run in runs] == [10.0 + number / 2 for number in range(21)]
    assert sum(run.entitled_s <= 10.0 + BURST_S for run in runs) == 2 * BURST_S + 1
    later = Run(job=job, received_s=60.0)
    entitlements.observe(later, weight=2.0)
    assert later.entitled_s == 60.0


@pytest.mark.parametrize("cap", [0.0, 1.0], ids=["no room", "at the cap"])
def test_a_plan_costs_in_proportion_to_the_steps_that_wait(monkeypatch, cap):
    """Guards against plans that take ever longer while the steps of an account wait."""

    def checks(jobs):
        sim = AccountSimulation(account("a", cap), account("b"), workers=1, capacity=2.0)
        sim.run_s = 600.0
        sim.claim("l")
        sim.send_job("b", step(2))
        sim.run(0.5)
        for number in range(jobs):
            size = Size(processors=0.5 + number % 7 / 10, memory_mb=1)
            sim.send_job("a", step(3, size=size))
        sim.run(0.5)
        found = []
        for owner, name in (
            (AccountUsage, "room"),
            (PoolRoom, "slots"),
            (Saturation, "covers_step"),
        ):
            call = getattr(owner, name)
            monkeypatch.setattr(owner, name, lambda *a, call=call: found.append(1) or call(*a))
        sim.leaders[-1].scheduler.plan()
        monkeypatch.undo()
        return len(found)

    few, many = checks(100), checks(400)
    assert many <= 4.4 * few


def test_the_dominant_resource_counts():
    """Guards against shares of processors only."""
    assert dominant_share((1, 8, 0), (10, 10, 0)) == 0.8


@pytest.mark.parametrize("seed", range(12))
def test_random_loads_keep_caps_and_shares(seed):
    """Guards against starts above a cap, and accounts that are kept under their share.

    Random weights, caps and jobs of one-core tasks fill a pool. Once it has been full for longer
    than any task runs, no account with work waiting is under its share by more than one task. The
    shares are those of progressive filling among the accounts that have anything.
    """
    rng = random.Random(seed)
    cores, workers = 4.0, rng.randint(3, 6)
    names = [f"t{number}" for number in range(rng.randint(2, 5))]
    accounts = [
        account(name, rng.choice((0.0, rng.randint(2, 8))), weight=rng.choice((0.5, 1, 2, 3)))
        for name in names
    ]
    sim = AccountSimulation(*accounts, workers=workers, capacity=cores, seed=seed)
    sim.plan = lambda task, attempt, worker: (
        ONE,
        0.3 + (task.index * 7 + int(task.job, 16) * 3) % 13 / 20,
        False,
    )
    sim.claim("l")
    active = set()
    for tick in range(240):
        for name in names:
            if rng.random() < 0.12 or tick == 0:
                sim.send_job(name, step(rng.randint(1, 12)), step(rng.randint(1, 4), after=(0,)))
        sim.run(0.05)
        for known in accounts:
            assert sim.running(known.name) <= (known.cap.processors or 1e9)
            assert sim.planned(known.name) <= (known.cap.processors or 1e9)
        found = waiting_names(sim)
        active = found if tick % 30 == 0 else active & found
        if tick % 30 == 29 and sum(map(sim.planned, names)) >= workers * cores - 1:
            check_shares(sim, accounts, active, total=workers * cores)


def waiting_names(sim):
    """Returns the accounts with tasks that wait for room, not for their cap."""
    scheduler = sim.leaders[-1].scheduler
    return {
        open_step.job.job.account
        for open_step in scheduler.state.open_steps
        if scheduler._planner.startable_tasks(open_step) and sim.usage.may_start(open_step)
    }


def check_shares(sim, accounts, waiting, *, total):
    """Checks that each account that has waited is at most one task under its share."""
    wants = {a.name: sim.planned(a.name) for a in accounts if a.name not in waiting}
    wants = {name: amount for name, amount in wants.items() if amount}
    shares = fill(
        {a.name: a.weight for a in accounts if a.name in waiting or a.name in wants}, wants, total
    )
    for name in waiting:
        assert sim.planned(name) >= min(shares[name], total) - 1.0 - 1e-9, (name, shares)


def fill(weights, wants, total):
    """Returns the shares by progressive filling; some accounts want no more than given."""
    shares, left, open_names = {}, total, set(weights)
    while open_names:
        level = left / sum(weights[name] for name in open_names)
        done = {n for n in open_names if n in wants and wants[n] <= level * weights[n]}
        for name in done or open_names:
            shares[name] = wants[name] if name in done else level * weights[name]
            left -= shares[name] if done else 0.0
        open_names -= done or set(open_names)
    return shares
