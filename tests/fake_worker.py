"""In-memory worker that enforces the rules of workers, and a witness of violated guarantees."""

import contextlib
from collections.abc import Callable

import attrs

from fescuerudder.clock import ManualClock
from fescuerudder.document import Size
from fescuerudder.errors import WorkerRefusedError, WorkerUnreachableError
from fescuerudder.workers import Attempt, Capacity, StartOrder, StopOutcome, Usage, WorkerStatus

CAPACITY = Capacity(processors=8, memory_mb=16000, accelerators=0, slots=8, connections=64)


class Witness:
    """Checks the guarantees at every start and end on all workers, independent of rows and owners.

    Attributes:
        zones: time since when a zone is out of service, for zones that are out.
        violations: violated guarantees, as texts.
        resumable: checkpoints from which each task may resume. After a confirmed eviction this
            is only its checkpoint; a checkpoint whose answer was lost may be unknown to the owner.
        starts: number of starts.
    """

    def __init__(self, *, clock: ManualClock) -> None:
        self._clock = clock
        self._running_on: dict[str, set[str]] = {}
        self._seen: set[tuple[str, int]] = set()
        self.zones: dict[str, float] = {}
        self.violations: list[str] = []
        self.resumable: dict[str, set[str]] = {}
        self.starts = 0

    def started(self, worker: "FakeWorker", order: StartOrder) -> None:
        self.starts += 1
        others = self._running_on.setdefault(order.task, set())
        if others:
            self.violations.append(f"{order.task} runs on {others} and {worker.name}")
        others.add(worker.name)
        if (order.task, order.attempt) in self._seen:
            self.violations.append(f"attempt {order.attempt} of {order.task} started twice")
        self._seen.add((order.task, order.attempt))
        out_s = self.zones.get(worker.zone)
        if out_s is not None and self._clock.now_s() > out_s + 3.0:
            self.violations.append(f"{order.task} started in {worker.zone} after it went out")
        expected = self.resumable.get(order.task, {""})
        if order.checkpoint not in expected:
            self.violations.append(f"{order.task} resumed at {order.checkpoint!r}, not {expected}")

    def ended(self, worker: "FakeWorker", task: str, state: str, checkpoint: str) -> None:
        self._running_on[task].discard(worker.name)
        if not checkpoint:
            return
        is_confirmed = state == "checkpointed" and not worker.loses_answers
        before = set() if is_confirmed else self.resumable.get(task, {""})
        self.resumable[task] = before | {checkpoint}


class FakeWorker:
    """Worker with capacity, leases on its own clock and epochs.

    Attributes:
        is_cut_off: whether no command and no answer passes.
        loses_answers: whether commands take effect, but their answers are lost.
        is_broken: whether every start is refused.
        delays_orders: whether orders get no answer and wait until `carry_out_late`.
        enforced_rules: the checks that it makes of `epoch`, `start_by` and `incarnation`.
        before_start: called once before the next start arrives, to delay it.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: ManualClock,
        witness: Witness,
        zone: str = "a",
        offset_s: float = 100.0,
        capacity: Capacity = CAPACITY,
    ) -> None:
        self.name, self.zone, self.capacity = name, zone, capacity
        self._clock, self._offset_s, self._witness = clock, offset_s, witness
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self.incarnation = 1
        self.epoch = 0
        self.is_cut_off = self.loses_answers = self.is_broken = self.leaving = False
        self.usage: tuple[Usage, ...] = ()
        self.throttles: list[tuple[str, float]] = []
        self.enforced_rules = {"epoch", "start_by", "incarnation"}
        self.before_start: Callable[[], None] | None = None
        self.delays_orders = False
        self._delayed: list[Callable[[], object]] = []

    def now_s(self) -> float:
        return self._clock.now_s() + self._offset_s

    def running(self) -> list[Attempt]:
        self.expire()
        return [a for a in self._attempts.values() if not a.is_ended]

    def expire(self) -> None:
        for attempt in list(self._attempts.values()):
            if not attempt.is_ended and self.now_s() >= attempt.lease_until_s:
                self._end(attempt, "lapsed", checkpoint=f"{attempt.task}@{attempt.attempt}")

    def end(self, task: str, state: str = "finished") -> None:
        """Ends a running task as if it had ended by itself."""
        for attempt in self.running():
            if attempt.task == task:
                self._end(attempt, state, result=f"result of {task}")

    def restart(self, *, clock_shift_s: float = 0.0) -> None:
        """Simulates a crash: the worker restarts under a new incarnation without its tasks.

        Args:
            clock_shift_s: how far its clock is set forward.
        """
        for attempt in self.running():
            self._end(attempt, "stopped")
        self._attempts.clear()
        self.incarnation += 1
        self.epoch = 0
        self._offset_s += clock_shift_s

    def carry_out_late(self) -> None:
        """Carries out the delayed orders, as a worker does with calls that wait in its queue."""
        delayed, self._delayed, self.delays_orders = self._delayed, [], False
        was_cut_off, self.is_cut_off = self.is_cut_off, False
        for order in delayed:
            with contextlib.suppress(WorkerRefusedError, WorkerUnreachableError):
                order()
        self.is_cut_off = was_cut_off

    def status(self) -> WorkerStatus:
        self._accept_command()
        self.expire()
        return self._reply(
            WorkerStatus(
                worker=self.name,
                incarnation=str(self.incarnation),
                clock_s=self.now_s(),
                capacity=self.capacity,
                leaving=self.leaving,
                highest_epoch=self.epoch,
                tasks=tuple(self._attempts.values()),
                usage=self.usage,
            )
        )

    def start(self, order: StartOrder) -> None:
        self._delay(lambda: self.start(order))
        if self.before_start is not None:
            delay, self.before_start = self.before_start, None
            delay()
        self._accept_command(epoch=order.epoch)
        self.expire()
        self._refuse_start(order)
        self._witness.started(self, order)
        self._attempts[(order.task, order.attempt)] = Attempt(
            task=order.task,
            attempt=order.attempt,
            service=order.service,
            size=order.size,
            state="running",
            lease_until_s=order.lease_until_s,
        )
        if not self._committed().fits_in(self.capacity.size):
            self._witness.violations.append(f"{self.name} is over-committed")
        self._reply()

    def renew(self, *, epoch: int, leases: dict[str, tuple[int, float]]) -> list[str]:
        self._delay(lambda: self.renew(epoch=epoch, leases=leases))
        self._accept_command(epoch=epoch)
        self.expire()
        running = {(a.task, a.attempt): a for a in self.running()}
        unknown = []
        for task, (attempt, until_s) in leases.items():
            if (task, attempt) not in running:
                unknown.append(task)
                continue
            old = running[(task, attempt)]
            later_s = max(old.lease_until_s, until_s)
            self._attempts[(task, attempt)] = attrs.evolve(old, lease_until_s=later_s)
        return self._reply(unknown)

    def stop(self, *, task: str, attempt: int, epoch: int, checkpoint: bool) -> StopOutcome:
        order = {"task": task, "attempt": attempt, "epoch": epoch, "checkpoint": checkpoint}
        self._delay(lambda: self.stop(**order))
        self._accept_command(epoch=epoch)
        self.expire()
        old = self._attempts.get((task, attempt))
        if old is None:
            raise WorkerRefusedError(reason="unknown")
        if not old.is_ended:
            name = f"{task}@{attempt}" if checkpoint else ""
            self._end(old, "checkpointed" if checkpoint else "stopped", checkpoint=name)
        ended = self._attempts[(task, attempt)]
        return self._reply(StopOutcome(state=ended.state, checkpoint=ended.checkpoint))

    def throttle(self, *, task: str, attempt: int, epoch: int, share: float) -> None:
        self._delay(lambda: self.throttle(task=task, attempt=attempt, epoch=epoch, share=share))
        self._accept_command(epoch=epoch)
        self.throttles.append((task, share))

    def acknowledge(self, *, epoch: int, ended: list[tuple[str, int]]) -> None:
        self._delay(lambda: self.acknowledge(epoch=epoch, ended=ended))
        self._accept_command(epoch=epoch)
        for key in ended:
            if key in self._attempts and self._attempts[key].is_ended:
                del self._attempts[key]
        self._reply()

    def _delay(self, order: Callable[[], object]) -> None:
        if self.delays_orders and not self.is_cut_off:
            self._delayed.append(order)
            raise WorkerUnreachableError("timeout")

    def _accept_command(self, *, epoch: int | None = None) -> None:
        if self.is_cut_off:
            raise WorkerUnreachableError("cut off")
        if epoch is None:
            return
        if epoch < self.epoch and "epoch" in self.enforced_rules:
            raise WorkerRefusedError(reason="stale_epoch")
        if epoch < self.epoch:
            self._witness.violations.append(f"{self.name} obeyed a stale owner")
        self.epoch = max(self.epoch, epoch)

    def _reply(self, value=None):
        if self.loses_answers:
            raise WorkerUnreachableError("answer lost")
        return value

    def _refuse_start(self, order: StartOrder) -> None:
        running = [a for a in self._attempts.values() if not a.is_ended]
        if order.incarnation != str(self.incarnation) and "incarnation" in self.enforced_rules:
            raise WorkerRefusedError(reason="stale_incarnation")
        if self.is_broken:
            raise WorkerRefusedError(reason="broken")
        if self.leaving:
            raise WorkerRefusedError(reason="leaving")
        if self.now_s() > order.start_by_s and "start_by" in self.enforced_rules:
            raise WorkerRefusedError(reason="too_late")
        if (order.task, order.attempt) in self._attempts:
            raise WorkerRefusedError(reason="attempt_known")
        if any(a.task == order.task for a in running):
            raise WorkerRefusedError(reason="task_running")

    def _committed(self) -> Size:
        total = Size()
        for attempt in self._attempts.values():
            if not attempt.is_ended:
                total = total.plus(attempt.size)
        return total

    def _end(self, attempt: Attempt, state: str, *, checkpoint: str = "", result: str = "") -> None:
        key = (attempt.task, attempt.attempt)
        self._attempts[key] = attrs.evolve(
            attempt, state=state, checkpoint=checkpoint, result=result
        )
        self._witness.ended(self, attempt.task, state, checkpoint)


class WorkerAddress:
    """Control address of a worker; commands reach the worker that listens on it now."""

    def __init__(self, *, worker: FakeWorker) -> None:
        self.worker = worker

    def __getattr__(self, name: str):
        return getattr(self.worker, name)
