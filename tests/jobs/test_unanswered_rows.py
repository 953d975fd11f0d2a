"""What a successor concludes of recorded starts from the row that names those without an answer.

The starts themselves, and what carries them out later, are in `test_unanswered_starts`.
"""

import attrs
import pytest

from fescuerudder.jobs import unansweredstarts
from fescuerudder.jobs.claim import load_lease_bound
from fescuerudder.jobs.isolation import ISOLATION_RETRY_S
from fescuerudder.jobs.job import Step, StepId, TaskId
from fescuerudder.jobs.jobrun import MAX_ORDER_DELAY_S, JobState
from fescuerudder.jobs.latestarts import MAX_STORED, StoredLateStart, dump_late_starts
from fescuerudder.jobs.rows import ABSENT, RowTransaction
from fescuerudder.jobs.startrecords import StepStarts, StoredStart
from fescuerudder.jobs.storage import LATE_STARTS_KEY, LEASES_KEY, UNANSWERED_KEY, starts_key
from fescuerudder.jobs.unansweredstarts import StoredUnanswered
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.test_former_incarnation import (
    NEVER_S,
    OTHER_JOB,
    delay,
    make_world,
    require,
    run_until,
)
from tests.jobs.test_scheduler import ONE

STEP = StepId(OTHER_JOB, 0, 0)
ANSWERED, UNANSWERED = 0, 2
"""Indexes of the tasks on the first worker, by what its starts were."""

CLAIM_S = 0.4
"""Time from the loss of a leader to the next claim, in seconds."""

LEASES_ENDED_S = 12.0
"""Time from a claim by which all earlier leases have ended, in seconds."""

UNREADABLE = b"{"


def late_start(index, *, until_ms=0, number=1):
    """Returns the stored form of a start on the first worker."""
    task = TaskId(*STEP, index)
    return StoredLateStart(
        worker="w0", incarnation_ms=1000, task=task, number=number, until_ms=until_ms
    )


def lose_leader(sim, *, after_s=0.8):
    """Loses the leader; no other one reaches the first worker."""
    sim.run(after_s)
    sim.leaders[-1].alive = False
    sim.cut |= {(name, "w0") for name in "bcd"}


def is_delayed(order):
    """Returns whether an order is the start without an answer."""
    is_first = isinstance(order, StartOrder) and order.attempt == 1
    return is_first and order.task.index == UNANSWERED


def make_lost_world(*, run_s=60.0, after_s=0.8):
    """Returns a world whose leader was lost, and when it sent its starts.

    One start to the first worker was answered. The other one was not, and isn't given up yet.
    """
    sim, _, worker = make_world(tasks=0)
    sim.run_s = run_s
    delay(sim, lambda order: NEVER_S if is_delayed(order) else None)
    sim.submit(OTHER_JOB, steps=[Step(count=4, size=ONE)])
    run_until(sim, lambda: worker.runs)
    started_s = sim.clock.now_s()
    require({task.index for task, _ in worker.runs} == {ANSWERED})
    lose_leader(sim, after_s=after_s)
    return sim, started_s


def store(sim, **rows):
    """Writes or deletes rows in one transaction, by the names of their keys."""
    keys = {"late": LATE_STARTS_KEY, "unanswered": UNANSWERED_KEY, "record": starts_key(STEP, 0)}
    txn = RowTransaction(
        puts=tuple((keys[name], value) for name, value in rows.items() if value is not None),
        deletes=tuple(keys[name] for name, value in rows.items() if value is None),
    )
    sim.store.write(txn, timeout_s=1)


def rewrite_record(sim):
    """Stores the record of the step again, so that it is newer than all other rows."""
    store(sim, record=sim.store.get(starts_key(STEP, 0)).value)


def name_more_than_the_limit(sim):
    """Stores a row with more starts than this version stores, the present ones at its end."""
    others = [late_start(index + 10) for index in range(MAX_STORED)]
    store(sim, unanswered=dump_late_starts([*others, late_start(UNANSWERED)]))


def unanswered_indexes(leader):
    """Returns the indexes of the tasks on the first worker whose starts count as unanswered."""
    attempts = leader.scheduler.state.workers["w0"].attempts.values()
    return {attempt.task.id.index for attempt in attempts if not attempt.is_answered}


def started_elsewhere(sim):
    """Returns the indexes of the first worker's tasks that have started on another one."""
    starts = {event[2].index for event in sim.events if event[1] != "w0" and event[4] == "start"}
    return starts & {ANSWERED, UNANSWERED}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        pytest.param(lambda sim: None, {UNANSWERED}, id="as written"),
        pytest.param(rewrite_record, {ANSWERED, UNANSWERED}, id="record newer than the row"),
        pytest.param(
            lambda sim: store(sim, unanswered=None), {ANSWERED, UNANSWERED}, id="row absent"
        ),
        pytest.param(
            lambda sim: store(sim, unanswered=UNREADABLE),
            {ANSWERED, UNANSWERED},
            id="row unreadable",
        ),
        pytest.param(
            lambda sim: store(sim, unanswered=b"[]"), set(), id="row newer, names no start"
        ),
        pytest.param(
            lambda sim: store(sim, unanswered=dump_late_starts([late_start(ANSWERED)])),
            {ANSWERED},
            id="row newer, names the other start",
        ),
        pytest.param(
            lambda sim: store(sim, unanswered=dump_late_starts([late_start(UNANSWERED, number=2)])),
            {UNANSWERED},
            id="row newer, names another attempt",
        ),
        pytest.param(name_more_than_the_limit, {UNANSWERED}, id="more than the limit"),
    ],
)
def test_a_successor_binds_the_starts_that_may_be_unanswered(change, expected):
    """Guards against a start that counts as answered without proof (TWICE), and the reverse (LOST).

    Tasks whose starts were answered start elsewhere once the leases have ended, all others not
    before their orders can no longer be carried out.
    """
    sim, _ = make_lost_world()
    change(sim)
    sim.run(CLAIM_S)
    leader = sim.claim("b")
    assert unanswered_indexes(leader) == expected
    sim.run(LEASES_ENDED_S)
    assert started_elsewhere(sim) == {ANSWERED, UNANSWERED} - expected
    sim.run(MAX_ORDER_DELAY_S + LEASES_ENDED_S)
    assert started_elsewhere(sim) == {ANSWERED, UNANSWERED}


def test_a_named_attempt_that_no_record_names_counts_as_unanswered():
    """Guards against a start that is known from the row only, as its record was rewritten since."""
    sim, _ = make_lost_world()
    store(sim, unanswered=dump_late_starts([late_start(UNANSWERED, number=7)]))
    sim.run(CLAIM_S)
    attempts = sim.claim("b").scheduler.state.workers["w0"].attempts
    assert not attempts[(TaskId(*STEP, UNANSWERED), 7)].is_answered


@pytest.mark.parametrize("is_newer", [False, True])
def test_late_starts_of_the_previous_version_count_if_their_row_is_newer(is_newer):
    """Guards against an outdated row, and against an instance of the previous version that led."""
    sim, _ = make_lost_world()
    unanswered = sim.store.get(UNANSWERED_KEY).value
    store(sim, late=dump_late_starts([late_start(ANSWERED, number=7)]))
    if not is_newer:
        store(sim, unanswered=unanswered)
    sim.run(CLAIM_S)
    leader = sim.claim("b")
    assert unanswered_indexes(leader) == ({ANSWERED, UNANSWERED} if is_newer else {UNANSWERED})
    sim.run(LEASES_ENDED_S)
    assert (ANSWERED in started_elsewhere(sim)) is not is_newer


def test_starts_of_the_previous_version_are_bound_from_the_end_of_its_leases():
    """Guards against starts of a predecessor that stores no row: it may have sent them until then.

    The time in its row of late starts holds for those that the row names.
    """
    sim, started_s = make_lost_world()
    until_ms = int((started_s + 9.0) * 1000)
    store(
        sim,
        late=dump_late_starts([late_start(UNANSWERED, until_ms=until_ms)]),
        unanswered=None,
    )
    sim.run(CLAIM_S)
    leases_end_s = load_lease_bound(sim.store.get(LEASES_KEY).value).until_ms / 1000
    attempts = sim.claim("b").scheduler.state.workers["w0"].attempts
    ends_s = {key[0].index: attempt.order_ends_s for key, attempt in attempts.items()}
    assert ends_s[ANSWERED] == pytest.approx(leases_end_s + MAX_ORDER_DELAY_S, abs=0.1)
    assert ends_s[UNANSWERED] == pytest.approx(started_s + 9.0, abs=0.1)


@pytest.mark.parametrize("term_s", [0.1, 0.6, 3.0])
@pytest.mark.parametrize("row", [None, UNREADABLE], ids=["absent", "unreadable"])
def test_the_second_successor_knows_what_the_first_one_could_not_rule_out(row, term_s):
    """Guards against a row of the first successor that names only what it was sure of."""
    sim, _ = make_lost_world()
    store(sim, unanswered=row)
    sim.run(CLAIM_S)
    sim.claim("b")
    sim.run(term_s)
    sim.leaders[-1].alive = False
    sim.run(CLAIM_S)
    assert unanswered_indexes(sim.claim("c")) == {ANSWERED, UNANSWERED}


def test_takeovers_do_not_extend_the_time_of_a_start_that_was_sent():
    """Guards against tasks that wait for 20 s from each claim, though the order is older (LOST)."""
    sim, started_s = make_lost_world()
    for name in "bcd":
        sim.run(CLAIM_S)
        leader = sim.claim(name)
        sim.run(1.5)
        leader.alive = False
    attempt = leader.scheduler.state.workers["w0"].attempts[(TaskId(*STEP, UNANSWERED), 1)]
    assert attempt.order_ends_s == pytest.approx(started_s + MAX_ORDER_DELAY_S, abs=0.2)


@pytest.mark.parametrize("takeovers", [1, 2, 3])
def test_each_successor_knows_of_the_late_start_of_an_ended_task(takeovers):
    """Guards against a start after the end: no leader calls the worker before it carries it out.

    The task ended in another run on its worker. Each leader stores a row of its own.
    """
    sim, _ = make_lost_world(run_s=1.0, after_s=8.0)
    require(sim.state(OTHER_JOB) is JobState.COMPLETED)
    for name in "bcd"[:takeovers]:
        sim.run(CLAIM_S)
        leader = sim.claim(name)
        assert leader.scheduler.state.late_starts.may_reach("w0", sim.clock.now_s())
        sim.run(1.5)
        leader.alive = False


def test_a_row_that_would_name_too_many_starts_names_none(monkeypatch):
    """Guards against a row over the store's limit, and one that names only some of the starts.

    As it can't be read, all starts count as unanswered.
    """
    monkeypatch.setattr(unansweredstarts, "MAX_STORED", 1)
    sim, _, worker = make_world(tasks=0)
    before = sim.store.get(UNANSWERED_KEY)
    require(before is None or before.value == b"[]")
    sim.run_s = 60.0
    delay(sim, lambda order: NEVER_S)
    sim.submit(OTHER_JOB, steps=[Step(count=4, size=ONE)])
    run_until(sim, lambda: sim.workers["w1"].runs)
    lose_leader(sim)
    assert sim.store.get(UNANSWERED_KEY).value == unansweredstarts.TOO_MANY_ROW
    sim.run(CLAIM_S)
    assert unanswered_indexes(sim.claim("b")) == {ANSWERED, UNANSWERED}
    assert not worker.runs


def test_the_row_is_stored_again_once_it_has_space(monkeypatch):
    """Guards against starts that stay unanswered for all successors after one busy moment."""
    monkeypatch.setattr(unansweredstarts, "MAX_STORED", 1)
    sim, _ = make_lost_world()
    assert sim.store.get(UNANSWERED_KEY).version > sim.store.get(starts_key(STEP, 0)).version
    sim.run(CLAIM_S)
    assert unanswered_indexes(sim.claim("b")) == {UNANSWERED}


def test_the_row_is_stored_again_after_it_was_rejected():
    """Guards against answers that no row tells of until the next start, as the store rejected one.

    The row that was stored with the record names all starts.
    """
    sim, _, worker = make_world(tasks=0)
    sim.run_s = 60.0
    rejected = []

    def rejects(key, value):
        if key != UNANSWERED_KEY or value != b"[]" or not worker.runs:
            return False
        rejected.append(sim.clock.now_s())
        return rejected[-1] < rejected[0] + 0.3

    sim.store.faults.rejects = rejects
    sim.submit(OTHER_JOB, steps=[Step(count=4, size=ONE)])
    run_until(sim, lambda: rejected)
    lose_leader(sim, after_s=ISOLATION_RETRY_S + 2.0)
    sim.run(CLAIM_S)
    leader = sim.claim("b")
    assert len(leader.scheduler.state.workers["w0"].attempts) == 2
    assert unanswered_indexes(leader) == set()


def test_a_record_of_answered_starts_does_not_make_them_unanswered():
    """Guards against a record that is newer than the row though no start was added (LOST).

    The first successor stores a record as it adopts runs that none named.
    """
    sim, _, worker = make_world(tasks=0)
    sim.run_s = 60.0
    sim.submit(OTHER_JOB, steps=[Step(count=4, size=ONE)])
    run_until(sim, lambda: worker.runs)
    sim.run(1.0)
    sim.leaders[-1].alive = False
    store(sim, record=None)
    sim.run(CLAIM_S)
    sim.claim("b")
    sim.run(2.0)
    require(sim.store.get(starts_key(STEP, 0)) is not None)
    lose_leader(sim)
    sim.run(CLAIM_S)
    leader = sim.claim("c")
    assert len(leader.scheduler.state.workers["w0"].attempts) == 2
    assert unanswered_indexes(leader) == set()


@pytest.mark.parametrize(
    ("number", "version", "named", "is_answered"),
    [
        (1, 5, [], True),
        (1, 4, [], True),
        (1, 6, [], False),
        (1, 5, [late_start(0)], False),
        (1, 5, [late_start(1)], True),
        (1, 5, [late_start(0, number=2)], True),
        (1, 5, [attrs.evolve(late_start(0), worker="w1")], True),
        (1, 5, [attrs.evolve(late_start(0), incarnation_ms=1001)], False),
        (0, 5, [], False),
    ],
)
def test_a_start_was_answered_if_a_later_row_does_not_name_it(number, version, named, is_answered):
    """Guards against a wrong version, worker or number in the comparison of record and row."""
    start = StoredStart(worker="w0", incarnation_ms=1000, index=0, number=number)
    record = StepStarts(step=STEP, starts=(start,))
    row = StoredUnanswered(starts=tuple(named), version=5)
    (marked,) = row.mark_answered(record, version=version).starts
    assert marked == attrs.evolve(start, is_answered=is_answered)


def test_without_a_row_no_start_was_answered():
    """Guards against a predecessor of the previous version whose starts count as answered."""
    start = StoredStart(worker="w0", incarnation_ms=1000, index=0, number=1)
    record = StepStarts(step=STEP, starts=(start,))
    assert StoredUnanswered().mark_answered(record, version=ABSENT + 1) == record
