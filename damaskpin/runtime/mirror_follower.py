"""Keeps a local mirror of the store up to date."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.runtime import clocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.store import interface
    from damaskpin.store import mirror as mirrors
    from damaskpin.store import transactions

LOG = logging.getLogger(__name__)

# Maximum duration of a watch, in seconds. It is short, so that a connection
# that no longer delivers changes is noticed within the time in which a new
# configuration must be in force.
WATCH_WAIT_S = 1.0

# Pause after a watch that returned changes, in seconds, on an entry that only
# reports job states. Each call to the store costs money, and each change ends
# the watch of every entry; without the pause every entry would make a new
# watch call for each change.
WATCH_PAUSE_S = 0.2

# Pause after a failed call to the store, in seconds.
RETRY_PAUSE_S = 0.15


class MirrorFollower:
    """Watches the keys below a mirror's prefix and updates the mirror.

    :param store: client of the store.
    :param mirror: local copy to keep up to date.
    :param is_urgent: returns whether changes must be applied without the
        pause ``WATCH_PAUSE_S``.
    :ivar last_contact_time: monotonic time of the store's last answer, in
        seconds.
    """

    __slots__ = (
        '_is_urgent',
        '_mirror',
        '_pending_watch',
        '_store',
        'last_contact_time',
    )

    def __init__(
        self,
        store: interface.Store,
        mirror: mirrors.Mirror,
        is_urgent: Callable[[], bool],
    ) -> None:
        self._is_urgent = is_urgent
        self._store = store
        self._mirror = mirror
        self._pending_watch: asyncio.Task[transactions.Changes] | None = None
        self.last_contact_time = 0.0

    async def run(self) -> None:
        """Load the mirrored keys, then watch them until cancelled."""
        unreachable = False
        while True:
            try:
                last_contact_time = self.last_contact_time
                if not await self._follow_once():
                    continue
                self.last_contact_time = clocks.get_monotonic_time()
                silence = None
                if last_contact_time:
                    silence = self.last_contact_time - last_contact_time
                if unreachable:
                    LOG.info(
                        'store answers again',
                        extra={
                            'prefix': self._mirror.prefix,
                            'seconds': silence and round(silence, 3),
                        },
                    )
                unreachable = False
            except errors.StoreCompactedError:
                LOG.info(
                    'watch history lost; reloading',
                    extra={'prefix': self._mirror.prefix},
                )
                self._mirror.complete = False
            except errors.StoreSlowAnswerError as error:
                # A listing has each key once, while the changes have each
                # value that it had; they would be even more the next time.
                LOG.warning(
                    'changes did not arrive in time; reloading',
                    extra={
                        'prefix': self._mirror.prefix,
                        'error': str(error),
                    },
                )
                self._mirror.complete = False
                await asyncio.sleep(RETRY_PAUSE_S)
            except errors.StoreError as error:
                if not unreachable:
                    LOG.warning(
                        'store does not answer',
                        extra={
                            'prefix': self._mirror.prefix,
                            'error': str(error),
                        },
                    )
                unreachable = True
                await asyncio.sleep(RETRY_PAUSE_S)

    def restart_watch(self) -> None:
        """Replace a pending watch by a new one.

        A watch that was sent while the store was away may hang until its
        timeout, although the store answers again. A watch whose own answer
        shows the return is kept.
        """
        watch = self._pending_watch
        if watch is None or watch is asyncio.current_task():
            return
        LOG.info('watch sent anew', extra={'prefix': self._mirror.prefix})
        watch.cancel()

    async def _follow_once(self) -> bool:
        """Load the keys or wait for changes once.

        :returns: whether the store has answered.
        """
        mirror = self._mirror
        if not mirror.complete:
            await self._load()
            return True
        changes = await self._watch()
        if changes is None:
            return False
        mirror.apply_changes(changes)
        self.last_contact_time = clocks.get_monotonic_time()
        if changes.changes and not self._is_urgent():
            await asyncio.sleep(WATCH_PAUSE_S)
        return True

    async def _watch(self) -> transactions.Changes | None:
        """Return the next changes; ``None`` if the watch is restarted."""
        mirror = self._mirror
        watch = asyncio.ensure_future(
            self._store.watch(mirror.prefix, mirror.revision, WATCH_WAIT_S)
        )
        self._pending_watch = watch
        try:
            await asyncio.wait({watch})
        finally:
            self._pending_watch = None
            watch.cancel()
        return None if watch.cancelled() else watch.result()

    async def _load(self) -> None:
        """Replace the mirror by a listing of all keys below its prefix.

        The next watch starts at the revision of the listing's first page, so
        that it returns the changes made while later pages were read.
        """
        started = clocks.get_monotonic_time()
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
            'mirror loaded from the store',
            extra={
                'prefix': self._mirror.prefix,
                'keys': len(items),
                'revision': revision,
                'seconds': round(clocks.get_monotonic_time() - started, 3),
            },
        )
