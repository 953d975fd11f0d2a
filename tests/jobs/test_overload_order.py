"""Replays of small versions of the loads with too little capacity."""

import math

import attrs
import pytest
from structlog.testing import capture_logs

from bench._overloadbound import clairvoyant_value
from bench._overloadloads import OVERLOAD_PATTERNS, OverloadPattern
from bench._overloadorders import value_density
from bench._overloadreplay import OverloadReplay
from fescuerudder.clock import ManualClock
from fescuerudder.jobs import node
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.policy import LatencyMargins, OverloadOrder, SchedulingPolicy
from fescuerudder.jobs.runtimes import RunTimes
from fescuerudder.jobs.shortage import ShortageMonitor, WaitingTasks
from fescuerudder.jobs.urgency import urgency_key
from standins.rows import MemoryRowStore
from tests.jobs.test_settingsreloader import CFG

QUIET = OverloadPattern(name="low", load=0.1, seconds=20.0, workers=24, long_running_share=0.3)

ROUNDING = 1e-9


def small(pattern):
    return attrs.evolve(pattern, workers=8, seconds=10.0)


def starts(*, pattern, seed, **order):
    replay = OverloadReplay(pattern=pattern, seed=seed, **order)
    replay.play()
    return [event for event in replay.sim.events if event[4] == "start"]


def frozen_key(step, queue, inputs):
    """Returns the sort key of commit 122f4c3; a copy, so that changes of the product show."""
    if queue is None or step.spec.long_running:
        return (queue.priority if queue is not None else 0, 1_000_000, 0.0, step.number)
    run = step.job
    limit_s = (queue.stretch * run.critical_path_ms + queue.allowance_ms) / 1000
    done_s = inputs.now_s + run.remaining_path_ms(step.number) / 1000 - run.received_s
    deadline_s = run.received_s + limit_s
    if done_s > 3.0 * limit_s:
        return (queue.priority, math.inf, deadline_s, step.number)
    size = inputs.sizes.relative_size(run)
    value = min(4.0, 0.3 + (1 - 0.3) * size) * (0.25 if done_s > limit_s else 1.0)
    left = max(0.02, 1 - run.done_work / run.work) if run.work > 0.0 else 1.0
    density = value / (max(size, 0.02) * left)
    return (queue.priority, -round(math.log(density, 1.5)), deadline_s, step.number)


@pytest.mark.parametrize("setting", OverloadOrder)
@pytest.mark.parametrize("pattern", OVERLOAD_PATTERNS, ids=lambda pattern: pattern.name)
def test_each_job_ends_and_no_order_exceeds_the_bound(pattern, setting):
    """Guards against accepted jobs that an overload drops, and against a bound that is too low."""
    replay = OverloadReplay(pattern=small(pattern), seed=1, setting=setting)
    outcome = replay.play()
    replay.sim.run(60.0)
    assert len(replay.ends()) == len(replay.jobs)
    assert 0.0 < outcome.value <= clairvoyant_value(small(pattern), replay.jobs) + ROUNDING


@pytest.mark.parametrize("name", ["burst-of-small", "one-priority", "steady-overload"])
def test_by_default_starts_are_those_of_122f4c3_where_capacity_is_short(name, monkeypatch):
    """Guards against an order under overload that applies, or costs, where nobody has set it.

    The other setting starts the same load in another order, so the order does matter in it.
    """
    load = {"pattern": next(p for p in OVERLOAD_PATTERNS if p.name == name), "seed": 1}
    late_last = starts(**load, setting=OverloadOrder.LATE_LAST)
    for part in (RunTimes, ShortageMonitor, WaitingTasks):
        monkeypatch.setattr(part, "__init__", lambda self, **_: pytest.fail("it is in use"))
    by_default = starts(**load)
    assert len(by_default) > 1000
    assert by_default == starts(**load, urgency=frozen_key)
    assert by_default != late_last


@pytest.mark.parametrize("order", OverloadOrder)
@pytest.mark.parametrize("margins", LatencyMargins)
def test_a_leader_uses_its_own_policy_and_logs_it_once_a_term(order, margins):
    """Guards against a term that ignores the settings, and against operators who can't see them."""
    policy = SchedulingPolicy(overload_order=order, latency_margins=margins)
    cfg, clock = attrs.evolve(CFG, policy=policy), ManualClock()
    ports = node.PlatformPorts(
        store=MemoryRowStore(),
        workers=None,
        registry=None,
        advice=None,
        config=None,
        make_app=id,
        make_preview_app=id,
    )
    with JobMetrics(instance="n") as metrics, capture_logs() as lines:
        leader = node.JobNode(cfg=cfg, ports=ports, clock=clock, metrics=metrics)
        term = leader._make_term(Claim(epoch=3, instance="n", address="", key=""), 1)
    assert term._scheduler.state.policy == policy
    [logged] = [line for line in lines if line["event"] == "scheduling policy"]
    expected = {"overload_order": order.value, "latency_margins": margins.value, "epoch": 3}
    assert expected.items() <= logged.items()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_starts_are_the_same_while_nothing_waits_for_capacity(seed):
    """Guards against an order for overload that changes a day with capacity for all jobs."""
    short_pools = set()

    def watched(step, queue, inputs):
        short_pools.update(inputs.short_pools)
        return urgency_key(step, queue, inputs)

    load = {"pattern": QUIET, "seed": seed, "setting": OverloadOrder.LATE_LAST}
    found = [starts(**load, urgency=urgency) for urgency in (watched, value_density)]
    assert not short_pools
    assert len(found[0]) > 200
    assert found[0] == found[1]
