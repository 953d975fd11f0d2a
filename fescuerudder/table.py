"""Client of the platform's transactional table service."""

import uuid
from typing import Any, Protocol

import attrs
import urllib3

from fescuerudder import checked
from fescuerudder.errors import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

ABSENT = 0
"""Version of a row that does not exist."""

STORE_TIMEOUT_S = 2.0


@attrs.frozen(kw_only=True)
class Row:
    """One row. `version` increases with each write of the key and never repeats."""

    key: str
    value: dict[str, Any]
    version: int


@attrs.frozen(kw_only=True)
class Check:
    """Requires that `key` has exactly `version`; `ABSENT` requires that it does not exist."""

    key: str
    version: int


@attrs.frozen(kw_only=True)
class Put:
    """Writes `value` to `key`."""

    key: str
    value: dict[str, Any]


@attrs.frozen(kw_only=True)
class Transaction:
    """Checks and writes that apply wholly or not at all.

    Args:
        checks: versions that must hold.
        puts: rows to write.
        deletes: keys to delete.
    """

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Table(Protocol):
    """Transactional table. Implementations: `HttpTable`, and fakes in tests."""

    def read(self, *, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()) -> list[Row]:
        """Returns a consistent snapshot of the rows that exist, in key order.

        Raises:
            StoreUnavailableError: the store could not be read.
        """

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies `txn` and returns the new version of each put key.

        Raises:
            ConflictError: a check failed; nothing was applied.
            StoreUnavailableError: the store did not get the transaction.
            StoreOutcomeUnknownError: the answer was lost; the transaction may have applied.
        """


def new_txn_id() -> str:
    """Returns a unique id for the `txn` field of the rows that one transaction writes."""
    return uuid.uuid4().hex


class HttpTable:
    """Table service over HTTP with JSON.

    Args:
        address: `ip:port` of the service.
        timeout_s: limit for connecting and for reading one answer, each.
    """

    def __init__(self, *, address: str, timeout_s: float = STORE_TIMEOUT_S) -> None:
        self._url = f"http://{address}"
        self._pool = urllib3.PoolManager(
            num_pools=1,
            maxsize=16,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    def __enter__(self) -> "HttpTable":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.clear()

    def read(self, *, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()) -> list[Row]:
        """Returns a snapshot of the rows; see `Table.read`."""
        body = {"keys": list(keys), "prefixes": list(prefixes)}
        try:
            resp = self._pool.request("POST", f"{self._url}/v1/read", json=body)
        except urllib3.exceptions.HTTPError as exc:
            raise StoreUnavailableError(f"store read failed: {exc}") from exc
        if resp.status != 200:
            raise StoreUnavailableError(f"store read answered {resp.status}")
        try:
            raw = checked.load_json(resp.data)
            return [_parse_row(row) for row in checked.items(raw["rows"])]
        except (LookupError, TypeError, ValueError) as exc:
            raise StoreUnavailableError(
                f"store read answer is malformed: {checked.reason(exc)}"
            ) from exc

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies `txn`; see `Table.transact`."""
        body = {
            "checks": [attrs.asdict(check) for check in txn.checks],
            "puts": [attrs.asdict(put) for put in txn.puts],
            "deletes": list(txn.deletes),
        }
        try:
            resp = self._pool.request("POST", f"{self._url}/v1/transact", json=body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise StoreUnavailableError(f"store not reached: {exc}") from exc
        except urllib3.exceptions.HTTPError as exc:
            raise StoreOutcomeUnknownError(f"store answer lost: {exc}") from exc
        return _versions(resp)


def _parse_row(raw: dict[str, Any]) -> Row:
    """Returns a row; a value that is no object is empty, so that its reader finds it malformed."""
    value = raw["value"]
    return Row(
        key=checked.text(raw["key"]),
        value=value if isinstance(value, dict) else {},
        version=checked.whole(raw["version"]),
    )


def _versions(resp: urllib3.BaseHTTPResponse) -> dict[str, int]:
    """Converts an answer of the store into versions or an error."""
    if resp.status == 503:
        raise StoreUnavailableError("store is down")
    if resp.status not in (200, 409):
        raise StoreOutcomeUnknownError(f"store answered {resp.status}")
    try:
        body = checked.load_json(resp.data)
        if resp.status == 200:
            return {key: checked.whole(no) for key, no in body["versions"].items()}
        failed_keys = [checked.text(key) for key in checked.items(body.get("failed", []))]
    except (AttributeError, LookupError, TypeError, ValueError) as exc:
        raise StoreOutcomeUnknownError(f"store answer is malformed: {checked.reason(exc)}") from exc
    raise ConflictError(failed_keys=failed_keys)
