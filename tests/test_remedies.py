"""Remedies against interference in the control loop, with delayed usage reports."""

import attrs
import pytest

from fescuerudder.document import Objective, ServiceDocument, Size
from fescuerudder.interference import MAX_MOVES_PER_HOUR, Remedies, Slowdowns
from fescuerudder.workers import Usage
from tests.rack_simulation import RackSimulation, batch
from tests.test_interference import report, status
from tests.test_replicas import make_controller

LAG_S = 3.0
BASELINE_MS = 50.0
DOC = ServiceDocument(
    name="entry",
    team="t",
    kind="latency-critical",
    size=Size(processors=1),
    objective=Objective(latency_ms=100),
)


class NoisySimulation(RackSimulation):
    """Simulation in which `noisy` slows down `entry` on w1; usage reports are `LAG_S` old.

    Attributes:
        effect: slowdown that an unthrottled neighbour adds.
        actions: (time, share) of each throttle command; share None for a move.
    """

    def __init__(self, *, effect: float) -> None:
        super().__init__(services=[DOC, batch("noisy", "t")])
        self.effect = effect
        self.actions: list[tuple[float, float | None]] = []
        self._seen = 0
        self._history: dict[str, list[tuple[float, float]]] = {}
        self._keep_to_w1()
        self.tasks.submit(service="noisy", payload="x")
        self.place_replica()
        self.advance(2)

    def place_replica(self) -> None:
        self.config.services["entry"] = attrs.evolve(DOC, replicas=1)
        controllers = [make_controller(self, name) for name in ("A", "C")]
        for _ in range(6):
            self.advance(0.5)
            for controller in controllers:
                controller.step()

    def _keep_to_w1(self) -> None:
        for name in ("w2", "w3"):
            self.workers[name].leaving = True
        self.advance(1)

    def open_others(self) -> None:
        for name in ("w2", "w3"):
            self.workers[name].leaving = False

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            if hasattr(self, "effect") and self.clock.now_s() % 1.0 == 0.0:
                self._measure()
            super().advance(0.5)
            if hasattr(self, "effect"):
                self._record_actions()

    def _measure(self) -> None:
        for worker in self.workers.values():
            services = {a.service: a for a in worker.running()}
            share = dict(worker.throttles).get(getattr(services.get("noisy"), "task", ""), 1.0)
            slowed = 1 + self.effect * share if "noisy" in services else 1.0
            history = self._history.setdefault(worker.name, [])
            if "entry" in services:
                history.append((worker.now_s(), BASELINE_MS * slowed))
            visible = [item for item in history if item[0] <= worker.now_s() - LAG_S]
            worker.usage = tuple(
                Usage(
                    measured_at_s=at_s,
                    task="entry.0",
                    service="entry",
                    processors=1,
                    memory_mb=100,
                    service_time_ms=ms,
                    neighbours=("noisy",) if ms > BASELINE_MS else (),
                )
                for at_s, ms in visible[-1:]
            )
            del history[: max(0, len(visible) - 1)]

    def _record_actions(self) -> None:
        now_s = self.clock.now_s()
        commands = self.workers["w1"].throttles
        self.actions += [(now_s, share) for _, share in commands[self._seen :]]
        self._seen = len(commands)
        moves = [e for e in self.events if (e.kind, e.detail) == ("remedy", "move")]
        if len(moves) > len([share for _, share in self.actions if share is None]):
            self.actions.append((now_s, None))

    def shares(self) -> list[float | None]:
        return [share for _, share in self.actions]

    def noisy_on(self) -> list[str]:
        workers = self.workers.values()
        return [w.name for w in workers for a in w.running() if a.service == "noisy"]


def test_noisy_task_is_throttled_twice_then_moved():
    sim = NoisySimulation(effect=8.0)
    sim.open_others()
    sim.advance(60)
    assert sim.shares() == [0.5, 0.25, None]
    assert sim.noisy_on() not in ([], ["w1"])
    gaps = [b[0] - a[0] for a, b in zip(sim.actions, sim.actions[1:], strict=False)]
    assert min(gaps) >= LAG_S, "acted before a report measured after the last action"
    kinds = [(e.kind, e.detail) for e in sim.events if e.kind in ("remedy", "evict")]
    assert kinds == [
        ("remedy", "throttle_50"),
        ("remedy", "throttle_25"),
        ("remedy", "move"),
        ("evict", "interference"),
    ]
    sim.check()


def test_noisy_task_stays_throttled_without_a_better_place():
    """Guards against evictions after which the task returns to the same worker."""
    sim = NoisySimulation(effect=8.0)
    sim.advance(600)
    assert sim.shares() == [0.5, 0.25]
    assert sim.noisy_on() == ["w1"]


def test_throttle_is_lifted_after_three_good_reports():
    sim = NoisySimulation(effect=1.5)
    sim.advance(10)
    assert sim.shares() == [0.5]
    sim.effect = 0.0
    # The third good report is visible two seconds after the first.
    sim.advance(LAG_S + 1)
    assert sim.shares() == [0.5]
    sim.advance(3)
    assert sim.shares() == [0.5, 1.0]


def test_throttle_that_suffices_does_not_oscillate():
    """Guards against a throttle that is lifted and set again forever.

    At 25% of its processors the neighbour does no harm, at the full share it does.
    """
    sim = NoisySimulation(effect=2.2)
    sim.advance(3600)
    in_last_half = [share for at_s, share in sim.actions if at_s > sim.clock.now_s() - 1800]
    assert None not in sim.shares()
    assert sim.shares().count(1.0) <= 12
    assert in_last_half.count(1.0) <= 3
    assert sim.noisy_on() == ["w1"]


def test_new_owner_lifts_a_throttle_of_its_predecessor():
    """Guards against a task that stays throttled forever after a handover of the rack."""
    sim = NoisySimulation(effect=1.5)
    sim.advance(10)
    sim.effect = 0.0
    sim.hand_over("A", "B", "r1")
    sim.advance(10)
    assert sim.shares() == [0.5, 1.0]


@pytest.mark.parametrize(
    ("hours", "moves"), [(0.9, MAX_MOVES_PER_HOUR), (2.5, 3 * MAX_MOVES_PER_HOUR)]
)
def test_moves_from_a_worker_are_bounded(hours, moves):
    remedies = Remedies(slowdowns=Slowdowns())
    found, task = 0, 0
    for at_s in range(10, int(hours * 3600), 5):
        action = remedies.decide(
            status=status(at_s),
            new_usage=[report(at_s - 1, 500, "noisy")],
            objectives_ms={"entry": 100},
            batch={f"n{task}": "noisy"},
        )
        if action is not None and action.share is None:
            found, task = found + 1, task + 1
    assert found == moves


def test_all_tasks_of_the_noisy_service_are_throttled_together():
    """Guards against throttling one of several tasks, which does not reduce the slowdown."""
    remedies = Remedies(slowdowns=Slowdowns())

    def decide(at_s, batch):
        action = remedies.decide(
            status=status(at_s),
            new_usage=[report(at_s - 1, 500, "noisy")],
            objectives_ms={"entry": 100},
            batch=batch,
        )
        return action.tasks, action.share

    noisy = {"n1": "noisy", "n2": "noisy", "a": "calm"}
    assert decide(10, noisy) == (("n1", "n2"), 0.5)
    assert decide(20, noisy) == (("n1", "n2"), 0.25)
    assert decide(30, {**noisy, "n3": "noisy"}) == (("n3",), 0.5)
