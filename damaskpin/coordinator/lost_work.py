"""Account of the work that is lost when runs end without success.

Each run that is stopped, fails or disappears is booked by its cause in
core-seconds, in which an accelerator counts as the cores that it costs as much
as. Work that a checkpoint carries over is not lost.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import placed_run


class Cause(enum.StrEnum):
    """Why a run ended without success.

    The other members of a gang have the cause of the member that was stopped
    first. A gang that its workers have broken before the coordinator knew of
    the first end has ``GANG_BROKEN``.
    """

    PREEMPTED = 'preempted'
    DRAINING = 'worker draining'
    CANCELLED = 'job cancelled'
    JOB_FAILED = 'job failed'
    FAULTY = 'stalled or slow'
    FAILED = 'failed'
    LAPSED = 'lease lapsed'
    GANG_BROKEN = 'gang broken'
    GANG_INCOMPLETE = 'gang incomplete'
    WORKER_LOST = 'worker lost'
    WORKER_RESTARTED = 'worker restarted'
    NOT_STARTED = 'not started'
    REPEATED = 'work item done twice'
    UNRECORDED = 'not recorded'
    MISSING = 'not listed'
    UNKNOWN = 'unknown'


class LostWork:
    """Totals of the lost work by cause since a coordinator started.

    :ivar core_seconds: core-seconds of lost work by cause.
    :ivar runs: number of runs that ended without success by cause.
    """

    __slots__ = ('core_seconds', 'runs')

    def __init__(self) -> None:
        self.core_seconds: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()

    def record(
        self, cause: Cause | None, placed: placed_run.PlacedRun, ended: float
    ) -> dict[str, object]:
        """Add a run that has ended.

        :param cause: why its work is lost; ``None`` if it is not.
        :param ended: time up to which the run has certainly worked, in
            seconds.
        :returns: fields for the log line of the end.
        """
        if cause is None:
            return {}
        core_seconds = measure_lost_work(placed, ended)
        self.runs[cause] += 1
        self.core_seconds[cause] += core_seconds
        return {
            'cause': str(cause),
            'lost_core_seconds': round(core_seconds, 1),
            'checkpoints': placed.step.checkpoints,
        }


def measure_lost_work(placed: placed_run.PlacedRun, ended: float) -> float:
    """Return the core-seconds of work that a run lost by its end.

    A run of a former coordinator counts from the time at which this one first
    saw it in its worker's list.

    :param ended: time up to which the run has certainly worked, in seconds.
    """
    unsaved = max(placed.get_unsaved_seconds(ended), 0.0)
    return placed.step.get_core_equivalents() * unsaved


def find_cause(
    placed: placed_run.PlacedRun, ending: work.Ending
) -> Cause | None:
    """Return why the work of a run is lost whose end a worker has listed.

    :returns: ``None`` if no work is lost.
    """
    if ending is work.Ending.DONE:
        is_repeated = placed.stop_cause is Cause.REPEATED
        return Cause.REPEATED if is_repeated else None
    if placed.stop_cause is not None:
        return placed.stop_cause
    match ending:
        case work.Ending.FAILED:
            return Cause.FAILED
        case work.Ending.LAPSED:
            return Cause.LAPSED
        case work.Ending.BROKEN:
            return Cause.GANG_BROKEN
        case work.Ending.ALONE:
            return Cause.GANG_INCOMPLETE
    return Cause.UNKNOWN
