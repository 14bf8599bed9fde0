"""Keeps a mirror of the store current."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.store import mirror as mirrors
    from damaskpin.store import port
    from damaskpin.store import transactions

LOG = logging.getLogger(__name__)

# A watch returns after this time at the latest, so that a silent connection
# shows within the time in which a configuration must be in force.
WATCH_WAIT_S = 1.0

# An entry that only tells callers of jobs lets changes gather for this time,
# in seconds: a watch is a priced call, and each change ends one everywhere.
GATHER_S = 0.2

# Pause after a failed call, in seconds.
RETRY_S = 0.15


class Follower:
    """Follows the keys below a mirror's prefix.

    :param store: access to the store.
    :param mirror: copy to keep current.
    :param is_urgent: whether each change is needed at once.
    """

    __slots__ = ('_is_urgent', '_mirror', '_store', 'heard')

    def __init__(
        self,
        store: port.Store,
        mirror: mirrors.Mirror,
        is_urgent: Callable[[], bool],
    ) -> None:
        self._is_urgent = is_urgent
        self._store = store
        self._mirror = mirror
        self.heard = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        lost = False
        while True:
            try:
                await self._follow_once()
                self.heard = clocks.get_steady()
                if lost:
                    LOG.info(
                        'store is back', extra={'prefix': self._mirror.prefix}
                    )
                lost = False
            except errors.StoreHistoryError:
                LOG.info(
                    'history is gone', extra={'prefix': self._mirror.prefix}
                )
                self._mirror.complete = False
            except errors.StoreError as error:
                if not lost:
                    LOG.warning(
                        'store does not answer',
                        extra={
                            'prefix': self._mirror.prefix,
                            'error': str(error),
                        },
                    )
                lost = True
                await asyncio.sleep(RETRY_S)

    async def _follow_once(self) -> None:
        mirror = self._mirror
        if not mirror.complete:
            await self._load()
            return
        changes = await self._store.watch(
            mirror.prefix, mirror.revision, WATCH_WAIT_S
        )
        mirror.apply_changes(changes)
        self.heard = clocks.get_steady()
        if changes.changes and not self._is_urgent():
            await asyncio.sleep(GATHER_S)

    async def _load(self) -> None:
        """Read all pages; changes since the first page come by the watch."""
        items: list[transactions.StoredItem] = []
        after = ''
        revision = None
        while True:
            page = await self._store.list_page(self._mirror.prefix, after)
            if revision is None:
                revision = page.revision
            items.extend(page.items)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        self._mirror.replace(items, revision)
        LOG.info(
            'store read',
            extra={
                'prefix': self._mirror.prefix,
                'keys': len(items),
                'revision': revision,
            },
        )
