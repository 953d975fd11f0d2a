"""Single checks of an owner that only one exact order of events needs."""

import attrs
import pytest

from fescuerudder.document import DEFAULT_OUTAGE_RUN_S
from fescuerudder.errors import WorkerUnreachableError
from tests.rack_simulation import World, batch


class InTurn:
    """Places each attempt on the next worker of a list, and later ones on the last.

    The owner may ask several times for one attempt and gets the same worker.
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


class LateStarts:
    """Holds back the starts to a worker as a slow network does: their senders see a timeout."""

    def __init__(self, *, worker) -> None:
        self._deliver = worker.start
        self.held = []
        worker.start = self._hold

    def _hold(self, order) -> None:
        self.held.append(order)
        raise WorkerUnreachableError("timeout")

    def arrive(self) -> None:
        """Lets the held starts reach the worker."""
        for order in self.held:
            self._deliver(order)
        self.held = []


@pytest.fixture
def world():
    """Rack r2 takes no work, so all tasks are placed on rack r1, on w1 first."""
    world = World(services=[batch("draw", "secretariat")])
    world.workers["w3"].leaving = True
    # Statuses are read once a second; the owner of r2 must have seen that w3 leaves.
    world.advance(2)
    place(world, "A")
    return world


def place(world, owner):
    world.instances[owner].controller._state.placement = InTurn("w1", "w2")


def running(world):
    return {a.task: w.name for w in world.workers.values() for a in w.running()}


def before_write_of_owner(world, move):
    """Makes `move` at the moment when the owner's next write is on its way."""

    def hook(txn):
        if any(check.key.startswith("rack/") for check in txn.checks):
            move()
        else:
            world.table.before_transact = hook

    world.table.before_transact = hook


@pytest.mark.parametrize("written", ["assignment", "eviction", "move"])
def test_cancel_request_survives_a_write_that_crosses_it(world, written):
    """Guards against an owner that overwrites a task row which changed since it was read."""
    world.submit("draw")
    task_id = world.task_ids[0]
    if written == "move":
        for name in ("w1", "w2"):
            world.workers[name].leaving = True
        world.advance(1.5)
        world.workers["w3"].leaving = False
    if written == "eviction":
        world.advance(2)
        assert running(world) == {task_id: "w1"}
        world.workers["w1"].leaving = True
    answers = []
    before_write_of_owner(world, lambda: answers.append(world.tasks.cancel(task_id)))
    world.advance(6)
    assert answers[0].is_ok()
    assert world.rows()[task_id].state == "cancelled"
    assert running(world) == {}
    world.check()


def test_missing_attempt_waits_for_its_start_deadline(world):
    """Guards against a second attempt while the start of the first is still on its way."""
    late = LateStarts(worker=world.workers["w1"])
    world.submit("draw")
    world.advance(0.5)
    assert len(late.held) == 1
    # The owner's next cycle misses the attempt; its start arrives at the last moment.
    world.later(1.0, late.arrive)
    world.advance(4)
    world.check()
    assert running(world) == {world.task_ids[0]: "w1"}
    assert world.witness.starts == 1


def test_missing_attempt_of_a_former_owner_waits_for_the_fence(world):
    """Guards against a second attempt while a former owner's start may still be accepted."""
    w1, w2 = world.workers["w1"], world.workers["w2"]
    late = LateStarts(worker=w1)
    world.submit("draw")
    world.advance(0.5)
    assert len(late.held) == 1
    renew = w1.renew

    def lose(**_):
        raise WorkerUnreachableError("timeout")

    w1.renew = lose  # The new owner's fence does not reach the worker yet.
    world.hand_over("A", "B", "r1")
    world.instances["B"].controller._state.placement = InTurn("w2")
    w2.before_start = late.arrive
    world.advance(1)
    late.arrive()
    world.check()
    w1.renew = renew
    world.advance(4)
    assert running(world) == {world.task_ids[0]: "w1"}
    assert world.witness.starts == 1
    world.check()


def test_missing_attempt_of_a_former_owner_is_queued_again_behind_the_fence(world):
    """Guards against a task that waits for ever for a start that was refused."""
    late = LateStarts(worker=world.workers["w1"])
    world.submit("draw")
    world.advance(0.5)
    world.hand_over("A", "B", "r1")
    world.instances["B"].controller._state.placement = InTurn("w2")
    world.advance(3)
    with pytest.raises(Exception, match="stale_epoch"):
        late.arrive()
    assert running(world) == {world.task_ids[0]: "w2"}
    assert world.witness.starts == 1
    world.check()


def test_half_an_hour_without_the_store_loses_and_doubles_nothing():
    """Guards against tasks that die in an outage within the default time to run on."""
    doc = batch("draw", "secretariat")
    world = World(services=[attrs.evolve(doc, outage_run_s=DEFAULT_OUTAGE_RUN_S)])
    for _ in range(4):
        world.submit("draw")
    world.advance(2)
    before = running(world)
    assert len(before) == 4
    world.table.down = True
    world.advance(1800)
    assert running(world) == before
    assert world.submit("draw").is_err()
    world.finish_all()
    world.advance(10)
    world.table.down = False
    world.advance(5)
    assert [task.state for task in world.rows().values()] == ["finished"] * 4
    assert world.witness.starts == 4
    world.check()


def test_cancelled_tasks_in_waves_leave_the_others_alone():
    """Guards against a burst of cancellations that blocks or ends other tasks."""
    world = World(services=[batch("draw", "secretariat")])
    kept = []
    for _ in range(5):
        for _ in range(8):
            world.submit("draw")
        kept.append(world.task_ids[-1])
        for task_id in world.task_ids[-8:-1]:
            assert world.tasks.cancel(task_id).is_ok()
        world.advance(1)
    for _ in range(6):
        world.advance(2)
        world.finish_all()
    states = {task_id: task.state for task_id, task in world.rows().items()}
    assert [task_id for task_id, state in states.items() if state == "finished"] == sorted(kept)
    assert set(states.values()) == {"finished", "cancelled"}
    world.check()
