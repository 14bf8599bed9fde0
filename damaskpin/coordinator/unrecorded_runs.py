"""Runs of a job that a worker lists although the job has not recorded them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.model import work


class UnrecordedRuns:
    """Unrecorded runs that have not ended yet.

    Their work items are held back: no other run of them may start.
    """

    __slots__ = ('_runs',)

    def __init__(self) -> None:
        self._runs: set[work.Run] = set()

    def __contains__(self, run: work.Run) -> bool:
        return run in self._runs

    def add(self, run: work.Run) -> None:
        """Add a run that a worker lists."""
        self._runs.add(run)

    def discard(self, run: work.Run) -> None:
        """Remove a run that has ended."""
        self._runs.discard(run)

    def holds_back(
        self, occurrence: int, step: int, indexes: tuple[int, ...]
    ) -> bool:
        """Return whether one of the work items has such a run.

        :param indexes: indexes of the work items within the step.
        """
        for run in self._runs:
            item = run.item
            if (item.occurrence, item.step) != (occurrence, step):
                continue
            if item.index in indexes:
                return True
        return False
