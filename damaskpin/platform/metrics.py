"""Serves the metrics of a process to the platform's collector."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import web

from damaskpin import telemetry as telemetry_module

if TYPE_CHECKING:
    from damaskpin.telemetry import Telemetry

METRICS_PATH = '/metrics'


class MetricsHandler(web.RequestHandler):
    """Serves all metrics of the process as text."""

    def initialize(self, telemetry: Telemetry) -> None:
        """Store the metrics that the handler renders."""
        self._telemetry = telemetry

    def get(self) -> None:
        """Answer with the metrics in the Prometheus text format."""
        self.set_header('Content-Type', telemetry_module.CONTENT_TYPE)
        self.finish(self._telemetry.render_metrics())


def make_metrics_application(telemetry: Telemetry) -> web.Application:
    """Return the HTTP application that serves the metrics."""
    return web.Application(
        [(METRICS_PATH, MetricsHandler, {'telemetry': telemetry})]
    )
