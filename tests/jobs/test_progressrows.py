"""Rows that never outgrow the store's limit, whatever was accepted, and rows of both versions."""

import json

import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs import progressrows
from fescuerudder.jobs.estimates import MAX_IMAGES, UsageEstimates
from fescuerudder.jobs.job import Job, Repetition, Step, TaskId
from fescuerudder.jobs.jobrun import JobRun, JobState
from fescuerudder.jobs.knowledge import Knowledge
from fescuerudder.jobs.progress import dump_progress
from fescuerudder.jobs.progressrows import dump_rows, load_rows
from fescuerudder.jobs.roster import RosterEntry, _unlisted, dump_roster, load_roster
from fescuerudder.jobs.rows import MAX_TXN_ROWS
from fescuerudder.jobs.storage import PROGRESS_TABLE, job_of, progress_key

MAX_ROW_BYTES = 65_536
MAX_TXN_BYTES = 1_000_000
ID = "00000000000000aa"
SIZE = Size(processors=0.1, memory_mb=10)


def make_run(*, occurrences=1, steps=1, count=1):
    job = Job(
        id=ID,
        queue="q",
        payload="p",
        steps=tuple(Step(count=count, size=SIZE) for _ in range(steps)),
        repetition=Repetition(times=occurrences, first_ms=0, interval_ms=50),
    )
    run = JobRun.create(job=job, version=1, received_s=0.0)
    run.create_occurrence(0)
    return run


def finish(run, occurrences, *, steps=None):
    for occurrence in occurrences:
        for number in steps or range(len(run.job.steps)):
            for task in run.find_step(occurrence, number).tasks:
                run.record_done(task)


def repeated(times, done, part=()):
    run = make_run(occurrences=times, steps=5)
    finish(run, done)
    finish(run, part, steps=range(2))
    return run


def wide(count, text):
    run = make_run(steps=2, count=count)
    for task in run.tasks():
        task.own_checkpoint = text
        task.failed_attempts = [10_001, 20_001]
        task.crashed_attempts = [20_002] if task.id.index % 7 == 0 else []
    finish(run, [0], steps=[0])
    return run


RUNS = {
    "nothing done": lambda: repeated(800, []),
    "in order": lambda: repeated(1600, range(1500), part=[1500, 1501]),
    "every second one": lambda: repeated(1600, range(0, 1600, 2)),
    "all begun": lambda: repeated(1600, range(5), part=range(5, 1600)),
    "many small ones": lambda: repeated(10_080, range(9_000), part=[9_000]),
    "wide": lambda: wide(2_000, "checkpoint-of-a-task" * 2),
}


def facts(run):
    """Returns what is known of all tasks, also of those of occurrences that don't exist."""
    for occurrence in range(run.job.occurrences):
        run.find_step(occurrence, 0)
    return facts_of_existing(run)


def facts_of_existing(run):
    return {
        task.id: (
            task.done,
            task.failed_attempts if not task.done else [],
            task.crashed_attempts if not task.done else [],
            task.own_checkpoint,
        )
        for task in run.tasks()
    }


@pytest.mark.parametrize("compact", [False, True])
@pytest.mark.parametrize("name", RUNS)
def test_progress_of_any_size_is_stored_and_read(name, compact):
    """Guards against a row that the store refuses (review/2), and against progress that is lost."""
    run = RUNS[name]()
    rows = dump_rows(run, compact=compact)
    assert max(map(len, rows.values())) <= MAX_ROW_BYTES
    assert len(rows) < MAX_TXN_ROWS // 2 and sum(map(len, rows.values())) < MAX_TXN_BYTES / 2
    assert all(key.table == PROGRESS_TABLE and job_of(key) == ID for key in rows)
    again = JobRun.create(job=run.job, version=1, received_s=0.0)
    assert load_rows(again, {key.key: value for key, value in rows.items()}) == len(rows) - 1
    assert (again.state, again.begun) == (run.state, run.begun)
    assert facts(again) == facts(run)
    assert again.done_work == pytest.approx(run.done_work)


@pytest.mark.parametrize("name", ["nothing done", "wide"])
def test_what_fits_is_written_as_122f4c3_reads_it(name):
    """Guards against tasks that run again under a leader of the previous version."""
    run = RUNS[name]() if name != "wide" else wide(100, "c")
    assert dump_rows(run, compact=False) == {progress_key(ID): dump_progress(run)}


def test_rows_of_122f4c3_are_read():
    """Guards against progress that is lost in a rolling restart."""
    run = repeated(20, range(5), part=[7])
    again = JobRun.create(job=run.job, version=1, received_s=0.0)
    assert load_rows(again, {ID: dump_progress(run)}) == 0
    assert facts(again) == facts(run)


def test_the_size_of_progress_does_not_grow_with_ended_occurrences():
    """Guards against writes that grow with the history of a job."""
    sizes = [
        sum(map(len, dump_rows(repeated(10_080, range(done)), compact=True).values()))
        for done in (10, 10_000)
    ]
    assert sizes[1] <= sizes[0] * 1.2


def test_what_can_not_be_spread_is_left_to_the_isolation():
    """Guards against rows of one job that are written in several transactions."""
    run = wide(40_000, "")
    rows = dump_rows(run, compact=True)
    assert list(rows) == [progress_key(ID)] and len(rows[progress_key(ID)]) > MAX_ROW_BYTES


class Repeated:
    """A simulated job with more progress than fits into one small row."""

    def __init__(self, monkeypatch, *, compact):
        monkeypatch.setattr(progressrows, "MAX_VALUE_BYTES", 300)
        monkeypatch.setattr(progressrows, "PART_BYTES", 200)
        monkeypatch.setattr(progressrows, "MAX_PARTS", 60)
        self.sim = JobSimulation(workers=3)
        self.sim.run_s = 0.1
        self.sim.store.faults.rejects = lambda key, value: (
            key.table == PROGRESS_TABLE and len(value) > 400
        )
        self.compact, self.earlier_version = compact, False
        first_ms = int(self.sim.clock.now_s() * 1000)
        self.sim.submit(
            ID,
            steps=(Step(count=1, size=SIZE), Step(count=3, size=SIZE, after=(0,))),
            repetition=Repetition(times=60, first_ms=first_ms, interval_ms=200),
        )

    def claim(self, name):
        leader = self.sim.claim(name)
        scheduler = leader.scheduler
        take = scheduler.take_progress
        scheduler.take_progress = lambda: take(
            compact=self.compact, earlier_version=self.earlier_version
        )
        return leader

    def progress_rows(self):
        page = self.sim.store.read(table=PROGRESS_TABLE, partition="leader", timeout_s=1)
        return [row.key.key for row in page.rows]


@pytest.mark.parametrize("compact", [False, True])
def test_a_long_repeated_job_completes_over_takeovers(monkeypatch, compact):
    """Guards against occurrences that run again, and against rows that stay after the end."""
    world = Repeated(monkeypatch, compact=compact)
    for name in "abc":
        leader = world.claim(name)
        world.sim.run(7.0)
        leader.alive = name == "c"
    world.sim.run(10.0)
    assert world.sim.state(ID) is JobState.COMPLETED
    assert world.sim.starts(ID) == 240 and not world.sim.errors
    world.sim.check_history()
    assert world.progress_rows() == [ID]


@pytest.mark.parametrize("by_successor", [False, True])
def test_progress_is_written_anew_for_an_earlier_version(monkeypatch, by_successor):
    """Guards against a leader of 122f4c3 that takes compacted occurrences for not begun."""
    world = Repeated(monkeypatch, compact=True)
    leader = world.claim("a")
    world.sim.run(3.0)
    # What starts from now on doesn't end, so the progress changes no more.
    world.sim.run_s = 60.0
    world.sim.run(2.0)
    assert "ended" in json.loads(world.sim.store.get(progress_key(ID)).value)
    monkeypatch.setattr(progressrows, "MAX_VALUE_BYTES", 60_000)
    world.sim.store.faults.rejects = lambda key, value: False
    world.compact, world.earlier_version = False, True
    if by_successor:
        leader.alive = False
        world.claim("b")
    world.sim.run(0.3)
    raw = json.loads(world.sim.store.get(progress_key(ID)).value)
    assert "ended" not in raw and raw["steps"]["0.0"] == {"done": "1"}


class Reading:
    """The part of an attempt that the estimates observe."""

    def __init__(self, task):
        self.task, self.processors = task, 0.05


def test_knowledge_is_bounded_by_use():
    """Guards against a row with an entry for each image ever seen."""
    estimates = UsageEstimates()
    knowledge = Knowledge(estimates=estimates)
    names = [f"image-{number}-" + "x" * 100 for number in range(2 * MAX_IMAGES)]
    for name in (*names, names[0]):
        task = make_run().steps[(0, 0)].tasks[0]
        task.step.spec = Step(count=1, size=SIZE, image=name)
        estimates.observe(Reading(task))
    data = knowledge.dump()
    assert len(data) < MAX_ROW_BYTES
    stored = json.loads(data)["estimates"]
    assert names[0] in stored and names[-1] in stored and names[1] not in stored
    again = Knowledge()
    again.restore(data)
    assert again.dump() == data


def test_a_roster_that_does_not_fit_names_no_attempts():
    """Guards against a roster that the store refuses as many workers with many tasks are silent."""
    attempts = tuple((TaskId(ID, 0, 0, index), 10_001) for index in range(100))
    entries = [
        RosterEntry(info=_unlisted(f"i-{number:010x}", 1000, "10.0.0.1:80"), only_attempts=attempts)
        for number in range(60)
    ]
    data = dump_roster(entries)
    assert len(data) < MAX_ROW_BYTES
    assert [entry.info for entry in load_roster(data)] == [entry.info for entry in entries]
