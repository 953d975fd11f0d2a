"""An accepted change is in force within 3 s, or the instance starts nothing (P4, P10)."""

import random

import pytest

from fescuerudder.clock import ManualClock
from fescuerudder.configuration import Configurator
from fescuerudder.leases import START_WINDOW_S
from fescuerudder.view import VIEW_FRESH_S, VIEW_POLL_S, ViewKeeper
from tests.fakes import FakeTable

BOUND_S = 3.0
STEP_S = 0.05
RUN_S = 12.0
CHANGE_S = 4.0


class Poller:
    """An instance that polls through a slow path while another one changes a zone.

    Args:
        trip_s: time of a request to the store, and of its answer.
        phase_s: shifts the change against the polls.
        down_s: how long the store is down for this instance, from the change on.
    """

    def __init__(self, *, trip_s: float, phase_s: float, down_s: float = 0.0) -> None:
        self.table, self.clock = FakeTable(), ManualClock(start_s=0.0)
        self.view = ViewKeeper(table=self, clock=self.clock)
        self._trip_s, self._change_s, self._down_s = trip_s, CHANGE_S + phase_s, down_s
        self._changes = Configurator(
            instance="e2",
            table=self.table,
            view=ViewKeeper(table=self.table, clock=self.clock),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.changed_s: float | None = None
        self.shown_s: float | None = None
        self.fresh_until_s = 0.0

    def read(self, **query):
        """Reads with the delay of the path."""
        self._wait(self._trip_s)
        self.table.down = 0 <= self.clock.now_s() - self._change_s < self._down_s
        try:
            rows = self.table.read(**query)
        finally:
            self.table.down = False
        self._wait(self._trip_s)
        return rows

    def run(self) -> None:
        while self.clock.now_s() < RUN_S:
            self.view.poll()
            self._wait(VIEW_POLL_S)

    def _wait(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(seconds=STEP_S)
            self._look()

    def _look(self) -> None:
        now_s = self.clock.now_s()
        if self.changed_s is None and now_s >= self._change_s:
            self._changes.put_zone("a", "out", "op").unwrap()
            self.changed_s = now_s
        if self.changed_s is None:
            return
        if self.view.current().revision:
            self.shown_s = self.shown_s or now_s
        elif self.view.is_fresh():
            self.fresh_until_s = now_s


PHASES = [n / 10 for n in range(12)]


@pytest.mark.parametrize("phase_s", PHASES)
@pytest.mark.parametrize("trip_s", [0.0, 0.05, 0.1, 0.25, 0.4])
def test_change_is_shown_within_the_bound(trip_s, phase_s):
    """Guards against polls that are too rare for the promise."""
    poller = Poller(trip_s=trip_s, phase_s=phase_s)
    poller.run()
    assert poller.shown_s - poller.changed_s <= BOUND_S


@pytest.mark.parametrize("phase_s", PHASES)
@pytest.mark.parametrize("down_s", [0.0, 1.0, 5.0])
@pytest.mark.parametrize("trip_s", [0.0, 0.25, 0.5, 0.7, 0.9])
def test_no_start_rests_on_a_replaced_view_after_the_bound(trip_s, down_s, phase_s):
    """Guards against a view that counts as fresh for so long that a start arrives too late."""
    poller = Poller(trip_s=trip_s, phase_s=phase_s, down_s=down_s)
    poller.run()
    assert poller.fresh_until_s + START_WINDOW_S <= poller.changed_s + BOUND_S
    assert VIEW_FRESH_S + START_WINDOW_S < BOUND_S
