"""Measurements on real processes: one entry instance with stand-ins and relays around it."""

import random
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from bench._constantload import Load
from bench._fit import Point
from bench._meter import Meter
from bench.deployment import Deployment, Zone
from bench.launcher import Launcher
from fescuerudder.client import Client, ClientError

SETTLE_S = 6.0
"""Time for claims, first statuses and summaries before a measurement."""

WINDOW_S = 10.0
WARM_UP_S = 4.0
LONG_WORK_S = 900.0
SHORT_WORK_S = 0.5
POLL_S = 0.5
READY_LIMIT_S = 60.0
REPLICAS = 2

RACK_SIZES = ((0, 0), (1, 2), (1, 8), (3, 2), (3, 8), (6, 2), (6, 8))
RUNNING_SIZES = (0, 40, 120, 240)
TASK_RATES = (0, 5, 10, 20, 40)
QUEUED_SIZES = (0, 100, 400, 1000)
CHANGE_SIZES = ((0.0, 10), (2.0, 10), (4.0, 10), (0.0, 200), (2.0, 200), (4.0, 200))
ENTRY_SIZES = (1, 2, 4, 8)
REQUEST_RATES = (0, 20, 50, 100)
KEYED_RATES = (0, 10, 20, 40)


class Bench:
    """One entry instance under measurement.

    Args:
        launcher: running deployment.
        seed: makes the keys of this run.
    """

    def __init__(self, *, launcher: Launcher, seed: int) -> None:
        self.launcher = launcher
        entry = launcher.entries[0]
        self.meter = Meter(launcher=launcher, entry=entry)
        key = launcher.deployment.operator_key
        self.client = Client(server=entry.addresses["data"], operator_key=key)
        self._prefix = f"{random.Random(seed).getrandbits(64):016x}"

    def put_batch(self, name: str, *, processors: float) -> None:
        """Applies the document of a batch service."""
        size = {"processors": processors, "memory_mb": 10, "accelerators": 0}
        document = {"name": name, "team": "bench", "kind": "batch", "size": size}
        self.client.put_service(name, document, revision=None)

    def put_replicas(self, name: str) -> None:
        """Applies the document of a latency-critical service."""
        size = {"processors": 1, "memory_mb": 10, "accelerators": 0}
        kind = {"kind": "latency-critical", "replicas": REPLICAS}
        document = {"name": name, "team": "bench", "size": size, **kind}
        self.client.put_service(name, document, revision=None)

    def submit(self, number: int, *, service: str, work_s: float) -> None:
        """Submits a task of known length."""
        payload = f'{{"work_s": {work_s}}}'
        self.client.submit(service=service, payload=payload, key=f"{self._prefix}-{number}")

    def send(self, number: int, *, service: str, keyed: bool) -> None:
        """Sends one request of 5 ms, as a POST with a key or as a GET."""
        method, key = ("POST", f"{self._prefix}-{number}") if keyed else ("GET", "")
        answer = self.client.send(
            service=service, path="x?work_ms=5", method=method, key=key, deadline_ms=5000
        )
        if answer.status != 200:
            raise ClientError("request was refused", status=answer.status)

    def wait_for(self, reached: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        give_up_s = time.monotonic() + READY_LIMIT_S
        while not reached():
            if time.monotonic() > give_up_s:
                raise TimeoutError("the deployment did not reach the wanted state")
            time.sleep(POLL_S)

    def total(self, field: str) -> int:
        """Returns the sum of a field over the racks of the instance's status."""
        return sum(rack[field] for rack in self.client.read_status()["racks"])

    def workers_seen(self) -> int:
        """Returns the workers whose status the instance has."""
        return sum(len(rack["workers"]) for rack in self.client.read_status()["racks"])


@contextmanager
def open_bench(
    *, racks: int, workers_per_rack: int, seed: int, entries: int = 1
) -> Iterator[Bench]:
    """Starts a deployment of one zone with relays, and waits until its racks are owned."""
    deployment = Deployment(
        zones=(Zone(name="a", region="r", racks=racks, entries=entries),),
        workers_per_rack=workers_per_rack,
        relay_store=True,
        relay_members=True,
        relay_workers=True,
    )
    with (
        tempfile.TemporaryDirectory(prefix="slopes-") as folder,
        Launcher(directory=Path(folder), deployment=deployment) as launcher,
    ):
        bench = Bench(launcher=launcher, seed=seed)
        if entries == 1:
            bench.wait_for(lambda: bench.workers_seen() == racks * workers_per_rack)
        time.sleep(SETTLE_S)
        yield bench


def measure_racks(seed: int) -> Iterator[Point]:
    """Idle racks and workers."""
    for racks, per_rack in RACK_SIZES:
        with open_bench(racks=racks, workers_per_rack=per_rack, seed=seed) as bench:
            sizes = {"racks": racks, "workers": racks * per_rack}
            yield Point(sizes=sizes, values=bench.meter.rates(WINDOW_S))


def measure_running(seed: int) -> Iterator[Point]:
    """Running batch tasks on one rack."""
    with open_bench(racks=1, workers_per_rack=8, seed=seed) as bench:
        bench.put_batch("long", processors=0.5)
        time.sleep(1.0)
        yield from _grow(bench, RUNNING_SIZES, field="tasks", name="running")


def measure_queued(seed: int) -> Iterator[Point]:
    """Batch tasks that wait in the queue of one full rack."""
    with open_bench(racks=1, workers_per_rack=2, seed=seed) as bench:
        bench.put_batch("long", processors=32)
        time.sleep(1.0)
        for number in range(2):
            bench.submit(-1 - number, service="long", work_s=LONG_WORK_S)
        bench.wait_for(lambda: bench.total("tasks") == 2)
        yield from _grow(bench, QUEUED_SIZES, field="queue_length", name="queued")


def _grow(bench: Bench, sizes: Sequence[int], *, field: str, name: str) -> Iterator[Point]:
    """Submits tasks up to each size and measures there."""
    there = 0
    for size in sizes:
        for number in range(there, size):
            bench.submit(number, service="long", work_s=LONG_WORK_S)
        there = size
        bench.wait_for(lambda size=size: bench.total(field) == size)
        time.sleep(WARM_UP_S)
        yield Point(sizes={name: size}, values=bench.meter.rates(WINDOW_S))


def measure_tasks(seed: int) -> Iterator[Point]:
    """Batch tasks from submission to end, by rate."""
    for rate in TASK_RATES:
        with open_bench(racks=2, workers_per_rack=8, seed=seed) as bench:
            bench.put_batch("short", processors=0.5)
            time.sleep(1.0)
            load = Load(
                rate=rate,
                work=lambda n: bench.submit(n, service="short", work_s=SHORT_WORK_S),
            )
            yield _under(load, bench, size="tasks_per_s")


def measure_requests(seed: int) -> Iterator[Point]:
    """Requests without a key, by rate."""
    yield from _requests(seed, REQUEST_RATES, keyed=False)


def measure_keyed(seed: int) -> Iterator[Point]:
    """Requests with an idempotency key, by rate."""
    yield from _requests(seed, KEYED_RATES, keyed=True)


def _requests(seed: int, rates: Sequence[int], *, keyed: bool) -> Iterator[Point]:
    with open_bench(racks=1, workers_per_rack=4, seed=seed) as bench:
        bench.put_replicas("shop")
        bench.wait_for(lambda: bench.total("tasks") == REPLICAS)
        time.sleep(WARM_UP_S)
        for rate in rates:
            offset = rate * 100_000
            load = Load(
                rate=rate,
                work=lambda n, base=offset: bench.send(base + n, service="shop", keyed=keyed),
            )
            yield _under(load, bench, size="requests_per_s")


def measure_changes(seed: int) -> Iterator[Point]:
    """Configuration changes by rate, and documents."""
    with open_bench(racks=1, workers_per_rack=2, seed=seed) as bench:
        there = 0
        for rate, documents in CHANGE_SIZES:
            for number in range(there, documents):
                bench.put_batch(f"service-{number}", processors=1)
            there = max(there, documents)
            load = Load(
                rate=rate,
                work=lambda n, known=there: bench.put_batch(f"service-{n % known}", processors=1),
            )
            point = _under(load, bench, size="changes_per_s")
            # Every change makes the instance read all documents.
            reads = {"document_reads_per_s": point.sizes["changes_per_s"] * documents}
            yield Point(sizes={**point.sizes, **reads}, values=point.values)


def measure_entries(seed: int) -> Iterator[Point]:
    """Other entry instances: sessions read, peers connected."""
    for entries in ENTRY_SIZES:
        with open_bench(racks=0, workers_per_rack=0, seed=seed, entries=entries) as bench:
            values = bench.meter.rates(WINDOW_S)
            yield Point(sizes={"peers": entries - 1}, values=values)


def _under(load: Load, bench: Bench, *, size: str) -> Point:
    """Measures under load; the size is the rate of the calls that succeeded."""
    with load.running():
        time.sleep(WARM_UP_S)
        done, at_s = load.done, time.monotonic()
        values = bench.meter.rates(WINDOW_S)
        rate = (load.done - done) / (time.monotonic() - at_s)
    return Point(sizes={size: round(rate, 2)}, values={**values, "failed_calls": load.failed})


WITH_PROCESSES = {
    "racks": measure_racks,
    "running": measure_running,
    "queued": measure_queued,
    "tasks": measure_tasks,
    "requests": measure_requests,
    "keyed": measure_keyed,
    "changes": measure_changes,
    "entries": measure_entries,
}
