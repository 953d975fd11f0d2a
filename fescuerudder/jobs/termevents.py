"""Events that the scheduler handles during a term."""

from collections.abc import Collection, Sequence
from functools import singledispatch
from typing import Any

import attrs

from fescuerudder.jobs.adviceport import Advice, AdviceQuery
from fescuerudder.jobs.cancellations import Cancellation
from fescuerudder.jobs.configview import ConfigView
from fescuerudder.jobs.jobhistory import MoveBatch
from fescuerudder.jobs.progress import StoredJob
from fescuerudder.jobs.progressbatch import ProgressBatch
from fescuerudder.jobs.scheduler import Order
from fescuerudder.jobs.workerport import (
    OrderAnswer,
    OrderResult,
    RenewOrder,
    Report,
    WorkerInfo,
)


@attrs.frozen(kw_only=True)
class Tick:
    """Periodic event that lets the scheduler act on the time that has passed."""


@attrs.frozen(kw_only=True)
class Batch:
    """Several events that arrived together, in their order."""

    events: Sequence[Any]


@attrs.frozen(kw_only=True)
class Configured:
    """The configuration has changed."""

    view: ConfigView


@attrs.frozen(kw_only=True)
class Listed:
    """The worker registry was read."""

    workers: list[WorkerInfo]


@attrs.frozen(kw_only=True)
class Submitted:
    """Jobs or cancellations were stored."""

    jobs: list[StoredJob]
    cancels: list[Cancellation]


@attrs.frozen(kw_only=True)
class Reported:
    """A worker answered a renewal."""

    order: RenewOrder
    report: Report
    sent_s: float


@attrs.frozen(kw_only=True)
class Silent:
    """A worker did not answer a renewal, for which no connection may have been established."""

    order: RenewOrder
    sent_s: float
    reason: str
    is_unreachable: bool = False


@attrs.frozen(kw_only=True)
class Fenced:
    """A worker refused a renewal because it has seen a higher fencing token."""

    order: RenewOrder


@attrs.frozen(kw_only=True)
class Replaced:
    """A renewal was answered by another incarnation of the worker, or by another worker."""

    order: RenewOrder


@attrs.frozen(kw_only=True)
class Answered:
    """An order to a worker has ended, with the worker's answer or without one."""

    order: Order
    answer: OrderAnswer


@attrs.frozen(kw_only=True)
class Advised:
    """A query to the advice service has ended; `advice` is None if there was no answer."""

    query: AdviceQuery
    advice: Advice | None
    sent_s: float


@attrs.frozen(kw_only=True)
class Stored:
    """A batch of progress was stored.

    Args:
        batch: the batch.
        rejected: names of the groups of rows in it that the store rejected.
    """

    batch: ProgressBatch
    rejected: Collection[str] = ()


@attrs.frozen(kw_only=True)
class Moved:
    """Ended jobs have left the rows that a claimant reads."""

    batch: MoveBatch


@attrs.frozen(kw_only=True)
class Kept:
    """Ended jobs that were taken to be moved have stayed where they were."""

    batch: MoveBatch


@singledispatch
def unanswered(order: Order, *, sent_s: float, reason: str) -> Any:
    """Returns the event of an order whose outcome is unknown.

    Args:
        order: the order, or the query for advice.
        sent_s: when it was sent.
        reason: why there is no answer.
    """
    return Answered(order=order, answer=OrderAnswer(OrderResult.UNKNOWN))


@unanswered.register
def _(order: RenewOrder, *, sent_s: float, reason: str) -> Silent:
    return Silent(order=order, sent_s=sent_s, reason=reason)


@unanswered.register
def _(order: AdviceQuery, *, sent_s: float, reason: str) -> Advised:
    return Advised(query=order, advice=None, sent_s=sent_s)


def outcome_label(event: Any) -> str:
    """Returns the outcome of an order as a label of the metrics."""
    if isinstance(event, Answered):
        return event.answer.result.value
    return type(event).__name__.lstrip("_").lower()
