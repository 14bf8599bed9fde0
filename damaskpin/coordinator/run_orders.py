"""Orders to start and stop runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work


def list_run_orders(
    ledger: ledgers.RunLedger, worker: worker_state.Worker, process: str
) -> tuple[tuple[orders.StartOrder, ...], tuple[work.Run, ...]]:
    """Return the starts and the stops to order on a worker now.

    A start is ordered again until the worker has accepted or listed its run,
    and only once the progress that records it is stored.

    :param process: process of the agent to which the orders go.
    """
    starts: list[orders.StartOrder] = []
    stops: list[work.Run] = []
    for placed in worker.runs.values():
        if placed.stop_reason:
            stops.append(placed.run)
            continue
        if placed.confirmed or placed.placed_at < 0:
            continue
        if placed.version > placed.job.stored_version:
            continue
        key = advice.make_step_key_of_run(placed.run)
        ticket = ledger.tickets.get(placed.placed_at, key, worker.lifetime)
        if placed.ordered_to is None:
            placed.ordered_to = process
        starts.append(make_start(placed, ticket, process))
    return tuple(starts), tuple(stops)


def make_start(
    placed: placed_run.PlacedRun, ticket: str, process: str
) -> orders.StartOrder:
    """Return the start order for a placed run.

    :param ticket: permission from the advisor; empty if none is needed.
    :param process: process of the agent to which the order goes.
    """
    item = placed.run.item
    slot = placed.step.get_slot(item.index)
    progress = placed.job.get_step_progress(item.occurrence, item.step)
    return orders.StartOrder(
        placed.run,
        placed.job.submission.content,
        progress.checkpoints.get(slot, ''),
        ticket,
        placed.ordered_to != process,
    )
