"""A caller's own record: what it sent, when, and what came back."""

import json
import threading
from pathlib import Path
from typing import Literal, TypeAlias

import attrs

CallOutcome: TypeAlias = Literal["answered", "refused", "not_run", "unknown", "failed"]


@attrs.frozen(kw_only=True)
class Call:
    """One event of the trace as its caller saw it. Offsets are in ms from the start.

    Args:
        kind: kind of the event.
        target: service, zone or task that it concerns.
        intended_ms: offset at which the trace sends it.
        sent_ms: offset at which the last attempt was sent.
        done_ms: offset at which the last attempt ended.
        deadline_ms: deadline of a request, 0 for none.
        address: instance of the last attempt.
        attempts: attempts made.
        status: HTTP status of the last attempt, 0 without an answer.
        outcome: what the caller knows at the end.
        key: idempotency key.
        detail: reason of a failure, or the task id of a submission.
    """

    kind: str
    target: str
    intended_ms: float
    sent_ms: float
    done_ms: float
    deadline_ms: float = 0.0
    address: str = ""
    attempts: int = 1
    status: int = 0
    outcome: CallOutcome = "answered"
    key: str = ""
    detail: str = ""

    @property
    def latency_ms(self) -> float:
        """Time from the intended sending to the end."""
        return self.done_ms - self.intended_ms

    @property
    def is_in_time(self) -> bool:
        """Whether a complete answer came within the deadline."""
        in_time = not self.deadline_ms or self.latency_ms <= self.deadline_ms
        return self.outcome == "answered" and in_time


class CallLog:
    """Calls in order of their end. Thread-safe."""

    def __init__(self) -> None:
        self._calls: list[Call] = []
        self._lock = threading.Lock()

    def add(self, call: Call) -> None:
        """Adds a call."""
        with self._lock:
            self._calls.append(call)

    def calls(self) -> list[Call]:
        """Returns the calls so far."""
        with self._lock:
            return list(self._calls)

    def write(self, path: Path) -> None:
        """Writes the calls as JSON lines."""
        lines = [json.dumps(attrs.asdict(call), sort_keys=True) for call in self.calls()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
