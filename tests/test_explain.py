"""The story of a job as told from log lines."""

import json

import pytest

from fescuerudder.cli import run
from fescuerudder.explain import read_lines, render, tell

JOB = "28872c96462b93d2"
OTHER = "a9c282e0a5a2a262"


def line(at_s, event, **fields):
    stamp = f"2026-03-22T07:44:{at_s:09.6f}Z"
    return {**fields, "event": event, "instance": "front-1", "level": "info", "timestamp": stamp}


ASKED = line(1.0, "request answered", method="POST", path=f"/q/{JOB}", status=200)
KNOWN = line(1.1, "job known", job=JOB)
STARTED = line(1.2, "start ordered", job=JOB, task=[0, 0, 0], attempt=1, worker="w1")
ENDED = line(2.0, "attempt ended", job=JOB, task=[0, 0, 0], attempt=1, worker="w1", end="done")
WHOLE = [ASKED, KNOWN, STARTED, ENDED]


@pytest.mark.parametrize(
    ("extra", "is_told"),
    [
        (line(1.5, "worker silent", worker="w1"), True),
        (line(1.5, "worker silent", worker="w2"), False),
        (line(1.5, "leadership claimed", epoch=2), True),
        (line(0.5, "leadership claimed", epoch=1), False),
        (line(1.5, "store did not take a row", row=f"{JOB}.cancel"), True),
        (line(1.5, "start ordered", job=OTHER, task=[0, 0, 0], attempt=1, worker="w1"), False),
    ],
)
def test_the_story_has_what_touches_the_job(extra, is_told):
    """Guards against causes that stay hidden, and against stories full of other jobs."""
    story = tell(JOB, [ENDED, extra, STARTED, KNOWN, ASKED])
    assert (extra in story.lines) is is_told
    assert [item for item in story.lines if item is not extra] == WHOLE
    assert story.missing == []


@pytest.mark.parametrize(
    ("lines", "missing"),
    [
        ([], "any line about the job"),
        ([KNOWN, STARTED, ENDED], "the answer to its submission"),
        ([ASKED], "a leader that learned of it"),
        ([ASKED, KNOWN, STARTED], "the end of attempt 1 of task [0, 0, 0]"),
        ([*WHOLE, line(0.1, "log lines left out", count=7)], "7 lines that instances left out"),
    ],
)
def test_the_story_says_what_the_logs_lack(lines, missing):
    """Guards against a gap in the logs that reads like something that did not happen."""
    assert any(text.startswith(missing) for text in tell(JOB, lines).missing)


def test_other_text_in_a_log_is_passed_over():
    """Guards against a story that stops at the prefix of a collector or at a broken line."""
    texts = ["built in 2 s", "{broken", '{"no": "event"}', f"   1.0 front-1 {json.dumps(KNOWN)}"]
    assert list(read_lines(texts)) == [KNOWN]


def test_the_command_prints_the_story(tmp_path, capsys):
    """Guards against a command that can't read the files of several instances."""
    for number, part in enumerate((WHOLE[:2], WHOLE[2:])):
        file = tmp_path / f"{number}.log"
        file.write_text("\n".join(json.dumps(item) for item in part))
    assert run(["explain", JOB, str(tmp_path)]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert [row.split()[0] for row in rows] == ["0.000", "0.100", "0.200", "1.000"]
    assert run(["explain", OTHER, str(tmp_path / "0.log")]) == 1
    assert run(["explain", OTHER, str(tmp_path / "none")]) == 1
    assert render(tell(OTHER, WHOLE)) == "not in the logs: any line about the job"


AWAITED = {"id": "w7", "why": "silent", "silent_s": 1.1, "left_s": 8.25}
WAITS = line(1.5, "older job waits", job=JOB, after_claim_s=1.1, worker_count=3, workers=[AWAITED])
GOES_ON = line(1.7, "older job goes on", job=JOB, after_claim_s=9.5, result="held back")
BEFORE = (
    "after the takeover by front-1 for w7 (silent, at most until 9.3 s after the claim), 2 others"
)


@pytest.mark.parametrize(
    ("lines", "told"),
    [
        ([WAITS], f"{BEFORE}; no start of it by that leader"),
        ([WAITS, GOES_ON], f"{BEFORE}; first start 9.5 s after its claim"),
        ([GOES_ON, {**WAITS, "timestamp": "2026-03-22T07:44:01.800000Z"}], f"{BEFORE}; no start"),
        ([WAITS, {**GOES_ON, "instance": "front-2"}], f"{BEFORE}; no start"),
        (
            [{**WAITS, "workers": "w7", "worker_count": 1}],
            "after the takeover by front-1 for 1 others",
        ),
    ],
)
def test_the_story_tells_on_whom_the_job_waited(lines, told):
    """Guards against a wait after a takeover without its cause, or with the start of another."""
    story = tell(JOB, [*WHOLE, *lines])
    (text,) = story.waits
    assert text.startswith(told)
    assert f"waited: {text}" in render(story).splitlines()


@pytest.mark.parametrize(("worker", "is_told"), [("w7", True), ("w8", False)])
def test_the_story_has_what_befell_the_worker_that_the_job_waited_for(worker, is_told):
    """Guards against a wait for a worker of which the story says nothing."""
    silent = line(1.6, "worker silent", worker=worker)
    story = tell(JOB, [*WHOLE, WAITS, silent])
    assert (silent in story.lines) is is_told
