"""Moves of work items to other workers than those that ran them badly."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state

# Largest number of moves of a work item. An item that is slow on more workers
# is probably slow because of its own work.
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


def count_move(placed: placed_run.PlacedRun) -> bool:
    """Count a move of a work item whose run is stalled or slow.

    :returns: whether the number of moves is within its limit.
    """
    item = placed.run.item
    moves = placed.job.move_counts.get(item, 0) + 1
    placed.job.move_counts[item] = moves
    return moves <= MAX_MOVES
