"""Tests of the wait for work of a lost machine when a takeover follows."""

from __future__ import annotations

import pytest

from damaskpin.model import work
from damaskpin.platform import settings
from tests.test_coordinator import idle_check
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import waiting_actions

# Longest time in seconds from a loss to the start of its work elsewhere, by
# the rules on lost jobs.
LIMIT_S = idle_check.FINISH_S + idle_check.MAX_WAIT_S

STEP = work.Step(count=1, demand=waiting_actions.SMALL, estimate=0.0)
# Times in seconds from the loss of a machine to the next fault, and by which
# both come later, against the renewals of the coordinator's lease.
DELAYS_S = (0.1, 0.5, 1.0, 1.5, 1.9)
PHASES_S = (0.0, 0.1, 0.2, 0.3, 0.4)
OUTAGES_S = (1.0, 2.5, 4.5)

delays = pytest.mark.parametrize('delay', DELAYS_S)


@pytest.fixture(autouse=True)
def _shipping_times(monkeypatch):
    """Let the agents' grant and their leases be those of the program."""
    monkeypatch.setattr(simulations, 'GRANT_S', settings.GRANT_DURATION_S)
    monkeypatch.setattr(simulations, 'LEASE_S', settings.MAX_LEASE_S)


def measure_restart(delay, phase, disturb):
    """Return the seconds from a machine's loss to the start of its work.

    :param delay: seconds from the loss to the next fault.
    :param disturb: brings about that fault in a simulation.
    """
    simulation = simulations.Simulation(1, waiting_actions.INSTANCES)
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    simulation.leader_lease.begin()
    simulation.run(2.0)
    simulation.submit((STEP,))
    _run(simulation, 2.0 + phase)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    lost = simulation.now
    waiting_actions.lose(simulation, [instance])
    _run(simulation, delay)
    disturb(simulation)
    while not any(i.worker.running for i in simulation.instances):
        simulation.run(simulation.tick_s)
        assert simulation.now - lost < 3 * LIMIT_S
    assert simulation.leader_lease.counts['known'] >= 1
    # The time of the simulation adds up steps that have rounding errors.
    return round(simulation.now - lost, 6)


def _run(simulation, seconds):
    """Advance the time by the nearest number of whole steps."""
    simulation.run(seconds + simulation.tick_s / 2)


def _lose_coordinator(simulation):
    simulation.leader_lease.lose_coordinator()


def _lose_two_coordinators(simulation):
    """Lose a coordinator, and the next one a second after its election."""
    lease = simulation.leader_lease
    lease.lose_coordinator()
    while not lease.is_leader():
        simulation.run(simulation.tick_s)
    simulation.run(1.0)
    lease.lose_coordinator()


def _make_outage(seconds):
    """Return a function that begins an outage with a takeover after it."""

    def begin_outage(simulation):
        simulation.leader_lease.begin_outage(seconds)
        _run(simulation, seconds)
        simulation.leader_lease.lose_coordinator()

    return begin_outage


def _check(delay, disturb):
    """Check that work restarts in time, whenever the lease was renewed."""
    waits = [measure_restart(delay, phase, disturb) for phase in PHASES_S]
    assert max(waits) <= LIMIT_S, waits


@delays
def test_work_of_a_lost_machine_restarts_after_a_takeover(delay):
    """Guards against work that a takeover keeps on a lost machine."""
    _check(delay, _lose_coordinator)


@delays
@pytest.mark.parametrize('outage', [2.5, 4.5])
def test_work_of_a_lost_machine_restarts_if_the_leader_lives(outage, delay):
    """Guards against an outage of the store that puts off lost work.

    The lease of the leader expires, and it tells its last grants to the next
    one.
    """
    _check(
        delay, lambda simulation: simulation.leader_lease.begin_outage(outage)
    )


@delays
@pytest.mark.parametrize('outage', OUTAGES_S)
def test_work_of_a_lost_machine_restarts_after_an_outage(outage, delay):
    """Guards against work that an outage of the store keeps on a machine."""
    _check(delay, _make_outage(outage))


@delays
def test_work_of_a_lost_machine_restarts_after_two_takeovers(delay):
    """Guards against a wait that grows with each takeover."""
    _check(delay, _lose_two_coordinators)
