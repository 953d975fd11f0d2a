"""Counts the transactions of a table in the metrics of an instance."""

from fescuerudder.clock import Clock
from fescuerudder.errors import ConflictError, StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.metrics import Metrics, StoreOutcome
from fescuerudder.table import Row, Table, Transaction


class ObservedTable:
    """Table whose transactions are counted by outcome and timed; implements `Table`.

    Args:
        table: the table.
        metrics: metrics of this instance.
        clock: source of time.
    """

    def __init__(self, *, table: Table, metrics: Metrics, clock: Clock) -> None:
        self._table = table
        self._metrics = metrics
        self._clock = clock

    def read(self, *, keys: tuple[str, ...] = (), prefixes: tuple[str, ...] = ()) -> list[Row]:
        """Returns a snapshot of the rows; see `Table.read`."""
        return self._table.read(keys=keys, prefixes=prefixes)

    def transact(self, txn: Transaction) -> dict[str, int]:
        """Applies `txn`; see `Table.transact`."""
        start_s = self._clock.now_s()
        outcome: StoreOutcome = "unknown"
        try:
            versions = self._table.transact(txn)
            outcome = "applied"
        except ConflictError:
            outcome = "conflict"
            raise
        except StoreUnavailableError:
            outcome = "unavailable"
            raise
        except StoreOutcomeUnknownError:
            outcome = "unknown"
            raise
        finally:
            seconds = self._clock.now_s() - start_s
            self._metrics.count_transaction(outcome=outcome, latency_s=seconds)
        return versions
