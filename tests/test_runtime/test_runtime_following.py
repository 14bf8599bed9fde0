"""Tests of the mirror's follower."""

from __future__ import annotations

import asyncio

import pytest

from damaskpin.runtime import following
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions


class _BusyStore:
    """Store that changes all the time, as a fleet under load does."""

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
        follower = following.MirrorFollower(store, mirror, is_urgent)
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.5)
        task.cancel()

    asyncio.run(follow())
    return store.watches


def test_changes_gather_where_they_are_only_shown():
    """A watch for each change at each entry is a call of the store each."""
    assert _count_watches(lambda: False) <= 4


def test_changes_are_taken_at_once_where_they_are_awaited():
    """A coordinator that waits for changes starts work late."""
    assert _count_watches(lambda: True) >= 10


def test_lost_history_is_read_anew():
    """A follower that keeps watching a lost history never hears again."""
    store = _BusyStore()
    lists = []

    async def list_page(prefix, after='', stale=False):
        lists.append(prefix)
        return transactions.Page((), 10, False)

    async def watch(prefix, after, wait):
        await asyncio.sleep(0.01)
        raise following.errors.StoreHistoryError('gone')

    store.list_page = list_page
    store.watch = watch

    async def follow():
        mirror = mirrors.Mirror('p/', lambda change: None)
        follower = following.MirrorFollower(store, mirror, lambda: True)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(follower.run(), 0.1)

    asyncio.run(follow())
    assert len(lists) >= 2
