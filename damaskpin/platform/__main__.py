"""Starts an entry or an agent, as the settings file selects."""

from __future__ import annotations

import asyncio
import functools
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

from tornado import httpserver

from damaskpin import errors
from damaskpin import logs
from damaskpin import transport
from damaskpin.platform import advisor
from damaskpin.platform import control
from damaskpin.platform import front
from damaskpin.platform import metrics
from damaskpin.platform import operator
from damaskpin.platform import settings as settings_module
from damaskpin.platform import store
from damaskpin.platform import worker
from damaskpin.runtime import agent as agents
from damaskpin.runtime import entry as entries
from damaskpin.runtime import worker_connections

if TYPE_CHECKING:
    from tornado import web

    from damaskpin.telemetry import Telemetry

LOG = logging.getLogger(__name__)

CONFIG_KEY = 'op/config'

# Environment variable with the address and port on which metrics are served;
# if it is unset or empty, metrics are not served.
METRICS_VARIABLE = 'DAMASKPIN_METRICS'

# Maximum size of a request body in bytes; the limit in the configuration is
# lower.
MAX_BODY_BYTES = 1 << 20

# Minimum time in seconds for which a stopping entry serves requests. The
# platform routes new connections elsewhere after two failed readiness checks,
# one a second; open connections are closed with their next answer.
DRAIN_TIME_S = 3.0

# The platform kills a process when its grace time is over; an entry exits this
# many seconds earlier.
EXIT_MARGIN_S = 1.0

# A stopping entry exits after this time without a request in progress, in
# seconds.
IDLE_TIME_S = 0.1


async def run_entry(settings: settings_module.Settings) -> None:
    """Run an entry until SIGTERM."""
    entry = entries.Entry(
        settings.make_options(),
        transport.HttpCaller(settings.platform.addr),
        store.StoreClient,
        operator.decode_installation,
        CONFIG_KEY,
        make_advisor(settings),
    )
    listen(front.make_client_application(entry), settings.listen.front)
    listen(front.make_readiness_application(entry), settings.listen.ready)
    serve_metrics(entry.telemetry)
    entry.start()
    await wait_for_stop()
    await entry.resign()
    await drain_requests(entry, settings.bounds.grace_s)
    if entry.in_flight:
        LOG.warning(
            'requests are cut off at the end of the process',
            extra={'requests': entry.in_flight},
        )
    await entry.close()


def make_advisor(
    settings: settings_module.Settings,
) -> advisor.AdvisorClient | None:
    """Return a client of the advisor; ``None`` if no address is set."""
    if not settings.advice:
        return None
    return advisor.AdvisorClient(transport.HttpCaller(settings.advice))


async def drain_requests(entry: entries.Entry, grace: float) -> None:
    """Serve until the platform has routed all clients to other entries.

    :param grace: seconds from SIGTERM until the process is killed.
    """
    max_wait = grace - EXIT_MARGIN_S
    waited = min(DRAIN_TIME_S, max_wait)
    await asyncio.sleep(waited)
    while waited < max_wait:
        was_busy = entry.in_flight > 0
        await asyncio.sleep(IDLE_TIME_S)
        waited += IDLE_TIME_S
        if not was_busy and not entry.in_flight:
            return


async def run_agent(settings: settings_module.Settings) -> None:
    """Run an agent until SIGTERM."""
    connections = worker_connections.WorkerConnections(
        functools.partial(worker.connect, settings.app)
    )
    runtime = agents.AgentRuntime(
        settings.make_options(),
        connections,
        store.StoreClient(transport.HttpCaller(settings.platform.addr)),
    )
    runtime.telemetry.register_counters(
        'damaskpin.worker.connections',
        'connections to the worker',
        lambda: {'opened': connections.opened},
    )
    listen(control.make_worker_application(runtime), settings.listen.control)
    serve_metrics(runtime.telemetry)
    runtime.start()
    await wait_for_stop()
    await runtime.close()
    connections.close()


def serve_metrics(telemetry: Telemetry) -> None:
    """Serve metrics at the address in DAMASKPIN_METRICS, if it is set."""
    address = os.environ.get(METRICS_VARIABLE, '')
    if address:
        listen(metrics.make_metrics_application(telemetry), address)


def listen(application: web.Application, address: str) -> None:
    """Serve an HTTP application at an address.

    :param address: IP address and port, separated by a colon.
    :raises damaskpin.errors.SettingsError: the address is malformed or can't
        be listened on.
    """
    server = httpserver.HTTPServer(
        application, max_body_size=MAX_BODY_BYTES, no_keep_alive=False
    )
    host, _, port = address.rpartition(':')
    try:
        server.listen(int(port), host)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f'{address}: {error}') from error


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    # SIGHUP announces a changed settings file. It is only logged: settings are
    # read at the start and take effect at the next one.
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: LOG.info('settings file changed; restart to apply it'),
    )
    LOG.info('process started')
    await stopping.wait()
    LOG.info('process stopping')


def main() -> None:
    """Load the settings and run an agent or an entry until it stops."""
    try:
        settings = settings_module.load_settings()
        logs.configure_logging('INFO', settings.node, sys.stdout)
        run_role = run_agent if settings.app else run_entry
        asyncio.run(run_role(settings))
        LOG.info('process stopped')
    except errors.SettingsError as error:
        sys.exit(f'damaskpin: {error}')


if __name__ == '__main__':
    main()
