"""Workers that were restarted with the same id, and the runs they had.

A call that was sent to the former process of such a worker may reach its next
process, because the id is the same: a start, or a lease that is longer there.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import lost_work
from damaskpin.coordinator import removals

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)

# Time in seconds without a report after which an agent counts as lost, so that
# it will not confirm a stop. Reports may be late by some seconds.
LOST_AGENT_TIMEOUT_S = 5.0

# Stop reason of the runs on a worker that was restarted with the same id.
RESTART_REASON = 'the worker was restarted'


def transfer_runs(
    now: float,
    ledger: ledgers.RunLedger,
    former: worker_state.Worker,
    lifetime: work.Lifetime,
) -> None:
    """Transfer the runs of a restarted worker to its new lifetime.

    A start call that was sent to the worker's former process may reach its new
    process, even later, because the worker has kept its id. Each run is
    therefore stopped on the new process before it is removed, unless its agent
    is lost.

    :param now: steady time in seconds.
    :param former: worker with its former lifetime.
    :param lifetime: new lifetime of the worker.
    """
    del ledger.workers[former.lifetime]
    worker = ledger.workers.get(lifetime)
    if worker is None:
        worker = ledger.add_worker(now, lifetime, former.agent)
    LOG.info(
        'worker restarted with the same id',
        extra={'worker': lifetime.worker, 'runs': len(former.runs)},
    )
    for placed in former.runs.values():
        placed.stop_reason = RESTART_REASON
        placed.stop_cause = lost_work.Cause.WORKER_RESTARTED
        worker.add_run(placed)
    worker.orders_due = True
    worker.has_former_process = True
    ledger.run_ends.extend_restarted(now, worker)


def end_lease_extension(
    now: float,
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    report: orders.Report,
) -> None:
    """End the extension of a lease that no late call can set any more.

    A late call has set it before the worker gave the reported lists.

    :param now: steady time in seconds.
    """
    if not worker.lease_extension or not report.former_calls_void:
        return
    if worker.silence:
        # The end that the agent reports must not be put off.
        return
    for placed in worker.runs.values():
        is_transferred = placed.stop_reason == RESTART_REASON
        if is_transferred and not placed.ended_with_process:
            return
    ledger.run_ends.shorten_extension(now, worker)


def remove_replaced_runs(now: float, ledger: ledgers.RunLedger) -> None:
    """Remove the runs that have ended with a process of a lost worker.

    Unless the agent is lost, they are stopped like the others.

    :param now: steady time in seconds.
    """
    for worker in ledger.workers.values():
        if now - worker.last_report_time <= LOST_AGENT_TIMEOUT_S:
            continue
        for run, placed in list(worker.runs.items()):
            if placed.ended_with_process:
                ledger.remove_lost_run(
                    worker, run, removals.Proof.PROCESS_REPLACED
                )
