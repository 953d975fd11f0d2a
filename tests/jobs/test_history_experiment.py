"""Tests the experiment on state that grows with history, in a small version."""

import pytest

from bench.history import ROOT, SMALL, measure, run_and_print
from fescuerudder._usage import UsageError


def test_the_experiment_measures_both_trees():
    """Guards against an experiment that no longer runs with the product that it measures."""
    lines = list(measure(SMALL, {"base": ROOT, "new": ROOT}))
    assert [line["version"] for line in lines] == ["base", "new"] * 5
    assert all(line["value"] for line in lines)


def test_a_base_that_is_no_source_tree_is_refused(tmp_path):
    """Guards against a run that compares this version with itself because of a wrong path."""
    with pytest.raises(UsageError):
        run_and_print(str(tmp_path), plan=SMALL, write=False)
