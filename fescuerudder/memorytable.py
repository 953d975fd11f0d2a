"""Transactional table in memory: the reference of what `Table` promises.

For tests and for trying out the coordination parts; it keeps nothing.
"""

import copy
import threading

from fescuerudder.errors import ConflictError
from fescuerudder.table import ABSENT, Put, Row, Transaction


class MemoryTable:
    """Table in the memory of this process. Safe for use by several threads.

    Versions come from one counter, so that a key's version never repeats after a delete.

    >>> from fescuerudder.table import Check
    >>> table = MemoryTable()
    >>> put = Put(key="greeting", value={"text": "hello"})
    >>> table.transact(Transaction(checks=(Check(key="greeting", version=ABSENT),), puts=(put,)))
    {'greeting': 1}
    >>> table.read(prefixes=("greet",))[0].value
    {'text': 'hello'}
    >>> table.transact(Transaction(checks=(Check(key="greeting", version=7),)))
    Traceback (most recent call last):
    fescuerudder.errors.ConflictError: checks failed for greeting
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._counter = 0
        self._lock = threading.Lock()

    def read(self, *, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()) -> list[Row]:
        """Returns the rows of `keys` and of all keys with one of `prefixes`, in key order."""
        with self._lock:
            found = {key: self._rows[key] for key in keys if key in self._rows}
            for prefix in prefixes:
                found.update({k: row for k, row in self._rows.items() if k.startswith(prefix)})
        # Copies keep callers from changing stored rows.
        return [copy.deepcopy(found[key]) for key in sorted(found)]

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies `txn` and returns the new version of each put key.

        Raises:
            ConflictError: a check failed; nothing was applied.
        """
        with self._lock:
            failed = [c.key for c in txn.checks if self._version(c.key) != c.version]
            if failed:
                raise ConflictError(failed_keys=failed)
            versions = {put.key: self._put(put) for put in txn.puts}
            for key in txn.deletes:
                self._rows.pop(key, None)
            return versions

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT

    def _put(self, put: Put) -> int:
        self._counter += 1
        value = copy.deepcopy(put.value)
        self._rows[put.key] = Row(key=put.key, value=value, version=self._counter)
        return self._counter
