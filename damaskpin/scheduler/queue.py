"""Waiting jobs and the order in which they are considered."""

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

    A claimed job waits for other jobs to stop on its accelerators.
    """

    QUEUED = 'queued'
    CLAIMED = 'claimed'
    PLACED = 'placed'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """A job that the scheduler knows.

    :ivar submitted: time of submission on the scheduler's clock.
    :ivar parts: accelerators of each worker, once claimed or placed.
    :ivar instance: instance of a guaranteed shape that the job draws on.
    :ivar waiting_for: jobs that must stop before this one can start.
    :ivar started: time of the last start.
    :ivar run_before: seconds that the job ran before it was checkpointed.
    :ivar not_before: time before which the job is not placed again.
    :ivar failures: placements in a row that failed.
    :ivar losses: runs in a row that were lost soon after the start.
    :ivar avoid: workers where the job failed, with the end of the avoidance.
    :ivar backfilled: whether the job runs in cells reserved for another.
    :ivar reclaims: times that the job was stopped for another.
    :ivar cancelled: whether the job must not be queued again.
    :ivar broken: whether a worker of the placed job has failed, so that the
        job is about to end.
    """

    job: jobs.Job
    submitted: float
    sequence: int
    state: State = State.QUEUED
    parts: dict[topologies.Node, int] = dataclasses.field(default_factory=dict)
    members: decisions.Members = ()
    instance: shapes.Instance | None = None
    waiting_for: tuple[str, ...] = ()
    started: float = 0.0
    run_before: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    losses: int = 0
    avoid: dict[str, float] = dataclasses.field(default_factory=dict)
    backfilled: bool = False
    reclaims: int = 0
    cancelled: bool = False
    broken: bool = False

    def is_borrowing(self) -> bool:
        """Return whether the job may be reclaimed."""
        return self.instance is None and self.state in (
            State.PLACED,
            State.RUNNING,
        )


GroupKey = tuple[str, int, int, int, str, int]

# Whether a job may be backfilled depends on its run time, so jobs of a group
# declare run times within this factor.
RUN_SECONDS_FACTOR = 4.0


class Group:
    """Waiting jobs of an account that ask for the same.

    If the first of them can't be placed, neither can the others.
    """

    __slots__ = ('_heap', 'account', 'key', 'spec')

    def __init__(self, key: GroupKey, entry: Entry) -> None:
        self.key = key
        self.account = entry.job.account
        self.spec = entry.job.spec
        self._heap: list[tuple[float, int, Entry]] = []

    def push(self, entry: Entry) -> None:
        """Add a job."""
        heapq.heappush(self._heap, (entry.submitted, entry.sequence, entry))

    def peek(self) -> Entry | None:
        """Return the oldest waiting job."""
        heap = self._heap
        # Jobs that left the queue are dropped when they come to the front.
        while heap and heap[0][2].state is not State.QUEUED:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def get_order(self) -> tuple[int, float, int]:
        """Return the sort key among the groups of an account.

        The group must have a waiting job.
        """
        entry = self.peek()
        assert entry is not None
        priority = int(self.spec.priority)
        return (priority, entry.submitted, entry.sequence)


class Queue:
    """Waiting jobs in groups of equal requests."""

    __slots__ = ('_delayed', '_groups', 'accelerators', 'counts')

    def __init__(self) -> None:
        self._groups: dict[str, dict[GroupKey, Group]] = {}
        self._delayed: list[tuple[float, int, Entry]] = []
        self.counts: dict[str, int] = {}
        self.accelerators: dict[str, int] = {}

    def add(self, entry: Entry, now: float) -> None:
        """Add a job that waits; its state must be ``QUEUED``."""
        account = entry.job.account
        self.counts[account] = self.counts.get(account, 0) + 1
        self.accelerators[account] = (
            self.accelerators.get(account, 0) + entry.job.spec.accelerators
        )
        if entry.not_before > now:
            item = (entry.not_before, entry.sequence, entry)
            heapq.heappush(self._delayed, item)
        else:
            self._push(entry)

    def remove(self, entry: Entry) -> None:
        """Account for a job that is about to leave the state ``QUEUED``."""
        account = entry.job.account
        self.counts[account] -= 1
        self.accelerators[account] -= entry.job.spec.accelerators

    def release_delayed(self, now: float) -> bool:
        """Make jobs available whose delay has passed.

        :returns: whether there were any.
        """
        found = False
        while self._delayed and (
            self._delayed[0][0] <= now
            or self._delayed[0][2].state is not State.QUEUED
        ):
            entry = heapq.heappop(self._delayed)[2]
            if entry.state is State.QUEUED and entry.not_before <= now:
                self._push(entry)
                found = True
        return found

    def is_empty(self) -> bool:
        """Return whether no job waits."""
        return not any(self.counts.values())

    def get_next_release(self) -> float | None:
        """Return the time at which the next delay ends."""
        return self._delayed[0][0] if self._delayed else None

    def get_groups(self, account: str) -> list[Group]:
        """Return the groups of an account that have waiting jobs."""
        groups = self._groups.get(account)
        if not groups:
            return []
        empty = [key for key, group in groups.items() if group.peek() is None]
        for key in empty:
            del groups[key]
        return list(groups.values())

    def get_accounts(self) -> Iterator[str]:
        """Return the accounts that have had waiting jobs."""
        return iter(self._groups)

    def _push(self, entry: Entry) -> None:
        key = make_group_key(entry)
        groups = self._groups.setdefault(entry.job.account, {})
        group = groups.get(key)
        if group is None:
            group = groups[key] = Group(key, entry)
        group.push(entry)


def make_group_key(entry: Entry) -> GroupKey:
    """Return what jobs of the same group have in common."""
    spec = entry.job.spec
    return (
        entry.job.account,
        int(spec.priority),
        spec.accelerators,
        topologies.RANKS[spec.adjacency],
        spec.shape or '',
        int(math.log(max(spec.run_seconds, 1.0), RUN_SECONDS_FACTOR)),
    )
