"""Starts stand-ins and entry instances as separate processes and injects failures.

Every process is started, signalled and ended through its own handle.
"""

import contextlib
import json
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
import urllib3

from bench.deployment import Deployment, Zone

HOST = "127.0.0.1"
PORTS = range(20_000, 32_000)
"""Below the range that the kernel picks from for outgoing connections."""

READY_S = 20.0
STOP_S = 5.0
ENTRY_STOP_S = 10.0
"""Entry instances finish their requests before they end."""

POLL_S = 0.05
CALL_TIMEOUT_S = 5.0


class LauncherError(Exception):
    """A process could not be started or addressed."""


@attrs.define(kw_only=True)
class Process:
    """A started process.

    Args:
        name: name within the launcher.
        kind: `table`, `members`, `relay`, `worker` or `entry`.
        argv: its command.
        handle: its handle; replaced by a restart.
        addresses: its `ip:port` by role, as its clients reach it.
        ready_url: URL that answers once it serves.
        labels: zone, region and rack.
        frozen: whether it is stopped by SIGSTOP.
    """

    name: str
    kind: str
    argv: list[str]
    handle: subprocess.Popen[bytes]
    addresses: dict[str, str]
    ready_url: str
    labels: dict[str, str]
    frozen: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.handle.poll() is None


class Launcher:
    """Runs a deployment; use as a context manager.

    Args:
        directory: takes the logs (`<name>.log`) and event files (`events/<worker>.jsonl`).
        deployment: what to start.
        start_entries: whether entering the context also starts the entry instances.
    """

    def __init__(
        self, *, directory: Path, deployment: Deployment, start_entries: bool = True
    ) -> None:
        self.directory = directory
        self.deployment = deployment
        self.processes: dict[str, Process] = {}
        self._start_entries = start_entries
        self._ports: set[int] = set()
        self._rng = random.SystemRandom()
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)

    def __enter__(self) -> "Launcher":
        (self.directory / "events").mkdir(parents=True, exist_ok=True)
        try:
            self._start_platform()
            if self._start_entries:
                self.start_entries()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends every process: SIGTERM first, SIGKILL to what remains later."""
        # Entry instances end first, while the store still answers their planned stop.
        platform = ("table", "members", "relay")
        groups = ((("entry",), ENTRY_STOP_S), (("worker",), STOP_S), (platform, STOP_S))
        for kinds, limit_s in groups:
            self._end([p for p in self.processes.values() if p.kind in kinds], limit_s)
        self._http.clear()

    def start_entries(self) -> None:
        """Starts the entry instances of the deployment and waits until they serve."""
        started = []
        for zone in self.deployment.zones:
            for number in range(1, zone.entries + 1):
                name = f"entry-{zone.name}-{number}"
                started.append(self.start_entry(name=name, zone=zone, wait=False))
        for process in started:
            self.wait_ready(process.name)

    def start_entry(self, *, name: str, zone: Zone, wait: bool = True) -> Process:
        """Starts one entry instance and registers it in the membership list."""
        http, peer = self.new_address(), self.new_address()
        flags = {
            "instance": name,
            "zone": zone.name,
            "region": zone.region,
            "store": self._via(f"store:{name}", self.deployment.relay_store, self.table),
            "members": self._via(
                f"members:{name}", self.deployment.relay_members, self.member_list
            ),
            "peer_key": self.deployment.peer_key,
            "operator_key": self.deployment.operator_key,
            "http": http,
            "peer": peer,
            **self.deployment.entry_flags,
        }
        process = self._start(
            name=name,
            kind="entry",
            argv=[sys.executable, "-m", "fescuerudder", "entry", *_argv(flags)],
            addresses={"data": http, "control": peer},
            ready_url=f"http://{http}/health",
            labels={"zone": zone.name, "region": zone.region, "rack": ""},
        )
        self.register(name)
        if wait:
            self.wait_ready(name)
        return process

    @property
    def table(self) -> str:
        """`ip:port` of the table and object store, without relay."""
        return self.processes["table"].addresses["control"]

    @property
    def member_list(self) -> str:
        """`ip:port` of the membership list, without relay."""
        return self.processes["members"].addresses["control"]

    @property
    def workers(self) -> list[Process]:
        """Workers in the order of their start."""
        return [p for p in self.processes.values() if p.kind == "worker"]

    @property
    def entries(self) -> list[Process]:
        """Entry instances in the order of their start."""
        return [p for p in self.processes.values() if p.kind == "entry"]

    def kill(self, name: str) -> None:
        """Ends a process by SIGKILL and notes it in its event file if it is a worker."""
        process = self.processes[name]
        process.handle.kill()
        process.handle.wait()
        process.frozen = False
        if process.kind == "worker":
            self._note_killed(process)

    def terminate(self, name: str, *, timeout_s: float | None = None) -> int | None:
        """Sends SIGTERM; waits up to `timeout_s` if given, and returns the exit status."""
        process = self.processes[name]
        process.handle.terminate()
        if timeout_s is None:
            return process.handle.poll()
        with contextlib.suppress(subprocess.TimeoutExpired):
            return process.handle.wait(timeout_s)
        return None

    def freeze(self, name: str) -> None:
        """Stops a process by SIGSTOP."""
        self.processes[name].handle.send_signal(signal.SIGSTOP)
        self.processes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Continues a frozen process by SIGCONT."""
        self.processes[name].handle.send_signal(signal.SIGCONT)
        self.processes[name].frozen = False

    def restart(self, name: str) -> None:
        """Starts an ended process again with the same command and addresses."""
        process = self.processes[name]
        if process.is_running:
            raise LauncherError(f"{name} still runs")
        process.handle = self._spawn(name, process.argv)
        self.wait_ready(name)

    def fault(self, name: str, **settings: Any) -> dict[str, Any]:
        """Sets a fault of a stand-in, such as mode="down"."""
        address = self.processes[name].addresses
        return self.call("POST", address.get("direct", address["control"]), "/fault", settings)

    def cut(self, route: str, *, new: str = "hang") -> None:
        """Cuts a relay route, such as `store:entry-a-1` or `control:worker-a-1-1`."""
        self._relay(route, "/cut", {"routes": [route], "new": new})

    def heal(self, route: str) -> None:
        """Lets a relay route pass data again."""
        self._relay(route, "/heal", {"routes": [route]})

    def delay(self, route: str, *, delay_ms: float) -> None:
        """Sets the one-way delay of a relay route."""
        self._relay(route, "/delay", {"routes": [route], "delay_ms": delay_ms})

    def leave(self, name: str) -> None:
        """Marks a member as leaving in the list and, for a worker, in its own status."""
        if self.processes[name].kind == "worker":
            self.fault(name, mode="leave")
        self.call("POST", self.member_list, "/v1/members", {"id": name, "state": "leaving"})

    def register(self, name: str, *, immediate: bool = False) -> None:
        """Registers a process in the membership list; `immediate` ignores the lag."""
        process = self.processes[name]
        member = {
            "id": name,
            "kind": process.kind,
            **process.labels,
            "control": process.addresses["control"],
            "data": process.addresses["data"],
            "state": "live",
        }
        path = "/v1/members?immediate=1" if immediate else "/v1/members"
        self.call("POST", self.member_list, path, member)

    def call(
        self, method: str, address: str, path: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """Sends a request to a stand-in and returns the decoded answer.

        Raises:
            LauncherError: no answer, or one with an error status.
        """
        url = f"http://{address}{path}"
        try:
            resp = self._http.request(method, url, json=body)
        except urllib3.exceptions.HTTPError as exc:
            raise LauncherError(f"{method} {url} failed: {exc}") from exc
        if resp.status >= 300:
            raise LauncherError(f"{method} {url} answered {resp.status}: {resp.data[:200]!r}")
        return resp.json()

    def event_files(self) -> list[Path]:
        """Returns the event files of all workers."""
        return sorted((self.directory / "events").glob("*.jsonl"))

    def log_tail(self, name: str, *, limit: int = 2000) -> str:
        """Returns the end of a process's log."""
        path = self.directory / f"{name}.log"
        return path.read_text(errors="replace")[-limit:] if path.exists() else ""

    def new_address(self) -> str:
        """Returns a free loopback `ip:port` that this launcher gave to nobody else."""
        while True:
            port = self._rng.choice(PORTS)
            if port not in self._ports and _is_free(port):
                self._ports.add(port)
                return f"{HOST}:{port}"

    def wait_ready(self, name: str, *, timeout_s: float = READY_S) -> None:
        """Waits until a process answers over HTTP.

        Raises:
            LauncherError: it ended or did not answer in time; the text shows its log.
        """
        process = self.processes[name]
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if not process.is_running:
                raise LauncherError(
                    f"{name} ended with {process.handle.returncode}:\n{self.log_tail(name)}"
                )
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self._http.request("GET", process.ready_url, timeout=1.0)
                return
            time.sleep(POLL_S)
        raise LauncherError(f"{name} gave no answer in {timeout_s} s:\n{self.log_tail(name)}")

    def _start_platform(self) -> None:
        """Starts table, list, relays and workers."""
        self._start_standin("table", {})
        self._start_standin("members", {"lag_s": self.deployment.lag_s})
        for name in ("table", "members"):
            self.wait_ready(name)
        if self.deployment.needs_relay:
            self._start_standin("relay", {})
            self.wait_ready("relay")
        workers = [self._start_worker(*place) for place in self.deployment.worker_places()]
        for worker in workers:
            self.wait_ready(worker.name)
            self.register(worker.name, immediate=True)

    def _start_standin(self, name: str, flags: Mapping[str, Any]) -> Process:
        listen = self.new_address()
        paths = {"table": "/stats", "members": "/v1/members", "relay": "/routes"}
        return self._start(
            name=name,
            kind=name,
            argv=[sys.executable, "-m", "standins", name, *_argv({"listen": listen, **flags})],
            addresses={"control": listen},
            ready_url=f"http://{listen}{paths[name]}",
            labels={},
        )

    def _start_worker(self, name: str, rack: str, zone: Zone) -> Process:
        listen, data = self.new_address(), self.new_address()
        dep = self.deployment
        flags = {
            "listen": listen,
            "data": data,
            "worker": name,
            "zone": zone.name,
            "store": self._via(f"store:{name}", dep.relay_worker_store, self.table),
            "events": str(self.directory / "events" / f"{name}.jsonl"),
            **dep.worker_flags,
            **dep.worker_flags_by_id.get(name, {}),
        }
        return self._start(
            name=name,
            kind="worker",
            argv=[sys.executable, "-m", "standins", "worker", *_argv(flags)],
            addresses={
                "control": self._via(f"control:{name}", dep.relay_workers, listen),
                "data": self._via(f"data:{name}", dep.relay_workers, data),
                "direct": listen,
            },
            ready_url=f"http://{listen}/v1/status",
            labels={"zone": zone.name, "region": zone.region, "rack": rack},
        )

    def _via(self, route: str, wanted: bool, target: str) -> str:
        """Returns the address of a new relay route to `target`, or `target` itself."""
        if not wanted:
            return target
        listen = self.new_address()
        self._relay(route, "/routes", {"name": route, "listen": listen, "target": target})
        return listen

    def _relay(self, route: str, path: str, body: dict[str, Any]) -> None:
        if "relay" not in self.processes:
            raise LauncherError(f"no relay for {route}: the deployment has none")
        self.call("POST", self.processes["relay"].addresses["control"], path, body)

    def _start(
        self,
        *,
        name: str,
        kind: str,
        argv: list[str],
        addresses: dict[str, str],
        ready_url: str,
        labels: dict[str, str],
    ) -> Process:
        if name in self.processes:
            raise LauncherError(f"{name} was started before")
        process = Process(
            name=name,
            kind=kind,
            argv=argv,
            handle=self._spawn(name, argv),
            addresses=addresses,
            ready_url=ready_url,
            labels=labels,
        )
        self.processes[name] = process
        return process

    def _spawn(self, name: str, argv: list[str]) -> subprocess.Popen[bytes]:
        with (self.directory / f"{name}.log").open("ab") as log:
            return subprocess.Popen(argv, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def _end(self, processes: list[Process], limit_s: float) -> None:
        running = [p for p in processes if p.is_running]
        for process in running:
            process.handle.terminate()
            # A frozen process takes the SIGTERM only after it continues.
            process.handle.send_signal(signal.SIGCONT)
        deadline_s = time.monotonic() + limit_s
        for process in running:
            try:
                process.handle.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.handle.kill()
                process.handle.wait()

    def _note_killed(self, process: Process) -> None:
        """Appends the time of death, which the worker could not write itself."""
        path = self.directory / "events" / f"{process.name}.jsonl"
        event = {
            "boot_s": time.clock_gettime(time.CLOCK_BOOTTIME),
            "event": "killed",
            "worker": process.name,
            "zone": process.labels["zone"],
        }
        with path.open("a") as file:
            file.write(json.dumps(event) + "\n")


def _argv(flags: Mapping[str, Any]) -> list[str]:
    return [f"--{name}={value}" for name, value in flags.items() if value != ""]


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
