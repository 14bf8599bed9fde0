"""Storage of the idempotency claims of service requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from damaskpin import errors
from damaskpin.service import claims

if TYPE_CHECKING:
    from damaskpin.store import client as clients
    from damaskpin.store import values

# Claims written within this time share one lease, which saves the creation
# of a lease for each claim.
LEASE_REUSE_S = 600.0


class ClaimStore:
    """Reads and writes idempotency claims in the store.

    :param client: client of the store.
    """

    __slots__ = ('_client', '_lease', '_lease_reusable_until')

    def __init__(self, client: clients.StoreClient) -> None:
        self._client = client
        self._lease = 0
        self._lease_reusable_until = 0.0

    async def carry_out(self, call: claims.StoreCall) -> claims.StoreResult:
        """Execute a store call and return the claim that is stored then."""
        try:
            match call:
                case claims.ReadClaim():
                    return claims.StoreAnswered(
                        _decode(
                            await self._client.get(
                                claims.format_path(call.account, call.key)
                            )
                        )
                    )
                case claims.CreateClaim():
                    return await self._write(call)
                case claims.ReplaceClaim():
                    return await self._move(call)
        except errors.StoreUnavailableError:
            return claims.StoreUnreachable()
        except errors.StoreError:
            return claims.StoreResultUnknown()

    async def _write(self, call: claims.CreateClaim) -> claims.StoreResult:
        lease = await self._get_lease()
        try:
            result = await self._client.create(
                claims.format_path(call.account, call.key),
                msgspec.json.encode(call.claim),
                lease,
            )
        except errors.StoreLeaseError:
            self._lease_reusable_until = 0.0
            raise
        if result.succeeded:
            return claims.StoreAnswered(call.claim)
        return claims.StoreAnswered(_decode(result.reads[0]))

    async def _get_lease(self) -> int:
        now = time.monotonic()
        if now >= self._lease_reusable_until:
            lease = await self._client.grant_lease(claims.CLAIM_TTL_S)
            self._lease = lease.id
            self._lease_reusable_until = now + LEASE_REUSE_S
        return self._lease

    async def _move(self, call: claims.ReplaceClaim) -> claims.StoreResult:
        key = claims.format_path(call.account, call.key)
        item = await self._client.get(key)
        stored = _decode(item)
        if item is None or stored != call.before:
            return claims.StoreAnswered(stored)
        result = await self._client.compare_and_swap(
            key,
            item.mod_revision,
            msgspec.json.encode(call.after),
            item.lease,
        )
        if result.succeeded:
            return claims.StoreAnswered(call.after)
        return claims.StoreAnswered(_decode(result.reads[0]))


def _decode(item: values.KeyValue | None) -> claims.Claim | None:
    if item is None:
        return None
    return msgspec.json.decode(item.value, type=claims.Claim)
