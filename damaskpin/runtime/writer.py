"""Writes the progress of jobs under the coordinator's fence."""

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
    from damaskpin.store import port

LOG = logging.getLogger(__name__)

# The store takes 32 entries in a transaction: a condition and a value for
# each job, and the condition on the coordinator's key.
MAX_JOBS = 15

# Pause after a failed write, in seconds.
RETRY_S = 0.1


class Writer:
    """Writes one batch after the other.

    A condition on each key keeps a write that is carried out late from
    undoing a later one.

    :param store: access to the store.
    :param coordinator: source of the changes.
    :param on_stored: called after each batch.
    :param step_down: called with a reason when another entry has taken over.
    """

    __slots__ = (
        '_coordinator',
        '_on_stored',
        '_step_down',
        '_store',
        '_wake',
        'writes',
    )

    def __init__(
        self,
        store: port.Store,
        coordinator: coordinators.Coordinator,
        on_stored: Callable[[], None],
        step_down: Callable[[str], None],
    ) -> None:
        self._store = store
        self._coordinator = coordinator
        self._on_stored = on_stored
        self._step_down = step_down
        self._wake = asyncio.Event()
        self.writes = 0

    def wake(self) -> None:
        """Look for changes."""
        self._wake.set()

    async def run(self) -> None:
        """Write until cancelled or deposed."""
        while True:
            batch = self._coordinator.collect_dirty()[:MAX_JOBS]
            if not batch:
                self._wake.clear()
                await self._wake.wait()
                continue
            if not await self._write(batch):
                return
            self._on_stored()

    async def _write(self, batch: list[jobs.Job]) -> bool:
        """Write a batch, as often as it takes.

        :returns: whether this entry is still the coordinator.
        """
        versions = [job.progress.version for job in batch]
        expected = {layout.LEADER: self._coordinator.fence}
        puts = []
        for job in batch:
            key = layout.make_progress_key(job.id)
            expected[key] = job.revision
            value = records.encode_progress(job.progress)
            puts.append(transactions.Put(key, value))
        transaction = transactions.Transaction(expected, tuple(puts))
        while True:
            self.writes += 1
            try:
                result = await self._store.commit(transaction)
                break
            except errors.StoreError as error:
                LOG.info('progress not written', extra={'error': str(error)})
                await asyncio.sleep(RETRY_S)
        match result:
            case transactions.Committed():
                revisions = [result.revision] * len(batch)
            case transactions.Conflict():
                found = self._match_conflict(result, transaction)
                if found is None:
                    return False
                revisions = found
        for job, version, revision in zip(
            batch, versions, revisions, strict=True
        ):
            job.revision = revision
            self._coordinator.note_stored(job.id, version)
        return True

    def _match_conflict(
        self,
        conflict: transactions.Conflict,
        transaction: transactions.Transaction,
    ) -> list[int] | None:
        """Return the revisions if an earlier try of the same write is in.

        :returns: ``None`` if another entry writes; this one steps down.
        """
        revisions = []
        for put in transaction.puts:
            item = conflict.items.get(put.key)
            if item is None or item.value != put.value:
                self._step_down('another coordinator writes')
                return None
            revisions.append(item.revision)
        return revisions
