"""Steps of operators who change zones, and the verdict on P4."""

import threading

import attrs
import pytest
from pytest_bdd import parsers, then, when

from bench.regions import owner_of, usable
from bench.small_cluster import wait_until
from bench.submitters import boot_s
from bench.witness import Finding, starts_after
from fescuerudder.client import ClientError
from tests.scenarios.work_steps import more_starts

START_BOUND_S = 3.0

OWNER_DELAY_MS = 100
"""Makes it likely that the owner is frozen while an assignment is on its way."""


@attrs.frozen(kw_only=True)
class ZoneChange:
    """One change of a zone as its operator saw it.

    Args:
        zone: the zone.
        state: `in` or `out`.
        sent_s: time since boot when it was sent.
        answered_s: time since boot when the answer arrived.
        revision: accepted revision; 0 if provisional; None without a clear answer.
    """

    zone: str
    state: str
    sent_s: float
    answered_s: float
    revision: int | None


class ZoneChanges:
    """Sends changes of zones and keeps them. Safe for several threads."""

    def __init__(self) -> None:
        self.changes: list[ZoneChange] = []

    def put(self, cluster, entry: str, zone: str, state: str) -> ZoneChange | None:
        """Sends one change; a refused one leaves no record."""
        sent_s = boot_s()
        try:
            answer = cluster.client(entry).put_zone(zone, state=state)
        except ClientError as exc:
            if exc.status in (412, 503):
                return None
            answer = {"revision": None}
        revision = 0 if answer.get("provisional") else answer["revision"]
        change = ZoneChange(
            zone=zone, state=state, sent_s=sent_s, answered_s=boot_s(), revision=revision
        )
        self.changes.append(change)
        return change

    def closed(self, zone: str) -> list[tuple[float, float]]:
        """Returns from when until when no task may start in the zone.

        An `in` may have taken effect as soon as it was sent, also one without a clear answer.
        """
        own = [c for c in self.changes if c.zone == zone]
        outs = [c for c in own if c.state == "out" and c.revision is not None]
        found = []
        for out in outs:
            later = [c.sent_s for c in own if c.state == "in" and self._may_follow(c, out)]
            found.append((out.answered_s + START_BOUND_S, min(later, default=float("inf"))))
        return found

    @staticmethod
    def _may_follow(change: ZoneChange, out: ZoneChange) -> bool:
        if change.revision and out.revision:
            return change.revision > out.revision
        return change.answered_s > out.sent_s


@pytest.fixture
def zone_changes():
    """Changes of zones in this scenario."""
    return ZoneChanges()


def _put_anywhere(cluster, zone_changes, zone: str, state: str):
    def put():
        for entry in usable(cluster):
            change = zone_changes.put(cluster, entry, zone, state)
            if change is not None and change.revision:
                return change
        return None

    return wait_until(put, f"an instance accepts {zone} {state}")


@when(parsers.re(r'"(?P<zone>[^"]+)" is taken out at any instance'))
def take_out(cluster, zone_changes, zone) -> None:
    _put_anywhere(cluster, zone_changes, zone, "out")


@when(parsers.re(r'"(?P<zone>[^"]+)" is returned at any instance'))
def take_in(cluster, zone_changes, zone) -> None:
    _put_anywhere(cluster, zone_changes, zone, "in")


@when(parsers.re(r'"(?P<zone>[^"]+)" is taken out at "(?P<entry>[^"]+)"'))
def take_out_at(cluster, zone_changes, zone, entry) -> None:
    change = wait_until(
        lambda: zone_changes.put(cluster, entry, zone, "out"), f"{entry} accepts {zone} out"
    )
    assert change.revision


@when(parsers.re(r'"(?P<zone>[^"]+)" is taken out provisionally at "(?P<entry>[^"]+)"'))
def take_out_provisionally(cluster, zone_changes, zone, entry) -> None:
    change = wait_until(
        lambda: zone_changes.put(cluster, entry, zone, "out"), f"{entry} accepts {zone} out"
    )
    assert change.revision == 0


@when(parsers.re(r'every instance shows "(?P<zone>[^"]+)" as durably out'))
def durably_out(cluster, zone) -> None:
    def is_out() -> bool:
        for entry in usable(cluster):
            zones = {z["zone"]: z for z in cluster.client(entry).list_zones()["zones"]}
            if zones.get(zone, {}).get("state") != "out" or zones[zone]["provisional"]:
                return False
        return True

    wait_until(is_out, f"all instances show {zone} as out")


@when(
    parsers.re(
        r'two operators change "(?P<zone>[^"]+)" to (?P<states>[a-z, ]+) at two instances at once'
    )
)
def race(cluster, zone_changes, zone, states) -> None:
    """Operators do not wait for each other; a refused change is sent again until accepted."""
    begin = threading.Barrier(2)

    def change_all(entry: str) -> None:
        begin.wait()
        for state in states.split(", "):
            wait_until(
                lambda s=state: zone_changes.put(cluster, entry, zone, s),
                f"{entry} accepts {state}",
            )

    threads = [threading.Thread(target=change_all, args=(entry,)) for entry in usable(cluster)[:2]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    own = [c for c in zone_changes.changes if c.zone == zone]
    took_s = max(c.answered_s for c in own) - min(c.sent_s for c in own)
    print(f"the operators' {len(own)} changes took {took_s:.2f} s")


@when(
    parsers.re(
        r'"(?P<zone>[^"]+)" goes out (?P<times>\d+) times while the owner of "(?P<rack>[^"]+)"'
        r" is frozen until the bound"
    )
)
def out_while_frozen(cluster, work, zone_changes, zone, times, rack) -> None:
    """The owner's session outlives the pause, so that only its view keeps it from starting."""
    for _ in range(int(times)):
        _put_anywhere(cluster, zone_changes, zone, "in")
        starts_again(work, zone, "plates-of-kaolack")
        owner = wait_until(lambda: owner_of(cluster, rack), f"an instance owns {rack}")
        cluster.launcher.delay(f"store:{owner}", delay_ms=OWNER_DELAY_MS)
        more_starts(work, 8, "plates-of-kaolack")
        cluster.launcher.freeze(owner)
        _put_anywhere(cluster, zone_changes, zone, "out")
        from_s = zone_changes.changes[-1].answered_s + START_BOUND_S
        wait_until(lambda s=from_s: boot_s() > s, "the bound has passed")
        cluster.launcher.thaw(owner)
        starts_elsewhere(work, zone_changes, 10, "plates-of-thies", zone)
        cluster.launcher.delay(f"store:{owner}", delay_ms=0)


@when(parsers.re(r'no task runs in "(?P<zone>[^"]+)" any more'))
def is_empty(work, zone) -> None:
    since_s = boot_s()
    wait_until(
        lambda: not any(run.zone == zone for run in work.running()), f"no task runs in {zone}"
    )
    print(f"no task ran in {zone} after {boot_s() - since_s:.1f} s")


@when("no instance has a fresh view")
def no_fresh_view(cluster) -> None:
    def is_stale() -> bool:
        states = [cluster.status(entry) for entry in usable(cluster)]
        return all(states) and not any(state["fresh"] for state in states)

    wait_until(is_stale, "no instance has a fresh view")


@when(
    parsers.re(
        r'(?P<n>\d+) tasks of "(?P<service>[^"]+)" started after the bound for "(?P<zone>[^"]+)"'
    )
)
def starts_elsewhere(work, zone_changes, n, service, zone) -> None:
    """Shows that starts go on, so their absence in the zone means something."""

    def went_on() -> bool:
        from_s = max(start for start, _ in zone_changes.closed(zone))
        return sum(run.start_s > from_s for run in work.runs(service)) >= int(n)

    wait_until(went_on, f"{n} starts of {service} after the bound")


@when(parsers.re(r'tasks of "(?P<service>[^"]+)" start in "(?P<zone>[^"]+)" again'))
def starts_again(work, zone, service) -> None:
    from_s = boot_s()

    def started() -> bool:
        return any(r.zone == zone and r.start_s > from_s for r in work.runs(service))

    wait_until(started, f"a task of {service} starts in {zone}")


@then(parsers.re(r'no task started in "(?P<zone>[^"]+)" from 3 s after it was out until it was in'))
def none_started(work, zone_changes, zone) -> None:
    closed = zone_changes.closed(zone)
    runs = work.runs()
    assert closed
    assert any(run.zone == zone for run in runs), "no task ever ran in the zone"
    late: list[Finding] = []
    last = []
    for from_s, until_s in closed:
        found = starts_after(runs, zone=zone, boot_s=from_s)
        late += [finding for finding in found if finding.boot_s < until_s]
        out_s = from_s - START_BOUND_S
        starts = [r.start_s - out_s for r in runs if r.zone == zone and out_s < r.start_s < until_s]
        last.append(max(starts, default=0.0))
    print(f"last starts in {zone} after it was out:", [f"{s:.3f} s" for s in last])
    assert late == []
