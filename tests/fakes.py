"""Fakes of platform interfaces, for tests of the scheduler's decisions in one process."""

from collections.abc import Callable

from fescuerudder.errors import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.memorytable import MemoryTable
from fescuerudder.table import Row, Transaction


class FakeTable:
    """In-memory table with fault injection.

    Attributes:
        down: whether every call fails without effect.
        lose_answers: number of next transactions that apply but whose answers are lost.
        drop_writes: number of next transactions that do not apply and whose outcome is unknown.
        before_transact: called once before the next transaction, to inject races.
    """

    def __init__(self) -> None:
        self.state = MemoryTable()
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
        return self.state.read(keys=keys, prefixes=prefixes)

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies a transaction, or fails according to the injected faults."""
        if self.before_transact is not None:
            hook, self.before_transact = self.before_transact, None
            hook(txn)
        if self.down:
            raise StoreUnavailableError("store is down")
        self.transactions += 1
        if self.drop_writes > 0:
            self.drop_writes -= 1
            raise StoreOutcomeUnknownError("request lost")
        versions = self.state.transact(txn)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("answer lost")
        return versions
