"""What shorter leases cost: running tasks that end with them, and renewals a second."""

from collections.abc import Iterator
from typing import Any
from unittest import mock

import attrs

from bench import _simulatedleader
from bench._jobsimulation import JobSimulation
from bench._simulatedleader import Leader
from bench.loadpatterns import replaced
from fescuerudder.document import Size
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.workerport import RenewOrder
from fescuerudder.jobs.workerrecord import CLOCK_DRIFT

WORKERS = 24
TASKS = 3 * WORKERS
ENDLESS_S = 1e6
SETTLE_S = 8.0
AFTER_S = 3.0
RENEWALS_S = 10.0

OUTAGES_S = (4.2, 4.5, 6.3)
"""Store outages on the days of the deployments."""

GAPS_S = (0.7, 1.5, 2.5, 4.0)
"""Times from the end of a leader to its successor's claim."""


@attrs.frozen(kw_only=True)
class LeaseLengths:
    """Lengths of leases, in seconds.

    Args:
        lease_s: usual length of a lease.
        horizon_s: end of the last lease after the last stored heartbeat.
    """

    lease_s: float
    horizon_s: float

    @property
    def wait_s(self) -> float:
        """Time for which a successor waits for workers out of reach."""
        return self.horizon_s / (1 - CLOCK_DRIFT) + 0.2


LENGTHS = (
    LeaseLengths(lease_s=5.0, horizon_s=9.0),
    LeaseLengths(lease_s=3.0, horizon_s=6.0),
    LeaseLengths(lease_s=2.5, horizon_s=3.0),
    LeaseLengths(lease_s=1.5, horizon_s=2.0),
)


class _CountingSimulation(JobSimulation):
    """Simulation that counts the renewals, and whose workers hold back their reports on request."""

    renewals = 0

    def send(self, leader: Leader, order: Any) -> None:
        """Delivers an order; see `JobSimulation.send`."""
        self.renewals += isinstance(order, RenewOrder)
        super().send(leader, order)

    def _answer(self, leader: Leader, order: Any, sent_s: float, answer: Any) -> None:
        # No task ends, so a worker holds its report for the whole time.
        wait_s = order.wait_ms / 1000 if isinstance(order, RenewOrder) else 0.0
        answer_now = super()._answer
        self._at(self.clock.now_s() + wait_s, lambda: answer_now(leader, order, sent_s, answer))


def lease_lines(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yields a result line for each pair of lengths and each outage, takeover and rate."""
    for lengths in LENGTHS:
        name = f"E {lengths.lease_s:g}/{lengths.horizon_s:g} s"
        context = {"candidate": name, "wait_s": round(lengths.wait_s, 2)}
        with (
            mock.patch.object(_simulatedleader, "LEASE_S", lengths.lease_s),
            replaced(leases__LEASE_HORIZON_S=lengths.horizon_s),
        ):
            for outage_s in OUTAGES_S:
                yield {**context, "outage_s": outage_s, "ended": _ended_in_outage(seed, outage_s)}
            for gap_s in GAPS_S:
                yield {**context, "gap_s": gap_s, "ended": _ended_in_takeover(seed, gap_s)}
            yield {**context, "renewals_per_worker": _renewals(seed)}


def _full_simulation(seed: int) -> tuple[_CountingSimulation, Leader]:
    """Returns a deployment whose workers are full of tasks that don't end."""
    sim = _CountingSimulation(seed=seed, workers=WORKERS)
    sim.run_s = ENDLESS_S
    size = Size(processors=1.0, memory_mb=10)
    sim.submit(steps=(Step(count=TASKS, size=size, long_running=True),))
    leader = sim.claim("a")
    sim.run(SETTLE_S)
    assert len(_running(sim)) == TASKS
    return sim, leader


def _ended_in_outage(seed: int, outage_s: float) -> float:
    sim, _ = _full_simulation(seed)
    before = _running(sim)
    sim.store.faults.down = True
    sim.run(outage_s)
    sim.store.faults.down = False
    sim.run(AFTER_S)
    return _share_ended(sim, before)


def _ended_in_takeover(seed: int, gap_s: float) -> float:
    sim, leader = _full_simulation(seed)
    before = _running(sim)
    leader.alive = False
    sim.run(gap_s)
    sim.claim("b")
    sim.run(AFTER_S)
    return _share_ended(sim, before)


def _renewals(seed: int) -> float:
    sim, _ = _full_simulation(seed)
    sim.renewals = 0
    sim.run(RENEWALS_S)
    return round(sim.renewals / RENEWALS_S / WORKERS, 2)


def _running(sim: JobSimulation) -> set:
    return {key for worker in sim.workers.values() for key in worker.runs}


def _share_ended(sim: JobSimulation, before: set) -> float:
    return round(len(before - _running(sim)) / len(before), 2)
