"""The decisions of one term: takes events, returns orders. No threads, no input or output."""

from collections.abc import Callable, Iterable

import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.adviceport import Advice, AdviceQuery
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import FULL_SPEED, Attempt, JobRun, JobState, Phase
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.manifest import Manifest
from fescuerudder.jobs.progress import StoredJob, dump_progress
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.relocation import ThrottledMoves, evict_from
from fescuerudder.jobs.reports import ReportReader
from fescuerudder.jobs.roster import RosterEntry
from fescuerudder.jobs.rosterkeeper import RosterKeeper
from fescuerudder.jobs.schedulerstate import SchedulerState, Term
from fescuerudder.jobs.starts import StartPlanner
from fescuerudder.jobs.throttling import plan_throttles
from fescuerudder.jobs.workerhealth import Verdict
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

RENEWAL_PAUSE_S = 0.1
"""Least time between two renewals of one worker, so that one report tells several ends."""

RENEWAL_WAIT_MS = 1000
"""Time that a worker waits for an end before it reports; a lease outlasts several of them."""

TIGHT_HEADROOM = 2.0
TIGHT_WAIT_MS = 400
"""The same where a task is expected to have less than TIGHT_HEADROOM beside best-effort ones."""

RETRY_RENEWAL_S = 0.2
RESEND_STOP_S = 0.5
KNOWLEDGE_S = 2.0
"""Time between two writes of what was learned about tasks."""

FULL_S = 0.3
"""Time without starts on a worker that refused one for want of room."""

Order = StartOrder | StopOrder | ThrottleOrder | RenewOrder | AdviceQuery

_log = structlog.get_logger(__name__)


class Scheduler:
    """Schedules the tasks of all jobs on all workers during one term.

    Args:
        term: the term.
        clock: source of time.
        wall_ms: returns Unix time in milliseconds.
        leases: length of the leases.
    """

    def __init__(
        self,
        *,
        term: Term,
        clock: Clock,
        wall_ms: Callable[[], float],
        leases: LeasePolicy,
    ) -> None:
        self.state = SchedulerState(term=term, clock=clock)
        self._clock = clock
        self._wall_ms = wall_ms
        self._leases = leases
        self._reader = ReportReader(state=self.state)
        self._roster = RosterKeeper(state=self.state, reader=self._reader)
        self._planner = StartPlanner(state=self.state, leases=leases)
        self.visible: dict[str, JobState] = {}
        self.is_superseded = False
        self._moves = ThrottledMoves()
        self._reported: set[str] = set()
        self._tight: set[str] = set()
        self._next_knowledge_s = clock.now_s() + KNOWLEDGE_S

    # --- what the store says

    def set_manifest(self, manifest: Manifest) -> None:
        """Takes a new revision of the configuration."""
        self.state.set_manifest(manifest)

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Takes the zones that operators took out of service."""
        self.state.zones_out = zones

    def set_workers(self, infos: Iterable[WorkerInfo]) -> None:
        """Takes the complete registry of workers."""
        self._roster.set_workers(infos)

    def restore_roster(self, entries: Iterable[RosterEntry]) -> None:
        """Takes the workers on which tasks of earlier leaders may run.

        It is called when all jobs are restored, and before `set_workers`.
        """
        self._roster.restore(entries)

    def add_jobs(self, jobs: Iterable[StoredJob]) -> None:
        """Takes jobs that were submitted; known ones are ignored."""
        now_s = self._clock.now_s()
        for stored in jobs:
            if stored.job.id not in self.state.jobs:
                run = JobRun.create(job=stored.job, version=stored.version, received_s=now_s)
                self.state.add_job(run)
                self.visible[stored.job.id] = JobState.QUEUED
                _log.info("job known", job=stored.job.id, queue=stored.job.queue)

    def restore(self, run: JobRun) -> None:
        """Takes a job with progress that an earlier leader stored."""
        self.state.add_job(run)
        self.visible[run.job.id] = run.state

    def cancel(self, job_ids: Iterable[str]) -> None:
        """Cancels jobs at callers' request."""
        for job_id in job_ids:
            run = self.state.jobs.get(job_id)
            if run is None or run.cancel_requested or run.state.is_final:
                continue
            run.cancel()
            self.state.mark_dirty(run)
            _log.info("job cancelled", job=job_id, live=sum(1 for _ in run.attempts()))

    # --- what the workers say

    def on_report(self, order: RenewOrder, report: Report, *, sent_s: float) -> None:
        """Takes the answer to a renewal."""
        record = self.state.workers.get(order.worker)
        if record is None:
            return
        now_s = self._clock.now_s()
        record.end_renewal()
        extended = order.lease_until_ms is not None
        record.next_renewal_s = now_s + RENEWAL_PAUSE_S if extended else now_s
        self._reader.read(record, order, report, sent_s=sent_s, now_s=now_s)
        self._reported.add(record.id)
        self.state.discard_load(record.id)

    def on_silence(self, order: RenewOrder, *, sent_s: float, reason: str) -> None:
        """Takes note that a renewal got no answer."""
        record = self.state.workers.get(order.worker)
        if record is None:
            return
        record.end_renewal()
        record.next_renewal_s = self._clock.now_s() + RETRY_RENEWAL_S
        self._roster.count_unanswered_renewal(record)
        if record.silent_since_s is None:
            record.silent_since_s = sent_s
            for attempt in record.attempts.values():
                attempt.worker_in_doubt = True
            _log.warning(
                "worker silent", worker=record.id, attempts=len(record.attempts), reason=reason
            )

    def on_other_life(self, worker: str) -> None:
        """Takes note that another worker answers at the address of `worker`.

        Lives at one address follow each other, so what ran in this one has ended, and an order
        for it that is still on its way will be refused.
        """
        record = self.state.workers.get(worker)
        if record is None or record.gone:
            return
        _log.warning("worker gone", worker=worker, attempts=len(record.attempts))
        record.gone = record.resolved = True
        record.orphans = set()
        for attempt in list(record.attempts.values()):
            self.state.requeue(attempt, checkpoint=attempt.checkpoint, reason="worker gone")
        if not record.listed:
            self.state.forget_worker(record)

    def on_replaced(self, order: RenewOrder) -> None:
        """Takes note that another worker answered a renewal."""
        record = self.state.workers.get(order.worker)
        if record is not None:
            record.end_renewal()
        self.on_other_life(order.worker)

    def on_started(self, order: StartOrder, answer: OrderAnswer) -> None:
        """Takes the answer to a start."""
        record = self.state.workers.get(order.worker)
        attempt = record.attempts.get((order.task, order.attempt)) if record else None
        if record is None or attempt is None:
            return
        now_s = self._clock.now_s()
        if answer.clock_ms is not None:
            record.clock.update(reading_ms=answer.clock_ms, now_s=now_s)
        if answer.result is OrderResult.DONE:
            attempt.phase = Phase.RUNNING if attempt.phase is not Phase.STOPPING else attempt.phase
            attempt.confirmed_s = now_s
            self.state.mark_begun(attempt.task.step.job)
            return
        _log.info(
            "start not confirmed",
            job=order.task.job,
            task=order.task[1:],
            attempt=order.attempt,
            worker=order.worker,
            result=answer.result.value,
        )
        if answer.result is OrderResult.UNKNOWN:
            self._doubt(record, attempt)
            return
        if answer.result is OrderResult.OTHER_LIFE:
            self.on_other_life(order.worker)
            return
        if answer.result is OrderResult.FENCED:
            self._note_fence(record, order.token)
        elif answer.result is OrderResult.NO_PERMIT:
            self.state.advice.drop_permit(attempt.task.step.id, order.worker)
        elif answer.result in (OrderResult.NO_ROOM, OrderResult.UNHEALTHY, OrderResult.NOT_SENT):
            record.no_starts_until_s = now_s + FULL_S
        self.state.requeue(attempt, checkpoint="", reason=answer.result.value)

    def on_advice(self, query: AdviceQuery, advice: Advice | None, *, sent_s: float) -> None:
        """Takes the answer to a query of the advice service, None if there was none."""
        self.state.advice.on_answer(query, advice, self.state.incarnations(), sent_s=sent_s)

    def _doubt(self, record: WorkerRecord, attempt: Attempt) -> None:
        """Fences a start without an answer: a report to a higher token settles it."""
        if attempt.phase is Phase.STARTING:
            attempt.phase = Phase.UNCERTAIN
        record.token = max(record.token, attempt.token + 1)
        record.next_renewal_s = 0.0

    def on_fenced(self, order: RenewOrder) -> None:
        """Takes note that a worker refused a renewal because it has seen a higher token."""
        record = self.state.workers.get(order.worker)
        if record is None:
            return
        record.end_renewal()
        record.next_renewal_s = self._clock.now_s() + RETRY_RENEWAL_S
        self._note_fence(record, order.token)

    def _note_fence(self, record: WorkerRecord, token: int) -> None:
        """A token that this leader did not raise itself belongs to a later leader."""
        if token >= record.token and not self.is_superseded:
            self.is_superseded = True
            _log.warning("a later leader gives orders", worker=record.id, token=token)

    def on_stopped(self, order: StopOrder, answer: OrderAnswer) -> None:
        """Takes the answer to a stop; its effect shows in a later report."""
        record = self.state.workers.get(order.worker)
        if record is not None and answer.clock_ms is not None:
            record.clock.update(reading_ms=answer.clock_ms, now_s=self._clock.now_s())

    def on_throttled(self, order: ThrottleOrder, answer: OrderAnswer) -> None:
        """Takes the answer to a throttle; one that is not certain is ordered again."""
        record = self.state.workers.get(order.worker)
        attempt = record.attempts.get((order.task, order.attempt)) if record else None
        if attempt is not None and answer.result is not OrderResult.DONE:
            attempt.throttle = None

    # --- what is to be stored

    @property
    def has_news(self) -> bool:
        """Whether there is something to store, or a restart waits for a heartbeat."""
        is_unconfirmed = self.state.last_end_s > self._leases.confirmed_s()
        return bool(self.state.dirty_jobs) or self.state.roster_changed or is_unconfirmed

    def take_progress(self) -> ProgressBatch:
        """Returns the progress that is not stored yet, and counts it as taken."""
        stored = self._roster.take_changed()
        runs = list(self.state.dirty_jobs)
        self.state.dirty_jobs.clear()
        for run in runs:
            run.dirty = False
        return ProgressBatch(
            rows={run.job.id: dump_progress(run) for run in runs},
            states={run.job.id: run.state for run in runs},
            serials={
                record.id: (record.info.incarnation_ms, record.seen_serial)
                for record in self.state.workers.values()
                if record.seen_serial > record.stored_serial
            },
            pending=self.pending(),
            knowledge=self._dump_knowledge(),
            roster=stored.data if stored is not None else None,
            roster_incarnations=stored.incarnations if stored is not None else {},
        )

    def _dump_knowledge(self) -> bytes | None:
        now_s = self._clock.now_s()
        if now_s < self._next_knowledge_s:
            return None
        self._next_knowledge_s = now_s + KNOWLEDGE_S
        self._forget_ended()
        return self.state.knowledge.dump()

    def _forget_ended(self) -> None:
        """Drops what is kept of attempts that are no longer live."""
        self.state.knowledge.headrooms.forget_ended()
        self.state.health.forget_ended()
        self._moves.forget_ended()
        for record in self.state.workers.values():
            self._reader.forget_discarded_starts(record, self._clock.now_s())
        self.state.advice.retain_steps(step.id for step in self.state.open_steps)

    def on_stored(self, batch: ProgressBatch) -> None:
        """Takes note that a batch is stored: the ends in it may be acknowledged."""
        for worker, (incarnation_ms, serial) in batch.serials.items():
            record = self.state.workers.get(worker)
            if record is not None and record.info.incarnation_ms == incarnation_ms:
                record.stored_serial = max(record.stored_serial, serial)
        self._roster.mark_stored(batch.roster_incarnations)
        self.visible.update(batch.states)

    # --- what is to be done

    def plan(self) -> list[Order]:
        """Returns the orders that are due now; none once a later leader is known of."""
        if self.is_superseded:
            return []
        now_s = self._clock.now_s()
        self._expire(now_s)
        orders: list[Order] = []
        self._evict(now_s)
        self._move_throttled(now_s)
        orders += self._plan_stops(now_s)
        orders += self._plan_throttles(now_s)
        orders += self._planner.plan(now_s=now_s, wall_ms=self._wall_ms())
        orders += self.state.advice.take_queries()
        orders += self._plan_renewals(now_s)
        return orders

    def _expire(self, now_s: float) -> None:
        """Gives up what ran on workers whose leases have certainly ended.

        Only a leader that was confirmed later than that knows that no successor had renewed them.
        """
        certain_s = min(now_s, self._leases.confirmed_s())
        for record in list(self.state.workers.values()):
            if record.resolved and not record.is_silent:
                continue
            if certain_s < record.lapsed_by_s():
                continue
            if not record.resolved:
                _log.warning("worker not reached, its leases have ended", worker=record.id)
            record.resolved = True
            record.orphans = set()
            for attempt in list(record.attempts.values()):
                if attempt.phase is not Phase.STARTING:
                    self.state.requeue(
                        attempt, checkpoint=attempt.checkpoint, reason="lease ended unseen"
                    )
            if not record.listed and not record.attempts:
                self.state.forget_worker(record)

    def _evict(self, now_s: float) -> None:
        """Marks attempts on the workers that reported and do badly."""
        for name in self._reported & self.state.workers.keys():
            record = self.state.workers[name]
            verdict = self.state.health.read(record)
            if verdict is not Verdict.SOUND:
                others = (b for b in self.state.workers.values() if b is not record)
                has_room = any(self._planner.takes_work(b, now_s) for b in others)
                evict_from(record, verdict, has_room_elsewhere=has_room)

    def _move_throttled(self, now_s: float) -> None:
        """Marks throttled attempts on the workers that reported and can work elsewhere."""
        records = [self.state.workers[name] for name in self._reported & self.state.workers.keys()]
        attempts = [attempt for record in records for attempt in record.attempts.values()]
        if any(attempt.throttle != FULL_SPEED for attempt in attempts):
            self._moves.plan(attempts, self._planner.loads(now_s), now_s=now_s)

    def _plan_stops(self, now_s: float) -> list[Order]:
        orders: list[Order] = []
        for record in self.state.workers.values():
            if record.is_silent:
                continue
            for attempt in record.attempts.values():
                if self._is_unwanted(attempt) and _is_due(attempt.stop_sent_s, now_s):
                    attempt.stop_sent_s = now_s
                    if attempt.phase is Phase.RUNNING:
                        attempt.phase = Phase.STOPPING
                    orders.append(_stop(record, attempt.task.id, attempt.number))
            if record.orphans and now_s - record.orphan_stop_sent_s >= RESEND_STOP_S:
                record.orphan_stop_sent_s = now_s
                orders += [_stop(record, task, number) for task, number in record.orphans]
        return orders

    def _is_unwanted(self, attempt: Attempt) -> bool:
        return attempt.evicted or attempt.task.done or not attempt.task.step.job.is_live

    def _plan_throttles(self, now_s: float) -> list[Order]:
        """Throttles tasks on the workers that reported since the last plan."""
        orders: list[Order] = []
        for name in self._reported & self.state.workers.keys():
            load = self.state.load_of(self.state.workers[name], now_s=now_s)
            orders += plan_throttles(load)
            if load.best_effort and load.least_headroom() < TIGHT_HEADROOM:
                self._tight.add(name)
            else:
                self._tight.discard(name)
        self._reported.clear()
        return orders

    def _plan_renewals(self, now_s: float) -> list[Order]:
        return [
            self._renew(record, now_s)
            for record in self.state.workers.values()
            if record.renewals_in_flight == 0
            and now_s >= record.next_renewal_s
            and record.needs_renewal()
        ]

    def _renew(self, record: WorkerRecord, now_s: float) -> RenewOrder:
        """Returns the next renewal of a worker.

        A silent worker is only asked for a report: a lease that may arrive unseen would put off
        the time at which its work can be started elsewhere.
        """
        record.renewals_in_flight += 1
        waits = record.resolved and not record.is_silent and not record.has_uncertain_start()
        until_ms = None
        if not record.is_silent:
            until_ms = record.extend_lease_ms(now_s=now_s, lease_s=self._leases.length_s(now_s))
        return RenewOrder(
            worker=record.id,
            address=record.info.address,
            token=record.token,
            acknowledged=record.stored_serial,
            lease_until_ms=until_ms,
            wait_ms=self._wait_ms(record) if waits and record.attempts else 0,
        )

    def _wait_ms(self, record: WorkerRecord) -> int:
        return TIGHT_WAIT_MS if record.id in self._tight else RENEWAL_WAIT_MS

    # --- what callers may know

    def pending(self) -> dict[str, int]:
        """Returns the number of jobs of each queue of which no task has started."""
        counts: dict[str, int] = {}
        for run in self.state.jobs.values():
            if run.is_live and not run.begun:
                counts[run.job.queue] = counts.get(run.job.queue, 0) + 1
        return counts


def _is_due(last_s: float | None, now_s: float) -> bool:
    return last_s is None or now_s - last_s >= RESEND_STOP_S


def _stop(record: WorkerRecord, task: TaskId, number: int) -> StopOrder:
    return StopOrder(
        worker=record.id,
        address=record.info.address,
        task=task,
        attempt=number,
        token=record.token,
    )
