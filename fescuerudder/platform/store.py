"""Implements `RowStore` on the platform's row store."""

import base64
from typing import Any
from urllib.parse import urlencode

import structlog

from fescuerudder import checked
from fescuerudder.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
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

_TRANSIENT_STATUSES = frozenset({408, 409, 412, 425, 429})
"""Client errors that say nothing against the request itself: timeouts, conflicts, rate limits."""

MAX_REPORTED_ROWS = 1000
"""Number of rows without a readable value that are remembered as logged."""

_log = structlog.get_logger(__name__)


class PlatformStore:
    """Row store over HTTP.

    Args:
        http: shared client.
        address: `ip:port` of the store.
    """

    def __init__(self, *, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address
        self._reported: set[tuple[RowKey, int]] = set()

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
                answer, lambda raw: checked.whole(raw["rowVersion"]), StoreOutcomeUnknownError
            )
        if answer.status == 412:
            rows = _parse_answer(
                answer, lambda raw: self._parse_rows(raw["rows"]), StoreOutcomeUnknownError
            )
            raise RowConflictError(rows=rows)
        if 400 <= answer.status < 500 and answer.status not in _TRANSIENT_STATUSES:
            raise StoreRejectedError(f"store answered {answer.status}")
        # Nothing was written; the same request may be applied later.
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
        return _parse_answer(answer, self._parse_page, StoreUnavailableError)

    def changes(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Returns changes of a table; see `RowStore.changes`."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        answer = self._get(
            "/rows-feed", query, wait_s + FEED_MARGIN_S, hold_s=wait_s, accept=(200, 410)
        )
        if answer.status == 410:
            raise HistoryLostError(f"changes after {after} are gone")
        return _parse_answer(answer, self._parse_changes, StoreUnavailableError)

    def _get(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        *,
        hold_s: float = 0.0,
        accept: tuple[int, ...] = (200,),
    ) -> HttpAnswer:
        url = f"{path}?{urlencode(query)}"
        try:
            answer = self._http.call("GET", self._address, url, timeout_s=timeout_s, hold_s=hold_s)
        except (NotSentError, NoAnswerError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if answer.status not in accept:
            raise StoreUnavailableError(f"store answered {answer.status}")
        return answer

    def _parse_page(self, raw: dict[str, Any]) -> Page:
        return Page(
            rows=self._parse_rows(raw["rows"]),
            more=bool(raw.get("hasMore", False)),
            version=checked.whole(raw["rowVersion"]),
            store_ms=int(checked.finite(raw.get("nowMs", 0))),
        )

    def _parse_changes(self, raw: dict[str, Any]) -> Changes:
        rows = checked.items(raw["rows"])
        return Changes(
            rows=self._parse_rows(rows),
            removed=tuple(_parse_key(row) for row in rows if row.get("removed")),
            version=checked.whole(raw["rowVersion"]),
        )

    def _parse_rows(self, raw: list[dict[str, Any]]) -> tuple[Row, ...]:
        return tuple(
            self._parse_row(row)
            for row in checked.items(raw)
            if not row.get("removed") and "value" in row
        )

    def _parse_row(self, raw: dict[str, Any]) -> Row:
        """Returns a row; its value is empty if it can't be read, so that it hides no other row."""
        key, version = _parse_key(raw), checked.whole(raw["rowVersion"])
        try:
            value = base64.b64decode(raw["value"])
        except (TypeError, ValueError) as exc:
            value = b""
            self._report(key, version, exc)
        return Row(key, value, version)

    def _report(self, key: RowKey, version: int, exc: Exception) -> None:
        """Logs a row without a readable value, once for each version."""
        if (key, version) in self._reported:
            return
        if len(self._reported) >= MAX_REPORTED_ROWS:
            self._reported.clear()
        self._reported.add((key, version))
        _log.warning(
            "value of a row not readable",
            table=key.table,
            row=key.key,
            version=version,
            reason=checked.reason(exc),
        )


def _format_key(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.partition, "key": key.key}


def _format_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _parse_key(raw: dict[str, Any]) -> RowKey:
    return RowKey(
        checked.text(raw["table"]), checked.text(raw.get("part", "")), checked.text(raw["key"])
    )


def _parse_answer(answer: HttpAnswer, parse: Any, error: type[PlatformError]) -> Any:
    try:
        return parse(answer.body)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise error(f"malformed answer of the store: {type(exc).__name__}") from exc
