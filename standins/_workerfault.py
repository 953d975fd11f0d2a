"""Faults of a worker, set over HTTP."""

import random
import threading

import attrs

MODES = (
    "ok",
    "fail_starts",
    "fail_tasks",
    "refuse",
    "truncate",
    "late",
    "wrong_id",
    "close_after_read",
    "leave",
)


@attrs.frozen(kw_only=True)
class Fault:
    """An active fault of the data or control address.

    Args:
        mode: one of `MODES`.
        probability: share of requests that it affects.
        delay_ms: delay of `late`, in milliseconds.
        executed: whether `close_after_read` executes the request before it closes.
        seed: seed of the generator that selects requests.
    """

    mode: str = attrs.field(validator=attrs.validators.in_(MODES))
    probability: float = 1.0
    delay_ms: float = 1000.0
    executed: bool = True
    seed: int = 0


class FaultSet:
    """Active faults; several modes may be active at once, and `ok` ends all of them."""

    def __init__(self) -> None:
        self._faults: dict[str, tuple[Fault, random.Random]] = {}
        self._lock = threading.Lock()

    def set(self, fault: Fault) -> None:
        """Activates `fault`; `ok` ends all faults."""
        with self._lock:
            if fault.mode == "ok":
                self._faults.clear()
                return
            self._faults[fault.mode] = (fault, random.Random(fault.seed))

    def get(self, mode: str) -> Fault | None:
        """Returns the fault if it is active and affects this request."""
        with self._lock:
            fault, rng = self._faults.get(mode, (None, None))
            if fault is None or rng is None or rng.random() >= fault.probability:
                return None
            return fault

    def modes(self) -> list[str]:
        """Returns the active modes."""
        with self._lock:
            return sorted(self._faults)
