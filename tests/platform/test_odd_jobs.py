"""Odd jobs and headers of callers."""

import io
import json
import math

import pytest
from cheroot.server import ChunkedRFile
from structlog.testing import capture_logs

from fescuerudder.jobs.jobrun import JobRun
from fescuerudder.jobs.progress import dump_job, load_job
from tests.platform.odd_values import (
    MAX_EXACT,
    ODD_BYTES,
    table,
    variants,
)
from tests.platform.test_callers import ID, JOB, FakeIntake, call

REPEATED = {**JOB, "repeatCount": 2, "startAtMs": 1, "intervalMs": 1}
STEP_FIELDS = {
    **JOB["steps"][1],
    "gpu": 0,
    "requires": "a",
    "antiAffinity": 1,
    "image": "i",
    "targetMs": 5,
    "maxUnavailable": 1,
}
REPEATED["steps"] = [JOB["steps"][0], STEP_FIELDS]
JOB_PATHS = [
    *((name,) for name in REPEATED),
    ("steps", 1),
    *(("steps", 1, name) for name in STEP_FIELDS),
    ("steps", 1, "after", 0),
]


@pytest.mark.parametrize(
    "body",
    table([*ODD_BYTES.items(), *((n, t.encode()) for n, t in variants(REPEATED, JOB_PATHS))]),
)
def test_an_odd_job_is_refused_or_can_be_planned(body):
    """Guards against 500 for a malformed job, and against a stored job that stops all plans."""
    intake = FakeIntake()
    status = call(intake, "POST", f"/q/{ID}", body=body)[0]
    assert status == (200 if intake.jobs else 400)
    for job, _ in intake.jobs:
        run = JobRun.create(job=load_job(dump_job(job)), version=1, received_s=0.0)
        assert run.job == job
        numbers = range(len(job.steps))
        steps = [run.find_step(o, n) for o in range(job.occurrences) for n in numbers]
        assert all(run.may_open(step) in (True, False) for step in steps)
        assert math.isfinite(run.work) and run.critical_path_ms < MAX_EXACT


@pytest.mark.parametrize(
    "change",
    [
        {"steps": [{"count": 10**9}]},
        {"steps": [{"count": 1000}], "repeatCount": 10**6},
        {"steps": [{"count": 1}] * 100, "repeatCount": 10**7},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1}, {"count": 1, "after": [2]}, {"count": 1}]},
        {"steps": [{"count": 1}, {"count": 1, "after": [-1]}]},
        {"steps": [{"count": 1, "after": [] if not n else [n - 1]} for n in range(5000)]},
    ],
)
def test_a_job_that_no_leader_can_plan_is_refused(change):
    """Guards against a job that takes all memory of the leader, or fails each of its plans."""
    intake = FakeIntake()
    assert call(intake, "POST", f"/q/{ID}", body={"spec": "", **change})[0] == 400
    assert not intake.jobs


@pytest.mark.parametrize("steps", [[], [{}], [{"cpu": 500}, {"count": 0, "after": [0]}]])
@pytest.mark.parametrize("times", [0, 2])
def test_a_job_without_tasks_is_refused_with_a_reason(steps, times):
    """Guards against a job that is accepted and stays queued for good, as it has no task to end."""
    intake = FakeIntake()
    body = {"spec": "", "steps": steps, "repeatCount": times, "startAtMs": 1, "intervalMs": 1}
    status, answer, _ = call(intake, "POST", f"/q/{ID}", body=body)
    assert (status, answer) == (400, {"error": "the job has no tasks"})
    assert not intake.jobs


@pytest.mark.parametrize(
    "headers",
    [
        {"HTTP_X_DEADLINE_MS": value}
        for value in ("", "x", "-5", "0", "inf", "nan", "1e3", "9" * 400, "9" * 5000, "\u0669")
    ]
    + [{"CONTENT_LENGTH": value} for value in ("-1", "x", "9" * 5000)],
)
def test_odd_headers_get_an_answer(headers):
    """Guards against 500, and a thread that waits for a body without end."""
    intake = FakeIntake()
    status = call(intake, "POST", f"/q/{ID}", body=JOB, headers=headers)[0]
    assert status == (400 if "CONTENT_LENGTH" in headers else 200)
    assert all(0 < deadline_s < 10**6 for _, deadline_s in intake.jobs)


SECRET = "secret-of-a-caller"
STEP = {"count": 1}
SECRET_JOBS = [
    {"spec": SECRET, "steps": []},
    {"spec": SECRET + "\ud800", "steps": [STEP]},
    {"spec": {SECRET: 1}, "steps": [STEP]},
    {"steps": SECRET},
    {"steps": [SECRET]},
    {"steps": [{"count": SECRET}]},
    {"steps": [{**STEP, "after": [SECRET]}]},
    {"steps": [STEP], "repeatCount": SECRET},
    {SECRET: [STEP]},
    [SECRET],
    SECRET,
]
SECRET_BODIES = [
    *(json.dumps(job).encode() for job in SECRET_JOBS),
    SECRET.encode(),
    SECRET.encode() + b"\xff",
    b"\xff" + SECRET.encode(),
    b'{"' + SECRET.encode(),
]


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("body", SECRET_BODIES)
def test_the_log_does_not_quote_the_body_of_a_refused_request(body, is_chunked):
    """Guards against log lines with what a caller sent.

    The HTTP server quotes the first line of a body that is announced as chunked and isn't.
    """
    headers = {"wsgi.input": ChunkedRFile(io.BytesIO(body), 10**6)} if is_chunked else {}
    with capture_logs() as lines:
        status, answer, _ = call(FakeIntake(), "POST", f"/q/{ID}", body=body, headers=headers)
    assert status == 400
    assert lines and SECRET not in json.dumps([lines, answer])
