"""Fake entry instance at the interface of design section 13, for tests of its callers."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import attrs

from fescuerudder.task import task_id_for

KEY = "operator-key-0123456789"
PROBLEM = "application/problem+json"


@attrs.define(kw_only=True, slots=False)
class FakeEntry:
    """State of the fake. `scripted` answers go first: (status, content type, body) or None to
    close the connection without an answer."""

    services: dict = attrs.field(factory=dict)
    zones: dict = attrs.field(factory=dict)
    tasks: dict = attrs.field(factory=dict)
    scripted: list = attrs.field(factory=list)
    seen: list = attrs.field(factory=list)
    burn: dict = attrs.field(factory=dict)
    task_end: str = "finished"
    delay_s: float = 0.0
    zone_tasks: int = 0
    address: str = ""

    def __enter__(self):
        handler = type("Handler", (_Handler,), {"fake": self})
        self._server = _Server(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True
        )
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def answer(self, method, path, headers, body):
        """Returns (status, content type, body)."""
        if path.startswith("/s/"):
            time.sleep(self.delay_s)
            return 200, "text/plain", f"{method} {path} {body}".encode()
        data = json.loads(body) if body else {}
        if not path.startswith("/v1/tasks") and headers.get("Authorization") != f"Bearer {KEY}":
            return _problem(401, "wrong operator key")
        parts = path.strip("/").split("/")[1:]
        status, value = getattr(self, f"_{method.lower()}_{parts[0]}")(parts[1:], headers, data)
        if status >= 400:
            return _problem(status, value)
        return status, "application/json", json.dumps(value).encode()

    def _get_services(self, parts, headers, data):
        if not parts:
            return 200, {"services": list(self.services.values())}
        if parts[0] not in self.services:
            return 404, "no such service"
        return 200, self.services[parts[0]]

    def _put_services(self, parts, headers, data):
        revision = self.services.get(parts[0], {"revision": 0})["revision"]
        if headers.get("If-Match") not in (None, f'"{revision}"'):
            return 409, f"revision is {revision}"
        self.services[parts[0]] = {"document": data, "revision": revision + 1}
        return 200, {"revision": revision + 1}

    def _put_zones(self, parts, headers, data):
        self.zones[parts[0]] = data["state"]
        return 200, {"zone": parts[0], "state": data["state"]}

    def _get_zones(self, parts, headers, data):
        return 200, {"zones": self.zones}

    def _get_status(self, parts, headers, data):
        return 200, {"racks": [{"zone": zone, "tasks": self.zone_tasks} for zone in self.zones]}

    def _get_burn(self, parts, headers, data):
        return 200, self.burn

    def _post_tasks(self, parts, headers, data):
        if parts:
            self.tasks[parts[0]]["state"] = "cancelled"
            return 200, self.tasks[parts[0]]
        task = task_id_for(service=data["service"], idempotency_key=headers["Idempotency-Key"])
        self.tasks.setdefault(task, {"task": task, "state": "queued"})
        return 202, self.tasks[task]

    def _get_tasks(self, parts, headers, data):
        if parts[0] not in self.tasks:
            return 404, "no such task"
        answer = dict(self.tasks[parts[0]])
        self.tasks[parts[0]]["state"] = self.task_end
        return 200, answer


def _problem(status, title):
    body = json.dumps({"title": title, "outcome": "not_run"}).encode()
    return status, PROBLEM, body


class _Server(ThreadingHTTPServer):
    # The default backlog of 5 delays bursts of connections by a second.
    request_queue_size = 256
    daemon_threads = True


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _serve(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0)).decode()
        self.fake.seen.append((self.command, self.path, dict(self.headers), body))
        if self.fake.scripted:
            answer = self.fake.scripted.pop(0)
        else:
            answer = self.fake.answer(self.command, self.path, self.headers, body)
        if answer is None:
            self.close_connection = True
            return
        status, content_type, content = answer
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_PUT = do_POST = _serve  # noqa: N815

    def log_message(self, *args):
        """Keeps test output quiet."""
