"""Pauses of workers that refuse to start work.

An unhealthy worker refuses starts within milliseconds and has free capacity,
so that it attracts the work that finds no room elsewhere: each refused work
item would be placed there again at once. A worker that has refused a start
therefore gets none during a pause, which grows with each refusal in a row, and
then one unit (work item or gang) at a time until it has accepted a start.

A worker that refuses all starts thus gets at most three units in the first
second after its first refusal, beside those that were under way, and one in
each later second. A worker that accepts some starts has pauses of 0.1 s.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import worker_state
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)

# Reasons of refusals that tell that the worker is unhealthy, or for ``room``
# that it has less free capacity than the ledger assumes.
UNHEALTHY_REASONS = frozenset(('status 429', 'status 503', 'room'))

# Length of the first pause in seconds, and the factor between two pauses.
FIRST_PAUSE_S = 0.1
PAUSE_GROWTH = 2.0

# Length of the longest pause in seconds. Guaranteed work that only a recovered
# worker can run then still starts within the 3 s that installations require.
MAX_PAUSE_S = 1.6

# Time in seconds after the latest refusal during which guaranteed work is
# planned on other workers, if these can hold it.
GUARANTEED_AVOIDANCE_S = MAX_PAUSE_S


class StartPause:
    """Pause of one lifetime of a worker after refused starts.

    :ivar refusals: number of pauses since a start was last accepted.
    :ivar first_began: time at which the first of these pauses began.
    :ivar began: time at which the latest pause began, in seconds.
    :ivar length: length of the latest pause in seconds.
    """

    __slots__ = ('began', 'first_began', 'length', 'refusals')

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """End the pause, as the worker has accepted a start."""
        self.refusals = 0
        self.first_began = -math.inf
        self.began = -math.inf
        self.length = 0.0

    def extend(self, now: float) -> bool:
        """Begin a pause.

        :returns: whether it is longer than the pause before.
        """
        if not self.refusals:
            self.first_began = now
        former_length = self.length
        self.refusals += 1
        self.began = now
        self.length = min(
            max(former_length * PAUSE_GROWTH, FIRST_PAUSE_S), MAX_PAUSE_S
        )
        return self.length > former_length

    def is_active(self, now: float) -> bool:
        """Return whether the worker gets no starts now."""
        return now < self.began + self.length

    def is_unproven(self) -> bool:
        """Return whether no start was accepted since the latest refusal."""
        return self.refusals > 0

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until the worker may accept starts again.

        It is assumed to refuse for as long as it is known to have refused.
        """
        if not self.is_unproven():
            return 0.0
        pause_left = max(self.began + self.length - now, 0.0)
        return pause_left + self.began - self.first_began

    def is_avoided_by_guaranteed(self, now: float) -> bool:
        """Return whether guaranteed work is planned on other workers."""
        return now < self.began + GUARANTEED_AVOIDANCE_S


def may_take_unit(worker: worker_state.Worker) -> bool:
    """Return whether a worker may get another unit.

    A worker that has refused a start takes one unit at a time.
    """
    pause = worker.start_pause
    if not pause.is_unproven():
        return True
    for placed in worker.runs.values():
        if placed.confirmed or placed.stop_reason:
            continue
        if placed.placed_at > pause.began:
            return False
    return True


def list_for_guaranteed(
    now: float, workers: list[worker_state.Worker]
) -> list[worker_state.Worker]:
    """Return the workers on which guaranteed work is planned first."""
    return [
        worker
        for worker in workers
        if not worker.start_pause.is_avoided_by_guaranteed(now)
    ]


def apply_report(
    now: float,
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    report: orders.Report,
) -> None:
    """Begin or end the pause of a worker by the report of its agent.

    Has to be called before the reported runs are removed from the worker.
    """
    listed_runs = {row.run for row in report.running}
    listed_runs.update(row.run for row in report.ended)
    pause = worker.start_pause
    if pause.is_unproven():
        for run in listed_runs.union(report.accepted):
            placed = worker.runs.get(run)
            # Runs from before the refusal do not show that the worker accepts
            # starts again.
            if placed is not None and placed.placed_at > pause.began:
                _end_pause(now, worker)
                break
    for refused in report.refused:
        if refused.reason not in UNHEALTHY_REASONS:
            continue
        placed = worker.runs.get(refused.run)
        if placed is None or refused.run in listed_runs:
            continue
        ledger.counts['refused'] += 1
        if placed.placed_at <= pause.began:
            # The start was under way when the pause began.
            continue
        _begin_pause(now, worker, refused.reason)


def _begin_pause(now: float, worker: worker_state.Worker, reason: str) -> None:
    pause = worker.start_pause
    if not pause.extend(now):
        # Further pauses of the greatest length are not logged.
        return
    LOG.info(
        'worker refuses starts and is paused',
        extra={
            'worker': worker.lifetime.worker,
            'born': worker.lifetime.born,
            'reason': reason,
            'pause': pause.length,
            'refusals': pause.refusals,
        },
    )


def _end_pause(now: float, worker: worker_state.Worker) -> None:
    pause = worker.start_pause
    LOG.info(
        'worker accepts starts again',
        extra={
            'worker': worker.lifetime.worker,
            'born': worker.lifetime.born,
            'refusals': pause.refusals,
            'seconds': round(now - pause.first_began, 3),
        },
    )
    pause.reset()
