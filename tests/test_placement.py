"""Choice of a worker: capacity, sharing rules in both directions, failed workers."""

import attrs
import pytest

from fescuerudder.document import ServiceDocument, Sharing, Size
from fescuerudder.interference import Slowdowns
from fescuerudder.placement import FirstFit, LeastInterference, WorkerLoad, commitments
from fescuerudder.task import Task
from fescuerudder.workers import Attempt


def doc(name, kind="batch", **sharing):
    size = Size(processors=1)
    return ServiceDocument(name=name, team="t", kind=kind, size=size, sharing=Sharing(**sharing))


SERVICES = {
    d.name: d
    for d in (
        doc("plain"),
        doc("shy", avoid=("plain",)),
        doc("entry", "latency-critical"),
        doc("alone", "latency-critical", allow_batch=False),
    )
}
POLICIES = [FirstFit(), LeastInterference(slowdowns=Slowdowns())]


def task(service="plain", processors=2, failed=()):
    kind = "replica" if SERVICES[service].kind == "latency-critical" else "batch"
    size = Size(processors=processors)
    return Task(
        id="t", service=service, team="t", kind=kind, size=size, failed_workers=tuple(failed)
    )


def load(name, *services, used=0, takes_work=True):
    return WorkerLoad(
        worker=name,
        capacity=Size(processors=8),
        committed=Size(processors=used),
        services=services,
        takes_work=takes_work,
    )


@pytest.mark.parametrize("policy", POLICIES, ids=lambda p: type(p).__name__)
@pytest.mark.parametrize(
    ("item", "loads", "expected"),
    [
        (task(), [load("w", used=6)], "w"),
        (task(), [load("w", used=7)], None),
        (task(), [load("w", takes_work=False)], None),
        (task("shy"), [load("w", "plain")], None),
        (task("plain"), [load("w", "shy")], None),
        (task("plain"), [load("w", "alone")], None),
        (task("alone"), [load("w", "plain")], None),
        (task("entry"), [load("w", "alone")], "w"),
        (task("plain"), [load("w", "entry")], "w"),
        (task(failed=["w"]), [load("w"), load("x", used=8)], None),
        (task(failed=["w"]), [load("w")], "w"),
    ],
)
def test_feasible_workers(policy, item, loads, expected):
    assert policy.choose(task=item, loads=loads, services=SERVICES) == expected


def test_batch_task_avoids_a_latency_critical_neighbour():
    policy = LeastInterference(slowdowns=Slowdowns())
    loads = [load("a", "entry", used=2), load("b", used=0)]
    assert policy.choose(task=task(), loads=loads, services=SERVICES) == "b"
    assert FirstFit().choose(task=task(), loads=loads, services=SERVICES) == "a"


def test_rows_and_attempts_both_count_and_the_larger_size_wins():
    """Guards against over-commitment by starts that the status does not show yet."""

    def attempt(name, processors, state="running"):
        size = Size(processors=processors)
        return Attempt(
            task=name, attempt=1, service="plain", size=size, state=state, lease_until_s=0
        )

    attempts = (attempt("t", 3), attempt("stale", 1), attempt("old", 8, "finished"))
    assigned = [task(processors=2), attrs.evolve(task("shy", processors=5), id="unstarted")]
    total, services = commitments(attempts=attempts, assigned=assigned)
    assert total.processors == 3 + 1 + 5
    assert services == ("plain", "plain", "shy")
