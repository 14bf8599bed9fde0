"""Tests of answers of the store that take long to arrive.

When an entry has fallen behind, its watch returns all changes since, which may
be more than its link carries within a timeout. Given up and asked for again,
over more links than one, they would only grow.
"""

from __future__ import annotations

import asyncio
import functools
import time

import pytest

from damaskpin import errors
from damaskpin import transport
from damaskpin.platform import store as stores
from damaskpin.runtime import hedging
from damaskpin.runtime import mirror_follower
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions

TIMEOUT_S = 0.2
TRANSFER_S = 5.0
PARTS = 8
PART = b'x' * 1000


def _make_request(transfer=TRANSFER_S):
    return transport.HttpRequest(
        'GET', '/', None, TIMEOUT_S, transfer=transfer
    )


class _SlowServer:
    """Sends an answer in parts.

    :param gap: seconds between two parts.
    :param last: number of the part with which it stops.
    """

    def __init__(self, gap, last=PARTS):
        self._gap = gap
        self._last = last

    async def _answer(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        size = PARTS * len(PART)
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size)
        for _ in range(self._last):
            writer.write(PART)
            await writer.drain()
            await asyncio.sleep(self._gap)
        await reader.read()
        writer.close()

    async def call(self, request):
        """Make a call and return its result."""
        server = await asyncio.start_server(self._answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        caller = transport.HttpCaller(f'127.0.0.1:{port}')
        try:
            return await caller.call(request)
        finally:
            caller.close()
            server.close()


def test_answer_that_has_begun_may_take_longer_than_the_timeout():
    """Guards against an entry that asks for the same changes without end."""
    server = _SlowServer(2 * TIMEOUT_S / PARTS)
    answer = asyncio.run(server.call(_make_request()))
    assert len(answer.body) == PARTS * len(PART)


def test_answer_that_stops_on_the_way_is_marked_as_begun():
    """Guards against a large answer that passes for an outage."""
    server = _SlowServer(0.0, last=2)
    with pytest.raises(errors.CallError) as caught:
        asyncio.run(server.call(_make_request(transfer=0.3)))
    assert caught.value.begun
    assert caught.value.sent


def test_silent_server_is_given_up_at_the_timeout():
    """Guards against silence that is taken for a slow answer."""
    server = _SlowServer(0.0, last=0)
    begun = time.monotonic()
    with pytest.raises(errors.CallError) as caught:
        asyncio.run(server.call(_make_request()))
    assert time.monotonic() - begun < TRANSFER_S
    assert not caught.value.begun


def test_no_other_way_is_tried_while_an_answer_arrives():
    """Guards against a narrow link that carries the same answer twice."""
    tried = []

    async def answer(way, delay):
        tried.append(way)
        await asyncio.sleep(delay)
        return way

    progress = iter([True, True, False])
    answered = asyncio.run(
        hedging.call_first(
            [
                [functools.partial(answer, 'slow', 9.0)],
                [functools.partial(answer, 'other', 0.0)],
            ],
            0.02,
            2.0,
            lambda: next(progress),
        )
    )
    assert answered == 'other'
    assert next(progress, None) is None
    assert tried == ['slow', 'other']


def test_store_client_tells_a_slow_answer_from_silence():
    """Guards against a follower that can't tell when to read a listing."""

    class Caller:
        async def call(self, _request):
            raise errors.CallError('cut short', True, begun=True)

    client = stores.StoreClient(Caller())
    with pytest.raises(errors.StoreSlowAnswerError):
        asyncio.run(client.watch('p/', 1, 1.0))


def test_changes_that_do_not_arrive_in_time_are_replaced_by_a_listing():
    """Guards against a mirror that never catches up with the store."""

    class Store:
        def __init__(self):
            self.listings = 0

        async def list_page(self, prefix, after='', stale=False):
            self.listings += 1
            return transactions.Page((), False, 10 * self.listings)

        async def watch(self, prefix, after, wait):
            if after < 20:
                raise errors.StoreSlowAnswerError('too much')
            await asyncio.sleep(60)

    store = Store()

    async def follow():
        mirror = mirrors.Mirror('p/', lambda change: None)
        follower = mirror_follower.MirrorFollower(store, mirror, lambda: True)
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(3 * mirror_follower.RETRY_PAUSE_S)
        task.cancel()
        return mirror.revision

    assert asyncio.run(follow()) == 20
    assert store.listings == 2
