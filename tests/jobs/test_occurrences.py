"""Repeated jobs whose occurrences are created shortly before they are due."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.job import Job, Repetition, Step, TaskId
from fescuerudder.jobs.jobrun import JobRun, JobState
from fescuerudder.jobs.occurrences import CREATE_AHEAD_MS
from fescuerudder.jobs.progressrows import dump_rows, load_rows
from tests.jobs.test_progressrows import ID, MAX_ROW_BYTES, facts_of_existing

SIZE = Size(processors=0.5, memory_mb=10)
EVENTS = {
    "done": lambda run, task, value: run.record_done(task),
    "failed": lambda run, task, value: run.record_failure(task, attempt=value, max_failures=10**6),
    "saved": lambda run, task, value: task.save_checkpoint(f"s{value}", attempt=1, has_ended=False),
}
EVENT = st.tuples(st.sampled_from((*EVENTS, "ended")), *[st.integers(0, 9999)] * 3)


@settings(max_examples=80, deadline=None)
@given(
    steps=st.lists(st.tuples(st.integers(1, 30), st.booleans()), min_size=1, max_size=4),
    times=st.integers(1, 3000),
    events=st.lists(EVENT, max_size=40),
    compact=st.booleans(),
)
def test_a_job_is_read_back_as_it_was_at_any_moment(steps, times, events, compact):
    """Guards against progress that is lost or changed by a takeover, and against refused rows."""
    parts = tuple(Step(count=c, size=SIZE, estimated_ms=70, gang=gang) for c, gang in steps)
    repetition = Repetition(times=times, first_ms=0, interval_ms=0)
    job = Job(id=ID, queue="q", payload="", steps=parts, repetition=repetition)
    run, again = (JobRun.create(job=job, version=1, received_s=0.0) for _ in range(2))
    for kind, first, number, value in events:
        occurrence, number = first % times, number % len(parts)
        task = run.task(TaskId(ID, occurrence, number, value % parts[number].count))
        if kind != "ended":
            EVENTS[kind](run, task, value)
            continue
        for later in range(occurrence, min(times, occurrence + value % 800)):
            run.find_step(later, 0)
            for each in [t for step in run.steps_of(later) for t in step.tasks]:
                run.record_done(each)
        for ended in run.occurrences.droppable[::2]:
            run.drop_occurrence(ended)
    rows = dump_rows(run, compact=compact)
    assert max(map(len, rows.values())) <= MAX_ROW_BYTES
    load_rows(again, {key.key: value for key, value in rows.items()})
    assert again.state is run.state
    if not run.state.is_final:
        assert again.occurrences.ended == run.occurrences.ended
        assert again.done_work == pytest.approx(run.done_work)
        for key in run.steps:
            again.find_step(*key)
        assert facts_of_existing(again) | facts_of_existing(run) == facts_of_existing(again)


def deploy(*, times=30, interval_ms, run_s):
    """Returns a deployment with a repeated job of which the first occurrence is due in 1.5 s."""
    sim = JobSimulation(workers=4, capacity=40.0)
    sim.run_s, first_ms = run_s, int(1000 * sim.clock.now_s()) + 1500
    chain = (Step(count=2, size=SIZE), Step(count=1, size=SIZE, after=(0,)))
    schedule = Repetition(times=times, first_ms=first_ms, interval_ms=interval_ms)
    return sim, sim.submit(ID, steps=chain, repetition=schedule).repetition


@pytest.mark.parametrize("wrong_s", [0.0, -1.5, 0.2])
@pytest.mark.parametrize(("interval_ms", "run_s"), [(50, 0.1), (300, 1.2), (900, 0.2)])
def test_takeovers_neither_repeat_nor_leave_out_an_occurrence(interval_ms, run_s, wrong_s):
    """Guards against starts that are early, late, missing or twice, also if clocks differ."""
    sim, schedule = deploy(interval_ms=interval_ms, run_s=run_s)
    for name, offset_s in (("a", 0.0), ("b", wrong_s), ("c", 0.0)):
        leader = sim.claim(name)
        leader.scheduler._wall_ms = lambda o=offset_s: 1000 * (sim.clock.now_s() + o)
        sim.run(1.5 + 10 * interval_ms / 1000)
        leader.alive = name == "c"
    sim.run(30 * interval_ms / 1000 + 4 * run_s + 6)
    assert sim.state(ID) is JobState.COMPLETED and sim.starts(ID) == 90
    sim.check_history()
    starts = {(e[2].occurrence, e[0]) for e in sim.events if e[4] == "start" and e[2].step == 0}
    late_s = sorted(at_s - schedule.due_ms(o) / 1000 for o, at_s in starts)
    # Some starts wait until the workers have answered a new leader.
    assert late_s[0] >= -0.25 and late_s[len(late_s) * 2 // 3] <= 0.25 - min(0.0, wrong_s)


def test_only_occurrences_that_are_near_or_run_are_held():
    """Guards against memory that grows with repetitions, and a cancellation that leaves some."""
    sim, _ = deploy(times=10_080, interval_ms=200, run_s=0.5)
    state = sim.claim("a").scheduler.state
    for _ in range(12):
        sim.run(2.0)
        run = state.jobs[ID]
        assert len(run.steps) <= 2 * (CREATE_AHEAD_MS / 200 + 1.2 / 0.2 + 4)
    assert state.find_task(TaskId(ID, 0, 0, 0)).done, "a late report must not run it again"
    sim.run(0.1)
    assert (0, 0) not in run.steps
    sim.cancel(ID)
    sim.run(1.0)
    started, sim.leaders[-1].alive = sim.starts(ID), False
    sim.claim("b")
    sim.run(5.0)
    assert sim.state(ID) is JobState.CANCELLED and sim.starts(ID) == started > 0
