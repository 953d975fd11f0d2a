"""The leader's side of the link: sends changes to followers and stores jobs for them."""

import asyncio
import hmac
import math
from collections.abc import Awaitable, Callable, Collection
from http import HTTPStatus
from typing import Any, Protocol

import attrs
import structlog
from websockets.asyncio.server import Server, ServerConnection, broadcast, serve
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response

from fescuerudder.clock import Clock
from fescuerudder.codec import Envelope, MessageCodec
from fescuerudder.errors import PeerError
from fescuerudder.jobs._loopthread import LoopThread, log_failure
from fescuerudder.jobs._packing import pack
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configpatch import ConfigPatch, make_patch
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.linkmessages import (
    LINK_TYPES,
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

PULSE_INTERVAL_S = 0.25
CONFIG_CHECK_INTERVAL_S = 0.1
"""Time between two checks for a changed configuration, which is then sent to followers."""

STATES_PER_PULSE = 2000
MAX_MESSAGE_BYTES = 1024 * 1024
OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.2
MAX_SUCCESSOR_STORE_AGE_S = 1.5
"""Time since its last successful call of the store up to which a follower may be the successor."""

UNANSWERED = 0
"""Envelope number of messages that get no answer."""

CODEC = MessageCodec(types=LINK_TYPES)

_log = structlog.get_logger(__name__)


@attrs.define(eq=False, kw_only=True)
class _Follower:
    """A connected follower, with its latest status and the time of its arrival."""

    hello: Follow
    conn: ServerConnection
    status: FollowerStatus | None = None
    status_s: float = 0.0

    @property
    def instance(self) -> str:
        """Its id."""
        return self.hello.instance


class ConfigProvider(Protocol):
    """The leader's configuration; see `configwatch.ConfigWatch`."""

    @property
    def view(self) -> ConfigView:
        """The configuration as last read."""

    @property
    def age_s(self) -> float | None:
        """Time since this instance found `view` to be the store's configuration, in seconds."""


@attrs.frozen(kw_only=True)
class LinkSource:
    """What the link needs of the current term.

    Args:
        claim: the claim of the term.
        states: returns the states of all jobs.
        store: stores a row of a follower; returns an outcome as in `StoreOutcome`.
        config: the configuration.
        is_loading: returns whether the leader still loads the stored state.
        is_stalled: returns whether that load makes no progress.
        preview: answers a `PreviewRequest`, None if there is nothing that does.
    """

    claim: Claim
    states: Callable[[], dict[str, JobState]]
    store: Callable[[StoreJob], str]
    config: ConfigProvider
    is_loading: Callable[[], bool] = lambda: False
    is_stalled: Callable[[], bool] = lambda: False
    preview: Callable[[bytes], PreviewAnswer] | None = None


class LeaderLink:
    """WebSocket server for the followers of this instance while it leads; a context manager.

    Args:
        address: `ip:port` to listen on.
        loop: thread for all connections.
        clock: source of time.
    """

    def __init__(self, *, address: str, loop: LoopThread, clock: Clock) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._loop = loop
        self._clock = clock
        self._server: Server | None = None
        self._source: LinkSource | None = None
        self._followers: dict[ServerConnection, _Follower] = {}
        self._unsent_states: dict[str, str] = {}
        self._pending: dict[str, int] | None = None
        self._earlier_version_s = self._one_row_s = -math.inf
        self._pulse_task: asyncio.Task | None = None
        self._config_task: asyncio.Task | None = None
        self._sent_config = ConfigView()
        self._whole_config: asyncio.Task[bytes] | None = None

    def __enter__(self) -> "LeaderLink":
        self._loop.run(self._open()).result(timeout=OPEN_TIMEOUT_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._loop.run(self._close())

    def activate(self, source: LinkSource) -> None:
        """Starts serving followers for a term."""
        self._loop.call(self._set_source, source)

    def deactivate(self) -> None:
        """Stops serving followers: closes all connections and refuses new ones."""
        self._loop.call(self._set_source, None)

    def publish(self, states: dict[str, JobState], pending: dict[str, int] | None) -> None:
        """Adds job states that have been stored to the next pulse.

        Args:
            states: states by job id.
            pending: waiting jobs of each queue, None if unchanged.
        """
        values = {job_id: state.value for job_id, state in states.items()}
        self._loop.call(self._add_states, values, pending)

    @property
    def earlier_version_age_s(self) -> float:
        """Time since a follower was connected that can't find moved jobs; infinite if none was."""
        if any(not follower.hello.reads_ended for follower in list(self._followers.values())):
            return 0.0
        return self._clock.now_s() - self._earlier_version_s

    @property
    def one_row_age_s(self) -> float:
        """Time since a follower was connected that reads only rosters of one row, as above."""
        if any(not follower.hello.reads_roster_rows for follower in list(self._followers.values())):
            return 0.0
        return self._clock.now_s() - self._one_row_s

    def find_successor(
        self,
        *,
        asked: Collection[str] = (),
        max_store_age_s: float = MAX_SUCCESSOR_STORE_AGE_S,
    ) -> str | None:
        """Returns the id of the eligible follower with the lowest rank, or None if there is none.

        Args:
            asked: ids of instances that were already asked to claim and are left out.
            max_store_age_s: time within which the store has answered it, in seconds.
        """
        max_age_s = min(max_store_age_s, MAX_SUCCESSOR_STORE_AGE_S)
        followers = [f for f in list(self._followers.values()) if f.instance not in asked]
        eligible = [f for f in followers if self._is_eligible(f, max_age_s)]
        best = min(eligible, key=lambda f: (f.status.rank_s, f.instance), default=None)
        return best.instance if best is not None else None

    def request_claim(self, instance: str, *, epoch: int) -> None:
        """Asks a follower to claim the leadership at once."""
        self._loop.call(self._send_claim_now, instance, epoch)

    def _is_eligible(self, follower: _Follower, max_age_s: float) -> bool:
        status = follower.status
        if status is None or status.stops:
            return False
        age_s = status.store_age_s + self._clock.now_s() - follower.status_s
        return age_s < max_age_s

    # --- in the loop

    async def _open(self) -> None:
        self._server = await serve(
            self._serve,
            self._host,
            self._port,
            process_request=self._authorize,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
        )
        self._pulse_task = asyncio.create_task(
            self._repeat(self._broadcast_pulse, PULSE_INTERVAL_S)
        )
        self._config_task = asyncio.create_task(
            self._repeat(self._broadcast_config, CONFIG_CHECK_INTERVAL_S)
        )

    async def _close(self) -> None:
        for task in (self._pulse_task, self._config_task):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()

    def _set_source(self, source: LinkSource | None) -> None:
        self._source = source
        self._unsent_states.clear()
        self._pending = None
        self._sent_config, self._whole_config = ConfigView(), None
        for conn in list(self._followers):
            conn.transport.abort()

    def _add_states(self, states: dict[str, str], pending: dict[str, int] | None) -> None:
        self._unsent_states.update(states)
        if pending is not None:
            self._pending = pending

    def _authorize(self, conn: ServerConnection, req: Request) -> Response | None:
        if self._source is None:
            return conn.respond(HTTPStatus.SERVICE_UNAVAILABLE, "not the leader\n")
        given = req.headers.get("Authorization", "")
        if hmac.compare_digest(given.encode(), f"Bearer {self._source.claim.key}".encode()):
            return None
        return conn.respond(HTTPStatus.UNAUTHORIZED, "wrong key\n")

    async def _serve(self, conn: ServerConnection) -> None:
        try:
            hello = CODEC.decode(await conn.recv(decode=False)).message
            if not isinstance(hello, Follow) or self._source is None:
                return
            # Registered before all states are sent, so that no state stored meanwhile is missed.
            follower = self._followers[conn] = _Follower(hello=hello, conn=conn)
            await self._send_config(follower)
            await self._send_all_states(conn, self._source)
            _log.info("follower connected", follower=hello.instance)
            async for data in conn:
                await self._handle(follower, CODEC.decode(data))
        except PeerError as exc:
            _log.warning("message of a follower refused", reason=str(exc))
        except (WebSocketException, OSError) as exc:
            _log.debug("connection of a follower ended", reason=str(exc))
        finally:
            gone = self._followers.pop(conn, None)
            if gone is not None and not gone.hello.reads_ended:
                self._earlier_version_s = self._clock.now_s()
            if gone is not None and not gone.hello.reads_roster_rows:
                self._one_row_s = self._clock.now_s()
            if gone is not None:
                _log.info("follower gone", follower=gone.instance)

    async def _send_all_states(self, conn: ServerConnection, source: LinkSource) -> None:
        states = [(job_id, state.value) for job_id, state in source.states().items()]
        for first in range(0, len(states), STATES_PER_PULSE):
            part = dict(states[first : first + STATES_PER_PULSE])
            await conn.send(_encode(Pulse(epoch=source.claim.epoch, states=part)))

    async def _handle(self, follower: _Follower, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, FollowerStatus):
            follower.status, follower.status_s = message, self._clock.now_s()
        elif isinstance(message, ConfigRequest):
            await self._send_whole_config(follower)
        elif isinstance(message, StoreJob) and self._source is not None:
            task = asyncio.create_task(self._store(follower, envelope.number, message))
            task.add_done_callback(log_failure("row of a follower not answered"))
        elif isinstance(message, PreviewRequest) and self._source is not None:
            task = asyncio.create_task(self._preview(follower, envelope.number, message))
            task.add_done_callback(log_failure("preview of a follower not answered"))

    async def _store(self, follower: _Follower, number: int, message: StoreJob) -> None:
        source = self._source
        if source is None:
            return
        outcome = await asyncio.to_thread(source.store, message)
        answer = Envelope(number=number, answer=True, message=StoreOutcome(outcome=outcome))
        await follower.conn.send(CODEC.encode(answer))

    async def _preview(self, follower: _Follower, number: int, message: PreviewRequest) -> None:
        source = self._source
        if source is None or source.preview is None:
            return
        found = await asyncio.to_thread(source.preview, message.job)
        await follower.conn.send(CODEC.encode(Envelope(number=number, answer=True, message=found)))

    async def _repeat(self, step: Callable[[], Awaitable[None]], pause_s: float) -> None:
        """Calls `step` with pauses; an error of one call must not end those that follow."""
        while True:
            await asyncio.sleep(pause_s)
            try:
                await step()
            except Exception:
                _log.exception("message to followers failed", step=step.__name__)

    async def _broadcast_pulse(self) -> None:
        source = self._source
        if source is None or source.is_stalled():
            return
        unsent, self._unsent_states = list(self._unsent_states.items()), {}
        for first in range(0, max(1, len(unsent)), STATES_PER_PULSE):
            pulse = Pulse(
                epoch=source.claim.epoch,
                states=dict(unsent[first : first + STATES_PER_PULSE]),
                pending=self._pending,
                config_version=self._sent_config.version,
                config_age_s=self._config_age_s(source.config),
                loading=source.is_loading(),
                takes_previews=source.preview is not None,
            )
            broadcast(list(self._followers), _encode(pulse))

    def _config_age_s(self, config: ConfigProvider) -> float | None:
        """Returns the age of the configuration that was sent, None if there is a newer one."""
        age_s = config.age_s
        return age_s if config.view.version == self._sent_config.version else None

    async def _broadcast_config(self) -> None:
        source = self._source
        if source is None or source.config.view.version == self._sent_config.version:
            return
        view = source.config.view
        patch = make_patch(self._sent_config, view)
        self._sent_config, self._whole_config = view, None
        followers = list(self._followers.values())
        patched = [f for f in followers if patch is not None and f.hello.takes_patches]
        if patch is not None:
            broadcast([f.conn for f in patched], self._encode_patch(source, patch))
        others = [f.conn for f in followers if f not in patched]
        if others:
            broadcast(others, await self._encode_whole_config(source))

    def _encode_patch(self, source: LinkSource, patch: ConfigPatch) -> bytes:
        return _encode(ConfigChanged(epoch=source.claim.epoch, form=pack(patch), has_accounts=True))

    async def _encode_whole_config(self, source: LinkSource) -> bytes:
        """Returns the message with the configuration that was sent last, made once for all."""
        view = self._sent_config
        if self._whole_config is None:

            def encode() -> bytes:
                return _encode(
                    ConfigNews(epoch=source.claim.epoch, form=pack(view), has_accounts=True)
                )

            self._whole_config = asyncio.create_task(asyncio.to_thread(encode))
        return await asyncio.shield(self._whole_config)

    async def _send_config(self, follower: _Follower) -> None:
        """Sends a new follower the configuration, without the manifest if it has that already."""
        source, view = self._source, self._sent_config
        has_manifest = (
            view.manifest is not None and follower.hello.config_revision == view.manifest.revision
        )
        patch = make_patch(view, view) if has_manifest and follower.hello.takes_patches else None
        if source is not None and patch is not None:
            await follower.conn.send(self._encode_patch(source, patch))
        else:
            await self._send_whole_config(follower)

    async def _send_whole_config(self, follower: _Follower) -> None:
        source = self._source
        if source is not None and self._sent_config.version:
            await follower.conn.send(await self._encode_whole_config(source))

    def _send_claim_now(self, instance: str, epoch: int) -> None:
        conns = [f.conn for f in self._followers.values() if f.instance == instance]
        broadcast(conns, _encode(ClaimNow(epoch=epoch)))


def _encode(message: Any) -> bytes:
    return CODEC.encode(Envelope(number=UNANSWERED, answer=False, message=message))
