"""Tests of how long an elected entry takes itself for the coordinator."""

from __future__ import annotations

import asyncio

from damaskpin import errors
from damaskpin.entry import view as views
from damaskpin.runtime import clocks
from damaskpin.runtime import leadership as leaderships
from damaskpin.store import transactions


class _Store:
    """Store that grants a lease, takes the leader key and is then cut off."""

    def __init__(self):
        self.now = 100.0
        self.lease_end = 0.0

    async def open_lease(self, ttl):
        self.lease_end = self.now + ttl
        return transactions.Lease(7, ttl)

    async def commit(self, transaction):
        assert self.now < self.lease_end
        return transactions.Committed(5)

    async def keep_lease(self, lease):
        raise errors.StoreUncertainError('cut off')


def test_coordinator_stops_when_the_lease_of_its_campaign_ends(monkeypatch):
    """Guards against two coordinators that answer reports at a time.

    The lease on the leader key runs from the call that opened it. An entry
    that waits, or stands still, before it writes the key and is then cut off
    from the store must not act longer than that.
    """
    store = _Store()
    leadership = leaderships.Leadership(
        store, views.JobView(), 'e', 'tcp://e', lambda: True, cores=0.5
    )

    async def sleep(seconds):
        store.now += seconds

    async def campaign():
        await leadership._campaign()
        assert leadership.is_leader()
        await leadership._renew_lease()

    monkeypatch.setattr(clocks, 'get_monotonic_time', lambda: store.now)
    monkeypatch.setattr(asyncio, 'sleep', sleep)
    asyncio.run(campaign())
    store.now = store.lease_end + 0.05
    assert not leadership.is_leader()
