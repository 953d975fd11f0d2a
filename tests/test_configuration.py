"""Accepted changes are never lost, racing operators never both win, views never go back."""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuerudder.clock import ManualClock
from fescuerudder.configuration import Configurator, StaleRevisionError
from fescuerudder.document import parse_document
from fescuerudder.errors import StoreOutcomeUnknownError
from fescuerudder.view import ViewKeeper
from tests.fakes import FakeTable

DOC = parse_document({"name": "draw", "team": "t", "kind": "batch", "size": {"processors": 1}})


class Node:
    """View and configurator of one instance."""

    def __init__(self, table, name):
        self.clock = ManualClock()
        self.view = ViewKeeper(table=table, clock=self.clock)
        self.changes = Configurator(
            instance=name,
            table=table,
            view=self.view,
            clock=self.clock,
            rng=random.Random(name),
        )

    def settle(self):
        self.view.poll()
        done = self.changes.settle()
        self.view.poll()
        self.changes.settle()
        return done


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def nodes(table):
    return [Node(table, name) for name in ("e1", "e2")]


def test_of_two_racing_operators_one_wins_and_the_other_learns_the_revision(table, nodes):
    first, second = (node.changes for node in nodes)
    assert first.put_service(DOC, 0).ok_value == 1
    table.before_transact = lambda _: second.put_service(DOC, 1)
    refused = first.put_service(attrs.evolve(DOC, urgent=True), 1).err_value
    assert isinstance(refused, StaleRevisionError) and refused.revision == 2
    assert first.put_service(attrs.evolve(DOC, urgent=True), None).ok_value == 3
    assert nodes[0].view.poll() and nodes[0].view.current().services["draw"].urgent


def test_changes_of_different_rows_do_not_refuse_each_other(table, nodes):
    table.before_transact = lambda _: nodes[1].changes.put_zone("z1", "out", "op")
    assert nodes[0].changes.put_service(DOC, 0).ok_value == 2


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes"])
def test_a_lost_answer_is_resolved(table, nodes, fault):
    setattr(table, fault, 1)
    assert nodes[0].changes.put_zone("z1", "out", "op", 0).ok_value == 1
    assert table.read(keys=("config/head",))[0].value["revision"] == 1


@pytest.mark.parametrize(("newer", "expected"), [(False, "out"), (True, "in")])
def test_a_provisional_drain_yields_only_to_a_newer_decision(table, nodes, newer, expected):
    one, two = nodes
    one.changes.put_zone("z1", "in", "op")
    assert one.view.poll() and two.view.poll()
    table.down = True
    notice = one.changes.provisional_out("z1", "op")
    two.changes.merge(notice)
    assert one.changes.zones_out() == two.changes.zones_out() == {"z1"}
    assert not one.settle()
    table.down = False
    if newer:
        Node(table, "e3").changes.put_zone("z1", "in", "op")
    assert one.changes.settle()
    # Until the view shows the decision, the zone stays out.
    assert one.changes.zones_out() == {"z1"}
    assert one.settle() and two.settle()
    assert one.changes.zones_out() == two.changes.zones_out()
    assert one.view.current().zones["z1"] == expected


def test_a_settled_drain_ends_once_the_view_shows_its_row(table, nodes):
    """Guards against a zone that stays out after its return: the view may lag the settlement."""
    node = nodes[0]
    node.changes.provisional_out("z1", "op")
    assert node.changes.settle()
    assert node.changes.zones_out() == {"z1"}
    assert nodes[1].changes.put_zone("z1", "in", "op").is_ok()
    node.view.poll()
    assert node.changes.settle()
    assert node.changes.zones_out() == frozenset()


def test_the_drain_on_the_latest_revision_counts(nodes):
    notice = nodes[0].changes.provisional_out("z1", "op")
    later = attrs.evolve(notice, base_revision=7)
    for given in (later, notice):
        nodes[0].changes.merge(given)
    assert nodes[0].changes.notices() == [later]


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators at two instances race under store faults."""

    nodes_index = st.integers(0, 1)
    zones = st.sampled_from(["z1", "z2"])

    def __init__(self):
        super().__init__()
        self.table = FakeTable()
        self.nodes = [Node(self.table, "e1"), Node(self.table, "e2")]
        self.known = [{}, {}]
        self.seen = [0, 0]
        self.accepted, self.uncertain = {}, set()
        self.serial = 0

    @rule(index=nodes_index, zone=zones, force=st.booleans(), race=st.booleans())
    def change(self, index, zone, force, race):
        if race:
            self.table.before_transact = lambda _: self.change(1 - index, zone, force, False)
        expected = None if force else self.known[index].get(zone, 0)
        self.serial += 1
        operator = f"op-{self.serial}"
        state = "out" if self.serial % 2 else "in"
        outcome = self.nodes[index].changes.put_zone(zone, state, operator, expected)
        self.table.before_transact = None
        if outcome.is_ok():
            assert outcome.ok_value not in self.accepted, "two operators won one revision"
            self.accepted[outcome.ok_value] = (zone, operator)
        elif isinstance(outcome.err_value, StoreOutcomeUnknownError):
            self.uncertain.add(operator)

    @rule(index=nodes_index)
    def poll(self, index):
        node = self.nodes[index]
        if node.view.poll():
            revisions = node.view.current().revisions
            self.known[index] = {z: revisions.get(f"config/zone/{z}", 0) for z in ("z1", "z2")}

    @rule(fault=st.sampled_from(["lose_answers", "drop_writes"]), count=st.integers(1, 4))
    def lose(self, fault, count):
        setattr(self.table, fault, count)

    @rule(down=st.booleans())
    def outage(self, down):
        self.table.down = down

    @invariant()
    def views_never_go_back(self):
        now = [node.view.current().revision for node in self.nodes]
        assert all(old <= new for old, new in zip(self.seen, now, strict=True))
        self.seen = now

    @invariant()
    def the_store_holds_the_latest_accepted_change(self):
        rows = self.table.state.read(keys=[], prefixes=["config/zone/"])
        stored = {row.key.removeprefix("config/zone/"): row.value for row in rows}
        for revision, (zone, operator) in sorted(self.accepted.items()):
            assert stored[zone]["revision"] >= revision
            if stored[zone]["revision"] == revision:
                assert stored[zone]["operator"] == operator
        for zone, value in stored.items():
            accepted = self.accepted.get(value["revision"]) == (zone, value["operator"])
            assert accepted or value["operator"] in self.uncertain


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=100, stateful_step_count=25, deadline=None, derandomize=True
)
