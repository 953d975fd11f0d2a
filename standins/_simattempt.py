"""One simulated attempt of a task at a worker."""

import json
from typing import Any

import attrs

from fescuerudder.document import Size

DEFAULT_WORK_S = 1.0


@attrs.define(kw_only=True)
class SimAttempt:
    """A simulated attempt of a task, running or ended.

    Args:
        task: task id.
        attempt: attempt number.
        service: service of the task.
        kind: `batch` or `replica`.
        size: committed resources.
        payload: decoded payload.
        lease_until_s: end of the lease on the worker's clock.
        started_at_s: start on the worker's clock.
        done_s: work done, in seconds of a run without interference.
        share: share of its processors that throttling leaves, 0 to 1.
        paused: whether work is suspended while a checkpoint is written.
    """

    task: str
    attempt: int
    service: str
    kind: str
    size: Size
    payload: dict[str, Any]
    lease_until_s: float
    started_at_s: float
    done_s: float = 0.0
    share: float = 1.0
    paused: bool = False
    state: str = "running"
    checkpoint: str = ""
    result: str = ""

    @property
    def work_s(self) -> float:
        """Total work in seconds of a run without interference; infinite for replicas."""
        if self.kind == "replica":
            return float("inf")
        return float(self.payload.get("work_s", DEFAULT_WORK_S))

    def describe(self) -> dict[str, Any]:
        """Returns the attempt's entry in the status."""
        names = ("task", "attempt", "service", "state", "lease_until_s", "checkpoint", "result")
        return {**{n: getattr(self, n) for n in names}, "size": attrs.asdict(self.size)}


def decode_payload(payload: Any) -> dict[str, Any]:
    """Returns the simulation parameters in a payload, none if it has another format."""
    if isinstance(payload, str):
        try:
            payload = json.loads(payload or "{}")
        except ValueError:
            return {}
    return payload if isinstance(payload, dict) else {}
