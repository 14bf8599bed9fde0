"""Chooses which borrowers are stopped when other jobs need accelerators.

A borrower is a job that runs on accelerators without a guaranteed shape.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import queue as queues

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.scheduler import allocations

# Time that a job has to write a checkpoint before it is stopped.
CHECKPOINT_GRACE_SECONDS = 2.0


def count_deficits(
    allocation: allocations.Allocation, entries: dict[str, queues.JobEntry]
) -> allocations.Allocation:
    """Count the accelerators that must be reclaimed on each worker.

    Accelerators of jobs that are stopping or have lost a worker are not
    counted, because those jobs are about to end.

    :param allocation: accelerators needed of each worker; they must not be
        held yet.
    """
    deficits: allocations.Allocation = {}
    for node, count in allocation.items():
        missing = count + node.held - node.unused
        if missing <= 0:
            continue
        for job_id in node.slots:
            if job_id is not None and is_ending(entries[job_id]):
                missing -= 1
        if missing > 0:
            deficits[node] = missing
    return deficits


def is_ending(entry: queues.JobEntry) -> bool:
    """Return whether a placed job is about to free its accelerators."""
    return entry.worker_failed or entry.state is queues.State.STOPPING


def choose_victims(
    now: float,
    deficits: allocations.Allocation,
    entries: dict[str, queues.JobEntry],
    may_stop: Callable[[queues.JobEntry], bool],
) -> list[queues.JobEntry] | None:
    """Choose jobs to stop that free enough accelerators on each worker.

    The choice is greedy: the job that frees the most goes first, then the
    one that is the cheapest to stop.

    :param deficits: accelerators to free on each worker.
    :param may_stop: returns whether a job may be stopped.
    :returns: the jobs; ``None`` if all of them free too few accelerators.
    """
    remaining = dict(deficits)
    used_by_job: dict[str, allocations.Allocation] = {}
    for node in remaining:
        for job_id in node.slots:
            if job_id is None:
                continue
            entry = entries[job_id]
            if is_ending(entry) or not may_stop(entry):
                continue
            used = used_by_job.setdefault(job_id, {})
            used[node] = used.get(node, 0) + 1
    chosen: list[queues.JobEntry] = []
    while remaining:
        best = None
        for job_id, used in used_by_job.items():
            covered = sum(min(remaining.get(n, 0), c) for n, c in used.items())
            if not covered:
                continue
            key = (-covered, *get_stop_cost(now, entries[job_id]))
            if best is None or key < best[0]:
                best = (key, job_id)
        if best is None:
            return None
        used = used_by_job.pop(best[1])
        chosen.append(entries[best[1]])
        for node, count in used.items():
            if node not in remaining:
                continue
            remaining[node] -= count
            if remaining[node] <= 0:
                del remaining[node]
    return _remove_unneeded(now, deficits, chosen)


def choose_victims_by_count(
    now: float, missing: int, candidates: list[tuple[queues.JobEntry, int]]
) -> list[queues.JobEntry] | None:
    """Choose jobs to stop that free a total number of accelerators.

    :param missing: total number of accelerators to free.
    :param candidates: jobs, each with the number of accelerators it frees.
    :returns: the jobs; ``None`` if all candidates free too few accelerators.
    """
    if missing <= 0:
        return []
    remaining = sorted(
        candidates, key=lambda item: get_stop_cost(now, item[0])
    )
    chosen = []
    while missing > 0 and remaining:
        # One job that frees all missing accelerators is preferred to several
        # smaller jobs.
        best = min(
            remaining, key=lambda item: (-min(item[1], missing), item[1])
        )
        remaining.remove(best)
        chosen.append(best[0])
        missing -= best[1]
    return chosen if missing <= 0 else None


def get_stop_cost(
    now: float, entry: queues.JobEntry
) -> tuple[int, int, int, float, int]:
    """Return a sort key that puts jobs that are cheap to stop first."""
    spec = entry.job.spec
    return (
        0 if spec.idempotent else 1,
        -int(spec.priority),
        spec.accelerators,
        now - entry.started,
        -entry.sequence,
    )


def _remove_unneeded(
    now: float, deficits: allocations.Allocation, chosen: list[queues.JobEntry]
) -> list[queues.JobEntry]:
    """Remove chosen jobs that need not stop because the others suffice."""
    freed: allocations.Allocation = {}
    for entry in chosen:
        for node, count in entry.allocation.items():
            freed[node] = freed.get(node, 0) + count
    needed = list(chosen)
    for entry in sorted(
        chosen, key=lambda e: get_stop_cost(now, e), reverse=True
    ):
        if all(
            freed[node] - count >= deficits.get(node, 0)
            for node, count in entry.allocation.items()
        ):
            needed.remove(entry)
            for node, count in entry.allocation.items():
                freed[node] -= count
    return needed
