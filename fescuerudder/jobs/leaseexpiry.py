"""Ends what ran on workers that were not reached until their leases had certainly ended."""

import logging
from collections.abc import Collection

import structlog

from fescuerudder.jobs.jobrun import Attempt, Phase
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.runaudit import RunAudit
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.workerrecord import WorkerRecord

MAX_LOGGED_STARTS = 20
"""Number of the starts that a log line names."""

_log = structlog.get_logger(__name__)


def expire_leases(
    state: SchedulerState, leases: LeasePolicy, audit: RunAudit, *, now_s: float
) -> None:
    """Requeues what ran on workers whose leases have certainly ended.

    The leadership must have been confirmed after that end: else a successor may have renewed the
    leases.

    Args:
        state: state of the term.
        leases: tells when the leadership was last confirmed.
        audit: is told of the attempts.
        now_s: the time.
    """
    state.drop_expired_late_starts(now_s)
    certain_s = min(now_s, leases.confirmed_s())
    for record in list(state.workers.values()):
        if (
            record.may_run_unknown
            and not record.awaits_further_ends
            and certain_s >= record.unknown_ended_by_s()
        ):
            record.may_run_unknown = False
            state.roster_changed = True
        record.drop_old_lapsed(now_s)
        is_reached = record.awaits_further_ends or (record.resolved and not record.is_silent)
        if not is_reached and certain_s >= record.lapsed_by_s():
            _expire_worker(state, audit, record, now_s)


def _bound(record: WorkerRecord) -> str:
    """Returns what the end of all leases on a worker was derived from."""
    until_s = record.lapsed_by_s()
    if until_s == record.clock.reached_s(record.lease_until_ms):
        return "leases of this term"
    if until_s == record.resolved_by_s:
        return "earlier leases and late starts"
    return "orders to earlier incarnations"


def _log_expiry(record: WorkerRecord, ended: Collection[Attempt], now_s: float) -> None:
    """Logs which starts are taken for ended, and what the end of their leases was derived from.

    It is a warning if earlier leaders stored any of them, as only they knew the answers to these.
    """
    sent = [attempt for attempt in ended if attempt.phase is not Phase.PLANNED]
    restored = [attempt for attempt in sent if attempt.restored]
    own = [attempt for attempt in sent if not attempt.restored]
    answered = sum(attempt.is_answered or attempt.reported for attempt in own)
    _log.log(
        logging.WARNING if restored else logging.INFO,
        "leases ended unseen",
        worker=record.id,
        attempts=len(ended),
        answered=answered,
        unanswered=len(own) - answered,
        restored=len(restored),
        restored_late=sum(attempt.late_until_s is not None for attempt in restored),
        starts=[
            (attempt.task.id.job, *attempt.task.id[1:], attempt.number)
            for attempt in sent[:MAX_LOGGED_STARTS]
        ],
        bound=_bound(record),
        born_ms=record.info.incarnation_ms,
        lease_until_ms=int(record.lease_until_ms),
        clock=int(record.clock.earliest_ms(now_s)),
        ended_for_s=round(now_s - record.lapsed_by_s(), 3),
        silent_s=round(now_s - record.silent_since_s, 3) if record.is_silent else None,
    )


def _expire_worker(
    state: SchedulerState, audit: RunAudit, record: WorkerRecord, now_s: float
) -> None:
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
            record.add_lapsed(attempt, now_s=now_s)
            audit.remember_start(attempt, lapsed=True)
        state.requeue(attempt, checkpoint=attempt.checkpoint, reason="lease ended unseen")
    if not record.listed and state.may_forget(record):
        state.forget_worker(record)
