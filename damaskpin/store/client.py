"""Client of the store, through the JSON gateway of etcd v3."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from tornado import httpclient

from damaskpin import errors
from damaskpin.store import failures
from damaskpin.store import values
from damaskpin.store import wire

if TYPE_CHECKING:
    from collections.abc import Sequence

LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
# The store normally answers within milliseconds; a call without an answer
# after this time counts as failed.
CALL_TIMEOUT_S = 3.0
MAX_CONNECTIONS = 32
# Maximum size of an answer of the store; a listing of many values is large.
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_T = TypeVar('_T')


class StoreClient:
    """Typed calls to the store, each with a timeout.

    Every call opens its own connection, so a connection that stops
    responding costs one timeout and does not affect later calls.

    Reads raise ``StoreUnavailableError`` when they fail. Writes raise
    ``StoreUnavailableError`` when nothing was written and never will be, and
    ``StoreUncertainError`` when the write may have taken effect or still may.

    :param url: base URL of the gateway.
    :param timeout: seconds that a call may take.
    """

    __slots__ = ('_http', '_timeout', 'url')

    def __init__(self, url: str, timeout: float = CALL_TIMEOUT_S) -> None:
        self.url = url.rstrip('/')
        self._timeout = timeout
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_ANSWER_BYTES,
            max_buffer_size=MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        """Close all connections to the store."""
        self._http.close()

    async def get(self, key: str) -> values.KeyValue | None:
        """Return a key with its value, or ``None`` if the key is absent.

        :raises damaskpin.errors.StoreUnavailableError: the read failed.
        """
        listing = await self.list_range(key)
        return listing.items[0] if listing.items else None

    async def list_prefix(self, prefix: str) -> values.Listing:
        """Return all keys that begin with a prefix, with their values.

        :raises damaskpin.errors.StoreUnavailableError: the read failed.
        """
        return await self.list_range(prefix, values.compute_range_end(prefix))

    async def list_range(
        self, key: str, range_end: bytes = b''
    ) -> values.Listing:
        """Return the keys of a range, with their values.

        :param key: first key of the range.
        :param range_end: first key after the range; empty for ``key`` alone.
        :raises damaskpin.errors.StoreUnavailableError: the read failed.
        """
        answer = await self._read(
            '/v3/kv/range',
            wire.Range(key.encode(), range_end),
            wire.RangeAnswer,
        )
        items = tuple(values.make_key_value(pair) for pair in answer.kvs)
        return values.Listing(answer.header.revision, items)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key unconditionally.

        :param lease: id of the lease whose end deletes the key; 0 for none.
        :returns: revision of the write.
        :raises damaskpin.errors.StoreError: the write failed, or it is not
            known whether it took effect.
        """
        answer = await self._write(
            '/v3/kv/put',
            wire.Put(key.encode(), value, str(lease)),
            wire.WriteAnswer,
        )
        return answer.header.revision

    async def delete(self, key: str) -> bool:
        """Delete a key and return whether it existed.

        :raises damaskpin.errors.StoreError: the deletion failed, or it is
            not known whether it took effect.
        """
        answer = await self._write(
            '/v3/kv/deleterange', wire.Range(key.encode()), wire.WriteAnswer
        )
        return answer.deleted > 0

    async def create(
        self, key: str, value: bytes, lease: int = 0
    ) -> values.TxnResult:
        """Write a key if it is absent.

        :param lease: id of the lease that the key is bound to; 0 for none.
        :returns: the outcome; if the key exists, ``reads`` holds its value.
        :raises damaskpin.errors.StoreError: the write failed, or it is not
            known whether it took effect.
        """
        return await self.transact(
            [values.HasCreateRevision(key, 0)],
            [values.Put(key, value, lease)],
            [values.Get(key)],
        )

    async def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> values.TxnResult:
        """Write a key if its last write has the expected revision.

        :param revision: expected ``mod_revision``; 0 for an absent key.
        :param lease: id of the lease that the key is bound to; 0 for none.
        :returns: the outcome; if the revision differs, ``reads`` holds the
            current value of the key.
        :raises damaskpin.errors.StoreError: the write failed, or it is not
            known whether it took effect.
        """
        return await self.transact(
            [values.HasRevision(key, revision)],
            [values.Put(key, value, lease)],
            [values.Get(key)],
        )

    async def transact(
        self,
        compares: Sequence[values.Compare],
        success: Sequence[values.Operation],
        failure: Sequence[values.Operation] = (),
    ) -> values.TxnResult:
        """Run one of two lists of operations atomically in the store.

        :param compares: conditions on keys that select the list.
        :param success: operations that are run if all conditions hold.
        :param failure: operations that are run if a condition fails.
        :raises damaskpin.errors.StoreError: the transaction failed, or it is
            not known whether it took effect.
        """
        answer = await self._write(
            '/v3/kv/txn',
            wire.Txn(
                [values.encode_compare(item) for item in compares],
                [values.encode_operation(item) for item in success],
                [values.encode_operation(item) for item in failure],
            ),
            wire.TxnAnswer,
        )
        reads = []
        operations = success if answer.succeeded else failure
        for operation, response in zip(
            operations, answer.responses, strict=False
        ):
            if not isinstance(operation, values.Get):
                continue
            range_answer = response.response_range
            pairs = range_answer.kvs if range_answer is not None else []
            reads.append(values.make_key_value(pairs[0]) if pairs else None)
        return values.TxnResult(
            answer.succeeded, answer.header.revision, tuple(reads)
        )

    async def grant_lease(self, ttl: int) -> values.Lease:
        """Create a lease.

        :param ttl: seconds without a renewal after which the lease expires.
        :raises damaskpin.errors.StoreError: the call failed; the store may
            have created the lease.
        """
        answer = await self._write(
            '/v3/lease/grant',
            wire.LeaseRequest(TTL=str(ttl)),
            wire.LeaseAnswer,
        )
        return values.Lease(answer.ID, answer.TTL)

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease for its full time to live.

        :raises damaskpin.errors.StoreLeaseError: the lease has expired.
        :raises damaskpin.errors.StoreError: the call failed; the store may
            have renewed the lease.
        """
        answer = await self._write(
            '/v3/lease/keepalive',
            wire.LeaseRequest(ID=str(lease)),
            wire.StreamedLease,
        )
        if answer.result.TTL <= 0:
            raise errors.StoreLeaseError(f'lease {lease} has expired')

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys; it may have expired already.

        :raises damaskpin.errors.StoreError: the call failed; the store may
            have revoked the lease.
        """
        try:
            await self._write(
                '/v3/lease/revoke',
                wire.LeaseRequest(ID=str(lease)),
                wire.WriteAnswer,
            )
        except errors.StoreLeaseError:
            LOG.info('lease %s had already expired when it was revoked', lease)

    async def _read(
        self, path: str, request: msgspec.Struct, answer: type[_T]
    ) -> _T:
        try:
            return await self._write(path, request, answer)
        except errors.StoreUncertainError as error:
            raise errors.StoreUnavailableError(str(error)) from error

    async def _write(
        self, path: str, request: msgspec.Struct, answer: type[_T]
    ) -> _T:
        try:
            response = await self._http.fetch(
                self.url + path,
                method='POST',
                body=msgspec.json.encode(request),
                headers={'Content-Type': 'application/json'},
                connect_timeout=min(CONNECT_TIMEOUT_S, self._timeout),
                request_timeout=self._timeout,
                follow_redirects=False,
                raise_error=False,
            )
            if response.code == 599 and response.error is not None:
                raise response.error
        except (OSError, httpclient.HTTPError) as error:
            raise failures.make_call_error(path, error) from error
        if response.code != 200:
            raise failures.make_answer_error(
                path, response.code, response.body
            )
        try:
            return msgspec.json.decode(
                response.body, type=answer, strict=False
            )
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.StoreUncertainError(
                f'{path}: malformed answer: {error}'
            ) from error
