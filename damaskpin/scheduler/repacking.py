"""Repacks all unused instances of guaranteed shapes of a region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import shapes

if TYPE_CHECKING:
    from damaskpin.scheduler import bindings as bindings_module


def repack(
    bindings: bindings_module.Bindings, region: str, strict: bool
) -> bool:
    """Rebind all unused instances of a region if that meets more of them.

    :param strict: whether spare workers for failures must stay unbound.
    :returns: whether the spare workers for failures stay unbound.
    """
    region_instances = [
        i for i in bindings.instances.values() if i.shape.region == region
    ]
    unused = [i for i in region_instances if i.job_id is None]
    unused.sort(key=shapes.get_packing_order)
    best_bindings = [(i, i.binding, (i.rack, i.rack_use)) for i in unused]
    unmet = sum(1 for i in region_instances if not i.is_met())
    best = (unmet, int(region in bindings.degraded_regions))
    for keep_spares, exclusive in (
        (True, False),
        (True, True),
        (False, False),
    ):
        if strict and not keep_spares:
            continue
        for instance in unused:
            bindings.set_binding(instance, {}, None, {})
        for instance in unused:
            bindings.bind(instance, keep_spares, exclusive)
        unmet = sum(1 for i in region_instances if not i.is_met())
        score = (unmet, int(not keep_spares))
        if score < best:
            best = score
            best_bindings = [
                (i, i.binding, (i.rack, i.rack_use)) for i in unused
            ]
        if best == (0, 0):
            break
    for instance in unused:
        bindings.set_binding(instance, {}, None, {})
    for instance, binding, rack in best_bindings:
        bindings.set_binding(instance, binding, None, {}, rack)
    return not best[1]
