"""HTTP client of the platform's metadata store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from urllib import parse

import msgspec

from damaskpin import errors
from damaskpin import transport
from damaskpin.platform import store_wire
from damaskpin.platform import wire
from damaskpin.store import transactions

if TYPE_CHECKING:
    from damaskpin.transport import Caller

LOG = logging.getLogger(__name__)

# Timeout of calls in seconds. The store answers within milliseconds; a longer
# silence means a lost connection or an outage.
TIMEOUT_S = 0.6

# Timeout of lease renewals in seconds. It is short, because a renewal must be
# attempted several times before the lease expires.
LEASE_TIMEOUT_S = 0.5

# Seconds added to the wait time of a watch to get the timeout of its call.
WATCH_MARGIN_S = 0.7

# Seconds beyond its timeout that a page or the changes of a watch may take to
# arrive, so that even an entry on a narrow link receives what has gathered
# during an outage.
TRANSFER_S = 3.0

# Seconds without an answer after which a read of a key or a watch whose wait
# is over is also sent another way. Pages of a listing may take longer on a
# narrow link and would fill it if they were read twice.
PATIENCE_S = 0.25

PATH_PREFIX = '/damaskpin'
# HTTP statuses with which the store refuses a call under load.
BUSY_STATUSES = (429, 503)


class StoreClient:
    """Makes calls to the store and decodes the answers.

    :param caller: makes the HTTP calls.
    """

    __slots__ = ('_caller',)

    def __init__(self, caller: Caller) -> None:
        self._caller = caller

    async def get(self, key: str) -> transactions.StoredItem | None:
        """Return the current item of a key; ``None`` if there is none.

        :raises damaskpin.errors.StoreError: no answer.
        """
        query = parse.urlencode({'key': key})
        answer = await self._call(
            'GET', f'/kv-key?{query}', None, patience=PATIENCE_S
        )
        if answer.status == 404:
            return None
        self._check_status(answer)
        return decode_item(self._decode(answer, store_wire.Item))

    async def list_page(
        self, prefix: str, after: str = '', stale: bool = False
    ) -> transactions.Page:
        """Return a page of the items below a key prefix.

        :param after: key after which the page starts; empty for the first one.
        :param stale: whether the answer may be out of date by seconds.
        :raises damaskpin.errors.StoreError: no answer.
        """
        fields = {'prefix': prefix}
        if after:
            fields['after'] = after
        if stale:
            fields['staleOk'] = '1'
        query = parse.urlencode(fields)
        answer = await self._call(
            'GET', f'/kv-range?{query}', None, transfer=TRANSFER_S
        )
        self._check_status(answer)
        page = self._decode(answer, store_wire.ItemPage)
        items = [decode_item(item) for item in page.items]
        return transactions.Page(
            tuple(items), page.has_more, page.store_revision
        )

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> transactions.Changes:
        """Wait for changes of keys below a prefix and return them.

        :param after: revision after which changes are returned.
        :param wait: seconds to wait for the first change.
        :raises damaskpin.errors.StoreCompactedError: the store no longer has
            the changes since that revision.
        :raises damaskpin.errors.StoreSlowAnswerError: the changes are too many
            to arrive in time.
        :raises damaskpin.errors.StoreError: no answer.
        """
        query = parse.urlencode(
            {'prefix': prefix, 'after': after, 'waitMs': int(wait * 1000)}
        )
        answer = await self._call(
            'GET',
            f'/kv-watch?{query}',
            None,
            wait + WATCH_MARGIN_S,
            wait + PATIENCE_S,
            TRANSFER_S,
        )
        if answer.status == 410:
            raise errors.StoreCompactedError('the store discarded the history')
        self._check_status(answer)
        events = self._decode(answer, store_wire.WatchAnswer)
        changes = [decode_change(event) for event in events.events]
        return transactions.Changes(tuple(changes), events.store_revision)

    async def commit(
        self, transaction: transactions.Transaction
    ) -> transactions.Committed | transactions.Conflict:
        """Carry out a transaction if its keys have the expected revisions.

        :raises damaskpin.errors.StoreLeaseError: a lease has expired.
        :raises damaskpin.errors.StoreUnavailableError: nothing was written.
        :raises damaskpin.errors.StoreUncertainError: no answer; the
            transaction may take effect now or later, while its conditions
            hold.
        """
        body = store_wire.TransactionBody(
            [
                store_wire.RevisionCondition(key, revision)
                for key, revision in transaction.expected.items()
            ],
            [
                store_wire.Write(
                    put.key, store_wire.encode_value(put.value), put.lease
                )
                for put in transaction.puts
            ],
            list(transaction.removals),
        )
        answer = await self._call('POST', '/kv-txn', body)
        if answer.status == 412:
            conflict = self._decode(answer, store_wire.ConflictAnswer)
            items = [decode_item(i) for i in conflict.items if i.revision]
            return transactions.Conflict({item.key: item for item in items})
        if answer.status == 404:
            raise errors.StoreLeaseError('the lease has ended')
        self._check_status(answer)
        return transactions.Committed(
            self._decode(answer, store_wire.TransactionAnswer).revision
        )

    async def open_lease(self, ttl: float) -> transactions.Lease:
        """Request a new lease.

        :param ttl: seconds until the lease expires without a renewal.
        :raises damaskpin.errors.StoreError: no answer.
        """
        body = store_wire.LeaseBody(int(ttl * 1000))
        answer = await self._call('POST', '/kv-lease', body)
        self._check_status(answer)
        granted = self._decode(answer, store_wire.LeaseBody)
        return transactions.Lease(granted.lease, granted.ttl_ms / 1000)

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises damaskpin.errors.StoreLeaseError: the lease has expired.
        :raises damaskpin.errors.StoreError: no answer.
        """
        answer = await self._call(
            'POST', f'/kv-keep/{lease}', None, LEASE_TIMEOUT_S
        )
        if answer.status == 404:
            raise errors.StoreLeaseError('the lease has ended')
        self._check_status(answer)

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes the keys attached to it.

        :raises damaskpin.errors.StoreError: no answer.
        """
        await self._call('DELETE', f'/kv-lease-end/{lease}', None)

    async def _call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None,
        timeout: float = TIMEOUT_S,
        patience: float = 0.0,
        transfer: float = 0.0,
    ) -> transport.HttpAnswer:
        data = msgspec.json.encode(body) if body is not None else None
        request = transport.HttpRequest(
            method,
            PATH_PREFIX + path,
            data,
            timeout,
            patience=patience,
            transfer=transfer,
        )
        try:
            return await self._caller.call(request)
        except errors.CallError as error:
            if error.begun:
                raise errors.StoreSlowAnswerError(str(error)) from error
            if error.sent:
                raise errors.StoreUncertainError(str(error)) from error
            raise errors.StoreUnavailableError(str(error)) from error

    def _check_status(self, answer: transport.HttpAnswer) -> None:
        if answer.status in BUSY_STATUSES:
            raise errors.StoreUnavailableError(
                f'the store refused the call: {answer.status}'
            )
        if answer.status == 200:
            return
        reason = f'the store answered {answer.status}'
        if answer.status // 100 == 4:
            raise errors.StoreRefusedError(reason)
        raise errors.StoreUncertainError(reason)

    def _decode(
        self, answer: transport.HttpAnswer, body_type: type[wire.T]
    ) -> wire.T:
        try:
            return wire.decode(answer.body, body_type)
        except errors.MalformedError as error:
            raise errors.StoreUncertainError(str(error)) from error


def decode_item(item: store_wire.Item) -> transactions.StoredItem:
    """Convert an item of the store; a value that is not base64 is empty."""
    try:
        value = store_wire.decode_value(item.value)
    except errors.MalformedError as error:
        LOG.warning(
            'stored value is not base64',
            extra={'key': item.key, 'error': str(error)},
        )
        value = b''
    return transactions.StoredItem(
        item.key, value, item.revision, item.created
    )


def decode_change(event: store_wire.Item) -> transactions.Change:
    """Convert an event of a watch to a stored item or a removal."""
    if event.removed:
        return transactions.Removal(event.key, event.revision)
    return decode_item(event)
