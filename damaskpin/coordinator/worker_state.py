"""State of the workers, as known to the coordinator."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec

from damaskpin.coordinator import refusals
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import run_ends
    from damaskpin.peer import orders

# A worker whose agent has not reported for this time, in seconds, gets no new
# work. The time allows for two late reports.
REPORT_TIMEOUT_S = 1.5

# Time in seconds for which a suspect worker gets no new work, and number of
# different failed jobs that makes a worker suspect. A stalled run makes its
# worker suspect too.
SUSPECT_PERIOD_S = 6.0
SUSPECT_FAILED_JOBS = 2

# Number of failed runs that makes a worker suspect. Failures of a job that has
# failed on more than this number of workers do not count, because then the job
# is probably the cause.
SUSPECT_FAILED_RUNS = 3

# Time in seconds after a successful run during which a worker is preferred for
# the last attempt of a work item.
TRUST_PERIOD_S = 5.0


@dataclasses.dataclass(slots=True)
class PendingEnd:
    """The end of a run that may not be stored yet.

    :ivar serial: serial of the end; see :class:`Worker`.
    :ivar job: job of the run; ``None`` if the run was unknown.
    :ivar version: version of the job's progress that records the end.
    """

    serial: int
    job: jobs.Job | None
    version: int

    def is_stored(self) -> bool:
        """Return whether the end of the run is stored."""
        return self.job is None or self.job.stored_version >= self.version


class Worker:
    """State of one lifetime of a worker.

    A lifetime is one process of the worker, from its start to its end. A
    serial is the number that the worker gives to the end of a run; serials
    count from 1 in each lifetime.

    :param lifetime: id of the worker and start time of its process.
    :param agent: instance id of the agent beside the worker.
    :param latest_run_end: time in seconds after which the worker's runs can't
        exist any more. It is put off when the grant of the worker's agent,
        the time up to which the agent may renew the worker's lease without
        hearing from the coordinator, is renewed.
    :ivar failed_jobs: ids of the jobs of the failed runs, except those of
        gangs that fail on many workers.
    :ivar failed_runs: number of the latest failed run on the worker, by unit,
        since a run last succeeded there. Several members of a gang that fail
        on the worker are one.
    :ivar blamed_runs: number of these, except those of jobs that fail on many
        workers.
    :ivar has_run_lists: whether this coordinator has received the worker's
        lists of runs.
    :ivar orders_due: whether new orders should be sent to the agent now.
    :ivar held_back_starts: number of starts that wait for room in the orders.
    :ivar reads_contents: whether the agent reads input texts that the starts
        in a message share.
    :ivar last_end_serial: serial of the latest end that was recorded.
    :ivar last_failed_start: latest placement time of a run that has failed.
    :ivar last_start: time of the latest placement of a run.
    :ivar last_suspect_start: time of the latest placement of a run whose work
        item may crash its worker.
    :ivar lease_extension: seconds after ``latest_run_end`` for which the lease
        of a restarted worker may still last; 0 for other workers.
    :ivar extension_end: time in seconds up to which it may be extended.
    :ivar run_end_evidence: what ``latest_run_end`` follows from.
    :ivar run_end_reporter: process of the agent whose report last told the end
        of the silent worker's lease; empty if a later grant was given.
    :ivar has_former_process: whether the process has followed another one of
        the same id.
    :ivar pending_ends: recorded ends that may not be stored yet, in the order
        of their serials.
    :ivar report_time: time of the latest report, by the agent's clock.
    :ivar process: process of the agent that made that report.
    :ivar granted_report_time: time of the latest report whose answer renewed
        the agent's grant, by the agent's clock.
    :ivar granted_report: process of the agent that last had its grant renewed,
        and the time of its report, by its clock.
    :ivar silence: seconds since the worker last answered its agent; 0 while
        the two are in contact.
    :ivar start_pause: pause after starts that the worker has refused.
    """

    __slots__ = (
        'address',
        'agent',
        'blamed_runs',
        'extension_end',
        'failed_jobs',
        'failed_runs',
        'free_capacity',
        'granted_report',
        'granted_report_time',
        'has_former_process',
        'has_run_lists',
        'held_back_starts',
        'last_end_serial',
        'last_failed_start',
        'last_report_time',
        'last_start',
        'last_success',
        'last_suspect_start',
        'latest_run_end',
        'lease_extension',
        'lifetime',
        'orders_due',
        'pending_ends',
        'process',
        'profile',
        'reads_contents',
        'report_time',
        'run_end_evidence',
        'run_end_reporter',
        'runs',
        'silence',
        'start_pause',
        'suspect_until',
    )

    def __init__(
        self,
        lifetime: work.Lifetime,
        agent: str,
        latest_run_end: float,
        run_end_evidence: run_ends.Evidence,
    ) -> None:
        self.lifetime = lifetime
        self.agent = agent
        self.address = ''
        self.profile: orders.WorkerProfile | None = None
        self.free_capacity = work.Resources()
        self.runs: dict[work.Run, placed_run.PlacedRun] = {}
        self.has_run_lists = False
        self.held_back_starts = 0
        self.reads_contents = False
        self.last_report_time = 0.0
        self.report_time = 0.0
        self.process = ''
        self.granted_report = ('', 0.0)
        self.granted_report_time = 0.0
        self.latest_run_end = latest_run_end
        self.run_end_evidence = run_end_evidence
        self.run_end_reporter = ''
        self.lease_extension = 0.0
        self.extension_end = -math.inf
        self.has_former_process = False
        self.last_end_serial = 0
        self.last_failed_start = -math.inf
        self.last_start = -math.inf
        self.last_suspect_start = -math.inf
        self.silence = 0.0
        self.pending_ends: collections.deque[PendingEnd] = collections.deque()
        self.failed_jobs: set[str] = set()
        self.failed_runs: dict[tuple[str, int, int, int], int] = {}
        self.blamed_runs = 0
        self.last_success = -TRUST_PERIOD_S
        self.suspect_until = 0.0
        self.start_pause = refusals.StartPause()
        self.orders_due = False

    def set_profile(self, profile: orders.WorkerProfile) -> None:
        """Set the reported profile and update the free capacity."""
        if self.profile is None or self.profile.capacity != profile.capacity:
            self.free_capacity = profile.capacity
            for placed in self.runs.values():
                self.free_capacity = self.free_capacity.minus(placed.reserved)
        if self.profile is not None and self.profile.draining:
            # A worker that drains never takes work again; the report that says
            # otherwise is a delayed one.
            profile = msgspec.structs.replace(profile, draining=True)
        self.profile = profile

    def add_run(self, placed: placed_run.PlacedRun) -> None:
        """Add a run and subtract its capacity from the free capacity."""
        self.runs[placed.run] = placed
        self.last_start = max(self.last_start, placed.placed_at)
        if placed.suspect:
            self.last_suspect_start = placed.placed_at
        self.free_capacity = self.free_capacity.minus(placed.reserved)

    def remove_run(self, run: work.Run) -> placed_run.PlacedRun | None:
        """Remove a run and free its capacity."""
        placed = self.runs.pop(run, None)
        if placed is not None:
            self.free_capacity = self.free_capacity.plus(placed.reserved)
        return placed

    def is_usable(self, now: float) -> bool:
        """Return whether new work may be placed on the worker."""
        return (
            self.profile is not None
            and self.has_run_lists
            and not self.profile.draining
            and not self.silence
            and self.is_reporting(now)
        )

    def get_last_lease_end(self) -> float:
        """Return the time by which the lease has certainly ended."""
        extended = min(
            self.latest_run_end + self.lease_extension, self.extension_end
        )
        return max(self.latest_run_end, extended)

    def is_restarted(self) -> bool:
        """Return whether the process has followed one of the same id.

        A process that has listed an end counts as any other.
        """
        return self.has_former_process and not self.last_end_serial

    def is_reporting(self, now: float) -> bool:
        """Return whether the agent of the worker has reported recently."""
        return now - self.last_report_time <= REPORT_TIMEOUT_S

    def get_acknowledged_end_serial(self) -> int:
        """Return the serial up to which all ends of runs are stored.

        The worker may forget the ended runs up to this serial.
        """
        while self.pending_ends and self.pending_ends[0].is_stored():
            self.pending_ends.popleft()
        if self.pending_ends:
            return self.pending_ends[0].serial - 1
        return self.last_end_serial

    def count_step_runs(self, job_id: str, occurrence: int, step: int) -> int:
        """Return the number of runs of a step on the worker."""
        count = 0
        for run in self.runs:
            item = run.item
            if item.job != job_id or item.step != step:
                continue
            if item.occurrence == occurrence:
                count += 1
        return count

    def record_success(self, now: float, placed_at: float) -> None:
        """Record a successful run and reset the failure counts.

        A run that was placed before one that has failed tells nothing about
        the worker since then, so it resets nothing.

        :param placed_at: time of the run's placement in seconds.
        """
        if placed_at < self.last_failed_start:
            return
        self.last_success = now
        self.blamed_runs = 0
        self.failed_runs.clear()
        self.failed_jobs.clear()
        self.suspect_until = 0.0

    def record_failure(self, placed: placed_run.PlacedRun) -> None:
        """Record a failed run.

        A job that fails on several workers is probably the cause itself, so
        that it is not blamed on all of them. The members of a gang that fail
        on the worker in one run are one failure.
        """
        job = placed.job
        self.last_failed_start = max(self.last_failed_start, placed.placed_at)
        job.failed_worker_ids.add(self.lifetime.worker)
        unit_run = placed.get_unit_run()
        unit = unit_run.get_unit()
        if unit_run.number <= self.failed_runs.get(unit, 0):
            return
        self.failed_runs[unit] = unit_run.number
        if len(job.failed_worker_ids) <= SUSPECT_FAILED_RUNS:
            self.blamed_runs += 1
        elif placed.step.gang:
            # One run of a gang may fail on all its workers at once.
            return
        self.failed_jobs.add(job.id)

    def has_failed_often(self) -> bool:
        """Return whether the failures make the worker suspect."""
        return (
            len(self.failed_jobs) >= SUSPECT_FAILED_JOBS
            or self.blamed_runs >= SUSPECT_FAILED_RUNS
        )

    def is_trusted(self, now: float) -> bool:
        """Return whether a recent run succeeded and none has failed since."""
        return (
            not self.failed_runs and now - self.last_success <= TRUST_PERIOD_S
        )

    def mark_suspect(self, now: float) -> None:
        """Give the worker no new work for a fixed period."""
        self.suspect_until = now + SUSPECT_PERIOD_S

    def has_failed_since_success(self) -> bool:
        """Return whether a run has failed since the last successful run."""
        return bool(self.failed_runs)
