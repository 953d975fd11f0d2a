"""Permits that the advice service has given, and the queries to send to it next.

Whether a worker may run a step never changes. A start needs a permit, which expires after a while
and ends with the incarnation of its worker.
"""

from collections.abc import Iterable

import attrs
import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.adviceport import Advice, AdviceQuery
from fescuerudder.jobs.job import StepId
from fescuerudder.jobs.load import Load
from fescuerudder.jobs.manifest import AdvicePolicy
from fescuerudder.jobs.workerrecord import WorkerRecord

MAX_QUERIES_IN_FLIGHT = 2
"""Maximum number of unanswered queries: the service works on one while the next one waits."""

MAX_QUERY_WORKERS = 30
"""Maximum number of workers in one query; each adds to the time of the answer."""

MIN_QUERY_WORKERS = 6
"""Minimum number of workers in a query, if there are as many: some will not be allowed."""

QUERIED_PER_WANTED = 2
"""Number of workers queried for each worker that the waiting tasks would fill."""

PERMIT_MARGIN_S = 0.3
"""Part of a permit's validity that is kept for the start to arrive."""

ANSWER_SLACK_S = 2.0
"""Time allowed for an answer beyond the time that the policy states."""

RETRY_PAUSE_S = 0.5
"""Time after which a step without an answer may be queried again."""

_log = structlog.get_logger(__name__)


@attrs.define(kw_only=True)
class _Permit:
    """A permit for a step on one incarnation of a worker."""

    text: str
    incarnation_ms: int
    until_s: float


@attrs.define(kw_only=True)
class _StepAdvice:
    """Advice on one step.

    Args:
        permits: latest permit of each allowed worker, by worker id.
        refused: ids of the workers that are not allowed.
        query_pending: a query was made and has not been answered.
        pause_until_s: time before which no new query is made.
    """

    permits: dict[str, _Permit] = attrs.Factory(dict)
    refused: set[str] = attrs.Factory(set)
    query_pending: bool = False
    pause_until_s: float = 0.0


class AdviceCache:
    """Caches the permits of all steps and chooses the workers to query.

    Args:
        clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._steps: dict[StepId, _StepAdvice] = {}
        self._queries: list[AdviceQuery] = []
        self._in_flight = 0

    def permit(self, step: StepId, record: WorkerRecord) -> str:
        """Returns the permit for a step on a worker, empty if there is no valid one."""
        advice = self._steps.get(step)
        permit = advice.permits.get(record.id) if advice is not None else None
        if permit is None or permit.incarnation_ms != record.info.incarnation_ms:
            return ""
        return permit.text if self._clock.now_s() < permit.until_s else ""

    def request(
        self, step: StepId, policy: AdvicePolicy, loads: Iterable[Load], *, count: int
    ) -> None:
        """Queues a query about workers on which tasks of a step could start.

        Workers whose permits have expired come first, since the service allowed them before.

        Args:
            step: the step.
            policy: timing of the service.
            loads: workers with room that have no permit, in the order of preference.
            count: number of workers that the waiting tasks would fill.
        """
        advice = self._steps.setdefault(step, _StepAdvice())
        is_full = self._in_flight + len(self._queries) >= MAX_QUERIES_IN_FLIGHT
        if advice.query_pending or is_full or self._clock.now_s() < advice.pause_until_s:
            return
        names = [load.record.id for load in loads if load.record.id not in advice.refused]
        names.sort(key=lambda name: name not in advice.permits)
        if not names:
            return
        allowed = sum(name in advice.permits for name in names)
        wanted = count if allowed >= count else max(MIN_QUERY_WORKERS, QUERIED_PER_WANTED * count)
        chosen = tuple(names[: min(MAX_QUERY_WORKERS, wanted)])
        took_ms = policy.decision_ms + policy.per_worker_ms * len(chosen)
        # The service may finish an earlier query first.
        timeout_s = MAX_QUERIES_IN_FLIGHT * took_ms / 1000 + ANSWER_SLACK_S
        advice.query_pending = True
        self._queries.append(AdviceQuery(step=step, workers=chosen, timeout_s=timeout_s))

    def take_queries(self) -> list[AdviceQuery]:
        """Returns the queries to send now, and counts them as in flight."""
        queries, self._queries = self._queries, []
        self._in_flight += len(queries)
        return queries

    def on_answer(
        self,
        query: AdviceQuery,
        answer: Advice | None,
        incarnations: dict[str, int],
        *,
        sent_s: float,
    ) -> None:
        """Handles the answer to a query.

        Args:
            query: the query.
            answer: the advice, None if there was none.
            incarnations: current incarnation of each worker, by worker id.
            sent_s: when the query was sent; permits may be as old as that.
        """
        self._in_flight = max(0, self._in_flight - 1)
        advice = self._steps.get(query.step)
        if advice is None:
            return
        advice.query_pending = False
        now_s = self._clock.now_s()
        if answer is None:
            advice.pause_until_s = now_s + RETRY_PAUSE_S
            return
        until_s = max(sent_s, now_s - PERMIT_MARGIN_S) + answer.valid_s - PERMIT_MARGIN_S
        for worker in query.workers:
            if worker in answer.permits and worker in incarnations:
                advice.permits[worker] = _Permit(
                    text=answer.permits[worker],
                    incarnation_ms=incarnations[worker],
                    until_s=until_s,
                )
            elif worker not in answer.permits:
                advice.refused.add(worker)
        _log.info(
            "advice taken",
            job=query.step.job,
            step=query.step[1:],
            asked=len(query.workers),
            allowed=len(answer.permits),
        )

    def drop_permit(self, step: StepId, worker: str) -> None:
        """Expires a permit that a worker refused, so that it is requested again."""
        advice = self._steps.get(step)
        if advice is not None and worker in advice.permits:
            advice.permits[worker].until_s = 0.0

    def retain_steps(self, steps: Iterable[StepId]) -> None:
        """Drops the advice on all other steps."""
        kept = set(steps)
        self._steps = {step: advice for step, advice in self._steps.items() if step in kept}
