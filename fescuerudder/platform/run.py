"""Starts an instance on the platform: settings, ports, node."""

import sys

import structlog

from fescuerudder.clock import Clock, SystemClock
from fescuerudder.errors import SettingsError
from fescuerudder.jobs.node import JobNode, Ports, run_node
from fescuerudder.logs import configure_logs
from fescuerudder.platform.callers import CallerApp
from fescuerudder.platform.http import HttpClient
from fescuerudder.platform.operations import PlatformConfig, PlatformRegistry
from fescuerudder.platform.settings import load_node_settings
from fescuerudder.platform.store import PlatformStore
from fescuerudder.platform.workers import PlatformWorkers

EXIT_SETTINGS = 2

_log = structlog.get_logger(__name__)


def run_on_platform(*, settings: str = "") -> int:
    """Runs an instance until SIGTERM; returns the exit code.

    Args:
        settings: path of the settings file, instead of the one that the environment names.
    """
    try:
        cfg = load_node_settings(settings)
    except SettingsError as exc:
        print(f"fescuerudder: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs(level="info", instance=cfg.instance)
    clock = SystemClock()
    with HttpClient() as http:
        return run_node(
            cfg,
            make_ports(http, cfg.store, clock),
            clock,
            read_settings=lambda: load_node_settings(settings),
        )


def make_ports(http: HttpClient, store_address: str, clock: Clock) -> Ports:
    """Returns the platform's ports."""
    store = PlatformStore(http=http, address=store_address)
    return Ports(
        store=store,
        workers=PlatformWorkers(http=http),
        registry=PlatformRegistry(store=store),
        config=PlatformConfig(store=store),
        make_app=lambda node: _make_app(node, clock),
    )


def _make_app(node: JobNode, clock: Clock) -> CallerApp:
    return CallerApp(
        intake=node.intake,
        find_queue=node.config.find_queue,
        is_draining=lambda: node.is_draining,
        clock=clock,
    )
