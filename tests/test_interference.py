"""Learned slowdowns and sizes, and the damping of remedies."""

import attrs
import pytest

from fescuerudder.document import Size
from fescuerudder.interference import PeakSizes, Remedies, Slowdowns
from fescuerudder.workers import Attempt, Usage, WorkerStatus
from tests.fake_worker import CAPACITY


def report(at_s, ms, *neighbours, memory_mb=0):
    return Usage(
        measured_at_s=at_s,
        task="e.0",
        service="entry",
        processors=1,
        memory_mb=memory_mb,
        service_time_ms=ms,
        neighbours=neighbours,
    )


def status(clock_s, *usage, services=("entry", "noisy"), incarnation="1"):
    tasks = tuple(
        Attempt(task=s, attempt=1, service=s, size=Size(), state="running", lease_until_s=0)
        for s in services
    )
    return WorkerStatus(
        worker="w",
        incarnation=incarnation,
        clock_s=clock_s,
        capacity=CAPACITY,
        tasks=tasks,
        usage=usage,
    )


@pytest.mark.parametrize(("measured_at_s", "is_learned"), [(9, False), (11, True)])
def test_only_reports_measured_since_the_pairing_are_learned(measured_at_s, is_learned):
    slowdowns = Slowdowns()
    slowdowns.observe(status(5, report(4, 10), services=("entry",)))
    slowdowns.observe(status(10))
    slowdowns.observe(status(12, report(measured_at_s, 30, "noisy")))
    assert (slowdowns.pair_slowdown("entry", "noisy", load=0) > 1.5) is is_learned


def test_mitigations_go_step_by_step_and_wait_for_later_reports():
    remedies = Remedies(slowdowns=Slowdowns())

    def decide(clock_s, at_s, ms):
        action = remedies.decide(
            status=status(clock_s),
            new_usage=[report(at_s, ms, "noisy")],
            objectives_ms={"entry": 100},
            batch={"n": "noisy"},
        )
        return action and (*action.tasks, action.share)

    assert decide(10, 9, 200) == ("n", 0.5)
    assert decide(11, 9.5, 200) is None
    assert decide(12, 11, 200) == ("n", 0.25)
    assert decide(14, 13, 200) == ("n", None)
    assert decide(16, 15, 200) == ("n", 0.5)
    assert [decide(t, t, 79) for t in (17, 18, 19)] == [None, None, ("n", 1.0)]
    assert [decide(t, t, 90) for t in (20, 21, 22)] == [None, None, None]


@pytest.mark.parametrize("before_s", [10, 10_000])
def test_remedies_begin_anew_when_a_worker_restarts(before_s):
    """Guards against remedies that wait until a clock that was set back has caught up."""
    remedies = Remedies(slowdowns=Slowdowns(), steps=(), max_moves_per_hour=1)

    def decide(clock_s, incarnation):
        return remedies.decide(
            status=status(clock_s, incarnation=incarnation),
            new_usage=[report(clock_s, 200, "noisy")],
            objectives_ms={"entry": 100},
            batch={"n": "noisy"},
        )

    assert decide(before_s, "1") is not None
    assert decide(before_s + 1, "1") is None
    assert decide(20, "2") is not None
    assert decide(21, "2") is None


def test_learned_peak_is_committed_unless_no_worker_offers_it():
    sizes = PeakSizes()
    sizes.observe(report(1, 1, memory_mb=500))
    declared = Size(processors=2, memory_mb=100)
    big, small = Size(processors=8, memory_mb=900), Size(processors=8, memory_mb=300)
    learned = sizes.size_to_commit(service="entry", declared=declared, capacities=[big])
    assert learned == attrs.evolve(declared, memory_mb=500)
    assert sizes.size_to_commit(service="entry", declared=declared, capacities=[small]) == declared
