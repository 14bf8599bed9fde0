"""Times of a job by the steady clock of its coordinator.

The Unix time of an entry may be wrong by seconds and may jump. It only tells
what nobody has measured: how old a job was when this entry first saw it.
"""

from __future__ import annotations

import math


class JobTimes:
    """Times of one job; all are steady times in seconds.

    :param arrived: time at which the job was accepted, as far as is known;
        ``None`` for a job that is new to the coordinator.
    """

    __slots__ = ('_arrived', '_due_since')

    def __init__(self, arrived: float | None = None) -> None:
        self._arrived = arrived
        self._due_since: dict[int, float] = {}

    @property
    def arrived(self) -> float:
        """Return when the job was accepted; -infinity if nothing tells."""
        return -math.inf if self._arrived is None else self._arrived

    def begin(self, now: float) -> None:
        """Record that the coordinator has a job, which may be new to it."""
        if self._arrived is None:
            self._arrived = now

    def record_due(self, now: float, occurrence: int, lateness: float) -> None:
        """Record that a scheduled occurrence is due, unless that is recorded.

        :param lateness: seconds since it was due, by the Unix time.
        """
        self._due_since.setdefault(occurrence, now - max(lateness, 0.0))

    def get_due_since(self, occurrence: int) -> float:
        """Return since when an occurrence is due, or its job accepted."""
        return self._due_since.get(occurrence, self.arrived)
