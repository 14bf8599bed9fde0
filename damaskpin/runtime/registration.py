"""Keeps an entry's address in the store while it lives."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.store import port

LOG = logging.getLogger(__name__)

# Entries that are gone disappear from the list after this time, in seconds.
TTL_S = 12.0
KEEP_INTERVAL_S = 4.0
RETRY_S = 0.5


class Registration:
    """A key under a lease that is renewed.

    :param store: access to the store.
    :param key: key to keep.
    :param value: value of the key.
    """

    __slots__ = ('_ended', '_key', '_lease', '_store', '_value')

    def __init__(self, store: port.Store, key: str, value: bytes) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease = 0
        self._ended = False

    async def run(self) -> None:
        """Keep the key until cancelled."""
        while not self._ended:
            try:
                if self._lease:
                    await self._store.keep_lease(self._lease)
                else:
                    await self._register()
                await asyncio.sleep(KEEP_INTERVAL_S)
            except errors.StoreLeaseError:
                LOG.info('registration has lapsed')
                self._lease = 0
            except errors.StoreError as error:
                LOG.info('not registered', extra={'error': str(error)})
                await asyncio.sleep(RETRY_S)

    async def end(self) -> None:
        """Remove the key."""
        self._ended = True
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except errors.StoreError as error:
            LOG.info('registration not ended', extra={'error': str(error)})

    async def _register(self) -> None:
        lease = await self._store.open_lease(TTL_S)
        put = transactions.Put(self._key, self._value, lease.id)
        await self._store.commit(transactions.Transaction({}, (put,)))
        self._lease = lease.id
