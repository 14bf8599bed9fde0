"""Writes the record of silent agents while the fencing token is valid."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin import errors
from damaskpin.coordinator import silent_agents
from damaskpin.runtime import clocks
from damaskpin.store import layout
from damaskpin.store import transactions

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import silence_records
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)

# Pause after a failed write, in seconds.
RETRY_PAUSE_S = 0.1


class SilenceWriter:
    """Writes the records of silent agents one after the other.

    The key is overwritten and never removed, and each write expects the
    revision of the one before. A write that is carried out late therefore
    can't bring back an earlier record.

    :param store: client of the store.
    :param records: makes the records of this coordinator.
    :param revision: store revision of the present record; 0 without one.
    :param on_stored: called after each stored record.
    :param step_down: called with a reason when another entry has become the
        coordinator.
    """

    __slots__ = (
        '_on_stored',
        '_records',
        '_revision',
        '_step_down',
        '_store',
        '_wake_event',
    )

    def __init__(
        self,
        store: interface.Store,
        records: silence_records.SilenceRecords,
        revision: int,
        on_stored: Callable[[], None],
        step_down: Callable[[str], None],
    ) -> None:
        self._store = store
        self._records = records
        self._revision = revision
        self._on_stored = on_stored
        self._step_down = step_down
        self._wake_event = asyncio.Event()

    def wake(self) -> None:
        """Wake the writer to check for a record that is due."""
        self._wake_event.set()

    async def run(self) -> None:
        """Write records until cancelled or another entry coordinates."""
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            record = self._records.make_due_record(clocks.get_monotonic_time())
            if record is None:
                continue
            if not await self._write(silent_agents.encode_record(record)):
                return
            LOG.info(
                'silent agents recorded', extra={'agents': len(record.ages)}
            )
            self._records.record_stored()
            self._on_stored()

    async def _write(self, value: bytes) -> bool:
        """Write a record, retrying until the store answers.

        :returns: whether this entry is still the coordinator.
        """
        key = layout.SILENCES_KEY
        transaction = transactions.Transaction(
            {layout.LEADER_KEY: self._records.fence, key: self._revision},
            (transactions.Put(key, value),),
        )
        while True:
            try:
                result = await self._store.commit(transaction)
                break
            except errors.StoreError as error:
                LOG.info(
                    'silent agents not written', extra={'error': str(error)}
                )
                await asyncio.sleep(RETRY_PAUSE_S)
        match result:
            case transactions.Committed(revision=revision):
                self._revision = revision
            case transactions.Conflict(items=items):
                item = items.get(key)
                if item is None or item.value != value:
                    self._step_down('another coordinator has written silences')
                    return False
                self._revision = item.revision
        return True
