"""One process of the experiment `accounts`: a load through the real decisions, step by step.

It is run as a script with the source tree to be measured on PYTHONPATH, so that a base version is
measured by the same code. It simulates one deployment for each number of accounts. Each line on its
standard input names one of them and a number of ticks; it answers with a line of JSON that holds
what they took. Garbage is collected between the ticks, as most of it is that of the simulation.
"""

import gc
import json
import logging
import random
import sys
import time
import zlib

import attrs
import structlog

from bench._jobsimulation import JobSimulation, queue
from fescuerudder.document import Size
from fescuerudder.jobs.accounts import Account
from fescuerudder.jobs.job import Step

TICK_S = 0.05
RUN_S = (1.0, 5.0)
"""Bounds of the run times of tasks."""

STEPS = (1, 2)
TASKS = (1, 2, 4, 8, 16)
PROCESSORS = (0.5, 1.0, 1.0, 2.0)
CAPACITY = 4.0
PRIORITIES = (0, 0, 1, 2)
HEAVY_SHARE = 0.5
"""Share of the jobs that one tenth of the accounts sends."""

CAP_SHARE = 0.6
"""Cap of each third account, as a share of all processors; it is checked, and never reached."""

MEAN_JOB_WORK = (sum(STEPS) / len(STEPS)) * (sum(TASKS) / len(TASKS)) * (sum(RUN_S) / 2)
MEAN_JOB_WORK *= sum(PROCESSORS) / len(PROCESSORS)
"""Mean work of a job, in core seconds."""


@attrs.define(kw_only=True)
class Timer:
    """Processor time of calls, in seconds."""

    spent_s: float = 0.0

    def wrap(self, call):
        """Returns the call with its processor time added here."""

        def timed(*args, **kwargs):
            began_s = time.process_time()
            try:
                return call(*args, **kwargs)
            finally:
                self.spent_s += time.process_time() - began_s

        return timed


class AccountLoad:
    """A simulated deployment with a constant stream of jobs.

    Args:
        accounts: number of accounts; 0 is a manifest without accounts.
        load: load as a multiple of what fits.
        workers: number of workers.
        seed: seed of the stream; the jobs are the same for any number of accounts.
    """

    def __init__(self, *, accounts: int, load: float, workers: int, seed: int) -> None:
        queues = [
            queue(name=f"q{number}", prefix=f"/q{number}/", priority=priority, allowance_ms=5000)
            for number, priority in enumerate(PRIORITIES)
        ]
        self._sim = JobSimulation(
            seed=seed, workers=workers, queues=queues, capacity=CAPACITY, plan=self._plan
        )
        self._sim.manifest = attrs.evolve(
            self._sim.manifest, accounts=_accounts(accounts, workers * CAPACITY)
        )
        self._accounts = accounts
        self._rng = random.Random(seed)
        self._jobs_s = load * workers * CAPACITY / MEAN_JOB_WORK
        self._next_s = self._sim.clock.now_s()
        self._number = self._digest = 0
        self.plans, self.reports = Timer(), Timer()
        scheduler = self._sim.claim("leader").scheduler
        scheduler.plan = self.plans.wrap(scheduler.plan)
        scheduler.on_report = self.reports.wrap(scheduler.on_report)

    def _plan(self, task, attempt, worker):
        step = self._sim.specs[task.job].steps[task.step]
        run_s = random.Random(repr(task)).uniform(*RUN_S)
        return step.size, run_s, False

    def _submit(self) -> None:
        rng = self._rng
        self._number += 1
        steps = []
        for number in range(rng.choice(STEPS)):
            count, processors = rng.choice(TASKS), rng.choice(PROCESSORS)
            steps.append(
                Step(
                    count=count,
                    size=Size(processors=processors, memory_mb=100),
                    after=(number - 1,) if number else (),
                    estimated_ms=int(1000 * rng.uniform(*RUN_S)),
                )
            )
        queue_name, place = f"q{rng.randrange(len(PRIORITIES))}", rng.random()
        heavy = max(1, self._accounts // 10)
        accounts = heavy if rng.random() < HEAVY_SHARE else self._accounts
        number = int(place * accounts)
        account = f"a{number}" if self._accounts else ""
        self._sim.submit(
            f"{self._number:016x}", steps=steps, queue_name=queue_name, account=account
        )

    def advance(self, ticks: int) -> dict[str, float]:
        """Simulates some ticks and returns what they took.

        The digest is that of all starts so far, with times and workers.
        """
        began = (self.plans.spent_s, self.reports.spent_s, len(self._sim.events))
        for _ in range(ticks):
            while self._next_s <= self._sim.clock.now_s():
                self._submit()
                self._next_s += self._rng.expovariate(self._jobs_s)
            self._sim.run(TICK_S)
        starts = [event for event in self._sim.events[began[2] :] if event[4] == "start"]
        self._digest = zlib.crc32(repr(starts).encode(), self._digest)
        return {
            "plans_s": self.plans.spent_s - began[0],
            "reports_s": self.reports.spent_s - began[1],
            "starts": len(starts),
            "digest": self._digest,
        }


def _accounts(count: int, processors: float) -> tuple[Account, ...]:
    cap = Size(processors=CAP_SHARE * processors)
    return tuple(
        Account(
            name=f"a{number}",
            key_hashes=(f"{number}",),
            weight=1.0 + number % 3,
            cap=cap if number % 3 == 0 else Size(),
        )
        for number in range(count)
    )


def main() -> None:
    """Answers requests for ticks until standard input ends."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    accounts, load, workers, seed = sys.argv[1:]
    loads = [
        AccountLoad(accounts=int(count), load=float(load), workers=int(workers), seed=int(seed))
        for count in accounts.split(",")
    ]
    gc.disable()
    for line in sys.stdin:
        index, ticks = (int(word) for word in line.split())
        print(json.dumps(loads[index].advance(ticks)), flush=True)
        gc.collect(1)


if __name__ == "__main__":
    main()
