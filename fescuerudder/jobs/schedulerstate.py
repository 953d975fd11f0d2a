"""State of the scheduler during one term: jobs, workers and configuration."""

import math
from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.accountusage import AccountUsage
from fescuerudder.jobs.advice import AdviceCache
from fescuerudder.jobs.job import StepId, TaskId
from fescuerudder.jobs.jobrun import (
    Attempt,
    JobRun,
    JobState,
    Phase,
    StepRun,
    TaskRun,
)
from fescuerudder.jobs.knowledge import Knowledge
from fescuerudder.jobs.latestarts import LateStarts, bound_worker
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.manifest import Manifest, Pool, Queue
from fescuerudder.jobs.policy import DEFAULT_POLICY, SchedulingPolicy
from fescuerudder.jobs.rows import RowKey
from fescuerudder.jobs.runtimes import RunTimes, SubmittedTimes, make_run_times
from fescuerudder.jobs.shares import Entitlements, weight_of
from fescuerudder.jobs.startrecords import record_keys
from fescuerudder.jobs.unansweredstarts import UnansweredStarts
from fescuerudder.jobs.urgency import JobSizes
from fescuerudder.jobs.workerhealth import WorkerHealth
from fescuerudder.jobs.workerrecord import AttemptKey, WorkerRecord, longest_lease_s

TOKENS_PER_EPOCH = 1_000_000
"""Number of fencing tokens in one epoch; a leader raises a worker's token within this range."""

LOST_CONTACT_AGE_S = 60.0
"""Time for which the loss of a worker is remembered."""

MAX_LOAD_AGE_S = 0.25
"""Age up to which the cached load of a worker is reused."""

ATTEMPTS_PER_EPOCH = 10_000
"""Number of attempt numbers in one epoch; a new leader's numbers exceed its predecessors'."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class Term:
    """Term of one instance as the leader.

    Args:
        epoch: number of the term, from 1.
        claim_version: version of the claim in the store. No earlier leader can have started a
            job whose row has a higher version.
    """

    epoch: int
    claim_version: int

    @property
    def first_token(self) -> int:
        """Lowest fencing token of the term."""
        return self.epoch * TOKENS_PER_EPOCH

    @property
    def first_attempt(self) -> int:
        """Lowest attempt number of the term."""
        return (self.epoch - 1) * ATTEMPTS_PER_EPOCH + 1


@attrs.define(eq=False, kw_only=True)
class SchedulerState:
    """Jobs, workers and configuration of one term, used by the scheduler's thread only.

    Args:
        term: the term.
        clock: source of time.
        jobs: jobs by id, including those that have ended.
        workers: records of the workers, by worker id.
        queues: queues by name; a removed queue stays for the jobs that it had accepted.
        pools: worker pools by name.
        zones_out: zones in which nothing is started.
        open_steps: steps whose dependencies are done and which have tasks that are not, in the
            order in which they opened.
        openable_jobs: jobs that may have steps to open.
        job_sizes: typical work of the jobs of each queue.
        policy: choices of the operators.
        run_times: run times of tasks, learned if that order uses them.
        advice: permits of the advice service.
        knowledge: what was learned about tasks.
        health: health of the workers.
        usage: what each account has running.
        max_lease_s: longest lease that a worker grants, in seconds.
        late_starts: start orders that later incarnations of their workers may carry out.
        unanswered: live attempts that are not known to have been answered.
        entitlements: when callers are entitled to their jobs.
        dirty_jobs: jobs whose progress has changed since it was last stored.
        raised_tokens: fencing tokens above all orders to removed workers, by worker id.
        last_end_s: when an attempt last ended, on this instance's clock.
        roster_changed: the stored roster is out of date.
        planned: attempts whose start orders were not sent yet, in the order of their plans.
        unrecorded_steps: steps of which an attempt may be in no stored record.
        recorded_steps: steps of which the store may hold a record that is still needed.
        obsolete_records: keys of records that the store may hold and that are no longer needed.
        unreadable_records: keys of records that can't be read, and that are deleted once all
            attempts are known.
        starts_recorded: every attempt of an earlier leader that may run is known, and is in a
            record or in one of unrecorded_steps.
    """

    term: Term
    clock: Clock
    jobs: dict[str, JobRun] = attrs.Factory(dict)
    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    queues: dict[str, Queue] = attrs.Factory(dict)
    pools: dict[str, Pool] = attrs.Factory(dict)
    zones_out: frozenset[str] = frozenset()
    open_steps: dict[StepRun, None] = attrs.Factory(dict)
    openable_jobs: dict[JobRun, None] = attrs.Factory(dict)
    dirty_jobs: dict[JobRun, None] = attrs.Factory(dict)
    raised_tokens: dict[str, int] = attrs.Factory(dict)
    last_end_s: float = -math.inf
    roster_changed: bool = False
    planned: dict[Attempt, None] = attrs.Factory(dict)
    unrecorded_steps: dict[StepRun, None] = attrs.Factory(dict)
    recorded_steps: set[StepRun] = attrs.Factory(set)
    obsolete_records: dict[RowKey, None] = attrs.Factory(dict)
    unreadable_records: dict[RowKey, None] = attrs.Factory(dict)
    starts_recorded: bool = False
    max_lease_s: float = 0.0
    late_starts: LateStarts = attrs.Factory(LateStarts)
    unanswered: UnansweredStarts = attrs.Factory(UnansweredStarts)
    job_sizes: JobSizes = attrs.Factory(JobSizes)
    policy: SchedulingPolicy = DEFAULT_POLICY
    run_times: RunTimes | SubmittedTimes = attrs.field(init=False)
    advice: AdviceCache = attrs.field(init=False)
    knowledge: Knowledge = attrs.Factory(Knowledge)
    health: WorkerHealth = attrs.field(init=False)
    usage: AccountUsage = attrs.Factory(AccountUsage)
    entitlements: Entitlements = attrs.Factory(Entitlements)
    _loads: dict[str, Load] = attrs.Factory(dict)
    _lost_contacts: list[tuple[float, str]] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        self.advice = AdviceCache(clock=self.clock)
        self.run_times = make_run_times(self.policy.overload_order)
        self.health = WorkerHealth(clock=self.clock, headroom_model=self.knowledge.headroom_model)

    def set_manifest(self, manifest: Manifest) -> None:
        """Applies a new revision of the configuration."""
        self.queues.update({queue.name: queue for queue in manifest.queues})
        self.pools = {pool.name: pool for pool in manifest.pools}
        was_counted = self.usage.is_enforced
        self.usage.set_accounts(manifest.accounts)
        if self.usage.is_enforced and not was_counted:
            self._count_all()

    def _count_all(self) -> None:
        """Counts what is live, as accounts have come into force."""
        for record in self.workers.values():
            for attempt in record.attempts.values():
                self.usage.add(attempt, pool=self._pool_of(attempt.task))
            self.set_orphans(record, record.orphans)

    def add_job(self, run: JobRun) -> None:
        """Adds a job that was not known."""
        self.jobs[run.job.id] = run
        if run.job.accepted_queue is not None:
            self.queues.setdefault(run.job.queue, run.job.accepted_queue)
        self.job_sizes.observe(run)
        self.usage.observe(run.job)
        if self.usage.is_enforced:
            weight = weight_of(self.usage, run.job.account)
            self.entitlements.observe(run, weight=weight)
        self.openable_jobs[run] = None

    def find_task(self, task_id: TaskId) -> TaskRun | None:
        """Returns a task by its id, None if its job is not known or doesn't have it."""
        run = self.jobs.get(task_id.job)
        return run.task(task_id) if run is not None else None

    def find_step(self, step_id: StepId) -> StepRun | None:
        """Returns a step by its id, None if its job is not known or doesn't have it."""
        run = self.jobs.get(step_id.job)
        return run.find_step(step_id.occurrence, step_id.step) if run is not None else None

    def mark_dirty(self, run: JobRun) -> None:
        """Marks the progress of a job as not stored."""
        run.dirty = True
        self.dirty_jobs[run] = None
        self.openable_jobs[run] = None

    def add_attempt(self, attempt: Attempt) -> None:
        """Adds a live attempt to its task and to its worker."""
        attempt.task.attempts.append(attempt)
        attempt.task.last_number = max(attempt.task.last_number, attempt.number)
        record = self.workers[attempt.worker]
        record.attempts[(attempt.task.id, attempt.number)] = attempt
        self.unanswered.add(attempt)
        self.usage.add(attempt, pool=self._pool_of(attempt.task))

    def plan_start(self, attempt: Attempt) -> None:
        """Adds an attempt whose order is sent once the record of its step is stored."""
        self.add_attempt(attempt)
        self.planned[attempt] = None
        self.unrecorded_steps[attempt.task.step] = None

    def mark_begun(self, run: JobRun) -> None:
        """Records that a task of a job was seen to run; a start order alone is no proof."""
        if run.begun:
            return
        run.begun = True
        if run.state is JobState.QUEUED:
            run.state = JobState.RUNNING
        self.mark_dirty(run)

    def load_of(self, record: WorkerRecord, *, now_s: float) -> Load:
        """Returns the load of a worker; a plan that adds an attempt also adds its step to it."""
        load = self._loads.get(record.id)
        if load is None or now_s - load.computed_s > MAX_LOAD_AGE_S:
            load = self._loads[record.id] = self._compute_load(record, now_s)
        return load

    def _compute_load(self, record: WorkerRecord, now_s: float) -> Load:
        tasks = [self.find_task(task_id) for task_id, _ in record.orphans]
        steps = [task.step.spec for task in tasks if task is not None]
        load = Load.of(record, self.knowledge, now_s=now_s, orphans=steps)
        is_certain = len(steps) == len(tasks) and record.knows_capacity(now_s)
        load.is_closed = not is_certain and not self.guards_capacity(record)
        return load

    def guards_capacity(self, record: WorkerRecord) -> bool:
        """Returns whether a worker is known to refuse what exceeds its capacity."""
        pool = self.pools.get(record.info.pool)
        return pool is not None and pool.rejects_overload

    def discard_load(self, worker: str) -> None:
        """Drops the cached load of a worker."""
        self._loads.pop(worker, None)

    def set_orphans(self, record: WorkerRecord, orphans: set[AttemptKey]) -> None:
        """Replaces the attempts that run on a worker but should not."""
        if orphans or record.orphans:
            found = []
            for task_id, _ in orphans:
                task = self.find_task(task_id)
                found.append((task_id, task, self._pool_of(task) if task is not None else ""))
            self.usage.set_orphans(record.id, found)
        record.orphans = orphans

    def _pool_of(self, task: TaskRun) -> str:
        """Returns the pool that a task runs in; that of a worker on the roster isn't known."""
        queue = self.queues.get(task.step.job.job.queue)
        return queue.pool if queue is not None else ""

    def drop_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt that is known not to run and not to start later."""
        self.discard_load(attempt.worker)
        self.planned.pop(attempt, None)
        self.unanswered.discard(attempt)
        self.usage.remove(attempt)
        if attempt in attempt.task.attempts:
            attempt.task.attempts.remove(attempt)
        attempt.task.last_end_s = self.last_end_s = self.clock.now_s()
        attempt.task.last_worker, attempt.task.last_ended = attempt.worker, attempt.number
        step = attempt.task.step
        if step.spec.gang:
            step.broken_attempt = max(step.broken_attempt, attempt.number)
        record = self.workers.get(attempt.worker)
        if record is not None:
            record.attempts.pop((attempt.task.id, attempt.number), None)

    def fence_start(self, attempt: Attempt) -> None:
        """Fences a start without an answer; a report to a higher token shows whether it runs."""
        record = self.workers[attempt.worker]
        if attempt.phase is Phase.STARTING:
            attempt.phase = Phase.UNCERTAIN
        record.token = max(record.token, attempt.token + 1)
        record.next_renewal_s = 0.0

    def withdraw(self, attempt: Attempt, *, reason: str) -> None:
        """Removes an attempt whose start order was not sent, so its task may start at once."""
        last_end_s = attempt.task.last_end_s, self.last_end_s
        self.drop_attempt(attempt)
        attempt.task.last_end_s, self.last_end_s = last_end_s
        _log.info(
            "start withdrawn",
            job=attempt.task.id.job,
            task=attempt.task.id[1:],
            attempt=attempt.number,
            worker=attempt.worker,
            reason=reason,
        )

    def requeue(self, attempt: Attempt, *, checkpoint: str, reason: str) -> None:
        """Removes an attempt that ended early; its task may start again from `checkpoint`."""
        if attempt.phase is Phase.PLANNED:
            self.withdraw(attempt, reason=reason)
            return
        record = self.workers.get(attempt.worker)
        if attempt.phase is Phase.UNCERTAIN and record is not None and not record.gone:
            self.late_starts.add(attempt)
        self.drop_attempt(attempt)
        task, run = attempt.task, attempt.task.step.job
        if task.step.spec.gang and attempt.confirmed_s is None and bound_worker(task) is None:
            # A worker that refuses one member would keep the gang from starting each time.
            task.avoided_workers.add(attempt.worker)
        if checkpoint and not task.done:
            task.save_checkpoint(checkpoint, attempt=attempt.number, has_ended=False)
            self.mark_dirty(run)
        _log.info(
            "attempt ended early",
            job=task.id.job,
            task=task.id[1:],
            attempt=attempt.number,
            worker=attempt.worker,
            reason=reason,
        )

    def late_run_ends_s(self, attempt: Attempt) -> float:
        """Returns when a run that a late order starts at an unreachable worker has ended."""
        return attempt.order_ends_s + longest_lease_s(self.max_lease_s)

    def drop_expired_late_starts(self, now_s: float) -> None:
        """Drops the late starts that can no longer be carried out.

        One that was carried out at the last moment runs on for a lease at most, unless the worker
        has reported since. A report that doesn't list all ends doesn't tell whether it has ended.
        """
        self.late_starts.forget_stored(now_s)
        for attempt in self.late_starts.expired(now_s):
            record = self.workers.get(attempt.worker)
            reported_s = record.listed_all_s if record is not None else None
            has_reported = reported_s is not None and reported_s >= attempt.order_ends_s
            may_be_listed = record is not None and record.may_list_further_ends(now_s)
            has_ended = now_s >= self.late_run_ends_s(attempt) and not may_be_listed
            if has_reported or has_ended:
                self.late_starts.drop(attempt, result="expired")

    def may_carry_out_late(self, record: WorkerRecord) -> bool:
        """Returns whether the next incarnation of a worker may carry out a late order."""
        return not record.gone and self.late_starts.may_reach(record.id, self.clock.now_s())

    def may_forget(self, record: WorkerRecord) -> bool:
        """Returns whether nothing is to be learned from the return of a worker.

        Its next incarnation gets no tasks at once while it may carry out an order to this one.
        """
        if self.clock.now_s() < record.late_orders_until_s:
            return False
        return record.is_forgettable() and not self.may_carry_out_late(record)

    def forget_worker(self, record: WorkerRecord) -> None:
        """Removes a worker on which nothing runs; its token is kept in case it returns."""
        del self.workers[record.id]
        self.roster_changed = True
        self.discard_load(record.id)
        self.set_orphans(record, set())
        self.raised_tokens[record.id] = record.token + 1

    def incarnations(self) -> dict[str, int]:
        """Returns the start time of the current incarnation of each worker, by worker id."""
        return {record.id: record.info.incarnation_ms for record in self.workers.values()}

    def record_lost_contact(self, record: WorkerRecord) -> None:
        """Records that a worker that answered before does so no more."""
        now_s = self.clock.now_s()
        record.lost_contact_s = now_s
        self._lost_contacts = [
            (at_s, name) for at_s, name in self._lost_contacts if now_s - at_s < LOST_CONTACT_AGE_S
        ]
        self._lost_contacts.append((now_s, record.id))

    def lost_contact_with_others(self, worker: str, *, at_s: float, within_s: float) -> bool:
        """Returns whether contact with another worker was lost at about the same time."""
        return any(
            name != worker and abs(lost_s - at_s) <= within_s
            for lost_s, name in self._lost_contacts
        )

    def unresolved_workers(self, run: JobRun | None = None) -> list[WorkerRecord]:
        """Returns the workers on which unknown attempts of earlier leaders may run.

        Args:
            run: the job whose attempts they must be, None for any job.
        """
        if run is None or not self.starts_recorded:
            return [record for record in self.workers.values() if record.may_run_unknown]
        now_s = self.clock.now_s()
        records = map(self.workers.get, sorted({start.worker for start in run.earlier_starts}))
        return [
            record for record in records if record is not None and record.may_run_covered(now_s)
        ]

    def may_run_unseen(self, task: TaskRun) -> bool:
        """Returns whether an earlier leader may have started a task on an unresolved worker."""
        if not self.starts_recorded:
            return bool(self.unresolved_workers())
        covering = list(task.step.job.earlier_starts.covering(task))
        # A task with a record of its own was not started under that of another one.
        is_recorded = any(start.task is task for start in covering)
        until_s = math.inf if is_recorded else self.clock.now_s()
        return any(
            record.may_run_covered(until_s)
            for start in covering
            if (record := self.workers.get(start.worker)) is not None
        )

    def drop_record(self, step: StepRun) -> None:
        """Marks the record of a step as no longer needed."""
        self.unrecorded_steps.pop(step, None)
        if step in self.recorded_steps:
            self.recorded_steps.remove(step)
            self.obsolete_records.update(dict.fromkeys(record_keys(step)))

    def close_steps(self, steps: Iterable[StepRun]) -> None:
        """Removes steps that have nothing left to start."""
        for step in steps:
            self.open_steps.pop(step, None)
            self.drop_record(step)
