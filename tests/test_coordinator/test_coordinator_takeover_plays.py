"""Tests that takeovers free no run that its agent may still keep."""

from __future__ import annotations

import collections

import pytest

from damaskpin.model import leases
from damaskpin.model import work
from tests.test_coordinator import leader_lease
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import takeover_plays
from tests.test_coordinator import waiting_actions

PLAYS = 20
STEP = work.Step(count=1, demand=waiting_actions.SMALL, estimate=0.0)
# Times in seconds from the begin of an outage to the cut of the agent, and by
# which a resignation comes later, against the renewals of the lease.
CUTS_S = (1.4, 1.6, 1.7, 1.8)
PHASES_S = (0.0, 0.1, 0.2, 0.3, 0.4)
# Outage in seconds in which the coordinator's lease just ends.
OUTAGE_S = 1.9
# Times in seconds from the cut to the suspension of the machine. The lease of
# its worker lasts longest if it was renewed just before.
SUSPENSION_DELAYS_S = [1.0 + 0.25 * i for i in range(21)]
# Time in seconds within which work of a lost machine starts elsewhere.
RESTART_S = 20.0


def _start_run():
    """Return a simulation with slow clocks, and the instance with a run."""
    simulation = simulations.Simulation(1, waiting_actions.INSTANCES)
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    for instance in simulation.instances:
        instance.worker.clock_rate = 1 - leases.MAX_CLOCK_SLOWDOWN
    simulation.leader_lease.begin()
    simulation.run(2.0)
    simulation.submit((STEP,))
    simulation.run(3.0)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    return simulation, instance


def _cut_until_restart(simulation, instance, delay):
    """Cut off a machine that is suspended; the oracle checks the restart.

    :param delay: seconds from the cut to the suspension.
    """
    instance.disconnected = True
    simulation.run(delay)
    instance.suspend(simulation.now, leases.MAX_SUSPENSION_S)
    starts = simulation.oracle.start_count
    simulation.run(RESTART_S)
    assert simulation.oracle.start_count == starts + 1


@pytest.mark.parametrize('cut', CUTS_S)
def test_answer_in_an_outage_outlasts_no_takeover(cut):
    """Guards against grants that count from after the latest renewal.

    The coordinator answers for as long as its lease is valid, but can't renew
    it as the store is away.
    """
    for delay in SUSPENSION_DELAYS_S:
        simulation, instance = _start_run()
        simulation.leader_lease.begin_outage(OUTAGE_S)
        simulation.run(cut + simulation.tick_s / 2)
        _cut_until_restart(simulation, instance, delay)


@pytest.mark.parametrize('phase', PHASES_S)
@pytest.mark.parametrize('successor', list(leader_lease.Successor))
def test_answer_before_a_resignation_outlasts_no_takeover(successor, phase):
    """Guards against a lease that is ended early and counts as expired."""
    for delay in SUSPENSION_DELAYS_S:
        simulation, instance = _start_run()
        simulation.leader_lease.successor = successor
        simulation.run(phase + simulation.tick_s / 2)
        simulation.leader_lease.resign()
        _cut_until_restart(simulation, instance, delay)


@pytest.mark.parametrize('seed', range(PLAYS))
def test_no_run_is_repeated_among_outages_and_takeovers(seed):
    """Guards against runs that are freed while their agent has a grant."""
    takeover_plays.play(seed)


def test_plays_reach_takeovers_of_each_kind():
    """Guards against plays in which no entry counts on the former lease."""
    counts = collections.Counter()
    for seed in range(5):
        counts.update(takeover_plays.play(seed).leader_lease.counts)
    for successor in leader_lease.Successor:
        assert counts[successor] >= 5
    assert counts['known'] >= 10
