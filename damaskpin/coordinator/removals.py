"""All ways in which a run leaves the books, and what proves that it is gone.

A run that was removed too early would be started a second time beside the
first, so each removal names its proof. The runs of a worker that was restarted
with the same id are moved to its new lifetime, and are removed there, and an
order to stop a run removes nothing.
"""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING

from damaskpin.coordinator import advice
from damaskpin.coordinator import events
from damaskpin.coordinator import lost_work
from damaskpin.coordinator import moves
from damaskpin.coordinator import outcomes
from damaskpin.coordinator import stops

if TYPE_CHECKING:
    from damaskpin.coordinator import books as books_module
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state
    from damaskpin.model import work
    from damaskpin.peer import orders

LOG = logging.getLogger(__name__)

# Reason with which a worker refuses a start order with an expired ticket.
TICKET_REFUSAL = 'ticket'


class Proof(enum.StrEnum):
    """Proof that a run does not exist, as log lines tell it.

    - ``END_LISTED``: the worker lists the run as ended.
    - ``REFUSED``: the agent reports that the run does not run and never will.
    - ``NEVER_STARTED``: the first complete lists that the worker gave this
      coordinator lack the run, and starts that a former coordinator ordered
      are refused since.
    - ``PROCESS_REPLACED``: the process of the worker has ended, complete lists
      of the next process lack the run, and no start call for it may still be
      carried out.
    - ``WORKER_LEFT``: the agent reports that the worker has given notice and
      ended.
    - ``OTHER_WORKER``: the agent has read lists of a worker with another id
      for this coordinator. That one refuses calls to the former id.
    - ``LEASE_ENDED``: the lease of the worker has certainly ended, and its
      runs with it.
    """

    END_LISTED = 'the worker has listed the end'
    REFUSED = 'refused'
    NEVER_STARTED = 'the run was never started'
    PROCESS_REPLACED = 'the process of the worker was replaced'
    WORKER_LEFT = 'the worker has left'
    OTHER_WORKER = 'the agent has a new worker'
    LEASE_ENDED = 'the lease of the silent worker has ended'


def remove_ended_run(
    worker: worker_state.Worker, run: work.Run
) -> placed_run.PlacedRun | None:
    """Remove a run whose end a worker has listed (``Proof.END_LISTED``).

    :returns: ``None`` if the worker does not have the run by the books.
    """
    return worker.remove_run(run)


def record_refusal(
    books: books_module.Books,
    worker: worker_state.Worker,
    refused: orders.RefusedRun,
) -> None:
    """Record that a worker refused to start a run, and remove the run."""
    placed = worker.runs.get(refused.run)
    if placed is None:
        return
    if refused.reason == TICKET_REFUSAL:
        key = advice.make_step_key_of_run(refused.run)
        books.tickets.drop_ticket(key, worker.lifetime)
    elif not placed.stop_reason:
        moves.avoid_worker(placed, worker)
    remove_lost_run(books, worker, refused.run, Proof.REFUSED, refused.reason)


def remove_worker(
    books: books_module.Books,
    now: float,
    lifetime: work.Lifetime,
    proof: Proof,
) -> None:
    """Remove a worker and all its runs."""
    worker = books.workers.pop(lifetime, None)
    if worker is None:
        return
    LOG.info(
        'worker lost',
        extra={
            'worker': lifetime.worker,
            'reason': str(proof),
            'heard_ago': round(now - worker.last_report_time, 3)
            if worker.last_report_time
            else None,
            'evidence': str(worker.run_end_evidence),
            'runs': len(worker.runs),
        },
    )
    for run in list(worker.runs):
        remove_lost_run(books, worker, run, proof)


def remove_lost_run(
    books: books_module.Books,
    worker: worker_state.Worker,
    run: work.Run,
    proof: Proof,
    detail: str | None = None,
) -> None:
    """Remove a run that does not exist and whose end no list has shown.

    :param detail: reason of a refusal; ``None`` for other proofs.
    """
    placed = worker.remove_run(run)
    if placed is None:
        return
    reason = str(proof) if detail is None else f'{proof}: {detail}'
    books.changed = True
    books.counts['lost'] += 1
    job = placed.job
    if placed.checkpoint and not job.is_final():
        step = job.get_step_progress(run.item.occurrence, run.item.step)
        slot = placed.step.get_slot(run.item.index)
        step.checkpoints[slot] = placed.checkpoint
    outcomes.record_removal(job, run)
    job.unrecorded.discard(run)
    cause = _find_cause(placed, proof)
    # Nothing is known of the run after its worker last listed it.
    more: dict[str, object] = dict(
        books.lost_work.record(cause, placed, placed.last_listed)
    )
    if proof is Proof.LEASE_ENDED:
        more['evidence'] = str(worker.run_end_evidence)
    events.log_run(
        'run removed', run, worker, reason, proof=str(proof), **more
    )
    if placed.step.gang:
        stops.stop_gang(books, placed, cause, reason)


def _find_cause(placed: placed_run.PlacedRun, proof: Proof) -> lost_work.Cause:
    """Return the cause under which the work of a removed run is booked."""
    if placed.stop_cause is not None:
        return placed.stop_cause
    if proof in (Proof.REFUSED, Proof.NEVER_STARTED):
        return lost_work.Cause.NOT_STARTED
    return lost_work.Cause.WORKER_LOST
