"""The load of the workers, condensed by the leader for the admission of jobs, and its codec."""

import zlib
from typing import Any, NamedTuple

import attrs
import cbor2

from fescuerudder import checked
from fescuerudder.document import Size
from fescuerudder.errors import PeerError

MAX_POOLS = 64
MAX_QUEUES = 128
"""Numbers of pools and queues in a summary; those with the least work are left out."""

MAX_WAITING_ROWS = 128
"""Number of rows of waiting work in a summary; those with the least work are left out."""

MAX_UNPACKED_BYTES = 256 * 1024
COMPRESSION_LEVEL = 1
DECIMAL = 10
"""Amounts and times are sent as whole tenths."""

SPEED_UNIT = 100
"""Speeds are sent as whole hundredths."""

MB_PER_GB = 1024


class Amount(NamedTuple):
    """Resources, or resources times seconds.

    Args:
        processors: cores, or core seconds.
        memory_gb: GB, or GB seconds.
        accelerators: accelerators, or accelerator seconds.
    """

    processors: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def plus(self, other: "Amount", share: float = 1.0) -> "Amount":
        """Returns the sum with a share of another amount."""
        return Amount(
            self.processors + share * other.processors,
            self.memory_gb + share * other.memory_gb,
            self.accelerators + share * other.accelerators,
        )

    def covers(self, other: "Amount") -> bool:
        """Returns whether it is at least as much as another amount in every respect."""
        return (
            self.processors >= other.processors
            and self.memory_gb >= other.memory_gb
            and self.accelerators >= other.accelerators
        )


def amount_of(size: Size) -> Amount:
    """Returns the resources of a task or a worker as an amount."""
    return Amount(size.processors, size.memory_mb / MB_PER_GB, float(size.accelerators))


class WaitingWork(NamedTuple):
    """Work of live jobs of one priority and one class of value density that is not done.

    Args:
        priority: priority of their queues.
        density_class: class of value density, as in `urgency_key`; lower ones go first.
        work: estimated resources times seconds.
        left_s: mean time left to the deadlines of the jobs, weighted by work, 0 if past.
    """

    priority: int
    density_class: int
    work: Amount
    left_s: float


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Load of one pool of workers that is short of capacity.

    Args:
        name: name of the pool.
        scarce_s: time for which it has been short of capacity.
        capacity: what jobs that end may use on all workers in service together.
        free: for each resource, the most that is free on one worker.
        speed: ratio of the estimated to the real run time of tasks that ended lately.
        waiting: work that is not done.
        arriving: core seconds a second of new jobs, by priority.
    """

    name: str
    scarce_s: float
    capacity: Amount
    free: Amount
    speed: float = 1.0
    waiting: tuple[WaitingWork, ...] = ()
    arriving: dict[int, float] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class QueueLoad:
    """Load of one queue with live jobs.

    Args:
        name: name of the queue.
        mean_work: mean work of its jobs, in core seconds.
        first_start_s: mean time of late from acceptance to the first start, None if unknown.
        oldest_s: age of the oldest job that has not begun, 0 if there is none.
    """

    name: str
    mean_work: float
    first_start_s: float | None
    oldest_s: float


@attrs.frozen(kw_only=True)
class LoadSummary:
    """Load of all pools that are short of capacity, and of all queues with live jobs in them."""

    pools: dict[str, PoolLoad] = attrs.Factory(dict)
    queues: dict[str, QueueLoad] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class KnownLoad:
    """A load summary and the time at which the leader made it, on this instance's clock."""

    summary: LoadSummary
    made_s: float


def dump_summary(summary: LoadSummary) -> bytes:
    """Returns the compressed form of a summary."""
    pools = list(summary.pools.values())[:MAX_POOLS]
    queues = list(summary.queues.values())[:MAX_QUEUES]
    form = [[_dump_pool(pool) for pool in pools], [_dump_queue(queue) for queue in queues]]
    return zlib.compress(cbor2.dumps(form), COMPRESSION_LEVEL)


def load_summary(data: bytes) -> LoadSummary:
    """Returns the summary of a form that `dump_summary` returned.

    Raises:
        PeerError: the form is malformed.
    """
    try:
        decoder = zlib.decompressobj()
        plain = decoder.decompress(data, MAX_UNPACKED_BYTES)
        if not decoder.eof:
            raise ValueError("cut off, or too large")
        # Further elements are of later versions.
        pools, queues = checked.items(cbor2.loads(plain))[:2]
        loaded = [_load_pool(raw) for raw in checked.items(pools)]
        return LoadSummary(
            pools={pool.name: pool for pool in loaded},
            queues={raw[0]: _load_queue(raw) for raw in checked.items(queues)},
        )
    except Exception as exc:
        raise PeerError(f"malformed load summary: {type(exc).__name__}") from exc


def _tenths(value: float) -> int:
    return round(min(value, checked.MAX_AMOUNT) * DECIMAL)


def _value(raw: Any) -> float:
    return checked.whole(raw) / DECIMAL


def _dump_amount(amount: Amount) -> list[int]:
    return [_tenths(max(0.0, value)) for value in amount]


def _load_amount(raw: Any) -> Amount:
    processors, memory_gb, accelerators = checked.items(raw)
    return Amount(_value(processors), _value(memory_gb), _value(accelerators))


def _dump_pool(pool: PoolLoad) -> list[Any]:
    rows = [
        [row.priority, row.density_class, _tenths(row.left_s), *_dump_amount(row.work)]
        for row in pool.waiting
    ]
    speed = round(pool.speed * SPEED_UNIT)
    amounts = [_dump_amount(pool.capacity), _dump_amount(pool.free)]
    arriving = [[priority, _tenths(rate)] for priority, rate in pool.arriving.items()]
    return [pool.name, _tenths(pool.scarce_s), *amounts, speed, rows, arriving]


def _load_pool(raw: Any) -> PoolLoad:
    name, scarce, capacity, free, speed, rows, arriving = checked.items(raw)[:7]
    return PoolLoad(
        name=checked.name(name),
        scarce_s=_value(scarce),
        capacity=_load_amount(capacity),
        free=_load_amount(free),
        speed=checked.whole(speed, least=1) / SPEED_UNIT,
        waiting=tuple(_load_row(row) for row in checked.items(rows)),
        arriving={priority: _value(rate) for priority, rate in checked.items(arriving)},
    )


def _load_row(raw: Any) -> WaitingWork:
    priority, density_class, left = checked.items(raw)[:3]
    return WaitingWork(
        priority=checked.whole(priority, least=-checked.MAX_WHOLE),
        density_class=checked.whole(density_class, least=-checked.MAX_WHOLE),
        work=_load_amount(raw[3:6]),
        left_s=_value(left),
    )


def _dump_queue(queue: QueueLoad) -> list[Any]:
    first_start = None if queue.first_start_s is None else _tenths(queue.first_start_s)
    return [queue.name, _tenths(queue.mean_work), first_start, _tenths(queue.oldest_s)]


def _load_queue(raw: Any) -> QueueLoad:
    name, mean_work, first_start, oldest = checked.items(raw)[:4]
    return QueueLoad(
        name=checked.name(name),
        mean_work=_value(mean_work),
        first_start_s=None if first_start is None else _value(first_start),
        oldest_s=_value(oldest),
    )
