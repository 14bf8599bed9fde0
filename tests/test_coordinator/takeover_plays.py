"""Random plays of takeovers among cuts, losses and outages of the store."""

from __future__ import annotations

import random

from damaskpin.model import work
from tests.test_coordinator import leader_lease
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import waiting_actions

ROUNDS = 8
STEP = work.Step(count=2, demand=waiting_actions.SMALL, estimate=60.0)

# Faults of the machines, of which cuts are the most frequent: an agent that is
# cut off renews its worker's lease until the end of its grant.
MACHINE_FAULTS = ('cut', 'cut', 'cut', 'loss')
LEADER_FAULTS = ('loss', 'resignation', 'outage', 'outage')

# Seconds until the faults of the leader in a round, and from the first one to
# those of the machines. An agent that is cut off as late as the coordinator
# answers has the latest grant.
FAULT_DELAY_S = (0.0, 3.0)
MACHINE_DELAYS_S = ((0.0, 3.0), (1.2, 1.8))
CUT_S = (1.0, 20.0)
OUTAGE_S = (0.3, 5.0)
ROUND_S = (6.0, 18.0)
# Seconds from a cut to the suspension of the machine, and its duration.
SUSPENSION_DELAY_S = (0.0, 6.0)
SUSPENSIONS_S = (1.0, 4.0, 4.0)
# Longest time in seconds of a campaign.
CAMPAIGN_S = 1.2
LOST_ANSWER_RATES = (0.0, 0.0, 0.3)


def play(seed):
    """Play rounds of overlapping faults, then wait for all jobs.

    :returns: the simulation after the play.
    :raises AssertionError: the oracle has seen a broken promise.
    """
    rng = random.Random(seed)
    simulation = simulations.Simulation(
        seed, waiting_actions.INSTANCES, has_overlapping_calls=seed % 2 == 1
    )
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    simulation.leader_lease.begin()
    simulation.run(1.5)
    for _ in range(ROUNDS):
        for _ in range(rng.randint(1, 2)):
            simulation.submit((STEP,))
        simulation.run(rng.uniform(0.5, 2.0))
        _set_lease(rng, simulation.leader_lease)
        _schedule_faults(rng, simulation)
        simulation.run(rng.uniform(*ROUND_S))
        for _ in range(2):
            simulation.end_run(rng.randrange(50), work.Ending.DONE)
    simulation.heal_and_finish()
    return simulation


def _set_lease(rng, lease):
    lease.pauses_in_outages = rng.random() < 0.5
    lease.lost_answer_rate = rng.choice(LOST_ANSWER_RATES)
    lease.successor = rng.choice(list(leader_lease.Successor))
    lease.campaign_s = (0.05, rng.uniform(0.1, CAMPAIGN_S))


def _schedule_faults(rng, simulation):
    delays = [rng.uniform(*FAULT_DELAY_S) for _ in range(rng.randint(1, 2))]
    for delay in delays:
        _schedule_leader_fault(rng, simulation, delay)
    busy = [i for i in simulation.instances if i.worker.running]
    for instance in rng.sample(busy, min(len(busy), 2)):
        delay = min(delays) + rng.uniform(*rng.choice(MACHINE_DELAYS_S))
        _schedule_machine_fault(rng, simulation, instance, delay)


def _schedule_machine_fault(rng, simulation, instance, delay):
    if rng.choice(MACHINE_FAULTS) == 'loss':
        simulation.schedule(
            delay, lambda: waiting_actions.lose(simulation, [instance])
        )
        return
    cut_s = rng.uniform(*CUT_S)
    suspension_s = rng.choice(SUSPENSIONS_S)

    def cut():
        instance.disconnected = True
        simulation.schedule(cut_s, reconnect)

    def reconnect():
        # A lost machine stays away.
        instance.disconnected = instance not in simulation.instances

    def suspend():
        if simulation.idle_check is None:
            instance.suspend(simulation.now, suspension_s)

    simulation.schedule(delay, cut)
    simulation.schedule(delay + rng.uniform(*SUSPENSION_DELAY_S), suspend)


def _schedule_leader_fault(rng, simulation, delay):
    lease = simulation.leader_lease
    fault = rng.choice(LEADER_FAULTS)
    outage_s = rng.uniform(*OUTAGE_S)

    def disturb():
        match fault:
            case 'loss':
                lease.lose_coordinator()
            case 'resignation':
                lease.resign()
            case 'outage':
                lease.begin_outage(outage_s)

    simulation.schedule(delay, disturb)
