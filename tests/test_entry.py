"""The whole path through separate processes: callers, two entry instances, workers, store."""

import json
import time

import pytest

from bench.deployment import Deployment, Zone
from bench.launcher import Launcher
from fescuerudder.client import Client

WAIT_S = 60.0
STOP_S = 30.0

DEPLOYMENT = Deployment(
    zones=(Zone(name="a", region="r", entries=2),),
    workers_per_rack=2,
    lag_s=0.2,
    entry_flags={"record": "true"},
)
WEB = {
    "name": "web",
    "team": "t",
    "kind": "latency-critical",
    "replicas": 2,
    "size": {"processors": 1},
    "objective": {"latency_ms": 5000.0, "target": 0.9},
}
JOB = {"name": "job", "team": "t", "kind": "batch", "size": {"processors": 1}}


def wait_for(condition, what):
    """Returns the first true value of `condition()`."""
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(0.1)
    raise AssertionError(f"not seen within {WAIT_S} s: {what}")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    directory = tmp_path_factory.mktemp("cluster")
    with Launcher(directory=directory, deployment=DEPLOYMENT) as launcher:
        yield launcher


@pytest.fixture(scope="module")
def clients(cluster):
    key = DEPLOYMENT.operator_key
    return [Client(server=e.addresses["data"], operator_key=key) for e in cluster.entries]


@pytest.fixture(scope="module", autouse=True)
def documents(clients):
    clients[0].put_service("web", WEB, revision=0)
    clients[1].put_service("job", JOB, revision=0)
    wait_for(lambda: clients[0].send(service="web", path="ready").status == 200, "a replica")


def test_a_request_is_answered_by_a_worker(clients):
    """Guards against a path that breaks anywhere between caller and upstream."""
    for client in clients:
        answer = client.send(service="web", path="check?n=1")
        assert answer.status == 200
        assert json.loads(answer.body)["target"] == "/web/check?n=1"


def test_a_keyed_request_runs_once_whichever_instance_is_asked(clients):
    """Guards against a caller's retry through the balancer that runs again."""
    first = clients[0].send(service="web", path="order", method="POST", body=b"1", key="k1")
    assert first.status == 200

    def retry():
        """Returns the answer once the record of the first request is complete."""
        answer = clients[1].send(service="web", path="order", method="POST", body=b"1", key="k1")
        assert answer.status in (200, 409)
        return answer if answer.status == 200 else None

    second = wait_for(retry, "the stored answer")
    assert second.replayed
    assert first.body == second.body


def test_a_task_can_be_followed_through_all_processes(cluster, clients):
    """Guards against logs in which a task can't be found by one identifier."""
    task = clients[0].submit(service="job", payload=json.dumps({"work_s": 0.2}), key="t1")["task"]
    assert (
        clients[1].submit(service="job", payload=json.dumps({"work_s": 0.2}), key="t1")["task"]
        == task
    )
    wait_for(lambda: clients[1].read_task(task)["state"] == "finished", "the end of the task")
    logs = [cluster.log_tail(e.name, limit=1_000_000) for e in cluster.entries]
    submitted = [
        json.loads(line)
        for line in "\n".join(logs).splitlines()
        if '"task submitted"' in line and task in line
    ]
    trace_id = submitted[0]["trace_id"]
    events = "".join(path.read_text() for path in cluster.event_files())
    assert trace_id in events


def test_requests_count_in_the_burn_data_before_anybody_reads_it(clients):
    """Guards against counts that begin only with the first report (seen in a first run)."""
    wait_for(lambda: clients[0].read_burn()["objectives"].get("web"), "the objective")
    clients[0].send(service="web", path="counted")
    services = {s["service"]: s for s in clients[0].read_burn()["services"]}
    assert services["web"]["fine"]


def test_a_trace_of_the_instance_can_be_taken(clients):
    """Guards against an instance that ignores the setting `record`."""
    clients[0].send(service="web", path="recorded")
    assert '"recorded"' in clients[0].take_trace()


def test_a_planned_stop_hands_over_and_exits_cleanly(cluster, clients):
    """Guards against a stop that leaves racks without owner or fails; runs last."""
    owner = next(
        e
        for e, client in zip(cluster.entries, clients, strict=True)
        if client.read_status()["racks"]
    )
    other = next(
        client for e, client in zip(cluster.entries, clients, strict=True) if e.name != owner.name
    )
    assert cluster.terminate(owner.name, timeout_s=STOP_S) == 0
    wait_for(lambda: other.read_status()["racks"], "the successor's rack")
    assert other.send(service="web", path="after").status == 200
