"""Divides a number of accelerators among the workers of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

Allocation = dict[topologies.Node, int]


def get_unbound(nodes: Iterable[topologies.Node]) -> Allocation:
    """Count the unbound accelerators of each worker in service."""
    return {
        node: node.size - node.bound
        for node in nodes
        if node.is_usable() and node.bound < node.size
    }


def extend_allocation(
    allocation: Allocation, count: int, nodes: Iterable[topologies.Node]
) -> Allocation:
    """Add unbound accelerators to an allocation, up to a total.

    :param count: total number of accelerators wanted; fewer are returned if
        the workers have too few unbound ones.
    :param nodes: workers whose unbound accelerators may be added.
    """
    missing = count - sum(allocation.values())
    extended = dict(allocation)
    for node, unbound in get_unbound(nodes).items():
        taken = max(0, min(missing, unbound - allocation.get(node, 0)))
        if taken:
            extended[node] = extended.get(node, 0) + taken
            missing -= taken
    return extended


def count_reclaimed(
    allocation: Allocation,
    get_reclaim_cost: Callable[[topologies.Node, int], int] | None,
) -> int:
    """Count the accelerators to reclaim for an allocation.

    :param get_reclaim_cost: returns the accelerators to reclaim on a worker to
        use a number of them; without it, the result is 0.
    """
    if get_reclaim_cost is None:
        return 0
    return sum(
        get_reclaim_cost(node, count) for node, count in allocation.items()
    )


def fill_cell(
    cell: topologies.Cell, count: int, available: Allocation
) -> Allocation:
    """Allocate accelerators from the fewest child cells and workers.

    The child cell or worker with the most accelerators is filled first, and
    the remainder goes to the smallest one that has enough.

    :param available: available accelerators of each worker; together at least
        ``count``.
    :returns: allocated accelerators of each worker.
    """
    allocation: Allocation = {}
    if cell.children:
        totals: dict[topologies.Cell, int] = {}
        for node, free in available.items():
            child = node.rack if cell.children[0] is node.rack else None
            for candidate in node.cells:
                if candidate.parent is cell:
                    child = candidate
            if child is not None:
                totals[child] = totals.get(child, 0) + free
        groups = sorted(totals.items(), key=lambda item: -item[1])
        for child, taken in _divide_count(groups, count):
            if not taken:
                continue
            inner = {n: f for n, f in available.items() if child in n.cells}
            allocation.update(fill_cell(child, taken, inner))
        return allocation
    items = [(n, f) for n, f in available.items() if n.rack is cell and f > 0]
    items.sort(key=lambda item: -item[1])
    for node, taken in _divide_count(items, count):
        allocation[node] = taken
    return allocation


def _divide_count(items: list, count: int) -> list:
    """Divide a count among items sorted by descending capacity."""
    chosen = []
    position = 0
    while count > 0 and position < len(items):
        item, free = items[position]
        if free >= count:
            # Best fit: the last item with enough capacity for the remainder
            # is the smallest.
            while (
                position + 1 < len(items) and items[position + 1][1] >= count
            ):
                position += 1
            chosen.append((items[position][0], count))
            return chosen
        chosen.append((item, free))
        count -= free
        position += 1
    return chosen
