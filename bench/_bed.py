"""Deployments of an experiment: one for each policy, all running at the same time."""

import contextlib
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import attrs

from bench.deployment import Deployment, Zone
from bench.launcher import Launcher, LauncherError
from fescuerudder.client import Client, ClientError

SERVICE = "probe"
READY_S = 60.0
POLL_S = 0.5
WORKER_PROCESSORS = 32.0
FULL_SCALE = (
    Zone(name="thies-a", region="thies", entries=3),
    Zone(name="thies-b", region="thies", entries=3),
    Zone(name="kaolack-a", region="kaolack", entries=3),
)


@attrs.frozen(kw_only=True)
class Scale:
    """Size of each deployment.

    Args:
        racks: racks of one zone; 0 means the three zones of the design page.
        workers: workers of each rack.
        entries: entry instances of the zone.
        slots: slots of each worker.
        threads: HTTP threads of each entry instance.
    """

    racks: int
    workers: int
    entries: int
    slots: int
    threads: int

    @property
    def zones(self) -> tuple[Zone, ...]:
        """Zones of the deployment."""
        if self.racks == 0:
            return FULL_SCALE
        return (Zone(name="a", region="a", racks=self.racks, entries=self.entries),)

    @property
    def total_slots(self) -> int:
        """Slots of all workers."""
        return sum(zone.racks for zone in self.zones) * self.workers * self.slots


class Bed:
    """A running deployment that serves `SERVICE` on every worker.

    Args:
        launcher: the running deployment.
    """

    def __init__(self, *, launcher: Launcher) -> None:
        self.launcher = launcher

    @property
    def addresses(self) -> list[str]:
        """`ip:port` of the entry instances."""
        return [entry.addresses["data"] for entry in self.launcher.entries]

    def prepare(self) -> None:
        """Applies the service's document and waits until every instance routes to all workers.

        Raises:
            LauncherError: that did not happen within `READY_S`.
        """
        clients = [
            Client(server=address, operator_key=self.launcher.deployment.operator_key)
            for address in self.addresses
        ]
        deadline_s = time.monotonic() + READY_S
        document = _document(replicas=len(self.launcher.workers))
        while not _try_put(clients[0], document):
            _pause(deadline_s, "the document was not accepted")
        while _serving(clients) < len(self.launcher.workers):
            _pause(deadline_s, "the replicas did not start on every worker")
        # Summaries are published with the next heartbeat and read within a second.
        time.sleep(3.0)

    def counts(self) -> dict[str, int]:
        """Returns the workers' own counts, summed; peaks as the largest of all."""
        total: dict[str, int] = {}
        for worker in self.launcher.workers:
            answer = self.launcher.call("GET", worker.addresses["control"], "/v1/witness")
            for name, value in {**answer["counts"], **answer["connections"]}.items():
                if "peak" in name:
                    total[name] = max(total.get(name, 0), value)
                else:
                    total[name] = total.get(name, 0) + value
        return total


@contextlib.contextmanager
def open_beds(
    flags_by_policy: Mapping[str, Mapping[str, Any]], *, scale: Scale, slow_ms: float = 0.0
) -> Iterator[dict[str, Bed]]:
    """Starts one deployment for each policy; `slow_ms` delays the answers of the first worker."""
    with contextlib.ExitStack() as stack:
        beds = {}
        for policy, flags in flags_by_policy.items():
            deployment = Deployment(
                zones=scale.zones,
                workers_per_rack=scale.workers,
                lag_s=0.5,
                worker_flags={"slots": scale.slots},
                entry_flags={"log_level": "warning", "threads": scale.threads, **flags},
            )
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="fescuerudder-"))
            launcher = Launcher(directory=Path(folder), deployment=deployment)
            beds[policy] = Bed(launcher=stack.enter_context(launcher))
        for bed in beds.values():
            bed.prepare()
            if slow_ms:
                bed.launcher.fault(bed.launcher.workers[0].name, mode="late", delay_ms=slow_ms)
        yield beds


def _document(*, replicas: int) -> dict[str, Any]:
    """Returns a document whose replicas take more than half of a worker, so one runs on each."""
    return {
        "team": "bench",
        "kind": "latency-critical",
        "replicas": replicas,
        "size": {"processors": WORKER_PROCESSORS * 0.6, "memory_mb": 1024},
    }


def _try_put(client: Client, document: dict[str, Any]) -> bool:
    try:
        client.put_service(SERVICE, document, revision=None)
    except ClientError:
        return False
    return True


def _serving(clients: list[Client]) -> int:
    """Returns how many workers run the service, as the owners of their racks state it."""
    try:
        statuses = [client.read_status() for client in clients]
    except ClientError:
        return 0
    workers = (w for status in statuses for rack in status["racks"] for w in rack["workers"])
    return sum(SERVICE in worker["services"] for worker in workers)


def _pause(deadline_s: float, reason: str) -> None:
    if time.monotonic() > deadline_s:
        raise LauncherError(reason)
    time.sleep(POLL_S)
