"""Evaluation of service-level objectives on an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin import verdict as verdicts
from damaskpin.daemon import region_coordinator
from damaskpin.model import job as jobs
from damaskpin.report import burn_rates

if TYPE_CHECKING:
    from damaskpin.daemon import job_manager as job_managers

# A job completes in time within twice its declared run time or within its run
# time plus this slack, whichever is longer: short jobs need time to queue.
COMPLETION_SLACK_S = 600.0
COMPLETION_RUN_TIME_FACTOR = 2.0


class Objectives:
    """Counts the events that meet or miss service-level objectives.

    :param counters: counters of good and bad events of this entry.
    """

    __slots__ = ('_counted_revision', '_counters', '_unconfirmed_since')

    def __init__(self, counters: burn_rates.BurnCounters) -> None:
        self._counters = counters
        self._counted_revision = 0
        self._unconfirmed_since: float | None = None

    def count_request(
        self, now: float, account: str, verdict: verdicts.Verdict
    ) -> None:
        """Count a service request by its verdict."""
        self._count_verdict(now, account, verdict)
        self._counters.record(
            now,
            burn_rates.Objective.COMPLETION_TIME,
            account,
            isinstance(verdict, verdicts.Ran),
        )

    def count_job_start(
        self, now: float, owned: job_managers.OwnedJob
    ) -> None:
        """Count whether an urgent or guaranteed job started in time."""
        urgent = owned.job.spec.priority is jobs.Priority.URGENT
        if (
            not urgent
            and owned.reason != region_coordinator.RUNNING_REASON_GUARANTEED
        ):
            return
        self._counters.record(
            now,
            burn_rates.Objective.URGENT_START,
            owned.job.account,
            now - owned.accepted <= burn_rates.URGENT_START_LIMIT_SECONDS,
        )

    def count_job_end(self, now: float, owned: job_managers.OwnedJob) -> None:
        """Count the verdict on a job and whether it completed in time."""
        if owned.verdict is None:
            return
        self._count_verdict(now, owned.job.account, owned.verdict)
        declared = owned.job.spec.run_seconds
        limit = max(
            declared * COMPLETION_RUN_TIME_FACTOR,
            declared + COMPLETION_SLACK_S,
        )
        self._counters.record(
            now,
            burn_rates.Objective.COMPLETION_TIME,
            owned.job.account,
            now - owned.accepted <= limit,
        )

    def count_config_change(
        self, now: float, applied: int, revisions: dict[str, int]
    ) -> None:
        """Count whether all processes applied a configuration in time.

        :param applied: revision that this entry has applied.
        :param revisions: applied revision of each known process.
        """
        if applied != self._counted_revision:
            self._counted_revision = applied
            self._unconfirmed_since = now
        if self._unconfirmed_since is None:
            return
        seconds = now - self._unconfirmed_since
        applied_everywhere = min(revisions.values()) >= applied
        late = seconds > burn_rates.CONFIG_IN_FORCE_LIMIT_SECONDS
        if not applied_everywhere and not late:
            return
        self._unconfirmed_since = None
        self._counters.record(
            now, burn_rates.Objective.CONFIG_IN_FORCE, '', not late
        )

    def _count_verdict(
        self, now: float, account: str, verdict: verdicts.Verdict
    ) -> None:
        # The verdict "may have run" leaves the outcome unknown to the caller,
        # so it counts as bad.
        self._counters.record(
            now,
            burn_rates.Objective.TRUTHFUL_VERDICT,
            account,
            not isinstance(verdict, verdicts.MayHaveRun),
        )
