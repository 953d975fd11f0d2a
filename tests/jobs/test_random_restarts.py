"""Decisions of leaders while workers restart under their ids and carry out earlier orders."""

import pytest

from fescuerudder.jobs.job import Step
from tests.jobs.restart_simulation import LEADERS, RestartSimulation
from tests.jobs.test_random_worlds import FAULTS, ensure_leader, fault_partition
from tests.jobs.test_scheduler import ONE

SEEDS = range(60)
TIME_CHANGE_SEEDS = range(20)
EPISODES = 3
OTHER_FAULTS = tuple(fault for fault in FAULTS if fault is not fault_partition)

LOSSES = ("kill", "pause", "replace")
"""What happens to the leader; another instance claims afterwards."""

MAX_ENDING_S = 60.0
"""Time in which every job ends once all faults are over; the work that is left is short."""


def submit_job(sim):
    """Submits a job of one or two steps while the store is up."""
    if not sim.store.faults.down:
        counts = [sim.rng.randint(3, 7) for _ in range(sim.rng.choice((1, 1, 2)))]
        steps = [
            Step(count=count, size=ONE, after=(number - 1,) if number else ())
            for number, count in enumerate(counts)
        ]
        sim.submit(f"{len(sim.specs):016x}", steps=steps)


def restart(sim, name, *, crash_s, down_s):
    """Lets a worker return under its id, with its clock lower or higher than before."""
    rng = sim.rng
    sim.crash_and_return(
        name,
        crash_s=crash_s,
        down_s=down_s,
        lag_s=rng.choice((rng.uniform(0.05, 0.6), rng.uniform(0.5, 3.0))),
        clock_ms=sim.workers[name].clock_ms() * rng.choice((0.0, *[rng.random()] * 3, 2.0, 1e4)),
        share=rng.choice((0.3, 0.6, 1.0)),
    )


def play_episode(sim):
    """Restarts one or two workers, cuts them off soon after, and often loses the leader then."""
    rng = sim.rng
    crash_s = sim.clock.now_s() + rng.uniform(0.3, 1.5)
    short_s = rng.uniform(0.05, 1.0)
    down_s = rng.choice((0.0, short_s, short_s, rng.uniform(5.0, 10.0)))
    back_s = crash_s + down_s
    cut_s, is_cut = back_s + rng.uniform(0.3, rng.choice((2.0, 4.0))), rng.random() < 0.9
    for name in rng.sample(sorted(sim.workers), rng.choice((1, 2, 2))):
        restart(sim, name, crash_s=crash_s - rng.uniform(0.0, 0.3), down_s=down_s)
        if rng.random() < 0.2:
            again_s = back_s + rng.uniform(0.2, 2.0)
            again = {"crash_s": again_s + 0.5, "down_s": rng.choice((0.0, short_s))}
            sim.at(again_s, lambda name=name, again=again: restart(sim, name, **again))
        if is_cut:
            cut = {"from_all": rng.random() < 0.7, "for_s": rng.choice((4.0, 7.0, 9.0, 9.0))}
            sim.at(cut_s, lambda name=name, cut=cut: sim.cut_off(name, **cut))
            sim.at(cut_s + rng.uniform(0.0, 3.0), sim.add_room)
    if rng.random() < 0.4:
        loss = {"kind": rng.choice(LOSSES), "claims_after_s": rng.uniform(0.3, 3.0)}
        sim.at(rng.uniform(crash_s - 0.5, cut_s + 2.0), lambda: sim.lose_leader(**loss))
    for at_s in (crash_s - rng.uniform(0.0, 0.5), back_s + rng.uniform(0.0, 2.0)):
        sim.at(at_s, lambda: submit_job(sim))
    if rng.random() < 0.25:
        rng.choice(OTHER_FAULTS)(sim)
    sim.run(down_s + rng.uniform(8.0, 14.0))
    if not sim.store.faults.down:
        ensure_leader(sim, LEADERS[len(sim.leaders)])


def play_world(sim, play_episode):
    """Plays the episodes of a world, lets all faults end, and checks that every job ends."""
    sim.claim(LEADERS[0])
    submit_job(sim)
    submit_job(sim)
    sim.run(2.0)
    for _ in range(EPISODES):
        play_episode(sim)
    sim.heal()
    ensure_leader(sim, "last")
    sim.run_to_end(max_s=MAX_ENDING_S)
    sim.store.apply_delayed()
    sim.run(1.0)
    ensure_leader(sim, "very last")
    sim.cancel_held_back()
    open_jobs = sim.run_to_end(max_s=MAX_ENDING_S)
    sim.run(5.0)
    sim.check_history()
    sim.check_failures()
    assert not open_jobs, f"not ended: {open_jobs}"


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_for_earlier_incarnations_break_no_promise(seed):
    """Guards against tasks that run twice or too early, and jobs that are lost or never end.

    Workers restart under their ids, with their clocks anew, and carry out renewals and starts that
    were sent to their last incarnation. Soon after they are cut off, and the leader is lost, paused
    or replaced, while long tasks run; then all heal, and every job must end.
    """
    play_world(RestartSimulation(seed=seed), play_episode)


@pytest.mark.parametrize("seed", TIME_CHANGE_SEEDS)
def test_starts_at_another_time_of_day_break_no_promise(seed):
    """Guards against the same where start times don't tell which incarnation is the later one."""
    sim = RestartSimulation(seed=seed)
    sim.time_change_share = 0.6
    play_world(sim, play_episode)
    records = sim.leaders[-1].scheduler.state.workers
    for name, worker in sim.workers.items():
        assert records[name].info.incarnation_ms == worker.info.incarnation_ms
        assert records[name].is_fenced and records[name].on_roster, f"{name} gets no tasks"
