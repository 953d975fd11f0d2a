"""Table in this process that costs its client what JSON costs, and counts rows and bytes."""

import json
import time

import attrs

from fescuerudder import memorytable
from fescuerudder.table import Put, Row, Transaction


class MemoryTable:
    """Implements `fescuerudder.table.Table` on the table in memory.

    Rows are encoded before and decoded after the boundary, as over HTTP. The time of the
    table's side is kept apart in `platform_s`.

    Args:
        delay_s: time that each transaction takes.
    """

    def __init__(self, *, delay_s: float = 0.0) -> None:
        self.state = memorytable.MemoryTable()
        self.platform_s = 0.0
        self.reads = self.rows_read = self.bytes_read = 0
        self.transactions = self.rows_written = self.bytes_written = 0
        self._delay_s = delay_s

    def read(self, *, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()) -> list[Row]:
        """Returns a snapshot of the rows."""
        began_s = time.thread_time()
        found = self.state.read(keys=keys, prefixes=prefixes)
        rows = [{"key": row.key, "value": row.value, "version": row.version} for row in found]
        text = json.dumps({"rows": rows})
        self.platform_s += time.thread_time() - began_s
        self.reads += 1
        self.rows_read += len(rows)
        self.bytes_read += len(text)
        return [Row(**row) for row in json.loads(text)["rows"]]

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies a transaction.

        Raises:
            ConflictError: a check failed.
        """
        text = json.dumps({put.key: put.value for put in txn.puts})
        began_s = time.thread_time()
        puts = tuple(Put(key=key, value=value) for key, value in json.loads(text).items())
        try:
            versions = self.state.transact(attrs.evolve(txn, puts=puts))
        finally:
            self.platform_s += time.thread_time() - began_s
            self.transactions += 1
        time.sleep(self._delay_s)
        self.rows_written += len(txn.puts) + len(txn.deletes)
        self.bytes_written += len(text)
        return versions
