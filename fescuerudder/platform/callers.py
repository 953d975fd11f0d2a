"""The platform's HTTP interface for callers: each queue has a host and a path prefix."""

import json
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol

import structlog
from result import Err, Ok, Result

from fescuerudder import checked
from fescuerudder.clock import Clock
from fescuerudder.httpserver import MAX_BODY_BYTES, close_after_answer
from fescuerudder.jobs.accounts import NO_ACCOUNT
from fescuerudder.jobs.intake import Refusal
from fescuerudder.jobs.job import Job, Repetition, Step
from fescuerudder.jobs.jobcheck import check_job
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.jobrun import JobState
from fescuerudder.jobs.manifest import Queue
from fescuerudder.platform.sources import parse_size

DEFAULT_DEADLINE_S = 3.0
MAX_DEADLINE_MS = 3_600_000
_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
_REFUSED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Answers that say that a call was not carried out."""

_DEADLINE_HEADER = "HTTP_X_DEADLINE_MS"

_log = structlog.get_logger(__name__)

Answer = tuple[int, Any, dict[str, str]]


class Intake(Protocol):
    """Operations that the interface calls; see `fescuerudder.jobs.intake`."""

    def submit(self, job: Job, *, deadline_s: float) -> Result[None, Refusal]:
        """Stores a job."""

    def cancel(self, job_id: str, *, deadline_s: float) -> Result[bool, Refusal]:
        """Stores a cancellation."""

    def state(self, job_id: str) -> Result[JobState | None, Refusal]:
        """Returns the state of a job."""

    def pending(self, queue: str) -> Result[int, Refusal]:
        """Returns the number of jobs that wait in a queue."""


class FindAccount(Protocol):
    """Finds the account of a call; see `ConfigWatch.find_account`."""

    def __call__(self, key: str | None, *, is_public: bool) -> str | None:
        """Returns its name, empty for none; None if the call is to be refused."""


class CallerApp:
    """WSGI application that serves callers.

    Args:
        intake: accepts jobs and cancellations, and answers queries.
        find_queue: returns the queue of a host and path; raises LookupError without a manifest.
        find_account: returns the account of a key, empty for none, None if the call is refused.
        is_draining: returns whether connections are to be closed after their answers.
        clock: source of time.
        metrics: metrics of this instance.
    """

    def __init__(
        self,
        *,
        intake: Intake,
        find_queue: Callable[[str, str], Queue | None],
        find_account: FindAccount,
        is_draining: Callable[[], bool],
        clock: Clock,
        metrics: JobMetrics,
    ) -> None:
        self._intake = intake
        self._metrics = metrics
        self._find_queue = find_queue
        self._find_account = find_account
        self._is_draining = is_draining
        self._clock = clock

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answers one request."""
        started_s = self._clock.now_s()
        try:
            status, body, headers = self._answer(environ, started_s)
        except Exception:
            _log.exception("request handler failed", path=environ.get("PATH_INFO"))
            status, body, headers = 500, {}, {}
        data = json.dumps(body, separators=(",", ":")).encode()
        if self._is_draining():
            close_after_answer(environ)
        start_response(
            f"{status} {HTTPStatus(status).phrase}",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
                *headers.items(),
            ],
        )
        took_s = self._clock.now_s() - started_s
        method = environ["REQUEST_METHOD"]
        self._metrics.record_call(
            peer="caller", operation=method, outcome=str(status), seconds=took_s
        )
        _log.info(
            "request answered",
            method=method,
            path=environ.get("PATH_INFO"),
            status=status,
            body=body,
            took_ms=round(took_s * 1000, 1),
        )
        return [data]

    def _answer(self, environ: dict[str, Any], started_s: float) -> Answer:
        try:
            data = read_body(environ)
        except ValueError as exc:
            # The HTTP server's errors quote the body, so only the type is logged.
            _log.warning("malformed request", reason=type(exc).__name__)
            return 400, {}, {}
        path = environ.get("PATH_INFO", "")
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        try:
            queue = self._find_queue(host, path)
        except LookupError:
            return _refusal_answer(Refusal(reason="no manifest yet"))
        if queue is None:
            return 404, {}, {}
        account = self._find_account(read_key(environ), is_public=queue.is_public)
        if account is None:
            self._metrics.accounts.count_refused(NO_ACCOUNT, HTTPStatus.UNAUTHORIZED)
            return _refuse_key(queue, environ)
        answer = self._answer_known(environ, queue, account, data, started_s)
        if answer[0] in _REFUSED:
            self._metrics.accounts.count_refused(account, answer[0])
        return answer

    def _answer_known(
        self, environ: dict[str, Any], queue: Queue, account: str, data: bytes, started_s: float
    ) -> Answer:
        """Answers a request to a queue that the caller may use."""
        path = environ.get("PATH_INFO", "")
        job_id = path[len(queue.prefix) :]
        method = environ["REQUEST_METHOD"]
        deadline_s = started_s + _deadline_s(environ)
        if not job_id and method == "GET":
            return self._pending(queue)
        if not _ID_PATTERN.fullmatch(job_id):
            return 404, {}, {}
        if method == "POST":
            return self._submit(queue, account, job_id, data, deadline_s)
        if method == "GET":
            return self._state(job_id)
        if method == "DELETE":
            return self._cancel(job_id, deadline_s)
        return 405, {}, {}

    def _submit(
        self, queue: Queue, account: str, job_id: str, data: bytes, deadline_s: float
    ) -> Answer:
        try:
            raw = checked.load_json(data)
            job = parse_job(raw, job_id=job_id, queue=queue, account=account)
            check_job(job)
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            _log.warning("malformed job", job=job_id, reason=checked.reason(exc))
            return 400, {}, {}
        if not any(step.count for step in job.steps):
            # No task of it would ever end, so it would stay queued for good. Stored jobs of this
            # kind, which earlier versions accepted, can still be read.
            _log.warning("job without tasks", job=job_id)
            return 400, {"error": "the job has no tasks"}, {}
        match self._intake.submit(job, deadline_s=deadline_s):
            case Ok():
                return 200, {}, {}
            case Err(refusal):
                return _refusal_answer(refusal)

    def _state(self, job_id: str) -> Answer:
        match self._intake.state(job_id):
            case Ok(None):
                return 410, {}, {}
            case Ok(state):
                return 200, {"state": state.value}, {}
            case Err(refusal):
                return _refusal_answer(refusal)

    def _cancel(self, job_id: str, deadline_s: float) -> Answer:
        match self._intake.cancel(job_id, deadline_s=deadline_s):
            case Ok(existed):
                return (200 if existed else 410), {}, {}
            case Err(refusal):
                return _refusal_answer(refusal)

    def _pending(self, queue: Queue) -> Answer:
        match self._intake.pending(queue.name):
            case Ok(count):
                return 200, {"pending": count}, {}
            case Err(refusal):
                return _refusal_answer(refusal)


def _refusal_answer(refusal: Refusal) -> Answer:
    if refusal.is_final:
        return 413, {"error": refusal.reason}, {}
    if refusal.ran is None:
        return 504, {}, {}
    headers = {"Retry-After": str(max(1, round(refusal.retry_after_s)))}
    return 503, {"retryAfterMs": int(refusal.retry_after_s * 1000)}, headers


def read_key(environ: dict[str, Any]) -> str | None:
    """Returns the key that a call carries, None if it carries none."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").strip().partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    try:
        # WSGI passes the bytes of a header as Latin-1.
        return key.strip().encode("latin-1").decode()
    except UnicodeError:
        return None


def _refuse_key(queue: Queue, environ: dict[str, Any]) -> Answer:
    """Returns the answer to a call without a known key; the log line says nothing of the key."""
    has_key = read_key(environ) is not None
    _log.info(
        "call without a known key",
        queue=queue.name,
        result="unknown key" if has_key else "no key",
    )
    error = "unknown key" if has_key else "this call needs a key: Authorization: Bearer KEY"
    return 401, {"error": error}, {"WWW-Authenticate": "Bearer"}


def read_body(environ: dict[str, Any]) -> bytes:
    """Returns the body of a request.

    Raises:
        ValueError: its length is malformed.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length < 0:
        raise ValueError("negative length of the body")
    return environ["wsgi.input"].read(min(length, MAX_BODY_BYTES)) if length else b""


def _deadline_s(environ: dict[str, Any]) -> float:
    """Returns how long the caller waits for the answer, in seconds."""
    try:
        deadline_ms = int(environ[_DEADLINE_HEADER])
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S
    if deadline_ms <= 0:
        return DEFAULT_DEADLINE_S
    return min(deadline_ms, MAX_DEADLINE_MS) / 1000


def parse_job(raw: dict[str, Any], *, job_id: str, queue: Queue, account: str) -> Job:
    """Returns the job of a submitted document.

    Raises:
        AttributeError, LookupError, TypeError, ValueError: the document is malformed.
    """
    times = checked.whole(raw.get("repeatCount", 0))
    repetition = None
    if times > 0:
        repetition = Repetition(
            times=times,
            first_ms=_milliseconds(raw, "startAtMs"),
            interval_ms=_milliseconds(raw, "intervalMs"),
        )
    return Job(
        id=job_id,
        queue=queue.name,
        payload=checked.text(raw.get("spec", "")),
        steps=tuple(_parse_step(step) for step in checked.items(raw["steps"])),
        repetition=repetition,
        accepted_queue=queue,
        account=account,
    )


def _parse_step(raw: dict[str, Any]) -> Step:
    max_unavailable = raw.get("maxUnavailable")
    return Step(
        count=checked.whole(raw.get("count", 0)),
        size=parse_size(raw),
        estimated_ms=_milliseconds(raw, "estimatedMs"),
        after=tuple(checked.whole(number) for number in checked.items(raw.get("after", []))),
        gang=bool(raw.get("gang", False)),
        same_rack=bool(raw.get("sameRack", False)),
        required_label=checked.text(raw.get("requires", "")),
        data_rack=checked.text(raw.get("affinity", "")),
        max_per_worker=checked.whole(raw.get("antiAffinity", 0)),
        speculative=bool(raw.get("allowDuplicates", False)),
        checkpoints=bool(raw.get("savesProgress", False)),
        long_running=bool(raw.get("longLived", False)),
        image=checked.text(raw.get("image", "")),
        latency_target_ms=_milliseconds(raw, "targetMs"),
        best_effort=bool(raw.get("fills", False)),
        max_unavailable=checked.whole(max_unavailable) if max_unavailable is not None else None,
    )


def _milliseconds(raw: dict[str, Any], name: str) -> int:
    return int(checked.finite(raw.get(name, 0)))
