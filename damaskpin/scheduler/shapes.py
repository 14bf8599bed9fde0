"""Defines instances of guaranteed shapes and matches jobs to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import spares
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs
    from damaskpin.scheduler import allocations

ShapeInstanceKey = tuple[str, str, int]


class ShapeInstance:
    """One of the ``count`` instances of a guaranteed shape.

    :ivar binding: accelerators of each worker bound to the instance.
    :ivar backup_binding: binding that replaces ``binding`` after the current
        job has ended, because a worker of ``binding`` failed; ``None`` without
        one.
    :ivar used: accelerators of each worker that the current job uses or has
        claimed.
    :ivar job_id: id of the job that uses the instance, or ``None``.
    :ivar rack: rack whose workers the instance spans, or ``None``.
    :ivar rack_use: how the instance uses its rack.
    :ivar bind_failed: whether binding the instance has failed since the last
        change of the region.
    """

    __slots__ = (
        'account',
        'backup_binding',
        'bind_failed',
        'binding',
        'job_id',
        'key',
        'rack',
        'rack_use',
        'shape',
        'used',
    )

    def __init__(
        self, account: str, shape: configs.Guarantee, index: int
    ) -> None:
        self.key: ShapeInstanceKey = (account, shape.name, index)
        self.account = account
        self.shape = shape
        self.binding: allocations.Allocation = {}
        self.backup_binding: allocations.Allocation | None = None
        self.used: allocations.Allocation = {}
        self.job_id: str | None = None
        self.bind_failed = False
        self.rack: topologies.Cell | None = None
        self.rack_use = spares.RackUse.POOL

    def get_reserved(self) -> allocations.Allocation:
        """Return the accelerators of the binding and the backup binding."""
        if not self.backup_binding:
            return self.binding
        reserved = dict(self.binding)
        for node, count in self.backup_binding.items():
            reserved[node] = max(count, reserved.get(node, 0))
        return reserved

    def is_met(self) -> bool:
        """Return whether the instance is bound to workers in service."""
        return self.can_use_binding(
            self.binding
            if self.backup_binding is None
            else self.backup_binding
        )

    def can_use_binding(self, allocation: allocations.Allocation) -> bool:
        """Return whether a binding has enough accelerators in service."""
        if sum(allocation.values()) < self.shape.accelerators:
            # If a restored job is smaller than its shape, its cell may lack
            # room to bind the other accelerators of the shape.
            return False
        return all(node.is_usable() for node in allocation)

    def has_equal_shape(self, other: ShapeInstance) -> bool:
        """Return whether two instances can exchange their bindings."""
        own_shape, other_shape = self.shape, other.shape
        return (
            own_shape.accelerators == other_shape.accelerators
            and own_shape.adjacency is other_shape.adjacency
            and own_shape.region == other_shape.region
            and own_shape.data_centre == other_shape.data_centre
        )


def matches(shape: configs.Guarantee, spec: jobs.JobSpec) -> bool:
    """Return whether a job can use a guaranteed shape."""
    if spec.shape is not None and spec.shape != shape.name:
        return False
    if spec.accelerators > shape.accelerators:
        return False
    ranks = topologies.RANKS
    return ranks[shape.adjacency] <= ranks[spec.adjacency]


def get_size_order(instance: ShapeInstance) -> tuple[int, int]:
    """Return a sort key that puts the smallest shape first."""
    return (
        instance.shape.accelerators,
        -topologies.RANKS[instance.shape.adjacency],
    )


def get_packing_order(instance: ShapeInstance) -> tuple[int, int]:
    """Return a sort key that puts the largest shape first."""
    return (
        -instance.shape.accelerators,
        topologies.RANKS[instance.shape.adjacency],
    )
