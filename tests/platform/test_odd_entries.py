"""Rows that operators and workers write: an odd one is left out, and the others hold."""

import json

import attrs
import pytest
import structlog

from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.roster import RosterEntry, dump_roster
from fescuerudder.jobs.rows import RowKey, RowTransaction
from fescuerudder.jobs.workerrecord import WorkerClock, WorkerRecord
from fescuerudder.platform.sources import PlatformConfigSource, PlatformRegistry
from standins.rows import MemoryRowStore
from tests.platform.odd_values import MAX_EXACT, ODD_BYTES, table, variants
from tests.platform.test_sources import manifest

# --- the list of workers
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "labels": ["kind", "r1"],
    "capacity": {"cpu": 8000, "memMb": 1024, "gpu": 0},
    "state": "ready",
    "clockMs": 1000,
    "born": 1_700_000_000_000,
}
ENTRY_PATHS = [(name,) for name in ENTRY] + [("capacity", part) for part in ENTRY["capacity"]]
ODD_ADDRESSES = (
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:８０",
    ":80",
    "host.example:80",
    "10.0.0.1\r\n:80",
    "10.0.0.256:80",
    "0.0.0.0:80",
)


def put(store, table_name, key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    store.write(RowTransaction(puts=((RowKey(table_name, "", key), data),)), timeout_s=1)


def read_registry(*entries):
    """Returns the workers found beside a good one, with the log lines of three reads."""
    store = MemoryRowStore()
    put(store, "servers", "good", ENTRY)
    for number, entry in enumerate(entries):
        put(store, "servers", f"odd{number}", entry)
    registry = PlatformRegistry(store=store)
    with structlog.testing.capture_logs() as logs:
        found = [registry.read() for _ in range(3)][-1]
    return {info.id: info for info in found}, logs


def check_usable(info):
    """Checks what the leader does with an entry that was taken."""
    record = WorkerRecord(
        info=info, clock=WorkerClock(reading_ms=info.clock_ms, read_s=0.0), token=1
    )
    assert 0 <= record.extend_lease_ms(now_s=1.0, lease_s=5.0) < 2 * MAX_EXACT
    assert json.loads(dump_roster([RosterEntry(info=info)]))
    size = info.capacity
    for part in (size.processors, size.memory_mb, size.accelerators):
        assert 0 <= part < MAX_EXACT
    assert all(isinstance(text, str) for text in (*info.labels, info.pool, info.zone, info.rack))
    assert info.pool and info.zone and 0 < int(info.address.rpartition(":")[2]) < 65536
    json.dumps({"pool": info.pool, "labels": sorted(info.labels)}).encode()


@pytest.mark.parametrize(
    "entry",
    table([*ODD_BYTES.items(), *((n, t.encode()) for n, t in variants(ENTRY, ENTRY_PATHS))]),
)
def test_an_odd_entry_hides_no_worker(entry):
    """Guards against a leader that stops following the registry because of one odd entry.

    A nested entry and an infinite number ended the thread that reads the registry.
    """
    found, logs = read_registry(entry)
    assert "good" in found
    for info in found.values():
        check_usable(info)
    lines = [line for line in logs if line["log_level"] == "warning"]
    assert len(lines) == 2 - len(found) and all(len(str(line)) < 1000 for line in lines)


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_entry_with_an_odd_address_names_no_worker(address):
    """Guards against an order to an address that the socket layer refuses with another error."""
    assert set(read_registry({**ENTRY, "address": address})[0]) == {"good"}


@pytest.mark.parametrize("key", ["a b", "a\r\nX: y", "i-1\u20ac", " "])
def test_an_entry_whose_id_fits_no_header_names_no_worker(key):
    """Guards against orders that fail to be sent, or carry another header, as ids are headers."""
    store = MemoryRowStore()
    put(store, "servers", "good", ENTRY)
    put(store, "servers", key, ENTRY)
    assert [info.id for info in PlatformRegistry(store=store).read()] == ["good"]


@pytest.mark.parametrize(
    "change",
    [
        {"unknown": {"a": [1]}},
        {"labels": []},
        {"labels": ["", "r1", "r1"]},
        {"capacity": {"cpu": 0, "memMb": 0, "gpu": 0}},
        {"capacity": {"cpu": 8000.0, "memMb": 1024, "other": None}},
        {"state": "draining"},
        {"service": "one that the manifest doesn't name"},
        {"clockMs": 0, "sequence": None, "slots": -1},
    ],
)
def test_an_unusual_entry_is_used(change):
    """Guards against checks that are so strict that they leave out a worker."""
    found, logs = read_registry({**ENTRY, **change})
    assert set(found) == {"good", "odd0"} and not logs


def test_each_version_of_an_odd_entry_is_logged_and_counted_once():
    """Guards against a log that one odd entry fills, a line each second."""
    store = MemoryRowStore()
    registry = PlatformRegistry(store=store)
    with structlog.testing.capture_logs() as logs:
        for number in range(2):
            put(store, "servers", "odd", {"number": number})
            for _ in range(5):
                assert registry.read() == []
    assert [line["version"] for line in logs] == [1, 2]
    with JobMetrics(instance="a") as metrics:
        for line in logs:
            metrics.count_event(None, "warning", line)
        assert 'event="row not readable"' in metrics.render().decode()


# --- what operators write
MANIFEST = manifest(4)
MANIFEST_PATHS = [
    ("version",),
    ("routes",),
    ("services",),
    ("routes", 0),
    ("services", 0),
    ("services", 0, "name"),
    *(("routes", 0, name) for name in MANIFEST["routes"][0]),
    ("routes", 0, "advice"),
    ("tenants",),
    *(("tenants", 0, name) for name in ("name", "apiKeys", "weight", "cap")),
    ("tenants", 0, "apiKeys", 0),
    *(("tenants", 0, "cap", name) for name in ("cpu", "memMb", "gpu")),
]
ACCOUNT = {"name": "t", "apiKeys": ["k"], "weight": 1, "cap": {"cpu": 1, "memMb": 1, "gpu": 1}}
MANIFEST["tenants"] = [ACCOUNT]
MANIFEST["routes"][0] = {**MANIFEST["routes"][0], "advice": {"decisionMs": 1, "periodMs": 1}}


@pytest.mark.parametrize(
    "data",
    table([*ODD_BYTES.items(), *((n, t.encode()) for n, t in variants(MANIFEST, MANIFEST_PATHS))]),
)
def test_an_odd_manifest_is_left_out(data):
    """Guards against a configuration that is no longer followed, or numbers that break plans."""
    store = MemoryRowStore()
    put(store, "op", "config", manifest(3))
    put(store, "op", "evacuate/z1", b"\xff")
    source = PlatformConfigSource(store=store)
    known = source.read()
    put(store, "op", "config", data)
    put(store, "op", "evacuate/z2", b"[")
    for view in (source.follow(known, after=known.version, wait_s=0).view, source.read()):
        assert view.zones_out == {"z1", "z2"}
        if view.manifest is not None:
            _check_manifest(view)


def _check_manifest(view: ConfigView):
    assert abs(view.manifest.revision) < MAX_EXACT
    for found in view.manifest.queues:
        texts = (found.name, found.host, found.prefix, found.pool)
        assert all(isinstance(text, str) for text in texts)
        "".join(texts).encode()
        for number in (found.priority, found.max_failures, found.stretch, found.allowance_ms):
            assert abs(number) < MAX_EXACT
    for pool in view.manifest.pools:
        pool.name.encode()
    for account in view.manifest.accounts:
        account.name.encode()
        for number in (account.weight, *attrs.astuple(account.cap)):
            assert 0 <= number < MAX_EXACT
