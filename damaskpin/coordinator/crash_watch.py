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
    unless no answer to its starts arrives. Such a crash is no sign for the
    job that was being started.
    """

    __slots__ = ('_reviews', '_unexplained')

    def __init__(self) -> None:
        # Time of the record, and the jobs that were being started there.
        self._unexplained: dict[
            work.Lifetime, tuple[float, frozenset[str]]
        ] = {}
        self._reviews: dict[work.Run, float] = {}

    def record(self, now: float, crash: orders.Crash) -> None:
        """Record a crash, if no start explains it; repeats are ignored."""
        if set(crash.recent) & set(crash.begun):
            return
        for lifetime, (recorded, _) in list(self._unexplained.items()):
            if now - recorded > MEMORY_S:
                del self._unexplained[lifetime]
        jobs = frozenset(run.item.job for run in crash.recent)
        self._unexplained.setdefault(crash.lifetime, (now, jobs))

    def count_signs(self, now: float, job_id: str = '') -> int:
        """Return the number of unexplained crashes of the last seconds.

        :param job_id: job whose own starts may explain crashes; empty for
            none.
        """
        return sum(
            now - recorded <= SIGN_PERIOD_S and job_id not in jobs
            for recorded, jobs in self._unexplained.values()
        )

    def is_chance_likely(
        self, now: float, workers: int, job_id: str = ''
    ) -> bool:
        """Return whether workers crash for other reasons than their work.

        :param workers: number of known workers.
        :param job_id: job whose own starts may explain crashes; empty for
            none.
        """
        return _are_many(self.count_signs(now, job_id), workers)

    def are_idle_workers_crashing(self, now: float, workers: int) -> bool:
        """Return whether so many workers crash on which nothing was started.

        :param workers: number of known workers.
        """
        signs = sum(
            now - recorded <= SIGN_PERIOD_S and not jobs
            for recorded, jobs in self._unexplained.values()
        )
        return _are_many(signs, workers)

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


def _are_many(signs: int, workers: int) -> bool:
    return signs > 0 and signs >= MIN_SIGN_SHARE * workers
