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
REPORT_TIMEOUT_S = 1.5

# Time for which a worker that failed different jobs, or on which work stands
# still, gets nothing new, in seconds.
SUSPECT_PERIOD_S = 6.0
SUSPECT_FAILED_JOBS = 2

# The same after so many runs of one job, unless the job has failed on as many
# other workers: then it is the job that fails.
SUSPECT_FAILED_RUNS = 3

# A worker that ended a run well within this time is trusted with a last
# attempt, in seconds.
TRUST_PERIOD_S = 5.0

# Listed progress is a rough figure; a rate needs this much of it, in percent.
MIN_RATE_PROGRESS = 4.0

# Length of the windows in which rates are measured, in seconds; listed
# progress has steps of a percent.
RATE_WINDOW_S = 2.0

# A run that was accepted, and is neither running nor ended in the lists for
# this time, is given up, in seconds.
MISSING_TIMEOUT_S = 5.0

# A run beyond its estimate is expected to end after this time, in seconds.
OVERDUE_REMAINING_S = 0.5


@dataclasses.dataclass(slots=True)
class PlacedRun:
    """A run that may exist on a worker.

    :ivar reserved: capacity that it takes.
    :ivar version: version of the job that the store must have before the
        run is ordered.
    :ivar confirmed: whether the worker has listed or accepted the run.
    :ivar placed_at: time of the assignment in seconds; negative for a run of a
        former coordinator.
    :ivar began: time at which it was listed first; 0 before.
    :ivar stop_reason: why it is to be stopped; empty if it is not.
    :ivar checkpoint: latest checkpoint that its worker listed.
    :ivar percent: progress that its worker listed.
    :ivar first_percent: progress when it was listed first.
    :ivar last_progress: time at which the progress changed last; 0 before.
    :ivar last_listed: time at which it was listed last; 0 before.
    :ivar missing_since: time since which the lists lack it; 0 if they have it.
    :ivar window_start: time at which the current window of its rate began.
    :ivar window_start_percent: progress at that time.
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
    placed_at: float
    began: float = 0.0
    stop_reason: str = ''
    checkpoint: str = ''
    percent: float = 0.0
    first_percent: float = 0.0
    last_progress: float = 0.0
    last_listed: float = 0.0
    missing_since: float = 0.0
    window_start: float = 0.0
    window_start_percent: float = 0.0
    rate: float = -1.0
    best_rate: float = 0.0

    def note_listed(self, row: work.RunningRun, now: float) -> None:
        """Take over what the worker lists."""
        self.confirmed = True
        self.last_listed = now
        if not self.began:
            self.began = now
            self.first_percent = row.percent
            self.last_progress = now
            self._start_rate_window(now, row.percent)
        if row.checkpoint:
            self.checkpoint = row.checkpoint
        if row.percent != self.percent:
            self.percent = row.percent
            self.last_progress = now
        if self.percent == self.first_percent:
            # It has not begun to work.
            self._start_rate_window(now, row.percent)
        elif now - self.window_start >= RATE_WINDOW_S:
            gained = row.percent - self.window_start_percent
            self.rate = gained / (now - self.window_start)
            self.best_rate = max(self.best_rate, self.rate)
            self._start_rate_window(now, row.percent)

    def _start_rate_window(self, now: float, percent: float) -> None:
        self.window_start = now
        self.window_start_percent = percent

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
            self.missing_since = 0.0
            return False
        if not self.missing_since:
            self.missing_since = now
        return now - self.missing_since > MISSING_TIMEOUT_S

    def get_unsaved_seconds(self, now: float) -> float:
        """Return the seconds of work that a stop would lose."""
        if not self.began or self.step.checkpoints:
            return 0.0
        return now - self.began

    def get_remaining_seconds(self, now: float) -> float:
        """Return the expected seconds to the end."""
        begun = self.began or max(self.placed_at, 0.0) or now
        gained = self.percent - self.first_percent
        if gained >= MIN_RATE_PROGRESS and now > begun:
            rate = gained / (
                self.last_progress - begun + OVERDUE_REMAINING_S / 10
            )
            remaining = (100.0 - self.percent) / rate - (
                now - self.last_progress
            )
            return max(remaining, 0.1)
        return max(self.step.estimate - (now - begun), OVERDUE_REMAINING_S)


@dataclasses.dataclass(slots=True)
class PendingEnd:
    """An end whose record the store may not have yet."""

    serial: int
    job: jobs.Job | None
    version: int

    def is_stored(self) -> bool:
        """Return whether the store has the end."""
        return self.job is None or self.job.stored_version >= self.version


class Worker:
    """One lifetime of a worker.

    :param lifetime: id and birth of the worker.
    :param agent: instance id of the agent beside it.
    :param runs_gone_after: time after which its runs can't exist any more unless
        a later grant extends it, in seconds.
    :ivar lease_extension: seconds that a lease may last beyond that time.
    :ivar report_time: time of the latest report, on the agent's clock.
    :ivar granted_report_time: latest report time that a grant was counted from.
    :ivar silence: seconds since its last answer to the agent; 0 while the two
        are in contact.
    """

    __slots__ = (
        'address',
        'agent',
        'failed_jobs',
        'failed_runs',
        'free_capacity',
        'granted_report_time',
        'heard',
        'last_end_serial',
        'last_success',
        'lease_extension',
        'lifetime',
        'listed',
        'orders_due',
        'pending_ends',
        'profile',
        'report_time',
        'runs',
        'runs_gone_after',
        'silence',
        'suspect_until',
    )

    def __init__(
        self, lifetime: work.Lifetime, agent: str, runs_gone_after: float
    ) -> None:
        self.lifetime = lifetime
        self.agent = agent
        self.address = ''
        self.profile: orders.WorkerProfile | None = None
        self.free_capacity = work.Resources()
        self.runs: dict[work.Run, PlacedRun] = {}
        self.listed = False
        self.heard = 0.0
        self.report_time = 0.0
        self.granted_report_time = 0.0
        self.runs_gone_after = runs_gone_after
        self.lease_extension = 0.0
        self.last_end_serial = 0
        self.silence = 0.0
        self.pending_ends: collections.deque[PendingEnd] = collections.deque()
        self.failed_jobs: set[str] = set()
        self.failed_runs = 0
        self.last_success = -TRUST_PERIOD_S
        self.suspect_until = 0.0
        self.orders_due = False

    def set_profile(self, profile: orders.WorkerProfile) -> None:
        """Take over what the worker says of itself."""
        if self.profile is None or self.profile.capacity != profile.capacity:
            self.free_capacity = profile.capacity
            for placed in self.runs.values():
                self.free_capacity = self.free_capacity.minus(placed.reserved)
        self.profile = profile

    def add_run(self, placed: PlacedRun) -> None:
        """Take capacity for a run."""
        self.runs[placed.run] = placed
        self.free_capacity = self.free_capacity.minus(placed.reserved)

    def remove_run(self, run: work.Run) -> PlacedRun | None:
        """Free the capacity of a run."""
        placed = self.runs.pop(run, None)
        if placed is not None:
            self.free_capacity = self.free_capacity.plus(placed.reserved)
        return placed

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be placed here."""
        return (
            self.profile is not None
            and self.listed
            and not self.profile.draining
            and not self.silence
            and self.is_reporting(now)
        )

    def is_reporting(self, now: float) -> bool:
        """Return whether the agent beside the worker reports."""
        return now - self.heard <= REPORT_TIMEOUT_S

    def get_observed_serial(self) -> int:
        """Return the serial of the last end that may be forgotten."""
        while self.pending_ends and self.pending_ends[0].is_stored():
            self.pending_ends.popleft()
        if self.pending_ends:
            return self.pending_ends[0].serial - 1
        return self.last_end_serial

    def count_step_runs(self, job_id: str, occurrence: int, step: int) -> int:
        """Return how many runs of a step the worker has."""
        count = 0
        for run in self.runs:
            item = run.item
            if item.job != job_id or item.step != step:
                continue
            if item.occurrence == occurrence:
                count += 1
        return count

    def record_success(self, now: float) -> None:
        """Trust a worker that has done its work."""
        self.last_success = now
        self.failed_runs = 0
        self.failed_jobs.clear()
        self.suspect_until = 0.0

    def record_failure(self, now: float, job: jobs.Job) -> None:
        """Suspect a worker that fails one run after the other.

        Work that fails on several workers fails by itself, so that one job
        alone does not cast suspicion on many.
        """
        self.failed_jobs.add(job.id)
        job.failed_worker_ids.add(self.lifetime.worker)
        if len(job.failed_worker_ids) <= SUSPECT_FAILED_RUNS:
            self.failed_runs += 1
        if (
            len(self.failed_jobs) >= SUSPECT_FAILED_JOBS
            or self.failed_runs >= SUSPECT_FAILED_RUNS
        ):
            self.mark_suspect(now)

    def is_trusted(self, now: float) -> bool:
        """Return whether a run has ended well here lately."""
        return (
            not self.failed_jobs and now - self.last_success <= TRUST_PERIOD_S
        )

    def mark_suspect(self, now: float) -> None:
        """Give the worker nothing new for a while."""
        self.suspect_until = now + SUSPECT_PERIOD_S

    def has_failed_since_success(self) -> bool:
        """Return whether the last run here failed."""
        return bool(self.failed_jobs)
