"""Records that a replay keeps about each job."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench import traces
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs


# A gang that is stopped without saving resumes from its last periodic
# checkpoint. Loading a checkpoint takes ``RESTORE_SECONDS``.
PERIODIC_CHECKPOINT_SECONDS = 1800.0
RESTORE_SECONDS = 30.0


class JobState:
    """States of a job during a replay."""

    PENDING = 'pending'
    WAITING = 'waiting'
    PLACED = 'placed'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    ABANDONED = 'abandoned'


@dataclasses.dataclass(slots=True)
class JobRecord:
    """State and history of one job.

    :ivar trace_job: job as generated in the trace.
    :ivar entitled: whether the guarantee of the job was unused when the job
        arrived.
    :ivar guaranteed: whether the last placement was under a guarantee.
    :ivar first_start: time of the first start in seconds, or ``None``.
    :ivar end: time of the end in seconds, or ``None``.
    :ivar wait_seconds: seconds in the queue, over all attempts.
    :ivar checkpointed_seconds: seconds of the true run time whose progress
        is saved in a checkpoint.
    :ivar attempt: number of the current attempt.
    :ivar lost_accelerator_seconds: accelerator-seconds of repeated work, and
        of saving, loading and failing.
    :ivar used_accelerator_seconds: accelerator-seconds for which the job
        occupied accelerators.
    """

    trace_job: traces.TraceJob
    state: str = JobState.PENDING
    entitled: bool = False
    guaranteed: bool = False
    first_start: float | None = None
    end: float | None = None
    wait_seconds: float = 0.0
    waiting_since: float = 0.0
    running_since: float = 0.0
    checkpointed_seconds: float = 0.0
    attempt: int = 0
    reclaims: int = 0
    lost_accelerator_seconds: float = 0.0
    used_accelerator_seconds: float = 0.0
    reason: str = ''


@dataclasses.dataclass(slots=True)
class ReplayResult:
    """Outcome of one replay.

    :ivar waiting_time: seconds during which some job waited.
    :ivar fragmentation_time: integral, over the waiting time, of the share of
        the free accelerators that no waiting gang can use.
    :ivar unusable_time: integral, over the waiting time, of the free
        accelerators that no waiting gang can use as a share of all.
    :ivar idle_time: integral, over the waiting time, of the free accelerators
        as a share of all.
    :ivar end: time of the last event in seconds.
    """

    trace: traces.Trace
    records: dict[str, JobRecord]
    waiting_time: float = 0.0
    fragmentation_time: float = 0.0
    unusable_time: float = 0.0
    idle_time: float = 0.0
    end: float = 0.0
    decide_calls: int = 0
    warnings: list[str] = dataclasses.field(default_factory=list)

    def add_interval(
        self, seconds: float, free: int, unusable: int, total: int
    ) -> None:
        """Add a period during which some job waited.

        :param seconds: length of the period.
        :param free: number of free accelerators.
        :param unusable: free accelerators that no waiting gang can use.
        :param total: number of all accelerators.
        """
        self.waiting_time += seconds
        if not free:
            return
        self.fragmentation_time += seconds * unusable / free
        self.unusable_time += seconds * unusable / total
        self.idle_time += seconds * free / total


def is_entitled(
    job: jobs.Job,
    guarantee: configs.Guarantee | None,
    others: Iterable[JobRecord],
) -> bool:
    """Return whether the guarantee that a job requests is certainly unused.

    Other jobs of the client account that may use the guarantee count as using
    it, unless they run on borrowed accelerators.

    :param job: arriving job.
    :param guarantee: guarantee that the job requests and fits into, or
        ``None``.
    :param others: records of all jobs.
    """
    if guarantee is None:
        return False
    competing_jobs = 0
    for other in others:
        if other.state in (
            JobState.RUNNING,
            JobState.PLACED,
            JobState.STOPPING,
        ):
            if not (other.guaranteed or other.entitled):
                continue
        elif other.state != JobState.WAITING:
            continue
        same_account = other.trace_job.job.account == job.account
        size = other.trace_job.job.spec.accelerators
        competing_jobs += same_account and size <= guarantee.accelerators
    return competing_jobs < guarantee.count


def get_restore_seconds(record: JobRecord) -> float:
    """Return the seconds that a job needs to load its checkpoint."""
    return RESTORE_SECONDS if record.checkpointed_seconds else 0.0


def record_interruption(
    record: JobRecord, now: float, saved: bool, overhead: float
) -> None:
    """Record the kept progress and the lost time of an interrupted job.

    :param record: record of the running job.
    :param now: time of the interruption in seconds.
    :param saved: whether a checkpoint is taken now.
    :param overhead: seconds until the accelerators are free.
    """
    elapsed = now - record.running_since
    restored = min(elapsed, get_restore_seconds(record))
    worked = elapsed - restored
    kept_progress = worked
    if not saved:
        kept_progress = worked - worked % PERIODIC_CHECKPOINT_SECONDS
    record.checkpointed_seconds += kept_progress
    add_lost_time(record, worked - kept_progress + restored + overhead)


def add_lost_time(record: JobRecord, seconds: float) -> None:
    """Add time during which a gang held accelerators without progress."""
    record.lost_accelerator_seconds += (
        seconds * record.trace_job.job.spec.accelerators
    )
