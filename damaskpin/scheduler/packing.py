"""Search for the accelerators that a guaranteed shape is bound to."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from damaskpin.model import hardware
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from damaskpin.model import config as configs

Parts = dict[topologies.Node, int]


class RackUse(enum.Enum):
    """How a rack serves shapes that span several of its workers.

    A shared rack keeps its own spare workers. An exclusive rack serves one
    instance only, and the spare is another empty rack: when one of its workers
    fails, the instance ends, so the whole rack becomes free.
    """

    POOL = 'pool'
    SHARED = 'shared'
    EXCLUSIVE = 'exclusive'


class RackOffer:
    """What a rack offers to shapes that span several of its workers."""

    __slots__ = ('avail', 'rack', 'total', 'use')

    def __init__(
        self, rack: topologies.Cell, use: RackUse, avail: Parts
    ) -> None:
        self.rack = rack
        self.use = use
        self.avail = avail
        self.total = sum(avail.values())


class DataCentreUse:
    """Untouched workers of a data centre, grouped by worker size.

    Spares are kept for each worker size, so that a spare always holds what
    was bound to the worker that it stands in for.

    :ivar spares: workers that may still fail under the allowance.
    :ivar untouched: workers without bindings in pool racks, by size.
    :ivar touched: workers with bindings in pool racks, by size.
    :ivar empty: workers of each rack without bindings, by size.
    :ivar exclusive: workers of the largest exclusive rack, by size.
    """

    __slots__ = ('empty', 'exclusive', 'spares', 'touched', 'untouched')

    def __init__(
        self,
        cell: topologies.Cell,
        allowed: int,
        expected: dict[tuple[str, ...], int],
        uses: dict[topologies.Cell, RackUse],
    ) -> None:
        self.untouched: dict[int, int] = {}
        self.touched: dict[int, int] = {}
        self.empty: dict[int, list[int]] = {}
        self.exclusive: dict[int, int] = {}
        failed = 0
        for rack in cell.children:
            usable = [node for node in rack.nodes if node.is_usable()]
            known_failed = rack.failed
            if rack.key in expected:
                known_failed = min(
                    known_failed, max(0, expected[rack.key] - len(usable))
                )
            failed += known_failed
            if not usable:
                continue
            use = uses.get(rack, RackUse.POOL)
            size = usable[0].size
            if use is RackUse.EXCLUSIVE:
                self.exclusive[size] = max(
                    len(usable), self.exclusive.get(size, 0)
                )
            if use is not RackUse.POOL:
                continue
            if not any(node.bound for node in usable):
                self.empty.setdefault(size, []).append(len(usable))
            for node in usable:
                counts = self.touched if node.bound else self.untouched
                counts[node.size] = counts.get(node.size, 0) + 1
        self.spares = max(0, allowed - failed)

    def count_available(self, size: int) -> int:
        """Return the untouched pool workers beyond the spares."""
        reserve = self.spares + sum(self.get_kept_racks(size))
        return self.untouched.get(size, 0) - reserve

    def get_kept_racks(self, size: int) -> list[int]:
        """Return the workers of the empty racks that are kept as spares."""
        need = self.exclusive.get(size, 0)
        if not need:
            return []
        racks = sorted(r for r in self.empty.get(size, ()) if r >= need)
        return racks[: self.spares]

    def can_give_rack(self, size: int, workers: int, need: int) -> bool:
        """Return whether enough empty racks remain without one.

        :param workers: workers of the rack that is given away.
        :param need: workers that a spare rack must have; 0 for no spare.
        """
        if not need:
            return True
        racks = sum(1 for r in self.empty.get(size, ()) if r >= need)
        return racks - int(workers >= need) >= self.spares


class Packer:
    """Finds accelerators for one shape among those that are not bound."""

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
        self._cache: dict[topologies.Cell, DataCentreUse] = {}
        self._available: dict[tuple[topologies.Cell, bool], Parts] = {}
        self._offers: dict[tuple[topologies.Cell, bool], list[RackOffer]] = {}
        self.uses: dict[topologies.Cell, RackUse] = {}

    def set_config(self, config: configs.Config) -> None:
        """Take over the allowance and the configured racks."""
        self._allowed = config.failed_workers
        self._expected = {}
        for rack in config.racks:
            key = (rack.region, rack.data_centre, rack.name)
            self._expected[key] = rack.workers
        self._cache.clear()
        self._available.clear()
        self._offers.clear()

    def forget(self, cell: topologies.Cell) -> None:
        """Drop what was derived about a data centre that changed."""
        self._cache.pop(cell, None)
        for keep_spares in (False, True):
            self._available.pop((cell, keep_spares), None)
            self._offers.pop((cell, keep_spares), None)

    def classify(
        self, parts: Parts, adjacency: hardware.Adjacency
    ) -> tuple[topologies.Cell | None, RackUse]:
        """Return how the rack of a binding that exists already is used."""
        if adjacency is not hardware.Adjacency.RACK or len(parts) < 2:
            return None, RackUse.POOL
        rack = next(iter(parts)).rack
        spares = self._get_use(rack.parent).spares
        untouched = sum(
            1
            for node in rack.nodes
            if node.is_usable() and not node.bound and node not in parts
        )
        if untouched >= spares:
            return rack, RackUse.SHARED
        return rack, RackUse.EXCLUSIVE

    def find(
        self,
        shape: configs.Guarantee,
        keep_spares: bool,
        prefer_exclusive: bool,
        weigh: Callable[[topologies.Node, int], int] | None = None,
    ) -> tuple[Parts, topologies.Cell | None, RackUse] | None:
        """Find accelerators for an instance of a shape.

        :param keep_spares: whether the allowance for failures must hold.
        :param prefer_exclusive: whether a shape that spans workers of a rack
            takes an empty rack for itself before it shares one.
        :param weigh: accelerators that must be reclaimed on a worker to use
            so many there; fewer are preferred.
        :returns: accelerators of each worker, with the rack whose use changes
            and its new use; ``None`` if there is no room.
        """
        centres = self._get_centres(shape)
        count = shape.accelerators
        parts = self._find_worker(centres, count, keep_spares, weigh)
        if parts is not None:
            return parts, None, RackUse.POOL
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
            parts = fill_cell(centre, count, avail)
            cost = weigh_parts(parts, weigh)
            key = (cost, total - count, len(parts))
            if best is None or key < best[0]:
                best = (key, parts)
        if best is not None:
            return best[1], None, RackUse.POOL
        if shape.adjacency is hardware.Adjacency.REGION and centres:
            avail = {}
            for centre in centres:
                avail.update(self._get_available(centre, keep_spares))
            if sum(avail.values()) >= count:
                region = centres[0].parent
                assert region is not None
                return fill_cell(region, count, avail), None, RackUse.POOL
        return None

    def _get_centres(self, shape: configs.Guarantee) -> list[topologies.Cell]:
        regions = self._topology.cells[hardware.Adjacency.REGION]
        region = regions.get((shape.region,))
        if region is None:
            return []
        if shape.data_centre is None:
            return region.children
        return [c for c in region.children if c.key[-1] == shape.data_centre]

    def _get_use(self, centre: topologies.Cell) -> DataCentreUse:
        use = self._cache.get(centre)
        if use is None:
            use = DataCentreUse(
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
    ) -> Parts | None:
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
    ) -> tuple[Parts, topologies.Cell | None, RackUse] | None:
        best: tuple[tuple[int, ...], RackOffer] | None = None
        for centre in centres:
            for position, offer in enumerate(
                self._get_offers(centre, keep_spares)
            ):
                if offer.total < count:
                    continue
                cost = 0
                if weigh is not None:
                    parts = fill_cell(offer.rack, count, offer.avail)
                    cost = weigh_parts(parts, weigh)
                exclusive = offer.use is RackUse.EXCLUSIVE
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
        parts = fill_cell(offer.rack, count, offer.avail)
        return parts, offer.rack, offer.use

    def _get_offers(
        self, centre: topologies.Cell, keep_spares: bool
    ) -> list[RackOffer]:
        offers = self._offers.get((centre, keep_spares))
        if offers is not None:
            return offers
        offers = []
        use = self._get_use(centre)
        spares = use.spares if keep_spares else 0
        for rack in centre.children:
            if rack.bound >= rack.size:
                continue
            avail = self._share_rack(rack, use, spares)
            if avail:
                offers.append(RackOffer(rack, RackUse.SHARED, avail))
            if spares:
                avail = self._take_rack(rack, use, spares)
                if avail:
                    offers.append(RackOffer(rack, RackUse.EXCLUSIVE, avail))
        self._offers[centre, keep_spares] = offers
        return offers

    def _share_rack(
        self, rack: topologies.Cell, use: DataCentreUse, spares: int
    ) -> Parts:
        """Return what a rack has left when it keeps its own spares."""
        kind = self.uses.get(rack, RackUse.POOL)
        if not spares:
            return get_unbound(rack.nodes)
        if kind is RackUse.EXCLUSIVE:
            return {}
        usable = [node for node in rack.nodes if node.is_usable()]
        if not usable:
            return {}
        untouched = [node for node in usable if not node.bound]
        if kind is RackUse.POOL:
            # The rack leaves the pool, which must keep its own spares.
            size = usable[0].size
            left = use.count_available(size) - len(untouched)
            bound = len(usable) - len(untouched)
            if left < 0 and use.touched.get(size, 0) > bound:
                return {}
            need = use.exclusive.get(size, 0)
            if not bound and not use.can_give_rack(size, len(usable), need):
                return {}
        kept = untouched[len(untouched) - spares :]
        if len(untouched) < spares:
            return {}
        avail = get_unbound(usable)
        for node in kept:
            avail.pop(node, None)
        return avail

    def _take_rack(
        self, rack: topologies.Cell, use: DataCentreUse, spares: int
    ) -> Parts:
        """Return what an empty rack offers to a single instance."""
        if self.uses.get(rack, RackUse.POOL) is not RackUse.POOL:
            return {}
        usable = [node for node in rack.nodes if node.is_usable()]
        if not usable or any(node.bound for node in usable):
            return {}
        size = usable[0].size
        need = max(len(usable), use.exclusive.get(size, 0))
        if not use.can_give_rack(size, len(usable), need):
            return {}
        reserve = spares * need
        if use.touched.get(size, 0):
            reserve += spares
        if use.untouched.get(size, 0) - len(usable) < reserve:
            return {}
        return get_unbound(usable)

    def _get_available(
        self, centre: topologies.Cell, keep_spares: bool
    ) -> Parts:
        """Return what the workers offer to shapes that don't need a rack."""
        avail = self._available.get((centre, keep_spares))
        if avail is None:
            use = self._get_use(centre)
            if keep_spares and use.spares:
                avail = self._list_available(centre, use)
            else:
                avail = get_unbound(centre.nodes)
            self._available[centre, keep_spares] = avail
        return avail

    def _list_available(
        self, centre: topologies.Cell, use: DataCentreUse
    ) -> Parts:
        avail: Parts = {}
        left: dict[int, int] = {}
        kept = {size: use.get_kept_racks(size) for size in use.exclusive}
        # Racks that are in use already go first: empty ones are kept.
        for rack in sorted(centre.children, key=lambda rack: not rack.bound):
            kind = self.uses.get(rack, RackUse.POOL)
            if kind is RackUse.EXCLUSIVE:
                continue
            shared = kind is RackUse.SHARED
            if kept and not shared and _is_kept(rack, kept):
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


def _is_kept(rack: topologies.Cell, kept: dict[int, list[int]]) -> bool:
    """Take an empty rack off the list of spare racks, if it is one."""
    usable = [node for node in rack.nodes if node.is_usable()]
    if not usable or any(node.bound for node in usable):
        return False
    racks = kept.get(usable[0].size, [])
    if len(usable) not in racks:
        return False
    racks.remove(len(usable))
    return True


def get_unbound(nodes: Iterable[topologies.Node]) -> Parts:
    """Return the accelerators of workers in service that are not bound."""
    return {
        node: node.size - node.bound
        for node in nodes
        if node.is_usable() and node.bound < node.size
    }


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
