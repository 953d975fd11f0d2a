"""Removal of old idempotency records by one instance at a time."""

from collections.abc import Callable, Iterable

import structlog
from result import Ok

from fescuerudder.errors import StoreUnavailableError
from fescuerudder.idempotency import Committer
from fescuerudder.rendezvous import first
from fescuerudder.table import Check, Row, Table, Transaction

RETENTION_S = 24 * 3600.0
SWEEP_KEY = "request-retention"
SWEEP_DIGITS = 3
"""Hexadecimal digits of a row key that one step reads: 1/4096 of all records.

With a step each second a round takes 68 minutes, short against the retention.
"""

SWEEP_BATCH = 25
"""Most rows removed in one step, so that a backlog does not crowd out other writes."""

_log = structlog.get_logger(__name__)


class RecordSweeper:
    """Removes finished records `RETENTION_S` after their end.

    The time in a record is wall-clock time of the instance that wrote it. Clocks that differ
    by minutes only shift the end of a retention of a day; no guarantee rests on it before that.
    Two instances that both rank first for a moment are harmless: each delete checks a version.

    Args:
        instance: id of this instance.
        live: returns the live instances.
        table: for reading records.
        committer: for removing them.
        wall_s: returns the wall-clock time.
    """

    def __init__(
        self,
        *,
        instance: str,
        live: Callable[[], Iterable[str]],
        table: Table,
        committer: Committer,
        wall_s: Callable[[], float],
    ) -> None:
        self._instance = instance
        self._live = live
        self._table = table
        self._committer = committer
        self._wall_s = wall_s
        self._part = 0

    def step(self) -> int:
        """Removes expired records of one part of the keys; returns how many."""
        if first(key=SWEEP_KEY, nodes=self._live()) != self._instance:
            return 0
        try:
            rows = self._table.read(prefixes=(f"request/{self._part:0{SWEEP_DIGITS}x}",))
        except StoreUnavailableError as exc:
            _log.debug("records were not swept", reason=str(exc))
            return 0
        expired = [row for row in rows if self._is_expired(row)]
        batch = expired[:SWEEP_BATCH]
        removed = sum(self._remove(batch))
        if len(batch) == len(expired):
            self._part = (self._part + 1) % 16**SWEEP_DIGITS
        return removed

    def _is_expired(self, row: Row) -> bool:
        finished_at_s = row.value.get("finished_at_s")
        if row.value.get("state") != "finished" or not isinstance(finished_at_s, int | float):
            return False
        return self._wall_s() - finished_at_s >= RETENTION_S

    def _remove(self, rows: list[Row]) -> list[bool]:
        """Submits all deletes at once, which the committer groups."""
        futures = [
            self._committer.submit(
                Transaction(
                    checks=(Check(key=row.key, version=row.version),),
                    deletes=(row.key,),
                )
            )
            for row in rows
        ]
        return [isinstance(fut.result(), Ok) for fut in futures]
