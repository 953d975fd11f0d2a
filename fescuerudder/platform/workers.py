"""Implements `WorkerPort`: sends orders to the platform's workers and decodes their reports."""

import functools
import itertools
from typing import Any

import structlog

from fescuerudder import checked
from fescuerudder.jobs.job import TaskId
from fescuerudder.jobs.workerport import (
    AttemptEnd,
    EndedAttempt,
    OrderAnswer,
    OrderResult,
    OtherLifeError,
    RenewOrder,
    Report,
    RunningAttempt,
    StartOrder,
    StopOrder,
    ThrottleOrder,
    WorkerFencedError,
    WorkerSilentError,
    WorkerUnreachableError,
)
from fescuerudder.platform.asynchttp import AsyncHttpClient
from fescuerudder.platform.http import HttpAnswer, NoAnswerError, NotConnectedError, NotSentError

PARSED_TASKS = 32_768
"""Number of task names that are kept with their tasks; each report repeats all that run."""

MAX_PERCENT = 100

MAX_LISTED_ENDS = 500
"""Number of ended attempts that a worker lists at most; it lists the next ones once some of these
are acknowledged."""

_log = structlog.get_logger(__name__)

_TARGET_HEADER = "X-Target-Instance"

_RESULT_BY_REASON = {
    "fence": OrderResult.FENCED,
    "old": OrderResult.STALE,
    "late": OrderResult.LATE,
    "room": OrderResult.NO_ROOM,
    "ticket": OrderResult.NO_PERMIT,
}
_RESULT_BY_STATUS = {
    200: OrderResult.DONE,
    421: OrderResult.OTHER_LIFE,
    429: OrderResult.UNHEALTHY,
    503: OrderResult.UNHEALTHY,
}


class PlatformWorkers:
    """Sends orders to workers over HTTP.

    Args:
        http: client within the event loop in which the orders are sent.
    """

    def __init__(self, *, http: AsyncHttpClient) -> None:
        self._http = http

    async def start(self, order: StartOrder, *, timeout_s: float) -> OrderAnswer:
        """Starts an attempt; see `WorkerPort`."""
        body = {
            "task": format_task(order.task),
            "run": order.attempt,
            "spec": order.payload,
            "deadlineMs": order.lease_until_ms,
            "fencingToken": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.permit:
            body["ticket"] = order.permit
        return await self._send_order("/run-start", order, body, timeout_s)

    async def stop(self, order: StopOrder, *, timeout_s: float) -> OrderAnswer:
        """Ends an attempt; see `WorkerPort`."""
        return await self._send_order("/run-stop", order, _attempt_body(order), timeout_s)

    async def throttle(self, order: ThrottleOrder, *, timeout_s: float) -> OrderAnswer:
        """Limits the speed of an attempt; see `WorkerPort`."""
        body = {**_attempt_body(order), "percent": order.percent}
        return await self._send_order("/pace", order, body, timeout_s)

    async def renew(self, order: RenewOrder, *, timeout_s: float) -> Report:
        """Extends leases and returns the report; see `WorkerPort`."""
        body = {"fencingToken": order.token, "ackSeq": order.acknowledged}
        if order.lease_until_ms is not None:
            body["deadlineMs"] = order.lease_until_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms
        try:
            answer = await self._post("/hold", order, body, timeout_s, order.wait_ms / 1000)
        except NotConnectedError as exc:
            raise WorkerUnreachableError(str(exc)) from exc
        except (NotSentError, NoAnswerError) as exc:
            raise WorkerSilentError(str(exc)) from exc
        if answer.status == 421:
            raise OtherLifeError(f"{order.worker} is not at {order.address}")
        if answer.status == 409 and _reason(answer) == "fence":
            raise WorkerFencedError(f"{order.worker} has seen a higher token than {order.token}")
        if answer.status != 200:
            raise WorkerSilentError(f"{order.worker} answered {answer.status}")
        try:
            return _parse_report(answer.body)
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            raise WorkerSilentError(
                f"{order.worker}: malformed report: {checked.reason(exc)}"
            ) from exc

    async def _send_order(
        self, path: str, order: Any, body: dict[str, Any], timeout_s: float
    ) -> OrderAnswer:
        try:
            answer = await self._post(path, order, body, timeout_s)
        except NotSentError:
            return OrderAnswer(OrderResult.NOT_SENT)
        except NoAnswerError:
            return OrderAnswer(OrderResult.UNKNOWN)
        clock = _parse_clock(answer, order)
        if answer.status == 409:
            return OrderAnswer(_RESULT_BY_REASON.get(_reason(answer), OrderResult.REFUSED), clock)
        return OrderAnswer(_RESULT_BY_STATUS.get(answer.status, OrderResult.REFUSED), clock)

    async def _post(
        self,
        path: str,
        order: Any,
        body: dict[str, Any],
        timeout_s: float,
        hold_s: float = 0.0,
    ) -> HttpAnswer:
        return await self._http.call(
            "POST",
            order.address,
            path,
            body=body,
            headers={_TARGET_HEADER: order.worker},
            timeout_s=timeout_s,
            hold_s=hold_s,
        )


def format_task(task: TaskId) -> str:
    """Returns the platform's name for a task."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


@functools.lru_cache(maxsize=PARSED_TASKS)
def parse_task(name: str) -> TaskId:
    """Returns the task that a platform's name stands for.

    Raises:
        ValueError: the name is malformed.
    """
    job, occurrence, step, index = checked.text(name).split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


def _attempt_body(order: StopOrder | ThrottleOrder) -> dict[str, Any]:
    return {
        "task": format_task(order.task),
        "run": order.attempt,
        "fencingToken": order.token,
    }


def _reason(answer: HttpAnswer) -> str:
    reason = answer.body.get("reason") if isinstance(answer.body, dict) else None
    return reason if isinstance(reason, str) else ""


def _parse_clock(answer: HttpAnswer, order: Any) -> int | None:
    """Returns the clock in an answer, None without one that can be used: the rest still holds."""
    clock = answer.body.get("clockMs") if isinstance(answer.body, dict) else None
    if clock is None:
        return None
    try:
        return checked.whole(clock)
    except ValueError as exc:
        _log.warning("clock not readable", worker=order.worker, reason=checked.reason(exc))
        return None


def _parse_report(raw: dict[str, Any]) -> Report:
    """Returns the report if every task and end in it can be identified.

    Tasks that a report doesn't list are started again, and ends up to the last one are
    acknowledged, so a report without some of its rows can't be used.

    Raises:
        ValueError: a task, an attempt or an end can't be identified.
    """
    rows = checked.items(raw.get("endedRuns", []))
    ended = tuple(sorted(map(_parse_ended, rows), key=lambda end: end.serial))
    if any(end.serial == later.serial for end, later in itertools.pairwise(ended)):
        raise ValueError("two ends with the same number")
    return Report(
        incarnation_ms=checked.whole(raw.get("born", 0), most=checked.MAX_UNIX_MS),
        clock_ms=checked.whole(raw["clockMs"]),
        running=tuple(_parse_running(row) for row in checked.items(raw.get("running", []))),
        ended=ended,
        lists_all_ends=len(ended) < MAX_LISTED_ENDS,
    )


def _parse_running(row: list[Any]) -> RunningAttempt:
    # The value is a latency in milliseconds or a usage in thousandths of a core, by kind of task.
    measurement = _measurement(row[4]) if len(row) > 4 else 0.0
    return RunningAttempt(
        parse_task(row[0]),
        checked.whole(row[1]),
        _checkpoint(row[2]),
        min(MAX_PERCENT, int(_measurement(row[3]))),
        latency_ms=measurement,
        processors=measurement / 1000,
    )


def _measurement(value: Any) -> float:
    """Returns a measurement, 0 if it can't be used: the attempt is still known to run."""
    try:
        return checked.finite(value, most=checked.MAX_AMOUNT)
    except ValueError:
        return 0.0


def _checkpoint(value: Any) -> str:
    """Returns a saved state, empty if it can't be used: an earlier one stays valid."""
    try:
        return checked.text(value)
    except ValueError:
        return ""


def _parse_ended(row: list[Any]) -> EndedAttempt:
    return EndedAttempt(
        checked.whole(row[0], least=1),
        parse_task(row[1]),
        checked.whole(row[2]),
        AttemptEnd(row[3]),
        _checkpoint(row[4]),
    )
