"""Finds unbound accelerators for instances of guaranteed shapes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import allocations
from damaskpin.scheduler import spares

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.model import config as configs
    from damaskpin.scheduler import topology as topologies


class Packer:
    """Finds unbound accelerators for one instance of a guaranteed shape.

    :ivar rack_uses: how each rack is used that holds a shape which spans
        several of its workers.
    """

    __slots__ = (
        '_available',
        '_configured_workers',
        '_data_centre_uses',
        '_failure_allowance',
        '_rack_candidates',
        '_topology',
        'rack_uses',
    )

    def __init__(self, topology: topologies.Topology) -> None:
        self._topology = topology
        self._failure_allowance = 0
        self._configured_workers: dict[tuple[str, ...], int] = {}
        self._data_centre_uses: dict[
            topologies.Cell, spares.DataCentreUse
        ] = {}
        self._available: dict[
            tuple[topologies.Cell, bool], allocations.Allocation
        ] = {}
        self._rack_candidates: dict[
            tuple[topologies.Cell, bool], list[spares.RackCandidate]
        ] = {}
        self.rack_uses: dict[topologies.Cell, spares.RackUse] = {}

    def set_config(self, config: configs.Config) -> None:
        """Replace the failure allowance and the configured racks.

        The failure allowance is the number of failed workers per data centre
        with which all guarantees must still be met.
        """
        self._failure_allowance = config.failed_workers
        self._configured_workers = {}
        for rack in config.racks:
            key = (rack.region, rack.data_centre, rack.name)
            self._configured_workers[key] = rack.workers
        self._data_centre_uses.clear()
        self._available.clear()
        self._rack_candidates.clear()

    def invalidate(self, cell: topologies.Cell) -> None:
        """Invalidate the cached results of a data centre that changed."""
        self._data_centre_uses.pop(cell, None)
        for keep_spares in (False, True):
            self._available.pop((cell, keep_spares), None)
            self._rack_candidates.pop((cell, keep_spares), None)

    def has_all_spares(self, shape: configs.Guarantee) -> bool:
        """Return whether no worker in a shape's data centres has failed."""
        return all(
            self._get_data_centre_use(centre).spares >= self._failure_allowance
            for centre in self._get_centres(shape)
        )

    def classify(
        self, allocation: allocations.Allocation, adjacency: hardware.Adjacency
    ) -> tuple[topologies.Cell | None, spares.RackUse]:
        """Determine how an existing binding uses its rack.

        :returns: the rack, or ``None`` if the binding does not span workers
            of a rack, and its use.
        """
        if adjacency is not hardware.Adjacency.RACK or len(allocation) < 2:
            return None, spares.RackUse.POOL
        rack = next(iter(allocation)).rack
        count = self._get_data_centre_use(rack.parent).spares
        unbound_count = sum(
            1
            for node in rack.nodes
            if node.is_usable() and not node.bound and node not in allocation
        )
        if unbound_count >= count:
            return rack, spares.RackUse.SHARED
        return rack, spares.RackUse.EXCLUSIVE

    def find(
        self,
        shape: configs.Guarantee,
        keep_spares: bool,
        prefer_exclusive: bool,
        get_reclaim_cost: Callable[[topologies.Node, int], int] | None = None,
    ) -> (
        tuple[allocations.Allocation, topologies.Cell | None, spares.RackUse]
        | None
    ):
        """Find accelerators for an instance of a shape.

        :param keep_spares: whether spare workers for failures stay unbound.
        :param prefer_exclusive: whether a shape that spans several workers of
            a rack prefers an empty rack to a shared one.
        :param get_reclaim_cost: returns the accelerators to reclaim on a
            worker to use a number of them; bindings that reclaim fewer are
            preferred.
        :returns: accelerators of each worker, the rack whose use changes and
            its new use; ``None`` if there is no room.
        """
        centres = self._get_centres(shape)
        count = shape.accelerators
        allocation = self._find_worker(
            centres, count, keep_spares, get_reclaim_cost
        )
        if allocation is not None:
            return allocation, None, spares.RackUse.POOL
        if shape.adjacency is hardware.Adjacency.WORKER:
            return None
        if shape.adjacency is hardware.Adjacency.RACK:
            return self._find_rack(
                centres, count, keep_spares, prefer_exclusive, get_reclaim_cost
            )
        best = None
        for centre in centres:
            available = self._get_available(centre, keep_spares)
            total = sum(available.values())
            if total < count:
                continue
            allocation = allocations.fill_cell(centre, count, available)
            cost = allocations.count_reclaimed(allocation, get_reclaim_cost)
            key = (cost, total - count, len(allocation))
            if best is None or key < best[0]:
                best = (key, allocation)
        if best is not None:
            return best[1], None, spares.RackUse.POOL
        if shape.adjacency is hardware.Adjacency.REGION and centres:
            available = {}
            for centre in centres:
                available.update(self._get_available(centre, keep_spares))
            if sum(available.values()) >= count:
                region = centres[0].parent
                assert region is not None
                return (
                    allocations.fill_cell(region, count, available),
                    None,
                    spares.RackUse.POOL,
                )
        return None

    def _get_centres(self, shape: configs.Guarantee) -> list[topologies.Cell]:
        regions = self._topology.cells[hardware.Adjacency.REGION]
        region = regions.get((shape.region,))
        if region is None:
            return []
        if shape.data_centre is None:
            return region.children
        return [c for c in region.children if c.key[-1] == shape.data_centre]

    def _get_data_centre_use(
        self, centre: topologies.Cell
    ) -> spares.DataCentreUse:
        use = self._data_centre_uses.get(centre)
        if use is None:
            use = spares.DataCentreUse(
                centre,
                self._failure_allowance,
                self._configured_workers,
                self.rack_uses,
            )
            self._data_centre_uses[centre] = use
        return use

    def _find_worker(
        self,
        centres: list[topologies.Cell],
        count: int,
        keep_spares: bool,
        get_reclaim_cost: Callable[[topologies.Node, int], int] | None,
    ) -> allocations.Allocation | None:
        best: tuple[tuple[int, ...], topologies.Node] | None = None
        for centre in centres:
            if centre.size - centre.bound < count:
                continue
            available = self._get_available(centre, keep_spares)
            for node, free in available.items():
                if free < count:
                    continue
                key = (
                    get_reclaim_cost(node, count) if get_reclaim_cost else 0,
                    0 if node.bound else 1,
                    free - count,
                    node.ordinal,
                )
                if best is None or key < best[0]:
                    best = (key, node)
        return None if best is None else {best[1]: count}

    def _find_rack(
        self,
        centres: list[topologies.Cell],
        count: int,
        keep_spares: bool,
        prefer_exclusive: bool,
        get_reclaim_cost: Callable[[topologies.Node, int], int] | None,
    ) -> (
        tuple[allocations.Allocation, topologies.Cell | None, spares.RackUse]
        | None
    ):
        best: tuple[tuple[int, ...], spares.RackCandidate] | None = None
        for centre in centres:
            for position, candidate in enumerate(
                self._get_rack_candidates(centre, keep_spares)
            ):
                if candidate.total < count:
                    continue
                cost = 0
                if get_reclaim_cost is not None:
                    allocation = allocations.fill_cell(
                        candidate.rack, count, candidate.available
                    )
                    cost = allocations.count_reclaimed(
                        allocation, get_reclaim_cost
                    )
                exclusive = candidate.use is spares.RackUse.EXCLUSIVE
                key = (
                    cost,
                    int(exclusive != prefer_exclusive),
                    candidate.total - count,
                    position,
                )
                if best is None or key < best[0]:
                    best = (key, candidate)
        if best is None:
            return None
        candidate = best[1]
        allocation = allocations.fill_cell(
            candidate.rack, count, candidate.available
        )
        return allocation, candidate.rack, candidate.use

    def _get_rack_candidates(
        self, centre: topologies.Cell, keep_spares: bool
    ) -> list[spares.RackCandidate]:
        candidates = self._rack_candidates.get((centre, keep_spares))
        if candidates is not None:
            return candidates
        candidates = []
        use = self._get_data_centre_use(centre)
        count = use.spares if keep_spares else 0
        for rack in centre.children:
            if rack.bound >= rack.size:
                continue
            available = self._get_shared_available(rack, use, count)
            if available:
                candidates.append(
                    spares.RackCandidate(
                        rack, spares.RackUse.SHARED, available
                    )
                )
            if count:
                available = self._get_exclusive_available(rack, use, count)
                if available:
                    candidates.append(
                        spares.RackCandidate(
                            rack, spares.RackUse.EXCLUSIVE, available
                        )
                    )
        self._rack_candidates[centre, keep_spares] = candidates
        return candidates

    def _get_shared_available(
        self, rack: topologies.Cell, use: spares.DataCentreUse, count: int
    ) -> allocations.Allocation:
        """Return the accelerators that a shape may use in a shared rack.

        :param count: number of workers of the rack that stay unbound as
            spares.
        """
        rack_use = self.rack_uses.get(rack, spares.RackUse.POOL)
        if not count:
            return allocations.get_unbound(rack.nodes)
        if rack_use is spares.RackUse.EXCLUSIVE:
            return {}
        usable = [node for node in rack.nodes if node.is_usable()]
        if not usable:
            return {}
        unbound_workers = [node for node in usable if not node.bound]
        if rack_use is spares.RackUse.POOL:
            # A shape that spans several workers of the rack would turn the
            # rack from a pool rack into a shared rack, which keeps spares for
            # itself only. The racks left in the pool, those without such a
            # shape, must still have enough spare workers.
            size = usable[0].size
            remaining = use.count_available(size) - len(unbound_workers)
            bound = len(usable) - len(unbound_workers)
            if remaining < 0 and use.bound_worker_counts.get(size, 0) > bound:
                return {}
            min_workers = use.largest_exclusive_rack_sizes.get(size, 0)
            if not bound and not use.has_spare_racks_without(
                size, len(usable), min_workers
            ):
                return {}
        spare_workers = unbound_workers[len(unbound_workers) - count :]
        if len(unbound_workers) < count:
            return {}
        available = allocations.get_unbound(usable)
        for node in spare_workers:
            available.pop(node, None)
        return available

    def _get_exclusive_available(
        self, rack: topologies.Cell, use: spares.DataCentreUse, count: int
    ) -> allocations.Allocation:
        """Return the accelerators of an empty rack for exclusive use.

        :param count: number of spare racks that must remain.
        """
        if (
            self.rack_uses.get(rack, spares.RackUse.POOL)
            is not spares.RackUse.POOL
        ):
            return {}
        usable = [node for node in rack.nodes if node.is_usable()]
        if not usable or any(node.bound for node in usable):
            return {}
        size = usable[0].size
        min_workers = max(
            len(usable), use.largest_exclusive_rack_sizes.get(size, 0)
        )
        if not use.has_spare_racks_without(size, len(usable), min_workers):
            return {}
        reserve = count * min_workers
        if use.bound_worker_counts.get(size, 0):
            reserve += count
        if use.unbound_worker_counts.get(size, 0) - len(usable) < reserve:
            return {}
        return allocations.get_unbound(usable)

    def _get_available(
        self, centre: topologies.Cell, keep_spares: bool
    ) -> allocations.Allocation:
        """Return accelerators for shapes that do not span a rack's workers."""
        available = self._available.get((centre, keep_spares))
        if available is None:
            use = self._get_data_centre_use(centre)
            if keep_spares and use.spares:
                available = self._get_available_beyond_spares(centre, use)
            else:
                available = allocations.get_unbound(centre.nodes)
            self._available[centre, keep_spares] = available
        return available

    def _get_available_beyond_spares(
        self, centre: topologies.Cell, use: spares.DataCentreUse
    ) -> allocations.Allocation:
        available: allocations.Allocation = {}
        remaining: dict[int, int] = {}
        spare_racks = {
            size: use.get_spare_racks(size)
            for size in use.largest_exclusive_rack_sizes
        }
        # Racks that have bindings go first, so that empty racks stay empty.
        for rack in sorted(centre.children, key=lambda rack: not rack.bound):
            rack_use = self.rack_uses.get(rack, spares.RackUse.POOL)
            if rack_use is spares.RackUse.EXCLUSIVE:
                continue
            shared = rack_use is spares.RackUse.SHARED
            if (
                spare_racks
                and not shared
                and spares.remove_spare_rack(rack, spare_racks)
            ):
                continue
            rack_remaining = 0
            if shared:
                rack_remaining = -use.spares + sum(
                    1 for n in rack.nodes if n.is_usable() and not n.bound
                )
            for node in rack.nodes:
                if not node.is_usable() or node.bound >= node.size:
                    continue
                if node.bound:
                    available[node] = node.size - node.bound
                elif shared:
                    rack_remaining -= 1
                    if rack_remaining >= 0:
                        available[node] = node.size
                else:
                    if node.size not in remaining:
                        remaining[node.size] = use.count_available(node.size)
                    remaining[node.size] -= 1
                    if remaining[node.size] >= 0:
                        available[node] = node.size
        return available
