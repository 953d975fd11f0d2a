"""Verdicts on P1 to P3 from the workers' event files and what callers were told."""

from collections import Counter

from pytest_bdd import parsers, then, when

from bench.small_cluster import wait_until
from bench.witness import (
    outlived_leases,
    over_commitments,
    read_runs,
    repeated_attempts,
    repeated_finishes,
    repeated_resumes,
    task_overlaps,
)


def _refusals(work, reason: str) -> list:
    return [e for e in work.events() if e["event"] == "refusal" and e["reason"] == reason]


def _own(work, findings) -> list:
    return [f for f in findings if f.boot_s >= work.started_s and f.violation]


@then("no worker was committed beyond its capacity")
def within_capacity(work) -> None:
    """A start that only the worker's own check kept out counts as a violation, too."""
    events = work.cluster.events()
    assert work.runs()
    assert _own(work, over_commitments(events, read_runs(events))) == []
    assert _refusals(work, "over_committed") == []


@then("no task ran in two places at once")
def one_place(work) -> None:
    runs = read_runs(work.cluster.events())
    found = task_overlaps(runs) + repeated_attempts(runs) + outlived_leases(runs)
    assert _own(work, found) == []
    assert _refusals(work, "task_running") == []


@then("evicted work resumed exactly once")
def resumed_once(work) -> None:
    """Each attempt after an eviction begins at the checkpoint that the eviction left."""
    runs = read_runs(work.cluster.events())
    assert _own(work, repeated_resumes(runs) + repeated_finishes(runs)) == []
    left = {
        (e["task"], e["attempt"]): e["checkpoint"]
        for e in work.events()
        if e["event"] == "end" and e["how"] == "checkpointed"
    }
    for task in work.accepted:
        own = sorted((r for r in runs if r.task == task), key=lambda run: run.start_s)
        for before, after in zip(own, own[1:], strict=False):
            expected = left.get((task, before.attempt))
            if expected is not None:
                assert after.checkpoint == expected, (before, after)


@then("every accepted task finished exactly once")
def finished_once(work) -> None:
    """By the workers' files and by the answers to the callers; cancelled tasks are left out."""
    wait_until(lambda: not work.unfinished(), "every accepted task reaches a final state")
    wrong = {t: s for t, s in work.states.items() if s != "finished" and t not in work.cancelled}
    assert wrong == {}
    ends = work.finished()
    expected = [task for task, state in work.states.items() if state == "finished"]
    print(f"{len(expected)} tasks finished, attempts {Counter(r.attempt for r in work.runs())}")
    assert expected
    assert {task: ends[task] for task in expected} == dict.fromkeys(expected, 1)


@then("every cancelled task ended without finishing, or finished once")
def cancelled_ended(work) -> None:
    wait_until(lambda: not work.unfinished(), "every accepted task reaches a final state")
    assert work.cancelled
    ends = work.finished()
    running = {run.task for run in work.running()}
    print("cancelled tasks", Counter(work.states[task] for task in work.cancelled))
    for task in work.cancelled:
        assert work.states[task] in ("cancelled", "finished")
        assert ends[task] == (1 if work.states[task] == "finished" else 0), task
        assert task not in running


@then("every task ran in a single attempt")
def single_attempt(work) -> None:
    counted = Counter(run.task for run in work.runs())
    assert counted
    assert {task: n for task, n in counted.items() if n > 1} == {}


@when(parsers.re(r'later starts of "(?P<service>[^"]+)" are committed with (?P<n>\d+) processors'))
def learned_size(work, service, n) -> None:
    def is_learned() -> bool:
        return any(run.size["processors"] == float(n) for run in work.runs(service))

    wait_until(is_learned, f"a start of {service} is committed with {n} processors")


@then(parsers.re(r'"(?P<worker>[^"]+)" started at most (?P<n>\d+) of the tasks'))
def few_starts(work, worker, n) -> None:
    found = [run for run in work.runs() if run.worker == worker]
    print(f"{worker} started {len(found)} tasks")
    assert found, "the worker got no task; the scenario proves nothing"
    assert len(found) <= int(n)
