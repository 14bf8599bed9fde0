"""Repacks all unused instances of guaranteed shapes of a region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpin.scheduler import shapes

if TYPE_CHECKING:
    from damaskpin.scheduler import bindings as all_bindings


def repack(bindings: all_bindings.Bindings, region: str, strict: bool) -> bool:
    """Rebind all unused instances of a region if that meets more of them.

    :param strict: whether spare workers for failures must stay unbound.
    :returns: whether the spare workers for failures stay unbound.
    """
    local = [
        i for i in bindings.instances.values() if i.shape.region == region
    ]
    unused = [i for i in local if i.job_id is None]
    unused.sort(key=shapes.get_pack_order)
    kept = [(i, i.parts, (i.rack, i.rack_use)) for i in unused]
    missing = sum(1 for i in local if not i.is_met())
    best = (missing, int(region in bindings.degraded))
    for keep_spares, exclusive in (
        (True, False),
        (True, True),
        (False, False),
    ):
        if strict and not keep_spares:
            continue
        for instance in unused:
            bindings.apply(instance, {}, None, {})
        for instance in unused:
            bindings.bind(instance, keep_spares, exclusive)
        missing = sum(1 for i in local if not i.is_met())
        score = (missing, int(not keep_spares))
        if score < best:
            best = score
            kept = [(i, i.parts, (i.rack, i.rack_use)) for i in unused]
        if best == (0, 0):
            break
    for instance in unused:
        bindings.apply(instance, {}, None, {})
    for instance, parts, rack in kept:
        bindings.apply(instance, parts, None, {}, rack)
    return not best[1]
