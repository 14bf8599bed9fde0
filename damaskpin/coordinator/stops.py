"""Orders to stop runs, which stay in the books until they have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.coordinator import events

if TYPE_CHECKING:
    from damaskpin.coordinator import books as books_module
    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import lost_work
    from damaskpin.coordinator import placed_run
    from damaskpin.coordinator import worker_state


def stop_run(
    books: books_module.Books,
    worker: worker_state.Worker,
    placed: placed_run.PlacedRun,
    cause: lost_work.Cause,
    reason: str,
) -> None:
    """Order a run and the other members of its gang to stop.

    :param cause: cause under which the lost work is booked.
    :param reason: description for the log.
    """
    if placed.stop_reason:
        return
    books.counts['ordered to stop'] += 1
    placed.stop_reason = reason
    placed.stop_cause = cause
    worker.orders_due = True
    events.log_run('run ordered to stop', placed.run, worker, reason)
    if placed.step.gang:
        stop_gang(books, placed, cause, reason)


def stop_job(
    books: books_module.Books,
    job: jobs.Job,
    cause: lost_work.Cause,
    reason: str,
) -> None:
    """Order all runs of a job to stop."""
    for worker in books.workers.values():
        for placed in list(worker.runs.values()):
            if placed.job is job:
                stop_run(books, worker, placed, cause, reason)


def stop_gang(
    books: books_module.Books,
    member: placed_run.PlacedRun,
    cause: lost_work.Cause,
    reason: str,
) -> None:
    """Order the other members of a gang to stop.

    :param member: run of the gang that has ended or is to be stopped.
    """
    for worker in books.workers.values():
        for placed in list(worker.runs.values()):
            if placed.is_in_same_gang_run(member):
                stop_run(books, worker, placed, cause, reason)
