"""Data of other writers in the loops and links of an instance: none of them ends."""

import asyncio
import contextlib
import json
import math
from concurrent.futures import ThreadPoolExecutor

import attrs
import pykka
import pytest
import structlog

from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.jobs.adviceport import AdviceQuery
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.jobcheck import check_job
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.knowledge import Knowledge
from fescuerudder.jobs.progress import StoredFormError, dump_job, dump_progress
from fescuerudder.jobs.rows import Changes, RowTransaction
from fescuerudder.jobs.storage import KNOWLEDGE_KEY, job_key, progress_key
from fescuerudder.jobs.takeover import load_stored_state
from fescuerudder.jobs.termevents import Advised, Answered, Silent
from fescuerudder.jobs.workerport import OrderResult, RenewOrder
from standins.rows import MemoryRowStore
from tests.jobs.test_leader import EMPTY_BATCH, START, make_term
from tests.platform.odd_values import MAX_EXACT, ODD_BYTES, table, variants

UNEXPECTED = [RecursionError("deep"), OverflowError("large"), KeyError("x"), AttributeError("x")]
RENEWAL = RenewOrder(
    worker="w", address="w:1", token=1, acknowledged=0, lease_until_ms=None, wait_ms=0
)
QUERY = AdviceQuery(step=START.task[:3], workers=("w",), timeout_s=1.0)


@attrs.define
class Failing:
    """Raises errors at the first calls of any method, then returns a value and stops the term."""

    errors: list
    value: object
    term: object = None
    calls: int = 0
    confirmed_s: float = 10.0

    def __getattr__(self, name):
        return self._call

    def _call(self, *args, **kwargs):
        self.calls += 1
        assert self.calls < 100
        if self.errors:
            raise self.errors.pop(0)
        self.term._stopping.set()
        return self.value


@pytest.fixture
def metrics():
    with JobMetrics(instance="n") as found:
        yield found


LOOPS = {
    "registry": ("_registry", [], lambda term: term._read_registry()),
    "jobs": ("_store", Changes(rows=(), removed=(), version=3), lambda t: t._follow_jobs(2)),
    "progress": ("_writer", frozenset(), lambda term: term._write()),
}


@pytest.mark.parametrize("loop", LOOPS)
def test_no_loop_of_a_leader_ends_by_an_unexpected_error(monkeypatch, metrics, loop):
    """Guards against a leader that silently stops following the workers or the jobs.

    One odd entry ended the thread, and the term went on without it.
    """
    attribute, value, run = LOOPS[loop]
    clock = ManualClock(start_s=10.0)
    term = make_term(clock, metrics, store=MemoryRowStore())
    source = Failing(errors=list(UNEXPECTED), value=value, term=term)
    setattr(term, attribute, source)
    monkeypatch.setattr(term, "_next_batch", lambda: EMPTY_BATCH)
    with structlog.testing.capture_logs() as logs:
        run(term)
    assert not source.errors and not term.lost.is_set()
    errors = [line for line in logs if line["log_level"] == "error"]
    assert len(errors) == len(UNEXPECTED) and all(line["exc_info"] for line in errors)
    assert clock.now_s() > 10.0


class BrokenWorkers:
    """Fails in a way that no port may."""

    def __getattr__(self, name):
        async def fail(order, *, timeout_s):
            raise OverflowError("large")

        return fail


@pytest.mark.parametrize("order", [START, RENEWAL, QUERY], ids=lambda order: type(order).__name__)
def test_an_order_that_fails_unexpectedly_has_no_answer(monkeypatch, metrics, order):
    """Guards against a task or a worker that waits for the outcome of an order for good."""
    events = []
    term = make_term(
        ManualClock(start_s=10.0), metrics, store=MemoryRowStore(), workers=BrokenWorkers()
    )
    term._advice = Failing(errors=list(UNEXPECTED), value=None, term=term)
    monkeypatch.setattr(term, "_collect_event", events.append)
    asyncio.run(term._execute_order(order, 10.0))
    (event,) = events
    if order is START:
        assert isinstance(event, Answered) and event.answer.result is OrderResult.UNKNOWN
    elif order is RENEWAL:
        assert isinstance(event, Silent) and event.order is RENEWAL
    else:
        assert isinstance(event, Advised) and event.advice is None


def test_a_term_without_its_scheduler_ends(monkeypatch, metrics):
    """Guards against a leader that gives no orders, and tries to write without a pause."""
    term = make_term(ManualClock(start_s=10.0), metrics, store=MemoryRowStore())
    errors = [pykka.ActorDeadError("ended")] * 50

    def ask():
        raise errors.pop()

    monkeypatch.setattr(term, "_next_batch", ask)
    term._write()
    assert term.lost.is_set() and len(errors) == 49


@pytest.mark.parametrize(
    ("after", "path_ms"),
    [
        (lambda n: tuple(range(n)), 300),
        (lambda n: (n - 1,) if n else (), 300),
        (lambda n: (), 1),
        (lambda n: (n % 2,) if n > 1 else (), 2),
    ],
    ids=["each on all earlier ones", "chain", "none", "two deep"],
)
def test_any_order_of_steps_can_be_ranked(after, path_ms):
    """Guards against plans that never end, or fail, because of the dependencies of one job."""
    steps = tuple(Step(count=1, size=Size(), estimated_ms=1, after=after(n)) for n in range(300))
    job = Job(id="00000000000000aa", queue="q", payload="", steps=steps)
    check_job(job)
    run = JobRun.create(job=job, version=1, received_s=0.0)
    assert run.remaining_path_ms(0) == path_ms and run.remaining_path_ms(299) == 1


KNOWLEDGE = {"estimates": {"i": 0.5}, "effects": [["i", "j", 3.0, 2.0]]}
KNOWLEDGE_PATHS = [
    ("estimates",),
    ("estimates", "i"),
    ("effects",),
    ("effects", 0),
    *(("effects", 0, n) for n in range(4)),
]


@pytest.mark.parametrize(
    "data",
    table(
        [*ODD_BYTES.items(), *((n, t.encode()) for n, t in variants(KNOWLEDGE, KNOWLEDGE_PATHS))]
    ),
)
def test_odd_knowledge_is_left_out(data):
    """Guards against a term that can't begin, or plans with numbers that are none."""
    knowledge = Knowledge()
    with contextlib.suppress(StoredFormError):
        knowledge.restore(data)
    for share in knowledge.estimates.dump().values():
        assert 0 <= share <= 1
    for images in knowledge.headroom_model.dump():
        assert 0 <= images[2] < MAX_EXACT and 0 <= images[3] < MAX_EXACT
    Knowledge().restore(knowledge.dump())


JOB_ROW = {
    "id": "00000000000000aa",
    "queue": "q",
    "payload": "",
    "steps": [
        {"count": 1, "size": {"processors": 1.0, "memory_mb": 1, "accelerators": 0}},
        {"count": 1, "size": {}, "after": [0], "estimated_ms": 5, "max_unavailable": 1},
    ],
    "repetition": {"times": 2, "first_ms": 1, "interval_ms": 1},
    "submitted_ms": 5,
}
JOB_ROW_PATHS = [
    *((name,) for name in JOB_ROW),
    *(("steps", 0, "size", part) for part in JOB_ROW["steps"][0]["size"]),
    *(("steps", 1, name) for name in JOB_ROW["steps"][1]),
    ("steps", 1, "after", 0),
    *(("repetition", name) for name in JOB_ROW["repetition"]),
]


@pytest.mark.parametrize(
    "data",
    table([*ODD_BYTES.items(), *((n, t.encode()) for n, t in variants(JOB_ROW, JOB_ROW_PATHS))]),
)
def test_an_odd_row_of_a_job_or_its_progress_hides_no_other(data):
    """Guards against a takeover that fails, or plans that fail, because of one row."""
    good = Job(id="00000000000000bb", queue="q", payload="", steps=(Step(count=1, size=Size()),))
    store = MemoryRowStore()
    for key, value in (
        (job_key(good.id), dump_job(good)),
        (job_key(JOB_ROW["id"]), data),
        (progress_key(good.id), data),
        (progress_key(JOB_ROW["id"]), b'{"state": "queued"}'),
        (job_key("00000000000000cc"), dump_job(good)),
        (KNOWLEDGE_KEY, data),
    ):
        store.write(RowTransaction(puts=((key, value),)), timeout_s=1)
    with ThreadPoolExecutor(2) as pool:
        loaded = load_stored_state(
            store=store, clock=ManualClock(), wall_ms=lambda: 1e12, pool=pool
        )
    runs = {run.job.id: run for run in loaded.live}
    assert good.id in runs or good.id in loaded.ended
    assert len(loaded.live) + len(loaded.ended) == len({*runs, *loaded.ended}) <= 2
    for run in runs.values():
        numbers = range(len(run.job.steps))
        steps = [run.find_step(o, n) for o in range(run.job.occurrences) for n in numbers]
        assert all(run.may_open(step) in (True, False) for step in steps)
        assert math.isfinite(run.work) and math.isfinite(run.received_s)
        json.loads(dump_progress(run))
