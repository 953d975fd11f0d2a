"""Routes to upstreams, from published rack summaries, the list of instances and zone states."""

import threading
from collections.abc import Iterable, Mapping

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.members import Member
from fescuerudder.ownership_types import RackSummary
from fescuerudder.session import Session

SUMMARY_KEPT_S = 5.0

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class WorkerRoute:
    """A worker as a holder knows it from the lists, for use without an owner."""

    worker: str
    data: str
    services: frozenset[str]


@attrs.frozen(kw_only=True)
class RackRoute:
    """A rack as a holder knows it.

    Args:
        rack: rack id.
        near: whether it is in the holder's region; other racks serve only spill-over.
        workers: workers in zones that are in service, leaving ones left out.
    """

    rack: str
    near: bool
    workers: tuple[WorkerRoute, ...]

    def runs(self, service: str) -> bool:
        """Returns whether a worker of the rack may run `service`."""
        return any(service in item.services for item in self.workers)


class PublishedSummaries:
    """Summaries of all sessions, parsed once for each version of a session row.

    Control cycles and submissions ask for them many times between two heartbeats.
    """

    def __init__(self) -> None:
        self._parsed: dict[str, tuple[int, list[RackSummary]]] = {}

    def latest(
        self, sessions: Iterable[Session], own: Iterable[RackSummary] = ()
    ) -> dict[str, RackSummary]:
        """Returns the summary with the highest epoch for each rack.

        A new owner's summary without workers does not replace a predecessor's: until the new
        owner has read their status, callers would find no upstream and submitters no worker.

        Args:
            sessions: sessions of all instances, also of lost ones: their last summary tells
                which upstreams a rack without an owner has.
            own: summaries of this instance's racks, newer than the published ones.
        """
        # Replaced as a whole, because several threads ask.
        self._parsed = parsed = {session.instance: self._parse(session) for session in sessions}
        latest: dict[str, RackSummary] = {}
        for summary in [*(s for _, found in parsed.values() for s in found), *own]:
            known = latest.get(summary.rack)
            if known is None or _rank(summary) >= _rank(known):
                latest[summary.rack] = summary
        return latest

    def _parse(self, session: Session) -> tuple[int, list[RackSummary]]:
        known = self._parsed.get(session.instance)
        if known is not None and known[0] == session.version:
            return known
        return session.version, _published(session)


class SummaryMemory:
    """Bridges the moment in which a rack changes its owner and nobody publishes its workers.

    Args:
        clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[RackSummary, float]] = {}
        self._lock = threading.Lock()

    def complete(self, found: dict[str, RackSummary]) -> dict[str, RackSummary]:
        """Returns `found` with summaries seen up to `SUMMARY_KEPT_S` ago where workers lack."""
        now_s = self._clock.now_s()
        with self._lock:
            for rack, summary in found.items():
                if summary.upstreams:
                    self._seen[rack] = (summary, now_s)
            self._seen = {
                rack: entry
                for rack, entry in self._seen.items()
                if now_s - entry[1] <= SUMMARY_KEPT_S
            }
            return {**found, **{rack: entry[0] for rack, entry in self._seen.items()}}


def _rank(summary: RackSummary) -> tuple[bool, int]:
    return bool(summary.upstreams), summary.epoch


def make_routes(
    *,
    summaries: Mapping[str, RackSummary],
    members: Iterable[Member],
    zones_out: frozenset[str],
    region: str,
) -> list[RackRoute]:
    """Returns the routes that requests may take.

    Workers that leave and zones that are out of service have none.
    """
    listed = {member.id: member for member in members if member.kind == "worker"}
    regions = {member.rack: member.region for member in listed.values()}
    routes = []
    for rack, summary in sorted(summaries.items()):
        if summary.zone in zones_out:
            continue
        workers = tuple(
            WorkerRoute(worker=up.worker, data=up.data, services=frozenset(up.services))
            for up in summary.upstreams
            if not up.leaving and not _is_leaving(listed.get(up.worker))
        )
        near = regions.get(rack, region) == region
        routes.append(RackRoute(rack=rack, near=near, workers=workers))
    return routes


def _is_leaving(member: Member | None) -> bool:
    return member is not None and member.state == "leaving"


def _published(session: Session) -> list[RackSummary]:
    found = []
    for raw in session.summaries:
        try:
            found.append(RackSummary.load(raw))
        except Exception as exc:
            # Another version may publish summaries of another shape.
            _log.warning(
                "rack summary is malformed",
                peer=session.instance,
                reason=type(exc).__name__,
            )
    return found
