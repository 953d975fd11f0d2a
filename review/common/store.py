"""Stand-in of the platform's row store: tables, transactions, pages and a feed of changes."""

import asyncio
import base64
import bisect
import time
from typing import Any

from common.http import Request, Server

ANSWER_S = 0.004
"""Time of an answer on the users' sheets."""

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536
PROTECTED = ("op", "servers")


class Store:
    """Rows in memory. Every node has an address of its own, so that a fault can concern one."""

    def __init__(self) -> None:
        self._tables: dict[tuple[str, str], dict[str, tuple[str, int]]] = {}
        self._keys: dict[tuple[str, str], list[str]] = {}
        self._log: list[tuple[int, str, str, str]] = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._servers: list[Server] = []
        self.answer_s = ANSWER_S

    async def open(self, name: str) -> str:
        """Listens for one node; returns the address for it."""

        async def handle(req: Request) -> Any:
            return await self._handle(name, req)

        server = Server(handle)
        self._servers.append(server)
        return await server.open()

    def close(self) -> None:
        """Ends all servers."""
        for server in self._servers:
            server.close()

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as the operator or a worker does."""
        async with self._changed:
            self._version += 1
            self._set(table, "", key, base64.b64encode(value).decode())
            self._changed.notify_all()

    async def drop(self, table: str, key: str) -> None:
        """Removes a row as the operator or the platform does."""
        async with self._changed:
            if key in self._tables.get((table, ""), {}):
                self._version += 1
                self._remove(table, "", key)
                self._changed.notify_all()

    def get(self, table: str, part: str, key: str) -> bytes | None:
        """Returns the value of a row, None if there is none."""
        row = self._tables.get((table, part), {}).get(key)
        return base64.b64decode(row[0]) if row is not None else None

    def count(self, table: str) -> int:
        """Returns the number of rows of a table."""
        return sum(len(rows) for (name, _), rows in self._tables.items() if name == table)

    async def _handle(self, name: str, req: Request) -> Any:
        await asyncio.sleep(self.answer_s)
        if req.path == "/rows-tx":
            return await self._write(req.json())
        if req.path == "/rows-get":
            return self._read(req.query)
        if req.path == "/rows-feed":
            return await self._feed(req.query)
        return 404, {}

    async def _write(self, raw: dict[str, Any]) -> Any:
        expected, puts, drops = raw["expected"], raw["setKeys"], raw["remove"]
        everything = [*expected, *puts, *drops]
        if len(everything) > 100 or len({row.get("part", "") for row in everything}) > 1:
            return 400, {}
        if any(row["table"] in PROTECTED for row in (*puts, *drops)):
            return 403, {}
        if any(len(row["value"]) * 3 // 4 > MAX_ROW_BYTES + 2 for row in puts):
            return 400, {}
        async with self._changed:
            if any(self._version_of(row) != row["rowVersion"] for row in expected):
                found = [self._form(row) for row in expected if self._version_of(row)]
                return 412, {"rows": found, "rowVersion": self._version, "nowMs": _now_ms()}
            self._version += 1
            for row in puts:
                self._set(row["table"], row.get("part", ""), row["key"], row["value"])
            for row in drops:
                self._remove(row["table"], row.get("part", ""), row["key"])
            self._changed.notify_all()
            return 200, {"rowVersion": self._version, "nowMs": _now_ms()}

    def _read(self, query: dict[str, str]) -> Any:
        place = (query["table"], query.get("part", ""))
        keys, rows = self._keys.get(place, []), self._tables.get(place, {})
        first = bisect.bisect_left(keys, query.get("from", ""))
        last = bisect.bisect_left(keys, query["to"]) if query.get("to") else len(keys)
        most = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        found, size = [], 0
        for key in keys[first : min(last, first + most)]:
            value, version = rows[key]
            size += len(value)
            if found and size > PAGE_BYTES:
                break
            found.append(_row(*place, key, value, version))
        return 200, {
            "rows": found,
            "hasMore": first + len(found) < last,
            "rowVersion": self._version,
            "nowMs": _now_ms(),
        }

    async def _feed(self, query: dict[str, str]) -> Any:
        table, after = query["table"], int(query["after"])
        async with self._changed:
            try:
                async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000):
                    await self._changed.wait_for(lambda: self._changes(table, after))
            except TimeoutError:
                pass
            latest = {(part, key): version for version, part, key in self._changes(table, after)}
            found = []
            for (part, key), version in sorted(latest.items(), key=lambda item: item[1]):
                value = self._tables.get((table, part), {}).get(key)
                if value is None:
                    found.append({"table": table, "part": part, "key": key, "removed": True})
                    found[-1]["rowVersion"] = version
                else:
                    found.append(_row(table, part, key, *value))
            return 200, {"rows": found, "rowVersion": self._version, "nowMs": _now_ms()}

    def _changes(self, table: str, after: int) -> list[tuple[int, str, str]]:
        first = bisect.bisect_right(self._log, after, key=lambda entry: entry[0])
        return [(v, part, key) for v, name, part, key in self._log[first:] if name == table]

    def _set(self, table: str, part: str, key: str, value: str) -> None:
        rows = self._tables.setdefault((table, part), {})
        if key not in rows:
            bisect.insort(self._keys.setdefault((table, part), []), key)
        rows[key] = (value, self._version)
        self._log.append((self._version, table, part, key))

    def _remove(self, table: str, part: str, key: str) -> None:
        if self._tables.get((table, part), {}).pop(key, None) is not None:
            self._keys[(table, part)].remove(key)
            self._log.append((self._version, table, part, key))

    def _version_of(self, row: dict[str, Any]) -> int:
        found = self._tables.get((row["table"], row.get("part", "")), {}).get(row["key"])
        return found[1] if found is not None else 0

    def _form(self, row: dict[str, Any]) -> dict[str, Any]:
        place = (row["table"], row.get("part", ""))
        return _row(*place, row["key"], *self._tables[place][row["key"]])


def _row(table: str, part: str, key: str, value: str, version: int) -> dict[str, Any]:
    return {"table": table, "part": part, "key": key, "value": value, "rowVersion": version}


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
