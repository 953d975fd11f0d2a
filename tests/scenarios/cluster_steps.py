"""Steps that start a cluster and configure it."""

from pytest_bdd import given, parsers, when

from bench.small_cluster import ZONE, Cluster, Shape, wait_until
from bench.witness import read_runs

PROCESSORS = 32


@given(
    parsers.parse("a cluster of {entries:d} entry instances and {workers:d} workers"),
    target_fixture="cluster",
)
def start_cluster(clusters, entries, workers) -> Cluster:
    return clusters.get(Shape(entries=entries, workers=workers))


@given(
    parsers.parse(
        "a cluster of {entries:d} entry instances and {workers:d} workers"
        " whose list lags {lag_s:g} seconds"
    ),
    target_fixture="cluster",
)
def start_cluster_with_lag(clusters, entries, workers, lag_s) -> Cluster:
    return clusters.get(Shape(entries=entries, workers=workers, lag_s=lag_s))


@given(
    parsers.parse(
        "a cluster of {entries:d} entry instances and {workers:d} workers"
        " that drains for {drain_s:g} seconds"
    ),
    target_fixture="cluster",
)
def start_cluster_with_drain(clusters, entries, workers, drain_s) -> Cluster:
    flags = (("drain_s", drain_s),)
    return clusters.get(Shape(entries=entries, workers=workers, flags=flags))


@given(parsers.parse('the service "{service}" runs on {count:d} workers'))
def run_service(cluster, service, count) -> None:
    """Each replica takes more than half of a worker, so that no worker runs two."""
    document = {
        "name": service,
        "team": "shopfront",
        "kind": "latency-critical",
        "replicas": count,
        "size": {"processors": PROCESSORS // 2 + 1, "memory_mb": 1024},
    }
    if cluster.documents.get(service) != document:
        cluster.apply(document)
        cluster.wait_known()
    cluster.hosting[service] = count
    wait_until(lambda: cluster.hosts(service) >= count, f"{service} runs on {count} workers")


@given(parsers.parse('the batch service "{service}"'))
def define_batch(cluster, service) -> None:
    document = {
        "name": service,
        "team": "press",
        "kind": "batch",
        "size": {"processors": 1, "memory_mb": 256},
    }
    if cluster.documents.get(service) != document:
        cluster.apply(document)
        cluster.wait_known()


@when(parsers.re(r"the zone is (?P<change>taken out of|returned to) service"))
def change_zone(cluster, change) -> None:
    state = "out" if change == "taken out of" else "in"
    cluster.client(cluster.entries[0]).put_zone(ZONE, state=state)


@when(parsers.parse('the document of "{service}" is applied with {count:d} replicas'))
def change_replicas(cluster, service, count) -> None:
    cluster.apply({**cluster.documents[service], "replicas": count})
    cluster.hosting[service] = count


@when(parsers.parse('"{service}" runs on {count:d} workers only'))
def runs_on_fewer(cluster, service, count) -> None:
    def running() -> int:
        runs = read_runs(cluster.events())
        return sum(run.service == service and run.end_s == float("inf") for run in runs)

    wait_until(lambda: running() == count, f"{service} runs on {count} workers")
