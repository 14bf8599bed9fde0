"""Removes ended jobs and tombstones from the store after a retention time."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.entry import view as views
from damaskpin.runtime import clocks
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# Seconds added to the time for which a job's final state must be shown. Late
# repeats of a submission must still find the job, and the wall clock may jump.
EXTRA_RETENTION_S = 300.0

# Maximum number of jobs and tombstones removed in one round, and pause between
# rounds in seconds: removals must not use up the store's call rate, which
# running jobs need. Tombstones take at most half of a round.
MAX_REMOVALS = 20
ROUND_INTERVAL_S = 10.0


class Retention:
    """Removes ended jobs from the store while this entry coordinates.

    :param store: client of the store.
    :param view: jobs that are recorded in the store.
    :param retention_time: minimum time in seconds for which a job's final
        state is shown.
    :param get_fence: returns the fencing token of this entry as coordinator;
        0 if it is not the coordinator.
    """

    __slots__ = ('_get_fence', '_retention_time', '_store', '_view')

    def __init__(
        self,
        store: interface.Store,
        view: views.JobView,
        retention_time: float,
        get_fence: Callable[[], int],
    ) -> None:
        self._store = store
        self._view = view
        self._retention_time = retention_time
        self._get_fence = get_fence

    async def run(self) -> None:
        """Remove expired jobs periodically until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self.remove_expired(clocks.get_wall_time())

    async def remove_expired(self, wall_time: float) -> int:
        """Remove up to ``MAX_REMOVALS`` records whose retention time is over.

        :param wall_time: Unix time in seconds.
        :returns: number of jobs and tombstones removed.
        """
        removed = 0
        for expired in self._list_expired(wall_time):
            fence = self._get_fence()
            if not fence:
                break
            match expired:
                case views.CachedJob():
                    transaction = make_removal_transaction(expired, fence)
                case views.CachedTombstone():
                    transaction = make_tombstone_removal(expired, fence)
            try:
                result = await self._store.commit(transaction)
            except errors.StoreError as error:
                LOG.info('ended job not removed', extra={'error': str(error)})
                break
            if isinstance(result, transactions.Committed):
                removed += 1
        if removed:
            LOG.info('ended jobs removed', extra={'jobs': removed})
        return removed

    def _list_expired(
        self, wall_time: float
    ) -> list[views.CachedJob | views.CachedTombstone]:
        latest_end = wall_time - self._retention_time - EXTRA_RETENTION_S
        expired: list[views.CachedJob | views.CachedTombstone] = []
        for tombstone in self._view.list_tombstones():
            if len(expired) >= MAX_REMOVALS // 2:
                break
            if tombstone.record.cancelled <= latest_end:
                expired.append(tombstone)
        for known_job in self._view.list_jobs():
            progress = known_job.progress
            if not progress.state.is_final() or progress.ended > latest_end:
                continue
            if has_active_runs(known_job):
                continue
            expired.append(known_job)
            if len(expired) >= MAX_REMOVALS:
                break
        return expired


def has_active_runs(known_job: views.CachedJob) -> bool:
    """Return whether a job has runs that may still be on a worker."""
    for steps in known_job.progress.occurrences.values():
        for step in steps:
            if step.active:
                return True
    return False


def make_removal_transaction(
    known_job: views.CachedJob, fence: int
) -> transactions.Transaction:
    """Return a transaction that removes a job's keys if it is unchanged.

    :param fence: fencing token that the leader key must still have.
    """
    job_id = known_job.submission.id if known_job.submission else ''
    progress = layout.make_progress_key(job_id)
    keys = [layout.make_job_key(job_id), progress]
    if known_job.cancelled:
        keys.append(layout.make_cancel_key(job_id))
    return transactions.Transaction(
        {layout.LEADER_KEY: fence, progress: known_job.revision},
        removals=tuple(keys),
    )


def make_tombstone_removal(
    tombstone: views.CachedTombstone, fence: int
) -> transactions.Transaction:
    """Return a transaction that removes a tombstone if it is unchanged.

    :param fence: fencing token that the leader key must still have.
    """
    key = layout.make_job_key(tombstone.job)
    return transactions.Transaction(
        {layout.LEADER_KEY: fence, key: tombstone.revision}, removals=(key,)
    )
