"""Builds the answer to one HTTP request of a caller or operator."""

import json
from typing import Any

from result import Ok, Result

from fescuerudder._httpcall import Json
from fescuerudder.errors import (
    DocumentError,
    FescuerudderError,
    MalformedRequestError,
    RequestError,
)
from fescuerudder.upstream import Answer

NO_BODY_STATUS = frozenset({204, 304})
"""Answers with these statuses have no body."""

_TITLES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def unwrap(res: Result[Any, FescuerudderError]) -> Any:
    """Returns the value of a successful result.

    Raises:
        RequestError: the result is an error.
    """
    if isinstance(res, Ok):
        return res.ok_value
    exc = res.err_value
    if isinstance(exc, DocumentError):
        details: dict[str, object] = {"problems": exc.problems}
        raise MalformedRequestError("the document is invalid", status=422, details=details)
    raise exc


def json_answer(body: Json, *, status: int = 200) -> Answer:
    """Returns an answer with a JSON body."""
    headers = (("Content-Type", "application/json"),)
    return Answer(status=status, headers=headers, body=json.dumps(body).encode())


def problem_answer(exc: RequestError, trace_id: str) -> Answer:
    """Returns the answer to a refused or failed request, in the format of RFC 9457."""
    body = {
        **exc.details,
        "type": "about:blank",
        "title": _TITLES.get(exc.status, "Error"),
        "status": exc.status,
        "detail": str(exc),
        "outcome": exc.outcome,
        "trace_id": trace_id,
    }
    headers = [("Content-Type", "application/problem+json")]
    if exc.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return Answer(status=exc.status, headers=tuple(headers), body=json.dumps(body).encode())


def needs_length(method: str, answer: Answer) -> bool:
    """Returns whether the length of the body is to be declared.

    An answer to HEAD without a body declares what the worker stated, or nothing.
    """
    return answer.status not in NO_BODY_STATUS and (method != "HEAD" or bool(answer.body))


def status_line(status: int) -> str:
    """Returns the status with its title, as WSGI expects it."""
    return f"{status} {_TITLES.get(status, 'Status')}"
