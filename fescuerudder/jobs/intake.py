"""Takes callers' jobs, cancellations and questions at any instance."""

import threading
from collections import OrderedDict
from collections.abc import Callable

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.clock import Clock
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.claim import load_heartbeat
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.progress import dump_job, load_state
from fescuerudder.jobs.rows import ABSENT, RowConflictError, RowStore, RowsTxn
from fescuerudder.jobs.storage import HEARTBEAT, PROGRESS, cancel_key, job_key, progress_key

WRITE_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 1.0
RETRY_S = 0.1
RETRY_AFTER_S = 1.0
MAX_KNOWN_STATES = 20_000

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request was not served.

    Args:
        reason: for the log and the caller.
        ran: None if it is unknown whether the request took effect, otherwise False.
        retry_after_s: when to come back.
    """

    reason: str
    ran: bool | None = False
    retry_after_s: float = RETRY_AFTER_S


class JobStates:
    """States of jobs as this instance knows them; bounded, the oldest are forgotten first."""

    def __init__(self) -> None:
        self._states: OrderedDict[str, JobState] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, job_id: str, state: JobState) -> None:
        """Notes a state; a final one stays."""
        with self._lock:
            known = self._states.get(job_id)
            if known is not None and known.is_final:
                return
            self._states[job_id] = state
            while len(self._states) > MAX_KNOWN_STATES:
                self._states.popitem(last=False)

    def get(self, job_id: str) -> JobState | None:
        """Returns the state that was last noted."""
        with self._lock:
            return self._states.get(job_id)


class JobIntake:
    """Stores jobs and cancellations and answers questions about jobs.

    Args:
        store: the store.
        clock: source of time.
        states: what this instance knows of jobs.
        ask_leader: returns the state of a job if the leader is here and knows it.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        clock: Clock,
        states: JobStates,
        ask_leader: Callable[[str], JobState | None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._states = states
        self._ask_leader = ask_leader

    def submit(self, job: Job, *, deadline_s: float) -> Result[None, Refusal]:
        """Stores a job once; Ok means that it is stored, by this call or an earlier one.

        Args:
            job: the job.
            deadline_s: end of the caller's patience, on this instance's clock.
        """
        key = job_key(job.id)
        txn = RowsTxn(expects=((key, ABSENT),), puts=((key, dump_job(job)),))
        return self._write(txn, job_id=job.id, deadline_s=deadline_s)

    def cancel(self, job_id: str, *, deadline_s: float) -> Result[bool, Refusal]:
        """Stores the request to cancel a job; Ok(False) means that there is no such job."""
        key = job_key(job_id)
        try:
            page = self._store.read(
                table=key.table,
                part=key.part,
                first=job_id,
                end=job_id + "\0",
                timeout_s=READ_TIMEOUT_S,
            )
        except StoreUnavailableError as exc:
            return Err(Refusal(reason=str(exc)))
        if not page.rows:
            return Ok(False)
        txn = RowsTxn(puts=((cancel_key(job_id), b"{}"),))
        return self._write(txn, job_id=job_id, deadline_s=deadline_s).map(lambda _: True)

    def _write(self, txn: RowsTxn, *, job_id: str, deadline_s: float) -> Result[None, Refusal]:
        """Writes until the outcome is known or the caller's time is up."""
        is_unknown = False
        while True:
            left_s = deadline_s - self._clock.now_s()
            if left_s <= 0:
                break
            try:
                self._store.write(txn, timeout_s=min(WRITE_TIMEOUT_S, left_s))
            except RowConflictError:
                _log.info("job stored before", job=job_id)
                return Ok(None)
            except StoreOutcomeUnknownError as exc:
                is_unknown, reason = True, str(exc)
            except StoreUnavailableError as exc:
                reason = str(exc)
            else:
                return Ok(None)
            _log.warning("job not stored yet", job=job_id, reason=reason, unknown=is_unknown)
            self._clock.wait_s(threading.Event(), min(RETRY_S, max(0.0, left_s)))
        return Err(Refusal(reason="store not reached in time", ran=None if is_unknown else False))

    def state(self, job_id: str) -> Result[JobState | None, Refusal]:
        """Returns the state of a job; Ok(None) means that there is no such job."""
        known = self._ask_leader(job_id) or self._states.get(job_id)
        if known is not None and known.is_final:
            return Ok(known)
        try:
            state = self._read_state(job_id)
        except StoreUnavailableError as exc:
            return Ok(known) if known is not None else Err(Refusal(reason=str(exc)))
        if state is not None:
            self._states.note(job_id, state)
        return Ok(state)

    def _read_state(self, job_id: str) -> JobState | None:
        for key in (progress_key(job_id), job_key(job_id)):
            page = self._store.read(
                table=key.table,
                part=key.part,
                first=job_id,
                end=job_id + "\0",
                timeout_s=READ_TIMEOUT_S,
            )
            if page.rows:
                is_progress = key.table == PROGRESS
                return load_state(page.rows[0].value) if is_progress else JobState.QUEUED
        return None

    def pending(self, queue: str) -> Result[int, Refusal]:
        """Returns the number of jobs of a queue of which no task has started."""
        try:
            page = self._store.read(
                table=HEARTBEAT.table, part=HEARTBEAT.part, timeout_s=READ_TIMEOUT_S
            )
        except StoreUnavailableError as exc:
            return Err(Refusal(reason=str(exc)))
        beats = [load_heartbeat(row.value) for row in page.rows if row.key == HEARTBEAT]
        return Ok(beats[0].pending.get(queue, 0) if beats else 0)
