"""Admission, order, retries and outcomes of the router."""

import random
import threading
from collections import Counter

import attrs
import pytest
from result import Err, Ok

from fescuerudder.clock import ManualClock, SystemClock
from fescuerudder.errors import UpstreamError
from fescuerudder.messages import SlotPermit
from fescuerudder.routes import RackRoute, WorkerRoute
from fescuerudder.routing import LOCAL_LIMIT, Router, make_balancer
from fescuerudder.upstream import Answer, Request
from fescuerudder.waitqueue import Waiter, WaitQueue
from tests.fakes import FakeTable
from tests.test_idempotency import make_records

ANSWER = Answer(status=200, body=b"ok")


def make_request(method="GET", *, deadline_s=10.0, key=None):
    headers = (("Idempotency-Key", key),) if key else ()
    return Request(
        service="draw",
        method=method,
        target="/draw/x",
        headers=headers,
        deadline_s=deadline_s,
        trace_id="t",
    )


def make_permit(worker="w0"):
    return SlotPermit(rack="r", worker=worker, data="10.0.0.1:80", slot=0, serial=1, ttl_s=3.0)


class FakeBalancer:
    """Grants a permit for each acquire, up to `permits`; notes what is avoided and released."""

    def __init__(self, permits=100):
        self.permits = permits
        self.avoided = []
        self.released = []
        self.waited_until_s = []

    def acquire(self, service, deadline_s, avoid=frozenset()):
        self.avoided.append(set(avoid))
        self.waited_until_s.append(deadline_s)
        if self.permits == 0:
            return None
        self.permits -= 1
        return make_permit(f"w{len(self.avoided)}")

    def release(self, permit, ok):
        self.released.append(ok)


class FakeForwarder:
    """Answers in the order of a script of outcomes; `ok` at its end."""

    def __init__(self, script=()):
        self.script = list(script)
        self.sent = 0

    def forward(self, permit, req):
        self.sent += 1
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome == "ok":
            return Ok(ANSWER)
        return Err(UpstreamError(outcome, status=502, outcome=outcome))


def make_router(*, script=(), permits=100, table=None, **fields):
    base = {
        "clock": ManualClock(),
        "balancer": FakeBalancer(permits),
        "forwarder": FakeForwarder(script),
        "records": make_records(table or FakeTable()),
        "is_known": lambda name: name == "draw",
    }
    return Router(**{**base, **fields})


@pytest.mark.parametrize(
    ("method", "script", "permits", "sent", "outcome"),
    [
        ("GET", [], 9, 1, None),
        ("GET", ["unknown", "not_run"], 9, 3, None),
        ("POST", ["not_run", "not_run"], 9, 3, None),
        ("POST", ["unknown"], 9, 1, "unknown"),
        ("PATCH", ["not_run", "unknown"], 9, 2, "unknown"),
        ("GET", ["unknown"] + ["not_run"] * 99, 99, 11, "unknown"),
        ("POST", ["not_run"] * 99, 99, 11, "not_run"),
        ("GET", [], 0, 0, "not_run"),
        ("GET", ["unknown"], 1, 1, "unknown"),
    ],
)
def test_retries_follow_method_outcome_and_budget(method, script, permits, sent, outcome):
    """Guards against running twice, a false 'not run', and retry storms."""
    forwarder = FakeForwarder(script)
    balancer = FakeBalancer(permits)
    res = make_router(forwarder=forwarder, balancer=balancer).handle(make_request(method))
    assert forwarder.sent == sent == len(balancer.released)
    assert (None if isinstance(res, Ok) else res.err_value.outcome) == outcome


def test_retry_prefers_another_worker():
    """Guards against retrying on the worker that just failed."""
    balancer = FakeBalancer()
    make_router(balancer=balancer, script=["not_run"]).handle(make_request())
    assert balancer.avoided == [set(), {"w1"}]


@pytest.mark.parametrize(
    ("runs_s", "left_s", "wait_s"),
    [
        ([], 0.5, 0.5),
        ([0.3] * 50, 0.5, 0.2),
        ([0.3] * 50, 0.1, 0.02),
        ([0.3] * 50, 0.01, 0.01),
        ([0.1, 0.1, 0.9] * 100, 0.5, 0.4),
    ],
)
def test_a_request_waits_only_while_its_run_could_still_end_in_time(runs_s, left_s, wait_s):
    """Guards against slots spent on requests that time out, so that the next ones do too."""
    clock, balancer, forwarder = ManualClock(), FakeBalancer(permits=999), FakeForwarder()
    router = make_router(clock=clock, balancer=balancer, forwarder=forwarder, sheds=False)
    answer = forwarder.forward
    for run_s in runs_s:
        forwarder.forward = lambda permit, req, run_s=run_s: (
            clock.advance(seconds=run_s),
            answer(permit, req),
        )[1]
        router.handle(make_request(deadline_s=clock.now_s() + 5))
    now_s = clock.now_s()
    router.handle(make_request(deadline_s=now_s + left_s))
    assert balancer.waited_until_s[-1] - now_s == pytest.approx(wait_s, abs=0.05)


def test_permit_is_released_when_forwarding_raises():
    """Guards against leaking permits."""
    forwarder = FakeForwarder()
    forwarder.forward = None
    balancer = FakeBalancer()
    with pytest.raises(TypeError):
        make_router(forwarder=forwarder, balancer=balancer).handle(make_request())
    assert balancer.released == [False]


@pytest.mark.parametrize(
    ("fields", "req", "status"),
    [
        ({"is_known": lambda name: False}, make_request(), 404),
        ({"queue_max": 0}, make_request(), 503),
        ({}, make_request(deadline_s=0.0), 503),
    ],
)
def test_refusals_before_admission_are_not_run(fields, req, status):
    """Guards against queueing what can't be served."""
    error = make_router(**fields).handle(req).err_value
    assert (error.status, error.outcome) == (status, "not_run")


def test_request_is_shed_when_the_expected_wait_exceeds_its_deadline():
    """Guards against letting requests wait that will time out in the queue."""
    clock = ManualClock()
    entered, leave = threading.Event(), threading.Event()
    forwarder = FakeForwarder()
    router = make_router(clock=clock, forwarder=forwarder)

    def forward_slowly(permit, req):
        clock.advance(seconds=2.0)
        return Ok(ANSWER)

    forwarder.forward = forward_slowly
    assert isinstance(router.handle(make_request()), Ok)

    class BlockedBalancer(FakeBalancer):
        def acquire(self, service, deadline_s, avoid=frozenset()):
            entered.set()
            leave.wait(5)

    router._balancer = BlockedBalancer()
    waiting = threading.Thread(target=router.handle, args=(make_request(),))
    waiting.start()
    assert entered.wait(5)
    error = router.handle(make_request(deadline_s=3.0)).err_value
    leave.set()
    waiting.join()
    assert error.status == 503 and "expected wait" in str(error)


@pytest.mark.parametrize(
    ("script", "repeat"),
    [([], "replayed"), (["unknown"], "unknown"), (["not_run"] * 11, "ran")],
)
def test_keyed_requests_are_recorded(script, repeat):
    """Guards against a keyed request that runs again after it may have run."""
    table = FakeTable()
    make_router(table=table, script=script).handle(make_request("POST", key="k"))
    forwarder = FakeForwarder()
    res = make_router(table=table, forwarder=forwarder).handle(make_request("POST", key="k"))
    assert forwarder.sent == (1 if repeat == "ran" else 0)
    if repeat == "unknown":
        assert res.err_value.outcome == "unknown"
    elif repeat == "replayed":
        assert ("Idempotency-Replayed", "true") in res.ok_value.headers


def test_keyed_request_that_broke_inside_is_not_run_again():
    """Guards against a record that stays 'in progress' after an internal error."""
    table = FakeTable()
    forwarder = FakeForwarder()
    forwarder.forward = None
    with pytest.raises(TypeError):
        make_router(table=table, forwarder=forwarder).handle(make_request("POST", key="k"))
    error = make_router(table=table).handle(make_request("POST", key="k")).err_value
    assert (error.outcome, error.details) == ("unknown", {})


def test_earliest_deadline_goes_first():
    """Guards against serving patient requests while urgent ones time out."""
    queue = WaitQueue()
    waiters = [Waiter(deadline_s=deadline, avoid=frozenset()) for deadline in (3.0, 1.0, 2.0)]
    for waiter in waiters:
        queue.push(waiter)
    permits = [make_permit()] * 2
    queue.serve(lambda waiter: permits.pop() if permits else None)
    assert [waiter.permit is not None for waiter in waiters] == [False, True, True]


def make_local(policy, clock=None, *, near=4, far=0):
    balancer = make_balancer(
        policy=policy, clock=clock or ManualClock(), rng=random.Random(1), holder=None
    )
    base = WorkerRoute(worker="", data="10.0.0.1:80", services=frozenset({"draw"}))
    racks = [
        RackRoute(
            rack=name,
            near=name == "near",
            workers=tuple(attrs.evolve(base, worker=f"{name}{n}") for n in range(count)),
        )
        for name, count in (("far", far), ("near", near))
    ]
    balancer.update_racks(racks)
    return balancer


@pytest.mark.parametrize(
    ("policy", "spread"), [("random", 40), ("round_robin", 0), ("least_outstanding", 0)]
)
def test_baselines_spread_and_respect_the_limit(policy, spread):
    """Guards against baselines that exceed a worker's connections or favour a worker."""
    balancer = make_local(policy)
    used = Counter()
    for _ in range(20):
        permits = [balancer.acquire("draw", 1.0) for _ in range(4)]
        used.update(permit.worker for permit in permits)
        for permit in permits:
            balancer.release(permit, True)
    assert max(used.values()) - min(used.values()) <= spread
    held = [balancer.acquire("draw", 1.0) for _ in range(4 * LOCAL_LIMIT)]
    assert set(Counter(p.worker for p in held).values()) == {LOCAL_LIMIT}
    assert balancer.acquire("draw", 1.0) is None


def test_baseline_spills_over_and_wakes_waiters():
    """Guards against waiting while the other region is free, and against lost wake-ups."""
    balancer = make_local("random", SystemClock(), near=1, far=1)
    deadline_s = SystemClock().now_s() + 5.0
    held = [balancer.acquire("draw", deadline_s) for _ in range(2 * LOCAL_LIMIT)]
    assert [p.rack for p in held] == ["near"] * LOCAL_LIMIT + ["far"] * LOCAL_LIMIT
    timer = threading.Timer(0.02, balancer.release, args=(held[0], True))
    timer.start()
    assert balancer.acquire("draw", deadline_s).worker == "near0"
    timer.join()
