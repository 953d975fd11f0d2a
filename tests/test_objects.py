"""Refusals, lost answers and outages of the object store are told apart."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from fescuerudder.errors import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.objects import HttpObjectStore


class Handler(BaseHTTPRequestHandler):
    def do_PUT(self):  # noqa: N802
        data = self.rfile.read(int(self.headers["Content-Length"]))
        objects = self.server.objects
        if self.server.status:
            self.answer(self.server.status)
        elif self.headers.get("If-None-Match") and self.path in objects:
            self.answer(412)
        else:
            objects[self.path] = data
            self.answer(200)

    def do_GET(self):  # noqa: N802
        data = self.server.objects.get(self.path)
        self.answer(self.server.status or (404 if data is None else 200), data or b"")

    def answer(self, status, body=b""):
        if status > 0:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_):
        pass


@pytest.fixture
def server():
    with HTTPServer(("127.0.0.1", 0), Handler) as running:
        running.objects, running.status = {}, 0
        thread = threading.Thread(target=running.serve_forever, args=(0.01,))
        thread.start()
        yield running
        running.shutdown()
        thread.join()


@pytest.fixture
def store(server):
    with HttpObjectStore(address=f"127.0.0.1:{server.server_port}", timeout_s=2.0) as made:
        yield made


def test_objects_come_back_and_create_only_refuses_a_second(store):
    name = "checkpoints/task 1/2"
    assert store.get(name=name) is None
    store.put(name=name, data=b"\x00state", create_only=True)
    assert store.get(name=name) == b"\x00state"
    with pytest.raises(ConflictError):
        store.put(name=name, data=b"other", create_only=True)
    store.put(name=name, data=b"other")
    assert store.get(name=name) == b"other"


@pytest.mark.parametrize(
    ("status", "error"),
    [(503, StoreUnavailableError), (500, StoreOutcomeUnknownError), (-1, StoreOutcomeUnknownError)],
    ids=["down", "fault", "answer lost"],
)
def test_failures(server, store, status, error):
    server.status = status
    with pytest.raises(error):
        store.put(name="a", data=b"x")
    with pytest.raises(StoreUnavailableError):
        store.get(name="a")


def test_an_unreachable_store_did_not_get_the_object():
    with HttpObjectStore(address="127.0.0.1:9") as store, pytest.raises(StoreUnavailableError):
        store.put(name="a", data=b"x")
