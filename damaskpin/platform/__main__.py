"""Starts the role that the settings file names."""

from __future__ import annotations

import asyncio
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

if TYPE_CHECKING:
    from tornado import web

    from damaskpin.telemetry import Telemetry

LOG = logging.getLogger(__name__)

CONFIG_KEY = 'op/config'

# Address and port on which metrics are served; empty for none.
METRICS_VARIABLE = 'DAMASKPIN_METRICS'

# Bytes of a request at most; the configuration's own limit is lower.
MAX_BODY_BYTES = 1 << 20

# The platform sends new connections elsewhere after two missed checks, one a
# second; open ones are told to close with their next answer.
DRAIN_TIME_S = 3.0

# The platform kills a process after its grace time; an entry ends before it.
EXIT_MARGIN_S = 1.0

# Time without a request in progress after which an entry ends.
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
    await entry.close()


def make_advisor(
    settings: settings_module.Settings,
) -> advisor.AdvisorClient | None:
    """Return access to the advisor, if the installation has one."""
    if not settings.advice:
        return None
    return advisor.AdvisorClient(transport.HttpCaller(settings.advice))


async def drain_requests(entry: entries.Entry, grace: float) -> None:
    """Serve until the platform has moved the callers away.

    :param grace: seconds from SIGTERM until the process is killed.
    """
    longest = grace - EXIT_MARGIN_S
    waited = min(DRAIN_TIME_S, longest)
    await asyncio.sleep(waited)
    while waited < longest:
        busy = entry.in_flight > 0
        await asyncio.sleep(IDLE_TIME_S)
        waited += IDLE_TIME_S
        if not busy and not entry.in_flight:
            return


async def run_agent(settings: settings_module.Settings) -> None:
    """Run an agent until SIGTERM."""
    runtime = agents.AgentRuntime(
        settings.make_options(),
        worker.WorkerClient(transport.HttpCaller(settings.app)),
        store.StoreClient(transport.HttpCaller(settings.platform.addr)),
    )
    listen(control.make_worker_application(runtime), settings.listen.control)
    serve_metrics(runtime.telemetry)
    runtime.start()
    await wait_for_stop()
    await runtime.close()


def serve_metrics(telemetry: Telemetry) -> None:
    """Serve metrics at the address of the environment, if there is one."""
    address = os.environ.get(METRICS_VARIABLE, '')
    if address:
        listen(metrics.make_metrics_application(telemetry), address)


def listen(application: web.Application, address: str) -> None:
    """Serve an application at an address.

    :raises damaskpin.errors.SettingsError: the address can't be used.
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
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # A changed settings file takes effect at the next start; nothing that it
    # may change is read while the process runs.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: LOG.info('settings file has changed')
    )
    LOG.info('started')
    await stopping.wait()
    LOG.info('stopping')


def main() -> None:
    """Run the role of this process."""
    try:
        settings = settings_module.load_settings()
        logs.configure_logging('INFO', settings.node, sys.stdout)
        role = run_agent if settings.app else run_entry
        asyncio.run(role(settings))
        LOG.info('stopped')
    except errors.SettingsError as error:
        sys.exit(f'damaskpin: {error}')


if __name__ == '__main__':
    main()
