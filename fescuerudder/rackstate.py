"""State shared by the phases of a rack's control loop."""

from collections.abc import Callable, Iterable
from random import Random

import attrs

from fescuerudder.clock import Clock
from fescuerudder.document import ServiceDocument, Size
from fescuerudder.fleet import Fleet, WorkerState
from fescuerudder.interference import PeakSizes, Remedies, RunTimes, Slowdowns
from fescuerudder.ownership_types import RackLease, RackSummary
from fescuerudder.placement import Placement, WorkerLoad, commitments
from fescuerudder.quarantine import Quarantine
from fescuerudder.rackchoice import RackRequirement, choose_rack, is_in_service, replicas_by_rack
from fescuerudder.rackevents import RackEvent, RackObserver
from fescuerudder.rackports import RevisionSource, SessionStatus
from fescuerudder.rackrows import RackRows
from fescuerudder.task import Task
from fescuerudder.taskqueue import TeamShares, team_quotas
from fescuerudder.withdrawals import Withdrawals
from fescuerudder.workers import Usage


@attrs.define(kw_only=True)
class StartRecord:
    """A start order that was sent.

    Args:
        start_by_s: time on the worker's clock after which the worker refuses the order.
        sent_at_s: time of sending on the local clock.
        refusal: reason for which the attempt will certainly not start, or empty.
    """

    start_by_s: float
    sent_at_s: float
    refusal: str = ""


@attrs.frozen(kw_only=True)
class LearnedModels:
    """Models learned from usage reports; may be shared by the racks of one instance."""

    slowdowns: Slowdowns = attrs.field(factory=Slowdowns)
    sizes: PeakSizes = attrs.field(factory=PeakSizes)
    run_times: RunTimes = attrs.field(factory=RunTimes)


@attrs.define(kw_only=True)
class RackState:
    """State of one owned rack.

    Args:
        lease: ownership of the rack.
        zone: its availability zone.
        clock: source of time.
        rng: source of randomness.
        view: source of the configuration.
        session: session of this instance.
        fleet: workers of the rack.
        rows: task rows.
        quarantine: quarantined workers.
        placement: policy that chooses a worker.
        learned: learned slowdowns, sizes and run times.
        remedies: remedies against interference.
        withdrawals: replicas withdrawn from routing before they are stopped.
        summaries: returns the published summaries of all racks.
        new_id: returns unique ids for transactions.
        observe: called with each event.
        pending_events: event to report once the write in flight of a task is applied.
        unschedulable: waiting tasks that were reported to fit on no known worker.
        sent_starts: start orders sent under this lease, by task and attempt.
        running_since_s: when an attempt was first seen running.
        queued_since_s: when a task was first seen in the queue.
        last_probes: last task assigned to each quarantined worker.
        new_usage: usage reports that arrived in this cycle, by worker.
    """

    lease: RackLease
    zone: str
    clock: Clock
    rng: Random
    view: RevisionSource
    session: SessionStatus
    fleet: Fleet
    rows: RackRows
    quarantine: Quarantine
    placement: Placement
    learned: LearnedModels
    remedies: Remedies
    withdrawals: Withdrawals
    summaries: Callable[[], Iterable[RackSummary]]
    new_id: Callable[[], str]
    observe: RackObserver
    pending_events: dict[str, RackEvent] = attrs.field(factory=dict)
    unschedulable: set[str] = attrs.field(factory=set)
    sent_starts: dict[tuple[str, int], StartRecord] = attrs.field(factory=dict)
    running_since_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    queued_since_s: dict[str, float] = attrs.field(factory=dict)
    last_probes: dict[str, str] = attrs.field(factory=dict)
    new_usage: dict[str, list[Usage]] = attrs.field(factory=dict)

    @property
    def is_superseded(self) -> bool:
        """Whether another instance owns the rack now."""
        return self.fleet.is_superseded or self.rows.is_superseded

    def is_zone_in_service(self) -> bool:
        """Returns whether the newest known configuration has the zone in service."""
        return is_in_service(self.zone, self.view.current().zones)

    def services(self) -> dict[str, ServiceDocument]:
        """Returns the document of each service, by name."""
        return dict(self.view.current().services)

    def may_assign(self) -> bool:
        """Returns whether work may be assigned or started on the rack now.

        Freshness is checked before the zone's state is read, so that this state is at least as
        new as the read that confirmed the view.
        """
        return self.session.is_live() and self.view.is_fresh() and self.is_zone_in_service()

    def takes_work(self, state: WorkerState) -> bool:
        """Returns whether a worker may get new tasks."""
        if not (state.is_reachable and state.is_fenced) or state.is_leaving:
            return False
        name = state.member.id
        if not self.quarantine.is_quarantined(worker=name):
            return True
        return self.quarantine.is_probe_due(worker=name) and not self._is_probe_running(name)

    def loads(self) -> list[WorkerLoad]:
        """Returns the load of each worker that has reported a status."""
        tasks = self.rows.possibly_assigned()
        loads = []
        for name, state in sorted(self.fleet.workers.items()):
            if state.status is None:
                continue
            committed, services = commitments(
                attempts=state.attempts, assigned=[t for t in tasks if t.worker == name]
            )
            loads.append(
                WorkerLoad(
                    worker=name,
                    capacity=state.status.capacity.size,
                    committed=committed,
                    services=services,
                    takes_work=self.takes_work(state),
                )
            )
        return loads

    def rack_usage(self) -> dict[str, Size]:
        """Returns the committed resources on this rack by team."""
        used: dict[str, Size] = {}
        for task in self.rows.possibly_assigned():
            used[task.team] = used.get(task.team, Size()).plus(task.size)
        return used

    def team_shares(self) -> TeamShares:
        """Returns usage on all racks and quotas, by team."""
        usage = self.rack_usage()
        for summary in self.summaries():
            if summary.rack == self.lease.rack:
                continue
            for team, size in summary.used.items():
                usage[team] = usage.get(team, Size()).plus(size)
        return TeamShares(usage=usage, quotas=team_quotas(self.services().values()))

    def choose_other_rack(self, task: Task, *, required: RackRequirement) -> str | None:
        """Returns another rack for `task` that offers what is required, or None."""
        summaries = list(self.summaries())
        is_replica = task.kind == "replica"
        return choose_rack(
            size=task.size,
            zones=task.zones,
            summaries=summaries,
            zone_states=self.view.current().zones,
            rng=self.rng,
            exclude=self.lease.rack,
            required=required,
            replica_counts=replicas_by_rack(summaries, task.service) if is_replica else None,
        )

    def waited_s(self, task: Task) -> float:
        """Returns how long a task has been seen in the queue."""
        now_s = self.clock.now_s()
        return now_s - self.queued_since_s.get(task.id, now_s)

    def _is_probe_running(self, worker: str) -> bool:
        probe = self.last_probes.get(worker)
        return any(t.id == probe and t.worker == worker for t in self.rows.possibly_assigned())
