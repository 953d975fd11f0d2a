"""Steps that submit tasks, follow them, and take racks from their owners."""

import pytest
from pytest_bdd import given, parsers, then, when

from bench.regions import Regions, owner_of
from bench.small_cluster import wait_until
from bench.submitters import Work, boot_s
from tests.scenarios.fault_steps import settings_of

LIST_FIELDS = ("zones",)
SIZE_FIELDS = ("processors", "memory_mb", "accelerators")


@pytest.fixture(scope="session")
def regions(tmp_path_factory):
    """The cluster of two regions, kept for further scenarios."""
    running = Regions(make_directory=tmp_path_factory.mktemp)
    yield running
    running.close()


@pytest.fixture
def work():
    """Tasks of this scenario; what still runs at its end is cancelled."""
    found = Work()
    yield found
    if found.cluster is None:
        return
    launcher = found.cluster.launcher
    for name, process in launcher.processes.items():
        if process.frozen:
            launcher.thaw(name)
    launcher.fault("table", mode="ok")
    for name in found.cluster.entries:
        launcher.heal(f"store:{name}")
    found.abandon()


@given("a cluster of two regions", target_fixture="cluster")
def two_regions(regions, work):
    work.cluster = regions.get()
    work.started_s = boot_s()
    return work.cluster


@given(parsers.re(r'the batch document "(?P<name>[^"]+)" with (?P<more>.+)'))
def batch_document(cluster, name, more) -> None:
    fields = settings_of(more)
    size = {key: fields.pop(key) for key in SIZE_FIELDS if key in fields}
    lists = {key: [fields.pop(key)] for key in LIST_FIELDS if key in fields}
    document = {"name": name, "team": "press", "kind": "batch", "size": size, **fields, **lists}
    if cluster.documents.get(name) != document:
        cluster.apply(document)
    wait_until(lambda: _all_know(cluster, name), f"all instances know {name}")


def _all_know(cluster, name: str) -> bool:
    revisions = [cluster.status(entry).get("revision", 0) for entry in cluster.entries]
    return min(revisions) == max(revisions) > 0


@given(parsers.re(r'(?P<n>\d+) tasks? of "(?P<service>[^"]+)" that (?:takes|take) (?P<more>.+)'))
@when(
    parsers.re(
        r'(?P<n>\d+) more tasks? of "(?P<service>[^"]+)" that (?:takes|take) (?P<more>.+)'
        r" (?:is|are) submitted"
    )
)
def submit(work, n, service, more) -> None:
    work.submit_many(service, int(n), settings_of(more))


@given(
    parsers.re(
        r'(?P<n>\d+) submitters that keep submitting tasks of "(?P<service>[^"]+)"'
        r" that take (?P<more>.+)"
    )
)
def submit_stream(work, n, service, more) -> None:
    work.start_stream(service, int(n), settings_of(more))


@when("the submitters stop")
def stop_submitters(work) -> None:
    work.stop()


@given(parsers.parse("{n:d} tasks run"))
@when(parsers.parse("{n:d} tasks run"))
def tasks_run(work, n) -> None:
    wait_until(lambda: len(work.running()) >= n, f"{n} tasks run")


@when(parsers.re(r'(?P<n>\d+) tasks of "(?P<service>[^"]+)" run'))
def tasks_of_service_run(work, n, service) -> None:
    def count() -> int:
        return sum(run.service == service for run in work.running())

    wait_until(lambda: count() >= int(n), f"{n} tasks of {service} run")


@when(parsers.parse("{n:d} more tasks finished"))
def more_finished(work, n) -> None:
    before = sum(work.finished().values())
    wait_until(lambda: sum(work.finished().values()) >= before + n, f"{n} more tasks finish")


@when(parsers.re(r'(?P<n>\d+) more starts of "(?P<service>[^"]+)" were recorded'))
def more_starts(work, n, service) -> None:
    before = len(work.runs(service))
    wait_until(lambda: len(work.runs(service)) >= before + int(n), f"{n} more starts of {service}")


@when(
    parsers.re(r'the owner of "(?P<rack>[^"]+)" is (?P<how>frozen|killed|cut off from the store)')
)
def take_owner(cluster, work, rack, how) -> None:
    owner = wait_until(lambda: owner_of(cluster, rack), f"an instance owns {rack}")
    work.former = owner
    if how == "frozen":
        cluster.launcher.freeze(owner)
    elif how == "killed":
        cluster.launcher.kill(owner)
    else:
        cluster.launcher.cut(f"store:{owner}")


@when(parsers.re(r'another instance owns "(?P<rack>[^"]+)"'))
def other_owns(cluster, work, rack) -> None:
    since_s = boot_s()
    wait_until(
        lambda: owner_of(cluster, rack) not in (None, work.former), f"another one owns {rack}"
    )
    print(f"{rack} has another owner {boot_s() - since_s:.1f} s later")


@when("the former owner is thawed")
def thaw_former(cluster, work) -> None:
    cluster.launcher.thaw(work.former)


@when("the former owner reaches the store again")
def heal_former(cluster, work) -> None:
    cluster.launcher.heal(f"store:{work.former}")


@when("the former owner is started again")
def restart_former(cluster, work) -> None:
    cluster.launcher.restart(work.former)


@when("the former owner has a live session again")
def former_is_back(cluster, work) -> None:
    def is_back() -> bool:
        status = cluster.status(work.former)
        return bool(status.get("fresh") and status["session"]["live"])

    wait_until(is_back, f"{work.former} has a live session")


@when(parsers.re(r'a worker of "(?P<rack>[^"]+)" that runs tasks is cut off'))
def cut_worker(cluster, work, rack) -> None:
    busy = {run.worker for run in work.running()}
    labels = {w.name: w.labels["rack"] for w in cluster.launcher.workers}
    work.cut = sorted(name for name in busy if labels[name] == rack)[0]
    work.cut_runs = [run for run in work.running() if run.worker == work.cut]
    cluster.launcher.cut(f"control:{work.cut}")


@when("it returns while its tasks still run")
def heal_running(cluster, work) -> None:
    still = [run for run in work.running() if run.worker == work.cut]
    assert still, "the tasks ended before the worker returned; the scenario proves nothing"
    cluster.launcher.heal(f"control:{work.cut}")


@when("its leases have expired")
def leases_expired(work) -> None:
    def is_idle() -> bool:
        return not any(run.worker == work.cut for run in work.running())

    wait_until(is_idle, f"{work.cut} runs nothing more")


@when("its tasks run elsewhere")
def run_elsewhere(work) -> None:
    lost = {run.task for run in work.cut_runs}

    def started() -> bool:
        return lost <= {run.task for run in work.runs() if run.worker != work.cut}

    since_s = boot_s()
    wait_until(started, "the tasks of the lost worker run elsewhere")
    print(f"the tasks of the lost worker ran elsewhere {boot_s() - since_s:.1f} s later")


@when("it returns")
def heal_worker(cluster, work) -> None:
    cluster.launcher.heal(f"control:{work.cut}")


@when(parsers.re(r'all running tasks(?: of "(?P<service>[^"]+)")? are cancelled'))
def cancel_running(work, service) -> None:
    work.cancel_many({run.task for run in work.running() if service in (None, run.service)})


@when(parsers.parse('{waves:d} waves of {n:d} tasks of "{service}" are submitted and cancelled'))
def cancel_waves(work, waves, n, service) -> None:
    since_s = boot_s()
    for _ in range(waves):
        work.cancel_many(work.submit_many(service, n, {"work_s": 30}))
    print(f"{waves * n} tasks submitted and cancelled in {boot_s() - since_s:.1f} s")


@then(parsers.parse("at least {n:d} tasks were evicted with a checkpoint"))
def evicted(work, n) -> None:
    found = sum(run.how == "checkpointed" for run in work.runs())
    print("evictions", found)
    assert found >= n


@then(parsers.re(r"a task of \"(?P<service>[^\"]+)\" was refused at once as too large"))
def refused_early(work, service) -> None:
    assert any(name == service and "large enough" in text for name, text in work.refused)


@then(parsers.re(r"no task of \"(?P<service>[^\"]+)\" ever started"))
def never_started(work, service) -> None:
    assert work.runs(service) == []


@when(parsers.re(r"(?P<n>\d+) of the running tasks are cancelled"))
def cancel_some(work, n) -> None:
    work.cancel_many(sorted({run.task for run in work.running()})[: int(n)])


@when(
    parsers.re(r'the path of "(?P<entry>[^"]+)" to the store takes (?P<delay_ms>\d+) ms each way')
)
def slow_path(cluster, entry, delay_ms) -> None:
    cluster.launcher.delay(f"store:{entry}", delay_ms=float(delay_ms))


@when(
    parsers.re(
        r'the store is down until the running tasks of "(?P<service>[^"]+)" have renewed'
        r" their leases for (?P<seconds>\d+) s"
    )
)
def store_down(cluster, work, service, seconds) -> None:
    """The workers' own records of leases tell the time, beyond the lease of 15 s."""
    running = {run.task for run in work.running() if run.service == service}
    leases = {run.task: run.lease_s for run in work.running()}
    from_s = min(leases[task] for task in running)
    cluster.launcher.fault("table", mode="down")
    wanted_s = from_s + float(seconds)

    def all_renewed() -> bool:
        now = {run.task: run.lease_s for run in work.running()}
        assert running <= now.keys(), "a task ended during the outage"
        return all(now[task] >= wanted_s for task in running)

    wait_until(all_renewed, f"leases of {service} reach {seconds} s beyond the first")
    cluster.launcher.fault("table", mode="ok")
