"""Submission, lookup and cancellation of batch tasks."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Literal

import attrs
from result import Err, Ok, Result

from fescuerudder.document import ServiceDocument
from fescuerudder.errors import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.ownership_types import RackSummary
from fescuerudder.rackchoice import choose_rack, is_large_enough, is_zone_allowed
from fescuerudder.rackports import Committer, RevisionSource
from fescuerudder.table import ABSENT, Check, Row, Table, Transaction, new_txn_id
from fescuerudder.task import (
    Task,
    TaskState,
    dump_task,
    load_task,
    queue_put,
    task_id_for,
    task_key,
    task_put,
)

MAX_CANCEL_TRIES = 5

RefusalKind = Literal[
    "no_service", "not_batch", "never_runnable", "other_body", "not_found", "store", "busy"
]


@attrs.frozen(kw_only=True)
class Refused:
    """The operation had no effect.

    Args:
        kind: code of the reason.
        reason: reason for the caller.
    """

    kind: RefusalKind
    reason: str


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """The operation may have taken effect; the call may be repeated with the same key."""

    reason: str


@attrs.frozen(kw_only=True)
class TaskView:
    """The part of a task that is shown to callers.

    Args:
        id: task id.
        state: state of its row.
        result: result or reason of failure.
        cancel_requested: whether cancellation was requested.
        note: why a waiting task can't run at present, or empty.
    """

    id: str
    state: TaskState
    result: str = ""
    cancel_requested: bool = False
    note: str = ""


TaskAnswer = Result[TaskView, Refused | OutcomeUnknown]


class Submission:
    """Stores submitted batch tasks as rows, looks tasks up and requests their cancellation.

    Args:
        table: for reads.
        committer: group commit.
        view: source of the configuration.
        summaries: returns the published summaries of all racks.
        rng: source of randomness.
        wall_s: returns wall-clock time in seconds, for the order of submission.
        new_id: returns unique ids for transactions.
        on_change: called with rack and task id, so that the rack's owner reads the task.
    """

    def __init__(
        self,
        *,
        table: Table,
        committer: Committer,
        view: RevisionSource,
        summaries: Callable[[], Iterable[RackSummary]],
        rng: Random,
        wall_s: Callable[[], float],
        new_id: Callable[[], str] = new_txn_id,
        on_change: Callable[[str, str], None] = lambda rack, task: None,
    ) -> None:
        self._table = table
        self._committer = committer
        self._view = view
        self._summaries = summaries
        self._rng = rng
        self._wall_s = wall_s
        self._new_id = new_id
        self._on_change = on_change

    def submit(
        self,
        *,
        service: str,
        payload: str,
        urgent: bool = False,
        idempotency_key: str = "",
        body_hash: str = "",
        trace_id: str = "",
    ) -> TaskAnswer:
        """Stores a task; if its key was used with the same body, returns the existing task."""
        doc = self._view.current().services.get(service)
        if doc is None:
            return Err(Refused(kind="no_service", reason=f"no service {service!r}"))
        if doc.kind != "batch":
            return Err(Refused(kind="not_batch", reason=f"{service!r} takes no batch tasks"))
        task = Task(
            id=self._task_id(service, idempotency_key),
            service=service,
            team=doc.team,
            kind="batch",
            size=doc.size,
            zones=doc.zones,
            urgent=urgent or doc.urgent,
            payload=payload,
            body_hash=body_hash,
            submitted_at_s=self._wall_s(),
            outage_run_s=doc.outage_run_s,
            trace_id=trace_id,
            txn=self._new_id(),
        )
        summaries = list(self._summaries())
        rack = self._choose_rack(task, summaries)
        if rack is None:
            # A repeated submission must return its task even if no rack would accept it now.
            return self._existing_or(task, self._placement_refusal(doc, summaries))
        return self._create(attrs.evolve(task, rack=rack))

    def get(self, task_id: str) -> TaskAnswer:
        """Returns the state of a task."""
        try:
            row = self._read(task_id)
        except StoreUnavailableError as exc:
            return Err(Refused(kind="store", reason=str(exc)))
        if row is None:
            return Err(Refused(kind="not_found", reason=f"no task {task_id!r}"))
        return Ok(self._to_view(load_task(row.value)))

    def cancel(self, task_id: str) -> TaskAnswer:
        """Requests the cancellation of a task; the owner of its rack carries it out."""
        for _ in range(MAX_CANCEL_TRIES):
            try:
                row = self._read(task_id)
            except StoreUnavailableError as exc:
                return Err(Refused(kind="store", reason=f"not cancelled: {exc}"))
            if row is None:
                return Err(Refused(kind="not_found", reason=f"no task {task_id!r}"))
            task = load_task(row.value)
            if task.is_final or task.cancel_requested:
                return Ok(self._to_view(task))
            updated = attrs.evolve(task, cancel_requested=True, txn=self._new_id())
            match self._committer.commit(_replacement(row, updated)):
                case Ok(_):
                    self._on_change(task.rack, task.id)
                    return Ok(self._to_view(updated))
                case Err(ConflictError()):
                    continue
                case Err(exc):
                    return Err(_to_error(exc, action="cancelled"))
        return Err(Refused(kind="busy", reason="not cancelled: the task changes too often"))

    def _task_id(self, service: str, idempotency_key: str) -> str:
        if idempotency_key:
            return task_id_for(service=service, idempotency_key=idempotency_key)
        return f"{self._rng.getrandbits(128):032x}"

    def _choose_rack(self, task: Task, summaries: list[RackSummary]) -> str | None:
        return choose_rack(
            size=task.size,
            zones=task.zones,
            summaries=summaries,
            zone_states=self._view.current().zones,
            rng=self._rng,
        )

    def _create(self, task: Task) -> TaskAnswer:
        txn = Transaction(
            checks=(Check(key=task_key(task.id), version=ABSENT),),
            puts=(task_put(task), queue_put(task)),
        )
        match self._committer.commit(txn):
            case Ok(_):
                self._on_change(task.rack, task.id)
                return Ok(self._to_view(task))
            case Err(ConflictError()):
                conflict = Refused(kind="busy", reason="not run: the task row changed meanwhile")
                return self._existing_or(task, conflict)
            case Err(exc):
                return Err(_to_error(exc, action="run"))

    def _existing_or(self, task: Task, refusal: Refused) -> TaskAnswer:
        """Returns the task stored under the id of `task`, or the refusal if there is none."""
        try:
            row = self._read(task.id)
        except StoreUnavailableError as exc:
            return Err(OutcomeUnknown(reason=f"an earlier submission may exist: {exc}"))
        if row is None:
            return Err(refusal)
        stored = load_task(row.value)
        if stored.body_hash != task.body_hash:
            reason = "the idempotency key was used with another body"
            return Err(Refused(kind="other_body", reason=reason))
        return Ok(self._to_view(stored))

    def _placement_refusal(self, doc: ServiceDocument, summaries: list[RackSummary]) -> Refused:
        """Returns why no rack accepts a task; the refusal is final only if all sizes are known.

        The summary of a rack that has just changed its owner contains no worker sizes until the
        first statuses are read.
        """
        racks = [summary for summary in summaries if is_zone_allowed(summary, doc.zones)]
        if not summaries or any(not rack.largest for rack in racks):
            return Refused(kind="busy", reason="not run: the workers' sizes are not known yet")
        zones = ", ".join(doc.zones) or "any zone"
        size = ", ".join(f"{name} {amount:g}" for name, amount in attrs.asdict(doc.size).items())
        reason = f"not run: no known worker in {zones} is large enough for {size}"
        return Refused(kind="never_runnable", reason=reason)

    def _read(self, task_id: str) -> Row | None:
        rows = self._table.read(keys=(task_key(task_id),))
        return rows[0] if rows else None

    def _to_view(self, task: Task) -> TaskView:
        return TaskView(
            id=task.id,
            state=task.state,
            result=task.result,
            cancel_requested=task.cancel_requested,
            note=self._unschedulable_note(task),
        )

    def _unschedulable_note(self, task: Task) -> str:
        """Returns why a waiting task can't run on any known worker, or an empty text."""
        if task.state != "queued":
            return ""
        racks = [s for s in self._summaries() if is_zone_allowed(s, task.zones)]
        if any(is_large_enough(s, task.size) for s in racks):
            return ""
        return "unschedulable: no known worker in the allowed zones is large enough"


def _replacement(row: Row, task: Task) -> Transaction:
    """Returns the transaction that replaces a task row.

    Fields of the row that this version does not know are kept.
    """
    put = attrs.evolve(task_put(task), value={**row.value, **dump_task(task)})
    return Transaction(checks=(Check(key=row.key, version=row.version),), puts=(put,))


def _to_error(exc: PlatformError, *, action: str) -> Refused | OutcomeUnknown:
    if isinstance(exc, StoreOutcomeUnknownError):
        return OutcomeUnknown(reason=f"may have been {action}: {exc}")
    return Refused(kind="store", reason=f"not {action}: {exc}")
