"""Odd reports and answers of workers."""

import asyncio
import json
import math

import pytest

from fescuerudder.jobs.workerport import OrderResult, WorkerSilentError
from fescuerudder.platform.http import parse_json
from fescuerudder.platform.workers import PlatformWorkers
from tests.platform.fake_http import AsyncFakeHttp
from tests.platform.odd_values import (
    MAX_EXACT,
    ODD_DOCUMENTS,
    table,
    variants,
)
from tests.platform.test_workers import RENEWAL, START

REPORT = {
    "clockMs": 482113,
    "born": 1_700_000_000_000,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00b", 41, 2100], ["aa.0.0.0", 1, "", 100, 18]],
    "endedRuns": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""], [59, "aa.0.0.1", 1, "done", ""]],
}
REPORT_PATHS = [
    *((name,) for name in REPORT),
    *(("running", 0, number) for number in range(5)),
    *(("endedRuns", 0, number) for number in range(5)),
    ("running", 0),
    ("endedRuns", 0),
]


def renew(text):
    http = AsyncFakeHttp((200, parse_json(text.encode())))
    return asyncio.run(PlatformWorkers(http=http).renew(RENEWAL, timeout_s=1.5))


@pytest.mark.parametrize("text", table([*ODD_DOCUMENTS.items(), *variants(REPORT, REPORT_PATHS)]))
def test_an_odd_report_is_used_whole_or_counts_as_silence(text):
    """Guards against a renewal without an outcome, after which the worker is never renewed again.

    A report may not lose rows either: tasks that are not listed are started again.
    """
    try:
        report = renew(text)
    except WorkerSilentError:
        return
    raw = json.loads(text)
    assert len(report.running) == len(raw.get("running", ()))
    assert len(report.ended) == len(raw.get("endedRuns", ()))
    assert 0 <= report.clock_ms < MAX_EXACT and 0 <= report.incarnation_ms < MAX_EXACT
    for row in report.running:
        assert 0 <= row.latency_ms < math.inf and 0 <= row.processors < math.inf
        assert 0 <= row.percent <= 100 and 0 <= row.attempt < MAX_EXACT
        assert isinstance(row.checkpoint, str)
    for end in report.ended:
        assert 1 <= end.serial < MAX_EXACT and isinstance(end.checkpoint, str)
    assert [end.serial for end in report.ended] == sorted({end.serial for end in report.ended})


@pytest.mark.parametrize("column", [2, 3, 4])
@pytest.mark.parametrize("name", ["null", "negative", "infinite", "nan", "400 digits", "list"])
def test_an_odd_measurement_hides_no_task(column, name):
    """Guards against a worker that counts as silent because one figure can't be read."""
    text = dict(variants(REPORT, [("running", 0, column)]))[f"running.0.{column}={name}"]
    report = renew(text)
    assert [row.attempt for row in report.running] == [2, 1] and len(report.ended) == 2


def report_with_serials(first, second):
    rows = [[n, *row[1:]] for n, row in zip((first, second), REPORT["endedRuns"], strict=True)]
    return json.dumps({**REPORT, "endedRuns": rows})


@pytest.mark.parametrize("serials", [(58, 58), (0, 1), (-1, 1), (2**60, 2**60 + 1)])
def test_ends_with_odd_numbers_are_not_taken(serials):
    """Guards against the acknowledgement of an end that was never processed."""
    with pytest.raises(WorkerSilentError):
        renew(report_with_serials(*serials))


def test_ends_are_taken_in_the_order_of_their_numbers():
    """Guards against an end that counts as seen because a later one is listed before it."""
    assert [end.serial for end in renew(report_with_serials(59, 58)).ended] == [58, 59]


@pytest.mark.parametrize("status", [200, 409, 429])
@pytest.mark.parametrize(
    "text",
    table(
        [
            *ODD_DOCUMENTS.items(),
            *variants({"clockMs": 1, "reason": "room"}, [("clockMs",), ("reason",)]),
        ]
    ),
)
def test_an_odd_answer_to_an_order_has_a_result(status, text):
    """Guards against a start without an outcome: its task would never be started again."""
    http = AsyncFakeHttp((status, parse_json(text.encode())))
    answer = asyncio.run(PlatformWorkers(http=http).start(START, timeout_s=0.5))
    assert answer.result is not OrderResult.UNKNOWN
    assert answer.clock_ms is None or 0 <= answer.clock_ms < MAX_EXACT
