"""HTTP server of an entry for callers and operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import web

from damaskpin.caller import body_limit
from damaskpin.caller import handlers
from damaskpin.caller import operator_handlers

if TYPE_CHECKING:
    from damaskpin.caller import interface

MAX_HEADER_BYTES = 32 * 1024


def make_server(api: interface.EntryInterface) -> httpserver.HTTPServer:
    """Return the HTTP server of an entry, which does not listen yet.

    :param api: operations of the entry that the handlers call.
    """
    handler_arguments = {'api': api}
    application = web.Application(
        [
            (
                r'/v1/services/([A-Za-z0-9._-]{1,63})',
                handlers.ServiceHandler,
                handler_arguments,
            ),
            (r'/v1/keys', handlers.KeyHandler, handler_arguments),
            (r'/v1/jobs', handlers.JobsHandler, handler_arguments),
            (
                r'/v1/jobs/([A-Za-z0-9._-]{1,128})',
                handlers.JobHandler,
                handler_arguments,
            ),
            (
                r'/v1/explain/([A-Za-z0-9._-]{1,128})',
                handlers.ExplainHandler,
                handler_arguments,
            ),
            (
                r'/v1/members',
                operator_handlers.EntriesHandler,
                handler_arguments,
            ),
            (
                r'/v1/config',
                operator_handlers.ConfigHandler,
                handler_arguments,
            ),
            (
                r'/v1/config/status',
                operator_handlers.ConfigStatusHandler,
                handler_arguments,
            ),
            (
                r'/v1/config/changes/([A-Za-z0-9-]{8,64})',
                operator_handlers.ConfigChangeHandler,
                handler_arguments,
            ),
            (
                r'/v1/report',
                operator_handlers.ReportHandler,
                handler_arguments,
            ),
            (r'/v1/drain', operator_handlers.DrainHandler, handler_arguments),
            (r'/healthz', operator_handlers.HealthHandler, handler_arguments),
            (r'/readyz', operator_handlers.ReadyHandler, handler_arguments),
            (r'/metrics', operator_handlers.MetricsHandler, handler_arguments),
        ],
        default_handler_class=handlers.UnknownHandler,
        default_handler_args=handler_arguments,
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
