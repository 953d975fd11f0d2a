"""The HTTP interface, through real connections."""

import contextlib
import http.client
import json
import socket
import threading
import time

import pytest
from result import Err, Ok
from structlog.testing import capture_logs

from fescuerudder import _connection
from fescuerudder.clock import SystemClock
from fescuerudder.errors import DocumentError, RequestError
from fescuerudder.frontend import Frontend
from fescuerudder.httpserver import MAX_BODY_BYTES
from fescuerudder.upstream import Answer

KEY = "operator-key-for-tests"
BEARER = {"Authorization": f"Bearer {KEY}"}
STOPS = 3
THREADS = 6
BODY_HEAD = b"POST /s/draw/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
IDEMPOTENT = {"Idempotency-Key": "k"}


class FakeRouter:
    """Notes requests; answers as `res` says, after `gate` opens."""

    def __init__(self):
        self.seen = []
        self.res = Ok(Answer(status=200, headers=(("X-A", "1"),), body=b"printed"))
        self.entered = threading.Event()
        self.gate = threading.Event()
        self.gate.set()

    def handle(self, req):
        self.seen.append(req)
        self.entered.set()
        self.gate.wait(5)
        return self.res


class FakeTasks:
    """Knows one task."""

    def submit(self, **fields):
        self.submitted = fields
        return Ok({"task": "abc", "state": "queued"})

    def get(self, task_id):
        if task_id != "abc":
            return Err(RequestError("no such task", status=404))
        return Ok({"task": "abc", "state": "queued"})

    def cancel(self, task_id):
        return self.get(task_id)


class FakeOperations:
    """Answers each call with its arguments."""

    def put_service(self, *, name, raw, base_revision):
        if base_revision == 1:
            return Err(RequestError("conflict", status=409, details={"revision": 2}))
        if "bad" in raw:
            return Err(DocumentError(problems=["unknown @ $.bad"]))
        return Ok({"name": name, "base": base_revision})

    def get_services(self, name):
        return Ok({"name": name})

    def put_zone(self, *, zone, state, base_revision):
        return Ok({"zone": zone, "state": state, "provisional": zone == "far"})

    def get_zones(self):
        return Ok({"zones": []})

    def status(self):
        raise OSError("fault")

    def metrics_text(self):
        return b"up 1\n"


class Site:
    """A running frontend with its fakes."""

    def __init__(self):
        self.router, self.tasks = FakeRouter(), FakeTasks()
        self.frontend = Frontend(
            address="127.0.0.1:0",
            threads=THREADS,
            operator_key=KEY,
            clock=SystemClock(),
            new_id=lambda: "made",
            router=self.router,
            tasks=self.tasks,
            operations=FakeOperations(),
        )

    def call(self, method, path, body=None, headers=None):
        """Returns status, headers and body of one request."""
        conn = http.client.HTTPConnection("127.0.0.1", self.frontend.port, timeout=5)
        try:
            conn.request(method, path, body=body, headers=headers or {})
            resp = conn.getresponse()
            return resp.status, dict(resp.getheaders()), resp.read()
        finally:
            conn.close()

    def send(self, raw):
        """Sends bytes and returns all that comes back until the server closes."""
        with socket.create_connection(("127.0.0.1", self.frontend.port), timeout=5) as sock:
            sock.sendall(raw)
            sock.shutdown(socket.SHUT_WR)
            return b"".join(iter(lambda: sock.recv(65536), b""))


@pytest.fixture(scope="module")
def running():
    made = Site()
    with made.frontend:
        yield made


class Stubborn(threading.Thread):
    """A caller that goes on calling until its connection is refused; notes broken calls.

    Args:
        site: the site to call.
        keep: whether it keeps its connection open between requests.
    """

    def __init__(self, site, *, keep):
        super().__init__(daemon=True)
        self.site, self.keep = site, keep
        self.statuses, self.broken = [], []

    def run(self):
        while True:
            conn = http.client.HTTPConnection("127.0.0.1", self.site.frontend.port, timeout=5)
            try:
                conn.connect()
            except ConnectionRefusedError:
                return
            try:
                self.call(conn)
            except (OSError, http.client.HTTPException) as exc:
                self.broken.append(repr(exc))
            finally:
                conn.close()

    def call(self, conn):
        reusable = True
        while reusable:
            conn.request("POST", "/s/draw/x", b"x")
            resp = conn.getresponse()
            resp.read()
            self.statuses.append(resp.status)
            reusable = self.keep and not resp.will_close


@pytest.mark.parametrize("keep", [False, True])
def test_stopping_under_load_answers_every_connection_it_took(keep):
    """Guards against a planned stop that resets connections which the kernel had accepted."""
    for _ in range(STOPS):
        site = Site()
        site.frontend.start()
        callers = [Stubborn(site, keep=keep) for _ in range(8)]
        for caller in callers:
            caller.start()
        while not all(caller.statuses for caller in callers):
            threading.Event().wait(0.01)
        site.frontend.drain(0.3)
        site.frontend.stop()
        for caller in callers:
            caller.join(timeout=10)
        assert not any(caller.is_alive() for caller in callers)
        assert {503} <= {status for caller in callers for status in caller.statuses}
        assert [caller.broken for caller in callers if caller.broken] == []


@pytest.mark.parametrize("part", [b"GET /s/draw/x HTTP/1.1\r\nX-A: ", BODY_HEAD])
def test_callers_that_trickle_do_not_hold_all_threads(own_site, monkeypatch, part):
    """Guards against a few slow callers that block an instance for all others."""
    monkeypatch.setattr(_connection, "REQUEST_READ_S", 0.5)
    stopped = threading.Event()
    address = ("127.0.0.1", own_site.frontend.port)
    socks = [socket.create_connection(address, timeout=5) for _ in range(2 * THREADS)]
    for sock in socks:
        sock.sendall(part)

    def trickle():
        while not stopped.wait(0.05):
            for sock in socks:
                with contextlib.suppress(OSError):
                    sock.sendall(b"a")

    thread = threading.Thread(target=trickle, daemon=True)
    thread.start()
    try:
        assert own_site.call("GET", "/s/draw/y")[0] == 200
        assert socks[0].recv(100).startswith((b"HTTP/1.1 408", b"HTTP/1.1 400"))
    finally:
        stopped.set()
        thread.join()
        for sock in socks:
            sock.close()


@pytest.mark.parametrize("target", ["http://[", "//[x"])
def test_a_malformed_target_is_the_callers_fault(own_site, target):
    """Guards against an internal error for a target that can't be parsed."""
    answer = own_site.send(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    assert answer.startswith(b"HTTP/1.1 400")


@pytest.mark.parametrize("length", ["-5", "+5", "1_0", "5.0", "9" * 19])
def test_a_malformed_length_is_the_callers_fault(own_site, length):
    """Guards against an internal error, and against two readings of one length."""
    head = f"POST /s/draw/x HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\nabcde"
    assert own_site.send(head.encode()).startswith(b"HTTP/1.1 400")


@pytest.mark.parametrize(
    "headers",
    [
        ["Idempotency-Key: a", "Idempotency-Key: b"],
        ["Content-Length: 1", "Content-Length: 2"],
        ["X-A : 1"],
        [": 1"],
        ["X A: 1"],
        ["Idempotency-Key: a", " b"],
    ],
)
def test_ambiguous_headers_are_refused(own_site, headers):
    """Guards against a request that caller, instance and worker read in different ways."""
    head = "\r\n".join(["POST /s/draw/x HTTP/1.1", "Host: a", *headers])
    assert own_site.send(head.encode() + b"\r\n\r\nab").startswith(b"HTTP/1.1 400")
    assert own_site.router.seen == []


def test_an_underscore_does_not_stand_for_a_hyphen(own_site):
    """Guards against a header of another name that is taken for the idempotency key."""
    assert own_site.call("POST", "/s/draw/x", b"1", {"Idempotency_Key": "k"})[0] == 200
    assert own_site.router.seen[0].header("idempotency-key") is None


@pytest.fixture
def site(running):
    """The shared site with its router as new; stopping a server takes half a second."""
    running.router.__init__()
    return running


def test_request_reaches_the_router_and_its_answer_the_caller(site):
    """Guards against changed paths, lost headers and answers without trace id."""
    headers = {"X-Request-Id": "t-1", "Deadline-Ms": "1500", "TE": "gzip", "Accept": "a/b"}
    with capture_logs() as logs:
        status, received, body = site.call("POST", "/s/draw/a%2Fb?x=1", b"in", headers)
    req = site.router.seen[0]
    assert (status, body, received["X-A"], received["X-Request-Id"]) == (
        200,
        b"printed",
        "1",
        "t-1",
    )
    assert (req.service, req.target, req.body) == ("draw", "/draw/a%2Fb?x=1", b"in")
    assert req.header("accept") == "a/b" and req.header("te") is None
    assert 0 < req.deadline_s - SystemClock().now_s() <= 1.5
    lines = [line for line in logs if line["event"] == "request finished"]
    assert [(line["trace_id"], line["status"]) for line in lines] == [("t-1", 200)]


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status"),
    [
        ("GET", "/nowhere", None, {}, 404),
        ("DELETE", "/v1/tasks", None, {}, 405),
        ("BREW", "/s/draw/x", None, {}, 501),
        ("GET", "/s/Not_A_Name/x", None, {}, 404),
        ("GET", "/s/draw/../other/x", None, {}, 400),
        ("GET", "/s/draw/%2e%2e/other/x", None, {}, 400),
        ("GET", "/s/draw/x", None, {"Deadline-Ms": "soon"}, 400),
        ("GET", "/s/draw/x", None, {"Deadline-Ms": "-1"}, 400),
        ("POST", "/s/draw/x", None, {"Idempotency-Key": "k" * 256}, 400),
        ("GET", "/s/draw/x", None, {"X-Long": "x" * 20_000}, 431),
        ("POST", "/s/draw/x", b"x" * (MAX_BODY_BYTES + 1), {}, 413),
        ("POST", "/v1/tasks", b"{}", {}, 400),
        ("POST", "/v1/tasks", b"not json", IDEMPOTENT, 400),
        ("POST", "/v1/tasks", b"[" * 100_000, IDEMPOTENT, 400),
        ("POST", "/v1/tasks", b"[]", IDEMPOTENT, 400),
        ("POST", "/v1/tasks", b'{"service": 1, "payload": ""}', IDEMPOTENT, 400),
        ("POST", "/v1/tasks", b'{"service": "a", "payload": "", "x": 1}', IDEMPOTENT, 400),
        ("POST", "/v1/tasks", b'{"service": "a", "payload": "", "priority": []}', IDEMPOTENT, 400),
        ("GET", "/v1/tasks/unknown", None, {}, 404),
        ("GET", "/v1/status", None, {}, 401),
        ("GET", "/v1/status", None, {"Authorization": "Bearer wrong"}, 401),
        ("GET", "/v1/status", None, {"Authorization": f"Basic {KEY}"}, 401),
        ("GET", "/v1/status", None, BEARER, 500),
        ("PUT", "/v1/services/a", b'{"name": "b"}', BEARER, 400),
        ("PUT", "/v1/services/a", b'{"bad": 1}', BEARER, 422),
        ("PUT", "/v1/services/a", b"{}", {**BEARER, "If-Match": "1"}, 400),
        ("PUT", "/v1/services/a", b"{}", {**BEARER, "If-Match": '"1"'}, 409),
        ("PUT", "/v1/zones/z", b'{"state": "off"}', BEARER, 400),
    ],
)
def test_faults_are_answered_as_problems(site, method, path, body, headers, status):
    """Guards against unclear, wrong or missing refusals, and refused requests that run."""
    got, received, text = site.call(method, path, body, headers)
    problem = json.loads(text)
    assert (got, problem["status"], problem["trace_id"]) == (status, status, "made")
    assert received["Content-Type"] == "application/problem+json"
    assert problem["outcome"] == ("unknown" if status == 500 else "not_run")
    assert site.router.seen == []


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "part"),
    [
        ("POST", "/v1/tasks", b'{"service": "a", "payload": ""}', IDEMPOTENT, 202, b"queued"),
        ("GET", "/v1/tasks/abc", None, {}, 200, b"queued"),
        ("POST", "/v1/tasks/abc/cancel", None, {}, 202, b"queued"),
        ("PUT", "/v1/services/a", b"{}", {**BEARER, "If-Match": '"7"'}, 200, b'"base": 7'),
        ("PUT", "/v1/services/a", b"{}", BEARER, 200, b'"base": null'),
        ("GET", "/v1/services", None, BEARER, 200, b'"name": null'),
        ("GET", "/v1/services/a", None, BEARER, 200, b'"name": "a"'),
        ("PUT", "/v1/zones/z", b'{"state": "out"}', BEARER, 200, b'"out"'),
        ("PUT", "/v1/zones/far", b'{"state": "out"}', BEARER, 202, b'"out"'),
        ("GET", "/v1/zones", None, BEARER, 200, b"zones"),
        ("GET", "/metrics", None, {}, 200, b"up 1"),
        ("GET", "/health", None, {}, 200, b"serving"),
    ],
)
def test_interface_of_callers_and_operators(site, method, path, body, headers, status, part):
    """Guards against paths that lead elsewhere than the design page says."""
    got, _, text = site.call(method, path, body, headers)
    assert got == status and part in text


POST = b"POST /s/draw/x HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", b"200"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", b"400"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nab", b"400"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nffffffff\r\nab", b"413"),
        (POST + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", b"400"),
        (POST + b"Content-Length: 9\r\n\r\nabc", b"400"),
        (POST + b"Content-Length: -1\r\n\r\nabc", b"400"),
        (POST + b"Content-Length: many\r\n\r\nabc", b"400"),
        (POST + b"X: " + b"x" * 70_000 + b"\r\n\r\n", b"413"),
        (b"nonsense\r\n\r\n", b"400"),
    ],
)
def test_malformed_messages_are_refused(site, raw, status):
    """Guards against running half a request, and against smuggling a second one."""
    assert site.send(raw).split(b" ")[1] == status
    assert [req.body for req in site.router.seen] == ([b"abc"] if status == b"200" else [])


@pytest.mark.parametrize(("method", "status", "length"), [("HEAD", 200, "7"), ("GET", 204, None)])
def test_answers_without_body(site, method, status, length):
    """Guards against bodies where HTTP allows none, which break the next answer."""
    site.router.res = Ok(Answer(status=status, body=b"" if status == 204 else b"printed"))
    got, headers, body = site.call(method, "/s/draw/x")
    assert (got, headers.get("Content-Length"), body) == (status, length, b"")


@pytest.mark.parametrize("length", ["4096", None])
def test_head_declares_the_length_that_the_worker_stated(site, length):
    """Guards against telling callers of HEAD that the resource is empty."""
    headers = (("Content-Length", length),) if length else ()
    site.router.res = Ok(Answer(status=200, headers=headers))
    assert site.call("HEAD", "/s/draw/x")[1].get("Content-Length") == length


@pytest.fixture
def own_site():
    made = Site()
    with made.frontend:
        yield made


def test_drain_finishes_requests_in_flight_and_refuses_new_ones(own_site):
    """Guards against a planned stop that cuts off a request or accepts another."""
    site = own_site
    site.router.gate.clear()
    first, drained = [], []
    caller = threading.Thread(target=lambda: first.append(site.call("GET", "/s/draw/x")))
    caller.start()
    assert site.router.entered.wait(5)
    assert site.frontend.drain(0.05) is False
    status, headers, body = site.call("POST", "/s/draw/y", b"x" * MAX_BODY_BYTES)
    assert (status, headers["Connection"]) == (503, "close")
    assert json.loads(body)["outcome"] == "not_run"
    stopper = threading.Thread(target=lambda: drained.append(site.frontend.drain(5.0)))
    stopper.start()
    site.router.gate.set()
    stopper.join()
    caller.join()
    assert drained == [True] and first[0][0] == 200 and first[0][2] == b"printed"


def test_waiting_requests_leave_threads_for_health_checks(own_site):
    """Guards against an instance that looks dead because its requests wait."""
    site = own_site
    site.router.gate.clear()
    answers = []
    callers = [
        threading.Thread(target=lambda: answers.append(site.call("GET", "/s/draw/x")))
        for _ in range(8)
    ]
    for caller in callers:
        caller.start()
    # A caller that came only after the gate opened would be served and prove nothing.
    give_up_s = time.monotonic() + 30
    while len(answers) < 3 and time.monotonic() < give_up_s:
        time.sleep(0.01)
    assert len(answers) == 3
    assert site.call("GET", "/health")[0] == 200
    site.router.gate.set()
    for caller in callers:
        caller.join()
    statuses = [status for status, _, _ in answers]
    assert len(site.router.seen) == statuses.count(200) <= 5
    refused = [json.loads(body) for status, _, body in answers if status == 503]
    assert len(refused) + statuses.count(200) == 8
    assert {problem["outcome"] for problem in refused} == {"not_run"}
