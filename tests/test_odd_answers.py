"""Odd answers of the table service, the list of instances and workers to an entry instance."""

import json
import math

import pytest
import structlog

from fescuerudder.errors import (
    ListUnavailableError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from fescuerudder.members import HttpMemberList
from fescuerudder.table import HttpTable, Transaction
from fescuerudder.workers import HttpWorker
from tests.platform.odd_values import MAX_EXACT, ODD_DOCUMENTS, table, variants


class FakePool:
    """Answers each request with the same status and body."""

    def __init__(self, status, text):
        self.status, self.data = status, text.encode()

    def request(self, *args, **kwargs):
        return self

    def json(self):
        return json.loads(self.data)


def answered(client, status, text):
    client._pool = FakePool(status, text)
    return client


ROWS = {"rows": [{"key": "a", "value": {"x": 1}, "version": 3}]}
ROW_PATHS = [("rows",), ("rows", 0), *(("rows", 0, name) for name in ROWS["rows"][0])]


@pytest.mark.parametrize("text", table([*ODD_DOCUMENTS.items(), *variants(ROWS, ROW_PATHS)]))
def test_an_odd_answer_to_a_read_counts_as_none(text):
    """Guards against an error that the readers of the table don't expect."""
    try:
        rows = answered(HttpTable(address="a:1"), 200, text).read(keys=("a",))
    except StoreUnavailableError:
        return
    for row in rows:
        assert isinstance(row.value, dict) and isinstance(row.key, str)
        assert 0 <= row.version < MAX_EXACT


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize(
    "text",
    table([*ODD_DOCUMENTS.items(), *variants({"versions": {"a": 1}}, [("versions",)])]),
)
def test_an_odd_answer_to_a_write_is_no_other_error(status, text):
    """Guards against a commit whose outcome is never handled."""
    try:
        answered(HttpTable(address="a:1"), status, text).transact(Transaction())
    except (StoreOutcomeUnknownError, StoreUnavailableError):
        return
    except Exception as exc:
        assert type(exc).__name__ == "ConflictError" and status == 409


def is_decodable(text):
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        return False
    return True


MEMBER = {"id": "w", "kind": "worker", "zone": "z", "region": "r", "rack": "k", "data": "a:1"}
GOOD = {**MEMBER, "id": "good"}


@pytest.mark.parametrize(
    "text",
    table(
        variants(
            {"members": [MEMBER, GOOD]},
            [("members", 0), *(("members", 0, name) for name in MEMBER)],
        )
    ),
)
def test_an_odd_entry_hides_no_instance(text):
    """Guards against a list that can't be read at all because of one entry."""
    members = answered(HttpMemberList(address="a:1"), 200, text)
    if not is_decodable(text):
        with pytest.raises(ListUnavailableError):
            members.read()
        return
    with structlog.testing.capture_logs() as logs:
        found = [members.read() for _ in range(3)][-1]
    assert "good" in [member.id for member in found]
    for member in found:
        "".join((member.id, member.zone, member.region, member.rack, member.data)).encode()
    assert len(logs) <= 1


@pytest.mark.parametrize("text", table(ODD_DOCUMENTS.items()))
def test_an_odd_list_counts_as_unavailable(text):
    """Guards against an odd list that counts as one without instances."""
    with pytest.raises(ListUnavailableError):
        answered(HttpMemberList(address="a:1"), 200, text).read()


STATUS = {
    "worker": "w",
    "incarnation": "i",
    "clock_s": 5.0,
    "capacity": {
        "processors": 1.0,
        "memory_mb": 1,
        "accelerators": 0,
        "slots": 1,
        "connections": 1,
    },
    "highest_epoch": 1,
}
STATUS_PATHS = [(name,) for name in STATUS] + [("capacity", name) for name in STATUS["capacity"]]


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("text", table([*ODD_DOCUMENTS.items(), *variants(STATUS, STATUS_PATHS)]))
def test_an_odd_status_counts_as_no_answer(status, text):
    """Guards against a control cycle that fails because of one worker."""
    worker = answered(HttpWorker(address="a:1"), status, text)
    try:
        found = worker.status()
        worker.renew(epoch=1, leases={})
    except (WorkerUnreachableError, WorkerRefusedError):
        return
    assert math.isfinite(found.clock_s) and 0 <= found.highest_epoch < MAX_EXACT
    assert math.isfinite(found.capacity.processors) and found.capacity.memory_mb >= 0


@pytest.mark.parametrize("unknown", [None, 5, "text", [5], {}, [None]])
def test_an_odd_answer_to_a_renewal_counts_as_none(unknown):
    """Guards against names of tasks that are none."""
    worker = answered(HttpWorker(address="a:1"), 200, json.dumps({"unknown": unknown}))
    try:
        names = worker.renew(epoch=1, leases={})
    except WorkerUnreachableError:
        return
    pytest.fail(f"taken as {names}")


@pytest.mark.parametrize("leaving", [True, False])
def test_a_usual_status_is_taken(leaving):
    """Guards against checks that are so strict that no worker can be used."""
    text = json.dumps({**STATUS, "leaving": leaving, "unknown": [None]})
    found = answered(HttpWorker(address="a:1"), 200, text).status()
    assert found.leaving is leaving and found.capacity.slots == 1
