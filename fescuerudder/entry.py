"""The entry instance: assembles the services of one process and runs them until a signal."""

import random
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import structlog

from fescuerudder.burn import BurnRecorder, objectives_of
from fescuerudder.clock import Clock, SystemClock
from fescuerudder.configuration import Configurator
from fescuerudder.effectiveview import EffectiveView
from fescuerudder.errors import PeerError, WorkerUnreachableError
from fescuerudder.frontend import Frontend
from fescuerudder.groupcommit import GroupCommitter, PromptCommitter
from fescuerudder.idempotency import IdempotencyRecords
from fescuerudder.interference import make_remedies
from fescuerudder.kernel import Kernel
from fescuerudder.logs import configure_logs
from fescuerudder.membership import Membership
from fescuerudder.messages import Hello, PermitAsk, PermitReply, TaskHint
from fescuerudder.metrics import Metrics
from fescuerudder.observedrouter import ObservedRouter
from fescuerudder.observedtable import ObservedTable
from fescuerudder.operators import OperatorOperations, TaskOperations
from fescuerudder.ownership import Ownership
from fescuerudder.ownership_types import RackLease
from fescuerudder.peermessages import Notifier, PeerMessageReceiver
from fescuerudder.peers import MessageHandlers, PeerClients, PeerServer
from fescuerudder.permitholder import PermitHolder
from fescuerudder.permits import PermitGranter
from fescuerudder.permitservice import PermitService, run_exchange
from fescuerudder.placement import make_placement
from fescuerudder.processsignals import COMMAND_SIGNALS, PROCESS_SIGNALS
from fescuerudder.rack import RackController
from fescuerudder.racks import Racks
from fescuerudder.rackstate import LearnedModels
from fescuerudder.recording import Recording
from fescuerudder.replicas import ReplicaController
from fescuerudder.reporting import EventReporter
from fescuerudder.retention import RecordSweeper
from fescuerudder.routes import WorkerRoute, make_routes
from fescuerudder.routing import Router, make_balancer
from fescuerudder.service import OwnerService, PeriodicService
from fescuerudder.session import (
    SESSION_BEAT_S,
    IncarnationSession,
    SessionKeeper,
    SessionObserver,
)
from fescuerudder.settings import Settings
from fescuerudder.submission import Submission
from fescuerudder.table import HttpTable, new_txn_id
from fescuerudder.upstream import Upstream
from fescuerudder.view import VIEW_POLL_S, ViewKeeper

PEER_ASK_TIMEOUT_S = 0.5
LIST_POLL_S = 1.0
RACKS_STEP_S = 0.5
ROUTES_STEP_S = 0.5
UPKEEP_S = 1.0
STATUS_THREADS = 16
EXCHANGE_THREADS = 8
SIGNAL_POLL_S = 0.5
HANDOVER_TRIES = 5
HANDOVER_PAUSE_S = 0.3

_log = structlog.get_logger(__name__)


class EntryInstance:
    """All parts of one entry instance; a context manager that runs them.

    Args:
        cfg: checked settings.
        clock: clock of this machine.
    """

    def __init__(self, *, cfg: Settings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._rng = random.Random(uuid.uuid4().int)
        self._kernel = Kernel()
        self._pool = ThreadPoolExecutor(STATUS_THREADS, thread_name_prefix="worker-control")
        self._exchanges = ThreadPoolExecutor(EXCHANGE_THREADS, thread_name_prefix="permits")
        self._learned = LearnedModels()
        self._build_state()
        self._build_scheduling()
        self._build_requests()

    def __enter__(self) -> "EntryInstance":
        self._start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._kernel.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._exchanges.shutdown(wait=False, cancel_futures=True)

    def shut_down(self) -> None:
        """Ends gracefully: hands racks over, finishes requests, then stops all services."""
        _log.info("planned stop begins")
        self._keeper.start_draining()
        self._membership.beat()
        self._hand_over()
        is_idle = self._frontend.drain(self._cfg.drain_s)
        self._records.flush()
        _log.info("planned stop drained", idle=is_idle)
        self._membership.leave()

    def _build_state(self) -> None:
        cfg, clock = self._cfg, self._clock
        self._metrics = Metrics(instance=cfg.instance)
        self._store = HttpTable(address=cfg.store)
        self._table = ObservedTable(table=self._store, metrics=self._metrics, clock=clock)
        self._committer = GroupCommitter(table=self._table, clock=clock)
        self._view = ViewKeeper(table=self._table, clock=clock)
        self._configurator = Configurator(
            instance=cfg.instance, table=self._table, view=self._view, clock=clock, rng=self._rng
        )
        self._effective = EffectiveView(view=self._view, configurator=self._configurator)
        self._keeper = SessionKeeper(
            instance=cfg.instance,
            zone=cfg.zone,
            region=cfg.region,
            peer=cfg.peer,
            http=cfg.http,
            table=self._table,
            clock=clock,
        )
        self._observer = SessionObserver(clock=clock)
        self._handlers = MessageHandlers()
        self._server = PeerServer(address=cfg.peer, key=cfg.peer_key, handler=self._handlers)
        self._clients = PeerClients(key=cfg.peer_key, hello=self._hello, clock=clock, rng=self._rng)
        self._notifier = Notifier(
            instance=cfg.instance, clients=self._clients, handlers=self._handlers
        )
        self._ownership = Ownership(
            keeper=self._keeper,
            observer=self._observer,
            table=self._table,
            clock=clock,
            before_release=lambda lease: self._racks.release(lease),
            tell=self._notifier.tell,
        )

    def _build_scheduling(self) -> None:
        cfg = self._cfg
        self._racks = Racks(owned=self._ownership.owned, make=self._make_rack)
        self._membership = Membership(
            cfg=cfg,
            clock=self._clock,
            table=self._table,
            keeper=self._keeper,
            observer=self._observer,
            ownership=self._ownership,
            clients=self._clients,
            racks=self._racks,
            tell=self._notifier.tell,
        )
        self._submission = Submission(
            table=self._table,
            committer=self._committer,
            view=self._effective,
            summaries=self._membership.summaries,
            rng=self._rng,
            wall_s=time.time,
            on_change=self._hint,
        )
        self._replicas = ReplicaController(
            instance=cfg.instance,
            live=lambda: self._observer.live(),
            table=self._table,
            committer=self._committer,
            view=self._effective,
            summaries=self._membership.summaries,
            clock=self._clock,
            rng=self._rng,
            wall_s=time.time,
            on_change=self._hint,
        )

    def _build_requests(self) -> None:
        cfg, clock = self._cfg, self._clock
        self._burn = BurnRecorder(instance=cfg.instance, read_time_s=time.time)
        self._reporter = EventReporter(metrics=self._metrics, burn=self._burn)
        self._recording = Recording(clock=clock, instance=cfg.instance, enabled=cfg.record)
        self._upstream = Upstream(clock=clock, new_id=lambda: uuid.uuid4().hex)
        self._holder = PermitHolder(
            clock=clock,
            rng=self._rng,
            ask=self._ask_permits,
            probe=self._probe,
            run=self._run_exchange,
            on_drop=self._upstream.discard,
        )
        self._balancer = make_balancer(
            policy=cfg.routing, clock=clock, rng=self._rng, holder=self._holder
        )
        self._records = IdempotencyRecords(
            table=self._table,
            committer=PromptCommitter(committer=self._committer),
            is_live=self._observer.is_live,
            instance=cfg.instance,
            incarnation=lambda: self._keeper.incarnation,
            new_id=new_txn_id,
        )
        self._sweeper = RecordSweeper(
            instance=cfg.instance,
            live=lambda: self._observer.live(),
            table=self._table,
            committer=self._committer,
            wall_s=time.time,
        )
        self._router = Router(
            clock=clock,
            balancer=self._balancer,
            forwarder=self._upstream,
            records=self._records,
            is_known=self._is_known,
            sheds=cfg.shedding == "expected_wait",
        )
        self._receiver = PeerMessageReceiver(
            instance=cfg.instance,
            racks=self._racks,
            holder=self._holder,
            view=self._view,
            configurator=self._configurator,
            ownership=self._ownership,
            keeper=self._keeper,
            wake=lambda service: self._kernel.find(service).wake(),
        )
        self._frontend = Frontend(
            address=cfg.http,
            threads=cfg.threads,
            operator_key=cfg.operator_key,
            clock=clock,
            new_id=lambda: uuid.uuid4().hex,
            router=ObservedRouter(
                router=self._router,
                metrics=self._metrics,
                burn=self._burn,
                recording=self._recording,
                clock=clock,
            ),
            tasks=TaskOperations(submission=self._submission, recording=self._recording),
            operations=OperatorOperations(
                configurator=self._configurator,
                view=self._view,
                table=self._table,
                metrics=self._metrics,
                burn=self._burn,
                recording=self._recording,
                read_status=self._read_status,
                tell_all=self._notifier.tell_all,
            ),
        )

    def _start(self) -> None:
        """Adds all services to the kernel, in the order in which they depend on each other."""
        self._receiver.register(self._handlers)
        self._metrics.watch_view_age(lambda: self._clock.now_s() - self._view.current().sent_at_s)
        self._add_owner("store", self._store)
        self._add_owner("commit", self._committer)
        self._add_owner("metrics", self._metrics)
        self._add_owner("peer-clients", self._clients)
        self._add_owner("peer-server", self._server)
        self._add_owner("members", self._membership)
        self._add_owner("racks-running", self._racks)
        self._add_owner("upstream", self._upstream)
        self._add_periodic("view", VIEW_POLL_S, self._view.poll)
        self._add_periodic("member-list", LIST_POLL_S, self._membership.read_list)
        self._add_periodic("session", SESSION_BEAT_S, self._membership.step)
        self._add_periodic("racks", RACKS_STEP_S, self._racks.step)
        self._add_periodic("routes", ROUTES_STEP_S, self._update_routes)
        self._add_periodic("replicas", UPKEEP_S, self._replicas.step)
        self._add_periodic("retention", UPKEEP_S, self._sweeper.step)
        self._add_periodic("upkeep", UPKEEP_S, self._do_upkeep)
        self._kernel.add("permits", lambda _: PermitService(holder=self._holder))
        self._add_owner("frontend", self._frontend)

    def _add_owner(self, name: str, owner: Any) -> None:
        self._kernel.add(name, lambda _: OwnerService(owner=owner))

    def _add_periodic(self, name: str, interval_s: float, step: Callable[[], Any]) -> None:
        self._kernel.add(
            name, lambda _: PeriodicService(name=name, interval_s=lambda: interval_s, step=step)
        )

    def _hello(self) -> Hello:
        return Hello(
            instance=self._cfg.instance,
            incarnation=self._keeper.incarnation,
            zone=self._cfg.zone,
        )

    def _hint(self, rack: str, task_id: str) -> None:
        """Tells the owner of a rack about a task, here or at a peer."""
        if self._racks.hint(rack, task_id):
            return
        owner = self._membership.owner_of(rack)
        if owner is not None:
            self._notifier.tell(owner, TaskHint(rack=rack, task=task_id))

    def _make_rack(self, lease: RackLease) -> tuple[RackController, PermitGranter]:
        # The keeper's incarnation is that of the lease, since Racks calls this under its lock after
        # `owned`, and only Membership rejoins, after a `Racks.step` that takes the same lock.
        session = IncarnationSession(keeper=self._keeper)
        granter = PermitGranter(
            rack=lease.rack,
            epoch=lease.epoch,
            clock=self._clock,
            is_owner=session.is_live,
            reaches_all=self._reaches_all,
            tell=self._notifier.tell_any,
        )
        controller = RackController(
            rack=lease.rack,
            zone=self._membership.zone_of(lease.rack),
            lease=lease,
            committer=self._committer,
            table=self._table,
            workers=lambda: self._membership.workers_of(lease.rack),
            clock=self._clock,
            view=self._effective,
            session=session,
            rng=self._rng,
            summaries=self._membership.summaries,
            learned=self._learned,
            placement=make_placement(policy=self._cfg.placement, slowdowns=self._learned.slowdowns),
            remedies=make_remedies(policy=self._cfg.remedy, slowdowns=self._learned.slowdowns),
            may_be_in_use=granter.may_be_in_use,
            observe=self._reporter,
            run_all=self._run_all,
        )
        return controller, granter

    def _reaches_all(self) -> bool:
        """Returns whether a connection to every other live instance stands."""
        return set(self._observer.live()) - {self._cfg.instance} <= set(self._clients.connected())

    def _run_all(self, calls: list[Callable[[], Any]]) -> list[Any]:
        return [fut.result() for fut in [self._pool.submit(call) for call in calls]]

    def _ask_permits(self, rack: str, ask: PermitAsk) -> PermitReply:
        if rack in self._racks.leases():
            return self._racks.answer(self._cfg.instance, ask)
        owner = self._membership.owner_of(rack)
        if owner is None or owner == self._cfg.instance:
            raise PeerError(f"rack {rack} has no reachable owner")
        reply = self._clients.ask(owner, ask, PEER_ASK_TIMEOUT_S)
        if not isinstance(reply, PermitReply) or not reply.is_owner:
            raise PeerError(f"{owner} does not own rack {rack}")
        return reply

    def _run_exchange(self, work: Callable[[], None]) -> None:
        self._exchanges.submit(run_exchange, work)

    def _probe(self, route: WorkerRoute) -> bool:
        control = self._membership.control_of(route.worker)
        if control is None:
            return False
        try:
            return not control.status().leaving
        except WorkerUnreachableError:
            return False

    def _is_known(self, service: str) -> bool:
        doc = self._view.current().services.get(service)
        return doc is not None and doc.kind == "latency-critical"

    def _update_routes(self) -> None:
        routes = make_routes(
            summaries=self._membership.summaries_by_rack(),
            members=self._membership.members(),
            zones_out=self._configurator.zones_out(),
            region=self._cfg.region,
        )
        self._balancer.update_racks(routes)

    def _do_upkeep(self) -> None:
        """Retries what waits for the store and refreshes gauges."""
        self._records.flush()
        self._burn.set_objectives(objectives_of(self._view.current().services.values()))
        self._metrics.set_leases(count=sum(s.running for s in self._racks.summaries()))
        for notice in self._configurator.notices():
            self._notifier.tell_all(notice)
        # Also without notices: a settled drain ends only once the view shows what replaced it.
        self._configurator.settle()
        for service, length in self._router.waiting().items():
            self._metrics.set_queue_length(service=service, length=length)
            self._metrics.set_permits(service=service, held=self._holder.held(service))

    def _hand_over(self) -> None:
        for _ in range(HANDOVER_TRIES):
            if self._ownership.hand_over_all():
                return
            time.sleep(HANDOVER_PAUSE_S)
        _log.warning("some racks were not handed over")

    def _read_status(self) -> dict[str, Any]:
        view = self._view.current()
        return {
            "instance": self._cfg.instance,
            "incarnation": self._keeper.incarnation,
            "zone": self._cfg.zone,
            "region": self._cfg.region,
            "session": {"live": self._keeper.is_live(), "fenced": self._keeper.fenced},
            "revision": view.revision,
            "fresh": self._view.is_fresh(),
            "peers": self._clients.connected(),
            "racks": [
                {
                    "rack": summary.rack,
                    "zone": summary.zone,
                    "epoch": summary.epoch,
                    "tasks": summary.running,
                    "queue_length": summary.queue_length,
                    "workers": [
                        {"worker": up.worker, "leaving": up.leaving, "services": up.services}
                        for up in summary.upstreams
                    ],
                }
                for summary in self._racks.summaries()
            ],
            "waiting": self._router.waiting(),
        }


def run_entry(cfg: Settings) -> int:
    """Runs an entry instance until SIGTERM or SIGINT; returns the exit code."""
    configure_logs(level=cfg.log_level, instance=cfg.instance)
    # `__main__` has installed them already, unless another program calls this function.
    PROCESS_SIGNALS.install(COMMAND_SIGNALS["entry"])
    if PROCESS_SIGNALS.is_stop_requested:
        return 0
    with EntryInstance(cfg=cfg, clock=SystemClock()) as instance:
        _log.info("entry instance serves", http=cfg.http, peer=cfg.peer, zone=cfg.zone)
        # A signal that arrives while the process is suspended does not wake a plain wait.
        while not PROCESS_SIGNALS.is_stop_requested:
            PROCESS_SIGNALS.wait(SIGNAL_POLL_S)
        instance.shut_down()
    _log.info("entry instance ended")
    return 0
