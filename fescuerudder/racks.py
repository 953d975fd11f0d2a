"""Runs a control loop and a permit granter for each rack that this instance owns."""

import threading
from collections.abc import Callable

import attrs
import structlog

from fescuerudder.messages import PermitAsk, PermitReply
from fescuerudder.ownership_types import RackLease, RackSummary
from fescuerudder.permits import PermitGranter, WorkerSlots
from fescuerudder.rack import RackController
from fescuerudder.service import PeriodicService

BUSY_CYCLE_PAUSE_S = 0.5
IDLE_CYCLE_PAUSE_S = 1.0

_log = structlog.get_logger(__name__)


@attrs.frozen(kw_only=True)
class OwnedRack:
    """An owned rack with its controller, its permit granter and the service that runs them."""

    lease: RackLease
    controller: RackController
    granter: PermitGranter
    service: PeriodicService

    def step(self) -> None:
        """Runs one control cycle and updates the granter's worker states."""
        self.controller.step()
        self.granter.update_workers(worker_slots(self.controller.summary()))

    def pause_s(self) -> float:
        """Returns the pause before the next cycle, shorter while batch tasks wait or run."""
        return BUSY_CYCLE_PAUSE_S if self.is_busy() else IDLE_CYCLE_PAUSE_S

    def is_busy(self) -> bool:
        """Returns whether batch tasks wait or run."""
        summary = self.controller.summary()
        return summary.queue_length > 0 or summary.running_batch > 0


class Racks:
    """Runs the control loops of exactly the owned racks. Thread-safe.

    Args:
        owned: returns the leases of the owned racks.
        make: creates the controller and the granter for a lease.
    """

    def __init__(
        self,
        *,
        owned: Callable[[], dict[str, RackLease]],
        make: Callable[[RackLease], tuple[RackController, PermitGranter]],
    ) -> None:
        self._owned = owned
        self._make = make
        self._running: dict[str, OwnedRack] = {}
        self._stopped: dict[str, OwnedRack] = {}
        self._lock = threading.RLock()

    def __enter__(self) -> "Racks":
        return self

    def __exit__(self, *exc_info: object) -> None:
        with self._lock:
            for rack in list(self._running):
                self._stop_loop(rack)

    def step(self) -> None:
        """Starts the loops of gained racks and stops those of lost ones."""
        # A rack that is released meanwhile must not be started again, so the lock comes first.
        with self._lock:
            owned = self._owned()
            for rack, running in list(self._running.items()):
                if owned.get(rack) != running.lease:
                    self._stop_loop(rack)
            for rack, lease in owned.items():
                if rack not in self._running:
                    self._start_loop(lease)

    def release(self, lease: RackLease) -> None:
        """Stops the loop of a rack before its handover; no start or renewal is sent afterwards."""
        with self._lock:
            self._stop_loop(lease.rack)

    def hint(self, rack: str, task_id: str) -> bool:
        """Makes the loop of a rack read a task; returns whether the rack is owned here."""
        running = self._running.get(rack)
        if running is None:
            return False
        running.controller.hint(task_id)
        # A busy rack reads the task in its next cycle, at most BUSY_CYCLE_PAUSE_S later; a cycle
        # for each hint would cost more than the tasks themselves.
        if not running.is_busy():
            running.service.wake()
        return True

    def answer(self, asker: str, ask: PermitAsk) -> PermitReply:
        """Answers a request for permits; the reply says whether the rack is owned here."""
        running = self._running.get(ask.rack)
        if running is None:
            return PermitReply(rack=ask.rack, is_owner=False)
        return running.granter.answer(asker, ask)

    def summaries(self) -> list[RackSummary]:
        """Returns the summaries of the owned racks."""
        return [running.controller.summary() for running in list(self._running.values())]

    def leases(self) -> dict[str, RackLease]:
        """Returns the leases of the running racks."""
        return {rack: running.lease for rack, running in list(self._running.items())}

    def _start_loop(self, lease: RackLease) -> None:
        controller, granter = self._resume(lease) or self._make(lease)
        holder: list[OwnedRack] = []
        service = PeriodicService(
            name=f"rack {lease.rack}",
            interval_s=lambda: holder[0].pause_s(),
            step=lambda: holder[0].step(),
        )
        running = OwnedRack(lease=lease, controller=controller, granter=granter, service=service)
        holder.append(running)
        self._running[lease.rack] = running
        service.start()
        _log.info("rack control started", rack=lease.rack, epoch=lease.epoch)

    def _resume(self, lease: RackLease) -> tuple[RackController, PermitGranter] | None:
        """Returns the parts that had the rack last, None if its ownership has changed since.

        After a handover that was not written, only they know which starts were sent and which
        permits granted under this epoch.
        """
        last = self._stopped.pop(lease.rack, None)
        if last is None or not last.lease.is_same_ownership(lease):
            return None
        last.controller.resume()
        return last.controller, last.granter

    def _stop_loop(self, rack: str) -> None:
        running = self._running.pop(rack, None)
        if running is None:
            return
        self._stopped[rack] = running
        running.controller.stop()
        running.service.stop()
        _log.info("rack control ended", rack=rack, epoch=running.lease.epoch)


def worker_slots(summary: RackSummary) -> list[WorkerSlots]:
    """Returns the worker states of a summary in the granter's form."""
    return [
        WorkerSlots(
            worker=up.worker,
            data=up.data,
            slots=up.slots,
            services=frozenset(up.services),
            leaving=up.leaving,
            status_age_s=up.status_age_s,
        )
        for up in summary.upstreams
    ]
