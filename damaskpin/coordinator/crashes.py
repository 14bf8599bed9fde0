"""Crashes of workers, and the work items that are given up for them.

A work item may crash each worker that starts it. After the first crash it is
started where no other run is new, and nothing else is started there for a
while, which tells it from its bystanders. Where it would have to wait long for
that, it starts beside others; a crash of these starts is no evidence against
a suspect, and counts towards the limit on crashes of any kind. Its third start
also waits until no workers crash for which no start is to blame, which tells
it from chance. A start call without an answer proves no start: the worker may
have crashed for another reason before it carried the call out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import crash_counts
from damaskpin.coordinator import events
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import outcomes
from damaskpin.model import crash_limits
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import idle_limit
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.peer import orders

# Time after a start in which a crash is blamed on it, in seconds: that of the
# agent and the way of the order.
PROBATION_S = crash_limits.RECENT_START_S + 0.5

# Longest time in seconds for which the start of a work item is put off because
# workers crash by chance. The limits of its crashes hold beyond it.
MAX_SHELTER_WAIT_S = 12.0

# The same if its job has been idle for too long and only workers that were
# starting work have crashed. Other jobs, whose work crashes them, may go on to
# do so.
MAX_IDLE_SHELTER_WAIT_S = 2.0


def record_crash(
    now: float, wall: float, ledger: ledgers.RunLedger, crash: orders.Crash
) -> None:
    """Count a crash for the runs that the worker had; repeats are ignored.

    :param now: steady time in seconds.
    :param wall: Unix time in seconds.
    """
    ledger.crash_watch.record(now, crash)
    for run in crash.runs:
        job = ledger.jobs.get(run.item.job)
        if job is None or job.is_final():
            continue
        recent = run in crash.recent and _is_attributable(job, run, crash)
        begun = run in crash.begun
        counts = _record(job, run, recent, begun)
        if counts is None:
            continue
        ledger.changed = True
        ledger.counts['crashed' if begun else 'crashed unanswered'] += 1
        events.log_crash(run, crash.lifetime, recent, begun, counts)
        reason = counts.explain_limit()
        if reason:
            _give_up(wall, ledger, job, run, reason, counts)
        elif counts.explain_blame():
            ledger.crash_watch.schedule_review(now, run)


def review_crashes(now: float, wall: float, ledger: ledgers.RunLedger) -> None:
    """Give up the likely causes of crashes, unless chance explains these.

    :param now: steady time in seconds.
    :param wall: Unix time in seconds.
    """
    watch = ledger.crash_watch
    for run in watch.pop_due_reviews(now):
        ledger.changed = True
        job = ledger.jobs.get(run.item.job)
        if job is None or job.is_final():
            continue
        item = run.item
        if item.occurrence in job.progress.finished:
            continue
        progress = job.get_step_progress(item.occurrence, item.step)
        if item.index in progress.done:
            # A later run was under way when the crash was reported.
            continue
        counts = crash_counts.get_counts(
            progress, job.submission.steps[item.step], item.index
        )
        if watch.is_chance_likely(now, len(ledger.workers)):
            events.log_excuse(item, watch.count_signs(now), counts)
            continue
        _give_up(wall, ledger, job, run, counts.explain_blame(), counts)


def is_held_back(
    now: float,
    ledger: ledgers.RunLedger,
    unit: jobs.Unit,
    limit: idle_limit.IdleLimit,
) -> bool:
    """Return whether a unit must not start yet.

    It waits for the review of its crashes. If these may be due to chance, its
    further try waits until no workers crash by chance, so that another crash
    would be its own. Crashes at unanswered starts of the same job do not keep
    it waiting, as these may be its own.

    :param limit: limit on idle time.
    """
    progress = unit.get_progress()
    if not (
        progress.crashes or progress.member_crashes or progress.unanswered
    ):
        return False
    needs_shelter = False
    for index in unit.indexes:
        counts = crash_counts.get_counts(progress, unit.step, index)
        if not counts.needs_shelter():
            continue
        needs_shelter = True
        if ledger.crash_watch.has_review(unit.get_item(index)):
            return True
    waited = now - unit.ready_since
    if not needs_shelter or waited > MAX_SHELTER_WAIT_S:
        return False
    watch = ledger.crash_watch
    workers = len(ledger.workers)
    if not watch.is_chance_likely(now, workers, unit.job.id):
        return False
    if waited < MAX_IDLE_SHELTER_WAIT_S or not limit.is_exceeded(unit):
        return True
    return watch.are_idle_workers_crashing(now, workers)


def _is_attributable(
    job: jobs.Job, run: work.Run, crash: orders.Crash
) -> bool:
    """Return whether a crash counts as one that a recent run may have caused.

    It does so for a suspect only if no other unit had started on the worker
    lately, too. The first crash counts in any case, so that the work item is a
    suspect from then on.
    """
    item = run.item
    progress = outcomes.find_progress(job, run)
    if progress is None:
        return True
    step = job.submission.steps[item.step]
    counts = crash_counts.get_counts(progress, step, item.index)
    if not {*counts.recent, *counts.unanswered} - {run.number}:
        return True
    if not step.gang:
        return crash.recent == (run,)
    gang_run = run.get_gang_run()
    return all(other.get_gang_run() == gang_run for other in crash.recent)


def _record(
    job: jobs.Job, run: work.Run, recent: bool, begun: bool
) -> crash_counts.CrashCounts | None:
    """Record in the progress of a job that a worker crashed under a run.

    :returns: the crashes under the work item; ``None`` if this one was known,
        the work item is done or the job has no such item.
    """
    item = run.item
    steps = job.progress.occurrences.get(item.occurrence)
    if steps is None or item.step >= len(steps):
        return None
    progress = steps[item.step]
    step = job.submission.steps[item.step]
    counts = crash_counts.record(progress, step, run, recent, begun)
    if counts is not None:
        job.mark_changed()
    return counts


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
    ledger.stop_job(job, lost_work.Cause.JOB_FAILED, reason)


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
