"""Tests of the store client against the stand-in over HTTP."""

import asyncio
import contextlib
import socket

import pytest

from damaskpin import errors
from damaskpin.store import client as clients
from damaskpin.store import failures
from damaskpin.store import values


def test_values_are_read_back_unchanged_with_their_revisions(run_with_store):
    """Guards against wrong encoding of bytes (base64) and int64 (strings)."""

    async def scenario(server, client):
        value = bytes(range(256)) * 4096
        first = await client.put('/a/1', value)
        second = await client.put('/a/1', b'2')
        other = await client.put('/a/2', value)
        await client.put('/b', b'')
        assert first < second < other
        listing = await client.list_prefix('/a/')
        assert [item.key for item in listing.items] == ['/a/1', '/a/2']
        assert listing.revision == other + 1
        assert listing.items[1].value == value
        assert listing.items[0] == values.KeyValue(
            '/a/1', b'2', second, first, 2
        )
        assert (await client.get('/b')).value == b''
        assert await client.delete('/b')
        assert not await client.delete('/b')
        assert await client.get('/b') is None

    run_with_store(scenario)


def test_value_beyond_the_limit_is_refused_and_not_written(run_with_store):
    async def scenario(server, client):
        with pytest.raises(errors.StoreUnavailableError, match='too large'):
            await client.put('/a', b'x' * (1024 * 1024 + 1))
        assert await client.get('/a') is None

    run_with_store(scenario)


def test_create_and_swap_return_the_conflicting_value(run_with_store):
    """Guards against two concurrent writers that both report success."""

    async def scenario(server, client):
        created = await client.create('/a', b'1')
        assert created.succeeded
        second_result = await client.create('/a', b'2')
        assert not second_result.succeeded
        assert second_result.reads[0].value == b'1'
        swapped = await client.compare_and_swap('/a', created.revision, b'3')
        assert swapped.succeeded
        assert swapped.revision > created.revision
        stale_result = await client.compare_and_swap(
            '/a', created.revision, b'4'
        )
        assert not stale_result.succeeded
        assert stale_result.reads[0].mod_revision == swapped.revision

    run_with_store(scenario)


def test_transaction_is_atomic_and_has_one_revision(run_with_store):
    async def scenario(server, client):
        result = await client.transact(
            [values.HasVersion('/a', 0)],
            [values.Put('/a', b'1'), values.Put('/b', b'2')],
        )
        listing = await client.list_prefix('/')
        assert {item.mod_revision for item in listing.items} == {
            result.revision
        }
        with pytest.raises(errors.StoreLeaseError):
            await client.transact(
                [values.HasValue('/a', b'1')],
                [values.Put('/a', b'3'), values.Put('/b', b'4', lease=99)],
            )
        assert await client.list_prefix('/') == listing

    run_with_store(scenario)


def test_expired_lease_removes_its_keys_and_cannot_be_used(run_with_store):
    """Guards against a paused process that still uses an expired lease."""

    async def scenario(server, client):
        lease = await client.grant_lease(10)
        await client.put('/a', b'1', lease.id)
        await client.keep_lease(lease.id)
        server.store.set_faults(type(server.store.faults)(expire_leases=True))
        assert await client.get('/a') is None
        with pytest.raises(errors.StoreLeaseError):
            await client.keep_lease(lease.id)
        with pytest.raises(errors.StoreLeaseError):
            await client.put('/a', b'2', lease.id)
        await client.revoke_lease(lease.id)
        short_lease = await client.grant_lease(1)
        await client.put('/a', b'1', short_lease.id)
        await asyncio.sleep(1.3)
        assert await client.get('/a') is None

    run_with_store(scenario)


@pytest.mark.parametrize(
    ('faults', 'error', 'written'),
    [
        ({'down': '503'}, errors.StoreUnavailableError, False),
        ({'down': 'closed'}, errors.StoreUncertainError, False),
        ({'lose_answers': 1}, errors.StoreUncertainError, True),
        ({'slow': 0.8}, errors.StoreUncertainError, True),
    ],
)
def test_failed_write_tells_whether_it_may_have_taken_effect(
    run_with_store, faults, error, written
):
    """Guards against StoreUnavailableError for a write that took effect."""

    async def scenario(server, client):
        for name, value in faults.items():
            setattr(server.store.faults, name, value)
        with pytest.raises(error):
            await client.put('/a', b'1')
        await asyncio.sleep(0.6)
        server.store.faults.down = ''
        server.store.faults.slow = 0.0
        assert (await client.get('/a') is not None) == written

    run_with_store(scenario)


def test_failed_read_is_reported_as_unavailable_not_unknown(run_with_store):
    async def scenario(server, client):
        server.store.faults.down = 'closed'
        with pytest.raises(errors.StoreUnavailableError):
            await client.get('/a')

    run_with_store(scenario)


def test_refused_connection_means_that_nothing_was_written():
    async def scenario():
        with contextlib.closing(socket.socket()) as unused_socket:
            unused_socket.bind(('127.0.0.1', 0))
            port = unused_socket.getsockname()[1]
            client = clients.StoreClient(f'http://127.0.0.1:{port}')
            with pytest.raises(errors.StoreUnavailableError):
                await client.put('/a', b'1')

    asyncio.run(scenario())


def test_silent_connection_is_unknown_within_the_timeout():
    """Guards against a call that never ends if the store stops answering."""

    async def scenario():
        closed = asyncio.Event()

        async def stay_silent(reader, writer):
            await reader.read()
            writer.close()
            closed.set()

        silent = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
        port = silent.sockets[0].getsockname()[1]
        client = clients.StoreClient(f'http://127.0.0.1:{port}', 0.2)
        with pytest.raises(errors.StoreUncertainError):
            await asyncio.wait_for(client.put('/a', b'1'), 2)
        client.close()
        silent.close()
        await asyncio.wait_for(closed.wait(), 10.0)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('message', 'error'),
    [
        ('etcdserver: no leader', errors.StoreUnavailableError),
        ('etcdserver: request timed out', errors.StoreUncertainError),
        ('etcdserver: leader changed', errors.StoreUncertainError),
    ],
)
def test_unavailable_answers_after_a_proposal_are_unknown(message, error):
    """Guards against StoreUnavailableError for a write still in progress.

    etcd answers 503 also for proposed writes, which may still be applied.
    """
    body = b'{"error":"","code":14,"message":"%s"}' % message.encode()
    assert type(failures.make_answer_error('/p', 503, body)) is error
    assert (
        type(failures.make_answer_error('/p', 503, b'<html>'))
        is errors.StoreUncertainError
    )


def test_stale_answer_has_an_older_revision(run_with_store):
    async def scenario(server, client):
        first = await client.put('/a', b'1')
        second = await client.put('/a', b'2')
        server.store.faults.stale = 1
        assert (await client.get('/a')).mod_revision == first
        swapped = await client.compare_and_swap('/a', second, b'3')
        assert swapped.succeeded

    run_with_store(scenario)
