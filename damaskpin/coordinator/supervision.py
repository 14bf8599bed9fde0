"""Finds runs that stand still or crawl, and has them moved."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import book as books
    from damaskpin.coordinator import fleet

# A run without progress for this time stands still, in seconds, or for this
# share of its estimate if that is longer: progress is listed in percent.
STILL_S = 2.0
STILL_SHARE = 0.08

# Work often goes on where it stood still for some seconds, so a run is stopped
# only after this share of the work that the stop would lose, and after this
# time in seconds at the latest.
LOSS_SHARE = 0.5
MAX_STILL_S = 8.0

# Time that a run may take to begin: members of a gang wait for each other,
# and a checkpoint is restored first.
BEGIN_S = 4.0

# A worker on which a run has moved within this time, in seconds, is not the
# cause if another one stands still there: the rest of a gang may be.
MOVED_S = 1.5

# A run is moved when its rest takes this many times as long as a fresh run.
SLOW_FACTOR = 2.0

# Share of its progress beyond which a run is not moved, in percent.
MOVE_PERCENT = 60.0

# Rate of a run that moves at all, in percent a second.
MIN_RATE = 0.2

# Work may stop on all workers for another cause; then moving it is in vain.
MAX_SUSPECT_SHARE = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a run.

    :ivar is_final: whether it is better stopped than waited for.
    """

    reason: str
    is_final: bool


def stop_stuck(now: float, book: books.Book) -> None:
    """Have the runs stopped that go better elsewhere."""
    workers = list(book.workers.values())
    suspects = sum(1 for w in workers if w.suspect_until > now)
    allowed = max(1, int(MAX_SUSPECT_SHARE * len(workers)))
    # Stopping one member of a gang ends all, so faults are found first.
    found = [(worker, find_faults(now, worker)) for worker in workers]
    for worker, faults in found:
        is_suspect = worker.suspect_until > now
        if not faults or (not is_suspect and suspects >= allowed):
            continue
        is_cause = not has_moved(now, worker)
        for placed, fault in faults:
            stop_run(book, worker, placed, fault, is_cause)
        if is_cause and not is_suspect:
            worker.suspect(now)
            suspects += 1


def find_faults(
    now: float, worker: fleet.Worker
) -> list[tuple[fleet.PlacedRun, Fault]]:
    """Return the runs of a worker that stand still or crawl."""
    found = []
    if not worker.is_usable(now):
        return found
    for placed in worker.runs.values():
        fault = find_fault(now, placed)
        if fault is not None:
            found.append((placed, fault))
    return found


def stop_run(
    book: books.Book,
    worker: fleet.Worker,
    placed: fleet.PlacedRun,
    fault: Fault,
    is_cause: bool,
) -> None:
    """Stop a run that is better off elsewhere.

    :param is_cause: whether its worker may be the cause.
    """
    if not fault.is_final or not book.note_moved(placed):
        return
    if is_cause:
        book.avoid(placed, worker)
    book.stop_run(worker, placed, fault.reason)


def has_moved(now: float, worker: fleet.Worker) -> bool:
    """Return whether some run on a worker has made progress lately."""
    for placed in worker.runs.values():
        if placed.percent <= placed.first_percent:
            continue
        if now - placed.moved <= MOVED_S:
            return True
    return False


def find_fault(now: float, placed: fleet.PlacedRun) -> Fault | None:
    """Return what is wrong with a run, if anything is."""
    if placed.stop_reason or not placed.began or placed.step.lasting:
        return None
    estimate = placed.step.estimate
    if estimate <= 0 or placed.percent >= 99:
        return None
    # Time without lists, as while an agent restarts, says nothing.
    still = placed.seen - placed.moved
    limit = max(STILL_S, STILL_SHARE * estimate)
    if placed.percent <= placed.first_percent:
        limit += BEGIN_S
    if still > limit:
        lost = placed.get_unsaved(now) - still
        patience = max(limit, min(LOSS_SHARE * lost, MAX_STILL_S))
        reason = f'no progress for {still:.1f} s'
        return Fault(reason, still > patience)
    if placed.best_rate <= 0 or placed.percent >= MOVE_PERCENT:
        return None
    if placed.rate < MIN_RATE:
        # It stands still, which is judged by its time above.
        return None
    # Estimates are far off and equal work items differ much, so a run is
    # compared with its own best time only.
    fresh = 100.0 / placed.best_rate
    remaining = (100.0 - placed.percent) / placed.rate
    if remaining > SLOW_FACTOR * fresh + 1.0:
        reason = f'the rest would take {remaining:.1f} s, not {fresh:.1f} s'
        return Fault(reason, True)
    return None
