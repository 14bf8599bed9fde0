"""Detection of stalled or slow runs, which are moved to other workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from damaskpin.coordinator import lost_work
from damaskpin.coordinator import moves
from damaskpin.coordinator import suspicion

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

# A run is stalled after this time without progress, in seconds, or after this
# share of its estimate if that is longer, because progress is reported in
# steps of a percent.
STALL_TIMEOUT_S = 2.0
STALL_TIMEOUT_SHARE = 0.08

# Stalled runs often continue after some seconds. A run is therefore stopped
# only when the stall has lasted for this share of the work that the stop would
# lose, or for this time in seconds.
STALL_LOSS_SHARE = 0.5
MAX_STALL_S = 8.0

# Additional seconds that a run may take before its first progress: members of
# a gang wait for each other, and a checkpoint is restored first.
START_ALLOWANCE_S = 4.0

# If a run on a worker has made progress within this time, in seconds, the
# worker is not blamed for another run that is stalled there: that run may be
# waiting for other members of its gang.
RECENT_PROGRESS_S = 1.5

# A run is moved when its remaining work would take this many times as long as
# a whole run at its best rate.
SLOW_FACTOR = 2.0

# Progress from which a slow run is no longer moved, in percent.
MAX_MOVE_PERCENT = 60.0

# Lowest rate at which a run counts as slow and not as stalled, in percent per
# second.
MIN_MEASURABLE_RATE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RunFault:
    """A stalled or slow run.

    :ivar reason: description for the log.
    :ivar must_stop: whether the run should be stopped now; otherwise it may
        still continue.
    """

    reason: str
    must_stop: bool


def stop_faulty_runs(now: float, ledger: ledgers.RunLedger) -> None:
    """Stop stalled and slow runs, and mark their workers suspect."""
    # Stopping one member of a gang stops all of them, so the faults of all
    # workers are collected before any run is stopped.
    faults_by_worker = [
        (worker, find_worker_faults(now, worker))
        for worker in ledger.workers.values()
    ]
    for worker, faults in faults_by_worker:
        if not faults or not suspicion.may_suspect(now, ledger, worker):
            continue
        is_suspect = worker.suspect_until > now
        is_worker_suspected = not has_recent_progress(now, worker)
        for placed, fault in faults:
            stop_run(ledger, worker, placed, fault, is_worker_suspected)
        if is_worker_suspected and not is_suspect:
            worker.mark_suspect(now)


def find_worker_faults(
    now: float, worker: worker_state.Worker
) -> list[tuple[placed_run.PlacedRun, RunFault]]:
    """Return the stalled and slow runs of a worker with their faults.

    Work that has been moved too often is probably the cause itself. It is left
    where it is, and tells nothing about the worker.
    """
    worker_faults = []
    if not worker.is_usable(now):
        return worker_faults
    for placed in worker.runs.values():
        fault = find_run_fault(now, placed)
        if fault is not None and moves.may_move(placed):
            worker_faults.append((placed, fault))
    return worker_faults


def stop_run(
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    placed: placed_run.PlacedRun,
    fault: RunFault,
    is_worker_suspected: bool,
) -> None:
    """Stop a faulty run, unless it may still continue.

    :param is_worker_suspected: whether the worker may be the cause, so that
        the work item avoids it.
    """
    if not fault.must_stop:
        return
    moves.count_move(placed)
    if is_worker_suspected:
        moves.avoid_worker(placed, worker)
    ledger.stop_run(worker, placed, lost_work.Cause.FAULTY, fault.reason)


def has_recent_progress(now: float, worker: worker_state.Worker) -> bool:
    """Return whether a run on a worker has made progress recently."""
    for placed in worker.runs.values():
        if placed.percent <= placed.first_percent:
            continue
        if now - placed.last_progress <= RECENT_PROGRESS_S:
            return True
    return False


def find_run_fault(
    now: float, placed: placed_run.PlacedRun
) -> RunFault | None:
    """Return the fault of a run that is slow or stalled, or ``None``."""
    if placed.stop_reason or not placed.first_listed or placed.step.lasting:
        return None
    estimate = placed.step.estimate
    if estimate <= 0 or placed.percent >= 99:
        return None
    # Only the time up to the worker's latest run list counts as a stall:
    # without lists, as during a restart of the agent, the progress is unknown.
    stalled = placed.last_listed - placed.last_progress
    limit = max(STALL_TIMEOUT_S, STALL_TIMEOUT_SHARE * estimate)
    if placed.percent <= placed.first_percent:
        limit += START_ALLOWANCE_S
    if stalled > limit:
        unsaved = placed.get_unsaved_seconds(now) - stalled
        stop_limit = max(limit, min(STALL_LOSS_SHARE * unsaved, MAX_STALL_S))
        reason = f'no progress for {stalled:.1f} s'
        return RunFault(reason, stalled > stop_limit)
    if placed.best_rate <= 0 or placed.percent >= MAX_MOVE_PERCENT:
        return None
    if placed.rate < MIN_MEASURABLE_RATE:
        # A run at such a low rate is stalled and not slow, so it is stopped
        # only when its stall lasts too long.
        return None
    # Estimates are often wrong and equal work items differ much, so a run is
    # compared only with its own best rate.
    full_time = 100.0 / placed.best_rate
    remaining = (100.0 - placed.percent) / placed.rate
    if remaining > SLOW_FACTOR * full_time + 1.0:
        reason = (
            f'rest would take {remaining:.1f} s, a new run {full_time:.1f} s'
        )
        return RunFault(reason, True)
    return None
