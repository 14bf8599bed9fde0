"""Log records about events of runs and jobs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import ranking
from damaskpin.model import log_fields

if TYPE_CHECKING:
    from damaskpin.coordinator import crash_counts
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work

LOG = logging.getLogger(__name__)


def log_run(
    message: str,
    run: work.Run,
    worker: worker_state.Worker,
    reason: str,
    **more: object,
) -> None:
    """Log an event of a run.

    :param message: log message, which names the event.
    :param reason: why the event happened.
    :param more: additional log fields.
    """
    LOG.info(
        message,
        extra={
            **_describe_run(run, worker.lifetime),
            'reason': reason,
            **more,
        },
    )


def log_crash(
    run: work.Run,
    lifetime: work.Lifetime,
    recent: bool,
    begun: bool,
    counts: crash_counts.CrashCounts,
) -> None:
    """Log that a worker has crashed under a run.

    :param recent: whether the run had been started shortly before.
    :param begun: whether the worker had accepted or listed the run.
    :param counts: crashes of the work item, this one included.
    """
    LOG.warning(
        'worker crashed under a run',
        extra={
            **_describe_run(run, lifetime),
            'recent': recent,
            'begun': begun,
            'crashes': len(counts.recent) + len(counts.older),
            'recent_crashes': len(counts.recent),
            'unanswered': len(counts.unanswered),
        },
    )


def log_giving_up(
    item: work.Item, reason: str, counts: crash_counts.CrashCounts
) -> None:
    """Log which crashes were counted against a work item.

    The fields name runs by their numbers; the log has a line of each crash
    with its worker.
    """
    LOG.warning(
        'work item given up after crashes',
        extra={
            **log_fields.describe_item(item),
            'reason': reason,
            'recent_runs': list(counts.recent),
            'older_runs': list(counts.older),
            'unanswered_runs': list(counts.unanswered),
        },
    )


def log_excuse(
    item: work.Item, signs: int, counts: crash_counts.CrashCounts
) -> None:
    """Log that crashes are not blamed on a work item, as chance is likely.

    :param signs: number of other crashes that no start explains.
    """
    LOG.info(
        'crashes may be due to chance',
        extra={
            **log_fields.describe_item(item),
            'recent_runs': list(counts.recent),
            'unexplained': signs,
        },
    )


def log_job_end(job: jobs.Job) -> None:
    """Log the end of a job beside the objective that it had.

    Times are seconds since the job was accepted.
    """
    runs = sum(
        sum(step.numbers.values())
        for steps in job.progress.occurrences.values()
        for step in steps
    )
    LOG.info(
        'job ended',
        extra={
            'job': job.id,
            'state': str(job.progress.state),
            'reason': job.progress.reason,
            'priority': job.submission.terms.priority,
            'seconds': round(job.progress.ended - job.submission.accepted, 3),
            'objective': round(ranking.get_objective_duration(job), 3),
            'runs': runs,
        },
    )


def _describe_run(run: work.Run, lifetime: work.Lifetime) -> dict[str, object]:
    """Return the log fields that name a run and its worker."""
    return {
        **log_fields.describe_run(run),
        'worker': lifetime.worker,
        'born': lifetime.born,
    }
