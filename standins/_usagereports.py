"""Usage reports of a simulated worker, which become visible after a lag."""

from collections.abc import Callable, Sequence
from typing import Any

from standins._simattempt import SimAttempt

STEP_MS = 100.0
"""Duration of one work step of a batch task without interference, which usage reports scale."""


class UsageReports:
    """Measures running attempts and keeps their reports. Not thread-safe.

    Args:
        lag_s: age at which reports become visible, in seconds.
        slowdown: returns the slowdown of a service by the others on this worker.
        load: returns the committed share of the worker's processors.
    """

    def __init__(
        self, *, lag_s: float, slowdown: Callable[[str], float], load: Callable[[], float]
    ) -> None:
        self._lag_s = lag_s
        self._slowdown = slowdown
        self._load = load
        self._reports: list[dict[str, Any]] = []
        self._service_times: dict[str, list[float]] = {}

    def add_request(self, service: str, took_ms: float) -> None:
        """Records how long a request took, for the next sample."""
        self._service_times.setdefault(service, []).append(took_ms)

    def sample(self, running: Sequence[SimAttempt], now_s: float) -> None:
        """Measures all running attempts and drops reports that newer ones have replaced."""
        self._reports += [self._measure(item, running, now_s) for item in running]
        self._service_times.clear()
        oldest_s = now_s - self._lag_s - max(self._lag_s, 5.0)
        self._reports = [r for r in self._reports if r["measured_at_s"] >= oldest_s]

    def visible(self, now_s: float) -> list[dict[str, Any]]:
        """Returns the newest report of each task among those old enough to be visible."""
        newest: dict[str, dict[str, Any]] = {}
        for report in self._reports:
            if report["measured_at_s"] <= now_s - self._lag_s:
                newest[report["task"]] = report
        return list(newest.values())

    def _measure(
        self, item: SimAttempt, running: Sequence[SimAttempt], now_s: float
    ) -> dict[str, Any]:
        """Returns the usage report of `item`."""
        times = self._service_times.get(item.service, [])
        step_ms = STEP_MS * self._slowdown(item.service) / max(item.share, 0.01)
        request_ms = sum(times) / len(times) if times else 0.0
        processors = float(item.payload.get("use_processors", item.size.processors))
        return {
            "measured_at_s": now_s,
            "task": item.task,
            "service": item.service,
            "processors": processors * item.share,
            "memory_mb": int(item.payload.get("use_memory_mb", item.size.memory_mb)),
            "service_time_ms": request_ms if item.kind == "replica" else step_ms,
            "neighbours": sorted({i.service for i in running} - {item.service}),
            "load": self._load(),
        }
