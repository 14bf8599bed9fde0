"""Crashes of workers that no start explains, as signs of another cause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.model import work
    from damaskpin.peer import orders

# Time after its report in which a crash is a sign, in seconds. Workers that
# crash together are reported when they are back, some seconds apart, and work
# that was started anew may meet the next such crash before that.
SIGN_PERIOD_S = 6.0

# Share of the workers whose crashes are a sign. Below it, chance ends two
# recent starts of one work item too rarely to be weighed.
MIN_SIGN_SHARE = 0.05

# Time in seconds between a crash and the decision to give up a work item for
# it, as reports of other crashes of the same moment may be on their way.
REVIEW_DELAY_S = 1.0

# Time in seconds for which a crash is remembered, which is longer than agents
# repeat its report.
MEMORY_S = 60.0


class CrashWatch:
    """Crashes for which no work item is blamed, and reviews that are due.

    A crash is unexplained if no run is known to have begun on the worker
    shortly before. Work that crashes its workers leaves none of these behind,
    unless no answer to its starts arrives.
    """

    __slots__ = ('_reviews', '_unexplained')

    def __init__(self) -> None:
        self._unexplained: dict[work.Lifetime, float] = {}
        self._reviews: dict[work.Run, float] = {}

    def record(self, now: float, crash: orders.Crash) -> None:
        """Record a crash, if no start explains it; repeats are ignored."""
        if set(crash.recent) & set(crash.begun):
            return
        for lifetime, recorded in list(self._unexplained.items()):
            if now - recorded > MEMORY_S:
                del self._unexplained[lifetime]
        self._unexplained.setdefault(crash.lifetime, now)

    def count_signs(self, now: float) -> int:
        """Return the number of unexplained crashes of the last seconds."""
        return sum(
            now - recorded <= SIGN_PERIOD_S
            for recorded in self._unexplained.values()
        )

    def is_chance_likely(self, now: float, workers: int) -> bool:
        """Return whether workers crash for other reasons than their work.

        :param workers: number of known workers.
        """
        signs = self.count_signs(now)
        return signs > 0 and signs >= MIN_SIGN_SHARE * workers

    def schedule_review(self, now: float, run: work.Run) -> None:
        """Schedule the decision whether the work item of a run is given up."""
        self._reviews[run] = now + REVIEW_DELAY_S

    def has_review(self, item: work.Item) -> bool:
        """Return whether a decision on a work item is still to be made."""
        return any(run.item == item for run in self._reviews)

    def pop_due_reviews(self, now: float) -> list[work.Run]:
        """Remove and return the runs whose review is due."""
        due = [run for run, time in self._reviews.items() if time <= now]
        for run in due:
            del self._reviews[run]
        return due
