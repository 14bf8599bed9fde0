"""Finds unbound accelerators for instances of guaranteed shapes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import filling
from damaskpin.scheduler import spares

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpin.model import config as configs
    from damaskpin.scheduler import topology as topologies


class Packer:
    """Finds unbound accelerators for one instance of a guaranteed shape.

    :ivar uses: how each rack is used that holds a shape which spans several
        of its workers.
    """

    __slots__ = (
        '_allowed',
        '_available',
        '_cache',
        '_expected',
        '_offers',
        '_topology',
        'uses',
    )

    def __init__(self, topology: topologies.Topology) -> None:
        self._topology = topology
        self._allowed = 0
        self._expected: dict[tuple[str, ...], int] = {}
        self._cache: dict[topologies.Cell, spares.DataCentreUse] = {}
        self._available: dict[tuple[topologies.Cell, bool], filling.Parts] = {}
        self._offers: dict[
            tuple[topologies.Cell, bool], list[spares.RackOffer]
        ] = {}
        self.uses: dict[topologies.Cell, spares.RackUse] = {}

    def set_config(self, config: configs.Config) -> None:
        """Replace the failure allowance and the configured racks."""
        self._allowed = config.failed_workers
        self._expected = {}
        for rack in config.racks:
            key = (rack.region, rack.data_centre, rack.name)
            self._expected[key] = rack.workers
        self._cache.clear()
        self._available.clear()
        self._offers.clear()

    def forget(self, cell: topologies.Cell) -> None:
        """Invalidate the cached results of a data centre that changed."""
        self._cache.pop(cell, None)
        for keep_spares in (False, True):
            self._available.pop((cell, keep_spares), None)
            self._offers.pop((cell, keep_spares), None)

    def has_all_spares(self, shape: configs.Guarantee) -> bool:
        """Return whether no worker in a shape's data centres has failed."""
        return all(
            self._get_use(centre).spares >= self._allowed
            for centre in self._get_centres(shape)
        )

    def classify(
        self, parts: filling.Parts, adjacency: hardware.Adjacency
    ) -> tuple[topologies.Cell | None, spares.RackUse]:
        """Determine how an existing binding uses its rack.

        :returns: the rack, or ``None`` if the binding does not span workers
            of a rack, and its use.
        """
        if adjacency is not hardware.Adjacency.RACK or len(parts) < 2:
            return None, spares.RackUse.POOL
        rack = next(iter(parts)).rack
        count = self._get_use(rack.parent).spares
        untouched = sum(
            1
            for node in rack.nodes
            if node.is_usable() and not node.bound and node not in parts
        )
        if untouched >= count:
            return rack, spares.RackUse.SHARED
        return rack, spares.RackUse.EXCLUSIVE

    def find(
        self,
        shape: configs.Guarantee,
        keep_spares: bool,
        prefer_exclusive: bool,
        weigh: Callable[[topologies.Node, int], int] | None = None,
    ) -> tuple[filling.Parts, topologies.Cell | None, spares.RackUse] | None:
        """Find accelerators for an instance of a shape.

        :param keep_spares: whether spare workers for failures stay unbound.
        :param prefer_exclusive: whether a shape that spans several workers of
            a rack prefers an empty rack to a shared one.
        :param weigh: returns the accelerators to reclaim on a worker to use a
            number of them; bindings that reclaim fewer are preferred.
        :returns: accelerators of each worker, the rack whose use changes and
            its new use; ``None`` if there is no room.
        """
        centres = self._get_centres(shape)
        count = shape.accelerators
        parts = self._find_worker(centres, count, keep_spares, weigh)
        if parts is not None:
            return parts, None, spares.RackUse.POOL
        if shape.adjacency is hardware.Adjacency.WORKER:
            return None
        if shape.adjacency is hardware.Adjacency.RACK:
            return self._find_rack(
                centres, count, keep_spares, prefer_exclusive, weigh
            )
        best = None
        for centre in centres:
            avail = self._get_available(centre, keep_spares)
            total = sum(avail.values())
            if total < count:
                continue
            parts = filling.fill_cell(centre, count, avail)
            cost = filling.weigh_parts(parts, weigh)
            key = (cost, total - count, len(parts))
            if best is None or key < best[0]:
                best = (key, parts)
        if best is not None:
            return best[1], None, spares.RackUse.POOL
        if shape.adjacency is hardware.Adjacency.REGION and centres:
            avail = {}
            for centre in centres:
                avail.update(self._get_available(centre, keep_spares))
            if sum(avail.values()) >= count:
                region = centres[0].parent
                assert region is not None
                return (
                    filling.fill_cell(region, count, avail),
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

    def _get_use(self, centre: topologies.Cell) -> spares.DataCentreUse:
        use = self._cache.get(centre)
        if use is None:
            use = spares.DataCentreUse(
                centre, self._allowed, self._expected, self.uses
            )
            self._cache[centre] = use
        return use

    def _find_worker(
        self,
        centres: list[topologies.Cell],
        count: int,
        keep_spares: bool,
        weigh: Callable[[topologies.Node, int], int] | None,
    ) -> filling.Parts | None:
        best: tuple[tuple[int, ...], topologies.Node] | None = None
        for centre in centres:
            if centre.size - centre.bound < count:
                continue
            avail = self._get_available(centre, keep_spares)
            for node, free in avail.items():
                if free < count:
                    continue
                key = (
                    weigh(node, count) if weigh else 0,
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
        weigh: Callable[[topologies.Node, int], int] | None,
    ) -> tuple[filling.Parts, topologies.Cell | None, spares.RackUse] | None:
        best: tuple[tuple[int, ...], spares.RackOffer] | None = None
        for centre in centres:
            for position, offer in enumerate(
                self._get_offers(centre, keep_spares)
            ):
                if offer.total < count:
                    continue
                cost = 0
                if weigh is not None:
                    parts = filling.fill_cell(offer.rack, count, offer.avail)
                    cost = filling.weigh_parts(parts, weigh)
                exclusive = offer.use is spares.RackUse.EXCLUSIVE
                key = (
                    cost,
                    int(exclusive != prefer_exclusive),
                    offer.total - count,
                    position,
                )
                if best is None or key < best[0]:
                    best = (key, offer)
        if best is None:
            return None
        offer = best[1]
        parts = filling.fill_cell(offer.rack, count, offer.avail)
        return parts, offer.rack, offer.use

    def _get_offers(
        self, centre: topologies.Cell, keep_spares: bool
    ) -> list[spares.RackOffer]:
        offers = self._offers.get((centre, keep_spares))
        if offers is not None:
            return offers
        offers = []
        use = self._get_use(centre)
        count = use.spares if keep_spares else 0
        for rack in centre.children:
            if rack.bound >= rack.size:
                continue
            avail = self._share_rack(rack, use, count)
            if avail:
                offers.append(
                    spares.RackOffer(rack, spares.RackUse.SHARED, avail)
                )
            if count:
                avail = self._take_rack(rack, use, count)
                if avail:
                    offers.append(
                        spares.RackOffer(rack, spares.RackUse.EXCLUSIVE, avail)
                    )
        self._offers[centre, keep_spares] = offers
        return offers

    def _share_rack(
        self, rack: topologies.Cell, use: spares.DataCentreUse, count: int
    ) -> filling.Parts:
        """Return the accelerators of a rack without its own spare workers.

        :param count: number of spare workers that the rack keeps.
        """
        kind = self.uses.get(rack, spares.RackUse.POOL)
        if not count:
            return filling.get_unbound(rack.nodes)
        if kind is spares.RackUse.EXCLUSIVE:
            return {}
        usable = [node for node in rack.nodes if node.is_usable()]
        if not usable:
            return {}
        untouched = [node for node in usable if not node.bound]
        if kind is spares.RackUse.POOL:
            # When the rack becomes shared, the other pool racks must still
            # have enough spare workers.
            size = usable[0].size
            left = use.count_available(size) - len(untouched)
            bound = len(usable) - len(untouched)
            if left < 0 and use.touched.get(size, 0) > bound:
                return {}
            need = use.exclusive.get(size, 0)
            if not bound and not use.can_give_rack(size, len(usable), need):
                return {}
        kept = untouched[len(untouched) - count :]
        if len(untouched) < count:
            return {}
        avail = filling.get_unbound(usable)
        for node in kept:
            avail.pop(node, None)
        return avail

    def _take_rack(
        self, rack: topologies.Cell, use: spares.DataCentreUse, count: int
    ) -> filling.Parts:
        """Return the accelerators of an empty rack for exclusive use.

        :param count: number of spare racks that must remain.
        """
        if self.uses.get(rack, spares.RackUse.POOL) is not spares.RackUse.POOL:
            return {}
        usable = [node for node in rack.nodes if node.is_usable()]
        if not usable or any(node.bound for node in usable):
            return {}
        size = usable[0].size
        need = max(len(usable), use.exclusive.get(size, 0))
        if not use.can_give_rack(size, len(usable), need):
            return {}
        reserve = count * need
        if use.touched.get(size, 0):
            reserve += count
        if use.untouched.get(size, 0) - len(usable) < reserve:
            return {}
        return filling.get_unbound(usable)

    def _get_available(
        self, centre: topologies.Cell, keep_spares: bool
    ) -> filling.Parts:
        """Return the accelerators for shapes that need not span a rack."""
        avail = self._available.get((centre, keep_spares))
        if avail is None:
            use = self._get_use(centre)
            if keep_spares and use.spares:
                avail = self._list_available(centre, use)
            else:
                avail = filling.get_unbound(centre.nodes)
            self._available[centre, keep_spares] = avail
        return avail

    def _list_available(
        self, centre: topologies.Cell, use: spares.DataCentreUse
    ) -> filling.Parts:
        avail: filling.Parts = {}
        left: dict[int, int] = {}
        kept = {size: use.get_kept_racks(size) for size in use.exclusive}
        # Racks that have bindings go first, so that empty racks stay empty.
        for rack in sorted(centre.children, key=lambda rack: not rack.bound):
            kind = self.uses.get(rack, spares.RackUse.POOL)
            if kind is spares.RackUse.EXCLUSIVE:
                continue
            shared = kind is spares.RackUse.SHARED
            if kept and not shared and spares.take_kept_rack(rack, kept):
                continue
            rack_left = 0
            if shared:
                rack_left = -use.spares + sum(
                    1 for n in rack.nodes if n.is_usable() and not n.bound
                )
            for node in rack.nodes:
                if not node.is_usable() or node.bound >= node.size:
                    continue
                if node.bound:
                    avail[node] = node.size - node.bound
                elif shared:
                    rack_left -= 1
                    if rack_left >= 0:
                        avail[node] = node.size
                else:
                    if node.size not in left:
                        left[node.size] = use.count_available(node.size)
                    left[node.size] -= 1
                    if left[node.size] >= 0:
                        avail[node] = node.size
        return avail
