"""Tests of calls that reach another process than they were made for.

A worker comes back at once under its id, so that the agent's next call is the
first one to the new process.
"""

from __future__ import annotations

import pytest

from damaskpin.model import work
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import worker_processes

# A unit that fits the former process and not the smaller one.
STEP = work.Step(count=1, demand=simulations.CAPACITY, estimate=5.0)


def _place(simulation):
    """Submit a job, and advance until its start is ordered but not called.

    :returns: the instance that got the order.
    """
    simulation.run(2.0)
    simulation.submit((STEP,), attempts=5)
    while True:
        simulation.run(simulation.tick_s)
        for worker in simulation.coordinator.workers.values():
            if worker.runs:
                return next(
                    i for i in simulation.instances if i.name == worker.agent
                )


@pytest.mark.parametrize('has_overlapping_calls', [False, True])
def test_start_for_a_former_process_is_not_sent_to_the_next(
    has_overlapping_calls,
):
    """Guards against an overcommitted worker.

    The worker is replaced by a smaller one between the placement and the
    start, which was made for the capacity of the former one.
    """
    simulation = simulations.Simulation(
        1, has_overlapping_calls=has_overlapping_calls
    )
    instance = _place(simulation)
    assert not instance.worker.running
    simulation.processes.shrink(instance)
    assert instance.worker.capacity == worker_processes.SMALL_CAPACITY
    simulation.run(1.0)
    assert not instance.worker.running
    simulation.heal_and_finish()
    assert sum(simulation.starts_by_item.values()) == 1


def test_stop_and_lease_of_a_former_process_do_not_reach_the_next():
    """Guards against a lease that counts on the clock of a former process.

    It would outlast the time after which the coordinator takes the runs of a
    silent worker for ended.
    """
    simulation = simulations.Simulation(1)
    instance = _place(simulation)
    simulation.run(0.3)
    assert instance.worker.running
    simulation.processes.shrink(instance)
    instance.next_heartbeat = simulation.now + 5.0
    simulation.run(0.5)
    assert instance.worker.lease_end == 0
    assert not instance.worker.highest_numbers
