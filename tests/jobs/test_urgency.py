"""Order of waiting steps."""

import math

import pytest

from bench._jobsimulation import queue
from fescuerudder.document import Size
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.runtimes import MIN_ENDS, RunTimes
from fescuerudder.jobs.urgency import MAX_VALUE, JobSizes, OrderInputs, objective_s, urgency_key

NOW_S = 1000.0
QUEUE = queue(stretch=2.0, allowance_ms=1000, priority=2)
"""A job with 2 s of work should be complete within 5 s, and has no value after 15 s."""


def make_run(*, age_s=0.0, tasks=10, done=0, queue_name="q", **spec):
    fields = {"size": Size(processors=2.0, memory_mb=1), "estimated_ms": 2000, **spec}
    job = Job(id="a", queue=queue_name, payload="", steps=(Step(count=tasks, **fields),))
    run = JobRun.create(job=job, version=1, received_s=NOW_S - age_s)
    for task in run.steps[(0, 0)].tasks[:done]:
        run.record_done(task)
    return run


def key(run, sizes=None, of=QUEUE, short_pools=(), run_times=None):
    inputs = OrderInputs(
        sizes=sizes or JobSizes(),
        run_times=run_times or RunTimes(),
        now_s=NOW_S,
        short_pools=frozenset(short_pools),
    )
    return urgency_key(run.steps[(0, 0)], of, inputs)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param({"age_s": 2.0}, {"age_s": 1.0}, id="earlier deadline"),
        pytest.param({"age_s": 1.0}, {"age_s": 8.0}, id="in time before late"),
        pytest.param({"age_s": 8.0}, {"age_s": 30.0}, id="late before useless"),
        pytest.param({"age_s": 40.0}, {"age_s": 30.0}, id="both useless: older first"),
        pytest.param({"done": 6}, {"age_s": 2.0}, id="almost done"),
        pytest.param({"age_s": 8.0, "done": 9}, {"age_s": 2.0}, id="late, but almost done"),
        pytest.param({"age_s": 2.0}, {"age_s": 8.0, "done": 5}, id="late and half done"),
        pytest.param({"tasks": 3}, {"tasks": 10, "age_s": 2.0}, id="small"),
        pytest.param({"tasks": 20, "age_s": 2.0}, {"tasks": 10}, id="large, but due earlier"),
        pytest.param({"age_s": 8.0}, {"long_running": True}, id="late before long-running"),
        pytest.param({"long_running": True}, {"age_s": 30.0}, id="long-running before useless"),
    ],
)
def test_more_value_per_remaining_work_goes_first(first, second):
    """Guards against jobs that are begun but not finished, and late jobs that delay others."""
    sizes = JobSizes()
    sizes.observe(make_run())
    assert key(make_run(**first), sizes) < key(make_run(**second), sizes)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param({"age_s": 2.0}, {"age_s": 8.0, "done": 9}, id="in time before almost done"),
        pytest.param({"tasks": 3}, {"tasks": 10}, id="small"),
        pytest.param({"age_s": 8.0}, {"age_s": 30.0}, id="late before useless"),
        pytest.param({"age_s": 8.0}, {"long_running": True}, id="late before long-running"),
    ],
)
def test_late_work_goes_after_work_in_time_where_capacity_is_short(first, second):
    """Guards against late jobs that keep others from being in time until demand falls."""
    sizes = JobSizes()
    sizes.observe(make_run())
    first_key, second_key = (
        key(make_run(**fields), sizes, short_pools={QUEUE.pool}) for fields in (first, second)
    )
    assert first_key < second_key


def test_jobs_of_several_queues_go_by_value_per_core_second_where_capacity_is_short():
    """Guards against a queue of large jobs that holds the capacity of many small ones.

    Each job is of the usual size of its queue, so the earlier deadline decides while capacity is
    free.
    """
    sizes = JobSizes()
    small = make_run(tasks=5, age_s=1.0)
    large = make_run(tasks=50, age_s=2.0, queue_name="large")
    for run in (small, large):
        sizes.observe(run)
    assert key(large, sizes) < key(small, sizes)
    short_pools = {QUEUE.pool}
    assert key(small, sizes, short_pools=short_pools) < key(large, sizes, short_pools=short_pools)


def test_learned_run_times_tell_late_jobs_where_capacity_is_short():
    """Guards against jobs that seem in time by their estimates until they are of no use."""
    sizes, run_times = JobSizes(), RunTimes()
    unknown, known = make_run(age_s=1.0), make_run(age_s=2.0, image="slow")
    for _ in range(MIN_ENDS):
        run_times.observe("q", known.job.steps[0], worker="w", run_s=8.0)
    assert key(known, sizes, run_times=run_times) < key(unknown, sizes, run_times=run_times)
    inputs = {"short_pools": {QUEUE.pool}, "run_times": run_times}
    assert key(unknown, sizes, **inputs) < key(known, sizes, **inputs)


def test_priority_goes_before_all_else():
    """Guards against a queue of high priority that waits for almost done jobs of another one."""
    high = key(make_run(age_s=8.0), of=queue(priority=0))
    assert high < key(make_run(done=9), of=queue(priority=1))


@pytest.mark.parametrize(
    "run",
    [
        pytest.param(make_run(estimated_ms=0), id="no estimate"),
        pytest.param(make_run(size=Size(processors=0.0, memory_mb=1)), id="no processors"),
        pytest.param(make_run(done=10), id="nothing left"),
        pytest.param(make_run(long_running=True), id="long-running"),
    ],
)
def test_jobs_without_usable_estimates_get_a_valid_key(run):
    """Guards against a division by zero when a job has no estimate, processors or work left."""
    assert all(not math.isnan(part) for part in key(run))
    assert not math.isnan(key(run, of=None)[0])


def test_the_value_of_a_job_is_bounded():
    """Guards against one huge job that starts before all others."""
    sizes = JobSizes()
    sizes.observe(make_run(tasks=1))
    huge, small = make_run(tasks=int(10 * MAX_VALUE)), make_run(tasks=1)
    assert objective_s(huge, QUEUE) == objective_s(small, QUEUE)
    assert key(small, sizes) < key(huge, sizes)
