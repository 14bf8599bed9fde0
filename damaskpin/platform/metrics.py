"""Metrics of a process for the platform's collector."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import web

from damaskpin import telemetry as telemetry_module

if TYPE_CHECKING:
    from damaskpin.telemetry import Telemetry

PATH = '/metrics'


class MetricsHandler(web.RequestHandler):
    """Answers with all metrics as text."""

    def initialize(self, telemetry: Telemetry) -> None:
        """Take over what the application knows."""
        self._telemetry = telemetry

    def get(self) -> None:
        """Answer in the Prometheus text format."""
        self.set_header('Content-Type', telemetry_module.CONTENT_TYPE)
        self.finish(self._telemetry.render_metrics())


def make_metrics_application(telemetry: Telemetry) -> web.Application:
    """Return the application that serves the metrics."""
    return web.Application([(PATH, MetricsHandler, {'telemetry': telemetry})])
