"""Registers an entry's address in the store while the entry runs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# The registration of an entry that stopped without ending it is removed after
# this time, in seconds.
LEASE_TTL_S = 12.0
RENEW_INTERVAL_S = 4.0
RETRY_PAUSE_S = 0.5


class Registration:
    """Registers an entry under a leased key and renews the lease.

    :param store: client of the store.
    :param key: key of the registration.
    :param value: value of the key, the entry's address.
    """

    __slots__ = ('_ended', '_key', '_lease', '_store', '_value')

    def __init__(self, store: interface.Store, key: str, value: bytes) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease = 0
        self._ended = False

    async def run(self) -> None:
        """Register and renew the lease until cancelled or ended."""
        while not self._ended:
            try:
                if self._lease:
                    await self._store.keep_lease(self._lease)
                else:
                    await self._register()
                await asyncio.sleep(RENEW_INTERVAL_S)
            except errors.StoreLeaseError:
                LOG.info('lease of the registration has expired')
                self._lease = 0
            except errors.StoreError as error:
                LOG.info(
                    'registration not written or renewed',
                    extra={'error': str(error)},
                )
                await asyncio.sleep(RETRY_PAUSE_S)

    async def end(self) -> None:
        """End the registration's lease, which removes the registration."""
        self._ended = True
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except errors.StoreError as error:
            LOG.info('registration not ended', extra={'error': str(error)})

    async def _register(self) -> None:
        lease = await self._store.open_lease(LEASE_TTL_S)
        put = transactions.Put(self._key, self._value, lease.id)
        await self._store.commit(transactions.Transaction({}, (put,)))
        self._lease = lease.id
