"""Simulated target: HTTP server that announces itself to its agent.

``POST /`` echoes the body; a JSON body may hold ``sleep`` (seconds) and
``fail`` (answer with status 500). ``GET /stats`` returns the number of
executions of each attempt, which shows requests that ran twice.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import Any

import fire
from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.8
TTL_S = 3.0
MAX_BODY_BYTES = 1024 * 1024
MAX_SLEEP_S = 3600.0


class State:
    """Counters and state of the target.

    :ivar executions: number of executions, by attempt.
    :ivar finished: number of finished requests.
    :ivar leaving: whether the target is shutting down.
    :ivar peak: largest number of requests executed at the same time.
    :ivar running: number of requests being executed.
    """

    __slots__ = ('executions', 'finished', 'leaving', 'peak', 'running')

    def __init__(self) -> None:
        self.executions: dict[str, int] = {}
        self.finished = 0
        self.running = 0
        self.peak = 0
        self.leaving = False


class RunHandler(web.RequestHandler):
    """Executes a request: sleeps, then answers with its body."""

    def initialize(self, state: State) -> None:
        self._state = state

    async def post(self) -> None:
        state = self._state
        attempt = self.request.headers.get('Damaskpin-Attempt', '')
        count = state.executions.get(attempt, 0) + 1
        state.executions[attempt] = count
        state.running += 1
        state.peak = max(state.peak, state.running)
        try:
            options = _parse_options(self.request.body)
            await asyncio.sleep(options['sleep'])
        finally:
            state.running -= 1
            state.finished += 1
        if options['fail']:
            self.set_status(500)
        self.set_header(
            'Content-Type',
            self.request.headers.get(
                'Content-Type', 'application/octet-stream'
            ),
        )
        self.set_header('Damaskpin-Executions', str(count))
        self.finish(self.request.body)


class StatsHandler(web.RequestHandler):
    """Returns the counters as JSON."""

    def initialize(self, state: State) -> None:
        self._state = state

    def get(self) -> None:
        state = self._state
        self.finish(
            {
                'pid': os.getpid(),
                'executions': state.executions,
                'repeated': {
                    attempt: count
                    for attempt, count in state.executions.items()
                    if count > 1
                },
                'running': state.running,
                'peak': state.peak,
                'finished': state.finished,
                'leaving': state.leaving,
            }
        )


class Announcer:
    """Announces the target to its agent at regular intervals.

    Only one call is made at a time, so announcements arrive in order.

    :param agent: URL of the agent.
    :param service: name of the service.
    :param body: content of the announcements.
    """

    __slots__ = ('_body', '_client', '_stop', '_url')

    def __init__(self, agent: str, service: str, body: dict[str, Any]) -> None:
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._url = f'{agent.rstrip("/")}/v1/targets/{service}'
        self._body = body
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Announce the target until ``leave`` is called, then withdraw it."""
        while not self._stop.is_set():
            await self._announce(leaving=False)
            try:
                await asyncio.wait_for(self._stop.wait(), ANNOUNCE_INTERVAL_S)
            except TimeoutError:
                continue
        await self._announce(leaving=True)

    def leave(self) -> None:
        """Request the last announcement, which withdraws the target."""
        self._stop.set()

    async def _announce(self, leaving: bool) -> None:
        body = json.dumps(self._body | {'leaving': leaving})
        try:
            await self._client.fetch(
                self._url,
                method='PUT',
                body=body,
                request_timeout=ANNOUNCE_TIMEOUT_S,
            )
        except Exception as error:
            # The agent may be restarting; a later announcement will reach it.
            print(
                f'announcing the target to the agent failed: {error}',
                file=sys.stderr,
            )


def serve(
    port: int,
    agent: str = '',
    service: str = 'shortlist',
    slots: int = 8,
    ttl: float = TTL_S,
) -> None:
    """Serve requests until SIGTERM or SIGINT, then finish those in progress.

    :param port: TCP port on 127.0.0.1; 0 takes a free one, which is printed.
    :param agent: URL of the agent's local HTTP server; empty for none.
    :param service: name of the service.
    :param slots: announced number of requests served at the same time.
    :param ttl: seconds after which an announcement expires.
    """
    asyncio.run(_serve(port, agent, service, slots, ttl))


async def _serve(
    port: int, agent: str, service: str, slots: int, ttl: float
) -> None:
    state = State()
    application = web.Application(
        [
            ('/', RunHandler, {'state': state}),
            ('/stats', StatsHandler, {'state': state}),
        ],
        log_function=lambda handler: None,
    )
    sockets = netutil.bind_sockets(port, '127.0.0.1')
    server = httpserver.HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    bound_port = sockets[0].getsockname()[1]
    print(json.dumps({'port': bound_port, 'service': service}), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    announcement_task = None
    if agent:
        announcer = Announcer(
            agent,
            service,
            {
                'url': f'http://127.0.0.1:{bound_port}/',
                'slots': slots,
                'ttl': ttl,
            },
        )
        announcement_task = asyncio.ensure_future(announcer.run())
    await stop.wait()
    state.leaving = True
    if announcement_task is not None:
        announcer.leave()
        await announcement_task
    # Requests that the agent sent before it received the withdrawal may still
    # arrive.
    await asyncio.sleep(0.1)
    while state.running:
        await asyncio.sleep(0.02)
    server.stop()
    await server.close_all_connections()


def _parse_options(body: bytes) -> dict[str, Any]:
    options: dict[str, Any] = {'sleep': 0.0, 'fail': False}
    try:
        value = json.loads(body)
    except ValueError:
        return options
    if not isinstance(value, dict):
        return options
    sleep = value.get('sleep', 0.0)
    if isinstance(sleep, int | float) and 0 <= sleep <= MAX_SLEEP_S:
        options['sleep'] = float(sleep)
    options['fail'] = value.get('fail') is True
    return options


if __name__ == '__main__':
    fire.Fire(serve)
