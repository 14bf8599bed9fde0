"""What the product needs of a store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.store import transactions


class Store(Protocol):
    """Access to a key-value store with leases and watches.

    Each call raises a :class:`damaskpin.errors.StoreError` when it got no
    usable answer.
    """

    async def get(self, key: str) -> transactions.StoredItem | None:
        """Return a key as it is now."""

    async def list_page(
        self, prefix: str, after: str = '', stale: bool = False
    ) -> transactions.Page:
        """Return a page of the keys below a prefix."""

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> transactions.Changes:
        """Wait for changes below a prefix."""

    async def commit(
        self, transaction: transactions.Transaction
    ) -> transactions.Committed | transactions.Conflict:
        """Write if the expected revisions hold."""

    async def open_lease(self, ttl: float) -> transactions.Lease:
        """Ask for a lease."""

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease."""

    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys are removed."""
