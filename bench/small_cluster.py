"""Clusters of real processes for the scenarios."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from bench.deployment import Deployment, Zone
from bench.launcher import Launcher
from bench.witness import Event, read_events
from fescuerudder.client import Client, ClientError

WAIT_S = 60.0
POLL_S = 0.1
CALL_S = 5.0
ZONE = "thies-a"
REGION = "thies"


class ConditionError(AssertionError):
    """A condition did not come true in time."""


def wait_until(condition: Callable[[], Any], what: str, *, limit_s: float = WAIT_S) -> Any:
    """Polls until `condition` returns something true, and returns that."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise ConditionError(f"not within {limit_s:g} s: {what}")


@attrs.frozen(kw_only=True)
class Shape:
    """What tells clusters apart.

    Args:
        entries: entry instances.
        workers: workers of the one rack.
        lag_s: lag of the membership list in seconds.
        flags: further flags of the entry instances, as pairs.
    """

    entries: int
    workers: int = 2
    lag_s: float = 1.0
    flags: tuple[tuple[str, Any], ...] = ()


class Cluster:
    """A running cluster of one zone with relays before the store and the workers.

    Args:
        launcher: its processes.
        shape: what it consists of.
    """

    def __init__(self, *, launcher: Launcher, shape: Shape) -> None:
        self.launcher = launcher
        self.shape = shape
        self.documents: dict[str, dict[str, Any]] = {}
        self.hosting: dict[str, int] = {}
        self.began_s = 0.0
        self.epoch_before_stop = 0

    @property
    def entries(self) -> list[str]:
        """Names of the entry instances."""
        return [entry.name for entry in self.launcher.entries]

    @property
    def workers(self) -> list[str]:
        """Names of the workers."""
        return [worker.name for worker in self.launcher.workers]

    def address(self, entry: str) -> str:
        """Returns the `ip:port` of an entry instance for callers."""
        return self.launcher.processes[entry].addresses["data"]

    def client(self, entry: str) -> Client:
        """Returns an operator's client of one entry instance."""
        key = self.launcher.deployment.operator_key
        return Client(server=self.address(entry), operator_key=key, timeout_s=CALL_S)

    def status(self, entry: str) -> dict[str, Any]:
        """Returns the status of an entry instance, empty if it gives none."""
        try:
            return self.client(entry).read_status()
        except ClientError:
            return {}

    def owner(self) -> str | None:
        """Returns the instance that owns the rack by its own word, or None."""
        return next((name for name in self.entries if self.status(name).get("racks")), None)

    def epoch(self) -> int:
        """Returns the epoch of the rack's row in the store."""
        read = {"prefixes": ["rack/"]}
        rows = self.launcher.call("POST", self.launcher.table, "/v1/read", read)["rows"]
        return max(row["value"]["epoch"] for row in rows)

    def apply(self, document: dict[str, Any]) -> None:
        """Applies a service document through whichever instance takes it."""

        def put() -> bool:
            for entry in self.entries:
                try:
                    self.client(entry).put_service(document["name"], document, revision=None)
                except ClientError:
                    continue
                return True
            return False

        wait_until(put, f"the document of {document['name']} is accepted")
        self.documents[document["name"]] = document

    def wait_known(self) -> None:
        """Waits until every instance has the newest configuration that any has."""

        def revisions() -> set[int | None]:
            return {self.status(name).get("revision") for name in self.entries}

        def is_known() -> bool:
            found = revisions()
            return len(found) == 1 and None not in found

        wait_until(is_known, "all instances have the same configuration")

    def hosts(self, service: str) -> int:
        """Returns how many workers run a replica, by the owner's status."""
        owner = self.owner()
        racks = self.status(owner).get("racks", []) if owner else []
        return sum(service in up["services"] for rack in racks for up in rack["workers"])

    def events(self) -> list[Event]:
        """Returns what the workers wrote down so far, in all scenarios of the cluster."""
        return read_events(self.launcher.event_files())

    def new_events(self) -> list[Event]:
        """Returns what the workers wrote down in this scenario."""
        return [event for event in self.events() if event["boot_s"] >= self.began_s]

    def log_texts(self) -> dict[str, str]:
        """Returns the end of each entry instance's log."""
        return {name: self.launcher.log_tail(name) for name in self.entries}

    def repair(self) -> None:
        """Ends all injected failures and starts ended entry instances and workers again."""
        for name, process in self.launcher.processes.items():
            if process.frozen:
                self.launcher.thaw(name)
            if process.is_running:
                continue
            self.launcher.restart(name)
        for name in ("table", "members", *self.workers):
            self.launcher.fault(name, mode="ok")
        for name in self.entries:
            self.launcher.heal(f"store:{name}")
        for name in self.workers:
            self.launcher.heal(f"control:{name}")
            self.launcher.heal(f"data:{name}")
            self.launcher.register(name)
        for name in self.entries:
            self.launcher.register(name)

    def wait_serving(self) -> None:
        """Waits until every instance serves and every replica runs again."""

        def is_serving() -> bool:
            states = [self.status(name) for name in self.entries]
            return all(s.get("fresh") and s["session"]["live"] for s in states)

        wait_until(is_serving, "all instances have a live session and a fresh view")
        for service, count in self.hosting.items():
            wait_until(lambda s=service, n=count: self.hosts(s) >= n, f"{service} runs")


class Clusters:
    """Starts clusters and keeps them for further scenarios of the same shape.

    Args:
        make_directory: returns a new directory for logs and event files.
    """

    def __init__(self, *, make_directory: Callable[[str], Path]) -> None:
        self._make_directory = make_directory
        self._running: dict[Shape, Cluster] = {}

    def get(self, shape: Shape) -> Cluster:
        """Returns a running cluster of that shape, free of failures."""
        cluster = self._running.get(shape)
        if cluster is None:
            cluster = self._running[shape] = self._start(shape)
        cluster.repair()
        cluster.wait_serving()
        cluster.began_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        return cluster

    def close(self) -> None:
        """Ends all clusters."""
        for cluster in self._running.values():
            cluster.launcher.close()

    def _start(self, shape: Shape) -> Cluster:
        deployment = Deployment(
            zones=(Zone(name=ZONE, region=REGION, entries=shape.entries),),
            workers_per_rack=shape.workers,
            lag_s=shape.lag_s,
            relay_store=True,
            relay_workers=True,
            entry_flags=dict(shape.flags),
        )
        launcher = Launcher(directory=self._make_directory("cluster"), deployment=deployment)
        launcher.__enter__()
        return Cluster(launcher=launcher, shape=shape)
