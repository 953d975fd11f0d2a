"""Checks of an owner that matter in one exact order of events only."""

import attrs
import pytest

from fescuerudder.document import DEFAULT_OUTAGE_RUN_S
from fescuerudder.errors import WorkerUnreachableError
from tests.rack_simulation import RackSimulation, batch


class SequentialPlacement:
    """Placement that chooses the next worker of a list for each attempt, then always the last.

    Repeated calls for one attempt return the same worker.
    """

    def __init__(self, *workers: str) -> None:
        self._left = list(workers)
        self._chosen = {}

    def choose(self, *, task, loads, services):
        attempt = (task.id, task.attempt)
        if attempt in self._chosen:
            return self._chosen[attempt]
        wanted = self._left[0]
        if not any(load.worker == wanted and load.takes_work for load in loads):
            return None
        self._chosen[attempt] = self._left.pop(0) if len(self._left) > 1 else wanted
        return self._chosen[attempt]


class DelayedStarts:
    """Delays the start orders to a worker as a slow network does; their senders see a timeout."""

    def __init__(self, *, worker) -> None:
        self._deliver = worker.start
        self.held = []
        worker.start = self._hold

    def _hold(self, order) -> None:
        self.held.append(order)
        raise WorkerUnreachableError("timeout")

    def arrive(self) -> None:
        """Delivers the delayed start orders."""
        for order in self.held:
            self._deliver(order)
        self.held = []


@pytest.fixture
def sim():
    """Returns a simulation where rack r2 takes no work: tasks go to rack r1, to w1 first."""
    sim = RackSimulation(services=[batch("draw", "secretariat")])
    sim.workers["w3"].leaving = True
    # Statuses are read once a second; the owner of r2 must have seen that w3 leaves.
    sim.advance(2)
    place(sim, "A")
    return sim


def place(sim, owner):
    sim.instances[owner].controller._state.placement = SequentialPlacement("w1", "w2")


def running(sim):
    return {a.task: w.name for w in sim.workers.values() for a in w.running()}


def before_write_of_owner(sim, action):
    """Runs `action` just before the owner's next write is applied."""

    def hook(txn):
        if any(check.key.startswith("rack/") for check in txn.checks):
            action()
        else:
            sim.table.before_transact = hook

    sim.table.before_transact = hook


@pytest.mark.parametrize("written", ["assignment", "eviction", "move"])
def test_cancel_request_survives_a_write_that_crosses_it(sim, written):
    """Guards against an owner that overwrites a cancellation made after it read the task row."""
    sim.submit("draw")
    task_id = sim.task_ids[0]
    if written == "move":
        for name in ("w1", "w2"):
            sim.workers[name].leaving = True
        sim.advance(1.5)
        sim.workers["w3"].leaving = False
    if written == "eviction":
        sim.advance(2)
        assert running(sim) == {task_id: "w1"}
        sim.workers["w1"].leaving = True
    answers = []
    before_write_of_owner(sim, lambda: answers.append(sim.tasks.cancel(task_id)))
    sim.advance(6)
    assert answers[0].is_ok()
    assert sim.rows()[task_id].state == "cancelled"
    assert running(sim) == {}
    sim.check()


def test_missing_attempt_waits_for_its_start_deadline(sim):
    """Guards against a second attempt while the start order of the first is still in transit."""
    late_starts = DelayedStarts(worker=sim.workers["w1"])
    sim.submit("draw")
    sim.advance(0.5)
    assert len(late_starts.held) == 1
    # The owner's next cycle misses the attempt; its start arrives at the last moment.
    sim.schedule(1.0, late_starts.arrive)
    sim.advance(4)
    sim.check()
    assert running(sim) == {sim.task_ids[0]: "w1"}
    assert sim.witness.starts == 1


def test_missing_attempt_of_a_former_owner_waits_for_the_fence(sim):
    """Guards against a second attempt while a former owner's start may still be accepted."""
    w1, w2 = sim.workers["w1"], sim.workers["w2"]
    late_starts = DelayedStarts(worker=w1)
    sim.submit("draw")
    sim.advance(0.5)
    assert len(late_starts.held) == 1
    renew = w1.renew

    def lose(**_):
        raise WorkerUnreachableError("timeout")

    w1.renew = lose  # The new owner's fence does not reach the worker yet.
    sim.hand_over("A", "B", "r1")
    sim.instances["B"].controller._state.placement = SequentialPlacement("w2")
    w2.before_start = late_starts.arrive
    sim.advance(1)
    late_starts.arrive()
    sim.check()
    w1.renew = renew
    sim.advance(4)
    assert running(sim) == {sim.task_ids[0]: "w1"}
    assert sim.witness.starts == 1
    sim.check()


def test_missing_attempt_of_a_former_owner_is_queued_again_behind_the_fence(sim):
    """Guards against a task that waits forever for a former owner's start that was refused."""
    late_starts = DelayedStarts(worker=sim.workers["w1"])
    sim.submit("draw")
    sim.advance(0.5)
    sim.hand_over("A", "B", "r1")
    sim.instances["B"].controller._state.placement = SequentialPlacement("w2")
    sim.advance(3)
    with pytest.raises(Exception, match="stale_epoch"):
        late_starts.arrive()
    assert running(sim) == {sim.task_ids[0]: "w2"}
    assert sim.witness.starts == 1
    sim.check()


def test_half_an_hour_without_the_store_loses_and_duplicates_no_task():
    """Guards against tasks that end in an outage of the store shorter than their `outage_run_s`."""
    doc = batch("draw", "secretariat")
    sim = RackSimulation(services=[attrs.evolve(doc, outage_run_s=DEFAULT_OUTAGE_RUN_S)])
    for _ in range(4):
        sim.submit("draw")
    sim.advance(2)
    before = running(sim)
    assert len(before) == 4
    sim.table.down = True
    sim.advance(1800)
    assert running(sim) == before
    assert sim.submit("draw").is_err()
    sim.finish_all()
    sim.advance(10)
    sim.table.down = False
    sim.advance(5)
    assert [task.state for task in sim.rows().values()] == ["finished"] * 4
    assert sim.witness.starts == 4
    sim.check()


def test_waves_of_cancellations_do_not_affect_other_tasks():
    """Guards against bursts of cancellations that block or end other tasks."""
    sim = RackSimulation(services=[batch("draw", "secretariat")])
    kept = []
    for _ in range(5):
        for _ in range(8):
            sim.submit("draw")
        kept.append(sim.task_ids[-1])
        for task_id in sim.task_ids[-8:-1]:
            assert sim.tasks.cancel(task_id).is_ok()
        sim.advance(1)
    for _ in range(6):
        sim.advance(2)
        sim.finish_all()
    states = {task_id: task.state for task_id, task in sim.rows().items()}
    assert [task_id for task_id, state in states.items() if state == "finished"] == sorted(kept)
    assert set(states.values()) == {"finished", "cancelled"}
    sim.check()
