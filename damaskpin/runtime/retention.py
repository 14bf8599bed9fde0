"""Removal of jobs that ended long ago."""

from __future__ import annotations

import asyncio
import logging
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

# Added to the time for which a final state must be shown, in seconds: late
# repeats of a submission still meet the job, and clocks may jump.
MARGIN_S = 300.0

# Jobs removed in one round, and pause between rounds in seconds: removals
# must not take the store's rate from live work.
MAX_REMOVALS = 20
INTERVAL_S = 10.0


class Retention:
    """Removes ended jobs while this entry coordinates.

    :param store: access to the store.
    :param view: jobs as the store has them.
    :param keep: seconds for which a final state is shown at least.
    :param get_fence: fencing token of this coordinator; 0 for none.
    """

    __slots__ = ('_get_fence', '_keep', '_store', '_view')

    def __init__(
        self,
        store: port.Store,
        view: views.View,
        keep: float,
        get_fence: Callable[[], int],
    ) -> None:
        self._store = store
        self._view = view
        self._keep = keep
        self._get_fence = get_fence

    async def run(self) -> None:
        """Remove jobs until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            await self.remove_expired(clocks.get_wall())

    async def remove_expired(self, wall: float) -> int:
        """Remove jobs whose time is over.

        :param wall: Unix time in seconds.
        :returns: number of jobs removed.
        """
        removed = 0
        for known in self._list_expired(wall):
            fence = self._get_fence()
            if not fence:
                break
            try:
                result = await self._store.commit(make_removal(known, fence))
            except errors.StoreError as error:
                LOG.info('ended job not removed', extra={'error': str(error)})
                break
            if isinstance(result, transactions.Committed):
                removed += 1
        if removed:
            LOG.info('ended jobs removed', extra={'jobs': removed})
        return removed

    def _list_expired(self, wall: float) -> list[views.KnownJob]:
        latest = wall - self._keep - MARGIN_S
        found = []
        for known in self._view.list_jobs():
            progress = known.progress
            if not progress.state.is_final() or progress.ended > latest:
                continue
            if has_active(known):
                continue
            found.append(known)
            if len(found) >= MAX_REMOVALS:
                break
        return found


def has_active(known: views.KnownJob) -> bool:
    """Return whether runs of a job may still exist."""
    for steps in known.progress.occurrences.values():
        for step in steps:
            if step.active:
                return True
    return False


def make_removal(
    known: views.KnownJob, fence: int
) -> transactions.Transaction:
    """Return the removal of a job's keys, unless anything has changed."""
    job_id = known.submission.id if known.submission else ''
    progress = layout.make_progress_key(job_id)
    keys = [layout.make_job_key(job_id), progress]
    if known.cancelled:
        keys.append(layout.make_cancel_key(job_id))
    return transactions.Transaction(
        {layout.LEADER: fence, progress: known.revision},
        removals=tuple(keys),
    )
