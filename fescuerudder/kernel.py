"""Micro-kernel: starts named services in order and lets them find each other by name."""

import threading
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from fescuerudder.errors import KernelError

_log = structlog.get_logger(__name__)


class Service(Protocol):
    """A part that the kernel starts and stops."""

    def start(self) -> None:
        """Begins work."""

    def stop(self) -> None:
        """Ends work and releases what the service holds."""


class Kernel:
    """Registry and life cycle of services. Services stop in reverse order of their start."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}
        self._order: list[str] = []
        self._lock = threading.Lock()

    def __enter__(self) -> "Kernel":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    def add(self, name: str, factory: Callable[["Kernel"], Service]) -> None:
        """Creates and starts the service `name`.

        Raises:
            KernelError: the name is taken.
        """
        if name in self._services:
            raise KernelError(f"service {name!r} is already running")
        service = factory(self)
        with self._lock:
            self._services[name] = service
            self._order.append(name)
        service.start()
        _log.debug("service started", service=name)

    def find(self, name: str) -> Any:
        """Returns the service `name`.

        Raises:
            KernelError: there is no such service.
        """
        try:
            return self._services[name]
        except KeyError:
            raise KernelError(f"no service named {name!r}") from None

    def stop(self) -> None:
        """Stops all services, the latest started first."""
        with self._lock:
            names = list(reversed(self._order))
            self._order.clear()
        for name in names:
            try:
                self._services[name].stop()
            except Exception:
                _log.exception("service failed to stop", service=name)
            _log.debug("service stopped", service=name)
