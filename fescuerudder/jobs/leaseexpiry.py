"""Ends what ran on workers that were not reached until their leases had certainly ended."""

from collections.abc import Collection

import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerrecord import WorkerRecord

_log = structlog.get_logger(__name__)


def expire_leases(state: SchedulerState, leases: LeasePolicy, *, now_s: float) -> None:
    """Requeues what ran on workers whose leases have certainly ended.

    The leadership must have been confirmed after that end: else a successor may have renewed the
    leases.

    Args:
        state: state of the term.
        leases: tells when the leadership was last confirmed.
        now_s: the time.
    """
    state.drop_expired_late_starts(now_s)
    certain_s = min(now_s, leases.confirmed_s())
    for record in list(state.workers.values()):
        if record.may_run_unknown and certain_s >= record.unknown_ended_by_s():
            record.may_run_unknown = False
            state.roster_changed = True
        record.drop_old_lapsed(now_s)
        is_reached = record.resolved and not record.is_silent
        if not is_reached and certain_s >= record.lapsed_by_s():
            _expire_worker(state, record, now_s)


def _log_expiry(record: WorkerRecord, ended: Collection[Attempt], now_s: float) -> None:
    """Logs what the end of the leases of attempts was derived from."""
    _log.info(
        "leases ended unseen",
        worker=record.id,
        attempts=len(ended),
        born_ms=record.info.incarnation_ms,
        lease_until_ms=int(record.lease_until_ms),
        clock=int(record.clock.earliest_ms(now_s)),
        ended_for_s=round(now_s - record.lapsed_by_s(), 3),
        silent_s=round(now_s - record.silent_since_s, 3) if record.is_silent else None,
    )


def _expire_worker(state: SchedulerState, record: WorkerRecord, now_s: float) -> None:
    if not record.resolved:
        _log.warning("worker not reached, its leases have ended", worker=record.id)
        if record.first_report_s is None and not record.is_silent:
            # A start without an answer binds its task, so the first call is a renewal.
            record.silent_since_s = now_s
    record.resolved = True
    state.set_orphans(record, set())
    ended = [a for a in record.attempts.values() if a.phase is not Phase.STARTING]
    if ended:
        _log_expiry(record, ended, now_s)
    for attempt in ended:
        if attempt.phase is not Phase.PLANNED:
            record.add_lapsed(attempt)
        state.requeue(attempt, checkpoint=attempt.checkpoint, reason="lease ended unseen")
    if not record.listed and state.may_forget(record):
        state.forget_worker(record)
