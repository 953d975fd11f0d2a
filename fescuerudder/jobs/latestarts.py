"""Start orders without an answer that a later incarnation of their worker may still carry out.

The worker's current incarnation has seen a higher token, so it carries out none of them; the next
one has not. Their tasks are bound to that worker: a run there ends with the incarnation that the
order could not reach. A worker that is in contact and doesn't take its tasks releases them; see
`taskrelease`.

While orders are late, the leader calls their worker again and again, though nothing may run there:
its first call fences the next incarnation. An order that comes before that call is carried out.
"""

import json
from collections.abc import Iterable

import attrs
import structlog

from fescuerudder import checked
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.jobrun import Attempt, Phase, TaskRun
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import StoreClock

MAX_STORED = 600
"""Number of late starts that the row holds, so that it fits into the store's limit of 64 kB."""

AttemptKey = tuple[TaskId, int]
"""Task and number of an attempt."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class StoredLateStart:
    """A late start that an earlier leader stored.

    Args:
        worker: id of the worker.
        incarnation_ms: start time of the incarnation that the order was for.
        task: the task.
        number: number of the attempt.
        until_ms: when the order can no longer be carried out, on the store's clock; 0 if unknown.
    """

    worker: str
    incarnation_ms: int
    task: TaskId
    number: int
    until_ms: int


class LateStarts:
    """The late starts of a term, by worker. Times are on this instance's clock."""

    def __init__(self) -> None:
        self._by_worker: dict[str, dict[AttemptKey, Attempt]] = {}
        self._stored_until_s: dict[str, float] = {}
        self._stored_ended: dict[StoredLateStart, float] = {}
        self._must_store = False

    @property
    def must_store(self) -> bool:
        """Whether there are late starts that the stored row does not name."""
        return self._must_store

    @property
    def is_empty(self) -> bool:
        """Whether there are no late starts."""
        return not self._by_worker

    def add(self, attempt: Attempt) -> None:
        """Adds the attempt of an order without an answer, which is not live any more."""
        task = attempt.task
        if attempt.is_answered or attempt in task.late_starts:
            return
        attempt.is_released = False
        self._by_worker.setdefault(attempt.worker, {})[(task.id, attempt.number)] = attempt
        task.late_starts.append(attempt)
        self._must_store = True
        _log.info(
            "task bound to its worker",
            job=task.id.job,
            task=task.id[1:],
            attempt=attempt.number,
            worker=attempt.worker,
        )

    def expect_stored(self, late: StoredLateStart, *, until_s: float, is_live: bool) -> None:
        """Records that a late order that an earlier leader stored may reach its worker.

        Args:
            late: the order.
            until_s: when it can no longer be carried out.
            is_live: it has a live attempt. Else its task has ended or is unknown to this leader.
        """
        worker = late.worker
        self._stored_until_s[worker] = max(until_s, self._stored_until_s.get(worker, until_s))
        if not is_live:
            self._stored_ended[late] = until_s

    @property
    def may_reach_any(self) -> bool:
        """Whether a late order may reach any worker."""
        return bool(self._by_worker or self._stored_until_s)

    def forget_stored(self, now_s: float) -> None:
        """Forgets the stored late orders that can no longer be carried out."""
        if self._stored_until_s:
            until_s = self._stored_until_s.items()
            self._stored_until_s = {worker: at_s for worker, at_s in until_s if now_s < at_s}
            ended = self._stored_ended.items()
            self._stored_ended = {late: at_s for late, at_s in ended if now_s < at_s}

    def may_reach(self, worker: str, now_s: float) -> bool:
        """Returns whether the next incarnation of a worker may carry out a late order."""
        return worker in self._by_worker or now_s < self._stored_until_s.get(worker, now_s)

    def settle(self, worker: str, task: TaskId, number: int) -> None:
        """Drops a late start that has been carried out or refused."""
        attempt = self._by_worker.get(worker, {}).get((task, number))
        if attempt is not None:
            self.drop(attempt, result="settled")

    def of_worker(self, worker: str) -> list[Attempt]:
        """Returns the late starts on a worker."""
        return list(self._by_worker.get(worker, {}).values())

    def drop_worker(self, worker: str) -> None:
        """Drops the late starts on a worker that is gone."""
        self._stored_until_s.pop(worker, None)
        for late in [late for late in self._stored_ended if late.worker == worker]:
            del self._stored_ended[late]
        for attempt in self.of_worker(worker):
            self.drop(attempt, result="worker gone")

    def expired(self, now_s: float) -> list[Attempt]:
        """Returns the late starts whose orders can no longer be carried out."""
        return [attempt for attempt in self.attempts() if now_s >= attempt.order_ends_s]

    def attempts(self) -> Iterable[Attempt]:
        """Yields the late starts."""
        return (a for attempts in self._by_worker.values() for a in attempts.values())

    def ended(self, store_clock: StoreClock | None) -> list[StoredLateStart]:
        """Returns the late starts of earlier leaders that have no attempt in this term.

        Args:
            store_clock: reading of the store's clock, None if the store told none.
        """
        if store_clock is None:
            return list(self._stored_ended)
        return [
            attrs.evolve(late, until_ms=late.until_ms or store_clock.latest_ms(until_s))
            for late, until_s in self._stored_ended.items()
        ]

    def drop(self, attempt: Attempt, *, result: str) -> None:
        """Drops a late start, for the reason `result`."""
        task, attempts = attempt.task, self._by_worker[attempt.worker]
        del attempts[(task.id, attempt.number)]
        if not attempts:
            del self._by_worker[attempt.worker]
        task.late_starts.remove(attempt)
        _log.info(
            "late start over",
            job=task.id.job,
            task=task.id[1:],
            attempt=attempt.number,
            worker=attempt.worker,
            result=result,
        )

    def take_changed(self, store_clock: StoreClock | None) -> bytes | None:
        """Returns the row to store, None if the stored one names all late starts."""
        if not self._must_store:
            return None
        self._must_store = False
        newest = sorted(self.attempts(), key=lambda attempt: -attempt.order_ends_s)[:MAX_STORED]
        return dump_late_starts(to_stored(attempt, store_clock) for attempt in newest)


def bound_worker(task: TaskRun) -> str | None:
    """Returns the only worker on which a task may start, None if it is not bound.

    Tasks that may run twice are never bound. One that is bound to several workers may start on none
    of them; this is the last one.
    """
    if not task.late_starts or task.step.spec.speculative:
        return None
    return next((a.worker for a in reversed(task.late_starts) if not a.is_released), None)


def may_start_on(task: TaskRun, worker: str) -> bool:
    """Returns whether a task may start on a worker as far as its late starts are concerned."""
    if task.step.spec.speculative:
        return True
    return all(late.worker == worker or late.is_released for late in task.late_starts)


def dump_late_starts(starts: Iterable[StoredLateStart]) -> bytes:
    """Returns the serialized late starts."""
    rows = [[s.worker, s.incarnation_ms, list(s.task), s.number, s.until_ms] for s in starts]
    return json.dumps(rows, separators=(",", ":")).encode()


def to_stored(attempt: Attempt, store_clock: StoreClock | None) -> StoredLateStart:
    """Returns the form in which the start of an attempt is stored.

    Args:
        attempt: the attempt.
        store_clock: reading of the store's clock, None if the store told none.
    """
    return StoredLateStart(
        worker=attempt.worker,
        incarnation_ms=attempt.incarnation_ms,
        task=attempt.task.id,
        number=attempt.number,
        until_ms=_order_ends_ms(attempt, store_clock),
    )


def _order_ends_ms(attempt: Attempt, store_clock: StoreClock | None) -> int:
    """Returns when an order can no longer be carried out, 0 if unknown or if it isn't sent yet."""
    if store_clock is None or attempt.phase is Phase.PLANNED:
        return 0
    return store_clock.latest_ms(attempt.order_ends_s)


def load_late_starts(data: bytes) -> list[StoredLateStart]:
    """Returns the deserialized late starts.

    Raises:
        StoredFormError: the data is malformed.
    """
    try:
        return [_load_row(*row) for row in checked.items(checked.load_json(data))]
    except (ValueError, TypeError) as exc:
        raise StoredFormError(f"malformed late starts: {checked.reason(exc)}") from exc


def _load_row(
    worker: str, incarnation_ms: int, task: list, number: int, until_ms: int
) -> StoredLateStart:
    job, occurrence, step, index = checked.items(task)
    return StoredLateStart(
        worker=checked.text(worker),
        incarnation_ms=checked.whole(incarnation_ms),
        task=TaskId(
            checked.text(job), checked.whole(occurrence), checked.whole(step), checked.whole(index)
        ),
        number=checked.whole(number),
        until_ms=checked.whole(until_ms),
    )
