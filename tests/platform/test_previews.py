"""Previews of placements on the metrics address and over the link, and the command for them."""

import io
import json
from contextlib import ExitStack

import attrs
import pytest
import structlog
from result import Err, Ok

from bench._jobsimulation import queue
from fescuerudder import cli
from fescuerudder.clock import ManualClock, SystemClock
from fescuerudder.httpserver import HttpServer
from fescuerudder.jobs.accounts import Account, hash_key
from fescuerudder.jobs.manifest import Manifest
from fescuerudder.jobs.preview import Preview
from fescuerudder.jobs.previewservice import MAX_TASKS, MIN_INTERVAL_S, NoPreview, PreviewService
from fescuerudder.platform.previews import PreviewApp
from tests.jobs.account_simulation import AccountSimulation
from tests.jobs.link_simulation import Links, free_address, wait_until

KEY = "s3cret-of-alpha"
ALPHA = Account(name="alpha", key_hashes=(hash_key(KEY),))
JOB = {"steps": [{"count": 2, "cpu": 1000, "memMb": 10, "estimatedMs": 500}]}
SHOWN = Preview(
    queue="q", pool="pool", priority=0, account="alpha", used=(0, 0, 0), cap=(0, 0, 0), steps=()
)


class FakePreviews:
    """Answers previews with one result."""

    def __init__(self, found):
        self.found, self.jobs = found, []

    def preview(self, job):
        self.jobs.append(job)
        return self.found


def make_app(previews, *, refusal=""):
    by_hash = {key_hash: ALPHA.name for key_hash in ALPHA.key_hashes}
    return PreviewApp(
        previews=previews,
        manifest=lambda: Manifest(revision=1, queues=(queue(),), pools=(), accounts=(ALPHA,)),
        find_account=lambda key, is_public: by_hash.get(hash_key(key)) if key else None,
        refusal=lambda: refusal,
    )


@pytest.fixture
def serve():
    """Serves an application; returns its address."""
    with ExitStack() as stack:

        def start(app):
            address = free_address()
            server = HttpServer(address=address, threads=1, app=app, clock=SystemClock())
            stack.enter_context(server)
            return address

        yield start


def run(address, tmp_path, document, *flags, queue_name="q", key=KEY):
    file = tmp_path / "job.json"
    file.write_text(document if isinstance(document, str) else json.dumps(document))
    args = ["preview", str(file), "--queue", queue_name, "--server", address, "--key", key]
    return cli.run([*args, *flags])


@pytest.mark.parametrize(
    ("document", "fields", "code", "said"),
    [
        ("{", {}, 2, "job.json"),
        ({"steps": 7}, {}, 2, "invalid job"),
        ({"steps": [{"count": -1}]}, {}, 2, "invalid job"),
        ({"steps": []}, {}, 2, "no tasks"),
        ({**JOB, "spec": "x" * 70_000}, {}, 2, "exceeds 65536 bytes"),
        (JOB, {"queue_name": "none"}, 2, "no queue 'none'"),
        (JOB, {"key": "wrong"}, 2, "known key"),
    ],
)
def test_what_is_not_valid_is_one_line_and_code_2(
    serve, tmp_path, capsys, document, fields, code, said
):
    """Guards against invalid input that reaches the leader, or an error without its reason."""
    previews = FakePreviews(Ok(SHOWN))
    with structlog.testing.capture_logs() as logs:
        assert run(serve(make_app(previews)), tmp_path, document, **fields) == code
    err = capsys.readouterr().err
    assert said in err and err.count("\n") == 1
    assert not previews.jobs
    assert not any(secret in f"{logs}{err}" for secret in (KEY, "wrong"))


def serve_metrics(environ, start_response):
    """Answers each path of the metrics address, as earlier versions do."""
    start_response("200 OK", [("Content-Type", "text/plain")])
    return [b"# HELP x\nx 1\n"]


@pytest.mark.parametrize(
    ("app", "said"),
    [
        (make_app(FakePreviews(Err(NoPreview(reason="knows no leader")))), "knows no leader"),
        (serve_metrics, "doesn't support previews"),
    ],
)
def test_without_a_preview_the_code_is_1(serve, tmp_path, capsys, app, said):
    """Guards against a missing leader, or an earlier version's instance, shown as a preview."""
    assert run(serve(app), tmp_path, JOB) == 1
    assert said in capsys.readouterr().err


def test_an_instance_that_is_not_there_is_code_1(tmp_path, capsys):
    """Guards against a traceback in place of one line."""
    assert run(free_address(), tmp_path, JOB) == 1
    assert "was not reached" in capsys.readouterr().err


def test_a_job_that_would_not_be_stored_is_shown_as_refused(serve, tmp_path, capsys):
    """Guards against a preview that hides that the instance refuses jobs now."""
    address = serve(make_app(FakePreviews(Ok(SHOWN)), refusal="the store is not reached"))
    assert run(address, tmp_path, JOB) == 0
    assert "no, 503: the store is not reached" in capsys.readouterr().out


class LedTerm:
    """A term whose scheduler is that of a simulation."""

    def __init__(self, scheduler):
        self._scheduler = scheduler

    def ask(self, call, *, timeout_s):
        return call(self._scheduler)


def service(links, link, *, instance, term=None, clock=None):
    return PreviewService(
        instance=instance,
        term=lambda: term,
        leader=lambda: links.claim,
        link=link,
        clock=clock or links.clock,
    )


@pytest.mark.parametrize("declares", [True, False])
def test_a_follower_asks_a_leader_that_declares_support(serve, tmp_path, capsys, declares):
    """Guards against a preview that isn't the leader's, and against a message that an earlier
    version can't decode, which would end its link. All calls are real ones on this machine."""
    sim = AccountSimulation(ALPHA, workers=3, capacity=4.0)
    scheduler = sim.claim("leader").scheduler
    sim.run(0.3)
    with ExitStack() as stack:
        links = Links(stack)
        leading = service(links, None, instance="leader", term=LedTerm(scheduler))
        source = attrs.evolve(links.source, preview=leading.relay if declares else None)
        links.leader.activate(source)
        link = links.follow("f")
        wait_until(lambda: link.is_connected and link.leader_takes_previews == declares)
        address = serve(make_app(service(links, link, instance="f")))
        code = run(address, tmp_path, JOB, "--json")
        out, err = capsys.readouterr()
        if not declares:
            assert code == 1 and "leader leader" in err and "doesn't support previews" in err
            assert link.is_connected
            return
        answer = json.loads(out)
        assert (code, answer["account"], answer["accepted"]["status"]) == (0, "alpha", 200)
        assert [step["starts"] for step in answer["steps"]] == [2]
        assert run(address, tmp_path, JOB) == 1
        assert "ask again" in capsys.readouterr().err
        wait_until(lambda: links.clock.now_s() >= leading._next_s)
        assert run(address, tmp_path, JOB) == 0
        text = capsys.readouterr().out
        assert "start:    at once, 2 of 2 tasks" in text and "w0: " in text


def test_a_leader_bounds_what_previews_cost_it():
    """Guards against operators or loops that keep the planner from its plans."""
    sim = AccountSimulation(ALPHA)
    scheduler = sim.claim("leader").scheduler
    clock = ManualClock(start_s=5.0)
    with ExitStack() as stack:
        links = Links(stack)
        leading = service(links, None, instance="l", term=LedTerm(scheduler), clock=clock)
        app = make_app(FakePreviews(Ok(SHOWN)))
        job = _job_of(app, JOB)
        assert [leading.preview(job).is_ok() for _ in range(3)] == [True, False, False]
        clock.advance(seconds=MIN_INTERVAL_S)
        large = _job_of(app, {"steps": [{"count": MAX_TASKS + 1}]})
        assert leading.preview(large).err().is_invalid
        assert leading.preview(job).is_ok()


def _job_of(app, document):
    body = json.dumps({"queue": "q", "job": document}).encode()
    environ = {
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(body)),
        "HTTP_AUTHORIZATION": f"Bearer {KEY}",
        "wsgi.input": io.BytesIO(body),
    }
    app(environ, lambda *_: None)
    return app._previews.jobs[-1]
