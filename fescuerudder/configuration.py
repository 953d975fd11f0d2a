"""Changes of the configuration by operators, and provisional drains during store outages."""

import random
import threading
from collections.abc import Callable
from typing import Any

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.clock import Clock
from fescuerudder.document import ServiceDocument, dump_document
from fescuerudder.errors import ConflictError, PlatformError
from fescuerudder.groupcommit import Resolver
from fescuerudder.messages import DrainNotice
from fescuerudder.table import ABSENT, Check, Put, Row, Table, Transaction, new_txn_id
from fescuerudder.view import (
    HEAD_KEY,
    SERVICE_PREFIX,
    ZONE_PREFIX,
    ViewKeeper,
    ZoneState,
    head_revision,
)

CHANGE_ATTEMPTS = 12
"""Attempts of one change when changes of other rows win the head."""

CHANGE_PAUSE_S = 0.05
"""Longest pause before the first retry; it doubles with each attempt up to the maximum."""

CHANGE_PAUSE_MAX_S = 0.4

_log = structlog.get_logger(__name__)


class StaleRevisionError(ConflictError):
    """The row changed since the operator read it; `revision` is the present one."""

    def __init__(self, *, key: str, revision: int) -> None:
        super().__init__(failed_keys=[key])
        self.revision = revision


@attrs.frozen(kw_only=True)
class _Present:
    """The head and one row as read for a change."""

    head: Row | None
    row: Row | None

    @property
    def row_revision(self) -> int:
        """Revision of the row; 0 if it is absent."""
        return int(self.row.value.get("revision", 0)) if self.row else 0


@attrs.frozen(kw_only=True)
class _Drain:
    """A provisional drain; `settled_revision` is set when the store holds a decision."""

    notice: DrainNotice
    settled_revision: int | None = None


class Configurator:
    """Writes configuration changes, each under its own revision. Safe for several threads.

    Args:
        instance: this instance's id.
        table: table service.
        view: this instance's view, whose revision provisional drains rest on.
        clock: clock for pauses.
        rng: randomness of the pauses.
    """

    def __init__(
        self,
        *,
        instance: str,
        table: Table,
        view: ViewKeeper,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._table = table
        self._view = view
        self._clock = clock
        self._rng = rng
        self._resolver = Resolver(table=table, clock=clock)
        self._never = threading.Event()
        self._lock = threading.Lock()
        self._drains: dict[str, _Drain] = {}

    def put_service(
        self, document: ServiceDocument, expected_revision: int | None = None
    ) -> Result[int, PlatformError]:
        """Writes a service document.

        Args:
            document: checked document.
            expected_revision: revision of this service's row that the operator read, 0 if there
                was none; None writes regardless.

        Returns:
            The new revision, or StaleRevisionError, ConflictError (the head stayed contended),
            StoreUnavailableError (all three: certainly not applied) or StoreOutcomeUnknownError.
        """
        fields = {"document": dump_document(document)}
        return self._change(SERVICE_PREFIX + document.name, fields, _expects(expected_revision))

    def put_zone(
        self,
        zone: str,
        state: ZoneState,
        operator: str,
        expected_revision: int | None = None,
    ) -> Result[int, PlatformError]:
        """Takes a zone out of service or returns it; results as for `put_service`."""
        fields = {"state": state, "operator": operator}
        return self._change(ZONE_PREFIX + zone, fields, _expects(expected_revision))

    def provisional_out(self, zone: str, operator: str) -> DrainNotice:
        """Takes a zone out at this instance while the store is down; peers need the notice."""
        notice = DrainNotice(
            zone=zone,
            base_revision=self._view.current().revision,
            operator=operator,
            instance=self._instance,
        )
        self.merge(notice)
        return notice

    def merge(self, notice: DrainNotice) -> None:
        """Merges a peer's provisional drain; the one based on the latest revision counts.

        A drain that the view shows to be replaced is ignored: peers that have not settled it
        yet would otherwise bring it back to those that have, without end.
        """
        known = self._view.current().revisions.get(ZONE_PREFIX + notice.zone, 0)
        if known > notice.base_revision:
            return
        with self._lock:
            held = self._drains.get(notice.zone)
            if held is None or held.notice.base_revision < notice.base_revision:
                self._drains[notice.zone] = _Drain(notice=notice)

    def notices(self) -> list[DrainNotice]:
        """Returns the provisional drains that the store does not hold yet."""
        with self._lock:
            drains = list(self._drains.values())
        return [drain.notice for drain in drains if drain.settled_revision is None]

    def zones_out(self) -> frozenset[str]:
        """Returns the zones that no work may start in, by the view or provisionally."""
        # The drains are read first: one is dropped only after the view shows what replaced it.
        with self._lock:
            provisional = set(self._drains)
        zones = self._view.current().zones
        return frozenset(provisional | {zone for zone, state in zones.items() if state == "out"})

    def settle(self) -> bool:
        """Makes provisional drains durable unless the store holds a newer decision.

        Returns:
            Whether none is left to settle.
        """
        self._drop_replaced()
        for notice in self.notices():
            self._settle_one(notice)
        self._drop_replaced()
        return not self.notices()

    def _settle_one(self, notice: DrainNotice) -> None:
        key = ZONE_PREFIX + notice.zone
        fields = {"state": "out", "operator": notice.operator}
        outcome = self._change(key, fields, _is_not_newer(notice.base_revision))
        if outcome.is_ok():
            self._mark_settled(notice, outcome.ok_value)
            _log.info("provisional drain is durable", zone=notice.zone)
        elif isinstance(outcome.err_value, StaleRevisionError):
            self._mark_settled(notice, outcome.err_value.revision)
            _log.info("provisional drain replaced by a newer decision", zone=notice.zone)
        else:
            _log.warning("provisional drain not settled", reason=str(outcome.err_value))

    def _mark_settled(self, notice: DrainNotice, revision: int) -> None:
        with self._lock:
            held = self._drains.get(notice.zone)
            if held is not None and held.notice == notice:
                self._drains[notice.zone] = attrs.evolve(held, settled_revision=revision)

    def _drop_replaced(self) -> None:
        """Drops settled drains once the view shows what the store holds."""
        seen = self._view.current().revision
        with self._lock:
            self._drains = {
                zone: drain
                for zone, drain in self._drains.items()
                if drain.settled_revision is None or drain.settled_revision > seen
            }

    def _change(
        self, key: str, fields: dict[str, Any], allows: Callable[[int], bool]
    ) -> Result[int, PlatformError]:
        """Writes a row and the head; retries while only other rows' changes get in between."""
        outcome: Result[int, PlatformError] = Err(ConflictError(failed_keys=[HEAD_KEY]))
        for attempt in range(CHANGE_ATTEMPTS):
            if attempt:
                self._pause(attempt)
            try:
                present = self._read(key)
                revision = head_revision(present.head) + 1
            except PlatformError as exc:
                return Err(exc)
            if not allows(present.row_revision):
                return Err(StaleRevisionError(key=key, revision=present.row_revision))
            outcome = self._write(key, fields, present, revision)
            if outcome.is_ok() or not isinstance(outcome.err_value, ConflictError):
                break
        return outcome

    def _read(self, key: str) -> _Present:
        rows = {row.key: row for row in self._table.read(keys=(HEAD_KEY, key))}
        return _Present(head=rows.get(HEAD_KEY), row=rows.get(key))

    def _write(
        self, key: str, fields: dict[str, Any], present: _Present, revision: int
    ) -> Result[int, PlatformError]:
        common = {"revision": revision, "txn": new_txn_id()}
        txn = Transaction(
            checks=(_check(HEAD_KEY, present.head), _check(key, present.row)),
            puts=(
                Put(key=HEAD_KEY, value=dict(common)),
                Put(key=key, value={**fields, **common}),
            ),
        )
        outcome = self._resolver.commit(txn)
        return Ok(revision) if outcome.is_ok() else Err(outcome.err_value)

    def _pause(self, attempt: int) -> None:
        longest_s = min(CHANGE_PAUSE_MAX_S, CHANGE_PAUSE_S * 2 ** (attempt - 1))
        self._clock.wait_s(self._never, self._rng.uniform(0.0, longest_s))


def _check(key: str, row: Row | None) -> Check:
    return Check(key=key, version=row.version if row else ABSENT)


def _expects(expected_revision: int | None) -> Callable[[int], bool]:
    return lambda revision: expected_revision is None or revision == expected_revision


def _is_not_newer(base_revision: int) -> Callable[[int], bool]:
    return lambda revision: revision <= base_revision
