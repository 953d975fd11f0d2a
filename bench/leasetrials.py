"""Trials of leases that are short while the store answers, on top of the unchanged product.

`python -m bench.leasetrials` plays the lengths of leases, store outages with consent, and random
partitions through the job simulation; docs/design/leases.md describes the rules. A rule is a value
of `Rule`; the subclasses here add to the bound on leases what the rule stores with it.
"""

import contextlib
import enum
import json
import sys
from collections.abc import Iterator
from typing import Any
from unittest import mock

import attrs
import structlog

from bench import _jobsimulation, _simulatedleader
from bench._jobsimulation import JobSimulation
from bench._simulatedleader import Leader
from fescuerudder.document import Size
from fescuerudder.jobs.claim import load_lease_bound
from fescuerudder.jobs.job import Step
from fescuerudder.jobs.leaderwriter import LeaderWriter
from fescuerudder.jobs.leases import BOUND_S, LEASE_HORIZON_S, MIN_LEASE_S, LeasePolicy
from fescuerudder.jobs.renewalplanner import RenewalPlanner
from fescuerudder.jobs.storage import LEASES_KEY
from fescuerudder.jobs.takeover import load_stored_state
from fescuerudder.jobs.workerport import RenewOrder
from fescuerudder.jobs.workerrecord import CLOCK_DRIFT, WorkerRecord

LEASE_S = 5.0
SHORT_S = 4.5
"""Short horizon in the random partitions, in seconds."""

SHORT_HORIZONS_S = (4.0, 4.5, 5.0, 5.5, 6.0)
MARGIN_S = 0.2
GAPS_S = (1.5, 2.0, 2.5, 3.0, 3.5, 3.75, 4.0)
"""Times from the loss of a leader to its successor's claim."""

OUTAGES_S = (4.2, 4.5, 6.3, 7.0)
ASK_INTERVAL_S = 0.25
UNREACHED_S = 1.5
"""Time without an answer of the store after which a follower says that it doesn't reach it."""

INSTANCES = ("i0", "i1", "i2", "i3")
WORKERS, TASKS = 24, 72
ENDLESS_S = 1e6
SIZE = Size(processors=1.0, memory_mb=10)
RENEW_ORDER = RenewalPlanner._renew_order


class Rule(enum.Enum):
    """How it is decided whether leases may be extended, and which bound a successor waits for."""

    TODAY = "today"  # all leases have the long horizon
    SHORT = "short"  # all leases have the short horizon
    VOTERS = "voters"  # each bound names the followers that must consent
    CONNECTED = "connected"  # those consent that are connected; nothing is stored of them


VARIANTS = (
    (Rule.TODAY, LEASE_HORIZON_S),
    *((Rule.SHORT, short_s) for short_s in SHORT_HORIZONS_S),
    (Rule.VOTERS, 4.5),
    (Rule.VOTERS, 5.0),
)


@attrs.define
class Consents:
    """What an instance has consented to as a follower."""

    voter: str
    rounds: dict[int, int] = attrs.Factory(dict)
    decided: int = 0
    linked_s: float = 0.0

    def consent(self, epoch: int, number: int) -> bool:
        """Consents to longer leases; returns whether that is still possible."""
        if epoch <= self.decided:
            return False
        self.rounds[epoch] = max(number, self.rounds.get(epoch, 0))
        return True


class Horizon:
    """Leader's side: what was stored with the bounds, and who has consented."""

    def __init__(self, *, rule: Rule, short_s: float) -> None:
        self.rule, self.short_s = rule, short_s
        self.connected: frozenset[str] = frozenset()
        self.is_store_out = False
        self.round = 1
        self.consented: set[str] = set()
        self.confirmed: frozenset[str] = frozenset()
        self.offered: list[frozenset[str]] = []
        self.extended_until_s = 0.0

    def offer(self, now_s: float) -> dict[str, Any]:
        """Returns what a new bound on leases says besides the long bound."""
        voters = frozenset() if self.is_store_out else self.connected
        self.offered.append(voters)
        short_s = self.short_s / (1 - CLOCK_DRIFT) + MARGIN_S
        return {
            "voters": sorted(voters),
            "round": self.round,
            "short_s": max(now_s + short_s, self.extended_until_s),
        }

    def confirm(self) -> None:
        """Records that the last bound is stored."""
        if self.offered:
            self.confirmed = self.offered[-1]
            self.offered.clear()
            if self.consented:
                self.round, self.consented = self.round + 1, set()

    def needed(self) -> frozenset[str]:
        """Returns the followers that have to consent before leases are extended."""
        if self.rule is Rule.CONNECTED:
            return self.connected
        return self.confirmed.union(*self.offered)

    def horizon_s(self, bounded_s: float) -> float:
        """Returns the end of the last lease after the last stored bound."""
        if self.rule in (Rule.TODAY, Rule.SHORT):
            return LEASE_HORIZON_S if self.rule is Rule.TODAY else self.short_s
        is_free = self.is_store_out if self.rule is Rule.CONNECTED else True
        if is_free and self.needed() <= self.consented:
            self.extended_until_s = bounded_s + BOUND_S
            return LEASE_HORIZON_S
        return self.short_s


class TrialWriter(LeaderWriter):
    """Writer whose bounds on leases say more."""

    horizon: Horizon

    def _bound_rows(self) -> list:
        rows = super()._bound_rows()
        if not rows or self.horizon.rule is Rule.TODAY:
            return rows
        ((key, value),) = rows
        extra = self.horizon.offer(self._clock.now_s())
        short_ms = self.store_clock.latest_ms(extra.pop("short_s"))
        fields = json.loads(value)
        extra["short_until_ms"] = max(short_ms, self.inherited_until_ms)
        return [(key, json.dumps({**fields, **extra}).encode())]

    def resolve(self) -> None:
        """Writes the unresolved transaction; see `LeaderWriter.resolve`."""
        has_bound = self._unresolved is not None and self._unresolved_bound_s is not None
        super().resolve()
        if has_bound:
            self.horizon.confirm()


class TrialPolicy(LeasePolicy):
    """Length of leases by the horizon of the term."""

    horizon: Horizon

    def length_s(self, now_s: float) -> float:
        """Returns the length of a lease that begins now; 0 if none may be granted."""
        self.horizon.is_store_out = self.is_store_out(now_s)
        left_s = self.bounded_s() + self.horizon.horizon_s(self.bounded_s()) - now_s
        return min(self.lease_s, left_s) if left_s >= MIN_LEASE_S else 0.0


class TrialSimulation(JobSimulation):
    """Simulation with followers that may consent to longer leases.

    Args:
        rule: the rule.
        short_s: the short horizon.
    """

    def __init__(self, *, rule: Rule, short_s: float, **fields: Any) -> None:
        super().__init__(**fields)
        self.rule, self.short_s = rule, short_s
        self.consents = {name: Consents(f"{name}.0") for name in INSTANCES}
        self.links_cut: set[tuple[str, str]] = set()
        self.store_cut: set[str] = set()
        self.reached_s = dict.fromkeys(INSTANCES, 0.0)
        self.renewals = 0
        self._claimant = ""
        self._next_ask_s = 0.0

    def claim(self, name: str) -> Leader:
        """Makes an instance the leader; see `JobSimulation.claim`."""
        self._claimant = name
        horizon = Horizon(rule=self.rule, short_s=self.short_s)
        with (
            mock.patch.object(_simulatedleader, "LeaderWriter", TrialWriter),
            mock.patch.object(_simulatedleader, "LeasePolicy", _make_policy),
            mock.patch.object(_simulatedleader, "LEASE_S", LEASE_S),
            mock.patch.object(_simulatedleader, "load_stored_state", self._load),
        ):
            leader = super().claim(name)
        object.__setattr__(leader.leases, "horizon", horizon)
        leader.writer.horizon = horizon
        return leader

    def _load(self, **fields: Any) -> Any:
        loaded = load_stored_state(**fields)
        row = self.store.get(LEASES_KEY)
        if row is None or loaded.leases_until_ms is None:
            return loaded
        epoch, stored = load_lease_bound(row.value).epoch, json.loads(row.value)
        if "short_until_ms" not in stored or not self._may_wait_short(epoch, stored):
            return loaded
        return attrs.evolve(loaded, leases_until_ms=stored["short_until_ms"])

    def _may_wait_short(self, epoch: int, stored: dict[str, Any]) -> bool:
        mine = self.consents[self._claimant]
        mine.decided = max(mine.decided, epoch)
        has_consented = mine.rounds.get(epoch, 0) >= stored["round"]
        if self.rule is Rule.SHORT:
            return True
        if self.rule is Rule.CONNECTED:
            return not has_consented and self.clock.now_s() - mine.linked_s < UNREACHED_S
        return mine.voter in stored["voters"] and not has_consented

    def restart_instance(self, name: str) -> None:
        """Restarts an instance, which forgets to what it has consented."""
        count = int(self.consents[name].voter.split(".")[1]) + 1
        self.consents[name] = Consents(f"{name}.{count}", decided=len(self.leaders))

    def reaches_store(self, name: str) -> bool:
        """Returns whether an instance reaches the store."""
        return not self.store.faults.down and name not in self.store_cut

    def run(self, seconds: float) -> None:
        """Advances the time; followers are asked meanwhile."""
        end_s = self.clock.now_s() + seconds
        while self.clock.now_s() < end_s - 1e-9:
            super().run(_jobsimulation.TICK_S)
            now_s = self.clock.now_s()
            self.reached_s |= {n: now_s for n in INSTANCES if self.reaches_store(n)}
            for leader in self.leaders:
                leader.reaches_store = leader.name not in self.store_cut
                if leader.may_act:
                    self._serve_followers(leader, now_s)
            if now_s >= self._next_ask_s:
                self._next_ask_s = now_s + ASK_INTERVAL_S

    def _serve_followers(self, leader: Leader, now_s: float) -> None:
        horizon, epoch = leader.writer.horizon, leader.scheduler.state.term.epoch
        leading = {other.name for other in self.leaders if other.may_act}
        connected = [n for n in INSTANCES if n not in leading and self._are_linked(leader, n)]
        horizon.connected = frozenset(self.consents[n].voter for n in connected)
        for name in connected:
            self.consents[name].linked_s = now_s
        if now_s >= self._next_ask_s and leader.leases.is_store_out(now_s):
            for name in connected:
                at_s = now_s + self.rng.uniform(*self.delay_s)
                number = horizon.round
                self._at(at_s, lambda n=name, r=number: self._ask(leader, n, epoch, r))

    def _ask(self, leader: Leader, name: str, epoch: int, number: int) -> None:
        now_s, mine = self.clock.now_s(), self.consents[name]
        is_reached = now_s - self.reached_s[name] < UNREACHED_S
        if is_reached or not self._are_linked(leader, name) or not mine.consent(epoch, number):
            return
        back_s = now_s + self.rng.uniform(*self.delay_s)
        self._at(back_s, lambda: self._take_consent(leader, name, mine.voter, number))

    def _take_consent(self, leader: Leader, name: str, voter: str, number: int) -> None:
        if self._are_linked(leader, name) and number == leader.writer.horizon.round:
            leader.writer.horizon.consented.add(voter)

    def _are_linked(self, leader: Leader, name: str) -> bool:
        return tuple(sorted((leader.name, name))) not in self.links_cut

    def send(self, leader: Leader, order: Any) -> None:
        """Delivers an order; see `JobSimulation.send`."""
        self.renewals += isinstance(order, RenewOrder)
        super().send(leader, order)

    def _answer(self, leader: Leader, order: Any, sent_s: float, answer: Any) -> None:
        # No task ends in these plays, so a worker holds its report for the whole time.
        wait_s = order.wait_ms / 1000 if isinstance(order, RenewOrder) else 0.0
        answer_now = super()._answer
        self._at(self.clock.now_s() + wait_s, lambda: answer_now(leader, order, sent_s, answer))


def _renew_order(planner: RenewalPlanner, record: WorkerRecord, now_s: float) -> RenewOrder:
    """Returns the next renewal of a worker, without a lease before the worker's first answer."""
    until_ms = record.lease_until_ms
    order = RENEW_ORDER(planner, record, now_s)
    if record.first_report_s is not None or record.resolved:
        return order
    record.lease_until_ms = until_ms
    return attrs.evolve(order, lease_until_ms=None)


def _make_policy(**fields: Any) -> TrialPolicy:
    return TrialPolicy(**fields)


def _full(seed: int, rule: Rule, short_s: float) -> TrialSimulation:
    """Returns a deployment whose workers are full of tasks that don't end."""
    sim = TrialSimulation(seed=seed, workers=WORKERS, rule=rule, short_s=short_s)
    sim.run_s = ENDLESS_S
    sim.submit(steps=(Step(count=TASKS, size=SIZE, long_running=True),))
    sim.claim("i0")
    sim.run(8.0)
    return sim


def _running(sim: JobSimulation) -> set:
    return {key for worker in sim.workers.values() for key in worker.runs}


def _ended(sim: JobSimulation, before: set) -> float:
    return round(len(before - _running(sim)) / len(before), 2)


def _play_takeover(seed: int, rule: Rule, short_s: float, gap_s: float) -> float:
    """Returns the share of the running tasks that end with their leases."""
    sim = _full(seed, rule, short_s)
    before = _running(sim)
    sim.leaders[-1].alive = False
    sim.run(gap_s)
    sim.claim("i1")
    sim.run(3.0)
    return _ended(sim, before)


def _play_outage(seed: int, rule: Rule, short_s: float, outage_s: float) -> float:
    sim = _full(seed, rule, short_s)
    before = _running(sim)
    sim.store.faults.down = True
    sim.run(outage_s)
    sim.store.faults.down = False
    sim.run(3.0)
    return _ended(sim, before)


def _play_loss(seed: int, rule: Rule, short_s: float) -> float:
    """Returns the time until the tasks of a worker that is lost with the leader run again."""
    sim = _full(seed, rule, short_s)
    lost = sim.workers["w0"]
    sim.leaders[-1].alive = False
    lost.crash()
    sim.unlisted.add("w0")
    lost_s = sim.clock.now_s()
    sim.run(1.5)
    sim.claim("i1")
    while len(_running(sim)) < TASKS and sim.clock.now_s() - lost_s < 20.0:
        sim.run(0.05)
    return round(sim.clock.now_s() - lost_s, 2)


def _play_partitions(seed: int, rule: Rule, short_s: float) -> str:
    """Plays random partitions of instances, workers and store; returns the first broken rule."""
    sim = TrialSimulation(seed=seed, workers=4, rule=rule, short_s=short_s)
    sim.run_s = 60.0
    sim.claim("i0")
    sim.submit(steps=(Step(count=8, size=SIZE),))
    try:
        for _ in range(5):
            _play_split(sim)
    except AssertionError as exc:
        return str(exc)
    return ""


def _play_split(sim: TrialSimulation) -> None:
    """Splits the deployment between the leader and another instance, in an outage or without."""
    rng, leader = sim.rng, sim.leaders[-1]
    name = rng.choice([n for n in INSTANCES if n != leader.name])
    pairs = [(a, b) for a in INSTANCES for b in INSTANCES if a < b]
    reached = set(rng.sample(sorted(sim.workers), rng.randint(1, len(sim.workers) - 1)))
    steps = [
        lambda: sim.links_cut.update(rng.sample(pairs, rng.randint(0, 4))),
        lambda: setattr(sim.store.faults, "down", rng.random() < 0.8),
        lambda: sim.store_cut.update(rng.sample(INSTANCES, rng.randint(0, 2))),
        lambda: sim.cut.update((name, worker) for worker in reached),
        lambda: _hinder(sim, leader),
    ]
    rng.shuffle(steps)
    for step in steps:
        step()
        sim.run(rng.uniform(0.0, 1.5))
    sim.store.faults.down = False
    sim.store_cut.discard(name)
    sim.store_cut.add(leader.name)
    sim.run(rng.uniform(0.0, 1.0))
    if rng.random() < 0.2:
        sim.restart_instance(name)
    sim.claim(name)
    sim.run(rng.uniform(1.0, 7.0))
    for cuts in (sim.links_cut, sim.store_cut, sim.cut):
        cuts.clear()
    sim.run(rng.uniform(0.0, 3.0))
    for other in sim.leaders[:-1]:
        other.alive = False


def _hinder(sim: TrialSimulation, leader: Leader) -> None:
    """Ends the leader, pauses it, or lets it go on."""
    kind = sim.rng.choice(("lost", "pause", "", "", "", ""))
    leader.alive = kind != "lost"
    if kind == "pause":
        leader.paused_until_s = sim.clock.now_s() + sim.rng.uniform(0.5, 3.0)


def lines(seeds: range) -> Iterator[dict[str, Any]]:
    """Yields the results of each rule, length and first call."""
    for has_first_lease in (True, False):
        patched = mock.patch.object(RenewalPlanner, "_renew_order", _renew_order)
        with contextlib.nullcontext() if has_first_lease else patched:
            for rule, short_s in VARIANTS:
                yield {
                    "rule": rule.value,
                    "horizon_s": short_s,
                    "first_lease": has_first_lease,
                    "again_s": [_play_loss(seed, rule, short_s) for seed in seeds],
                    "ended_by_gap": {
                        gap_s: [_play_takeover(seed, rule, short_s, gap_s) for seed in seeds]
                        for gap_s in GAPS_S
                    },
                    "ended_by_outage": {
                        outage_s: [_play_outage(seed, rule, short_s, outage_s) for seed in seeds]
                        for outage_s in OUTAGES_S
                    },
                }


def partition_lines(seeds: range, *, short_s: float) -> Iterator[dict[str, Any]]:
    """Yields the number of plays with two runs of a task at a time, by rule."""
    for rule in Rule:
        broken = {seed: _play_partitions(seed, rule, short_s) for seed in seeds}
        red = {seed: text for seed, text in broken.items() if text}
        yield {"rule": rule.value, "plays": len(seeds), "red": len(red), "first": list(red)[:3]}


def main() -> None:
    """Prints results as JSON lines; the arguments are first seed, count and random plays."""
    structlog.configure(processors=[_drop])
    first, count, plays = (int(text) for text in (*sys.argv[1:], "1", "1", "50")[:3])
    for line in lines(range(first, first + count)) if count else ():
        print(json.dumps(line), flush=True)
    for line in partition_lines(range(first, first + plays), short_s=SHORT_S):
        print(json.dumps(line), flush=True)


def _drop(logger, name, event):
    """Drops each log line."""
    raise structlog.DropEvent


if __name__ == "__main__":
    main()
