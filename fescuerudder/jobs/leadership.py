"""Leader election: watches the leader, claims the leadership, runs a term, hands it over."""

import math
import random
import secrets
import threading
from collections.abc import Callable, Collection

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.errors import PlatformError, StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.claim import Claim, Heartbeat, dump_row, load_claim, load_heartbeat
from fescuerudder.jobs.followerlink import FollowerLink
from fescuerudder.jobs.leader import LeaderTerm
from fescuerudder.jobs.leaderlink import ConfigProvider, LeaderLink, LinkSource
from fescuerudder.jobs.linkmessages import PreviewAnswer, StoreJob
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.rows import (
    ABSENT,
    Row,
    RowConflictError,
    RowStore,
    RowTransaction,
    read_row,
)
from fescuerudder.jobs.storage import CLAIM_KEY, HEARTBEAT_KEY

STEP_INTERVAL_S = 0.25
HEARTBEAT_READ_INTERVAL_S = 0.8
"""Time between two reads of the heartbeat while the leader is alive. The reads show that this
instance reaches the store, and how fast."""

STORE_TIMEOUT_S = 1.0

HEARTBEAT_TIMEOUT_S = 0.9
"""Time without a new heartbeat and without a pulse after which a leader counts as gone."""

REFUSING_LEADER_TIMEOUT_S = 0.5
"""The same for a leader whose address refuses connections."""

SLOW_STORE_FACTOR = 4.0
"""Store latencies added to the timeout, because a slow store delays heartbeats too."""

MAX_RANK_S = 1.0
JITTER_S = 0.1
RANK_PER_STORE_LATENCY = 15.0
"""Seconds of claim delay per second of store latency, so that the nearest instance claims first."""

RELEASED_COUNT = -1
"""Count of the heartbeat that marks a released leadership."""

MAX_UNCONFIRMED_S = 0.9
"""Time without a stored heartbeat, and without any answer of the store, after which a leader asks a
successor to claim."""

MIN_STORE_LEAD_S = 0.5
"""Time by which the store must have answered a successor later than this instance. A leader without
work calls the store each 0.4 s, so in an outage its last answer may be that much older."""

CLAIM_REQUEST_INTERVAL_S = 0.8
CLAIM_REQUEST_VALID_S = 1.0
"""Time for which a follower tries to claim after the leader asked it to."""

HANDOVER_TIMEOUT_S = 0.4
"""Time that each successor has to claim in a planned handover."""

HANDOVER_TRIES = 3

TERM_POLL_S = 0.1

_log = structlog.get_logger(__name__)

TermFactory = Callable[[Claim, int], LeaderTerm]


@attrs.define(kw_only=True)
class _ObservedLeader:
    """Claim and heartbeat of the leader as last read from the store.

    Args:
        claim: the claim, None before the first one.
        claim_version: version of its row.
        heartbeat_id: epoch and count of the heartbeat.
        heartbeat_since_s: when this heartbeat was first read, None before the first read.
        starts_recorded: what this heartbeat says of the records of starts.
    """

    claim: Claim | None = None
    claim_version: int = ABSENT
    heartbeat_id: tuple[int, int] | None = None
    heartbeat_since_s: float | None = None
    starts_recorded: bool = False

    @property
    def epoch(self) -> int:
        """Epoch of the last known term; the heartbeat also tells it if the claim is malformed."""
        claimed = self.claim.epoch if self.claim is not None else 0
        return max(claimed, self.heartbeat_id[0] if self.heartbeat_id is not None else 0)

    @property
    def has_recorded_starts(self) -> bool:
        """Whether the heartbeat is that of the claim and says that all starts are recorded.

        Within a term this only ever becomes true, so it holds for the claim that replaces it.
        """
        claimed = self.claim.epoch if self.claim is not None else None
        beaten = self.heartbeat_id[0] if self.heartbeat_id is not None else None
        return self.starts_recorded and claimed == beaten


class Leadership:
    """Claims the leadership when no other instance leads, and runs the terms; a context manager.

    Args:
        instance: id of this instance.
        address: `ip:port` for messages of peers.
        store: the store.
        clock: source of time.
        rng: source of the jitter.
        make_term: creates the term of a successful claim.
        leader_link: serves followers while this instance leads.
        follower_link: follows the leader otherwise.
        store_for_follower: stores a row for a follower that can't reach the store.
        preview_for_follower: answers a preview that a follower asks for.
        store_age_s: returns the time since the store last answered, in seconds.
        config: the configuration that followers are sent.
        slow_machine_delay_s: extra delay of claims because this machine is slow, in seconds.
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
        leader_link: LeaderLink,
        follower_link: FollowerLink,
        store_for_follower: Callable[[StoreJob], str],
        store_age_s: Callable[[], float],
        config: ConfigProvider,
        preview_for_follower: Callable[[bytes], PreviewAnswer] | None = None,
        slow_machine_delay_s: float = 0.0,
    ) -> None:
        self._instance = instance
        self._address = address
        self._store = store
        self._clock = clock
        self._rng = rng
        self._make_term = make_term
        self._leader_link = leader_link
        self._follower_link = follower_link
        self._store_for_follower = store_for_follower
        self._preview_for_follower = preview_for_follower
        self._store_age_s = store_age_s
        self._config = config
        self._slow_machine_delay_s = slow_machine_delay_s
        self._observed = _ObservedLeader()
        self._store_latency_s: float | None = None
        self._heartbeat_read_s = -HEARTBEAT_READ_INTERVAL_S
        self._claim_request_epoch = 0
        self._claim_requested_s = 0.0
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leadership", daemon=True)
        self.term: LeaderTerm | None = None

    def __enter__(self) -> "Leadership":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.step_down()

    def step_down(self) -> None:
        """Stops claiming, and hands the leadership over if this instance has it."""
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(timeout=HANDOVER_TRIES * HANDOVER_TIMEOUT_S + STORE_TIMEOUT_S)

    @property
    def leader(self) -> Claim | None:
        """The claim that this instance read last, None if it has read none."""
        return self._observed.claim

    @property
    def is_stopping(self) -> bool:
        """Whether this instance no longer claims the leadership."""
        return self._stopping.is_set()

    @property
    def rank_s(self) -> float:
        """Delay of this instance's claims; the instance with the lowest one is the best leader."""
        latency_s = MAX_RANK_S if self._store_latency_s is None else self._store_latency_s
        return min(MAX_RANK_S, latency_s * RANK_PER_STORE_LATENCY) + self._slow_machine_delay_s

    def claim_now(self, epoch: int) -> None:
        """Claims the leadership at once, as the leader of `epoch` has asked."""
        self._claim_request_epoch, self._claim_requested_s = epoch, self._clock.now_s()
        self._wake.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._step()
            except (StoreUnavailableError, StoreOutcomeUnknownError) as exc:
                _log.warning("leadership not known", reason=str(exc))
            except Exception:
                _log.exception("leadership step failed")
            self._clock.wait_s(self._wake, STEP_INTERVAL_S)
            self._wake.clear()

    def _step(self) -> None:
        if self._clock.now_s() - self._claim_requested_s > CLAIM_REQUEST_VALID_S:
            self._claim_request_epoch = 0
        is_followed = not self._follower_link.is_suspect and self._claim_request_epoch == 0
        if is_followed and self._clock.now_s() - self._heartbeat_read_s < HEARTBEAT_READ_INTERVAL_S:
            return
        self._read_heartbeat()
        if is_followed:
            return
        if not self._is_claimable():
            return
        claim = Claim(
            epoch=self._observed.epoch + 1,
            instance=self._instance,
            address=self._address,
            key=secrets.token_hex(16),
        )
        version = self._claim(claim)
        if version is not None:
            self._lead(claim, version)

    def _read_heartbeat(self) -> None:
        """Reads the heartbeat, and the claim if the leader may have changed."""
        self._heartbeat_read_s = started_s = self._clock.now_s()
        row = read_row(self._store, HEARTBEAT_KEY, timeout_s=STORE_TIMEOUT_S)
        now_s = self._clock.now_s()
        self._update_store_latency(now_s - started_s)
        heartbeat = _load_heartbeat(row) if row is not None else None
        heartbeat_id = (heartbeat.epoch, heartbeat.count) if heartbeat is not None else None
        last_id = self._observed.heartbeat_id
        if self._observed.heartbeat_since_s is not None and heartbeat_id == last_id:
            return
        self._observed.heartbeat_id, self._observed.heartbeat_since_s = heartbeat_id, now_s
        self._observed.starts_recorded = heartbeat is not None and heartbeat.starts_recorded
        if (
            last_id is None
            or heartbeat_id is None
            or heartbeat_id[0] != last_id[0]
            or heartbeat_id[1] == RELEASED_COUNT
        ):
            self._read_claim()

    def _update_store_latency(self, latency_s: float) -> None:
        last_s = latency_s if self._store_latency_s is None else self._store_latency_s
        self._store_latency_s = min(latency_s, last_s + (latency_s - last_s) / 4)

    def _read_claim(self) -> None:
        row = read_row(self._store, CLAIM_KEY, timeout_s=STORE_TIMEOUT_S)
        if row is not None:
            try:
                self._observed.claim = load_claim(row.value)
            except StoredFormError as exc:
                _log.error("claim can't be read", reason=str(exc))
            self._observed.claim_version = row.version
        claim = self._observed.claim
        if claim is not None and claim.instance != self._instance and not claim.released:
            self._follower_link.follow(claim)

    def _is_claimable(self) -> bool:
        observed = self._observed
        assert observed.heartbeat_since_s is not None
        claim = observed.claim
        if claim is not None and self._claim_request_epoch == claim.epoch:
            return True
        self._claim_request_epoch = 0
        wait_s = self.rank_s + self._rng.uniform(0.0, JITTER_S)
        alive_s = observed.heartbeat_since_s
        if claim is not None and not claim.released:
            is_gone = self._follower_link.refused or claim.instance == self._instance
            wait_s += REFUSING_LEADER_TIMEOUT_S if is_gone else HEARTBEAT_TIMEOUT_S
            wait_s += SLOW_STORE_FACTOR * (self._store_latency_s or 0.0)
            alive_s = max(alive_s, self._follower_link.last_pulse_s or 0.0)
        return self._clock.now_s() - alive_s >= wait_s

    def _claim(self, claim: Claim) -> int | None:
        """Writes the claim; returns its version, or None if another one came first."""
        self._claim_request_epoch = 0
        heartbeat = Heartbeat(
            epoch=claim.epoch, count=0, starts_recorded=self._observed.has_recorded_starts
        )
        txn = RowTransaction(
            expects=((CLAIM_KEY, self._observed.claim_version),),
            puts=((CLAIM_KEY, dump_row(claim)), (HEARTBEAT_KEY, dump_row(heartbeat))),
        )
        silent_s = self._clock.now_s() - (self._observed.heartbeat_since_s or 0.0)
        try:
            version = self._store.write(txn, timeout_s=STORE_TIMEOUT_S)
        except RowConflictError as exc:
            row = next((row for row in exc.rows if row.key == CLAIM_KEY), None)
            if row is None or row.value != dump_row(claim):
                self._reset_observed()
                _log.info("claim refused", epoch=claim.epoch)
                return None
            version = row.version
        _log.warning(
            "leadership claimed",
            epoch=claim.epoch,
            version=version,
            silent_s=round(silent_s, 3),
            refused=self._follower_link.refused,
        )
        self._observed.claim, self._observed.claim_version = claim, version
        return version

    def _reset_observed(self) -> None:
        """Makes the next step read heartbeat and claim again."""
        self._observed.heartbeat_since_s = None
        self._observed.heartbeat_id = None

    def _lead(self, claim: Claim, version: int) -> None:
        self._follower_link.follow(None)
        term = self._make_term(claim, version)
        source = LinkSource(
            claim=claim,
            states=term.states,
            store=self._store_for_follower,
            config=self._config,
            is_loading=lambda: term.is_loading,
            is_stalled=lambda: term.is_stalled,
            preview=self._preview_for_follower,
        )
        try:
            # Followers connect while the term loads, so a long load is not taken for a lost leader.
            self._leader_link.activate(source)
            with term:
                self.term = term
                # Changes that came while the term was loading were not passed to it.
                term.configure(self._config.view)
                self._await_term_end(claim, term)
                if self._stopping.is_set() and not term.lost.is_set():
                    self._hand_over(claim, term)
        finally:
            self.term = None
            self._leader_link.deactivate()
            self._reset_observed()
        _log.warning("term ended", epoch=claim.epoch, lost=term.lost.is_set())
        if not term.lost.is_set():
            self._release(claim, version, starts_recorded=term.starts_recorded)

    def _await_term_end(self, claim: Claim, term: LeaderTerm) -> None:
        """Waits for the end of the term; asks for a successor if this instance loses the store.

        A slow store that still answers is no reason to ask: it would be as slow for a successor.
        Nor is one that has answered no follower since: the leader would change at the end of an
        outage that concerns every instance.
        """
        asked_s = 0.0
        while not term.lost.is_set() and not self._stopping.is_set():
            now_s = self._clock.now_s()
            is_store_lost = min(term.unconfirmed_s, self._store_age_s()) > MAX_UNCONFIRMED_S
            if is_store_lost and now_s - asked_s > CLAIM_REQUEST_INTERVAL_S:
                asked_s = now_s
                lead_s = self._store_age_s() - MIN_STORE_LEAD_S
                self._ask_successor(claim, reason="store not reached", max_store_age_s=lead_s)
            self._clock.wait_s(term.lost, TERM_POLL_S)

    def _hand_over(self, claim: Claim, term: LeaderTerm) -> None:
        """Asks successors in turn; this instance leads until one claims, so scheduling goes on."""
        asked: set[str] = set()
        for _ in range(HANDOVER_TRIES):
            successor = self._ask_successor(claim, reason="planned stop", asked=asked)
            if successor is None or self._clock.wait_s(term.lost, HANDOVER_TIMEOUT_S):
                return
            asked.add(successor)

    def _ask_successor(
        self,
        claim: Claim,
        *,
        reason: str,
        asked: Collection[str] = (),
        max_store_age_s: float = math.inf,
    ) -> str | None:
        """Asks the best eligible follower to claim; returns its id, or None if there is none."""
        successor = self._leader_link.find_successor(asked=asked, max_store_age_s=max_store_age_s)
        if successor is None:
            _log.warning("no successor is fit", epoch=claim.epoch, reason=reason)
            return None
        _log.warning("successor asked", successor=successor, epoch=claim.epoch, reason=reason)
        self._leader_link.request_claim(successor, epoch=claim.epoch)
        return successor

    def _release(self, claim: Claim, version: int, *, starts_recorded: bool) -> None:
        """Marks the leadership as released, so that other instances claim at once."""
        released = dump_row(attrs.evolve(claim, released=True))
        heartbeat = dump_row(
            Heartbeat(epoch=claim.epoch, count=RELEASED_COUNT, starts_recorded=starts_recorded)
        )
        txn = RowTransaction(
            expects=((CLAIM_KEY, version),),
            puts=((CLAIM_KEY, released), (HEARTBEAT_KEY, heartbeat)),
        )
        try:
            self._store.write(txn, timeout_s=STORE_TIMEOUT_S)
            _log.info("leadership released", epoch=claim.epoch)
        except PlatformError as exc:
            _log.warning("leadership not released", epoch=claim.epoch, reason=str(exc))


def _load_heartbeat(row: Row) -> Heartbeat | None:
    """Returns a heartbeat; None if it is malformed, which then stands still."""
    try:
        return load_heartbeat(row.value)
    except StoredFormError as exc:
        _log.error("heartbeat can't be read", reason=str(exc))
        return None
