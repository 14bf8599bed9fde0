"""Inputs and results of the scheduler."""

from __future__ import annotations

import dataclasses
import enum

Members = tuple[tuple[str, tuple[int, ...]], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Start a gang on these accelerators; they are free.

    :ivar members: (worker name, accelerator indexes) of each member; the
        first one is the lead.
    :ivar guaranteed: whether the job draws on a guaranteed shape.
    :ivar reclaimed: ids of the jobs that were stopped for this one.
    """

    job_id: str
    members: Members
    guaranteed: bool
    reclaimed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reclaim:
    """Checkpoint and stop a job; the caller reports its end.

    :ivar grace: seconds for the checkpoint.
    """

    job_id: str
    grace: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warn:
    """A guaranteed shape can't be met, or can be met again.

    :ivar failed_workers: workers of the region that are gone or quarantined.
    :ivar missing_workers: configured workers of the region never reported.
    :ivar instances: instances of the shape that can't be met; 0 when the
        shape can be met again.
    """

    account: str
    shape: str
    failed_workers: tuple[str, ...]
    missing_workers: int
    instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The job can't be queued.

    :ivar reason: text for the caller.
    :ivar retryable: whether the same job may be accepted later under the
        same configuration.
    """

    job_id: str
    reason: str
    retryable: bool = False


Decision = Place | Reclaim | Warn


class Result(enum.StrEnum):
    """How a placed job ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CHECKPOINTED = 'checkpointed'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """End of a placed job.

    A checkpointed job goes back to the queue, and so does a lost one that is
    idempotent; in the other cases the scheduler forgets the job.

    :ivar failed_workers: workers whose tasks failed, where known.
    """

    result: Result
    failed_workers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """What one account uses and waits for.

    :ivar used: accelerators in use or claimed.
    :ivar borrowed: accelerators in use beyond the guarantees.
    :ivar queued_jobs: waiting jobs.
    :ivar queued_accelerators: accelerators that the waiting jobs ask for.
    """

    account: str
    quota: int
    used: int
    borrowed: int
    queued_jobs: int
    queued_accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the scheduler for reports.

    :ivar free: accelerators that are free on workers in service.
    :ivar usable_free: free accelerators in cells with room for at least one
        waiting job that its quota allows; equal to ``free`` when no such job
        waits. The rest is fragmented.
    """

    time: float
    workers: int
    failed_workers: tuple[str, ...]
    accelerators: int
    free: int
    used: int
    usable_free: int
    accounts: tuple[AccountUse, ...]
