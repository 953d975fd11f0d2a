"""Stand-ins for the table, the membership list and the relay; the launcher."""

import contextlib
import gc
import json
import socket

import attrs
import pytest
import urllib3

from bench.deployment import Deployment, Zone
from bench.launcher import Launcher, LauncherError
from bench.witness import find_all, read_events, read_runs
from fescuerudder.clock import ManualClock
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.table import ABSENT, Check, HttpTable, Put, Transaction
from standins._http import Answer, HttpServer, free_port
from standins.members import MemberHistory
from standins.relay import Relay
from standins.table import table_server

WRITE = Transaction(checks=(Check(key="a", version=ABSENT),), puts=(Put(key="a", value={"n": 1}),))


@pytest.fixture
def table():
    with table_server(listen="127.0.0.1:0") as server, HttpTable(address=server.address) as client:
        yield server.address, client


def post(address, path, body):
    return urllib3.request("POST", f"http://{address}{path}", json=body, retries=False)


@pytest.mark.parametrize(
    ("fault", "error", "applied"),
    [
        ({"mode": "ok"}, None, True),
        ({"mode": "slow", "delay_ms": 1}, None, True),
        ({"mode": "down"}, StoreUnavailableError, False),
        ({"mode": "lose_answers"}, StoreOutcomeUnknownError, True),
        ({"mode": "lose_answers", "probability": 0.0}, None, True),
    ],
)
def test_table_fault_has_the_stated_effect(table, fault, error, applied):
    """Guards against a fault that applies a write it should drop, or drops one it should apply."""
    address, client = table
    assert post(address, "/fault", fault).status == 200
    with pytest.raises(error) if error else contextlib.nullcontext():
        client.transact(WRITE)
    post(address, "/fault", {"mode": "ok"})
    assert bool(client.read(keys=("a",))) == applied
    stats = urllib3.request("GET", f"http://{address}/stats").json()
    assert (stats["transactions"], stats["rows_written"]) == (int(applied), int(applied))


def test_lost_answers_repeat_with_the_seed(table):
    """Guards against faults that their seed doesn't reproduce."""
    address, client = table

    def lost_writes():
        post(address, "/fault", {"mode": "lose_answers", "probability": 0.5, "seed": 7})
        lost = []
        for number in range(20):
            try:
                client.transact(Transaction(puts=(Put(key="b", value={}),)))
            except StoreOutcomeUnknownError:
                lost.append(number)
        return lost

    first = lost_writes()
    assert 0 < len(first) < 20
    assert lost_writes() == first


@pytest.mark.parametrize(
    ("headers", "status", "data"),
    [({}, 201, b"new"), ({"If-None-Match": "*"}, 412, b"old")],
)
def test_object_is_created_only_once_when_asked(table, headers, status, data):
    """Guards against a conditional create that overwrites an existing object."""
    url = f"http://{table[0]}/v1/objects/a/b"
    assert urllib3.request("GET", url).status == 404
    assert urllib3.request("PUT", url, body=b"old", headers=headers).status == 201
    assert urllib3.request("PUT", url, body=b"new", headers=headers).status == status
    assert urllib3.request("GET", url).data == data


MEMBER = {"id": "w", "kind": "worker", "zone": "z", "region": "r", "state": "live"}


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [(0.0, []), (1.9, []), (2.0, ["live"]), (2.9, ["live"]), (3.0, ["leaving"]), (4.0, [])],
)
def test_member_list_lags(age_s, expected):
    """Guards against a list that shows changes early, late or out of order."""
    clock = ManualClock()
    history = MemberHistory(clock=clock, lag_s=2.0)
    changes = [
        (0.0, lambda: history.put(MEMBER)),
        (1.0, lambda: history.put({"id": "w", "state": "leaving"})),
        (2.0, lambda: history.delete("w")),
    ]
    for at_s, change in changes:
        if at_s <= age_s:
            clock.advance(seconds=at_s - clock.now_s())
            change()
    clock.advance(seconds=age_s - clock.now_s())
    assert [member["state"] for member in history.read()] == expected


def test_list_refuses_a_change_of_an_unknown_member():
    """Guards against incomplete entries, for which readers reject the whole list."""
    with pytest.raises(ValueError, match="zone"):
        MemberHistory(clock=ManualClock(), lag_s=0.0).put({"id": "w", "state": "leaving"})


def test_refused_connections_are_refused_and_accepted_again():
    """Guards against connections that are accepted and then closed.

    A client then can't tell that its request was not sent.
    """
    with HttpServer(address="127.0.0.1:0", handler=lambda _: Answer(body=b"x")) as server:
        host, port = server.address.split(":")
        server.set_refusing(True)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
        server.set_refusing(False)
        assert urllib3.request("GET", f"http://{server.address}/").data == b"x"


def test_connections_beyond_the_limit_are_closed():
    """Guards against a worker that accepts any number of connections."""
    handler = lambda _: Answer(body=b"x")  # noqa: E731
    with HttpServer(address="127.0.0.1:0", handler=handler, max_connections=1) as server:
        url = f"http://{server.address}/"
        first, second = (urllib3.PoolManager(retries=False) for _ in range(2))
        assert first.request("GET", url).status == 200
        with pytest.raises(urllib3.exceptions.ProtocolError):
            second.request("GET", url)
        assert server.connection_counts() == {"open": 1, "peak": 1, "refused": 1}


@pytest.fixture
def relayed():
    """A relay and the address of its route to an echo server."""
    with (
        HttpServer(address="127.0.0.1:0", handler=lambda req: Answer(body=req.body)) as echo,
        Relay(listen="127.0.0.1:0") as relay,
    ):
        route = f"127.0.0.1:{free_port('127.0.0.1')}"
        relay.add(name="r", listen=route, target=echo.address)
        yield relay, route


@pytest.mark.parametrize(
    ("new", "error"),
    [
        ("hang", urllib3.exceptions.ReadTimeoutError),
        ("refuse", urllib3.exceptions.NewConnectionError),
    ],
)
def test_cut_relay_keeps_connections_and_passes_nothing(relayed, new, error):
    """Guards against a cut that closes connections, by which the peers would notice it."""
    relay, route = relayed
    control, url = relay.control.address, f"http://{route}/"
    kept = urllib3.PoolManager(retries=False, timeout=0.2)
    assert kept.request("POST", url, body=b"1").data == b"1"
    assert post(control, "/cut", {"routes": ["r"], "new": new}).status == 200
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        kept.request("POST", url, body=b"2")
    with pytest.raises(error):
        urllib3.PoolManager(retries=False, timeout=0.2).request("POST", url, body=b"3")
    post(control, "/heal", {})
    assert urllib3.request("POST", url, body=b"4", retries=False).data == b"4"


def test_relay_keeps_a_connection_that_is_half_closed():
    """Guards against connections that a garbage collection ends while the target still answers."""
    with (
        socket.create_server(("127.0.0.1", 0)) as target,
        Relay(listen="127.0.0.1:0") as relay,
    ):
        port = free_port("127.0.0.1")
        relay.add(
            name="r",
            listen=f"127.0.0.1:{port}",
            target=f"127.0.0.1:{target.getsockname()[1]}",
        )
        with socket.create_connection(("127.0.0.1", port), 2.0) as client:
            client.shutdown(socket.SHUT_WR)
            accepted, _ = target.accept()
            with accepted:
                assert accepted.recv(1) == b""
                gc.collect()
                accepted.sendall(b"answer")
                assert client.recv(6) == b"answer"


@pytest.mark.parametrize(
    ("how", "error"), [("reset", ConnectionResetError), ("silent", TimeoutError)]
)
def test_dropped_connections_are_dead_and_new_ones_work(relayed, how, error):
    """Guards against a worker with a fresh boot that still answers on old connections."""
    relay, route = relayed
    call = b"POST / HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\n1"
    with socket.create_connection(("127.0.0.1", int(route.rpartition(":")[2])), 0.3) as kept:
        kept.sendall(call)
        assert kept.recv(12) == b"HTTP/1.1 200"
        relay.drop("r", how)
        with pytest.raises(error):
            kept.sendall(call)
            while kept.recv(1000):
                pass
        assert urllib3.request("POST", f"http://{route}/", body=b"3", retries=False).data == b"3"


@pytest.mark.parametrize("body", [{"routes": ["none"]}, {"new": "maybe"}])
def test_relay_rejects_an_invalid_command(relayed, body):
    """Guards against an experiment that runs without the cut it asked for."""
    assert post(relayed[0].control.address, "/cut", body).status == 400


ZONE = Zone(name="a", region="r")
SMALL = Deployment(
    zones=(ZONE,), workers_per_rack=2, relay_workers=True, worker_flags={"clock_offset_s": 50.0}
)


def start_order(status):
    return {
        "task": "t",
        "attempt": 1,
        "epoch": 1,
        "incarnation": status["incarnation"],
        "service": "s",
        "kind": "batch",
        "size": {"processors": 1.0},
        "payload": json.dumps({"work_s": 60}),
        "lease_until_s": status["clock_s"] + 60,
        "start_by_s": status["clock_s"] + 5,
    }


def test_launcher_runs_kills_and_ends_its_processes(tmp_path):
    """Guards against processes left running, and against runs that a kill doesn't end."""
    with Launcher(directory=tmp_path, deployment=SMALL, start_entries=False) as launcher:
        first, second = launcher.workers
        status = launcher.call("GET", first.addresses["control"], "/v1/status")
        launcher.call("POST", first.addresses["control"], "/v1/start", start_order(status))
        launcher.freeze(second.name)
        launcher.kill(first.name)
        launcher.restart(first.name)
        launcher.leave(first.name)
        again = launcher.call("GET", first.addresses["direct"], "/v1/status")
        assert again["incarnation"] != status["incarnation"]
        assert again["leaving"] and not again["tasks"]
    assert [process.handle.returncode for process in launcher.processes.values()] == [0] * 5
    events = read_events(launcher.event_files())
    assert [run.how for run in read_runs(events)] == ["killed"]
    assert find_all(events) == []


def test_launcher_ends_everything_when_a_start_fails(tmp_path):
    """Guards against processes left running after a failed start, and an unreported failure."""
    broken = attrs.evolve(SMALL, relay_workers=False, worker_flags={"no_such_flag": 1})
    launcher = Launcher(directory=tmp_path, deployment=broken, start_entries=False)
    with pytest.raises(LauncherError, match="no_such_flag"), launcher:
        pass
    assert len(launcher.processes) == 4
    assert not any(process.is_running for process in launcher.processes.values())
