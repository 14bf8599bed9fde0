"""Reports of an agent on its worker to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import leases
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.agent import session as sessions
    from damaskpin.agent import worker_process
    from damaskpin.model import work

# Seconds after which a report to the coordinator is due even if there is no
# urgent change. While the agent can't reach its worker, the arrival of orders
# does not cause more reports.
REPORT_INTERVAL_S = 0.5


def is_report_due(
    now: float,
    session: sessions.Session,
    worker: worker_process.WorkerProcess,
) -> bool:
    """Return whether a report to the coordinator is due."""
    is_urgent = session.report_requested or worker.attempts.report_needed
    return is_urgent or now - session.last_report_time >= REPORT_INTERVAL_S


def make_report(
    now: float,
    session: sessions.Session,
    worker: worker_process.WorkerProcess,
) -> orders.Report:
    """Return a report on the worker for the coordinator."""
    sequence = session.record_report(now)
    silence, lapse = worker.lease_tracker.report_silence(now)
    if silence:
        # The coordinator adds the time of a suspension to what is reported;
        # the longest delay of a call contains it.
        undecided = worker.attempts.get_undecided_time(now)
        if undecided > 0:
            lapse = max(lapse, undecided - leases.MAX_SUSPENSION_S)
    worker.attempts.report_needed = False
    running: tuple[work.RunningRun, ...] = ()
    ended: tuple[work.EndedRun, ...] = ()
    lists_fence = 0
    lists_complete = True
    lists = worker.run_lists
    if lists.latest is not None and lists.fence == session.fence:
        lists_fence = lists.fence
        running = lists.latest.running
        ended = lists.list_unrecorded_ends()
        lists_complete = lists.latest.complete
    listed = {row.run for row in running} | {row.run for row in ended}
    return orders.Report(
        session.instance,
        now,
        sequence,
        worker.profile,
        worker.departure.left,
        session.fence,
        lists_fence,
        running,
        ended,
        worker.attempts.list_accepted(listed),
        worker.attempts.list_refused(),
        silence,
        lapse,
        worker.crash_log.list_reported(now),
        session.process,
        lists_complete,
        True,
        worker.undecided_starts.list_undecided(now),
        worker.undecided_starts.knows_all_calls(now),
        worker.undecided_starts.list_decided(now),
        lists_fence != 0 and lists.former_calls_void,
    )
