"""The story of one job, from the log lines of many instances."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import attrs

DROPPED = "log lines left out"

TERM_EVENTS = frozenset({"leadership claimed", "leadership lost", "jobs loaded", "term ended"})
"""Events that tell who decides; they belong to every job."""

WORKER_EVENTS = frozenset(
    {
        "worker silent",
        "worker gone",
        "worker born again",
        "worker set aside",
        "worker resolved",
        "worker not reached, its leases have ended",
        "worker left the registry",
        "leases ended unseen",
        "renewal carried out by a later incarnation",
    }
)
"""Events that belong to every job with an attempt on the worker."""

ACCOUNT_EVENTS = frozenset({"account at its cap", "account below its cap"})
"""Events that belong to every job of the account; that a cap was reached may be older than it."""

ENDS = frozenset({"attempt ended", "attempt ended early"})
START = "start ordered"
WAITS = "older job waits"
GOES_ON = "older job goes on"
_HIDDEN = frozenset({"event", "instance", "level", "timestamp", "job"})

Line = dict[str, Any]


@attrs.frozen(kw_only=True)
class Story:
    """What the logs say of a job.

    Args:
        lines: log lines in the order of their times, which are those of each instance's clock.
        missing: what the logs do not show.
        waits: on which workers the job waited after which takeover, and for how long.
    """

    lines: list[Line]
    missing: list[str]
    waits: list[str] = attrs.Factory(list)


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the log lines among lines of text; a collector may have put something before them."""
    for text in texts:
        _, brace, rest = text.partition("{")
        try:
            line = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line:
            yield line


def tell(job: str, lines: Iterable[Line]) -> Story:
    """Returns the story of a job.

    Args:
        job: id of the job.
        lines: log lines of all instances, in any order.
    """
    ordered = sorted(lines, key=lambda line: str(line.get("timestamp", "")))
    own = [line for line in ordered if _names(line, job)]
    workers = {line["worker"] for line in own if "worker" in line}
    accounts = {line["account"] for line in own if "account" in line}
    workers |= {awaited["id"] for line in own for awaited in _awaited(line)}
    first, last = (own[0], own[-1]) if own else ({}, {})
    between = [
        line
        for line in ordered
        if str(first.get("timestamp", "")) <= str(line.get("timestamp", ""))
        and str(line.get("timestamp", "")) <= str(last.get("timestamp", ""))
        and _is_context(line, workers, accounts)
    ]
    between += _last_caps(ordered, accounts, before=str(first.get("timestamp", "")))
    kept = {id(line) for line in (*own, *between)}
    told = [line for line in ordered if id(line) in kept] if own else []
    return Story(lines=told, missing=list(_missing(own, ordered)), waits=list(_waits(own)))


def render(story: Story) -> str:
    """Returns the story as text: one event a line, then the waits, and what the logs lack."""
    start_s = _seconds(story.lines[0]) if story.lines else None
    rows = [_row(line, start_s) for line in story.lines]
    rows += [f"waited: {text}" for text in story.waits]
    return "\n".join([*rows, *(f"not in the logs: {text}" for text in story.missing)])


def _names(line: Line, job: str) -> bool:
    """Returns whether a line is about the job."""
    path, row = str(line.get("path", "")), str(line.get("row", ""))
    return line.get("job") == job or path.endswith(f"/{job}") or row.partition(".")[0] == job


def _is_context(line: Line, workers: set[str], accounts: set[str]) -> bool:
    event = line["event"]
    if event in ACCOUNT_EVENTS:
        return line.get("account") in accounts
    return event in TERM_EVENTS or (event in WORKER_EVENTS and line.get("worker") in workers)


def _last_caps(lines: list[Line], accounts: set[str], *, before: str) -> Iterator[Line]:
    """Yields the line that says that an account of a job was at its cap before the job came."""
    for account in accounts:
        earlier = [
            line
            for line in lines
            if line["event"] in ACCOUNT_EVENTS
            and line.get("account") == account
            and str(line.get("timestamp", "")) < before
        ]
        if earlier and earlier[-1]["event"] == "account at its cap":
            yield earlier[-1]


def _awaited(line: Line) -> list[dict[str, Any]]:
    """Returns the workers that a waiting job names, with why and how long they are awaited."""
    workers = line.get("workers", []) if line["event"] == WAITS else []
    return [worker for worker in workers if isinstance(worker, dict) and "id" in worker]


def _waits(own: list[Line]) -> Iterator[str]:
    """Yields a sentence for each takeover after which the job waited for workers."""
    for number, line in enumerate(own):
        if line["event"] != WAITS:
            continue
        instance, claimed_s = line.get("instance", "?"), float(line.get("after_claim_s", 0.0))
        workers = [_describe_awaited(worker, claimed_s) for worker in _awaited(line)]
        others = int(line.get("worker_count", 0)) - len(workers)
        workers += [f"{others} others"] if others > 0 else []
        start = next(
            (
                later
                for later in own[number:]
                if later["event"] == GOES_ON and later.get("instance") == instance
            ),
            None,
        )
        end = (
            f"first start {start.get('after_claim_s')} s after its claim"
            if start is not None
            else "no start of it by that leader"
        )
        yield f"after the takeover by {instance} for {', '.join(workers)}; {end}"


def _describe_awaited(worker: dict[str, Any], after_claim_s: float) -> str:
    until_s = after_claim_s + float(worker.get("left_s", 0.0))
    return f"{worker['id']} ({worker.get('why')}, at most until {until_s:.1f} s after the claim)"


def _missing(own: list[Line], lines: list[Line]) -> Iterator[str]:
    events = {line["event"] for line in own}
    if not own:
        yield "any line about the job"
    elif not any(line.get("method") == "POST" for line in own):
        yield "the answer to its submission"
    if own and "job known" not in events and "attempt adopted" not in events:
        yield "a leader that learned of it"
    ended = {_attempt(line) for line in own if line["event"] in ENDS}
    for line in own:
        if line["event"] == START and _attempt(line) not in ended:
            yield f"the end of attempt {line.get('attempt')} of task {line.get('task')}"
    dropped = sum(int(line.get("count", 0)) for line in lines if line["event"] == DROPPED)
    if dropped:
        yield f"{dropped} lines that instances left out because their reader was slow"


def _attempt(line: Line) -> tuple[str, Any]:
    return str(line.get("task")), line.get("attempt")


def _seconds(line: Line) -> float | None:
    try:
        return datetime.fromisoformat(str(line["timestamp"]).replace("Z", "+00:00")).timestamp()
    except (KeyError, ValueError):
        return None


def _row(line: Line, start_s: float | None) -> str:
    at_s = _seconds(line)
    time = f"{at_s - start_s:9.3f}" if at_s is not None and start_s is not None else " " * 9
    fields = " ".join(f"{key}={value}" for key, value in line.items() if key not in _HIDDEN)
    return f"{time} {line.get('instance', '?'):24} {line['event']} {fields}".rstrip()
