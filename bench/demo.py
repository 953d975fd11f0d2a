"""Demonstration: starts a small cluster, replays both example traces and checks them."""

import threading
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Protocol

from bench.generate import TRACES_DIR, WORKLOADS
from bench.replay import Probes, Replayer
from fescuerudder.cli import KEY_ENV, SERVER_ENV
from fescuerudder.trace import read_trace

RUN_DIR = Path("run")


class Cluster(Protocol):
    """Running entry instances with their stand-ins."""

    @property
    def addresses(self) -> Sequence[str]:
        """`ip:port` of the entry instances, for callers and operators."""

    @property
    def operator_key(self) -> str:
        """Key of the operators."""

    @property
    def probes(self) -> Probes | None:
        """Observer of the workers, or None."""

    def violations(self) -> Sequence[object]:
        """Returns the broken promises that the workers' own records show."""


OpenCluster = Callable[[str], AbstractContextManager[Cluster]]
"""Starts a cluster for the workload of the given name."""


def run_demo(*, open_cluster: OpenCluster, run_dir: Path = RUN_DIR) -> bool:
    """Replays each example trace against a cluster of its own; returns whether all hold."""
    run_dir.mkdir(parents=True, exist_ok=True)
    held = [_replay_one(workload.name, open_cluster, run_dir) for workload in WORKLOADS]
    return all(held)


def hold_cluster(name: str, *, open_cluster: OpenCluster) -> None:
    """Starts the cluster of a workload, prints how to reach it, and waits for an interrupt."""
    with open_cluster(name) as cluster:
        print(f"export {SERVER_ENV}={cluster.addresses[0]}")
        print(f"export {KEY_ENV}={cluster.operator_key}")
        print("Running until Ctrl-C.", flush=True)
        try:
            threading.Event().wait()
        except KeyboardInterrupt:
            print("Stopping.", flush=True)


def _replay_one(name: str, open_cluster: OpenCluster, run_dir: Path) -> bool:
    trace = read_trace(TRACES_DIR / f"{name}.jsonl")
    print(f"Replaying {name}: {len(trace.events)} events", flush=True)
    with open_cluster(name) as cluster:
        replayer = Replayer(
            addresses=cluster.addresses,
            operator_key=cluster.operator_key,
            probes=cluster.probes,
        )
        result = replayer.run(trace, record=run_dir / f"{name}-calls.jsonl")
        violations = cluster.violations()
    print(result.summary, flush=True)
    print(f"Broken promises in the workers' records: {len(violations)}", flush=True)
    for finding in violations:
        print(f"  {finding}")
    return result.held and not violations
