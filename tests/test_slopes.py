"""Slopes and sums that the capacity page rests on."""

import json

import pytest

from bench._constantload import Load
from bench._fit import Point, fit
from bench._memorytable import MemoryTable
from bench._sums import TARGET, Limits, Line, Slopes, sums
from bench.slopes import RESULTS_DIR
from fescuerudder.table import Put, Transaction


def test_fit_separates_two_sizes():
    points = [
        Point(sizes={"racks": r, "workers": w}, values={"cpu_s": 1 + 2 * r + 3 * w})
        for r, w in ((0, 0), (1, 2), (1, 8), (3, 6))
    ]
    found = fit(points, quantity="cpu_s")
    assert found.base == pytest.approx(1)
    assert found.slopes == pytest.approx({"racks": 2, "workers": 3})
    assert found.residual == pytest.approx(0, abs=1e-9)


def test_only_the_latest_run_counts(tmp_path):
    """Guards against figures of an earlier commit on the page."""
    lines = [
        {"at": at, "measurement": "x", "sizes": {"n": n}, "values": {"cpu_s": slope * n}}
        for at, slope in (("1", 9.0), ("2", 4.0))
        for n in (0, 1, 2)
    ]
    (tmp_path / "x.jsonl").write_text("\n".join(map(json.dumps, lines)))
    assert Slopes(directory=tmp_path)("x", "cpu_s", "n") == pytest.approx(4)


@pytest.mark.parametrize(
    ("value", "limit", "verdict"),
    [(1, 2, "fits"), (3, 2, "does not fit: 1.5 times the limit"), (3, 0, "no limit stated")],
)
def test_verdict(value, limit, verdict):
    line = Line(role="store", what="rows", value=value, limit=limit, unit="1/s")
    assert line.verdict == verdict


def test_recorded_results_give_all_sums():
    lines = list(sums(TARGET, Slopes(directory=RESULTS_DIR), Limits()))
    assert {line.role for line in lines} == {"entry", "worker", "store", "link"}


def test_memory_table_counts_rows_and_bytes():
    table = MemoryTable()
    table.transact(Transaction(puts=(Put(key="a/1", value={"n": 1}),)))
    assert table.read(prefixes=("a/",))[0].value == {"n": 1}
    assert (table.rows_written, table.rows_read) == (1, 1)


def test_load_without_a_rate_makes_no_call():
    with Load(rate=0, work=lambda _: None).running() as load:
        pass
    assert load.done == load.failed == 0
