"""Settings of an entry instance, from flags and environment variables."""

import os
import uuid
from collections.abc import Mapping
from typing import Any

import attrs
import cattrs
from cattrs import transform_error

from fescuerudder.errors import SettingsError

ENV_PREFIX = "FESCUERUDDER_"


def _setting(*, default: Any = attrs.NOTHING, factory: Any = None, help: str) -> Any:
    """Returns an attrs field with its reference text."""
    metadata = {"help": help}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


@attrs.frozen(kw_only=True)
class Settings:
    """Checked settings of one entry instance."""

    zone: str = _setting(help="Availability zone of this instance.")
    region: str = _setting(help="Region of the zone.")
    store: str = _setting(help="ip:port of the table and object store.")
    members: str = _setting(help="ip:port of the list of instances.")
    peer_key: str = _setting(help="Shared key of the entry instances, 16 characters or more.")
    operator_key: str = _setting(help="Key of the operators, 16 characters or more.")
    instance: str = _setting(
        factory=lambda: f"entry-{uuid.uuid4().hex[:8]}", help="Id of this instance."
    )
    http: str = _setting(default="127.0.0.1:8080", help="ip:port for callers and operators.")
    peer: str = _setting(default="127.0.0.1:8090", help="ip:port for other entry instances.")
    threads: int = _setting(default=48, help="Threads that serve HTTP requests.")
    routing: str = _setting(
        default="permits",
        help="Request routing: permits, random, round_robin or least_outstanding.",
    )
    shedding: str = _setting(
        default="off",
        help="Requests refused at once: expected_wait (those that would time out) or off.",
    )
    placement: str = _setting(
        default="least_interference",
        help="Choice of a worker for a task: least_interference or first_fit.",
    )
    remedy: str = _setting(
        default="throttle",
        help="What a batch task that slows a service gets first: throttle or evict.",
    )
    log_level: str = _setting(default="info", help="debug, info, warning or error.")
    drain_s: float = _setting(default=30.0, help="Longest time a planned stop waits, in seconds.")
    record: bool = _setting(
        default=False, help="Keep a trace of the latest requests, for `trace take`: true or false."
    )


ROUTING_POLICIES = ("permits", "random", "round_robin", "least_outstanding")
SHEDDING_POLICIES = ("expected_wait", "off")
PLACEMENT_POLICIES = ("least_interference", "first_fit")
REMEDY_POLICIES = ("throttle", "evict")
LOG_LEVELS = ("debug", "info", "warning", "error")
MIN_KEY_LENGTH = 16

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_TRUTH = {"true": True, "1": True, "yes": True, "false": False, "0": False, "no": False}


def _structure_bool(value: Any, _: type) -> bool:
    """Returns the truth that a flag or an environment variable states."""
    truth = _TRUTH.get(str(value).lower())
    if truth is None:
        raise ValueError(f"expected true or false, got {value!r}")
    return truth


_CONVERTER.register_structure_hook(bool, _structure_bool)


def load_settings(
    *, flags: Mapping[str, Any], environ: Mapping[str, str] | None = None
) -> Settings:
    """Returns the settings; a flag goes before its environment variable.

    Raises:
        SettingsError: with every fault.
    """
    env = os.environ if environ is None else environ
    names = [field.name for field in attrs.fields(Settings)]
    raw = {name: env[env_name(name)] for name in names if env_name(name) in env}
    raw.update(flags)
    missing = [
        f"{field.name} is required: pass --{field.name} or set {env_name(field.name)}"
        for field in attrs.fields(Settings)
        if field.default is attrs.NOTHING and field.name not in raw
    ]
    problems = missing + _structure_problems(raw)
    if problems:
        raise SettingsError(problems=problems)
    cfg = _CONVERTER.structure(raw, Settings)
    problems = _find_problems(cfg)
    if problems:
        raise SettingsError(problems=problems)
    return cfg


def env_name(name: str) -> str:
    """Returns the environment variable of a setting."""
    return ENV_PREFIX + name.upper()


def _structure_problems(raw: Mapping[str, Any]) -> list[str]:
    """Returns faults of names and types; missing settings are filled so that all show."""
    fillers = {
        field.name: "x" for field in attrs.fields(Settings) if field.default is attrs.NOTHING
    }
    try:
        _CONVERTER.structure({**fillers, **raw}, Settings)
    except Exception as exc:
        return transform_error(exc, path="settings")
    return []


def _find_problems(cfg: Settings) -> list[str]:
    problems = []
    for name in ("store", "members", "http", "peer"):
        if not _is_address(getattr(cfg, name)):
            problems.append(f"{name} must be ip:port, got {getattr(cfg, name)!r}")
    for name in ("peer_key", "operator_key"):
        if len(getattr(cfg, name)) < MIN_KEY_LENGTH:
            problems.append(f"{name} must have at least {MIN_KEY_LENGTH} characters")
    for name in ("zone", "region", "instance"):
        if not getattr(cfg, name) or "/" in getattr(cfg, name):
            problems.append(f"{name} must not be empty or contain '/'")
    if cfg.routing not in ROUTING_POLICIES:
        problems.append(f"routing must be one of {', '.join(ROUTING_POLICIES)}")
    if cfg.shedding not in SHEDDING_POLICIES:
        problems.append(f"shedding must be one of {', '.join(SHEDDING_POLICIES)}")
    if cfg.placement not in PLACEMENT_POLICIES:
        problems.append(f"placement must be one of {', '.join(PLACEMENT_POLICIES)}")
    if cfg.remedy not in REMEDY_POLICIES:
        problems.append(f"remedy must be one of {', '.join(REMEDY_POLICIES)}")
    if cfg.log_level not in LOG_LEVELS:
        problems.append(f"log_level must be one of {', '.join(LOG_LEVELS)}")
    if cfg.threads < 1:
        problems.append("threads must be at least 1")
    if cfg.drain_s < 0:
        problems.append("drain_s must be at least 0")
    return problems


def _is_address(text: str) -> bool:
    host, sep, port = text.rpartition(":")
    return bool(host and sep and port.isdigit() and 0 < int(port) < 65536)
