"""Replicas: the long-running tasks of latency-critical services."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

import attrs
from result import Ok

from fescuerudder import rendezvous
from fescuerudder.clock import Clock
from fescuerudder.document import ServiceDocument
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.ownership_types import RackSummary
from fescuerudder.rackchoice import choose_rack, is_in_service, is_large_enough, is_zone_allowed
from fescuerudder.rackports import Committer, RevisionSource
from fescuerudder.spread import Spread, spread_of
from fescuerudder.table import ABSENT, Check, Row, Table, Transaction, new_txn_id
from fescuerudder.task import Task, load_task, queue_put, task_key, task_put

MAX_REBALANCE_WAIT_S = 3600.0
CHECK_INTERVAL_S = 10.0
"""Time between checks of a service while its document and the leaving places stay the same."""


def _replica_ids(service: str) -> Iterable[str]:
    return (replica_id(service, number) for number in itertools.count())


def _replica_number(name: str) -> int:
    number = name.rpartition(".")[2]
    return int(number) if number.isdigit() else 0


def replica_id(service: str, number: int) -> str:
    """Returns the task id of a replica."""
    return f"{service}.{number}"


@attrs.frozen(kw_only=True)
class _Leaving:
    """Racks in zones out of service, and workers that are leaving."""

    racks: frozenset[str]
    workers: frozenset[str]

    def includes(self, task: Task) -> bool:
        """Returns whether a replica must leave its rack or worker."""
        return task.rack in self.racks or task.state == "assigned" and task.worker in self.workers


@attrs.frozen(kw_only=True)
class _LastRebalance:
    """The last move of a replica for a more even spread.

    Args:
        imbalance: imbalance of the spread before the move.
        wait_s: least time between this move and the next, in seconds.
        next_s: time from which the next move is allowed.
    """

    imbalance: int
    wait_s: float
    next_s: float


class ReplicaController:
    """Creates missing replicas, including substitutes for leaving ones, and ends surplus ones.

    A replica in a zone out of service or on a leaving worker stops only after its requests
    have ended, so its substitute is created at once.

    Args:
        instance: id of this instance.
        live: returns the ids of the live instances.
        table: for reads.
        committer: group commit.
        view: source of the configuration.
        summaries: returns the published summaries of all racks.
        clock: source of time.
        rng: source of randomness.
        wall_s: returns wall-clock time in seconds, for the order of submission.
        new_id: returns unique ids for transactions.
        on_change: called with rack and task id, so that the rack's owner reads the task.
    """

    def __init__(
        self,
        *,
        instance: str,
        live: Callable[[], Iterable[str]],
        table: Table,
        committer: Committer,
        view: RevisionSource,
        summaries: Callable[[], Iterable[RackSummary]],
        clock: Clock,
        rng: Random,
        wall_s: Callable[[], float],
        new_id: Callable[[], str] = new_txn_id,
        on_change: Callable[[str, str], None] = lambda rack, task: None,
    ) -> None:
        self._instance = instance
        self._live = live
        self._table = table
        self._committer = committer
        self._view = view
        self._summaries = summaries
        self._clock = clock
        self._rng = rng
        self._wall_s = wall_s
        self._new_id = new_id
        self._on_change = on_change
        self._rebalances: dict[str, _LastRebalance] = {}
        self._checked: dict[str, tuple[ServiceDocument, _Leaving, float]] = {}

    def step(self) -> None:
        """Checks the services that rendezvous hashing assigns to this instance."""
        if not self._view.is_fresh():
            return
        live = set(self._live())
        leaving = self._find_leaving()
        for doc in self._view.current().services.values():
            first = rendezvous.first(key=doc.name, nodes=live)
            if doc.kind == "latency-critical" and first == self._instance:
                self._check(doc, leaving)

    def _find_leaving(self) -> "_Leaving":
        zones = self._view.current().zones
        summaries = list(self._summaries())
        return _Leaving(
            racks=frozenset(s.rack for s in summaries if not is_in_service(s.zone, zones)),
            workers=frozenset(up.worker for s in summaries for up in s.upstreams if up.leaving),
        )

    def _check(self, doc: ServiceDocument, leaving: "_Leaving") -> None:
        checked, last_leaving, at_s = self._checked.get(doc.name, (None, None, 0.0))
        if (checked, last_leaving) == (
            doc,
            leaving,
        ) and self._clock.now_s() < at_s + CHECK_INTERVAL_S:
            return
        try:
            rows = self._table.read(prefixes=(task_key(f"{doc.name}."),))
        except StoreUnavailableError:
            return
        by_id = {row.key.removeprefix("task/"): row for row in rows}
        tasks = {name: load_task(row.value) for name, row in by_id.items()}
        active = {n: t for n, t in tasks.items() if not (t.is_final or t.cancel_requested)}
        staying = {n: t for n, t in active.items() if not leaving.includes(t)}
        replica_counts = Counter(task.rack for task in staying.values())
        results = []
        free = (n for n in _replica_ids(doc.name) if n not in tasks or tasks[n].is_final)
        for name in itertools.islice(free, max(0, doc.replicas - len(staying))):
            results.append(self._start_replica(doc, name, by_id.get(name), replica_counts))
        spread = spread_of(staying.values(), self._usable_zones(doc))
        surplus = len(active) + results.count(True) - doc.replicas
        if surplus > 0:
            results += self._end_surplus(by_id, active, staying, spread, surplus)
        elif not results and self._is_rebalance_due(doc, staying, spread):
            # Adds a replica in a better place; the next check ends one in the crowded place.
            name = next(free)
            results.append(self._start_replica(doc, name, by_id.get(name), replica_counts))
            results.append(False)
        if all(results):
            self._checked[doc.name] = (doc, leaving, self._clock.now_s())

    def _end_surplus(
        self,
        by_id: dict[str, Row],
        active: dict[str, Task],
        staying: dict[str, Task],
        spread: Spread,
        surplus: int,
    ) -> list[bool]:
        """Ends leaving replicas first, then one of a crowded place, else the ones not assigned."""
        leaving = sorted(active.keys() - staying.keys())[:surplus]
        results = [self._request_end(by_id[name]) for name in leaving]
        crowded = [n for n, task in staying.items() if spread.is_crowded(task.rack)]
        if surplus > len(leaving) and crowded:
            if any(task.state != "assigned" for task in staying.values()):
                return [*results, False]  # The substitute does not run yet.
            first = max(crowded, key=lambda n: (spread.removal_key(staying[n]), _replica_number(n)))
            return [*results, self._request_end(by_id[first]), False]
        order = sorted(staying, key=lambda n: (staying[n].state == "assigned", -_replica_number(n)))
        return results + [self._request_end(by_id[n]) for n in order[: surplus - len(leaving)]]

    def _usable_zones(self, doc: ServiceDocument) -> dict[str, str]:
        """Returns the zone of each rack in service that can run a replica."""
        zones = self._view.current().zones
        return {
            s.rack: s.zone
            for s in self._summaries()
            if is_zone_allowed(s, doc.zones)
            and is_in_service(s.zone, zones)
            and is_large_enough(s, doc.size)
        }

    def _is_rebalance_due(
        self, doc: ServiceDocument, staying: dict[str, Task], spread: Spread
    ) -> bool:
        """Returns whether a replica should move now for a more even spread.

        If the last move did not reduce the imbalance, the next one waits twice as long: the
        sharing rules may forbid the better place.
        """
        is_stable = all(task.state == "assigned" for task in staying.values())
        if not is_stable or not any(spread.is_crowded(t.rack) for t in staying.values()):
            return False
        now_s = self._clock.now_s()
        last = self._rebalances.get(doc.name)
        if last is not None and now_s < last.next_s:
            return False
        helped = last is None or spread.imbalance < last.imbalance
        wait_s = CHECK_INTERVAL_S if helped else min(2 * last.wait_s, MAX_REBALANCE_WAIT_S)
        self._rebalances[doc.name] = _LastRebalance(
            imbalance=spread.imbalance, wait_s=wait_s, next_s=now_s + wait_s
        )
        return True

    def _start_replica(
        self, doc: ServiceDocument, name: str, row: Row | None, replica_counts: Counter[str]
    ) -> bool:
        """Queues a new replica under a free name; returns whether it was written."""
        if row is None:
            return self._create(doc, name, replica_counts)
        return self._restart(doc, row, replica_counts)

    def _create(self, doc: ServiceDocument, name: str, replica_counts: Counter[str]) -> bool:
        task = Task(
            id=name,
            service=doc.name,
            team=doc.team,
            kind="replica",
            size=doc.size,
            submitted_at_s=self._wall_s(),
            trace_id=name,
        )
        return self._enqueue(doc, task, version=ABSENT, replica_counts=replica_counts)

    def _restart(self, doc: ServiceDocument, row: Row, replica_counts: Counter[str]) -> bool:
        """Queues an ended replica again; its attempt numbers continue."""
        restarted = attrs.evolve(
            load_task(row.value),
            state="queued",
            size=doc.size,
            worker="",
            worker_incarnation="",
            failed_workers=(),
            cancel_requested=False,
            result="",
        )
        return self._enqueue(doc, restarted, version=row.version, replica_counts=replica_counts)

    def _request_end(self, row: Row) -> bool:
        """Requests the end of a surplus replica; returns whether the request was written."""
        task = load_task(row.value)
        updated = attrs.evolve(task, cancel_requested=True, txn=self._new_id())
        check = Check(key=row.key, version=row.version)
        return self._commit(Transaction(checks=(check,), puts=(task_put(updated),)), updated)

    def _enqueue(
        self, doc: ServiceDocument, task: Task, *, version: int, replica_counts: Counter[str]
    ) -> bool:
        """Adds a replica to the queue of a rack; returns whether it was written."""
        rack = choose_rack(
            size=task.size,
            zones=doc.zones,
            summaries=self._summaries(),
            zone_states=self._view.current().zones,
            rng=self._rng,
            replica_counts=replica_counts,
        )
        if rack is None:
            return False
        task = attrs.evolve(
            task,
            rack=rack,
            zones=doc.zones,
            urgent=doc.urgent,
            outage_run_s=doc.outage_run_s,
            txn=self._new_id(),
        )
        check = Check(key=task_key(task.id), version=version)
        txn = Transaction(checks=(check,), puts=(task_put(task), queue_put(task)))
        is_written = self._commit(txn, task)
        replica_counts[rack] += is_written
        return is_written

    def _commit(self, txn: Transaction, task: Task) -> bool:
        is_applied = isinstance(self._committer.commit(txn), Ok)
        if is_applied:
            self._on_change(task.rack, task.id)
        return is_applied
