"""Start of work beyond the guarantees."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from damaskpin.scheduler import placement
from damaskpin.scheduler import queue as queues
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.scheduler import ledger as ledgers
    from damaskpin.scheduler import packing


def start(now: float, ledger: ledgers.Ledger, found: list, steps) -> None:
    """Place waiting jobs in their order until nothing more fits."""
    heaps = _make_heaps(ledger)
    # Smallest gang of each level that found no room in this call.
    too_large: dict[int, int] = {}
    while heaps and steps.left > 0:
        account = min(heaps, key=lambda name: _get_order(ledger, heaps, name))
        group = heaps[account][0][-1]
        if _start_first(now, ledger, group, too_large, found):
            steps.left -= 1
            entry = group.peek()
            if entry is not None:
                heapq.heapreplace(heaps[account], _make_item(group))
                continue
        heapq.heappop(heaps[account])
        if not heaps[account]:
            del heaps[account]


def drop_claims(
    now: float, ledger: ledgers.Ledger, parts: packing.Parts
) -> None:
    """Drop claims of borrowing work on workers that a guarantee needs."""
    for entry in list(ledger.claims.values()):
        if entry.instance is not None:
            continue
        if any(node in parts for node in entry.parts):
            ledger.note(now, entry.job.id, 'claim dropped for a guarantee')
            ledger.drop_claim(now, entry)


def _start_first(
    now: float,
    ledger: ledgers.Ledger,
    group: queues.Group,
    too_large: dict[int, int],
    found: list,
) -> bool:
    entry = group.peek()
    if entry is None:
        return False
    spec = entry.job.spec
    account = ledger.accounts[entry.job.account]
    used = ledger.used.get(account.name, 0)
    if used + spec.accelerators > account.quota:
        return False
    rank = topologies.RANKS[spec.adjacency]
    if spec.accelerators >= too_large.get(rank, spec.accelerators + 1):
        return False
    avoid = [name for name, end in entry.avoid.items() if end > now]
    request = placement.Request(spec.accelerators, spec.adjacency, avoid=avoid)
    parts = placement.find_place(ledger.topology, request)
    if parts is None:
        if not avoid:
            too_large[rank] = spec.accelerators
        return False
    ledger.claim(entry, parts, ())
    found.append(ledger.place(now, entry))
    ledger.note(now, entry.job.id, 'placed beyond the guarantees')
    return True


def _make_heaps(ledger: ledgers.Ledger) -> dict[str, list]:
    heaps: dict[str, list] = {}
    for name in list(ledger.queue.get_accounts()):
        if name not in ledger.accounts:
            continue
        items = [_make_item(g) for g in ledger.queue.get_groups(name)]
        if items:
            heapq.heapify(items)
            heaps[name] = items
    return heaps


def _make_item(group: queues.Group) -> tuple:
    return (*group.get_order(), group)


def _get_order(
    ledger: ledgers.Ledger, heaps: dict[str, list], name: str
) -> tuple:
    priority, submitted, sequence, _ = heaps[name][0]
    share = ledger.used.get(name, 0) / ledger.accounts[name].weight
    return (priority, share, submitted, sequence)
