"""Test of a call that libcurl sends again over a new connection."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import errors
from damaskpin import transport


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


def test_call_that_a_server_has_read_is_marked_sent():
    """Guards against a call that counts as not made and takes effect.

    A connection that was kept is reset after the server has read a call.
    libcurl makes the call again over a new connection, which is refused. A
    start, or the acceptance of a job, may then count as certainly not made.
    """
    asyncio.run(_call_server_that_ends())
