"""Reconciliation of the leader's state with the reports of workers."""

from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.jobs.crashes import exonerate, record_worker_end, withdraw_possible_crash
from fescuerudder.jobs.jobrun import (
    FULL_SPEED,
    MAX_ORDER_DELAY_S,
    Attempt,
    Phase,
    TaskRun,
)
from fescuerudder.jobs.runaudit import RunAudit
from fescuerudder.jobs.schedulerstate import SchedulerState
from fescuerudder.jobs.taskrelease import bind_again
from fescuerudder.jobs.workerhealth import QUICK_FAILURE_S
from fescuerudder.jobs.workerport import (
    AttemptEnd,
    EndedAttempt,
    RenewOrder,
    Report,
    RunningAttempt,
)
from fescuerudder.jobs.workerrecord import WorkerRecord, longest_lease_s

DEFAULT_MAX_FAILURES = 3
"""Limit on the failed attempts of a task whose queue is in no known manifest."""

MIN_RUN_S = 0.05

EARLIER_RENEWAL_S = 2.2
"""Time for which a renewal of an earlier leader may go on waiting at a worker, and be answered,
after the worker has seen a higher token."""

_log = structlog.get_logger(__name__)


class ReportReconciler:
    """Updates the state of the term from reports.

    Args:
        state: state of the term.

    Attributes:
        audit: logs the runs that should not be.
    """

    def __init__(self, *, state: SchedulerState) -> None:
        self._state = state
        self.audit = RunAudit(state=state)

    def reconcile(
        self,
        record: WorkerRecord,
        order: RenewOrder,
        report: Report,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies the report that answers `order`, which was sent at `sent_s`.

        That of another incarnation is ignored if it may be an earlier one. It is a later one if the
        order was sent when the leader knew of the present one. Start times don't tell, as the time
        of day may be set back between two starts.
        """
        if report.incarnation_ms not in (0, record.info.incarnation_ms):
            if order.token < record.first_token:
                return
            _log_carried_out_later(record, order, report)
            self.begin_incarnation(
                record, incarnation_ms=report.incarnation_ms, clock_ms=report.clock_ms, now_s=now_s
            )
        is_newest = record.update_from_report(report, now_s=now_s)
        _log_outlived_leases(record.take_lapsed(), report, record)
        if record.is_restricted:
            # It gets tasks once the stored roster no longer restricts it.
            record.is_restricted, self._state.roster_changed = False, True
        if order.lease_until_ms is not None:
            record.is_back = False
        if order.token >= record.first_token:
            # The serials in an order to an earlier incarnation are those of its ends.
            record.acknowledged_serial = max(record.acknowledged_serial, order.acknowledged)
        self._process_ends(record, report, now_s)
        if not is_newest:
            return
        self.audit.check(record, report, now_s=now_s)
        orphans = {
            (row.task, row.attempt)
            for row in report.running
            if not self._update_or_adopt(record, row, now_s)
        }
        self._state.set_orphans(record, orphans)
        self._state.knowledge.headroom_model.update(record, now_s=now_s)
        is_fenced = record.is_fenced or self._fence(record, order, report, now_s)
        if not report.lists_all_ends:
            # What it doesn't list may have ended, and its end follows once these are acknowledged.
            _log_further_ends(record, report)
            return
        self._requeue_missing(record, order, report, sent_s)
        if is_fenced:
            record.end_unknown()
            _mark_resolved(record, order, report)

    def _fence(self, record: WorkerRecord, order: RenewOrder, report: Report, now_s: float) -> bool:
        """Fences an incarnation if its report answers an order to it, not to an earlier one.

        A successor has to know of the leases that may last longer from then on.
        """
        if order.token < record.first_token:
            if report.running:
                record.expect_late_leases(now_s=now_s, max_lease_s=self._state.max_lease_s)
            return False
        record.fence(clock_ms=report.clock_ms, max_lease_s=self._state.max_lease_s)
        self._state.roster_changed = True
        return True

    def begin_incarnation(
        self, record: WorkerRecord, *, incarnation_ms: int, clock_ms: int, now_s: float
    ) -> None:
        """Handles the restart of a worker: requeues what ran in its last incarnation.

        The new incarnation may have carried out a start that no report has listed, even if the
        start was answered; such a start stays uncertain until a report to a higher token. The new
        incarnation has not seen the tokens of a later leader, so it gets no tasks before it is on
        the stored roster.
        """
        self._state.roster_changed = True
        info = attrs.evolve(record.info, incarnation_ms=incarnation_ms, clock_ms=clock_ms)
        _log.info(
            "worker born again",
            worker=record.id,
            born_ms=incarnation_ms,
            ran=len(record.attempts),
            renewals_in_flight=record.renewals_in_flight,
            unanswered_renewals=record.unanswered_renewals,
        )
        bind_again(self._state, record, may_have_crashed=False)
        self.audit.remember(record)
        record_worker_end(self._state, record, open_starts_refused=False)
        self._state.set_orphans(record, set())
        for attempt in record.begin_incarnation(info, now_s=now_s):
            if not attempt.reported and attempt.phase is not Phase.PLANNED:
                # An answer of the last incarnation says nothing about this one.
                attempt.phase, attempt.confirmed_s = Phase.UNCERTAIN, None
                record.attempts[(attempt.task.id, attempt.number)] = attempt
                ends_s = self._run_ends_s(attempt, now_s)
                record.resolved_by_s = max(record.resolved_by_s, ends_s)
            else:
                self._state.requeue(
                    attempt, checkpoint=attempt.checkpoint, reason="worker born again"
                )
        self._restore_late_starts(record)

    def _run_ends_s(self, attempt: Attempt, now_s: float) -> float:
        """Returns when a run has ended that the new incarnation may have begun.

        A start of an earlier leader counts as carried out by now. One without an answer becomes a
        late start then; the other tasks on its worker don't wait for that.
        """
        if attempt.restored:
            return now_s + longest_lease_s(self._state.max_lease_s)
        return self._state.late_run_ends_s(attempt)

    def _restore_late_starts(self, record: WorkerRecord) -> None:
        """Restores, as uncertain, the late starts that a new incarnation might carry out.

        The last incarnation could no longer carry them out. Those of tasks that need no further run
        stay late: this leader's next call fences the new incarnation, but not the one after it. So
        do those of tasks that were released and go on elsewhere.
        """
        late_starts = self._state.late_starts
        for attempt in late_starts.of_worker(record.id):
            task = attempt.task
            goes_on = any(a.worker != record.id and a.is_wanted for a in task.attempts)
            if task.done or not task.step.job.is_live or goes_on:
                continue
            late_starts.drop(attempt, result="uncertain again")
            self._state.add_attempt(attempt)
            ends_s = self._state.late_run_ends_s(attempt)
            record.resolved_by_s = max(record.resolved_by_s, ends_s)

    def _process_ends(self, record: WorkerRecord, report: Report, now_s: float) -> None:
        for end in report.ended:
            if end.serial > record.seen_serial:
                record.seen_serial = end.serial
                record.new_ends.setdefault(end.task.job, end.serial)
                self.audit.check_end(record, end, now_s=now_s)
                self._process_end(record, end, now_s)

    def _process_end(self, record: WorkerRecord, end: EndedAttempt, now_s: float) -> None:
        state = self._state
        attempt = record.attempts.get((end.task, end.attempt))
        task = state.find_task(end.task)
        state.late_starts.settle(record.id, end.task, end.attempt)
        _log.info(
            "attempt ended",
            job=end.task.job,
            task=end.task[1:],
            attempt=end.attempt,
            worker=record.id,
            end=end.end.value,
            known=attempt is not None,
        )
        if attempt is not None:
            state.drop_attempt(attempt)
            state.health.record_end(attempt, end.end)
            self._record_worker(attempt, end.end, now_s)
        if task is None:
            return
        state.mark_begun(task.step.job)
        task.last_number = max(task.last_number, end.attempt)
        if end.end is AttemptEnd.DONE and not task.step.spec.long_running:
            task.done_in_term = attempt is not None and _ended_in_term(record, attempt)
            self._record_done(task)
        elif end.end is AttemptEnd.FAILED:
            self._record_failure(task, end)
        elif end.checkpoint and not task.done:
            task.save_checkpoint(end.checkpoint, attempt=end.attempt, has_ended=True)
            state.mark_dirty(task.step.job)

    def _record_worker(self, attempt: Attempt, end: AttemptEnd, now_s: float) -> None:
        """Records on which worker the task ended as done, or which one it should avoid."""
        task = attempt.task
        if (end is AttemptEnd.FAILED and not _ended_by_itself(attempt, now_s)) or (
            attempt.evicted and not attempt.leaves_healthy_worker
        ):
            task.avoided_workers.add(attempt.worker)
        if end is AttemptEnd.DONE and attempt.confirmed_s is not None and not task.checkpoint:
            run_s = max(MIN_RUN_S, now_s - attempt.confirmed_s)
            task.rate, task.done_by = 100 / run_s, attempt.worker
            if not attempt.adopted and attempt.throttle == FULL_SPEED:
                self._state.run_times.observe(
                    task.step.job.job.queue, task.step.spec, worker=attempt.worker, run_s=run_s
                )

    def _record_done(self, task: TaskRun) -> None:
        run = task.step.job
        run.record_done(task)
        self._state.mark_dirty(run)

    def _record_failure(self, task: TaskRun, end: EndedAttempt) -> None:
        run = task.step.job
        queue = self._state.queues.get(run.job.queue)
        limit = queue.max_failures if queue is not None else DEFAULT_MAX_FAILURES
        run.record_failure(task, attempt=end.attempt, max_failures=limit)
        task.save_checkpoint(end.checkpoint, attempt=end.attempt, has_ended=True)
        self._state.mark_dirty(run)

    def _update_or_adopt(self, record: WorkerRecord, row: RunningAttempt, now_s: float) -> bool:
        """Updates or adopts a running attempt; returns whether it may continue."""
        attempt = record.attempts.get((row.task, row.attempt))
        if attempt is None:
            attempt = self._adopt(record, row, now_s)
        if attempt is None:
            return False
        if attempt.incarnation_ms != record.info.incarnation_ms:
            # The order was for an earlier incarnation, so its lease is not one of this one. A
            # throttle that was meant for it there may have followed.
            attempt.incarnation_ms = record.info.incarnation_ms
            attempt.throttle = None
            record.extend_lease_ms(now_s=now_s, lease_s=self._state.max_lease_s)
        if attempt.phase in (Phase.STARTING, Phase.UNCERTAIN):
            attempt.phase = Phase.RUNNING
            attempt.confirmed_s = now_s
        if not attempt.reported:
            withdraw_possible_crash(self._state, attempt)
        attempt.reported = attempt.task.seen_running = True
        attempt.is_answered = record.is_fenced
        if not record.is_fenced:
            # A successor has to wait for the orders that may still extend its lease there.
            attempt.late_until_s = now_s + MAX_ORDER_DELAY_S
            self._state.unanswered.add(attempt)
        attempt.restored = False
        attempt.listed_s = now_s
        self._state.mark_begun(attempt.task.step.job)
        attempt.checkpoint = row.checkpoint or attempt.checkpoint
        attempt.percent = row.percent
        exonerate(self._state, attempt, now_s)
        attempt.latency_ms = row.latency_ms
        attempt.processors = row.processors
        if attempt.throttle == FULL_SPEED:
            self._state.knowledge.estimates.observe(attempt)
        return True

    def _adopt(self, record: WorkerRecord, row: RunningAttempt, now_s: float) -> Attempt | None:
        """Adopts an attempt that an earlier leader started, if its task still needs it."""
        task = self._state.find_task(row.task)
        if task is None or not task.step.job.is_live or task.done:
            return None
        if row.attempt < task.last_number:
            return None
        for older in [a for a in task.attempts if a.restored and a.number < row.attempt]:
            # The earlier leader started this one because it knew that the older one had ended, or
            # could be carried out by a later incarnation of its worker only.
            self.audit.remember_start(older)
            self._state.drop_attempt(older)
            self._state.late_starts.add(older)
        if task.attempts and not task.step.spec.speculative:
            return None
        attempt = Attempt(
            task=task,
            worker=record.id,
            incarnation_ms=record.info.incarnation_ms,
            number=row.attempt,
            phase=Phase.RUNNING,
            token=record.token,
            sent_s=now_s,
            confirmed_s=now_s,
            throttle=None,
            adopted=True,
        )
        self._state.add_attempt(attempt)
        self._state.unrecorded_steps[task.step] = None
        _log.info(
            "attempt adopted",
            job=row.task.job,
            task=row.task[1:],
            attempt=row.attempt,
            worker=record.id,
        )
        return attempt

    def _requeue_missing(
        self, record: WorkerRecord, order: RenewOrder, report: Report, sent_s: float
    ) -> None:
        listed = {(row.task, row.attempt) for row in report.running}
        for key, attempt in list(record.attempts.items()):
            if key not in listed and _proves_absence(attempt, order, sent_s):
                self._state.requeue(
                    attempt, checkpoint=attempt.checkpoint, reason="not in the worker's report"
                )


def _ended_by_itself(attempt: Attempt, now_s: float) -> bool:
    """Returns whether a long-running attempt ran long enough for its worker not to be the cause."""
    return (
        attempt.task.step.spec.long_running
        and attempt.confirmed_s is not None
        and now_s - attempt.confirmed_s >= QUICK_FAILURE_S
    )


def _ended_in_term(record: WorkerRecord, attempt: Attempt) -> bool:
    """Returns whether no earlier leader can have learned of the end of an attempt.

    A renewal of theirs may still wait at the worker when the first report to this leader comes.
    """
    if attempt.listed_s is None or record.first_report_s is None:
        return False
    return attempt.listed_s - record.first_report_s >= EARLIER_RENEWAL_S


def _proves_absence(attempt: Attempt, order: RenewOrder, sent_s: float) -> bool:
    """Returns whether a report that doesn't list an attempt proves that it does not run.

    An unanswered start may still arrive, unless the worker has seen a higher token.
    """
    if attempt.phase in (Phase.PLANNED, Phase.STARTING):
        return False
    if attempt.phase is Phase.UNCERTAIN:
        return order.token > attempt.token
    return attempt.confirmed_s is not None and sent_s >= attempt.confirmed_s


def _mark_resolved(record: WorkerRecord, order: RenewOrder, report: Report) -> None:
    if not record.resolved:
        record.resolved = True
        _log.info("worker resolved", worker=record.id, token=order.token, clock=report.clock_ms)


def _log_carried_out_later(record: WorkerRecord, order: RenewOrder, report: Report) -> None:
    """Logs that a renewal for one incarnation was carried out by a later one."""
    _log.info(
        "renewal carried out by a later incarnation",
        worker=record.id,
        token=order.token,
        lease_until_ms=order.lease_until_ms,
        clock=report.clock_ms,
        running=len(report.running),
    )


def _log_further_ends(record: WorkerRecord, report: Report) -> None:
    """Logs that a worker has more ends than its report lists, once for each part of them."""
    first, last = report.ended[0].serial, report.ended[-1].serial
    if first <= record.further_ends_logged:
        return
    record.further_ends_logged = last
    _log.info(
        "worker has further ends",
        worker=record.id,
        first=first,
        last=last,
        stored=record.stored_serial,
        resolved=record.resolved,
        running=len(report.running),
    )


def _log_outlived_leases(lapsed: Iterable[Attempt], report: Report, record: WorkerRecord) -> None:
    """Logs the attempts that run on though their leases were taken for ended.

    Their tasks may have started elsewhere meanwhile.
    """
    running = {(row.task, row.attempt) for row in report.running}
    for attempt in lapsed:
        if (attempt.task.id, attempt.number) in running:
            _log.error(
                "attempt outlived its leases",
                job=attempt.task.id.job,
                task=attempt.task.id[1:],
                attempt=attempt.number,
                worker=record.id,
                token=attempt.token,
                born_ms=report.incarnation_ms,
                clock=report.clock_ms,
                lease_until_ms=int(record.lease_until_ms),
            )
