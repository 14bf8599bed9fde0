"""HTTP server of an entry for callers and operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import web

from damaskpin.caller import body_limit
from damaskpin.caller import handlers
from damaskpin.caller import operations

if TYPE_CHECKING:
    from damaskpin.caller import interface

MAX_HEADER_BYTES = 32 * 1024


def make_server(api: interface.Api) -> httpserver.HTTPServer:
    """Return the HTTP server of an entry, which does not listen yet.

    :param api: operations of the entry that the handlers call.
    """
    context = {'api': api}
    application = web.Application(
        [
            (
                r'/v1/services/([A-Za-z0-9._-]{1,63})',
                handlers.ServiceHandler,
                context,
            ),
            (r'/v1/keys', handlers.KeyHandler, context),
            (r'/v1/jobs', handlers.JobsHandler, context),
            (
                r'/v1/jobs/([A-Za-z0-9._-]{1,128})',
                handlers.JobHandler,
                context,
            ),
            (
                r'/v1/explain/([A-Za-z0-9._-]{1,128})',
                handlers.ExplainHandler,
                context,
            ),
            (r'/v1/members', operations.MembersHandler, context),
            (r'/v1/config', operations.ConfigHandler, context),
            (r'/v1/config/status', operations.ConfigStatusHandler, context),
            (
                r'/v1/config/changes/([A-Za-z0-9-]{8,64})',
                operations.ConfigChangeHandler,
                context,
            ),
            (r'/v1/report', operations.ReportHandler, context),
            (r'/v1/drain', operations.DrainHandler, context),
            (r'/healthz', operations.HealthHandler, context),
            (r'/readyz', operations.ReadyHandler, context),
            (r'/metrics', operations.MetricsHandler, context),
        ],
        default_handler_class=handlers.UnknownHandler,
        default_handler_args=context,
    )
    return httpserver.HTTPServer(
        body_limit.BodyLimiter(application),
        max_body_size=body_limit.MAX_DISCARDED_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        idle_connection_timeout=300,
    )


def make_peer_token(fleet_key: bytes) -> str:
    """Return the bearer token that damaskpin processes send to entries.

    :param fleet_key: secret key that all damaskpin processes share.
    """
    return hmac.new(fleet_key, b'members', hashlib.sha256).hexdigest()
