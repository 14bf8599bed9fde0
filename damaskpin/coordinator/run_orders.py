"""Orders to start and stop runs."""

from __future__ import annotations

import dataclasses
import itertools
import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import start_window
from damaskpin.peer import orders

if TYPE_CHECKING:
    from damaskpin.coordinator import ledger as ledgers
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class RunOrders:
    """What a message of orders says about the runs of a worker.

    :ivar contents: input texts of the starts by the id of their job; empty if
        each start has its own.
    """

    starts: tuple[orders.StartOrder, ...]
    stops: tuple[work.Run, ...]
    contents: dict[str, str]


def list_run_orders(
    ledger: ledgers.RunLedger, worker: worker_state.Worker, process: str
) -> RunOrders:
    """Return the starts and the stops to order on a worker now.

    A start is ordered only once the progress that records it is stored, and
    only if the message has room for it. The agent takes a start that a later
    message lacks as withdrawn, so each start stays in all messages until the
    worker has accepted or listed its run.

    :param process: process of the agent to which the orders go.
    """
    stops: list[work.Run] = []
    ordered: list[placed_run.PlacedRun] = []
    urgent: list[placed_run.PlacedRun] = []
    waiting: list[placed_run.PlacedRun] = []
    for placed in worker.runs.values():
        if placed.stop_reason:
            stops.append(placed.run)
            continue
        if placed.confirmed or placed.placed_at < 0:
            continue
        if placed.version > placed.job.stored_version:
            continue
        if placed.ordered_to is not None:
            ordered.append(placed)
        elif placed.is_urgent():
            urgent.append(placed)
        else:
            waiting.append(placed)
    window = start_window.StartWindow(worker.reads_contents)
    for placed in ordered:
        window.add(make_start(ledger, worker, placed, process))
    held_back = len(urgent) + len(waiting)
    for placed in itertools.chain(urgent, waiting):
        start = make_start(ledger, worker, placed, process)
        if not window.has_room(start):
            break
        placed.ordered_to = process
        window.add(start)
        held_back -= 1
    _record_held_back(worker, held_back)
    return RunOrders(tuple(window.starts), tuple(stops), window.contents)


def make_start(
    ledger: ledgers.RunLedger,
    worker: worker_state.Worker,
    placed: placed_run.PlacedRun,
    process: str,
) -> orders.StartOrder:
    """Return the start order for a placed run.

    :param process: process of the agent to which the order goes.
    """
    key = advice.make_step_key_of_run(placed.run)
    ticket = ledger.tickets.get(placed.placed_at, key, worker.lifetime)
    item = placed.run.item
    slot = placed.step.get_slot(item.index)
    progress = placed.job.get_step_progress(item.occurrence, item.step)
    return orders.StartOrder(
        placed.run,
        placed.job.submission.content,
        progress.checkpoints.get(slot, ''),
        ticket,
        placed.ordered_to not in (None, process),
    )


def _record_held_back(worker: worker_state.Worker, held_back: int) -> None:
    """Record how many starts wait for room in the orders; log changes."""
    if bool(held_back) != bool(worker.held_back_starts):
        LOG.info(
            'starts wait for room in the orders'
            if held_back
            else 'all starts are ordered',
            extra={
                'worker': worker.lifetime.worker,
                'waiting': held_back,
                'runs': len(worker.runs),
            },
        )
    worker.held_back_starts = held_back
