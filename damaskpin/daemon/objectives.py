"""Service-level objectives that an entry judges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import verdict as verdicts
from damaskpin.daemon import coordination
from damaskpin.model import job as jobs
from damaskpin.report import burn

if TYPE_CHECKING:
    from damaskpin.daemon import jobs as job_desks

# A job completes in time within twice its declared run time, or within this
# many seconds more, whichever is later: short jobs may wait a little.
COMPLETION_SLACK_S = 600.0
COMPLETION_FACTOR = 2.0


class Objectives:
    """Feeds the burn counters of one entry.

    :param counters: counters of the process.
    """

    __slots__ = ('_counters', '_pending', '_revision')

    def __init__(self, counters: burn.Burn) -> None:
        self._counters = counters
        self._revision = 0
        self._pending: float | None = None

    def note_request(
        self, now: float, account: str, verdict: verdicts.Verdict
    ) -> None:
        """Count the verdict on a service request."""
        self._count_verdict(now, account, verdict)
        self._counters.record(
            now,
            burn.Objective.COMPLETION_TIME,
            account,
            isinstance(verdict, verdicts.Ran),
        )

    def note_start(self, now: float, owned: job_desks.OwnedJob) -> None:
        """Count the start of a job that is urgent or guaranteed."""
        urgent = owned.job.spec.priority is jobs.Priority.URGENT
        if not urgent and owned.reason != coordination.REASON_GUARANTEED:
            return
        self._counters.record(
            now,
            burn.Objective.URGENT_START,
            owned.job.account,
            now - owned.accepted <= burn.URGENT_START_SECONDS,
        )

    def note_end(self, now: float, owned: job_desks.OwnedJob) -> None:
        """Count the verdict on a job."""
        if owned.verdict is None:
            return
        self._count_verdict(now, owned.job.account, owned.verdict)
        declared = owned.job.spec.run_seconds
        limit = max(
            declared * COMPLETION_FACTOR, declared + COMPLETION_SLACK_S
        )
        self._counters.record(
            now,
            burn.Objective.COMPLETION_TIME,
            owned.job.account,
            now - owned.accepted <= limit,
        )

    def note_revisions(
        self, now: float, applied: int, revisions: dict[str, int]
    ) -> None:
        """Count whether a configuration is in force everywhere in time.

        :param applied: revision that this entry has applied.
        :param revisions: revision of each known process.
        """
        if applied != self._revision:
            self._revision = applied
            self._pending = now
        if self._pending is None:
            return
        seconds = now - self._pending
        in_force = min(revisions.values()) >= applied
        late = seconds > burn.CONFIG_IN_FORCE_SECONDS
        if not in_force and not late:
            return
        self._pending = None
        self._counters.record(
            now, burn.Objective.CONFIG_IN_FORCE, '', not late
        )

    def _count_verdict(
        self, now: float, account: str, verdict: verdicts.Verdict
    ) -> None:
        # A caller who is told "may have run" has got no certain verdict.
        self._counters.record(
            now,
            burn.Objective.TRUTHFUL_VERDICT,
            account,
            not isinstance(verdict, verdicts.MayHaveRun),
        )
