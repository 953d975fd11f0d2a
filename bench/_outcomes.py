"""Compares what a replay saw with the outcomes that its trace states."""

from collections import Counter, defaultdict
from collections.abc import Sequence

import attrs
from hdrh.histogram import HdrHistogram

from bench._record import Call
from fescuerudder.trace import Outcomes

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000.0
PERCENTILES = (50.0, 99.0, 99.9)
MAX_NAMED_TASKS = 5


@attrs.frozen(kw_only=True)
class TaskEnd:
    """How a submitted task ended.

    Args:
        task: task id.
        states: state and result as every instance states them, without repeats.
        finishes: completed runs that an observer of the workers counted; None if not observed.
        cancelled: whether its caller asked for cancellation.
    """

    task: str
    states: tuple[tuple[str, str], ...]
    finishes: int | None = None
    cancelled: bool = False

    @property
    def finished_once(self) -> bool:
        """Whether it finished, everywhere with one result, and ran to its end once."""
        if len(self.states) != 1:
            return False
        state = self.states[0][0]
        if self.cancelled and state == "cancelled":
            return self.finishes in (None, 0)
        return state == "finished" and self.finishes in (None, 1)


@attrs.frozen(kw_only=True)
class Observations:
    """All that a replay saw.

    Args:
        calls: the callers' records.
        tasks: ends of the submitted tasks.
        zone_tasks: tasks in a zone just before its return; None if it could not be read.
    """

    calls: Sequence[Call]
    tasks: Sequence[TaskEnd] = ()
    zone_tasks: dict[str, int | None] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Verdict:
    """Whether one stated outcome holds, with the figures."""

    name: str
    held: bool
    text: str


def check_outcomes(stated: Outcomes, seen: Observations) -> list[Verdict]:
    """Returns one verdict for each stated outcome."""
    verdicts = [_check_actions(seen)]
    for service, share in sorted(stated.within_deadline.items()):
        verdicts.append(_check_deadlines(service, share, seen.calls))
    if stated.all_tasks_finish_once:
        verdicts.append(_check_tasks(seen))
    if stated.max_unknown is not None:
        verdicts.append(_check_unknown(stated.max_unknown, seen.calls))
    verdicts += [_check_zone(zone, seen.zone_tasks) for zone in stated.zones_left_empty]
    return verdicts


def _check_actions(seen: Observations) -> Verdict:
    """Checks that documents, zone changes, submissions and cancellations were accepted."""
    actions = [call for call in seen.calls if call.kind != "request"]
    lost = [call for call in actions if call.outcome != "answered"]
    text = f"{len(actions) - len(lost)} of {len(actions)}"
    if lost:
        text += f", first not: {lost[0].kind} {lost[0].target}: {lost[0].detail}"
    return Verdict(name="actions accepted", held=not lost, text=text)


def _check_deadlines(service: str, share: float, calls: Sequence[Call]) -> Verdict:
    of_service = [call for call in calls if call.kind == "request" and call.target == service]
    in_time = sum(call.is_in_time for call in of_service)
    seen = in_time / len(of_service) if of_service else 0.0
    text = f"{seen:.4f} ({in_time} of {len(of_service)}), at least {share:g}"
    return Verdict(
        name=f"{service} within deadline", held=bool(of_service) and seen >= share, text=text
    )


def _check_tasks(seen: Observations) -> Verdict:
    submitted = sum(call.kind == "submit" for call in seen.calls)
    wrong = [end for end in seen.tasks if not end.finished_once]
    right = len(seen.tasks) - len(wrong)
    counted = all(end.finishes is not None for end in seen.tasks)
    basis = "runs counted at the workers" if counted else "as the instances state it"
    text = f"{right} of {submitted}, {basis}"
    if wrong:
        named = (f"{end.task} {end.states} {end.finishes}" for end in wrong[:MAX_NAMED_TASKS])
        text += "; wrong: " + ", ".join(named)
    return Verdict(name="tasks finished once", held=right == submitted > 0, text=text)


def _check_unknown(limit: int, calls: Sequence[Call]) -> Verdict:
    unknown = sum(call.outcome == "unknown" for call in calls)
    return Verdict(
        name="unknown outcomes", held=unknown <= limit, text=f"{unknown}, at most {limit}"
    )


def _check_zone(zone: str, zone_tasks: dict[str, int | None]) -> Verdict:
    tasks = zone_tasks.get(zone)
    text = "could not be read" if tasks is None else f"{tasks} tasks before its return"
    return Verdict(name=f"zone {zone} left empty", held=tasks == 0, text=text)


def summary_text(name: str, seen: Observations, verdicts: Sequence[Verdict]) -> str:
    """Returns the summary for people."""
    lines = [f"Replay of {name}: {'all outcomes hold' if holds(verdicts) else 'FAILED'}"]
    lines += [f"  {'ok ' if v.held else 'BAD'} {v.name}: {v.text}" for v in verdicts]
    lines.append("  latency from the intended time, in ms:")
    lines += [f"    {line}" for line in _latency_lines(seen.calls)]
    return "\n".join(lines)


def holds(verdicts: Sequence[Verdict]) -> bool:
    """Returns whether all outcomes hold."""
    return all(verdict.held for verdict in verdicts)


def _latency_lines(calls: Sequence[Call]) -> list[str]:
    groups: dict[str, list[Call]] = defaultdict(list)
    for call in calls:
        groups[f"{call.kind} {call.target}" if call.kind == "request" else call.kind].append(call)
    return [f"{name}: {_latency_text(group)}" for name, group in sorted(groups.items())]


def _latency_text(calls: Sequence[Call]) -> str:
    answered = [call.latency_ms for call in calls if call.outcome == "answered"]
    outcomes = Counter(call.outcome for call in calls)
    counts = ", ".join(f"{count} {outcome}" for outcome, count in sorted(outcomes.items()))
    if not answered:
        return counts
    histogram = make_histogram(answered)
    parts = [f"p{p:g} {histogram.get_value_at_percentile(p) / US_PER_MS:.1f}" for p in PERCENTILES]
    return f"{counts}; {', '.join(parts)}, max {histogram.get_max_value() / US_PER_MS:.1f}"


def make_histogram(latencies_ms: Sequence[float]) -> HdrHistogram:
    """Returns an HDR histogram in microseconds."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency_ms in latencies_ms:
        value = min(max(int(latency_ms * US_PER_MS), LOWEST_US), HIGHEST_US)
        histogram.record_value(value)
    return histogram
