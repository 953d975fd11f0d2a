"""Runs one term of a leader.

An actor schedules, the event loop of the instance sends orders to the workers, and threads call the
store.
"""

import asyncio
import threading
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import pykka
import structlog

from fescuerudder import checked
from fescuerudder.clock import Clock
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs._loopthread import LoopThread
from fescuerudder.jobs.advicecall import ask_advice
from fescuerudder.jobs.adviceport import AdvicePort, AdviceQuery
from fescuerudder.jobs.answertimes import AnswerTimes
from fescuerudder.jobs.cancellations import Cancellation
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.historymover import MAX_MOVE_UNCONFIRMED_S, HistoryMover
from fescuerudder.jobs.jobfeed import JobFeed
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leaderwriter import (
    STORE_RETRY_S,
    LeadershipLostError,
    LeaderWriter,
    RowGroup,
    resolve_pause_s,
)
from fescuerudder.jobs.leases import LEASE_HORIZON_S, LeasePolicy
from fescuerudder.jobs.policy import DEFAULT_POLICY, SchedulingPolicy
from fescuerudder.jobs.progress import StoredJob
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.rows import RowStore
from fescuerudder.jobs.rowsupport import RowSupport
from fescuerudder.jobs.scheduler import Order, Scheduler
from fescuerudder.jobs.scheduleractor import SchedulerActor
from fescuerudder.jobs.schedulerstate import Term
from fescuerudder.jobs.takeover import LoadedState
from fescuerudder.jobs.termevents import (
    Answered,
    Batch,
    Configured,
    Fenced,
    Kept,
    Listed,
    Moved,
    Replaced,
    Reported,
    Silent,
    Stored,
    Submitted,
    Tick,
    outcome_label,
    unanswered,
)
from fescuerudder.jobs.termloading import TermLoader, read_jobs
from fescuerudder.jobs.workerport import (
    OrderAnswer,
    OrderResult,
    OtherLifeError,
    RenewOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerFencedError,
    WorkerPort,
    WorkerRegistry,
    WorkerSilentError,
    WorkerUnreachableError,
)

HEARTBEAT_INTERVAL_S = 0.4
WRITE_PAUSE_S = 0.05
"""Pause between two writes, so that one transaction holds the progress of many tasks."""

STARTS_WRITE_PAUSE_S = 0.02
"""The pause while starts wait for their records."""

TICK_INTERVAL_S = 0.1
REGISTRY_READ_INTERVAL_S = 1.0

ADVICE_THREADS = 2
MAX_ORDER_QUEUE_S = 1.5
"""Time after which an order that the event loop has not begun to send is dropped as outdated. At
0.4 s a busy leader gave six orders for each task done: dropped starts are recorded anew."""

PROGRESS_REQUEST_TIMEOUT_S = 5.0

_log = structlog.get_logger(__name__)


class LeaderTerm:
    """One term of this instance as the leader; a context manager that runs it.

    Args:
        store: the store.
        loop: event loop in which orders are sent.
        workers: sends orders.
        registry: lists the workers.
        clock: source of time.
        wall_ms: returns Unix time in milliseconds.
        claim: the claim.
        claim_version: version of its row.
        lease_s: length of the leases in seconds.
        max_lease_s: longest lease that a worker grants, in seconds.
        view: returns the configuration.
        advice: the advice service, None if the deployment has none.
        publish: called with job states that have been stored, and with the number of waiting jobs
            of each queue, None if unchanged.
        metrics: metrics of this instance.
        policy: choices of the operators.
        row_support: which rows all instances read; if None, all are of this version.
    """

    def __init__(
        self,
        *,
        store: RowStore,
        loop: LoopThread,
        workers: WorkerPort,
        advice: AdvicePort | None,
        registry: WorkerRegistry,
        clock: Clock,
        wall_ms: Callable[[], float],
        claim: Claim,
        claim_version: int,
        lease_s: float,
        max_lease_s: float = LEASE_HORIZON_S,
        view: Callable[[], ConfigView],
        publish: Callable[[dict[str, JobState], dict[str, int] | None], None],
        metrics: JobMetrics,
        policy: SchedulingPolicy = DEFAULT_POLICY,
        row_support: RowSupport | None = None,
    ) -> None:
        self._row_support = row_support or RowSupport(clock=clock)
        self._store = store
        self._metrics = metrics
        self._publish = publish
        self._loop = loop
        self._workers, self._registry, self._advice = workers, registry, advice
        self._clock = clock
        self._wall_ms = wall_ms
        self._view = view
        self._epoch, self._claim_version = claim.epoch, claim_version
        self.lost = threading.Event()
        self._stopping = threading.Event()
        self._starts_planned = threading.Event()
        self._writer = LeaderWriter(
            store=store, clock=clock, claim=claim, claim_version=claim_version
        )
        self._leases = LeasePolicy(
            lease_s=lease_s,
            max_lease_s=max_lease_s,
            confirmed_s=lambda: self._writer.confirmed_s,
            answered_s=lambda: self._writer.answered_s,
            bounded_s=lambda: self._writer.bounded_s,
        )
        self._scheduler = Scheduler(
            term=Term(epoch=claim.epoch, claim_version=claim_version),
            clock=clock,
            wall_ms=wall_ms,
            leases=self._leases,
            policy=policy,
        )
        self._advice_calls = ThreadPoolExecutor(ADVICE_THREADS, thread_name_prefix="advice")
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._answer_times = AnswerTimes()
        self._loader = TermLoader(store=store, clock=clock, wall_ms=wall_ms, writer=self._writer)
        self._unsent_events: list[Any] = []
        self._threads: list[threading.Thread] = []
        self._ref: pykka.ActorRef[SchedulerActor] | None = None

    def __enter__(self) -> "LeaderTerm":
        loaded = self._load()
        self._ref = SchedulerActor.start(
            scheduler=self._scheduler,
            send_orders=self._send_orders,
            on_starts_planned=self._starts_planned.set,
            clock=self._clock,
            may_order=self._may_order,
            on_superseded=lambda: self._end_term("a worker has orders of a later leader"),
        )
        for loop in (self._tick, self._write, self._read_registry):
            self._start_thread(loop)
        self._start_thread(lambda: self._follow_jobs(loaded.version))
        self._metrics.accounts.watch(self._scheduler.account_figures)
        self._start_thread(self._mover().run)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()
        self._metrics.accounts.unwatch(self._scheduler.account_figures)
        self._loop.call(self._cancel_orders)
        self._advice_calls.shutdown(wait=False, cancel_futures=True)
        if self._ref is not None:
            self._ref.stop(block=False)

    @property
    def unconfirmed_s(self) -> float:
        """Time since the last heartbeat that is known to be stored was sent, in seconds."""
        return self._clock.now_s() - self._writer.confirmed_s

    @property
    def starts_recorded(self) -> bool:
        """Whether the store has records of all attempts that may run."""
        return self._writer.starts_recorded

    @property
    def is_loading(self) -> bool:
        """Whether the stored state is still being loaded."""
        return self._loader.is_loading

    @property
    def is_stalled(self) -> bool:
        """Whether the load makes no progress, so that another instance should claim."""
        return self._loader.is_stalled

    def states(self) -> dict[str, JobState]:
        """Returns the stored states of all jobs."""
        return self._scheduler.stored_states.copy()

    def ask(self, call: Callable[[Scheduler], Any], *, timeout_s: float) -> Any:
        """Calls a function with the scheduler, between two plans, and returns its result."""
        assert self._ref is not None
        return self._ref.ask(call, timeout=timeout_s)

    def configure(self, view: ConfigView) -> None:
        """Passes a new configuration to the scheduler."""
        self._post_event(Configured(view=view))

    def _load(self) -> LoadedState:
        scheduler = self._scheduler
        with self._loader:
            loaded = self._loader.load(scheduler, self._view())
            scheduler.set_workers(self._registry.read())
        self._loader.prepare_writer(loaded, scheduler)
        self._publish(scheduler.stored_states.copy(), scheduler.pending())
        _log.info(
            "jobs loaded",
            live=len(loaded.live),
            ended=len(loaded.ended),
            workers=len(scheduler.state.workers),
            starts_recorded=scheduler.state.starts_recorded,
            version=loaded.version,
        )
        return loaded

    def _start_thread(self, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _post_event(self, event: Any) -> None:
        if self._ref is not None and not self._stopping.is_set():
            try:
                self._ref.tell(event)
            except pykka.ActorDeadError:
                _log.debug("event after the end of the term")

    def _may_order(self) -> bool:
        return self._leases.length_s(self._clock.now_s()) > 0 and not self._stopping.is_set()

    # --- orders

    def _send_orders(self, orders: Sequence[Order]) -> None:
        self._loop.call(self._begin_orders, orders, self._clock.now_s())

    def _begin_orders(self, orders: Sequence[Order], planned_s: float) -> None:
        """Starts a task for each order; runs in the event loop."""
        if self._stopping.is_set():
            return
        for order in orders:
            task = asyncio.create_task(self._execute_order(order, planned_s))
            self._order_tasks.add(task)
            task.add_done_callback(self._order_tasks.discard)

    def _cancel_orders(self) -> None:
        for task in list(self._order_tasks):
            task.cancel()

    async def _execute_order(self, order: Order, planned_s: float) -> None:
        started_s = self._clock.now_s()
        try:
            event = await self._call_peer(order, planned_s, started_s)
            outcome = outcome_label(event)
        except Exception as exc:
            # Without an event, the scheduler would wait for the outcome for good.
            _log.exception("order failed", order=type(order).__name__)
            event = unanswered(order, sent_s=started_s, reason=checked.reason(exc))
            outcome = "failed"
        self._collect_event(event)
        self._metrics.record_call(
            peer="advice" if isinstance(order, AdviceQuery) else "worker",
            operation=type(order).__name__,
            outcome=outcome,
            seconds=self._clock.now_s() - started_s,
        )

    async def _call_peer(self, order: Order, planned_s: float, started_s: float) -> Any:
        """Sends an order, or a query for advice; returns the event of its outcome."""
        if isinstance(order, RenewOrder):
            return await self._renew(order)
        if isinstance(order, AdviceQuery):
            return await asyncio.wrap_future(
                self._advice_calls.submit(ask_advice, self._advice, order, clock=self._clock)
            )
        if started_s - planned_s > MAX_ORDER_QUEUE_S:
            _log.warning(
                "order dropped", order=type(order).__name__, queued_s=started_s - planned_s
            )
            return Answered(order=order, answer=OrderAnswer(OrderResult.NOT_SENT))
        return Answered(order=order, answer=await self._send_order(order))

    def _collect_event(self, event: Any) -> None:
        """Passes an event to the actor, together with the others of this round of the loop."""
        if not self._unsent_events:
            asyncio.get_running_loop().call_soon(self._post_collected)
        self._unsent_events.append(event)

    def _post_collected(self) -> None:
        events, self._unsent_events = self._unsent_events, []
        self._post_event(Batch(events=events))

    async def _send_order(self, order: StartOrder | StopOrder | ThrottleOrder) -> OrderAnswer:
        sent_s = self._clock.now_s()
        timeout_s = self._answer_times.order_timeout_s(order.worker)
        if isinstance(order, StartOrder):
            answer = await self._workers.start(order, timeout_s=timeout_s)
        elif isinstance(order, StopOrder):
            answer = await self._workers.stop(order, timeout_s=timeout_s)
        else:
            answer = await self._workers.throttle(order, timeout_s=timeout_s)
        if answer.result is OrderResult.UNKNOWN:
            self._answer_times.record_loss(order.worker)
        elif answer.result is not OrderResult.NOT_SENT:
            self._answer_times.record_answer(order.worker, self._clock.now_s() - sent_s)
        return answer

    async def _renew(self, order: RenewOrder) -> Any:
        sent_s = self._clock.now_s()
        margin_s = self._answer_times.report_margin_s(order.worker)
        try:
            report = await self._workers.renew(order, timeout_s=order.wait_ms / 1000 + margin_s)
        except WorkerFencedError:
            return Fenced(order=order)
        except OtherLifeError:
            return Replaced(order=order)
        except WorkerSilentError as exc:
            self._answer_times.record_loss(order.worker)
            is_lost = isinstance(exc, WorkerUnreachableError)
            return Silent(order=order, sent_s=sent_s, reason=str(exc), is_unreachable=is_lost)
        return Reported(order=order, report=report, sent_s=sent_s)

    # --- loops

    def _tick(self) -> None:
        while not self._stopping.is_set():
            self._post_event(Tick())
            self._clock.wait_s(self._stopping, TICK_INTERVAL_S)

    def _read_registry(self) -> None:
        while not self._clock.wait_s(self._stopping, REGISTRY_READ_INTERVAL_S):
            try:
                self._post_event(Listed(workers=self._registry.read()))
            except StoreUnavailableError as exc:
                _log.warning("registry not read", reason=str(exc))
            except Exception:
                _log.exception("registry not taken")

    def _follow_jobs(self, version: int) -> None:
        feed = JobFeed(
            store=self._store,
            clock=self._clock,
            stopping=self._stopping,
            claim_version=self._claim_version,
            read_all=lambda: read_jobs(store=self._store, clock=self._clock, wall_ms=self._wall_ms),
            on_jobs=self._take_jobs,
            on_reloaded=lambda jobs, cancels: self._post_event(
                Submitted(jobs=jobs, cancels=cancels)
            ),
            on_claimed=lambda: self._end_term("another instance has claimed"),
        )
        feed.run(version)

    def _mover(self) -> HistoryMover:
        ref: Any = self._ref
        return HistoryMover(
            store=self._store,
            clock=self._clock,
            stopping=self._stopping,
            epoch=self._epoch,
            may_move=self._may_move_history,
            take=lambda: ref.ask(Scheduler.take_moves, timeout=PROGRESS_REQUEST_TIMEOUT_S),
            on_moved=lambda batch: self._post_event(Moved(batch=batch)),
            on_kept=lambda batch: self._post_event(Kept(batch=batch)),
        )

    def _may_move_history(self) -> bool:
        """Returns whether every instance finds moved jobs, and the store takes running work."""
        return self._row_support.reads_ended and self.unconfirmed_s <= MAX_MOVE_UNCONFIRMED_S

    def _take_jobs(self, jobs: list[StoredJob], cancels: list[Cancellation]) -> None:
        self._post_event(Submitted(jobs=jobs, cancels=cancels))
        self._publish({stored.job.id: JobState.QUEUED for stored in jobs}, None)

    def _write(self) -> None:
        batch: ProgressBatch | None = None
        # A heartbeat that was stored while the state was loaded may have got no answer.
        is_resolved = False
        unanswered = 0
        while not self._stopping.is_set():
            try:
                if not is_resolved:
                    self._writer.resolve()
                    is_resolved, unanswered = True, 0
                if batch is None:
                    batch = self._next_batch()
                rejected = self._writer.write(
                    batch.rows,
                    pending=batch.pending,
                    deletes=batch.deletes,
                    leader_rows=batch.leader_rows(),
                    starts_recorded=batch.starts_recorded,
                    leases_until_s=batch.leases_until_s,
                )
            except LeadershipLostError as exc:
                self._end_term(str(exc))
                return
            except StoreOutcomeUnknownError:
                is_resolved = False
                self._clock.wait_s(self._stopping, resolve_pause_s(unanswered))
                unanswered += 1
                continue
            except StoreUnavailableError as exc:
                _log.warning("progress not stored", reason=str(exc))
                self._clock.wait_s(self._stopping, STORE_RETRY_S)
                continue
            except pykka.Timeout:
                _log.warning("no progress from the scheduler", waited_s=PROGRESS_REQUEST_TIMEOUT_S)
                continue
            except pykka.ActorDeadError:
                if not self._stopping.is_set():
                    self._end_term("the scheduler has ended")
                return
            except Exception:
                # The batch is kept, and what was sent of it is resolved first.
                _log.exception("progress not written")
                is_resolved = False
                self._clock.wait_s(self._stopping, STORE_RETRY_S)
                continue
            self._finish_batch(batch, rejected)
            batch = None
            self._wait_for_progress()

    def _finish_batch(self, batch: ProgressBatch, rejected: Collection[RowGroup]) -> None:
        """Lets a stored batch take effect, but for the rows that the store rejected."""
        for group in rejected:
            self._metrics.record_isolated(rows=group.entries)
        self._metrics.record_roster(batch.roster)
        names = frozenset(group.name for group in rejected)
        self._post_event(Stored(batch=batch, rejected=names))
        self._publish(batch.without(names).states, batch.pending)

    def _next_batch(self) -> ProgressBatch:
        assert self._ref is not None
        take = partial(
            Scheduler.take_progress,
            compact=self._row_support.reads_ended,
            earlier_version=self._row_support.has_earlier_version,
            roster_rows=self._row_support.reads_roster_rows,
        )
        return self._ref.ask(take, timeout=PROGRESS_REQUEST_TIMEOUT_S)

    def _wait_for_progress(self) -> None:
        """Waits until there is progress to store or a heartbeat is due."""
        end_s = self._clock.now_s() + HEARTBEAT_INTERVAL_S
        self._clock.wait_s(self._stopping, STARTS_WRITE_PAUSE_S)
        while self._clock.now_s() < end_s and not self._stopping.is_set():
            self._starts_planned.clear()
            if self._scheduler.has_unrecorded_starts:
                return
            self._clock.wait_s(self._starts_planned, WRITE_PAUSE_S - STARTS_WRITE_PAUSE_S)
            if self._scheduler.needs_write:
                return

    def _end_term(self, reason: str) -> None:
        if self.lost.is_set():
            return
        _log.warning("leadership lost", reason=reason)
        self._stopping.set()
        self.lost.set()
