"""A cluster of two regions for the scheduling scenarios."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.deployment import Deployment, Zone
from bench.launcher import Launcher
from bench.small_cluster import Cluster, Shape, wait_until
from fescuerudder.client import ClientError

ZONES = (
    Zone(name="thies-a", region="thies", entries=2),
    Zone(name="kaolack-a", region="kaolack", entries=1),
)
RACKS = ("rack-thies-a-1", "rack-kaolack-a-1")
WORKERS_PER_RACK = 2
WORKER_FLAGS = {"processors": 8, "memory_mb": 16_000, "accelerators": 2}


class Regions:
    """Starts the cluster when it is first needed and passes it on repaired.

    Args:
        make_directory: returns a new directory for logs and event files.
    """

    def __init__(self, *, make_directory: Callable[[str], Path]) -> None:
        self._make_directory = make_directory
        self._cluster: Cluster | None = None

    def get(self) -> Cluster:
        """Returns the cluster without failures, with all zones in service and racks owned."""
        if self._cluster is None:
            self._cluster = _start(self._make_directory("regions"))
        cluster = self._cluster
        cluster.repair()
        for name in cluster.entries:
            cluster.launcher.delay(f"store:{name}", delay_ms=0)
        cluster.wait_serving()
        for zone in ZONES:
            wait_until(lambda z=zone.name: _put_in(cluster, z), f"{zone.name} is in service")
        for rack in RACKS:
            wait_until(lambda r=rack: _shows_workers(cluster, r), f"{rack} has its workers")
        return cluster

    def close(self) -> None:
        """Ends the cluster."""
        if self._cluster is not None:
            self._cluster.launcher.close()


def usable(cluster: Cluster) -> list[str]:
    """Returns the entry instances that run and are not frozen."""
    processes = cluster.launcher.processes
    return [n for n in cluster.entries if processes[n].is_running and not processes[n].frozen]


def owner_of(cluster: Cluster, rack: str) -> str | None:
    """Returns the instance that owns a rack by its own word; the highest epoch counts."""
    found = {}
    for name in usable(cluster):
        for entry in cluster.status(name).get("racks", []):
            if entry["rack"] == rack:
                found[entry["epoch"]] = name
    return found[max(found)] if found else None


def _start(directory: Path) -> Cluster:
    deployment = Deployment(
        zones=ZONES,
        workers_per_rack=WORKERS_PER_RACK,
        lag_s=1.0,
        relay_store=True,
        relay_workers=True,
        worker_flags=WORKER_FLAGS,
    )
    launcher = Launcher(directory=directory, deployment=deployment)
    launcher.__enter__()
    return Cluster(launcher=launcher, shape=Shape(entries=3, workers=4))


def _put_in(cluster: Cluster, zone: str) -> bool:
    """Returns whether every instance shows a zone in service; returns it where it is out."""
    for name in cluster.entries:
        try:
            zones = {item["zone"]: item for item in cluster.client(name).list_zones()["zones"]}
            state: dict[str, Any] = zones.get(zone, {"state": "in"})
            if state["state"] == "out":
                cluster.client(name).put_zone(zone, state="in")
                return False
        except ClientError:
            return False
    return True


def _shows_workers(cluster: Cluster, rack: str) -> bool:
    owner = owner_of(cluster, rack)
    racks = cluster.status(owner).get("racks", []) if owner else []
    return any(r["rack"] == rack and len(r["workers"]) == WORKERS_PER_RACK for r in racks)
