"""Counts the workers and racks that are kept as spares for failures."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpin.scheduler import allocations
    from damaskpin.scheduler import topology as topologies


class RackUse(enum.Enum):
    """How a rack serves shapes that span several of its workers.

    A pool rack holds no such shape; the pool racks of a data centre have spare
    workers in common. A shared rack keeps spare workers of its own. An
    exclusive rack serves one instance only, and its spare is another
    empty rack: when one of its workers fails, the job on it ends, so the
    whole rack becomes free.
    """

    POOL = 'pool'
    SHARED = 'shared'
    EXCLUSIVE = 'exclusive'


class RackCandidate:
    """Accelerators of a rack for a shape that spans several of its workers.

    :ivar available: available accelerators of each worker.
    :ivar total: sum of ``available``.
    :ivar use: use of the rack if the shape is bound there.
    """

    __slots__ = ('available', 'rack', 'total', 'use')

    def __init__(
        self,
        rack: topologies.Cell,
        use: RackUse,
        available: allocations.Allocation,
    ) -> None:
        self.rack = rack
        self.use = use
        self.available = available
        self.total = sum(available.values())


class DataCentreUse:
    """Number of unbound and bound workers of a data centre by worker size.

    The size of a worker is its number of accelerators. Spares are kept for
    each size, so that a spare has room for all bindings of the failed worker
    that it replaces.

    :ivar spares: number of further workers that may fail under the failure
        allowance.
    :ivar unbound_worker_counts: number of workers without bindings in pool
        racks.
    :ivar bound_worker_counts: number of workers with bindings in pool racks.
    :ivar empty_rack_sizes: number of workers of each pool rack without
        bindings.
    :ivar largest_exclusive_rack_sizes: number of workers of the largest
        exclusive rack.
    """

    __slots__ = (
        'bound_worker_counts',
        'empty_rack_sizes',
        'largest_exclusive_rack_sizes',
        'spares',
        'unbound_worker_counts',
    )

    def __init__(
        self,
        cell: topologies.Cell,
        failure_allowance: int,
        configured_workers: dict[tuple[str, ...], int],
        rack_uses: dict[topologies.Cell, RackUse],
    ) -> None:
        self.unbound_worker_counts: dict[int, int] = {}
        self.bound_worker_counts: dict[int, int] = {}
        self.empty_rack_sizes: dict[int, list[int]] = {}
        self.largest_exclusive_rack_sizes: dict[int, int] = {}
        failed = 0
        for rack in cell.children:
            usable = [node for node in rack.nodes if node.is_usable()]
            known_failed = rack.failed
            if rack.key in configured_workers:
                known_failed = min(
                    known_failed,
                    max(0, configured_workers[rack.key] - len(usable)),
                )
            failed += known_failed
            if not usable:
                continue
            use = rack_uses.get(rack, RackUse.POOL)
            size = usable[0].size
            if use is RackUse.EXCLUSIVE:
                self.largest_exclusive_rack_sizes[size] = max(
                    len(usable), self.largest_exclusive_rack_sizes.get(size, 0)
                )
            if use is not RackUse.POOL:
                continue
            if not any(node.bound for node in usable):
                self.empty_rack_sizes.setdefault(size, []).append(len(usable))
            for node in usable:
                counts = (
                    self.bound_worker_counts
                    if node.bound
                    else self.unbound_worker_counts
                )
                counts[node.size] = counts.get(node.size, 0) + 1
        self.spares = max(0, failure_allowance - failed)

    def count_available(self, size: int) -> int:
        """Count the unbound workers in pool racks that are not spares."""
        reserve = self.spares + sum(self.get_spare_racks(size))
        return self.unbound_worker_counts.get(size, 0) - reserve

    def get_spare_racks(self, size: int) -> list[int]:
        """Return the number of workers of each rack kept as a spare."""
        min_workers = self.largest_exclusive_rack_sizes.get(size, 0)
        if not min_workers:
            return []
        racks = sorted(
            r for r in self.empty_rack_sizes.get(size, ()) if r >= min_workers
        )
        return racks[: self.spares]

    def has_spare_racks_without(
        self, size: int, workers: int, min_workers: int
    ) -> bool:
        """Return whether enough spare racks remain if a rack leaves the pool.

        :param size: accelerators of each worker of the rack.
        :param workers: number of workers of the rack that leaves the pool.
        :param min_workers: number of workers that a spare rack must have; 0 if
            no spare rack is needed.
        """
        if not min_workers:
            return True
        racks = sum(
            1 for r in self.empty_rack_sizes.get(size, ()) if r >= min_workers
        )
        return racks - int(workers >= min_workers) >= self.spares


def remove_spare_rack(
    rack: topologies.Cell, spare_racks: dict[int, list[int]]
) -> bool:
    """Remove an empty rack from the sizes of spare racks.

    :param spare_racks: numbers of workers of the spare racks, by worker size.
    :returns: whether the rack was a spare rack.
    """
    usable = [node for node in rack.nodes if node.is_usable()]
    if not usable or any(node.bound for node in usable):
        return False
    racks = spare_racks.get(usable[0].size, [])
    if len(usable) not in racks:
        return False
    racks.remove(len(usable))
    return True


def find_substitute(
    node: topologies.Node,
    same_rack: bool,
    rack_uses: dict[topologies.Cell, RackUse],
) -> topologies.Node | None:
    """Find an unbound worker for all bindings of a failed worker.

    :param same_rack: whether the other worker must be in the same rack,
        because a shape bound to the failed worker spans its rack.
    """
    best = None
    for other in node.data_centre.nodes:
        if other.bound or not other.is_usable() or other.size < node.bound:
            continue
        use = rack_uses.get(other.rack, RackUse.POOL)
        same = other.rack is node.rack
        if not same and (same_rack or use is not RackUse.POOL):
            continue
        key = (not same, other.size, other.ordinal)
        if best is None or key < best[0]:
            best = (key, other)
    return None if best is None else best[1]
