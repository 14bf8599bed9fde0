"""Defines instances of guaranteed shapes and matches jobs to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import spares
from damaskpin.scheduler import topology as topologies

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.model import job as jobs
    from damaskpin.scheduler import filling

InstanceKey = tuple[str, str, int]


class Instance:
    """One of the ``count`` instances of a guaranteed shape.

    :ivar parts: accelerators of each worker bound to the instance.
    :ivar backup: binding that replaces ``parts`` after the current job has
        ended, because a worker of ``parts`` failed; ``None`` without one.
    :ivar used: accelerators of each worker that the current job uses or has
        claimed.
    :ivar job_id: id of the job that uses the instance, or ``None``.
    :ivar rack: rack whose workers the instance spans, or ``None``.
    :ivar rack_use: how the instance uses its rack.
    :ivar tried: whether binding the instance has failed since the last
        change of the region.
    """

    __slots__ = (
        'account',
        'backup',
        'job_id',
        'key',
        'parts',
        'rack',
        'rack_use',
        'shape',
        'tried',
        'used',
    )

    def __init__(
        self, account: str, shape: configs.Guarantee, index: int
    ) -> None:
        self.key: InstanceKey = (account, shape.name, index)
        self.account = account
        self.shape = shape
        self.parts: filling.Parts = {}
        self.backup: filling.Parts | None = None
        self.used: filling.Parts = {}
        self.job_id: str | None = None
        self.tried = False
        self.rack: topologies.Cell | None = None
        self.rack_use = spares.RackUse.POOL

    def get_held(self) -> filling.Parts:
        """Return the accelerators bound by ``parts`` or ``backup``."""
        if not self.backup:
            return self.parts
        held = dict(self.parts)
        for node, count in self.backup.items():
            held[node] = max(count, held.get(node, 0))
        return held

    def is_met(self) -> bool:
        """Return whether the instance is bound to workers in service."""
        return self.holds(self.parts if self.backup is None else self.backup)

    def holds(self, parts: filling.Parts) -> bool:
        """Return whether a binding has enough accelerators in service."""
        if sum(parts.values()) < self.shape.accelerators:
            # If a restored job is smaller than its shape, its cell may lack
            # room to bind the other accelerators of the shape.
            return False
        return all(node.is_usable() for node in parts)

    def has_same_shape(self, other: Instance) -> bool:
        """Return whether two instances can exchange their bindings."""
        mine, theirs = self.shape, other.shape
        return (
            mine.accelerators == theirs.accelerators
            and mine.adjacency is theirs.adjacency
            and mine.region == theirs.region
            and mine.data_centre == theirs.data_centre
        )


def matches(shape: configs.Guarantee, spec: jobs.JobSpec) -> bool:
    """Return whether a job can use a guaranteed shape."""
    if spec.shape is not None and spec.shape != shape.name:
        return False
    if spec.accelerators > shape.accelerators:
        return False
    ranks = topologies.RANKS
    return ranks[shape.adjacency] <= ranks[spec.adjacency]


def get_size_order(instance: Instance) -> tuple[int, int]:
    """Return a sort key that puts the smallest shape first."""
    return (
        instance.shape.accelerators,
        -topologies.RANKS[instance.shape.adjacency],
    )


def get_pack_order(instance: Instance) -> tuple[int, int]:
    """Return a sort key that puts the largest shape first."""
    return (
        -instance.shape.accelerators,
        topologies.RANKS[instance.shape.adjacency],
    )
