"""HTTP interface of the agent for the worker beside it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from tornado import web

from damaskpin import errors
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.platform import wire
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from damaskpin.runtime import agent as agents

LOG = logging.getLogger(__name__)

WORKER_STATES = ('ready', 'draining')


class HeartbeatHandler(web.RequestHandler):
    """Handles heartbeats of the worker."""

    def initialize(self, runtime: agents.AgentRuntime) -> None:
        """Set the agent to which the worker's heartbeats are passed."""
        self._runtime = runtime

    def post(self, worker: str) -> None:
        """Pass a heartbeat to the agent; answer 400 if it is malformed."""
        try:
            heartbeat = wire.decode(self.request.body, wire.HeartbeatBody)
        except errors.MalformedError as error:
            LOG.warning(
                'malformed heartbeat rejected',
                extra={'worker': worker, 'error': str(error)},
            )
            self.set_status(400)
            self.finish(b'{}')
            return
        if heartbeat.state in WORKER_STATES:
            self._runtime.agent.handle_heartbeat(
                clocks.get_monotonic_time(),
                make_profile(worker, heartbeat),
                heartbeat.clock_ms,
            )
            self._runtime.send_due()
        else:
            LOG.warning(
                'heartbeat with unknown state ignored',
                extra={'worker': worker},
            )
        self.finish(b'{}')


class DeregisterHandler(web.RequestHandler):
    """Handles the notice that the worker is shutting down."""

    def initialize(self, runtime: agents.AgentRuntime) -> None:
        """Set the agent to which the worker's notice is passed."""
        self._runtime = runtime

    def post(self, worker: str) -> None:
        """Pass the worker's notice that it leaves to the agent."""
        self._runtime.agent.handle_leave(clocks.get_monotonic_time(), worker)
        self._runtime.send_due()
        self.finish(b'{}')


def make_profile(
    worker: str, heartbeat: wire.HeartbeatBody
) -> orders.WorkerProfile:
    """Return the worker profile in a heartbeat; its last label is the rack."""
    capacity = work.Resources(
        heartbeat.capacity.cpu,
        heartbeat.capacity.mem_mb,
        heartbeat.capacity.gpu,
    )
    return orders.WorkerProfile(
        work.Lifetime(worker, heartbeat.born),
        heartbeat.service,
        heartbeat.zone,
        heartbeat.labels[-1] if heartbeat.labels else '',
        tuple(heartbeat.labels),
        capacity,
        heartbeat.state == 'draining',
        heartbeat.remaining_ms / 1000,
    )


def make_worker_application(runtime: agents.AgentRuntime) -> web.Application:
    """Return the HTTP application that the worker calls."""
    arguments = {'runtime': runtime}
    return web.Application(
        [
            (
                '/damaskpin/workers/([^/]+)/heartbeat',
                HeartbeatHandler,
                arguments,
            ),
            (
                '/damaskpin/workers/([^/]+)/deregister',
                DeregisterHandler,
                arguments,
            ),
        ]
    )
