"""Sums of the measured slopes at a scale: what each role carries, and whether it fits."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs

from bench._fit import Fit, Point, fit_all

BITS = 8
KB = 1000.0
DAY_S = 86_400.0
STATUS_CYCLES_PER_S = 2.0
"""Cycles of a rack with batch tasks each second; each reads the store once."""

NODE_COUNTS = range(3, 1001)

ROUTE_UPDATES_PER_S = 2.0
CYCLE_PARSES = 2.0
"""Times that one cycle of a busy rack asks for the summaries of all racks."""

EACH_SECOND = ("json", "session", "summaries")
"""What an instance does once a second with each published summary."""

OPERATIONS_PER_TASK = 3.0
"""Submission, assignment and end."""


SHOWN = {
    "cpu_s": "processor, cores",
    "memory_mb": "memory, MB",
    "reads": "store reads/s",
    "rows_read": "rows read/s",
    "transactions": "transactions/s",
    "rows_written": "rows written/s",
    "store_received_bytes": "from the store, B/s",
    "store_sent_bytes": "to the store, B/s",
    "control_received_bytes": "from workers, B/s",
    "control_sent_bytes": "to workers, B/s",
    "members_received_bytes": "from the list, B/s",
    "cpu_s_per_cycle": "processor a cycle, s",
    "rows_read_per_cycle": "rows read a cycle",
    "bytes_read_per_cycle": "bytes read a cycle",
    "bytes_read": "bytes read",
    "json_cpu_s": "decoding, s",
    "session_cpu_s": "sessions, s",
    "summaries_cpu_s": "parsing, s",
    "summaries_again_cpu_s": "repeated use, s",
    "routes_cpu_s": "routes, s",
    "bytes_written": "to the store, B/s",
}
"""Names of the quantities in the table of slopes."""


@attrs.frozen(kw_only=True)
class Scale:
    """A size of the system; rates are by second."""

    name: str
    entries: int
    racks: int
    workers: int
    running: int
    starts_per_s: float
    changes_per_day: float
    documents: int


@attrs.frozen(kw_only=True)
class Limits:
    """What each node, the store and the link may carry."""

    node_cpu: float = 0.028
    node_memory_mb: float = 256.0
    node_kb_per_s: float = 10.0
    entry_cpu: float = 0.6
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2000.0
    link_mbit_per_s: float = 15.0


TODAY = Scale(
    name="today",
    entries=9,
    racks=3,
    workers=24,
    running=120,
    starts_per_s=2.0,
    changes_per_day=100,
    documents=20,
)
TARGET = Scale(
    name="target",
    entries=20,
    racks=105,
    workers=840,
    running=15_200,
    starts_per_s=400.0,
    changes_per_day=1900,
    documents=110,
)


@attrs.frozen(kw_only=True)
class Line:
    """One sum against its limit; a limit of 0 means that none is stated."""

    role: str
    what: str
    value: float
    limit: float
    unit: str

    @property
    def verdict(self) -> str:
        """Whether it fits, and by which factor not."""
        if not self.limit:
            return "no limit stated"
        if self.value <= self.limit:
            return "fits"
        return f"does not fit: {self.value / self.limit:.1f} times the limit"


class Slopes:
    """Fits of the latest run of each measurement.

    Args:
        directory: directory of the result files.
    """

    def __init__(self, *, directory: Path) -> None:
        self._fits: dict[tuple[str, str], Fit] = {}
        for path in _result_files(directory):
            for found in fit_all(_latest_points(path)):
                self._fits[path.stem, found.quantity] = found

    def base(self, measurement: str, quantity: str) -> float:
        """Returns the value with all sizes at 0."""
        return self._fits[measurement, quantity].base

    def __call__(self, measurement: str, quantity: str, size: str) -> float:
        """Returns the slope over one size."""
        return self._fits[measurement, quantity].slopes[size]

    def both(self, measurement: str, channel: str, size: str) -> float:
        """Returns the bytes sent and received over a channel by one unit of a size."""
        names = (f"{channel}_sent_bytes", f"{channel}_received_bytes")
        return sum(self(measurement, name, size) for name in names)


def _result_files(directory: Path) -> list[Path]:
    """Returns the files of measurements; experiments keep theirs in the same directory."""
    paths = sorted(directory.glob("*.jsonl"))
    return [path for path in paths if '"measurement"' in path.read_text(encoding="utf-8")]


def _latest_records(path: Path) -> list[dict[str, Any]]:
    """Returns the points of the last run in a result file, with their origin."""
    records = [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]
    last = max(record["at"] for record in records)
    return [record for record in records if record["at"] == last and "sizes" in record]


def _latest_points(path: Path) -> list[Point]:
    return [
        Point(sizes=record["sizes"], values=record["values"]) for record in _latest_records(path)
    ]


def sums(scale: Scale, slopes: Slopes, limits: Limits) -> Iterator[Line]:
    """Yields the sums of all roles."""
    yield from _entry(scale, slopes, limits)
    yield from _worker(scale, slopes, limits)
    yield from _store(scale, slopes, limits)
    yield from _link(scale, slopes, limits)


def _entry(scale: Scale, slopes: Slopes, limits: Limits) -> Iterator[Line]:
    share = 1 / scale.entries
    summaries_cpu = scale.racks * slopes("summaries", "summaries_again_cpu_s", "summaries")
    cpu = {
        "base": slopes.base("racks", "cpu_s"),
        "peers": (scale.entries - 1) * slopes("entries", "cpu_s", "peers"),
        "racks": share * scale.racks * slopes("racks", "cpu_s", "racks"),
        "workers": share * scale.workers * slopes("racks", "cpu_s", "workers"),
        "running tasks": share * scale.running * slopes("running", "cpu_s", "running"),
        "starts": share * scale.starts_per_s * slopes("tasks", "cpu_s", "tasks_per_s"),
        "published summaries, read each second": scale.racks
        * sum(slopes("summaries", f"{part}_cpu_s", "summaries") for part in EACH_SECOND),
        "published summaries, routes": ROUTE_UPDATES_PER_S
        * (summaries_cpu + scale.racks * slopes("summaries", "routes_cpu_s", "summaries")),
        "published summaries, used by cycles": share
        * scale.racks
        * STATUS_CYCLES_PER_S
        * CYCLE_PARSES
        * summaries_cpu,
        "published summaries, used by submissions": share * scale.starts_per_s * summaries_cpu,
    }
    for what, value in cpu.items():
        yield Line(role="entry", what=f"processor, {what}", value=value, limit=0, unit="cores")
    total = sum(cpu.values())
    yield _line("entry", "processor, sum", total, limits.entry_cpu, "cores of one process")
    yield _line("entry", "processor, sum as a node", total, limits.node_cpu, "cores")
    machines = scale.workers + scale.entries
    mean = total * scale.entries / machines
    yield _line("entry", "processor, averaged over all machines", mean, limits.node_cpu, "cores")
    memory = (
        slopes.base("racks", "memory_mb")
        + (scale.entries - 1) * slopes("entries", "memory_mb", "peers")
        + share * scale.racks * slopes("racks", "memory_mb", "racks")
        + share * scale.workers * slopes("racks", "memory_mb", "workers")
        + share * scale.running * slopes("running", "memory_mb", "running")
        + share * scale.starts_per_s * slopes("tasks", "memory_mb", "tasks_per_s")
    )
    yield _line("entry", "memory", memory, limits.node_memory_mb, "MB")
    members = machines * slopes.both("racks", "members", "workers") / KB
    yield _line("entry", "membership list read", members, limits.node_kb_per_s, "KB/s")
    store = _store_bytes(scale, slopes) / KB
    yield _line("entry", "bytes to and from the store", store, limits.node_kb_per_s, "KB/s")
    control = scale.workers * _worker_kb(scale, slopes) / scale.entries
    yield _line("entry", "bytes to and from workers", control, limits.node_kb_per_s, "KB/s")


def _worker(scale: Scale, slopes: Slopes, limits: Limits) -> Iterator[Line]:
    each = scale.workers
    idle = slopes.both("racks", "control", "workers") / KB
    running = scale.running / each * slopes.both("running", "control", "running") / KB
    starts = scale.starts_per_s / each * slopes.both("tasks", "control", "tasks_per_s") / KB
    yield _line("worker", "control bytes, idle statuses", idle, 0, "KB/s")
    yield _line("worker", "control bytes, running tasks", running, 0, "KB/s")
    yield _line("worker", "control bytes, starts and ends", starts, 0, "KB/s")
    total = _worker_kb(scale, slopes)
    yield _line("worker", "control bytes, sum", total, limits.node_kb_per_s, "KB/s")


def _worker_kb(scale: Scale, slopes: Slopes) -> float:
    return (
        slopes.both("racks", "control", "workers")
        + scale.running / scale.workers * slopes.both("running", "control", "running")
        + scale.starts_per_s / scale.workers * slopes.both("tasks", "control", "tasks_per_s")
    ) / KB


def _store_bytes(scale: Scale, slopes: Slopes) -> float:
    """Returns the bytes between one instance and the store."""
    share = 1 / scale.entries
    return (
        sum(slopes.base("racks", f"store_{way}_bytes") for way in ("sent", "received"))
        + (scale.entries - 1) * slopes.both("entries", "store", "peers")
        + scale.racks * slopes("summaries", "bytes_read", "summaries")
        + share * scale.racks * slopes.base("running", "store_received_bytes")
        + share * scale.starts_per_s * slopes.both("tasks", "store", "tasks_per_s")
    )


def _store(scale: Scale, slopes: Slopes, limits: Limits) -> Iterator[Line]:
    rows = scale.starts_per_s * slopes("tasks", "rows_written", "tasks_per_s")
    one_each = scale.entries * slopes.base("racks", "transactions")
    operations = scale.starts_per_s * OPERATIONS_PER_TASK / scale.entries
    paced = slopes.base("group-commit", "transactions") + operations * slopes(
        "group-commit", "transactions", "operations_per_s"
    )
    grouped = min(operations, paced) * scale.entries
    writes = limits.store_writes_per_s
    yield _line("store", "transactions, heartbeats", one_each, 0, "1/s")
    yield _line("store", "transactions, tasks", grouped, 0, "1/s")
    yield _line("store", "transactions, sum", one_each + grouped, writes, "1/s")
    yield _line("store", "rows written, sum", one_each + rows, writes, "1/s")
    reads = (
        scale.entries * slopes.base("racks", "reads")
        + scale.racks * STATUS_CYCLES_PER_S * slopes("racks", "reads", "racks")
        + scale.starts_per_s * slopes("tasks", "reads", "tasks_per_s")
    )
    yield _line("store", "read requests, sum", reads, limits.store_reads_per_s, "1/s")
    rows_read = {
        "sessions and racks": scale.entries * (scale.entries + scale.racks),
        "cycles": scale.racks * slopes.base("running", "rows_read"),
        "tasks": scale.starts_per_s * slopes("tasks", "rows_read", "tasks_per_s"),
        "configuration": scale.changes_per_day / DAY_S * scale.documents * scale.entries,
    }
    for what, value in rows_read.items():
        yield _line("store", f"rows read, {what}", value, 0, "1/s")
    total = sum(rows_read.values())
    yield _line("store", "rows read, sum", total, limits.store_reads_per_s, "1/s")


def _link(scale: Scale, slopes: Slopes, limits: Limits) -> Iterator[Line]:
    """Yields the store traffic of the instances in the other region, taken as a third of all."""
    far = scale.entries / 3
    mbit = far * _store_bytes(scale, slopes) * BITS / 1e6
    yield _line("link", "store traffic of a third of the instances", mbit, 0, "Mbit/s")
    yield _line("link", "sum", mbit, limits.link_mbit_per_s, "Mbit/s")


def _line(role: str, what: str, value: float, limit: float, unit: str) -> Line:
    return Line(role=role, what=what, value=value, limit=limit, unit=unit)


def slopes_table(directory: Path) -> str:
    """Returns the slopes of the latest runs as a Markdown table."""
    lines = [
        "| Measurement | Commit | Load | Quantity | Base | Slopes | Residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for path in _result_files(directory):
        records = _latest_records(path)
        loads = [record["load"] for record in records]
        origin = f"{path.stem} | {records[0]['commit']} | {min(loads):.1f} to {max(loads):.1f}"
        points = _latest_points(path)
        for found in fit_all(points):
            if found.quantity in SHOWN and _matters(found, points):
                lines.append(f"| {origin} | {SHOWN[found.quantity]} | {_cells(found)} |")
    return "\n".join(lines)


def _matters(found: Fit, points: list[Point]) -> bool:
    """Returns whether the sizes change the quantity by more than a tenth of its base."""
    effects = [
        abs(slope) * max(point.sizes[name] for point in points)
        for name, slope in found.slopes.items()
    ]
    return max(effects) > abs(found.base) / 10


def _cells(found: Fit) -> str:
    slopes = ", ".join(f"{slope:.3g} per {name}" for name, slope in found.slopes.items())
    return f"{found.base:.3g} | {slopes} | {found.residual:.2g}"


def sums_table(directory: Path) -> str:
    """Returns the sums today and at the target as a Markdown table."""
    slopes, limits = Slopes(directory=directory), Limits()
    lines = [
        "| Role | Line | Today | Target | Limit | At the target |",
        "|---|---|---|---|---|---|",
    ]
    pairs = zip(sums(TODAY, slopes, limits), sums(TARGET, slopes, limits), strict=True)
    for now, then in pairs:
        limit = f"{then.limit:g}" if then.limit else ""
        cells = (
            then.role,
            f"{then.what} ({then.unit})",
            f"{now.value:.3g}",
            f"{then.value:.3g}",
            limit,
            then.verdict if then.limit else "",
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def nodes_table(directory: Path) -> str:
    """Returns how many entry instances the target takes by each limit, as a Markdown table."""
    slopes, limits = Slopes(directory=directory), Limits()
    fitting: dict[str, list[int]] = {}
    for entries in NODE_COUNTS:
        scale = attrs.evolve(TARGET, entries=entries)
        for line in sums(scale, slopes, limits):
            if line.limit:
                counts = fitting.setdefault(f"{line.role} | {line.what} ({line.unit})", [])
                counts.extend([entries] if line.value <= line.limit else [])
    lines = ["| Role | Line | Instances with which it fits |", "|---|---|---|"]
    for name, counts in fitting.items():
        lines.append(f"| {name} | {f'{counts[0]} to {counts[-1]}' if counts else 'none'} |")
    return "\n".join(lines)
