"""Control loop of one rack, run by the instance that owns it."""

import threading
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

from fescuerudder.assign import assign_queue, send_starts
from fescuerudder.clock import Clock
from fescuerudder.document import Size
from fescuerudder.evict import evict_all_due
from fescuerudder.fleet import Fleet, WorkerState
from fescuerudder.interference import Remedies
from fescuerudder.ownership_types import RackLease, RackSummary, UpstreamState
from fescuerudder.placement import LeastInterference, Placement
from fescuerudder.quarantine import Quarantine
from fescuerudder.rackevents import RackObserver, ignore_event, task_event
from fescuerudder.rackports import (
    Committer,
    RevisionSource,
    RunAll,
    SessionStatus,
    WorkerSource,
    run_in_order,
)
from fescuerudder.rackrows import RackRows
from fescuerudder.rackstate import LearnedModels, RackState
from fescuerudder.reconcile import cancel_queued, clean_up_attempts, reconcile
from fescuerudder.renewals import renew_leases
from fescuerudder.table import Table, new_txn_id
from fescuerudder.transfer import transfer_queue
from fescuerudder.withdrawals import MayBeInUse, Withdrawals, assume_in_use


def no_summaries() -> tuple[RackSummary, ...]:
    """Returns no summaries; the default for a rack on its own."""
    return ()


class RackController:
    """Schedules tasks on the workers of one rack while this instance owns it.

    A controller belongs to one lease of the rack; its methods may be called by any thread.

    Args:
        rack: rack id.
        zone: availability zone of the rack.
        lease: ownership of the rack.
        committer: group commit.
        table: for reads.
        workers: returns the workers of the rack in the membership list.
        clock: source of time.
        view: source of the configuration.
        session: session of this instance.
        rng: source of randomness.
        summaries: returns the published summaries of all racks.
        placement: policy that chooses a worker; the least interference if None.
        learned: learned slowdowns, sizes and run times; new ones if None.
        may_be_in_use: returns whether a request to (worker, service) may be in progress.
        remedies: remedies against interference; throttling, then moving, if None.
        observe: called with each event, for logs and metrics.
        run_all: runs requests to several workers, possibly in parallel.
        new_id: returns unique ids for transactions.
    """

    def __init__(
        self,
        *,
        rack: str,
        zone: str,
        lease: RackLease,
        committer: Committer,
        table: Table,
        workers: WorkerSource,
        clock: Clock,
        view: RevisionSource,
        session: SessionStatus,
        rng: Random,
        summaries: Callable[[], Iterable[RackSummary]] = no_summaries,
        placement: Placement | None = None,
        learned: LearnedModels | None = None,
        may_be_in_use: MayBeInUse = assume_in_use,
        remedies: Remedies | None = None,
        observe: RackObserver = ignore_event,
        run_all: RunAll = run_in_order,
        new_id: Callable[[], str] = new_txn_id,
    ) -> None:
        learned = learned or LearnedModels()
        self.rack = rack
        self._hints: deque[str] = deque()
        self._is_stopped = False
        self._stepping = threading.Lock()
        self._state = RackState(
            lease=lease,
            zone=zone,
            clock=clock,
            rng=rng,
            view=view,
            session=session,
            fleet=Fleet(lease=lease, source=workers, clock=clock, run_all=run_all),
            rows=RackRows(lease=lease, table=table, committer=committer),
            quarantine=Quarantine(clock=clock),
            placement=placement or LeastInterference(slowdowns=learned.slowdowns),
            learned=learned,
            remedies=remedies or Remedies(slowdowns=learned.slowdowns),
            withdrawals=Withdrawals(clock=clock, session=session, may_be_in_use=may_be_in_use),
            summaries=summaries,
            new_id=new_id,
            observe=observe,
        )
        self._summary = RackSummary(rack=rack, zone=zone, epoch=lease.epoch)

    @property
    def is_superseded(self) -> bool:
        """Whether another instance is known to own the rack."""
        return self._state.is_superseded

    def hint(self, task_id: str) -> None:
        """Makes the next cycle read the row of a task."""
        self._hints.append(task_id)

    def summary(self) -> RackSummary:
        """Returns the summary of the last cycle."""
        return self._summary

    def stop(self) -> None:
        """Turns all later cycles into no-ops, before a handover or the end of control."""
        self._is_stopped = True

    def resume(self) -> None:
        """Ends the effect of `stop`, when the lease goes on after all."""
        self._is_stopped = False

    def step(self) -> None:
        """Runs one control cycle."""
        with self._stepping:
            self._step()

    def _step(self) -> None:
        state = self._state
        if not self._is_active():
            return
        self._drain_hints()
        state.withdrawals.begin_cycle()
        state.fleet.refresh()
        self._learn_from_statuses()
        # Leases are renewed before rows are read: with a slow store they could expire meanwhile.
        was_loaded = state.rows.is_loaded
        if was_loaded and self._is_active():
            renew_leases(state)
        is_loaded = state.rows.load(reported=state.fleet.task_ids())
        if not was_loaded and self._is_active():
            renew_leases(state)
        if is_loaded:
            self._run_phases()
        self._summary = self._summarise()

    def _run_phases(self) -> None:
        """Runs the phases that write, each after the writes of the one before."""
        self._report_applied()
        self._update_waiting()
        self._drop_old_attempts()
        for phase in (
            reconcile,
            clean_up_attempts,
            cancel_queued,
            evict_all_due,
            assign_queue,
            send_starts,
            transfer_queue,
        ):
            if not self._is_active():
                return
            phase(self._state)
            self._state.rows.collect_writes()
            self._report_applied()

    def _is_active(self) -> bool:
        state = self._state
        return not (self._is_stopped or state.is_superseded or state.session.fenced)

    def _drain_hints(self) -> None:
        while self._hints:
            self._state.rows.mark_stale(self._hints.popleft())

    def _learn_from_statuses(self) -> None:
        """Updates the learned models from the usage reports of the statuses."""
        state = self._state
        state.new_usage = {}
        for worker in state.fleet.reachable():
            new_usage = state.learned.slowdowns.observe(worker.status)
            state.new_usage[worker.member.id] = new_usage
            for usage in new_usage:
                state.learned.sizes.observe(usage)

    def _report_applied(self) -> None:
        """Reports the events of writes that became durable."""
        state = self._state
        for task in state.rows.pop_applied():
            event = state.pending_events.pop(task.id, None)
            if task.state == "assigned":
                event = task_event("assign", task)
            if event is not None:
                state.observe(event)

    def _update_waiting(self) -> None:
        """Updates the times since when tasks wait; drops state of tasks that no longer wait."""
        state = self._state
        now_s = state.clock.now_s()
        state.queued_since_s = {
            stored.task.id: state.queued_since_s.get(stored.task.id, now_s)
            for stored in state.rows.queued()
        }
        state.unschedulable &= state.queued_since_s.keys()
        state.pending_events = {
            i: e for i, e in state.pending_events.items() if state.rows.get(i) is not None
        }

    def _drop_old_attempts(self) -> None:
        """Drops the records of attempts that no row names; attempt numbers are not reused."""
        state = self._state
        for records in (state.sent_starts, state.running_since_s):
            for task_id, attempt in list(records):
                stored = state.rows.get(task_id)
                is_named = stored is not None and stored.task.attempt <= attempt
                if state.rows.is_settled(task_id) and not is_named or stored is None:
                    del records[(task_id, attempt)]

    def _summarise(self) -> RackSummary:
        state = self._state
        loads = state.loads()
        assigned = state.rows.assigned()
        return RackSummary(
            rack=self.rack,
            zone=state.zone,
            epoch=state.lease.epoch,
            free=tuple(load.free for load in loads if load.takes_work),
            largest=_maximal_sizes([load.capacity for load in loads]),
            used=state.rack_usage(),
            queue_length=len(state.rows.queued()),
            running=len(assigned),
            running_batch=sum(stored.task.kind == "batch" for stored in assigned),
            upstreams=tuple(
                self._upstream_state(worker)
                for _, worker in sorted(state.fleet.workers.items())
                if worker.status is not None
            ),
        )

    def _upstream_state(self, worker: WorkerState) -> UpstreamState:
        services = self._state.services()
        running = {a.service for a in worker.attempts if not a.is_ended}
        critical = {
            name
            for name in running
            if name in services
            and services[name].kind == "latency-critical"
            and not self._state.withdrawals.is_withdrawn(worker.member.id, name)
        }
        return UpstreamState(
            worker=worker.member.id,
            data=worker.member.data,
            slots=worker.status.capacity.slots,
            services=tuple(sorted(critical)),
            leaving=worker.is_leaving,
            status_age_s=self._state.clock.now_s() - worker.clock_reading.received_at_s,
        )


def _maximal_sizes(sizes: list[Size]) -> tuple[Size, ...]:
    """Returns the sizes that do not fit in another one."""
    found: list[Size] = []
    for size in sizes:
        if any(size.fits_in(other) for other in found):
            continue
        found = [other for other in found if not other.fits_in(size)] + [size]
    return tuple(found)
