"""State of a run that may exist on a worker, and its progress."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import lost_work
    from damaskpin.model import work
    from damaskpin.peer import orders

# Progress that is needed to compute a rate, in percent, because reported
# progress is imprecise.
MIN_RATE_PROGRESS = 4.0

# Length of the windows in which rates are measured, in seconds. Progress is
# reported in steps of a percent, so that short windows would be imprecise.
RATE_WINDOW_S = 2.0

# Time in seconds after which an accepted run is given up if the run lists of
# its worker show it neither as running nor as ended.
MISSING_TIMEOUT_S = 5.0

# Expected remaining time of a run that has exceeded its estimate, in seconds.
OVERDUE_REMAINING_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class UnitRun:
    """Identity of one start of a unit, which is a work item or a gang.

    All members of a gang share it. What is counted for a run is counted by it,
    as each member may report the same event.

    :ivar slot: key of the unit within its step; see :class:`job.Unit`.
    :ivar number: number of the run.
    """

    job: str
    occurrence: int
    step: int
    slot: int
    number: int

    def get_unit(self) -> tuple[str, int, int, int]:
        """Return job id, occurrence, step index and slot of the unit."""
        return (self.job, self.occurrence, self.step, self.slot)


@dataclasses.dataclass(slots=True)
class PlacedRun:
    """A run that may exist on a worker.

    :ivar reserved: capacity that the run takes.
    :ivar version: version of the job's progress that must be stored before
        the start is ordered.
    :ivar confirmed: whether the worker has listed or accepted the run.
    :ivar placed_at: time of the placement in seconds; negative for a run that
        a former coordinator has placed.
    :ivar suspect: whether a worker has crashed soon after an earlier start of
        the work item.
    :ivar ordered_to: process of the agent to which the start was first
        ordered, empty if it does not tell its id; ``None`` before.
    :ivar unanswered_since: time since which the ordered start waits for the
        answer of a worker that answers other calls; 0 if it does not.
    :ivar unanswered_before: number of earlier starts on the worker that waited
        for their answers at the latest check.
    :ivar first_listed: time at which the worker first listed the run; 0
        before.
    :ivar stop_reason: why the run is to be stopped; empty if it is not.
    :ivar stop_cause: cause under which the work that the stop loses is booked;
        ``None`` if it is not to be stopped.
    :ivar ended_with_process: whether the run has certainly ended with a former
        process of its worker; see ``removals.Proof.PROCESS_REPLACED``.
    :ivar checkpoint: latest checkpoint that the worker has listed.
    :ivar percent: latest progress that the worker has listed.
    :ivar first_percent: progress when the worker first listed the run.
    :ivar last_progress: time at which the progress last changed; 0 before.
    :ivar last_listed: time at which the worker last listed the run; 0 before.
    :ivar missing_since: time since which the worker's lists lack the run; 0
        if they have it.
    :ivar window_start: start of the current window for measuring the rate.
    :ivar window_start_percent: progress at the start of that window.
    :ivar rate: rate of progress in the last complete window, in percent per
        second; negative before the first window is complete.
    :ivar best_rate: highest rate of all windows.
    """

    run: work.Run
    job: jobs.Job
    step: work.Step
    reserved: work.Resources
    version: int
    confirmed: bool
    placed_at: float
    suspect: bool = False
    ordered_to: str | None = None
    unanswered_since: float = 0.0
    unanswered_before: int = 0
    first_listed: float = 0.0
    stop_reason: str = ''
    stop_cause: lost_work.Cause | None = None
    ended_with_process: bool = False
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

    def update_from_list(
        self, row: work.RunningRun, now: float, silence: float = 0.0
    ) -> None:
        """Update the run from its entry in the worker's list of runs.

        :param silence: seconds since the worker has given the list.
        """
        # The agent of a silent worker repeats its latest list, which counts
        # as heard of but tells nothing of work since.
        self.record_work(now - silence)
        self.confirmed = True
        self.last_listed = now
        if not self.first_listed:
            self.first_listed = now
            self.first_percent = row.percent
            self.last_progress = now
            self._start_rate_window(now, row.percent)
        if row.checkpoint:
            self.checkpoint = row.checkpoint
        if row.percent != self.percent:
            self.percent = row.percent
            self.last_progress = now
        if self.percent == self.first_percent:
            # Without progress the run has not begun to work, so that the
            # rate is measured from a later time.
            self._start_rate_window(now, row.percent)
        elif now - self.window_start >= RATE_WINDOW_S:
            gained = row.percent - self.window_start_percent
            self.rate = gained / (now - self.window_start)
            self.best_rate = max(self.best_rate, self.rate)
            self._start_rate_window(now, row.percent)

    def record_work(self, listed: float) -> None:
        """Record that its worker has listed the run, or its end.

        :param listed: time at which the worker has listed it, in seconds.
        """
        item = self.run.item
        slot = self.step.get_slot(item.index)
        self.job.times.record_work(listed, (item.occurrence, item.step, slot))

    def _start_rate_window(self, now: float, percent: float) -> None:
        self.window_start = now
        self.window_start_percent = percent

    def get_unit_run(self) -> UnitRun:
        """Return the identity of the start that the run belongs to."""
        item = self.run.item
        return UnitRun(
            item.job,
            item.occurrence,
            item.step,
            self.step.get_slot(item.index),
            self.run.number,
        )

    def is_start_decided(self, report: orders.Report) -> bool:
        """Return whether no start call for the run may be carried out.

        The agent knows its own calls, and in time that those of its former
        processes can't be carried out any more.
        """
        if report.undecided is None or self.run in report.undecided:
            return False
        if report.knows_all_calls or self.run in report.decided:
            return True
        if self.ordered_to is None:
            # A former coordinator may have ordered the start, unless this one
            # has placed the run.
            return self.placed_at > 0
        return bool(report.process) and self.ordered_to == report.process

    def is_in_same_gang_run(self, other: PlacedRun) -> bool:
        """Return whether two runs belong to the same start of a gang."""
        return (
            self.step.gang
            and self.job is other.job
            and self.run.get_gang_run() == other.run.get_gang_run()
        )

    def is_urgent(self) -> bool:
        """Return whether the start should be ordered before others.

        Members of a gang wait for each other only for a short time, and work
        of the highest priority may be owed to its account at once.
        """
        return self.step.gang or self.job.submission.terms.priority == 0

    def is_missing(self, now: float, is_listed: bool) -> bool:
        """Return whether a confirmed run has been unlisted for too long.

        :param is_listed: whether the latest lists of the worker have the run.
        """
        if is_listed or not self.confirmed:
            self.missing_since = 0.0
            return False
        if not self.missing_since:
            self.missing_since = now
        return now - self.missing_since > MISSING_TIMEOUT_S

    def get_unsaved_seconds(self, now: float) -> float:
        """Return the seconds of work that a stop would lose."""
        if not self.first_listed or self.step.checkpoints:
            return 0.0
        return now - self.first_listed

    def get_remaining_seconds(self, now: float) -> float:
        """Return the expected seconds until the run ends."""
        begun = self.first_listed or max(self.placed_at, 0.0) or now
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
