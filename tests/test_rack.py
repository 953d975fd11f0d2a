"""Guarantees of a rack's control loop, one situation each."""

from functools import partial

import pytest

from tests.rack_simulation import RackSimulation, batch

SERVICES = [batch("draw", "secretariat"), batch("plate", "press", quota=6)]


@pytest.fixture
def sim():
    return RackSimulation(services=SERVICES)


def placed(sim):
    return {a.task: w.name for w in sim.workers.values() for a in w.running()}


def keep_on_r1(sim):
    """Lets the only worker of rack r2 leave, so that tasks wait on r1."""
    sim.workers["w3"].leaving = True
    sim.advance(1)


def states(sim):
    return [sim.rows()[task_id].state for task_id in sim.task_ids]


def test_tasks_run_and_finish_once(sim):
    for _ in range(4):
        sim.submit("draw")
    sim.advance(2)
    assert len(placed(sim)) == 4
    sim.finish_all()
    sim.advance(2)
    assert states(sim) == ["finished"] * 4
    sim.check()
    assert all(w.status().tasks == () for w in sim.workers.values())


def test_lost_answers_have_no_second_effect(sim):
    """Guards against a second start after an assignment whose answer was lost."""
    sim.submit("draw")
    sim.table.lose_answers = 1
    sim.advance(3)
    assert sim.witness.starts == 1
    sim.table.lose_answers = 1
    sim.finish_all()
    sim.advance(3)
    assert states(sim) == ["finished"]
    sim.check()


@pytest.mark.parametrize(
    ("how", "resumes_after_s"),
    [("owner stays", 15), ("planned handover", 15), ("owner lost too", 15 + 10)],
)
def test_task_of_a_lost_worker_waits_for_its_lease(sim, how, resumes_after_s):
    """Guards against a second start while the lost worker may still run the first attempt."""
    keep_on_r1(sim)
    sim.submit("draw")
    sim.advance(2)
    lost = sim.workers[placed(sim)[sim.task_ids[0]]]
    lost.is_cut_off = True
    if how == "planned handover":
        sim.hand_over("A", "B", "r1")
    if how == "owner lost too":
        sim.instances["A"].is_paused = True
        sim.advance(5)
        sim.claim("B", "r1")
    sim.advance(resumes_after_s - 4)
    assert sim.witness.starts == 1
    sim.advance(6)
    assert sim.witness.starts == 2
    sim.check()


def test_new_owner_adopts_running_tasks(sim):
    """Guards against evictions and second starts after a takeover."""
    sim.submit("draw")
    sim.advance(2)
    sim.instances["A"].is_paused = True
    sim.advance(5)
    sim.claim("B", "r1")
    sim.advance(60)
    assert sim.witness.starts == 1
    assert len(placed(sim)) == 1


def test_zone_out_evicts_and_moves_to_another_zone(sim):
    keep_on_r1(sim)
    sim.submit("draw")
    sim.advance(2)
    sim.workers["w3"].leaving = False
    sim.advance(1)
    sim.set_zone("a", "out")
    sim.advance(4)
    task_id = sim.task_ids[0]
    assert placed(sim) == {task_id: "w3"}
    assert sim.rows()[task_id].checkpoint == f"{task_id}@1"
    sim.check()


@pytest.mark.parametrize("is_running", [True, False])
def test_cancelled_task_ends(sim, is_running):
    if not is_running:
        sim.table.down = True
        sim.advance(3)
        sim.table.down = False
    sim.submit("draw")
    if is_running:
        sim.advance(2)
    sim.tasks.cancel(sim.task_ids[0])
    sim.advance(3)
    assert states(sim) == ["cancelled"]
    assert placed(sim) == {}


def test_store_outage_keeps_tasks_running_for_their_time_only(sim):
    """Guards against tasks that end in a short outage of the store, or never end in a long one."""
    sim.submit("draw")
    sim.advance(2)
    sim.table.down = True
    sim.advance(12)
    assert len(placed(sim)) == 1
    sim.advance(28)
    assert placed(sim) == {}
    sim.table.down = False
    sim.advance(5)
    assert len(placed(sim)) == 1
    assert sim.witness.starts == 2
    sim.check()


def test_no_start_without_a_fresh_view(sim):
    """Guards against starts in a zone that was taken out of service while the store was down."""
    sim.instances["A"].view.is_fresh = lambda: False
    keep_on_r1(sim)
    sim.submit("draw")
    sim.advance(5)
    assert sim.witness.starts == 0


def test_share_is_reclaimed_newest_first(sim):
    keep_on_r1(sim)
    for _ in range(4):
        sim.submit("plate")
        sim.advance(1)
    assert len(placed(sim)) == 4
    sim.submit("draw")
    sim.advance(5)
    evictions = [sim.rows()[task_id].evictions for task_id in sim.task_ids]
    assert evictions == [0, 0, 0, 1, 0]
    assert sim.task_ids[4] in placed(sim)
    sim.check()


def test_broken_worker_is_quarantined(sim):
    """Guards against a worker that gets most tasks since it fails each at once."""
    keep_on_r1(sim)
    sim.workers["w1"].is_broken = True
    for _ in range(8):
        sim.submit("draw")
    sim.advance(30)
    assert sum(row.attempt for row in sim.rows().values()) <= 8 + 4
    assert set(placed(sim).values()) == {"w2"}
    sim.workers["w1"].is_broken = False
    sim.advance(60)
    assert set(placed(sim).values()) == {"w1", "w2"}


def test_restarted_worker_loses_its_tasks_at_once(sim):
    keep_on_r1(sim)
    sim.submit("draw")
    sim.advance(2)
    sim.workers[placed(sim)[sim.task_ids[0]]].restart()
    sim.advance(3)
    assert len(placed(sim)) == 1
    sim.check()


def test_task_waits_for_its_lease_while_another_worker_has_the_address(sim):
    """Guards against a second start because another worker answers in place of a cut-off one.

    The membership list still shows the address of the worker that runs the task.
    """
    keep_on_r1(sim)
    sim.submit("draw")
    sim.advance(2)
    sim.take_address("w4", former=placed(sim)[sim.task_ids[0]], is_listed=False)
    sim.advance(10)
    assert sim.witness.starts == 1
    sim.advance(8)
    assert sim.witness.starts == 2
    sim.check()


@pytest.mark.parametrize("is_former_gone", [True, False])
def test_tasks_of_a_worker_are_kept_when_it_has_the_address_of_a_former_one(sim, is_former_gone):
    """Guards against orders for a former worker that stop the tasks of the one at its address.

    Its room must not be counted for both workers either.
    """
    keep_on_r1(sim)
    sim.submit("draw")
    sim.advance(2)
    former = placed(sim)[sim.task_ids[0]]
    if is_former_gone:
        sim.workers[former].restart()
    sim.take_address("w4", former=former, is_listed=True)
    sim.advance(20)
    for _ in range(6):
        sim.submit("draw")
    sim.advance(10)
    sim.check()
    starts, running = sim.witness.starts, placed(sim)
    assert "w4" in running.values()
    sim.advance(10)
    assert (sim.witness.starts, placed(sim)) == (starts, running)


def test_summary_survives_a_round_trip(sim):
    sim.submit("draw")
    sim.advance(2)
    for summary in sim.summaries():
        assert type(summary).load(summary.dump()) == summary
    assert sum(len(s.upstreams) for s in sim.summaries()) == 3


def queue_on_r1(sim):
    """Submits a task to rack r1, which its owner starts next."""
    keep_on_r1(sim)
    sim.submit("draw")


def test_stale_view_of_a_zone_starts_nothing(sim):
    """Guards against starts by an owner whose view does not show yet that the zone is out."""
    keep_on_r1(sim)
    for instance in sim.instances.values():
        instance.is_view_stalled = True
    sim.set_zone("a", "out")
    sim.advance(5)
    sim.submit("draw")
    sim.submit("draw")
    sim.advance(5)
    sim.check()


@pytest.mark.parametrize("seconds", [3.5, 20])
def test_start_delayed_past_its_window_is_refused(sim, seconds):
    """Guards against a start in a zone that was taken out while the start order was in transit."""
    queue_on_r1(sim)

    def delay():
        sim.set_zone("a", "out")
        sim.instances["A"].suspend(seconds)

    for name in ("w1", "w2"):
        sim.workers[name].before_start = delay
    sim.advance(2)
    assert sim.witness.starts == 0
    sim.check()


def test_write_of_a_replaced_owner_is_refused(sim):
    """Guards against a stale owner whose write is accepted since the task row is unchanged."""
    queue_on_r1(sim)

    def delay(txn):
        for name in ("w1", "w2"):
            sim.workers[name].leaving = True
        sim.instances["A"].suspend(8)
        for name in ("w1", "w2"):
            sim.workers[name].leaving = False

    sim.table.before_transact = delay
    sim.advance(3)
    assert sim.owner_of("r1")[0] == "B"
    sim.advance(3)
    sim.check()
    assert len(placed(sim)) == 1


def test_lost_answer_of_a_start_is_not_taken_for_a_refusal(sim):
    """Guards against a second attempt while the first one runs, after its answer was lost."""
    queue_on_r1(sim)
    for worker in sim.workers.values():
        worker.before_start = partial(setattr, worker, "loses_answers", True)
    sim.advance(1)
    for name in ("w1", "w2"):
        sim.workers[name].loses_answers = False
    sim.advance(5)
    assert sim.witness.starts == 1
    sim.check()
