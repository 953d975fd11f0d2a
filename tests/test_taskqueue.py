"""Order of the queue, and reclaiming of resources from teams above their quota."""

import pytest

from fescuerudder.document import Size
from fescuerudder.task import Task
from fescuerudder.taskqueue import FairQueue, TeamShares


def task(name, team, *, at=0.0, urgent=False, processors=1):
    size = Size(processors=processors)
    return Task(
        id=name, service="s", team=team, kind="batch", size=size, urgent=urgent, submitted_at_s=at
    )


@pytest.mark.parametrize(
    ("usage", "tasks", "expected"),
    [
        ({}, [("a1", "a", 2), ("a2", "a", 1)], ["a2", "a1"]),
        ({"a": 2}, [("a1", "a", 1), ("b1", "b", 2)], ["b1", "a1"]),
        ({"a": 1}, [("a1", "a", 1), ("b1", "b", 2), ("b2", "b", 3)], ["b1", "a1", "b2"]),
        ({"b": 9}, [("a1", "a", 1), ("b!", "b", 9)], ["b!", "a1"]),
        ({}, [("n1", "none", 0), ("a1", "a", 1)], ["n1", "a1"]),
        ({"none": 1}, [("n1", "none", 0), ("a1", "a", 1)], ["a1", "n1"]),
    ],
)
def test_order(usage, tasks, expected):
    waiting = [task(name, team, at=at, urgent="!" in name) for name, team, at in tasks]
    order = FairQueue(
        tasks=waiting,
        usage={team: Size(processors=used) for team, used in usage.items()},
        quotas={"a": Size(processors=4), "b": Size(processors=4)},
    )
    found = []
    for item in order:
        found.append(item.id)
        order.record_placement(item)
    assert found == expected


def test_reclaiming_takes_the_newest_and_leaves_the_quota():
    usage = {"a": Size(processors=6), "b": Size(processors=0)}
    quotas = {"a": Size(processors=4), "b": Size(processors=2)}
    shares = TeamShares(usage=usage, quotas=quotas)
    running = [task(f"a{n}", "a", at=n) for n in range(6)]
    assert [t.id for t in shares.reclaimable(running)] == ["a5", "a4"]
    assert shares.may_reclaim(task("b", "b"), waited_s=2)
    assert not shares.may_reclaim(task("b", "b"), waited_s=1.9)
    assert not shares.may_reclaim(task("b", "b", processors=3), waited_s=9)
