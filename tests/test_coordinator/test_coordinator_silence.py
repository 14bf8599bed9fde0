"""Tests of workers that fall silent and run on."""

from __future__ import annotations

import pytest

from damaskpin.model import work
from tests.test_coordinator import world as worlds

STEP = work.Step(count=1, demand=work.Resources(1000, 500, 1), estimate=60.0)


@pytest.mark.parametrize('seed', range(12))
def test_silent_worker_is_never_replaced_before_its_lease_ends(seed):
    """The world's oracle fails if a run starts beside one that goes on."""
    world = worlds.World(seed)
    world.run(1.0)
    world.submit((STEP,))
    world.run(1.0 + seed * 0.17)
    (place,) = [p for p in world.places if p.worker.running]
    place.muted = True
    world.run(9.0)
    others = [p for p in world.places if p is not place and p.worker.running]
    assert len(others) == 1, 'the run does not go on elsewhere'
    place.muted = False
    world.run(2.0)
    assert not place.worker.running
