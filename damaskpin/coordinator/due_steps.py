"""Steps of a job whose turn has come, as its stored progress tells."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from damaskpin.coordinator import records
    from damaskpin.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class DueStep:
    """A step of which work items are due and not done.

    :ivar indexes: indexes of these work items within the step.
    """

    submission: work.Submission
    occurrence: int
    step_index: int
    indexes: tuple[int, ...]

    @property
    def step(self) -> work.Step:
        """Return the description of the step."""
        return self.submission.steps[self.step_index]

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
        done = [step.done for step in steps] if steps else []
        done.extend(set() for _ in submission.steps[len(done) :])
        for index, step in enumerate(submission.steps):
            if any(
                len(done[after]) < submission.steps[after].count
                for after in step.after
            ):
                continue
            indexes = tuple(
                number
                for number in range(step.count)
                if number not in done[index]
            )
            if indexes:
                yield DueStep(submission, occurrence, index, indexes)


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
