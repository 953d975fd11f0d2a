"""Configuration view of this instance: the latest revision it has read, and how fresh it is."""

import threading
from typing import Literal

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.document import ServiceDocument, parse_document
from fescuerudder.errors import DocumentError, StoreUnavailableError
from fescuerudder.table import Row, Table

CONFIG_PREFIX = "config/"
HEAD_KEY = "config/head"
SERVICE_PREFIX = "config/service/"
ZONE_PREFIX = "config/zone/"
VIEW_POLL_S = 0.5
VIEW_FRESH_S = 1.5

ZoneState = Literal["in", "out"]

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class ConfigView:
    """All configuration at one revision.

    Args:
        revision: revision of the head; 0 before the first change.
        services: documents by name.
        zones: state of each zone that operators ever changed; other zones are in service.
        sent_at_s: sending time, on this instance's clock, of the reading that confirmed it.
        revisions: revision of each row by key.
    """

    revision: int = 0
    services: dict[str, ServiceDocument] = attrs.Factory(dict)
    zones: dict[str, ZoneState] = attrs.Factory(dict)
    sent_at_s: float = float("-inf")
    revisions: dict[str, int] = attrs.Factory(dict)


def head_revision(row: Row | None) -> int:
    """Returns the revision of the head row; an absent row has revision 0.

    Raises:
        StoreUnavailableError: the row is malformed.
    """
    if row is None:
        return 0
    revision = row.value.get("revision")
    if not isinstance(revision, int):
        raise StoreUnavailableError("configuration head is malformed")
    return revision


class ViewKeeper:
    """Reads the configuration and keeps the latest view. Safe for use by several threads.

    Args:
        table: table service.
        clock: clock of this machine.
        fresh_s: how long a reading allows decisions, counted from its sending.
    """

    def __init__(self, *, table: Table, clock: Clock, fresh_s: float = VIEW_FRESH_S) -> None:
        self._table = table
        self._clock = clock
        self._fresh_s = fresh_s
        self._view = ConfigView()
        self._lock = threading.Lock()

    def current(self) -> ConfigView:
        """Returns the latest view; an empty one before the first reading."""
        return self._view

    def is_fresh(self) -> bool:
        """Returns whether the view may still be used to start work."""
        return self._clock.now_s() - self._view.sent_at_s <= self._fresh_s

    def poll(self) -> bool:
        """Reads the head, and all rows if it changed; returns whether the view was confirmed."""
        sent_at_s = self._clock.now_s()
        try:
            view = self._view
            if self._read_revision() == view.revision and view.sent_at_s > float("-inf"):
                return self._accept(attrs.evolve(view, sent_at_s=sent_at_s))
            return self._accept(self._read_all(last=view))
        except StoreUnavailableError as exc:
            _log.warning("configuration not read", reason=str(exc))
            return False

    def _read_revision(self) -> int:
        rows = self._table.read(keys=(HEAD_KEY,))
        return head_revision(rows[0] if rows else None)

    def _read_all(self, *, last: ConfigView) -> ConfigView:
        sent_at_s = self._clock.now_s()
        rows = self._table.read(prefixes=(CONFIG_PREFIX,))
        head = next((row for row in rows if row.key == HEAD_KEY), None)
        return ConfigView(
            revision=head_revision(head),
            services=_parse_services(rows, last),
            zones=_parse_zones(rows, last),
            sent_at_s=sent_at_s,
            revisions={row.key: row.value.get("revision", 0) for row in rows},
        )

    def _accept(self, view: ConfigView) -> bool:
        """Keeps `view` unless a later one arrived before it."""
        with self._lock:
            if view.revision < self._view.revision:
                _log.warning("older configuration ignored", revision=view.revision)
                return False
            if view.revision == self._view.revision:
                view = attrs.evolve(view, sent_at_s=max(view.sent_at_s, self._view.sent_at_s))
            self._view = view
            return True


def _parse_services(rows: list[Row], last: ConfigView) -> dict[str, ServiceDocument]:
    services = {}
    for row in rows:
        if not row.key.startswith(SERVICE_PREFIX):
            continue
        name = row.key.removeprefix(SERVICE_PREFIX)
        try:
            services[name] = parse_document(row.value.get("document"))
        except DocumentError as exc:
            _log.error("service row is malformed", key=row.key, problems=exc.problems)
            if name in last.services:
                services[name] = last.services[name]
    return services


def _parse_zones(rows: list[Row], last: ConfigView) -> dict[str, ZoneState]:
    zones: dict[str, ZoneState] = {}
    for row in rows:
        if not row.key.startswith(ZONE_PREFIX):
            continue
        zone = row.key.removeprefix(ZONE_PREFIX)
        state = row.value.get("state")
        if state not in ("in", "out"):
            _log.error("zone row is malformed", key=row.key)
            # Without an earlier state, not starting work there is the safe reading.
            state = last.zones.get(zone, "out")
        zones[zone] = state
    return zones
