"""The leader of the simulation of the jobs: one term, with its writes and its reads."""

from concurrent.futures import Executor, Future

from fescuerudder.errors import StoreOutcomeUnknownError, StoreUnavailableError
from fescuerudder.jobs.claim import Claim
from fescuerudder.jobs.leaderwriter import LeadershipLostError, LeaderWriter
from fescuerudder.jobs.leases import LeasePolicy
from fescuerudder.jobs.scheduler import Scheduler
from fescuerudder.jobs.schedulerstate import Term
from fescuerudder.jobs.storage import CLAIM_KEY, JOBS_TABLE
from fescuerudder.jobs.takeover import load_stored_state, restore_scheduler, split_job_rows

LEASE_S = 4.0
HEARTBEAT_INTERVAL_S = 0.5
REGISTRY_READ_INTERVAL_S = 1.0


class InlineExecutor(Executor):
    """Runs each call immediately in the calling thread."""

    def submit(self, fn, /, *args, **kwargs):
        fut = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


class Leader:
    """One instance during its term as the leader; the simulation drives it."""

    def __init__(self, *, sim, name, epoch, version):
        self.sim = sim
        self.name = name
        self.alive = True
        self.paused_until_s = 0.0
        self.reaches_store = True
        self.batch = None
        self.batch_sent_s = 0.0
        self.is_resolved = True
        self.feed = 0
        self.next_heartbeat_s = 0.0
        self.next_registry_read_s = sim.clock.now_s() + REGISTRY_READ_INTERVAL_S
        claim = Claim(epoch=epoch, instance=name, address="", key="")
        self.writer = LeaderWriter(
            store=sim.store, clock=sim.clock, claim=claim, claim_version=version
        )
        self.leases = LeasePolicy(
            lease_s=LEASE_S,
            confirmed_s=lambda: self.writer.confirmed_s,
            answered_s=lambda: self.writer.answered_s,
            bounded_s=lambda: self.writer.bounded_s,
            max_lease_s=sim.max_lease_s,
        )
        self.scheduler = Scheduler(
            term=Term(epoch=epoch, claim_version=version),
            clock=sim.clock,
            wall_ms=lambda: sim.clock.now_s() * 1000,
            leases=self.leases,
            urgency=sim.urgency,
            policy=sim.policy,
        )
        loaded = load_stored_state(
            store=sim.store,
            clock=sim.clock,
            wall_ms=lambda: sim.clock.now_s() * 1000,
            pool=InlineExecutor(),
        )
        self.scheduler.set_manifest(sim.manifest)
        restore_scheduler(self.scheduler, loaded)
        self.writer.store_clock = loaded.store_clock
        self.writer.inherited_until_ms = loaded.inherited_until_ms(
            claimed_s=sim.clock.now_s(), max_lease_s=sim.max_lease_s
        )
        self.writer.starts_recorded = self.scheduler.state.starts_recorded
        self.scheduler.set_workers(sim.registry())
        self.feed = loaded.version

    @property
    def may_act(self) -> bool:
        return self.alive and self.sim.clock.now_s() >= self.paused_until_s

    def tick(self) -> None:
        if not self.may_act:
            return
        self._read_changes()
        if not self.alive:
            return
        now_s = self.sim.clock.now_s()
        if self.leases.length_s(now_s) > 0:
            for order in self.scheduler.plan():
                self.sim.send(self, order)
        self._write()

    def _read_changes(self) -> None:
        if not self.reaches_store:
            return
        try:
            changes = self.sim.store.changes(table=JOBS_TABLE, after=self.feed, wait_s=0)
        except StoreUnavailableError:
            return
        claim_version = self.scheduler.state.term.claim_version
        if any(row.key == CLAIM_KEY and row.version > claim_version for row in changes.rows):
            self.alive = False
            return
        self.feed = changes.version
        jobs, cancels = split_job_rows(list(changes.rows))
        self.scheduler.add_jobs(jobs)
        self.scheduler.cancel(cancels)
        now_s = self.sim.clock.now_s()
        if self.sim.lagging_registry is None or now_s >= self.next_registry_read_s:
            self.next_registry_read_s = now_s + REGISTRY_READ_INTERVAL_S
            self.scheduler.set_workers(self.sim.registry())

    def _write(self) -> None:
        if not self.reaches_store:
            return
        now_s = self.sim.clock.now_s()
        try:
            if not self.is_resolved:
                self.writer.resolve()
                self.is_resolved = True
            if self.batch is None:
                if now_s < self.next_heartbeat_s and not self.scheduler.needs_write:
                    return
                self.batch, self.batch_sent_s = self.scheduler.take_progress(), now_s
            if now_s < self.batch_sent_s + self.sim.store_write_s:
                return
            rejected = self.writer.write(
                self.batch.rows,
                pending=self.batch.pending,
                deletes=self.batch.deletes,
                leader_rows=self.batch.leader_rows(),
                starts_recorded=self.batch.starts_recorded,
                leases_until_s=self.batch.leases_until_s,
            )
        except LeadershipLostError:
            self.alive = False
            return
        except StoreOutcomeUnknownError:
            self.is_resolved = False
            return
        except StoreUnavailableError:
            return
        if self.sim.store_write_s:
            self.writer.confirmed_s = self.batch_sent_s
        self.scheduler.on_stored(self.batch, rejected={group.name for group in rejected})
        if self.leases.length_s(now_s) > 0:
            for order in self.scheduler.take_starts():
                self.sim.send(self, order)
        self.batch = None
        self.next_heartbeat_s = now_s + HEARTBEAT_INTERVAL_S
