"""Services of the kernel: actors that repeat one step, and plain owners of resources."""

import threading
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any

import attrs
import pykka
import structlog

STOP_TIMEOUT_S = 5.0

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class Tick:
    """Message on which a periodic actor runs its step."""


class PeriodicActor(pykka.ThreadingActor):
    """Actor that runs one step for each `Tick` and survives a failing step."""

    def __init__(self, *, name: str, step: Callable[[], None]) -> None:
        super().__init__()
        self._name = name
        self._step = step

    def on_receive(self, message: Any) -> Any:
        """Runs the step; a failure is logged and the next tick tries again."""
        if not isinstance(message, Tick):
            return None
        try:
            self._step()
        except Exception:
            _log.exception("service step failed", service=self._name)
        return None


class PeriodicService:
    """Service that repeats a step in its own actor.

    Args:
        name: service name.
        interval_s: returns the pause between the end of a step and the next one.
        step: the work; exceptions are logged.
    """

    def __init__(
        self, *, name: str, interval_s: Callable[[], float], step: Callable[[], None]
    ) -> None:
        self._name = name
        self._interval_s = interval_s
        self._step = step
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._ref: pykka.ActorRef[PeriodicActor] | None = None
        self._ticker: threading.Thread | None = None

    def start(self) -> None:
        """Starts the actor and its ticker."""
        self._ref = PeriodicActor.start(name=self._name, step=self._step)
        self._ticker = threading.Thread(
            target=self._tick_loop, name=f"tick-{self._name}", daemon=True
        )
        self._ticker.start()

    def wake(self) -> None:
        """Runs the next step at once."""
        self._wake.set()

    def stop(self) -> None:
        """Waits for the current step and ends the actor."""
        self._stopped.set()
        self._wake.set()
        if self._ticker is not None:
            self._ticker.join(STOP_TIMEOUT_S)
        if self._ref is not None:
            self._ref.stop(block=True, timeout=STOP_TIMEOUT_S)

    def _tick_loop(self) -> None:
        assert self._ref is not None
        while not self._stopped.is_set():
            try:
                self._ref.ask(Tick())
            except pykka.ActorDeadError:
                return
            self._wake.wait(self._interval_s())
            self._wake.clear()


class OwnerService:
    """Service around a context manager, for example a connection pool.

    Args:
        owner: entered on start, left on stop.
    """

    def __init__(self, *, owner: AbstractContextManager[Any]) -> None:
        self.owner = owner

    def start(self) -> None:
        """Enters the context manager."""
        self.owner.__enter__()

    def stop(self) -> None:
        """Leaves the context manager."""
        self.owner.__exit__(None, None, None)
