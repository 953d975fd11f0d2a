"""A rack has one owner at a time, whatever is paused, restarted or lost."""

import itertools
from collections import Counter

import pykka
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuerudder.clock import ManualClock
from fescuerudder.members import Member
from fescuerudder.messages import Handover
from fescuerudder.ownership import LONG_WAIT_S, Ownership
from fescuerudder.session import SESSION_TTL_S, SessionKeeper, SessionObserver
from fescuerudder.table import Check, Put, Transaction
from tests.test_groupcommit import LateTable

REGIONS = {"z1": "near", "z2": "near", "z3": "far"}


class Instance:
    """One entry instance with its own clock."""

    def __init__(self, world, name, zone):
        self.name = name
        self.clock = ManualClock(start_s=1000.0 * len(world.instances) + 7.0)
        self.keeper = SessionKeeper(
            instance=name,
            zone=zone,
            region=REGIONS[zone],
            peer="127.0.0.1:1",
            http="127.0.0.1:2",
            table=world.table,
            clock=self.clock,
        )
        self.told = []
        self.ownership = Ownership(
            keeper=self.keeper,
            observer=SessionObserver(clock=self.clock),
            table=world.table,
            clock=self.clock,
            before_release=lambda lease: self.told.append(lease.rack),
            tell=lambda *sent: self.told.append(sent),
        )

    def tick(self, members):
        self.keeper.beat()
        self.ownership.step(members)
        if self.keeper.fenced:
            self.keeper.rejoin()

    def leases(self):
        return self.ownership.owned()

    def believed(self):
        """Racks that it owns by its own clock."""
        return self.leases() if self.keeper.is_live() else {}


class World:
    """Instances on one table; time passes for all of them alike."""

    def __init__(self, racks=("z1", "z1", "z2", "z3")):
        self.table = LateTable(faults=[])
        self.instances = {}
        self.members = [
            Member(id=f"w{n}", kind="worker", zone=z, region=REGIONS[z], rack=f"{z}-rack{n}")
            for n, z in enumerate(racks)
        ]

    def start(self, name, zone):
        self.instances[name] = Instance(self, name, zone)
        return self.instances[name]

    def pass_time(self, seconds):
        for one in self.instances.values():
            one.clock.advance(seconds=seconds)

    def run(self, seconds, *names):
        """Lets the named instances, or all, act once a second."""
        for _ in range(round(seconds)):
            for name in names or list(self.instances):
                self.instances[name].tick(self.members)
            self.pass_time(1.0)

    def owners(self):
        pairs = [(r, i.name) for i in self.instances.values() for r in i.believed()]
        assert len({rack for rack, _ in pairs}) == len(pairs), f"two owners: {pairs}"
        return dict(pairs)

    def counts(self):
        return sorted(Counter(self.owners().values()).values())


def make_world(*zones, racks=("z1", "z1", "z2", "z3")):
    world = World(racks=racks)
    for n, zone in enumerate(zones):
        world.start(f"e{n}", zone).keeper.beat()
    return world


@pytest.mark.parametrize(
    ("racks", "instances", "most"), [(3, 3, 1), (24, 5, 5), (105, 9, 12), (105, 27, 4)]
)
def test_all_racks_are_claimed_and_nobody_gets_more_than_its_part(racks, instances, most):
    world = make_world(*["z1"] * instances, racks=["z1"] * racks)
    world.run(4)
    assert (sum(world.counts()), max(world.counts())) == (racks, most)


@pytest.mark.parametrize(
    ("survivor", "earliest_s", "latest_s"), [("z2", 4, 6), ("z3", 10, 12)], ids=["near", "far"]
)
def test_a_dead_owner_is_replaced_after_its_deadline(survivor, earliest_s, latest_s):
    world = make_world("z1", racks=["z1"])
    world.run(1)
    dead = world.instances["e0"]
    world.start("e1", survivor)
    world.run(2)
    assert set(world.owners().values()) == {"e0"}
    elapsed_s = 0
    while not world.instances["e1"].believed():
        world.run(1, "e1")
        elapsed_s += 1
    assert earliest_s <= elapsed_s <= latest_s
    lease = world.instances["e1"].leases()["z1-rack0"]
    assert (lease.epoch, lease.planned, lease.continuous) == (2, False, False)
    assert not dead.keeper.is_live()
    dead.keeper.beat()
    assert dead.keeper.fenced and not dead.leases()


@pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True, raises=AssertionError)
def test_the_next_incarnation_of_an_owner_does_not_shorten_its_deadline():
    """Guards against two owners while a former process of an instance is paused, not gone."""
    world = make_world("z1", "z1", racks=["z1"])
    world.run(3)
    name = next(iter(world.owners().values()))
    paused = world.instances.pop(name)
    assert paused.keeper.beat()
    world.start(name, "z1")
    for _ in range(7):
        world.run(1)
        paused.clock.advance(seconds=1.0)
        assert not (paused.believed() and world.owners())
    assert len(world.owners()) == 1


def test_a_planned_stop_waits_for_nothing():
    world = make_world("z1", "z2", racks=["z1", "z2"])
    world.run(3)
    stopping = world.instances["e0"]
    before = stopping.leases()
    stopping.keeper.start_draining()
    assert stopping.keeper.beat() and stopping.ownership.hand_over_all()
    rack = next(iter(before))
    # Work for the rack ends before the successor may begin.
    assert stopping.told[-2:] == [rack, ("e1", Handover(rack=rack, epoch=2))]
    other = world.instances["e1"]
    assert other.ownership.notice(Handover(rack=rack, epoch=2))
    assert other.leases()[rack].planned
    stopping.tick(world.members)
    assert not stopping.leases() and len(other.leases()) == 2


@pytest.mark.parametrize(("fault", "kept"), [("lose_answers", False), ("drop_writes", False)])
def test_a_lost_answer_to_a_handover_is_resolved(fault, kept):
    world = make_world("z1", "z2", racks=["z1"])
    world.run(3)
    owner = next(iter(world.owners().values()))
    setattr(world.table, fault, 1)
    assert world.instances[owner].ownership.hand_over_all()
    world.run(2)
    assert len(world.owners()) == 1 and (owner in world.owners().values()) == kept


@pytest.mark.parametrize("fault", [None, "down"])
def test_a_rack_is_not_owned_while_its_handover_is_prepared(fault):
    """Guards against a control loop that starts again between its stop and the handover."""
    world = make_world("z1", "z2", racks=["z1"])
    world.run(3)
    owner = world.instances[next(iter(world.owners().values()))]
    owned = []
    owner.ownership._before_release = lambda lease: owned.append(owner.leases())
    world.table.faults.extend([fault] if fault else [])
    assert owner.ownership.hand_over_all() == (fault is None)
    assert owned == [{}]
    assert len(owner.leases()) == (1 if fault else 0)


def test_a_rack_whose_work_does_not_end_in_time_stays_owned():
    """Guards against a rack that nobody runs until the store can be read again."""
    world = make_world("z1", "z2", racks=["z1"])
    world.run(3)
    owner = world.instances[next(iter(world.owners().values()))]
    held = owner.leases()

    def time_out(_):
        raise pykka.Timeout("cycle goes on")

    owner.ownership._before_release = time_out
    with pytest.raises(pykka.Timeout):
        owner.ownership.hand_over_all()
    assert owner.leases() == held


def test_a_stop_without_a_successor_still_counts_as_planned():
    world = make_world("z1", racks=["z1"])
    world.run(3)
    stopping = world.instances.pop("e0")
    stopping.keeper.start_draining()
    assert stopping.keeper.beat() and stopping.ownership.hand_over_all()
    world.start("e9", "z1")
    world.run(3)
    assert world.instances["e9"].leases()["z1-rack0"].planned


@pytest.mark.parametrize(("held_s", "planned"), [(0, False), (LONG_WAIT_S, True)])
def test_a_rack_of_a_lost_owner_is_not_vouched_for_too_early(held_s, planned):
    """Its tasks may run on unseen; a second owner must not take the short wait for them."""
    world = make_world("z1", racks=["z1"])
    world.run(2)
    del world.instances["e0"]
    world.start("e1", "z1")
    world.run(7)
    assert world.instances["e1"].leases()["z1-rack0"].epoch == 2
    world.start("e2", "z1").keeper.beat()
    world.pass_time(held_s)
    assert world.instances["e1"].ownership.hand_over_all()
    world.run(1, "e2")
    assert world.instances["e2"].leases()["z1-rack0"].planned == planned


def test_a_changed_row_ends_ownership():
    """Guards against an owner that believes in a rack whose row another writer has changed."""
    world = make_world("z1", racks=["z1"])
    world.run(2)
    one = world.instances["e0"]
    held = one.leases()["z1-rack0"]
    [row] = world.table.read(keys=("rack/z1-rack0",))
    given_away = {**row.value, "owner": "", "incarnation": "", "epoch": held.epoch + 1}
    check = Check(key=row.key, version=row.version)
    world.table.transact(Transaction(checks=(check,), puts=(Put(key=row.key, value=given_away),)))
    one.ownership.step(world.members)
    assert one.leases()["z1-rack0"].epoch > held.epoch + 1


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("delivered", [False, True])
@pytest.mark.parametrize("vouches", [False, True])
def test_a_late_handover_takes_no_rack_from_an_owner_that_went_on(draining, delivered, vouches):
    """Guards against a handover that vouches for an owner that renews leases again.

    Its successor would take them to end before they do. Also guards against an owner that never
    goes on, and against one whose own claim vouches for a lost predecessor.
    """
    world = make_world("z1", "z2", racks=["z1"])
    world.run(3)
    name = next(iter(world.owners().values()))
    if not vouches:
        del world.instances[name]
        world.run(7)
        world.start("e2", "z1")
        world.run(2)
        name = next(iter(world.owners().values()))
    owner = world.instances[name]
    epoch = owner.leases()["z1-rack0"].epoch
    if draining:
        owner.keeper.start_draining()
        owner.keeper.beat()
    world.table.faults.extend(["late", "down", "down", "down"])
    owner.ownership.hand_over_all()
    assert not owner.leases()
    world.table.faults.clear()
    owner.tick(world.members)
    went_on = owner.leases()
    assert went_on
    if delivered:
        world.table.deliver()
    world.run(2)
    assert owner.leases() == went_on
    assert [lease for i in world.instances.values() for lease in i.leases().values()] == [
        went_on["z1-rack0"]
    ]
    [row] = world.table.read(keys=("rack/z1-rack0",))
    claim = {"owner": name, "epoch": epoch + 1, "planned": vouches}
    assert claim.items() <= row.value.items()


def test_a_session_that_lapses_meanwhile_claims_no_further_rack_again():
    """Guards against claims by an owner that another instance may already count as lost."""
    world = make_world("z1", "z2", racks=["z1", "z1", "z1", "z1"])
    world.run(3)
    owner = max(world.instances.values(), key=lambda one: len(one.leases()))
    held = owner.leases()
    assert len(held) >= 2
    world.table.faults.extend(["late", "down", "down"] * len(held))
    owner.ownership.hand_over_all()
    assert not owner.leases()
    world.table.before_transact = lambda _: owner.clock.advance(seconds=SESSION_TTL_S)
    owner.ownership.step(world.members)
    assert len(owner.leases()) == 1
    owner.tick(world.members)
    assert owner.leases().keys() == held.keys()


def test_a_newcomer_gets_its_part_one_rack_at_a_time():
    world = make_world("z1", racks=["z1"] * 6)
    world.run(4)
    world.start("e1", "z1")
    world.run(9)
    assert world.counts() == [6]
    world.run(40)
    assert world.counts() == [3, 3]
    epochs = [lease.epoch for i in world.instances.values() for lease in i.leases().values()]
    # Three moves, and none back.
    assert sorted(epochs) == [1, 1, 1, 2, 2, 2]


def test_a_rack_returns_to_its_region():
    world = make_world("z3", racks=["z1"])
    world.run(9)
    assert world.counts() == [1]
    world.start("e1", "z1")
    world.run(13)
    assert world.owners() == {"z1-rack0": "e1"}


def test_nobody_is_fenced_when_a_long_outage_ends():
    world = make_world("z1", "z2", racks=["z1", "z2"])
    world.run(3)
    before = {name: one.leases() for name, one in world.instances.items()}
    world.table.down = True
    world.run(30)
    assert not world.owners()
    world.table.down = False
    # One instance reads before the others' first heartbeats.
    world.instances["e0"].ownership.step(world.members)
    world.run(6)
    assert before == {name: one.leases() for name, one in world.instances.items()}


class OwnershipMachine(RuleBasedStateMachine):
    """Three instances in two regions under pauses, restarts and store faults."""

    names = st.sampled_from(["e0", "e1", "e2"])

    def __init__(self):
        super().__init__()
        self.world = make_world("z1", "z2", "z3")
        self.holders = {}
        self.replaced = []
        self.serial = itertools.count()

    @rule(seconds=st.integers(1, 7))
    def run(self, seconds):
        self.world.run(seconds)

    @rule(name=names, seconds=st.integers(1, 14))
    def pause(self, name, seconds):
        self.world.run(seconds, *(other for other in self.world.instances if other != name))

    @rule(name=names, other=names, seconds=st.sampled_from([0, 3, 5, 8]))
    def pause_within_a_write(self, name, other, seconds):
        def interrupt(_):
            self.world.run(seconds, other)
            self.check()

        self.world.table.before_transact = interrupt if other != name else None
        self.world.instances[name].ownership.step(self.world.members)
        self.world.table.before_transact = None

    @rule(name=names, same=st.booleans())
    def restart(self, name, same):
        old = self.world.instances[name]
        self.replaced.append(old)
        zone = old.keeper._session.zone
        self.world.instances[name] = Instance(
            self.world, name if same else f"{name}-{next(self.serial)}", zone
        )

    @rule(name=names)
    def hand_over(self, name):
        self.world.instances[name].ownership.hand_over_all()

    @rule(fault=st.sampled_from(["lose_answers", "drop_writes"]), count=st.integers(1, 4))
    def lose(self, fault, count):
        setattr(self.world.table, fault, count)

    @rule(count=st.integers(1, 4))
    def delay(self, count):
        self.world.table.faults.extend(["late"] * count)

    @rule()
    def arrive(self):
        self.world.table.deliver()

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.table.down = down

    @invariant()
    def check(self):
        owners = self.world.owners()
        rows = {row.key: row for row in self.world.table.state.read(keys=[], prefixes=["rack/"])}
        # A replaced process may still be running; the table must refuse it.
        for one in [*self.world.instances.values(), *self.replaced]:
            for rack, lease in one.leases().items():
                holder = (one.name, one.keeper.incarnation)
                assert self.holders.setdefault((rack, lease.epoch), holder) == holder
                row = rows[f"rack/{rack}"]
                if row.version == lease.version:
                    assert (row.value["owner"], row.value["incarnation"]) == holder
        assert set(owners) <= {member.rack for member in self.world.members}

    def teardown(self):
        """After the faults every rack gets an owner again."""
        table = self.world.table
        table.down, table.lose_answers, table.drop_writes = False, 0, 0
        table.faults.clear()
        table.deliver()
        self.world.run(20)
        assert len(self.world.owners()) == len(self.world.members)


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
