"""Random faults against two owners of one rack; checks the guarantees P1 to P4.

The fake workers record violations themselves, so the test does not rely on the scheduler's state.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.rack_simulation import RackSimulation, batch

WORKERS = st.sampled_from(["w1", "w2", "w3"])
OWNERS = st.sampled_from(["A", "B"])
LASTING_S = st.sampled_from([2, 3.5, 8, 14, 20, 40])
THEN_S = st.sampled_from([0.5, 1, 2, 4, 8])


class RackFaults(RuleBasedStateMachine):
    """Actions of operators and callers, and overlapping faults that end by themselves."""

    @initialize()
    def begin(self):
        self.sim = RackSimulation(
            services=[
                batch("draw", "secretariat", processors=3, quota=9),
                batch("plate", "press", processors=2, quota=4),
            ]
        )
        for service in ("plate", "draw", "plate", "draw", "plate", "draw"):
            self.sim.submit(service)
        self.sim.advance(2)

    @rule(services=st.lists(st.sampled_from(["draw", "plate"]), min_size=1, max_size=4))
    def submit(self, services):
        for service in services:
            self.sim.submit(service)
        self.sim.advance(1)

    @rule(which=st.integers(0, 20), then_s=THEN_S)
    def cancel(self, which, then_s):
        ids = self.sim.task_ids
        self.sim.tasks.cancel(ids[-1 - which % len(ids)])
        self.sim.advance(then_s)

    @rule(worker=WORKERS, state=st.sampled_from(["finished", "failed"]), then_s=THEN_S)
    def end_one(self, worker, state, then_s):
        for attempt in self.sim.workers[worker].running()[:1]:
            self.sim.workers[worker].end(attempt.task, state)
        self.sim.advance(then_s)

    @rule(owner=OWNERS, lasting_s=LASTING_S, then_s=THEN_S)
    def suspend(self, owner, lasting_s, then_s):
        self._fault(self.sim.instances[owner], "is_paused", lasting_s, then_s)

    @rule(worker=WORKERS, lasting_s=LASTING_S, then_s=THEN_S)
    def cut_off(self, worker, lasting_s, then_s):
        self._fault(self.sim.workers[worker], "is_cut_off", lasting_s, then_s)

    @rule(worker=WORKERS, lasting_s=LASTING_S, then_s=THEN_S)
    def lose_worker_answers(self, worker, lasting_s, then_s):
        self._fault(self.sim.workers[worker], "loses_answers", lasting_s, then_s)

    @rule(lasting_s=LASTING_S, then_s=THEN_S)
    def store_down(self, lasting_s, then_s):
        self._fault(self.sim.table, "down", lasting_s, then_s)

    @rule(owner=OWNERS, lasting_s=LASTING_S, zone=st.sampled_from(["a", "b"]))
    def stall_view(self, owner, lasting_s, zone):
        """Keeps an owner's view from showing that a zone was taken out."""
        self.sim.set_zone(zone, "out")
        self.sim.submit("plate")
        self._fault(self.sim.instances[owner], "is_view_stalled", lasting_s, 4)
        self.sim.finish_all()
        self.sim.advance(2)

    @rule(worker=WORKERS, lasting_s=LASTING_S, zone_leaves=st.booleans())
    def delay_start(self, worker, lasting_s, zone_leaves):
        """Suspends the owner of a worker's rack while it sends a start order."""
        rack = "r2" if worker == "w3" else "r1"
        sim = self.sim

        def delay():
            if zone_leaves:
                sim.set_zone(sim.workers[worker].zone, "out")
            sim.instances[sim.owner_of(rack)[0]].suspend(lasting_s)

        sim.workers[worker].before_start = delay
        sim.finish_all()
        self.submit(["draw", "draw", "plate"])

    @rule(lasting_s=LASTING_S, then_s=THEN_S)
    def delay_write(self, lasting_s, then_s):
        """Suspends the owner of rack r1 while it sends a write."""
        sim = self.sim

        def delay(txn):
            if any(check.key == "rack/r1" for check in txn.checks):
                sim.instances[sim.owner_of("r1")[0]].suspend(lasting_s)
            else:
                sim.table.before_transact = delay

        sim.finish_all()
        sim.table.before_transact = delay
        self.submit(["draw", "plate"])
        sim.advance(then_s)

    @rule(worker=WORKERS, then_s=THEN_S)
    def restart_worker(self, worker, then_s):
        self.sim.workers[worker].restart()
        self.sim.advance(then_s)

    @rule(
        worker=WORKERS,
        lasting_s=st.sampled_from([0.5, 1, 2, 4, 8]),
        clock_shift_s=st.sampled_from([-1000.0, -20.0, 0.0, 20.0, 1000.0]),
        waits_s=st.sampled_from([0, 0, 0.5, 2]),
        cut_off_s=st.sampled_from([0, 20, 40]),
        then_s=THEN_S,
    )
    def restart_amid_late_orders(
        self, worker, lasting_s, clock_shift_s, waits_s, cut_off_s, then_s
    ):
        """Restarts a worker, which then carries out the orders for its last incarnation.

        It is cut off soon after, so that only its leases end what runs there.
        """
        target = self.sim.workers[worker]
        target.delays_orders = True
        self.submit(["draw", "plate"])
        self.sim.advance(lasting_s)
        target.restart(clock_shift_s=clock_shift_s)
        self.sim.advance(waits_s)
        target.carry_out_late()
        self.sim.advance(2)
        if cut_off_s:
            self._fault(target, "is_cut_off", cut_off_s, then_s)

    @rule(worker=WORKERS, lasting_s=LASTING_S, then_s=THEN_S)
    def take_address(self, worker, lasting_s, then_s):
        """Lets another worker answer at the address of one that is cut off."""
        sim = self.sim
        if sim.addresses[worker].worker is not sim.workers[worker]:
            return
        sim.take_address(f"stranger-{len(sim.workers)}", former=worker, is_listed=False)
        sim.schedule(
            lasting_s, lambda: setattr(sim.addresses[worker], "worker", sim.workers[worker])
        )
        sim.advance(then_s)

    @rule(n=st.integers(1, 3), field=st.sampled_from(["lose_answers", "drop_writes"]))
    def lose_store_answers(self, n, field):
        setattr(self.sim.table, field, n)
        self.sim.finish_all()
        self.sim.advance(2)

    @rule(zone=st.sampled_from(["a", "b"]), lasting_s=LASTING_S, then_s=THEN_S)
    def take_zone_out(self, zone, lasting_s, then_s):
        self.sim.set_zone(zone, "out")
        self.sim.schedule(lasting_s, lambda: self.sim.set_zone(zone, "in"))
        self.sim.advance(then_s)

    @rule(giver=OWNERS, then_s=THEN_S)
    def hand_over(self, giver, then_s):
        self.sim.hand_over(giver, "B" if giver == "A" else "A", "r1")
        self.sim.advance(then_s)

    def _fault(self, target, field, lasting_s, then_s):
        setattr(target, field, True)
        self.sim.schedule(lasting_s, lambda: setattr(target, field, False))
        self.sim.advance(then_s)

    @invariant()
    def guarantees_hold(self):
        if hasattr(self, "sim"):
            self.sim.check()

    def teardown(self):
        """Checks that no task is lost: after the faults have ended, each reaches a final state."""
        if not hasattr(self, "sim"):
            return
        self.sim.heal()
        for _ in range(60):
            self.sim.advance(4)
            self.sim.finish_all()
            if all(task.is_final for task in self.sim.rows().values()):
                break
        self.sim.check()
        assert [t for t in self.sim.rows().values() if not t.is_final] == []


TestRackFaults = RackFaults.TestCase
TestRackFaults.settings = settings(
    max_examples=100,
    stateful_step_count=15,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
