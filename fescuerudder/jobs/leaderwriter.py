"""Writer of the leader's rows: a chain of transactions that fails once another instance claims."""

import math
from collections.abc import Iterable, Sequence

import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.jobs.claim import Claim, Heartbeat, LeaseBound, dump_row
from fescuerudder.jobs.leases import BOUND_S
from fescuerudder.jobs.rows import (
    ABSENT,
    MAX_TXN_ROWS,
    Row,
    RowConflictError,
    RowKey,
    RowStore,
    RowTransaction,
    StoreClock,
)
from fescuerudder.jobs.storage import CLAIM_KEY, HEARTBEAT_KEY, LEASES_KEY, job_of

WRITE_TIMEOUT_S = 1.5
"""Timeout of one attempt to write; a slow store needs most of a second."""

ENTRIES_PER_TXN = MAX_TXN_ROWS - 7
"""Rows of jobs that one transaction writes or deletes; the other seven entries are reserved for the
leader's own rows."""

STORE_RETRY_S = 0.2
MIN_RESOLVE_PAUSE_S = 0.025
"""Pause after the second write without an answer in a row; it doubles with each further one. A
store that resets its connections would be asked a hundred times a second otherwise."""

BOUND_INTERVAL_S = 0.3
"""Time between two bounds on leases, if there are so many writes."""

_log = structlog.get_logger(__name__)


class LeadershipLostError(PlatformError):
    """Nothing was written because another instance has claimed the leadership."""


class LeaderWriter:
    """Stores progress and heartbeats, one transaction after another.

    Each transaction expects the versions of the claim and of the heartbeat that the previous
    transaction wrote. So a write whose answer was lost can't be applied twice or out of order,
    even seconds later.

    Args:
        store: the store.
        clock: source of time.
        claim: the claim of this term.
        claim_version: version of its row, and of the heartbeat row that was written with it.

    Attributes:
        confirmed_s: when the last transaction that is known to be stored was sent.
        answered_s: when the answer that says so arrived.
        starts_recorded: what the heartbeats say of the records of starts.
        store_clock: reading of the store's clock, None to store no bounds on leases.
        inherited_until_ms: when the leases of earlier leaders have ended, on the store's clock.
        bounded_s: when the last bound that is known to be stored was made; the claim counts as one.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        claim: Claim,
        claim_version: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._claim = claim
        self._claim_version = claim_version
        self._heartbeat_version = claim_version
        self._count = 0
        self._unresolved: RowTransaction | None = None
        self.confirmed_s = self.answered_s = clock.now_s()
        self.starts_recorded = False
        self.store_clock: StoreClock | None = None
        self.inherited_until_ms = 0
        self.bounded_s = clock.now_s()
        self._next_bound_s = -math.inf
        self._unresolved_bound_s: float | None = None

    def write(
        self,
        rows: dict[RowKey, bytes],
        *,
        pending: dict[str, int],
        deletes: Sequence[RowKey] = (),
        leader_rows: dict[RowKey, bytes] | None = None,
        starts_recorded: bool = False,
    ) -> None:
        """Stores rows and a heartbeat, and deletes rows.

        What doesn't fit into one transaction is stored in this order: `rows`, `deletes`, and with
        the last transaction `leader_rows`, of which at most three fit. The rows of a job are stored
        together, unless they alone don't fit. The heartbeats that follow say of the records of
        starts what `starts_recorded` does.
        After a StoreOutcomeUnknownError call `resolve` until it returns. The rows of the
        unresolved transaction are stored then; later rows of the call are not.

        Raises:
            LeadershipLostError: another instance leads.
            StoreUnavailableError: nothing of the current transaction was stored.
            StoreOutcomeUnknownError: a transaction may have been, or may still be, applied.
        """
        parts = _split(rows, deletes)
        for part in parts:
            is_last = part is parts[-1]
            self._count += 1
            heartbeat = Heartbeat(
                epoch=self._claim.epoch,
                count=self._count,
                pending=pending,
                starts_recorded=self.starts_recorded,
            )
            self._unresolved = RowTransaction(
                expects=(
                    (CLAIM_KEY, self._claim_version),
                    (HEARTBEAT_KEY, self._heartbeat_version),
                ),
                puts=(
                    (HEARTBEAT_KEY, dump_row(heartbeat)),
                    *self._bound_rows(),
                    *((key, rows[key]) for key in part if key in rows),
                    *((leader_rows or {}).items() if is_last else ()),
                ),
                deletes=tuple(key for key in part if key not in rows),
            )
            self.resolve()
        self.starts_recorded = starts_recorded

    def _bound_rows(self) -> list[tuple[RowKey, bytes]]:
        """Returns the row with a new bound on leases if one is due."""
        now_s, self._unresolved_bound_s = self._clock.now_s(), None
        if self.store_clock is None or now_s < self._next_bound_s:
            return []
        self._unresolved_bound_s = now_s
        until_ms = max(self.store_clock.latest_ms(now_s + BOUND_S), self.inherited_until_ms)
        bound = LeaseBound(epoch=self._claim.epoch, until_ms=until_ms)
        return [(LEASES_KEY, dump_row(bound))]

    def resolve(self) -> None:
        """Writes the unresolved transaction, again if an earlier attempt got no answer.

        Raises the same errors as `write`.
        """
        txn = self._unresolved
        if txn is None:
            return
        sent_s = self._clock.now_s()
        try:
            version = self._store.write(txn, timeout_s=WRITE_TIMEOUT_S)
        except RowConflictError as exc:
            version = self._find_applied(txn, exc.rows)
        except StoreUnavailableError:
            raise
        except StoreOutcomeUnknownError as exc:
            _log.warning("leader write without an answer", reason=str(exc))
            raise
        self._heartbeat_version = version
        self.confirmed_s, self.answered_s = sent_s, self._clock.now_s()
        if self._unresolved_bound_s is not None:
            self.bounded_s = self._unresolved_bound_s
            self._next_bound_s = self.bounded_s + BOUND_INTERVAL_S
        self._unresolved = None

    def _find_applied(self, txn: RowTransaction, rows: tuple[Row, ...]) -> int:
        """Returns the version under which an earlier attempt at `txn` was applied.

        Raises:
            LeadershipLostError: no attempt was applied; another instance wrote the claim or the
                heartbeat.
        """
        current: dict[RowKey, Row] = {row.key: row for row in rows}
        claim, heartbeat = current.get(CLAIM_KEY), current.get(HEARTBEAT_KEY)
        written = dict(txn.puts)[HEARTBEAT_KEY]
        is_ours = claim is not None and claim.version == self._claim_version
        if is_ours and heartbeat is not None and heartbeat.value == written:
            return heartbeat.version
        raise LeadershipLostError(
            f"the claim has version {claim.version if claim else ABSENT}, "
            f"not {self._claim_version}"
        )


def resolve_pause_s(unanswered: int) -> float:
    """Returns the pause after a write without an answer: none at first, then up to STORE_RETRY_S.

    Args:
        unanswered: number of writes without an answer before it, one after another.
    """
    return min(STORE_RETRY_S, MIN_RESOLVE_PAUSE_S * 2 ** (unanswered - 1)) if unanswered else 0.0


def _split(rows: Iterable[RowKey], deletes: Iterable[RowKey]) -> list[list[RowKey]]:
    """Returns the keys of each transaction: `rows`, those of a job together, then `deletes`."""
    by_job: dict[str, list[RowKey]] = {}
    for key in rows:
        by_job.setdefault(job_of(key), []).append(key)
    parts: list[list[RowKey]] = [[]]
    for group in [*by_job.values(), *([key] for key in deletes)]:
        if len(parts[-1]) + len(group) > ENTRIES_PER_TXN and parts[-1]:
            parts.append([])
        for first in range(0, len(group), ENTRIES_PER_TXN):
            if first:
                parts.append([])
            parts[-1] += group[first : first + ENTRIES_PER_TXN]
    return parts
