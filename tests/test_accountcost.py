"""Experiment on the cost of accounts."""

from bench.accountcost import ROOT, measure, table_text


def test_a_small_run_measures_each_version_and_number_of_accounts():
    """Guards against an experiment that doesn't run, or whose starts are not reproducible.

    Load: 4 workers, 1.3 times what fits, for 25 ticks.
    """
    lines = measure(
        {"new": ROOT, "same": ROOT}, load=1.3, seed=1, accounts=(0, 3), workers=4, warm=20, rounds=5
    )
    assert [(line["version"], line["accounts"]) for line in lines] == [
        ("new", 0), ("new", 3), ("same", 0), ("same", 3),
    ]  # fmt: skip
    assert all(line["same_starts"] and line["plan_ms"] > 0.0 for line in lines)
    assert len(table_text(lines).splitlines()) == 6
