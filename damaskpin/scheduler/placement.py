"""Finds free accelerators for jobs beyond the guarantees."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import filling
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


class Request:
    """Number and adjacency of accelerators that a gang requests.

    :ivar closed: cells reserved for other gangs, with the number of
        accelerators that this gang may use there.
    :ivar avoid: names of the workers that must not be used.
    """

    __slots__ = ('adjacency', 'avoid', 'closed', 'count')

    def __init__(
        self,
        count: int,
        adjacency: hardware.Adjacency,
        closed: Mapping[topologies.Cell, int] | None = None,
        avoid: Collection[str] = (),
    ) -> None:
        self.count = count
        self.adjacency = adjacency
        self.closed = closed or {}
        self.avoid = avoid

    def is_open(self, cell: topologies.Cell) -> bool:
        """Return whether a cell has room that is not reserved for others."""
        if cell.free < self.count:
            return False
        return self.closed.get(cell, self.count) >= self.count


def find_place(
    topology: topologies.Topology, request: Request
) -> filling.Parts | None:
    """Find free accelerators for a gang.

    The smallest level with room is used: worker, rack, data centre, region.
    Within a level, cells in which the gang borrows the fewest accelerators
    of unused guarantees go first, then partly used racks, then the cells
    with the fewest free accelerators left.

    :returns: accelerators of each worker; ``None`` if there is no room.
    """
    regions = [
        cell
        for cell in topology.cells[hardware.Adjacency.REGION].values()
        if request.is_open(cell)
    ]
    centres = [
        centre
        for region in regions
        for centre in region.children
        if request.is_open(centre)
    ]
    parts = _find_worker(centres, request)
    rank = topologies.RANKS[request.adjacency]
    if parts is None and rank >= 1:
        parts = _find_cell(
            [
                rack
                for centre in centres
                for rack in centre.children
                if request.is_open(rack)
            ],
            request,
        )
    if parts is None and rank >= 2:
        parts = _find_cell(centres, request)
    if parts is None and rank >= 3:
        parts = _find_cell(regions, request)
    return parts


def count_lent(node: topologies.Node, count: int) -> int:
    """Count the accelerators that a job would borrow from unused shapes.

    :param count: accelerators that the job would use on the worker.
    """
    after = max(0, node.bound_unused - (node.free - count))
    return after - max(0, node.bound_unused - node.free)


def _find_worker(
    centres: list[topologies.Cell], request: Request
) -> filling.Parts | None:
    count = request.count
    best: tuple[tuple[int, ...], topologies.Node] | None = None
    for centre in centres:
        for rack in centre.children:
            if rack.free < count or not request.is_open(rack):
                continue
            whole = int(rack.free == rack.total)
            for node in rack.nodes:
                if node.free < count or node.name in request.avoid:
                    continue
                key = (
                    count_lent(node, count),
                    whole,
                    node.free - count,
                    rack.free,
                    centre.free,
                    node.ordinal,
                )
                if best is None or key < best[0]:
                    best = (key, node)
    return None if best is None else {best[1]: count}


def _find_cell(
    candidates: list[topologies.Cell], request: Request
) -> filling.Parts | None:
    best: tuple[tuple[int, ...], filling.Parts] | None = None
    for position, cell in enumerate(candidates):
        avail = {
            node: node.free
            for node in cell.nodes
            if node.free > 0
            and node.name not in request.avoid
            and request.closed.get(node.rack, 1) > 0
            and request.closed.get(node.data_centre, 1) > 0
        }
        if sum(avail.values()) < request.count:
            continue
        parts = filling.fill_cell(cell, request.count, avail)
        lent = sum(count_lent(node, taken) for node, taken in parts.items())
        key = (lent, cell.free - request.count, len(parts), position)
        if best is None or key < best[0]:
            best = (key, parts)
    return None if best is None else best[1]
