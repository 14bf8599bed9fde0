"""Order in which waiting units are served."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.coordinator import fleet
    from damaskpin.coordinator import job as jobs

# A job that ends after this multiple of its objective earns nothing more.
LATE_FACTOR = 3.0

# A unit with more time than this before it would miss its objective, in
# seconds, stops little or nothing unless its job is guaranteed.
MIN_SLACK_S = 1.5

# Wait before work of lower priority is stopped for an unguaranteed unit, in
# seconds; room often becomes free by itself.
PATIENCE_S = 0.5

# Guaranteed work waits this long for room that becomes free by itself before
# it stops others, in seconds. The stop and the start that follow take up to
# 1.3 s, and installations ask for less than 3 s in all.
GUARANTEED_PATIENCE_S = 1.0

# Part of a unit's slack that is kept for orders and late reports, in seconds.
SLACK_MARGIN_S = 0.6

# Work that is lost for a unit is at most this share of its own: what is
# stopped must be done again and comes later itself.
URGENT_STOP_SHARE = 0.5
STOP_SHARE = 0.1

# The same for urgent work that still has time: work that is saved costs little
# to stop, and waiting for it would spend the time that a failure may need.
CHEAP_STOP_SHARE = 0.2

# Work far from its data, or a gang on several racks, takes this many times as
# long.
FAR_FACTOR = 3.0

# Guaranteed work that has waited for a place near for this time takes one far
# away, in seconds: it has to begin within the installation's bound.
GUARANTEED_NEAR_S = 1.2


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
    hopeless = wall + unit.step.estimate > get_target(unit, LATE_FACTOR)
    return (
        rank,
        not unit.step.lasting,
        hopeless,
        get_target(unit),
        job.id,
    )


def get_target(unit: jobs.Unit, factor: float = 1.0) -> float:
    """Return the Unix time at which a multiple of the objective ends."""
    submission = unit.job.submission
    submitted = submission.accepted
    if submission.schedule is not None:
        submitted = submission.schedule.get_due(unit.occurrence)
    return submitted + factor * get_objective(unit.job)


def is_worth_near(
    unit: jobs.Unit, wait: float, now: float, guaranteed: set[str]
) -> bool:
    """Return whether a unit ends sooner if it waits for a place near.

    :param wait: seconds until there is room near.
    """
    waited = now - unit.ready_since
    if unit.job.id in guaranteed and waited >= GUARANTEED_NEAR_S:
        return False
    return wait < (FAR_FACTOR - 1) * unit.step.estimate


def get_stop_budget(
    unit: jobs.Unit, now: float, wall: float, guaranteed: set[str]
) -> float:
    """Return the core-seconds of others that may be lost for a unit."""
    job = unit.job
    if job.id in guaranteed:
        return math.inf
    own = len(unit.indexes) * unit.step.estimate * unit.step.get_cores()
    slack = get_target(unit) - wall - unit.step.estimate
    if job.submission.terms.priority == 0:
        if slack > MIN_SLACK_S:
            return own * CHEAP_STOP_SHARE
        return own * (URGENT_STOP_SHARE if slack >= 0 else STOP_SHARE)
    if slack > MIN_SLACK_S:
        # Room often becomes free by itself in time.
        return 0.0
    if now - unit.ready_since < PATIENCE_S:
        return 0.0
    return own * STOP_SHARE


def get_patience(
    unit: jobs.Unit, now: float, wall: float, guaranteed: set[str]
) -> float:
    """Return the seconds that a unit may wait for room before it stops others.

    Work that is not guaranteed may wait for as long as it has slack.
    """
    job = unit.job
    slack = get_target(unit) - wall - unit.step.estimate - SLACK_MARGIN_S
    if job.id not in guaranteed:
        return max(slack, 0.0)
    waited = now - unit.ready_since
    return max(min(GUARANTEED_PATIENCE_S - waited, slack), 0.0)


def may_stop(
    unit: jobs.Unit, placed: fleet.PlacedRun, guaranteed: set[str]
) -> bool:
    """Return whether a run may be stopped for a unit."""
    if placed.step.lasting:
        return False
    rank = get_rank(unit.job, guaranteed)
    return get_rank(placed.job, guaranteed) > rank
