"""Tests of starts that reach the next process of a worker with the same id.

A start call without an answer may be carried out seconds later, before the
agent's first call to the next process voids it.
"""

from __future__ import annotations

import pytest

from damaskpin.model import work
from tests.test_coordinator import simulation as simulations

STEP = work.Step(count=1, demand=work.Resources(1000, 500, 1), estimate=5.0)

# Time in seconds that the first copy of a start call is under way.
LATE_START_S = 9.0
# Time in seconds for which the next process is up when that copy arrives.
LEAD_S = 0.01


def _place_with_late_start(simulation, late_start):
    """Submit a job whose first start call is late.

    :returns: the instance to which the call was sent, the call, and the time
        in seconds at which it arrives.
    """
    simulation.run(2.0)
    simulation.late_start_s = late_start
    simulation.submit((STEP,), attempts=5)
    while not simulation.late_starts:
        simulation.run(simulation.tick_s)
    simulation.late_start_s = None
    (late_start,) = simulation.late_starts
    return late_start


def _replace_process(simulation, instance, up_at):
    """Replace a worker by one of its id that answers from a time on."""
    name = instance.worker.lifetime.worker
    instance.worker.crash()
    instance.down_until = up_at
    simulation.processes.start(instance, name, simulations.CAPACITY)
    instance.worker.clock_origin = up_at


def _assert_first_call(worker, call, arrival):
    """Check that a late call has reached a process before any other call."""
    first_at, first_call = worker.first_call
    assert first_call is call
    assert first_at == pytest.approx(arrival, abs=1e-6)


def test_end_of_a_lease_proves_nothing_about_the_next_process():
    """Guards against a run that executes twice.

    The worker's process ends, its agent counts its lease, and the run starts
    elsewhere. The next process of the same id has a clock that has started
    anew, so that it takes the late start call for one in time.
    """
    simulation = simulations.Simulation(
        1, instances=2, has_overlapping_calls=True
    )
    instance, call, arrival = _place_with_late_start(simulation, LATE_START_S)
    _replace_process(simulation, instance, arrival - LEAD_S)
    simulation.run(LATE_START_S + 2.0)
    _assert_first_call(instance.worker, call, arrival)


def test_recorded_end_is_not_followed_by_a_start_in_the_next_process():
    """Guards against a run that executes twice.

    The second copy of a start call is accepted, and the run fails. When the
    work item runs again elsewhere, the next process of the first worker takes
    the first copy for a new start.
    """
    simulation = simulations.Simulation(
        1, instances=2, has_overlapping_calls=True
    )
    instance, call, arrival = _place_with_late_start(simulation, LATE_START_S)
    simulation.run(2.0)
    (run,) = instance.worker.running
    instance.worker.finish(run, work.Ending.FAILED)
    simulation.run(2.0)
    assert not instance.worker.running
    assert any(i.worker.running for i in simulation.instances)
    up_at = arrival - LEAD_S
    simulation.schedule(
        up_at - simulation.now,
        lambda: _replace_process(simulation, instance, up_at),
    )
    simulation.run(up_at + 2.0 - simulation.now)
    _assert_first_call(instance.worker, call, arrival)
