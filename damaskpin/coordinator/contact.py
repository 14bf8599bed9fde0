"""Contact of a worker with its agent, as the agent reports it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)


def record_contact(
    now: float,
    ledger: ledgers.RunLedger,
    fence: int,
    worker: worker_state.Worker,
    report: orders.Report,
) -> None:
    """Record for how long a worker has not answered its agent.

    :param now: steady time in seconds.
    :param fence: fencing token of the coordinator.
    """
    if bool(report.silence) != bool(worker.silence):
        _log_change(worker, report)
        ledger.changed = True
    worker.silence = report.silence
    if (
        report.silence
        and report.fence == fence
        and report.time > worker.granted_report_time
    ):
        # Only a report newer than the one whose answer last renewed the
        # agent's grant tells of the time for which runs are kept. An
        # agent that does not know this coordinator yet may have had a
        # later grant from the former one.
        ledger.run_ends.apply_silence(now, worker, report)


def _log_change(worker: worker_state.Worker, report: orders.Report) -> None:
    message = (
        'worker does not answer' if report.silence else 'worker answers again'
    )
    LOG.info(
        message,
        extra={
            'worker': worker.lifetime.worker,
            'silent': round(report.silence, 3),
            'runs': len(worker.runs),
        },
    )
