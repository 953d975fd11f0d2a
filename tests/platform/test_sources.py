"""The configuration that operators write: reading it and following its changes."""

import json

import pytest

from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.manifest import Manifest
from fescuerudder.jobs.rows import HistoryLostError, RowKey, RowTransaction
from fescuerudder.platform.sources import PlatformConfigSource
from standins.rows import MemoryRowStore

ROUTE = {
    "name": "r-1",
    "hostname": "h.example",
    "prefix": "/a/",
    "service": "s",
    "priority": 2,
    "maxAttempts": 3,
    "stretch": 1.5,
    "targetCompletionMs": 600,
}


def manifest(revision):
    return {"version": revision, "routes": [ROUTE], "services": [{"name": "s"}], "limits": {}}


def put(store, key, value):
    store.write(
        RowTransaction(puts=((RowKey("op", "", key), json.dumps(value).encode()),)), timeout_s=1
    )


def drop(store, key):
    store.write(RowTransaction(deletes=(RowKey("op", "", key),)), timeout_s=1)


@pytest.fixture
def store():
    rows = MemoryRowStore()
    put(rows, "config", manifest(4))
    put(rows, "evacuate/z1", {})
    return rows


@pytest.mark.parametrize(
    ("change", "revision", "zones"),
    [
        (lambda store: put(store, "config", manifest(7)), 7, {"z1"}),
        (lambda store: put(store, "evacuate/z2", {}), 4, {"z1", "z2"}),
        (lambda store: drop(store, "evacuate/z1"), 4, set()),
        (lambda store: put(store, "config", {"version": "?"}), 4, {"z1"}),
        (lambda store: put(store, "wave/1", {"wave": 1}), 4, {"z1"}),
    ],
)
def test_a_change_is_applied_without_another_read(store, change, revision, zones):
    """Guards against reading the whole manifest again after each change in the feed."""
    config = PlatformConfigSource(store=store)
    known = config.read()
    reads = store.reads
    change(store)
    found = config.follow(known, after=known.version, wait_s=0)
    assert (found.view.manifest.revision, found.view.zones_out) == (revision, zones)
    assert found.view.version == found.position > known.version
    assert config.read().zones_out == zones
    assert store.reads <= reads + 2


def test_zone_returned_and_removed_between_two_reads_is_out(store):
    """Guards against starts in a zone that was returned and taken out again between two reads.

    The feed then lists its row both as written and as removed, in no order.
    """
    config = PlatformConfigSource(store=store)
    known = config.read()
    drop(store, "evacuate/z1")
    put(store, "evacuate/z1", {})
    try:
        view = config.follow(known, after=known.version, wait_s=0).view
    except HistoryLostError:
        view = config.read()
    assert view.zones_out == {"z1"}


def test_follow_without_changes_returns_the_same_view(store):
    """Guards against a view that counts as changed at each poll."""
    config = PlatformConfigSource(store=store)
    known = config.read()
    assert known == ConfigView(
        manifest=known.manifest, zones_out=frozenset({"z1"}), version=known.version
    )
    assert isinstance(known.manifest, Manifest)
    assert config.follow(known, after=known.version, wait_s=0).view is known
