"""Instances must agree on the ranking, and a lost instance must not move other racks."""

from collections import Counter

from fescuerudder import rendezvous

NODES = [f"entry-{n}" for n in range(9)]
RACKS = [f"rack-{n}" for n in range(900)]


def test_ranking_ignores_the_order_of_nodes():
    assert rendezvous.rank(key="r", nodes=NODES) == rendezvous.rank(key="r", nodes=NODES[::-1])
    assert rendezvous.first(key="r", nodes=[]) is None


def test_a_lost_node_moves_only_its_own_keys():
    before = {rack: rendezvous.first(key=rack, nodes=NODES) for rack in RACKS}
    after = {rack: rendezvous.first(key=rack, nodes=NODES[1:]) for rack in RACKS}
    assert all(before[r] in (after[r], NODES[0]) for r in RACKS)
    assert max(Counter(before.values()).values()) < 150
