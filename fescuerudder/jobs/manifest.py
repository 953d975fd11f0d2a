"""Current configuration: queues, the worker pools behind them and limits of requests."""

from collections.abc import Iterable

import attrs

from fescuerudder.jobs.accounts import Account


@attrs.frozen(kw_only=True)
class AdvicePolicy:
    """Timing of the advice service, which tells which workers a step may use.

    Args:
        decision_ms: fixed part of the time that an answer takes, in milliseconds.
        per_worker_ms: further time for each worker in the query, in milliseconds.
        valid_ms: time for which a permit is valid, in milliseconds.
    """

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


@attrs.frozen(kw_only=True)
class Queue:
    """A queue of jobs.

    Args:
        name: identity across revisions of the manifest.
        host: `Host` header of its requests.
        prefix: beginning of the path of its requests.
        pool: name of the worker pool that runs its tasks.
        priority: queues with lower numbers go first and may preempt others; 0 is the highest.
        max_failures: number of failed attempts of a task after which the job fails.
        stretch: factor applied to a job's critical path in its latency objective.
        allowance_ms: constant part of that objective, in milliseconds.
        advice: set if a step may use only workers that the advice service permits.
        is_public: a call needs no key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_failures: int
    stretch: float
    allowance_ms: int
    advice: AdvicePolicy | None = None
    is_public: bool = False


@attrs.frozen(kw_only=True)
class Pool:
    """Workers that run the tasks of one service.

    Args:
        name: name of the service.
        rejects_overload: its workers refuse tasks that exceed their capacity.
        standby: its machines are off and may be moved to another pool.
    """

    name: str
    rejects_overload: bool
    standby: bool = False


@attrs.frozen(kw_only=True)
class Manifest:
    """One revision of the configuration.

    Args:
        revision: increases with each change, not always by one.
        queues: all queues.
        pools: all worker pools.
        accounts: all client accounts; without any, no call needs a key.
    """

    revision: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    accounts: tuple[Account, ...] = ()

    def queue(self, name: str) -> Queue | None:
        """Returns the queue called `name`, if it exists."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Returns the pool called `name`, if it exists."""
        return next((pool for pool in self.pools if pool.name == name), None)


class QueueIndex:
    """Finds the queue of a request by host and longest matching prefix.

    Args:
        queues: all queues.
    """

    def __init__(self, *, queues: Iterable[Queue]) -> None:
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda q: -len(q.prefix)):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, *, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of `path` on `host`, if there is one."""
        queues = self._by_host.get(host.lower(), ())
        return next((queue for queue in queues if path.startswith(queue.prefix)), None)
