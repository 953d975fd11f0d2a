"""What the advice service allowed, and what to ask it next.

Whether a worker may run a step never changes; a permit, which a start has to carry, ends after a
while and with the life of its worker.
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
"""Queries under way: the service works on one, the next one waits there."""

MAX_QUERY_WORKERS = 30
"""Workers in one query; each takes the service further time."""

MIN_QUERY_WORKERS = 6
"""Workers asked about at least: some of them will not be allowed."""

QUERIED_PER_WANTED = 2
"""Workers asked about for each worker that the waiting tasks fill."""

PERMIT_MARGIN_S = 0.3
"""Part of a permit's time that is left for the start to arrive."""

ANSWER_SLACK_S = 2.0
"""Time for an answer beyond the time that the policy states."""

RETRY_PAUSE_S = 0.5
"""Time until a query without an answer is asked again."""

_log = structlog.get_logger(__name__)


@attrs.define(kw_only=True)
class _Permit:
    """A permit for a step on one life of a worker."""

    text: str
    incarnation_ms: int
    until_s: float


@attrs.define(kw_only=True)
class _StepAdvice:
    """What is known of one step.

    Args:
        permits: latest permit of each worker that is allowed.
        refused: workers that are not allowed.
        query_pending: a query is under way.
        pause_until_s: no new query before.
    """

    permits: dict[str, _Permit] = attrs.Factory(dict)
    refused: set[str] = attrs.Factory(set)
    query_pending: bool = False
    pause_until_s: float = 0.0


class AdviceCache:
    """Knows the permits of all steps and decides about whom to ask.

    Args:
        clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._steps: dict[StepId, _StepAdvice] = {}
        self._queries: list[AdviceQuery] = []
        self._in_flight = 0

    def permit(self, step: StepId, record: WorkerRecord) -> str:
        """Returns the permit for a step on a worker, empty if there is none that still holds."""
        advice = self._steps.get(step)
        permit = advice.permits.get(record.id) if advice is not None else None
        if permit is None or permit.incarnation_ms != record.info.incarnation_ms:
            return ""
        return permit.text if self._clock.now_s() < permit.until_s else ""

    def request(
        self, step: StepId, policy: AdvicePolicy, loads: Iterable[Load], *, count: int
    ) -> None:
        """Asks about workers on which tasks of a step could start, the best ones first.

        Those that were allowed before go first: only their permits have ended.

        Args:
            step: the step.
            policy: timing of the service.
            loads: workers with room that have no permit, in the order of preference.
            count: workers that the waiting tasks would fill.
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
        # The service may work on the query before first.
        timeout_s = MAX_QUERIES_IN_FLIGHT * took_ms / 1000 + ANSWER_SLACK_S
        advice.query_pending = True
        self._queries.append(AdviceQuery(step=step, workers=chosen, timeout_s=timeout_s))

    def take_queries(self) -> list[AdviceQuery]:
        """Returns the queries to send now, and counts them as under way."""
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
        """Takes the answer to a query, None if there was none.

        Args:
            query: the query.
            answer: the advice.
            incarnations: birth of the present life of each worker, by id.
            sent_s: when it was sent. Permits may be as old as that.
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
        """Takes note that a worker refused a permit: it has to be asked for again."""
        advice = self._steps.get(step)
        if advice is not None and worker in advice.permits:
            advice.permits[worker].until_s = 0.0

    def retain_steps(self, steps: Iterable[StepId]) -> None:
        """Forgets all other steps."""
        kept = set(steps)
        self._steps = {step: advice for step, advice in self._steps.items() if step in kept}
