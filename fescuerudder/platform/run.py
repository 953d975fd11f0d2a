"""Runs an instance on the platform: loads settings, builds the ports, starts the node."""

import sys

import structlog

from fescuerudder.clock import Clock, SystemClock
from fescuerudder.errors import SettingsError
from fescuerudder.jobs.jobmetrics import JobMetrics
from fescuerudder.jobs.node import JobNode, PlatformPorts, run_node
from fescuerudder.jobs.nodesettings import NodeSettings
from fescuerudder.jobs.policy import LatencyMargins, OverloadOrder
from fescuerudder.logs import configure_logs
from fescuerudder.platform.advice import PlatformAdvice
from fescuerudder.platform.asynchttp import AsyncHttpClient
from fescuerudder.platform.callers import CallerApp
from fescuerudder.platform.http import HttpClient
from fescuerudder.platform.previews import PreviewApp
from fescuerudder.platform.settings import load_node_settings
from fescuerudder.platform.sources import PlatformConfigSource, PlatformRegistry
from fescuerudder.platform.store import PlatformStore
from fescuerudder.platform.workers import PlatformWorkers
from fescuerudder.processsignals import COMMAND_SIGNALS, PROCESS_SIGNALS

EXIT_INVALID_SETTINGS = 2

_log = structlog.get_logger(__name__)


def run_on_platform(
    *,
    metrics_port: int,
    settings: str = "",
    overload_order: str = OverloadOrder.VALUE_DENSITY,
    latency_margins: str = LatencyMargins.ADAPTIVE,
) -> int:
    """Runs an instance until SIGTERM or SIGINT; returns the exit code.

    Args:
        metrics_port: port for metrics.
        settings: path of the settings file; if empty, the environment names it.
        overload_order: name of an `OverloadOrder`.
        latency_margins: name of a `LatencyMargins`.
    """

    def read_settings() -> NodeSettings:
        return load_node_settings(
            settings,
            metrics_port=metrics_port,
            overload_order=overload_order,
            latency_margins=latency_margins,
        )

    # `__main__` has installed them already, unless another program calls this function.
    PROCESS_SIGNALS.install(COMMAND_SIGNALS["node"])
    try:
        cfg = read_settings()
    except SettingsError as exc:
        print(f"fescuerudder: {exc}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    if PROCESS_SIGNALS.is_stop_requested:
        return 0
    clock = SystemClock()
    with HttpClient() as http, JobMetrics(instance=cfg.instance, clock=clock) as metrics:
        configure_logs(level="info", instance=cfg.instance, observers=(metrics.count_event,))
        ports = make_ports(http, cfg, clock, metrics)
        return run_node(
            cfg, ports, clock, metrics, read_settings=read_settings, signals=PROCESS_SIGNALS
        )


def make_ports(
    http: HttpClient, cfg: NodeSettings, clock: Clock, metrics: JobMetrics
) -> PlatformPorts:
    """Returns the ports of a node, implemented on the platform."""
    store = PlatformStore(http=http, address=cfg.store)
    return PlatformPorts(
        store=store,
        workers=PlatformWorkers(http=AsyncHttpClient()),
        registry=PlatformRegistry(store=store),
        advice=PlatformAdvice(http=http, address=cfg.advice) if cfg.advice else None,
        config=PlatformConfigSource(store=store),
        make_app=lambda node: _make_app(node, clock, metrics),
        make_preview_app=_make_preview_app,
    )


def _make_app(node: JobNode, clock: Clock, metrics: JobMetrics) -> CallerApp:
    return CallerApp(
        intake=node.intake,
        find_queue=node.config.find_queue,
        find_account=node.config.find_account,
        is_draining=lambda: node.is_draining,
        clock=clock,
        metrics=metrics,
    )


def _make_preview_app(node: JobNode) -> PreviewApp:
    return PreviewApp(
        previews=node.previews,
        manifest=lambda: node.config.view.manifest,
        find_account=node.config.find_account,
        refusal=lambda: node.store_refusal,
    )
