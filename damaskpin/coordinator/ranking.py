"""Order in which waiting units are served."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.coordinator import fleet
    from damaskpin.coordinator import job as jobs

# A job that ends after this multiple of its objective earns nothing more.
LATE_FACTOR = 3.0

# Wait before work of lower priority is stopped for an unguaranteed unit, in
# seconds; room often becomes free by itself.
PATIENCE_S = 0.5

# Unsaved work that is stopped for a unit is at most this share of its own.
STOP_SHARE = 0.5

# Wait near the data as a multiple of the estimate, before a place far away is
# taken; work far away takes several times as long.
NEAR_PATIENCE = 1.0

# The same for work of priority 0, in seconds; it must start soon.
URGENT_NEAR_S = 0.7


def find_guaranteed(
    known: Iterable[jobs.Job], get_guarantee: Callable[[str], int]
) -> set[str]:
    """Return the ids of the jobs that draw on their account's guarantee.

    :param known: all jobs.
    :param get_guarantee: accelerators guaranteed to an account.
    """
    used: dict[str, int] = {}
    found = set()
    waiting = [
        job
        for job in known
        if not job.is_final() and job.submission.terms.priority == 0
    ]
    waiting.sort(key=lambda job: (job.submission.accepted, job.id))
    for job in waiting:
        account = job.submission.account
        need = max(
            step.count * step.demand.accelerators
            for step in job.submission.steps
        )
        total = used.get(account, 0) + need
        if total > get_guarantee(account):
            continue
        used[account] = total
        found.add(job.id)
    return found


def get_rank(job: jobs.Job, guaranteed: set[str]) -> int:
    """Return the class of a job; a smaller one may stop a larger one."""
    if job.id in guaranteed:
        return 0
    return 1 + job.submission.terms.priority


def get_objective(job: jobs.Job) -> float:
    """Return the seconds from acceptance in which a job should end."""
    terms = job.submission.terms
    return terms.allowance + terms.stretch * job.submission.get_chain()


def get_order(
    unit: jobs.Unit, wall: float, guaranteed: set[str]
) -> tuple[int, bool, bool, float, str]:
    """Return the sort key of a unit; smaller goes first.

    Work that can't earn anything any more goes last in its class, then
    the earliest objective goes first.
    """
    job = unit.job
    rank = get_rank(job, guaranteed)
    objective = get_objective(job)
    submitted = job.submission.accepted
    if job.submission.schedule is not None:
        submitted = job.submission.schedule.get_due(unit.occurrence)
    latest = submitted + LATE_FACTOR * objective
    hopeless = wall + unit.step.estimate > latest
    return (
        rank,
        not unit.step.lasting,
        hopeless,
        submitted + objective,
        job.id,
    )


def may_go_far(unit: jobs.Unit, now: float) -> bool:
    """Return whether a unit has waited long enough for a place near."""
    waited = now - unit.ready_since
    if unit.job.submission.terms.priority == 0:
        return waited >= URGENT_NEAR_S
    return waited >= NEAR_PATIENCE * unit.step.estimate


def may_stop(
    unit: jobs.Unit,
    placed: fleet.PlacedRun,
    now: float,
    guaranteed: set[str],
) -> bool:
    """Return whether a run may be stopped for a unit."""
    if placed.step.lasting:
        return False
    rank = get_rank(unit.job, guaranteed)
    if get_rank(placed.job, guaranteed) <= rank:
        return False
    if unit.job.submission.terms.priority == 0:
        return True
    if now - unit.ready_since < PATIENCE_S:
        return False
    return placed.get_unsaved(now) <= STOP_SHARE * unit.step.estimate
