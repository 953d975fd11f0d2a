"""HTTP stand-in for a worker with control and data addresses, faults and an event file."""

import contextlib
import random
import threading
import uuid
from typing import Any

import attrs

from fescuerudder.clock import Clock, SystemClock
from fescuerudder.document import Size
from standins._checkpoints import CheckpointStore
from standins._dataplane import DataPlane
from standins._events import EventLog
from standins._http import Answer, HttpServer, Request, wait_for_signal
from standins._simattempt import SimAttempt
from standins._workerfault import Fault, FaultSet
from standins.interference import FactorTable
from standins.workerstate import RefusedError, WorkerState

TICK_INTERVAL_S = 0.1
CHECKPOINT_RETRY_INTERVAL_S = 1.0
CONTROL_THREADS = 4
SPARE_DATA_THREADS = 4
"""Threads beyond the number of slots, to refuse requests while all slots are busy."""


class OffsetClock:
    """System clock shifted by an offset, so that no client can rely on synchronized clocks."""

    def __init__(self, *, offset_s: float) -> None:
        self._offset_s = offset_s
        self._clock = SystemClock()

    def now_s(self) -> float:
        """Returns the shifted reading in seconds."""
        return self._clock.now_s() + self._offset_s

    def wait_s(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits on `event`; returns whether it is set."""
        return event.wait(timeout_s)


class ControlPlane:
    """Answers the scheduler's commands.

    Args:
        identity: constant part of the status.
        state: attempts and leases.
        checkpoints: object store for checkpoints.
        faults: active faults.
        data: server of the data address, on which faults refuse connections.
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
    """Worker with a control and a data address; a context manager.

    Args:
        worker: worker id.
        zone: availability zone.
        control: `ip:port` for commands.
        data: `ip:port` for requests.
        clock: the worker's clock.
        offset_s: offset of that clock from CLOCK_BOOTTIME in seconds, for the event file.
        store: `ip:port` of the object store, or empty.
        events: path of the event file, or empty.
        capacity: resources for tasks.
        slots: number of concurrent requests.
        connections: number of concurrent connections on the data address.
        seed: seed of interference factors and service times.
        factors: fixed interference factors by `service|neighbour`.
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
            incarnation=incarnation,
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
        offered_capacity = {**attrs.asdict(capacity), "slots": slots, "connections": connections}
        commands = ControlPlane(
            identity={"worker": worker, "incarnation": incarnation, "capacity": offered_capacity},
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
        if "leases" in fields:
            leases = fields.pop("leases").items()
            fields["leases"] = [[*key, until_s - self._offset_s] for key, until_s in leases]
        self._events.append(event, boot_s=at_s - self._offset_s, **fields)

    def _tick(self) -> None:
        """Ends due attempts, samples usage and writes the checkpoints of expired attempts."""
        next_sample_s = next_retry_s = self._clock.now_s()
        while not self._clock.wait_s(self._stopped, TICK_INTERVAL_S):
            now_s = self._clock.now_s()
            lapsed = self.state.lapsed_without_checkpoint()
            if now_s >= next_sample_s:
                self.state.sample_usage()
                next_sample_s = now_s + self._usage_every_s
            if lapsed and now_s >= next_retry_s:
                self._write_checkpoints(lapsed)
                next_retry_s = now_s + CHECKPOINT_RETRY_INTERVAL_S

    def _write_checkpoints(self, lapsed: list[SimAttempt]) -> None:
        for item in lapsed:
            item.checkpoint = self._checkpoints.write(item)
            if not item.checkpoint:
                return


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
        slots: number of concurrent requests.
        connections: number of concurrent connections on the data address.
        clock_offset_s: offset of its clock in seconds; by default derived from its id.
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
