"""Accepts callers' jobs, cancellations and queries at any instance."""

import random
import threading
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.clock import Clock
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.cancellations import EarlyResult, store_early_cancellation
from fescuerudder.jobs.claim import load_heartbeat
from fescuerudder.jobs.endedjobs import load_ended
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.jobstates import JobStates
from fescuerudder.jobs.linkmessages import StoreJob
from fescuerudder.jobs.progress import StoredFormError, dump_job, load_state
from fescuerudder.jobs.rows import (
    ABSENT,
    MAX_ROW_BYTES,
    RowConflictError,
    RowKey,
    RowStore,
    RowTransaction,
    read_row,
)
from fescuerudder.jobs.storage import (
    CANCEL_SUFFIX,
    HEARTBEAT_KEY,
    JOBS_TABLE,
    cancel_key,
    ended_key,
    job_key,
    partition_of,
    progress_key,
)

WRITE_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 1.0
WRITE_RETRY_S = 0.1
RETRY_AFTER_S = 0.2
"""Time after which a caller may retry if nothing is known about the cause."""

MIN_OUTAGE_RETRY_S = 0.5
MAX_OUTAGE_RETRY_S = 2.0
RETRY_SPREAD = 0.25
"""In an outage, callers are asked to return after as long as it has lasted, within these bounds and
spread by this share, so that they don't return together."""

RETRIES_LEFT = 4
"""Number of further tries for which a refused caller must have time before it gives up."""

MAX_WRITE_S = 1.0
"""Longest time of the attempts to store a row; the caller may soon retry."""

MIN_ATTEMPT_S = 0.25
"""Shortest time for a further attempt. One that is cut short leaves the outcome unknown, which is
worse for the caller than a certain refusal."""

SHORT_OUTAGE_S = 0.6
"""Age up to which an outage of the store may end soon enough to wait for; in an older one callers
are refused at once."""

PROBE_TIMEOUT_S = 0.3
RELAY_TIMEOUT_S = 1.0

STORED = "stored"
EXISTED = "existed"
"""Outcome of creating a row that is there already; only this instance knows it."""

REFUSED = "refused"
UNKNOWN = "unknown"

_SETTLED = frozenset({STORED, EXISTED, *EarlyResult})
"""Outcomes after which a write isn't tried again."""

NO_SPACE_RETRY_S = 10.0
"""Time after which a cancellation may be repeated that was refused for want of space."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request was not served.

    Args:
        reason: for the log and the caller.
        ran: None if it is unknown whether the request took effect, otherwise False.
        retry_after_s: time after which the caller may retry.
        is_final: the request is never served, however often it is repeated.
    """

    reason: str
    ran: bool | None = False
    retry_after_s: float = RETRY_AFTER_S
    is_final: bool = False


class LeaderPort(Protocol):
    """Access to the leader, be it another instance or this one."""

    @property
    def is_connected(self) -> bool:
        """Whether this instance leads or is connected to the leader."""

    @property
    def can_relay(self) -> bool:
        """Whether another instance leads, which may reach the store for this one."""

    @property
    def pending(self) -> dict[str, int] | None:
        """Number of waiting jobs of each queue, None if the leader hasn't reported it yet."""

    def store(self, message: StoreJob, *, timeout_s: float) -> str:
        """Asks the leader to store a row; returns an outcome as in `StoreOutcome`."""


class JobIntake:
    """Stores jobs and cancellations and answers queries about jobs.

    Args:
        store: the store.
        clock: source of time.
        wall_ms: returns Unix time in milliseconds.
        states: job states that this instance knows.
        leader: access to the leader.
        store_down_s: returns for how long all calls of the store have failed, 0 if they haven't.
        rng: source of randomness.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        wall_ms: Callable[[], float],
        states: JobStates,
        leader: LeaderPort,
        store_down_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._wall_ms = wall_ms
        self._states = states
        self._leader = leader
        self._store_down_s = store_down_s
        self._rng = rng
        self._probe_lock = threading.Lock()

    def submit(self, job: Job, *, deadline_s: float) -> Result[None, Refusal]:
        """Stores a job once; Ok means that it is stored, by this call or an earlier one.

        A job that was cancelled before it was stored is stored as well, and shown as cancelled.

        Args:
            job: the job.
            deadline_s: the caller's deadline, on this instance's clock.
        """
        known = self._states.get(job.id)
        if known is not None and known.is_final:
            return Ok(None)
        timed = attrs.evolve(job, submitted_ms=int(self._wall_ms()))
        row = StoreJob(key=job.id, value=dump_job(timed), creates=True)
        if len(row.value) > MAX_ROW_BYTES:
            return Err(Refusal(reason=f"the job exceeds {MAX_ROW_BYTES} bytes", is_final=True))
        stored = self._write(row, job_id=job.id, deadline_s=deadline_s)
        if stored.ok() == STORED:
            # What was there already may have ended.
            self._states.update(job.id, JobState.QUEUED)
        return stored.map(lambda _: None)

    def cancel(self, job_id: str, *, deadline_s: float) -> Result[bool, Refusal]:
        """Stores the request to cancel a job.

        Ok(False) means that there is no such job. If a submission is still on its way, the job that
        it stores is cancelled, too.
        """
        known = self.state(job_id)
        if known.is_err():
            return known
        if known.ok() is None:
            return self._cancel_absent(job_id, deadline_s=deadline_s)
        if known.ok().is_final:
            return Ok(True)
        return self._cancel_stored(job_id, deadline_s=deadline_s)

    def _cancel_stored(self, job_id: str, *, deadline_s: float) -> Result[bool, Refusal]:
        row = StoreJob(key=job_id + CANCEL_SUFFIX, value=b"{}", creates=False)
        return self._write(row, job_id=job_id, deadline_s=deadline_s).map(lambda _: True)

    def _cancel_absent(self, job_id: str, *, deadline_s: float) -> Result[bool, Refusal]:
        """Cancels a job that wasn't found, but may be stored later; see `cancellations`."""
        written = self._repeat(
            lambda timeout_s: {self._try_early_cancellation(job_id, timeout_s=timeout_s)},
            job_id=job_id,
            row=cancel_key(job_id).key,
            deadline_s=deadline_s,
        )
        if written.is_err():
            return written
        _log.info("job cancelled that isn't stored", job=job_id, result=written.ok().value)
        match written.ok():
            case EarlyResult.JOB_IS_STORED:
                return self._cancel_stored(job_id, deadline_s=deadline_s)
            case EarlyResult.NO_SPACE:
                reason = "too many cancellations of jobs that aren't stored"
                return Err(Refusal(reason=reason, retry_after_s=NO_SPACE_RETRY_S))
            case result:
                return Ok(result is EarlyResult.JOB_HAS_ENDED)

    def _try_early_cancellation(self, job_id: str, *, timeout_s: float) -> EarlyResult | str:
        """Tries to store an early cancellation; returns the result, REFUSED or UNKNOWN."""
        try:
            return store_early_cancellation(self._store, job_id, timeout_s=timeout_s)
        except StoreUnavailableError as exc:
            _log.info("store did not take a cancellation", job=job_id, reason=str(exc))
            return REFUSED
        except StoreOutcomeUnknownError as exc:
            _log.info("store may have taken a cancellation", job=job_id, reason=str(exc))
            return UNKNOWN

    def _write(self, row: StoreJob, *, job_id: str, deadline_s: float) -> Result[str, Refusal]:
        """Tries to write a row until it is stored or the time for attempts ends.

        Ok is STORED or EXISTED.
        """
        return self._repeat(
            lambda timeout_s: self._try_write(row, timeout_s=timeout_s),
            job_id=job_id,
            row=row.key,
            deadline_s=deadline_s,
        )

    def _repeat(
        self,
        attempt: Callable[[float], set[Any]],
        *,
        job_id: str,
        row: str,
        deadline_s: float,
    ) -> Result[Any, Refusal]:
        """Repeats an attempt until its outcome is settled or the time for attempts ends.

        Args:
            attempt: takes its timeout in seconds, and returns its outcomes.
            job_id: the job.
            row: key of the row, for the log.
            deadline_s: the caller's deadline, on this instance's clock.
        """
        started_s = self._clock.now_s()
        outcomes: set[Any] = set()
        left_s = min(deadline_s - started_s, MAX_WRITE_S)
        while left_s > 0.0:
            outcomes |= attempt(min(WRITE_TIMEOUT_S, left_s))
            settled = outcomes & _SETTLED
            if settled:
                return Ok(settled.pop())
            _log.warning("not stored yet", job=job_id, row=row, outcomes=sorted(outcomes))
            until_s = min(deadline_s, self._retry_until_s(started_s, outcomes))
            left_s = until_s - self._clock.now_s() - WRITE_RETRY_S
            if left_s < self._min_attempt_s():
                break
            self._clock.wait_s(threading.Event(), WRITE_RETRY_S)
        ran = None if UNKNOWN in outcomes else False
        return Err(
            Refusal(
                reason="store not reached in time",
                ran=ran,
                retry_after_s=self._retry_after_s(deadline_s),
            )
        )

    def _retry_until_s(self, started_s: float, outcomes: set[str]) -> float:
        """Returns until when a request that started at `started_s` is retried."""
        has_leader = self._leader.can_relay and REFUSED not in outcomes
        down_s = self._store_down_s()
        if not down_s or has_leader:
            return started_s + MAX_WRITE_S
        return self._clock.now_s() - down_s + SHORT_OUTAGE_S

    def _min_attempt_s(self) -> float:
        """Returns the shortest time for a further attempt; a mere probe of the store needs none."""
        return MIN_ATTEMPT_S if self._leader.can_relay or not self._store_down_s() else 0.0

    def _retry_after_s(self, deadline_s: float) -> float:
        """Returns the time after which a refused caller may retry; it gives up at `deadline_s`."""
        down_s = self._store_down_s()
        if not down_s:
            return RETRY_AFTER_S
        expected_s = min(MAX_OUTAGE_RETRY_S, max(MIN_OUTAGE_RETRY_S, down_s))
        patience_s = (deadline_s - self._clock.now_s()) / RETRIES_LEFT
        expected_s = max(RETRY_AFTER_S, min(expected_s, patience_s))
        return expected_s * self._rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)

    def _try_write(self, row: StoreJob, *, timeout_s: float) -> set[str]:
        """Tries to store a row here, then at the leader; returns the outcomes.

        No write is sent to a store that is down: while none was sent, it is certain that the row
        isn't stored, and a write without an answer would use up the caller's time.
        """
        outcomes = set()
        if not self._store_down_s():
            outcomes.add(store_row(self._store, row, timeout_s=timeout_s))
        if not outcomes & _SETTLED and self._leader.can_relay:
            outcomes.add(self._leader.store(row, timeout_s=timeout_s))
        if not outcomes:
            self._probe()
        return outcomes

    def relay(self, row: StoreJob) -> str:
        """Stores a row for an instance that can't reach the store; see `StoreOutcome`."""
        if self._store_down_s():
            return REFUSED
        outcome = store_row(self._store, row, timeout_s=RELAY_TIMEOUT_S)
        return STORED if outcome == EXISTED else outcome

    def _probe(self) -> None:
        """Reads a row to find out whether the store answers again; one caller at a time."""
        if not self._probe_lock.acquire(blocking=False):
            return
        try:
            read_row(self._store, HEARTBEAT_KEY, timeout_s=PROBE_TIMEOUT_S)
        except StoreUnavailableError as exc:
            _log.debug("store is still down", reason=str(exc))
        finally:
            self._probe_lock.release()

    def state(self, job_id: str) -> Result[JobState | None, Refusal]:
        """Returns the state of a job; Ok(None) means that there is no such job."""
        known = self._states.get(job_id)
        if known is not None and (known.is_final or self._leader.is_connected):
            return Ok(known)
        try:
            state = self._read_state(job_id)
        except (StoreUnavailableError, StoredFormError) as exc:
            _log.warning("state of a job not known", job=job_id, reason=str(exc))
            return Ok(known) if known is not None else Err(Refusal(reason=str(exc)))
        if state is not None and not state.is_final:
            # A final state may be about to be removed, and is not to be shown after that.
            self._states.update(job_id, state)
        return Ok(state)

    def _read_state(self, job_id: str) -> JobState | None:
        """Returns the stored state of a job, None if there is none.

        In this order each row is read before the leader may have removed it: it moves an ended
        job's row, and only then deletes its progress.
        """
        for key, load in (
            (progress_key(job_id), load_state),
            (job_key(job_id), lambda data: JobState.QUEUED),
            (ended_key(job_id), lambda data: load_ended(data).state),
        ):
            row = read_row(self._store, key, timeout_s=READ_TIMEOUT_S)
            if row is not None:
                return load(row.value)
        return None

    def pending(self, queue: str) -> Result[int, Refusal]:
        """Returns the number of jobs of a queue of which no task has started."""
        reported = self._leader.pending
        if self._leader.is_connected and reported is not None:
            return Ok(reported.get(queue, 0))
        try:
            row = read_row(self._store, HEARTBEAT_KEY, timeout_s=READ_TIMEOUT_S)
            counts = load_heartbeat(row.value).pending if row is not None else None
        except (StoreUnavailableError, StoredFormError) as exc:
            _log.warning("waiting jobs not known", queue=queue, reason=str(exc))
            return Err(Refusal(reason=str(exc)))
        if counts is None:
            return Err(Refusal(reason="no leader has counted the waiting jobs yet"))
        return Ok(counts.get(queue, 0))


def store_row(store: RowStore, row: StoreJob, *, timeout_s: float) -> str:
    """Stores a row of the table of jobs; returns an outcome as in `StoreOutcome`, or EXISTED."""
    key = RowKey(JOBS_TABLE, partition_of(row.key.removesuffix(CANCEL_SUFFIX)), row.key)
    # An ended job has left the table of jobs, and is not to be created again.
    expects = ((key, ABSENT), (ended_key(row.key), ABSENT)) if row.creates else ()
    try:
        store.write(RowTransaction(expects=expects, puts=((key, row.value),)), timeout_s=timeout_s)
    except RowConflictError:
        # The job was stored by an earlier attempt of its caller.
        return EXISTED
    except StoreUnavailableError as exc:
        _log.info("store did not take a row", row=row.key, reason=str(exc))
        return REFUSED
    except StoreOutcomeUnknownError as exc:
        _log.info("store may have taken a row", row=row.key, reason=str(exc))
        return UNKNOWN
    return STORED
