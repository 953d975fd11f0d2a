"""The callers' interface: routing by host and prefix, decoding of jobs, refusals."""

import io
import json

import attrs
import pytest
from result import Err, Ok

from bench._jobsimulation import queue
from fescuerudder.clock import ManualClock
from fescuerudder.jobs.intake import Refusal
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.platform.callers import CallerApp

ID = "5c0e7a21d94b36f8"
JOB = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-3"},
        {"count": 2, "cpu": 2000, "memMb": 64, "after": [0], "fills": True, "savesProgress": True},
    ],
}


@attrs.define
class FakeIntake:
    """Returns one answer to every call and keeps the submitted jobs."""

    answer: object = attrs.field(factory=lambda: Ok(None))
    jobs: list = attrs.Factory(list)

    def submit(self, job, *, deadline_s):
        self.jobs.append((job, deadline_s))
        return self.answer

    def cancel(self, job_id, *, deadline_s):
        return self.answer

    def state(self, job_id):
        return self.answer

    def pending(self, name):
        return self.answer


def call(intake, method, path, *, body=None, host="h:80", headers=None, manifest=True):
    """Returns status, body and headers of one call."""

    def find(name, target):
        if not manifest:
            raise LookupError("no manifest yet")
        found = queue()
        return found if name == found.host and target.startswith(found.prefix) else None

    data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": host,
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": io.BytesIO(data),
        **(headers or {}),
    }
    seen = {}
    with JobMetrics(instance="a") as metrics:
        app = CallerApp(
            intake=intake,
            find_queue=find,
            is_draining=lambda: False,
            clock=ManualClock(start_s=50.0),
            metrics=metrics,
        )
        parts = app(environ, lambda status, fields: seen.update(status=status, fields=dict(fields)))
    return int(seen["status"].split()[0]), json.loads(b"".join(parts)), seen["fields"]


@pytest.mark.parametrize(
    ("method", "path", "answer", "status", "body"),
    [
        ("POST", f"/q/{ID}", Ok(None), 200, {}),
        ("GET", f"/q/{ID}", Ok(JobState.RUNNING), 200, {"state": "running"}),
        ("GET", f"/q/{ID}", Ok(None), 410, {}),
        ("DELETE", f"/q/{ID}", Ok(True), 200, {}),
        ("DELETE", f"/q/{ID}", Ok(False), 410, {}),
        ("GET", "/q/", Ok(12), 200, {"pending": 12}),
        ("GET", "/other/", Ok(12), 404, {}),
        ("POST", "/q/short", Ok(None), 404, {}),
        ("PUT", f"/q/{ID}", Ok(None), 405, {}),
    ],
)
def test_call_gets_its_status_and_body(method, path, answer, status, body):
    """Guards against a status or body that callers misread."""
    found = call(FakeIntake(answer), method, path, body=JOB if method == "POST" else None)
    assert found[:2] == (status, body)


@pytest.mark.parametrize(("ran", "status"), [(False, 503), (None, 504)])
def test_refusal_separates_not_run_from_unknown(ran, status):
    """Guards against "not run" for a job that may run, and against a refusal without retry time."""
    refusal = Err(Refusal(reason="store", ran=ran, retry_after_s=1.5))
    found, body, fields = call(FakeIntake(refusal), "POST", f"/q/{ID}", body=JOB)
    assert found == status
    if ran is False:
        assert body == {"retryAfterMs": 1500} and int(fields["Retry-After"]) >= 1


def test_a_node_without_a_manifest_refuses():
    """Guards against 404 for a queue that the node hasn't read yet."""
    assert call(FakeIntake(), "POST", f"/q/{ID}", body=JOB, manifest=False)[0] == 503


def test_a_job_is_decoded_with_its_units():
    """Guards against thousandths of cores read as cores, and against dropped properties."""
    intake = FakeIntake()
    call(intake, "POST", f"/q/{ID}", body=JOB, headers={"HTTP_X_DEADLINE_MS": "2500"})
    job, deadline_s = intake.jobs[0]
    assert (job.id, job.queue, job.payload, deadline_s) == (ID, "q", "text", 52.5)
    first, second = job.steps
    assert (first.count, first.size.processors, first.size.memory_mb) == (4, 0.5, 256)
    assert (first.estimated_ms, first.data_rack, first.best_effort) == (900, "r1-3", False)
    assert (second.after, second.best_effort, second.checkpoints) == ((0,), True, True)


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"spec": "x"}', b'{"steps": [3]}'])
def test_a_malformed_job_is_refused(body):
    """Guards against an uncaught exception, and against storing a job that can't run."""
    intake = FakeIntake()
    assert call(intake, "POST", f"/q/{ID}", body=body)[0] == 400
    assert not intake.jobs


@pytest.mark.parametrize(("wait_s", "seconds"), [(0.4, "1"), (1.0, "1"), (2.3, "3")])
def test_a_refusal_because_of_load_names_whole_seconds(wait_s, seconds):
    """Guards against callers that return before capacity is likely, or don't know why."""
    refusal = Err(Refusal(reason="not enough", retry_after_s=wait_s, is_overload=True))
    status, body, fields = call(FakeIntake(refusal), "POST", f"/q/{ID}", body=JOB)
    assert (status, fields["Retry-After"]) == (429, seconds)
    assert body == {"retryAfterMs": int(wait_s * 1000), "error": "not enough"}
