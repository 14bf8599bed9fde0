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

# Time for which a worker that failed different jobs, or on which work stands
# still, gets nothing new, in seconds.
SUSPECT_S = 6.0
SUSPECT_JOBS = 2

# The same after so many runs of one job, unless the job has failed on as many
# other workers: then it is the job that fails.
SUSPECT_RUNS = 3

# A worker that ended a run well within this time is trusted with a last
# attempt, in seconds.
TRUST_S = 5.0

# Listed progress is a rough figure; a rate needs this much of it, in percent.
MIN_PROGRESS = 4.0

# Length of the windows in which rates are measured, in seconds; listed
# progress has steps of a percent.
WINDOW_S = 2.0

# A run that was accepted, and is neither running nor ended in the lists for
# this time, is given up, in seconds.
MISSING_S = 5.0

# A run beyond its estimate is expected to end after this time, in seconds.
OVERDUE_S = 0.5


@dataclasses.dataclass(slots=True)
class PlacedRun:
    """A run that may exist on a worker.

    :ivar reserved: capacity that it takes.
    :ivar version: version of the job that the store must have before the
        run is ordered.
    :ivar confirmed: whether the worker has listed or accepted the run.
    :ivar placed: time of the assignment in seconds; negative for a run of a
        former coordinator.
    :ivar began: time at which it was listed first; 0 before.
    :ivar stop_reason: why it is to be stopped; empty if it is not.
    :ivar checkpoint: latest checkpoint that its worker listed.
    :ivar percent: progress that its worker listed.
    :ivar first_percent: progress when it was listed first.
    :ivar moved: time at which the progress changed last; 0 before.
    :ivar seen: time at which it was listed last; 0 before.
    :ivar missing: time since which the lists lack it; 0 if they have it.
    :ivar window: time at which the current window of its rate began.
    :ivar window_percent: progress at that time.
    :ivar rate: progress in the last whole window, in percent a second;
        negative before its end.
    :ivar best_rate: highest rate of a window.
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
    checkpoint: str = ''
    percent: float = 0.0
    first_percent: float = 0.0
    moved: float = 0.0
    seen: float = 0.0
    missing: float = 0.0
    window: float = 0.0
    window_percent: float = 0.0
    rate: float = -1.0
    best_rate: float = 0.0

    def note_listed(self, row: work.RunningRun, now: float) -> None:
        """Take over what the worker lists."""
        self.confirmed = True
        self.seen = now
        if not self.began:
            self.began = now
            self.first_percent = row.percent
            self.moved = now
            self._begin_window(now, row.percent)
        if row.checkpoint:
            self.checkpoint = row.checkpoint
        if row.percent != self.percent:
            self.percent = row.percent
            self.moved = now
        if self.percent == self.first_percent:
            # It has not begun to work.
            self._begin_window(now, row.percent)
        elif now - self.window >= WINDOW_S:
            gained = row.percent - self.window_percent
            self.rate = gained / (now - self.window)
            self.best_rate = max(self.best_rate, self.rate)
            self._begin_window(now, row.percent)

    def _begin_window(self, now: float, percent: float) -> None:
        self.window = now
        self.window_percent = percent

    def is_with(self, other: PlacedRun) -> bool:
        """Return whether two runs belong to the same start of a gang."""
        return (
            self.step.gang
            and self.job is other.job
            and self.run.get_gang() == other.run.get_gang()
        )

    def is_missing(self, now: float, listed: bool) -> bool:
        """Return whether it has been missing from the lists for too long.

        :param listed: whether the lists read last have it.
        """
        if listed or not self.confirmed:
            self.missing = 0.0
            return False
        if not self.missing:
            self.missing = now
        return now - self.missing > MISSING_S

    def get_unsaved(self, now: float) -> float:
        """Return the seconds of work that a stop would lose."""
        if not self.began or self.step.checkpoints:
            return 0.0
        return now - self.began

    def get_remaining(self, now: float) -> float:
        """Return the expected seconds to the end."""
        begun = self.began or max(self.placed, 0.0) or now
        gained = self.percent - self.first_percent
        if gained >= MIN_PROGRESS and now > begun:
            rate = gained / (self.moved - begun + OVERDUE_S / 10)
            left = (100.0 - self.percent) / rate - (now - self.moved)
            return max(left, 0.1)
        return max(self.step.estimate - (now - begun), OVERDUE_S)


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
    :ivar lapse_extra: seconds that a lease may last beyond that time.
    :ivar report_time: time of the latest report, on the agent's clock.
    :ivar granted_time: latest report time that a grant was counted from.
    :ivar silence: seconds since its last answer to the agent; 0 while the two
        are in contact.
    """

    __slots__ = (
        'address',
        'agent',
        'done_at',
        'failed_jobs',
        'failed_runs',
        'gone_after',
        'granted_time',
        'heard',
        'lapse_extra',
        'lifetime',
        'listed',
        'orders_due',
        'pending_ends',
        'profile',
        'report_time',
        'room',
        'runs',
        'seen_serial',
        'silence',
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
        self.granted_time = 0.0
        self.gone_after = gone_after
        self.lapse_extra = 0.0
        self.seen_serial = 0
        self.silence = 0.0
        self.pending_ends: collections.deque[PendingEnd] = collections.deque()
        self.failed_jobs: set[str] = set()
        self.failed_runs = 0
        self.done_at = -TRUST_S
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
            and not self.silence
            and self.is_heard(now)
        )

    def is_heard(self, now: float) -> bool:
        """Return whether the agent beside the worker reports."""
        return now - self.heard <= QUIET_S

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

    def note_done(self, now: float) -> None:
        """Trust a worker that has done its work."""
        self.done_at = now
        self.failed_runs = 0
        self.failed_jobs.clear()
        self.suspect_until = 0.0

    def note_failed(self, now: float, job: jobs.Job) -> None:
        """Suspect a worker that fails one run after the other.

        Work that fails on several workers fails by itself, so that one job
        alone does not cast suspicion on many.
        """
        self.failed_jobs.add(job.id)
        job.failed_on.add(self.lifetime.worker)
        if len(job.failed_on) <= SUSPECT_RUNS:
            self.failed_runs += 1
        if (
            len(self.failed_jobs) >= SUSPECT_JOBS
            or self.failed_runs >= SUSPECT_RUNS
        ):
            self.suspect(now)

    def is_trusted(self, now: float) -> bool:
        """Return whether a run has ended well here lately."""
        return not self.failed_jobs and now - self.done_at <= TRUST_S

    def suspect(self, now: float) -> None:
        """Give the worker nothing new for a while."""
        self.suspect_until = now + SUSPECT_S

    def is_doubtful(self) -> bool:
        """Return whether the last run here failed."""
        return bool(self.failed_jobs)
