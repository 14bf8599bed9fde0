"""Divides a number of accelerators among the workers of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

Parts = dict[topologies.Node, int]


def get_unbound(nodes: Iterable[topologies.Node]) -> Parts:
    """Count the unbound accelerators of each worker in service."""
    return {
        node: node.size - node.bound
        for node in nodes
        if node.is_usable() and node.bound < node.size
    }


def extend_parts(
    parts: Parts, count: int, nodes: Iterable[topologies.Node]
) -> Parts:
    """Add unbound accelerators to an allocation, up to a total.

    :param count: total number of accelerators wanted; fewer are returned if
        the workers have too few unbound ones.
    :param nodes: workers whose unbound accelerators may be added.
    """
    missing = count - sum(parts.values())
    extended = dict(parts)
    for node, unbound in get_unbound(nodes).items():
        taken = max(0, min(missing, unbound - parts.get(node, 0)))
        if taken:
            extended[node] = extended.get(node, 0) + taken
            missing -= taken
    return extended


def weigh_parts(
    parts: Parts, weigh: Callable[[topologies.Node, int], int] | None
) -> int:
    """Count the accelerators to reclaim for an allocation.

    :param weigh: returns the accelerators to reclaim on a worker to use a
        number of them; without it, the result is 0.
    """
    if weigh is None:
        return 0
    return sum(weigh(node, count) for node, count in parts.items())


def fill_cell(cell: topologies.Cell, count: int, avail: Parts) -> Parts:
    """Allocate accelerators from the fewest child cells and workers.

    The child cell or worker with the most accelerators is filled first, and
    the remainder goes to the smallest one that has enough.

    :param avail: available accelerators of each worker; together at least
        ``count``.
    :returns: allocated accelerators of each worker.
    """
    parts: Parts = {}
    if cell.children:
        totals: dict[topologies.Cell, int] = {}
        for node, free in avail.items():
            child = node.rack if cell.children[0] is node.rack else None
            for candidate in node.cells:
                if candidate.parent is cell:
                    child = candidate
            if child is not None:
                totals[child] = totals.get(child, 0) + free
        groups = sorted(totals.items(), key=lambda item: -item[1])
        for child, taken in _choose(groups, count):
            if not taken:
                continue
            inner = {n: f for n, f in avail.items() if child in n.cells}
            parts.update(fill_cell(child, taken, inner))
        return parts
    items = [(n, f) for n, f in avail.items() if n.rack is cell and f > 0]
    items.sort(key=lambda item: -item[1])
    for node, taken in _choose(items, count):
        parts[node] = taken
    return parts


def _choose(items: list, count: int) -> list:
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
