"""Tests of work that could run and waits beside idle workers."""

from __future__ import annotations

import pytest

from damaskpin.model import work
from damaskpin.platform import settings
from tests.test_coordinator import simulation as simulations
from tests.test_coordinator import waiting_actions

# Demand of which each worker has room for one, beside small work.
MOST_OF_A_WORKER = work.Resources(2500, 500, 0)


def _make_simulation():
    """Return a simulation whose faults are over at once."""
    simulation = simulations.Simulation(1, waiting_actions.INSTANCES)
    waiting_actions.prepare(simulation, waiting_actions.ACTIONS)
    simulation.limits_waits = True
    simulation.run(2.0)
    return simulation


def _make_chain(length, demand=waiting_actions.SMALL):
    """Return steps of one work item each that follow each other."""
    return tuple(
        work.Step(
            count=1,
            demand=demand,
            estimate=waiting_actions.RUN_S,
            after=(index - 1,) if index else (),
        )
        for index in range(length)
    )


def test_no_job_waits_behind_a_gang_that_others_keep_waiting():
    """Guards against idle workers that a gang reserves and does not get.

    Jobs of a higher rank take the last of the workers that it needs again and
    again, and a job of a lower rank has nothing running meanwhile.
    """
    simulation = _make_simulation()
    for offset in (0.0, 1.0):
        simulation.submit(_make_chain(15), priority=0)
        simulation.run(offset)
    gang = work.Step(
        count=waiting_actions.INSTANCES,
        demand=waiting_actions.WHOLE,
        estimate=waiting_actions.RUN_S,
        gang=True,
    )
    simulation.submit((gang,), priority=1)
    simulation.run(1.0)
    simulation.submit(_make_chain(1), priority=2)
    simulation.heal_and_finish()


def test_no_job_waits_for_the_lease_of_a_lost_worker_that_was_restarted():
    """Guards against work that stays placed on a machine that is gone.

    Its worker was restarted with the same id shortly before, so that its lease
    is taken to last for longer.
    """
    simulation = _make_simulation()
    simulation.submit(_make_chain(2), priority=2)
    simulation.run(1.0)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    waiting_actions.restart(simulation, instance)
    while not any(
        worker.is_restarted()
        for worker in simulation.coordinator.workers.values()
    ):
        simulation.run(simulation.tick_s)
    waiting_actions.lose(simulation, [instance])
    simulation.heal_and_finish()


def test_no_suspect_waits_while_other_work_is_started_on_all_workers():
    """Guards against a suspect of crashes that never finds a quiet worker.

    It needs one without a start in the last 2.5 s, and short work of others is
    started on each of them more often.
    """
    simulation = _make_simulation()
    simulation.submit(_make_chain(1), priority=2)
    simulation.run(0.5)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    for _ in simulation.instances:
        simulation.submit(_make_chain(15, MOST_OF_A_WORKER), priority=0)
    simulation.restart_worker(instance, may_keep_id=False)
    simulation.heal_and_finish()


@pytest.mark.parametrize('has_takeover', [False, True])
def test_no_job_waits_for_the_grant_of_a_lost_worker(
    has_takeover, monkeypatch
):
    """Guards against work that stays placed on a machine that is gone.

    Its agent might renew the lease until the end of its grant, which a new
    coordinator counts from its own start. The grant is that of the program.
    """
    monkeypatch.setattr(simulations, 'GRANT_S', settings.GRANT_DURATION_S)
    simulation = _make_simulation()
    simulation.submit(_make_chain(1), priority=2)
    simulation.run(1.0)
    (instance,) = [i for i in simulation.instances if i.worker.running]
    waiting_actions.lose(simulation, [instance])
    if has_takeover:
        simulation.run(5.0)
        simulation.replace_coordinator()
    simulation.heal_and_finish()
