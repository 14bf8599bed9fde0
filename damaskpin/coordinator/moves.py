"""Moves of work items to other workers than those that ran them badly."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

# Largest number of moves of a unit. One that is slow on more workers is
# probably slow because of its own work.
MAX_MOVES = 2


def avoid_worker(
    placed: placed_run.PlacedRun, worker: worker_state.Worker
) -> None:
    """Prefer other workers for the next run of the same work item."""
    item = placed.run.item
    slot = placed.step.get_slot(item.index)
    key = (item.occurrence, item.step, slot)
    avoided = placed.job.avoided_workers.setdefault(key, set())
    avoided.add(worker.lifetime.worker)


def may_move(placed: placed_run.PlacedRun) -> bool:
    """Return whether the unit of a run has not been moved too often."""
    return len(_get_moved_runs(placed)) < MAX_MOVES


def count_move(placed: placed_run.PlacedRun) -> None:
    """Count a move of the unit whose run is stalled or slow.

    A gang is moved as a whole, so that its run counts once, whichever members
    are stalled.
    """
    _get_moved_runs(placed).add(placed.run.number)


def _get_moved_runs(placed: placed_run.PlacedRun) -> set[int]:
    item = placed.run.item
    key = (item.occurrence, item.step, placed.step.get_slot(item.index))
    return placed.job.moved_runs.setdefault(key, set())
