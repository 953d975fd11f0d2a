"""HTTP handler of a `MemoryRowStore`: the row store's interface on the job platform."""

import base64
import contextlib
from typing import Any

from fescuerudder.errors import (
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from fescuerudder.jobs.rows import HistoryLostError, Row, RowConflictError, RowKey, RowTransaction
from standins._http import Answer, Request
from standins.rows import MemoryRowStore

TIMEOUT_S = 1.0
"""Required by the port but without effect, as the store in memory answers at once."""


def store_handler(rows: MemoryRowStore) -> Any:
    """Returns the HTTP handler of a store."""

    def handle(req: Request) -> Answer:
        calls = {"/rows-tx": _write, "/rows-get": _read, "/rows-feed": _changes}
        call = calls.get(req.path)
        if call is None:
            return Answer(status=404, body={"error": "no such call"})
        try:
            return call(rows, req)
        except StoreRejectedError:
            return Answer(status=400, body={"error": "rejected"})
        except StoreUnavailableError:
            return Answer(status=503, body={"error": "down"})
        except StoreOutcomeUnknownError:
            return Answer(abort=True)

    return handle


def _write(rows: MemoryRowStore, req: Request) -> Answer:
    raw = req.json()
    txn = RowTransaction(
        expects=tuple((_parse_key(row), int(row["rowVersion"])) for row in raw["expected"]),
        puts=tuple((_parse_key(row), base64.b64decode(row["value"])) for row in raw["setKeys"]),
        deletes=tuple(_parse_key(row) for row in raw["remove"]),
    )
    try:
        version = rows.write(txn, timeout_s=TIMEOUT_S)
    except RowConflictError as exc:
        return Answer(status=412, body={"rows": [_format_row(row) for row in exc.rows]})
    return Answer(body={"rowVersion": version, "nowMs": 0})


def _read(rows: MemoryRowStore, req: Request) -> Answer:
    query = req.query
    page = rows.read(
        table=query["table"],
        partition=query.get("part", ""),
        first=query.get("from", ""),
        end=query.get("to", ""),
        timeout_s=TIMEOUT_S,
    )
    found = [_format_row(row) for row in page.rows]
    body = {"rows": found, "hasMore": page.more, "rowVersion": page.version}
    return Answer(body={**body, "nowMs": page.store_ms})


def _changes(rows: MemoryRowStore, req: Request) -> Answer:
    query = req.query
    wait_s = int(query.get("waitMs", "0")) / 1000
    with contextlib.suppress(HistoryLostError):
        changes = rows.changes(table=query["table"], after=int(query["after"]), wait_s=wait_s)
        removed = [{**_format_key(key), "removed": True} for key in changes.removed]
        found = [_format_row(row) for row in changes.rows]
        return Answer(body={"rows": found + removed, "rowVersion": changes.version})
    return Answer(status=410, body={"error": "history lost"})


def _parse_key(raw: dict[str, Any]) -> RowKey:
    return RowKey(raw["table"], raw.get("part", ""), raw["key"])


def _format_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.partition, "key": key.key}


def _format_row(row: Row) -> dict[str, Any]:
    value = base64.b64encode(row.value).decode()
    return {**_format_key(row.key), "value": value, "rowVersion": row.version}
