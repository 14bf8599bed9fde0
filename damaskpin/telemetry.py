"""OpenTelemetry metrics, exported to Prometheus and optionally by OTLP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from opentelemetry.sdk.metrics import export

Observations = list[metrics.Observation]

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class Telemetry:
    """Metric instruments of one process.

    :param instance: instance id of the process.
    :param otlp_endpoint: URL to which metrics are exported by OTLP over HTTP;
        empty for no export.
    """

    __slots__ = (
        '_meter',
        '_provider',
        '_registry',
        'config_revision',
        'decision_seconds',
        'http_requests',
        'messages',
        'peer_failures',
        'requests',
        'store_calls',
        'verdict_seconds',
        'verdicts',
    )

    def __init__(self, instance: str, otlp_endpoint: str = '') -> None:
        self._registry = prometheus_client.CollectorRegistry()
        readers: list[export.MetricReader] = [
            PrometheusMetricReader(registry=self._registry)
        ]
        if otlp_endpoint:
            readers.append(_make_otlp_reader(otlp_endpoint))
        self._provider = sdk_metrics.MeterProvider(
            metric_readers=readers,
            resource=resources.Resource.create(
                {
                    'service.name': 'damaskpin',
                    'service.instance.id': instance,
                }
            ),
        )
        self._meter = self._provider.get_meter('damaskpin')
        meter = self._meter
        self.requests = meter.create_counter(
            'damaskpin.requests', unit='1', description='requests accepted'
        )
        self.http_requests = meter.create_counter(
            'damaskpin.http', unit='1', description='HTTP requests received'
        )
        self.verdicts = meter.create_counter(
            'damaskpin.verdicts',
            unit='1',
            description='verdicts told to callers',
        )
        self.verdict_seconds = meter.create_histogram(
            'damaskpin.duration',
            unit='s',
            description='time from acceptance to verdict',
        )
        self.decision_seconds = meter.create_histogram(
            'damaskpin.decision.duration',
            unit='s',
            description='time of one scheduling decision',
        )
        self.messages = meter.create_counter(
            'damaskpin.peer.messages',
            unit='1',
            description='messages received from damaskpin processes',
        )
        self.peer_failures = meter.create_counter(
            'damaskpin.peer.failures',
            unit='1',
            description='failed calls to damaskpin processes',
        )
        self.store_calls = meter.create_counter(
            'damaskpin.store.calls', unit='1', description='calls of the store'
        )

    def register_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Register a gauge that is read when metrics are collected.

        :param name: name of the metric.
        :param description: what the metric shows, with its unit.
        :param read: returns the current value.
        """
        self._meter.create_observable_gauge(
            name,
            callbacks=[lambda options: [metrics.Observation(read())]],
            description=description,
        )

    def register_counters(
        self,
        name: str,
        description: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Register a counter of events with their kind as attribute.

        :param name: name of the metric.
        :param description: what the metric counts.
        :param read: returns the total of each kind since the process started.
        """

        def observe(options: metrics.CallbackOptions) -> Observations:
            return [
                metrics.Observation(total, {'kind': kind})
                for kind, total in read().items()
            ]

        self._meter.create_observable_counter(
            name, callbacks=[observe], description=description
        )

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Export the last metrics and shut down the exporters."""
        self._provider.shutdown()


def _make_otlp_reader(endpoint: str) -> export.MetricReader:
    # Imported on demand: the exporter takes about 15 MB of memory, which most
    # processes do not need.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter
    from opentelemetry.sdk.metrics import export as metrics_export

    return metrics_export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=endpoint)
    )
