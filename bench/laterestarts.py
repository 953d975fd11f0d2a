"""Experiment: does a late start order or the leader's first call reach a restarted worker first?

`python -m bench.laterestarts` restarts a worker at a random time in the last second before a start
order without an answer arrives there, after the order's task was done in another run. Workers hold
calls as asked, and a held call breaks with the process. The figures are in
docs/design/incarnations.md.
"""

import json
import random
import sys
from typing import Any

import structlog

from bench._jobsimulation import JobSimulation
from bench._simulatedleader import Leader
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.jobrun import JobState, Phase
from fescuerudder.jobs.workerport import RenewOrder, Report

JOB, OTHER_JOB = "00000000000000aa", "00000000000000bb"
SIZE = Size(processors=1.0, memory_mb=10)
OTHER_TASKS = 6
OTHER_RUN_S = 60.0
ORDER_DELAY_S = (6.0, 12.0)
DONE_AFTER_S = 3.8
BEFORE_ORDER_S = 1.0
REGISTRY_LAG_S = (0.1, 1.5)
POLL_S = 0.1
"""Time between two looks of a worker for an end while it holds a call."""


class HoldingSimulation(JobSimulation):
    """Simulation whose workers hold their reports as asked; counts the renewals."""

    renewals = 0

    def send(self, leader: Leader, order: Any) -> None:
        """Delivers an order; see `JobSimulation.send`."""
        self.renewals += isinstance(order, RenewOrder)
        super().send(leader, order)

    def _deliver(self, leader: Leader, order: Any, sent_s: float, is_lost: bool) -> None:
        holds = isinstance(order, RenewOrder) and order.wait_ms > 0 and not is_lost
        if holds and self.workers[order.worker].is_up:
            born = self.workers[order.worker].info.incarnation_ms
            self._hold(leader, order, sent_s, born, self.clock.now_s() + order.wait_ms / 1000)
        else:
            super()._deliver(leader, order, sent_s, is_lost)

    def _hold(
        self, leader: Leader, order: RenewOrder, sent_s: float, born: int, end_s: float
    ) -> None:
        """Answers a call once an attempt has ended or its wait is over."""
        worker, now_s = self.workers[order.worker], self.clock.now_s()
        if not worker.is_up or worker.info.incarnation_ms != born:
            self._no_answer(leader, order, sent_s)
            return
        answer = self._execute(worker, order)
        if not isinstance(answer, Report) or answer.ended or now_s >= end_s:
            back_s = now_s + self.rng.uniform(*self.delay_s)
            self._at(back_s, lambda: self._answer(leader, order, sent_s, answer))
        else:
            self._at(now_s + POLL_S, lambda: self._hold(leader, order, sent_s, born, end_s))


def _restart_before_order(seed: int, *, is_busy: bool) -> tuple[bool, float]:
    """Plays one restart; returns whether the order came first, and the renewals a second."""
    rng = random.Random(seed)
    sim = HoldingSimulation(seed=seed, workers=2)
    sim.copies_allowed = True
    sim.plan = lambda task, attempt, worker: (SIZE, 1.0 if task.job == JOB else OTHER_RUN_S, False)
    leader = sim.claim("a")
    sim.run(1.0)
    if is_busy:
        sim.submit(OTHER_JOB, steps=(Step(count=OTHER_TASKS, size=SIZE),))
        sim.run(1.0)
    delay_s = rng.uniform(*ORDER_DELAY_S)
    sim.order_loss_rate, sim.lost_order_delay_s = 1.0, (delay_s, delay_s)
    sim.submit(JOB, steps=(Step(count=1, size=SIZE),))
    attempts: list = []
    while not attempts or attempts[0].phase is Phase.PLANNED:
        sim.run(0.05)
        run = leader.scheduler.state.jobs.get(JOB)
        attempts = list(run.attempts()) if run is not None else []
    sim.order_loss_rate = 0.0
    worker = attempts[0].worker
    arrives_s = leader.scheduler.state.workers[worker].last_start_s + delay_s
    sim.run(DONE_AFTER_S)
    assert sim.state(JOB) is JobState.COMPLETED
    sim.renewals, idle_s = 0, sim.clock.now_s()
    sim.run(max(0.0, arrives_s - rng.uniform(0.0, BEFORE_ORDER_S) - idle_s))
    idle_s = sim.clock.now_s() - idle_s
    rate = sim.renewals / idle_s if idle_s else 0.0
    sim.restart_worker(worker, registry_lag_s=rng.uniform(*REGISTRY_LAG_S))
    sim.run(2.0)
    return sim.starts(JOB) > 1, rate


def main() -> None:
    """Prints results as JSON lines; the argument is the number of restarts of each kind."""
    structlog.configure(processors=[_drop])
    count = int((*sys.argv[1:], "200")[0])
    for is_busy in (False, True):
        plays = [_restart_before_order(seed, is_busy=is_busy) for seed in range(1, count + 1)]
        line = {
            "worker": "busy" if is_busy else "idle",
            "restarts": count,
            "order_first": sum(first for first, _ in plays),
            "renewals_per_s": round(sum(rate for _, rate in plays) / count, 2),
        }
        print(json.dumps(line), flush=True)


def _drop(logger, name, event):
    """Drops each log line."""
    raise structlog.DropEvent


if __name__ == "__main__":
    main()
