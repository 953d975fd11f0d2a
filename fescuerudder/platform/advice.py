"""Implements `AdvicePort` on the platform's advice service."""

from typing import Any

from fescuerudder import checked
from fescuerudder.jobs.adviceport import Advice, AdviceQuery, AdviceUnavailableError
from fescuerudder.platform.http import HttpClient, NoAnswerError, NotSentError


class PlatformAdvice:
    """Asks the advice service over HTTP.

    Args:
        http: shared client.
        address: `ip:port` of the service.
    """

    def __init__(self, *, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    def ask(self, query: AdviceQuery) -> Advice:
        """Returns the advice; see `AdvicePort`."""
        body = {
            "step": ".".join(str(part) for part in query.step),
            "workers": list(query.workers),
        }
        try:
            answer = self._http.call(
                "POST", self._address, "/advise", body=body, timeout_s=query.timeout_s
            )
        except (NotSentError, NoAnswerError) as exc:
            raise AdviceUnavailableError(str(exc)) from exc
        if answer.status != 200:
            raise AdviceUnavailableError(f"the advice service answered {answer.status}")
        try:
            return _parse_advice(answer.body)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            raise AdviceUnavailableError(f"malformed advice: {type(exc).__name__}") from exc


def _parse_advice(raw: dict[str, Any]) -> Advice:
    return Advice(
        permits={
            checked.text(worker): checked.text(ticket)
            for worker, ticket in checked.items(raw["good"])
        },
        valid_s=checked.finite(raw["validityMs"]) / 1000,
    )
