"""Leader election: the entry that holds a leased key coordinates."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.entry import leader_term
from damaskpin.runtime import clocks
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.entry import view as views
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# Time to live of the leader key's lease, in seconds. A failed coordinator is
# replaced after this time; a shorter lease would expire when the store is
# slow.
LEASE_TTL_S = 1.8

# Time in seconds between two renewals. Grants count from the latest one, so
# that a longer interval shortens the cuts that work survives.
RENEW_INTERVAL_S = 0.2

# An entry whose calls to the store take longer than HIGH_STORE_RTT_S seconds
# delays its campaign by HIGH_RTT_CAMPAIGN_DELAY_S seconds, so that an entry
# closer to the store is elected first.
HIGH_STORE_RTT_S = 0.012
HIGH_RTT_CAMPAIGN_DELAY_S = 0.6

# An entry with fewer than FEW_CORES processor cores delays its campaign by
# FEW_CORES_CAMPAIGN_DELAY_S seconds: coordinating 80 workers takes 0.3 cores
# on average and more in bursts.
FEW_CORES = 0.8
FEW_CORES_CAMPAIGN_DELAY_S = 0.3
POLL_INTERVAL_S = 0.05


class Leadership:
    """Campaigns for the leader key and renews its lease while elected.

    :param store: client of the store.
    :param view: view of the store that shows the leader key.
    :param instance: instance id of this entry.
    :param address: pynng URL at which agents reach this entry.
    :param is_ready: returns whether the view shows all keys of the store.
    :param cores: number of processor cores that this entry may use.
    :ivar fence: fencing token of this entry as leader; 0 while not elected.
    :ivar renewed: time in seconds of the latest renewal of the lease that the
        store has confirmed, counted from before the call.
    :ivar nonce: nonce in the value of the leader key of the latest term.
    :ivar former_term: term before that one; ``None`` if it is not known.
    """

    __slots__ = (
        '_address',
        '_cores',
        '_instance',
        '_is_ready',
        '_lease',
        '_lease_expiry',
        '_resigned',
        '_store',
        '_view',
        '_was_leader',
        'fence',
        'former_term',
        'nonce',
        'renewed',
    )

    def __init__(
        self,
        store: interface.Store,
        view: views.JobView,
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
        self._lease_expiry = 0.0
        self._resigned = False
        self._was_leader = False
        self.fence = 0
        self.renewed = 0.0
        self.nonce = ''
        self.former_term: leader_term.FormerTerm | None = None

    def is_leader(self) -> bool:
        """Return whether this entry's lease on the leader key is valid."""
        return (
            bool(self.fence)
            and clocks.get_monotonic_time() < self._lease_expiry
        )

    async def run(self) -> None:
        """Campaign for the leader key and renew its lease until cancelled."""
        while not self._resigned:
            if self.fence:
                await self._renew_lease()
            elif self._view.leader is None and self._is_ready():
                await self._campaign()
            else:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def resign(self) -> None:
        """Stop acting as coordinator and end the leader key's lease.

        Another entry can then be elected at once.
        """
        self._resigned = True
        lease = self._lease
        fence = self.fence
        self.step_down('resigned')
        if not lease:
            return
        try:
            # The next leader relies on a lease that ends by itself, unless
            # the record of the term tells otherwise.
            if await self._record_resignation(fence):
                await self._store.end_lease(lease)
        except errors.StoreError as error:
            LOG.info('leader lease not ended', extra={'error': str(error)})

    async def _record_resignation(self, fence: int) -> bool:
        """Write into the record of the term that its lease ends earlier.

        :returns: whether this was still the latest term.
        """
        record = leader_term.TermRecord(
            self.nonce, self._address, LEASE_TTL_S, True
        )
        transaction = transactions.Transaction(
            {layout.LEADER_KEY: fence, layout.TERM_KEY: fence},
            (
                transactions.Put(
                    layout.TERM_KEY, leader_term.encode_record(record)
                ),
            ),
        )
        result = await self._store.commit(transaction)
        if isinstance(result, transactions.Committed):
            return True
        LOG.info('resignation not recorded, as the term has ended')
        return False

    def step_down(self, reason: str) -> None:
        """Stop acting as coordinator; the leader key's lease may run on."""
        if self.fence:
            LOG.info(
                'stepped down as coordinator',
                extra={'fence': self.fence, 'reason': reason},
            )
        self.fence = 0
        self._lease = 0
        self._lease_expiry = 0.0

    def _log_leadership_change(self) -> None:
        leads = self.is_leader()
        if leads == self._was_leader:
            return
        self._was_leader = leads
        message = 'coordination resumed' if leads else 'coordination paused'
        LOG.info(message, extra={'fence': self.fence})

    async def _campaign(self) -> None:
        # The lease runs from the arrival of the call that opens it.
        send_time = clocks.get_monotonic_time()
        former_revision = self._view.leader_term.revision
        former_term = self._view.leader_term.find_former(send_time)
        try:
            lease = await self._store.open_lease(LEASE_TTL_S)
        except errors.StoreError as error:
            LOG.info(
                'no lease granted for the campaign',
                extra={'error': str(error)},
            )
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        delay = get_campaign_delay(
            clocks.get_monotonic_time() - send_time, self._cores
        )
        if delay:
            await asyncio.sleep(delay)
        if self._view.leader is not None or self._resigned:
            return
        nonce = secrets.token_hex(4)
        value = leader_term.encode_leader(self._address, self._instance, nonce)
        record = leader_term.TermRecord(
            nonce, self._address, min(lease.ttl, LEASE_TTL_S)
        )
        # No other term may have begun since the former one was read.
        transaction = transactions.Transaction(
            {layout.LEADER_KEY: 0, layout.TERM_KEY: former_revision},
            (
                transactions.Put(layout.LEADER_KEY, value, lease.id),
                transactions.Put(
                    layout.TERM_KEY, leader_term.encode_record(record)
                ),
            ),
        )
        try:
            result = await self._store.commit(transaction)
        except errors.StoreError as error:
            LOG.info('election result unknown', extra={'error': str(error)})
            result = await self._read_election_result()
        fence = get_won_fencing_token(result, value)
        if not fence or self._resigned:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        self.fence = fence
        self._lease = lease.id
        self._lease_expiry = send_time + lease.ttl
        self.nonce = nonce
        self.renewed = send_time
        self.former_term = former_term
        LOG.info(
            'elected as coordinator',
            extra={
                'fence': fence,
                'last_former_grant_age': former_term
                and round(send_time - former_term.last_grant, 3),
            },
        )

    async def _read_election_result(self) -> transactions.Conflict | None:
        """Read the leader key after a write that got no answer."""
        try:
            item = await self._store.get(layout.LEADER_KEY)
        except errors.StoreError as error:
            LOG.info(
                'leader key not read after the election',
                extra={'error': str(error)},
            )
            return None
        if item is None:
            return None
        return transactions.Conflict({item.key: item})

    async def _renew_lease(self) -> None:
        send_time = clocks.get_monotonic_time()
        lease = self._lease
        try:
            await self._store.keep_lease(lease)
            if self._lease == lease:
                self._lease_expiry = send_time + LEASE_TTL_S
                self.renewed = send_time
        except errors.StoreLeaseError:
            self.step_down('the lease has expired')
            return
        except errors.StoreError as error:
            LOG.info('leader lease not renewed', extra={'error': str(error)})
            # The lease may still exist, because leases do not run down during
            # a store outage. While it exists, no other entry can be elected.
        self._log_leadership_change()
        pause = RENEW_INTERVAL_S - (clocks.get_monotonic_time() - send_time)
        await asyncio.sleep(max(pause, POLL_INTERVAL_S))


def get_campaign_delay(seconds: float, cores: float) -> float:
    """Return the seconds that an entry waits before its election campaign.

    :param seconds: duration of a call to the store in seconds.
    :param cores: number of processor cores that the entry may use.
    """
    delay = 0.0
    if seconds > HIGH_STORE_RTT_S:
        delay += HIGH_RTT_CAMPAIGN_DELAY_S
    if cores < FEW_CORES:
        delay += FEW_CORES_CAMPAIGN_DELAY_S
    return delay


def get_won_fencing_token(
    result: transactions.Committed | transactions.Conflict | None,
    value: bytes,
) -> int:
    """Return the fencing token if this entry won the election, or 0.

    :param result: result of the write, or the leader key read afterwards.
    :param value: value written to the leader key; unique to this campaign.
    """
    match result:
        case transactions.Committed():
            return result.revision
        case transactions.Conflict():
            item = result.items.get(layout.LEADER_KEY)
            if item is not None and item.value == value:
                return item.created
    return 0


def parse_leader(item: transactions.StoredItem | None) -> tuple[str, int]:
    """Return the coordinator's address and fencing token.

    :param item: leader key; ``None`` yields an empty address and 0.
    """
    if item is None:
        return ('', 0)
    fields = item.value.decode('utf-8', 'replace').split(' ')
    return (fields[0], item.created)
