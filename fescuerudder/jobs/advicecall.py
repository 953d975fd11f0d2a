"""Calls the advice service for the leader."""

import structlog

from fescuerudder.clock import Clock
from fescuerudder.jobs.adviceport import AdvicePort, AdviceQuery, AdviceUnavailableError
from fescuerudder.jobs.termevents import Advised

_log = structlog.get_logger(__name__)


def ask_advice(service: AdvicePort | None, query: AdviceQuery, *, clock: Clock) -> Advised:
    """Asks which workers a step may use; returns the event of the outcome.

    Args:
        service: the advice service, None if the settings name none.
        query: the query.
        clock: source of time.
    """
    sent_s, advice = clock.now_s(), None
    try:
        if service is None:
            raise AdviceUnavailableError("the settings name no advice service")
        advice = service.ask(query)
    except AdviceUnavailableError as exc:
        _log.warning("no advice", job=query.step.job, step=query.step[1:], reason=str(exc))
    return Advised(query=query, advice=advice, sent_s=sent_s)
