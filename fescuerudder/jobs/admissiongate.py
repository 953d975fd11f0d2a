"""Applies the admission decision at one instance: locks, logs, counts and shares refusals."""

import random
import threading
from collections.abc import Iterable
from typing import Protocol

import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.admission import Admission, Refused
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.linkmessages import RefusedEntry
from fescuerudder.jobs.loadsummary import Amount, KnownLoad
from fescuerudder.jobs.manifest import Queue
from fescuerudder.jobs.refusals import RefusedJob

MAX_LINES = 20
LINE_WINDOW_S = 1.0
"""Number of log lines on refusals in LINE_WINDOW_S; further ones are counted in the next line."""

_log = structlog.get_logger(__name__)


class LoadPort(Protocol):
    """What this instance knows of the load; see `LeaderProxy`."""

    @property
    def load(self) -> KnownLoad | None:
        """The latest load summary, None if there is none."""

    def share_refusals(self, entries: tuple[RefusedEntry, ...]) -> None:
        """Tells the other instances of refused jobs."""


class AdmissionGate:
    """Decides on jobs; thread-safe.

    Args:
        port: the load, and access to other instances.
        clock: source of time.
        rng: source of the spread.
        metrics: metrics of this instance.
    """

    def __init__(
        self, *, port: LoadPort, clock: Clock, rng: random.Random, metrics: JobMetrics
    ) -> None:
        self._port = port
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._admission = Admission(rng=rng)
        self._window_s = 0.0
        self._lines = 0
        metrics.observe_load_age(self.load_age_s)

    def load_age_s(self) -> float | None:
        """Returns the age of the load summary, None if there is none."""
        known = self._port.load
        return None if known is None else self._clock.now_s() - known.made_s

    def check(self, job: Job, *, patience_s: float) -> Refused | None:
        """Returns the refusal of a job that isn't known to be stored, None to accept it.

        Args:
            job: the job.
            patience_s: time that the caller has left.
        """
        known, queue = self._port.load, job.accepted_queue
        if known is None or queue is None or queue.pool not in known.summary.pools:
            return None
        now_s = self._clock.now_s()
        with self._lock:
            return self._admission.decide(
                job,
                queue,
                known.summary,
                age_s=now_s - known.made_s,
                now_s=now_s,
                patience_s=patience_s,
            )

    def record_refused(self, job: Job, refused: Refused) -> None:
        """Records that a job was refused, and tells the other instances."""
        queue, now_s = job.accepted_queue, self._clock.now_s()
        assert queue is not None
        with self._lock:
            entry = self._admission.record_refused(job, queue, refused, now_s)
            has_line, left_out = self._take_line(now_s)
        self._metrics.record_refusal(
            queue=queue.name, reason=refused.reason.value, wait_s=refused.prediction.wait_s
        )
        if has_line:
            _log_refused(job, queue, refused, left_out)
        self._port.share_refusals((_dump_entry(job.id, entry, now_s),))

    def learn(self, entries: Iterable[RefusedEntry]) -> None:
        """Records that other instances have refused jobs."""
        now_s = self._clock.now_s()
        with self._lock:
            for entry in entries:
                self._admission.refused.add(entry.job, _load_entry(entry, now_s))

    def forget(self, job_id: str) -> None:
        """Records that a job is stored, so it is not expected any more."""
        with self._lock:
            self._admission.refused.remove(job_id)

    def _take_line(self, now_s: float) -> tuple[bool, int]:
        """Returns whether a refusal gets a log line, and how many got none before."""
        left_out = 0
        if now_s - self._window_s >= LINE_WINDOW_S:
            left_out = max(0, self._lines - MAX_LINES)
            self._window_s, self._lines = now_s, 0
        self._lines += 1
        return self._lines <= MAX_LINES, left_out


def _log_refused(job: Job, queue: Queue, refused: Refused, left_out: int) -> None:
    prediction = refused.prediction
    _log.info(
        "job refused",
        job=job.id,
        queue=queue.name,
        pool=queue.pool,
        result=refused.reason.value,
        priority=prediction.place[0],
        density_class=prediction.place[1],
        wait_s=round(prediction.wait_s, 2),
        sure_wait_s=round(prediction.sure_wait_s, 2),
        path_s=round(prediction.path_s, 2),
        objective_s=round(prediction.limit_s, 2),
        ahead=[round(value, 1) for value in prediction.ahead],
        reserved=[round(value, 1) for value in prediction.reserved],
        capacity=[round(value, 1) for value in prediction.pool.capacity],
        speed=prediction.pool.speed,
        scarce_s=round(prediction.pool.scarce_s, 1),
        summary_age_s=round(refused.summary_age_s, 2),
        tries=refused.tries,
        retry_after_s=round(refused.retry_after_s, 2),
        lines_left_out=left_out,
    )


def _dump_entry(job_id: str, job: RefusedJob, now_s: float) -> RefusedEntry:
    return RefusedEntry(
        job=job_id,
        pool=job.pool,
        priority=job.priority,
        density_class=job.density_class,
        work=tuple(job.work),
        expected_in_s=job.expected_by_s - now_s,
        tries=job.tries,
    )


def _load_entry(entry: RefusedEntry, now_s: float) -> RefusedJob:
    return RefusedJob(
        pool=entry.pool,
        priority=entry.priority,
        density_class=entry.density_class,
        work=Amount(*entry.work),
        expected_by_s=now_s + entry.expected_in_s,
        tries=entry.tries,
    )
