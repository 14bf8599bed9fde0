"""Starts jobs on the guaranteed shapes of their accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import reclaim
from damaskpin.scheduler import shapes

if TYPE_CHECKING:
    from damaskpin.scheduler import allocations
    from damaskpin.scheduler import decisions
    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import topology as topologies

# Maximum number of bindings compared to find one that needs fewer jobs to be
# stopped. The search is optional: the current binding can be used too.
MAX_SWAP_CANDIDATES = 64


def start(
    now: float,
    ledger: ledgers.Ledger,
    new_decisions: list[decisions.Decision],
    budget: int,
) -> int:
    """Start waiting jobs that match an unused guaranteed shape.

    :param new_decisions: list to which the decisions are appended.
    :param budget: maximum number of jobs to start.
    :returns: the budget minus the number of jobs started.
    """
    for account in list(ledger.queue.get_accounts()):
        if account not in ledger.accounts:
            continue
        if not ledger.bindings.by_account.get(account):
            continue
        groups = ledger.queue.get_groups(account)
        groups.sort(key=queues.Group.get_order)
        for group in groups:
            while budget > 0:
                entry = group.peek()
                if entry is None:
                    break
                if not _claim(now, ledger, entry, new_decisions):
                    break
                budget -= 1
    return budget


def _claim(
    now: float,
    ledger: ledgers.Ledger,
    entry: queues.JobEntry,
    new_decisions: list[decisions.Decision],
) -> bool:
    instance = choose_instance(ledger, entry)
    if instance is None:
        return False
    allocation = choose_allocation(instance, entry)
    victims = find_victims(now, ledger, entry, allocation)
    if victims is None:
        ledger.drop_borrowed_claims(now, allocation)
        victims = find_victims(now, ledger, entry, allocation)
    if victims is None:
        return False
    for victim in victims:
        reason = f'guaranteed shape {instance.shape.name} of '
        reason += f'{entry.job.account} is needed by {entry.job.id}'
        new_decisions.append(ledger.stop(now, victim, reason))
    ledger.claim(entry, allocation, tuple(v.job.id for v in victims))
    entry.shape_instance = instance
    ledger.bindings.acquire(instance, entry.job.id, allocation)
    ledger.add_history(
        now,
        entry.job.id,
        f'uses guaranteed shape {instance.shape.name}, '
        f'stops {len(victims)} borrowing jobs',
    )
    if ledger.is_ready(entry):
        new_decisions.append(ledger.place(now, entry))
    return True


def choose_instance(
    ledger: ledgers.Ledger, entry: queues.JobEntry
) -> shapes.ShapeInstance | None:
    """Choose the shape instance for a job and improve its binding.

    :returns: the unused instance whose binding has the fewest accelerators
        to reclaim; ``None`` if the account has no unused matching shape.
    """
    spec = entry.job.spec
    first = None
    best: tuple[int, shapes.ShapeInstance] | None = None
    for instance in ledger.bindings.by_account.get(entry.job.account, ()):
        if instance.job_id is not None or not instance.is_met():
            continue
        if not shapes.matches(instance.shape, spec):
            continue
        if first is None:
            first = instance
        elif not first.has_equal_shape(instance):
            # Instances are sorted by size, and only those of the smallest
            # matching shape are candidates.
            break
        cost = _count_reclaimed(instance.binding, entry)
        if best is None or cost < best[0]:
            best = (cost, instance)
        if not cost:
            return instance
    if best is None:
        return None
    return _improve_binding(ledger, entry, best[1], best[0])


def choose_allocation(
    instance: shapes.ShapeInstance, entry: queues.JobEntry
) -> allocations.Allocation:
    """Choose which accelerators of a bound shape instance the job uses.

    A job smaller than its shape prefers workers with the most free
    accelerators, so that the fewest must be reclaimed.
    """
    count = entry.job.spec.accelerators
    allocation: allocations.Allocation = {}
    for node, bound in sorted(
        instance.binding.items(),
        key=lambda item: (
            item[0].name in entry.avoided_workers,
            -min(item[0].free, item[1]),
            item[0].ordinal,
        ),
    ):
        taken = min(count, bound)
        if taken:
            allocation[node] = taken
            count -= taken
    return allocation


def can_bind_where_running(
    instance: shapes.ShapeInstance, entry: queues.JobEntry
) -> bool:
    """Return whether a shape instance could be bound where a job runs."""
    shape = instance.shape
    if not shapes.matches(shape, entry.job.spec):
        return False
    cell = None
    for node in entry.allocation:
        key = hardware.get_cell(node.worker, shape.adjacency)
        if cell not in (None, key):
            return False
        cell = key
        if node.worker.region != shape.region:
            return False
        if shape.data_centre not in (None, node.worker.data_centre):
            return False
    return True


def find_victims(
    now: float,
    ledger: ledgers.Ledger,
    entry: queues.JobEntry,
    allocation: allocations.Allocation,
) -> list[queues.JobEntry] | None:
    """Choose the borrowers to stop so that a guaranteed job can start.

    :param allocation: accelerators of each worker that the job needs.
    :returns: the jobs to stop; ``None`` if stopping all borrowers frees too
        few accelerators or too little of the account's quota.
    """
    deficits = reclaim.count_deficits(allocation, ledger.entries)
    victims = reclaim.choose_victims(
        now, deficits, ledger.entries, queues.JobEntry.is_borrowing
    )
    if victims is None:
        return None
    account = entry.job.account
    account_config = ledger.accounts[account]
    size = entry.job.spec.accelerators
    quota_excess = ledger.used.get(account, 0) + size - account_config.quota
    own_borrowers = ledger.borrowers.get(account, {})
    for victim in victims:
        if victim.job.account == account:
            quota_excess -= victim.job.spec.accelerators
    for other in ledger.entries.values() if quota_excess > 0 else ():
        # Jobs that are being stopped will soon free their part of the quota.
        if (
            other.job.account == account
            and other.state is queues.State.STOPPING
        ):
            quota_excess -= other.job.spec.accelerators
    if quota_excess <= 0:
        return victims
    additional = reclaim.choose_victims_by_count(
        now,
        quota_excess,
        [
            (other, other.job.spec.accelerators)
            for other in own_borrowers.values()
            if other.is_borrowing() and other not in victims
        ],
    )
    return None if additional is None else victims + additional


def _improve_binding(
    ledger: ledgers.Ledger,
    entry: queues.JobEntry,
    instance: shapes.ShapeInstance,
    cost: int,
) -> shapes.ShapeInstance:
    """Move a shape instance to a binding that reclaims fewer accelerators.

    :param cost: accelerators to reclaim with the current binding.
    """
    best = None
    examined = 0
    for other in ledger.bindings.instances.values():
        if other.job_id is not None or other is instance:
            continue
        if not other.has_equal_shape(instance) or not other.is_met():
            continue
        examined += 1
        other_cost = _count_reclaimed(other.binding, entry)
        if other_cost < cost:
            best = other
            cost = other_cost
        if not cost or examined >= MAX_SWAP_CANDIDATES:
            break
    if best is not None:
        ledger.bindings.swap_bindings(instance, best)
    if not cost:
        return instance

    def get_reclaim_cost(node: topologies.Node, count: int) -> int:
        if node.name in entry.avoided_workers:
            return count
        return max(0, count - node.free)

    ledger.bindings.move_binding(instance, get_reclaim_cost)
    return instance


def _count_reclaimed(
    allocation: allocations.Allocation, entry: queues.JobEntry
) -> int:
    total = 0
    available = 0
    for node, count in allocation.items():
        total += count
        if node.name not in entry.avoided_workers:
            available += min(node.free, count)
    return max(0, entry.job.spec.accelerators - available)
