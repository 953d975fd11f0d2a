"""Events that reach the scheduler during a term."""

import attrs

from fescuerudder.jobs.adviceport import Advice, AdviceQuery
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.progress import StoredJob
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.scheduler import Order
from fescuerudder.jobs.workerport import OrderAnswer, RenewOrder, Report, WorkerInfo


@attrs.frozen(kw_only=True)
class Tick:
    """Time has passed."""


@attrs.frozen(kw_only=True)
class Configured:
    """The configuration has changed."""

    view: ConfigView


@attrs.frozen(kw_only=True)
class Listed:
    """The registry was read."""

    workers: list[WorkerInfo]


@attrs.frozen(kw_only=True)
class Submitted:
    """Jobs or cancellations were stored."""

    jobs: list[StoredJob]
    cancels: list[str]


@attrs.frozen(kw_only=True)
class Reported:
    """A worker answered a renewal."""

    order: RenewOrder
    report: Report
    sent_s: float


@attrs.frozen(kw_only=True)
class Silent:
    """A worker did not answer a renewal."""

    order: RenewOrder
    sent_s: float
    reason: str


@attrs.frozen(kw_only=True)
class Fenced:
    """A worker has seen a higher token than that of a renewal."""

    order: RenewOrder


@attrs.frozen(kw_only=True)
class Replaced:
    """Another worker answered a renewal."""

    order: RenewOrder


@attrs.frozen(kw_only=True)
class Answered:
    """A worker answered an order, or did not."""

    order: Order
    answer: OrderAnswer


@attrs.frozen(kw_only=True)
class Advised:
    """The advice service answered a query; `advice` is None if it did not."""

    query: AdviceQuery
    advice: Advice | None
    sent_s: float


@attrs.frozen(kw_only=True)
class Stored:
    """Progress is stored."""

    batch: ProgressBatch
