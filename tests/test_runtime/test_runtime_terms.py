"""Tests of the record of a leader's term and of what the next one takes."""

from __future__ import annotations

import asyncio
import json

import pytest

from damaskpin import errors
from damaskpin.entry import view as views
from damaskpin.runtime import clocks
from damaskpin.runtime import leadership as leaderships
from damaskpin.store import layout
from damaskpin.store import mirror as mirrors
from damaskpin.store import transactions
from tests.test_runtime import versioned_store

LEASE = 7


class _Store(versioned_store.VersionedStore):
    """Store with leases, whose time is that of the test.

    :ivar is_cut: whether calls get no answer.
    :ivar ended: leases that were ended.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.is_cut = False
        self.ended = []

    async def open_lease(self, ttl):
        return transactions.Lease(LEASE, ttl)

    async def keep_lease(self, lease):
        if self.is_cut:
            raise errors.StoreUncertainError('cut off')

    async def end_lease(self, lease):
        self.ended.append(lease)
        self.items.pop(layout.LEADER_KEY, None)
        self.revision += 1

    async def commit(self, transaction):
        if self.is_cut:
            raise errors.StoreUncertainError('cut off')
        return await super().commit(transaction)


class _Entry:
    """An entry that follows the store and may be elected."""

    def __init__(self, store, name):
        self.view = views.JobView()
        self.mirror = mirrors.Mirror(
            layout.ROOT_PREFIX,
            lambda change: self.view.apply(change, store.now),
        )
        self._store = store
        self.leadership = leaderships.Leadership(
            store, self.view, name, f'tcp://{name}', lambda: True, cores=2.0
        )
        self.follow()

    def follow(self):
        """List the store."""
        self.mirror.replace(self._store.items.values(), self._store.revision)

    async def campaign(self):
        self.follow()
        await self.leadership._campaign()
        self.follow()


@pytest.fixture
def store(monkeypatch):
    store = _Store()

    async def sleep(seconds):
        store.now += seconds

    monkeypatch.setattr(clocks, 'get_monotonic_time', lambda: store.now)
    monkeypatch.setattr(leaderships.asyncio, 'sleep', sleep)
    return store


def _end_lease(store):
    """Let the lease on the leader key end by itself."""
    del store.items[layout.LEADER_KEY]
    store.revision += 1


def test_next_leader_knows_the_last_renewal_of_the_lost_one(store):
    """Guards against a takeover that counts all grants from its own time."""

    async def play():
        first, second = _Entry(store, 'a'), _Entry(store, 'b')
        await first.campaign()
        assert first.leadership.former_term is None
        second.follow()
        await first.leadership._renew_lease()
        renewed = first.leadership.renewed
        store.now = renewed + leaderships.LEASE_TTL_S
        _end_lease(store)
        second.follow()
        store.now += 2.0
        await second.campaign()
        assert second.leadership.fence
        last_grant = second.leadership.former_term.last_grant
        assert renewed <= last_grant <= renewed + 0.1

    asyncio.run(play())


@pytest.mark.parametrize('ttl', [1.0, 5.0])
def test_term_has_the_shorter_time_to_live(store, ttl):
    """Guards against a lease whose time to live the store has changed.

    Its renewals are taken to last for the time that was asked for, at most.
    """

    async def open_lease(_ttl):
        return transactions.Lease(LEASE, ttl)

    async def play():
        store.open_lease = open_lease
        entry = _Entry(store, 'a')
        await entry.campaign()
        record = json.loads(store.items[layout.TERM_KEY].value)
        assert record['ttl'] == min(ttl, leaderships.LEASE_TTL_S)

    asyncio.run(play())


def test_renewal_without_an_answer_does_not_count(store):
    """Guards against grants that count from a renewal the store never saw."""

    async def play():
        entry = _Entry(store, 'a')
        await entry.campaign()
        renewed = entry.leadership.renewed
        store.is_cut = True
        store.now += 1.0
        await entry.leadership._renew_lease()
        assert entry.leadership.renewed == renewed

    asyncio.run(play())


def test_resignation_is_recorded_before_the_lease_ends(store):
    """Guards against grants up to a resignation that the next leader lacks."""

    async def play():
        first, second = _Entry(store, 'a'), _Entry(store, 'b')
        await first.campaign()
        second.follow()
        store.now += 0.3
        await first.leadership.resign()
        assert store.ended == [LEASE]
        await second.campaign()
        assert second.leadership.former_term.last_grant == store.now

    asyncio.run(play())


def test_lease_is_not_ended_if_the_resignation_is_not_recorded(store):
    """Guards against an early end that the next leader takes for a lapse."""

    async def play():
        entry = _Entry(store, 'a')
        await entry.campaign()
        store.is_cut = True
        await entry.leadership.resign()
        assert store.ended == []

    asyncio.run(play())


def test_listing_with_a_term_and_without_its_key_is_not_current(store):
    """Guards against a term that began between two pages of a listing.

    Its leader may still give grants.
    """

    async def play():
        first, second = _Entry(store, 'a'), _Entry(store, 'b')
        before = store.revision
        await first.campaign()
        term = store.items[layout.TERM_KEY]
        second.mirror.replace([term], before)
        assert second.view.leader is None
        current = second.view.leader_term.is_current
        assert not current(second.mirror.revision)
        second.mirror.apply_changes(
            transactions.Changes(tuple(store.items.values()), store.revision)
        )
        assert current(second.mirror.revision)
        assert second.view.leader is not None

    asyncio.run(play())


def test_campaign_fails_if_another_term_has_come_and_gone(store):
    """Guards against a leader that takes an older term for the last one."""

    async def play():
        first, second = _Entry(store, 'a'), _Entry(store, 'b')
        second.follow()
        await first.campaign()
        _end_lease(store)
        # The second entry has not seen the term of the first one.
        await second.leadership._campaign()
        assert not second.leadership.fence
        await second.campaign()
        assert second.leadership.fence

    asyncio.run(play())
