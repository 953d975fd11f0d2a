"""The actor that passes events to the scheduler and sends the orders that it plans."""

import math
import threading
from collections.abc import Callable, Sequence
from functools import singledispatchmethod
from typing import Any

import pykka
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.scheduler import Order, Scheduler
from fescuerudder.jobs.termevents import (
    Advised,
    Answered,
    Batch,
    Configured,
    Fenced,
    Kept,
    Listed,
    Moved,
    Replaced,
    Reported,
    Silent,
    Stored,
    Submitted,
    Tick,
)
from fescuerudder.jobs.workerport import StartOrder, StopOrder, ThrottleOrder

PLAN_PAUSE_S = 0.02
"""Pause between two plans, so that one plan answers to many events: it looks at all workers."""

_log = structlog.get_logger(__name__)


class SchedulerActor(pykka.ThreadingActor):
    """Passes events to the scheduler; plans when its inbox is empty.

    Args:
        scheduler: makes the decisions.
        clock: source of time.
        send_orders: sends orders without waiting for their answers.
        on_starts_planned: called when starts wait for their records.
        may_order: returns whether the leadership was confirmed recently enough to give orders.
        on_superseded: called when a worker has orders of a later leader.
    """

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        clock: Clock,
        send_orders: Callable[[Sequence[Order]], None],
        on_starts_planned: Callable[[], None],
        may_order: Callable[[], bool],
        on_superseded: Callable[[], None],
    ) -> None:
        super().__init__()
        self._on_superseded = on_superseded
        self._scheduler = scheduler
        self._clock = clock
        self._send_orders = send_orders
        self._on_starts_planned = on_starts_planned
        self._may_order = may_order
        self._config_version = 0
        self._planned_s = -math.inf
        self._pause = threading.Event()

    def on_receive(self, message: Any) -> Any:
        """Handles an event, or calls a function with the scheduler and returns its result."""
        if callable(message):
            return message(self._scheduler)
        for event in message.events if isinstance(message, Batch) else (message,):
            self._handle_safely(event)
        try:
            self._plan_if_idle()
        except Exception:
            _log.exception("plan failed", after=type(message).__name__)
        return None

    def _handle_safely(self, event: Any) -> None:
        """Handles an event; one that fails must not hide those that arrived with it."""
        try:
            self._handle(event)
        except Exception:
            _log.exception("scheduling event failed", kind=type(event).__name__)

    def _plan_if_idle(self) -> None:
        """Plans if no further event waits."""
        if self.actor_inbox.empty():
            self._wait_for_plan()
        if self.actor_inbox.empty() and self._may_order():
            self._plan()
        if self._scheduler.is_superseded:
            self._on_superseded()

    def _wait_for_plan(self) -> None:
        """Waits for the end of the pause after the last plan; further events may arrive."""
        left_s = self._planned_s + PLAN_PAUSE_S - self._clock.now_s()
        if left_s > 0.0:
            self._clock.wait_s(self._pause, left_s)

    def _plan(self) -> None:
        orders = self._scheduler.plan()
        if orders:
            self._send_orders(orders)
        if self._scheduler.has_unrecorded_starts:
            self._on_starts_planned()
        self._planned_s = self._clock.now_s()

    @singledispatchmethod
    def _handle(self, message: Any) -> None:
        raise TypeError(f"unknown event {type(message).__name__}")

    @_handle.register
    def _(self, message: Tick) -> None:
        pass

    @_handle.register
    def _(self, message: Configured) -> None:
        # Two threads send the configuration, so an older view may arrive after a newer one.
        if message.view.version < self._config_version:
            return
        self._config_version = message.view.version
        if message.view.manifest is not None:
            self._scheduler.set_manifest(message.view.manifest)
        self._scheduler.set_zones_out(message.view.zones_out)

    @_handle.register
    def _(self, message: Listed) -> None:
        self._scheduler.set_workers(message.workers)

    @_handle.register
    def _(self, message: Submitted) -> None:
        self._scheduler.add_jobs(message.jobs)
        self._scheduler.cancel(message.cancels)

    @_handle.register
    def _(self, message: Reported) -> None:
        self._scheduler.on_report(message.order, message.report, sent_s=message.sent_s)

    @_handle.register
    def _(self, message: Silent) -> None:
        self._scheduler.on_silence(
            message.order,
            sent_s=message.sent_s,
            reason=message.reason,
            is_unreachable=message.is_unreachable,
        )

    @_handle.register
    def _(self, message: Fenced) -> None:
        self._scheduler.on_fenced(message.order)

    @_handle.register
    def _(self, message: Replaced) -> None:
        self._scheduler.on_replaced(message.order)

    @_handle.register
    def _(self, message: Answered) -> None:
        if isinstance(message.order, StartOrder):
            self._scheduler.on_started(message.order, message.answer)
        elif isinstance(message.order, StopOrder):
            self._scheduler.on_stopped(message.order, message.answer)
        elif isinstance(message.order, ThrottleOrder):
            self._scheduler.on_throttled(message.order, message.answer)

    @_handle.register
    def _(self, message: Advised) -> None:
        self._scheduler.on_advice(message.query, message.advice, sent_s=message.sent_s)

    @_handle.register
    def _(self, message: Moved) -> None:
        self._scheduler.history.on_moved(message.batch)

    @_handle.register
    def _(self, message: Kept) -> None:
        self._scheduler.history.on_kept(message.batch)

    @_handle.register
    def _(self, message: Stored) -> None:
        self._scheduler.on_stored(message.batch, rejected=message.rejected)
        starts = self._scheduler.take_starts() if self._may_order() else []
        if starts:
            self._send_orders(starts)
