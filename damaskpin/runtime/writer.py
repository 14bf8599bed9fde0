"""Writes job progress to the store while the fencing token is valid."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.coordinator import records
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import coordinator as coordinators
    from damaskpin.coordinator import job as jobs
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# Maximum number of jobs in a transaction. The store accepts 32 items in a
# transaction: two for each job (a condition and a value) and one for the
# condition on the leader key.
MAX_BATCH_JOBS = 15

# Size of the progress records in a transaction, in bytes, unless a single one
# is larger. A transaction has to cross the slowest link between two regions
# within the timeout of a call, also as the text that the store expects.
MAX_BATCH_BYTES = 256 * 1024

# Pause after a failed write, in seconds.
RETRY_PAUSE_S = 0.1


class ProgressWriter:
    """Writes changed job progress to the store in sequential batches.

    Each write is conditional on the revision of its key, so that a delayed
    write can't overwrite a later one.

    :param store: client of the store.
    :param coordinator: coordinator whose jobs are written.
    :param on_stored: called after each stored batch.
    :param step_down: called with a reason when another entry has become the
        coordinator.
    :ivar writes: number of attempted writes.
    """

    __slots__ = (
        '_coordinator',
        '_on_stored',
        '_step_down',
        '_store',
        '_wake_event',
        'writes',
    )

    def __init__(
        self,
        store: interface.Store,
        coordinator: coordinators.Coordinator,
        on_stored: Callable[[], None],
        step_down: Callable[[str], None],
    ) -> None:
        self._store = store
        self._coordinator = coordinator
        self._on_stored = on_stored
        self._step_down = step_down
        self._wake_event = asyncio.Event()
        self.writes = 0

    def wake(self) -> None:
        """Wake the writer to check for changed jobs."""
        self._wake_event.set()

    async def run(self) -> None:
        """Write batches until cancelled or another entry coordinates."""
        while True:
            batch = self._collect_batch()
            if not batch:
                self._wake_event.clear()
                await self._wake_event.wait()
                continue
            if not await self._write(batch):
                return
            self._on_stored()

    def _collect_batch(self) -> list[tuple[jobs.Job, bytes]]:
        """Return changed jobs with the records to write in a transaction.

        Those that were written longest ago come first, so that large records
        that change all the time do not hold up the others.
        """
        batch: list[tuple[jobs.Job, bytes]] = []
        size = 0
        changed = self._coordinator.list_unstored_jobs()
        changed.sort(key=lambda job: job.revision)
        for job in changed[:MAX_BATCH_JOBS]:
            value = records.encode_progress(job.progress)
            size += len(value)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append((job, value))
        return batch

    async def _write(self, batch: list[tuple[jobs.Job, bytes]]) -> bool:
        """Write a batch of jobs, retrying until the store answers.

        :param batch: jobs with their encoded progress.
        :returns: whether this entry is still the coordinator.
        """
        versions = [job.progress.version for job, _ in batch]
        expected = {layout.LEADER_KEY: self._coordinator.fence}
        puts = []
        for job, value in batch:
            key = layout.make_progress_key(job.id)
            expected[key] = job.revision
            puts.append(transactions.Put(key, value))
        transaction = transactions.Transaction(expected, tuple(puts))
        while True:
            self.writes += 1
            try:
                result = await self._store.commit(transaction)
                break
            except errors.StoreError as error:
                LOG.info(
                    'job progress not written', extra={'error': str(error)}
                )
                await asyncio.sleep(RETRY_PAUSE_S)
        match result:
            case transactions.Committed():
                revisions = [result.revision] * len(batch)
            case transactions.Conflict():
                stored = self._resolve_conflict(result, transaction)
                if stored is None:
                    return False
                revisions = stored
        for (job, _), version, revision in zip(
            batch, versions, revisions, strict=True
        ):
            job.revision = revision
            self._coordinator.record_stored(job.id, version)
        return True

    def _resolve_conflict(
        self,
        conflict: transactions.Conflict,
        transaction: transactions.Transaction,
    ) -> list[int] | None:
        """Check whether an earlier attempt of a write caused the conflict.

        :returns: revisions of the keys if the store has the written values;
            ``None`` after stepping down because another entry writes.
        """
        revisions = []
        for put in transaction.puts:
            item = conflict.items.get(put.key)
            if item is None or item.value != put.value:
                self._step_down('another coordinator has written job progress')
                return None
            revisions.append(item.revision)
        return revisions
