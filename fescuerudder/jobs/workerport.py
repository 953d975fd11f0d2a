"""Port to the workers: registry entries, orders to them and their reports."""

import enum
from typing import NamedTuple, Protocol

import attrs

from fescuerudder.document import Size
from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import TaskId

REPORT_ENDS_MAX = 500
"""Ends that one report lists at most; the next report lists the rest."""


@attrs.frozen(kw_only=True)
class WorkerInfo:
    """What the registry says of a worker.

    Args:
        id: identity; a worker that restarts may keep it.
        born_ms: Unix time at which this life of the worker began, in milliseconds.
        pool: service whose tasks it runs.
        address: `ip:port` for orders.
        zone: its availability zone.
        rack: its rack, empty if unknown.
        labels: its labels, the rack included.
        capacity: what its tasks may reserve.
        draining: it takes no new work and leaves soon.
        clock_ms: its steady clock when it wrote the entry.
    """

    id: str
    born_ms: int
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
        attempt: number of the attempt, grows with each start of the task.
        payload: input.
        lease_until_ms: end of the lease of everything on the worker, on the worker's clock.
        token: fencing token; a worker ignores orders with a lower one than it has seen.
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
    """Tells a worker to end an attempt; the end shows in a later report."""

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
    """Extends the lease of everything on a worker and asks for a report.

    Args:
        worker: id of the worker.
        address: its `ip:port`.
        token: fencing token.
        acknowledged: number of the last end that is stored; the worker forgets up to it.
        lease_until_ms: new end of the lease on the worker's clock, None to leave it.
        wait_ms: longest time that the worker waits for an end before it reports.
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
    FENCED = "fenced"  # a higher token was seen
    STALE = "stale"  # the attempt number is not higher than one that ended there
    LATE = "late"  # the lease in the order had ended
    NO_ROOM = "no room"
    NO_PERMIT = "no permit"
    UNHEALTHY = "unhealthy"  # nothing was done
    OTHER_LIFE = "other life"  # the worker is not the one the order was meant for
    REFUSED = "refused"
    NOT_SENT = "not sent"  # no connection; nothing was done
    UNKNOWN = "unknown"  # no answer; it may have been, or may still be, carried out


class OrderAnswer(NamedTuple):
    """Answer to an order; `clock_ms` is the worker's clock if it told it."""

    result: OrderResult
    clock_ms: int | None = None


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease ended
    BROKEN = "broken"  # another member of the gang ended
    ALONE = "alone"  # the other members of the gang did not come in time


class RunningAttempt(NamedTuple):
    """An attempt that runs on a worker.

    Args:
        task: the task.
        attempt: number of the attempt.
        checkpoint: latest saved state, or empty.
        percent: progress of the work; a long-running task is at work from 100 on.
        latency_ms: tail latency of the last half second; only of tasks with a latency target.
        processors: cores in use in the last half second; only of all other tasks.
    """

    task: TaskId
    attempt: int
    checkpoint: str
    percent: int
    latency_ms: float
    processors: float


class EndedAttempt(NamedTuple):
    """An attempt that ended on a worker; `serial` counts the ends of this life from 1."""

    serial: int
    task: TaskId
    attempt: int
    end: AttemptEnd
    checkpoint: str


@attrs.frozen(kw_only=True)
class Report:
    """A worker's answer to a renewal.

    Args:
        born_ms: Unix time at which this life of the worker began, 0 if it did not say.
        clock_ms: its steady clock.
        running: what runs there.
        ended: ends that are not acknowledged yet, in the order of their serials.
    """

    born_ms: int
    clock_ms: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]


class WorkerFencedError(PlatformError):
    """The worker has seen a higher fencing token."""


class WorkerSilentError(PlatformError):
    """The worker gave no report; a renewal may have taken effect."""


class OtherLifeError(PlatformError):
    """The worker that answered is not the one that was meant."""


class WorkerPort(Protocol):
    """Sends orders to workers."""

    def start(self, order: StartOrder) -> OrderAnswer:
        """Starts an attempt."""

    def stop(self, order: StopOrder) -> OrderAnswer:
        """Ends an attempt."""

    def throttle(self, order: ThrottleOrder) -> OrderAnswer:
        """Limits the speed of an attempt."""

    def renew(self, order: RenewOrder) -> Report:
        """Extends the leases and returns the report.

        Raises:
            WorkerFencedError: a higher token was seen; nothing was done.
            WorkerSilentError: there was no report.
            OtherLifeError: another worker answers at the address.
        """
