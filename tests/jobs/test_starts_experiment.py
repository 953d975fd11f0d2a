"""The experiment on records of starts: docs/starts.md rests on its figures."""

import attrs
import pytest

from bench._leaselengths import LENGTHS
from bench._startrecords import RECORDS, CoveringStepRecord
from bench._startstream import StoreModel, StreamSimulation
from bench.starts_experiment import ASCCL, BESIDE, REGION, figures, table_text
from fescuerudder.jobs.leases import PREDECESSOR_LEASES_S

SHORT = attrs.evolve(ASCCL, warm_s=3.0, measured_s=8.0)
PARALLEL = attrs.evolve(SHORT, name="parallel", is_parallel=True)
OUTAGE = StoreModel(name="out", one_way_s=0.001, outage=(2.0, 5.0))


def run(record, *, stream=SHORT, store=BESIDE, seed=1, **fields):
    return StreamSimulation(stream=stream, store=store, record=record, seed=seed, **fields).run()


@pytest.mark.parametrize("store", [BESIDE, REGION, OUTAGE], ids=lambda store: store.name)
@pytest.mark.parametrize("record", [name for name in RECORDS if name not in ("none", "A with I")])
def test_each_candidate_names_every_attempt_whose_order_was_sent(record, store):
    """Guards against the costs of a record that is cheap because it leaves out attempts."""
    result = run(record, store=store)
    assert result.checks >= 5
    assert result.missing == 0
    assert result.stored_rows > 0
    assert min(result.delays_s) >= 2 * store.one_way_s + store.answer_s - 1e-9


@pytest.mark.parametrize("store", [BESIDE, REGION], ids=lambda store: store.name)
def test_with_cover_a_start_is_sent_at_once_or_waits_for_its_record(store):
    """Guards against a cover that spares more starts their wait than it tells a successor of."""
    result = run("A with I", stream=PARALLEL, store=store)
    least_s = 2 * store.one_way_s + store.answer_s - 1e-9
    assert result.checks >= 5
    assert result.missing == 0
    assert all(delay_s == 0.0 or delay_s >= least_s for delay_s in result.delays_s)
    assert 0 < result.delays_s.count(0.0) < 0.1 * len(result.delays_s)


@pytest.mark.parametrize("fields", [{}, {"worker_room": 4}], ids=["any room", "little room"])
@pytest.mark.parametrize("stream", [SHORT, PARALLEL], ids=lambda stream: stream.name)
def test_with_cover_jobs_that_run_go_on_in_an_outage(stream, fields):
    """Guards against a model of cover that starts what no stored entry tells a successor of."""
    plain = run("A step", stream=stream, store=OUTAGE)
    covered = run("A with I", stream=stream, store=OUTAGE, **fields)
    free = run("none", stream=stream, store=OUTAGE)
    assert covered.missing == 0
    assert plain.running_in_outage < covered.running_in_outage < free.running_in_outage
    assert max(covered.delays_s) > 2.5


def test_the_comparison_finds_starts_that_nothing_covers(monkeypatch):
    """Guards against a comparison that takes each start for covered."""
    monkeypatch.setattr(
        CoveringStepRecord, "covering_workers", lambda self, task: list(self.born_ms)[:1]
    )
    assert run("A with I", store=OUTAGE).missing > 0


def test_tasks_are_held_without_need_only_beside_the_step_that_is_on_record():
    """Guards against a count of held tasks that leaves out those that cover adds."""
    assert run("A step").held_unsent_open < 5
    chain, parallel = run("A with I"), run("A with I", stream=PARALLEL)
    assert chain.held_unsent > run("A step").held_unsent
    assert chain.held_unsent_open < 5
    assert parallel.held_unsent_open == parallel.held_unsent


@pytest.mark.parametrize("seed", [1, 2])
def test_all_candidates_get_the_same_jobs(seed):
    """Guards against differences between candidates that come from other jobs."""
    first, *others = (run(name, seed=seed) for name in RECORDS)
    for other in others:
        assert other.submitted == first.submitted


def test_consent_ends_the_wait_in_an_outage():
    """Guards against a model of consent that never applies, or that applies to all starts."""
    held, sent = run("A step", store=OUTAGE), run("A step", store=OUTAGE, consents=True)
    assert max(held.delays_s) > 2.5
    assert max(sent.delays_s) < 0.5
    assert sent.missing > 0
    assert run("A step", consents=True).missing == 0


def test_the_first_lengths_are_those_of_the_product():
    """Guards against a table of lease lengths whose baseline is outdated."""
    assert LENGTHS[0].wait_s == pytest.approx(PREDECESSOR_LEASES_S)


def test_the_table_has_a_row_for_each_play_and_each_pair_of_lengths():
    """Guards against figures that are measured but not shown."""
    play = {"candidate": "A step", "stream": "s", "store": "beside", **figures(run("A step"))}
    lease = {"candidate": "E 5/9 s", "wait_s": 9.38}
    lines = [play, lease | {"outage_s": 4.2, "ended": 0.0}, lease | {"gap_s": 1.5, "ended": 0.25}]
    table = table_text(lines)
    assert "| s | beside | A step |" in table
    assert "| E 5/9 s | 9.38 | 0.0 | 0.25 |" in table
