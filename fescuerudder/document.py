"""Service documents: what a service needs and how its work may share workers."""

import re
from typing import Any, Literal

import attrs
import cattrs
from cattrs import transform_error

from fescuerudder.errors import DocumentError

DEFAULT_OUTAGE_RUN_S = 2100.0
MAX_OUTAGE_RUN_S = 86_400.0
"""Bounds how long tasks of a lost owner can go on, whatever document they were started under."""

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_REPLICAS = 10_000

ServiceKind = Literal["latency-critical", "batch"]


@attrs.frozen(kw_only=True)
class Size:
    """Resources of one task, or of a worker.

    Args:
        processors: cores, fractions allowed.
        memory_mb: memory in MB.
        accelerators: whole accelerators.
    """

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Size") -> "Size":
        """Returns the sum."""
        return Size(
            processors=self.processors + other.processors,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Returns the difference; parts may be negative."""
        return Size(
            processors=self.processors - other.processors,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits_in(self, other: "Size") -> bool:
        """Returns whether every part is at most that of `other`."""
        # Sums of fractional cores drift by rounding, hence the tolerance.
        return (
            self.processors <= other.processors + 1e-9
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


@attrs.frozen(kw_only=True)
class Objective:
    """Service-level objective: the share `target` of requests answers within `latency_ms`."""

    latency_ms: float = 250.0
    target: float = 0.99


@attrs.frozen(kw_only=True)
class Sharing:
    """How the service's tasks may share a worker.

    Args:
        allow_batch: whether batch tasks may run beside them.
        avoid: services that never run on the same worker.
    """

    allow_batch: bool = True
    avoid: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """One service, as its team states it.

    Args:
        name: service name, unique.
        team: owning team.
        kind: `latency-critical` or `batch`.
        size: resources of one task.
        replicas: standing tasks (latency-critical services only).
        zones: allowed availability zones; empty allows all.
        objective: service-level objective.
        sharing: rules for sharing workers.
        quota: the service's part of its team's quota.
        urgent: whether its tasks go first.
        outage_run_s: how long a task may run on without the store.
        max_run_s: longest run of one attempt; 0 means no limit.
    """

    name: str
    team: str
    kind: ServiceKind
    size: Size
    replicas: int = 0
    zones: tuple[str, ...] = ()
    objective: Objective = Objective()
    sharing: Sharing = Sharing()
    quota: Size = Size()
    urgent: bool = False
    outage_run_s: float = DEFAULT_OUTAGE_RUN_S
    max_run_s: float = 0.0


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    conv.register_structure_hook(float, _structure_float)
    conv.register_structure_hook(int, _structure_int)
    conv.register_structure_hook(bool, _structure_bool)
    conv.register_structure_hook(str, _structure_str)
    return conv


def _structure_float(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    number = float(value)
    if number != number or number in (float("inf"), float("-inf")):
        raise ValueError("expected a finite number")
    return number


def _structure_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, got {value!r}")
    return value


def _structure_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {value!r}")
    return value


def _structure_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"expected text, got {value!r}")
    return value


_CONVERTER = _make_converter()


def parse_document(raw: Any) -> ServiceDocument:
    """Checks a decoded document (TOML or JSON) and returns it.

    Raises:
        DocumentError: with every fault and its place.
    """
    if not isinstance(raw, dict):
        raise DocumentError(problems=["$: expected a table of fields"])
    try:
        doc = _CONVERTER.structure(raw, ServiceDocument)
    except Exception as exc:
        raise DocumentError(problems=transform_error(exc)) from exc
    problems = _find_problems(doc)
    if problems:
        raise DocumentError(problems=problems)
    return doc


def dump_document(doc: ServiceDocument) -> dict[str, Any]:
    """Returns the document as JSON-compatible data."""
    return _CONVERTER.unstructure(doc)


def _find_problems(doc: ServiceDocument) -> list[str]:
    """Returns the faults that types alone don't show."""
    problems = []
    for place, name in (("$.name", doc.name), ("$.team", doc.team)):
        if not NAME_PATTERN.fullmatch(name):
            problems.append(f"{name!r} is not a name of a-z, 0-9 and '-' up to 63 long @ {place}")
    problems += _size_problems(doc.size, "$.size")
    problems += _size_problems(doc.quota, "$.quota")
    if doc.size == Size():
        problems.append("at least one resource must be above 0 @ $.size")
    if not 0 <= doc.replicas <= MAX_REPLICAS:
        problems.append(f"must be from 0 to {MAX_REPLICAS} @ $.replicas")
    if doc.kind == "batch" and doc.replicas:
        problems.append("batch services have no replicas @ $.replicas")
    if not 0 < doc.objective.target < 1:
        problems.append("must be above 0 and below 1 @ $.objective.target")
    if doc.objective.latency_ms <= 0:
        problems.append("must be above 0 @ $.objective.latency_ms")
    if not 0 <= doc.outage_run_s <= MAX_OUTAGE_RUN_S:
        problems.append(f"must be from 0 to {MAX_OUTAGE_RUN_S:g} @ $.outage_run_s")
    if doc.max_run_s < 0:
        problems.append("must be at least 0 @ $.max_run_s")
    return problems


def _size_problems(size: Size, place: str) -> list[str]:
    parts = attrs.asdict(size)
    return [f"must be at least 0 @ {place}.{name}" for name, part in parts.items() if part < 0]
