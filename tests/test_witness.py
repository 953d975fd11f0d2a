"""Findings from event files."""

import json

import pytest

from bench.witness import (
    find_all,
    over_commitments,
    read_events,
    read_runs,
    requests_after,
    starts_after,
)

CAPACITY = {"processors": 4.0, "memory_mb": 100, "accelerators": 0}


def start(at, task="t", attempt=1, worker="w1", *, lease=100.0, processors=2.0, checkpoint=""):
    return {
        "boot_s": at,
        "event": "start",
        "worker": worker,
        "zone": f"zone-{worker}",
        "task": task,
        "attempt": attempt,
        "service": "s",
        "size": {"processors": processors, "memory_mb": 10, "accelerators": 0},
        "checkpoint": checkpoint,
        "leases": [[task, attempt, lease]],
        "capacity": CAPACITY,
    }


def end(at, task="t", attempt=1, worker="w1", how="finished"):
    return {**mark(at, "end", worker), "task": task, "attempt": attempt, "how": how}


def ack(at, task="t", attempt=1, worker="w1"):
    return {**mark(at, "acknowledged", worker), "task": task, "attempt": attempt}


def mark(at, event, worker="w1"):
    return {"boot_s": at, "event": event, "worker": worker, "zone": f"zone-{worker}"}


def renewed(at, until, task="t", attempt=1, worker="w1"):
    return {**mark(at, "renewed", worker), "leases": [[task, attempt, until]]}


def request(at, event="request", worker="w1", method="POST", key="", nonce=""):
    names = {"service": "s", "method": method, "key": key, "nonce": nonce, "request_id": "r"}
    return {**mark(at, event, worker), **names}


EVICTED = (start(1), end(2, how="checkpointed"), ack(2.5))
RESUMED = start(3, attempt=2, worker="w2", checkpoint="c")


@pytest.mark.parametrize(
    ("events", "kinds"),
    [
        ([start(1), end(2), start(2, attempt=2, worker="w2")], []),
        ([start(1), start(2, attempt=2, worker="w2")], ["task_overlap"]),
        ([start(1), end(3, how="stopped"), start(2, attempt=2, worker="w2")], ["task_overlap"]),
        ([start(1), mark(2, "killed"), start(3, attempt=2, worker="w2")], []),
        ([start(1), mark(2, "boot"), start(3, attempt=2, worker="w2")], []),
        ([start(1), mark(2, "boot", "w2"), start(3, attempt=2, worker="w2")], ["task_overlap"]),
        ([start(1, lease=5), start(6, attempt=2, worker="w2"), mark(9, "killed")], []),
        (
            [start(1, lease=5), renewed(4, 8), start(6, attempt=2, worker="w2"), mark(9, "killed")],
            ["task_overlap"],
        ),
        ([start(1, lease=5), end(6, how="stopped")], ["outlived_lease"]),
        ([start(1, lease=5), renewed(4, 8), end(6, how="stopped")], []),
        ([start(1), start(2, task="u")], []),
        ([start(1), start(2, task="u", processors=2.1)], ["over_commitment"]),
        ([start(1), end(2, how="stopped"), start(3)], ["attempt_repeated"]),
        ([start(1), end(2), ack(3), start(4, attempt=2), end(5, attempt=2)], ["finished_twice"]),
        ([*EVICTED, RESUMED], []),
        (
            [*EVICTED, RESUMED, mark(4, "killed", "w2"), start(5, attempt=3, checkpoint="c")],
            [],
        ),
        (
            [
                *(*EVICTED, RESUMED, end(4, attempt=2, worker="w2", how="checkpointed")),
                *(ack(4.5, attempt=2, worker="w2"), start(5, attempt=3, checkpoint="c")),
            ],
            ["resumed_twice"],
        ),
        ([request(1, key="k"), request(2, key="k", worker="w2")], ["request_key_repeated"]),
        ([request(1, key="k"), request(2, "request_refused", key="k")], []),
        ([request(1, nonce="n"), request(2, nonce="n")], ["request_nonce_repeated"]),
        ([request(1, nonce="n", method="GET"), request(2, nonce="n", method="GET")], []),
        ([request(1), request(2)], []),
        ([request(1, "request_cut")], ["request_cut"]),
    ],
)
def test_violations_are_found_and_nothing_else(events, kinds):
    """Guards against a broken guarantee that stays unseen, and against false alarms."""
    assert [finding.kind for finding in find_all(events) if finding.violation] == kinds


def test_rerun_after_a_lost_finish_is_no_violation():
    """Guards against blaming the scheduler for a result that died with its worker."""
    events = [start(1), end(2), mark(3, "killed"), start(20, attempt=2, worker="w2")]
    events.append(end(21, attempt=2, worker="w2"))
    assert [(f.kind, f.violation) for f in find_all(events)] == [("finished_twice", False)]


@pytest.mark.parametrize(("zone", "after_s", "count"), [("zone-w1", 4, 1), ("zone-w1", 5, 0)])
def test_starts_after_a_zone_left(zone, after_s, count):
    """Guards against late starts in a zone that are missed or counted in another zone."""
    runs = read_runs([start(1), start(5, task="u"), start(9, task="v", worker="w2")])
    assert len(starts_after(runs, zone=zone, boot_s=after_s)) == count


def test_requests_after_a_worker_left():
    """Guards against late requests that go unseen because the worker refused them."""
    events = [request(1), request(5), request(6, "request_refused"), request(7, worker="w2")]
    assert len(requests_after(events, worker="w1", boot_s=3)) == 2


def test_commitment_counts_what_runs_at_the_time():
    """Guards against sums over attempts that already ended."""
    events = [item for n in range(9) for item in (start(n, f"t{n}", 1), end(n + 0.9, f"t{n}"))]
    assert over_commitments(events, read_runs(events)) == []


def test_events_of_all_files_are_read_in_order(tmp_path):
    """Guards against verdicts from partly read or misordered files."""
    paths = [tmp_path / name for name in ("a", "b")]
    paths[0].write_text(json.dumps(mark(2, "boot")) + "\n" + json.dumps(mark(1, "boot")))
    paths[1].write_text(json.dumps(mark(1.5, "boot", "w2")))
    assert [event["boot_s"] for event in read_events(paths)] == [1, 1.5, 2]
    paths[1].write_text('{"boot_s": 3, "ev')
    with pytest.raises(ValueError, match="b line 1"):
        read_events(paths)
