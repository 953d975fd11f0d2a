"""Client of the platform's worker control interface."""

from typing import Any, Literal, Protocol

import attrs
import cattrs
import urllib3

from fescuerudder import checked
from fescuerudder.document import Size
from fescuerudder.errors import WorkerRefusedError, WorkerUnreachableError

WORKER_TIMEOUT_S = 1.0

AttemptState = Literal["running", "finished", "failed", "checkpointed", "stopped", "lapsed"]

ENDED_STATES: frozenset[AttemptState] = frozenset(
    {"finished", "failed", "checkpointed", "stopped", "lapsed"}
)


@attrs.frozen(kw_only=True)
class Capacity:
    """Resources that a worker offers.

    Args:
        processors: cores.
        memory_mb: memory in MB.
        accelerators: accelerators.
        slots: requests at a time, over all services.
        connections: connections at a time for requests.
    """

    processors: float
    memory_mb: int
    accelerators: int
    slots: int
    connections: int

    @property
    def size(self) -> Size:
        """The resources that are committed to tasks."""
        return Size(
            processors=self.processors,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


@attrs.frozen(kw_only=True)
class Attempt:
    """An attempt of a task that runs on a worker, or that ended and is not acknowledged yet.

    Args:
        task: task id.
        attempt: attempt number.
        service: service of the task.
        size: committed resources.
        state: `running`, or how the attempt ended.
        lease_until_s: end of the lease on the worker's clock.
        checkpoint: object name of the checkpoint, if one was taken.
        result: result or reason of failure.
    """

    task: str
    attempt: int
    service: str
    size: Size
    state: AttemptState
    lease_until_s: float
    checkpoint: str = ""
    result: str = ""

    @property
    def is_ended(self) -> bool:
        """Whether the attempt no longer runs."""
        return self.state in ENDED_STATES


@attrs.frozen(kw_only=True)
class Usage:
    """A lagging measurement of one task.

    Args:
        measured_at_s: time of measurement on the worker's clock.
        task: task id.
        service: service of the task.
        processors: cores used.
        memory_mb: memory used in MB.
        service_time_ms: mean time of its requests or work steps in milliseconds.
        neighbours: services that ran on the worker at the time.
        load: committed share of the worker's processors, 0 to 1.
    """

    measured_at_s: float
    task: str
    service: str
    processors: float
    memory_mb: int
    service_time_ms: float
    neighbours: tuple[str, ...] = ()
    load: float = 0.0


@attrs.frozen(kw_only=True)
class WorkerStatus:
    """Status that a worker reports.

    Args:
        worker: worker id.
        incarnation: changes when the worker restarts.
        clock_s: time on its clock when it answered.
        capacity: resources that it offers.
        leaving: whether it is about to leave and accepts no new work.
        highest_epoch: highest fencing token that it has received.
        tasks: attempts that run, and ended ones that are not acknowledged.
        usage: lagging measurements.
    """

    worker: str
    incarnation: str
    clock_s: float
    capacity: Capacity
    leaving: bool = False
    highest_epoch: int = 0
    tasks: tuple[Attempt, ...] = ()
    usage: tuple[Usage, ...] = ()


@attrs.frozen(kw_only=True)
class StartOrder:
    """Order to start an attempt. Times are on the worker's clock.

    Args:
        task: task id.
        attempt: attempt number.
        epoch: fencing token of the rack.
        incarnation: incarnation of the worker that the order is for; any other one refuses it.
        service: service of the task.
        kind: `batch` or `replica`.
        size: committed resources.
        payload: opaque input.
        checkpoint: object name to resume from, or empty.
        lease_until_s: end of the first lease.
        start_by_s: the worker refuses the order after this time.
        trace_id: id that follows the task through all logs.
    """

    task: str
    attempt: int
    epoch: int
    incarnation: str
    service: str
    kind: str
    size: Size
    payload: str
    checkpoint: str
    lease_until_s: float
    start_by_s: float
    trace_id: str


@attrs.frozen(kw_only=True)
class StopOutcome:
    """How a stopped attempt ended."""

    state: AttemptState
    checkpoint: str = ""


class WorkerControl(Protocol):
    """Control interface of one worker.

    Every method raises `WorkerUnreachableError` when no answer came (a command may have
    taken effect), and `WorkerRefusedError` when the worker refused a command.
    """

    def status(self) -> WorkerStatus:
        """Returns the worker's status."""

    def start(self, order: StartOrder) -> None:
        """Starts an attempt."""

    def renew(self, *, epoch: int, leases: dict[str, tuple[int, float]]) -> list[str]:
        """Renews leases, given as task id to (attempt, end); returns tasks that do not run."""

    def stop(self, *, task: str, attempt: int, epoch: int, checkpoint: bool) -> StopOutcome:
        """Stops an attempt, after taking a checkpoint if `checkpoint` is set."""

    def throttle(self, *, task: str, attempt: int, epoch: int, share: float) -> None:
        """Limits an attempt to `share` (0 to 1) of its committed processors."""

    def acknowledge(self, *, epoch: int, ended: list[tuple[str, int]]) -> None:
        """Acknowledges ended attempts (task id, attempt), which the worker then drops."""


_CONVERTER = cattrs.Converter()
_CONVERTER.register_structure_hook(str, lambda value, _: checked.text(value))
_CONVERTER.register_structure_hook(int, lambda value, _: int(checked.finite(value)))
# The converter would apply the hook of int to bool as well, which is derived from it.
_CONVERTER.register_structure_hook(bool, lambda value, _: bool(value))
_CONVERTER.register_structure_hook(float, lambda value, _: checked.finite(value))


class HttpWorker:
    """Worker control over HTTP with JSON.

    Args:
        address: control `ip:port`.
        timeout_s: limit for connecting and for reading one answer, each.
    """

    def __init__(self, *, address: str, timeout_s: float = WORKER_TIMEOUT_S) -> None:
        self._url = f"http://{address}/v1"
        self._pool = urllib3.PoolManager(
            num_pools=1,
            maxsize=2,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    def __enter__(self) -> "HttpWorker":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.clear()

    def status(self) -> WorkerStatus:
        """Returns the worker's status."""
        return self._structure(self._call("GET", "status"), WorkerStatus)

    def start(self, order: StartOrder) -> None:
        """Starts an attempt."""
        self._call("POST", "start", attrs.asdict(order))

    def renew(self, *, epoch: int, leases: dict[str, tuple[int, float]]) -> list[str]:
        """Renews leases; returns the tasks that do not run on the worker."""
        items = {
            task: {"attempt": attempt, "until_s": until_s}
            for task, (attempt, until_s) in leases.items()
        }
        body = self._call("POST", "renew", {"epoch": epoch, "leases": items})
        try:
            return [checked.text(task) for task in checked.items(body.get("unknown", []))]
        except ValueError as exc:
            raise WorkerUnreachableError(f"malformed answer: {checked.reason(exc)}") from exc

    def stop(self, *, task: str, attempt: int, epoch: int, checkpoint: bool) -> StopOutcome:
        """Stops an attempt."""
        command = {"task": task, "attempt": attempt, "epoch": epoch, "checkpoint": checkpoint}
        return self._structure(self._call("POST", "stop", command), StopOutcome)

    def throttle(self, *, task: str, attempt: int, epoch: int, share: float) -> None:
        """Limits an attempt's processors."""
        command = {"task": task, "attempt": attempt, "epoch": epoch, "share": share}
        self._call("POST", "throttle", command)

    def acknowledge(self, *, epoch: int, ended: list[tuple[str, int]]) -> None:
        """Acknowledges ended attempts, which the worker then drops."""
        items = [{"task": task, "attempt": attempt} for task, attempt in ended]
        self._call("POST", "acknowledge", {"epoch": epoch, "ended": items})

    def _call(self, method: str, name: str, command: Any = None) -> dict[str, Any]:
        """Sends one command and returns the decoded answer."""
        try:
            resp = self._pool.request(method, f"{self._url}/{name}", json=command)
            body = checked.load_json(resp.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise WorkerUnreachableError(f"worker {name} failed: {checked.reason(exc)}") from exc
        if resp.status == 409:
            reason = body.get("reason") if isinstance(body, dict) else None
            raise WorkerRefusedError(reason=reason if isinstance(reason, str) else "unknown")
        if resp.status != 200 or not isinstance(body, dict):
            raise WorkerUnreachableError(f"worker {name} answered {resp.status}")
        return body

    def _structure(self, body: dict[str, Any], cls: type) -> Any:
        try:
            return _CONVERTER.structure(body, cls)
        except Exception as exc:
            raise WorkerUnreachableError(f"malformed answer: {type(exc).__name__}") from exc
