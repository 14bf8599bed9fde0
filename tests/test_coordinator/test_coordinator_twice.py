"""Tests of work items that must not run twice while calls are late.

The simulation checks each start and each acknowledged end.
"""

from __future__ import annotations

import pytest

from damaskpin.model import work
from tests.test_coordinator import random_plays
from tests.test_coordinator import simulation as simulations

DEMAND = work.Resources(1000, 500, 1)

# Work that ends before a draining worker leaves is not moved.
SHORT_STEP = work.Step(count=1, demand=DEMAND, estimate=1.0)

# Faults that do not replace the workers' processes.
FAULTS_OF_AGENTS = (
    'agent restarts',
    'busy workers',
    'drains',
    'late calls',
    random_plays.OUTLIVING_CALLS,
)


def _place_one_run(simulation):
    """Submit a job of one work item and wait for its start order.

    :returns: the instance that got the order.
    """
    simulation.submit((SHORT_STEP,))
    simulation.run(0.3)
    (worker,) = [w for w in simulation.coordinator.workers.values() if w.runs]
    (instance,) = [i for i in simulation.instances if i.name == worker.agent]
    return instance


def test_restarted_agent_proves_a_refusal_although_a_former_call_is_late():
    """Guards against a run of a former agent process beside a new run.

    The former process called the worker without an answer; its successor is
    told to start the same run and refuses it, as the worker drains.
    """
    simulation = simulations.Simulation(1)
    simulation.run(2.0)
    simulation.late_start_s = 2.0
    instance = _place_one_run(simulation)
    simulation.late_start_s = None
    instance.worker.draining = True
    simulation.restart_agent(instance)
    simulation.run(4.0)
    simulation.heal_and_finish()


def test_late_report_of_a_former_agent_process_is_ignored():
    """Guards against a run that is taken for refused while it executes.

    The former process reported a refusal, but its successor, which has not
    seen it, started the run before that report arrived.
    """
    simulation = simulations.Simulation(1)
    simulation.run(2.0)
    for instance in simulation.instances:
        instance.worker.busy = True
    simulation.late_report_s = 3.0
    instance = _place_one_run(simulation)
    simulation.late_report_s = None
    instance.worker.busy = False
    simulation.restart_agent(instance)
    simulation.run(4.0)
    simulation.heal_and_finish()


@pytest.mark.parametrize('seed', [75, 207, 325, *range(12)])
def test_random_plays_with_restarted_agents(seed):
    """Guards against runs that a restarted agent reports as refused.

    Seeds 75, 207 and 325 once had a second run beside the first one, or an
    overcommitted worker.
    """
    random_plays.play(seed, FAULTS_OF_AGENTS)


@pytest.mark.parametrize(
    'seed', [13, 21, 29, 30, 37, 42, 45, 76, 172, 246, 286, 352]
)
def test_random_plays_with_all_faults(seed):
    """Guards against calls that outlive the process they were sent to.

    Workers come back under their id while calls are up to 12 s late. Each
    seed once had a second run, a start after an acknowledged end, or an
    overcommitted worker.
    """
    random_plays.play(
        seed, (*random_plays.FAULTS, random_plays.OUTLIVING_CALLS)
    )


@pytest.mark.parametrize(
    ('start_time', 'seed'),
    [
        *((0.3, seed) for seed in (19, 28, 34, 122, 161)),
        *((0.3, seed) for seed in (233, 256, 289)),
        *((0.0, seed) for seed in (17, 44, 60, 66, 105, 118, 122, 162, 168)),
        *(
            (0.0, seed)
            for seed in (195, 218, 229, 234, 236, 241, 258, 277, 290)
        ),
    ],
)
def test_random_plays_with_workers_that_come_back(start_time, seed):
    """Guards against ends that a late acknowledgement has hidden.

    Workers come back at once under their id while calls are up to 12 s late.
    Each seed once had a second run, or a start after an end.
    """
    random_plays.play_restarts(seed, start_time)
