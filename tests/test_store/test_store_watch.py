"""Tests of the store watch against the stand-in over HTTP."""

import asyncio
import random
import time

from damaskpin.store import watch as watches


async def wait_until(condition, seconds=9):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, 'condition did not come true in time'
        await asyncio.sleep(0.01)


def make_watch(client, seen, prefix=False):
    return watches.Watch(
        client, '/a', seen.append, random.Random(1), prefix=prefix
    )


def test_watch_resumes_after_outages_without_gap_or_repeat(run_with_store):
    """Guards against changes lost or reported twice after a reconnect."""

    async def scenario(server, client):
        written = [await client.put('/a', b'0')]
        seen = []
        watch = make_watch(client, seen)
        watch.start()
        for down in ('503', 'closed'):
            await wait_until(lambda: watch.connected)
            written.append(await client.put('/a', b'1'))
            await wait_until(lambda: len(seen) == len(written))
            server.store.set_faults(type(server.store.faults)(down=down))
            await wait_until(lambda: not watch.connected)
            # These writes are made directly in the stand-in's state, and the
            # watch sees them only after it has reconnected.
            for value in (b'2', b'3'):
                server.store.state.put(
                    b'/a', value, 0, server.store.state.revision + 1
                )
                server.store.state.finish_write()
                written.append(server.store.state.revision)
            server.store.set_faults(type(server.store.faults)())
            await wait_until(lambda: len(seen) == len(written))
        assert [change.revision for change in seen] == written
        await watch.close()

    run_with_store(scenario)


def test_silent_connection_is_replaced_in_time(run_with_store):
    """Guards against a watch that hangs on an unresponsive connection."""

    async def scenario(server, client):
        seen = []
        watch = make_watch(client, seen)
        watch.start()
        await wait_until(lambda: watch.connected)
        server.store.set_faults(
            type(server.store.faults)(silence_watches=True)
        )
        await client.put('/a', b'1')
        await wait_until(lambda: seen, watches.CONNECTION_LIFETIME_S + 1.5)
        await watch.close()

    run_with_store(scenario)


def test_compacted_history_is_replaced_by_a_reading(run_with_store):
    """Guards against a deletion that is missed because it was compacted."""

    async def scenario(server, client):
        await client.put('/a1', b'1')
        seen = []
        watch = make_watch(client, seen, prefix=True)
        watch.start()
        await wait_until(lambda: watch.connected)
        server.store.set_faults(type(server.store.faults)(down='closed'))
        await wait_until(lambda: not watch.connected)
        server.store.set_faults(type(server.store.faults)())
        await client.delete('/a1')
        created = await client.put('/a2', b'2')
        server.store.state.compact(created)
        await wait_until(lambda: len(seen) == 3)
        assert [(c.key, c.item is None) for c in seen] == [
            ('/a1', False),
            ('/a1', True),
            ('/a2', False),
        ]
        await watch.close()

    run_with_store(scenario)


def test_older_reading_after_a_compaction_is_not_reported(run_with_store):
    async def scenario(server, client):
        await client.put('/a', b'1')
        newest = await client.put('/a', b'2')
        seen = []
        watch = make_watch(client, seen)
        watch.start()
        await wait_until(lambda: watch.connected)
        watch._must_read = True
        faults = type(server.store.faults)
        server.store.set_faults(faults(down='503', stale=1))
        await wait_until(lambda: not watch.connected)
        server.store.set_faults(faults(stale=1))
        await asyncio.sleep(1.0)
        assert [change.revision for change in seen] == [newest]
        server.store.set_faults(faults())
        last = await client.put('/a', b'3')
        await wait_until(lambda: len(seen) == 2)
        assert seen[1].revision == last
        await watch.close()

    run_with_store(scenario)


def test_backoff_grows_with_jitter_up_to_its_limit():
    """Guards against clients that all reconnect to the store at once."""
    delays = [
        watches.compute_backoff(failed, random.Random(seed))
        for seed in range(50)
        for failed in (1, 50)
    ]
    assert len(set(delays)) == 100
    assert max(delays) <= watches.MAX_BACKOFF_S
    assert min(delays) >= watches.MIN_BACKOFF_S
