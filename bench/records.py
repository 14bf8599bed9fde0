"""What a run records about each job."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench import traces
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs


# A gang that is stopped without a checkpoint resumes from its last periodic
# one, and every resumption loads a checkpoint first.
PERIODIC_CHECKPOINT_SECONDS = 1800.0
RESTORE_SECONDS = 30.0


class State:
    """Names of the states of a job."""

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
class Record:
    """What happened to a job.

    :ivar entitled: whether its guarantee was not in use when it arrived.
    :ivar waited: seconds in the queue, over all attempts.
    :ivar progress: seconds of the true run time that are saved.
    :ivar lost_seconds: accelerator-seconds repeated or spent on checkpoints.
    """

    entry: traces.TraceJob
    state: str = State.PENDING
    entitled: bool = False
    guaranteed: bool = False
    first_start: float | None = None
    end: float | None = None
    waited: float = 0.0
    waiting_since: float = 0.0
    running_since: float = 0.0
    progress: float = 0.0
    attempt: int = 0
    reclaims: int = 0
    lost_seconds: float = 0.0
    used_seconds: float = 0.0
    reason: str = ''


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of one run.

    :ivar waiting_time: seconds during which some job waited.
    :ivar fragmentation_time: integral, over that time, of the share of free
        accelerators that no waiting gang can use.
    :ivar unusable_time: the same integral as a share of all accelerators.
    :ivar idle_time: integral, over that time, of the share of accelerators
        that are free.
    """

    trace: traces.Trace
    records: dict[str, Record]
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
        """Add a period during which some job waited."""
        self.waiting_time += seconds
        if not free:
            return
        self.fragmentation_time += seconds * unusable / free
        self.unusable_time += seconds * unusable / total
        self.idle_time += seconds * free / total


def is_entitled(
    job: jobs.Job,
    guarantee: configs.Guarantee | None,
    others: Iterable[Record],
) -> bool:
    """Return whether the guarantee that a job names is certainly not in use.

    Jobs of the account that may draw on the same guarantee count as using
    it, unless they run on borrowed accelerators.

    :param job: job that arrives.
    :param guarantee: guarantee that it names and fits into.
    :param others: records of all jobs.
    """
    if guarantee is None:
        return False
    users = 0
    for other in others:
        if other.state in (State.RUNNING, State.PLACED, State.STOPPING):
            if not (other.guaranteed or other.entitled):
                continue
        elif other.state != State.WAITING:
            continue
        same = other.entry.job.account == job.account
        size = other.entry.job.spec.accelerators
        users += same and size <= guarantee.accelerators
    return users < guarantee.count


def get_restore_seconds(record: Record) -> float:
    """Return the time that the job needs to load its checkpoint."""
    return RESTORE_SECONDS if record.progress else 0.0


def save_progress(
    record: Record, now: float, saved: bool, overhead: float
) -> None:
    """Account for an interrupted run.

    :param record: record of the running job.
    :param saved: whether a checkpoint is taken now.
    :param overhead: seconds until the accelerators are free.
    """
    elapsed = now - record.running_since
    restored = min(elapsed, get_restore_seconds(record))
    ran = elapsed - restored
    kept = ran
    if not saved:
        kept = ran - ran % PERIODIC_CHECKPOINT_SECONDS
    record.progress += kept
    add_loss(record, ran - kept + restored + overhead)


def add_loss(record: Record, seconds: float) -> None:
    """Count time of the whole gang that was no progress."""
    record.lost_seconds += seconds * record.entry.job.spec.accelerators
