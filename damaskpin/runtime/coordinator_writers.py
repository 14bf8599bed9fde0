"""Background tasks that store what a coordinator has decided."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpin.runtime import silence_writer
from damaskpin.runtime import writer as writers

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.coordinator import coordinator as coordinators
    from damaskpin.store import interface

LOG = logging.getLogger(__name__)


class CoordinatorWriters:
    """Writes the progress and the silent agents of one coordinator.

    :param store: client of the store.
    :param coordinator: coordinator whose state is written.
    :param silences_revision: store revision of the record of silent agents.
    :param on_stored: called after each write.
    :param step_down: called with a reason when another entry has become the
        coordinator, or when a writer has failed.
    """

    __slots__ = (
        '_coordinator',
        '_progress',
        '_silences',
        '_step_down',
        '_tasks',
    )

    def __init__(
        self,
        store: interface.Store,
        coordinator: coordinators.Coordinator,
        silences_revision: int,
        on_stored: Callable[[], None],
        step_down: Callable[[str], None],
    ) -> None:
        self._coordinator = coordinator
        self._step_down = step_down
        self._progress = writers.ProgressWriter(
            store, coordinator, on_stored, step_down
        )
        self._silences = silence_writer.SilenceWriter(
            store,
            coordinator.silence_records,
            silences_revision,
            on_stored,
            step_down,
        )
        self._tasks = [
            asyncio.ensure_future(self._write(writer))
            for writer in (self._progress, self._silences)
        ]

    def wake(self) -> None:
        """Wake the writers that may have something to write."""
        if self._coordinator.list_unstored_jobs():
            self._progress.wake()
        self._silences.wake()

    def stop(self) -> None:
        """Cancel the writers."""
        for task in self._tasks:
            task.cancel()

    async def _write(
        self, writer: writers.ProgressWriter | silence_writer.SilenceWriter
    ) -> None:
        try:
            await writer.run()
        except Exception:
            # Scheduling decisions are sent to agents only after they are
            # stored, so unstored ones may be dropped. The next coordinator
            # loads its state from the store.
            LOG.exception('writer failed')
            self._step_down('a writer failed')
