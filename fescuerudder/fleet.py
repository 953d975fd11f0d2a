"""Workers of a rack: their last statuses, and commands to them."""

from collections.abc import Callable
from functools import partial
from typing import Any, TypeAlias, TypeVar

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.clock import Clock
from fescuerudder.errors import WorkerRefusedError, WorkerUnreachableError
from fescuerudder.leases import ClockReading
from fescuerudder.ownership_types import RackLease
from fescuerudder.rackports import RackWorker, RunAll, WorkerSource
from fescuerudder.workers import Attempt, StopOutcome, WorkerControl, WorkerStatus

MIN_STATUS_INTERVAL_S = 0.9
"""A cycle that starts sooner after the last statuses reuses them. Each status carries all tasks and
usage reports of a worker, so reading it in every cycle of a busy rack exceeds the cycle's budget.
Less than the pause of an idle rack, so each of its cycles reads them."""

T = TypeVar("T")

_log = structlog.get_logger(__name__)

CommandError: TypeAlias = WorkerUnreachableError | WorkerRefusedError
"""Why a command got no answer that confirms it."""


@attrs.define(kw_only=True)
class WorkerState:
    """What the owner knows of one worker. Times are on the owner's clock.

    Args:
        member: entry of the membership list.
        status: last status, if any.
        clock_reading: reading of the worker's clock in the last status.
        is_reachable: whether the worker answered the last request for a status.
        answered_by: id of another worker that answered that request, or empty.
        is_fenced: whether the status shows that the worker refuses former owners.
        fenced_at_s: when the first such status arrived.
        last_sent_s: when the last renewal or start was sent.
        renewed_at_s: when the last acknowledged renewal was sent.
        renewed_attempts: attempts in the last acknowledged renewal.
    """

    member: RackWorker
    status: WorkerStatus | None = None
    clock_reading: ClockReading | None = None
    is_reachable: bool = False
    answered_by: str = ""
    is_fenced: bool = False
    fenced_at_s: float | None = None
    last_sent_s: float | None = None
    renewed_at_s: float | None = None
    renewed_attempts: frozenset[tuple[str, int]] = frozenset()

    @property
    def control(self) -> WorkerControl:
        """Control interface of the worker."""
        return self.member.control

    @property
    def is_leaving(self) -> bool:
        """Whether the worker takes no new work."""
        return self.member.leaving or (self.status is not None and self.status.leaving)

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """Attempts of the last status."""
        return self.status.tasks if self.status else ()

    def find_attempt(self, *, task: str, attempt: int) -> Attempt | None:
        """Returns an attempt of the last status, or None if it is not listed."""
        found = [a for a in self.attempts if a.task == task and a.attempt == attempt]
        return found[0] if found else None


class Fleet:
    """Reads statuses of the workers and sends commands with the epoch of the rack.

    Args:
        lease: ownership of the rack.
        source: returns the current workers of the rack.
        clock: source of time.
        run_all: runs requests to several workers, possibly in parallel.
    """

    def __init__(
        self, *, lease: RackLease, source: WorkerSource, clock: Clock, run_all: RunAll
    ) -> None:
        self._lease = lease
        self._source = source
        self._clock = clock
        self._run_all = run_all
        self.workers: dict[str, WorkerState] = {}
        self._refreshed_at_s = float("-inf")
        self.is_superseded = False

    def refresh(self) -> None:
        """Reads the status of every worker, unless the last ones are recent enough."""
        members = self._source()
        for name, member in members.items():
            state = self.workers.setdefault(name, WorkerState(member=member))
            state.member = member
        now_s = self._clock.now_s()
        if now_s - self._refreshed_at_s < MIN_STATUS_INTERVAL_S:
            return
        self._refreshed_at_s = now_s
        # Workers that are no longer in the membership list are kept: their attempts may still run.
        states = list(self.workers.values())
        self._run_all([lambda s=state: self._read_status(s) for state in states])

    def task_ids(self) -> set[str]:
        """Returns the ids of the tasks that reachable workers report."""
        return {a.task for state in self.reachable() for a in state.attempts}

    def reachable(self) -> list[WorkerState]:
        """Returns the workers that answered the last request for a status, by id."""
        return [state for _, state in sorted(self.workers.items()) if state.is_reachable]

    def run(self, calls: list[Callable[[], Any]]) -> list[Any]:
        """Runs calls to several workers, possibly in parallel."""
        return self._run_all(calls)

    def stop(
        self, state: WorkerState, *, task: str, attempt: int, checkpoint: bool
    ) -> StopOutcome | None:
        """Stops an attempt; returns None if the worker did not confirm it.

        If the worker refuses to take a checkpoint, the attempt is stopped without one.
        """
        for wanted in (True, False) if checkpoint else (False,):
            stop = partial(
                state.control.stop,
                task=task,
                attempt=attempt,
                epoch=self._lease.epoch,
                checkpoint=wanted,
            )
            match self.send(stop):
                case Ok(outcome):
                    self._record_stop(state, task, attempt, outcome)
                    return outcome
                case Err(WorkerUnreachableError()):
                    return None
        return None

    def send(self, command: Callable[[], T]) -> Result[T, CommandError]:
        """Sends a command to a worker and returns its answer.

        If the worker refuses a stale epoch, the rack has a newer owner and counts as superseded.
        """
        try:
            return Ok(command())
        except WorkerUnreachableError as exc:
            return Err(exc)
        except WorkerRefusedError as exc:
            if exc.reason == "stale_epoch":
                self.is_superseded = True
            return Err(exc)

    def _read_status(self, state: WorkerState) -> None:
        try:
            status = state.control.status()
        except (WorkerUnreachableError, WorkerRefusedError):
            state.is_reachable = False
            return
        if not self._is_of_worker(state, status):
            state.is_reachable = False
            return
        now_s = self._clock.now_s()
        state.status = status
        state.clock_reading = ClockReading(worker_s=status.clock_s, received_at_s=now_s)
        state.is_reachable = True
        state.is_fenced = status.highest_epoch >= self._lease.epoch
        if status.highest_epoch > self._lease.epoch:
            self.is_superseded = True
        if state.is_fenced and state.fenced_at_s is None:
            state.fenced_at_s = now_s

    def _is_of_worker(self, state: WorkerState, status: WorkerStatus) -> bool:
        """Returns whether a status is that of the listed worker.

        Another worker may have taken its address while it still runs its tasks, or is listed
        under its own id as well.
        """
        other = "" if status.worker == state.member.id else status.worker
        if other and other != state.answered_by:
            _log.warning(
                "another worker answers at the address", worker=state.member.id, answered_by=other
            )
        state.answered_by = other
        return not other

    def _record_stop(
        self, state: WorkerState, task: str, attempt: int, outcome: StopOutcome
    ) -> None:
        """Updates the last status with a confirmed end of an attempt."""
        if state.status is None:
            return
        tasks = tuple(
            (
                attrs.evolve(a, state=outcome.state, checkpoint=outcome.checkpoint or a.checkpoint)
                if (a.task, a.attempt) == (task, attempt)
                else a
            )
            for a in state.status.tasks
        )
        state.status = attrs.evolve(state.status, tasks=tasks)
