"""State of one job: its ready units, its runs and its progress."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from damaskpin.coordinator import crash_counts
from damaskpin.coordinator import job_times
from damaskpin.coordinator import records
from damaskpin.coordinator import unrecorded_runs
from damaskpin.model import work

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclasses.dataclass(slots=True)
class Unit:
    """Work items that start together: a single item or a whole gang.

    :ivar occurrence: which scheduled execution of the job's steps the unit
        belongs to, counted from 0; 0 for a job without a schedule.
    :ivar step_index: index of the step within the job.
    :ivar indexes: indexes of the work items within the step.
    :ivar slot: key of the unit within the progress of its step: 0 for a gang,
        otherwise the index of the work item.
    :ivar ready_since: time at which the unit became ready, in seconds.
    """

    job: Job
    occurrence: int
    step_index: int
    step: work.Step
    indexes: tuple[int, ...]
    slot: int
    ready_since: float

    def get_progress(self) -> records.StepProgress:
        """Return the progress of the step that the unit belongs to."""
        return self.job.get_step_progress(self.occurrence, self.step_index)

    def get_due_since(self) -> float:
        """Return the steady time since which the job should have run."""
        return self.job.times.get_due_since(self.occurrence)

    def get_key(self) -> tuple[str, int, int, int]:
        """Return job id, occurrence, step index and slot of the unit."""
        return (self.job.id, self.occurrence, self.step_index, self.slot)

    def is_last_attempt(self) -> bool:
        """Return whether the job fails if the next run of the unit fails."""
        failures = self.get_progress().failures.get(self.slot, 0)
        return 0 < failures >= self.job.submission.terms.attempts - 1

    def is_suspect(self) -> bool:
        """Return whether a start of it may have crashed a worker."""
        progress = self.get_progress()
        return any(
            crash_counts.get_counts(progress, self.step, index).is_suspect()
            for index in self.indexes
        )

    def has_preempted(self) -> bool:
        """Return whether runs were preempted for the unit."""
        return self.get_key()[1:] in self.job.preemption_losses

    def get_preemption_loss(self) -> float:
        """Return the core-seconds that preemptions for the unit have lost."""
        return self.job.preemption_losses.get(self.get_key()[1:], 0.0)

    def record_preemption(self, loss: float) -> None:
        """Record that runs were preempted for the unit.

        :param loss: core-seconds of work that this loses.
        """
        total = self.get_preemption_loss() + loss
        self.job.preemption_losses[self.get_key()[1:]] = total

    def promise_start(self, expected: float) -> None:
        """Record when the unit should start, unless that is recorded.

        :param expected: time at which it is now expected to start, in seconds.
        """
        self.job.promised_starts.setdefault(self.get_key()[1:], expected)

    def get_promised_start(self) -> float:
        """Return when the unit should start; infinite if nothing tells."""
        return self.job.promised_starts.get(self.get_key()[1:], math.inf)

    def forget_promised_start(self) -> None:
        """Let the next promise tell when the unit should start."""
        self.job.promised_starts.pop(self.get_key()[1:], None)

    def get_item(self, index: int) -> work.Item:
        """Return the identity of one work item of the unit.

        :param index: index of the work item within the step.
        """
        return work.Item(self.job.id, self.occurrence, self.step_index, index)


class Job:
    """A job and its progress.

    :param submission: job as it was accepted.
    :param progress: known progress of the job; changed in place.
    :param arrived: steady time in seconds at which it was accepted, as far as
        is known; ``None`` for a job that is new to the coordinator.
    :ivar stored_version: latest version of the progress in the store.
    :ivar avoided_workers: ids of the workers that a unit should avoid, by the
        unit's occurrence, step index and slot; see :class:`Unit`.
    :ivar failed_worker_ids: ids of the workers on which runs of the job have
        failed.
    :ivar cancelled: whether the job was cancelled.
    :ivar preemption_losses: core-seconds of work that preemptions for a unit
        have lost since its latest start, by the unit's occurrence, step index
        and slot.
    :ivar promised_starts: time in seconds at which a unit was expected to
        start when capacity was first reserved for it, by the unit's
        occurrence, step index and slot.
    :ivar times: times of the job by the steady clock of the coordinator.
    :ivar unrecorded: runs that a worker lists and the progress lacks.
    :ivar moved_runs: numbers of the runs of a unit that were moved off
        workers on which they were stalled or slow, by the unit's occurrence,
        step index and slot.
    """

    __slots__ = (
        '_ready_since',
        'avoided_workers',
        'cancelled',
        'failed_worker_ids',
        'moved_runs',
        'preemption_losses',
        'progress',
        'promised_starts',
        'revision',
        'stored_version',
        'submission',
        'times',
        'unrecorded',
    )

    def __init__(
        self,
        submission: work.Submission,
        progress: records.Progress,
        arrived: float | None = None,
    ) -> None:
        self.submission = submission
        self.times = job_times.JobTimes(arrived)
        self.progress = progress
        self.stored_version = progress.version
        self.revision = 0
        self.cancelled = False
        self.failed_worker_ids: set[str] = set()
        self.moved_runs: dict[tuple[int, int, int], set[int]] = {}
        self.preemption_losses: dict[tuple[int, int, int], float] = {}
        self.promised_starts: dict[tuple[int, int, int], float] = {}
        self.avoided_workers: dict[tuple[int, int, int], set[str]] = {}
        self._ready_since: dict[tuple[int, int, int], float] = {}
        self.unrecorded = unrecorded_runs.UnrecordedRuns()

    @property
    def id(self) -> str:
        """Return the id of the job."""
        return self.submission.id

    def is_final(self) -> bool:
        """Return whether the state of the job is final."""
        return self.progress.state.is_final()

    def is_done(self, item: work.Item) -> bool:
        """Return whether a work item has ended well or its job has ended."""
        steps = self.progress.occurrences.get(item.occurrence)
        if self.is_final() or steps is None or item.step >= len(steps):
            return True
        return item.index in steps[item.step].done

    def mark_changed(self) -> None:
        """Increment the version after a change that must be stored."""
        self.progress.version += 1

    def has_unstored_changes(self) -> bool:
        """Return whether the progress has changes that are not stored yet."""
        return self.progress.version > self.stored_version

    def get_step_progress(
        self, occurrence: int, step: int
    ) -> records.StepProgress:
        """Return the progress of a step, and create it if it is absent."""
        steps = self.progress.occurrences.get(occurrence)
        if steps is None:
            steps = [records.StepProgress() for _ in self.submission.steps]
            self.progress.occurrences[occurrence] = steps
        return steps[step]

    def iterate_active(
        self,
    ) -> Iterator[tuple[work.Run, records.ActiveRun]]:
        """Yield the runs of the job that may exist on workers."""
        for occurrence, steps in self.progress.occurrences.items():
            for index, progress in enumerate(steps):
                for active in progress.active:
                    item = work.Item(self.id, occurrence, index, active.index)
                    yield work.Run(item, active.number), active

    def iterate_ready(self, now: float, wall: float) -> Iterator[Unit]:
        """Yield the units that are ready to start.

        :param now: steady time in seconds.
        :param wall: Unix time in seconds.
        """
        if self.is_final() or self.cancelled:
            return
        for occurrence in self._list_due_occurrences(now, wall):
            for index, step in enumerate(self.submission.steps):
                if not self._is_step_ready(occurrence, step):
                    continue
                yield from self._iterate_step(now, occurrence, index, step)

    def get_ready_since(
        self, occurrence: int, step: int, slot: int
    ) -> float | None:
        """Return since when a unit is ready in seconds; ``None`` if it isn't.

        :param slot: key of the unit within the step; see :class:`Unit`.
        """
        return self._ready_since.get((occurrence, step, slot))

    def assign_runs(
        self, unit: Unit, assignments: list[tuple[work.Lifetime, str]]
    ) -> list[work.Run]:
        """Record new runs of a unit on its assigned workers.

        :param assignments: worker lifetime and agent for each index of the
            unit.
        :returns: the runs, in the order of the unit's indexes.
        """
        progress = unit.get_progress()
        number = progress.numbers.get(unit.slot, 0) + 1
        progress.numbers[unit.slot] = number
        runs = []
        for index, assignment in zip(unit.indexes, assignments, strict=True):
            progress.active.append(
                records.ActiveRun(index, number, assignment[0], assignment[1])
            )
            runs.append(work.Run(unit.get_item(index), number))
        self._ready_since.pop(unit.get_key()[1:], None)
        self.preemption_losses.pop(unit.get_key()[1:], None)
        unit.forget_promised_start()
        self.progress.begun = True
        self.progress.state = work.JobState.RUNNING
        self.mark_changed()
        return runs

    def remove_run(self, run: work.Run) -> bool:
        """Remove a run that does not exist any more.

        :returns: whether the run was known.
        """
        item = run.item
        steps = self.progress.occurrences.get(item.occurrence)
        if steps is None or item.step >= len(steps):
            return False
        progress = steps[item.step]
        for position, active in enumerate(progress.active):
            if active.index == item.index and active.number == run.number:
                del progress.active[position]
                self.mark_changed()
                return True
        return False

    def finish(
        self, state: work.JobState, wall: float, reason: str = ''
    ) -> None:
        """Set the final state of the job.

        :param wall: Unix time in seconds.
        :param reason: why the job failed; empty otherwise.
        """
        self.progress.state = state
        self.progress.ended = wall
        self.progress.reason = reason
        self.mark_changed()

    def _list_due_occurrences(self, now: float, wall: float) -> Iterator[int]:
        schedule = self.submission.schedule
        finished = self.progress.finished
        if schedule is None:
            if 0 not in finished:
                yield 0
            return
        for occurrence in range(schedule.count):
            if occurrence in finished:
                continue
            lateness = wall - schedule.get_due_time(occurrence)
            if lateness < 0:
                return
            self.times.record_due(now, occurrence, lateness)
            yield occurrence

    def _is_step_ready(self, occurrence: int, step: work.Step) -> bool:
        for predecessor in step.after:
            progress = self.get_step_progress(occurrence, predecessor)
            if len(progress.done) < self.submission.steps[predecessor].count:
                return False
        return True

    def _iterate_step(
        self, now: float, occurrence: int, index: int, step: work.Step
    ) -> Iterator[Unit]:
        progress = self.get_step_progress(occurrence, index)
        if len(progress.done) >= step.count:
            return
        if step.gang:
            indexes = tuple(range(step.count))
            if progress.active or self.unrecorded.holds_back(
                occurrence, index, indexes
            ):
                return
            yield self._make_unit(now, occurrence, index, indexes, 0)
            return
        active = {run.index for run in progress.active}
        for number in range(step.count):
            if number in progress.done or number in active:
                continue
            if self.unrecorded.holds_back(occurrence, index, (number,)):
                continue
            yield self._make_unit(now, occurrence, index, (number,), number)

    def _make_unit(
        self,
        now: float,
        occurrence: int,
        index: int,
        indexes: tuple[int, ...],
        slot: int,
    ) -> Unit:
        ready_since = self._ready_since.setdefault(
            (occurrence, index, slot), now
        )
        step = self.submission.steps[index]
        return Unit(self, occurrence, index, step, indexes, slot, ready_since)
