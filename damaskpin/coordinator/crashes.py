"""Crashes of workers, and the work items that are given up for them.

A work item may crash each worker that starts it. Two starts that were each
followed by a crash tell it from its bystanders, as after the first one it is
started where no other run is new, and nothing else is started there for a
while. A start call without an answer proves no start: the worker may have
crashed for another reason before it carried the call out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import crash_counts
from damaskpin.coordinator import events
from damaskpin.model import crash_limits
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.peer import orders

# Time after a start in which a crash is blamed on it, in seconds: that of the
# agent and the way of the order.
PROBATION_S = crash_limits.RECENT_START_S + 0.5


def record_crash(
    wall: float, ledger: ledgers.RunLedger, crash: orders.Crash
) -> None:
    """Count a crash for the runs that the worker had; repeats are ignored.

    :param wall: Unix time in seconds.
    """
    for run in crash.runs:
        job = ledger.jobs.get(run.item.job)
        if job is None or job.is_final():
            continue
        recent = run in crash.recent
        begun = run in crash.begun
        counts = crash_counts.record(job, run, recent, begun)
        if counts is None:
            continue
        ledger.changed = True
        ledger.counts['crashed' if begun else 'crashed unanswered'] += 1
        events.log_crash(run, crash.lifetime, recent, begun, counts)
        reason = counts.explain_giving_up()
        if reason:
            _give_up(wall, ledger, job, run, reason, counts)


def _give_up(
    wall: float,
    ledger: ledgers.RunLedger,
    job: jobs.Job,
    run: work.Run,
    reason: str,
    counts: crash_counts.CrashCounts,
) -> None:
    """End the job of a work item that has crashed too many workers.

    :param run: run of the work item under which a worker has crashed.
    """
    job.finish(work.JobState.FAILED, wall, reason)
    ledger.counts['given up after crashes'] += 1
    events.log_giving_up(run.item, reason, counts)
    events.log_job_end(job)
    ledger.stop_job(job, reason)


def may_share_worker(
    now: float, suspect: bool, worker: worker_state.Worker
) -> bool:
    """Return whether a crash after a start on a worker could be attributed.

    A suspect unit needs a worker without another recent start, and a worker
    with a recent start of a suspect unit takes no other.

    :param suspect: whether the unit to start is a suspect.
    """
    if now - worker.last_suspect_start < PROBATION_S:
        return False
    return not suspect or now - worker.last_start >= PROBATION_S
