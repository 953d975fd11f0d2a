"""Admission: which jobs are refused because of load, in which order, and when they may return."""

import random
import time

import attrs
import pytest

from bench._jobsimulation import queue
from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.jobs.admission import (
    HYSTERESIS_S,
    LATE_FACTOR,
    MAX_SUMMARY_AGE_S,
    MIN_SCARCE_S,
    Admission,
    RefusalReason,
    new_job_class,
)
from fescuerudder.jobs.admissiongate import MAX_LINES, AdmissionGate
from fescuerudder.jobs.job import Job, Repetition, Step
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.linkmessages import RefusedEntry
from fescuerudder.jobs.loadsummary import (
    Amount,
    KnownLoad,
    LoadSummary,
    PoolLoad,
    QueueLoad,
    WaitingWork,
)
from fescuerudder.jobs.urgency import JobSizes, urgency_key

NOW_S = 100.0
QUEUE = queue(priority=1)
STEP = Step(count=10, size=Size(processors=1.0, memory_mb=1024), estimated_ms=1000)
"""With the queue's stretch of 2 and allowance of 1 s, a job of one such step has 3 s."""

CLASS = new_job_class(1.0)


def job(number=0, **changes):
    fields = {"steps": (STEP,), "queue": "q", **changes}
    return Job(id=f"{number:016x}", payload="p", accepted_queue=QUEUE, **fields)


def load(wait_s, *, priority=1, density_class=CLASS, has_live_jobs=True, left_s=1.0, **changes):
    """Returns a summary with this much work of one place in the order ahead of a new job."""
    row = WaitingWork(priority, density_class, Amount(100.0 * wait_s, 0.0, 0.0), left_s)
    fields = {"capacity": Amount(100.0, 800.0), "free": Amount(0.5, 8.0), "waiting": (row,)}
    pool = PoolLoad(**{"name": "pool", "scarce_s": 5.0, **fields, **changes})
    live = QueueLoad(name="q", mean_work=10.0, first_start_s=None, oldest_s=0.0)
    return LoadSummary(pools={"pool": pool}, queues={"q": live} if has_live_jobs else {})


def decide(admission, summary, subject=None, *, found=QUEUE, age_s=0.5, now_s=NOW_S):
    return admission.decide(
        subject or job(), found, summary, age_s=age_s, now_s=now_s, patience_s=60.0
    )


def admission(seed=1):
    return Admission(rng=random.Random(seed))


LONG_S = 30.0
"""A wait after which a job of 3 s is certainly of no use."""

LATE_S = LATE_FACTOR * 3.0
"""A wait after which it is predicted to be late, and may be of use."""


@pytest.mark.parametrize(
    ("summary", "reason"),
    [
        (load(LONG_S), RefusalReason.LATE),
        (load(LATE_S), RefusalReason.LATE),
        (load(LATE_S - 1.5), None),
        (load(LONG_S, priority=0), RefusalReason.NO_USE),
        (load(LONG_S, priority=2), None),
        (load(LONG_S, density_class=CLASS + 1), None),
        (load(LONG_S, density_class=CLASS - 1), RefusalReason.LATE),
        (load(LONG_S, density_class=CLASS - 1, left_s=LONG_S), RefusalReason.NO_USE),
        (load(LONG_S, priority=0, has_live_jobs=False), RefusalReason.NO_USE),
        (load(LATE_S, has_live_jobs=False), None),
        (load(LONG_S, free=Amount(1.0, 1.0, 0.0)), None),
        (load(LONG_S, scarce_s=MIN_SCARCE_S / 2), None),
        (load(LONG_S, priority=0, speed=4.0), RefusalReason.LATE),
        (load(2 * LONG_S, capacity=Amount(0.0, 0.0, 0.0)), None),
        (LoadSummary(), None),
    ],
)
def test_a_job_is_refused_by_the_work_that_goes_before_it(summary, reason):
    """Guards against refusals for work that goes after the job, and against useless acceptances."""
    refused = decide(admission(), summary)
    assert (refused and refused.reason) == reason


@pytest.mark.parametrize(
    "exempt",
    [
        job(steps=(attrs.evolve(STEP, long_running=True),)),
        job(steps=(attrs.evolve(STEP, best_effort=True),)),
        job(steps=(attrs.evolve(STEP, estimated_ms=0),)),
        job(repetition=Repetition(times=2, first_ms=0, interval_ms=10)),
    ],
)
def test_some_jobs_are_never_refused(exempt):
    """Guards against refusals of jobs that keep their capacity, or whose end isn't predictable."""
    assert decide(admission(), load(1000.0), exempt) is None


@pytest.mark.parametrize("age_s", [MAX_SUMMARY_AGE_S, 60.0, -1.0, float("nan")])
def test_an_old_summary_decides_nothing(age_s):
    """Guards against refusals by a load that is over, as when the leader is lost."""
    assert decide(admission(), load(1000.0), age_s=age_s) is None


@pytest.mark.parametrize("size", [0.001, 0.1, 0.5, 1.0, 2.0, 5.0, 30.0])
def test_a_new_job_has_the_class_of_the_leaders_order(size):
    """Guards against predictions from another order than that of the starts."""
    sizes, mean = JobSizes(), JobRun.create(job=job(), version=1, received_s=NOW_S)
    sizes.observe(mean)
    step = attrs.evolve(STEP, size=Size(processors=size))
    run = JobRun.create(job=job(steps=(step,)), version=1, received_s=NOW_S)
    key = urgency_key(next(iter(run.steps.values())), QUEUE, sizes, NOW_S)
    assert key[1] == new_job_class(sizes.relative_size(run))


def test_refusals_begin_with_what_costs_least():
    """Guards against refusals of urgent, small or patient jobs while others are accepted."""
    large = attrs.evolve(STEP, size=Size(processors=10.0))
    patient = attrs.evolve(QUEUE, stretch=20.0)
    urgent = attrs.evolve(QUEUE, priority=0)
    summary = load(10.0)
    assert decide(admission(), summary, job(steps=(large,))) is not None
    assert decide(admission(), summary) is not None
    small = attrs.evolve(STEP, size=Size(processors=0.1))
    summary = load(10.0, free=Amount())
    assert decide(admission(), summary, job(steps=(small,))) is None
    assert decide(admission(), summary, found=patient) is None
    assert decide(admission(), summary, found=urgent) is None


@pytest.mark.parametrize(("patience_s", "is_refused"), [(3.0, False), (60.0, True)])
def test_a_caller_that_cannot_wait_is_not_refused_for_being_late(patience_s, is_refused):
    """Guards against a refusal that costs the whole value where being late costs three quarters."""
    refused = admission().decide(
        job(), QUEUE, load(LATE_S + 1.0), age_s=0.5, now_s=NOW_S, patience_s=patience_s
    )
    assert (refused is not None) is is_refused


@pytest.mark.parametrize(
    ("arriving", "factor"), [({}, 1.0), ({0: 50.0}, 2.0), ({1: 50.0, 2: 50.0}, 1.0)]
)
def test_callers_return_later_while_urgent_work_arrives(arriving, factor):
    """Guards against callers that return before the work that goes before them has been done."""
    later = [
        decide(admission(), load(LATE_S + 1.0, arriving=rates)).retry_after_s
        for rates in ({}, arriving)
    ]
    assert later[1] == pytest.approx(factor * later[0])
    assert decide(admission(), load(LATE_S, arriving={0: 200.0})) is None


def test_admission_does_not_flap():
    """Guards against a caller that is refused while a later one of its queue is admitted."""
    gate, edge = admission(), load(0.9 * LATE_S - 1.0)
    assert decide(gate, edge) is None
    refused = decide(gate, load(LATE_S), job(1))
    gate.record_refused(job(1), QUEUE, refused, NOW_S)
    assert decide(gate, edge, job(2), now_s=NOW_S + HYSTERESIS_S / 2) is not None
    gate.refused.remove(job(1).id)
    assert decide(gate, edge, job(2), now_s=NOW_S + HYSTERESIS_S) is None


def test_the_first_refused_are_the_first_admitted():
    """Guards against new jobs that take the place of those that were refused before them."""
    gate = admission()
    for number in range(1, 31):
        refused = decide(gate, load(LATE_S), job(number))
        gate.record_refused(job(number), QUEUE, refused, NOW_S)
    later_s, eased = NOW_S + 1.0, load(2.0)
    assert decide(gate, eased, job(1), now_s=later_s) is None
    assert decide(gate, eased, job(99), now_s=later_s) is not None
    # Callers that didn't return keep nothing free.
    assert decide(gate, eased, job(99), now_s=NOW_S + 60.0) is None


def test_a_refused_job_is_not_refused_again_and_again():
    """Guards against a kind of job that never gets through, and against a job counted twice."""
    gate = admission()
    refusals = 0
    while (refused := decide(gate, load(1.6 * LATE_S - 1.0))) is not None and refusals < 9:
        gate.record_refused(job(), QUEUE, refused, NOW_S)
        refusals += 1
        assert len(gate.refused) == 1
        assert gate.refused.reserved("pool", 1, CLASS).processors == pytest.approx(10.0)
    assert 1 <= refusals <= 4


def test_callers_return_spread_and_not_before_capacity_is_likely():
    """Guards against callers that return together, or too early to be admitted."""
    gate = admission()
    waits = [decide(gate, load(LATE_S + 2.0), job(n)).retry_after_s for n in range(200)]
    expected_s = LATE_S + 2.0 + 1.0 - 3.0
    assert 0.74 * expected_s < min(waits) < 0.8 * expected_s
    assert 1.2 * expected_s < max(waits) < 1.26 * expected_s


def test_a_decision_takes_less_than_50_microseconds():
    """Guards against admission as a cost of its own, with 24 rows and 2,000 refused jobs."""
    gate = admission()
    rows = tuple(WaitingWork(n % 3, n // 3, Amount(10.0, 10.0), 5.0) for n in range(24))
    summary = load(LONG_S, waiting=rows)
    for number in range(2000):
        refused = decide(gate, load(LONG_S, priority=0), job(number))
        gate.record_refused(job(number), QUEUE, refused, NOW_S)
    best_s = min(_timed(lambda: decide(gate, summary, job(5000))) for _ in range(200))
    assert best_s < 50e-6


def _timed(call):
    started_s = time.perf_counter()
    call()
    return time.perf_counter() - started_s


@attrs.define
class FakePort:
    """A load that doesn't change, and the refusals that were shared."""

    load: KnownLoad | None
    shared: list = attrs.Factory(list)

    def share_refusals(self, entries):
        self.shared.extend(entries)


def test_refusals_are_counted_and_shared():
    """Guards against refusals that operators and other instances don't see."""
    clock = ManualClock(start_s=NOW_S)
    port = FakePort(load=KnownLoad(summary=load(LONG_S, priority=0), made_s=NOW_S - 0.25))
    with JobMetrics(instance="a") as metrics:
        gate = AdmissionGate(port=port, clock=clock, rng=random.Random(1), metrics=metrics)
        for number in range(2 * MAX_LINES):
            refused = gate.check(job(number), patience_s=30.0)
            gate.record_refused(job(number), refused)
        text = metrics.render().decode()
    assert f'queue="q",reason="no use"}} {2 * MAX_LINES}.0' in text
    assert "fescuerudder_predicted_wait_seconds{" in text
    assert "fescuerudder_load_summary_age_seconds" in text and " 0.25" in text
    assert len(port.shared) == 2 * MAX_LINES and isinstance(port.shared[0], RefusedEntry)
    with JobMetrics(instance="b") as metrics:
        other = AdmissionGate(port=port, clock=clock, rng=random.Random(2), metrics=metrics)
        other.learn(port.shared)
        assert other.check(job(3), patience_s=30.0).tries == 2
        other.forget(job(3).id)
        assert other.check(job(3), patience_s=30.0).tries == 1
