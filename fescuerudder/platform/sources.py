"""Reads the tables that operators and workers write: manifest, zones, worker registry."""

from collections.abc import Callable
from typing import Any, TypeVar

import structlog

from fescuerudder import checked
from fescuerudder.document import Size
from fescuerudder.jobs.accounts import Account, check_accounts, hash_key
from fescuerudder.jobs.configview import ConfigChange, ConfigView
from fescuerudder.jobs.manifest import AdvicePolicy, Manifest, Pool, Queue
from fescuerudder.jobs.rows import HistoryLostError, Row, RowKey, RowStore, read_partition
from fescuerudder.jobs.workerport import WorkerInfo

READ_TIMEOUT_S = 1.0
_OPERATOR_TABLE = "op"
_WORKER_TABLE = "servers"
_MANIFEST_KEY = "config"
_ZONE_PREFIX = "evacuate/"
_DRAINING_BY_STATE = {"ready": False, "draining": True}

MAX_REPORTED_ROWS = 1000
"""Number of odd rows that are remembered as logged."""

_MALFORMED = (AttributeError, LookupError, TypeError, ValueError)
"""Errors that decoding raises for fields that are missing or of another type."""

_log = structlog.get_logger(__name__)
_T = TypeVar("_T")


class PlatformConfigSource:
    """Reads the configuration that operators write.

    Args:
        store: the platform's store.
    """

    def __init__(self, *, store: RowStore) -> None:
        self._store = store
        self._decoder = _RowDecoder()

    def read(self) -> ConfigView:
        """Returns the configuration; see `ConfigSource`."""
        pages = read_partition(
            self._store, table=_OPERATOR_TABLE, partition="", timeout_s=READ_TIMEOUT_S
        )
        rows = {row.key.key: row for page in pages for row in page.rows}
        manifest = rows.get(_MANIFEST_KEY)
        return ConfigView(
            manifest=(
                self._decoder.decode(manifest, _parse_manifest) if manifest is not None else None
            ),
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
                manifest = self._decoder.decode(row, _parse_manifest) or manifest
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
        self._decoder = _RowDecoder()

    def read(self) -> list[WorkerInfo]:
        """Returns all workers whose entry can be decoded; see `WorkerRegistry`."""
        pages = read_partition(
            self._store, table=_WORKER_TABLE, partition="", timeout_s=READ_TIMEOUT_S
        )
        found = [
            self._decoder.decode(row, _parse_worker, row.key.key)
            for page in pages
            for row in page.rows
        ]
        return [info for info in found if info is not None]


class _RowDecoder:
    """Decodes rows of other writers; an odd row is left out and never hides the others.

    Each version of an odd row is logged, and thereby counted, once: the registry is read each
    second.
    """

    def __init__(self) -> None:
        self._reported: dict[RowKey, int] = {}

    def decode(self, row: Row, parse: Callable[..., _T], *args: Any) -> _T | None:
        """Returns the decoded value of a row, or None if it is malformed."""
        try:
            return parse(checked.load_json(row.value), *args)
        except Exception as exc:
            self._report(row, exc)
            return None

    def _report(self, row: Row, exc: Exception) -> None:
        if self._reported.get(row.key) == row.version:
            return
        if len(self._reported) >= MAX_REPORTED_ROWS:
            self._reported.clear()
        self._reported[row.key] = row.version
        _log.warning(
            "row not readable",
            table=row.key.table,
            row=row.key.key,
            version=row.version,
            reason=checked.reason(exc),
            exc_info=not isinstance(exc, _MALFORMED),
        )


def _parse_manifest(raw: dict[str, Any]) -> Manifest:
    accounts = tuple(_parse_account(item) for item in _list(raw.get("tenants")))
    check_accounts(accounts)
    return Manifest(
        revision=checked.whole(raw["version"]),
        queues=tuple(_parse_queue(route) for route in checked.items(raw["routes"])),
        pools=tuple(
            Pool(
                name=checked.text(service["name"]),
                rejects_overload=bool(service.get("rejectsOverload", False)),
                standby=bool(service.get("standby", False)),
            )
            for service in checked.items(raw["services"])
        ),
        accounts=accounts,
    )


def _parse_account(raw: dict[str, Any]) -> Account:
    """Returns an account; an empty text is no key.

    Raises:
        ValueError: a field is malformed, or an amount is negative. The text names no key.
    """
    keys = [checked.text(key) for key in _list(raw.get("apiKeys"))]
    return Account(
        name=checked.name(raw["name"]),
        key_hashes=tuple(sorted({hash_key(key) for key in keys if key})),
        weight=checked.finite(raw.get("weight", 1.0)),
        cap=_parse_cap(raw.get("cap")),
    )


def _parse_cap(raw: dict[str, Any] | None) -> Size:
    """Returns a cap; a fraction must not become 0, which is no bound."""
    if raw is None:
        return Size()
    return Size(
        processors=checked.finite(raw.get("cpu", 0), most=checked.MAX_AMOUNT) / 1000,
        memory_mb=checked.whole(raw.get("memMb", 0)),
        accelerators=checked.whole(raw.get("gpu", 0)),
    )


def _list(value: Any) -> list[Any]:
    """Returns a list; null is an empty one, and anything else is malformed."""
    return [] if value is None else checked.items(value)


def _parse_queue(route: dict[str, Any]) -> Queue:
    return Queue(
        name=checked.text(route["name"]),
        host=checked.text(route["hostname"]),
        prefix=checked.text(route["prefix"]),
        pool=checked.text(route["service"]),
        priority=checked.whole(route.get("priority", 0), least=-checked.MAX_WHOLE),
        max_failures=checked.whole(route.get("maxAttempts", 1)),
        stretch=checked.finite(route.get("stretch", 1.0)),
        allowance_ms=int(checked.finite(route.get("targetCompletionMs", 0))),
        advice=_parse_advice_policy(route.get("advice")),
        # Anything but a plain true needs a key.
        is_public=route.get("public") is True,
    )


def _parse_advice_policy(raw: dict[str, Any] | None) -> AdvicePolicy | None:
    if not raw:
        return None
    return AdvicePolicy(
        decision_ms=int(checked.finite(raw.get("decisionMs", 0))),
        per_worker_ms=int(checked.finite(raw.get("periodMs", 0))),
        valid_ms=int(checked.finite(raw.get("validityMs", 0))),
    )


def _parse_worker(raw: dict[str, Any], worker_id: str) -> WorkerInfo:
    labels = [checked.text(label) for label in checked.items(raw.get("labels", []))]
    return WorkerInfo(
        id=checked.identifier(worker_id),
        incarnation_ms=checked.whole(raw["born"], most=checked.MAX_UNIX_MS),
        pool=checked.name(raw["service"]),
        address=checked.address(raw["address"]),
        zone=checked.name(raw["zone"]),
        # The first label is the worker's kind, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=frozenset(labels),
        capacity=parse_size(raw["capacity"]),
        draining=_DRAINING_BY_STATE[raw["state"]],
        clock_ms=checked.whole(raw["clockMs"]),
    )


def parse_size(raw: dict[str, Any]) -> Size:
    """Returns resources; the platform states processors in thousandths of a core.

    Raises:
        ValueError: an amount is negative or no finite number.
    """
    most = checked.MAX_AMOUNT
    return Size(
        processors=checked.finite(raw.get("cpu", 0), most=most) / 1000,
        memory_mb=int(checked.finite(raw.get("memMb", 0), most=most)),
        accelerators=int(checked.finite(raw.get("gpu", 0), most=most)),
    )
