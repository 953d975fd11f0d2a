"""Rows that request the cancellation of jobs, also of jobs that are not stored yet.

A submission without an answer may be carried out seconds later, also if its instance is gone by
then. So the cancellation of a job that isn't stored is stored, too: an early cancellation. The
leader reads it before it reads the job, and cancels the job as it comes. The early cancellations of
a partition are listed in an index row, which each of their transactions checks, so there are never
more than MAX_EARLY_CANCELLATIONS.
"""

import enum
import json

import attrs
import structlog

from fescuerudder import checked
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.jobs.rows import ABSENT, Row, RowConflictError, RowKey, RowStore, RowTransaction
from fescuerudder.jobs.storage import (
    CANCEL_SUFFIX,
    cancel_key,
    cancellation_index_key,
    ended_key,
    job_key,
)

EARLY_KEPT_S = 300.0
"""Time for which an early cancellation is kept. A late submission comes within seconds; the id of
an ended job isn't free for as long either."""

MAX_EARLY_CANCELLATIONS = 500
"""Number in each partition. A further one is refused until one is outdated."""

MAX_REMOVALS = 2
"""Number of outdated early cancellations that the transaction of a new one removes."""

MAX_CONFLICTS = 5
"""Number of others in the partition that may be stored during one attempt."""

_log = structlog.get_logger(__name__)


class EarlyResult(enum.Enum):
    """What an attempt to store an early cancellation has led to."""

    STORED = "stored"
    JOB_IS_STORED = "job is stored"
    JOB_HAS_ENDED = "job has ended"
    NO_SPACE = "no space"


@attrs.frozen(kw_only=True)
class Cancellation:
    """A stored request to cancel a job.

    Args:
        job_id: the job.
        version: version of its row.
        early_ms: when it was stored although the job was not, on the store's clock in milliseconds;
            None if the job was stored.
    """

    job_id: str
    version: int
    early_ms: int | None = None


@attrs.frozen(kw_only=True)
class CancellationIndex:
    """The early cancellations of a partition.

    Args:
        entries: job id and time of each on the store's clock, in milliseconds; the oldest first.
    """

    entries: tuple[tuple[str, int], ...] = ()

    def outdated(self, now_ms: int) -> list[str]:
        """Returns the ids of the jobs whose early cancellations need not be kept any longer."""
        return [job_id for job_id, at_ms in self.entries if is_outdated(at_ms, now_ms=now_ms)]

    def without(self, *job_ids: str) -> "CancellationIndex":
        """Returns the index without some jobs."""
        kept = tuple(entry for entry in self.entries if entry[0] not in job_ids)
        return CancellationIndex(entries=kept)

    def with_new(self, job_id: str, *, now_ms: int) -> "CancellationIndex":
        """Returns the index with a further job."""
        return CancellationIndex(entries=(*self.entries, (job_id, now_ms)))


def is_outdated(at_ms: int, *, now_ms: int) -> bool:
    """Returns whether an early cancellation has been kept long enough; both times are the store's.

    A time to come shows that the store's clock began anew.
    """
    return not 0 <= now_ms - at_ms < EARLY_KEPT_S * 1000


def load_cancellation(row: Row) -> Cancellation:
    """Returns the cancellation that a row requests; one that can't be read is not early."""
    job_id = row.key.key.removesuffix(CANCEL_SUFFIX)
    try:
        early_ms = checked.load_json(row.value).get("early_ms")
        if early_ms is not None:
            early_ms = checked.whole(early_ms)
    except (AttributeError, ValueError) as exc:
        _log.error("cancellation can't be read", job=job_id, reason=checked.reason(exc))
        early_ms = None
    return Cancellation(job_id=job_id, version=row.version, early_ms=early_ms)


def store_early_cancellation(store: RowStore, job_id: str, *, timeout_s: float) -> EarlyResult:
    """Stores the cancellation of a job unless the job is stored or has ended.

    Args:
        store: the store.
        job_id: the job.
        timeout_s: timeout of each call, in seconds.

    Raises:
        StoreUnavailableError: nothing is stored.
        StoreOutcomeUnknownError: the cancellation may be stored, or may still be.
    """
    for _ in range(MAX_CONFLICTS):
        index, index_version, now_ms = _read_index(store, job_id, timeout_s=timeout_s)
        index = index.without(job_id)
        removed = index.outdated(now_ms)[:MAX_REMOVALS]
        if len(index.entries) - len(removed) >= MAX_EARLY_CANCELLATIONS:
            return EarlyResult.NO_SPACE
        rows = [_read_removable(store, other, timeout_s=timeout_s) for other in removed]
        removable = [row for row in rows if row is not None]
        new_index = index.without(*removed).with_new(job_id, now_ms=now_ms)
        txn = RowTransaction(
            expects=(
                (job_key(job_id), ABSENT),
                (ended_key(job_id), ABSENT),
                (cancellation_index_key(job_id), index_version),
                *((row.key, row.version) for row in removable),
                *((_job_key_of(row), ABSENT) for row in removable),
            ),
            puts=(
                (cancel_key(job_id), _dump({"early_ms": now_ms})),
                (cancellation_index_key(job_id), _dump({"early": new_index.entries})),
            ),
            deletes=tuple(row.key for row in removable),
        )
        try:
            store.write(txn, timeout_s=timeout_s)
            return EarlyResult.STORED
        except RowConflictError as exc:
            current = {row.key for row in exc.rows}
        if job_key(job_id) in current:
            return EarlyResult.JOB_IS_STORED
        if ended_key(job_id) in current:
            return EarlyResult.JOB_HAS_ENDED
    raise StoreUnavailableError("other cancellations of the partition are being stored")


def _read_index(
    store: RowStore, job_id: str, *, timeout_s: float
) -> tuple[CancellationIndex, int, int]:
    """Returns the index of a job's partition, its version, and the time on the store's clock."""
    key = cancellation_index_key(job_id)
    page = store.read(
        table=key.table,
        partition=key.partition,
        first=key.key,
        end=key.key + "\0",
        timeout_s=timeout_s,
    )
    row = next((row for row in page.rows if row.key == key), None)
    if row is None:
        return CancellationIndex(), ABSENT, page.store_ms
    return _load_index(row), row.version, page.store_ms


def _read_removable(store: RowStore, job_id: str, *, timeout_s: float) -> Row | None:
    """Returns the row of an outdated early cancellation, None if it isn't to be removed.

    A leader has removed it already, or its job has come, and the row leaves together with the job.
    """
    key = cancel_key(job_id)
    page = store.read(
        table=key.table,
        partition=key.partition,
        first=job_id,
        end=key.key + "\0",
        timeout_s=timeout_s,
    )
    found = {row.key: row for row in page.rows}
    row = found.get(key)
    if row is None or job_key(job_id) in found or load_cancellation(row).early_ms is None:
        return None
    return row


def _job_key_of(row: Row) -> RowKey:
    return job_key(row.key.key.removesuffix(CANCEL_SUFFIX))


def _dump(raw: dict) -> bytes:
    return json.dumps(raw, separators=(",", ":")).encode()


def _load_index(row: Row) -> CancellationIndex:
    """Returns a deserialized index; one that can't be read counts as empty."""
    try:
        entries = checked.items(checked.load_json(row.value)["early"])
        return CancellationIndex(
            entries=tuple((checked.text(job_id), checked.whole(at)) for job_id, at in entries)
        )
    except (LookupError, TypeError, ValueError) as exc:
        reason = checked.reason(exc)
        _log.error("index of cancellations can't be read", row=row.key.partition, reason=reason)
        return CancellationIndex()
