"""Fakes at the platform's interfaces, for tests of decisions without processes."""

import copy
from collections.abc import Callable

from fescuerudder.errors import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.table import Row, Transaction
from standins.tablestate import TableState


class FakeTable:
    """Table in memory with injected faults.

    Attributes:
        down: every call fails without effect.
        lose_answers: the next n transactions apply but their answer is lost.
        drop_writes: the next n transactions are lost before they apply, as unknown outcomes.
        before_transact: called before each transaction, to inject races.
    """

    def __init__(self) -> None:
        self.state = TableState()
        self.down = False
        self.lose_answers = 0
        self.drop_writes = 0
        self.before_transact: Callable[[Transaction], None] | None = None
        self.transactions = 0
        self.reads = 0

    def read(self, *, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()) -> list[Row]:
        """Returns a snapshot of the rows."""
        if self.down:
            raise StoreUnavailableError("store is down")
        self.reads += 1
        rows = self.state.read(keys=list(keys), prefixes=list(prefixes))
        return [Row(key=r.key, value=copy.deepcopy(r.value), version=r.version) for r in rows]

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies a transaction, or fails as the faults say."""
        if self.before_transact is not None:
            hook, self.before_transact = self.before_transact, None
            hook(txn)
        if self.down:
            raise StoreUnavailableError("store is down")
        self.transactions += 1
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise StoreOutcomeUnknownError("request lost")
        versions, failed = self.state.transact(
            checks=[(check.key, check.version) for check in txn.checks],
            puts=[(put.key, copy.deepcopy(put.value)) for put in txn.puts],
            deletes=list(txn.deletes),
        )
        if failed:
            raise ConflictError(failed_keys=failed)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("answer lost")
        return versions
