"""Tests of how fast an agent finds that its worker has ended."""

from __future__ import annotations

import asyncio

from damaskpin import transport
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.platform import worker as workers
from damaskpin.runtime import agent as agents
from damaskpin.runtime import clocks
from damaskpin.runtime import options
from damaskpin.store import transactions

LIFETIME = work.Lifetime('w1', 1000)
# Time in seconds for which the worker goes on after its notice.
STAY_S = 0.3
# Time in seconds after the end by which the agent must have found it; without
# the notice it would wait for the end of a lease of 7 s.
MAX_SEARCH_S = 1.5


class _Worker:
    """Worker that answers each poll at once, or after the wait it names."""

    def __init__(self):
        self.polls = 0
        self._connections = set()
        self._server = None

    async def start(self):
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def end(self):
        """End the process: connections are reset, new ones refused."""
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length: ')[2]
                body = await reader.readexactly(int(length.split()[0]))
                self.polls += 1
                if b'"waitMs":0' not in body:
                    await asyncio.sleep(0.5)
                answer = b'{"clockMs":2000,"born":1000}'
                size = str(len(answer)).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: '
                    + size
                    + b'\r\n\r\n'
                    + answer
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


class _Store:
    """Store without entries."""

    async def list_page(self, prefix, after='', stale=False):
        return transactions.Page((), 1, False)


def _make_runtime(address):
    settings = options.Options(
        instance='agent',
        listen='tcp://127.0.0.1:0',
        address='tcp://127.0.0.1:0',
        fleet_key=b'key',
        seeds=(),
        grant_duration=13.5,
        lease_duration=7.0,
        stop_time=0.9,
    )
    client = workers.WorkerClient(transport.HttpCaller(address))
    return agents.AgentRuntime(settings, client, _Store())


def _register(agent, draining):
    capacity = work.Resources(1000, 1000, 8)
    profile = orders.WorkerProfile(
        LIFETIME, 's', 'dc', 'r1', ('a', 'r1'), capacity, draining, 0.0
    )
    agent.handle_heartbeat(clocks.get_monotonic_time(), profile, 1000)


async def _wait_until(condition, seconds):
    """Wait until a condition holds; return the seconds that it took."""
    started = clocks.get_monotonic_time()
    while not condition():
        elapsed = clocks.get_monotonic_time() - started
        assert elapsed < seconds, f'no change within {seconds} s'
        await asyncio.sleep(0.01)
    return clocks.get_monotonic_time() - started


async def _play_departure():
    worker = _Worker()
    runtime = _make_runtime(await worker.start())
    agent = runtime.agent
    runtime.start()
    try:
        _register(agent, False)
        now = clocks.get_monotonic_time()
        agent.handle_orders(
            now, orders.Orders(5, 1, 'c', LIFETIME, now, 0, (), (), ())
        )
        await _wait_until(lambda: worker.polls, 5.0)
        _register(agent, True)
        agent.handle_leave(clocks.get_monotonic_time(), LIFETIME.worker)
        await asyncio.sleep(STAY_S)
        assert agent.profile is not None, 'the worker still answers'
        worker.end()
        return await _wait_until(lambda: agent.profile is None, MAX_SEARCH_S)
    finally:
        worker.end()
        await runtime.close()


def test_end_after_a_notice_is_found_without_waiting_for_the_lease():
    """Guards against runs that wait for seconds although they have ended."""
    assert asyncio.run(_play_departure()) < MAX_SEARCH_S
