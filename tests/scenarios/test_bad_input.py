"""Malformed, oversized and slow input to one running instance: clear errors, and it serves on."""

import contextlib
import http.client
import json
import socket
import threading

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from websockets.exceptions import InvalidHandshake
from websockets.sync.client import connect

from bench.small_cluster import Shape, wait_until

EXAMPLES = 60
ANSWER_S = 20.0
MAX_BODY_BYTES = 1024 * 1024
TRICKLERS = 40
"""Fewer than the 48 threads of an instance; test_frontend has the case with more."""

CHECKED = settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class Target:
    """The instance under test."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entry = cluster.entries[0]
        self.process = cluster.launcher.processes[self.entry]
        self.host, _, port = cluster.address(self.entry).rpartition(":")
        self.port = int(port)
        self.key = cluster.launcher.deployment.operator_key

    def send_raw(self, data: bytes) -> bytes:
        """Sends bytes, ends sending, and returns what comes until the instance closes."""
        received = b""
        with socket.create_connection((self.host, self.port), timeout=ANSWER_S) as sock:
            with contextlib.suppress(ConnectionError):
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
            with contextlib.suppress(ConnectionError):
                while part := sock.recv(65536):
                    received += part
        return received

    def call(self, method, path, body=None, headers=None):
        """Returns status and problem document (or the decoded body)."""
        conn = http.client.HTTPConnection(self.host, self.port, timeout=ANSWER_S)
        try:
            conn.request(method, path, body=body, headers=headers or {})
            resp = conn.getresponse()
            data = resp.read()
            return resp.status, resp.getheader("Content-Type", ""), data
        finally:
            conn.close()

    def check_serving(self):
        """The same process still answers."""
        assert self.process.is_running
        assert self.call("GET", "/health")[0] == 200


@pytest.fixture(scope="module")
def target(clusters):
    cluster = clusters.get(Shape(entries=3, workers=2))
    found = Target(cluster)
    handle = found.process.handle
    yield found
    found.check_serving()
    assert found.process.handle is handle


def check_error(status, kind, data, *, allowed=range(400, 500)):
    """An error is a problem document that says what is wrong and that nothing ran."""
    assert status in allowed, (status, data[:300])
    assert kind == "application/problem+json"
    problem = json.loads(data)
    assert problem["status"] == status and problem["detail"]
    assert problem["outcome"] == "not_run"


POST = b"POST /s/x/y HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = st.one_of(
    st.binary(min_size=1, max_size=200),
    st.sampled_from(
        [
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET\r\n\r\n",
            b"get /health HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n",
            POST + b"Content-Length: -5\r\n\r\n",
            POST + b"Content-Length: 1e3\r\n\r\n",
            POST + b"Content-Length: 3, 4\r\n\r\nabcd",
            POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            CHUNKED + b"zz\r\nab\r\n0\r\n\r\n",
            CHUNKED + b"ffffffffffffffff\r\n",
            POST + b"Transfer-Encoding: gzip\r\n\r\nab",
            b"GET /health HTTP/1.1\r\nHost : a\r\n\r\n",
            b"GET /health HTTP/1.1\r\n: a\r\n\r\n",
            b"GET /health HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
            b"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        ]
    ),
)


@CHECKED
@given(data=LINES)
def test_bytes_that_are_no_request(target, data):
    """Guards against a crash, a hang or a success after bytes that are no valid request."""
    answer = target.send_raw(data)
    if answer:
        status = int(answer.split(b" ", 2)[1])
        assert 400 <= status < 506 and status != 500, answer[:300]
    elif b"\n" in data.lstrip(b"\r\n"):
        # Only input without a complete line may end without an answer.
        pytest.fail(f"no answer to {data!r}")
    target.check_serving()


@CHECKED
@given(
    head=st.lists(
        st.tuples(
            st.sampled_from(
                ["Deadline-Ms", "Idempotency-Key", "X-Request-Id", "If-Match", "Accept", "X-A"]
            ),
            st.text(st.characters(min_codepoint=0x20, max_codepoint=0xFF), max_size=300),
        ),
        max_size=5,
    ),
    path=st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), max_size=60),
    method=st.sampled_from(["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "BREW", "TRACE"]),
)
def test_requests_with_strange_parts(target, head, path, method):
    """Guards against internal errors on unusual paths, methods and header values."""
    lines = [f"{method} /{path} HTTP/1.1", "Host: a", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in head]
    answer = target.send_raw("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
    status = int(answer.split(b" ", 2)[1])
    assert 400 <= status < 506 and status != 500, answer[:400]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            ["service", "payload", "priority", "state", "name", "team", "kind", "size", "zones"]
        ),
        inner,
        max_size=5,
    ),
    max_leaves=12,
)
BODIES = st.one_of(JSON.map(lambda value: json.dumps(value).encode()), st.binary(max_size=100))


@CHECKED
@given(body=BODIES, path=st.sampled_from(["/v1/tasks", "/v1/services/odd", "/v1/zones/nowhere"]))
def test_documents_and_tasks_that_are_none(target, body, path):
    """Guards against internal errors and against accepting documents of the wrong shape."""
    headers = {"Authorization": f"Bearer {target.key}", "Idempotency-Key": "bad-input"}
    method = "POST" if path == "/v1/tasks" else "PUT"
    status, kind, data = target.call(method, path, body, headers)
    check_error(status, kind, data)


@pytest.mark.parametrize(
    ("method", "path", "size", "headers", "status"),
    [
        ("POST", "/s/proofs/x", MAX_BODY_BYTES + 1, {}, 413),
        ("POST", "/v1/tasks", MAX_BODY_BYTES + 1, {"Idempotency-Key": "k"}, 413),
        ("PUT", "/v1/services/a", 3 * MAX_BODY_BYTES, {"Authorization": "Bearer x"}, 413),
        ("GET", "/s/proofs/x", 0, {f"X-{n}": "v" for n in range(101)}, 431),
        ("GET", "/s/proofs/x", 0, {"X-A": "v" * 17_000}, 431),
        ("POST", "/s/proofs/x", 0, {"Idempotency-Key": "k" * 256}, 400),
        ("PUT", "/v1/services/a", 2, {}, 401),
        ("PUT", "/v1/services/a", 2, {"Authorization": "Bearer wrong"}, 401),
        ("PUT", "/v1/services/a", 2, {"Authorization": "Bearer \u00e9"}, 401),
        ("GET", "/v1/status", 0, {}, 401),
    ],
)
def test_oversized_and_unauthorized(target, method, path, size, headers, status):
    """Guards against unbounded input and against operators without a key."""
    body = b"{" * size if size else None
    found, kind, data = target.call(method, path, body, headers)
    check_error(found, kind, data, allowed=(status,))
    target.check_serving()


def test_slow_callers_do_not_stop_others(target):
    """Guards against callers that never end their requests and thereby block the instance."""
    stopped = threading.Event()
    socks = [
        socket.create_connection((target.host, target.port), timeout=ANSWER_S)
        for _ in range(TRICKLERS)
    ]

    def trickle():
        while not stopped.wait(0.3):
            for sock in socks:
                with contextlib.suppress(OSError):
                    sock.sendall(b"G")

    thread = threading.Thread(target=trickle, daemon=True)
    thread.start()
    try:
        for _ in range(10):
            target.check_serving()
    finally:
        stopped.set()
        thread.join()
        for sock in socks:
            sock.close()
    wait_until(lambda: target.call("GET", "/health")[0] == 200, "the instance serves")


@pytest.mark.parametrize("key", [None, "", "wrong-key-of-some-length", "peer-key-for-tests-onl"])
def test_a_peer_without_the_key_is_refused(target, key):
    """Guards against anyone but an entry instance giving commands."""
    address = target.process.addresses["control"]
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    with pytest.raises(InvalidHandshake) as info:
        connect(f"ws://{address}", additional_headers=headers, open_timeout=ANSWER_S).close()
    assert info.value.response.status_code == 401
    target.check_serving()


@CHECKED
@given(data=st.binary(min_size=1, max_size=200))
def test_bytes_at_the_peer_address(target, data):
    """Guards against a crash of the peer server after bytes that are no handshake."""
    host, _, port = target.process.addresses["control"].rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=ANSWER_S)
    with sock, contextlib.suppress(ConnectionError):
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(65536):
            pass
    target.check_serving()
