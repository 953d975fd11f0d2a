"""HTTP stand-in for a worker: control and data address, faults, event file."""

import contextlib
import hashlib
import json
import random
import threading
import time
import uuid
from typing import Any

import attrs
import urllib3

from fescuerudder.clock import Clock, SystemClock
from fescuerudder.document import Size
from standins._events import EventLog
from standins._http import Answer, HttpServer, Request, wait_for_signal
from standins.interference import FactorTable
from standins.workerstate import RefusedError, SimAttempt, WorkerState

TICK_S = 0.1
STORE_TIMEOUT_S = 0.7
"""Shorter than the client's limit for a command, so that a command with a checkpoint answers."""

CHECKPOINT_RETRY_S = 1.0
MISSING_BYTES = 64
CONTROL_THREADS = 4
SPARE_DATA_THREADS = 4
"""Threads beyond the slots, which refuse requests while all slots are busy."""

MODES = (
    "ok",
    "fail_starts",
    "fail_tasks",
    "refuse",
    "truncate",
    "late",
    "wrong_id",
    "close_after_read",
    "leave",
)


class OffsetClock:
    """System clock shifted by an offset, so that no reader can rely on equal clocks."""

    def __init__(self, *, offset_s: float) -> None:
        self._offset_s = offset_s
        self._clock = SystemClock()

    def now_s(self) -> float:
        """Returns the shifted reading in seconds."""
        return self._clock.now_s() + self._offset_s

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits on `event`; returns whether it is set."""
        return event.wait(timeout_s)


@attrs.frozen(kw_only=True)
class Fault:
    """A fault in force on the data or control address.

    Args:
        mode: one of `MODES`.
        probability: share of requests that it hits.
        delay_ms: delay of `late`.
        executed: whether `close_after_read` runs the request before it closes.
        seed: seed of the generator that picks requests.
    """

    mode: str = attrs.field(validator=attrs.validators.in_(MODES))
    probability: float = 1.0
    delay_ms: float = 1000.0
    executed: bool = True
    seed: int = 0


class FaultSet:
    """Faults in force; several modes may be in force at once, `ok` ends all."""

    def __init__(self) -> None:
        self._faults: dict[str, tuple[Fault, random.Random]] = {}
        self._lock = threading.Lock()

    def set(self, fault: Fault) -> None:
        """Puts `fault` into force."""
        with self._lock:
            if fault.mode == "ok":
                self._faults.clear()
                return
            self._faults[fault.mode] = (fault, random.Random(fault.seed))

    def get(self, mode: str) -> Fault | None:
        """Returns the fault if it is in force and hits this request."""
        with self._lock:
            fault, rng = self._faults.get(mode, (None, None))
            if fault is None or rng is None or rng.random() >= fault.probability:
                return None
            return fault

    def modes(self) -> list[str]:
        """Returns the modes in force."""
        with self._lock:
            return sorted(self._faults)


class CheckpointStore:
    """Reads and writes checkpoints in the object store.

    Args:
        address: `ip:port` of the object store; empty keeps checkpoints in memory.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}/v1/objects/" if address else ""
        self._local: dict[str, bytes] = {}
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=4, retries=False, timeout=STORE_TIMEOUT_S
        )

    def write(self, item: SimAttempt) -> str:
        """Writes the checkpoint of `item`; returns its name, or an empty string on failure."""
        name = f"checkpoint/{item.task}/{item.attempt}"
        data = json.dumps({"task": item.task, "done_s": item.done_s}).encode()
        if not self._url:
            self._local[name] = data
            return name
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if self._pool.request("PUT", self._url + name, body=data).status < 300:
                return name
        return ""

    def read_done_s(self, name: str) -> float:
        """Returns the work done that a checkpoint states.

        Raises:
            RefusedError: the checkpoint can't be read.
        """
        if not name:
            return 0.0
        try:
            return float(json.loads(self._read(name))["done_s"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as exc:
            raise RefusedError(reason="checkpoint_unreadable") from exc

    def _read(self, name: str) -> bytes:
        if not self._url:
            return self._local[name]
        return self._pool.request("GET", self._url + name).data


class DataPlane:
    """Answers requests of callers.

    Args:
        worker: worker id, part of each answer.
        state: slots and replicas.
        faults: faults in force.
        events: event file.
        mean_ms: mean of the exponential service time of requests that state none.
        seed: seed of these service times.
    """

    def __init__(
        self,
        *,
        worker: str,
        state: WorkerState,
        faults: FaultSet,
        events: EventLog,
        mean_ms: float,
        seed: int,
    ) -> None:
        self._worker = worker
        self._state = state
        self._faults = faults
        self._events = events
        self._mean_ms = mean_ms
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._keys: set[str] = set()

    def handle(self, req: Request) -> Answer:
        """Answers one request, or refuses it as not processed."""
        service = req.path.lstrip("/").split("/", 1)[0]
        closing = self._faults.get("close_after_read")
        if closing and not closing.executed:
            return Answer(abort=True)
        reason, slowdown = self._state.take_slot(service)
        if reason:
            return self._refuse(req, service, reason)
        started_s = time.monotonic()
        try:
            self._note(req, service, "request")
            time.sleep(self._service_ms(req) * slowdown / 1000)
            return self._finish(req, service, aborted=closing is not None)
        finally:
            self._state.free_slot(service, took_ms=(time.monotonic() - started_s) * 1000)

    def _finish(self, req: Request, service: str, *, aborted: bool) -> Answer:
        """Returns the answer of an executed request, changed by the faults in force."""
        if not self._state.runs_replica(service):
            # The replica ended while it answered.
            self._note(req, service, "request_cut")
            self._state.counts["violation_request_cut"] += 1
            return Answer(abort=True)
        late = self._faults.get("late")
        if late:
            time.sleep(late.delay_ms / 1000)
        self._note(req, service, "completed")
        if aborted:
            return Answer(abort=True)
        missing = MISSING_BYTES if self._faults.get("truncate") else 0
        headers = _echo_id(req)
        if self._faults.get("wrong_id"):
            headers["X-Request-Id"] = f"other-{uuid.uuid4().hex[:8]}"
        close = "refuse" in self._faults.modes()
        return Answer(
            body=self._body(req, service), headers=headers, missing_bytes=missing, close=close
        )

    def _body(self, req: Request, service: str) -> bytes:
        """Returns an answer that lets the caller check that it belongs to its request."""
        content = {
            "worker": self._worker,
            "service": service,
            "method": req.method,
            "target": req.target,
            "request_id": req.headers.get("x-request-id", ""),
            "body_sha256": hashlib.sha256(req.body).hexdigest(),
        }
        padding = int(req.query.get("answer_bytes", 0))
        return json.dumps(content).encode() + b" " * padding

    def _refuse(self, req: Request, service: str, reason: str) -> Answer:
        self._state.counts[f"request_refused_{reason}"] += 1
        self._note(req, service, "request_refused", reason=reason)
        headers = {"Not-Processed": "true", **_echo_id(req)}
        return Answer(status=503, body={"reason": reason}, headers=headers)

    def _service_ms(self, req: Request) -> float:
        stated = req.headers.get("work-ms") or req.query.get("work_ms")
        if stated:
            return max(0.0, float(stated))
        with self._lock:
            return self._random.expovariate(1.0 / self._mean_ms)

    def _note(self, req: Request, service: str, event: str, **fields: Any) -> None:
        key = req.headers.get("idempotency-key", "")
        if event == "request" and key:
            with self._lock:
                self._state.counts["violation_key_repeated"] += f"{service}|{key}" in self._keys
                self._keys.add(f"{service}|{key}")
        self._events.append(
            event,
            service=service,
            method=req.method,
            target=req.target,
            nonce=req.query.get("nonce", ""),
            key=key,
            request_id=req.headers.get("x-request-id", ""),
            **fields,
        )


class ControlPlane:
    """Answers commands of the scheduler.

    Args:
        identity: constant part of the status.
        state: attempts and leases.
        checkpoints: object store for checkpoints.
        faults: faults in force.
        data: server of the data address, for refused connections.
    """

    def __init__(
        self,
        *,
        identity: dict[str, Any],
        state: WorkerState,
        checkpoints: CheckpointStore,
        faults: FaultSet,
        data: HttpServer,
    ) -> None:
        self._identity = identity
        self._state = state
        self._checkpoints = checkpoints
        self._faults = faults
        self._data = data

    def handle(self, req: Request) -> Answer:
        """Answers one command."""
        commands = {
            "/v1/status": lambda _: {**self._identity, **self._state.status()},
            "/v1/start": self._start,
            "/v1/renew": lambda body: {"unknown": self._state.renew(body)},
            "/v1/stop": self._stop,
            "/v1/throttle": self._throttle,
            "/v1/acknowledge": self._acknowledge,
            "/v1/witness": self._witness,
            "/fault": self._fault,
        }
        if req.path not in commands:
            return Answer(status=404, body={"error": "no such resource"})
        try:
            return Answer(body=commands[req.path](req.json()))
        except RefusedError as exc:
            return Answer(status=409, body={"reason": exc.reason})

    def _start(self, body: dict[str, Any]) -> dict[str, Any]:
        done_s = self._checkpoints.read_done_s(body.get("checkpoint", ""))
        self._state.start(body, done_s=done_s)
        return {}

    def _stop(self, body: dict[str, Any]) -> dict[str, Any]:
        item = self._state.begin_stop(body)
        if item is None:
            return {"state": "stopped", "checkpoint": ""}
        if item.paused:
            self._state.end_stop(item, checkpoint=self._checkpoints.write(item))
        return {"state": item.state, "checkpoint": item.checkpoint}

    def _throttle(self, body: dict[str, Any]) -> dict[str, Any]:
        self._state.throttle(body)
        return {}

    def _acknowledge(self, body: dict[str, Any]) -> dict[str, Any]:
        self._state.acknowledge(body)
        return {}

    def _witness(self, _: dict[str, Any]) -> dict[str, Any]:
        counts = dict(self._state.counts)
        violations = {k: n for k, n in counts.items() if k.startswith("violation_") and n}
        return {
            "violations": violations,
            "counts": counts,
            "connections": self._data.connection_counts(),
        }

    def _fault(self, body: dict[str, Any]) -> dict[str, Any]:
        self._faults.set(Fault(**body))
        modes = self._faults.modes()
        self._state.set_faults(
            leaving="leave" in modes,
            fail_starts="fail_starts" in modes,
            fail_tasks="fail_tasks" in modes,
        )
        self._data.set_refusing("refuse" in modes)
        return {"modes": modes}


class Worker:
    """One worker with its two addresses; use as a context manager.

    Args:
        worker: worker id.
        zone: availability zone.
        control: `ip:port` for commands.
        data: `ip:port` for requests.
        clock: the worker's clock.
        offset_s: offset of that clock from CLOCK_BOOTTIME, for the event file.
        store: `ip:port` of the object store, or empty.
        events: path of the event file, or empty.
        capacity: resources for tasks.
        slots: requests at a time.
        connections: connections at a time on the data address.
        seed: seed of interference factors and service times.
        factors: fixed factors by `service|neighbour`.
        mean_ms: mean service time of requests that state none.
        usage_every_s: time between usage reports.
        usage_lag_s: age at which usage reports become visible.
    """

    def __init__(
        self,
        *,
        worker: str,
        zone: str,
        control: str,
        data: str,
        clock: Clock,
        offset_s: float = 0.0,
        store: str = "",
        events: str = "",
        capacity: Size | None = None,
        slots: int = 8,
        connections: int = 64,
        seed: int = 0,
        factors: dict[str, float] | None = None,
        mean_ms: float = 20.0,
        usage_every_s: float = 1.0,
        usage_lag_s: float = 3.0,
    ) -> None:
        capacity = capacity or Size(processors=32.0, memory_mb=125_000, accelerators=0)
        incarnation = uuid.uuid4().hex[:12]
        common = {"worker": worker, "zone": zone, "incarnation": incarnation}
        self._clock = clock
        self._offset_s = offset_s
        self._usage_every_s = usage_every_s
        self._events = EventLog(path=events, common=common)
        self._checkpoints = CheckpointStore(address=store)
        self.state = WorkerState(
            clock=clock,
            capacity=capacity,
            slots=slots,
            factors=FactorTable(seed=seed, fixed=factors),
            record=self._record,
            usage_lag_s=usage_lag_s,
        )
        faults = FaultSet()
        plane = DataPlane(
            worker=worker,
            state=self.state,
            faults=faults,
            events=self._events,
            mean_ms=mean_ms,
            seed=seed,
        )
        self.data = HttpServer(
            address=data,
            handler=plane.handle,
            threads=slots + SPARE_DATA_THREADS,
            max_connections=connections,
        )
        offered = {**attrs.asdict(capacity), "slots": slots, "connections": connections}
        commands = ControlPlane(
            identity={"worker": worker, "incarnation": incarnation, "capacity": offered},
            state=self.state,
            checkpoints=self._checkpoints,
            faults=faults,
            data=self.data,
        )
        self.control = HttpServer(address=control, handler=commands.handle, threads=CONTROL_THREADS)
        self._stopped = threading.Event()
        self._ticker = threading.Thread(target=self._tick, daemon=True)
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> "Worker":
        self._stack.enter_context(self._events)
        self._events.append("boot")
        self._stack.enter_context(self.data)
        self._stack.enter_context(self.control)
        self._ticker.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopped.set()
        self._ticker.join()
        self.state.shut_down()
        self._stack.close()

    def _record(self, event: str, at_s: float, **fields: Any) -> None:
        self._events.append(event, boot_s=at_s - self._offset_s, **fields)

    def _tick(self) -> None:
        """Notices ends in time, measures usage and writes checkpoints of expired attempts."""
        next_sample_s = next_retry_s = self._clock.now_s()
        while not self._clock.wait_s(self._stopped, TICK_S):
            now_s = self._clock.now_s()
            lapsed = self.state.lapsed_without_checkpoint()
            if now_s >= next_sample_s:
                self.state.sample_usage()
                next_sample_s = now_s + self._usage_every_s
            if lapsed and now_s >= next_retry_s:
                self._save(lapsed)
                next_retry_s = now_s + CHECKPOINT_RETRY_S

    def _save(self, lapsed: list[SimAttempt]) -> None:
        for item in lapsed:
            item.checkpoint = self._checkpoints.write(item)
            if not item.checkpoint:
                return


def _echo_id(req: Request) -> dict[str, str]:
    request_id = req.headers.get("x-request-id")
    return {"X-Request-Id": request_id} if request_id else {}


def run(
    *,
    listen: str,
    data: str,
    worker: str,
    zone: str,
    store: str = "",
    events: str = "",
    processors: float = 32.0,
    memory_mb: int = 125_000,
    accelerators: int = 0,
    slots: int = 8,
    connections: int = 64,
    clock_offset_s: float | None = None,
    seed: int = 0,
    factors: dict[str, float] | None = None,
    mean_ms: float = 20.0,
    usage_every_s: float = 1.0,
    usage_lag_s: float = 3.0,
) -> None:
    """Runs a worker until SIGTERM.

    Args:
        listen: control `ip:port`.
        data: `ip:port` for requests.
        worker: worker id.
        zone: availability zone.
        store: `ip:port` of the object store.
        events: path of the event file.
        processors: cores offered.
        memory_mb: memory offered in MB.
        accelerators: accelerators offered.
        slots: requests at a time.
        connections: connections at a time.
        clock_offset_s: offset of its clock; by default drawn from its id.
        seed: seed of interference factors and service times.
        factors: fixed interference factors by `service|neighbour`.
        mean_ms: mean service time of requests that state none.
        usage_every_s: time between usage reports.
        usage_lag_s: age at which usage reports become visible.
    """
    offset_s = clock_offset_s
    if offset_s is None:
        offset_s = random.Random(str(worker)).uniform(1_000.0, 100_000.0)
    with Worker(
        worker=str(worker),
        zone=str(zone),
        control=listen,
        data=data,
        clock=OffsetClock(offset_s=offset_s),
        offset_s=offset_s,
        store=store,
        events=events,
        capacity=Size(processors=processors, memory_mb=memory_mb, accelerators=accelerators),
        slots=slots,
        connections=connections,
        seed=seed,
        factors=factors,
        mean_ms=mean_ms,
        usage_every_s=usage_every_s,
        usage_lag_s=usage_lag_s,
    ):
        wait_for_signal()
