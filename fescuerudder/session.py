"""Sessions: heartbeats of this instance, and which other sessions are live."""

import base64
import json
import threading
import uuid
import zlib
from collections.abc import Iterable
from typing import Any, Literal

import attrs
import cattrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.table import ABSENT, Check, Put, Row, Table, Transaction, new_txn_id

SESSION_PREFIX = "session/"
SESSION_BEAT_S = 1.0
SESSION_TTL_S = 4.0

OBSERVER_GAP_S = 3.0
"""Longest time between two readings that counts towards expiry. Nobody can send heartbeats during
a store outage, so without this limit the first reader afterwards would fence everyone."""

SessionState = Literal["live", "draining", "fenced"]

_log = structlog.get_logger(__name__)
_CONVERTER = cattrs.Converter()


@attrs.frozen(kw_only=True)
class Session:
    """A session row.

    Args:
        instance: instance id.
        incarnation: id of one run of the instance.
        beat: number of the heartbeat.
        zone: availability zone.
        region: region of the zone.
        peer: `ip:port` for other entry instances.
        http: `ip:port` for callers.
        state: `live`, `draining` or `fenced`.
        summaries: summaries of the racks that the instance owns.
        version: version of the row.
    """

    instance: str
    incarnation: str
    beat: int
    zone: str
    region: str
    peer: str
    http: str
    state: SessionState
    summaries: list[dict[str, Any]] = attrs.Factory(list)
    version: int = ABSENT


def session_key(instance: str) -> str:
    """Returns the key of an instance's session row."""
    return SESSION_PREFIX + instance


def parse_session(row: Row) -> Session | None:
    """Returns the session of a row, or None if the row is malformed."""
    try:
        value = {**row.value, "version": row.version}
        if "packed" in value:
            value["summaries"] = unpack(value["packed"])
        session = _CONVERTER.structure(value, Session)
    except Exception as exc:
        _log.warning("session row is malformed", key=row.key, reason=type(exc).__name__)
        return None
    return session if session_key(session.instance) == row.key else None


def fencing(session: Session) -> Transaction:
    """Returns the transaction that fences `session` unless it sent another heartbeat."""
    value = session_value(attrs.evolve(session, state="fenced"), txn=new_txn_id())
    key = session_key(session.instance)
    return Transaction(
        checks=(Check(key=key, version=session.version),), puts=(Put(key=key, value=value),)
    )


def session_value(session: Session, *, txn: str) -> dict[str, Any]:
    """Returns the value of a session's row.

    Summaries are packed, because every instance reads those of all racks each second, partly
    over the link between regions.
    """
    value = attrs.asdict(session)
    del value["version"]
    return {**value, "summaries": [], "packed": pack(session.summaries), "txn": txn}


def pack(summaries: list[dict[str, Any]]) -> str:
    """Returns summaries as compressed JSON in Base64."""
    text = json.dumps(summaries, separators=(",", ":"))
    return base64.b64encode(zlib.compress(text.encode())).decode()


def unpack(packed: str) -> list[dict[str, Any]]:
    """Returns the summaries that `pack` was given.

    Raises:
        ValueError: the text is no compressed JSON.
    """
    try:
        return json.loads(zlib.decompress(base64.b64decode(packed)))
    except zlib.error as exc:
        raise ValueError("summaries are not compressed") from exc


class SessionKeeper:
    """Keeps this instance's session by heartbeats.

    Args:
        instance: instance id.
        zone: availability zone.
        region: region of the zone.
        peer: `ip:port` for other entry instances.
        http: `ip:port` for callers.
        table: table service.
        clock: clock of this machine.
        ttl_s: how long one heartbeat keeps the session.
    """

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        region: str,
        peer: str,
        http: str,
        table: Table,
        clock: Clock,
        ttl_s: float = SESSION_TTL_S,
    ) -> None:
        self._table = table
        self._clock = clock
        self._ttl_s = ttl_s
        self._lock = threading.RLock()
        self._session = Session(
            instance=instance,
            incarnation=uuid.uuid4().hex,
            beat=0,
            zone=zone,
            region=region,
            peer=peer,
            http=http,
            state="live",
        )
        self._version: int | None = None
        self._written = False
        self._last_live_s: float | None = None
        self._unresolved: dict[str, float] = {}
        self._fenced = False

    @property
    def instance(self) -> str:
        """Instance id."""
        return self._session.instance

    @property
    def region(self) -> str:
        """Region of this instance."""
        return self._session.region

    @property
    def incarnation(self) -> str:
        """Id of this run; changes with `rejoin`."""
        return self._session.incarnation

    @property
    def fenced(self) -> bool:
        """Whether another instance ended this session."""
        return self._fenced

    @property
    def draining(self) -> bool:
        """Whether the instance is about to stop."""
        return self._session.state == "draining"

    @property
    def live_until_s(self) -> float:
        """Time on this clock at which the session ends without another heartbeat."""
        last = self._last_live_s
        return float("-inf") if last is None else last + self._ttl_s

    def last_live_s(self) -> float | None:
        """Returns the sending time of the last successful heartbeat, None before the first."""
        return self._last_live_s

    def last_beat_s(self) -> float | None:
        """Returns the sending time of the last successful heartbeat, None before the first."""
        return self._last_live_s

    def is_live(self) -> bool:
        """Returns whether no observer can consider the session expired yet."""
        return not self._fenced and self._clock.now_s() < self.live_until_s

    def start_draining(self) -> None:
        """Lets further heartbeats say that this instance is about to stop."""
        with self._lock:
            self._session = attrs.evolve(self._session, state="draining")

    def mark_fenced(self, *, incarnation: str) -> None:
        """Records a peer's notice that `incarnation` was fenced."""
        with self._lock:
            if incarnation == self.incarnation:
                self._fenced = True

    def rejoin(self) -> None:
        """Begins a new incarnation; its first heartbeat makes it live."""
        with self._lock:
            self._last_live_s = None
            self._unresolved.clear()
            self._version = None
            self._written = False
            self._session = attrs.evolve(
                self._session, incarnation=uuid.uuid4().hex, beat=0, summaries=[]
            )
            self._fenced = False

    def beat(self, summaries: Iterable[dict[str, Any]] = ()) -> bool:
        """Sends one heartbeat with rack summaries; returns whether it certainly took effect."""
        with self._lock:
            if self._fenced:
                return False
            try:
                return self._beat(list(summaries))
            except StoreUnavailableError as exc:
                _log.warning("heartbeat failed", reason=str(exc))
                return False

    def _beat(self, summaries: list[dict[str, Any]]) -> bool:
        if self._version is None and not self._adopt_row():
            return False
        self._session = attrs.evolve(
            self._session, beat=self._session.beat + 1, summaries=summaries
        )
        txn = new_txn_id()
        key = session_key(self.instance)
        put = Put(key=key, value=session_value(self._session, txn=txn))
        sent_at_s = self._clock.now_s()
        self._unresolved[txn] = sent_at_s
        try:
            versions = self._table.transact(
                Transaction(checks=(Check(key=key, version=self._version or ABSENT),), puts=(put,))
            )
        except StoreUnavailableError:
            del self._unresolved[txn]
            raise
        except StoreOutcomeUnknownError:
            self._version = None
            return False
        except ConflictError:
            self._version = None
            self._adopt_row()
            return False
        self._confirm(version=versions[key], sent_at_s=sent_at_s)
        return True

    def _confirm(self, *, version: int, sent_at_s: float) -> None:
        self._version = version
        self._written = True
        self._unresolved.clear()
        self._last_live_s = max(sent_at_s, self._last_live_s or sent_at_s)

    def _adopt_row(self) -> bool:
        """Reads this instance's row; returns whether the session may continue from it."""
        rows = self._table.read(keys=(session_key(self.instance),))
        row = rows[0] if rows else None
        sent_at_s = self._unresolved.get(row.value.get("txn", "")) if row else None
        if row and sent_at_s is not None:
            self._confirm(version=row.version, sent_at_s=sent_at_s)
            return True
        ours = row is not None and row.value.get("incarnation") == self.incarnation
        if (ours and row.value.get("state") == "fenced") or (self._written and not ours):
            self._fenced = True
            _log.warning("session was fenced", incarnation=self.incarnation)
            return False
        self._version = row.version if row else ABSENT
        return True


class IncarnationSession:
    """Session of the present incarnation only; it counts as fenced once the instance has rejoined.

    For work that belongs to this incarnation and may outlast it, such as a slow control cycle.
    Each method reads the session before it compares the incarnation, so it never returns a right
    of the next one.

    Args:
        keeper: session of this instance.
    """

    def __init__(self, *, keeper: SessionKeeper) -> None:
        self._keeper = keeper
        self._incarnation = keeper.incarnation

    @property
    def fenced(self) -> bool:
        """Whether this incarnation was ended."""
        return self._keeper.fenced or not self._is_present()

    def is_live(self) -> bool:
        """Returns whether no observer can consider the session expired yet."""
        return self._keeper.is_live() and self._is_present()

    def last_live_s(self) -> float:
        """Returns the sending time of the last successful heartbeat, -inf if there is none."""
        last_s = self._keeper.last_live_s()
        return float("-inf") if last_s is None or not self._is_present() else last_s

    def last_beat_s(self) -> float | None:
        """Returns the sending time of the last successful heartbeat, None if there is none."""
        last_s = self._keeper.last_beat_s()
        return last_s if self._is_present() else None

    def _is_present(self) -> bool:
        return self._keeper.incarnation == self._incarnation


@attrs.frozen(kw_only=True)
class _Observation:
    """When this observer first saw an incarnation and its present version, and when last."""

    session: Session
    seen_at_s: float
    version_since_s: float
    incarnation_since_s: float


class SessionObserver:
    """Tells live from expired sessions by this instance's own clock.

    Args:
        clock: clock of this machine.
        ttl_s: a version that stays unchanged for this long shows an expired session.
        gap_s: readings further apart than this start the count anew.
    """

    def __init__(
        self, *, clock: Clock, ttl_s: float = SESSION_TTL_S, gap_s: float = OBSERVER_GAP_S
    ) -> None:
        self._clock = clock
        self._ttl_s = ttl_s
        self._gap_s = gap_s
        self._read_at_s = float("-inf")
        self._observations: dict[str, _Observation] = {}

    def observe(self, rows: Iterable[Row]) -> None:
        """Evaluates the rows of one read that has just ended; only session rows count."""
        now_s = self._clock.now_s()
        interrupted = now_s - self._read_at_s > self._gap_s
        sessions = [parse_session(row) for row in rows if row.key.startswith(SESSION_PREFIX)]
        seen = {
            s.instance: self._observe_one(s, now_s, interrupted) for s in sessions if s is not None
        }
        self._read_at_s = now_s
        self._observations = seen

    def _observe_one(self, session: Session, now_s: float, interrupted: bool) -> _Observation:
        last = self._observations.get(session.instance)
        same_run = last is not None and last.session.incarnation == session.incarnation
        same_version = same_run and last.session.version == session.version
        return _Observation(
            session=session,
            seen_at_s=now_s,
            version_since_s=last.version_since_s if same_version and not interrupted else now_s,
            incarnation_since_s=last.incarnation_since_s if same_run else now_s,
        )

    def sessions(self) -> dict[str, Session]:
        """Returns all sessions of the last reading by instance."""
        return {name: observation.session for name, observation in self._observations.items()}

    def live(self) -> dict[str, Session]:
        """Returns the sessions that take work."""
        return self._select("live", lapsed=False)

    def draining(self) -> dict[str, Session]:
        """Returns the sessions of instances that are about to stop."""
        return self._select("draining", lapsed=False)

    def lapsed(self) -> dict[str, Session]:
        """Returns the sessions that expired and are not fenced."""
        return {**self._select("live", lapsed=True), **self._select("draining", lapsed=True)}

    def fenced(self) -> dict[str, Session]:
        """Returns the sessions that an instance taking over has ended."""
        return {n: s for n, s in self.sessions().items() if s.state == "fenced"}

    def is_live(self, instance: str, incarnation: str) -> bool:
        """Returns whether this run of the instance may still be working."""
        session = {**self.live(), **self.draining()}.get(instance)
        return session is not None and session.incarnation == incarnation

    def age_s(self, instance: str) -> float:
        """Returns how long this observer has known the instance's present run, or 0."""
        observation = self._observations.get(instance)
        return 0.0 if observation is None else self._clock.now_s() - observation.incarnation_since_s

    def _select(self, state: SessionState, *, lapsed: bool) -> dict[str, Session]:
        return {
            name: observation.session
            for name, observation in self._observations.items()
            if observation.session.state == state and self._is_lapsed(observation) == lapsed
        }

    def _is_lapsed(self, observation: _Observation) -> bool:
        # The latest reading confirmed the version; time since then proves nothing.
        return observation.seen_at_s - observation.version_since_s >= self._ttl_s
