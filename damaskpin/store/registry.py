"""Registration of entries in the store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin.peer import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.store import client as clients

LOG = logging.getLogger(__name__)

PREFIX = '/damaskpin/entries/'
LEASE_TTL_S = 10
RENEW_INTERVAL_S = 3.0
# Seconds between reads of the registered entries. Live entries exchange
# heartbeats directly; the registrations in the store are read to find entries
# that started in a store outage or behind a network partition.
LIST_INTERVAL_S = 30.0


class Registry:
    """Keeps an entry registered and discovers the other entries.

    :param client: client of the store.
    :param peer: name and address of this entry.
    :param on_entries: called with all registered entries after each read.
    """

    __slots__ = ('_client', '_encoded_peer', '_lease', '_on_entries', '_peer')

    def __init__(
        self,
        client: clients.StoreClient,
        peer: messages.Peer,
        on_entries: Callable[[list[messages.Peer]], None],
    ) -> None:
        self._client = client
        self._peer = peer
        self._on_entries = on_entries
        self._lease = 0
        self._encoded_peer = msgspec.json.encode(peer)

    async def run(self) -> None:
        """Renew the registration and read all entries until cancelled."""
        loop = asyncio.get_running_loop()
        next_list_time = 0.0
        while True:
            try:
                await self._renew_or_register()
                if loop.time() >= next_list_time:
                    await self._list_entries()
                    next_list_time = loop.time() + LIST_INTERVAL_S
            except errors.StoreError as error:
                LOG.info(
                    'registration or listing of entries failed: %s', error
                )
                next_list_time = 0.0
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def leave(self) -> None:
        """Remove the registration of this entry from the store."""
        if not self._lease:
            return
        try:
            await self._client.revoke_lease(self._lease)
        except errors.StoreError as error:
            LOG.info('entry stays registered until its lease ends: %s', error)

    async def _renew_or_register(self) -> None:
        if self._lease:
            try:
                await self._client.keep_lease(self._lease)
                return
            except errors.StoreLeaseError:
                LOG.info('the lease of the entry registration expired')
                self._lease = 0
        lease = await self._client.grant_lease(LEASE_TTL_S)
        await self._client.put(
            PREFIX + self._peer.instance, self._encoded_peer, lease.id
        )
        self._lease = lease.id

    async def _list_entries(self) -> None:
        listing = await self._client.list_prefix(PREFIX)
        peers = []
        for item in listing.items:
            try:
                peers.append(
                    msgspec.json.decode(item.value, type=messages.Peer)
                )
            except msgspec.DecodeError as error:
                LOG.warning('malformed registration %s: %s', item.key, error)
        self._on_entries(peers)
