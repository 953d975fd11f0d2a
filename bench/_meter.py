"""Counters of one entry instance in a running deployment: processor time, memory, store, bytes."""

import time
from collections import Counter

import attrs
import psutil

from bench.launcher import Launcher, Process

BYTES_PER_MB = 1_000_000
STORE_COUNTERS = ("reads", "transactions", "conflicts", "rows_read", "rows_written")


@attrs.frozen(kw_only=True)
class Reading:
    """Cumulative counters at one moment."""

    at_s: float
    counters: Counter[str]
    memory_mb: float

    def rates(self, later: "Reading") -> dict[str, float]:
        """Returns the counters by second until `later`, and the memory there."""
        seconds = later.at_s - self.at_s
        names = sorted(self.counters.keys() | later.counters.keys())
        rates = {name: (later.counters[name] - self.counters[name]) / seconds for name in names}
        return {**rates, "memory_mb": later.memory_mb}


class Meter:
    """Reads the counters of an entry instance.

    The store's counters cover all instances, the bytes only those of this instance's routes.

    Args:
        launcher: running deployment with relays before store, members and workers.
        entry: the instance.
    """

    def __init__(self, *, launcher: Launcher, entry: Process) -> None:
        self._launcher = launcher
        self._entry = entry
        self._process = psutil.Process(entry.handle.pid)

    def read(self) -> Reading:
        """Returns the counters now."""
        times = self._process.cpu_times()
        counters = Counter({"cpu_s": times.user + times.system})
        stats = self._launcher.call("GET", self._address("table"), "/stats")
        for name in STORE_COUNTERS:
            counters[name] = stats[name]
        routes = self._launcher.call("GET", self._address("relay"), "/routes")["routes"]
        for route in routes:
            kind, _, owner = route["name"].partition(":")
            if kind in ("store", "members") and owner != self._entry.name:
                continue
            counters[f"{kind}_sent_bytes"] += route["bytes_to_target"]
            counters[f"{kind}_received_bytes"] += route["bytes_from_target"]
        memory_mb = self._process.memory_info().rss / BYTES_PER_MB
        return Reading(at_s=time.monotonic(), counters=counters, memory_mb=memory_mb)

    def rates(self, seconds: float) -> dict[str, float]:
        """Returns the counters by second over a window that begins now."""
        first = self.read()
        time.sleep(seconds)
        return first.rates(self.read())

    def _address(self, name: str) -> str:
        return self._launcher.processes[name].addresses["control"]
