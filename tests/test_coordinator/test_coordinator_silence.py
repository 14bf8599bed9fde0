"""Tests of workers that run on but do not answer their agent."""

from __future__ import annotations

import pytest

from damaskpin.model import work
from tests.test_coordinator import simulation as simulations

STEP = work.Step(count=1, demand=work.Resources(1000, 500, 1), estimate=60.0)


@pytest.mark.parametrize('seed', range(12))
def test_silent_worker_is_never_replaced_before_its_lease_ends(seed):
    """A work item must not run twice; the simulation checks each start."""
    simulation = simulations.Simulation(seed)
    simulation.run(1.0)
    simulation.submit((STEP,))
    simulation.run(1.0 + seed * 0.17)
    (instance,) = [p for p in simulation.instances if p.worker.running]
    instance.unresponsive = True
    simulation.run(9.0)
    others = [
        p
        for p in simulation.instances
        if p is not instance and p.worker.running
    ]
    assert len(others) == 1, 'the work item was not started on another worker'
    instance.unresponsive = False
    simulation.run(2.0)
    assert not instance.worker.running
