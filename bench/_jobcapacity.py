"""Capacities that change while workers run: a registry that lags, and a check of the starts."""

from collections.abc import Callable, Iterable

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.job import Job, Step
from fescuerudder.jobs.workerport import OrderAnswer, StartOrder, WorkerInfo
from standins.jobworker import JobWorker

HEARTBEAT_S = 1.5
"""Time between two registry entries of a worker."""

MAX_SILENCE_S = 3 * HEARTBEAT_S
"""Time without a new entry after which the registry drops a worker."""

SHRUNK_ROOM_S = 4.0 + HEARTBEAT_S
"""Time for which room that a worker no longer has still counts, with the shortest contact time."""


class LaggingRegistry:
    """Registry to which workers write their entries only now and then.

    Args:
        now_s: returns the time in seconds.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._entries: dict[str, tuple[float, WorkerInfo]] = {}
        self.unreachable_for: set[str] = set()

    def update(self, workers: Iterable[JobWorker], *, is_down: bool) -> None:
        """Writes the entries that are due, unless the store is down, and drops the old ones."""
        now_s = self._now_s()
        for worker in workers:
            name = worker.info.id
            written_s, entry = self._entries.get(name, (float("-inf"), None))
            is_new = entry is None or entry.incarnation_ms != worker.info.incarnation_ms
            is_due = is_new or now_s - written_s >= HEARTBEAT_S
            if worker.is_up and is_due and not is_down and name not in self.unreachable_for:
                self._entries[name] = (now_s, worker.registry_entry())
            elif now_s - written_s >= MAX_SILENCE_S:
                self._entries.pop(name, None)

    def read(self) -> list[WorkerInfo]:
        """Returns all entries."""
        return [entry for _, entry in self._entries.values()]


def reserved(step: Step) -> Size:
    """Returns what a task of a step takes of a worker's capacity."""
    return attrs.evolve(step.size, processors=0.0) if step.best_effort else step.size


class CapacityWitness:
    """Finds the starts that bring workers over their capacity.

    Args:
        specs: submitted jobs by id.
        errors: descriptions of such starts are added here.
    """

    def __init__(self, *, specs: dict[str, Job], errors: list[str]) -> None:
        self._specs = specs
        self._errors = errors
        self._sent: dict[StartOrder, tuple[float, int]] = {}

    def record_sent(self, order: StartOrder, *, now_s: float, incarnation_ms: int) -> None:
        """Records that a leader sends a start to what it takes for an incarnation of a worker."""
        self._sent[order] = (now_s, incarnation_ms)

    def start(self, worker: JobWorker, order: StartOrder) -> OrderAnswer:
        """Lets a worker carry out a start that was sent, and checks it."""
        ran_before = set(worker.runs)
        answer = worker.start(order)
        if set(worker.runs) - ran_before and not worker.guards_capacity:
            self._check(worker, *self._sent[order])
        return answer

    def _check(self, worker: JobWorker, sent_s: float, incarnation_ms: int) -> None:
        """Checks what runs on a worker after a start.

        Room that had shrunk less than SHRUNK_ROOM_S before the order was sent still counts, also
        that of an earlier incarnation if the leader didn't know of the new one. An order that was
        sent before the worker restarted is late, and not judged.
        """
        if sent_s < worker.started_s:
            return
        used = Size()
        for task, _ in worker.runs:
            used = used.plus(reserved(self._specs[task.job].steps[task.step]))
        allowed = worker.largest_capacity(
            since_s=sent_s - SHRUNK_ROOM_S, incarnation_ms=incarnation_ms
        )
        if not used.fits_in(allowed):
            self._errors.append(f"{worker.info.id} at {sent_s:.2f}: {used} exceeds {allowed}")
