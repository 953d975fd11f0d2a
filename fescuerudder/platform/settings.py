"""Decodes the platform's settings file into the settings of a job node."""

import os
import tomllib
from pathlib import Path
from typing import Any

from fescuerudder.errors import SettingsError
from fescuerudder.jobs.nodesettings import NodeSettings

SETTINGS_FILE_ENV = "FESCUERUDDER_NODE_FILE"


def load_node_settings(path: str = "", *, metrics_port: int) -> NodeSettings:
    """Returns the settings in the file at `path`; if empty, the environment names the file.

    The settings file has no port for metrics; the deploy file sets it.

    Raises:
        SettingsError: the file can't be read or is invalid; lists every problem.
    """
    path = path or os.environ.get(SETTINGS_FILE_ENV, "")
    if not path:
        raise SettingsError(problems=[f"no settings file: set {SETTINGS_FILE_ENV}"])
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise SettingsError(problems=[f"{path}: {exc}"]) from exc
    return _parse_settings(raw, metrics_port)


def _parse_settings(raw: dict[str, Any], metrics_port: int) -> NodeSettings:
    problems: list[str] = []

    def get(dotted_key: str, convert: Any) -> Any:
        value: Any = raw
        for name in dotted_key.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        try:
            if value is None:
                raise ValueError("is missing")
            return convert(value)
        except (TypeError, ValueError) as exc:
            problems.append(f"{dotted_key} {exc}")
            return None

    fields = {
        "instance": get("node", str),
        "zone": get("zone", str),
        "region": get("region", str),
        "callers": get("listenAddrs.front", str),
        "health": get("listenAddrs.readyAddr", str),
        "ip": get("ip", str),
        "metrics_port": metrics_port,
        "first_port": get("internalPorts", lambda ports: int(ports[0])),
        "store": get("platform.address", str),
        "cores": get("limits", lambda limits: limits["cpuShare"] * limits["cpuCores"]),
        # Longest time for which a worker runs a task without a renewal of its lease.
        "max_lease_s": get("bounds.maxHoldMs", float),
        "grace_s": get("bounds.graceS", float),
    }
    if "advice" in raw:
        fields["advice"] = get("advice", str)
    if problems:
        raise SettingsError(problems=problems)
    fields["max_lease_s"] /= 1000
    return NodeSettings(**fields)
