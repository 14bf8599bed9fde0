"""HTTP handlers for operators, load balancers and other processes."""

from __future__ import annotations

import re

from damaskpin import errors
from damaskpin.caller import handlers
from damaskpin.caller import interface

# Store revisions are 64-bit integers, so 18 digits always fit.
_REVISION_PATTERN = re.compile(r'^[0-9]{1,18}$')


class EntriesHandler(handlers.BaseHandler):
    """Lists the live entries for damaskpin processes that start."""

    def get(self) -> None:
        """List the entry processes that are alive."""
        self.api.require_peer_token(
            self.request.headers.get('Authorization', '')
        )
        self.write_reply(self.api.list_members())


class ConfigHandler(handlers.BaseHandler):
    """Handles requests to read or replace the configuration."""

    def get(self) -> None:
        """Write the configuration that this entry has applied."""
        self.require_operator_token()
        self.write_reply(self.api.read_config())

    async def put(self) -> None:
        """Replace the configuration if ``If-Match`` names its revision."""
        self.require_operator_token()
        expected_revision = self.request.headers.get('If-Match', '').strip('"')
        if not _REVISION_PATTERN.match(expected_revision):
            raise errors.RequestError(
                428,
                'Condition missing',
                'set If-Match to the revision that the change is based on',
            )
        token = self.request.headers.get('Damaskpin-Change-Token', '')
        if not re.fullmatch(r'[A-Za-z0-9-]{8,64}', token):
            raise errors.RequestError(
                400,
                'Header out of range',
                'Damaskpin-Change-Token must be 8 to 64 letters, digits or -',
            )
        self.write_reply(
            await self.api.propose_config(
                self.request.body, int(expected_revision), token
            )
        )


class ConfigChangeHandler(handlers.BaseHandler):
    """Reports the outcome of a change whose response was lost."""

    async def get(self, token: str) -> None:
        """Write the final outcome of the change with the given token."""
        self.require_operator_token()
        self.write_reply(await self.api.settle_change(token))


class ConfigStatusHandler(handlers.BaseHandler):
    """Lists the configuration revisions that processes have applied."""

    def get(self) -> None:
        """List the configuration revision of each known process."""
        self.require_operator_token()
        self.write_reply(self.api.list_revisions())


class ReportHandler(handlers.BaseHandler):
    """Renders the report on service-level objectives and burn rates."""

    def get(self) -> None:
        """Write the report as ``json``, ``text`` or ``html``."""
        self.require_operator_token()
        self.write_reply(
            self.api.render_report(self.get_query_argument('format', 'json'))
        )


class DrainHandler(handlers.BaseHandler):
    """Handles requests to drain the process before a planned stop."""

    def post(self) -> None:
        """Start to drain this process, so that it takes no new work."""
        self.require_operator_token()
        self.api.drain()
        self.write_reply(interface.Reply(202, {'state': 'draining'}))


class HealthHandler(handlers.BaseHandler):
    """Answers liveness probes."""

    def get(self) -> None:
        """Report that the event loop of the process responds."""
        self.write_reply(interface.Reply(200, {'status': 'alive'}))


class ReadyHandler(handlers.BaseHandler):
    """Answers readiness probes of the load balancer."""

    def get(self) -> None:
        """Report whether this entry accepts new work, and why not."""
        ready, reason = self.api.check_readiness()
        self.write_reply(
            interface.Reply(
                200 if ready else 503, {'ready': ready, 'reason': reason}
            )
        )


class MetricsHandler(handlers.BaseHandler):
    """Serves metrics to Prometheus."""

    def get(self) -> None:
        """Write all metrics in the Prometheus text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.api.render_metrics())
