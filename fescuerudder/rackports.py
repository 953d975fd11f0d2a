"""Protocols through which the control loop of a rack uses other parts."""

from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Any, Literal, Protocol

import attrs
from result import Result

from fescuerudder.document import ServiceDocument
from fescuerudder.errors import PlatformError
from fescuerudder.table import Transaction
from fescuerudder.workers import WorkerControl

CommitResult = Result[dict[str, int], PlatformError]


class Committer(Protocol):
    """Commits transactions in groups."""

    def commit(self, txn: Transaction) -> CommitResult:
        """Applies `txn` and returns the new versions, or the error."""

    def submit(self, txn: Transaction) -> "Future[CommitResult]":
        """Queues `txn`; the future holds the new versions or the error and never raises."""


class ConfigRevision(Protocol):
    """One revision of the configuration."""

    @property
    def services(self) -> Mapping[str, ServiceDocument]:
        """Document of each service, by name."""

    @property
    def zones(self) -> Mapping[str, Literal["in", "out"]]:
        """State by zone; a zone that is not listed is in service."""


class RevisionSource(Protocol):
    """Source of configuration revisions."""

    def current(self) -> ConfigRevision:
        """Returns the newest known revision."""

    def is_fresh(self) -> bool:
        """Returns whether a recent read confirmed the newest known revision."""


class SessionStatus(Protocol):
    """Liveness of the session of this instance."""

    @property
    def fenced(self) -> bool:
        """Whether another instance has fenced this one to take over its racks."""

    def is_live(self) -> bool:
        """Returns whether the session is live."""

    def last_beat_s(self) -> float | None:
        """Returns when the last successful heartbeat was sent, or None before the first."""

    def last_live_s(self) -> float:
        """Returns until when, on the local clock, the session was last live."""


@attrs.frozen(kw_only=True)
class RackWorker:
    """Entry of the membership list for a worker of a rack.

    Args:
        id: worker id.
        control: its control interface.
        data: `ip:port` for requests.
        leaving: whether the list shows the worker as leaving.
    """

    id: str
    control: WorkerControl
    data: str = ""
    leaving: bool = False


WorkerSource = Callable[[], Mapping[str, RackWorker]]
"""Returns the workers of the rack in the membership list, by id."""

RunAll = Callable[[list[Callable[[], Any]]], list[Any]]
"""Runs calls, possibly in parallel, and returns their results in order."""


def run_in_order(calls: list[Callable[[], Any]]) -> list[Any]:
    """Runs calls one after another."""
    return [call() for call in calls]
