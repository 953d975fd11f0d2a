"""Worker stand-in: simulated state by a manual clock, data address over loopback."""

import json

import pytest
import urllib3

from fescuerudder.clock import ManualClock, SystemClock
from fescuerudder.document import Size
from standins._checkpoints import CheckpointStore
from standins.interference import FactorTable
from standins.worker import Worker
from standins.workerstate import RefusedError, WorkerState

FACTORS = {"web|batch": 2.0, "batch|web": 2.0, "batch|other": 1.0, "other|batch": 1.0}


class WorkerHarness:
    """A worker state on a manual clock, with its events."""

    def __init__(self) -> None:
        self.clock = ManualClock(start_s=100.0)
        self.events: list[tuple[str, float, dict]] = []
        self.state = WorkerState(
            clock=self.clock,
            capacity=Size(processors=10.0, memory_mb=1000, accelerators=1),
            slots=2,
            factors=FactorTable(seed=0, fixed=FACTORS),
            record=lambda event, at_s, **fields: self.events.append((event, at_s, fields)),
            usage_lag_s=3.0,
        )

    def start(self, task="t", *, done_s=0.0, work_s=10.0, fail=False, **changes):
        now_s = self.clock.now_s()
        order = {
            "task": task,
            "attempt": 1,
            "epoch": 5,
            "incarnation": "",
            "service": "batch",
            "kind": "batch",
            "size": {"processors": 1.0, "memory_mb": 100, "accelerators": 0},
            "payload": json.dumps({"work_s": work_s, "fail": fail}),
            "checkpoint": "",
            "lease_until_s": now_s + 15.0,
            "start_by_s": now_s + 1.0,
            **changes,
        }
        self.state.start(order, done_s=done_s)

    def ends(self):
        return [
            (fields["task"], at_s, fields["how"])
            for event, at_s, fields in self.events
            if event == "end"
        ]

    def states(self):
        return {task["task"]: task["state"] for task in self.state.status()["tasks"]}


@pytest.fixture
def harness():
    return WorkerHarness()


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"epoch": 4}, "stale_epoch"),
        ({"incarnation": "earlier"}, "stale_incarnation"),
        ({"size": {"processors": 9.5, "memory_mb": 1, "accelerators": 0}}, "over_committed"),
        ({"size": {"processors": 1.0, "memory_mb": 901, "accelerators": 0}}, "over_committed"),
        ({"size": {"processors": 1.0, "memory_mb": 1, "accelerators": 2}}, "over_committed"),
        ({"start_by_s": 99.9}, "too_late"),
        ({"lease_until_s": 100.0}, "too_late"),
        ({"task": "first"}, "attempt_known"),
        ({"task": "first", "attempt": 2}, "task_running"),
        ({"task": "never"}, "attempt_known"),
    ],
)
def test_start_is_refused(harness, changes, reason):
    """Guards against a worker that lets the scheduler break a guarantee unnoticed."""
    harness.start("first")
    never = {"task": "never", "attempt": 1, "epoch": 5, "checkpoint": True}
    assert harness.state.begin_stop(never) is None
    with pytest.raises(RefusedError) as caught:
        harness.start(**changes)
    assert caught.value.reason == reason
    assert harness.states() == {"first": "running"}


@pytest.mark.parametrize(
    ("faults", "reason"), [({"leaving": True}, "leaving"), ({"fail_starts": True}, "broken")]
)
def test_faulty_worker_refuses_starts(harness, faults, reason):
    """Guards against faults without effect."""
    switches = {"leaving": False, "fail_starts": False, "fail_tasks": False}
    harness.state.set_faults(**{**switches, **faults})
    with pytest.raises(RefusedError, match=reason):
        harness.start()


@pytest.mark.parametrize(
    ("name", "command"),
    [
        ("renew", {"leases": {}}),
        ("begin_stop", {"task": "t", "attempt": 1}),
        ("throttle", {"task": "t", "attempt": 1, "share": 0.5}),
        ("acknowledge", {"ended": []}),
    ],
)
def test_each_command_checks_the_epoch(harness, name, command):
    """Guards against a command of a former owner that takes effect after a takeover."""
    harness.start()
    getattr(harness.state, name)({**command, "epoch": 6})
    assert harness.state.status()["highest_epoch"] == 6
    with pytest.raises(RefusedError, match="stale_epoch"):
        getattr(harness.state, name)({**command, "epoch": 5})


@pytest.mark.parametrize(
    ("start", "step_s", "expected"),
    [
        ({"work_s": 4.0}, 60.0, ("t", 104.0, "finished")),
        ({"work_s": 4.0, "done_s": 3.0}, 60.0, ("t", 101.0, "finished")),
        ({"work_s": 4.0, "fail": True}, 60.0, ("t", 104.0, "failed")),
        ({"work_s": 40.0}, 60.0, ("t", 115.0, "lapsed")),
        ({"work_s": 40.0}, 1.0, ("t", 115.0, "lapsed")),
        ({"kind": "replica"}, 60.0, ("t", 115.0, "lapsed")),
    ],
)
def test_attempt_ends_at_its_exact_time(harness, start, step_s, expected):
    """Guards against a task that outlives its lease while its worker was frozen."""
    harness.start(**start)
    for _ in range(int(60 / step_s)):
        harness.clock.advance(seconds=step_s)
        harness.state.status()
    [(task, at_s, how)] = harness.ends()
    assert (task, pytest.approx(at_s), how) == expected


@pytest.mark.parametrize(
    ("until_s", "attempt", "end_s", "unknown"),
    [(130.0, 1, 130.0, []), (101.0, 1, 115.0, []), (130.0, 2, 115.0, ["t"])],
)
def test_renewal_extends_the_lease_of_its_attempt_only(harness, until_s, attempt, end_s, unknown):
    """Guards against delayed renewals that shorten a lease or reach another attempt."""
    harness.start(work_s=100.0)
    leases = {"t": {"attempt": attempt, "until_s": until_s}}
    assert harness.state.renew({"epoch": 5, "leases": leases}) == unknown
    harness.clock.advance(seconds=50.0)
    harness.state.status()
    assert harness.ends() == [("t", end_s, "lapsed")]


@pytest.mark.parametrize(
    ("neighbour", "share", "end_s"),
    [(None, 1.0, 104.0), ("other", 1.0, 104.0), ("web", 1.0, 108.0), ("web", 0.5, 106.0)],
)
def test_neighbours_slow_work_by_their_share(harness, neighbour, share, end_s):
    """Guards against interference that throttling the neighbour can't reduce."""
    if neighbour:
        harness.start("n", service=neighbour, work_s=100.0)
        harness.state.throttle({"task": "n", "attempt": 1, "epoch": 5, "share": share})
    harness.start(work_s=4.0)
    harness.clock.advance(seconds=14.0)
    harness.state.status()
    assert harness.ends()[0] == ("t", pytest.approx(end_s), "finished")


def test_throttle_slows_the_task_itself(harness):
    """Guards against a throttle without cost."""
    harness.start(work_s=4.0)
    harness.state.throttle({"task": "t", "attempt": 1, "epoch": 5, "share": 0.5})
    harness.clock.advance(seconds=14.0)
    harness.state.status()
    assert harness.ends() == [("t", pytest.approx(108.0), "finished")]


@pytest.mark.parametrize(("written", "state"), [(True, "checkpointed"), (False, "running")])
def test_eviction_ends_only_with_its_checkpoint(harness, written, state):
    """Guards against work that is lost because the store was down during an eviction."""
    harness.start(work_s=10.0)
    harness.clock.advance(seconds=3.0)
    stop = {"task": "t", "attempt": 1, "epoch": 5, "checkpoint": True}
    item = harness.state.begin_stop(stop)
    harness.clock.advance(seconds=2.0)
    store = CheckpointStore(address="")
    name = store.write(item)
    if written:
        harness.state.end_stop(item, checkpoint=name)
        assert store.read_done_s(name) == pytest.approx(3.0)
    else:
        with pytest.raises(RefusedError, match="checkpoint_failed"):
            harness.state.end_stop(item, checkpoint="")
    assert harness.states() == {"t": state}


def test_ended_attempt_stays_until_acknowledged(harness):
    """Guards against results that vanish before the owner stored them, and against reruns."""
    harness.start(work_s=1.0)
    ended = {"epoch": 5, "ended": [{"task": "t", "attempt": 1}]}
    harness.state.acknowledge(ended)
    harness.clock.advance(seconds=2.0)
    assert harness.states() == {"t": "finished"}
    harness.state.acknowledge(ended)
    assert harness.states() == {}
    with pytest.raises(RefusedError, match="attempt_known"):
        harness.start()


def test_usage_appears_after_its_lag(harness):
    """Guards against a scheduler that is tested with measurements fresher than the platform's."""
    harness.start("w", service="web", kind="replica")
    harness.start(work_s=100.0)
    harness.state.sample_usage()
    harness.clock.advance(seconds=2.9)
    assert harness.state.status()["usage"] == []
    harness.clock.advance(seconds=0.2)
    reports = {report["task"]: report for report in harness.state.status()["usage"]}
    assert reports["t"]["measured_at_s"] == 100.0
    assert reports["t"]["neighbours"] == ["web"]
    assert reports["t"]["service_time_ms"] == pytest.approx(200.0)


def test_factors_agree_between_workers_and_differ_between_seeds():
    """Guards against interference that can't be learned on one worker and used on another."""
    pairs = [(f"s{i}", f"n{i}") for i in range(20)]
    tables = [FactorTable(seed=seed) for seed in (1, 1, 2)]
    first, same, other = ([table.factor(*pair) for pair in pairs] for table in tables)
    assert first == same != other
    assert all(1.0 <= factor <= 2.5 for factor in first)


@pytest.fixture
def worker(tmp_path):
    """A worker that runs one replica of `web`, and its event file."""
    path = tmp_path / "w.jsonl"
    local = "127.0.0.1:0"
    with Worker(
        worker="w", zone="z", control=local, data=local, clock=SystemClock(), events=str(path)
    ) as running:
        now_s = running.state.status()["clock_s"]
        command = {
            "task": "web.0",
            "attempt": 1,
            "epoch": 1,
            "incarnation": running.state.incarnation,
            "service": "web",
            "kind": "replica",
            "size": {"processors": 1.0},
            "lease_until_s": now_s + 60,
            "start_by_s": now_s + 5,
        }
        running.state.start(command, done_s=0.0)
        yield running, path


IDS = {"X-Request-Id": "id-1", "Idempotency-Key": "k"}


def ask(worker, service="web"):
    """Sends one request; returns status, Not-Processed, X-Request-Id and body."""
    url = f"http://{worker.data.address}/{service}/p?work_ms=0"
    resp = urllib3.request("POST", url, body=b"in", headers=IDS, retries=False)
    return (
        resp.status,
        resp.headers.get("Not-Processed"),
        resp.headers.get("X-Request-Id"),
        resp.json(),
    )


@pytest.mark.parametrize(
    ("mode", "expected", "executed"),
    [
        ("ok", (200, None, "id-1"), True),
        ("leave", (503, "true", "id-1"), False),
        ("truncate", urllib3.exceptions.ProtocolError, True),
        ("close_after_read", urllib3.exceptions.ProtocolError, True),
        ("refuse", urllib3.exceptions.NewConnectionError, False),
    ],
)
def test_data_fault_runs_the_request_or_not_as_stated(worker, mode, expected, executed):
    """Guards against a fault that runs a request it reports as not run, or the reverse."""
    running, path = worker
    url = f"http://{running.control.address}/fault"
    assert urllib3.request("POST", url, json={"mode": mode}).json()["modes"] == (
        [] if mode == "ok" else [mode]
    )
    if isinstance(expected, tuple):
        assert ask(running)[:3] == expected
    else:
        with pytest.raises(expected):
            ask(running)
    events = [json.loads(line) for line in path.read_text().splitlines()]
    assert ("request" in {event["event"] for event in events}) == executed


def test_answer_identifies_its_request(worker):
    """Guards against callers that can't tell another's answer from their own."""
    running, _ = worker
    body = ask(running)[3]
    assert (body["request_id"], body["target"]) == ("id-1", "/web/p?work_ms=0")
    assert ask(running, service="none")[:3] == (503, "true", "id-1")
    url = f"http://{running.control.address}/fault"
    urllib3.request("POST", url, json={"mode": "wrong_id"})
    assert ask(running)[2] not in (None, "id-1")


def test_worker_counts_a_repeated_key(worker):
    """Guards against a witness that misses a request which ran twice."""
    running, _ = worker
    ask(running)
    ask(running)
    url = f"http://{running.control.address}/v1/witness"
    assert urllib3.request("GET", url).json()["violations"] == {"violation_key_repeated": 1}


def test_slots_limit_concurrent_requests(harness):
    """Guards against a worker that accepts more requests than it has slots."""
    harness.start("web.0", service="web", kind="replica")
    assert [harness.state.take_slot("web")[0] for _ in range(3)] == ["", "", "no_slot"]
    harness.state.free_slot("web", took_ms=1.0)
    assert harness.state.take_slot("web")[0] == ""
