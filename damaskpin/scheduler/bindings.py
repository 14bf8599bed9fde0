"""Guaranteed shapes and the accelerators that are bound to them.

Every instance of a shape, used or not, is bound to accelerators of one cell,
and no accelerator is bound twice. This assignment is the proof that all
guarantees that are not in use still pack: a guaranteed job only ever runs on
accelerators bound to its instance, everything else there can be reclaimed.
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
    """Assignment of accelerators to all instances of all shapes."""

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

        :param strict: whether an instance that fits only without the
            allowance for failures is left without a binding.
        """
        self._strict = strict
        self._topology = topology
        self._packer = packing.Packer(topology)
        # Regions whose bindings may have to change, with whether an instance
        # was tried in vain; and those that don't keep the allowance.
        self._dirty: dict[str, bool] = {}
        self.degraded: dict[str, bool] = {}
        # Counts what may change the guarantees that can be met.
        self.changes = 0
        self.instances: dict[shapes.InstanceKey, shapes.Instance] = {}
        self.by_account: dict[str, list[shapes.Instance]] = {}

    def set_config(self, config: configs.Config) -> list[str]:
        """Take over the shapes of a configuration.

        :returns: ids of the jobs whose guaranteed shape is gone.
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
            # The smallest matching shape is used up first.
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
        """Adjust the bindings after a worker left or came back."""
        self._packer.forget(node.data_centre)
        self._touch(node.worker.region)
        if node.is_usable():
            for instance in self.instances.values():
                if instance.backup is not None and instance.holds(
                    instance.parts
                ):
                    # The job goes on where it was.
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
        """Let a job use an instance on part of its binding."""
        instance.job_id = job_id
        self.apply(instance, instance.parts, instance.backup, used)

    def release(self, instance: shapes.Instance) -> None:
        """End the use of an instance by a job."""
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
        """Exchange the bindings of two unused instances of equal shape."""
        ours, theirs = first.parts, second.parts
        racks = (first.rack, first.rack_use, second.rack, second.rack_use)
        self.apply(first, {}, None, {})
        self.apply(second, {}, None, {})
        self.apply(first, theirs, None, {}, (racks[2], racks[3]))
        self.apply(second, ours, None, {}, (racks[0], racks[1]))

    def move(self, instance: shapes.Instance, weigh) -> bool:
        """Bind an unused instance where less must be reclaimed.

        This is not done while workers are failed: the spares that stand in
        for them would be broken up and missing when the workers are back.
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
        """Bind an unused instance to where its job already runs.

        Other unused instances make room.

        :returns: whether that was possible.
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
        """Bind what is not bound, or bind everything anew if that is better.

        Instances in use stay where they are.

        :param limit: instances to bind at most, or one region anew.
        :returns: whether everything is done.
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
        """Return the number of instances of each shape without a binding."""
        unmet: dict[tuple[str, str], int] = {}
        for instance in self.instances.values():
            if not instance.is_met():
                key = instance.key[:2]
                unmet[key] = unmet.get(key, 0) + 1
        return unmet

    def get_shape(self, key: tuple[str, str]) -> configs.Guarantee:
        """Return the shape of an account with a name."""
        return self.instances[(key[0], key[1], 0)].shape

    def _touch(self, region: str) -> None:
        """Look at the bindings of a region again."""
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
        """Change the binding of an instance and the sums derived from it."""
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
        """Bind an instance; one in use keeps its place and gets a backup."""
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
        """Let one untouched worker stand in for a failed one.

        Moving everything together leaves the failed worker untouched, so
        that it is a spare when it comes back.
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
        """Bind instances anew, the largest first."""
        instances = sorted(instances, key=shapes.get_pack_order)
        for instance in instances:
            if instance.job_id is None:
                self.apply(instance, {}, None, {})
        for instance in instances:
            if self.bind(instance, True):
                continue
            if self.bind(instance, False):
                self.degraded[instance.shape.region] = True
