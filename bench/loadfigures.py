"""Figures of simulated days of load."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench import loadmixes
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import lost_work

# A job that ends after this multiple of its objective earns nothing.
LATE_FACTOR = 3


@dataclasses.dataclass(slots=True)
class DayFigures:
    """Figures of one simulated day.

    :ivar earned_share: value earned by completed jobs as a share of the value
        of all due jobs; late jobs earn a part of their value.
    :ivar earned_share_by_queue: earned share of the value of each queue.
    :ivar losses: account of the coordinator by cause.
    :ivar stopped_runs: number of runs that were stopped.
    :ivar late_guaranteed: number of jobs that had not started when they had
        been guaranteed for longer than the bound on their start.
    :ivar pass_seconds: processor seconds of all scheduling passes.
    """

    earned_share: float
    earned_share_by_queue: dict[str, float]
    losses: lost_work.LostWork
    stopped_runs: int
    late_guaranteed: int
    pass_seconds: float


def measure_value(
    all_jobs: Iterable[jobs.Job],
    drawn_jobs: dict[str, loadmixes.DrawnJob],
    wall: float,
) -> tuple[collections.Counter[str], collections.Counter[str]]:
    """Return the value that was due, and the value earned, by queue.

    :param drawn_jobs: drawn properties of the jobs by their ids.
    :param wall: Unix time at the end of the day, in seconds.
    """
    due: collections.Counter[str] = collections.Counter()
    earned: collections.Counter[str] = collections.Counter()
    for job in all_jobs:
        drawn_job = drawn_jobs[job.id]
        queue = drawn_job.queue
        objective = (
            queue.allowance + queue.stretch * drawn_job.critical_path_seconds
        )
        accepted = job.submission.accepted
        if job.progress.state is work.JobState.COMPLETED:
            elapsed = job.progress.ended - accepted
            if elapsed <= objective:
                earned[queue.name] += drawn_job.value
            elif elapsed <= LATE_FACTOR * objective:
                earned[queue.name] += drawn_job.value * queue.late_value_share
        elif wall - accepted < LATE_FACTOR * objective:
            # The job can still end in time, so its value is not due.
            continue
        due[queue.name] += drawn_job.value
    return due, earned
