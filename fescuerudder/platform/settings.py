"""The platform's settings file, decoded into the product's settings of a job node."""

import os
import tomllib
from pathlib import Path
from typing import Any

from fescuerudder.errors import SettingsError
from fescuerudder.jobs.nodesettings import NodeSettings

FILE_ENV = "FESCUERUDDER_NODE_FILE"


def load_node_settings(path: str = "", *, metrics_port: int) -> NodeSettings:
    """Returns the settings of the file at `path`, or of the one that the environment names.

    The file has no address for metrics; the deploy file names the port.

    Raises:
        SettingsError: with every fault.
    """
    path = path or os.environ.get(FILE_ENV, "")
    if not path:
        raise SettingsError(problems=[f"no settings file: set {FILE_ENV}"])
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise SettingsError(problems=[f"{path}: {exc}"]) from exc
    return _decode(raw, metrics_port)


def _decode(raw: dict[str, Any], metrics_port: int) -> NodeSettings:
    problems: list[str] = []

    def get(place: str, kind: Any) -> Any:
        value: Any = raw
        for name in place.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        try:
            if value is None:
                raise ValueError("is missing")
            return kind(value)
        except (TypeError, ValueError) as exc:
            problems.append(f"{place} {exc}")
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
        # The longest time for which a worker keeps a task without hearing from us.
        "max_lease_s": get("bounds.maxHoldMs", float),
        "grace_s": get("bounds.graceS", float),
    }
    if "advice" in raw:
        fields["advice"] = get("advice", str)
    if problems:
        raise SettingsError(problems=problems)
    fields["max_lease_s"] /= 1000
    return NodeSettings(**fields)
