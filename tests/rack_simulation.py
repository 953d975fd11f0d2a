"""Simulation of two racks, three entry instances and a table, in memory on one manual clock."""

from collections.abc import Callable
from concurrent.futures import Future
from random import Random

import attrs
from result import Err, Ok

from fescuerudder.clock import ManualClock
from fescuerudder.document import ServiceDocument, Size
from fescuerudder.errors import PlatformError
from fescuerudder.ownership_types import RackLease
from fescuerudder.rack import RackController
from fescuerudder.rackevents import RackEvent
from fescuerudder.rackports import RackWorker
from fescuerudder.submission import Submission
from fescuerudder.table import ABSENT, Check, Put, Transaction
from fescuerudder.task import load_task
from fescuerudder.transitions import rack_key
from tests.fake_worker import FakeWorker, Witness, WorkerAddress
from tests.fakes import FakeTable

TICK_S = 0.5
SESSION_TTL_S = 4.0
VIEW_FRESH_S = 1.5
OUTAGE_RUN_S = 10.0


class FakeCommitter:
    """Committer that applies each transaction on its own."""

    def __init__(self, *, table: FakeTable, on_applied=lambda: None) -> None:
        self._table, self._on_applied = table, on_applied

    def commit(self, txn: Transaction):
        try:
            versions = self._table.transact(txn)
        except PlatformError as exc:
            return Err(exc)
        self._on_applied()
        return Ok(versions)

    def submit(self, txn: Transaction):
        fut: Future = Future()
        fut.set_result(self.commit(txn))
        return fut


@attrs.define
class FakeConfig:
    services: dict
    zones: dict


class FakeView:
    """Source of the configuration as of its last poll."""

    def __init__(self, *, clock: ManualClock, config: FakeConfig) -> None:
        self._clock, self._config = clock, config
        self._confirmed_s = -100.0
        self.poll()

    def poll(self) -> None:
        self._known = FakeConfig(dict(self._config.services), dict(self._config.zones))
        self._confirmed_s = self._clock.now_s()

    def current(self) -> FakeConfig:
        return self._known

    def is_fresh(self) -> bool:
        return self._clock.now_s() - self._confirmed_s <= VIEW_FRESH_S


class FakeSession:
    """Session that is live for `SESSION_TTL_S` after its last heartbeat."""

    def __init__(self, *, clock: ManualClock) -> None:
        self._clock = clock
        self._beat_s = clock.now_s()
        self.fenced = False
        self.is_fenced_in_store = False

    def beat(self) -> None:
        self.fenced |= self.is_fenced_in_store
        if not self.fenced:
            self._beat_s = self._clock.now_s()

    def last_beat_s(self) -> float:
        return self._beat_s

    def last_live_s(self) -> float:
        return self._beat_s + SESSION_TTL_S

    def is_live(self) -> bool:
        return not self.fenced and self._clock.now_s() < self.last_live_s()


class Instance:
    """An entry instance that owns at most one rack."""

    def __init__(self, *, name: str, sim: "RackSimulation") -> None:
        self.name, self._sim = name, sim
        self.is_paused = False
        self.is_view_stalled = False
        self.rejoin()

    def rejoin(self) -> None:
        self.controller: RackController | None = None
        self.session = FakeSession(clock=self._sim.clock)
        self.view = FakeView(clock=self._sim.clock, config=self._sim.config)

    def take_rack(self, lease: RackLease) -> None:
        self.controller = self.make_controller(lease)

    def make_controller(self, lease: RackLease) -> RackController:
        sim = self._sim
        return RackController(
            rack=lease.rack,
            zone=sim.racks[lease.rack][0].zone,
            lease=lease,
            committer=FakeCommitter(
                table=sim.table, on_applied=lambda: sim.check_write_epoch(lease)
            ),
            table=sim.table,
            workers=lambda: sim.members(lease.rack),
            clock=sim.clock,
            view=self.view,
            session=self.session,
            rng=Random(1),
            summaries=sim.summaries,
            may_be_in_use=lambda worker, service: (worker, service) in sim.in_use,
            new_id=sim.new_id,
            observe=sim.events.append,
        )

    def tick(self) -> None:
        if self.is_paused:
            return
        if self.controller is not None:
            self.controller.step()
        if not self._sim.table.down:
            self.session.beat()
            if not self.is_view_stalled:
                self.view.poll()
        if self.session.fenced:
            self.rejoin()

    def suspend(self, seconds: float) -> None:
        """Pauses the instance, also in the middle of a call, while simulated time passes."""
        was_paused, self.is_paused = self.is_paused, True
        self._sim.advance(seconds)
        self.is_paused = was_paused


class RackSimulation:
    """The simulated site, with the actions of tests."""

    def __init__(self, *, services: list[ServiceDocument]) -> None:
        self.clock = ManualClock(start_s=1000.0)
        self.table = FakeTable()
        self.witness = Witness(clock=self.clock)
        self.config = FakeConfig({doc.name: doc for doc in services}, {"a": "in", "b": "in"})
        self.racks = {
            "r1": [self._worker("w1", "a", 50.0), self._worker("w2", "a", -300.0)],
            "r2": [self._worker("w3", "b", 7.0)],
        }
        self.workers = {w.name: w for group in self.racks.values() for w in group}
        self.addresses = {name: WorkerAddress(worker=w) for name, w in self.workers.items()}
        self.events: list[RackEvent] = []
        self.in_use: set[tuple[str, str]] = set()
        self._ids = 0
        self._submitted = 0
        self.task_ids: list[str] = []
        self._final: dict[str, str] = {}
        self._due: list[tuple[float, Callable[[], None]]] = []
        self.instances = {name: Instance(name=name, sim=self) for name in ("A", "B", "C")}
        self.claim("A", "r1")
        self.claim("C", "r2")
        self.tasks = Submission(
            table=self.table,
            committer=FakeCommitter(table=self.table),
            view=self.instances["C"].view,
            summaries=self.summaries,
            rng=Random(2),
            wall_s=self.clock.now_s,
            new_id=self.new_id,
        )
        self.advance(1.5)

    def _worker(self, name: str, zone: str, offset_s: float) -> FakeWorker:
        return FakeWorker(
            name=name, clock=self.clock, witness=self.witness, zone=zone, offset_s=offset_s
        )

    def members(self, rack: str) -> dict[str, RackWorker]:
        """Returns the workers of a rack in the membership list."""
        names = [w.name for w in self.racks[rack]]
        return {name: RackWorker(id=name, control=self.addresses[name]) for name in names}

    def take_address(self, name: str, *, former: str, is_listed: bool) -> None:
        """Starts a worker on the address of a former one, which answers there no more.

        Args:
            name: id of the new worker.
            former: id of the worker that had the address.
            is_listed: whether the membership list shows the new worker in place of the former.
        """
        old = self.workers[former]
        new = self.workers[name] = self._worker(name, old.zone, 20.0)
        self.addresses[former].worker = new
        if is_listed:
            self.addresses[name] = self.addresses[former]
            group = next(group for group in self.racks.values() if old in group)
            group[group.index(old)] = new

    def new_id(self) -> str:
        self._ids += 1
        return f"txn-{self._ids}"

    def summaries(self):
        instances = self.instances.values() if hasattr(self, "instances") else ()
        return [i.controller.summary() for i in instances if i.controller is not None]

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / TICK_S)):
            self.clock.advance(seconds=TICK_S)
            for worker in self.workers.values():
                worker.expire()
            self._run_due()
            for instance in list(self.instances.values()):
                instance.tick()
            self._replace_lost_owner()

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Runs an action once `seconds` have passed."""
        self._due.append((self.clock.now_s() + seconds, action))

    def _run_due(self) -> None:
        now_s = self.clock.now_s()
        due = [action for at_s, action in self._due if at_s <= now_s]
        self._due = [(at_s, action) for at_s, action in self._due if at_s > now_s]
        for action in due:
            action()

    def _replace_lost_owner(self) -> None:
        """Lets another instance claim rack r1 as soon as the protocol allows it."""
        for name in ("A", "B"):
            if not self.instances[name].is_paused:
                self.claim(name, "r1")
        self.claim("C", "r2")

    def check_write_epoch(self, lease: RackLease) -> None:
        """Records a violation if an owner wrote after it was replaced."""
        if self.owner_of(lease.rack)[1] != lease.epoch:
            self.witness.violations.append(f"epoch {lease.epoch} of {lease.rack} wrote late")

    def owner_of(self, rack: str) -> tuple[str, int, int]:
        """Returns owner, epoch and version of a rack."""
        rows = self.table.state.read(keys=[rack_key(rack)], prefixes=[])
        if not rows:
            return "", 0, ABSENT
        return rows[0].value["owner"], rows[0].value["epoch"], rows[0].version

    def claim(self, name: str, rack: str) -> None:
        """Claims a rack that has no owner or whose owner's session expired."""
        owner = self.owner_of(rack)[0]
        if self.instances[name].controller is not None or self.table.down:
            return
        if owner:
            session = self.instances[owner].session
            # Without a controller the owning incarnation has ended; the next one owns nothing yet.
            if self.instances[owner].controller is not None:
                if session.is_live():
                    return
                session.is_fenced_in_store = True
        self._write_claim(name, rack, planned=False)

    def hand_over(self, owner: str, successor: str, rack: str) -> None:
        """Hands a rack over to another instance, as a planned stop does."""
        owner_instance = self.instances[owner]
        busy = (
            self.instances[successor].controller is not None or self.instances[successor].is_paused
        )
        if (
            self.owner_of(rack)[0] != owner
            or owner_instance.controller is None
            or owner_instance.is_paused
            or busy
        ):
            return
        if self.table.down or owner_instance.session.is_fenced_in_store:
            return
        owner_instance.controller.stop()
        owner_instance.controller = None
        self._write_claim(successor, rack, planned=True)

    def _write_claim(self, name: str, rack: str, *, planned: bool) -> None:
        _, epoch, version = self.owner_of(rack)
        put = Put(key=rack_key(rack), value={"owner": name, "epoch": epoch + 1})
        check = Check(key=rack_key(rack), version=version)
        try:
            versions = self.table.transact(Transaction(checks=(check,), puts=(put,)))
        except PlatformError:
            return
        lease = RackLease(
            rack=rack,
            epoch=epoch + 1,
            version=versions[rack_key(rack)],
            gained_at_s=self.clock.now_s(),
            planned=planned,
            continuous=version == ABSENT,
        )
        self.instances[name].take_rack(lease)

    def set_zone(self, zone: str, state: str) -> None:
        if self.table.down or self.config.zones[zone] == state:
            return
        self.config.zones[zone] = state
        if state == "out":
            self.witness.zones[zone] = self.clock.now_s()
        else:
            self.witness.zones.pop(zone, None)

    def submit(self, service: str, *, urgent: bool = False):
        self._submitted += 1
        answer = self.tasks.submit(
            service=service, payload="x", urgent=urgent, idempotency_key=str(self._submitted)
        )
        if isinstance(answer, Ok):
            self.task_ids.append(answer.ok_value.id)
        return answer

    def rows(self) -> dict:
        rows = self.table.state.read(keys=[], prefixes=["task/"])
        return {row.key.removeprefix("task/"): load_task(row.value) for row in rows}

    def finish_all(self) -> None:
        for worker in self.workers.values():
            if not worker.is_cut_off:
                for attempt in worker.running():
                    worker.end(attempt.task)

    def heal(self) -> None:
        """Ends every fault, returns all zones to service and cancels scheduled actions."""
        self.table.down = False
        self.table.lose_answers = self.table.drop_writes = 0
        for worker in self.workers.values():
            worker.is_cut_off = worker.loses_answers = worker.is_broken = False
            worker.before_start = None
            worker.carry_out_late()
        for name, address in self.addresses.items():
            address.worker = self.workers[name]
        for instance in self.instances.values():
            instance.is_paused = instance.is_view_stalled = False
        for zone in self.config.zones:
            self.set_zone(zone, "in")
        self._due.clear()
        self.table.before_transact = None

    def check(self) -> None:
        """Raises if a guarantee was violated."""
        assert self.witness.violations == [], self.witness.violations
        for task_id, task in self.rows().items():
            before = self._final.get(task_id)
            assert before in (None, task.state), f"{task_id} was {before}, is {task.state}"
            if task.is_final:
                self._final[task_id] = task.state


def batch(name: str, team: str, *, processors: float = 3, quota: float = 12) -> ServiceDocument:
    """Returns a batch service of one team."""
    return ServiceDocument(
        name=name,
        team=team,
        kind="batch",
        size=Size(processors=processors, memory_mb=1000),
        quota=Size(processors=quota, memory_mb=16000),
        outage_run_s=OUTAGE_RUN_S,
    )
