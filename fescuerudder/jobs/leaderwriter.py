"""Writer of the leader's rows: a chain of transactions that fails once another instance claims."""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
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
from fescuerudder.jobs.storage import (
    CLAIM_KEY,
    DEADLINES_KEY,
    HEARTBEAT_KEY,
    LEASES_KEY,
    ROSTER_KEY,
    job_of,
    roster_row_number,
)

WRITE_TIMEOUT_S = 1.5
"""Timeout of one attempt to write; a slow store needs most of a second."""

ENTRIES_PER_TXN = MAX_TXN_ROWS - 8
"""Rows of jobs that one transaction writes or deletes; the other eight entries are reserved for the
leader's own rows."""

OWN_ENTRIES = 4
"""Entries of each transaction for the claim, the heartbeat, its version and the bound on leases."""

MAX_PART_BYTES = 500_000
"""Size of the values that one transaction writes; the store takes 1 MB, encoded in base64."""

STORE_RETRY_S = 0.2
MIN_RESOLVE_PAUSE_S = 0.025
"""Pause after the second write without an answer in a row; it doubles with each further one. A
store that resets its connections would be asked a hundred times a second otherwise."""

BOUND_INTERVAL_S = 0.3
"""Time between two bounds on leases, if there are so many writes."""

_log = structlog.get_logger(__name__)


class LeadershipLostError(PlatformError):
    """Nothing was written because another instance has claimed the leadership."""


@attrs.frozen(kw_only=True)
class RowGroup:
    """Rows that are written together, or are isolated together if the store rejects them.

    Args:
        name: the job's id; for the leader's own rows the key of the first one.
        puts: rows to write.
        deletes: rows to delete.
    """

    name: str
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()

    @property
    def entries(self) -> int:
        """Number of its entries in a transaction."""
        return len(self.puts) + len(self.deletes)

    @property
    def size(self) -> int:
        """Size of its values in bytes."""
        return sum(len(value) for _, value in self.puts)


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
        inherited_until_ms: when the leases of earlier leaders have ended, on the store's clock; no
            bound ends earlier.
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
        self._unresolved_until_ms = self._stored_until_ms = self._longest_until_ms = 0

    def write(
        self,
        rows: dict[RowKey, bytes],
        *,
        pending: dict[str, int] | None,
        deletes: Sequence[RowKey] = (),
        leader_rows: dict[RowKey, bytes] | None = None,
        starts_recorded: bool = False,
        leases_until_s: float = 0.0,
    ) -> frozenset[RowGroup]:
        """Stores rows and a heartbeat, and deletes rows; returns the groups that were rejected.

        What doesn't fit into one transaction is stored in this order: `rows`, `deletes`, and with
        the last transaction `leader_rows`, which must fit into one. The rows of a job are stored
        together, unless they alone don't fit. The heartbeats that follow say of the records of
        starts what `starts_recorded` does, unless rows were rejected. The bound on leases that is
        stored with or before them covers `leases_until_s`, on this instance's clock.
        After a StoreOutcomeUnknownError call `resolve` until it returns. The rows of the
        unresolved transaction are stored then; later rows of the call are not.

        Raises:
            LeadershipLostError: another instance leads.
            StoreUnavailableError: nothing of the current transaction was stored.
            StoreOutcomeUnknownError: a transaction may have been, or may still be, applied.
        """
        self._cover_leases(leases_until_s)
        rejected: list[RowGroup] = []
        for part in _split(rows, deletes, leader_rows or {}):
            rejected += self._write_part(part, pending)
        if not rejected:
            self.starts_recorded = starts_recorded
        return frozenset(rejected)

    def _write_part(
        self, part: Sequence[RowGroup], pending: dict[str, int] | None
    ) -> list[RowGroup]:
        """Stores the groups of one transaction; returns those that the store rejects."""
        try:
            self._write_groups(part, pending)
        except StoreRejectedError as exc:
            if not part:
                # Not even the heartbeat is taken, so no row is the cause.
                raise StoreUnavailableError(str(exc)) from exc
            # Keeps the leadership meanwhile, and tells one rejected row from a store that rejects
            # everything.
            self._write_part((), pending)
            return self._find_rejected(part, pending)
        return []

    def _find_rejected(
        self, part: Sequence[RowGroup], pending: dict[str, int] | None
    ) -> list[RowGroup]:
        """Stores the groups of a rejected transaction by halves; returns those that are rejected.

        One rejected group among n costs 2 x log2(n) transactions.
        """
        if len(part) == 1:
            return list(part)
        rejected: list[RowGroup] = []
        middle = len(part) // 2
        for half in (part[:middle], part[middle:]):
            try:
                self._write_groups(half, pending)
            except StoreRejectedError:
                rejected += self._find_rejected(half, pending)
        return rejected

    def _write_groups(self, groups: Sequence[RowGroup], pending: dict[str, int] | None) -> None:
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
                *(put for group in groups for put in group.puts),
            ),
            deletes=tuple(key for group in groups for key in group.deletes),
        )
        self.resolve()

    def _cover_leases(self, until_s: float) -> None:
        """Makes all further bounds cover leases until a time on this instance's clock."""
        if self.store_clock is None:
            return
        until_ms = self.store_clock.latest_ms(until_s)
        if until_ms > max(self._stored_until_ms, self._longest_until_ms):
            self._longest_until_ms, self._next_bound_s = until_ms, -math.inf

    def _bound_rows(self) -> list[tuple[RowKey, bytes]]:
        """Returns the row with a new bound on leases if one is due."""
        now_s, self._unresolved_bound_s = self._clock.now_s(), None
        if self.store_clock is None or now_s < self._next_bound_s:
            return []
        self._unresolved_bound_s = now_s
        until_ms = max(
            self.store_clock.latest_ms(now_s + BOUND_S),
            self.inherited_until_ms,
            self._longest_until_ms,
        )
        self._unresolved_until_ms = until_ms
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
        except StoreRejectedError:
            self._unresolved = None
            raise
        except StoreUnavailableError:
            raise
        except StoreOutcomeUnknownError as exc:
            _log.warning("leader write without an answer", reason=str(exc))
            raise
        self._heartbeat_version = version
        self.confirmed_s, self.answered_s = sent_s, self._clock.now_s()
        if self._unresolved_bound_s is not None:
            self.bounded_s = self._unresolved_bound_s
            self._stored_until_ms = self._unresolved_until_ms
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


def _split(
    rows: Mapping[RowKey, bytes], deletes: Iterable[RowKey], leader_rows: Mapping[RowKey, bytes]
) -> list[list[RowGroup]]:
    """Returns the groups of each transaction; the leader's own rows are in the last one."""
    parts: list[list[RowGroup]] = [[]]
    for group in (*_job_groups(rows), *(_delete_group(key) for key in deletes)):
        if not _has_space(parts[-1], group):
            parts.append([])
        parts[-1].append(group)
    own = _leader_groups(leader_rows)
    last = (*parts[-1], *own)
    is_too_large = sum(group.size for group in last) > MAX_PART_BYTES
    if is_too_large or sum(group.entries for group in last) > MAX_TXN_ROWS - OWN_ENTRIES:
        parts.append([])
    parts[-1] += own
    return parts


def _has_space(part: Sequence[RowGroup], group: RowGroup) -> bool:
    entries = sum(other.entries for other in part) + group.entries
    size = sum(other.size for other in part) + group.size
    return not part or (entries <= ENTRIES_PER_TXN and size <= MAX_PART_BYTES)


def _job_groups(rows: Mapping[RowKey, bytes]) -> list[RowGroup]:
    """Returns the rows by job, those of a job together as far as they fit."""
    by_job: dict[str, list[tuple[RowKey, bytes]]] = {}
    for key, value in rows.items():
        by_job.setdefault(job_of(key), []).append((key, value))
    groups = []
    for job, puts in by_job.items():
        first, size = 0, 0
        for number, (_, value) in enumerate(puts):
            is_full = number - first == ENTRIES_PER_TXN or size + len(value) > MAX_PART_BYTES
            if is_full and number > first:
                groups.append(RowGroup(name=job, puts=tuple(puts[first:number])))
                first, size = number, 0
            size += len(value)
        groups.append(RowGroup(name=job, puts=tuple(puts[first:])))
    return groups


def _delete_group(key: RowKey) -> RowGroup:
    return RowGroup(name=job_of(key), deletes=(key,))


def _leader_groups(rows: Mapping[RowKey, bytes]) -> list[RowGroup]:
    """Returns the leader's own rows; the roster is valid only as a whole, with its deadlines."""
    roster = {
        key: value
        for key, value in rows.items()
        if key in (ROSTER_KEY, DEADLINES_KEY) or roster_row_number(key)
    }
    others = [(key, value) for key, value in rows.items() if key not in roster]
    groups = [RowGroup(name=key.key, puts=((key, value),)) for key, value in others]
    if roster:
        groups.append(RowGroup(name=ROSTER_KEY.key, puts=tuple(roster.items())))
    return groups
