"""Ownership of racks: claims, planned handover and rebalancing."""

import math
import threading
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import cattrs
import structlog

from fescuerudder import rendezvous
from fescuerudder.clock import Clock
from fescuerudder.document import MAX_OUTAGE_RUN_S
from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.groupcommit import OVERWRITTEN, Outcome, Resolver
from fescuerudder.members import Member
from fescuerudder.messages import Handover, Message
from fescuerudder.ownership_types import RackLease
from fescuerudder.session import (
    SESSION_PREFIX,
    Session,
    SessionKeeper,
    SessionObserver,
    fencing,
)
from fescuerudder.table import ABSENT, Check, Put, Row, Table, Transaction, new_txn_id

RACK_PREFIX = "rack/"
FAR_CLAIM_DELAY_S = 6.0
REBALANCE_S = 10.0
SETTLE_S = 10.0

CLAIMS_PER_STEP = 16
"""Bounds one step's time when the store is far away, and lets later starters have their part."""

LONG_WAIT_S = MAX_OUTAGE_RUN_S + 15.0
"""After this long, a predecessor that did not hand over can't have tasks under lease any more."""

_log = structlog.get_logger(__name__)
_CONVERTER = cattrs.Converter()


@attrs.frozen(kw_only=True)
class RackRow:
    """A rack row.

    Args:
        rack: rack id.
        owner: owning instance, or empty.
        incarnation: the owner's incarnation.
        epoch: fencing token.
        zone: zone of the rack.
        region: region of the zone.
        planned: whether the row was written by a planned handover.
        version: version of the row; `ABSENT` if it does not exist yet.
    """

    rack: str
    owner: str = ""
    incarnation: str = ""
    epoch: int = 0
    zone: str = ""
    region: str = ""
    planned: bool = False
    version: int = ABSENT


def rack_key(rack: str) -> str:
    """Returns the key of a rack's row."""
    return RACK_PREFIX + rack


def parse_rack(row: Row) -> RackRow | None:
    """Returns the parsed row, or None if it is malformed."""
    try:
        return _CONVERTER.structure({**row.value, "version": row.version}, RackRow)
    except Exception as exc:
        _log.error("rack row is malformed", key=row.key, reason=type(exc).__name__)
        return None


def _missing_racks(members: Iterable[Member], keys: set[str]) -> dict[str, RackRow]:
    """Returns rows to create for the racks of workers that have none of `keys`."""
    return {
        member.rack: RackRow(rack=member.rack, zone=member.zone, region=member.region)
        for member in members
        if member.kind == "worker" and member.rack and rack_key(member.rack) not in keys
    }


def _ignore(*_: Any) -> None:
    """Does nothing."""


@attrs.define(kw_only=True)
class _Fleet:
    """Racks and their owners at one reading.

    Args:
        racks: rows by rack.
        owners: instance that owns each rack; racks without a working owner are missing.
        live: sessions that take work.
    """

    racks: dict[str, RackRow]
    owners: dict[str, str]
    live: dict[str, Session]

    def near(self, region: str) -> list[str]:
        """Returns the live instances of `region`."""
        return [name for name, session in self.live.items() if session.region == region]

    def share(self, region: str | None, instances: list[str]) -> tuple[Counter[str], int]:
        """Returns the racks of `region` (None: all) per owner, and the fair share of each."""
        racks = [r.rack for r in self.racks.values() if region is None or r.region == region]
        counts = Counter(self.owners[rack] for rack in racks if rack in self.owners)
        return counts, math.ceil(len(racks) / max(1, len(instances)))

    def claimant(self, row: RackRow, *, far: bool) -> str | None:
        """Returns the instance that should claim a rack."""
        region = None if far else row.region
        pool = list(self.live) if far else self.near(row.region)
        counts, share = self.share(region, pool)
        return rendezvous.first(key=row.rack, nodes=[i for i in pool if counts[i] < share])

    def successor(self, row: RackRow, *, leaving: str) -> str | None:
        """Returns the instance that should get a rack of `leaving`: near ones first."""
        pool = [i for i in self.near(row.region) if i != leaving]
        return self.least_loaded(row.rack, pool or [i for i in self.live if i != leaving])

    def least_loaded(self, key: str, pool: list[str]) -> str | None:
        """Returns the instance of `pool` with the fewest racks."""
        counts = Counter(self.owners.values())
        return min(rendezvous.rank(key=key, nodes=pool), key=lambda i: counts[i], default=None)


class Ownership:
    """Claims racks, gives them away and keeps track of those owned. Safe for several threads.

    Args:
        keeper: this instance's session.
        observer: tells which sessions are live or expired; `step` feeds it.
        table: table service.
        clock: clock of this machine.
        before_release: called before a planned handover is written; returns when all starts and
            renewals for the rack have ended.
        tell: sends a message to an instance, best effort.
        long_wait_s: returns the longest time for which tasks of a lost owner may go on.
    """

    def __init__(
        self,
        *,
        keeper: SessionKeeper,
        observer: SessionObserver,
        table: Table,
        clock: Clock,
        before_release: Callable[[RackLease], None] = _ignore,
        tell: Callable[[str, Message], None] = _ignore,
        long_wait_s: Callable[[], float] = lambda: LONG_WAIT_S,
    ) -> None:
        self._keeper = keeper
        self._observer = observer
        self._table = table
        self._clock = clock
        self._before_release = before_release
        self._tell = tell
        self._long_wait_s = long_wait_s
        self._resolver = Resolver(table=table, clock=clock)
        self._lock = threading.RLock()
        self._leases: dict[str, RackLease] = {}
        self._unresolved: dict[str, RackLease] = {}
        self._incarnation = keeper.incarnation
        self._unowned_since_s: dict[str, float] = {}
        self._rebalanced_at_s = float("-inf")
        self._seen = _Fleet(racks={}, owners={}, live={})

    def owners(self) -> dict[str, str]:
        """Returns the working owner of each rack at the last reading."""
        return dict(self._seen.owners)

    def zones(self) -> dict[str, str]:
        """Returns the zone of each rack at the last reading."""
        return {rack: row.zone for rack, row in self._seen.racks.items()}

    def owned(self) -> dict[str, RackLease]:
        """Returns the racks of this instance.

        They stay listed while the session is only overdue, because renewals may go on during a
        store outage. Starts need `SessionKeeper.is_live` as well.
        """
        if self._keeper.fenced or self._keeper.incarnation != self._incarnation:
            return {}
        return dict(self._leases)

    def step(self, members: Iterable[Member]) -> bool:
        """Reads sessions and racks once and acts on them; returns whether the store was read."""
        with self._lock:
            self._forget_if_fenced()
            if self._keeper.fenced:
                return False
            try:
                fleet = self._read_fleet(members)
            except StoreUnavailableError as exc:
                _log.warning("racks not read", reason=str(exc))
                return False
            self._reclaim(fleet)
            if self._keeper.is_live() and not self._keeper.draining:
                self._claim(fleet)
                self._rebalance(fleet)
            return True

    def hand_over_all(self) -> bool:
        """Gives all racks away; returns whether none is left. For a planned stop, after the
        session says `draining`.
        """
        with self._lock:
            self._forget_if_fenced()
            try:
                fleet = self._read_fleet(())
            except StoreUnavailableError:
                return self._has_given_all()
            self._reclaim(fleet)
            for rack, lease in sorted(self.owned().items()):
                row = fleet.racks[rack]
                successor = fleet.successor(row, leaving=self._keeper.instance)
                if self._release(lease, row, fleet.live.get(successor or "")):
                    fleet.owners[rack] = successor or ""
            return self._has_given_all()

    def notice(self, handover: Handover) -> bool:
        """Handles the handover of a rack to this instance; returns whether its row confirms it."""
        with self._lock:
            self._forget_if_fenced()
            try:
                rows = self._table.read(keys=(rack_key(handover.rack),))
            except StoreUnavailableError:
                return False
            row = parse_rack(rows[0]) if rows else None
            if self._keeper.fenced or row is None or not self._is_adoptable(row):
                return False
            self._adopt(row)
            return True

    def _has_given_all(self) -> bool:
        return not self.owned() and not self._unresolved

    def _forget_if_fenced(self) -> None:
        if self._keeper.fenced or self._keeper.incarnation != self._incarnation:
            if self._leases:
                _log.warning("all racks lost", racks=sorted(self._leases))
            self._leases = {}
            self._unresolved = {}
            self._incarnation = self._keeper.incarnation

    def _read_fleet(self, members: Iterable[Member]) -> _Fleet:
        rows = self._table.read(prefixes=(SESSION_PREFIX, RACK_PREFIX))
        self._observer.observe(rows)
        parsed = [parse_rack(row) for row in rows if row.key.startswith(RACK_PREFIX)]
        racks = {row.rack: row for row in parsed if row is not None}
        self._reconcile(racks)
        for member in members:
            if (
                member.kind == "worker"
                and member.rack
                and rack_key(member.rack) not in {row.key for row in rows}
            ):
                racks.setdefault(
                    member.rack,
                    RackRow(rack=member.rack, zone=member.zone, region=member.region),
                )
        owners = {rack: row.owner for rack, row in racks.items() if self._has_owner(row)}
        self._note_unowned(set(racks) - set(owners))
        self._seen = _Fleet(racks=racks, owners=owners, live=self._observer.live())
        return self._seen

    def _has_owner(self, row: RackRow) -> bool:
        return row.rack in self._leases or self._observer.is_live(row.owner, row.incarnation)

    def _is_ours(self, row: RackRow) -> bool:
        return row.owner == self._keeper.instance and row.incarnation == self._incarnation

    def _is_adoptable(self, row: RackRow) -> bool:
        """Returns whether this run owns a rack and no handover of it may still be applied."""
        return self._is_ours(row) and not self._is_unresolved(row)

    def _is_unresolved(self, row: RackRow) -> bool:
        lease = self._unresolved.get(row.rack)
        return lease is not None and lease.version == row.version

    def _note_unowned(self, racks: set[str]) -> None:
        now_s = self._clock.now_s()
        self._unowned_since_s = {rack: self._unowned_since_s.get(rack, now_s) for rack in racks}

    def _reconcile(self, racks: dict[str, RackRow]) -> None:
        """Adopts racks whose row names this run and drops those whose row changed."""
        for rack, lease in list(self._leases.items()):
            if rack not in racks or racks[rack].version != lease.version:
                _log.warning("rack lost", rack=rack, epoch=lease.epoch)
                self._drop(rack)
        self._unresolved = {
            rack: lease
            for rack, lease in self._unresolved.items()
            if rack not in racks or self._is_unresolved(racks[rack])
        }
        for row in racks.values():
            if self._is_adoptable(row) and row.rack not in self._leases:
                self._adopt(row)

    def _adopt(self, row: RackRow) -> None:
        known = self._leases.get(row.rack)
        if known is not None and known.version == row.version:
            return
        lease = RackLease(
            rack=row.rack,
            epoch=row.epoch,
            version=row.version,
            gained_at_s=self._clock.now_s(),
            planned=row.planned,
            continuous=row.epoch == 1,
        )
        self._leases = {**self._leases, row.rack: lease}
        self._unresolved.pop(row.rack, None)
        _log.info("rack gained", rack=row.rack, epoch=row.epoch, planned=row.planned)

    def _drop(self, rack: str) -> None:
        self._leases = {name: lease for name, lease in self._leases.items() if name != rack}

    def _restore(self, lease: RackLease) -> None:
        self._leases = {**self._leases, lease.rack: lease}

    def _claim(self, fleet: _Fleet) -> None:
        me = self._keeper.instance
        if me not in fleet.live:
            return
        claims = []
        for rack in sorted(self._unowned_since_s):
            far = self._clock.now_s() - self._unowned_since_s[rack] >= FAR_CLAIM_DELAY_S
            claimant = fleet.claimant(fleet.racks[rack], far=far)
            if claimant is not None:
                fleet.owners[rack] = claimant
            if claimant == me:
                claims.append(fleet.racks[rack])
        for row in claims[:CLAIMS_PER_STEP]:
            if self._keeper.is_live() and self._fence_owner(row):
                # A rack that was given up without a successor counts as handed over.
                self._write_claim(row, planned=row.planned and not row.owner)

    def _reclaim(self, fleet: _Fleet) -> None:
        """Claims the racks again whose handover has an unknown outcome and is not applied yet.

        The claim makes a handover that is still on its way fail. It would vouch for this instance
        as of its sending.
        """
        for rack, lease in sorted(self._unresolved.items()):
            if self._keeper.is_live() and rack in fleet.racks:
                self._write_claim(fleet.racks[rack], planned=self._may_vouch(lease))

    def _fence_owner(self, row: RackRow) -> bool:
        """Fences the expired session of a rack's owner; returns whether a claim may follow."""
        session = self._observer.lapsed().get(row.owner)
        if session is None or session.incarnation != row.incarnation:
            return True
        outcome = self._resolver.commit(fencing(session))
        if outcome.is_ok():
            _log.warning("expired session fenced", owner=row.owner)
            return True
        return self._is_fenced(session)

    def _is_fenced(self, session: Session) -> bool:
        """Returns whether a session was ended; one owner may have several racks to claim."""
        try:
            rows = self._table.read(keys=(SESSION_PREFIX + session.instance,))
        except StoreUnavailableError:
            return False
        value = rows[0].value if rows else {}
        return value.get("state") == "fenced" or value.get("incarnation") != session.incarnation

    def _write_claim(self, row: RackRow, *, planned: bool) -> None:
        claim = attrs.evolve(
            row,
            owner=self._keeper.instance,
            incarnation=self._incarnation,
            epoch=row.epoch + 1,
            planned=planned,
        )
        outcome = self._write(claim)
        if outcome.is_err():
            _log.info("rack not claimed", rack=row.rack, reason=str(outcome.err_value))
            return
        version = outcome.ok_value[rack_key(row.rack)]
        if version != OVERWRITTEN:
            self._adopt(attrs.evolve(claim, version=version))

    def _write(self, row: RackRow) -> Outcome:
        """Writes the row, conditional on the version it carries."""
        key = rack_key(row.rack)
        value = attrs.asdict(row)
        del value["version"]
        value["txn"] = new_txn_id()
        return self._resolver.commit(
            Transaction(
                checks=(Check(key=key, version=row.version),), puts=(Put(key=key, value=value),)
            )
        )

    def _rebalance(self, fleet: _Fleet) -> None:
        now_s = self._clock.now_s()
        if now_s - self._rebalanced_at_s < REBALANCE_S:
            return
        move = self._homeward_move(fleet) or self._levelling_move(fleet)
        if move is not None:
            lease, successor = move
            self._rebalanced_at_s = now_s
            self._release(lease, fleet.racks[lease.rack], fleet.live[successor])

    def _homeward_move(self, fleet: _Fleet) -> tuple[RackLease, str] | None:
        """Returns a rack of another region, whose instances are back, and its next owner."""
        for rack, lease in sorted(self._leases.items()):
            region = fleet.racks[rack].region if rack in fleet.racks else self._keeper.region
            settled = [i for i in fleet.near(region) if self._is_settled(i)]
            if region != self._keeper.region and settled:
                return lease, fleet.least_loaded(rack, settled) or settled[0]
        return None

    def _levelling_move(self, fleet: _Fleet) -> tuple[RackLease, str] | None:
        """Returns a rack to give to the instance of this region that has the fewest."""
        me, region = self._keeper.instance, self._keeper.region
        near = fleet.near(region)
        counts, share = fleet.share(region, near)
        others = [i for i in near if i != me]
        target = min(others, key=lambda i: (counts[i], i), default=None)
        if target is None or not self._is_settled(target):
            return None
        if counts[me] <= share or counts[me] - counts[target] < 2:
            return None
        racks = [r for r in self._leases if r in fleet.racks and fleet.racks[r].region == region]
        rack = max(racks, key=lambda r: rendezvous.score(key=r, node=target), default=None)
        return None if rack is None else (self._leases[rack], target)

    def _is_settled(self, instance: str) -> bool:
        return self._observer.age_s(instance) >= SETTLE_S

    def _release(self, lease: RackLease, row: RackRow, successor: Session | None) -> bool:
        """Hands a rack over; returns whether it is given away or lost."""
        # Dropped first, so that nothing starts the work for the rack again once it has ended.
        self._drop(lease.rack)
        try:
            self._before_release(lease)
        except Exception:
            # Nothing is written, so the rack goes on here, also while the store can't be read.
            self._restore(lease)
            raise
        next_row = attrs.evolve(
            row,
            owner=successor.instance if successor else "",
            incarnation=successor.incarnation if successor else "",
            epoch=lease.epoch + 1,
            planned=self._may_vouch(lease),
            version=lease.version,
        )
        outcome = self._write(next_row)
        if outcome.is_err():
            _log.warning("handover failed", rack=lease.rack, reason=str(outcome.err_value))
            if isinstance(outcome.err_value, StoreUnavailableError):
                self._restore(lease)
                return False
            # After an unknown outcome the next reading shows whose rack it is.
            if isinstance(outcome.err_value, StoreOutcomeUnknownError):
                self._unresolved[lease.rack] = lease
            return True
        _log.info("rack handed over", rack=lease.rack, successor=next_row.owner)
        if successor is not None:
            self._tell(successor.instance, Handover(rack=lease.rack, epoch=next_row.epoch))
        return True

    def _may_vouch(self, lease: RackLease) -> bool:
        """Returns whether no task of an earlier owner can be under lease any more.

        A rack claimed from a lost owner and handed on soon afterwards must not look like one
        whose every lease is known, or its next owner would requeue too early.
        """
        if lease.planned or lease.continuous:
            return True
        return self._clock.now_s() - lease.gained_at_s >= self._long_wait_s()
