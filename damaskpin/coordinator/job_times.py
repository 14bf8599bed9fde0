"""Times of a job by the steady clock of its coordinator.

The Unix time of an entry may be wrong by seconds and may jump. It only tells
what nobody has measured: how old a job was when this entry first saw it.
"""

from __future__ import annotations

import math

# Occurrence, step index and slot of a unit; see :class:`job.Unit`.
UnitKey = tuple[int, int, int]


class JobTimes:
    """Times of one job; all are steady times in seconds.

    :param arrived: time at which the job was accepted, as far as is known;
        ``None`` for a job that is new to the coordinator.
    :param last_at_work: time at which a worker may last have had a run of it;
        -infinity if none ever had.
    :ivar last_at_work: the same, or when a worker last listed a run of it or
        the end of one.
    :ivar starting_since: time of the first start of the job since then;
        infinite without one.
    :ivar last_idle_start: time of the latest start by the limit on idle time;
        -infinity without one.
    """

    __slots__ = (
        '_arrived',
        '_due_since',
        '_idle_since',
        'last_at_work',
        'last_idle_start',
        'starting_since',
    )

    def __init__(
        self, arrived: float | None = None, last_at_work: float = -math.inf
    ) -> None:
        self._arrived = arrived
        self._due_since: dict[int, float] = {}
        self._idle_since: dict[UnitKey, float] = {}
        self.last_at_work = last_at_work
        self.last_idle_start = -math.inf
        self.starting_since = math.inf

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

    def record_ready(self, now: float, unit: UnitKey) -> None:
        """Record that a unit is ready.

        The time is kept if the unit was ready before and none of its starts
        has been listed since.
        """
        self._idle_since.setdefault(unit, now)

    def record_start(self, now: float) -> None:
        """Record that a run of the job was placed."""
        self.starting_since = min(self.starting_since, now)

    def record_idle_start(self, now: float) -> None:
        """Record that the limit on idle time has started a unit of the job."""
        self.last_idle_start = now

    def record_work(self, listed: float, unit: UnitKey) -> None:
        """Record that a worker has listed a run of a unit, or its end.

        :param listed: time at which the worker has listed it.
        """
        self.last_at_work = max(self.last_at_work, listed)
        self.starting_since = math.inf
        self._idle_since.pop(unit, None)

    def get_due_since(self, occurrence: int) -> float:
        """Return since when an occurrence is due, or its job accepted."""
        return self._due_since.get(occurrence, self.arrived)

    def get_job_idle_since(self, occurrence: int) -> float:
        """Return since when no worker has had a run of the job."""
        return max(self.get_due_since(occurrence), self.last_at_work)

    def get_unit_idle_since(self, unit: UnitKey) -> float:
        """Return since when a unit is ready and no worker has had a run of it.

        Starts that come to nothing make no difference.
        """
        return self._idle_since.get(unit, math.inf)
