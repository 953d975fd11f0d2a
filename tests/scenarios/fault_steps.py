"""Steps that make processes, routes and stand-ins fail, and end the failure."""

import shlex
import time

from pytest_bdd import parsers, then, when

from bench.small_cluster import wait_until

PLANNED_STOP_S = 60.0
OWNER = "the owner of the rack"


def resolve(cluster, name: str) -> str:
    """Returns the process that a step names; the owner is looked up at that moment."""
    if name != OWNER:
        return name.strip('"')
    return wait_until(cluster.owner, "an instance owns the rack")


def settings_of(text: str) -> dict:
    """Returns `probability=0.3, delay_ms=500` as a dict."""
    pairs = (item.split("=", 1) for item in shlex.split(text.replace(",", " ")))
    return {name: _value(value) for name, value in pairs}


def _value(text: str):
    if text in ("true", "false"):
        return text == "true"
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        return text


@when(parsers.re(r'(?P<name>the owner of the rack|"[^"]+") is killed'))
def kill(cluster, name) -> None:
    cluster.launcher.kill(resolve(cluster, name))


@when(parsers.re(r'(?P<name>"[^"]+") is killed while it runs a request'))
def kill_at_work(cluster, name) -> None:
    """Kills a worker at a moment at which requests are lost after they began to run."""
    worker = resolve(cluster, name)

    def is_at_work() -> bool:
        events = [e["event"] for e in cluster.new_events() if e["worker"] == worker]
        return events.count("request") > events.count("completed") + events.count("request_cut")

    wait_until(is_at_work, f"{worker} runs a request")
    cluster.launcher.kill(worker)


@when(parsers.re(r'(?P<name>"[^"]+") is started again'))
def start_again(cluster, name) -> None:
    cluster.launcher.restart(resolve(cluster, name))


@when(parsers.re(r'(?P<name>the owner of the rack|"[^"]+") is frozen'))
def freeze(cluster, name) -> None:
    cluster.launcher.freeze(resolve(cluster, name))


@when(parsers.re(r'(?P<name>"[^"]+") is thawed'))
def thaw(cluster, name) -> None:
    cluster.launcher.thaw(resolve(cluster, name))


@when(
    parsers.re(r'(?P<name>the owner of the rack|"[^"]+") is asked to stop'),
    target_fixture="stopping",
)
def ask_to_stop(cluster, name) -> str:
    stopping = resolve(cluster, name)
    cluster.epoch_before_stop = cluster.epoch()
    cluster.launcher.terminate(stopping)
    return stopping


@when("it has ended by itself")
def has_ended(cluster, stopping) -> None:
    process = cluster.launcher.processes[stopping]
    wait_until(lambda: not process.is_running, f"{stopping} ends", limit_s=PLANNED_STOP_S)
    assert process.handle.returncode == 0, cluster.launcher.log_tail(stopping)


@then("another instance owns the rack by planned handover")
def handed_over(cluster, stopping) -> None:
    """A claim after the owner's end would have taken a further epoch."""
    owner = wait_until(cluster.owner, "an instance owns the rack")
    assert owner != stopping
    assert cluster.epoch() == cluster.epoch_before_stop + 1


@when("all entry instances are replaced one after another")
def replace_all(cluster) -> None:
    for name in cluster.entries:
        process = cluster.launcher.processes[name]
        cluster.launcher.terminate(name)
        wait_until(lambda p=process: not p.is_running, f"{name} ends", limit_s=PLANNED_STOP_S)
        assert process.handle.returncode == 0, cluster.launcher.log_tail(name)
        cluster.launcher.restart(name)
        cluster.wait_serving()


@when(parsers.re(r'the route "(?P<route>[^"]+)" is cut'))
def cut(cluster, route) -> None:
    cluster.launcher.cut(route)


@when(parsers.re(r'the route "(?P<route>[^"]+)" refuses connections'))
def cut_refusing(cluster, route) -> None:
    cluster.launcher.cut(route, new="refuse")


@when(parsers.re(r'the route "(?P<route>[^"]+)" is healed'))
def heal(cluster, route) -> None:
    cluster.launcher.heal(route)


@when(parsers.re(r'the fault "(?P<mode>\w+)" is set at every worker( with (?P<more>.+))?'))
def fault_workers(cluster, mode, more) -> None:
    for name in cluster.workers:
        cluster.launcher.fault(name, mode=mode, **settings_of(more or ""))


@when(
    parsers.re(r'the fault "(?P<mode>\w+)" is set at "(?P<name>[^"]+)"( with (?P<more>.+))?'),
)
def fault_one(cluster, mode, name, more) -> None:
    cluster.launcher.fault(name, mode=mode, **settings_of(more or ""))


@when(parsers.re(r'the worker "(?P<name>[^"]+)" announces that it leaves'), target_fixture="left_s")
def announce_leaving(cluster, name) -> float:
    """Only its own status says so; returns the time since boot."""
    cluster.launcher.fault(name, mode="leave")
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@when(parsers.re(r'the list shows "(?P<name>[^"]+)" as leaving'), target_fixture="left_s")
def list_leaving(cluster, name) -> float:
    launcher = cluster.launcher
    launcher.call("POST", launcher.member_list, "/v1/members", {"id": name, "state": "leaving"})
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@when(parsers.re(r'the worker "(?P<name>[^"]+)" is back in service'))
def return_worker(cluster, name) -> None:
    cluster.launcher.fault(name, mode="ok")
    cluster.launcher.register(name)
