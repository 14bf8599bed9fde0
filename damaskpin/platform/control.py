"""The interface to the worker on the agent's machine."""

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
    """Takes a worker's report about itself."""

    def initialize(self, runtime: agents.AgentRuntime) -> None:
        """Take over what the application knows."""
        self._runtime = runtime

    def post(self, worker: str) -> None:
        """Take over a heartbeat."""
        try:
            ping = wire.decode(self.request.body, wire.HeartbeatBody)
        except errors.MalformedError as error:
            LOG.warning(
                'heartbeat malformed',
                extra={'worker': worker, 'error': str(error)},
            )
            self.set_status(400)
            self.finish(b'{}')
            return
        if ping.state in WORKER_STATES:
            self._runtime.agent.handle_heartbeat(
                clocks.get_monotonic_time(),
                make_profile(worker, ping),
                ping.clock_ms,
            )
            self._runtime.send_due()
        else:
            LOG.warning('heartbeat of unknown state', extra={'worker': worker})
        self.finish(b'{}')


class DeregisterHandler(web.RequestHandler):
    """Takes a worker's announcement of its end."""

    def initialize(self, runtime: agents.AgentRuntime) -> None:
        """Take over what the application knows."""
        self._runtime = runtime

    def post(self, worker: str) -> None:
        """Take over the end."""
        self._runtime.agent.handle_leave(worker)
        self._runtime.send_due()
        self.finish(b'{}')


def make_profile(
    worker: str, ping: wire.HeartbeatBody
) -> orders.WorkerProfile:
    """Return what a worker says of itself; its last label is the rack."""
    capacity = work.Resources(
        ping.capacity.cpu, ping.capacity.mem_mb, ping.capacity.gpu
    )
    return orders.WorkerProfile(
        work.Lifetime(worker, ping.born),
        ping.service,
        ping.zone,
        ping.labels[-1] if ping.labels else '',
        tuple(ping.labels),
        capacity,
        ping.state == 'draining',
        ping.remaining_ms / 1000,
    )


def make_worker_application(runtime: agents.AgentRuntime) -> web.Application:
    """Return the application for the worker."""
    known = {'runtime': runtime}
    return web.Application(
        [
            ('/damaskpin/workers/([^/]+)/heartbeat', HeartbeatHandler, known),
            (
                '/damaskpin/workers/([^/]+)/deregister',
                DeregisterHandler,
                known,
            ),
        ]
    )
