"""Finds runs that stand still or crawl, and has them moved."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import book as books
    from damaskpin.coordinator import fleet

# A run without progress for this time stands still, in seconds, or for this
# share of its estimate if that is longer: progress is listed in percent.
STILL_S = 2.0
STILL_SHARE = 0.08

# Time that a run may take to begin: members of a gang wait for each other,
# and a checkpoint is restored first.
BEGIN_S = 4.0

# A run is moved when its rest takes this many times as long as a fresh run.
SLOW_FACTOR = 2.0

# Share of its progress beyond which a run is not moved, in percent.
MOVE_PERCENT = 60.0

# Rate of a run that hardly moves, in percent a second.
MIN_RATE = 0.2

# Work may stop on all workers for another cause; then moving it is in vain.
MAX_SUSPECT_SHARE = 0.34


def stop_stuck(now: float, book: books.Book) -> None:
    """Have the runs stopped that go better elsewhere."""
    workers = list(book.workers.values())
    suspects = sum(1 for w in workers if w.suspect_until > now)
    allowed = max(1, int(MAX_SUSPECT_SHARE * len(workers)))
    for worker in workers:
        if not worker.is_usable(now):
            continue
        is_suspect = worker.suspect_until > now
        if not is_suspect and suspects >= allowed:
            continue
        reason = ''
        for placed in list(worker.runs.values()):
            found = find_fault(now, placed)
            if not found:
                continue
            reason = found
            if not book.note_moved(placed):
                continue
            book.avoid(placed, worker)
            book.stop_run(worker, placed, found)
        if reason and not is_suspect:
            worker.suspect(now)
            suspects += 1


def find_fault(now: float, placed: fleet.PlacedRun) -> str:
    """Return why a run should be moved; empty if it should not."""
    if placed.stop_reason or not placed.began or placed.step.lasting:
        return ''
    estimate = placed.step.estimate
    if estimate <= 0 or placed.percent >= 99:
        return ''
    still = now - placed.moved
    limit = max(STILL_S, STILL_SHARE * estimate)
    if placed.percent <= placed.first_percent:
        limit += BEGIN_S
    if still > limit:
        return f'no progress for {still:.1f} s'
    if placed.best_rate <= 0 or placed.percent >= MOVE_PERCENT:
        return ''
    # Estimates are far off and equal work items differ much, so a run is
    # compared with its own best time only.
    fresh = 100.0 / placed.best_rate
    remaining = (100.0 - placed.percent) / max(placed.rate, MIN_RATE)
    if remaining > SLOW_FACTOR * fresh + 1.0:
        return f'the rest would take {remaining:.1f} s, not {fresh:.1f} s'
    return ''
