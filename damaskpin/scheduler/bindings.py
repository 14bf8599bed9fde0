"""Binds the instances of guaranteed shapes to accelerators.

Every instance of a shape, used or not, is bound to accelerators of one cell,
and no accelerator is bound twice. A guaranteed job runs only on accelerators
bound to its instance, and all other jobs there can be reclaimed, so every
guarantee that is not in use can be met at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import allocations
from damaskpin.scheduler import packing
from damaskpin.scheduler import repacking
from damaskpin.scheduler import shapes
from damaskpin.scheduler import spares

if TYPE_CHECKING:
    from damaskpin.model import config as configs
    from damaskpin.scheduler import topology as topologies


class Bindings:
    """Assignment of accelerators to all instances of guaranteed shapes.

    :ivar change_count: counter that increases when the set of guarantees that
        can be met may have changed.
    :ivar degraded_regions: regions in which some instances are bound to
        accelerators that the failure allowance should keep free.
    """

    __slots__ = (
        '_packer',
        '_pending_regions',
        '_strict',
        '_topology',
        'by_account',
        'change_count',
        'degraded_regions',
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
        self._pending_regions: dict[str, bool] = {}
        self.degraded_regions: dict[str, bool] = {}
        self.change_count = 0
        self.instances: dict[
            shapes.ShapeInstanceKey, shapes.ShapeInstance
        ] = {}
        self.by_account: dict[str, list[shapes.ShapeInstance]] = {}

    def set_config(self, config: configs.Config) -> list[str]:
        """Replace the guaranteed shapes by those of a configuration.

        :returns: ids of the claimed or placed jobs whose shape instance no
            longer exists.
        """
        self._packer.set_config(config)
        self.change_count += 1
        configured: dict[shapes.ShapeInstanceKey, shapes.ShapeInstance] = {}
        self.by_account = {}
        for account in config.accounts:
            account_instances = self.by_account.setdefault(account.name, [])
            for shape in account.guarantees:
                for index in range(shape.count):
                    instance = shapes.ShapeInstance(account.name, shape, index)
                    existing = self.instances.get(instance.key)
                    if existing is not None and existing.has_equal_shape(
                        instance
                    ):
                        existing.shape = shape
                        instance = existing
                    configured[instance.key] = instance
                    account_instances.append(instance)
            # Jobs use the smallest matching shape first.
            account_instances.sort(key=shapes.get_size_order)
        dropped_job_ids = []
        for key, instance in self.instances.items():
            if configured.get(key) is instance:
                continue
            if instance.job_id is not None:
                dropped_job_ids.append(instance.job_id)
            self.set_binding(instance, {}, None, {})
        self.instances = configured
        for instance in configured.values():
            self._mark_for_check(instance.shape.region)
        return dropped_job_ids

    def handle_worker_change(self, node: topologies.Node) -> None:
        """Update bindings after a worker failed or returned to service."""
        self._packer.invalidate(node.data_centre)
        self._mark_for_check(node.worker.region)
        if node.is_usable():
            for instance in self.instances.values():
                if (
                    instance.backup_binding is not None
                    and instance.can_use_binding(instance.binding)
                ):
                    # All workers of the running job are back in service, so
                    # its instance needs no backup binding.
                    self.set_binding(
                        instance, instance.binding, None, instance.used
                    )
            return
        affected = [
            instance
            for instance in self.instances.values()
            if node in instance.get_reserved()
        ]
        if affected and not self._move_to_substitute(node, affected):
            self._rebind(affected)

    def acquire(
        self,
        instance: shapes.ShapeInstance,
        job_id: str,
        used: allocations.Allocation,
    ) -> None:
        """Record that a job uses accelerators bound to a shape instance."""
        instance.job_id = job_id
        self.set_binding(
            instance, instance.binding, instance.backup_binding, used
        )

    def release(self, instance: shapes.ShapeInstance) -> None:
        """Record that no job uses a shape instance any more."""
        instance.job_id = None
        binding = (
            instance.binding
            if instance.backup_binding is None
            else instance.backup_binding
        )
        if not instance.can_use_binding(binding):
            binding = {}
        self.set_binding(instance, binding, None, {})
        region = instance.shape.region
        if not binding or region in self.degraded_regions:
            self._mark_for_check(region)

    def swap_bindings(
        self, first: shapes.ShapeInstance, second: shapes.ShapeInstance
    ) -> None:
        """Swap the bindings of two unused instances of equal shape."""
        first_binding, second_binding = first.binding, second.binding
        racks = (first.rack, first.rack_use, second.rack, second.rack_use)
        self.set_binding(first, {}, None, {})
        self.set_binding(second, {}, None, {})
        self.set_binding(first, second_binding, None, {}, (racks[2], racks[3]))
        self.set_binding(second, first_binding, None, {}, (racks[0], racks[1]))

    def move_binding(
        self, instance: shapes.ShapeInstance, get_reclaim_cost
    ) -> bool:
        """Rebind an unused instance if fewer accelerators are reclaimed.

        Bindings are not moved while workers are failed. A move could divide
        the bindings of a failed worker, which one spare worker has taken
        over, among several spare workers; when the failed worker returns, it
        would make up for only one of them.

        :param get_reclaim_cost: returns the number of accelerators to reclaim
            on a worker in order to use a given number of them.
        :returns: whether the binding has changed.
        """
        if not self._packer.has_all_spares(instance.shape):
            return False
        old_binding = (instance.binding, (instance.rack, instance.rack_use))
        self.set_binding(instance, {}, None, {})
        candidate = self._packer.find(
            instance.shape, True, False, get_reclaim_cost
        )
        if candidate is not None:
            cost = allocations.count_reclaimed(candidate[0], get_reclaim_cost)
            if cost < allocations.count_reclaimed(
                old_binding[0], get_reclaim_cost
            ):
                self.set_binding(
                    instance, candidate[0], None, {}, candidate[1:]
                )
                return True
        self.set_binding(instance, old_binding[0], None, {}, old_binding[1])
        return False

    def bind_to_running_job(
        self,
        instance: shapes.ShapeInstance,
        job_id: str,
        used: allocations.Allocation,
    ) -> bool:
        """Bind an unused instance to accelerators on which its job runs.

        Other unused instances bound to the same workers are unbound.

        :param used: accelerators of each worker that the job uses.
        :returns: whether the instance was bound.
        """
        reserved: allocations.Allocation = {}
        for other in self.instances.values():
            if other.job_id is None:
                continue
            for node, count in other.get_reserved().items():
                reserved[node] = reserved.get(node, 0) + count
        for node, count in used.items():
            if node.size - reserved.get(node, 0) < count:
                return False
        for other in self.instances.values():
            if other.job_id is None and any(n in used for n in other.binding):
                self.set_binding(other, {}, None, {})
        cell = next(iter(used)).get_cell(instance.shape.adjacency)
        binding = allocations.extend_allocation(
            used,
            instance.shape.accelerators,
            list(used) if cell is None else cell.nodes,
        )
        instance.job_id = job_id
        rack = self._packer.classify(binding, instance.shape.adjacency)
        self.set_binding(instance, binding, None, used, rack)
        self._mark_for_check(instance.shape.region)
        return True

    def bind_pending(self, limit: int) -> bool:
        """Bind unbound instances, or repack regions where that fails.

        Instances in use keep their bindings.

        :param limit: maximum number of instances to bind in a region; one
            call repacks at most one region.
        :returns: whether no region is left to check.
        """
        for region in list(self._pending_regions):
            unmet = [
                instance
                for instance in self.instances.values()
                if instance.shape.region == region and not instance.is_met()
            ]
            untried = [i for i in unmet if not i.bind_failed]
            untried.sort(key=shapes.get_packing_order)
            for instance in untried[:limit]:
                instance.bind_failed = not self.bind(instance, True)
                if instance.bind_failed:
                    self._pending_regions[region] = True
            if len(untried) > limit:
                return False
            if region in self.degraded_regions or any(
                i.bind_failed for i in unmet
            ):
                if untried:
                    return False
                spares_kept = repacking.repack(self, region, self._strict)
                self.degraded_regions.pop(region, None)
                if not spares_kept:
                    self.degraded_regions[region] = True
                for instance in unmet:
                    instance.bind_failed = False
                del self._pending_regions[region]
                return not self._pending_regions
            del self._pending_regions[region]
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

    def _mark_for_check(self, region: str) -> None:
        """Mark a region for its bindings to be checked again."""
        self.change_count += 1
        if self._pending_regions.get(region):
            for instance in self.instances.values():
                if instance.shape.region == region:
                    instance.bind_failed = False
        self._pending_regions[region] = False

    def set_binding(
        self,
        instance: shapes.ShapeInstance,
        binding: allocations.Allocation,
        backup_binding: allocations.Allocation | None,
        used: allocations.Allocation,
        rack: tuple[topologies.Cell | None, spares.RackUse] | None = None,
    ) -> None:
        """Set the binding of a shape instance and update bound counts.

        :param binding: accelerators of each worker to bind.
        :param backup_binding: binding to use after the current job has ended.
        :param used: accelerators of each worker that the job uses.
        :param rack: rack that the instance occupies, and how it is used.
        """
        for sign in (-1, 1):
            if sign == 1:
                instance.binding = binding
                instance.backup_binding = backup_binding
                instance.used = used
            for node, count in instance.get_reserved().items():
                node.bound += sign * count
                node.bound_unused += sign * count
                for cell in node.cells:
                    cell.bound += sign * count
                self._packer.invalidate(node.data_centre)
            for node, count in instance.used.items():
                node.bound_unused -= sign * count
        if rack is not None:
            instance.rack, instance.rack_use = rack
        elif not binding:
            self._clear_rack(instance)
        if instance.rack is not None:
            self._packer.rack_uses[instance.rack] = instance.rack_use

    def _clear_rack(self, instance: shapes.ShapeInstance) -> None:
        rack = instance.rack
        instance.rack = None
        instance.rack_use = spares.RackUse.POOL
        if rack is None:
            return
        self._packer.invalidate(rack.parent)
        if not any(i.rack is rack for i in self.instances.values()):
            self._packer.rack_uses.pop(rack, None)

    def bind(
        self,
        instance: shapes.ShapeInstance,
        keep_spares: bool,
        exclusive: bool = False,
    ) -> bool:
        """Bind an instance; if a job uses it, set a backup binding instead.

        :param keep_spares: whether spare workers for failures stay unbound.
        :param exclusive: whether an empty rack is preferred for an instance
            that spans several workers of a rack.
        :returns: whether accelerators were found.
        """
        binding, used = instance.binding, instance.used
        old_rack = (instance.rack, instance.rack_use)
        self.set_binding(instance, {}, None, {})
        candidate = self._packer.find(instance.shape, keep_spares, exclusive)
        if instance.job_id is None:
            if candidate is not None:
                self.set_binding(
                    instance, candidate[0], None, {}, candidate[1:]
                )
            return candidate is not None
        if candidate is None:
            self.set_binding(instance, binding, None, used, old_rack)
            return False
        self.set_binding(instance, binding, candidate[0], used, candidate[1:])
        return True

    def _move_to_substitute(
        self, node: topologies.Node, affected: list[shapes.ShapeInstance]
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
        other = spares.find_substitute(node, spans, self._packer.rack_uses)
        if other is None:
            return False
        for instance in affected:
            old_binding = instance.binding
            if (
                instance.backup_binding is not None
                and node in instance.backup_binding
            ):
                old_binding = instance.backup_binding
            new_binding = {
                (other if n is node else n): c for n, c in old_binding.items()
            }
            if instance.job_id is None:
                self.set_binding(instance, new_binding, None, {})
            else:
                self.set_binding(
                    instance, instance.binding, new_binding, instance.used
                )
        return True

    def _rebind(self, instances: list[shapes.ShapeInstance]) -> None:
        """Find new bindings for instances, the largest shape first."""
        instances = sorted(instances, key=shapes.get_packing_order)
        for instance in instances:
            if instance.job_id is None:
                self.set_binding(instance, {}, None, {})
        for instance in instances:
            if self.bind(instance, True):
                continue
            if self.bind(instance, False):
                self.degraded_regions[instance.shape.region] = True
