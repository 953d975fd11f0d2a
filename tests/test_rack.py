"""The control loop of a rack keeps the guarantees in single, named situations."""

from functools import partial

import pytest

from tests.rack_simulation import World, batch

SERVICES = [batch("draw", "secretariat"), batch("plate", "press", quota=6)]


@pytest.fixture
def world():
    return World(services=SERVICES)


def placed(world):
    return {a.task: w.name for w in world.workers.values() for a in w.running()}


def keep_on_r1(world):
    """Puts rack r2 out of reach, so that tasks wait on r1."""
    world.workers["w3"].leaving = True
    world.advance(1)


def states(world):
    return [world.rows()[task_id].state for task_id in world.task_ids]


def test_tasks_run_and_finish_once(world):
    for _ in range(4):
        world.submit("draw")
    world.advance(2)
    assert len(placed(world)) == 4
    world.finish_all()
    world.advance(2)
    assert states(world) == ["finished"] * 4
    world.check()
    assert all(w.status().tasks == () for w in world.workers.values())


def test_lost_answers_have_no_second_effect(world):
    """Guards against a second start after an assignment whose answer was lost."""
    world.submit("draw")
    world.table.lose_answers = 1
    world.advance(3)
    assert world.witness.starts == 1
    world.table.lose_answers = 1
    world.finish_all()
    world.advance(3)
    assert states(world) == ["finished"]
    world.check()


@pytest.mark.parametrize(
    ("how", "resumes_after_s"),
    [("owner stays", 15), ("planned handover", 15), ("owner lost too", 15 + 10)],
)
def test_task_of_a_lost_worker_waits_for_its_lease(world, how, resumes_after_s):
    """Guards against a second copy while the lost worker may still run the first."""
    keep_on_r1(world)
    world.submit("draw")
    world.advance(2)
    lost = world.workers[placed(world)[world.task_ids[0]]]
    lost.is_cut = True
    if how == "planned handover":
        world.hand_over("A", "B", "r1")
    if how == "owner lost too":
        world.instances["A"].is_paused = True
        world.advance(5)
        world.claim("B", "r1")
    world.advance(resumes_after_s - 4)
    assert world.witness.starts == 1
    world.advance(6)
    assert world.witness.starts == 2
    world.check()


def test_new_owner_adopts_running_tasks(world):
    """Guards against evictions and second starts on a takeover."""
    world.submit("draw")
    world.advance(2)
    world.instances["A"].is_paused = True
    world.advance(5)
    world.claim("B", "r1")
    world.advance(60)
    assert world.witness.starts == 1
    assert len(placed(world)) == 1


def test_zone_out_evicts_and_moves_to_another_zone(world):
    keep_on_r1(world)
    world.submit("draw")
    world.advance(2)
    world.workers["w3"].leaving = False
    world.advance(1)
    world.set_zone("a", "out")
    world.advance(4)
    task_id = world.task_ids[0]
    assert placed(world) == {task_id: "w3"}
    assert world.rows()[task_id].checkpoint == f"{task_id}@1"
    world.check()


@pytest.mark.parametrize("is_running", [True, False])
def test_cancelled_task_ends(world, is_running):
    if not is_running:
        world.table.down = True
        world.advance(3)
        world.table.down = False
    world.submit("draw")
    if is_running:
        world.advance(2)
    world.tasks.cancel(world.task_ids[0])
    world.advance(3)
    assert states(world) == ["cancelled"]
    assert placed(world) == {}


def test_store_outage_keeps_tasks_running_for_their_time_only(world):
    """Guards against tasks that die in a short outage, or run on for ever in a long one."""
    world.submit("draw")
    world.advance(2)
    world.table.down = True
    world.advance(12)
    assert len(placed(world)) == 1
    world.advance(28)
    assert placed(world) == {}
    world.table.down = False
    world.advance(5)
    assert len(placed(world)) == 1
    assert world.witness.starts == 2
    world.check()


def test_no_start_without_a_fresh_view(world):
    """Guards against starts in a zone that went out while the store was unreadable."""
    world.instances["A"].view.is_fresh = lambda: False
    keep_on_r1(world)
    world.submit("draw")
    world.advance(5)
    assert world.witness.starts == 0


def test_share_is_reclaimed_newest_first(world):
    keep_on_r1(world)
    for _ in range(4):
        world.submit("plate")
        world.advance(1)
    assert len(placed(world)) == 4
    world.submit("draw")
    world.advance(5)
    evictions = [world.rows()[task_id].evictions for task_id in world.task_ids]
    assert evictions == [0, 0, 0, 1, 0]
    assert world.task_ids[4] in placed(world)
    world.check()


def test_broken_worker_is_quarantined(world):
    """Guards against a worker that attracts all tasks because it fails them at once."""
    keep_on_r1(world)
    world.workers["w1"].is_broken = True
    for _ in range(8):
        world.submit("draw")
    world.advance(30)
    assert sum(row.attempt for row in world.rows().values()) <= 8 + 4
    assert set(placed(world).values()) == {"w2"}
    world.workers["w1"].is_broken = False
    world.advance(60)
    assert set(placed(world).values()) == {"w1", "w2"}


def test_restarted_worker_loses_its_tasks_at_once(world):
    keep_on_r1(world)
    world.submit("draw")
    world.advance(2)
    world.workers[placed(world)[world.task_ids[0]]].restart()
    world.advance(3)
    assert len(placed(world)) == 1
    world.check()


def test_summary_survives_a_round_trip(world):
    world.submit("draw")
    world.advance(2)
    for summary in world.summaries():
        assert type(summary).load(summary.dump()) == summary
    assert sum(len(s.upstreams) for s in world.summaries()) == 3


def queue_on_r1(world):
    """Leaves one queued task whose start is the next thing the owner sends."""
    keep_on_r1(world)
    world.submit("draw")


def test_stale_view_of_a_zone_starts_nothing(world):
    """Guards against starts by an owner that has not learned that the zone went out."""
    keep_on_r1(world)
    for instance in world.instances.values():
        instance.is_view_stalled = True
    world.set_zone("a", "out")
    world.advance(5)
    world.submit("draw")
    world.submit("draw")
    world.advance(5)
    world.check()


@pytest.mark.parametrize("seconds", [3.5, 20])
def test_start_delayed_past_its_window_is_refused(world, seconds):
    """Guards against a start in a zone that went out while the start was on its way."""
    queue_on_r1(world)

    def delay():
        world.set_zone("a", "out")
        world.instances["A"].suspend(seconds)

    for name in ("w1", "w2"):
        world.workers[name].before_start = delay
    world.advance(2)
    assert world.witness.starts == 0
    world.check()


def test_write_of_a_replaced_owner_is_refused(world):
    """Guards against a stale owner whose write passes since the task row did not change."""
    queue_on_r1(world)

    def delay(txn):
        for name in ("w1", "w2"):
            world.workers[name].leaving = True
        world.instances["A"].suspend(8)
        for name in ("w1", "w2"):
            world.workers[name].leaving = False

    world.table.before_transact = delay
    world.advance(3)
    assert world.owner_of("r1")[0] == "B"
    world.advance(3)
    world.check()
    assert len(placed(world)) == 1


def test_lost_answer_of_a_start_is_not_taken_for_a_refusal(world):
    """Guards against a second attempt while the first one runs."""
    queue_on_r1(world)
    for worker in world.workers.values():
        worker.before_start = partial(setattr, worker, "loses_answers", True)
    world.advance(1)
    for name in ("w1", "w2"):
        world.workers[name].loses_answers = False
    world.advance(5)
    assert world.witness.starts == 1
    world.check()
