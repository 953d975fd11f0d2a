"""Implements `RowStore` on the platform's row store."""

import base64
from typing import Any
from urllib.parse import urlencode

from fescuerudder.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.jobs.rows import (
    Changes,
    HistoryLostError,
    Page,
    Row,
    RowConflictError,
    RowKey,
    RowTransaction,
)
from fescuerudder.platform.http import HttpAnswer, HttpClient, NoAnswerError, NotSentError

FEED_MARGIN_S = 1.0
"""Time allowed for the answer of a feed beyond the time that the store waits for changes."""


class PlatformStore:
    """Row store over HTTP.

    Args:
        http: shared client.
        address: `ip:port` of the store.
    """

    def __init__(self, *, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    def write(self, txn: RowTransaction, *, timeout_s: float) -> int:
        """Applies a transaction; see `RowStore.write`."""
        body = {
            "expected": [
                {**_format_key(key), "rowVersion": version} for key, version in txn.expects
            ],
            "setKeys": [
                {**_format_key(key), "value": _format_value(value)} for key, value in txn.puts
            ],
            "remove": [_format_key(key) for key in txn.deletes],
        }
        try:
            answer = self._http.call(
                "POST", self._address, "/rows-tx", body=body, timeout_s=timeout_s
            )
        except NotSentError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except NoAnswerError as exc:
            raise StoreOutcomeUnknownError(str(exc)) from exc
        if answer.status == 200:
            return _parse_answer(
                answer, lambda raw: int(raw["rowVersion"]), StoreOutcomeUnknownError
            )
        if answer.status == 412:
            rows = _parse_answer(
                answer, lambda raw: _parse_rows(raw["rows"]), StoreOutcomeUnknownError
            )
            raise RowConflictError(rows=rows)
        # 429 and 503 mean that nothing was written; other statuses reject the request itself.
        raise StoreUnavailableError(f"store answered {answer.status}")

    def read(
        self, *, table: str, partition: str, first: str = "", end: str = "", timeout_s: float
    ) -> Page:
        """Returns rows of a partition; see `RowStore.read`."""
        query = {"table": table, "part": partition}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        answer = self._get("/rows-get", query, timeout_s)
        return _parse_answer(answer, _parse_page, StoreUnavailableError)

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns changes of a table; see `RowStore.changes`."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        answer = self._get("/rows-feed", query, wait_s + FEED_MARGIN_S, accept=(200, 410))
        if answer.status == 410:
            raise HistoryLostError(f"changes after {after} are gone")
        return _parse_answer(answer, _parse_changes, StoreUnavailableError)

    def _get(
        self, path: str, query: dict[str, Any], timeout_s: float, accept: tuple[int, ...] = (200,)
    ) -> HttpAnswer:
        try:
            answer = self._http.call(
                "GET", self._address, f"{path}?{urlencode(query)}", timeout_s=timeout_s
            )
        except (NotSentError, NoAnswerError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if answer.status not in accept:
            raise StoreUnavailableError(f"store answered {answer.status}")
        return answer


def _format_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.partition, "key": key.key}


def _format_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _parse_key(raw: dict[str, Any]) -> RowKey:
    return RowKey(raw["table"], raw.get("part", ""), raw["key"])


def _parse_rows(raw: list[dict[str, Any]]) -> tuple[Row, ...]:
    return tuple(
        Row(_parse_key(row), base64.b64decode(row["value"]), int(row["rowVersion"]))
        for row in raw
        if not row.get("removed") and "value" in row
    )


def _parse_page(raw: dict[str, Any]) -> Page:
    return Page(
        rows=_parse_rows(raw["rows"]),
        more=bool(raw.get("hasMore", False)),
        version=int(raw["rowVersion"]),
        store_ms=int(raw.get("nowMs", 0)),
    )


def _parse_changes(raw: dict[str, Any]) -> Changes:
    removed = tuple(_parse_key(row) for row in raw["rows"] if row.get("removed"))
    return Changes(rows=_parse_rows(raw["rows"]), removed=removed, version=int(raw["rowVersion"]))


def _parse_answer(answer: HttpAnswer, parse: Any, error: type[PlatformError]) -> Any:
    try:
        return parse(answer.body)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise error(f"malformed answer of the store: {type(exc).__name__}") from exc
