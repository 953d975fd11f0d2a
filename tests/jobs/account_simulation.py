"""The job simulation with client accounts, and what it says of them."""

from collections import Counter

import attrs

from bench._jobsimulation import TICK_S, JobSimulation
from fescuerudder.document import Size
from fescuerudder.jobs.accounts import Account
from fescuerudder.jobs.accountusage import NOTHING, amounts_of
from fescuerudder.jobs.job import Step

ONE = Size(processors=1.0, memory_mb=10)


def account(name, cores=0.0, *, weight=1.0, memory_mb=0, accelerators=0):
    """Returns an account with a cap; 0 is no bound."""
    cap = Size(processors=cores, memory_mb=memory_mb, accelerators=accelerators)
    return Account(name=name, cap=cap, weight=weight)


def step(count=1, **fields):
    return Step(**{"count": count, "size": ONE, "estimated_ms": 1000, **fields})


class AccountSimulation(JobSimulation):
    """A deployment with accounts; after each tick it compares the sums with a count.

    Args:
        accounts: the accounts of the manifest.
        fields: see `JobSimulation`.
    """

    def __init__(self, *accounts, **fields):
        super().__init__(**fields)
        self._numbers = iter(range(1, 1_000_000))
        self.manifest = attrs.evolve(self.manifest, accounts=accounts)

    def set_accounts(self, *accounts):
        """Replaces the accounts by a new revision of the manifest."""
        self.manifest = attrs.evolve(
            self.manifest, accounts=accounts, revision=self.manifest.revision + 1
        )
        for leader in self.leaders:
            leader.scheduler.set_manifest(self.manifest)

    def send_job(self, name, *given, **fields):
        """Submits a job of an account; returns its id."""
        job_id = f"{next(self._numbers):016x}"
        self.submit(job_id, steps=given, account=name, **fields)
        return job_id

    @property
    def usage(self):
        return self.leaders[-1].scheduler.state.usage

    def planned(self, name):
        """Returns the processors that the leader counts for an account."""
        return self.usage.total(name)[0] / 1e6

    def running(self, name):
        """Returns the processors that an account has running on the workers."""
        tasks = [task for worker in self.workers.values() for task, _ in worker.runs]
        mine = [task for task in tasks if self.specs[task.job].account == name]
        return sum(self.specs[task.job].steps[task.step].size.processors for task in mine)

    def run_until(self, condition, *, limit_s=20.0):
        end_s = self.clock.now_s() + limit_s
        while not condition():
            assert self.clock.now_s() < end_s, "condition did not come true"
            self.run(TICK_S)

    def check(self):
        super().check()
        for leader in self.leaders:
            if leader.alive and leader.scheduler.state.usage.is_enforced:
                check_sums(leader.scheduler.state, self.specs)


def check_sums(state, specs):
    """Compares the running sums with a count over all attempts and orphans."""
    found = Counter()

    def add(name, pool, size):
        for number, amount in enumerate(amounts_of(size)):
            found[(name, pool, number)] += amount

    seen = set()
    for record in state.workers.values():
        for attempt in record.attempts.values():
            seen.add(attempt)
            add(attempt.task.step.job.job.account, "pool", attempt.task.step.spec.size)
        for task_id, _ in record.orphans:
            task = state.find_task(task_id)
            if task is not None:
                add(task.step.job.job.account, "pool", task.step.spec.size)
            elif task_id.job in state.usage._ended:
                job = specs[task_id.job]
                add(job.account, "", job.steps[task_id.step].size)
    live = {a for run in state.jobs.values() for a in run.attempts()}
    assert live == seen
    usage = state.usage
    names = {name for name, _, _ in found} | usage.names()
    pools = {pool for _, pool, _ in found} | {"pool"}
    for name in names:
        by_pool = [tuple(found[(name, pool, n)] for n in range(3)) for pool in pools]
        assert usage.total(name) == tuple(map(sum, zip(*by_pool, strict=True)))
        for pool, amounts in zip(pools, by_pool, strict=True):
            assert usage.in_pool(pool, name) == amounts
    assert usage.total("nobody") == NOTHING
