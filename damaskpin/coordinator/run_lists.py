"""Lists of runs that agents report, applied to the ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import ends
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import refusals
from damaskpin.coordinator import removals
from damaskpin.coordinator import restarts

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work
    from damaskpin.peer import orders


def apply_run_lists(
    now: float,
    wall: float,
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    report: orders.Report,
) -> None:
    """Apply what a report says about the runs of its worker.

    :param report: report whose lists were read for this coordinator.
    """
    refusals.apply_report(now, ledger, worker, report)
    listed_runs = {row.run for row in report.ended}
    for row in report.ended:
        if row.serial <= worker.last_end_serial:
            continue
        worker.last_end_serial = row.serial
        ends.record_end(now, wall, ledger, worker, row)
    for run in report.accepted:
        placed = worker.runs.get(run)
        if placed is not None:
            placed.confirmed = True
    running = {row.run for row in report.running}
    listed_runs |= running
    for row in report.running:
        placed = worker.runs.get(row.run)
        if placed is None:
            ledger.stop_unrecorded_run(worker, row.run)
            continue
        placed.update_from_list(row, now, report.silence)
    for refused in report.refused:
        listed_runs.add(refused.run)
        if refused.run in running:
            # The worker's list is the better witness.
            continue
        ledger.record_refusal(worker, refused)
    if not report.has_all_runs():
        # A run that is not listed may have ended. Its end follows once the
        # listed ones are acknowledged.
        return
    _judge_replaced_runs(worker, report, listed_runs)
    restarts.end_lease_extension(now, ledger, worker, report)
    for run, placed in list(worker.runs.items()):
        if placed.is_missing(now, run in listed_runs):
            # The missing run is stopped and not removed at once: the
            # worker's answer to the stop order confirms that it has ended.
            ledger.stop_run(
                worker,
                placed,
                lost_work.Cause.MISSING,
                'the run is not listed any more',
            )
    if worker.has_run_lists:
        return
    # The worker has accepted this coordinator's fencing token and refuses
    # starts that a former coordinator ordered, so a run that is not
    # listed does not exist.
    worker.has_run_lists = True
    ledger.changed = True
    for run, placed in list(worker.runs.items()):
        if run in listed_runs or placed.stop_reason == restarts.RESTART_REASON:
            continue
        ledger.remove_lost_run(worker, run, removals.Proof.NEVER_STARTED)


def _judge_replaced_runs(
    worker: worker_state.Worker,
    report: orders.Report,
    listed_runs: set[work.Run],
) -> None:
    """Judge which runs of a former process have certainly ended with it.

    The next process may have carried out a late start call of others.

    :param report: report with complete lists.
    """
    for run, placed in worker.runs.items():
        if placed.stop_reason != restarts.RESTART_REASON:
            continue
        placed.ended_with_process = (
            run not in listed_runs
            and run not in report.accepted
            and placed.is_start_decided(report)
        )
