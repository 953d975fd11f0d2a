"""Counts requests in the metrics, the burn data and the trace of an instance."""

from result import Ok, Result

from fescuerudder.burn import BurnRecorder
from fescuerudder.clock import Clock
from fescuerudder.errors import RequestError, ShedError
from fescuerudder.metrics import Metrics
from fescuerudder.recording import Recording
from fescuerudder.routing import Router
from fescuerudder.upstream import Answer, Request


class ObservedRouter:
    """Router that counts each request in the metrics and the burn data.

    Args:
        router: takes requests to services.
        metrics: metrics of this instance.
        burn: burn data of this instance.
        recording: trace of this instance.
        clock: source of time.
    """

    def __init__(
        self,
        *,
        router: Router,
        metrics: Metrics,
        burn: BurnRecorder,
        recording: Recording,
        clock: Clock,
    ) -> None:
        self._router = router
        self._metrics = metrics
        self._burn = burn
        self._recording = recording
        self._clock = clock

    def handle(self, req: Request) -> Result[Answer, RequestError]:
        """Handles a request; see `Router.handle`."""
        start_s = self._clock.now_s()
        self._recording.note_request(req)
        res = self._router.handle(req)
        seconds = self._clock.now_s() - start_s
        if isinstance(res, Ok):
            answered, outcome = res.ok_value.status < 500, "answered"
        else:
            answered, outcome = False, res.err_value.outcome
            if res.err_value.status == 404:
                # The name comes from the caller; as a label it would be unbounded.
                return res
            if isinstance(res.err_value, ShedError):
                self._burn.add_event(kind="shed", target=req.service, detail="overload")
        self._metrics.count_request(service=req.service, outcome=outcome, latency_s=seconds)
        self._burn.count_request(
            service=req.service, latency_ms=seconds * 1000, is_answered=answered
        )
        return res
