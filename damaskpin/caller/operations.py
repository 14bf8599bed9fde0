"""Handlers for operators, the balancer and other entries."""

from __future__ import annotations

import re

from damaskpin import errors
from damaskpin.caller import handlers
from damaskpin.caller import interface

# Revisions of the store are 64-bit integers.
_REVISION_PATTERN = re.compile(r'^[0-9]{1,18}$')


class MembersHandler(handlers.BaseHandler):
    """Live entries, for processes that start."""

    def get(self) -> None:
        """List the live entries."""
        self.api.check_peer(self.request.headers.get('Authorization', ''))
        self.write_reply(self.api.list_members())


class ConfigHandler(handlers.BaseHandler):
    """The configuration."""

    def get(self) -> None:
        """Show the applied configuration."""
        self.check_operator()
        self.write_reply(self.api.read_config())

    async def put(self) -> None:
        """Propose a configuration by compare-and-swap."""
        self.check_operator()
        condition = self.request.headers.get('If-Match', '').strip('"')
        if not _REVISION_PATTERN.match(condition):
            raise errors.RequestError(
                428,
                'Condition missing',
                'send If-Match with the revision that the change is based on',
            )
        token = self.request.headers.get('Damaskpin-Change-Token', '')
        if not re.fullmatch(r'[A-Za-z0-9-]{8,64}', token):
            raise errors.RequestError(
                400,
                'Header out of range',
                'Damaskpin-Change-Token needs 8 to 64 letters, digits or -',
            )
        self.write_reply(
            await self.api.change_config(
                self.request.body, int(condition), token
            )
        )


class ConfigChangeHandler(handlers.BaseHandler):
    """Outcome of a proposal whose answer was lost."""

    async def get(self, token: str) -> None:
        """Settle the outcome of a change token."""
        self.check_operator()
        self.write_reply(await self.api.settle_change(token))


class ConfigStatusHandler(handlers.BaseHandler):
    """Revisions in force."""

    def get(self) -> None:
        """List the revision that each known process applied."""
        self.check_operator()
        self.write_reply(self.api.list_revisions())


class ReportHandler(handlers.BaseHandler):
    """Report on service-level burn."""

    def get(self) -> None:
        """Render the report as ``json``, ``text`` or ``html``."""
        self.check_operator()
        self.write_reply(
            self.api.render_report(self.get_query_argument('format', 'json'))
        )


class DrainHandler(handlers.BaseHandler):
    """Planned stops."""

    def post(self) -> None:
        """Start to drain this process."""
        self.check_operator()
        self.api.drain()
        self.write_reply(interface.Reply(202, {'state': 'draining'}))


class HealthHandler(handlers.BaseHandler):
    """Liveness of the process."""

    def get(self) -> None:
        """Answer while the loop runs."""
        self.write_reply(interface.Reply(200, {'status': 'alive'}))


class ReadyHandler(handlers.BaseHandler):
    """Readiness for the balancer."""

    def get(self) -> None:
        """Tell whether this entry takes new work."""
        ready, reason = self.api.is_ready()
        self.write_reply(
            interface.Reply(
                200 if ready else 503, {'ready': ready, 'reason': reason}
            )
        )


class MetricsHandler(handlers.BaseHandler):
    """Scrape endpoint."""

    def get(self) -> None:
        """Render all metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.api.render_metrics())
