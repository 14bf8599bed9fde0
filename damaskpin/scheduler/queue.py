"""Queues waiting jobs in the order in which they are considered."""

from __future__ import annotations

import dataclasses
import enum
import heapq
import math
from typing import TYPE_CHECKING

from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Iterator

    from damaskpin.model import job as jobs
    from damaskpin.scheduler import decisions
    from damaskpin.scheduler import shapes


class State(enum.Enum):
    """State of a job in the scheduler.

    A claimed job holds accelerators and waits for other jobs there to stop.
    """

    QUEUED = 'queued'
    CLAIMED = 'claimed'
    PLACED = 'placed'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, eq=False)
class JobEntry:
    """A job and its state in the scheduler.

    :ivar submitted: time of submission on the scheduler's clock.
    :ivar sequence: position in the order of submission; breaks ties.
    :ivar allocation: accelerators of each worker that the job has claimed or
        uses.
    :ivar members: worker and accelerator indexes of each member once placed.
    :ivar shape_instance: instance of a guaranteed shape that the job uses;
        ``None`` if the job borrows.
    :ivar waiting_for: ids of the jobs that must stop before this job starts.
    :ivar started: time at which the job was last placed or started.
    :ivar checkpointed_seconds: total seconds that the job ran before its last
        checkpoint.
    :ivar earliest_start: time before which the job is not placed again.
    :ivar failures: number of consecutive placements that failed.
    :ivar early_losses: number of consecutive runs lost soon after their start.
    :ivar avoided_workers: names of the workers that refused or failed the job,
        with the time until which the job avoids each.
    :ivar backfilled: whether the job runs in a cell reserved for a gang.
    :ivar reclaim_count: number of times the job was stopped for another job.
    :ivar cancelled: whether the job was cancelled and must not be requeued.
    :ivar worker_failed: whether a worker of the placed job has failed, so that
        the job is about to end.
    """

    job: jobs.Job
    submitted: float
    sequence: int
    state: State = State.QUEUED
    allocation: dict[topologies.Node, int] = dataclasses.field(
        default_factory=dict
    )
    members: decisions.Members = ()
    shape_instance: shapes.ShapeInstance | None = None
    waiting_for: tuple[str, ...] = ()
    started: float = 0.0
    checkpointed_seconds: float = 0.0
    earliest_start: float = 0.0
    failures: int = 0
    early_losses: int = 0
    avoided_workers: dict[str, float] = dataclasses.field(default_factory=dict)
    backfilled: bool = False
    reclaim_count: int = 0
    cancelled: bool = False
    worker_failed: bool = False

    def is_borrowing(self) -> bool:
        """Return whether the job is placed without a guaranteed shape.

        Such a job may be stopped to reclaim its accelerators.
        """
        return self.shape_instance is None and self.state in (
            State.PLACED,
            State.RUNNING,
        )


GroupKey = tuple[str, int, int, int, str, int]

# Declared run times of the jobs of a group differ by less than this factor,
# because the run time decides whether a job may be backfilled.
RUN_SECONDS_FACTOR = 4.0


class Group:
    """Waiting jobs of an account with equal requests.

    If the first job of a group can't be placed, neither can the others.
    """

    __slots__ = ('_heap', 'account', 'key', 'spec')

    def __init__(self, key: GroupKey, entry: JobEntry) -> None:
        self.key = key
        self.account = entry.job.account
        self.spec = entry.job.spec
        self._heap: list[tuple[float, int, JobEntry]] = []

    def push(self, entry: JobEntry) -> None:
        """Add a waiting job to the group."""
        heapq.heappush(self._heap, (entry.submitted, entry.sequence, entry))

    def peek(self) -> JobEntry | None:
        """Return the oldest waiting job."""
        heap = self._heap
        # Jobs that left the queue are removed when they reach the front.
        while heap and heap[0][2].state is not State.QUEUED:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def get_order(self) -> tuple[int, float, int]:
        """Return the sort key of the group within its account.

        The group must have a waiting job.
        """
        entry = self.peek()
        assert entry is not None
        priority = int(self.spec.priority)
        return (priority, entry.submitted, entry.sequence)


class Queue:
    """Waiting jobs, grouped by account and equal requests.

    :ivar accelerators: accelerators requested by waiting jobs, by account.
    :ivar counts: number of waiting jobs by account.
    """

    __slots__ = ('_delayed', '_groups', 'accelerators', 'counts')

    def __init__(self) -> None:
        self._groups: dict[str, dict[GroupKey, Group]] = {}
        self._delayed: list[tuple[float, int, JobEntry]] = []
        self.counts: dict[str, int] = {}
        self.accelerators: dict[str, int] = {}

    def add(self, entry: JobEntry, now: float) -> None:
        """Add a job, whose state must be ``QUEUED``, to the queue."""
        account = entry.job.account
        self.counts[account] = self.counts.get(account, 0) + 1
        self.accelerators[account] = (
            self.accelerators.get(account, 0) + entry.job.spec.accelerators
        )
        if entry.earliest_start > now:
            item = (entry.earliest_start, entry.sequence, entry)
            heapq.heappush(self._delayed, item)
        else:
            self._push(entry)

    def remove(self, entry: JobEntry) -> None:
        """Subtract a job from the counts of waiting jobs.

        The caller then changes the state of the job, and :class:`Group`
        removes it later.
        """
        account = entry.job.account
        self.counts[account] -= 1
        self.accelerators[account] -= entry.job.spec.accelerators

    def release_delayed(self, now: float) -> bool:
        """Move jobs whose retry delay has passed to their groups.

        :returns: whether any job was moved.
        """
        any_moved = False
        while self._delayed and (
            self._delayed[0][0] <= now
            or self._delayed[0][2].state is not State.QUEUED
        ):
            entry = heapq.heappop(self._delayed)[2]
            if entry.state is State.QUEUED and entry.earliest_start <= now:
                self._push(entry)
                any_moved = True
        return any_moved

    def is_empty(self) -> bool:
        """Return whether no jobs are waiting."""
        return not any(self.counts.values())

    def get_next_release(self) -> float | None:
        """Return the time at which the next retry delay ends."""
        return self._delayed[0][0] if self._delayed else None

    def get_groups(self, account: str) -> list[Group]:
        """Return the groups of an account that have waiting jobs.

        Groups without waiting jobs are deleted.
        """
        groups = self._groups.get(account)
        if not groups:
            return []
        empty = [key for key, group in groups.items() if group.peek() is None]
        for key in empty:
            del groups[key]
        return list(groups.values())

    def get_accounts(self) -> Iterator[str]:
        """Return the names of accounts that have or had waiting jobs."""
        return iter(self._groups)

    def _push(self, entry: JobEntry) -> None:
        key = make_group_key(entry)
        groups = self._groups.setdefault(entry.job.account, {})
        group = groups.get(key)
        if group is None:
            group = groups[key] = Group(key, entry)
        group.push(entry)


def make_group_key(entry: JobEntry) -> GroupKey:
    """Return the request of a job by which jobs are grouped."""
    spec = entry.job.spec
    return (
        entry.job.account,
        int(spec.priority),
        spec.accelerators,
        topologies.RANKS[spec.adjacency],
        spec.shape or '',
        int(math.log(max(spec.run_seconds, 1.0), RUN_SECONDS_FACTOR)),
    )
