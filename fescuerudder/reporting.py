"""Reports rack events to the log, the metrics and the burn data of this instance."""

from collections.abc import Callable

import attrs
import structlog

from fescuerudder.burn import BurnRecorder
from fescuerudder.metrics import Metrics
from fescuerudder.rackevents import EventKind, RackEvent

_log = structlog.get_logger(__name__)

MESSAGES: dict[EventKind, str] = {
    "assign": "task assigned",
    "start": "task started",
    "evict": "task evicted",
    "end": "task attempt ended",
    "remedy": "interference mitigated",
    "quarantine": "worker quarantined",
    "unschedulable": "task fits on no known worker",
}
COUNTED_ENDS = frozenset({"finished", "failed", "cancelled", "lost"})


class EventReporter:
    """Receives the events of all racks of this instance; implements `RackObserver`.

    Args:
        metrics: metrics of this instance.
        burn: burn data of this instance.
    """

    def __init__(self, *, metrics: Metrics, burn: BurnRecorder) -> None:
        self._burn = burn
        self._metrics = metrics
        self._counters: dict[EventKind, Callable[[RackEvent], None]] = {
            "start": lambda event: metrics.count_start(service=event.service),
            "end": self._count_end,
            "evict": self._count_eviction,
            "remedy": self._count_remedy,
            "quarantine": lambda event: metrics.count_quarantine(),
            "unschedulable": lambda event: metrics.count_unschedulable(service=event.service),
        }

    def __call__(self, event: RackEvent) -> None:
        """Logs and counts an event."""
        fields = attrs.asdict(event, filter=lambda field, value: field.name != "kind" and value)
        _log.info(MESSAGES[event.kind], **fields)
        counter = self._counters.get(event.kind)
        if counter is not None:
            counter(event)

    def _count_end(self, event: RackEvent) -> None:
        if event.detail in COUNTED_ENDS:
            self._metrics.count_end(service=event.service, end=event.detail)

    def _count_eviction(self, event: RackEvent) -> None:
        self._metrics.count_eviction(service=event.service, reason=event.detail)
        self._burn.add_event(kind="eviction", target=event.service, detail=event.detail)

    def _count_remedy(self, event: RackEvent) -> None:
        self._metrics.count_remedy(service=event.service, remedy=event.detail)
        self._burn.add_event(kind="remedy", target=event.service, detail=event.detail)
