"""Tests of runs on machines that are suspended with their worker's clock."""

from __future__ import annotations

import pytest

from damaskpin.model import work
from tests.test_coordinator import instance as instances
from tests.test_coordinator import simulation as simulations

LONG_STEP = (work.Step(count=1, demand=simulations.CAPACITY, estimate=60.0),)
# Time in seconds in which a successor of the run starts, if it ever does.
OBSERVED_S = 20.0


def _start_run(has_overlapping_calls=False):
    """Return a simulation and the instance that runs a long work item."""
    simulation = simulations.Simulation(
        1, has_overlapping_calls=has_overlapping_calls
    )
    simulation.run(2.0)
    simulation.submit(LONG_STEP)
    simulation.run(1.0)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    return simulation, instance


def _count_starts(simulation):
    return sum(simulation.starts_by_item.values())


@pytest.mark.parametrize('begin', [1.0, 2.0, 3.0, 4.0, 4.5, 5.0])
def test_reported_end_of_a_lease_allows_for_a_suspension(begin):
    """Guards against a run that executes twice.

    A worker is cut off from its agent, which reports when the lease ends. The
    machine is then suspended, so that the lease ends later by that time.
    """
    simulation, instance = _start_run()
    instance.unresponsive = True
    simulation.run(begin)
    instance.suspend(simulation.now, instances.MAX_SUSPENSION_S)
    simulation.run(OBSERVED_S)
    assert _count_starts(simulation) > 1, 'the run has no successor'


@pytest.mark.parametrize('begin', [2.0, 3.0, 4.0, 5.0, 5.5, 5.9])
def test_end_of_a_grant_allows_for_a_suspension(begin):
    """Guards against a run that executes twice.

    A machine is cut off and then suspended, so that a lease within the grant
    of its agent ends after the grant.
    """
    simulation, instance = _start_run()
    instance.disconnected = True
    simulation.run(begin)
    instance.suspend(simulation.now, instances.MAX_SUSPENSION_S)
    simulation.run(OBSERVED_S)
    assert _count_starts(simulation) > 1, 'the run has no successor'


@pytest.mark.parametrize('has_overlapping_calls', [False, True])
@pytest.mark.parametrize('pause', [2.5, 2.8, 3.2])
@pytest.mark.parametrize('begin', [1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 5.5])
def test_second_suspension_within_a_lease_leaves_no_run(
    begin, pause, has_overlapping_calls
):
    """Guards against a run that executes twice.

    A machine that is cut off is suspended several times. The coordinator
    allows for one suspension, so that the agent must end the runs before.
    """
    simulation, instance = _start_run(has_overlapping_calls)
    instance.disconnected = True
    simulation.run(begin)
    for _ in range(3):
        instance.suspend(simulation.now, instances.MAX_SUSPENSION_S)
        simulation.run(instances.MAX_SUSPENSION_S + pause)
    simulation.run(OBSERVED_S)
    assert _count_starts(simulation) > 1, 'the run has no successor'


@pytest.mark.parametrize('begin', [1.0, 2.0, 3.0])
def test_reports_after_a_suspension_put_off_the_end_of_a_lease(begin):
    """Guards against a run that executes twice.

    The agent of a worker that is cut off goes on reporting between several
    suspensions, after each of which the lease ends later.
    """
    simulation, instance = _start_run()
    instance.unresponsive = True
    simulation.run(begin)
    for _ in range(3):
        instance.suspend(simulation.now, instances.MAX_SUSPENSION_S)
        simulation.run(instances.MAX_SUSPENSION_S + instances.MIN_AWAKE_S)
    simulation.run(OBSERVED_S)
    assert _count_starts(simulation) > 1, 'the run has no successor'
