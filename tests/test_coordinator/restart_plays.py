"""Random plays of workers that restart with their id while calls are late.

Calls take time, overlap and outlive the process that they were made for. A
restarted worker may restart once more, be lost with its machine, be cut off
beside its agent, or go on.
"""

from __future__ import annotations

import random

from damaskpin.model import work
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import waiting_actions

ACTIONS = 30
WAITS_S = (0.1, 0.3, 1.0, 2.0)
# Seconds until the next process of a worker listens, and until a restarted
# worker is disturbed again.
START_TIMES_S = (0.05, 0.3, 1.0)
NEXT_FAULT_S = (0.02, 1.5)
CUT_S = (1.0, 14.0)
LATE_RATES = (0.0, 0.1, 0.4)
ENDINGS = (work.Ending.DONE, work.Ending.DONE, work.Ending.FAILED)


def play(seed, outlives, observe=None):
    """Play random actions, then remove all faults and wait for all jobs.

    :param outlives: whether a late call is carried out by the worker's next
        process.
    :param observe: function that is given the simulation before the play.
    :returns: the simulation after the play.
    :raises AssertionError: the simulation has seen a broken promise.
    """
    rng = random.Random(seed)
    simulation = simulations.Simulation(
        seed, waiting_actions.INSTANCES, has_overlapping_calls=True
    )
    if observe is not None:
        observe(simulation)
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    simulation.late_calls_outlive_processes = outlives
    simulation.run(rng.choice((2.0, 20.0)))
    for _ in range(ACTIONS):
        _act(rng, simulation)
        simulation.run(rng.choice(WAITS_S))
    waiting_actions.submit_last(simulation, waiting_actions.ACTIONS)
    simulation.heal_and_finish()
    return simulation


def _act(rng, simulation):
    instance = rng.choice(simulation.instances)
    share = rng.random()
    if share < 0.3:
        steps = waiting_actions.make_chain(rng, rng.randint(1, 3))
        simulation.submit(steps, attempts=4)
    elif share < 0.65:
        _restart_busy_worker(rng, simulation)
    elif share < 0.75:
        for kind in ('late start calls', 'late polls', 'late stop calls'):
            simulation.disturbances.set_rate(kind, rng.choice(LATE_RATES))
    elif share < 0.8:
        simulation.restart_agent(instance)
    elif share < 0.85:
        simulation.replace_coordinator()
    elif share < 0.95:
        simulation.end_run(rng.randrange(50), rng.choice(ENDINGS))


def _restart_busy_worker(rng, simulation):
    """Restart a worker with its id, and disturb it once more soon."""
    busy = [i for i in simulation.instances if i.worker.running]
    instance = rng.choice(busy or simulation.instances)
    simulation.start_time = rng.choice(START_TIMES_S)
    waiting_actions.restart(simulation, instance)
    worker = instance.worker
    fault = rng.choice(('none', 'cut', 'restart', 'loss'))
    cut_s = rng.uniform(*CUT_S)
    delay = simulation.start_time + rng.uniform(*NEXT_FAULT_S)

    def disturb():
        is_healed = simulation.idle_check is not None
        if instance.worker is not worker or is_healed:
            return
        if fault == 'restart':
            waiting_actions.restart(simulation, instance)
        elif fault == 'loss':
            waiting_actions.lose(simulation, [instance])
        elif fault == 'cut':
            instance.disconnected = True
            simulation.schedule(cut_s, reconnect)

    def reconnect():
        # A lost machine stays away.
        instance.disconnected = instance not in simulation.instances

    simulation.schedule(delay, disturb)
