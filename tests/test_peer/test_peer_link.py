"""Tests of calls between processes over pynng."""

from __future__ import annotations

import asyncio

import psutil
import pytest

from damaskpin import errors
from damaskpin.peer import codec as codecs
from damaskpin.peer import gang_messages
from damaskpin.peer import link
from damaskpin.peer import messages

CODEC = codecs.Codec(b'key')
CLOSE_LIMIT_S = 2.0


def make_frame(*contents: messages.Message) -> messages.Frame:
    return messages.Frame('a', 'a-1', 'tcp://127.0.0.1:1', contents)


def echo(frame: messages.Frame) -> messages.Frame:
    return frame


async def open_listener(first: int) -> tuple[link.Listener, str]:
    for port in range(first, first + 100):
        address = f'tcp://127.0.0.1:{port}'
        try:
            return link.Listener(address, CODEC, echo), address
        except errors.SettingsError:
            continue
    raise AssertionError('no free port')


def test_call_returns_the_reply():
    """Guards against a call that returns the reply to another call."""

    async def run() -> messages.Frame:
        listener, address = await open_listener(30_100)
        connection = link.Link(address, CODEC)
        try:
            await connection.call(make_frame(gang_messages.Commit('a.1')))
            return await connection.call(
                make_frame(gang_messages.Commit('a.2'))
            )
        finally:
            connection.close()
            await listener.close()

    assert asyncio.run(run()).messages == (gang_messages.Commit('a.2'),)


def test_call_of_a_dead_peer_is_reported_as_not_delivered():
    """Guards against an undelivered request that is reported as maybe run."""

    async def run() -> None:
        connection = link.Link('tcp://127.0.0.1:1', CODEC)
        try:
            await connection.call(make_frame(), timeout=0.3)
        finally:
            connection.close()

    with pytest.raises(errors.PeerUnreachableError):
        asyncio.run(run())


def test_listener_closes_at_once_during_a_call():
    """Guards against a daemon that hangs when it is shut down.

    pynng may report a cancelled receive as an error of its own; the serving
    task then continued to receive.
    """

    async def run() -> None:
        for _ in range(30):
            listener, address = await open_listener(30_200)
            connection = link.Link(address, CODEC)
            await connection.call(make_frame())
            call = asyncio.ensure_future(
                connection.call(make_frame(), timeout=0.2)
            )
            await asyncio.sleep(0)
            await asyncio.wait_for(listener.close(), CLOSE_LIMIT_S)
            await asyncio.gather(call, return_exceptions=True)
            connection.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    'address',
    ['[[[[[', 'x' * 5000, 'tcp://127.0.0.1:99999', 'tcp://127.0.0.1:7/path'],
)
def test_call_to_an_odd_address_fails_and_leaves_nothing_open(address):
    """Guards against an odd entry that costs a socket with each call."""

    async def call():
        connection = link.Link(address, CODEC)
        frame = make_frame()
        await _fail(connection, frame)
        process = psutil.Process()
        before = process.num_fds()
        for _ in range(5):
            await _fail(connection, frame)
        return process.num_fds() - before

    assert asyncio.run(call()) <= 0


async def _fail(connection, frame):
    with pytest.raises(errors.PeerError):
        await connection.call(frame, 0.05)
