"""A small deployment with one latency-critical service and batch work, for experiments."""

import contextlib
import json
import math
import random
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs

from bench._load import Sent, plan_arrivals, send_all
from bench.deployment import Deployment, Zone
from bench.experiment import commit_id
from bench.launcher import Launcher, LauncherError
from bench.witness import Event, Run, read_events, read_runs
from fescuerudder.client import Client, ClientError

SERVICE = "desk"
READY_S = 60.0
POLL_S = 0.5
PUBLISH_S = 3.0
"""Summaries are published with the next heartbeat and read within a second."""

SUBMIT_THREADS = 4
SUBMIT_TRIES = 5
CHECKPOINTED = frozenset({"checkpointed", "lapsed"})

Line = dict[str, Any]


@attrs.frozen(kw_only=True)
class Traffic:
    """Requests to `SERVICE`.

    Args:
        rate: requests per second.
        duration_s: length of the load.
        mean_ms: mean service time.
    """

    rate: float
    duration_s: float
    mean_ms: float


class Field:
    """A running deployment.

    Args:
        launcher: its processes.
    """

    def __init__(self, *, launcher: Launcher) -> None:
        self.launcher = launcher
        self._numbers: Counter[str] = Counter()

    @property
    def addresses(self) -> list[str]:
        """`ip:port` of the entry instances."""
        return [entry.addresses["data"] for entry in self.launcher.entries]

    @property
    def clients(self) -> list[Client]:
        """One client for each entry instance."""
        key = self.launcher.deployment.operator_key
        return [Client(server=address, operator_key=key) for address in self.addresses]

    def prepare(self, documents: Mapping[str, Mapping[str, Any]]) -> None:
        """Applies documents and waits until all replicas of `SERVICE` run and are routed to.

        Raises:
            LauncherError: that did not happen within `READY_S`.
        """
        deadline_s = time.monotonic() + READY_S
        for name, document in documents.items():
            while not self._try(lambda c, n=name, d=document: c.put_service(n, d, revision=None)):
                _pause(deadline_s, f"the document of {name} was not accepted")
        while self.replicas() < documents[SERVICE]["replicas"]:
            _pause(deadline_s, "the replicas did not start")
        time.sleep(PUBLISH_S)

    def set_zone(self, zone: str, state: str) -> None:
        """Takes a zone out of service or returns it."""
        deadline_s = time.monotonic() + READY_S
        while not self._try(lambda c: c.put_zone(zone, state=state)):
            _pause(deadline_s, f"zone {zone} was not set {state}")

    def submit(self, service: str, payloads: Sequence[Mapping[str, Any]]) -> int:
        """Submits batch tasks; returns how many were accepted."""
        first = self._numbers[service]
        self._numbers[service] += len(payloads)
        clients = self.clients

        def submit_one(item: tuple[int, Mapping[str, Any]]) -> bool:
            number, payload = item
            for attempt in range(SUBMIT_TRIES):
                client = clients[(number + attempt) % len(clients)]
                try:
                    client.submit(
                        service=service, payload=json.dumps(payload), key=f"{service}-{number}"
                    )
                except ClientError:
                    time.sleep(POLL_S)
                    continue
                return True
            return False

        with ThreadPoolExecutor(SUBMIT_THREADS) as pool:
            return sum(pool.map(submit_one, enumerate(payloads, start=first)))

    def send(self, traffic: Traffic, *, seed: int) -> list[Sent]:
        """Sends open-loop requests from one process of its own."""
        arrivals = plan_arrivals(
            seed=seed,
            rate=traffic.rate,
            duration_s=traffic.duration_s,
            mean_ms=traffic.mean_ms,
            weights=[1.0] * len(self.addresses),
        )
        return send_all(arrivals, addresses=self.addresses, path=f"/s/{SERVICE}/x", senders=1)

    def replicas(self) -> int:
        """Returns how many workers run `SERVICE`, as the owners of the racks state it."""
        try:
            statuses = [client.read_status() for client in self.clients]
        except ClientError:
            return 0
        workers = (w for s in statuses for rack in s["racks"] for w in rack["workers"])
        return sum(SERVICE in worker["services"] for worker in workers)

    def events(self) -> list[Event]:
        """Returns the events of all workers."""
        return read_events(self.launcher.event_files())

    def _try(self, call: Any) -> bool:
        try:
            call(self.clients[0])
        except ClientError:
            return False
        return True


@contextlib.contextmanager
def open_field(
    *,
    zones: Sequence[str],
    workers: int,
    processors: float,
    seed: int,
    entry_flags: Mapping[str, Any] | None = None,
    worker_flags: Mapping[str, Any] | None = None,
) -> Iterator[Field]:
    """Starts one rack and one entry instance in each zone."""
    deployment = Deployment(
        zones=tuple(Zone(name=name, region="west") for name in zones),
        workers_per_rack=workers,
        lag_s=0.5,
        worker_flags={"processors": processors, "seed": seed, **(worker_flags or {})},
        entry_flags={"log_level": "warning", "threads": 64, **(entry_flags or {})},
    )
    with (
        tempfile.TemporaryDirectory(prefix="fescuerudder-") as folder,
        Launcher(directory=Path(folder), deployment=deployment) as launcher,
    ):
        yield Field(launcher=launcher)


@contextlib.contextmanager
def in_background(call: Any) -> Iterator[list[Any]]:
    """Runs `call` in a thread; the list gets its result by the end of the block."""
    results: list[Any] = []
    thread = threading.Thread(target=lambda: results.append(call()))
    thread.start()
    try:
        yield results
    finally:
        thread.join()


def batch_payloads(*, count: int, mean_s: float, seed: int) -> list[dict[str, float]]:
    """Returns payloads whose work is spread evenly from half to one and a half of the mean."""
    rng = random.Random(seed)
    return [{"work_s": round(mean_s * rng.uniform(0.5, 1.5), 3)} for _ in range(count)]


def finishes(runs: Sequence[Run], *, service: str) -> list[float]:
    """Returns the times at which tasks of `service` finished."""
    return sorted(run.end_s for run in runs if run.service == service and run.how == "finished")


def rate_between(times: Sequence[float], start_s: float, end_s: float) -> float:
    """Returns events per second between two times."""
    return sum(start_s <= at_s < end_s for at_s in times) / max(end_s - start_s, 1e-9)


def lost_work_s(runs: Sequence[Run], *, service: str) -> float:
    """Returns the run time of ended attempts that neither finished nor left a checkpoint."""
    return sum(
        run.end_s - run.start_s
        for run in runs
        if run.service == service
        and run.end_s != math.inf
        and run.how != "finished"
        and run.how not in CHECKPOINTED
    )


def read_all_runs(field: Field) -> list[Run]:
    """Returns the attempts that the workers recorded."""
    return read_runs(field.events())


def run_context() -> dict[str, str]:
    """Returns command and commit, for result lines."""
    return {"command": " ".join(["python -m bench", *sys.argv[1:]]), "commit": commit_id()}


def side_by_side(calls: Mapping[str, Callable[[], Any]]) -> dict[str, Any]:
    """Runs calls at the same time, so that all meet the same load of the machine."""
    with ThreadPoolExecutor(len(calls)) as pool:
        futs = {name: pool.submit(call) for name, call in calls.items()}
        return {name: fut.result() for name, fut in futs.items()}


def measure_runs(
    make_calls: Callable[[int], Mapping[str, Callable[[], Line]]],
    *,
    runs: int,
    experiment: str,
    label: str,
    path: Path,
) -> list[Line]:
    """Measures each run's calls side by side and writes the result lines after each run.

    Args:
        make_calls: returns the calls of a run by name, given the run's number.
        runs: number of runs.
        experiment: name of the experiment, for the lines.
        label: field of the lines that contains the call's name.
        path: result file.
    """
    context = run_context()
    lines: list[Line] = []
    for number in range(runs):
        for name, line in side_by_side(make_calls(number)).items():
            lines.append({**context, "experiment": experiment, label: name, **line})
            print(json.dumps(lines[-1], sort_keys=True), flush=True)
        write_lines(path, lines)
    return lines


def write_lines(path: Path, lines: Sequence[Mapping[str, Any]]) -> None:
    """Writes result lines as JSON lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(json.dumps(line, sort_keys=True) + "\n" for line in lines))


def spread_text(values: Sequence[float | None]) -> str:
    """Returns median and range of the values other than None, and how many there are."""
    known = [value for value in values if value is not None]
    if not known:
        return f"none of {len(values)}"
    text = f"{statistics.median(known):.2f} ({min(known):.2f}-{max(known):.2f})"
    return text if len(known) == len(values) else f"{text}, {len(known)} of {len(values)} runs"


def _pause(deadline_s: float, reason: str) -> None:
    if time.monotonic() > deadline_s:
        raise LauncherError(reason)
    time.sleep(POLL_S)
