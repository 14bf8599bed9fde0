"""Steps of a job whose turn has come, as its stored progress tells."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from damaskpin.coordinator import records
    from damaskpin.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class DueStep:
    """A step of which work items are due and not done.

    :ivar done: indexes of the work items of the step that are done.
    """

    submission: work.Submission
    occurrence: int
    step_index: int
    done: Collection[int]

    @property
    def step(self) -> work.Step:
        """Return the description of the step."""
        return self.submission.steps[self.step_index]

    @property
    def indexes(self) -> tuple[int, ...]:
        """Return the indexes of the due work items within the step."""
        return tuple(i for i in range(self.step.count) if i not in self.done)

    @property
    def service(self) -> str:
        """Return the service whose workers may run the step."""
        return self.submission.terms.service

    def count_together(self) -> int:
        """Return how many work items of the step start together."""
        return self.step.count if self.step.gang else 1


def iterate_due_steps(
    submission: work.Submission, progress: records.Progress, wall: float
) -> Iterator[DueStep]:
    """Yield the due steps of a job; its active runs make no difference.

    :param wall: Unix time in seconds.
    """
    for occurrence in _iterate_due_occurrences(submission, progress, wall):
        steps = progress.occurrences.get(occurrence)
        for index, step in enumerate(submission.steps):
            done = _get_done(steps, index)
            if len(done) >= step.count:
                continue
            if any(
                len(_get_done(steps, after)) < submission.steps[after].count
                for after in step.after
            ):
                continue
            yield DueStep(submission, occurrence, index, done)


def _get_done(
    steps: list[records.StepProgress] | None, index: int
) -> Collection[int]:
    """Return the indexes of the work items of a step that are done."""
    return steps[index].done if steps else ()


def _iterate_due_occurrences(
    submission: work.Submission, progress: records.Progress, wall: float
) -> Iterator[int]:
    schedule = submission.schedule
    count = 1 if schedule is None else schedule.count
    for occurrence in range(count):
        if schedule is not None and schedule.get_due_time(occurrence) > wall:
            return
        if occurrence not in progress.finished:
            yield occurrence
