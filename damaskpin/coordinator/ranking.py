"""Ranking of waiting units and limits on preemption."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.coordinator import job as jobs
    from damaskpin.coordinator import placed_run

# A job that ends after this multiple of its objective has no value any more.
LATE_FACTOR = 3.0

# A unit with more slack than this before its objective, in seconds, preempts
# little or nothing unless its job is guaranteed.
SAFE_SLACK_S = 1.5

# Time in seconds that a unit without a guarantee waits before it preempts work
# of lower priority, because other runs often end by then.
PREEMPTION_DELAY_S = 0.5

# Time in seconds that guaranteed work waits for other runs to end before it
# preempts them. Preemption and the following start take up to 1.3 s, and
# installations require guaranteed work to start in less than 3 s in total.
GUARANTEED_PREEMPTION_DELAY_S = 1.0

# Part of a unit's slack, in seconds, that is set aside for sending orders and
# for late reports.
SLACK_MARGIN_S = 0.6

# Upper limits of the work lost by preemption, as a share of the unit's own
# work, because preempted work must be repeated and then ends later. The first
# is for urgent units close to their objective, the second for other units.
URGENT_LOSS_SHARE = 0.5
MAX_LOSS_SHARE = 0.1

# Upper limit of the work lost by preemption for urgent units with slack, as a
# share of their own work. Runs with checkpoints lose little, and waiting for
# them would use up slack that may be needed after a failure.
URGENT_EARLY_LOSS_SHARE = 0.2

# Factor by which work takes longer in another rack than its data, or as a gang
# on several racks.
REMOTE_SLOWDOWN = 3.0

# Time in seconds after which guaranteed work no longer waits for the rack of
# its data or for a single rack: it has to start within the installation's
# bound.
GUARANTEED_LOCAL_WAIT_S = 1.2


def find_guaranteed(
    all_jobs: Iterable[jobs.Job], get_guarantee: Callable[[str], int]
) -> set[str]:
    """Return the ids of the jobs that draw on their account's guarantee.

    Urgent jobs use up the guarantee in the order of their acceptance.

    :param all_jobs: jobs to consider; those without urgent priority or in a
        final state are left out.
    :param get_guarantee: returns the accelerators guaranteed to an account.
    """
    account_use: dict[str, int] = {}
    found = set()
    urgent_jobs = [
        job
        for job in all_jobs
        if not job.is_final() and job.submission.terms.priority == 0
    ]
    urgent_jobs.sort(key=lambda job: (job.submission.accepted, job.id))
    for job in urgent_jobs:
        account = job.submission.account
        need = max(
            step.count * step.demand.accelerators
            for step in job.submission.steps
        )
        account_total = account_use.get(account, 0) + need
        if account_total > get_guarantee(account):
            continue
        account_use[account] = account_total
        found.add(job.id)
    return found


def get_rank(job: jobs.Job, guaranteed: set[str]) -> int:
    """Return the rank of a job; smaller ranks may preempt larger ones.

    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    if job.id in guaranteed:
        return 0
    return 1 + job.submission.terms.priority


def get_objective_duration(job: jobs.Job) -> float:
    """Return the seconds after acceptance within which a job should end."""
    terms = job.submission.terms
    return (
        terms.allowance
        + terms.stretch * job.submission.get_critical_path_duration()
    )


def get_sort_key(
    unit: jobs.Unit, wall: float, guaranteed: set[str]
) -> tuple[int, bool, bool, bool, float, str]:
    """Return the key for sorting units; the smallest is placed first.

    Within a rank, lasting work goes first and work that would end too late to
    have any value goes last. Units for which runs were preempted go before the
    rest, so that no other takes the capacity that this has freed. The rest
    goes by the earliest objective.

    :param wall: Unix time in seconds.
    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    job = unit.job
    rank = get_rank(job, guaranteed)
    past_value = wall + unit.step.estimate > get_objective_time(
        unit, LATE_FACTOR
    )
    return (
        rank,
        not unit.step.lasting,
        past_value,
        not unit.has_preempted(),
        get_objective_time(unit),
        job.id,
    )


def get_objective_time(unit: jobs.Unit, factor: float = 1.0) -> float:
    """Return the Unix time by which a unit should end.

    :param factor: multiple of the objective that is allowed.
    """
    submission = unit.job.submission
    submitted = submission.accepted
    if submission.schedule is not None:
        submitted = submission.schedule.get_due_time(unit.occurrence)
    return submitted + factor * get_objective_duration(unit.job)


def is_worth_waiting_for_local(
    unit: jobs.Unit, wait: float, now: float, guaranteed: set[str]
) -> bool:
    """Return whether a unit ends sooner if it waits for local workers.

    Local workers run the unit at full speed, because they are in the rack of
    its data or, for a gang, in a single rack.

    :param wait: seconds until local workers have capacity.
    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    waited = now - unit.ready_since
    if unit.job.id in guaranteed and waited >= GUARANTEED_LOCAL_WAIT_S:
        return False
    return wait < (REMOTE_SLOWDOWN - 1) * unit.step.estimate


def get_preemption_budget(
    unit: jobs.Unit, now: float, wall: float, guaranteed: set[str]
) -> float:
    """Return the core-seconds of work that preemption for a unit may lose.

    What earlier preemptions for the unit have lost counts towards its limit.

    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    job = unit.job
    if job.id in guaranteed:
        return math.inf
    unit_work = (
        len(unit.indexes)
        * unit.step.estimate
        * unit.step.get_core_equivalents()
    )
    slack = get_objective_time(unit) - wall - unit.step.estimate
    if job.submission.terms.priority == 0:
        if slack > SAFE_SLACK_S:
            limit = unit_work * URGENT_EARLY_LOSS_SHARE
        elif slack >= 0:
            limit = unit_work * URGENT_LOSS_SHARE
        else:
            limit = unit_work * MAX_LOSS_SHARE
        return limit - unit.get_preemption_loss()
    if slack > SAFE_SLACK_S:
        # A unit that is not urgent preempts nothing while it has slack,
        # because other runs often end before its slack is used up.
        return 0.0
    if now - unit.ready_since < PREEMPTION_DELAY_S:
        return 0.0
    return unit_work * MAX_LOSS_SHARE - unit.get_preemption_loss()


def get_max_wait(
    unit: jobs.Unit, now: float, wall: float, guaranteed: set[str]
) -> float:
    """Return the seconds that a unit may wait before it preempts runs.

    Work that is not guaranteed may wait as long as it has slack.

    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    job = unit.job
    slack = (
        get_objective_time(unit) - wall - unit.step.estimate - SLACK_MARGIN_S
    )
    if job.id not in guaranteed:
        return max(slack, 0.0)
    waited = now - unit.ready_since
    return max(min(GUARANTEED_PREEMPTION_DELAY_S - waited, slack), 0.0)


def may_preempt(
    unit: jobs.Unit, placed: placed_run.PlacedRun, guaranteed: set[str]
) -> bool:
    """Return whether a run may be preempted for a unit.

    :param guaranteed: ids of the jobs that draw on their account's guarantee.
    """
    if placed.step.lasting:
        return False
    rank = get_rank(unit.job, guaranteed)
    return get_rank(placed.job, guaranteed) > rank
