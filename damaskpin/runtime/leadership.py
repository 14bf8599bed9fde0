"""Election of the coordinating entry by a leased key."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import clocks
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.entry import view as views
    from damaskpin.store import port

LOG = logging.getLogger(__name__)

# A dead coordinator is replaced after this time, in seconds; a shorter one
# would not survive a slow store.
TTL_S = 1.8
KEEP_INTERVAL_S = 0.45

# An entry far from the store leaves the first try to others, in seconds.
FAR_RTT_S = 0.012
FAR_DELAY_S = 0.6

# An entry with less processor time leaves the first try to others: a fleet of
# 80 workers takes 0.3 cores on average and more in bursts.
SMALL_CORES = 0.8
SMALL_DELAY_S = 0.3
POLL_S = 0.05


class Leadership:
    """Holds or seeks the coordinator's key.

    :param store: access to the store.
    :param view: view of the store that sees the key.
    :param instance: instance id of this entry.
    :param address: address for agents.
    :param is_ready: whether the view is complete.
    :param cores: processor cores that this entry may use.
    """

    __slots__ = (
        '_address',
        '_cores',
        '_instance',
        '_is_ready',
        '_lease',
        '_resigned',
        '_store',
        '_valid_until',
        '_view',
        '_was_valid',
        'fence',
    )

    def __init__(
        self,
        store: port.Store,
        view: views.View,
        instance: str,
        address: str,
        is_ready: Callable[[], bool],
        cores: float,
    ) -> None:
        self._cores = cores
        self._is_ready = is_ready
        self._store = store
        self._view = view
        self._instance = instance
        self._address = address
        self._lease = 0
        self._valid_until = 0.0
        self._resigned = False
        self._was_valid = False
        self.fence = 0

    def is_valid(self) -> bool:
        """Return whether this entry certainly holds the key."""
        return bool(self.fence) and clocks.get_steady() < self._valid_until

    async def run(self) -> None:
        """Seek the key and keep it, until cancelled."""
        while not self._resigned:
            if self.fence:
                await self._keep()
            elif self._view.leader is None and self._is_ready():
                await self._seek()
            else:
                await asyncio.sleep(POLL_S)

    async def resign(self) -> None:
        """Give the key up, so that another entry takes over at once."""
        self._resigned = True
        lease = self._lease
        self.step_down('resigned')
        if not lease:
            return
        try:
            await self._store.end_lease(lease)
        except errors.StoreError as error:
            LOG.info('lease not ended', extra={'error': str(error)})

    def step_down(self, reason: str) -> None:
        """Stop to act as coordinator."""
        if self.fence:
            LOG.info(
                'no longer coordinator',
                extra={'fence': self.fence, 'reason': reason},
            )
        self.fence = 0
        self._lease = 0
        self._valid_until = 0.0

    def _log_validity(self) -> None:
        valid = self.is_valid()
        if valid == self._was_valid:
            return
        self._was_valid = valid
        message = 'coordination resumed' if valid else 'coordination paused'
        LOG.info(message, extra={'fence': self.fence})

    async def _seek(self) -> None:
        begun = clocks.get_steady()
        try:
            lease = await self._store.open_lease(TTL_S)
        except errors.StoreError as error:
            LOG.info('no lease for an election', extra={'error': str(error)})
            await asyncio.sleep(POLL_S)
            return
        delay = get_delay(clocks.get_steady() - begun, self._cores)
        if delay:
            await asyncio.sleep(delay)
        if self._view.leader is not None or self._resigned:
            return
        sent = clocks.get_steady()
        nonce = secrets.token_hex(4)
        value = f'{self._address} {self._instance} {nonce}'.encode()
        transaction = transactions.Transaction(
            {layout.LEADER: 0},
            (transactions.Put(layout.LEADER, value, lease.id),),
        )
        try:
            result = await self._store.commit(transaction)
        except errors.StoreError as error:
            LOG.info('election undecided', extra={'error': str(error)})
            result = await self._settle()
        fence = read_fence(result, value)
        if not fence or self._resigned:
            await asyncio.sleep(POLL_S)
            return
        self.fence = fence
        self._lease = lease.id
        self._valid_until = sent + lease.ttl
        LOG.info('coordinator', extra={'fence': fence})

    async def _settle(self) -> transactions.Conflict | None:
        """Read who holds the key after a write without an answer."""
        try:
            item = await self._store.get(layout.LEADER)
        except errors.StoreError as error:
            LOG.info('election not settled', extra={'error': str(error)})
            return None
        if item is None:
            return None
        return transactions.Conflict({item.key: item})

    async def _keep(self) -> None:
        sent = clocks.get_steady()
        lease = self._lease
        try:
            await self._store.keep_lease(lease)
            if self._lease == lease:
                self._valid_until = sent + TTL_S
        except errors.StoreLeaseError:
            self.step_down('the lease has ended')
            return
        except errors.StoreError as error:
            LOG.info('lease not renewed', extra={'error': str(error)})
            # The lease may live on: a store that was away pauses leases. As
            # long as it does, nobody else can hold the key.
        self._log_validity()
        pause = KEEP_INTERVAL_S - (clocks.get_steady() - sent)
        await asyncio.sleep(max(pause, POLL_S))


def get_delay(seconds: float, cores: float) -> float:
    """Return the seconds for which an entry lets others try first.

    :param seconds: time that a call of the store took.
    :param cores: processor cores that the entry may use.
    """
    delay = 0.0
    if seconds > FAR_RTT_S:
        delay += FAR_DELAY_S
    if cores < SMALL_CORES:
        delay += SMALL_DELAY_S
    return delay


def read_fence(
    result: transactions.Committed | transactions.Conflict | None,
    value: bytes,
) -> int:
    """Return the fencing token if the key holds our value, or 0.

    :param value: value of this try; no other try writes the same.
    """
    match result:
        case transactions.Committed():
            return result.revision
        case transactions.Conflict():
            item = result.items.get(layout.LEADER)
            if item is not None and item.value == value:
                return item.created
    return 0


def parse_leader(item: transactions.StoredItem | None) -> tuple[str, int]:
    """Return the coordinator's address and fencing token, or nothing."""
    if item is None:
        return ('', 0)
    words = item.value.decode('utf-8', 'replace').split(' ')
    return (words[0], item.created)
