"""Steps of operators who race on one document, and the verdict on P10."""

import itertools
import random
import threading

import attrs
import pytest
from pytest_bdd import given, parsers, then, when

from bench.launcher import Process
from bench.regions import usable
from bench.small_cluster import wait_until
from bench.submitters import SEED, boot_s
from fescuerudder.client import Client, ClientError, OutcomeUnknownError

WATCH_S = 0.05
CALL_S = 1.0


@attrs.frozen(kw_only=True)
class Accepted:
    """A change that an instance accepted.

    Args:
        base: revision that it replaced.
        revision: its own revision.
        marker: memory size in its document, different in every change.
        answered_s: time since boot when the answer arrived.
    """

    base: int
    revision: int
    marker: int
    answered_s: float


@attrs.frozen(kw_only=True)
class Sighting:
    """The revision that an instance showed.

    Args:
        entry: instance.
        pid: its process.
        sent_s: time since boot when it was asked.
        answered_s: time since boot when it answered.
        revision: revision of its view.
        fresh: whether it could read the store.
    """

    entry: str
    pid: int
    sent_s: float
    answered_s: float
    revision: int
    fresh: bool


class Contest:
    """Operators that race on one document, and watchers of all instances."""

    def __init__(self) -> None:
        self.accepted: list[Accepted] = []
        self.lost = 0
        self.unknown = 0
        self.read: list[tuple[int, int]] = []
        self.seen: list[Sighting] = []
        self._markers = itertools.count(1000)
        self._stopped = threading.Event()
        self._ended = threading.Event()
        self._operators: list[threading.Thread] = []
        self._watchers: list[threading.Thread] = []

    def start(self, cluster, service: str, count: int) -> None:
        """Starts operators, and one watcher for each instance."""
        for number in range(count):
            rng = random.Random(SEED + number)
            self._run(self._operators, self._operate, cluster, service, rng)
        for entry in cluster.entries:
            self._run(self._watchers, self._watch, cluster, entry)

    def stop_operators(self) -> None:
        """Lets each operator end its change."""
        self._stopped.set()
        for thread in self._operators:
            thread.join()

    def stop(self) -> None:
        """Ends operators and watchers."""
        self.stop_operators()
        self._ended.set()
        for thread in self._watchers:
            thread.join()

    def latest(self) -> int:
        """Returns the highest accepted revision."""
        return max((change.revision for change in self.accepted), default=0)

    @staticmethod
    def _run(group, target, *args) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)
        group.append(thread)
        thread.start()

    def _operate(self, cluster, service: str, rng: random.Random) -> None:
        while not self._stopped.is_set():
            names = usable(cluster)
            try:
                self._change(cluster.client(rng.choice(names)), service)
            except OutcomeUnknownError:
                self.unknown += 1
            except ClientError as exc:
                self.lost += exc.status == 412
            self._stopped.wait(rng.uniform(0.0, 0.05))

    def _change(self, client: Client, service: str) -> None:
        """Reads the document and replaces exactly that revision."""
        found = client.get_service(service)
        base, document = found["revision"], found["document"]
        self.read.append((base, document["size"]["memory_mb"]))
        marker = next(self._markers)
        size = {**document["size"], "memory_mb": marker}
        answer = client.put_service(service, {**document, "size": size}, revision=base)
        self.accepted.append(
            Accepted(base=base, revision=answer["revision"], marker=marker, answered_s=boot_s())
        )

    def _watch(self, cluster, entry: str) -> None:
        key = cluster.launcher.deployment.operator_key
        client = Client(server=cluster.address(entry), operator_key=key, timeout_s=CALL_S)
        process = cluster.launcher.processes[entry]
        while not self._ended.wait(WATCH_S):
            self._sight(client, entry, process)
        # The last change may have been accepted after the reading before.
        self._sight(client, entry, process)

    def _sight(self, client: Client, entry: str, process: Process) -> None:
        """Notes what an instance shows; a restart during the reading makes it void."""
        pid, sent_s = process.handle.pid, boot_s()
        try:
            status = client.read_status()
        except ClientError:
            return
        if process.handle.pid == pid:
            self.seen.append(
                Sighting(
                    entry=entry,
                    pid=pid,
                    sent_s=sent_s,
                    answered_s=boot_s(),
                    revision=status["revision"],
                    fresh=status["fresh"],
                )
            )


@pytest.fixture
def contest():
    """Operators and watchers of this scenario."""
    found = Contest()
    yield found
    found.stop()


@given(parsers.parse('{count:d} operators race to change the document "{service}"'))
def start_contest(cluster, contest, service, count) -> None:
    contest.start(cluster, service, count)


@when(parsers.parse("{n:d} more changes were accepted"))
def more_changes(contest, n) -> None:
    before = len(contest.accepted)
    wait_until(lambda: len(contest.accepted) >= before + n, f"{n} more changes are accepted")


@when("the operators stop")
def stop_operators(contest) -> None:
    contest.stop_operators()


@when(parsers.re(r'"(?P<entry>[^"]+)" can no longer confirm its view'))
def view_is_stale(cluster, entry) -> None:
    wait_until(lambda: cluster.status(entry).get("fresh") is False, f"{entry} has a stale view")


@then("every instance shows the last accepted revision or a later one")
def all_show_latest(cluster, contest) -> None:
    latest = contest.latest()

    def shown() -> bool:
        states = [cluster.status(entry) for entry in cluster.entries]
        return all(s.get("fresh") and s["revision"] >= latest for s in states)

    wait_until(shown, f"all instances show revision {latest}")


@then("exactly one operator won each revision")
def one_winner(contest) -> None:
    changes = sorted(contest.accepted, key=lambda change: change.revision)
    print(f"{len(changes)} changes accepted, {contest.lost} lost, {contest.unknown} unknown")
    assert changes and contest.lost, "the operators did not race"
    assert len({c.revision for c in changes}) == len(changes)
    assert len({c.base for c in changes}) == len(changes)
    shown = dict(contest.read)
    assert [pair for pair in set(contest.read) if shown[pair[0]] != pair[1]] == []
    for change in changes:
        assert change.revision > change.base
        assert shown.get(change.revision, change.marker) == change.marker


@then("no instance ever showed an earlier revision than before")
def never_back(contest) -> None:
    """A started instance shows nothing until its first reading, which is not fresh yet."""
    contest.stop()
    for entry in {s.entry for s in contest.seen}:
        own = sorted((s for s in contest.seen if s.entry == entry), key=lambda s: s.sent_s)
        assert own
        highest: dict[int, int] = {}
        highest_fresh = 0
        for seen in own:
            assert seen.revision >= highest.get(seen.pid, 0), seen
            highest[seen.pid] = seen.revision
            if seen.fresh:
                assert seen.revision >= highest_fresh, seen
                highest_fresh = seen.revision


@then("every fresh instance showed each accepted revision, the slowest is printed")
def print_slowest(contest) -> None:
    """The 3 s bound is tested on a manual clock."""
    slowest: dict[str, float] = {}
    for entry in {s.entry for s in contest.seen}:
        fresh = [s for s in contest.seen if s.entry == entry and s.fresh]
        for change in contest.accepted:
            late = [
                s.sent_s - change.answered_s
                for s in fresh
                if s.sent_s > change.answered_s and s.revision < change.revision
            ]
            slowest[entry] = max([slowest.get(entry, 0.0), *late])
        assert max(s.revision for s in fresh) >= contest.latest()
    print("latest showing of a replaced revision:", {e: f"{s:.2f} s" for e, s in slowest.items()})
