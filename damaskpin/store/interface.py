"""Interface that a key-value store must provide."""

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
        """Return the current value of a key, or ``None`` if it is absent."""

    async def list_page(
        self, prefix: str, after: str = '', stale: bool = False
    ) -> transactions.Page:
        """Return a page of the items below a prefix.

        :param after: key after which the page begins; empty for the first
            page.
        :param stale: whether an outdated answer is acceptable.
        """

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> transactions.Changes:
        """Wait for changes below a prefix.

        :param after: revision after which changes are returned.
        :param wait: longest wait in seconds.
        """

    async def commit(
        self, transaction: transactions.Transaction
    ) -> transactions.Committed | transactions.Conflict:
        """Apply a transaction if its keys have the expected revisions."""

    async def open_lease(self, ttl: float) -> transactions.Lease:
        """Create a lease.

        :param ttl: seconds without renewal after which the lease ends.
        """

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease."""

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
