"""Log lines on the jobs that wait for workers after a takeover, and on when they go on."""

import json
import re

import pytest
from structlog.testing import capture_logs

from bench._jobsimulation import JobSimulation
from fescuerudder.explain import tell
from fescuerudder.jobs import takeoverwaits, waitreasons
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.leases import PREDECESSOR_LEASES_S
from tests.jobs.test_scheduler import JOB, ONE, steps

OTHER = "00000000000000bb"

CONFIRM_S = 1.0
"""Time that a leader needs to confirm its leadership after a lease has ended, in seconds."""


def events(lines, *names):
    return [line for line in lines if line["event"] in names]


def lose_with_worker(job_ids, *, mode):
    """Returns a simulation whose leader is lost with the only worker, on which each job runs.

    Two other workers have joined since.
    """
    sim = JobSimulation(workers=1)
    sim.plan = lambda task, attempt, worker: (ONE, 30.0, False)
    for job_id in job_ids:
        sim.submit(job_id, steps=steps(1))
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    sim.add_worker(1, 4.0)
    sim.add_worker(2, 4.0)
    if mode == "crashed":
        sim.workers["w0"].crash()
    else:
        sim.cut.add(("b", "w0"))
    return sim


@pytest.mark.parametrize(
    ("mode", "why"), [("crashed", "silent, not in the registry"), ("cut off", "silent")]
)
def test_a_takeover_tells_for_whom_older_steps_wait(mode, why):
    """Guards against steps that wait although the log does not say for whom, why and until when."""
    sim = lose_with_worker([JOB, OTHER], mode=mode)
    with capture_logs() as lines:
        sim.claim("b")
        sim.run(PREDECESSOR_LEASES_S + 3.0)
    waits = events(lines, "older steps wait")
    assert waits[0]["after_claim_s"] <= 0.1, "the first line comes at the claim"
    assert all((line["steps"], line["jobs"], line["worker_count"]) == (2, 2, 1) for line in waits)
    assert [line["after_claim_s"] for line in waits[1:]] == pytest.approx([5.0], abs=1.2)
    (worker,) = waits[-1]["workers"]
    assert (worker["id"], worker["why"]) == ("w0", why)
    assert waits[-1]["longest_s"] == pytest.approx(waits[-1]["after_claim_s"], abs=0.1)
    (end,) = events(lines, "no older step waits")
    until_s = waits[-1]["after_claim_s"] + worker["left_s"]
    starts_s = [line["after_claim_s"] for line in events(lines, "older job goes on")]
    assert len(starts_s) == 2
    assert until_s <= min(starts_s) + 0.1
    assert max(starts_s) <= until_s + CONFIRM_S
    assert max(starts_s) <= end["after_claim_s"] <= max(starts_s) + 1.2


def test_workers_within_reach_are_soon_named_no_more():
    """Guards against lines that name sound workers beside the one that is waited for."""
    sim = JobSimulation(workers=4)
    sim.plan = lambda task, attempt, worker: (ONE, 30.0, False)
    sim.submit(JOB, steps=steps(4, max_per_worker=1))
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    sim.workers["w2"].crash()
    with capture_logs() as lines:
        sim.claim("b")
        sim.run(2.5)
    named = [{w["id"] for w in line["workers"]} for line in events(lines, "older steps wait")]
    assert "w2" in named[0]
    assert named[-1] == {"w2"}
    (waits,) = events(lines, "older job waits")
    assert (waits["running"], [w["id"] for w in waits["workers"]]) == (3, ["w2"])


@pytest.mark.parametrize(
    ("is_lost", "result", "earliest_s", "latest_s"),
    [(True, "held back", 2.0, 10.5), (False, "not held back", 0.0, 1.0)],
)
def test_the_first_start_of_an_older_job_is_timed(is_lost, result, earliest_s, latest_s):
    """Guards against a figure that takes waits for workers and waits of other kinds for one."""
    sim = lose_with_worker([OTHER], mode="crashed")
    waiting = OTHER if is_lost else JOB
    if not is_lost:
        sim.workers["w0"].restart()
        sim.submit(JOB, steps=steps(1))
    with capture_logs() as lines:
        sim.claim("b")
        sim.run(12.0)
    (line,) = [line for line in events(lines, "older job goes on") if line["job"] == waiting]
    assert line["result"] == result
    start, *_ = [line for line in events(lines, "start ordered") if line["job"] == waiting]
    assert start["attempt"] > 10_000, "of the second leader"
    assert earliest_s <= line["after_claim_s"] <= latest_s


def test_jobs_that_ran_on_and_younger_ones_are_not_timed():
    """Guards against a figure of waits that has jobs without one."""
    sim = JobSimulation(workers=2)
    sim.plan = lambda task, attempt, worker: (ONE, 3.0, False)
    sim.submit(JOB, steps=steps(1, 1))
    sim.claim("a")
    sim.run(1.0)
    sim.leaders[-1].alive = False
    with capture_logs() as lines:
        sim.claim("b")
        sim.run(0.5)
        sim.submit(OTHER, steps=steps(1))
        sim.run(4.0)
    assert {line["job"] for line in events(lines, "start ordered")} == {JOB, OTHER}
    assert not events(lines, "older job goes on", "older job waits")


def test_a_leader_names_each_waiting_job_once(monkeypatch):
    """Guards against a flood of lines after a takeover, and against jobs without a line."""
    monkeypatch.setattr(takeoverwaits, "MAX_JOB_LINES", 2)
    ids = [f"{number:016x}" for number in range(4)]
    sim = lose_with_worker(ids, mode="crashed")
    with capture_logs() as lines:
        sim.claim("b")
        sim.run(1.5)
        first = events(lines, "older job waits")
        sim.run(3.0)
    assert len(first) == 2
    assert sorted(line["job"] for line in events(lines, "older job waits")) == ids


def test_the_story_of_a_job_tells_for_whom_it_waited():
    """Guards against a lost job whose log lines do not lead to the worker that it waited for."""
    sim = lose_with_worker([JOB, OTHER], mode="crashed")
    with capture_logs() as lines:
        sim.claim("b")
        sim.run(12.0)
    stamped = [
        json.loads(json.dumps({**line, "instance": "b", "timestamp": f"{number:06}"}))
        for number, line in enumerate(lines)
    ]
    story = tell(JOB, stamped)
    (waited,) = story.waits
    assert waited.startswith("after the takeover by b for w0 (")
    assert "; first start " in waited
    assert {line["event"] for line in story.lines if line.get("worker") == "w0"} >= {
        "worker silent",
        "worker not reached, its leases have ended",
    }


def test_waits_after_a_takeover_reach_the_metrics():
    """Guards against gauges and a histogram that miss what the log lines say."""
    sim = lose_with_worker([JOB, OTHER], mode="cut off")
    with JobMetrics(instance="b", clock=sim.clock) as metrics:
        shown = []
        for seconds in (4.5, 8.0):
            with capture_logs() as lines:
                if sim.leaders[-1].name == "a":
                    sim.claim("b")
                sim.run(seconds)
            for line in lines:
                metrics.count_event(None, line["log_level"], line)
            shown.append(metrics.render().decode())
    gauges = [re.findall(r"^fescuerudder_waiting_steps\{.*\} (.*)$", text, re.M) for text in shown]
    assert gauges == [["2.0"], []], "while they wait and afterwards"
    assert 'takeover_first_start_seconds_count{result="held back"} 2.0' in shown[1]


def restrict_worker(sim):
    """The worker of the job is silent until the roster says what it runs; then leaders change."""
    sim.cut |= {("a", "w0"), ("b", "w0")}
    while not sim.leaders[-1].scheduler.state.workers["w0"].is_restricted:
        sim.run(0.05)
    sim.run(0.1)
    sim.leaders[-1].alive = False
    sim.claim("b")


def lose_orders(sim):
    """The worker answers no more before it gets a start."""
    sim.cut.add(("a", "w0"))
    sim.submit(OTHER, steps=steps(1))


def cut_off_worker(sim):
    """The worker of the job is silent; the leader stays."""
    sim.cut.add(("a", "w0"))


@pytest.mark.parametrize(
    ("prepare", "result", "job"),
    [
        (restrict_worker, waitreasons.WaitReason.EARLIER_START, JOB),
        (lose_orders, waitreasons.WaitReason.UNCERTAIN_START, OTHER),
        (cut_off_worker, waitreasons.WaitReason.OUT_OF_SIGHT, JOB),
    ],
)
def test_starts_out_of_sight_are_told_apart(monkeypatch, prepare, result, job):
    """Guards against one reason for a start of this leader, one of an earlier one, and a run."""
    monkeypatch.setattr(waitreasons, "LONG_WAIT_S", 0.1)
    monkeypatch.setattr(waitreasons, "CHECK_INTERVAL_S", 0.1)
    sim = JobSimulation(workers=1)
    sim.plan = lambda task, attempt, worker: (ONE, 30.0, False)
    sim.submit(JOB, steps=steps(1))
    sim.claim("a")
    sim.run(1.0)
    with capture_logs() as lines:
        prepare(sim)
        sim.run(4.0)
    found = {(line["result"], line["job"]): line["workers"] for line in events(lines, "steps wait")}
    assert found[(result.value, job)] == ["w0"]


def test_the_end_of_a_wait_is_logged():
    """Guards against metrics that show a wait for good."""
    sim = JobSimulation(workers=1, capacity=1.0)
    sim.plan = lambda task, attempt, worker: (ONE, 5.0, False)
    sim.claim("a")
    sim.submit(JOB, steps=steps(1))
    sim.submit(OTHER, steps=steps(1))
    with capture_logs() as lines:
        sim.run(8.0)
    shown = [line["event"] for line in events(lines, "steps wait", "steps wait no more")]
    assert shown == ["steps wait", "steps wait no more"]
