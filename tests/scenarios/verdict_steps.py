"""Verdicts from the workers' event files and the callers' own records alone."""

from collections import Counter

from pytest_bdd import parsers, then

from bench.callers import ANSWERED, BROKEN, NOT_CONNECTED, REFUSED
from bench.small_cluster import wait_until
from bench.witness import cut_requests, repeated_requests, requests_after

QUIET_ANSWERS = 800
"""An instance avoids a worker that refused it for a second, which is no proof of the end."""


def executions(events) -> Counter:
    """Returns how often each attempt of a caller ran at a worker, by its X-Request-Id."""
    ran = (event for event in events if event["event"] == "request")
    return Counter(event["request_id"].split(".")[0] for event in ran)


def _numbers(crowd) -> str:
    counted = Counter((r.how, r.status, r.outcome) for r in crowd.records())
    return ", ".join(f"{key}: {count}" for key, count in sorted(counted.items()))


@then(parsers.parse("at least {count:d} requests were answered"))
def enough_answers(crowd, count) -> None:
    print("callers saw", _numbers(crowd))
    assert crowd.count(ANSWERED) >= count, _numbers(crowd)


@then(parsers.parse("at least {count:d} requests were refused as {outcome}"))
def enough_refusals(crowd, count, outcome) -> None:
    found = sum(r.how == REFUSED and r.outcome == outcome for r in crowd.records())
    assert found >= count, _numbers(crowd)


@then("every answer belongs to the request it was given for and is complete")
def answers_match(crowd) -> None:
    answered = [r for r in crowd.records() if r.how == ANSWERED and r.status == 200]
    assert answered, _numbers(crowd)
    for record in answered:
        said = record.answer()
        assert said["body_sha256"] == record.body_hash
        assert f"nonce={record.nonce}" in said["target"]
        if not record.key:
            assert said["request_id"].split(".")[0] == record.request_id


@then("nothing that was refused as not run has run")
def refusals_are_true(cluster, crowd) -> None:
    ran = executions(cluster.events())
    refused = [r for r in crowd.records() if r.outcome == "not_run" or r.how == NOT_CONNECTED]
    false = [r for r in refused if ran[r.request_id]]
    assert not false, [(r.entry, r.status, r.body[:200]) for r in false[:5]]


@then("no request that must not be repeated ran twice")
def ran_at_most_once(cluster, crowd) -> None:
    events = cluster.events()
    nonces = {r.nonce for r in crowd.records()}
    seen = {e["nonce"] for e in events if e["event"] == "request"}
    assert nonces & seen, "no request of these callers reached a worker"
    assert repeated_requests(events) == []


@then("every answered request ran")
def answered_ran(cluster, crowd) -> None:
    ran = {e["nonce"] for e in cluster.events() if e["event"] == "request"}
    missing = [r for r in crowd.records() if r.how == ANSWERED and r.nonce not in ran]
    assert not missing, missing[:3]


@then("no worker cut a request off")
def none_cut(cluster) -> None:
    assert cut_requests(cluster.new_events()) == []


@then("some requests failed with an unknown outcome after they had run")
def some_unknown_ran(cluster, crowd) -> None:
    """Shows that the failure was injected: without it the scenario would prove nothing."""
    ran = executions(cluster.events())
    unknown = [r for r in crowd.records() if r.outcome == "unknown" or r.how == BROKEN]
    count = sum(bool(ran[r.request_id]) for r in unknown)
    print("unknown after they had run:", count, _numbers(crowd))
    assert count > 0


@then(parsers.re(r'requests to "(?P<worker>[^"]+)" come to an end'))
def requests_end(cluster, worker, left_s, crowd) -> None:
    """Prints the time of the last request; the 3 s bound is tested on a manual clock."""

    def last_after() -> float:
        late = requests_after(cluster.events(), worker=worker, boot_s=left_s)
        return max((f.boot_s for f in late), default=left_s)

    def is_quiet() -> bool:
        before, answered = last_after(), crowd.count(ANSWERED)
        wait_until(lambda: crowd.count(ANSWERED) >= answered + QUIET_ANSWERS, "more answers")
        return last_after() == before

    wait_until(is_quiet, f"{worker} gets no more requests while others are answered")
    print(f"last request reached {worker} {last_after() - left_s:.3f} s after it was leaving")


@then(parsers.re(r'requests reach "(?P<worker>[^"]+)" again'))
def requests_return(cluster, worker) -> None:
    before = sum(e["worker"] == worker for e in cluster.events() if e["event"] == "request")

    def again() -> bool:
        events = cluster.events()
        return sum(e["worker"] == worker for e in events if e["event"] == "request") > before

    wait_until(again, f"{worker} runs requests")
