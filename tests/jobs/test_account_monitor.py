"""What operators see of accounts: metrics, log lines and the story of a job."""

import attrs
import structlog

from fescuerudder.clock import ManualClock
from fescuerudder.explain import render, tell
from fescuerudder.jobs.accountmetrics import MAX_ACCOUNTS, OTHERS, AccountFigures
from fescuerudder.jobs.accountmonitor import MAX_LINES
from fescuerudder.jobs.jobmetrics import JobMetrics
from tests.jobs.account_simulation import AccountSimulation, account, step


def figures(sim, name):
    """Returns the figures of an account, as last counted."""
    sim.run(1.1)
    found = sim.leaders[-1].scheduler.account_figures()
    return next(item for item in found if item.account == name)


def test_the_figures_are_those_of_the_leader():
    """Guards against metrics that don't say who has, wants and may have what."""
    sim = AccountSimulation(account("a", 3.0, weight=2.0), account("b"), workers=2, capacity=4.0)
    sim.run_s = 60.0
    sim.claim("l")
    sim.send_job("a", step(8))
    assert figures(sim, "a") == AccountFigures(
        account="a",
        used=(3.0, 30, 0),
        cap=(3.0, 0, 0),
        share=3 / 8,
        weight=2.0,
        waiting=5,
    )
    assert figures(sim, "b").used == (0.0, 0, 0)
    sim.set_accounts()
    sim.run(1.1)
    assert sim.leaders[-1].scheduler.account_figures() == ()


def test_metrics_show_the_figures_and_the_refused_calls():
    """Guards against an account that operators can't see, and labels without bound."""
    found = AccountFigures(
        account="a", used=(1.5, 10, 2), cap=(4.0, 0, 0), share=0.25, weight=3.0, waiting=7
    )
    with JobMetrics(instance="i", clock=ManualClock(start_s=0.0)) as metrics:
        source = lambda: (found,)  # noqa: E731
        metrics.accounts.watch(source)
        metrics.accounts.count_refused("a", 503)
        metrics.accounts.count_refused("", 401)
        text = metrics.render().decode()
        for line in (
            'fescuerudder_account_used{account="a",resource="processors"} 1.5',
            'fescuerudder_account_cap{account="a",resource="processors"} 4.0',
            'fescuerudder_account_share{account="a"} 0.25',
            'fescuerudder_account_waiting{account="a"} 7.0',
            'fescuerudder_account_refused_total{account="a",status="503"} 1.0',
            'fescuerudder_account_refused_total{account="(none)",status="401"} 1.0',
        ):
            assert line in text
        metrics.accounts.unwatch(source)
        for number in range(2 * MAX_ACCOUNTS):
            metrics.accounts.count_refused(f"t{number}", 503)
        text = metrics.render().decode()
        assert "fescuerudder_account_used{" not in text and OTHERS in text
        assert text.count("fescuerudder_account_refused_total{") <= MAX_ACCOUNTS + 2


def test_a_bounded_log_line_says_who_is_at_its_cap():
    """Guards against caps that nobody notices, and a line for each account and second."""
    names = [f"t{number:03}" for number in range(110)]
    sim = AccountSimulation(*(account(name, 0.5) for name in names), workers=1)
    sim.claim("l")
    for name in names:
        sim.send_job(name, step(1))
    with structlog.testing.capture_logs() as lines:
        sim.run(9)
    reached = [line for line in lines if line["event"] == "account at its cap"]
    assert (reached[0]["account"], reached[0]["waiting"]) == ("t000", 1)
    assert reached[0]["cap"] == [0.5, 0, 0]
    assert len({line["account"] for line in reached}) == len(reached) <= 10 * MAX_LINES
    assert any(line["event"].startswith("more accounts") for line in lines)


def test_the_story_of_a_job_says_that_its_account_was_at_its_cap():
    """Guards against a wait for the cap that looks like one for room."""
    sim = AccountSimulation(account("a", 1.0), account("b", 1.0), workers=2, capacity=4.0)
    sim.run_s = 6.0
    sim.claim("l")
    with structlog.testing.capture_logs() as lines:
        sim.send_job("a", step(1))
        sim.send_job("a", step(1))
        sim.send_job("b", step(2))
        sim.run(3)
        waiting = sim.send_job("a", step(1))
        sim.run(5)
    for number, line in enumerate(lines):
        line["timestamp"] = f"2026-12-06T10:00:{number // 1000:02}.{number % 1000:06}Z"
    story = tell(waiting, lines)
    told = [line for line in story.lines if line["event"] == "account at its cap"]
    assert told and {line["account"] for line in told} == {"a"}
    assert "account at its cap" in render(story) and "cap=[1.0, 0, 0]" in render(story)
    assert attrs.asdict(story)["lines"]
