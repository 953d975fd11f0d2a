"""One instance that serves jobs: takes callers' requests and leads when nobody else does."""

import random
import signal
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import pykka
import structlog

from fescuerudder.clock import Clock
from fescuerudder.httpserver import HttpServer
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.configview import ConfigSource, ConfigView
from fescuerudder.jobs.configwatch import ConfigWatch
from fescuerudder.jobs.intake import JobIntake, JobStates
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.leader import LeaderTerm, WorkerRegistry
from fescuerudder.jobs.leadership import Leadership
from fescuerudder.jobs.nodesettings import NodeSettings
from fescuerudder.jobs.rows import RowStore
from fescuerudder.jobs.workerport import WorkerPort
from fescuerudder.kernel import Kernel
from fescuerudder.service import OwnerService

CALLER_THREADS = 16
HEALTH_THREADS = 2
LEASE_S = 5.0
"""A new leader needs up to four seconds to renew the leases of its predecessor."""

FRESH_S = 3.0
SIGNAL_POLL_S = 0.5
STOP_MARGIN_S = 1.5
"""Time between the end of a planned stop and the kill."""

ASK_S = 0.5

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class Ports:
    """What an instance needs of the platform.

    Args:
        store: the row store.
        workers: sends orders to workers.
        registry: lists workers.
        config: reads what operators wrote.
        make_app: creates the callers' WSGI application of an instance.
    """

    store: RowStore
    workers: WorkerPort
    registry: WorkerRegistry
    config: ConfigSource
    make_app: Callable[["JobNode"], Any]


class JobNode:
    """All parts of one instance; a context manager that runs them.

    Args:
        cfg: settings.
        ports: the platform.
        clock: source of time.
    """

    def __init__(self, *, cfg: NodeSettings, ports: Ports, clock: Clock) -> None:
        self._cfg = cfg
        self._ports = ports
        self.clock = clock
        self._kernel = Kernel()
        self.config = ConfigWatch(source=ports.config, clock=clock, on_change=self._configure)
        self._leadership = Leadership(
            instance=cfg.instance,
            address=f"{cfg.ip}:{cfg.first_port}",
            store=ports.store,
            clock=clock,
            rng=random.Random(uuid.uuid4().int),
            make_term=self._make_term,
        )
        self.intake = JobIntake(
            store=ports.store, clock=clock, states=JobStates(), ask_leader=self._ask_leader
        )
        self._callers = HttpServer(
            address=cfg.callers, threads=CALLER_THREADS, app=ports.make_app(self), clock=clock
        )
        self._health = HttpServer(
            address=cfg.health, threads=HEALTH_THREADS, app=self._serve_health, clock=clock
        )

    def __enter__(self) -> "JobNode":
        for name, owner in (
            ("config", self.config),
            ("leadership", self._leadership),
            ("callers", self._callers),
            ("health", self._health),
        ):
            self._kernel.add(name, lambda _, owner=owner: OwnerService(owner=owner))
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._kernel.stop()

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._callers.is_draining

    def drain(self) -> None:
        """Hands the leadership over and finishes callers' requests."""
        _log.info("planned stop begins")
        self._leadership.__exit__()
        self._callers.drain(self._cfg.grace_s - STOP_MARGIN_S)

    def _make_term(self, claim: Claim, version: int) -> LeaderTerm:
        ports = self._ports
        return LeaderTerm(
            store=ports.store,
            workers=ports.workers,
            registry=ports.registry,
            clock=self.clock,
            wall_ms=lambda: time.time() * 1000,
            claim=claim,
            claim_version=version,
            lease_s=min(LEASE_S, self._cfg.max_lease_s),
            view=lambda: self.config.view,
        )

    def _configure(self, view: ConfigView) -> None:
        term = self._leadership.term
        if term is not None:
            term.configure(view)

    def _ask_leader(self, job_id: str) -> JobState | None:
        term = self._leadership.term
        if term is None:
            return None
        try:
            return term.ask(lambda scheduler: scheduler.visible.get(job_id), timeout_s=ASK_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            return None

    def _serve_health(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """WSGI application of the health address."""
        confirmed_s = self.config.confirmed_s
        is_ready = (
            not self.is_draining
            and self.config.view.manifest is not None
            and confirmed_s is not None
            and self.clock.now_s() - confirmed_s < FRESH_S
        )
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


def run_node(cfg: NodeSettings, ports: Ports, clock: Clock) -> int:
    """Runs an instance until SIGTERM; returns the exit code."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    _log.info("instance starts", instance=cfg.instance, zone=cfg.zone, cores=cfg.cores)
    with JobNode(cfg=cfg, ports=ports, clock=clock) as node:
        while not stop.wait(SIGNAL_POLL_S):
            pass
        node.drain()
    _log.info("instance stopped")
    return 0
