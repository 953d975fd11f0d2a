"""Port to the workers: registry entries, orders to them and their reports."""

import enum
from typing import NamedTuple, Protocol

import attrs

from fescuerudder.document import Size
from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import TaskId


@attrs.frozen(kw_only=True)
class WorkerInfo:
    """Registry entry of a worker.

    Args:
        id: identity; a worker that restarts may keep it.
        incarnation_ms: Unix time at which this incarnation of the worker began, in milliseconds; it
            identifies the incarnation.
        pool: service whose tasks it runs.
        address: `ip:port` for orders.
        zone: its availability zone.
        rack: its rack, empty if unknown.
        labels: its labels, the rack included.
        capacity: resources that its tasks may reserve.
        draining: it accepts no new tasks and leaves soon.
        clock_ms: its monotonic clock when it wrote the entry, in milliseconds.
    """

    id: str
    incarnation_ms: int
    pool: str
    address: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Size
    draining: bool
    clock_ms: int


@attrs.frozen(kw_only=True)
class StartOrder:
    """Tells a worker to start an attempt.

    Args:
        worker: id of the worker.
        address: its `ip:port`.
        task: task to run.
        attempt: number of the attempt; increases with each start of the task.
        payload: input of the task.
        lease_until_ms: end of the lease of all attempts on the worker, on the worker's clock.
        token: fencing token; a worker refuses orders with a lower token than it has seen.
        checkpoint: state to resume from, or empty.
        permit: permit of the advice service, or empty.
    """

    worker: str
    address: str
    task: TaskId
    attempt: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    permit: str = ""


@attrs.frozen(kw_only=True)
class StopOrder:
    """Tells a worker to stop an attempt; a later report lists its end."""

    worker: str
    address: str
    task: TaskId
    attempt: int
    token: int


@attrs.frozen(kw_only=True)
class ThrottleOrder:
    """Limits the share of its speed at which an attempt works, in percent."""

    worker: str
    address: str
    task: TaskId
    attempt: int
    percent: int
    token: int


@attrs.frozen(kw_only=True)
class RenewOrder:
    """Extends the lease of all attempts on a worker and asks for a report.

    Args:
        worker: id of the worker.
        address: its `ip:port`.
        token: fencing token.
        acknowledged: serial up to which ended attempts are stored; the worker drops these.
        lease_until_ms: new end of the lease on the worker's clock, None to leave it unchanged.
        wait_ms: maximum time that the worker waits for an attempt to end before it reports.
    """

    worker: str
    address: str
    token: int
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


class OrderResult(enum.Enum):
    """Outcome of an order."""

    DONE = "done"
    FENCED = "fenced"  # the worker has seen a higher token
    STALE = "stale"  # an attempt of the task with this or a higher number has ended there
    LATE = "late"  # the lease in the order had expired
    NO_ROOM = "no room"
    NO_PERMIT = "no permit"
    UNHEALTHY = "unhealthy"  # the worker did nothing
    OTHER_LIFE = "other life"  # another worker or incarnation answers at the address
    REFUSED = "refused"
    NOT_SENT = "not sent"  # no connection, so the order had no effect
    UNKNOWN = "unknown"  # no answer; the order may have been, or may still be, carried out


class OrderAnswer(NamedTuple):
    """Answer to an order.

    Args:
        result: outcome of the order.
        clock_ms: the worker's monotonic clock, None if the answer lacks it.
    """

    result: OrderResult
    clock_ms: int | None = None


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease expired
    BROKEN = "broken"  # another member of the gang ended
    ALONE = "alone"  # the other members of the gang did not start in time


class RunningAttempt(NamedTuple):
    """An attempt that runs on a worker.

    Args:
        task: the task.
        attempt: number of the attempt.
        checkpoint: latest saved state, or empty.
        percent: progress of the work; a long-running task serves once it reaches 100.
        latency_ms: tail latency of the last half second; only for tasks with a latency target.
        processors: cores in use in the last half second; only for tasks without such a target.
    """

    task: TaskId
    attempt: int
    checkpoint: str
    percent: int
    latency_ms: float
    processors: float


class EndedAttempt(NamedTuple):
    """An attempt that ended on a worker.

    Args:
        serial: number of the end among those of the worker's incarnation, from 1.
        task: the task.
        attempt: number of the attempt.
        end: how it ended.
        checkpoint: latest saved state, or empty.
    """

    serial: int
    task: TaskId
    attempt: int
    end: AttemptEnd
    checkpoint: str


@attrs.frozen(kw_only=True)
class Report:
    """A worker's answer to a renewal.

    Args:
        incarnation_ms: Unix time at which this incarnation of the worker began, in milliseconds;
            0 if the report lacks it.
        clock_ms: its monotonic clock, in milliseconds.
        running: all attempts that run there.
        ended: ended attempts that are not acknowledged yet, in the order of their serials.
        lists_all_ends: `ended` has all of them. Else it has the first ones, and what is in neither
            list may have ended.
    """

    incarnation_ms: int
    clock_ms: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    lists_all_ends: bool = True


class WorkerFencedError(PlatformError):
    """The worker has seen a higher fencing token."""


class WorkerSilentError(PlatformError):
    """The worker sent no report; the renewal may have taken effect."""


class WorkerUnreachableError(WorkerSilentError):
    """No connection to the worker could be established; it may have crashed."""


class OtherLifeError(PlatformError):
    """Another worker or incarnation than the order was for answers at the address."""


class WorkerPort(Protocol):
    """Sends orders to workers; the coroutines of all orders run in one event loop.

    `timeout_s` is the time allowed for the answer once the order is sent.
    """

    async def start(self, order: StartOrder, *, timeout_s: float) -> OrderAnswer:
        """Starts an attempt."""

    async def stop(self, order: StopOrder, *, timeout_s: float) -> OrderAnswer:
        """Stops an attempt."""

    async def throttle(self, order: ThrottleOrder, *, timeout_s: float) -> OrderAnswer:
        """Limits the speed of an attempt."""

    async def renew(self, order: RenewOrder, *, timeout_s: float) -> Report:
        """Extends the leases and returns the report.

        Raises:
            WorkerFencedError: the worker has seen a higher token and did nothing.
            WorkerSilentError: the worker sent no report.
            WorkerUnreachableError: no connection to it could be established.
            OtherLifeError: another worker answers at the address.
        """


class WorkerRegistry(Protocol):
    """The list of workers that registered themselves."""

    def read(self) -> list[WorkerInfo]:
        """Returns all workers.

        Raises:
            StoreUnavailableError: the registry can't be read.
        """
