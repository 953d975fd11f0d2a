"""Simulation of workers that restart, with leaders that are lost one after another."""

import attrs

from fescuerudder.jobs.leader import MAX_ORDER_QUEUE_S
from fescuerudder.jobs.workerport import StartOrder
from tests.jobs.restart_simulation import RestartSimulation

AFTER_START_S = 0.15
"""Time after a start was sent within which the leader is lost, in seconds."""


@attrs.frozen(kw_only=True)
class Loss:
    """How a leader is lost.

    Args:
        kind: `kill`, `pause` or `replace`, see `RestartSimulation.lose_leader`; `stall` if it is
            paused between the record of a start and the order, which it sends as it goes on;
            `cut` if it goes on without the store.
        claims_after_s: time until another instance claims.
    """

    kind: str
    claims_after_s: float


class TakeoverSimulation(RestartSimulation):
    """Simulation in which leaders are lost at given times or just after their starts."""

    def __init__(self, *, seed):
        super().__init__(seed=seed)
        self._losses_at_starts: list[Loss] = []
        self._sends_from_s: dict[str, float] = {}

    def lose_at_next_start(self, loss):
        """Loses the leader once it has sent its next start, or as it sends it."""
        self._losses_at_starts.append(loss)

    def lose(self, loss):
        """Loses the present leader."""
        leader = self.leaders[-1]
        if loss.kind == "stall":
            until_s = self.clock.now_s() + self.rng.uniform(0.1, MAX_ORDER_QUEUE_S)
            leader.paused_until_s = self._sends_from_s[leader.name] = until_s
        elif loss.kind == "cut":
            leader.reaches_store = False
        self.lose_leader(kind=loss.kind, claims_after_s=loss.claims_after_s)

    def send(self, leader, order):
        """Delivers an order after a delay, and later if the leader stalls."""
        self._lose_at_start(leader, order)
        sends_from_s = self._sends_from_s.get(leader.name, 0.0)
        if self.clock.now_s() < sends_from_s:
            self._at(sends_from_s, lambda: super(TakeoverSimulation, self).send(leader, order))
        else:
            super().send(leader, order)

    def _lose_at_start(self, leader, order):
        """Loses the leader at its start if that is planned."""
        is_due = self._losses_at_starts and isinstance(order, StartOrder) and not self.is_healed
        if not is_due or leader is not self.leaders[-1]:
            return
        loss = self._losses_at_starts.pop()
        if loss.kind == "stall":
            self.lose(loss)
        else:
            at_s = self.clock.now_s() + self.rng.uniform(0.0, AFTER_START_S)
            self.at(at_s, lambda: self.lose(loss))

    def heal(self):
        """Ends all faults and shortens the work that is left."""
        super().heal()
        self._losses_at_starts.clear()
        for leader in self.leaders:
            leader.reaches_store = True
