"""Membership: who is there, which racks and workers exist, and who owns which rack."""

import threading
from collections.abc import Callable

import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import ListUnavailableError, PlatformError
from fescuerudder.members import HttpMemberList, Member
from fescuerudder.messages import FencedNotice, Message
from fescuerudder.ownership import Ownership
from fescuerudder.ownership_types import RackSummary
from fescuerudder.peers import PeerClients
from fescuerudder.rackports import RackWorker
from fescuerudder.racks import Racks
from fescuerudder.routes import PublishedSummaries, SummaryMemory
from fescuerudder.session import SESSION_PREFIX, SessionKeeper, SessionObserver
from fescuerudder.settings import Settings
from fescuerudder.table import Check, Table, Transaction
from fescuerudder.workers import HttpWorker, WorkerControl

SESSION_GARBAGE_S = 600.0
"""A fenced session row is deleted after this long; an instance that rejoins writes it anew."""

_log = structlog.get_logger(__name__)


class Membership:
    """Keeps the session, the ownership, the list of instances and the peer connections current.

    Args:
        cfg: settings of this instance.
        clock: clock of this machine.
        table: table service.
        keeper: this instance's session.
        observer: tells which sessions are live or expired.
        ownership: claims of racks.
        clients: connections to peers.
        racks: running racks of this instance.
        tell: sends a message to an instance, best effort.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        clock: Clock,
        table: Table,
        keeper: SessionKeeper,
        observer: SessionObserver,
        ownership: Ownership,
        clients: PeerClients,
        racks: Racks,
        tell: Callable[[str, Message], None],
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._table = table
        self._keeper = keeper
        self._observer = observer
        self._ownership = ownership
        self._clients = clients
        self._racks = racks
        self._tell = tell
        self._list = HttpMemberList(address=cfg.members)
        self._members: tuple[Member, ...] = ()
        self._controls: dict[str, tuple[str, HttpWorker]] = {}
        self._fenced_since_s: dict[str, float] = {}
        self._memory = SummaryMemory(clock=clock)
        self._published = PublishedSummaries()
        self._lock = threading.Lock()
        self._left = False

    def __enter__(self) -> "Membership":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._list.__exit__(*exc_info)
        for _, control in self._controls.values():
            control.__exit__(*exc_info)

    def read_list(self) -> None:
        """Reads the list of instances; the last one is kept while it can't be read."""
        try:
            self._members = tuple(self._list.read())
        except ListUnavailableError as exc:
            _log.warning("list of instances not read", reason=str(exc))

    def step(self) -> None:
        """Sends a heartbeat, acts on sessions and racks, and connects to the peers."""
        if self._left:
            return
        if self._keeper.fenced:
            self._racks.step()
            self._keeper.rejoin()
            _log.warning("rejoins under a new incarnation", incarnation=self._keeper.incarnation)
        self.beat()
        if self._ownership.step(self._members):
            self._notify_fenced()
            self._collect_garbage()
        self._connect()

    def beat(self) -> None:
        """Sends one heartbeat with the summaries of the owned racks."""
        self._keeper.beat([summary.dump() for summary in self._racks.summaries()])

    def leave(self) -> None:
        """Deletes this instance's session row at the end of a planned stop."""
        self._left = True
        key = SESSION_PREFIX + self._cfg.instance
        try:
            rows = self._table.read(keys=(key,))
            if rows and rows[0].value.get("incarnation") == self._keeper.incarnation:
                check = Check(key=key, version=rows[0].version)
                self._table.transact(Transaction(checks=(check,), deletes=(key,)))
        except PlatformError as exc:
            _log.warning("session row not deleted", reason=str(exc))

    def members(self) -> tuple[Member, ...]:
        """Returns the list of instances as last read."""
        return self._members

    def summaries(self) -> list[RackSummary]:
        """Returns the latest known summary of each rack."""
        return list(self.summaries_by_rack().values())

    def summaries_by_rack(self) -> dict[str, RackSummary]:
        """Returns the latest known summary by rack."""
        sessions = list(self._observer.sessions().values())
        return self._memory.complete(self._published.latest(sessions, self._racks.summaries()))

    def owner_of(self, rack: str) -> str | None:
        """Returns the instance that owns a rack as far as known, or None."""
        return self._ownership.owners().get(rack)

    def zone_of(self, rack: str) -> str:
        """Returns the zone of a rack, or an empty text if no worker of it is known."""
        zones = [member.zone for member in self._members if member.rack == rack]
        return zones[0] if zones else self._ownership.zones().get(rack, "")

    def workers_of(self, rack: str) -> dict[str, RackWorker]:
        """Returns the workers that the list shows on a rack."""
        return {
            member.id: RackWorker(
                id=member.id,
                control=self._control(member),
                data=member.data,
                leaving=member.state == "leaving",
            )
            for member in self._members
            if member.kind == "worker" and member.rack == rack
        }

    def control_of(self, worker: str) -> WorkerControl | None:
        """Returns the control interface of a listed worker, or None."""
        for member in self._members:
            if member.id == worker:
                return self._control(member)
        return None

    def _control(self, member: Member) -> HttpWorker:
        with self._lock:
            address, control = self._controls.get(member.id, ("", None))
            if control is None or address != member.control:
                control = HttpWorker(address=member.control)
                self._controls[member.id] = (member.control, control)
            return control

    def _connect(self) -> None:
        """Connects to all instances that have a session or are listed."""
        peers = {member.id: member.control for member in self._members if member.kind == "entry"}
        for name, session in {**self._observer.draining(), **self._observer.live()}.items():
            peers[name] = session.peer
        peers.pop(self._cfg.instance, None)
        self._clients.set_peers(peers)

    def _notify_fenced(self) -> None:
        """Tells fenced instances so: one that is cut off from the store must stop renewing."""
        for name, session in self._observer.fenced().items():
            self._tell(name, FencedNotice(instance=name, incarnation=session.incarnation))

    def _collect_garbage(self) -> None:
        """Deletes fenced sessions after a while; replaced instances never come back."""
        now_s = self._clock.now_s()
        fenced = self._observer.fenced()
        self._fenced_since_s = {name: self._fenced_since_s.get(name, now_s) for name in fenced}
        for name, since_s in self._fenced_since_s.items():
            if now_s - since_s < SESSION_GARBAGE_S:
                continue
            key = SESSION_PREFIX + name
            check = Check(key=key, version=fenced[name].version)
            try:
                self._table.transact(Transaction(checks=(check,), deletes=(key,)))
            except PlatformError as exc:
                _log.debug("fenced session not deleted", instance=name, reason=str(exc))
