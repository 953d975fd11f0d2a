"""Interfaces that the control loop of a rack uses."""

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
    """Group commit."""

    def commit(self, txn: Transaction) -> CommitResult:
        """Applies `txn` and returns the new versions, or the error."""

    def submit(self, txn: Transaction) -> "Future[CommitResult]":
        """Applies `txn` later; the future never raises."""


class ConfigRevision(Protocol):
    """One revision of the configuration."""

    @property
    def services(self) -> Mapping[str, ServiceDocument]:
        """Documents by service."""

    @property
    def zones(self) -> Mapping[str, Literal["in", "out"]]:
        """State by zone; a zone that is not listed is in service."""


class RevisionSource(Protocol):
    """Access to the configuration."""

    def current(self) -> ConfigRevision:
        """Returns the newest known configuration."""

    def is_fresh(self) -> bool:
        """Returns whether a recent read confirmed the configuration."""


class SessionStatus(Protocol):
    """Session of this instance."""

    @property
    def fenced(self) -> bool:
        """Whether an instance taking over has fenced this one."""

    def is_live(self) -> bool:
        """Returns whether the session is live."""

    def last_beat_s(self) -> float | None:
        """Returns when the last successful heartbeat was sent, None before the first."""

    def last_live_s(self) -> float:
        """Returns until when, on the own clock, the session was last live."""


@attrs.frozen(kw_only=True)
class RackWorker:
    """A worker of a rack as the membership list shows it.

    Args:
        id: worker id.
        control: its control interface.
        data: `ip:port` for requests.
        leaving: whether the list shows it as leaving.
    """

    id: str
    control: WorkerControl
    data: str = ""
    leaving: bool = False


WorkerSource = Callable[[], Mapping[str, RackWorker]]
"""Returns the workers that the membership list shows on the rack."""

RunAll = Callable[[list[Callable[[], Any]]], list[Any]]
"""Runs calls, possibly at the same time, and returns their results in order."""


def run_in_order(calls: list[Callable[[], Any]]) -> list[Any]:
    """Runs calls one after another."""
    return [call() for call in calls]
