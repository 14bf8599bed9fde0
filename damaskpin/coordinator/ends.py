"""Ends of runs that workers list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import events
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import moves
from damaskpin.coordinator import outcomes
from damaskpin.coordinator import placed_run
from damaskpin.coordinator import removals
from damaskpin.coordinator import suspicion
from damaskpin.coordinator import worker_state
from damaskpin.model import work

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers


def record_end(
    now: float,
    wall: float,
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    ended: work.EndedRun,
) -> None:
    """Record the end of a run that a worker has listed.

    The end is acknowledged once the progress of its job is stored.

    :param wall: Unix time in seconds.
    :param ended: entry of the run in the worker's list of ended runs.
    """
    known = removals.remove_ended_run(worker, ended.run)
    placed = known or _restore_removed_run(ledger, ended.run)
    if placed is None:
        _log_unrecorded_end(ledger, worker, ended, True, False)
        worker.pending_ends.append(
            worker_state.PendingEnd(ended.serial, None, 0)
        )
        return
    if known is not None:
        known.record_work(now)
    job = placed.job
    was_final = job.is_final()
    was_done = job.is_done(ended.run.item)
    counts = outcomes.apply_end(
        job, ended.run, ended.ending, ended.checkpoint, wall
    )
    job.unrecorded.discard(ended.run)
    worker.pending_ends.append(
        worker_state.PendingEnd(ended.serial, job, job.progress.version)
    )
    if known is None or not counts:
        _log_unrecorded_end(ledger, worker, ended, was_done, counts)
    if known is None and not counts:
        return
    ledger.changed = True
    worker.orders_due = True
    ledger.counts[str(ended.ending)] += 1
    cause = lost_work.find_cause(placed, ended.ending)
    # The removal of a run has booked its work under the cause known then.
    lost = ledger.lost_work.record(cause, placed, now) if known else {}
    events.log_run(
        'run ended',
        ended.run,
        worker,
        str(ended.ending),
        proof=str(removals.Proof.END_LISTED),
        state=str(job.progress.state),
        seconds=round(now - placed.placed_at, 3)
        if placed.placed_at >= 0
        else None,
        failures=outcomes.count_failures(job, ended.run),
        attempts=job.submission.terms.attempts,
        **lost,
    )
    match ended.ending:
        case work.Ending.DONE:
            worker.record_success(now, placed.placed_at)
            _stop_other_runs(ledger, placed)
        case work.Ending.FAILED:
            worker.record_failure(placed)
            suspicion.review_failures(now, ledger, worker)
            moves.avoid_worker(placed, worker)
    if job.is_final() and not was_final:
        events.log_job_end(job)
    if job.progress.state is work.JobState.COMPLETED:
        # The other members of the gang end without a stop order.
        return
    if job.is_final():
        ledger.stop_job(
            job, lost_work.Cause.JOB_FAILED, f'job {job.progress.state}'
        )
    elif (
        placed.step.gang
        and cause is not None
        and ended.ending is not work.Ending.DONE
    ):
        ledger.stop_gang(placed, cause, f'a gang member {ended.ending}')


def _restore_removed_run(
    ledger: ledgers.RunLedger, run: work.Run
) -> placed_run.PlacedRun | None:
    """Return a run that is not in the books any more, or never was.

    :returns: ``None`` if no job can have had it.
    """
    job = ledger.jobs.get(run.item.job)
    if job is None or run.item.step >= len(job.submission.steps):
        return None
    step = job.submission.steps[run.item.step]
    reserved = step.get_reservation()
    return placed_run.PlacedRun(run, job, step, reserved, 0, True, -1.0)


def _stop_other_runs(
    ledger: ledgers.RunLedger, placed: placed_run.PlacedRun
) -> None:
    """Stop later runs of a work item or gang whose earlier run ended well."""
    if not placed.job.is_done(placed.run.item):
        return
    for run, active in outcomes.list_other_runs(placed.job, placed.run):
        worker = ledger.workers.get(active.lifetime)
        other = None if worker is None else worker.runs.get(run)
        if worker is not None and other is not None:
            ledger.stop_run(
                worker,
                other,
                lost_work.Cause.REPEATED,
                'an earlier run has ended well',
            )


def _log_unrecorded_end(
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    ended: work.EndedRun,
    was_done: bool,
    counts: bool,
) -> None:
    """Log the end of a run that no job has recorded as active.

    A former coordinator may have recorded the end.

    :param was_done: whether the work item had ended before.
    :param counts: whether the end counts nevertheless.
    """
    if not was_done:
        ledger.counts[f'unrecorded {ended.ending}'] += 1
    events.log_run(
        'end of an unrecorded run',
        ended.run,
        worker,
        str(ended.ending),
        item_done=was_done,
        counted=counts,
    )
