"""Tests of HTTP calls without an answer."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin import errors
from damaskpin import transport


async def _call_silent_server(timeout: float) -> None:
    async def stay_silent(reader, writer):
        await reader.read(100)
        await asyncio.sleep(10)

    server = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    caller = transport.HttpCaller(f'127.0.0.1:{port}')
    try:
        await caller.call(transport.HttpRequest('GET', '/', None, timeout))
    finally:
        caller.close()
        server.close()


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
