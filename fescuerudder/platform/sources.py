"""Reads the tables that operators and workers write: manifest, zones, worker registry."""

import json
from collections.abc import Callable
from typing import Any, TypeVar

import structlog

from fescuerudder.document import Size
from fescuerudder.jobs.configview import ConfigChange, ConfigView
from fescuerudder.jobs.manifest import AdvicePolicy, Manifest, Pool, Queue
from fescuerudder.jobs.rows import HistoryLostError, Row, RowStore, read_partition
from fescuerudder.jobs.workerport import WorkerInfo

READ_TIMEOUT_S = 1.0
_OPERATOR_TABLE = "op"
_WORKER_TABLE = "servers"
_MANIFEST_KEY = "config"
_ZONE_PREFIX = "evacuate/"
_DRAINING_BY_STATE = {"ready": False, "draining": True}

_log = structlog.get_logger(__name__)
_T = TypeVar("_T")


class PlatformConfigSource:
    """Reads the configuration that operators write.

    Args:
        store: the platform's store.
    """

    def __init__(self, *, store: RowStore) -> None:
        self._store = store

    def read(self) -> ConfigView:
        """Returns the configuration; see `ConfigSource`."""
        pages = read_partition(
            self._store, table=_OPERATOR_TABLE, partition="", timeout_s=READ_TIMEOUT_S
        )
        rows = {row.key.key: row for page in pages for row in page.rows}
        manifest = rows.get(_MANIFEST_KEY)
        return ConfigView(
            manifest=_parse_row(manifest, _parse_manifest) if manifest is not None else None,
            zones_out=frozenset(
                name.removeprefix(_ZONE_PREFIX) for name in rows if name.startswith(_ZONE_PREFIX)
            ),
            version=pages[0].version,
        )

    def follow(self, view: ConfigView, *, after: int, wait_s: float) -> ConfigChange:
        """Waits for a change and returns the view with it applied; see `ConfigSource`."""
        changes = self._store.changes(table=_OPERATOR_TABLE, after=after, wait_s=wait_s)
        if {row.key for row in changes.rows} & set(changes.removed):
            raise HistoryLostError("a row was both written and removed, in unknown order")
        manifest, zones_out = view.manifest, set(view.zones_out)
        for row in changes.rows:
            if row.key.key == _MANIFEST_KEY:
                manifest = _parse_row(row, _parse_manifest) or manifest
            elif row.key.key.startswith(_ZONE_PREFIX):
                zones_out.add(row.key.key.removeprefix(_ZONE_PREFIX))
        for key in changes.removed:
            zones_out.discard(key.key.removeprefix(_ZONE_PREFIX))
        if changes.rows or changes.removed:
            view = ConfigView(
                manifest=manifest, zones_out=frozenset(zones_out), version=changes.version
            )
        return ConfigChange(view=view, position=changes.version)


class PlatformRegistry:
    """Reads the registry of workers.

    Args:
        store: the platform's store.
    """

    def __init__(self, *, store: RowStore) -> None:
        self._store = store

    def read(self) -> list[WorkerInfo]:
        """Returns all workers whose entry can be decoded; see `WorkerRegistry`."""
        pages = read_partition(
            self._store, table=_WORKER_TABLE, partition="", timeout_s=READ_TIMEOUT_S
        )
        found = [_parse_row(row, _parse_worker, row.key.key) for page in pages for row in page.rows]
        return [info for info in found if info is not None]


def _parse_row(row: Row, decode: Callable[..., _T], *args: Any) -> _T | None:
    """Returns the decoded value of a row, or None if it is malformed."""
    try:
        return decode(json.loads(row.value), *args)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        _log.warning("row not readable", row=row.key.key, reason=repr(exc))
        return None


def _parse_manifest(raw: dict[str, Any]) -> Manifest:
    return Manifest(
        revision=int(raw["version"]),
        queues=tuple(_parse_queue(route) for route in raw["routes"]),
        pools=tuple(
            Pool(
                name=service["name"],
                rejects_overload=bool(service.get("rejectsOverload", False)),
                standby=bool(service.get("standby", False)),
            )
            for service in raw["services"]
        ),
    )


def _parse_queue(route: dict[str, Any]) -> Queue:
    return Queue(
        name=route["name"],
        host=route["hostname"],
        prefix=route["prefix"],
        pool=route["service"],
        priority=int(route.get("priority", 0)),
        max_failures=int(route.get("maxAttempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
        allowance_ms=int(route.get("targetCompletionMs", 0)),
        advice=_parse_advice_policy(route.get("advice")),
    )


def _parse_advice_policy(raw: dict[str, Any] | None) -> AdvicePolicy | None:
    if not raw:
        return None
    return AdvicePolicy(
        decision_ms=int(raw.get("decisionMs", 0)),
        per_worker_ms=int(raw.get("periodMs", 0)),
        valid_ms=int(raw.get("validityMs", 0)),
    )


def _parse_worker(raw: dict[str, Any], worker_id: str) -> WorkerInfo:
    capacity = raw["capacity"]
    labels = [str(label) for label in raw.get("labels", ())]
    return WorkerInfo(
        id=worker_id,
        incarnation_ms=int(raw.get("born", 0)),
        pool=raw["service"],
        address=raw["address"],
        zone=raw["zone"],
        # The first label is the worker's kind, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=parse_size(capacity),
        draining=_DRAINING_BY_STATE[raw["state"]],
        clock_ms=int(raw["clockMs"]),
    )


def parse_size(raw: dict[str, Any]) -> Size:
    """Returns resources; the platform states processors in thousandths of a core."""
    return Size(
        processors=int(raw.get("cpu", 0)) / 1000,
        memory_mb=int(raw.get("memMb", 0)),
        accelerators=int(raw.get("gpu", 0)),
    )
