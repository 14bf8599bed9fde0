"""Tests of the loop that keeps the mirror of the store up to date."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin.runtime import mirror_follower
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions


class _BusyStore:
    """Store with a new change every 5 ms, as under load."""

    def __init__(self):
        self.watches = 0

    async def list_page(self, prefix, after='', stale=False):
        return transactions.Page((), 1, False)

    async def watch(self, prefix, after, wait):
        self.watches += 1
        await asyncio.sleep(0.005)
        revision = after + 1
        item = transactions.StoredItem(f'{prefix}k', b'v', revision, 1)
        return transactions.Changes((item,), revision)


def _count_watches(is_urgent):
    store = _BusyStore()

    async def follow():
        mirror = mirrors.Mirror('p/', lambda change: None)
        follower = mirror_follower.MirrorFollower(store, mirror, is_urgent)
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.5)
        task.cancel()

    asyncio.run(follow())
    return store.watches


def test_changes_are_batched_if_not_urgent():
    """Guards against a watch call of every entry for each change.

    Each call to the store costs money.
    """
    assert _count_watches(lambda: False) <= 4


def test_changes_are_not_delayed_if_urgent():
    """Guards against a coordinator that starts work late."""
    assert _count_watches(lambda: True) >= 10


def test_mirror_is_reloaded_after_lost_history():
    """Guards against endless watches from a revision that was compacted."""
    store = _BusyStore()
    listed_prefixes = []

    async def list_page(prefix, after='', stale=False):
        listed_prefixes.append(prefix)
        return transactions.Page((), 10, False)

    async def watch(prefix, after, wait):
        await asyncio.sleep(0.01)
        raise mirror_follower.errors.StoreCompactedError('gone')

    store.list_page = list_page
    store.watch = watch

    async def follow():
        mirror = mirrors.Mirror('p/', lambda change: None)
        follower = mirror_follower.MirrorFollower(store, mirror, lambda: True)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(follower.run(), 0.1)

    asyncio.run(follow())
    assert len(listed_prefixes) >= 2


def test_restarted_watch_is_sent_at_once_and_the_loop_goes_on():
    """Guards against a follower that ends with the watch it replaces."""
    store = _BusyStore()

    async def watch(prefix, after, wait):
        store.watches += 1
        await asyncio.sleep(60)

    store.watch = watch

    async def follow():
        mirror = mirrors.Mirror('p/', lambda change: None)
        follower = mirror_follower.MirrorFollower(store, mirror, lambda: True)
        task = asyncio.ensure_future(follower.run())
        for _ in range(3):
            await asyncio.sleep(0.02)
            follower.restart_watch()
        await asyncio.sleep(0.02)
        running = not task.done()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        return running

    assert asyncio.run(follow())
    assert store.watches == 4


def test_watch_whose_answer_shows_the_return_of_the_store_is_kept():
    """Guards against discarding the changes that have just arrived."""
    store = _BusyStore()

    async def follow():
        mirror = mirrors.Mirror('p/', lambda change: None)
        follower = mirror_follower.MirrorFollower(store, mirror, lambda: True)
        answer = store.watch

        async def watch(prefix, after, wait):
            changes = await answer(prefix, after, wait)
            follower.restart_watch()
            return changes

        store.watch = watch
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.1)
        task.cancel()
        return mirror.items

    assert 'p/k' in asyncio.run(follow())
