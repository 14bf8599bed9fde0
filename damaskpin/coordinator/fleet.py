"""Workers and the runs on them, as the coordinator knows them."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.peer import orders

# A worker without a report for this time gets no new work, in seconds; two
# reports may be late.
QUIET_S = 1.5

# Time for which a worker that failed different jobs gets work last, seconds.
SUSPECT_S = 6.0
SUSPECT_FAILURES = 2


@dataclasses.dataclass(slots=True)
class PlacedRun:
    """A run that may exist on a worker.

    :ivar reserved: capacity that it takes.
    :ivar version: version of the job that the store must have before the
        run is ordered.
    :ivar confirmed: whether the worker has listed or accepted the run.
    :ivar placed: time of the assignment in seconds.
    :ivar began: time at which it was seen first; 0 before.
    :ivar stop_reason: why it is to be stopped; empty if it is not.
    :ivar checkpoint: latest checkpoint that its worker listed.
    :ivar percent: latest figure that its worker listed.
    """

    run: work.Run
    job: jobs.Job
    step: work.Step
    reserved: work.Resources
    version: int
    confirmed: bool
    placed: float
    began: float = 0.0
    stop_reason: str = ''
    stopped: float = 0.0
    checkpoint: str = ''
    saved: float = 0.0
    percent: float = 0.0
    moved: float = 0.0

    def get_unsaved(self, now: float) -> float:
        """Return the seconds of work that a stop would lose."""
        if not self.began:
            return 0.0
        if self.step.checkpoints:
            return 0.0
        return now - self.began


@dataclasses.dataclass(slots=True)
class PendingEnd:
    """An end whose record the store may not have yet."""

    serial: int
    job: jobs.Job | None
    version: int

    def is_durable(self) -> bool:
        """Return whether the store has the end."""
        return self.job is None or self.job.stored_version >= self.version


class Worker:
    """One lifetime of a worker.

    :param lifetime: id and birth of the worker.
    :param agent: instance id of the agent beside it.
    :param gone_after: time after which its runs can't exist any more unless
        a later grant extends it, in seconds.
    """

    __slots__ = (
        'address',
        'agent',
        'failures',
        'gone_after',
        'heard',
        'lifetime',
        'listed',
        'orders_due',
        'pending_ends',
        'profile',
        'report_time',
        'room',
        'runs',
        'seen_serial',
        'sequence',
        'suspect_until',
    )

    def __init__(
        self, lifetime: work.Lifetime, agent: str, gone_after: float
    ) -> None:
        self.lifetime = lifetime
        self.agent = agent
        self.address = ''
        self.profile: orders.WorkerProfile | None = None
        self.room = work.Resources()
        self.runs: dict[work.Run, PlacedRun] = {}
        self.listed = False
        self.heard = 0.0
        self.report_time = 0.0
        self.sequence = 0
        self.gone_after = gone_after
        self.seen_serial = 0
        self.pending_ends: collections.deque[PendingEnd] = collections.deque()
        self.failures: list[str] = []
        self.suspect_until = 0.0
        self.orders_due = False

    def set_profile(self, profile: orders.WorkerProfile) -> None:
        """Take over what the worker says of itself."""
        if self.profile is None or self.profile.capacity != profile.capacity:
            self.room = profile.capacity
            for placed in self.runs.values():
                self.room = self.room.minus(placed.reserved)
        self.profile = profile

    def add_run(self, placed: PlacedRun) -> None:
        """Take capacity for a run."""
        self.runs[placed.run] = placed
        self.room = self.room.minus(placed.reserved)

    def remove_run(self, run: work.Run) -> PlacedRun | None:
        """Free the capacity of a run."""
        placed = self.runs.pop(run, None)
        if placed is not None:
            self.room = self.room.plus(placed.reserved)
        return placed

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be placed here."""
        return (
            self.profile is not None
            and self.listed
            and not self.profile.draining
            and now - self.heard <= QUIET_S
        )

    def get_observed(self) -> int:
        """Return the serial of the last end that may be forgotten."""
        while self.pending_ends and self.pending_ends[0].is_durable():
            self.pending_ends.popleft()
        if self.pending_ends:
            return self.pending_ends[0].serial - 1
        return self.seen_serial

    def count_step(self, job_id: str, occurrence: int, step: int) -> int:
        """Return how many runs of a step the worker has."""
        count = 0
        for run in self.runs:
            item = run.item
            if item.job != job_id or item.step != step:
                continue
            if item.occurrence == occurrence:
                count += 1
        return count

    def note_result(self, now: float, job_id: str, failed: bool) -> None:
        """Suspect a worker that fails one job after the other."""
        if not failed:
            self.failures.clear()
            self.suspect_until = 0.0
            return
        self.failures.append(job_id)
        if len(self.failures) >= SUSPECT_FAILURES:
            self.suspect_until = now + SUSPECT_S


def is_newer(one: work.Lifetime, other: work.Lifetime) -> bool:
    """Return whether a lifetime at the same place began later."""
    return one.born > other.born
