"""Model of a worker of the job platform: leases, fencing, ended attempts until acknowledged."""

import attrs

from fescuerudder.document import Size
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.workerport import (
    AttemptEnd,
    EndedAttempt,
    OrderAnswer,
    OrderResult,
    RenewOrder,
    Report,
    RunningAttempt,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerFencedError,
    WorkerInfo,
)
from standins.jobgangs import GANG_TIMEOUT_S, Gangs

STOP_DURATION_S = 0.2

MAX_LISTED_ENDS = 500
"""Number of ends that a worker of the platform lists at most."""

LONG_RUN_S = 1e5
"""Run time from which an attempt counts as long-running; such attempts are ready at once."""


@attrs.define(kw_only=True)
class Run:
    """A running attempt."""

    task: TaskId
    attempt: int
    size: Size
    done_at_s: float
    started_s: float
    fails: bool
    checkpoint: str
    stops_at_s: float | None = None
    throttle: int = 100
    waits_since_s: float | None = None


class JobWorker:
    """Simulated worker that executes orders and reports.

    Args:
        info: its registry entry.
        now_s: returns the true time in seconds.
        events: list shared by all workers, of (time, worker, task, attempt, event).
        plan: returns size, run time in seconds and whether it fails, for task, attempt, worker.
        max_lease_s: longest lease, in seconds.
        clock_rate: speed of its clock relative to the true time.
        max_listed_ends: number of ends that a report lists at most.
    """

    def __init__(
        self,
        *,
        info,
        now_s,
        events,
        plan,
        max_lease_s=6.0,
        clock_rate=1.0,
        max_listed_ends=MAX_LISTED_ENDS,
    ):
        self.info = info
        self._now_s = now_s
        self._events = events
        self._plan = plan
        self._max_lease_s = max_lease_s
        self._clock_rate = clock_rate
        self.max_listed_ends = max_listed_ends
        self.started_s = now_s()
        self._first_reading_ms = 0.0
        self.highest_token = 0
        self.lease_until_ms = 0.0
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.unacknowledged: list[EndedAttempt] = []
        self.last_serial = 0
        self.highest_ended: dict[TaskId, int] = {}
        self.ended_at_s: dict[int, float] = {}
        self.last_lapse_s = 0.0
        self.is_up = True
        self.refuses_starts = False
        self.guards_capacity = True
        self.stop_duration_s = STOP_DURATION_S
        self._capacities = [(self.started_s, info)]
        self.is_stalled = False
        self.accepts_permit = lambda order: True
        self.measure = lambda run: (0.0, 0.0)
        self.on_stop = lambda run, percent: None
        self.gangs = Gangs(size_of=lambda task: 0)
        self._last_tick_s = now_s()

    @property
    def max_lease_s(self) -> float:
        """Longest lease that it grants, in seconds."""
        return self._max_lease_s

    def clock_ms(self) -> float:
        """Returns the reading of its steady clock, in milliseconds."""
        elapsed_s = self._now_s() - self.started_s
        return self._first_reading_ms + elapsed_s * 1000 * self._clock_rate

    def registry_entry(self) -> WorkerInfo:
        """Returns its registry entry."""
        return attrs.evolve(self.info, clock_ms=int(self.clock_ms()))

    def set_capacity(self, capacity: Size) -> None:
        """Changes the capacity while the worker runs."""
        self.info = attrs.evolve(self.info, capacity=capacity)
        self._capacities.append((self._now_s(), self.info))

    def largest_capacity(self, *, since_s: float, incarnation_ms: int) -> Size:
        """Returns the largest amount of each resource from `since_s` on.

        Incarnations before `incarnation_ms` do not count.
        """
        ends_s = [at_s for at_s, _ in self._capacities[1:]] + [self._now_s()]
        sizes = [
            info.capacity
            for (_, info), end_s in zip(self._capacities, ends_s, strict=True)
            if end_s >= since_s and info.incarnation_ms >= incarnation_ms
        ]
        return Size(
            processors=max(size.processors for size in sizes),
            memory_mb=max(size.memory_mb for size in sizes),
            accelerators=max(size.accelerators for size in sizes),
        )

    def crash(self) -> None:
        """Goes down and loses everything that runs."""
        self.is_up = False
        for key in list(self.runs):
            self.gangs.leave(*key, is_done=False)
            self._record(*key, "lost")
        self.runs.clear()

    def restart(self, *, clock_ms: float = 0.0) -> None:
        """Starts a new incarnation without the state of the last one.

        Its clock shows `clock_ms` at first, which may be more or less than that of the last one.
        """
        self.is_up = True
        self.started_s = self._now_s()
        self._first_reading_ms = clock_ms
        self.info = attrs.evolve(self.info, incarnation_ms=self.info.incarnation_ms + 1)
        self._capacities.append((self.started_s, self.info))
        self.highest_token, self.lease_until_ms, self.last_serial = 0, 0.0, 0
        self.unacknowledged.clear()
        self.highest_ended.clear()

    def tick(self) -> None:
        """Ends the attempts that are due, or all of them if the lease has ended."""
        if not self.is_up:
            return
        now_s = self._now_s()
        if self.is_stalled:
            for run in self.runs.values():
                run.done_at_s += now_s - self._last_tick_s
                run.started_s += now_s - self._last_tick_s
        for run in self.runs.values():
            run.done_at_s += (now_s - self._last_tick_s) * (1 - run.throttle / 100)
        for run in list(self.runs.values()):
            self._tick_member(run, now_s - self._last_tick_s)
        self._last_tick_s = now_s
        if self.clock_ms() >= self.lease_until_ms:
            self.last_lapse_s = now_s
            for run in list(self.runs.values()):
                self._end(run, AttemptEnd.LAPSED)
        for run in list(self.runs.values()):
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                self.on_stop(run, self._percent(run))
                self._end(run, AttemptEnd.STOPPED)
            elif now_s >= run.done_at_s:
                self._end(run, AttemptEnd.FAILED if run.fails else AttemptEnd.DONE)

    def _tick_member(self, run: Run, elapsed_s: float) -> None:
        """Lets a member of a gang wait for the others, and ends it with them."""
        if run.waits_since_s is not None:
            run.started_s += elapsed_s
            run.done_at_s += elapsed_s
            if self.gangs.works(run.task, run.attempt):
                run.waits_since_s = None
            elif self._now_s() - run.waits_since_s >= GANG_TIMEOUT_S:
                self._end(run, AttemptEnd.ALONE)
        elif self.gangs.is_done(run.task, run.attempt):
            self._end(run, AttemptEnd.DONE)
        elif self.gangs.is_broken(run.task, run.attempt):
            self._end(run, AttemptEnd.BROKEN)

    def start(self, order: StartOrder) -> OrderAnswer:
        """Starts an attempt, or returns the reason for a refusal."""
        self.tick()
        if order.token < self.highest_token:
            return self._answer(OrderResult.FENCED)
        self.highest_token = order.token
        key = (order.task, order.attempt)
        if key in self.runs:
            self._extend_lease(order.lease_until_ms)
            return self._answer(OrderResult.DONE)
        if order.attempt <= self.highest_ended.get(order.task, 0):
            self._extend_lease(order.lease_until_ms)
            return self._answer(OrderResult.STALE)
        if order.lease_until_ms <= self.clock_ms():
            return self._answer(OrderResult.LATE)
        if self.refuses_starts:
            return self._answer(OrderResult.UNHEALTHY)
        if not self.accepts_permit(order):
            return self._answer(OrderResult.NO_PERMIT)
        size, run_s, fails = self._plan(order.task, order.attempt, self.info.id)
        used = size
        for run in self.runs.values():
            used = used.plus(run.size)
        self._extend_lease(order.lease_until_ms)
        if self.guards_capacity and not used.fits_in(self.info.capacity):
            return self._answer(OrderResult.NO_ROOM)
        self.runs[key] = Run(
            task=order.task,
            attempt=order.attempt,
            size=size,
            started_s=self._now_s(),
            done_at_s=self._now_s() + run_s,
            fails=fails,
            checkpoint=order.checkpoint,
        )
        if self.gangs.join(*key, order.checkpoint):
            self.runs[key].waits_since_s = self._now_s()
        self._record(*key, "start")
        return self._answer(OrderResult.DONE)

    def stop(self, order: StopOrder) -> OrderAnswer:
        """Ends an attempt; if it does not run here, a start with its number is refused later."""
        self.tick()
        if order.token < self.highest_token:
            return self._answer(OrderResult.FENCED)
        self.highest_token = order.token
        run = self.runs.get((order.task, order.attempt))
        if run is None:
            self.highest_ended[order.task] = max(
                self.highest_ended.get(order.task, 0), order.attempt
            )
        elif run.stops_at_s is None:
            run.stops_at_s = self._now_s() + self.stop_duration_s
        return self._answer(OrderResult.DONE)

    def throttle(self, order: ThrottleOrder) -> OrderAnswer:
        """Limits the speed of an attempt."""
        if order.token < self.highest_token:
            return self._answer(OrderResult.FENCED)
        self.highest_token = order.token
        run = self.runs.get((order.task, order.attempt))
        if run is not None:
            run.throttle = order.percent
        return self._answer(OrderResult.DONE)

    def renew(self, order: RenewOrder) -> Report:
        """Drops acknowledged ends, extends the lease and returns the report."""
        self.tick()
        if order.token < self.highest_token:
            raise WorkerFencedError("fenced")
        self.highest_token = order.token
        for end in self.unacknowledged:
            if (
                end.serial <= order.acknowledged
                and self.ended_at_s[end.serial] >= self.last_lapse_s
            ):
                self._record(end.task, end.attempt, f"noted {end.end.value}")
        self.unacknowledged = [
            end for end in self.unacknowledged if end.serial > order.acknowledged
        ]
        if order.lease_until_ms is not None:
            self._extend_lease(order.lease_until_ms)
        return Report(
            incarnation_ms=self.info.incarnation_ms,
            clock_ms=int(self.clock_ms()),
            running=tuple(
                RunningAttempt(
                    run.task,
                    run.attempt,
                    self._checkpoint(run),
                    self._percent(run),
                    *self.measure(run),
                )
                for run in self.runs.values()
            ),
            ended=tuple(self.unacknowledged[: self.max_listed_ends]),
            lists_all_ends=len(self.unacknowledged) < self.max_listed_ends,
        )

    def _percent(self, run: Run) -> int:
        elapsed_s = self._now_s() - run.started_s
        if run.done_at_s - run.started_s >= LONG_RUN_S:
            return 100
        return min(100, int(100 * elapsed_s / (run.done_at_s - run.started_s)))

    def _checkpoint(self, run: Run) -> str:
        return (
            f"c{run.attempt}.{run.task.index}"
            if self._now_s() - run.started_s > 0.5
            else run.checkpoint
        )

    def _extend_lease(self, until_ms: float) -> None:
        longest_ms = self.clock_ms() + self._max_lease_s * 1000
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest_ms))

    def _end(self, run: Run, end: AttemptEnd) -> None:
        del self.runs[(run.task, run.attempt)]
        self.gangs.leave(run.task, run.attempt, is_done=end is AttemptEnd.DONE)
        self.last_serial += 1
        self.ended_at_s[self.last_serial] = self._now_s()
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.attempt)
        self.unacknowledged.append(
            EndedAttempt(self.last_serial, run.task, run.attempt, end, self._checkpoint(run))
        )
        self._record(run.task, run.attempt, end.value)

    def _record(self, task: TaskId, attempt: int, event: str) -> None:
        self._events.append((self._now_s(), self.info.id, task, attempt, event))

    def _answer(self, result: OrderResult) -> OrderAnswer:
        return OrderAnswer(result, int(self.clock_ms()))
