"""Tests of calls that libcurl sends again over a new connection."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import errors
from damaskpin import transport
from damaskpin.agent import calls
from damaskpin.model import work
from damaskpin.peer import orders
from damaskpin.platform import worker as workers


async def _call_server_that_ends() -> list[bytes]:
    """Call a server twice; it reads the second call and then ends."""
    received = []

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n{}')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        received.append(await reader.readuntil(b'\r\n\r\n{}'))
        server.close()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    caller = transport.HttpCaller(f'127.0.0.1:{port}')
    request = transport.HttpRequest('POST', '/', b'{}', 2.0)
    try:
        assert (await caller.call(request)).status == 200
        with pytest.raises(errors.CallError) as caught:
            await caller.call(request)
        assert received, 'the server has not read the second call'
        assert caught.value.sent
    finally:
        caller.close()
        server.close()
        await asyncio.sleep(0.05)


def test_call_that_a_server_has_read_is_marked_sent():
    """Guards against a call that counts as not made and takes effect.

    A connection that was kept is reset after the server has read a call.
    libcurl makes the call again over a new connection, which is refused. A
    start, or the acceptance of a job, may then count as certainly not made.
    """
    asyncio.run(_call_server_that_ends())


class _ResettingWorker:
    """Worker that reads the first start and ends the connection.

    It refuses the second start with 503.

    :ivar starts: number of starts that it has read.
    """

    def __init__(self):
        self.starts = 0

    async def serve(self, reader, writer):
        try:
            while await self._answer(reader, writer):
                pass
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def _answer(self, reader, writer):
        headers = await reader.readuntil(b'\r\n\r\n')
        length = headers.lower().partition(b'content-length: ')[2].split()[0]
        await reader.readexactly(int(length))
        status = '200 OK'
        if b'run-start' in headers:
            self.starts += 1
            if self.starts == 1:
                return False
            status = '503 Service Unavailable'
        answer = f'HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}'
        writer.write(answer.encode())
        return True


async def _start_run(worker) -> calls.Result:
    """Return the result of a start over a connection that was kept."""
    server = await asyncio.start_server(worker.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    caller = transport.HttpCaller(f'127.0.0.1:{port}')
    client = workers.WorkerClient(caller)
    lifetime = work.Lifetime('w1', 1000)
    run = work.Run(work.Item('0' * 16, 0, 0, 0), 1)
    order = orders.StartOrder(run, 'content', '')
    try:
        await client.renew_lease(calls.PollCall(lifetime, 5, 0, None, 0.0, 5))
        return await client.start(calls.StartCall(lifetime, 5, 9000, order, 5))
    finally:
        caller.close()
        server.close()
        await asyncio.sleep(0.05)


def test_refusal_of_a_repeated_start_does_not_vouch_for_the_first():
    """Guards against a run that executes twice.

    A worker that answers 503 has done nothing for this call. It says nothing
    about the first one, which it has read and may carry out.
    """
    worker = _ResettingWorker()
    result = asyncio.run(_start_run(worker))
    assert worker.starts, 'the worker has not read the start'
    assert not isinstance(result, calls.Refused)


class _Server:
    """Server that ends some of its connections.

    :param answers: what each request gets, in order of arrival: whether it
        is answered, and whether the connection is ended afterwards. Further
        requests are answered.
    :ivar received: method of each request that was read.
    """

    def __init__(self, answers):
        self._answers = iter(answers)
        self.received = []

    async def serve(self, reader, writer):
        try:
            while True:
                headers = await reader.readuntil(b'\r\n\r\n')
                if b'application/json' in headers:
                    await reader.readexactly(2)
                self.received.append(headers.split()[0].decode())
                is_answered, is_ended = next(self._answers, (True, False))
                if is_answered:
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
                    )
                if is_ended:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def _make_calls(server, requests, pause=0.0) -> list[object]:
    """Make calls in turn and return their statuses or errors.

    :param pause: seconds after each call.
    """
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    caller = transport.HttpCaller(f'127.0.0.1:{port}')
    results = []
    for request in requests:
        try:
            results.append((await caller.call(request)).status)
        except errors.CallError as error:
            results.append(error)
        await asyncio.sleep(pause)
    caller.close()
    listener.close()
    await asyncio.sleep(0.05)
    return results


READ = transport.HttpRequest('GET', '/', None, 2.0)
WRITES = [
    transport.HttpRequest('POST', '/', b'{}', 2.0),
    transport.HttpRequest('POST', '/', None, 2.0),
    transport.HttpRequest('DELETE', '/', None, 2.0),
]


@pytest.mark.parametrize('write', WRITES)
def test_write_without_an_answer_is_sent_only_once(write):
    """Guards against a write that takes effect twice, with or without body."""
    server = _Server([(True, False), (False, True), (True, False)])
    status, error = asyncio.run(_make_calls(server, [READ, write]))
    assert status == 200
    assert server.received == ['GET', write.method]
    assert isinstance(error, errors.CallError)
    assert error.sent
    assert str(error) == 'the connection ended without an answer'


def test_caller_works_on_after_a_write_without_an_answer():
    """Guards against a refusal to send that outlasts the call.

    The next calls take the handle and the connections of the failed one.
    """
    server = _Server([(True, False), (False, True)] + [(True, False)] * 5)
    requests = [READ, WRITES[0], READ, *WRITES, READ]
    results = asyncio.run(_make_calls(server, requests))
    assert [results[0], *results[2:]] == [200] * 6


def test_read_is_sent_again_when_its_connection_ends():
    """Guards against reads that fail whenever the server ends a connection."""
    server = _Server([(True, False), (False, True), (True, False)])
    assert asyncio.run(_make_calls(server, [READ, READ])) == [200, 200]
    assert len(server.received) == 3


@pytest.mark.parametrize('write', WRITES)
def test_write_does_not_use_an_idle_connection_that_has_ended(write):
    """Guards against writes that fail because a server ends idle connections.

    The connection is seen to have ended before the write is sent. libcurl
    itself does not look at one that was used within the last second.
    """
    server = _Server([(True, True)] * 10)
    results = asyncio.run(_make_calls(server, [write] * 10, 0.02))
    assert results == [200] * 10


def test_write_to_a_server_that_is_gone_counts_as_unsent():
    """Guards against a refusal that counts as unknown after an outage.

    The server has ended the connection, and new ones are refused.
    """

    async def call():
        server = _Server([(True, True)])
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        caller = transport.HttpCaller(f'127.0.0.1:{port}')
        await caller.call(WRITES[0])
        listener.close()
        await asyncio.sleep(0.05)
        try:
            await caller.call(WRITES[0])
        finally:
            caller.close()

    with pytest.raises(errors.CallError) as caught:
        asyncio.run(call())
    assert not caught.value.sent


def test_answer_counts_though_the_connection_ends_with_it():
    """Guards against an answer that is taken for a connection without one."""
    server = _Server([(True, False), (True, True)])
    results = asyncio.run(_make_calls(server, [WRITES[0]] * 2))
    assert results == [200, 200]
