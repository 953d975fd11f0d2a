"""Interface for operators on the metrics address: where a job would be placed now, and why.

`POST /preview` has the body `{"queue": NAME, "job": {...}}` with the job as its caller would submit
it, and the caller's key, which decides the account. Nothing of the key is logged or answered.
"""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import attrs
import structlog
from result import Err, Ok

from fescuerudder import checked
from fescuerudder.jobs.job import Job
from fescuerudder.jobs.jobcheck import check_job
from fescuerudder.jobs.manifest import Manifest
from fescuerudder.jobs.previewservice import PREVIEW_ID, PreviewService
from fescuerudder.jobs.progress import dump_job
from fescuerudder.jobs.rows import MAX_ROW_BYTES
from fescuerudder.platform.callers import FindAccount, parse_job, read_body, read_key

_log = structlog.get_logger(__name__)

Answer = tuple[int, dict[str, Any]]


class PreviewApp:
    """WSGI application that serves previews.

    Args:
        previews: asks the leader.
        manifest: returns the manifest, None if there is none yet.
        find_account: returns the account of a key, empty for none, None if the call is refused.
        refusal: returns why a job would not be stored now, empty if it would.
    """

    def __init__(
        self,
        *,
        previews: PreviewService,
        manifest: Callable[[], Manifest | None],
        find_account: FindAccount,
        refusal: Callable[[], str],
    ) -> None:
        self._previews = previews
        self._manifest = manifest
        self._find_account = find_account
        self._refusal = refusal

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answers one request."""
        try:
            status, body = self._answer(environ)
        except Exception:
            _log.exception("preview failed")
            status, body = 500, {"error": "the preview failed; the log has the reason"}
        data = json.dumps(body, separators=(",", ":")).encode()
        start_response(
            f"{status} {HTTPStatus(status).phrase}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        if environ["REQUEST_METHOD"] != "POST":
            return 405, {"error": "a preview is a POST"}
        try:
            raw = checked.load_json(read_body(environ))
            queue_name, document = checked.text(raw["queue"]), raw["job"]
        except (AttributeError, LookupError, TypeError, ValueError):
            return 400, {"error": "the body must be JSON with `queue` and `job`"}
        manifest = self._manifest()
        if manifest is None:
            return 503, {"error": "this instance has no manifest yet"}
        queue = manifest.queue(queue_name)
        if queue is None:
            return 404, {"error": f"no queue {queue_name!r}"}
        account = self._find_account(read_key(environ), is_public=queue.is_public)
        if account is None:
            return 401, {"error": f"queue {queue_name!r} needs a known key"}
        try:
            job = parse_job(document, job_id=PREVIEW_ID, queue=queue, account=account)
            check_job(job)
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            return 400, {"error": f"invalid job: {checked.reason(exc)}"}
        if not any(step.count for step in job.steps):
            return 400, {"error": "invalid job: the job has no tasks"}
        if len(dump_job(job)) > MAX_ROW_BYTES:
            return 413, {"error": f"invalid job: the job exceeds {MAX_ROW_BYTES} bytes"}
        return self._preview(job)

    def _preview(self, job: Job) -> Answer:
        refusal = self._refusal()
        accepted = {"status": 503 if refusal else 200, "reason": refusal}
        match self._previews.preview(job):
            case Ok(preview):
                return 200, {"accepted": accepted, **attrs.asdict(preview)}
            case Err(problem):
                return 400 if problem.is_invalid else 503, {"error": problem.reason}
