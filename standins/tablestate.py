"""In-memory state of the transactional table: versions, checks and atomic writes."""

import threading
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class StoredRow:
    """A stored row."""

    key: str
    value: dict[str, Any]
    version: int


class TableState:
    """Rows with versions. Safe for use by several threads.

    Versions come from one counter, so that a key's version never repeats after a delete.
    """

    def __init__(self) -> None:
        self._rows: dict[str, StoredRow] = {}
        self._counter = 0
        self._lock = threading.Lock()

    def read(self, *, keys: list[str], prefixes: list[str]) -> list[StoredRow]:
        """Returns the rows of `keys` and of all keys with one of `prefixes`, in key order."""
        with self._lock:
            found = {key: self._rows[key] for key in keys if key in self._rows}
            for prefix in prefixes:
                found.update({k: row for k, row in self._rows.items() if k.startswith(prefix)})
        return [found[key] for key in sorted(found)]

    def transact(
        self,
        *,
        checks: list[tuple[str, int]],
        puts: list[tuple[str, dict[str, Any]]],
        deletes: list[str],
    ) -> tuple[dict[str, int], list[str]]:
        """Applies the writes if all checks hold.

        Returns:
            New versions of the put keys, and the keys whose check failed.
        """
        with self._lock:
            failed = [key for key, version in checks if self._version(key) != version]
            if failed:
                return {}, failed
            versions = {key: self._put(key, value) for key, value in puts}
            for key in deletes:
                self._rows.pop(key, None)
            return versions, []

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _put(self, key: str, value: dict[str, Any]) -> int:
        self._counter += 1
        self._rows[key] = StoredRow(key=key, value=value, version=self._counter)
        return self._counter
