"""HTTP server of an agent for targets, supervisor and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import web

from damaskpin.caller import body_limit
from damaskpin.target import announcements

if TYPE_CHECKING:
    from damaskpin.daemon import agent as agents


class HealthHandler(web.RequestHandler):
    """Reports liveness and readiness to the supervisor."""

    def initialize(self, agent: agents.Agent) -> None:
        """Store the agent that serves the requests."""
        self._agent = agent

    def get(self) -> None:
        """Report that the agent is alive and whether it accepts work."""
        ready = not self._agent.draining
        if self.request.path == '/readyz' and not ready:
            self.set_status(503)
        self.finish({'status': 'alive', 'ready': ready})


class MetricsHandler(web.RequestHandler):
    """Serves the metrics of the agent to Prometheus."""

    def initialize(self, agent: agents.Agent) -> None:
        """Store the agent that serves the requests."""
        self._agent = agent

    def get(self) -> None:
        """Send all metrics in the Prometheus text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._agent.render_metrics())


class DrainHandler(web.RequestHandler):
    """Lets operators drain the agent before a planned stop."""

    def initialize(self, agent: agents.Agent) -> None:
        """Store the agent that serves the requests."""
        self._agent = agent

    def post(self) -> None:
        """Start draining the agent if the operators' token is valid."""
        header = self.request.headers.get('Authorization', '')
        if not self._agent.drain(header):
            self.set_status(401)
            self.finish({'title': 'Token unknown', 'status': 401})
            return
        self.set_status(202)
        self.finish({'state': 'draining'})


def make_server(agent: agents.Agent) -> httpserver.HTTPServer:
    """Return the HTTP server of an agent, not yet listening.

    :param agent: agent that serves the requests.
    """
    routes = announcements.make_handlers(agent.announce, agent.withdraw)
    context = {'agent': agent}
    application = web.Application(
        [
            *routes,
            (r'/healthz', HealthHandler, context),
            (r'/readyz', HealthHandler, context),
            (r'/metrics', MetricsHandler, context),
            (r'/v1/drain', DrainHandler, context),
        ]
    )
    return httpserver.HTTPServer(
        application, max_body_size=body_limit.MAX_BODY_BYTES
    )
