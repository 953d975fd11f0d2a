"""Measurements without processes: parts of an entry instance on a table in memory."""

import time
import tracemalloc
from collections.abc import Iterator
from concurrent.futures import Future
from random import Random

import attrs
from result import Ok

from bench._fit import Point
from bench._memorytable import MemoryTable
from fescuerudder.clock import ManualClock, SystemClock
from fescuerudder.document import ServiceDocument, Size
from fescuerudder.groupcommit import GroupCommitter
from fescuerudder.ownership_types import RackLease, RackSummary, UpstreamState
from fescuerudder.rack import RackController
from fescuerudder.rackports import RackWorker
from fescuerudder.routes import PublishedSummaries, make_routes
from fescuerudder.session import Session, parse_session, session_value
from fescuerudder.table import ABSENT, Check, Put, Row, Transaction, new_txn_id
from fescuerudder.task import Task, queue_put, task_key, task_put
from fescuerudder.transitions import assigned_key, rack_key
from fescuerudder.workers import Attempt, Capacity, WorkerStatus

WORKERS = 8
SERVICES = 10
QUEUE_SIZES = (0, 100, 1_000, 10_000)
SUMMARY_SIZES = (1, 12, 24, 105)
RACKS_PER_INSTANCE = 5
CYCLES = 10
QUEUE_CYCLES = 4
CYCLE_S = 0.5
OPERATION_RATES = (50, 100, 200, 400)
COMMIT_WINDOW_S = 5.0
COMMIT_DELAY_S = 0.005
"""Time of one transaction: a store in the same region that answers within 5 ms."""

CAPACITY = Capacity(processors=32, memory_mb=125_000, accelerators=2, slots=8, connections=64)
BYTES_PER_MB = 1_000_000


class FullWorker:
    """Worker whose whole capacity one task occupies; implements what such a rack calls."""

    def __init__(self, *, name: str, clock: ManualClock) -> None:
        self.name, self._clock = name, clock
        self.task = attrs.evolve(
            _task(0, _service(0)),
            id=f"occupies-{name}",
            # Batch tasks above their team's quota would be evicted.
            kind="replica",
            size=CAPACITY.size,
            state="assigned",
            worker=name,
            worker_incarnation="1",
            attempt=1,
            # An earlier owner started it, so this one does not.
            epoch=0,
        )

    def status(self) -> WorkerStatus:
        """Returns a status with the one task."""
        attempt = Attempt(
            task=self.task.id,
            attempt=1,
            service=self.task.service,
            size=self.task.size,
            state="running",
            lease_until_s=self._clock.now_s() + 15.0,
        )
        return WorkerStatus(
            worker=self.name,
            incarnation="1",
            clock_s=self._clock.now_s(),
            capacity=CAPACITY,
            leaving=False,
            highest_epoch=1,
            tasks=(attempt,),
            usage=(),
        )

    def renew(self, *, epoch: int, leases: dict[str, tuple[int, float]]) -> list[str]:
        """Renews everything."""
        return []


@attrs.frozen(kw_only=True)
class FixedView:
    """Configuration that stays fresh."""

    services: dict[str, ServiceDocument]
    zones: dict[str, str] = attrs.field(factory=dict)

    def current(self) -> "FixedView":
        """Returns itself."""
        return self

    def is_fresh(self) -> bool:
        """Returns True."""
        return True


class LiveSession:
    """Session that never ends."""

    fenced = False

    def is_live(self) -> bool:
        """Returns True."""
        return True

    def last_live_s(self) -> float:
        """Returns infinity."""
        return float("inf")


class DirectCommitter:
    """Applies each transaction at once."""

    def __init__(self, *, table: MemoryTable) -> None:
        self._table = table

    def submit(self, txn: Transaction) -> Future:
        """Applies `txn`."""
        fut: Future = Future()
        fut.set_result(Ok(self._table.transact(txn)))
        return fut


def measure_queue_loop(seed: int) -> Iterator[Point]:
    """Control loop of a rack by queued tasks that wait because all workers are full."""
    for queued in QUEUE_SIZES:
        table, clock = MemoryTable(), ManualClock(start_s=1000.0)
        tracemalloc.start()
        controller = _controller(table, clock, queued=queued, rng=Random(seed))
        controller.step()
        memory_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
        tracemalloc.stop()
        clock.advance(seconds=3.0)
        before = (table.platform_s, table.rows_read, table.bytes_read, table.rows_written)
        began_s = time.process_time()
        for _ in range(QUEUE_CYCLES):
            clock.advance(seconds=CYCLE_S)
            controller.step()
        used_s = time.process_time() - began_s - (table.platform_s - before[0])
        yield Point(
            sizes={"queued": queued},
            values={
                "cpu_s_per_cycle": used_s / QUEUE_CYCLES,
                "rows_read_per_cycle": (table.rows_read - before[1]) / QUEUE_CYCLES,
                "bytes_read_per_cycle": (table.bytes_read - before[2]) / QUEUE_CYCLES,
                "rows_written_per_cycle": (table.rows_written - before[3]) / QUEUE_CYCLES,
                "memory_mb": memory_mb,
            },
        )


def _controller(
    table: MemoryTable, clock: ManualClock, *, queued: int, rng: Random
) -> RackController:
    """Returns the loop of a rack with a queue, beside 23 other racks that are full as well."""
    services = {f"s{i}": _service(i) for i in range(SERVICES)}
    for number in range(queued):
        task = _task(number, list(services.values())[number % SERVICES])
        table.state.transact(Transaction(puts=(task_put(task), queue_put(task))))
    versions = table.transact(Transaction(puts=(Put(key=rack_key("r0"), value={}),)))
    workers = [FullWorker(name=f"w{i}", clock=clock) for i in range(WORKERS)]
    for worker in workers:
        listed = Put(key=assigned_key("r0", worker.task.id), value={"task": worker.task.id})
        table.transact(Transaction(puts=(task_put(worker.task), listed)))
    summaries = [attrs.evolve(_summary(i, rng), free=()) for i in range(1, 24)]
    return RackController(
        rack="r0",
        zone="a",
        lease=RackLease(
            rack="r0",
            epoch=1,
            version=versions[rack_key("r0")],
            gained_at_s=0.0,
            planned=False,
            continuous=True,
        ),
        committer=DirectCommitter(table=table),
        table=table,
        workers=lambda: {f"w{i}": RackWorker(id=f"w{i}", control=w) for i, w in enumerate(workers)},
        clock=clock,
        view=FixedView(services=services),
        session=LiveSession(),
        rng=rng,
        summaries=_published_by([summaries]),
    )


def _published_by(groups: list[list[RackSummary]]):
    """Returns a source of summaries that works as `Membership.summaries` does."""
    sessions = [_session(i, group) for i, group in enumerate(groups)]
    published = PublishedSummaries()
    return lambda: list(published.latest(sessions).values())


def measure_summaries(seed: int) -> Iterator[Point]:
    """Published summaries of racks with 8 workers, five an instance: size, parsing, routes."""
    for racks in SUMMARY_SIZES:
        rng = Random(seed)
        summaries = [_summary(i, rng) for i in range(racks)]
        sessions = [
            _session(i, summaries[i : i + RACKS_PER_INSTANCE])
            for i in range(0, racks, RACKS_PER_INSTANCE)
        ]
        rows = [
            Row(key=f"session/{s.instance}", value=session_value(s, txn=new_txn_id()), version=1)
            for s in sessions
        ]
        table = MemoryTable()
        for row in rows:
            table.transact(Transaction(puts=(Put(key=row.key, value=row.value),)))
        table.read(prefixes=("session/",))
        parse_s = _time_of(lambda rows=rows: [parse_session(row) for row in rows])
        published = PublishedSummaries()
        load_s = _time_of(lambda sessions=sessions: PublishedSummaries().latest(sessions))
        use_s = _time_of(lambda s=sessions, known=published: known.latest(s))
        read = table.bytes_read
        began_s, platform_s = time.process_time(), table.platform_s
        for _ in range(CYCLES):
            table.read(prefixes=("session/",))
        read_s = time.process_time() - began_s - (table.platform_s - platform_s)
        known = published.latest(sessions)
        routes_s = _time_of(
            lambda known=known: make_routes(
                summaries=known, members=(), zones_out=frozenset(), region="r"
            )
        )
        yield Point(
            sizes={"summaries": racks},
            values={
                "bytes_read": read,
                "json_cpu_s": read_s / CYCLES,
                "session_cpu_s": parse_s,
                "summaries_cpu_s": load_s,
                "summaries_again_cpu_s": use_s,
                "routes_cpu_s": routes_s,
            },
        )


def _time_of(work) -> float:
    work()
    began_s = time.process_time()
    for _ in range(CYCLES):
        work()
    return (time.process_time() - began_s) / CYCLES


def measure_group_commit(seed: int) -> Iterator[Point]:
    """Assignments through one committer, by rate; each is 2 checks, 2 puts and a delete."""
    for rate in OPERATION_RATES:
        table = MemoryTable(delay_s=COMMIT_DELAY_S)
        versions = table.transact(Transaction(puts=(Put(key=rack_key("r0"), value={}),)))
        version = versions[rack_key("r0")]
        before = (table.transactions, table.rows_written, table.bytes_written, table.platform_s)
        began_s, began_cpu_s = time.monotonic(), time.process_time()
        futs, waits_s = [], []
        with GroupCommitter(table=table, clock=SystemClock()) as committer:
            number = 0
            while time.monotonic() - began_s < COMMIT_WINDOW_S:
                futs.append(committer.submit(_operation(number, version)))
                futs[-1].add_done_callback(_note_wait(waits_s))
                number += 1
                time.sleep(max(0.0, began_s + number / rate - time.monotonic()))
        seconds = time.monotonic() - began_s
        used_s = time.process_time() - began_cpu_s - (table.platform_s - before[3])
        yield Point(
            sizes={"operations_per_s": round(number / seconds, 2)},
            values={
                "transactions": (table.transactions - before[0]) / seconds,
                "rows_written": (table.rows_written - before[1]) / seconds,
                "bytes_written": (table.bytes_written - before[2]) / seconds,
                "cpu_s": used_s / seconds,
                "mean_wait_s": sum(waits_s) / len(waits_s),
                "longest_wait_s": max(waits_s),
                "not_applied": sum(fut.result().is_err() for fut in futs),
            },
        )


def _note_wait(waits_s: list[float]):
    """Returns a callback that adds the time until it is called."""
    submitted_s = time.monotonic()
    return lambda _: waits_s.append(time.monotonic() - submitted_s)


def _operation(number: int, rack_version: int) -> Transaction:
    task = _task(number, _service(0))
    return Transaction(
        checks=(
            Check(key=rack_key("r0"), version=rack_version),
            Check(key=task_key(task.id), version=ABSENT),
        ),
        puts=(task_put(task), Put(key=f"assigned/r0/{task.id}", value={"task": task.id})),
        deletes=(f"queue/r0/{task.id}",),
    )


def _service(number: int) -> ServiceDocument:
    return ServiceDocument(
        name=f"s{number}",
        team=f"team-{number}",
        kind="batch",
        size=Size(processors=1.0, memory_mb=1000 + number),
        quota=Size(processors=100.0, memory_mb=100_000),
    )


def _task(number: int, doc: ServiceDocument) -> Task:
    return Task(
        id=f"{number:032x}",
        service=doc.name,
        team=doc.team,
        kind="batch",
        size=doc.size,
        payload='{"work_s": 1}',
        body_hash="0" * 64,
        submitted_at_s=float(number),
        rack="r0",
        trace_id="0" * 32,
        txn=new_txn_id(),
    )


def _summary(number: int, rng: Random) -> RackSummary:
    """Returns the summary of a busy rack whose figures do not repeat: compression must not gain.

    Six services run on each worker, four teams on the rack.
    """
    return RackSummary(
        rack=f"rack-zone-{number}",
        zone="zone",
        epoch=rng.randrange(100),
        free=tuple(_size(rng, CAPACITY.size) for _ in range(WORKERS)),
        largest=(CAPACITY.size,),
        used={f"team-{rng.randrange(110)}": _size(rng, Size(processors=256)) for _ in range(4)},
        queue_length=rng.randrange(100),
        running=140,
        running_batch=90,
        upstreams=tuple(
            UpstreamState(
                worker=f"worker-zone-{number}-{i}",
                data=f"10.{rng.randrange(9)}.{rng.randrange(256)}.{rng.randrange(256)}:8080",
                slots=8,
                services=tuple(sorted(f"service-{rng.randrange(300)}" for _ in range(6))),
                status_age_s=rng.random(),
            )
            for i in range(WORKERS)
        ),
    )


def _size(rng: Random, most: Size) -> Size:
    processors = round(rng.uniform(0, most.processors), 1)
    return Size(processors=processors, memory_mb=rng.randrange(125_000))


def _session(number: int, summaries: list[RackSummary]) -> Session:
    return Session(
        instance=f"entry-zone-{number}",
        incarnation="0" * 32,
        beat=1000,
        zone="zone",
        region="region",
        peer="127.0.0.1:12345",
        http="127.0.0.1:12346",
        state="live",
        summaries=[summary.dump() for summary in summaries],
    )


IN_PROCESS = {
    "queue-loop": measure_queue_loop,
    "summaries": measure_summaries,
    "group-commit": measure_group_commit,
}
