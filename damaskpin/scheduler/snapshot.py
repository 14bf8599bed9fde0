"""Summarises the state of the scheduler for reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import decisions
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.scheduler import ledger as ledgers


def make_snapshot(now: float, ledger: ledgers.Ledger) -> decisions.Snapshot:
    """Return a summary of used, free and requested accelerators."""
    nodes = ledger.topology.nodes.values()
    free = sum(node.free for node in nodes)
    queue = ledger.queue
    accounts = tuple(
        decisions.AccountUse(
            account=name,
            quota=account.quota,
            used=ledger.used.get(name, 0),
            borrowed=sum(
                entry.job.spec.accelerators
                for entry in ledger.borrowers.get(name, {}).values()
            ),
            queued_jobs=queue.counts.get(name, 0),
            queued_accelerators=queue.accelerators.get(name, 0),
        )
        for name, account in ledger.accounts.items()
    )
    return decisions.Snapshot(
        time=now,
        workers=len(ledger.topology.nodes),
        failed_workers=tuple(n.name for n in ledger.topology.get_failed()),
        accelerators=sum(node.total for node in nodes),
        free=free,
        used=sum(ledger.running.values()),
        usable_free=_count_usable(ledger, free),
        accounts=accounts,
    )


def describe(entry: queues.JobEntry, ledger: ledgers.Ledger) -> str:
    """Return the current state of a job as text."""
    if entry.state is queues.State.CLAIMED:
        return 'waits for jobs to stop: ' + ', '.join(entry.waiting_for)
    if entry.state is not queues.State.QUEUED:
        return f'state: {entry.state.value}'
    spec = entry.job.spec
    account = ledger.accounts.get(entry.job.account)
    if account is None:
        return f'waits: account {entry.job.account} is no longer configured'
    used = ledger.used.get(account.name, 0)
    if used + spec.accelerators > account.quota:
        return (
            f'waits: {used} of the quota of {account.quota} accelerators '
            'are in use'
        )
    return (
        f'waits for {spec.accelerators} free accelerators in one '
        f'{spec.adjacency.value}'
    )


def _count_usable(ledger: ledgers.Ledger, free: int) -> int:
    """Count the free accelerators in cells where a waiting job fits.

    :param free: number of all free accelerators; returned if no waiting job
        fits its account's quota.
    """
    smallest: dict[int, int] = {}
    for name in ledger.queue.get_accounts():
        account = ledger.accounts.get(name)
        if account is None:
            continue
        quota_left = account.quota - ledger.used.get(name, 0)
        for group in ledger.queue.get_groups(name):
            spec = group.spec
            if spec.accelerators > quota_left:
                continue
            rank = topologies.RANKS[spec.adjacency]
            current_smallest = smallest.get(rank, spec.accelerators)
            smallest[rank] = min(current_smallest, spec.accelerators)
    if not smallest:
        return free
    usable = 0
    for node in ledger.topology.nodes.values():
        free_by_rank = (node.free, *(cell.free for cell in node.cells))
        if any(free_by_rank[rank] >= size for rank, size in smallest.items()):
            usable += node.free
    return usable
