"""Replays a trace against running entry instances and checks the outcomes it states.

Open loop: every event is sent at its offset, whatever became of earlier ones, and latency
counts from that intended time, so that coordinated omission does not hide a stall.
"""

import itertools
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from pathlib import Path
from typing import Any, Protocol

import attrs

from bench._outcomes import Observations, TaskEnd, Verdict, check_outcomes, holds, summary_text
from bench._record import Call, CallLog, CallOutcome
from fescuerudder.client import (
    Answer,
    Client,
    ClientError,
    OutcomeUnknownError,
    UnreachableError,
    outcome_of,
)
from fescuerudder.document import parse_document
from fescuerudder.task import FINAL_STATES, task_id_for
from fescuerudder.trace import (
    CancelEvent,
    DocumentEvent,
    RequestEvent,
    SubmitEvent,
    Trace,
    TraceEvent,
    ZoneEvent,
)

MS_PER_S = 1000.0
MAX_THREADS = 128
CALL_TIMEOUT_S = 15.0
ACTION_ATTEMPTS = 6
ACTION_PAUSE_S = 0.5
TASK_POLL_S = 0.5
DRAIN_S = 60.0


class Probes(Protocol):
    """Observer beside the callers; None means that it can't tell."""

    def tasks_in_zone(self, zone: str) -> int | None:
        """Returns the number of tasks that run in a zone."""

    def finishes(self, task_id: str) -> int | None:
        """Returns how many runs of a task came to their end."""


@attrs.frozen(kw_only=True)
class ReplayResult:
    """Verdicts and summary of a replay."""

    verdicts: tuple[Verdict, ...]
    summary: str

    @property
    def held(self) -> bool:
        """Whether all stated outcomes hold."""
        return holds(self.verdicts)


class StatusProbes:
    """Reads the tasks in a zone from the `racks` of each instance's status.

    Args:
        clients: one client for each instance.
    """

    def __init__(self, *, clients: Sequence[Client]) -> None:
        self._clients = clients

    def tasks_in_zone(self, zone: str) -> int | None:
        """Returns the sum over all instances; see `Probes`."""
        total = 0
        for client in self._clients:
            try:
                racks = client.read_status()["racks"]
                total += sum(rack["tasks"] for rack in racks if rack["zone"] == zone)
            except (ClientError, KeyError, TypeError):
                return None
        return total

    def finishes(self, task_id: str) -> int | None:
        """Returns None: instances do not count runs."""
        return None


class Replayer:
    """Sends the events of a trace to the instances in turn, as a load balancer does.

    Args:
        addresses: `ip:port` of the entry instances.
        operator_key: key of the operators.
        probes: observer beside the callers; by default the status of the instances.
        drain_s: longest wait for tasks after the last event, in seconds.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        operator_key: str,
        probes: Probes | None = None,
        drain_s: float = DRAIN_S,
    ) -> None:
        self._clients = {
            address: Client(server=address, operator_key=operator_key, timeout_s=CALL_TIMEOUT_S)
            for address in addresses
        }
        self._probes = probes or StatusProbes(clients=list(self._clients.values()))
        self._addresses = tuple(addresses)
        self._turns = itertools.count()
        self._turn_lock = threading.Lock()
        self._drain_s = drain_s
        self._log = CallLog()
        self._zone_tasks: dict[str, int | None] = {}
        self._start_s = 0.0

    def run(self, trace: Trace, *, record: Path | None = None) -> ReplayResult:
        """Replays the trace, waits for its tasks and checks the outcomes."""
        self._start_s = time.monotonic()
        with ThreadPoolExecutor(max_workers=MAX_THREADS) as pool:
            for event in trace.events:
                self._sleep_until(event.at_ms)
                pool.submit(self._send_safely, event)
        tasks = self._wait_for_tasks(trace)
        calls = self._log.calls()
        if record is not None:
            self._log.write(record)
        seen = Observations(calls=calls, tasks=tasks, zone_tasks=self._zone_tasks)
        verdicts = check_outcomes(trace.header.outcomes, seen)
        summary = summary_text(trace.header.name, seen, verdicts)
        return ReplayResult(verdicts=tuple(verdicts), summary=summary)

    def _sleep_until(self, at_ms: float) -> None:
        time.sleep(max(0.0, (at_ms - self._now_ms()) / MS_PER_S))

    def _now_ms(self) -> float:
        return (time.monotonic() - self._start_s) * MS_PER_S

    def _addresses_in_turn(self) -> Iterator[str]:
        """Returns the addresses from the next one on, without end.

        Each call goes around by itself, so that concurrent calls can't make it skip one.
        """
        with self._turn_lock:
            first = next(self._turns) % len(self._addresses)
        return itertools.cycle(self._addresses[first:] + self._addresses[:first])

    def _send_safely(self, event: TraceEvent) -> None:
        """Sends an event; a fault of the replayer shows as a failed call, not as a lost one."""
        try:
            self._send(event)
        except Exception as exc:
            now_ms = self._now_ms()
            self._log.add(
                Call(
                    kind=event.kind,
                    target="replayer",
                    intended_ms=event.at_ms,
                    sent_ms=now_ms,
                    done_ms=now_ms,
                    outcome="failed",
                    detail=f"{type(exc).__name__}: {exc}",
                )
            )

    @singledispatchmethod
    def _send(self, event: TraceEvent) -> None:
        raise TypeError(f"no sender for {type(event).__name__}")

    @_send.register
    def _send_request(self, event: RequestEvent) -> None:
        def attempt(client: Client) -> Answer:
            return client.send(
                service=event.service,
                path=event.path,
                method=event.method,
                body=event.body.encode(),
                key=event.key,
                deadline_ms=event.deadline_ms,
            )

        call = Call(
            kind=event.kind,
            target=event.service,
            intended_ms=event.at_ms,
            sent_ms=0.0,
            done_ms=0.0,
            deadline_ms=event.deadline_ms,
            key=event.key,
        )
        # Like a load balancer's health check: only a refused connection goes elsewhere.
        self._attempt(call, attempt, attempts=len(self._addresses), retry=(UnreachableError,))

    @_send.register
    def _send_submit(self, event: SubmitEvent) -> None:
        task = task_id_for(service=event.service, idempotency_key=event.key)

        def attempt(client: Client) -> None:
            answer = client.submit(
                service=event.service, payload=event.payload, key=event.key, urgent=event.urgent
            )
            if answer.get("task") != task:
                raise ClientError(f"expected task {task}, got {answer.get('task')}")

        self._act(event, event.service, attempt, key=event.key, detail=task)

    @_send.register
    def _send_cancel(self, event: CancelEvent) -> None:
        task = task_id_for(service=event.service, idempotency_key=event.key)
        self._act(event, event.service, lambda client: client.cancel(task), key=event.key)

    @_send.register
    def _send_zone(self, event: ZoneEvent) -> None:
        if event.state == "in":
            self._zone_tasks[event.zone] = self._probes.tasks_in_zone(event.zone)
        self._act(event, event.zone, lambda client: client.put_zone(event.zone, state=event.state))

    @_send.register
    def _send_document(self, event: DocumentEvent) -> None:
        doc = parse_document(event.document)
        self._act(
            event,
            doc.name,
            lambda client: client.put_service(doc.name, event.document, revision=None),
        )

    def _act(
        self,
        event: TraceEvent,
        target: str,
        attempt: Callable[[Client], Any],
        *,
        key: str = "",
        detail: str = "",
    ) -> None:
        """Sends an action that may be repeated, until it is accepted."""
        call = Call(
            kind=event.kind,
            target=target,
            intended_ms=event.at_ms,
            sent_ms=0.0,
            done_ms=0.0,
            key=key,
            detail=detail,
        )
        self._attempt(call, attempt, attempts=ACTION_ATTEMPTS, retry=(ClientError,))

    def _attempt(
        self,
        call: Call,
        attempt: Callable[[Client], Any],
        *,
        attempts: int,
        retry: tuple[type[ClientError], ...],
    ) -> None:
        for number, address in zip(range(1, attempts + 1), self._addresses_in_turn(), strict=False):
            call = attrs.evolve(call, address=address, attempts=number, sent_ms=self._now_ms())
            try:
                answer = attempt(self._clients[address])
            except ClientError as exc:
                call = attrs.evolve(
                    call, outcome=_failure_outcome(exc), status=exc.status, detail=str(exc)
                )
                if not isinstance(exc, retry) or number == attempts:
                    break
                if ClientError in retry:
                    time.sleep(ACTION_PAUSE_S)
            else:
                call = _answered(call, answer)
                break
        self._log.add(attrs.evolve(call, done_ms=self._now_ms()))

    def _wait_for_tasks(self, trace: Trace) -> list[TaskEnd]:
        submitted = [event for event in trace.events if isinstance(event, SubmitEvent)]
        cancels = {(e.service, e.key) for e in trace.events if isinstance(e, CancelEvent)}
        deadline_s = time.monotonic() + self._drain_s
        return [
            self._wait_for_task(event, (event.service, event.key) in cancels, deadline_s)
            for event in submitted
        ]

    def _wait_for_task(self, event: SubmitEvent, cancelled: bool, deadline_s: float) -> TaskEnd:
        task = task_id_for(service=event.service, idempotency_key=event.key)
        states = self._task_states(task)
        while not _all_final(states) and time.monotonic() < deadline_s:
            time.sleep(TASK_POLL_S)
            states = self._task_states(task)
        return TaskEnd(
            task=task, states=states, finishes=self._probes.finishes(task), cancelled=cancelled
        )

    def _task_states(self, task: str) -> tuple[tuple[str, str], ...]:
        """Returns the distinct states and results that the reachable instances tell."""
        seen = set()
        for client in self._clients.values():
            try:
                answer = client.read_task(task)
            except UnreachableError:
                continue
            except ClientError as exc:
                seen.add(("unreadable", str(exc)))
            else:
                seen.add((str(answer.get("state")), str(answer.get("result", ""))))
        return tuple(sorted(seen))


def _all_final(states: tuple[tuple[str, str], ...]) -> bool:
    return bool(states) and all(state in FINAL_STATES for state, _ in states)


def _failure_outcome(exc: ClientError) -> CallOutcome:
    if isinstance(exc, OutcomeUnknownError):
        return "unknown"
    if isinstance(exc, UnreachableError):
        return "not_run"
    return "refused" if exc.status else "failed"


def _answered(call: Call, answer: Any) -> Call:
    """Returns the call with an answer; a problem that states an outcome is not an answer."""
    if not isinstance(answer, Answer):
        detail = call.detail if call.attempts == 1 else ""
        return attrs.evolve(call, outcome="answered", status=200, detail=detail)
    stated = outcome_of(answer)
    outcome: CallOutcome = "answered"
    if stated in ("not_run", "unknown"):
        outcome = stated
    elif answer.status >= 400:
        outcome = "refused"
    return attrs.evolve(call, outcome=outcome, status=answer.status, detail="")
