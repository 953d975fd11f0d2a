"""Model of the advice service of the job platform."""

from fescuerudder.jobs.adviceport import Advice
from fescuerudder.jobs.job import StepId
from fescuerudder.jobs.manifest import AdvicePolicy


class FakeAdvice:
    """The advice service: answers one query at a time and gives permits that expire."""

    def __init__(self, *, now_s):
        self._now_s = now_s
        self._free_s = 0.0
        self.allows = None
        self.policy = AdvicePolicy(decision_ms=100, per_worker_ms=20, valid_ms=2000)
        self.down = False
        self.queries = []

    def answer(self, query, workers):
        """Returns the time at which the answer arrives, and the advice."""
        self.queries.append(query)
        if self.down:
            return self._now_s() + 0.1, None
        took_s = (self.policy.decision_ms + self.policy.per_worker_ms * len(query.workers)) / 1000
        self._free_s = max(self._free_s, self._now_s()) + took_s
        until_s = self._free_s + self.policy.valid_ms / 1000
        permits = {
            name: f"{query.step}|{name}|{workers[name].info.incarnation_ms}|{until_s}"
            for name in query.workers
            if self.allows(query.step, name)
        }
        return self._free_s, Advice(permits=permits, valid_s=self.policy.valid_ms / 1000)

    def accepts(self, order, incarnation_ms):
        """Returns whether a start has a valid permit, or needs none."""
        if self.allows is None:
            return True
        step, _, rest = order.permit.partition("|")
        if step != str(StepId(*order.task[:3])):
            return False
        name, incarnation, until_s = rest.split("|")
        return (name, int(incarnation)) == (order.worker, incarnation_ms) and self._now_s() < float(
            until_s
        )
