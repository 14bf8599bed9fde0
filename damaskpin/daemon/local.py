"""Local HTTP server of an agent, for its targets and its supervisor."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import web

from damaskpin.caller import body_limit
from damaskpin.target import announcements

if TYPE_CHECKING:
    from damaskpin.daemon import agent as agents


class HealthHandler(web.RequestHandler):
    """Liveness, and readiness for the supervisor."""

    def initialize(self, agent: agents.Agent) -> None:
        """Keep the agent that the handler works for."""
        self._agent = agent

    def get(self) -> None:
        """Tell whether the loop runs and new work is taken."""
        ready = not self._agent.draining
        if self.request.path == '/readyz' and not ready:
            self.set_status(503)
        self.finish({'status': 'alive', 'ready': ready})


class MetricsHandler(web.RequestHandler):
    """Scrape endpoint."""

    def initialize(self, agent: agents.Agent) -> None:
        """Keep the agent that the handler works for."""
        self._agent = agent

    def get(self) -> None:
        """Render all metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._agent.render_metrics())


class DrainHandler(web.RequestHandler):
    """Planned stops."""

    def initialize(self, agent: agents.Agent) -> None:
        """Keep the agent that the handler works for."""
        self._agent = agent

    def post(self) -> None:
        """Start to drain the agent."""
        header = self.request.headers.get('Authorization', '')
        if not self._agent.drain(header):
            self.set_status(401)
            self.finish({'title': 'Token unknown', 'status': 401})
            return
        self.set_status(202)
        self.finish({'state': 'draining'})


def make_server(agent: agents.Agent) -> httpserver.HTTPServer:
    """Return the server, not yet listening.

    :param agent: the agent.
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
