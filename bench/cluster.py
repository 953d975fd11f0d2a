"""Clusters of the two workloads: zones, racks, workers and entry instances as processes."""

import tempfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import attrs

from bench.deployment import Deployment, Zone
from bench.launcher import Launcher
from bench.replay import Probes
from bench.witness import Finding, find_all, read_events, read_runs, starts_after

ENTRIES_PER_ZONE = 3
WORKERS_PER_RACK = 8

ZONES: dict[str, tuple[Zone, ...]] = {
    "association": (
        Zone(name="thies-a", region="thies", entries=ENTRIES_PER_ZONE),
        Zone(name="thies-b", region="thies", entries=ENTRIES_PER_ZONE),
        Zone(name="kaolack-a", region="kaolack", entries=ENTRIES_PER_ZONE),
    ),
    "swanfield": (
        Zone(name="wa-south-a", region="wa-south", entries=ENTRIES_PER_ZONE),
        Zone(name="wa-south-b", region="wa-south", entries=ENTRIES_PER_ZONE),
        Zone(name="wa-north-a", region="wa-north", entries=ENTRIES_PER_ZONE),
    ),
}


class WitnessProbes:
    """Reads what the workers themselves recorded; implements `Probes`.

    Args:
        launcher: the running deployment.
    """

    def __init__(self, *, launcher: Launcher) -> None:
        self._launcher = launcher

    def tasks_in_zone(self, zone: str) -> int | None:
        """Returns the number of attempts that run in a zone."""
        runs = read_runs(read_events(self._launcher.event_files()))
        return sum(1 for run in runs if run.zone == zone and run.end_s == float("inf"))

    def finishes(self, task_id: str) -> int | None:
        """Returns how many attempts of a task ran to their end."""
        runs = read_runs(read_events(self._launcher.event_files()))
        return sum(1 for run in runs if run.task == task_id and run.how == "finished")


@attrs.frozen(kw_only=True)
class WorkloadCluster:
    """A running cluster; implements `bench.demo.Cluster`."""

    launcher: Launcher

    @property
    def addresses(self) -> Sequence[str]:
        """`ip:port` of the entry instances."""
        return [entry.addresses["data"] for entry in self.launcher.entries]

    @property
    def operator_key(self) -> str:
        """Key of the operators."""
        return self.launcher.deployment.operator_key

    @property
    def probes(self) -> Probes:
        """Observer of the workers."""
        return WitnessProbes(launcher=self.launcher)

    def violations(self) -> list[Finding]:
        """Returns the broken promises that the workers' own records show."""
        events = list(read_events(self.launcher.event_files()))
        return [finding for finding in find_all(events) if finding.violation]

    def starts_after(self, *, zone: str, boot_s: float) -> list[Finding]:
        """Returns the starts in a zone after a time since boot."""
        runs = read_runs(read_events(self.launcher.event_files()))
        return starts_after(runs, zone=zone, boot_s=boot_s)


@contextmanager
def open_cluster(name: str) -> Iterator[WorkloadCluster]:
    """Starts the cluster of a workload; logs go to a temporary directory.

    Args:
        name: `association` or `swanfield`.
    """
    deployment = Deployment(zones=ZONES[name], workers_per_rack=WORKERS_PER_RACK)
    with (
        tempfile.TemporaryDirectory(prefix="fescuerudder-") as folder,
        Launcher(directory=Path(folder), deployment=deployment) as launcher,
    ):
        yield WorkloadCluster(launcher=launcher)
