"""The experiment on records of starts: docs/starts.md rests on its figures."""

import attrs
import pytest

from bench._leaselengths import LENGTHS
from bench._startrecords import RECORDS
from bench._startstream import StoreModel, StreamSimulation
from bench.starts_experiment import ASCCL, BESIDE, REGION, figures, table_text
from fescuerudder.jobs.leases import PREDECESSOR_LEASES_S

SHORT = attrs.evolve(ASCCL, warm_s=3.0, measured_s=8.0)
OUTAGE = StoreModel(name="out", one_way_s=0.001, outage=(2.0, 5.0))


def run(record, *, store=BESIDE, seed=1, **fields):
    return StreamSimulation(stream=SHORT, store=store, record=record, seed=seed, **fields).run()


@pytest.mark.parametrize("store", [BESIDE, REGION, OUTAGE], ids=lambda store: store.name)
@pytest.mark.parametrize("record", [name for name in RECORDS if name != "none"])
def test_each_candidate_names_every_attempt_whose_order_was_sent(record, store):
    """Guards against the costs of a record that is cheap because it leaves out attempts."""
    result = run(record, store=store)
    assert result.checks >= 5
    assert result.missing == 0
    assert result.stored_rows > 0
    assert min(result.delays_s) >= 2 * store.one_way_s + store.answer_s - 1e-9


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
