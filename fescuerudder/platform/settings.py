"""Decodes the platform's settings file into the settings of a job node."""

import ipaddress
import os
import tomllib
from pathlib import Path
from typing import Any

from fescuerudder import checked
from fescuerudder.errors import SettingsError
from fescuerudder.jobs.nodesettings import NodeSettings
from fescuerudder.jobs.policy import (
    LatencyMargins,
    OverloadOrder,
    SchedulingPolicy,
    parse_choice,
)

SETTINGS_FILE_ENV = "FESCUERUDDER_NODE_FILE"

POLICY_CHOICES = {"overload_order": OverloadOrder, "latency_margins": LatencyMargins}
"""Kinds of the choices in a `SchedulingPolicy`, by field."""


def load_node_settings(
    path: str = "",
    *,
    metrics_port: int,
    overload_order: str = OverloadOrder.VALUE_DENSITY,
    latency_margins: str = LatencyMargins.ADAPTIVE,
) -> NodeSettings:
    """Returns the settings in the file at `path`; if empty, the environment names the file.

    The settings file has neither a port for metrics nor choices of the operators; the deploy file
    sets them.

    Args:
        path: path of the settings file.
        metrics_port: port for metrics.
        overload_order: name of an `OverloadOrder`.
        latency_margins: name of a `LatencyMargins`.

    Raises:
        SettingsError: the file can't be read, or a setting is invalid; lists every problem.
    """
    path = path or os.environ.get(SETTINGS_FILE_ENV, "")
    if not path:
        raise SettingsError(problems=[f"no settings file: set {SETTINGS_FILE_ENV}"])
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as exc:
        raise SettingsError(problems=[f"{path}: {checked.reason(exc)}"]) from exc
    chosen = {"overload_order": overload_order, "latency_margins": latency_margins}
    return _parse_settings(raw, metrics_port, chosen)


def _parse_settings(raw: dict[str, Any], metrics_port: int, chosen: dict[str, str]) -> NodeSettings:
    problems: list[str] = []

    def get(dotted_key: str, convert: Any) -> Any:
        value: Any = raw
        for name in dotted_key.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        try:
            if value is None:
                raise ValueError("is missing")
            return convert(value)
        except KeyError as exc:
            problems.append(f"{dotted_key} lacks {exc}")
            return None
        except (IndexError, TypeError, ValueError) as exc:
            problems.append(f"{dotted_key} {str(exc)[:checked.MAX_REASON_LENGTH]}")
            return None

    fields = {
        "instance": get("node", checked.name),
        "zone": get("zone", checked.name),
        "region": get("region", checked.text),
        "callers": get("listenAddrs.front", checked.host_port),
        "health": get("listenAddrs.readyAddr", checked.host_port),
        "ip": get("ip", lambda ip: str(ipaddress.ip_address(checked.text(ip)))),
        "metrics_port": metrics_port,
        "first_port": get("internalPorts", _first_port),
        "store": get("platform.address", checked.host_port),
        "cores": get("limits", _cores),
        # Longest time for which a worker runs a task without a renewal of its lease.
        "max_lease_s": get("bounds.maxHoldMs", checked.finite),
        "grace_s": get("bounds.graceS", checked.finite),
    }
    if raw.get("advice"):
        fields["advice"] = get("advice", checked.host_port)
    policy = _parse_policy(chosen, problems)
    if problems:
        raise SettingsError(problems=problems)
    fields["max_lease_s"] /= 1000
    return NodeSettings(policy=policy, **fields)


def _parse_policy(chosen: dict[str, str], problems: list[str]) -> SchedulingPolicy:
    """Returns the choices of the operators; adds a problem for each name that is unknown."""
    choices: dict[str, Any] = {}
    for name, kind in POLICY_CHOICES.items():
        try:
            choices[name] = parse_choice(kind, chosen[name])
        except ValueError as exc:
            problems.append(f"--{name.replace('_', '-')} {exc}")
    return SchedulingPolicy(**choices)


def _first_port(ports: Any) -> int:
    return checked.whole(checked.items(ports)[0], least=1, most=checked.MAX_PORT)


def _cores(limits: dict[str, Any]) -> float:
    cores = checked.finite(limits["cpuShare"]) * checked.finite(limits["cpuCores"])
    if not cores:
        raise ValueError("allow no processor time")
    return cores
