"""Finds free accelerators for jobs beyond the guarantees."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import allocations
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


class Request:
    """Number and adjacency of accelerators that a gang requests.

    :ivar cell_accelerator_limits: largest number of accelerators that this
        gang may use in each cell that is reserved for another gang; the other
        cells have no limit.
    :ivar avoided_workers: names of the workers that must not be used.
    """

    __slots__ = (
        'adjacency',
        'avoided_workers',
        'cell_accelerator_limits',
        'count',
    )

    def __init__(
        self,
        count: int,
        adjacency: hardware.Adjacency,
        cell_accelerator_limits: Mapping[topologies.Cell, int] | None = None,
        avoided_workers: Collection[str] = (),
    ) -> None:
        self.count = count
        self.adjacency = adjacency
        self.cell_accelerator_limits = cell_accelerator_limits or {}
        self.avoided_workers = avoided_workers

    def has_room(self, cell: topologies.Cell) -> bool:
        """Return whether a cell has room that is not reserved for others."""
        if cell.free < self.count:
            return False
        return self.cell_accelerator_limits.get(cell, self.count) >= self.count


def find_allocation(
    topology: topologies.Topology, request: Request
) -> allocations.Allocation | None:
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
        if request.has_room(cell)
    ]
    centres = [
        centre
        for region in regions
        for centre in region.children
        if request.has_room(centre)
    ]
    allocation = _find_worker(centres, request)
    rank = topologies.RANKS[request.adjacency]
    if allocation is None and rank >= 1:
        allocation = _find_cell(
            [
                rack
                for centre in centres
                for rack in centre.children
                if request.has_room(rack)
            ],
            request,
        )
    if allocation is None and rank >= 2:
        allocation = _find_cell(centres, request)
    if allocation is None and rank >= 3:
        allocation = _find_cell(regions, request)
    return allocation


def count_borrowed(node: topologies.Node, count: int) -> int:
    """Count the accelerators that a job would borrow from unused shapes.

    :param count: accelerators that the job would use on the worker.
    """
    after = max(0, node.bound_unused - (node.free - count))
    return after - max(0, node.bound_unused - node.free)


def _find_worker(
    centres: list[topologies.Cell], request: Request
) -> allocations.Allocation | None:
    count = request.count
    best: tuple[tuple[int, ...], topologies.Node] | None = None
    for centre in centres:
        for rack in centre.children:
            if rack.free < count or not request.has_room(rack):
                continue
            idle = int(rack.free == rack.total)
            for node in rack.nodes:
                if node.free < count or node.name in request.avoided_workers:
                    continue
                key = (
                    count_borrowed(node, count),
                    idle,
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
) -> allocations.Allocation | None:
    best: tuple[tuple[int, ...], allocations.Allocation] | None = None
    for position, cell in enumerate(candidates):
        available = {
            node: node.free
            for node in cell.nodes
            if node.free > 0
            and node.name not in request.avoided_workers
            and request.cell_accelerator_limits.get(node.rack, 1) > 0
            and request.cell_accelerator_limits.get(node.data_centre, 1) > 0
        }
        if sum(available.values()) < request.count:
            continue
        allocation = allocations.fill_cell(cell, request.count, available)
        borrowed = sum(
            count_borrowed(node, taken) for node, taken in allocation.items()
        )
        key = (borrowed, cell.free - request.count, len(allocation), position)
        if best is None or key < best[0]:
            best = (key, allocation)
    return None if best is None else best[1]
