"""Settings of a process that serves jobs."""

import attrs

from fescuerudder.jobs.policy import DEFAULT_POLICY, SchedulingPolicy


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of one instance, from the platform's settings file and the command line.

    Args:
        instance: id of the instance.
        zone: availability zone of the instance.
        region: region of the zone.
        callers: `ip:port` for callers.
        health: `ip:port` for health checks.
        metrics_port: port of `ip` for metrics.
        ip: address at which peers reach the instance.
        first_port: first of the ports reserved for messages between instances.
        store: `ip:port` of the row store.
        advice: `ip:port` of the advice service, empty if there is none.
        policy: choices of the operators that apply while this instance leads.
        cores: processor share, in cores.
        max_lease_s: longest lease that a worker grants, in seconds.
        grace_s: time between the order to stop and the kill, in seconds.
    """

    instance: str
    zone: str
    region: str
    callers: str
    health: str
    metrics_port: int
    ip: str
    first_port: int
    store: str
    cores: float
    max_lease_s: float
    grace_s: float
    advice: str = ""
    policy: SchedulingPolicy = DEFAULT_POLICY
