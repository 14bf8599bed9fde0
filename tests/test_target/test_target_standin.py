"""Tests of the announcements and the client with the stand-in target."""

import asyncio
import contextlib
import json
import signal
import socket
import sys

import pytest
from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

from damaskpin import verdict
from damaskpin.target import announcements
from damaskpin.target import client as clients


class Agent:
    """Local HTTP server of an agent that records announcements."""

    def __init__(self):
        self.announced = []
        self.withdrawn = []
        application = web.Application(
            announcements.make_handlers(self.on_announce, self.on_withdraw),
            log_function=lambda handler: None,
        )
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'

    def on_announce(self, service, value):
        self.announced.append((service, value))

    def on_withdraw(self, service):
        self.withdrawn.append(service)

    async def call(self, method, service, body=None):
        return await httpclient.AsyncHTTPClient().fetch(
            f'{self.url}/v1/targets/{service}',
            method=method,
            body=body,
            raise_error=False,
        )


@contextlib.asynccontextmanager
async def run_target(agent='', **arguments):
    arguments = {'port': 0, 'service': 'shortlist'} | arguments
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'standins.target',
        *(f'--{name}={value}' for name, value in arguments.items()),
        f'--agent={agent}',
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        port = json.loads(line)['port']
        yield process, f'http://127.0.0.1:{port}'
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def fetch_stats(url):
    response = await httpclient.AsyncHTTPClient().fetch(f'{url}/stats')
    return json.loads(response.body)


def call(client, url, attempt='a.1', body=b'{}', timeout=5.0):
    return client.call(f'{url}/', attempt, body, 'application/json', timeout)


def test_standin_reports_attempts_that_were_executed_twice():
    async def run():
        client = clients.TargetClient()
        async with run_target() as (_, url):
            answer = await call(client, url, body=b'{"x": 1}')
            assert answer == verdict.Answer(
                200, b'{"x": 1}', 'application/json'
            )
            assert (await fetch_stats(url))['repeated'] == {}
            await call(client, url)
            assert (await fetch_stats(url))['repeated'] == {'a.1': 2}

    asyncio.run(run())


def test_error_status_of_a_target_is_a_complete_answer():
    async def run():
        async with run_target() as (_, url):
            answer = await call(
                clients.TargetClient(), url, body=b'{"fail": true}'
            )
            assert answer.status == 500

    asyncio.run(run())


def test_refused_connection_is_known_not_to_have_reached_the_target():
    async def run():
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            port = unused.getsockname()[1]
            with pytest.raises(clients.CallError) as caught:
                await call(clients.TargetClient(), f'http://127.0.0.1:{port}')
        assert not caught.value.reached

    asyncio.run(run())


def test_timeout_and_broken_connection_may_have_reached_the_target():
    async def run():
        client = clients.TargetClient()
        async with run_target() as (process, url):
            with pytest.raises(clients.CallError) as caught:
                await call(client, url, body=b'{"sleep": 5}', timeout=0.3)
            assert caught.value.reached
            pending = asyncio.ensure_future(
                call(client, url, body=b'{"sleep": 5}')
            )
            await asyncio.sleep(0.3)
            process.kill()
            with pytest.raises(clients.CallError) as caught:
                await pending
            assert caught.value.reached

    asyncio.run(run())


def test_call_that_waits_for_a_connection_has_not_reached_the_target():
    async def run():
        client = clients.TargetClient(max_connections=1)
        async with run_target() as (_, url):
            first = asyncio.ensure_future(
                call(client, url, 'a.1', b'{"sleep": 1}')
            )
            await asyncio.sleep(0.2)
            with pytest.raises(clients.CallError) as caught:
                await call(client, url, 'a.2', timeout=0.2)
            assert not caught.value.reached
            await first
            assert 'a.2' not in (await fetch_stats(url))['executions']

    asyncio.run(run())


def test_truncated_answer_is_an_error():
    async def run():
        async def answer(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf')
            writer.close()

        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(clients.CallError) as caught:
            await call(clients.TargetClient(), f'http://127.0.0.1:{port}')
        assert caught.value.reached
        server.close()

    asyncio.run(run())


def test_stopping_target_announces_it_and_finishes_its_requests():
    async def run():
        agent = Agent()
        async with run_target(agent.url) as (process, url):
            async with asyncio.timeout(10):
                while not agent.announced:
                    await asyncio.sleep(0.05)
            pending = asyncio.ensure_future(
                call(clients.TargetClient(), url, body=b'{"sleep": 1}')
            )
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            assert (await pending).status == 200
            assert await asyncio.wait_for(process.wait(), 10) == 0
        assert not agent.announced[0][1].leaving
        assert agent.announced[-1][1].leaving

    asyncio.run(run())


@pytest.mark.parametrize(
    ('service', 'body'),
    [
        ('shortlist', 'no json'),
        ('shortlist', '{}'),
        ('shortlist', '{"url": "ftp://127.0.0.1/"}'),
        ('shortlist', '{"url": "http://"}'),
        ('shortlist', '{"url": "http://127.0.0.1:99999/"}'),
        ('shortlist', '{"url": "http://127.0.0.1/", "slots": 0}'),
        ('shortlist', '{"url": "http://127.0.0.1/", "ttl": 60}'),
        ('shortlist', '{"url": "http://127.0.0.1/", "extra": 1}'),
        ('.hidden', '{"url": "http://127.0.0.1/"}'),
        ('shortlist', ' ' * 20_000),
    ],
)
def test_invalid_announcement_is_refused_with_a_problem(service, body):
    async def run():
        agent = Agent()
        response = await agent.call('PUT', service, body)
        assert response.code in (400, 413)
        assert (
            response.headers['Content-Type']
            == announcements.PROBLEM_CONTENT_TYPE
        )
        assert json.loads(response.body)['status'] == response.code
        assert not agent.announced

    asyncio.run(run())


def test_withdrawal_is_idempotent():
    async def run():
        agent = Agent()
        for _ in range(2):
            response = await agent.call('DELETE', 'shortlist')
            assert response.code == 204
        assert agent.withdrawn == ['shortlist', 'shortlist']

    asyncio.run(run())
