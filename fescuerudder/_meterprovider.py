"""Creates the OpenTelemetry provider of one instance, with its own Prometheus registry."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry


def create_provider(instance: str) -> tuple[MeterProvider, CollectorRegistry]:
    """Returns a provider whose metrics the registry renders; `instance` is in `target_info`."""
    registry = CollectorRegistry()
    reader = PrometheusMetricReader(registry=registry, scope_info_enabled=False)
    resource = Resource({"service.name": "fescuerudder", "service.instance.id": instance})
    provider = MeterProvider(metric_readers=[reader], resource=resource, shutdown_on_exit=False)
    return provider, registry
