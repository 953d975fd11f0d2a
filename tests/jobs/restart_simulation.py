"""Simulation of workers that restart under their ids and carry out earlier orders."""

import contextlib

import attrs

from bench._jobcapacity import LaggingRegistry
from bench._jobsimulation import CALL_TIMEOUT_S, JobSimulation
from fescuerudder.errors import StoreOutcomeUnknownError
from fescuerudder.jobs.jobrun import MAX_ORDER_DELAY_S, MAX_POSSIBLE_CRASHES
from fescuerudder.jobs.workerport import RenewOrder, Report
from tests.jobs.test_scheduler import ONE

WORKERS = 4
MAX_WORKERS = 8
CAPACITY = 6.0
LEADERS = [f"l{number}" for number in range(100)]
HOLD_POLL_S = 0.1


class RestartSimulation(JobSimulation):
    """Simulation of workers whose next incarnation carries out orders for the last one.

    Attributes:
        holds: workers hold renewals as asked; a restart breaks the connection.
        late_kinds: kinds of orders that the next incarnation may carry out.
        is_healed: all faults are over.
        time_change_share: share of the returns of workers before which their time of day is set
            back, or forward and later back.
    """

    def __init__(self, *, seed):
        max_lease_s = 6.0 if seed % 3 == 0 else 10.0
        super().__init__(seed=seed, workers=WORKERS, capacity=CAPACITY, max_lease_s=max_lease_s)
        self.holds = seed // 2 % 2 == 0
        self.late_kinds = RenewOrder if seed % 2 == 0 else object
        if seed // 4 % 2 == 0:
            self.lagging_registry = LaggingRegistry(now_s=self.clock.now_s)
        self.is_healed = False
        self.plan = self._plan_run
        self.time_change_share = 0.0
        self._start_times: dict[str, set[int]] = {}
        self._restarts: dict[str, tuple[float, float]] = {}
        self.late_by_s = self._late_by_s

    def _plan_run(self, task, attempt, worker):
        """Returns the size of a run, its time, and whether it fails; most outlast the faults."""
        number = task.index * 7 + task.step * 3 + int(task.job, 16)
        is_long = number % 4 > 0 and not self.is_healed
        run_s = 10.0 + number * 11 % 30 if is_long else 0.3 + number % 10 / 5
        return ONE, run_s, not is_long and (task.index + attempt) % 11 == 0

    def at(self, at_s, call):
        """Calls a function at a time, unless all faults are over by then."""
        self._at(at_s, lambda: None if self.is_healed else call())

    def crash_and_return(self, name, *, crash_s, down_s, lag_s, clock_ms, share):
        """Lets a worker crash and return under its id.

        Args:
            name: its id.
            crash_s: when it crashes.
            down_s: time for which it is down.
            lag_s: time after its return from which the registry shows its new incarnation.
            clock_ms: reading of its clock at its return.
            share: share of the orders sent to it from now on, until it is back, which the new
                incarnation carries out without an answer.
        """
        back_s = crash_s + down_s
        self._restarts[name] = (back_s, share)
        self.at(crash_s, lambda: self._crash(name))
        self._at(back_s, lambda: self._return(name, lag_s, clock_ms))

    def _crash(self, name):
        if self.lagging_registry is not None:
            self.lagging_registry.unreachable_for.add(name)
        self.workers[name].crash()

    def _return(self, name, lag_s, clock_ms):
        if self.is_healed:
            return
        self.restart_worker(name, registry_lag_s=lag_s, clock_ms=clock_ms)
        self._change_time(name)
        if self.lagging_registry is not None:
            listed_s = self.clock.now_s() + lag_s
            self.at(listed_s, lambda: self.lagging_registry.unreachable_for.discard(name))

    def _change_time(self, name):
        """Lets a worker start at another time of day; no two starts are at the same time."""
        worker, used = self.workers[name], self._start_times.setdefault(name, {1000})
        start_ms = worker.info.incarnation_ms
        if self.time_change_share and self.rng.random() < self.time_change_share:
            start_ms = self.rng.randint(1, 2000)
        while start_ms in used:
            start_ms += 1
        used.add(start_ms)
        worker.info = attrs.evolve(worker.info, incarnation_ms=start_ms)

    def _late_by_s(self, order):
        """Returns after how many seconds the next incarnation carries out an order, if it does."""
        back_s, share = self._restarts.get(order.worker, (0.0, 0.0))
        now_s = self.clock.now_s()
        if now_s >= back_s or not isinstance(order, self.late_kinds) or self.rng.random() >= share:
            return None
        return min(self._late_s(back_s) - now_s, MAX_ORDER_DELAY_S)

    def _late_s(self, back_s):
        """Returns when an order is carried out whose worker is back at `back_s`."""
        return back_s + self.rng.uniform(0.01, self.rng.choice((0.15, 0.5, 4.0)))

    def _deliver(self, leader, order, sent_s, is_lost):
        """Delivers an order; a renewal that may wait is answered later."""
        worker = self.workers[order.worker]
        if is_lost:
            # It waits at the worker, so a cut doesn't keep it from being carried out.
            if worker.is_up:
                self._execute(worker, order)
            return
        is_reached = worker.is_up and (leader.name, order.worker) not in self.cut
        if not is_reached or not self.holds or not isinstance(order, RenewOrder):
            super()._deliver(leader, order, sent_s, is_lost)
            return
        answer = self._execute(worker, order)
        born_ms, until_s = worker.info.incarnation_ms, self.clock.now_s() + order.wait_ms / 1000
        self._hold(leader, order, sent_s, answer, born_ms, until_s)

    def _hold(self, leader, order, sent_s, answer, born_ms, until_s):
        """Answers a renewal once an attempt has ended or its wait is over."""
        worker, now_s = self.workers[order.worker], self.clock.now_s()
        if not worker.is_up or worker.info.incarnation_ms != born_ms:
            self._break_connection(leader, order, sent_s)
        elif (leader.name, order.worker) in self.cut:
            answer_s = max(now_s, sent_s + CALL_TIMEOUT_S)
            self._at(answer_s, lambda: self._no_answer(leader, order, sent_s))
        elif not isinstance(answer, Report) or answer.ended or now_s >= until_s:
            back_s = now_s + self.rng.uniform(*self.delay_s)
            self._at(back_s, lambda: self._answer(leader, order, sent_s, answer))
        else:
            again_s = min(now_s + HOLD_POLL_S, until_s)
            self._at(again_s, lambda: self._look(leader, order, sent_s, born_ms, until_s))

    def _look(self, leader, order, sent_s, born_ms, until_s):
        """Takes a newer report for a renewal that waits; it has taken effect already."""
        worker = self.workers[order.worker]
        look = attrs.evolve(order, token=worker.highest_token, acknowledged=0, lease_until_ms=None)
        self._hold(leader, order, sent_s, self._execute(worker, look), born_ms, until_s)

    def _break_connection(self, leader, order, sent_s):
        """Ends a renewal without an answer; the next incarnation may carry it out once more."""
        self._no_answer(leader, order, sent_s)
        back_s, share = self._restarts.get(order.worker, (0.0, 0.0))
        if self.rng.random() < share:
            late_s = self._late_s(max(back_s, self.clock.now_s()))
            late_s = min(late_s, sent_s + MAX_ORDER_DELAY_S)
            self._at(late_s, lambda: self._deliver(leader, order, sent_s, is_lost=True))

    def add_room(self):
        """Adds a worker, so that the tasks of one that is cut off have room elsewhere."""
        if len(self.workers) < MAX_WORKERS:
            self.add_worker(len(self.workers), CAPACITY)

    def cut_off(self, name, *, from_all, for_s):
        """Cuts a worker off from the leader, or from all instances."""
        names = LEADERS if from_all else [self.leaders[-1].name]
        pairs = {(leader, name) for leader in names}
        self.cut |= pairs
        self.at(self.clock.now_s() + for_s, lambda: self.cut.difference_update(pairs))

    def lose_leader(self, *, kind, claims_after_s):
        """Kills or pauses the leader; another instance claims after a while, or at once."""
        leader = self.leaders[-1]
        if kind == "kill":
            leader.alive = False
        elif kind == "pause":
            leader.paused_until_s = self.clock.now_s() + self.rng.uniform(0.5, 5.0)
        self.at(self.clock.now_s() + claims_after_s, self._claim_next)

    def _claim_next(self):
        if not self.store.faults.down:
            with contextlib.suppress(StoreOutcomeUnknownError):
                self.claim(LEADERS[len(self.leaders)])

    def heal(self):
        """Ends all faults and shortens the work that is left."""
        self.is_healed = True
        self.store.faults.down = False
        self.store.faults.lose_answers = self.store.faults.lose_writes = 0
        self.cut.clear()
        self.order_loss_rate = 0.0
        self._restarts.clear()
        if self.lagging_registry is not None:
            self.lagging_registry.unreachable_for.clear()
        for worker in self.workers.values():
            if not worker.is_up:
                worker.restart()
            for run in worker.runs.values():
                run.done_at_s = min(run.done_at_s, self.clock.now_s() + 2.0)

    def run_to_end(self, *, max_s):
        """Runs until all jobs have ended, for `max_s` at most; returns the ids of the others."""
        end_s = self.clock.now_s() + max_s
        while self._open_jobs() and self.clock.now_s() < end_s:
            self.run(1.0)
        return self._open_jobs()

    def _open_jobs(self):
        states = {job_id: self.state(job_id) for job_id in self.specs}
        return [job_id for job_id, state in states.items() if state is None or not state.is_final]

    def cancel_held_back(self):
        """Cancels the jobs with a task that isn't started any more, as too many starts were lost.

        They wait for that; see `docs/platform.md`.
        """
        for run in self.leaders[-1].scheduler.state.jobs.values():
            tasks = [task for step in run.steps.values() for task in step.tasks]
            if any(task.crash_count >= MAX_POSSIBLE_CRASHES for task in tasks):
                self.cancel(run.job.id)

    def check_failures(self):
        """Checks that no task started again once its noted failures reached the limit."""
        limit = self.manifest.queues[0].max_failures
        noted = {event[2:4] for event in self.events if event[4] == "noted failed"}
        failures = dict.fromkeys((event[2] for event in self.events), 0)
        for at_s, worker, task, attempt, event in self.events:
            if event == "start":
                assert failures[task] < limit, f"{task} started on {worker} at {at_s:.2f}"
            elif event == "failed" and (task, attempt) in noted:
                failures[task] += 1
