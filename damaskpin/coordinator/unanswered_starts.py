"""Starts that a worker neither accepts nor refuses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import lost_work
from damaskpin.coordinator import moves

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers

# Time in seconds after which an ordered start is given up if its worker, which
# answers other calls, has neither accepted nor refused it. It is as long as
# for an accepted run that the worker does not list any more.
MAX_ANSWER_S = 5.0

# Number of start calls that an agent makes at once, in the order of the
# starts. Later starts wait until an earlier one has its answer.
MAX_STARTS_UNDER_WAY = 8

REASON = 'the start has no answer'


def stop_unanswered_starts(now: float, ledger: ledgers.RunLedger) -> None:
    """Order runs to stop whose starts have had no answer for too long.

    The worker may carry out such a start at any time. A run is therefore
    stopped, and placed elsewhere once the worker has confirmed that.
    """
    for worker in list(ledger.workers.values()):
        is_usable = worker.is_usable(now)
        unanswered = 0
        for placed in list(worker.runs.values()):
            if placed.confirmed or placed.stop_reason:
                continue
            if not is_usable or placed.ordered_to is None:
                placed.unanswered_since = 0.0
                continue
            is_moving_up = unanswered < placed.unanswered_before
            placed.unanswered_before = unanswered
            if not placed.unanswered_since or (
                is_moving_up and unanswered >= MAX_STARTS_UNDER_WAY
            ):
                placed.unanswered_since = now
            unanswered += 1
            if now - placed.unanswered_since <= MAX_ANSWER_S:
                continue
            moves.avoid_worker(placed, worker)
            ledger.stop_run(
                worker, placed, lost_work.Cause.NOT_STARTED, REASON
            )
