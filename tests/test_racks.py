"""The control loop and the granter of a rack outlive a handover that does not take place."""

import threading

import attrs
import pytest

from fescuerudder import racks as racks_module
from fescuerudder.clock import ManualClock
from fescuerudder.entry import EntryInstance
from fescuerudder.messages import PermitAsk
from fescuerudder.ownership_types import RackLease
from fescuerudder.permits import PermitGranter
from fescuerudder.racks import Racks
from fescuerudder.settings import Settings
from tests.fakes import FakeTable
from tests.rack_simulation import RackSimulation, batch


class IdleService:
    """Service without a thread; the simulation runs the steps."""

    def __init__(self, *, name, interval_s, step) -> None:
        pass

    def start(self) -> None:
        pass

    def wake(self) -> None:
        pass

    def stop(self) -> None:
        pass


class OwnedRacks:
    """The racks of instance A of a simulation, which owns rack r1 for the first time."""

    def __init__(self, *, sim) -> None:
        self.sim = sim
        self.made = 0
        _, epoch, version = sim.owner_of("r1")
        self.lease = RackLease(
            rack="r1",
            epoch=epoch,
            version=version,
            gained_at_s=sim.clock.now_s(),
            planned=False,
            continuous=True,
        )
        self.owned = {"r1": self.lease}
        self.racks = Racks(owned=lambda: dict(self.owned), make=self._make)
        self.step()

    def _make(self, lease):
        self.made += 1
        granter = PermitGranter(rack=lease.rack, epoch=lease.epoch, clock=self.sim.clock)
        return self.sim.instances["A"].make_controller(lease), granter

    def step(self) -> None:
        self.racks.step()
        running = self.racks._running.get("r1")
        self.sim.instances["A"].controller = running and running.controller

    def fail_handover(self, **changes) -> None:
        """Prepares a handover that is not written, and goes on with the rack.

        Args:
            changes: what differs in the lease after it was read anew.
        """
        self.racks.release(self.lease)
        self.sim.instances["A"].controller = None
        self.owned["r1"] = self.lease = attrs.evolve(self.lease, **changes)
        self.step()


@pytest.fixture
def owned(monkeypatch):
    monkeypatch.setattr(racks_module, "PeriodicService", IdleService)
    sim = RackSimulation(services=[batch("draw", "secretariat")])
    sim.workers["w3"].leaving = True
    owned = OwnedRacks(sim=sim)
    sim.advance(2)
    return owned


CHANGES = pytest.mark.parametrize("changes", [{}, {"gained_at_s": 1005.0}], ids=["kept", "reread"])


@CHANGES
def test_tasks_of_a_lost_worker_wait_for_their_lease_after_a_failed_handover(owned, changes):
    """Guards against a second start by an owner that no longer knows which starts it sent.

    Both control loops would have the same epoch, so rows can't tell their assignments apart.
    """
    sim = owned.sim
    sim.submit("draw")
    sim.advance(2)
    lost = next(w for w in sim.workers.values() if w.running())
    lost.is_cut_off = True
    owned.fail_handover(**changes)
    sim.advance(10)
    assert sim.witness.starts == 1
    sim.advance(10)
    assert sim.witness.starts == 2
    sim.check()


@CHANGES
def test_no_slot_is_granted_twice_after_a_failed_handover(owned, changes):
    """Guards against a granter that has forgotten the permits of its own epoch."""
    owned.racks._running["r1"].granter.update_workers(slots_of("w1", 2))
    ask = PermitAsk(rack="r1", service="draw", wanted=8)
    granted = [p for _ in range(3) for p in owned.racks.answer("A", ask).permits]
    assert len(granted) == 2
    owned.fail_handover(**changes)
    owned.racks._running["r1"].granter.update_workers(slots_of("w1", 2))
    assert owned.racks.answer("B", ask).permits == ()
    owned.sim.clock.advance(seconds=4)
    owned.racks._running["r1"].granter.update_workers(slots_of("w1", 2))
    later = [p for _ in range(3) for p in owned.racks.answer("B", ask).permits]
    assert len({p.serial for p in [*granted, *later]}) == 4


@pytest.mark.parametrize("changes", [{"epoch": 2}, {"epoch": 2, "version": 9}])
def test_another_epoch_begins_anew(owned, changes):
    """Guards against knowledge that is carried over from before another owner."""
    owned.fail_handover(**changes)
    assert owned.made == 2


def test_a_handover_that_crosses_a_step_leaves_no_loop(owned):
    """Guards against a loop that a step starts anew because it read the owned racks too early."""
    racks = owned.racks
    release = threading.Thread(target=lambda: racks.release(owned.lease))

    def owned_before_release():
        before = dict(owned.owned)
        owned.owned.clear()
        release.start()
        release.join(0.2)
        return before

    racks._owned = owned_before_release
    racks.step()
    release.join()
    assert racks.leases() == {}


def test_a_rack_of_the_last_incarnation_gets_no_rights_of_the_next():
    """Guards against a start or a permit of an ownership that ended before the instance rejoined.

    A cycle that waits for slow workers, or an ask in progress, may go on in the next incarnation.
    """
    cfg = Settings(
        zone="a",
        region="r",
        store="127.0.0.1:1",
        members="127.0.0.1:2",
        peer_key="p" * 16,
        operator_key="o" * 16,
        instance="A",
    )
    instance = EntryInstance(cfg=cfg, clock=ManualClock(start_s=1000.0))
    keeper = instance._keeper
    keeper._table = FakeTable()
    assert keeper.beat()
    lease = RackLease(rack="r1", epoch=1, version=1, gained_at_s=1000.0, planned=False)
    controller, granter = instance._make_rack(lease)
    granter.update_workers(slots_of("w1", 2))
    ask = PermitAsk(rack="r1", service="draw", wanted=1)
    assert granter.answer("B", ask).permits
    keeper.mark_fenced(incarnation=keeper.incarnation)
    keeper.rejoin()
    assert keeper.beat() and keeper.is_live()
    session = controller._state.session
    assert (granter.answer("B", ask).is_owner, session.is_live(), session.fenced) == (
        False,
        False,
        True,
    )
    assert session.last_live_s() < 1000.0


def slots_of(worker, slots):
    return [
        racks_module.WorkerSlots(
            worker=worker, data="10.0.0.1:80", slots=slots, services=frozenset({"draw"})
        )
    ]
