"""HTTP client of the caller and operator interfaces of one entry instance."""

import json
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from fescuerudder.errors import FescuerudderError

CLIENT_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 2.0
UNKNOWN = "unknown"
NOT_RUN = "not_run"
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


class ClientError(FescuerudderError):
    """A call was refused or failed; it certainly had no effect or changes nothing."""

    def __init__(self, message: str, *, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


class UnreachableError(ClientError):
    """No connection was made; the call certainly had no effect."""


class OutcomeUnknownError(ClientError):
    """The call may or may not have taken effect."""


@attrs.frozen(kw_only=True)
class Answer:
    """A complete answer.

    Args:
        status: HTTP status.
        body: complete body.
        content_type: media type, or empty.
        replayed: whether it is the stored answer of an earlier call with the same key.
    """

    status: int
    body: bytes
    content_type: str = ""
    replayed: bool = False


class Client:
    """Calls one entry instance, each time on a connection of its own. Never retries by itself.

    A call on a reused connection that the server closes at that moment would have an unknown
    outcome for no good reason.

    Args:
        server: `ip:port` of the instance.
        operator_key: key of the operators; empty for calls that need none.
        timeout_s: limit for reading an answer.
    """

    def __init__(
        self,
        *,
        server: str,
        operator_key: str = "",
        timeout_s: float = CLIENT_TIMEOUT_S,
    ) -> None:
        self._server = server
        self._operator_key = operator_key
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)

    def list_services(self) -> Any:
        """Returns all service documents with their revisions."""
        return self._call("GET", "/v1/services", operator=True)

    def get_service(self, name: str) -> Any:
        """Returns one service document with its revision."""
        return self._call("GET", f"/v1/services/{_quote(name)}", operator=True)

    def put_service(self, name: str, document: dict[str, Any], *, revision: int | None) -> Any:
        """Applies a document; `revision` is the one it replaces, or None for any."""
        headers = {} if revision is None else {"If-Match": f'"{revision}"'}
        path = f"/v1/services/{_quote(name)}"
        return self._call("PUT", path, data=document, headers=headers, operator=True)

    def put_zone(self, zone: str, *, state: str) -> Any:
        """Takes a zone out of service (`out`) or returns it (`in`)."""
        path = f"/v1/zones/{_quote(zone)}"
        return self._call("PUT", path, data={"state": state}, operator=True)

    def list_zones(self) -> Any:
        """Returns the zones and their states."""
        return self._call("GET", "/v1/zones", operator=True)

    def read_status(self) -> Any:
        """Returns the status of the instance."""
        return self._call("GET", "/v1/status", operator=True)

    def read_burn(self) -> Any:
        """Returns the burn data of the instance."""
        return self._call("GET", "/v1/burn", operator=True)

    def take_trace(self) -> str:
        """Returns the trace that the instance recorded, as JSON lines, and empties it there."""
        headers = {"Authorization": f"Bearer {self._operator_key}"}
        answer = self._exchange("GET", "/v1/trace", body=b"", headers=headers)
        if answer.status != 200:
            raise refusal_of(answer, is_safe=True)
        return answer.body.decode()

    def send(
        self,
        *,
        service: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        key: str = "",
        deadline_ms: float = 0.0,
    ) -> Answer:
        """Sends a request to a service and returns the upstream's answer, of any status."""
        headers = _key_headers(key) if key else {}
        if deadline_ms > 0:
            headers["Deadline-Ms"] = f"{deadline_ms:g}"
        url = f"/s/{_quote(service)}/{path.lstrip('/')}"
        return self._exchange(method, url, body=body, headers=headers)

    def submit(self, *, service: str, payload: str, key: str, urgent: bool = False) -> Any:
        """Submits a batch task; the same key never makes a second task."""
        data: dict[str, Any] = {"service": service, "payload": payload}
        if urgent:
            data["priority"] = "urgent"
        return self._call("POST", "/v1/tasks", data=data, headers=_key_headers(key))

    def read_task(self, task_id: str) -> Any:
        """Returns the state of a task."""
        return self._call("GET", f"/v1/tasks/{_quote(task_id)}")

    def cancel(self, task_id: str) -> Any:
        """Asks for the cancellation of a task."""
        return self._call("POST", f"/v1/tasks/{_quote(task_id)}/cancel")

    def _call(
        self,
        method: str,
        path: str,
        *,
        data: Any = None,
        headers: dict[str, str] | None = None,
        operator: bool = False,
    ) -> Any:
        """Returns the decoded body of an answer of status 2xx; anything else is an error."""
        all_headers = dict(headers or {})
        if operator:
            all_headers["Authorization"] = f"Bearer {self._operator_key}"
        body = b""
        if data is not None:
            body = json.dumps(data).encode()
            all_headers["Content-Type"] = "application/json"
        answer = self._exchange(method, path, body=body, headers=all_headers)
        is_safe = method in SAFE_METHODS
        if not 200 <= answer.status < 300:
            raise refusal_of(answer, is_safe=is_safe)
        return _decode(answer, is_safe=is_safe)

    def _exchange(self, method: str, path: str, *, body: bytes, headers: dict[str, str]) -> Answer:
        url = f"http://{self._server}{path}"
        try:
            with urllib3.PoolManager(num_pools=1, retries=False, timeout=self._timeout) as pool:
                resp = pool.request(
                    method,
                    url,
                    body=body or None,
                    headers={"Connection": "close", **headers},
                    redirect=False,
                )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise UnreachableError(f"no connection to {self._server}, nothing was sent") from None
        except urllib3.exceptions.HTTPError as exc:
            raise _lost_answer(method, self._server, exc) from exc
        return Answer(
            status=resp.status,
            body=resp.data,
            content_type=resp.headers.get("Content-Type", ""),
            replayed=resp.headers.get("Idempotency-Replayed") == "true",
        )


def refusal_of(answer: Answer, *, is_safe: bool) -> ClientError:
    """Returns the error that an unsuccessful answer stands for.

    A server error that states no outcome leaves it unknown, unless the call changes nothing.
    """
    problem = _problem_of(answer)
    parts = [str(problem[name]) for name in ("title", "detail") if problem.get(name)]
    text = " ".join(": ".join(parts).split()) or "no reason given"
    message = f"answer {answer.status}: {text}"
    stated = problem.get("outcome")
    if stated == UNKNOWN or (answer.status >= 500 and not stated and not is_safe):
        return OutcomeUnknownError(message, status=answer.status)
    if stated == NOT_RUN:
        message += " (not run)"
    return ClientError(message, status=answer.status)


def outcome_of(answer: Answer) -> str:
    """Returns the `outcome` that a problem answer states, or an empty text."""
    return str(_problem_of(answer).get("outcome", ""))


def _decode(answer: Answer, *, is_safe: bool) -> Any:
    try:
        return json.loads(answer.body)
    except ValueError as exc:
        error = ClientError if is_safe else OutcomeUnknownError
        raise error("the answer is not JSON", status=answer.status) from exc


def _problem_of(answer: Answer) -> dict[str, Any]:
    if not answer.content_type.startswith("application/problem+json"):
        return {}
    try:
        problem = json.loads(answer.body)
    except ValueError:
        return {}
    return problem if isinstance(problem, dict) else {}


def _lost_answer(method: str, server: str, exc: Exception) -> ClientError:
    reason = "it took too long" if isinstance(exc, urllib3.exceptions.TimeoutError) else "it broke"
    message = f"no complete answer from {server}: {reason}"
    if method in SAFE_METHODS:
        return ClientError(message)
    return OutcomeUnknownError(message)


def _key_headers(key: str) -> dict[str, str]:
    if not key or not (key.isascii() and key.isprintable()):
        raise ClientError("an idempotency key must be printable ASCII text, nothing was sent")
    return {"Idempotency-Key": key}


def _quote(part: str) -> str:
    return quote(part, safe="")
