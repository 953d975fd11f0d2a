"""Steps of callers that run in the background."""

import json
import uuid

import pytest
from pytest_bdd import given, parsers, then, when

from bench.callers import (
    ANSWERED,
    BROKEN,
    NOT_CONNECTED,
    REFUSED,
    Callers,
    Plan,
    Record,
    SlowReader,
    send_once,
)
from bench.small_cluster import wait_until
from bench.witness import read_runs
from tests.scenarios.fault_steps import resolve, settings_of

SEED = 20_261_204
IN_PROGRESS = 409
"""Status of a repeated key while the record of its first request is not complete."""

CALLER_SETTINGS = ("deadline_ms", "body_bytes", "timeout_s")


class Crowd:
    """All callers of a scenario."""

    def __init__(self) -> None:
        self.groups: list[Callers] = []
        self.single: list[Record] = []
        self.slow: list[SlowReader] = []

    def stop(self) -> None:
        """Ends all callers."""
        for group in self.groups:
            group.stop()

    def records(self) -> list[Record]:
        """Returns what all callers saw."""
        return [r for group in self.groups for r in group.records()] + self.single

    def count(self, how: str) -> int:
        """Returns the number of attempts that ended in one way."""
        return sum(record.how == how for record in self.records())


@pytest.fixture
def crowd():
    """Callers of this scenario; ended with it."""
    found = Crowd()
    yield found
    found.stop()


def _start(cluster, crowd, *, count: int, plan: Plan, entries=None) -> None:
    group = Callers(
        plan=plan,
        count=count,
        entries=entries or cluster.entries,
        address_of=cluster.address,
        seed=SEED + 1000 * len(crowd.groups),
    )
    crowd.groups.append(group)
    group.start()


def _plan(service: str, more: str | None, **fixed) -> Plan:
    """Returns a plan; `CALLER_SETTINGS` are the caller's, the rest is for the worker."""
    given_settings = settings_of(more or "")
    own = {name: given_settings.pop(name) for name in CALLER_SETTINGS if name in given_settings}
    query = "&".join(f"{name}={value}" for name, value in given_settings.items())
    return Plan(path=f"/s/{service}/job", query=query, **own, **fixed)


@given(
    parsers.re(
        r'(?P<count>\d+) callers send (?P<method>[A-Z]+) requests to "(?P<service>[^"]+)"'
        r"( with (?P<more>.+))?"
    )
)
@when(
    parsers.re(
        r'(?P<count>\d+) callers send (?P<method>[A-Z]+) requests to "(?P<service>[^"]+)"'
        r"( with (?P<more>.+))?"
    )
)
def call_service(cluster, crowd, count, method, service, more) -> None:
    _start(cluster, crowd, count=int(count), plan=_plan(service, more, method=method))


@given(
    parsers.re(
        r'(?P<count>\d+) callers send keyed requests to "(?P<service>[^"]+)"'
        r" and retry them through other instances( with (?P<more>.+))?"
    )
)
def call_keyed(cluster, crowd, count, service, more) -> None:
    _start(cluster, crowd, count=int(count), plan=_plan(service, more, keyed=True))


@given(
    parsers.re(
        r"(?P<count>\d+) callers that never leave an instance out send POST requests"
        r' to "(?P<service>[^"]+)"( with (?P<more>.+))?'
    )
)
def call_stubbornly(cluster, crowd, count, service, more) -> None:
    _start(cluster, crowd, count=int(count), plan=_plan(service, more, rest_s=0.0))


@given(parsers.parse('{count:d} callers submit tasks of "{service}"'))
def submit_tasks(cluster, crowd, count, service) -> None:
    plan = Plan(path="/v1/tasks", keyed=True, task_of=service, pause_s=0.2)
    _start(cluster, crowd, count=count, plan=plan)


@when("the callers stop")
def stop_callers(crowd) -> None:
    crowd.stop()


@when("the callers give up on frozen instances and stop")
def thaw_and_stop(cluster, crowd) -> None:
    for name in cluster.entries:
        if cluster.launcher.processes[name].frozen:
            cluster.launcher.thaw(name)
    crowd.stop()


@when(parsers.parse("{count:d} more requests were answered"))
def more_answers(crowd, count) -> None:
    before = crowd.count(ANSWERED)
    wait_until(lambda: crowd.count(ANSWERED) >= before + count, f"{count} more answers")


@when(parsers.parse("{count:d} more requests were refused"))
def more_refusals(crowd, count) -> None:
    before = crowd.count(REFUSED)
    wait_until(lambda: crowd.count(REFUSED) >= before + count, f"{count} more refusals")


@when(parsers.parse("{count:d} more requests were refused as {outcome}"))
def more_refusals_as(crowd, count, outcome) -> None:
    def refused() -> int:
        return sum(r.how == REFUSED and r.outcome == outcome for r in crowd.records())

    before = refused()
    wait_until(lambda: refused() >= before + count, f"{count} more refusals as {outcome}")


@when(parsers.parse("{count:d} more requests ended"))
def more_ends(crowd, count) -> None:
    before = len(crowd.records())
    wait_until(lambda: len(crowd.records()) >= before + count, f"{count} more requests end")


@when(
    parsers.parse(
        'a slow caller asks "{entry}" for an answer of {size:d} bytes from "{service}"'
        " and reads {first:d} bytes"
    )
)
def ask_slowly(cluster, crowd, entry, size, service, first) -> None:
    target = f"/s/{service}/large?answer_bytes={size}&work_ms=1"
    reader = SlowReader(address=cluster.address(resolve(cluster, entry)), target=target)
    reader.read(first)
    crowd.slow.append(reader)


@when("the slow callers read on to the end")
def read_on(crowd) -> None:
    for reader in crowd.slow:
        reader.read_rest()


@then("every slow caller sees that its answer is broken")
def answers_are_broken(crowd) -> None:
    for reader in crowd.slow:
        assert reader.declared > 0
        assert not reader.is_complete, f"{reader.received} of {reader.declared} bytes"


@then("every slow caller has its complete answer")
def answers_are_complete(crowd) -> None:
    for reader in crowd.slow:
        assert reader.is_complete, f"{reader.received} of {reader.declared} bytes"


@when(
    parsers.re(
        r'a caller sends the body "(?P<body>[^"]+)" under (?P<which>a new|the same) key'
        r' to "(?P<service>[^"]+)"'
    )
)
def send_keyed(cluster, crowd, body, which, service) -> None:
    """Goes through each instance in turn, a further one with every such step."""
    key = uuid.uuid4().hex if which == "a new" else crowd.single[-1].key
    entry = cluster.entries[len(crowd.single) % len(cluster.entries)]

    def send() -> Record | None:
        """Returns the answer; while the first request's record is not complete, none."""
        record = send_once(
            entry=entry,
            address=cluster.address(entry),
            method="POST",
            target=f"/s/{service}/job?nonce={key}&work_ms=1",
            body=body.encode(),
            headers={"Idempotency-Key": key},
            nonce=key,
        )
        return None if record.status == IN_PROGRESS else record

    crowd.single.append(wait_until(send, "the first request with the key ended"))


@then(parsers.parse("the last caller is refused with status {status:d}"))
def last_is_refused(crowd, status) -> None:
    assert (crowd.single[-1].how, crowd.single[-1].status) == (REFUSED, status)


@then("the last caller has the answer to the first body")
def last_is_replayed(crowd) -> None:
    first, last = crowd.single[0], crowd.single[-1]
    assert last.how == ANSWERED
    assert last.answer()["body_sha256"] == first.body_hash
    assert last.body == first.body


@then("no caller saw a broken answer")
def none_broken(crowd) -> None:
    broken = [r for r in crowd.records() if r.how == BROKEN]
    assert not broken, [(r.entry, r.detail, r.sent_s) for r in broken[:5]]


@then("some callers found no connection or were refused as not run")
def some_not_run(crowd) -> None:
    assert any(r.how == NOT_CONNECTED or r.outcome == "not_run" for r in crowd.records())


@then("the callers saw no refusal but those of a stopping instance")
def only_stopping(crowd) -> None:
    others = [r for r in crowd.records() if r.how == REFUSED and b"is stopping" not in r.body]
    assert not others, [(r.entry, r.status, r.body) for r in others[:5]]


@then("every submitted task finished once")
def tasks_finished(cluster, crowd) -> None:
    accepted = {
        json.loads(r.body)["task"] for r in crowd.records() if r.how == ANSWERED and r.status == 202
    }
    assert accepted

    def ends() -> list[str]:
        runs = read_runs(cluster.events())
        return [run.task for run in runs if run.how == "finished" and run.task in accepted]

    wait_until(lambda: accepted <= set(ends()), "every accepted task finishes")
    assert len(ends()) == len(accepted)
