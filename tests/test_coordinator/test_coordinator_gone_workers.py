"""Tests of work on workers that are gone while their agents live."""

from __future__ import annotations

import math

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


@pytest.mark.parametrize('takeover', [0.5, 1.0, 2.0, 3.0, 6.0, None])
def test_work_of_a_gone_worker_restarts_after_a_takeover(
    takeover, monkeypatch
):
    """Guards against runs that are kept for as long as an agent reports.

    The worker is gone for good, so that its agent has no lists that were read
    for the new coordinator.
    """
    monkeypatch.setattr(simulations, 'GRANT_S', settings.GRANT_DURATION_S)
    monkeypatch.setattr(simulations, 'LEASE_S', settings.MAX_LEASE_S)
    simulation = simulations.Simulation(1, waiting_actions.INSTANCES)
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    simulation.run(2.0)
    simulation.submit((STEP,))
    simulation.run(3.0)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    lost = simulation.now
    instance.worker.crash()
    instance.down_until = math.inf
    instance.next_heartbeat = math.inf
    is_due = takeover is not None
    while not any(i.worker.running for i in simulation.instances):
        if is_due and simulation.now - lost >= takeover:
            simulation.replace_coordinator()
            is_due = False
        simulation.run(simulation.tick_s)
        assert simulation.now - lost <= LIMIT_S
