"""Workers that fail different tasks are quarantined and probed at growing intervals."""

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.quarantine import Quarantine, QuarantinePolicy


@pytest.mark.parametrize(
    ("failed", "is_quarantined"), [("abc", True), ("aaa", False), ("ab", False), ("", False)]
)
def test_only_different_tasks_count(failed, is_quarantined):
    quarantine = Quarantine(clock=ManualClock())
    for task in failed:
        quarantine.record_failure(worker="w", task=task)
    assert quarantine.is_quarantined(worker="w") is is_quarantined


def test_success_between_failures_resets_the_count():
    quarantine = Quarantine(clock=ManualClock())
    for task in "ab":
        quarantine.record_failure(worker="w", task=task)
    quarantine.record_success(worker="w")
    quarantine.record_failure(worker="w", task="c")
    assert not quarantine.is_quarantined(worker="w")


def test_probe_delay_doubles_up_to_its_limit():
    clock = ManualClock()
    quarantine = Quarantine(clock=clock)
    for task in "abc":
        quarantine.record_failure(worker="w", task=task)
    for delay_s in (5, 10, 20, 40, 80, 160, 300, 300):
        clock.advance(seconds=delay_s - 0.1)
        assert not quarantine.is_probe_due(worker="w")
        clock.advance(seconds=0.2)
        assert quarantine.is_probe_due(worker="w")
        quarantine.record_failure(worker="w", task="d")


@pytest.mark.parametrize(("run_s", "is_passed"), [(20.0, False), (11.0, True)])
def test_only_what_began_after_the_failures_ends_the_quarantine(run_s, is_passed):
    """Guards against a worker that fails all new tasks but leaves quarantine through an old one."""
    clock = ManualClock(start_s=100.0)
    quarantine = Quarantine(clock=clock, policy=QuarantinePolicy(probe_pass_run_s=10.0))
    for task in ("a", "b", "c"):
        quarantine.record_failure(worker="w", task=task)
    clock.advance(seconds=12.0)
    quarantine.record_running(worker="w", run_s=run_s)
    assert quarantine.is_quarantined(worker="w") is not is_passed
    quarantine.record_success(worker="w", run_s=run_s)
    assert quarantine.is_quarantined(worker="w") is not is_passed


@pytest.mark.parametrize(("run_s", "wait_s"), [(2.0, 4.5), (0.0, 10.0)])
def test_only_failures_of_probes_delay_the_next_probe(run_s, wait_s):
    """Guards against a recovered worker that gets nothing for half a minute.

    The tasks that run beside each other on a worker fail together when it does.
    """
    clock = ManualClock(start_s=100.0)
    quarantine = Quarantine(clock=clock)
    for task in "abc":
        quarantine.record_failure(worker="w", task=task, run_s=1.0)
    clock.advance(seconds=0.5)
    quarantine.record_failure(worker="w", task="d", run_s=run_s)
    clock.advance(seconds=wait_s - 0.1)
    assert not quarantine.is_probe_due(worker="w")
    clock.advance(seconds=0.2)
    assert quarantine.is_probe_due(worker="w")


@pytest.mark.parametrize(("is_probed", "probe_after_s"), [(False, 5.0), (True, 15.0)])
def test_repeated_verdicts_do_not_postpone_the_probe(is_probed, probe_after_s):
    """Guards against a stalled worker that is never probed, as each report confirms the verdict."""
    clock = ManualClock(start_s=100.0)
    quarantine = Quarantine(clock=clock)
    quarantine.add(worker="w")
    due_s = None
    for tenth in range(200):
        clock.advance(seconds=0.1)
        if quarantine.is_probe_due(worker="w"):
            if is_probed:
                is_probed = False
                quarantine.record_probe(worker="w")
            else:
                due_s = (tenth + 1) / 10
                break
        quarantine.add(worker="w")
    assert due_s == pytest.approx(probe_after_s, abs=0.25)
