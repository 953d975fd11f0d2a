"""Who leads: watches the leader's heartbeat, claims the leadership, runs the term."""

import random
import secrets
import threading
from collections.abc import Callable

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import PlatformError, StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.claim import Claim, Heartbeat, dump, load_claim, load_heartbeat
from fescuerudder.jobs.leader import LeaderTerm
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import ABSENT, RowConflictError, RowStore, RowsTxn
from fescuerudder.jobs.storage import CLAIM, HEARTBEAT

WATCH_S = 0.5
STORE_TIMEOUT_S = 1.0

SILENT_S = 2.0
"""Time without a new heartbeat after which the leader counts as gone."""

MAX_RANK_DELAY_S = 1.0
JITTER_S = 0.1
DISTANCE_FACTOR = 15.0
"""Seconds of delay for each second that a read of the store takes: the nearest claims first."""

RELEASED_COUNT = -1
"""Count of the heartbeat that tells of a release."""

_log = structlog.get_logger(__name__)

TermFactory = Callable[[Claim, int], LeaderTerm]


@attrs.define(kw_only=True)
class _Sighting:
    """What was last seen of the leader.

    Args:
        claim: the claim, None before the first one.
        claim_version: version of its row.
        beat: epoch and count of the heartbeat.
        since_s: when this heartbeat was first seen.
    """

    claim: Claim | None = None
    claim_version: int = ABSENT
    beat: tuple[int, int] | None = None
    since_s: float = 0.0


class Leadership:
    """Lets this instance lead when nobody else does; a context manager.

    Args:
        instance: id of this instance.
        address: `ip:port` for messages of peers.
        store: the store.
        clock: source of time.
        rng: source of the jitter.
        make_term: creates the term of a successful claim.
        handicap_s: delay of this instance's claims, for a slow machine.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        store: RowStore,
        clock: Clock,
        rng: random.Random,
        make_term: TermFactory,
        handicap_s: float = 0.0,
    ) -> None:
        self._instance = instance
        self._address = address
        self._store = store
        self._clock = clock
        self._rng = rng
        self._make_term = make_term
        self._handicap_s = handicap_s
        self._seen = _Sighting()
        self._distance_s = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leadership", daemon=True)
        self.term: LeaderTerm | None = None

    def __enter__(self) -> "Leadership":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()
        term = self.term
        if term is not None:
            term.lost.set()
        self._thread.join(timeout=STORE_TIMEOUT_S * 2)

    @property
    def claim(self) -> Claim | None:
        """The claim that was last seen."""
        return self._seen.claim

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._step()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
                _log.warning("leadership not known", reason=str(exc))
            except Exception:
                _log.exception("leadership step failed")
            self._clock.wait_s(self._stopping, WATCH_S)

    def _step(self) -> None:
        self._look()
        seen = self._seen
        if not self._is_claimable():
            return
        claim = Claim(
            epoch=(seen.claim.epoch if seen.claim else 0) + 1,
            instance=self._instance,
            address=self._address,
            key=secrets.token_hex(16),
        )
        version = self._claim(claim)
        if version is not None:
            self._lead(claim, version)

    def _look(self) -> None:
        """Reads claim and heartbeat."""
        started_s = self._clock.now_s()
        page = self._store.read(
            table=HEARTBEAT.table, part=HEARTBEAT.part, timeout_s=STORE_TIMEOUT_S
        )
        now_s = self._clock.now_s()
        self._distance_s = now_s - started_s
        beats = [load_heartbeat(row.value) for row in page.rows if row.key == HEARTBEAT]
        beat = (beats[0].epoch, beats[0].count) if beats else None
        if beat != self._seen.beat or self._seen.since_s == 0.0:
            last, self._seen.beat = self._seen.beat, beat
            self._seen.since_s = now_s
            if last is None or beat is None or beat[0] != last[0] or beat[1] == RELEASED_COUNT:
                self._read_claim()

    def _read_claim(self) -> None:
        page = self._store.read(table=CLAIM.table, part=CLAIM.part, timeout_s=STORE_TIMEOUT_S)
        for row in page.rows:
            if row.key == CLAIM:
                try:
                    self._seen.claim = load_claim(row.value)
                except StoredFormError as exc:
                    _log.error("claim can't be read", reason=str(exc))
                self._seen.claim_version = row.version

    def _is_claimable(self) -> bool:
        rank_s = min(MAX_RANK_DELAY_S, self._distance_s * DISTANCE_FACTOR) + self._handicap_s
        wait_s = rank_s + self._rng.uniform(0.0, JITTER_S)
        if self._seen.claim is not None and not self._seen.claim.released:
            wait_s += SILENT_S
        return self._clock.now_s() - self._seen.since_s >= wait_s

    def _claim(self, claim: Claim) -> int | None:
        """Writes the claim; returns its version, or None if another one came first."""
        beat = Heartbeat(epoch=claim.epoch, count=0)
        txn = RowsTxn(
            expects=((CLAIM, self._seen.claim_version),),
            puts=((CLAIM, dump(claim)), (HEARTBEAT, dump(beat))),
        )
        silent_s = self._clock.now_s() - self._seen.since_s
        try:
            version = self._store.write(txn, timeout_s=STORE_TIMEOUT_S)
        except RowConflictError as exc:
            row = next((row for row in exc.rows if row.key == CLAIM), None)
            if row is None or row.value != dump(claim):
                self._seen.since_s = 0.0
                _log.info("claim refused", epoch=claim.epoch)
                return None
            version = row.version
        _log.warning(
            "leadership claimed", epoch=claim.epoch, version=version, silent_s=round(silent_s, 3)
        )
        self._seen.claim, self._seen.claim_version = claim, version
        return version

    def _lead(self, claim: Claim, version: int) -> None:
        term = self._make_term(claim, version)
        try:
            with term:
                self.term = term
                while not term.lost.is_set() and not self._stopping.is_set():
                    self._clock.wait_s(term.lost, WATCH_S)
        finally:
            self.term = None
            self._seen.since_s = 0.0
            self._seen.beat = None
        _log.warning("term ended", epoch=claim.epoch, lost=not self._stopping.is_set())
        if self._stopping.is_set():
            self._release(claim, version)

    def _release(self, claim: Claim, version: int) -> None:
        """Lets others claim at once."""
        released = dump(attrs.evolve(claim, released=True))
        beat = dump(Heartbeat(epoch=claim.epoch, count=RELEASED_COUNT))
        txn = RowsTxn(expects=((CLAIM, version),), puts=((CLAIM, released), (HEARTBEAT, beat)))
        try:
            self._store.write(txn, timeout_s=STORE_TIMEOUT_S)
            _log.info("leadership released", epoch=claim.epoch)
        except PlatformError as exc:
            _log.warning("leadership not released", epoch=claim.epoch, reason=str(exc))
