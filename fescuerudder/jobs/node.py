"""One instance that serves jobs: accepts callers' requests and may lead."""

import random
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.httpserver import HttpServer
from fescuerudder.jobs._loopthread import LoopThread
from fescuerudder.jobs.adviceport import AdvicePort
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configview import ConfigSource, ConfigView
from fescuerudder.jobs.configwatch import ConfigWatch
from fescuerudder.jobs.followerlink import FollowerLink
from fescuerudder.jobs.intake import JobIntake
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.jobstates import JobStates
from fescuerudder.jobs.leader import LeaderTerm
from fescuerudder.jobs.leaderlink import LeaderLink
from fescuerudder.jobs.leadership import Leadership
from fescuerudder.jobs.linkmessages import FollowerStatus, StoreJob
from fescuerudder.jobs.monitoredstore import MonitoredStore
from fescuerudder.jobs.nodesettings import NodeSettings
from fescuerudder.jobs.previewservice import PreviewService
from fescuerudder.jobs.rows import RowStore
from fescuerudder.jobs.rowsupport import RowSupport
from fescuerudder.jobs.settingsreloader import SettingsReloader
from fescuerudder.jobs.workerport import WorkerPort, WorkerRegistry
from fescuerudder.kernel import Kernel
from fescuerudder.processsignals import ProcessSignals
from fescuerudder.service import OwnerService

CALLER_THREADS = 16
HEALTH_THREADS = 2
METRICS_THREADS = 2
"""One of them may wait for a preview of the leader."""

PREVIEW_PATH = "/preview"
METRICS_TYPE = "text/plain; version=0.0.4"
LEASE_S = 5.0
"""Length of leases; a new leader needs up to four seconds to renew those of its predecessor."""

READY_STORE_AGE_S = 3.0
"""Age of the last answer of the store up to which an instance without a leader is ready."""

SIGNAL_POLL_S = 0.5
STOP_MARGIN_S = 1.5
"""Time left between the end of a planned stop and the kill."""

LATE_CONNECTION_S = 3.2
"""Time for which new connections still arrive after the first failed health check."""

SLOW_MACHINE_DELAY_S = 0.3
UNDELAYED_INVERSE_CORES = 0.5
MAX_SLOW_MACHINE_DELAY_S = 1.0
"""An instance with less than two cores claims later, by
SLOW_MACHINE_DELAY_S x (1 / cores - UNDELAYED_INVERSE_CORES), so that a faster one leads."""

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class PlatformPorts:
    """Interfaces of the platform that an instance needs.

    Args:
        store: the row store.
        workers: sends orders to workers.
        registry: lists workers.
        advice: the advice service, None if the deployment has none.
        config: reads what operators wrote.
        make_app: creates the callers' WSGI application of an instance.
        make_preview_app: creates the WSGI application that serves previews to operators.
    """

    store: RowStore
    workers: WorkerPort
    registry: WorkerRegistry
    advice: AdvicePort | None
    config: ConfigSource
    make_app: Callable[["JobNode"], Any]
    make_preview_app: Callable[["JobNode"], Any]


class LeaderProxy:
    """Access to the leader, be it another instance or this one.

    Args:
        link: link to another leader.
        is_leading: whether this instance leads.
    """

    def __init__(self, *, link: FollowerLink, is_leading: Callable[[], bool]) -> None:
        self._link = link
        self._is_leading = is_leading
        self._pending: dict[str, int] | None = None

    @property
    def is_connected(self) -> bool:
        """Whether this instance leads or is connected to the leader."""
        return self._is_leading() or self._link.is_connected

    @property
    def can_relay(self) -> bool:
        """Whether another instance leads, which may reach the store for this one."""
        return not self._is_leading() and self._link.is_connected

    @property
    def pending(self) -> dict[str, int] | None:
        """Number of waiting jobs of each queue, None if the leader hasn't reported it yet."""
        return self._pending if self._is_leading() else self._link.pending

    def set_pending(self, pending: dict[str, int]) -> None:
        """Sets the number of waiting jobs of each queue while this instance leads."""
        self._pending = pending

    def store(self, message: StoreJob, *, timeout_s: float) -> str:
        """Asks another leader to store a row; see `FollowerLink.store`."""
        return self._link.store(message, timeout_s=timeout_s)


class JobNode:
    """All parts of one instance; a context manager that runs them.

    Args:
        cfg: settings.
        ports: the platform.
        clock: source of time.
        metrics: metrics of this instance.
    """

    def __init__(
        self, *, cfg: NodeSettings, ports: PlatformPorts, clock: Clock, metrics: JobMetrics
    ) -> None:
        self._cfg = cfg
        self._metrics = metrics
        self._ports = ports
        self._clock = clock
        self._kernel = Kernel()
        self._states = JobStates(clock=clock)
        self._store = MonitoredStore(store=ports.store, clock=clock, metrics=metrics)
        self.config = ConfigWatch(
            source=ports.config, clock=clock, on_change=self._on_config_change
        )
        self._build_leadership()
        self.intake = JobIntake(
            store=self._store,
            clock=clock,
            wall_ms=_wall_ms,
            states=self._states,
            leader=self._leader,
            store_down_s=lambda: self._store.down_s,
            rng=random.Random(uuid.uuid4().int),
        )
        self._preview_app = ports.make_preview_app(self)
        self._metrics_server = HttpServer(
            address=f"{cfg.ip}:{cfg.metrics_port}",
            threads=METRICS_THREADS,
            app=self._serve_metrics,
            clock=clock,
        )
        self._caller_server = HttpServer(
            address=cfg.callers, threads=CALLER_THREADS, app=ports.make_app(self), clock=clock
        )
        self._health_server = HttpServer(
            address=cfg.health, threads=HEALTH_THREADS, app=self._serve_health, clock=clock
        )

    def __enter__(self) -> "JobNode":
        for name, owner in (
            ("loop", self._loop),
            ("config", self.config),
            ("leader-link", self._leader_link),
            ("follower-link", self._follower_link),
            ("leadership", self._leadership),
            ("callers", self._caller_server),
            ("health", self._health_server),
            ("metrics", self._metrics_server),
        ):
            self._kernel.add(name, lambda _, owner=owner: OwnerService(owner=owner))
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._kernel.stop()

    @property
    def store_refusal(self) -> str:
        """Why a new job would not be stored now, empty if it would be."""
        is_down = self._store.down_s > 0.0 and not self._leader.can_relay
        return "the store is not reached" if is_down else ""

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._caller_server.is_draining

    def update_settings(self, cfg: NodeSettings) -> None:
        """Applies changed settings; see `settingsreloader.LIVE_FIELDS`."""
        self._cfg = cfg

    def drain(self) -> None:
        """Hands the leadership over and finishes callers' requests."""
        _log.info("planned stop begins")
        end_s = self._clock.now_s() + self._cfg.grace_s - STOP_MARGIN_S
        last_connection_s = self._clock.now_s() + LATE_CONNECTION_S
        self._caller_server.begin_drain()
        self._leadership.step_down()
        self._clock.wait_s(threading.Event(), max(0.0, last_connection_s - self._clock.now_s()))
        is_idle = self._caller_server.drain(end_s - self._clock.now_s())
        _log.info("planned stop drained", idle=is_idle)

    def _build_leadership(self) -> None:
        cfg, clock = self._cfg, self._clock
        address = f"{cfg.ip}:{cfg.first_port}"
        slowness = SLOW_MACHINE_DELAY_S * (1 / cfg.cores - UNDELAYED_INVERSE_CORES)
        self._loop = LoopThread(name="io")
        self._leader_link = LeaderLink(address=address, loop=self._loop, clock=clock)
        self._follower_link = FollowerLink(
            instance=cfg.instance,
            loop=self._loop,
            clock=clock,
            states=self._states,
            config=self.config,
            status=self._follower_status,
            on_claim_now=lambda epoch: self._leadership.claim_now(epoch),
        )
        self._leadership = Leadership(
            instance=cfg.instance,
            address=address,
            store=self._store,
            clock=clock,
            rng=random.Random(uuid.uuid4().int),
            make_term=self._make_term,
            leader_link=self._leader_link,
            follower_link=self._follower_link,
            store_for_follower=lambda message: self.intake.relay(message),
            store_age_s=lambda: self._store.answer_age_s,
            preview_for_follower=lambda form: self.previews.relay(form),
            config=self.config,
            slow_machine_delay_s=max(0.0, min(MAX_SLOW_MACHINE_DELAY_S, slowness)),
        )
        self.previews = PreviewService(
            instance=cfg.instance,
            term=lambda: self._leadership.term,
            leader=lambda: self._leadership.leader,
            link=self._follower_link,
            clock=clock,
        )
        self._leader = LeaderProxy(
            link=self._follower_link, is_leading=lambda: self._leadership.term is not None
        )

    def _follower_status(self) -> FollowerStatus:
        return FollowerStatus(
            store_age_s=self._store.answer_age_s,
            rank_s=self._leadership.rank_s,
            stops=self._leadership.is_stopping,
        )

    def _make_term(self, claim: Claim, version: int) -> LeaderTerm:
        ports, policy = self._ports, self._cfg.policy
        _log.info(
            "scheduling policy",
            overload_order=policy.overload_order.value,
            latency_margins=policy.latency_margins.value,
            epoch=claim.epoch,
        )
        # What the last leader did not tell any more may concern jobs that have been moved.
        self._states.drop_live()
        return LeaderTerm(
            store=self._store,
            loop=self._loop,
            workers=ports.workers,
            registry=ports.registry,
            advice=ports.advice,
            clock=self._clock,
            wall_ms=_wall_ms,
            claim=claim,
            claim_version=version,
            lease_s=min(LEASE_S, self._cfg.max_lease_s),
            max_lease_s=self._cfg.max_lease_s,
            view=lambda: self.config.view,
            publish=self._publish,
            metrics=self._metrics,
            policy=policy,
            row_support=RowSupport(
                clock=self._clock,
                earlier_version_age_s=lambda: self._leader_link.earlier_version_age_s,
                one_row_age_s=lambda: self._leader_link.one_row_age_s,
            ),
        )

    def _publish(self, states: dict[str, JobState], pending: dict[str, int] | None) -> None:
        for job_id, state in states.items():
            self._states.update(job_id, state)
        if pending is not None:
            self._leader.set_pending(pending)
        self._leader_link.publish(states, pending)

    def _on_config_change(self, view: ConfigView) -> None:
        term = self._leadership.term
        if term is not None:
            term.configure(view)

    def _serve_health(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """WSGI application of the health address."""
        is_ready = (
            not self.is_draining
            and self.config.view.manifest is not None
            and (self._leader.is_connected or self._store.answer_age_s < READY_STORE_AGE_S)
        )
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    def _serve_metrics(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """WSGI application of the metrics address; operators also ask for previews there."""
        if environ.get("PATH_INFO") == PREVIEW_PATH:
            return self._preview_app(environ, start_response)
        data = self._metrics.render()
        start_response(
            "200 OK", [("Content-Type", METRICS_TYPE), ("Content-Length", str(len(data)))]
        )
        return [data]


def _wall_ms() -> float:
    return time.time() * 1000


def run_node(
    cfg: NodeSettings,
    ports: PlatformPorts,
    clock: Clock,
    metrics: JobMetrics,
    *,
    read_settings: Callable[[], NodeSettings],
    signals: ProcessSignals,
) -> int:
    """Runs an instance until SIGTERM or SIGINT; returns the exit code.

    Args:
        cfg: settings at the start.
        ports: the platform.
        clock: source of time.
        metrics: metrics of this instance.
        read_settings: reads the settings again, after SIGHUP and at regular intervals.
        signals: signals to this process, with their handlers installed.
    """
    reload = SettingsReloader(cfg=cfg, read=read_settings, clock=clock)
    _log.info("instance starts", instance=cfg.instance, zone=cfg.zone, cores=cfg.cores)
    with JobNode(cfg=cfg, ports=ports, clock=clock, metrics=metrics) as node:
        while not signals.is_stop_requested:
            signals.wait(SIGNAL_POLL_S)
            if signals.take_reload_request():
                reload.request_reload()
            if reload.reload_if_due():
                node.update_settings(reload.cfg)
        node.drain()
    _log.info("instance stopped")
    return 0
