"""Tests the rows of the roster: their size, what earlier versions make of them, damaged ones."""

import attrs
import pytest

from bench._jobsimulation import JobSimulation
from fescuerudder.jobs import rosterrows
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.leaderwriter import MAX_PART_BYTES
from fescuerudder.jobs.progress import StoredFormError
from fescuerudder.jobs.roster import UNREADABLE, RosterEntry, load_roster
from fescuerudder.jobs.rosterrows import dump_roster_rows, load_roster_rows, recover_roster_rows
from fescuerudder.jobs.rows import MAX_ROW_BYTES, Row, RowTransaction
from fescuerudder.jobs.storage import ROSTER_KEY, roster_key, roster_row_number

TEMPLATE = JobSimulation(workers=1).workers["w0"].registry_entry()


def entries(count, *, attempts=0):
    """Returns entries of workers that are silent if they have attempts."""
    infos = [
        attrs.evolve(TEMPLATE, id=f"i-{n:010x}", address=f"10.0.0.1:{n}") for n in range(count)
    ]
    if not attempts:
        return [RosterEntry(info=info) for info in infos]
    refs = tuple((TaskId("00000000000000aa", 0, 1, n), 10001) for n in range(attempts))
    return [RosterEntry(info=info, only_attempts=refs, deadline_ms=90_000) for info in infos]


def stored(roster):
    return {key: Row(key, value, 7) for key, value in roster.rows.items()}


@pytest.mark.parametrize(
    ("workers", "attempts", "several", "has_further", "keeps_attempts"),
    [
        (1000, 0, True, False, True),
        (600, 8, True, True, True),
        (600, 8, False, False, False),
        (5000, 0, False, True, True),
        (5000, 0, True, True, True),
        (5000, 8, True, True, False),
    ],
)
def test_a_roster_fits_and_is_the_same_after_it_is_loaded(
    workers, attempts, several, has_further, keeps_attempts
):
    """Guards against a roster that the store rejects, whose new workers would get no tasks.

    An instance that reads one row must take several for malformed, not for all that there is.
    """
    given = entries(workers, attempts=attempts)
    roster = dump_roster_rows(given, several=several)
    assert several or roster.is_whole is keeps_attempts
    assert roster.fits and max(map(len, roster.rows.values())) <= MAX_ROW_BYTES
    assert sum(map(len, roster.rows.values())) <= MAX_PART_BYTES
    assert bool(roster.further_rows) is has_further
    loaded = load_roster_rows(stored(roster))
    assert [e.info.id for e in loaded] == [e.info.id for e in given]
    if keeps_attempts:
        assert [e.only_attempts for e in loaded] == [e.only_attempts for e in given]
    if has_further:
        assert [e.deadline_ms for e in loaded] == [e.deadline_ms for e in given]
        with pytest.raises(StoredFormError):
            load_roster(roster.rows[ROSTER_KEY])


def test_a_roster_that_does_not_fit_says_so():
    """Guards against a fleet whose workers get no tasks while no metric tells why."""
    assert not dump_roster_rows(entries(12_000), several=True).fits


@pytest.mark.parametrize(
    "damage",
    [
        lambda rows: rows.pop(roster_key(2)),
        lambda rows: rows.update({roster_key(2): Row(roster_key(2), b'[["a"]]', 7)}),
        lambda rows: rows.update({roster_key(2): rows[roster_key(2)]._replace(version=6)}),
        lambda rows: rows.update({ROSTER_KEY: Row(ROSTER_KEY, b'{"rows":1e9}', 7)}),
    ],
)
def test_a_missing_row_makes_a_roster_unreadable(damage):
    """Guards against a task that runs twice because a worker of a lost row counts as unused."""
    rows = stored(dump_roster_rows(entries(5000), several=True))
    damage(rows)
    with pytest.raises(StoredFormError):
        load_roster_rows(rows)
    assert UNREADABLE in recover_roster_rows(rows)


@pytest.mark.parametrize("workers", [2, 5000])
def test_a_successor_knows_all_workers_and_removes_rows_that_are_no_longer_used(workers):
    """Guards against workers that a takeover forgets, and rows that an earlier version leaves."""
    sim = JobSimulation(workers=workers)
    sim.claim("a")
    sim.run(0.2)
    sim.store.write(RowTransaction(puts=((roster_key(9), b"[]"),)), timeout_s=1)
    sim.leaders[-1].alive = False
    leader = sim.claim("b")
    assert set(leader.scheduler.state.workers) == set(sim.workers)
    sim.run(1.5)
    page = sim.store.read(table=ROSTER_KEY.table, partition=ROSTER_KEY.partition, timeout_s=1)
    further = {roster_row_number(row.key) for row in page.rows} - {0}
    assert 9 not in further and bool(further) is (workers > 1200)
    assert all(r.on_roster for r in leader.scheduler.state.workers.values())


def test_a_follower_that_reads_one_row_gets_one(monkeypatch):
    """Guards against a roster that an instance of an earlier version can't read when it leads."""
    monkeypatch.setattr(rosterrows, "MAX_ROSTER_BYTES", 10)
    scheduler = JobSimulation(workers=2).claim("a").scheduler
    spread = scheduler.take_progress(roster_rows=True)
    scheduler.on_stored(spread, rejected=frozenset())
    single = scheduler.take_progress(roster_rows=False)
    scheduler.on_stored(single, rejected=frozenset())
    assert (spread.roster.further_rows, single.roster.further_rows) == (1, 0)
    assert roster_key(1) in scheduler.take_progress().deletes
