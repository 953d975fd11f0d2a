"""What operators and task callers do, on top of configuration, submission and status."""

from collections.abc import Callable
from typing import Any

import attrs
import structlog
from result import Err, Ok, Result

from fescuerudder.burn import BurnRecorder, dump_data
from fescuerudder.configuration import Configurator, StaleRevisionError
from fescuerudder.document import ServiceDocument, dump_document, parse_document
from fescuerudder.errors import (
    ConflictError,
    DocumentError,
    PlatformError,
    RequestError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fescuerudder.messages import DrainNotice, ViewHint
from fescuerudder.metrics import Metrics
from fescuerudder.recording import Recording
from fescuerudder.submission import OutcomeUnknown, Refused, Submission, TaskView
from fescuerudder.table import Table
from fescuerudder.view import SERVICE_PREFIX, ZONE_PREFIX, ViewKeeper

Json = dict[str, Any]

OPERATOR = "operator"
"""Name in the zone rows; the interface has one key for all operators."""

_REFUSAL_STATUS = {
    "no_service": 404,
    "not_batch": 422,
    "never_runnable": 422,
    "other_body": 422,
    "not_found": 404,
    "store": 503,
    "busy": 503,
}

_log = structlog.get_logger(__name__)


class TaskOperations:
    """Batch tasks for the HTTP interface.

    Args:
        submission: accepts, reads and cancels tasks.
        recording: trace of this instance.
    """

    def __init__(self, *, submission: Submission, recording: Recording) -> None:
        self._submission = submission
        self._recording = recording

    def submit(
        self,
        *,
        service: str,
        payload: str,
        urgent: bool,
        idempotency_key: str,
        body_hash: str,
        trace_id: str,
    ) -> Result[Json, RequestError]:
        """Stores a task; repeats return the task as it is."""
        answer = self._submission.submit(
            service=service,
            payload=payload,
            urgent=urgent,
            idempotency_key=idempotency_key,
            body_hash=body_hash,
            trace_id=trace_id,
        )
        if isinstance(answer, Ok):
            task = answer.ok_value.id
            _log.info("task submitted", trace_id=trace_id, task=task, service=service)
            self._recording.note_submit(
                task=task, service=service, key=idempotency_key, payload=payload, urgent=urgent
            )
        return _task_result(answer)

    def get(self, task_id: str) -> Result[Json, RequestError]:
        """Returns a task's state."""
        return _task_result(self._submission.get(task_id))

    def cancel(self, task_id: str) -> Result[Json, RequestError]:
        """Asks for cancellation."""
        self._recording.note_cancel(task_id)
        return _task_result(self._submission.cancel(task_id))


class OperatorOperations:
    """Configuration, zones, status, burn data and metrics for the HTTP interface.

    Args:
        configurator: writes configuration changes.
        view: this instance's view.
        table: for reading the present revisions.
        metrics: metrics of this instance.
        burn: burn data of this instance.
        recording: trace of this instance.
        read_status: returns the status of this instance.
        tell_all: sends a message to all peers, best effort.
    """

    def __init__(
        self,
        *,
        configurator: Configurator,
        view: ViewKeeper,
        table: Table,
        metrics: Metrics,
        burn: BurnRecorder,
        recording: Recording,
        read_status: Callable[[], Json],
        tell_all: Callable[[Any], None],
    ) -> None:
        self._configurator = configurator
        self._view = view
        self._table = table
        self._metrics = metrics
        self._burn = burn
        self._recording = recording
        self._read_status = read_status
        self._tell_all = tell_all

    def put_service(
        self, *, name: str, raw: Any, base_revision: int | None
    ) -> Result[Json, RequestError | DocumentError]:
        """Applies a service document."""
        document = {"name": name, **raw} if isinstance(raw, dict) else raw
        try:
            doc = parse_document(document)
        except DocumentError as exc:
            return Err(exc)
        outcome = self._configurator.put_service(doc, base_revision)
        if isinstance(outcome, Err):
            return Err(_change_refused(outcome.err_value))
        self._recording.note_document(dump_document(doc))
        self._announce(outcome.ok_value)
        return Ok({"name": doc.name, "revision": outcome.ok_value})

    def get_services(self, name: str | None) -> Result[Json, RequestError]:
        """Returns one service's document and revision, or all of them."""
        self._view.poll()
        view = self._view.current()
        if name is None:
            services = [self._service_json(doc) for _, doc in sorted(view.services.items())]
            return Ok({"services": services, "fresh": self._view.is_fresh()})
        if name not in view.services:
            return Err(RequestError(f"no service {name!r}", status=404))
        return Ok(self._service_json(view.services[name]))

    def put_zone(
        self, *, zone: str, state: str, base_revision: int | None
    ) -> Result[Json, RequestError]:
        """Takes a zone out of service or returns it."""
        outcome = self._configurator.put_zone(zone, state, OPERATOR, base_revision)
        if isinstance(outcome, Ok):
            self._burn.add_event(kind="zone", target=zone, detail=state)
            self._recording.note_zone(zone=zone, state=state)
            self._announce(outcome.ok_value)
            return Ok({"zone": zone, "state": state, "revision": outcome.ok_value})
        if state == "out" and isinstance(outcome.err_value, StoreUnavailableError):
            return Ok(self._drain_provisionally(zone))
        return Err(_change_refused(outcome.err_value))

    def get_zones(self) -> Result[Json, RequestError]:
        """Returns all zones that operators ever changed, with state and revision."""
        self._view.poll()
        view = self._view.current()
        provisional = {notice.zone for notice in self._configurator.notices()}
        names = sorted(set(view.zones) | provisional)
        zones = [
            {
                "zone": zone,
                "state": "out" if zone in provisional else view.zones[zone],
                "revision": view.revisions.get(ZONE_PREFIX + zone, 0),
                "provisional": zone in provisional,
            }
            for zone in names
        ]
        return Ok({"zones": zones, "fresh": self._view.is_fresh()})

    def status(self) -> Result[Json, RequestError]:
        """Returns the state of the instance and what it knows."""
        return Ok(self._read_status())

    def burn(self) -> Result[Json, RequestError]:
        """Returns the burn data of this instance."""
        return Ok(dump_data(self._burn.snapshot()))

    def trace_lines(self) -> Result[bytes, RequestError]:
        """Returns and empties the trace recorded so far."""
        lines = self._recording.take_lines()
        if lines is None:
            return Err(RequestError("this instance records no trace", status=404))
        return Ok(lines)

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self._metrics.render()

    def _service_json(self, doc: ServiceDocument) -> Json:
        revision = self._view.current().revisions.get(SERVICE_PREFIX + doc.name, 0)
        return {"name": doc.name, "revision": revision, "document": dump_document(doc)}

    def _announce(self, revision: int) -> None:
        """Applies a change here and hints at it to all peers."""
        self._view.poll()
        self._tell_all(ViewHint(revision=revision))
        _log.info("configuration changed", revision=revision)

    def _drain_provisionally(self, zone: str) -> Json:
        notice = self._configurator.provisional_out(zone, OPERATOR)
        self._tell_all(notice)
        self._burn.add_event(kind="zone", target=zone, detail="out, provisional")
        _log.warning("zone taken out provisionally, the store is down", zone=zone)
        return {"zone": zone, "state": "out", "provisional": True, "note": _PROVISIONAL_NOTE}


_PROVISIONAL_NOTE = (
    "the store is down: no task starts anywhere, and the zone gets no new requests; the change "
    "becomes durable when the store is back, and is lost if every instance that knows of it "
    "ends before that"
)


def settle_notice(configurator: Configurator, notice: DrainNotice) -> None:
    """Merges a provisional drain that a peer announced."""
    configurator.merge(notice)
    _log.warning("peer announced a provisional drain", zone=notice.zone, peer=notice.instance)


def _task_result(answer: Result[TaskView, Refused | OutcomeUnknown]) -> Result[Json, RequestError]:
    if isinstance(answer, Ok):
        view = attrs.asdict(answer.ok_value)
        return Ok({"task": view.pop("id"), **view})
    refusal = answer.err_value
    if isinstance(refusal, OutcomeUnknown):
        return Err(RequestError(refusal.reason, status=504, outcome="unknown"))
    return Err(RequestError(refusal.reason, status=_REFUSAL_STATUS[refusal.kind]))


def _change_refused(exc: PlatformError) -> RequestError:
    """Converts an error of the configuration layer."""
    if isinstance(exc, StaleRevisionError):
        details: dict[str, object] = {"revision": exc.revision}
        text = f"another change came first; the present revision is {exc.revision}"
        return RequestError(text, status=412, details=details)
    if isinstance(exc, ConflictError):
        return RequestError("not applied: too many changes at a time", status=503)
    if isinstance(exc, StoreOutcomeUnknownError):
        text = "the store's answer was lost; read the configuration to see whether it applied"
        return RequestError(text, status=504, outcome="unknown")
    return RequestError(f"not applied: {exc}", status=503)
