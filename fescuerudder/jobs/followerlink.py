"""The follower's side of the link: receives job states and configuration, sends jobs to store."""

import asyncio
import itertools
import math
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import structlog
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import InvalidStatus, WebSocketException

from fescuerudder import checked
from fescuerudder.clock import Clock
from fescuerudder.codec import Envelope
from fescuerudder.errors import PeerError
from fescuerudder.jobs._loopthread import LoopThread, log_failure
from fescuerudder.jobs._packing import unpack
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configpatch import ConfigPatch
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.configwatch import ConfigWatch
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.jobstates import JobStates
from fescuerudder.jobs.leaderlink import CLOSE_TIMEOUT_S, CODEC, MAX_MESSAGE_BYTES, UNANSWERED
from fescuerudder.jobs.linkmessages import (
    ClaimNow,
    ConfigChanged,
    ConfigNews,
    ConfigRequest,
    Follow,
    FollowerStatus,
    PreviewAnswer,
    PreviewRequest,
    Pulse,
    StoreJob,
    StoreOutcome,
)

CONNECT_TIMEOUT_S = 0.8
RECONNECT_S = 0.2
STATUS_INTERVAL_S = 0.5
MAX_PULSE_AGE_S = 1.0
"""Age of the last pulse up to which this instance counts as connected to the leader."""

SUSPECT_PULSE_AGE_S = 0.6
"""Age of the last pulse, two missed pulses, from which on its heartbeat in the store is checked."""

MALFORMED_LOG_INTERVAL_S = 60.0
"""Time between two log lines on messages that can't be used; a line states how many there were."""

_log = structlog.get_logger(__name__)


class FollowerLink:
    """Client that keeps a connection to the leader; a context manager.

    Args:
        instance: id of this instance.
        loop: thread for the connection.
        clock: source of time.
        states: receives the states of jobs.
        config: receives the configuration.
        status: returns the status that is reported to the leader.
        on_claim_now: called with the epoch of a leader that asks this instance to claim.
    """

    def __init__(
        self,
        *,
        instance: str,
        loop: LoopThread,
        clock: Clock,
        states: JobStates,
        config: ConfigWatch,
        status: Callable[[], FollowerStatus],
        on_claim_now: Callable[[int], None],
    ) -> None:
        self._instance = instance
        self._loop = loop
        self._clock = clock
        self._states = states
        self._config = config
        self._status = status
        self._on_claim_now = on_claim_now
        self._claim: Claim | None = None
        self._conn: ClientConnection | None = None
        self._task: asyncio.Task | None = None
        self._numbers = itertools.count(UNANSWERED + 1)
        self._open_requests: dict[int, Future] = {}
        self.pending: dict[str, int] | None = None
        self.last_pulse_s: float | None = None
        self.refused = False
        self.leader_takes_previews = False
        self._is_loading = False
        self._malformed = 0
        self._next_malformed_log_s = -math.inf

    def __enter__(self) -> "FollowerLink":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._loop.call(self._stop)

    @property
    def is_connected(self) -> bool:
        """Whether the last pulse is recent and no connection was refused since."""
        if self.last_pulse_s is None or self.refused:
            return False
        return self._clock.now_s() - self.last_pulse_s < MAX_PULSE_AGE_S

    @property
    def is_suspect(self) -> bool:
        """Whether the leader has missed pulses, so that its heartbeat in the store is checked."""
        return (
            not self.is_connected
            or self._clock.now_s() - (self.last_pulse_s or 0.0) > SUSPECT_PULSE_AGE_S
        )

    def follow(self, claim: Claim | None) -> None:
        """Connects to the leader that `claim` names; None ends the connection."""
        self._loop.call(self._follow, claim)

    def store(self, message: StoreJob, *, timeout_s: float) -> str:
        """Asks the leader to store a row; returns an outcome as in `StoreOutcome`."""
        fut: Future = Future()
        number = next(self._numbers)
        self._loop.call(self._send_request, number, fut, message)
        try:
            return fut.result(timeout=timeout_s).outcome
        except PeerError as exc:
            _log.debug("leader not asked", reason=str(exc))
            return "refused"
        except FutureTimeoutError:
            return "unknown"
        finally:
            self._open_requests.pop(number, None)

    def preview(self, job: bytes, *, timeout_s: float) -> PreviewAnswer:
        """Asks the leader what it would do with a job; only if `leader_takes_previews`.

        Raises:
            PeerError: there is no answer.
        """
        fut: Future = Future()
        number = next(self._numbers)
        self._loop.call(self._send_request, number, fut, PreviewRequest(job=job))
        try:
            answer = fut.result(timeout=timeout_s)
        except FutureTimeoutError as exc:
            raise PeerError("no answer in time") from exc
        finally:
            self._open_requests.pop(number, None)
        if not isinstance(answer, PreviewAnswer):
            raise PeerError("the connection was lost")
        return answer

    # --- in the loop

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _follow(self, claim: Claim | None) -> None:
        if claim == self._claim and self._task is not None:
            return
        self._stop()
        self._claim = claim
        self.last_pulse_s = None
        self.refused = self.leader_takes_previews = False
        if claim is not None:
            self._task = asyncio.get_running_loop().create_task(self._run(claim))

    async def _run(self, claim: Claim) -> None:
        while True:
            try:
                await self._run_connection(claim)
            except (ConnectionRefusedError, InvalidStatus):
                # The process that wrote the claim has ended or doesn't lead any more.
                self.refused = True
            except PeerError as exc:
                self._report_malformed(claim, str(exc))
            except (OSError, WebSocketException, TimeoutError) as exc:
                _log.debug("not connected to the leader", reason=f"{type(exc).__name__}: {exc}")
            except Exception as exc:
                # The claim may name an address that can't be used.
                _log.debug("link to the leader failed", exc_info=True)
                self._report_malformed(claim, checked.reason(exc))
            await asyncio.sleep(RECONNECT_S)

    async def _run_connection(self, claim: Claim) -> None:
        async with connect(
            f"ws://{claim.address}/",
            additional_headers={"Authorization": f"Bearer {claim.key}"},
            proxy=None,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=CONNECT_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
        ) as conn:
            self._conn, self.refused = conn, False
            # States that were sent meanwhile may concern jobs of which the leader no longer knows.
            self._states.drop_live()
            report_task = asyncio.create_task(self._report(conn))
            try:
                await conn.send(_encode(UNANSWERED, self._hello()))
                while True:
                    # A broken connection may stay silent without raising an error.
                    data = await asyncio.wait_for(conn.recv(decode=False), MAX_PULSE_AGE_S)
                    if not self._handle(claim, data):
                        await conn.send(_encode(UNANSWERED, ConfigRequest()))
            finally:
                self._conn = None
                report_task.cancel()
                self._fail_open_requests()
                conn.transport.abort()

    def _hello(self) -> Follow:
        manifest = self._config.view.manifest
        return Follow(
            instance=self._instance,
            takes_patches=True,
            reads_ended=True,
            reads_roster_rows=True,
            config_revision=manifest.revision if manifest is not None else 0,
        )

    async def _report(self, conn: ClientConnection) -> None:
        while True:
            await conn.send(_encode(UNANSWERED, self._status()))
            await asyncio.sleep(STATUS_INTERVAL_S)

    def _handle(self, claim: Claim, data: bytes) -> bool:
        """Handles a message; returns whether the configuration can still be followed."""
        envelope = CODEC.decode(data)
        message = envelope.message
        if isinstance(message, Pulse) and message.epoch == claim.epoch:
            self.last_pulse_s = self._clock.now_s()
            self._observe_loading(claim, message.loading)
            self.leader_takes_previews = message.takes_previews
            if message.pending is not None:
                self.pending = message.pending
            self._update_states(claim, message.states)
            # A negative age, or NaN, confirms nothing.
            if message.config_age_s is not None and message.config_age_s >= 0.0:
                self._config.confirm(version=message.config_version, age_s=message.config_age_s)
        elif isinstance(message, ConfigNews | ConfigChanged) and not message.has_accounts:
            # Of an earlier version: without accounts, every call would pass. This instance goes on
            # with what it knows, and reads the store itself as nothing confirms that.
            pass
        elif isinstance(message, ConfigNews) and message.epoch == claim.epoch:
            self._config.receive(unpack(message.form, ConfigView))
        elif isinstance(message, ConfigChanged) and message.epoch == claim.epoch:
            return self._config.receive_patch(unpack(message.form, ConfigPatch))
        elif isinstance(message, ClaimNow):
            self._on_claim_now(message.epoch)
        elif isinstance(message, StoreOutcome | PreviewAnswer):
            fut = self._open_requests.pop(envelope.number, None)
            if fut is not None:
                fut.set_result(message)
        return True

    def _observe_loading(self, claim: Claim, is_loading: bool) -> None:
        if is_loading != self._is_loading:
            text = "leader loads" if is_loading else "leader has loaded"
            _log.info(text, leader=claim.instance, epoch=claim.epoch)
        self._is_loading = is_loading

    def _update_states(self, claim: Claim, states: dict[str, str]) -> None:
        for job_id, value in states.items():
            try:
                self._states.update(job_id, JobState(value))
            except ValueError:
                # A leader of a later version may know states that this instance doesn't.
                self._report_malformed(claim, f"unknown state {value!r} of job {job_id}")

    def _report_malformed(self, claim: Claim, reason: str) -> None:
        """Logs a message that can't be used, at most once in MALFORMED_LOG_INTERVAL_S."""
        now_s = self._clock.now_s()
        self._malformed += 1
        if now_s < self._next_malformed_log_s:
            return
        self._next_malformed_log_s = now_s + MALFORMED_LOG_INTERVAL_S
        _log.warning(
            "message of the leader not usable",
            leader=claim.instance,
            reason=reason,
            count=self._malformed,
        )

    def _send_request(self, number: int, fut: Future, message: StoreJob | PreviewRequest) -> None:
        conn = self._conn
        if conn is None:
            fut.set_exception(PeerError("not connected to the leader"))
            return
        self._open_requests[number] = fut
        send_task = asyncio.get_running_loop().create_task(conn.send(_encode(number, message)))
        is_row = isinstance(message, StoreJob)
        text = "row not sent to the leader" if is_row else "preview not sent to the leader"
        send_task.add_done_callback(log_failure(text))

    def _fail_open_requests(self) -> None:
        """Answers open requests with an unknown outcome."""
        for number in list(self._open_requests):
            # The thread that waits for the answer may give it up at the same time.
            fut = self._open_requests.pop(number, None)
            if fut is not None:
                fut.set_result(StoreOutcome(outcome="unknown"))


def _encode(
    number: int,
    message: Follow | FollowerStatus | ConfigRequest | StoreJob | PreviewRequest,
) -> bytes:
    return CODEC.encode(Envelope(number=number, answer=False, message=message))
