"""Writer of the leader's rows: a chain of transactions that fails once another instance claims."""

import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.jobs.claim import Claim, Heartbeat, dump_row
from fescuerudder.jobs.rows import (
    ABSENT,
    MAX_TXN_ROWS,
    Row,
    RowConflictError,
    RowKey,
    RowStore,
    RowTransaction,
)
from fescuerudder.jobs.storage import CLAIM_KEY, HEARTBEAT_KEY, progress_key

WRITE_TIMEOUT_S = 1.5
"""Timeout of one attempt to write; a slow store needs most of a second."""

ROWS_PER_TXN = MAX_TXN_ROWS - 6
"""Progress rows of one transaction; the other six are reserved for the leader's own rows."""

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
        self.confirmed_s = clock.now_s()

    def write(
        self,
        rows: dict[str, bytes],
        *,
        pending: dict[str, int],
        leader_rows: dict[RowKey, bytes] | None = None,
    ) -> None:
        """Stores progress rows by job id, a heartbeat and `leader_rows`.

        At most three `leader_rows` fit.
        After a StoreOutcomeUnknownError call `resolve` until it returns. The rows of the
        unresolved transaction are stored then; later rows of the call are not.

        Raises:
            LeadershipLostError: another instance leads.
            StoreUnavailableError: nothing of the current transaction was stored.
            StoreOutcomeUnknownError: a transaction may have been, or may still be, applied.
        """
        names = list(rows)
        for first in range(0, len(names) or 1, ROWS_PER_TXN):
            part = names[first : first + ROWS_PER_TXN]
            self._count += 1
            heartbeat = Heartbeat(epoch=self._claim.epoch, count=self._count, pending=pending)
            self._unresolved = RowTransaction(
                expects=(
                    (CLAIM_KEY, self._claim_version),
                    (HEARTBEAT_KEY, self._heartbeat_version),
                ),
                puts=(
                    (HEARTBEAT_KEY, dump_row(heartbeat)),
                    *((progress_key(name), rows[name]) for name in part),
                    *(leader_rows or {}).items(),
                ),
            )
            leader_rows = None
            self.resolve()

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
        self.confirmed_s = sent_s
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
