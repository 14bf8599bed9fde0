"""Binds the instances of guaranteed shapes to accelerators.

Every instance of a shape, used or not, is bound to accelerators of one cell,
and no accelerator is bound twice. A guaranteed job runs only on accelerators
bound to its instance, and all other jobs there can be reclaimed, so every
guarantee that is not in use can be met at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import filling
from damaskpin.scheduler import packing
from damaskpin.scheduler import repacking
from damaskpin.scheduler import shapes
from damaskpin.scheduler import spares

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.scheduler import topology as topologies


class Bindings:
    """Assignment of accelerators to all instances of guaranteed shapes.

    :ivar changes: counter that increases when the set of guarantees that can
        be met may have changed.
    :ivar degraded: regions in which some instances are bound to accelerators
        that the failure allowance should keep free.
    """

    __slots__ = (
        '_dirty',
        '_packer',
        '_strict',
        '_topology',
        'by_account',
        'changes',
        'degraded',
        'instances',
    )

    def __init__(
        self, topology: topologies.Topology, strict: bool = False
    ) -> None:
        """Create an empty assignment.

        :param strict: whether an instance stays unbound if it fits only on
            spare workers that are kept for failures.
        """
        self._strict = strict
        self._topology = topology
        self._packer = packing.Packer(topology)
        # Regions whose bindings must be checked; the value tells whether
        # binding an instance has failed since the last change.
        self._dirty: dict[str, bool] = {}
        self.degraded: dict[str, bool] = {}
        self.changes = 0
        self.instances: dict[shapes.InstanceKey, shapes.Instance] = {}
        self.by_account: dict[str, list[shapes.Instance]] = {}

    def set_config(self, config: configs.Config) -> list[str]:
        """Replace the guaranteed shapes by those of a configuration.

        :returns: ids of the claimed or placed jobs whose shape instance no
            longer exists.
        """
        self._packer.set_config(config)
        self.changes += 1
        wanted: dict[shapes.InstanceKey, shapes.Instance] = {}
        self.by_account = {}
        for account in config.accounts:
            owned = self.by_account.setdefault(account.name, [])
            for shape in account.guarantees:
                for index in range(shape.count):
                    instance = shapes.Instance(account.name, shape, index)
                    known = self.instances.get(instance.key)
                    if known is not None and known.has_same_shape(instance):
                        known.shape = shape
                        instance = known
                    wanted[instance.key] = instance
                    owned.append(instance)
            # Jobs use the smallest matching shape first.
            owned.sort(key=shapes.get_size_order)
        dropped = []
        for key, instance in self.instances.items():
            if wanted.get(key) is instance:
                continue
            if instance.job_id is not None:
                dropped.append(instance.job_id)
            self.apply(instance, {}, None, {})
        self.instances = wanted
        for instance in wanted.values():
            self._touch(instance.shape.region)
        return dropped

    def note_worker_change(self, node: topologies.Node) -> None:
        """Update bindings after a worker failed or returned to service."""
        self._packer.forget(node.data_centre)
        self._touch(node.worker.region)
        if node.is_usable():
            for instance in self.instances.values():
                if instance.backup is not None and instance.holds(
                    instance.parts
                ):
                    # All workers of the running job are back in service, so
                    # its instance needs no backup binding.
                    self.apply(instance, instance.parts, None, instance.used)
            return
        affected = [
            instance
            for instance in self.instances.values()
            if node in instance.get_held()
        ]
        if affected and not self._substitute(node, affected):
            self._rebind(affected)

    def acquire(
        self, instance: shapes.Instance, job_id: str, used: filling.Parts
    ) -> None:
        """Record that a job uses accelerators bound to a shape instance."""
        instance.job_id = job_id
        self.apply(instance, instance.parts, instance.backup, used)

    def release(self, instance: shapes.Instance) -> None:
        """Record that no job uses a shape instance any more."""
        instance.job_id = None
        parts = instance.parts if instance.backup is None else instance.backup
        if not instance.holds(parts):
            parts = {}
        self.apply(instance, parts, None, {})
        region = instance.shape.region
        if not parts or region in self.degraded:
            self._touch(region)

    def exchange(
        self, first: shapes.Instance, second: shapes.Instance
    ) -> None:
        """Swap the bindings of two unused instances of equal shape."""
        ours, theirs = first.parts, second.parts
        racks = (first.rack, first.rack_use, second.rack, second.rack_use)
        self.apply(first, {}, None, {})
        self.apply(second, {}, None, {})
        self.apply(first, theirs, None, {}, (racks[2], racks[3]))
        self.apply(second, ours, None, {}, (racks[0], racks[1]))

    def move(self, instance: shapes.Instance, weigh) -> bool:
        """Rebind an unused instance if fewer accelerators are reclaimed.

        Bindings are not moved while workers are failed: that would split up
        the spare workers that replace them, and spares would be missing
        when the failed workers return.

        :param weigh: returns the number of accelerators to reclaim on a
            worker in order to use a given number of them.
        :returns: whether the binding has changed.
        """
        if not self._packer.has_all_spares(instance.shape):
            return False
        old = (instance.parts, (instance.rack, instance.rack_use))
        self.apply(instance, {}, None, {})
        found = self._packer.find(instance.shape, True, False, weigh)
        if found is not None:
            cost = filling.weigh_parts(found[0], weigh)
            if cost < filling.weigh_parts(old[0], weigh):
                self.apply(instance, found[0], None, {}, found[1:])
                return True
        self.apply(instance, old[0], None, {}, old[1])
        return False

    def pin(
        self, instance: shapes.Instance, job_id: str, used: filling.Parts
    ) -> bool:
        """Bind an unused instance to accelerators on which its job runs.

        Other unused instances bound to the same workers are unbound.

        :param used: accelerators of each worker that the job uses.
        :returns: whether the instance was bound.
        """
        held: filling.Parts = {}
        for other in self.instances.values():
            if other.job_id is None:
                continue
            for node, count in other.get_held().items():
                held[node] = held.get(node, 0) + count
        for node, count in used.items():
            if node.size - held.get(node, 0) < count:
                return False
        for other in self.instances.values():
            if other.job_id is None and any(n in used for n in other.parts):
                self.apply(other, {}, None, {})
        cell = next(iter(used)).get_cell(instance.shape.adjacency)
        parts = filling.extend_parts(
            used,
            instance.shape.accelerators,
            list(used) if cell is None else cell.nodes,
        )
        instance.job_id = job_id
        rack = self._packer.classify(parts, instance.shape.adjacency)
        self.apply(instance, parts, None, used, rack)
        self._touch(instance.shape.region)
        return True

    def settle(self, limit: int) -> bool:
        """Bind unbound instances, or repack regions where that fails.

        Instances in use keep their bindings.

        :param limit: maximum number of instances to bind in a region; one
            call repacks at most one region.
        :returns: whether no region is left to check.
        """
        for region in list(self._dirty):
            unmet = [
                instance
                for instance in self.instances.values()
                if instance.shape.region == region and not instance.is_met()
            ]
            waiting = [i for i in unmet if not i.tried]
            waiting.sort(key=shapes.get_pack_order)
            for instance in waiting[:limit]:
                instance.tried = not self.bind(instance, True)
                if instance.tried:
                    self._dirty[region] = True
            if len(waiting) > limit:
                return False
            if region in self.degraded or any(i.tried for i in unmet):
                if waiting:
                    return False
                kept = repacking.repack(self, region, self._strict)
                self.degraded.pop(region, None)
                if not kept:
                    self.degraded[region] = True
                for instance in unmet:
                    instance.tried = False
                del self._dirty[region]
                return not self._dirty
            del self._dirty[region]
        return True

    def get_unmet(self) -> dict[tuple[str, str], int]:
        """Count the unmet instances by account and shape name."""
        unmet: dict[tuple[str, str], int] = {}
        for instance in self.instances.values():
            if not instance.is_met():
                key = instance.key[:2]
                unmet[key] = unmet.get(key, 0) + 1
        return unmet

    def get_shape(self, key: tuple[str, str]) -> configs.Guarantee:
        """Return a shape by account and shape name."""
        return self.instances[(key[0], key[1], 0)].shape

    def _touch(self, region: str) -> None:
        """Mark a region for its bindings to be checked again."""
        self.changes += 1
        if self._dirty.get(region):
            for instance in self.instances.values():
                if instance.shape.region == region:
                    instance.tried = False
        self._dirty[region] = False

    def apply(
        self,
        instance: shapes.Instance,
        parts: filling.Parts,
        backup: filling.Parts | None,
        used: filling.Parts,
        rack: tuple[topologies.Cell | None, spares.RackUse] | None = None,
    ) -> None:
        """Set the binding of a shape instance and update bound counts.

        :param parts: accelerators of each worker to bind.
        :param backup: binding to use after the current job has ended.
        :param used: accelerators of each worker that the job uses.
        :param rack: rack that the instance occupies, and how it is used.
        """
        for sign in (-1, 1):
            if sign == 1:
                instance.parts = parts
                instance.backup = backup
                instance.used = used
            for node, count in instance.get_held().items():
                node.bound += sign * count
                node.bound_unused += sign * count
                for cell in node.cells:
                    cell.bound += sign * count
                self._packer.forget(node.data_centre)
            for node, count in instance.used.items():
                node.bound_unused -= sign * count
        if rack is not None:
            instance.rack, instance.rack_use = rack
        elif not parts:
            self._drop_rack(instance)
        if instance.rack is not None:
            self._packer.uses[instance.rack] = instance.rack_use

    def _drop_rack(self, instance: shapes.Instance) -> None:
        rack = instance.rack
        instance.rack = None
        instance.rack_use = spares.RackUse.POOL
        if rack is None:
            return
        self._packer.forget(rack.parent)
        if not any(i.rack is rack for i in self.instances.values()):
            self._packer.uses.pop(rack, None)

    def bind(
        self,
        instance: shapes.Instance,
        keep_spares: bool,
        exclusive: bool = False,
    ) -> bool:
        """Bind an instance; if a job uses it, set a backup binding instead.

        :param keep_spares: whether spare workers for failures stay unbound.
        :param exclusive: whether an empty rack is preferred for an instance
            that spans several workers of a rack.
        :returns: whether accelerators were found.
        """
        parts, used = instance.parts, instance.used
        old_rack = (instance.rack, instance.rack_use)
        self.apply(instance, {}, None, {})
        found = self._packer.find(instance.shape, keep_spares, exclusive)
        if instance.job_id is None:
            if found is not None:
                self.apply(instance, found[0], None, {}, found[1:])
            return found is not None
        if found is None:
            self.apply(instance, parts, None, used, old_rack)
            return False
        self.apply(instance, parts, found[0], used, found[1:])
        return True

    def _substitute(
        self, node: topologies.Node, affected: list[shapes.Instance]
    ) -> bool:
        """Move all bindings of a failed worker to one unbound worker.

        Because no binding stays on the failed worker, it serves as a spare
        when it returns.

        :param affected: instances that have bindings on the failed worker.
        :returns: whether a suitable worker was found.
        """
        if any(i.rack_use is spares.RackUse.EXCLUSIVE for i in affected):
            return False
        spans = any(i.rack is not None for i in affected)
        other = spares.find_substitute(node, spans, self._packer.uses)
        if other is None:
            return False
        for instance in affected:
            old = instance.parts
            if instance.backup is not None and node in instance.backup:
                old = instance.backup
            new = {(other if n is node else n): c for n, c in old.items()}
            if instance.job_id is None:
                self.apply(instance, new, None, {})
            else:
                self.apply(instance, instance.parts, new, instance.used)
        return True

    def _rebind(self, instances: list[shapes.Instance]) -> None:
        """Replace the bindings of instances, the largest shape first."""
        instances = sorted(instances, key=shapes.get_pack_order)
        for instance in instances:
            if instance.job_id is None:
                self.apply(instance, {}, None, {})
        for instance in instances:
            if self.bind(instance, True):
                continue
            if self.bind(instance, False):
                self.degraded[instance.shape.region] = True
