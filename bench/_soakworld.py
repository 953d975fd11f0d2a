"""What a soak runs: the prepared platform's stand-ins, relays around them, nodes as processes."""

import contextlib
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import attrs

from fescuerudder.document import Size
from fescuerudder.errors import PlatformError
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.rows import RowKey, RowTransaction
from fescuerudder.jobs.workerport import WorkerInfo
from standins._http import HttpServer, free_port
from standins.jobworker import JobWorker
from standins.nodesettings import write_settings
from standins.relay import Relay
from standins.rows import MemoryRowStore
from standins.storehandler import store_handler
from standins.workerhandler import WorkerHandler

HOST = "127.0.0.1"
NODES = 3
WORKERS = 4
MAX_LEASE_S = 6.0
CAPACITY = 4.0
HEARTBEAT_S = 0.5
TICK_S = 0.02
STOP_S = 12.0
STORE_THREADS = 48
WORKER_THREADS = 16
QUEUE = {
    "name": "q",
    "hostname": "soak.example",
    "prefix": "/q/",
    "service": "pool",
    "priority": 0,
    "maxAttempts": 3,
    "stretch": 2.0,
    "targetCompletionMs": 1000,
}


@attrs.define(kw_only=True)
class Node:
    """One node as a process that is killed and started again.

    Args:
        name: its id.
        directory: where its settings and its log lie.
        store: `ip:port` at which it reaches the store, a relay's.
        max_lease_s: longest lease that a worker grants, in seconds.
    """

    name: str
    directory: Path
    store: str
    max_lease_s: float = MAX_LEASE_S
    callers: str = ""
    process: subprocess.Popen | None = None
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False, eq=False)

    def start(self) -> None:
        """Starts the process if it does not run."""
        with self._lock:
            if self.process is None or self.process.poll() is not None:
                self._start_process()

    def _start_process(self) -> None:
        settings = self._write_settings()
        command = [sys.executable, "-m", "fescuerudder", "node", "--settings", settings]
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--metrics-port", str(free_port(HOST))], stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self.process is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(STOP_S)
            self.process.kill()
            self.process.wait()

    def _write_settings(self) -> str:
        ports = {name: free_port(HOST) for name in ("peer_port", "ready_port")}
        front_port = int(self.callers.rpartition(":")[2]) if self.callers else free_port(HOST)
        self.callers = f"{HOST}:{front_port}"
        path = self.directory / f"{self.name}.toml"
        return write_settings(
            path,
            node=self.name,
            front_port=front_port,
            store_port=int(self.store.rpartition(":")[2]),
            max_hold_ms=int(self.max_lease_s * 1000),
            **ports,
        )


class SoakWorld:
    """Platform, relays and nodes; a context manager that starts and ends them.

    Args:
        rng: source of the workers' clock rates.
        plan: returns size, run time in seconds and whether it fails, for task, attempt, worker.
        workers: number of workers.
        max_lease_s: longest lease that they grant, in seconds.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        plan: Any,
        workers: int = WORKERS,
        max_lease_s: float = MAX_LEASE_S,
    ) -> None:
        self.rows = MemoryRowStore(now_ms=lambda: int(time.monotonic() * 1000))
        self.events: list[tuple[float, str, TaskId, int, str]] = []
        self.workers: dict[str, WorkerHandler] = {}
        self.nodes: list[Node] = []
        self._rng = rng
        self._plan = plan
        self._number_of_workers = workers
        self._max_lease_s = max_lease_s
        self._stack = contextlib.ExitStack()
        self._stopping = threading.Event()

    def __enter__(self) -> "SoakWorld":
        with contextlib.ExitStack() as stack:
            self.directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-")))
            self.relay = stack.enter_context(Relay(listen=f"{HOST}:0"))
            handler = store_handler(self.rows)
            server = HttpServer(address=f"{HOST}:0", handler=handler, threads=STORE_THREADS)
            self._store = stack.enter_context(server).address
            self._write_manifest()
            for number in range(self._number_of_workers):
                self._add_worker(number, stack)
            stack.callback(self._stopping.set)
            threading.Thread(target=self._run_workers, daemon=True).start()
            for number in range(NODES):
                self._add_node(number, stack)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def logs(self) -> str:
        """Returns what all nodes wrote."""
        return "".join(path.read_text() for path in sorted(self.directory.glob("*.log")))

    def _route(self, name: str, target: str) -> str:
        listen = f"{HOST}:{free_port(HOST)}"
        self.relay.add(name=name, listen=listen, target=target)
        return listen

    def _write_manifest(self) -> None:
        manifest = {
            "version": 1,
            "routes": [QUEUE],
            "services": [{"name": "pool", "rejectsOverload": True}],
            "limits": {},
        }
        key = RowKey("op", "", "config")
        self.rows.write(RowTransaction(puts=((key, json.dumps(manifest).encode()),)), timeout_s=1.0)

    def _add_worker(self, number: int, stack: contextlib.ExitStack) -> None:
        name = f"w{number}"
        info = WorkerInfo(
            id=name,
            incarnation_ms=1000,
            pool="pool",
            address="",
            zone=f"z{number % 2}",
            rack=f"r{number % 2}",
            labels=frozenset({"a", f"r{number % 2}"}),
            capacity=Size(processors=CAPACITY, memory_mb=100_000, accelerators=0),
            draining=False,
            clock_ms=0,
        )
        model = JobWorker(
            info=info,
            now_s=time.monotonic,
            events=self.events,
            plan=self._plan,
            max_lease_s=self._max_lease_s,
            clock_rate=self._rng.choice((1.0, 0.985)),
        )
        face = WorkerHandler(worker=model)
        server = HttpServer(address=f"{HOST}:0", handler=face.handle, threads=WORKER_THREADS)
        address = self._route(name, stack.enter_context(server).address)
        model.info = attrs.evolve(info, address=address)
        self.workers[name] = face

    def _add_node(self, number: int, stack: contextlib.ExitStack) -> None:
        name = f"n{number}"
        store = self._route(f"store-{name}", self._store)
        node = Node(name=name, directory=self.directory, store=store, max_lease_s=self._max_lease_s)
        stack.callback(node.end)
        node.start()
        self.nodes.append(node)

    def _run_workers(self) -> None:
        next_entry_s = 0.0
        while not self._stopping.wait(TICK_S):
            for face in self.workers.values():
                face.tick()
            if time.monotonic() >= next_entry_s:
                next_entry_s = time.monotonic() + HEARTBEAT_S
                self._write_entries()

    def _write_entries(self) -> None:
        """Writes the registry; the workers' path to the store fails with the store."""
        for name, face in self.workers.items():
            key = RowKey("servers", "", name)
            value = json.dumps(face.registry_entry()).encode()
            change = (
                RowTransaction(puts=((key, value),))
                if face.worker.is_up and face.is_listed
                else RowTransaction(deletes=(key,))
            )
            with contextlib.suppress(PlatformError):
                self.rows.write(change, timeout_s=1.0)


def heal(world: SoakWorld) -> None:
    """Ends all faults, and starts what does not run."""
    world.rows.faults.down = False
    world.rows.faults.lose_answers = world.rows.faults.lose_writes = 0
    for name in world.relay.names():
        world.relay.heal(name)
    for face in world.workers.values():
        face.held_calls.end()
        face.is_listed = True
        with face.lock:
            if not face.worker.is_up:
                face.worker.restart()
    for node in world.nodes:
        node.send(signal.SIGCONT)
        node.start()
