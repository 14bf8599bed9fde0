"""Division of a number of accelerators among the workers of a cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

Parts = dict[topologies.Node, int]


def get_unbound(nodes: Iterable[topologies.Node]) -> Parts:
    """Return the accelerators of workers in service that are not bound."""
    return {
        node: node.size - node.bound
        for node in nodes
        if node.is_usable() and node.bound < node.size
    }


def extend_parts(
    parts: Parts, count: int, nodes: Iterable[topologies.Node]
) -> Parts:
    """Add accelerators that are not bound until there are enough, if any."""
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
    """Return the accelerators to reclaim for a choice."""
    if weigh is None:
        return 0
    return sum(weigh(node, count) for node, count in parts.items())


def fill_cell(cell: topologies.Cell, count: int, avail: Parts) -> Parts:
    """Take accelerators from the fewest cells below a cell.

    The largest cell below is used up first, and the rest goes into the
    smallest one that holds it.

    :param avail: accelerators that each worker offers; enough in total.
    :returns: accelerators of each worker.
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
    """Split a count over items that are sorted by falling capacity."""
    chosen = []
    position = 0
    while count > 0 and position < len(items):
        item, free = items[position]
        if free >= count:
            # Best fit for the rest: the last one that still holds it.
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
