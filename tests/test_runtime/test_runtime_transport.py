"""Tests of HTTP calls without an answer."""

from __future__ import annotations

import asyncio
import functools
import socket

import pytest

from damaskpin import errors
from damaskpin import transport


async def _call_silent_server(timeout: float) -> None:
    closed = asyncio.Event()

    async def stay_silent(reader, writer):
        await reader.read(100)
        # The client closes its connection after the timeout.
        await reader.read()
        writer.close()
        closed.set()

    server = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    caller = transport.HttpCaller(f'127.0.0.1:{port}')
    try:
        await caller.call(transport.HttpRequest('GET', '/', None, timeout))
    finally:
        caller.close()
        server.close()
        await asyncio.wait_for(closed.wait(), 10.0)


def test_timeout_raises_call_error_marked_sent():
    """Guards against a timeout exception that ends the calling loop."""
    with pytest.raises(errors.CallError) as caught:
        asyncio.run(_call_silent_server(0.2))
    assert caught.value.sent


def test_refused_connection_raises_call_error_marked_unsent():
    """Guards against treating an unsent call as one with unknown result."""

    async def call():
        caller = transport.HttpCaller('127.0.0.1:9')
        await caller.call(transport.HttpRequest('GET', '/', None, 0.5))

    with pytest.raises(errors.CallError) as caught:
        asyncio.run(call())
    assert not caught.value.sent


async def _call_full_server() -> None:
    """Call a server whose queue of new connections is full."""
    server = socket.socket()
    server.bind(('127.0.0.1', 0))
    server.listen(0)
    waiting = [socket.socket() for _ in range(3)]
    for connection in waiting:
        connection.setblocking(False)
        connection.connect_ex(server.getsockname())
    caller = transport.HttpCaller(f'127.0.0.1:{server.getsockname()[1]}')
    try:
        await caller.call(transport.HttpRequest('POST', '/', b'{}', 0.2))
    finally:
        caller.close()
        server.close()
        for connection in waiting:
            connection.close()


async def _call(address: str) -> None:
    caller = transport.HttpCaller(address)
    try:
        await caller.call(transport.HttpRequest('POST', '/', b'{}', 0.5))
    finally:
        caller.close()


@pytest.mark.parametrize(
    ('call', 'refused'),
    [
        (functools.partial(_call, '127.0.0.1:9'), True),
        (functools.partial(_call, '255.255.255.255:9'), False),
        (_call_full_server, False),
    ],
    ids=['no listener', 'no network', 'full queue'],
)
def test_only_a_refused_connection_is_marked_refused(call, refused):
    """Guards against a living worker that counts as one that has left.

    libcurl has the same error for a refused connection and for a network that
    can't be reached. A server with a full queue does not answer at all.
    """
    with pytest.raises(errors.CallError) as caught:
        asyncio.run(call())
    assert caught.value.refused is refused


class _SilencedServer:
    """Answers each request; connections may go silent while new ones work."""

    def __init__(self):
        self.server = None
        self._silenced = set()
        self._connections = set()
        self._handlers = set()

    async def start(self):
        """Listen on a free port; return it."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    def silence_connections(self):
        """Leave all requests on the open connections unanswered."""
        self._silenced |= self._connections

    async def stop(self):
        """Stop listening and close all connections.

        Connections that are left open would be closed by the garbage collector
        within another test.
        """
        self.server.close()
        for writer in self._connections:
            writer.close()
        await asyncio.gather(*self._handlers)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        self._handlers.add(asyncio.current_task())
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                await asyncio.sleep(0.02)
                if writer not in self._silenced:
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def test_one_timeout_is_enough_to_leave_all_silent_connections():
    """Guards against a timeout for each connection that a burst has opened.

    After all went silent, each call took the oldest of them.
    """

    async def call():
        server = _SilencedServer()
        caller = transport.HttpCaller(f'127.0.0.1:{await server.start()}')
        # Only the silence may last longer than the timeout.
        request = transport.HttpRequest('GET', '/', None, 1.5)
        await asyncio.gather(*(caller.call(request) for _ in range(8)))
        server.silence_connections()
        timeouts = 0
        for _ in range(8):
            try:
                await caller.call(request)
            except errors.CallError:
                timeouts += 1
        caller.close()
        await server.stop()
        return timeouts

    assert asyncio.run(call()) == 1
