"""Standing tasks (replicas) of latency-critical services."""

import hashlib
from collections.abc import Callable, Iterable
from random import Random

import attrs
from result import Ok

from fescuerudder.clock import Clock
from fescuerudder.document import ServiceDocument
from fescuerudder.errors import StoreUnavailableError
from fescuerudder.home import choose_home
from fescuerudder.ownership_types import RackSummary
from fescuerudder.rackports import Committer, View
from fescuerudder.table import ABSENT, Check, Row, Table, Transaction, new_txn_id
from fescuerudder.task import Task, load_task, queue_put, task_key, task_put

SCAN_S = 10.0
"""Time between checks of a service whose document did not change."""


def rendezvous_first(*, candidates: Iterable[str], key: str) -> str | None:
    """Returns the candidate that ranks first for `key`, the same for every caller."""

    def rank(candidate: str) -> tuple[bytes, str]:
        return hashlib.sha256(f"{candidate}\0{key}".encode()).digest(), candidate

    return max(candidates, key=rank, default=None)


def replica_id(service: str, number: int) -> str:
    """Returns the task id of a replica."""
    return f"{service}.{number}"


class ReplicaKeeper:
    """Creates missing replica rows, ends surplus ones, and queues ended ones again.

    Args:
        instance: id of this instance.
        live: returns the ids of the live instances.
        table: for reads.
        committer: group commit.
        view: configuration.
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
        view: View,
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
        self._done: dict[str, tuple[ServiceDocument, float]] = {}

    def step(self) -> None:
        """Checks the services that this instance ranks first for."""
        if not self._view.is_fresh():
            return
        live = set(self._live())
        for doc in self._view.current().services.values():
            first = rendezvous_first(candidates=live, key=doc.name)
            if doc.kind == "latency-critical" and first == self._instance and self._is_due(doc):
                self._check(doc)

    def _is_due(self, doc: ServiceDocument) -> bool:
        done, at_s = self._done.get(doc.name, (None, 0.0))
        return done != doc or self._clock.now_s() >= at_s + SCAN_S

    def _check(self, doc: ServiceDocument) -> None:
        try:
            rows = self._table.read(prefixes=(task_key(f"{doc.name}."),))
        except StoreUnavailableError:
            return
        by_id = {row.key.removeprefix("task/"): row for row in rows}
        wanted = {replica_id(doc.name, n) for n in range(doc.replicas)}
        results = [self._create(doc, name) for name in sorted(wanted - by_id.keys())]
        results += [self._restart(doc, by_id[name]) for name in sorted(wanted & by_id.keys())]
        results += [self._end(by_id[name]) for name in sorted(by_id.keys() - wanted)]
        if all(results):
            self._done[doc.name] = (doc, self._clock.now_s())

    def _create(self, doc: ServiceDocument, name: str) -> bool:
        task = Task(
            id=name,
            service=doc.name,
            team=doc.team,
            kind="replica",
            size=doc.size,
            submitted_at_s=self._wall_s(),
            trace_id=name,
        )
        return self._queue(doc, task, version=ABSENT)

    def _restart(self, doc: ServiceDocument, row: Row) -> bool:
        """Queues an ended replica again; its attempt numbers go on."""
        task = load_task(row.value)
        if not task.is_final:
            return not task.cancel_requested
        fresh = attrs.evolve(
            task,
            state="queued",
            size=doc.size,
            worker="",
            worker_incarnation="",
            failed_workers=(),
            cancel_requested=False,
            result="",
        )
        return self._queue(doc, fresh, version=row.version)

    def _end(self, row: Row) -> bool:
        """Asks for the end of a surplus replica."""
        task = load_task(row.value)
        if task.is_final or task.cancel_requested:
            return True
        asked = attrs.evolve(task, cancel_requested=True, txn=self._new_id())
        check = Check(key=row.key, version=row.version)
        return self._commit(Transaction(checks=(check,), puts=(task_put(asked),)), asked)

    def _queue(self, doc: ServiceDocument, task: Task, *, version: int) -> bool:
        """Writes a replica into the queue of a rack; returns whether it was written."""
        rack = choose_home(
            size=task.size,
            zones=doc.zones,
            summaries=self._summaries(),
            zone_states=self._view.current().zones,
            rng=self._rng,
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
        return self._commit(txn, task)

    def _commit(self, txn: Transaction, task: Task) -> bool:
        is_applied = isinstance(self._committer.commit(txn), Ok)
        if is_applied:
            self._on_change(task.rack, task.id)
        return is_applied
