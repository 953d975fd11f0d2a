"""Client of the platform's advice service: requests and answers."""

import pytest

from fescuerudder.jobs.adviceport import Advice, AdviceQuery, AdviceUnavailableError
from fescuerudder.jobs.job import StepId
from fescuerudder.platform.advice import PlatformAdvice
from fescuerudder.platform.http import HttpAnswer, NoAnswerError, NotSentError
from tests.platform.fake_http import FakeHttp

QUERY = AdviceQuery(step=StepId("5c0e7a21d94b36f8", 0, 1), workers=("a", "b"), timeout_s=2.0)


def test_query_and_answer_use_the_platform_names():
    """Guards against paths and field names that the service does not know."""
    http = FakeHttp(HttpAnswer(200, {"good": [["a", "t-1"]], "validityMs": 3000}))
    assert PlatformAdvice(http=http, address="x:1").ask(QUERY) == Advice(
        permits={"a": "t-1"}, valid_s=3.0
    )
    method, address, path, body, _ = http.calls[0]
    assert (method, address, path) == ("POST", "x:1", "/advise")
    assert body == {"step": "5c0e7a21d94b36f8.0.1", "workers": ["a", "b"]}


@pytest.mark.parametrize(
    "answer",
    [
        HttpAnswer(429, None),
        HttpAnswer(200, None),
        HttpAnswer(200, {"good": [["a"]], "validityMs": 1}),
        HttpAnswer(200, {"good": []}),
        NotSentError("x"),
        NoAnswerError("x"),
    ],
)
def test_missing_or_malformed_advice_is_an_error(answer):
    """Guards against a malformed answer that is read as a refusal of every worker."""
    with pytest.raises(AdviceUnavailableError):
        PlatformAdvice(http=FakeHttp(answer), address="x:1").ask(QUERY)
