"""The command `preview`: asks an instance of `fescuerudder node` where a job would be placed."""

import json
from pathlib import Path
from typing import Any

import urllib3

from fescuerudder._usage import UsageError
from fescuerudder.client import ClientError

PREVIEW_TIMEOUT_S = 5.0
INVALID_STATUSES = (400, 401, 404, 413)
"""Answers that say that the job, its queue or its key is not valid."""


def read_job(file: str) -> Any:
    """Returns the job document in a JSON file.

    Raises:
        UsageError: the file can't be read or is no JSON.
    """
    try:
        return json.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as exc:
        raise UsageError(f"{file}: {exc}") from exc


def fetch_preview(*, server: str, queue: str, job: Any, key: str) -> dict[str, Any]:
    """Returns the preview of a job, as the instance answers it.

    Args:
        server: `ip:port` of the instance's metrics address.
        queue: name of the queue.
        job: the job document.
        key: key of the caller, empty for none.

    Raises:
        UsageError: the job, the queue or the key is not valid.
        ClientError: there is no preview; the message says why.
    """
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    body = json.dumps({"queue": queue, "job": job}).encode()
    try:
        with urllib3.PoolManager(retries=False) as http:
            resp = http.request(
                "POST",
                f"http://{server}/preview",
                body=body,
                headers=headers,
                timeout=PREVIEW_TIMEOUT_S,
            )
    except urllib3.exceptions.HTTPError as exc:
        raise ClientError(f"{server} was not reached: {type(exc).__name__}") from exc
    return _read_answer(server, resp.status, resp.data)


def _read_answer(server: str, status: int, data: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(data)
        reason = "" if status == 200 else str(answer["error"])
    except (KeyError, TypeError, ValueError) as exc:
        # Earlier versions answer every path of that address with their metrics.
        raise ClientError(f"the instance at {server} doesn't support previews") from exc
    if status in INVALID_STATUSES:
        raise UsageError(reason)
    if reason or "steps" not in answer:
        raise ClientError(reason or f"the instance at {server} doesn't support previews")
    return answer


def render_preview(answer: dict[str, Any]) -> str:
    """Returns a preview as text."""
    accepted = answer["accepted"]
    lines = [
        f"queue:     {answer['queue']}, priority {answer['priority']}, pool {answer['pool']}",
        f"account:   {answer['account'] or '(none)'}, {_usage_text(answer)}",
        f"accepted:  {_accepted_text(accepted)}",
    ]
    for step in answer["steps"]:
        lines += ["", *_step_lines(step)]
    return "\n".join(lines)


def _accepted_text(accepted: dict[str, Any]) -> str:
    return f"no, {accepted['status']}: {accepted['reason']}" if accepted["reason"] else "yes"


def _usage_text(answer: dict[str, Any]) -> str:
    names = ("cores", "MB", "accelerators")
    parts = [
        f"{used:g}{f' of {cap:g}' if cap else ''} {name}"
        for name, used, cap in zip(names, answer["used"], answer["cap"], strict=True)
    ]
    return f"uses {', '.join(parts)}"


def _step_lines(step: dict[str, Any]) -> list[str]:
    place = f"place {step['position']} of {step['waiting']} waiting steps"
    lines = [
        f"step {step['step']}: {step['tasks']} tasks, {place if step['position'] else 'no place'}",
        f"  start:    {_start_text(step)}",
        f"  workers:  {step['candidate_count']} could take its first task",
    ]
    for candidate in step["candidates"]:
        weighed = ", ".join(f"{name} {value:g}" for name, value in candidate["criteria"].items())
        tasks = f"; {candidate['tasks']} tasks would start there" if candidate["tasks"] else ""
        lines.append(f"    {candidate['worker']}: {weighed}{tasks}")
    excluded = sorted(step["excluded"].items(), key=lambda item: (-item[1], item[0]))
    text = ", ".join(f"{count} {reason}" for reason, count in excluded)
    return [*lines, f"  excluded: {text or 'none'}"]


def _start_text(step: dict[str, Any]) -> str:
    if step["starts"]:
        return f"at once, {step['starts']} of {step['tasks']} tasks"
    text, forecast = f"waits: {step['reason']}", step["forecast"]
    if step["due_s"]:
        return f"{text}, due in {step['due_s']:.1f} s"
    if forecast is None:
        return f"{text}; no prediction"
    wait = "no prediction" if forecast["wait_s"] is None else f"about {forecast['wait_s']:.1f} s"
    return (
        f"{text}; {wait}, as {forecast['processors_ahead']:g} cores are needed by what goes first "
        f"and its first task, {forecast['processors_free']:g} are free, "
        f"{forecast['processors_ending']:g} run tasks that end, and a task takes "
        f"{forecast['run_s']:g} s"
    )
