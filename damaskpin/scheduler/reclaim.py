"""Chooses the borrowing jobs to stop when other jobs need accelerators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import queue as queues

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.scheduler import filling

# Time that a job has to write a checkpoint before it is stopped.
GRACE_SECONDS = 2.0


def count_deficits(
    parts: filling.Parts, entries: dict[str, queues.Entry]
) -> filling.Parts:
    """Count the accelerators that must be reclaimed on each worker.

    Accelerators of jobs that are stopping or have lost a worker are not
    counted, because those jobs are about to end.

    :param parts: accelerators needed of each worker; they must not be held
        yet.
    """
    deficits: filling.Parts = {}
    for node, count in parts.items():
        missing = count + node.held - node.unused
        if missing <= 0:
            continue
        for job_id in node.slots:
            if job_id is not None and is_ending(entries[job_id]):
                missing -= 1
        if missing > 0:
            deficits[node] = missing
    return deficits


def is_ending(entry: queues.Entry) -> bool:
    """Return whether a placed job is about to free its accelerators."""
    return entry.broken or entry.state is queues.State.STOPPING


def choose_victims(
    now: float,
    deficits: filling.Parts,
    entries: dict[str, queues.Entry],
    may_stop: Callable[[queues.Entry], bool],
) -> list[queues.Entry] | None:
    """Choose jobs to stop that free enough accelerators on each worker.

    The choice is greedy: the job that frees the most goes first, then the
    one that is the cheapest to stop.

    :param deficits: accelerators to free on each worker.
    :param may_stop: returns whether a job may be stopped.
    :returns: the jobs; ``None`` if all of them free too few accelerators.
    """
    left = dict(deficits)
    shares: dict[str, filling.Parts] = {}
    for node in left:
        for job_id in node.slots:
            if job_id is None:
                continue
            entry = entries[job_id]
            if is_ending(entry) or not may_stop(entry):
                continue
            share = shares.setdefault(job_id, {})
            share[node] = share.get(node, 0) + 1
    chosen: list[queues.Entry] = []
    while left:
        best = None
        for job_id, share in shares.items():
            covered = sum(min(left.get(n, 0), c) for n, c in share.items())
            if not covered:
                continue
            key = (-covered, *get_cost(now, entries[job_id]))
            if best is None or key < best[0]:
                best = (key, job_id)
        if best is None:
            return None
        share = shares.pop(best[1])
        chosen.append(entries[best[1]])
        for node, count in share.items():
            if node not in left:
                continue
            left[node] -= count
            if left[node] <= 0:
                del left[node]
    return _drop_needless(now, deficits, chosen)


def choose_for_count(
    now: float, missing: int, candidates: list[tuple[queues.Entry, int]]
) -> list[queues.Entry] | None:
    """Choose jobs to stop that free a total number of accelerators.

    :param missing: total number of accelerators to free.
    :param candidates: jobs, each with the number of accelerators it frees.
    :returns: the jobs; ``None`` if all candidates free too few accelerators.
    """
    if missing <= 0:
        return []
    left = sorted(candidates, key=lambda item: get_cost(now, item[0]))
    chosen = []
    while missing > 0 and left:
        # One job that frees all missing accelerators is preferred to several
        # smaller jobs.
        best = min(left, key=lambda item: (-min(item[1], missing), item[1]))
        left.remove(best)
        chosen.append(best[0])
        missing -= best[1]
    return chosen if missing <= 0 else None


def get_cost(
    now: float, entry: queues.Entry
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


def _drop_needless(
    now: float, deficits: filling.Parts, chosen: list[queues.Entry]
) -> list[queues.Entry]:
    """Remove chosen jobs without which enough accelerators are freed."""
    freed: filling.Parts = {}
    for entry in chosen:
        for node, count in entry.parts.items():
            freed[node] = freed.get(node, 0) + count
    kept = list(chosen)
    for entry in sorted(chosen, key=lambda e: get_cost(now, e), reverse=True):
        if all(
            freed[node] - count >= deficits.get(node, 0)
            for node, count in entry.parts.items()
        ):
            kept.remove(entry)
            for node, count in entry.parts.items():
                freed[node] -= count
    return kept
