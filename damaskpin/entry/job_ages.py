"""Times since when the stored jobs are unchanged, and have no run.

They are for the log only. The limit on idle time goes by the times in
:mod:`damaskpin.coordinator.job_times`.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from damaskpin.coordinator import records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from damaskpin.entry import view as views


@dataclasses.dataclass(slots=True)
class JobAge:
    """Age of the stored progress of a job.

    :ivar revision: store revision of the progress record.
    :ivar changed: time in seconds at which this revision was first seen.
    :ivar idle_since: time in seconds since which the job has had no run;
        infinite if it may have one.
    """

    revision: int
    changed: float
    idle_since: float


class JobAges:
    """Ages of the unfinished jobs, by the steady clock of one process.

    Each entry sees all changes of the store, whether it coordinates or not.
    """

    __slots__ = ('_ages',)

    def __init__(self) -> None:
        self._ages: dict[str, JobAge] = {}

    def update(self, now: float, jobs: Iterable[views.CachedJob]) -> None:
        """Compare the stored jobs with those seen before.

        :param now: steady time in seconds.
        """
        ages: dict[str, JobAge] = {}
        for job in jobs:
            if job.submission is None or job.progress.state.is_final():
                continue
            job_id = job.submission.id
            age = self._ages.get(job_id)
            if age is None or age.revision != job.revision:
                # A start is stored before it is ordered, so that a job whose
                # records have no active run has had none in between.
                idle_since = math.inf
                if not records.has_active_run(job.progress):
                    idle_since = now if age is None else age.idle_since
                    idle_since = min(idle_since, now)
                age = JobAge(job.revision, now, idle_since)
            ages[job_id] = age
        self._ages = ages

    def record_idle(self, job_id: str, idle_since: float) -> None:
        """Record that a job has no run, until its progress changes.

        :param idle_since: time in seconds since which no worker lists one.
        """
        age = self._ages.get(job_id)
        if age is not None:
            age.idle_since = min(age.idle_since, idle_since)

    def get_changed(self, job_id: str) -> float:
        """Return since when a job's progress is unchanged, in seconds.

        :returns: infinity if the job is not known.
        """
        age = self._ages.get(job_id)
        return math.inf if age is None else age.changed

    def get_idle_since(self, job_id: str) -> float:
        """Return since when a job has had no run, in seconds.

        :returns: infinity if that is not known.
        """
        age = self._ages.get(job_id)
        return math.inf if age is None else age.idle_since
