"""Data types that the scheduler and its caller exchange."""

from __future__ import annotations

import dataclasses
import enum

Members = tuple[tuple[str, tuple[int, ...]], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Decision to start a gang on accelerators that are free.

    :ivar members: (worker name, accelerator indexes) of each member of the
        gang; the first member is the lead.
    :ivar guaranteed: whether the job uses a guaranteed shape.
    :ivar reclaimed: ids of the jobs that were stopped to start this job.
    """

    job_id: str
    members: Members
    guaranteed: bool
    reclaimed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reclaim:
    """Decision to checkpoint and stop a job; the caller reports its end.

    :ivar grace: seconds that the job has to write its checkpoint.
    :ivar reason: why the job is stopped.
    """

    job_id: str
    grace: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Warn:
    """Warning that a guaranteed shape can't be met, or can be met again.

    :ivar failed_workers: names of the workers on which the shape could be
        placed but that are out of service or quarantined.
    :ivar missing_workers: number of workers that are configured for the
        region but have not reported.
    :ivar instances: number of instances of the shape that can't be met; 0
        when the shape can be met again.
    """

    account: str
    shape: str
    failed_workers: tuple[str, ...]
    missing_workers: int
    instances: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal to queue a job.

    :ivar reason: message for the caller.
    :ivar retryable: whether the same job may be accepted later under the
        same configuration.
    """

    job_id: str
    reason: str
    retryable: bool = False


Decision = Place | Reclaim | Warn


class Result(enum.StrEnum):
    """How a placed job has ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CHECKPOINTED = 'checkpointed'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a placed job that has ended.

    The scheduler requeues a checkpointed job and an idempotent job that was
    lost, and deletes any other job.

    :ivar failed_workers: names of the workers whose tasks failed, if known.
    """

    result: Result
    failed_workers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """Accelerators and queued jobs of one account.

    :ivar used: accelerators in use or claimed.
    :ivar borrowed: accelerators in use beyond the guarantees.
    :ivar queued_jobs: number of waiting jobs.
    :ivar queued_accelerators: accelerators requested by the waiting jobs.
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
        waiting job that fits its account's quota; equal to ``free`` when no
        such job waits. The other free accelerators are fragmented.
    """

    time: float
    workers: int
    failed_workers: tuple[str, ...]
    accelerators: int
    free: int
    used: int
    usable_free: int
    accounts: tuple[AccountUse, ...]
