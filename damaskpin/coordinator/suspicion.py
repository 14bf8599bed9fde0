"""Limit on the number of workers that get no new work as suspects."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.coordinator import books as books_module
    from damaskpin.coordinator import worker_state

# Largest share of a service's workers that may be suspect. If runs fail or
# stall on more, the cause is probably not the workers, and other work would
# wait for no reason.
MAX_SUSPECT_SHARE = 0.34


def may_suspect(
    now: float, books: books_module.Books, worker: worker_state.Worker
) -> bool:
    """Return whether a worker is suspect or may become so.

    :param now: steady time in seconds.
    """
    if worker.suspect_until > now:
        return True
    if worker.profile is None:
        return False
    service = worker.profile.service
    workers = 0
    suspects = 0
    for other in books.workers.values():
        if other.profile is None or other.profile.service != service:
            continue
        workers += 1
        suspects += other.suspect_until > now
    return suspects < max(1, int(MAX_SUSPECT_SHARE * workers))


def review_failures(
    now: float, books: books_module.Books, worker: worker_state.Worker
) -> None:
    """Make a worker suspect if too many runs have failed on it.

    :param now: steady time in seconds.
    """
    if worker.has_failed_often() and may_suspect(now, books, worker):
        worker.mark_suspect(now)
