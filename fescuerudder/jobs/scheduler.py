"""Scheduling of one term: events go in, orders come out. Runs no threads and does no I/O."""

from collections.abc import Callable, Collection, Iterable

import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.accountmetrics import AccountFigures
from fescuerudder.jobs.accountmonitor import AccountMonitor
from fescuerudder.jobs.adviceport import Advice, AdviceQuery
from fescuerudder.jobs.attemptstarter import AttemptStarter
from fescuerudder.jobs.cancellations import Cancellation
from fescuerudder.jobs.crashes import record_worker_end
from fescuerudder.jobs.endedjobs import EndedJob
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobhistory import JobHistory, MoveBatch, ended_jobs
from fescuerudder.jobs.jobrun import FULL_SPEED, JobRun, JobState
from fescuerudder.jobs.latestarts import StoredLateStart
from fescuerudder.jobs.leaseexpiry import expire_leases
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.manifest import Manifest
from fescuerudder.jobs.policy import DEFAULT_POLICY, SchedulingPolicy
from fescuerudder.jobs.preview import Preview, preview_job
from fescuerudder.jobs.progress import StoredJob
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.progressoutput import ProgressOutput
from fescuerudder.jobs.relocation import ThrottledMoves, mark_evictions
from fescuerudder.jobs.renewalplanner import RETRY_RENEWAL_S, RenewalPlanner, renewal_pause_s
from fescuerudder.jobs.reports import ReportReconciler
from fescuerudder.jobs.roster import RosterEntry
from fescuerudder.jobs.rosterkeeper import RosterKeeper
from fescuerudder.jobs.rows import StoreClock
from fescuerudder.jobs.runtimes import RunTimes
from fescuerudder.jobs.schedulerstate import SchedulerState, Term
from fescuerudder.jobs.startanswers import apply_start_answer
from fescuerudder.jobs.startrecords import StoredStarts
from fescuerudder.jobs.startrelease import StartReleaser
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.stops import StopPlanner
from fescuerudder.jobs.stragglers import mark_stragglers
from fescuerudder.jobs.taskrelease import bind_again
from fescuerudder.jobs.throttling import plan_throttles
from fescuerudder.jobs.urgency import UrgencyKey, urgency_key
from fescuerudder.jobs.usableworkers import takes_work, usable_loads
from fescuerudder.jobs.waitreasons import WaitMonitor
from fescuerudder.jobs.workerhealth import HealthStatus
from fescuerudder.jobs.workerport import (
    OrderAnswer,
    OrderResult,
    RenewOrder,
    Report,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerInfo,
)
from fescuerudder.jobs.workerrecord import WorkerRecord

KNOWLEDGE_WRITE_INTERVAL_S = 2.0
"""Time between two writes of the knowledge about tasks."""

Order = StartOrder | StopOrder | ThrottleOrder | RenewOrder | AdviceQuery

_log = structlog.get_logger(__name__)


class Scheduler:
    """Schedules the tasks of all jobs on all workers during one term.

    Args:
        term: the term.
        clock: source of time.
        wall_ms: returns Unix time in milliseconds.
        leases: length of the leases.
        urgency: sort key of waiting steps.
        policy: choices of the operators.
    """

    def __init__(
        self,
        *,
        term: Term,
        clock: Clock,
        wall_ms: Callable[[], float],
        leases: LeasePolicy,
        urgency: UrgencyKey = urgency_key,
        policy: SchedulingPolicy = DEFAULT_POLICY,
    ) -> None:
        self.state = SchedulerState(
            term=term, clock=clock, max_lease_s=leases.max_lease_s, policy=policy
        )
        self._clock = clock
        self._wall_ms = wall_ms
        self._leases = leases
        self._reconciler = ReportReconciler(state=self.state)
        self._roster = RosterKeeper(state=self.state, reconciler=self._reconciler)
        starter = AttemptStarter(state=self.state, leases=leases)
        self._planner = StartPlanner(
            state=self.state, leases=leases, starter=starter, urgency=urgency
        )
        self._releaser = StartReleaser(state=self.state, starter=starter, leases=leases)
        self._accounts = AccountMonitor(state=self.state)
        self._waits = WaitMonitor(state=self.state, planner=self._planner)
        self.stored_states: dict[str, JobState] = {}
        self.is_superseded = False
        self.history = JobHistory(state=self.state)
        self._output = ProgressOutput(
            state=self.state, roster=self._roster, releaser=self._releaser, history=self.history
        )
        self._stops = StopPlanner(state=self.state)
        self._moves = ThrottledMoves()
        self._renewals = RenewalPlanner(state=self.state, leases=leases)
        self._reported: dict[str, None] = {}
        self._next_knowledge_s = clock.now_s() + KNOWLEDGE_WRITE_INTERVAL_S

    # --- input from the store

    def set_manifest(self, manifest: Manifest) -> None:
        """Applies a new revision of the configuration."""
        self.state.set_manifest(manifest)

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Replaces the set of zones that operators took out of service."""
        self.state.zones_out = zones

    def set_workers(self, infos: Iterable[WorkerInfo]) -> None:
        """Updates the workers from the complete registry."""
        self._roster.set_workers(infos)

    def restore_roster(
        self,
        entries: Iterable[RosterEntry],
        *,
        stored_rows: int = 0,
        store_clock: StoreClock | None,
        starts: StoredStarts,
        late_starts: Iterable[StoredLateStart] = (),
        leases_until_ms: int | None,
    ) -> None:
        """Adds the workers on which tasks of earlier leaders may run.

        Must be called after all jobs are restored and before `set_workers`.

        Args:
            entries: the stored roster.
            stored_rows: highest number of one of its further rows.
            store_clock: reading of the store's clock, None if the store told none.
            starts: the records of starts.
            late_starts: the late starts, and those without an answer, that the last leader knew.
            leases_until_ms: when all leases of earlier leaders have expired, on the store's clock;
                None if it tells no more than the claim.
        """
        self._roster.restore(
            entries,
            stored_rows=stored_rows,
            store_clock=store_clock,
            starts=starts,
            late_starts=late_starts,
            leases_until_ms=leases_until_ms,
        )

    def add_jobs(self, jobs: Iterable[StoredJob]) -> None:
        """Adds submitted jobs; ignores those that are known already."""
        now_s = self._clock.now_s()
        for stored in jobs:
            run, known = self.state.jobs.get(stored.job.id), self.stored_states.get(stored.job.id)
            if (run is None or run.is_moved) and known is not None and known.is_final:
                # An instance of an earlier version has created the moved row anew.
                self.history.add([EndedJob(id=stored.job.id, version=stored.version, state=known)])
            elif run is None:
                run = JobRun.create(job=stored.job, version=stored.version, received_s=now_s)
                self.state.add_job(run)
                self.stored_states[stored.job.id] = JobState.QUEUED
                account = {"account": stored.job.account} if stored.job.account else {}
                _log.info("job known", job=stored.job.id, queue=stored.job.queue, **account)
                if self.history.take_early(stored.job.id):
                    self._cancel(run)

    def restore(self, run: JobRun) -> None:
        """Adds a job with the progress that an earlier leader stored."""
        self.state.add_job(run)
        self.stored_states[run.job.id] = run.state

    def restore_ended(self, jobs: Iterable[EndedJob], *, moved: Iterable[str]) -> None:
        """Adds the jobs whose final states an earlier leader stored.

        Args:
            jobs: those that are to be moved.
            moved: ids of those that were moved and whose progress is still stored.
        """
        ended = list(jobs)
        self.stored_states.update({job.id: job.state for job in ended})
        self.history.add(ended)
        self.history.add_progress(moved)

    def cancel(self, cancels: Iterable[Cancellation], *, store_ms: int | None = None) -> None:
        """Cancels jobs at the request of callers.

        Args:
            cancels: the stored requests.
            store_ms: reading of the store's clock; if None, they were stored just now.
        """
        for cancel in cancels:
            run = self.state.jobs.get(cancel.job_id)
            is_unknown = run is None and cancel.job_id not in self.stored_states
            if is_unknown and cancel.early_ms is not None:
                now_ms = store_ms if store_ms is not None else cancel.early_ms
                self.history.add_early(cancel, age_s=max(0, now_ms - cancel.early_ms) / 1000)
            elif is_unknown or (run is not None and run.is_moved):
                self.history.add_cancel(cancel)
            if run is not None:
                self._cancel(run)

    def _cancel(self, run: JobRun) -> None:
        if run.cancel_requested or run.state.is_final:
            return
        run.cancel()
        self.state.mark_dirty(run)
        _log.info("job cancelled", job=run.job.id, live=sum(1 for _ in run.attempts()))

    # --- input from the workers

    def on_report(self, order: RenewOrder, report: Report, *, sent_s: float) -> None:
        """Handles the report that answers a renewal."""
        record = self.state.workers.get(order.worker)
        if record is None:
            return
        now_s = self._clock.now_s()
        record.end_renewal()
        if record.is_silent:
            self._renewals.answer_loss.record(now_s)
        record.next_renewal_s = now_s + renewal_pause_s(order, report)
        self._reconciler.reconcile(record, order, report, sent_s=sent_s, now_s=now_s)
        self._reported[record.id] = None
        self.state.discard_load(record.id)

    def on_silence(
        self, order: RenewOrder, *, sent_s: float, reason: str, is_unreachable: bool = False
    ) -> None:
        """Handles a renewal without an answer, for which no connection may have been possible."""
        record = self.state.workers.get(order.worker)
        if record is None:
            return
        record.end_renewal()
        record.next_renewal_s = self._clock.now_s() + self._renewals.retry_s(record)
        self._roster.count_unanswered_renewal(record)
        bind_again(self.state, record, may_have_crashed=is_unreachable)
        if record.silent_since_s is None:
            record.silent_since_s = sent_s
            self.state.record_lost_contact(record)
            for attempt in record.attempts.values():
                attempt.worker_in_doubt = True
            _log.warning(
                "worker silent", worker=record.id, attempts=len(record.attempts), reason=reason
            )

    def on_worker_gone(self, worker: str) -> None:
        """Requeues what ran on `worker` after another worker has answered at its address.

        Incarnations at one address follow each other, so everything that ran in this one has
        ended, and an order for it that is still on its way will be refused.
        """
        record = self.state.workers.get(worker)
        if record is None or record.gone:
            return
        _log.warning("worker gone", worker=worker, attempts=len(record.attempts))
        record.gone = record.resolved = True
        record.end_unknown()
        self.state.set_orphans(record, set())
        self.state.late_starts.drop_worker(worker)
        record_worker_end(self.state, record, open_starts_refused=True)
        for attempt in list(record.attempts.values()):
            self.state.requeue(attempt, checkpoint=attempt.checkpoint, reason="worker gone")
        if not record.listed:
            self.state.forget_worker(record)

    def on_replaced(self, order: RenewOrder) -> None:
        """Handles a renewal that another worker answered."""
        record = self.state.workers.get(order.worker)
        if record is not None:
            record.end_renewal()
        self.on_worker_gone(order.worker)

    def on_started(self, order: StartOrder, answer: OrderAnswer) -> None:
        """Handles the answer to a start."""
        record = self.state.workers.get(order.worker)
        attempt = record.attempts.get((order.task, order.attempt)) if record else None
        if answer.result is not OrderResult.UNKNOWN:
            self.state.late_starts.settle(order.worker, order.task, order.attempt)
        if record is None or attempt is None:
            return
        apply_start_answer(self.state, record, attempt, order, answer)
        if answer.result is OrderResult.OTHER_LIFE:
            self.on_worker_gone(order.worker)
        elif answer.result is OrderResult.FENCED:
            self._check_superseded(record, order.token)

    def on_advice(self, query: AdviceQuery, advice: Advice | None, *, sent_s: float) -> None:
        """Handles the answer of the advice service to a query, None if there was none."""
        self.state.advice.on_answer(query, advice, self.state.incarnations(), sent_s=sent_s)

    def on_fenced(self, order: RenewOrder) -> None:
        """Handles a renewal that a worker refused because it has seen a higher token."""
        record = self.state.workers.get(order.worker)
        if record is None:
            return
        record.end_renewal()
        record.next_renewal_s = self._clock.now_s() + RETRY_RENEWAL_S
        self._check_superseded(record, order.token)

    def _check_superseded(self, record: WorkerRecord, token: int) -> None:
        """Records that there is a later leader if the worker has seen a token not issued here."""
        if token >= record.token and not self.is_superseded:
            self.is_superseded = True
            _log.warning("a later leader gives orders", worker=record.id, token=token)

    def on_stopped(self, order: StopOrder, answer: OrderAnswer) -> None:
        """Handles the answer to a stop; a later report lists the end of the attempt."""
        record = self.state.workers.get(order.worker)
        if record is not None:
            record.update_clock(answer.clock_ms, token=order.token, now_s=self._clock.now_s())

    def on_throttled(self, order: ThrottleOrder, answer: OrderAnswer) -> None:
        """Handles the answer to a throttle; one that may not be in effect is ordered again.

        The next one has a higher token, so that a late one doesn't replace it.
        """
        record = self.state.workers.get(order.worker)
        if record is not None and answer.result is OrderResult.UNKNOWN:
            record.token = max(record.token, order.token + 1)
        attempt = record.attempts.get((order.task, order.attempt)) if record else None
        if attempt is not None and answer.result is not OrderResult.DONE:
            attempt.throttle = None

    # --- output to the store

    @property
    def needs_write(self) -> bool:
        """Whether there is progress to store, or a task's restart needs a confirmed heartbeat."""
        return self._output.has_rows or self.state.last_end_s > self._leases.confirmed_s()

    @property
    def has_unrecorded_starts(self) -> bool:
        """Whether starts wait for records that are not being stored yet."""
        return bool(self.state.planned) and self._releaser.has_records

    def take_progress(
        self, *, compact: bool = False, earlier_version: bool = False, roster_rows: bool = False
    ) -> ProgressBatch:
        """Returns the progress to store, and marks it as clean.

        Args:
            compact: whether every instance reads the compact form of progress.
            earlier_version: whether a follower is connected that doesn't.
            roster_rows: whether every instance reads a roster in several rows.
        """
        return self._output.take(
            pending=self.pending(),
            knowledge=self._dump_knowledge(),
            compact=compact,
            earlier_version=earlier_version,
            roster_rows=roster_rows,
        )

    def _dump_knowledge(self) -> bytes | None:
        now_s = self._clock.now_s()
        if now_s < self._next_knowledge_s:
            return None
        self._next_knowledge_s = now_s + KNOWLEDGE_WRITE_INTERVAL_S
        self._forget_ended()
        return self.state.knowledge.dump()

    def _forget_ended(self) -> None:
        """Drops the data of ended attempts and of steps that are not open."""
        self.state.knowledge.headroom_model.forget_ended()
        self.state.health.forget_ended()
        self._moves.forget_ended()
        for job_id in self.history.forget():
            self.stored_states.pop(job_id, None)
        self.state.advice.retain_steps(step.id for step in self.state.open_steps)

    def on_stored(self, batch: ProgressBatch, *, rejected: Collection[str] = ()) -> None:
        """Records that a batch is stored, so that the ends in it may be acknowledged.

        Args:
            batch: the batch.
            rejected: names of the groups of rows in it that the store rejected.
        """
        self._output.on_stored(batch, rejected)
        states = batch.without(rejected).states
        self.stored_states.update(states)
        self.history.add(ended_jobs(self.state.jobs, states))

    def take_moves(self) -> MoveBatch:
        """Returns the ended jobs to move next; see `JobHistory`."""
        return self.history.take_moves()

    # --- output to the workers

    def take_starts(self) -> list[StartOrder]:
        """Returns the start orders that need no further record, or none if a later leader leads."""
        return [] if self.is_superseded else self._releaser.take_orders(self._clock.now_s())

    def plan(self) -> list[Order]:
        """Returns the orders that are due now, or none if there is a later leader.

        The orders of the starts that it plans follow once their records are stored.
        """
        if self.is_superseded:
            return []
        now_s = self._clock.now_s()
        expire_leases(self.state, self._leases, self._reconciler.audit, now_s=now_s)
        self._planner.update_margins(now_s)
        self._releaser.withdraw_overdue(now_s)
        orders: list[Order] = []
        self._mark_evictions(now_s)
        self._mark_throttled_moves(now_s)
        orders += self._stops.plan(now_s)
        orders += self._plan_throttles(now_s)
        self._planner.plan(now_s=now_s, wall_ms=self._wall_ms())
        orders += self.take_starts()
        self._waits.observe(now_s)
        self._accounts.observe(now_s)
        orders += self.state.advice.take_queries()
        orders += self._renewals.plan(now_s)
        return orders

    def _reported_workers(self) -> list[WorkerRecord]:
        """Returns the workers that reported since the last plan, in the order of their reports."""
        workers = self.state.workers
        return [workers[name] for name in self._reported if name in workers]

    def _mark_evictions(self, now_s: float) -> None:
        """Marks attempts to evict: all from slow and stalled workers, and stragglers.

        Where further ends are to be listed, an attempt without progress may have ended.
        """
        run_times, may_move = self.state.run_times, self.state.usage.may_move
        for record in [r for r in self._reported_workers() if r.lists_all_ends]:
            health = self.state.health.evaluate(record)
            if health is not HealthStatus.HEALTHY:
                others = (other for other in self.state.workers.values() if other is not record)
                has_room = any(takes_work(self.state, other, now_s) for other in others)
                mark_evictions(record, health, has_room_elsewhere=has_room, may_move=may_move)
            elif isinstance(run_times, RunTimes):
                mark_stragglers(record, run_times, now_s=now_s, may_move=may_move)

    def _mark_throttled_moves(self, now_s: float) -> None:
        """Marks the throttled attempts that can move away from the workers that reported."""
        attempts = [a for r in self._reported_workers() for a in r.attempts.values()]
        if all(attempt.throttle == FULL_SPEED for attempt in attempts):
            return
        attempts = [attempt for attempt in attempts if self.state.usage.may_move(attempt)]
        if any(attempt.throttle != FULL_SPEED for attempt in attempts):
            self._moves.plan(attempts, usable_loads(self.state, now_s), now_s=now_s)

    def _plan_throttles(self, now_s: float) -> list[Order]:
        """Returns the throttle orders for the workers that reported since the last plan."""
        orders: list[Order] = []
        for record in self._reported_workers():
            load = self.state.load_of(record, now_s=now_s)
            orders += plan_throttles(load, self._planner.margins)
            self._renewals.update_headroom(load)
        self._reported.clear()
        return orders

    # --- output to callers and operators

    def account_figures(self) -> tuple[AccountFigures, ...]:
        """Returns what each account has, as last counted; may be called by any thread."""
        return self._accounts.figures

    def preview(self, job: Job) -> Preview:
        """Returns what would happen to a job now; see `preview_job`."""
        now_s, wall_ms = self._clock.now_s(), self._wall_ms()
        return preview_job(
            state=self.state, planner=self._planner, job=job, now_s=now_s, wall_ms=wall_ms
        )

    def pending(self) -> dict[str, int]:
        """Returns the number of jobs of each queue that have no started task."""
        counts: dict[str, int] = {}
        for run in self.state.jobs.values():
            if run.is_live and not run.begun:
                counts[run.job.queue] = counts.get(run.job.queue, 0) + 1
        return counts
