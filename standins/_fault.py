"""Switchable faults of the table and the membership list."""

import random
import threading
import time
from typing import Any

import attrs

from standins._http import Answer, Handler, Request

MODES = ("ok", "down", "slow", "lose_answers")


@attrs.frozen(kw_only=True)
class Fault:
    """A fault in force.

    Args:
        mode: one of `MODES`.
        delay_ms: delay of `slow`, in milliseconds.
        when: whether `slow` waits `before` or `after` the operation takes effect.
        probability: share of writes whose answer `lose_answers` withholds.
        seed: seed of the generator that picks them.
    """

    mode: str = attrs.field(default="ok", validator=attrs.validators.in_(MODES))
    delay_ms: float = 0.0
    when: str = attrs.field(default="before", validator=attrs.validators.in_(("before", "after")))
    probability: float = 1.0
    seed: int = 0


class FaultInjector:
    """Wraps a handler with the fault set by `POST /fault`.

    Args:
        handler: handler without faults.
        is_write: tells the requests whose answer `lose_answers` may withhold.
    """

    def __init__(self, *, handler: Handler, is_write: Any) -> None:
        self._handler = handler
        self._is_write = is_write
        self._lock = threading.Lock()
        self._set(Fault())

    def handle(self, req: Request) -> Answer:
        """Answers `req` under the fault in force."""
        if req.path == "/fault":
            self._set(Fault(**req.json()))
            return Answer(body={"mode": self._fault.mode})
        if req.path == "/stats":
            return self._handler(req)
        return self._apply(req, self._fault)

    def _apply(self, req: Request, fault: Fault) -> Answer:
        if fault.mode == "down":
            return Answer(status=503, body={"error": "down"})
        if fault.mode == "slow" and fault.when == "before":
            time.sleep(fault.delay_ms / 1000)
        answer = self._handler(req)
        if fault.mode == "slow" and fault.when == "after":
            time.sleep(fault.delay_ms / 1000)
        if fault.mode == "lose_answers" and self._is_write(req) and self._is_hit(fault):
            return Answer(abort=True)
        return answer

    def _set(self, fault: Fault) -> None:
        with self._lock:
            self._fault = fault
            self._random = random.Random(fault.seed)

    def _is_hit(self, fault: Fault) -> bool:
        with self._lock:
            return self._random.random() < fault.probability
