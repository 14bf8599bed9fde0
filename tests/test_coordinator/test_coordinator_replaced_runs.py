"""Tests of what reports prove about the runs of a replaced process."""

from __future__ import annotations

import msgspec
import pytest

from damaskpin.coordinator import removals
from damaskpin.coordinator import restarts
from damaskpin.coordinator import run_ends
from damaskpin.model import leases
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = builders.NOW
PROCESS = 'p'
# Longest lease of a worker in seconds, which outlasts the grant here.
LONGEST_LEASE_S = 20.0


def _make_coordinator_with_ordered_run():
    """Return a coordinator, its ledger, its worker and the ordered run."""
    coordinator, ledger, _ = reports.make_coordinator(
        builders.make_step(), workers=1
    )
    (worker,) = ledger.workers.values()
    (run,) = worker.runs
    message = reports.report(coordinator, worker, process=PROCESS)
    assert [order.run for order in message.starts] == [run]
    return coordinator, ledger, worker, run


def _lose_next_process(coordinator, worker, **more):
    """Report lists of the worker's next process, and nothing later.

    :returns: the worker by the books of the coordinator.
    """
    known = _report_next_process(coordinator, worker, **more)
    coordinator.decide(
        NOW + 1.1 + restarts.LOST_AGENT_TIMEOUT_S, builders.WALL
    )
    return known


def _report_next_process(coordinator, worker, now=NOW + 1.0, **more):
    """Report lists of the worker's next process.

    :returns: the worker by the books of the coordinator.
    """
    profile = worker.profile
    lifetime = work.Lifetime(worker.lifetime.worker, 1000)
    properties = {
        'profile': msgspec.structs.replace(profile, lifetime=lifetime),
        'process': PROCESS,
        'sequence': 2,
        'undecided': (),
        **more,
    }
    reports.report(coordinator, worker, now, **properties)
    return coordinator.workers[lifetime]


@pytest.mark.parametrize(
    ('more', 'is_removed'),
    [
        ({}, True),
        ({'undecided': None}, False),
        ({'undecided': None, 'knows_all_calls': True}, False),
        ({'lists_complete': False}, False),
        ({'process': 'q'}, False),
        ({'process': 'q', 'knows_all_calls': True}, True),
    ],
)
def test_run_without_a_start_under_way_ends_with_its_process(more, is_removed):
    """Guards against a run that executes twice, and one that waits.

    The run is free if no start call for it may reach the next process, which
    is lost. An agent of an earlier release does not tell, one that was
    restarted knows nothing of the calls of its former process, and lists may
    be cut short.
    """
    coordinator, _, worker, run = _make_coordinator_with_ordered_run()
    known = _lose_next_process(coordinator, worker, **more)
    assert (run not in known.runs) == is_removed


def test_run_that_a_report_names_is_not_removed_with_its_process():
    """Guards against a run that executes twice.

    A late start call may still be carried out, or was carried out by the next
    process.
    """
    row = work.RunningRun(work.Run(work.Item('job', 0, 0, 0), 1), '', 1.0)
    for more in (
        {'undecided': (row.run,), 'decided': (row.run,)},
        {'undecided': (row.run,), 'knows_all_calls': True},
        {'running': (row,), 'knows_all_calls': True},
        {'accepted': (row.run,), 'knows_all_calls': True},
    ):
        coordinator, _, worker, run = _make_coordinator_with_ordered_run()
        assert run == row.run
        known = _lose_next_process(coordinator, worker, **more)
        assert run in known.runs, more


@pytest.mark.parametrize('placed_at', [-1.0, 0.0])
def test_run_of_a_former_coordinator_needs_an_agent_that_knows_its_calls(
    placed_at,
):
    """Guards against a run that executes twice.

    A former coordinator may have ordered the start to a former process of the
    agent, also of a run that no job has recorded.
    """
    for more, is_removed in (
        ({}, False),
        ({'knows_all_calls': True}, True),
        ({'decided': (work.Run(work.Item('job', 0, 0, 0), 1),)}, True),
    ):
        coordinator, _, worker, run = _make_coordinator_with_ordered_run()
        worker.runs[run].ordered_to = None
        worker.runs[run].placed_at = placed_at
        known = _lose_next_process(coordinator, worker, **more)
        assert (run not in known.runs) == is_removed, more


def test_undecided_run_is_removed_once_its_call_can_not_be_carried_out():
    """Guards against work that waits for a stop that is never confirmed."""
    coordinator, _, worker, run = _make_coordinator_with_ordered_run()
    _report_next_process(coordinator, worker, undecided=(run,))
    known = _lose_next_process(coordinator, worker, sequence=3)
    assert run not in known.runs


def test_run_is_stopped_on_a_next_process_whose_agent_reports():
    """Guards against a start beside the late copy of another one.

    The worker may restart once more, so that its runs are kept for as long as
    their stop can be confirmed.
    """
    coordinator, _, worker, run = _make_coordinator_with_ordered_run()
    known = _report_next_process(coordinator, worker)
    coordinator.decide(NOW + 1.1, builders.WALL)
    assert coordinator.make_orders(known).stops == (run,)


def test_extension_ends_once_late_calls_to_the_former_process_are_void():
    """Guards against work that waits for a lease that nobody can have set.

    A late call may have set the longest lease just before the worker answered
    the poll, so that the end of that lease is waited for.
    """
    coordinator, ledger, worker, _ = _make_coordinator_with_ordered_run()
    ledger.run_ends._longest_lease = LONGEST_LEASE_S
    known = _report_next_process(coordinator, worker, former_calls_void=True)
    lease_end = NOW + 1.0 + LONGEST_LEASE_S / (1 - leases.MAX_CLOCK_SLOWDOWN)
    lease_end += leases.MAX_SUSPENSION_S
    assert known.get_last_lease_end() >= lease_end + builders.STOP_S
    assert known.get_last_lease_end() <= lease_end + builders.STOP_S + 1.0
    assert coordinator.make_orders(known).restarted


@pytest.mark.parametrize(
    'more',
    [
        {'former_calls_void': False},
        {'silence': 2.0, 'lapse': 30.0},
        {'undecided': (work.Run(work.Item('job', 0, 0, 0), 1),)},
        {'lists_complete': False},
    ],
)
def test_extension_stays_while_a_late_call_may_have_an_effect(more):
    """Guards against a run that executes twice."""
    coordinator, _, worker, _ = _make_coordinator_with_ordered_run()
    more = {'former_calls_void': True, **more}
    known = _report_next_process(coordinator, worker, **more)
    assert known.lease_extension == run_ends.RESTART_LEASE_EXTENSION_S


def test_removal_with_the_process_is_logged_with_its_proof(caplog):
    """Guards against a second start whose cause the log does not show."""
    caplog.set_level('INFO')
    coordinator, _, worker, _ = _make_coordinator_with_ordered_run()
    _lose_next_process(coordinator, worker)
    (record,) = [r for r in caplog.records if r.message == 'run removed']
    assert record.proof == str(removals.Proof.PROCESS_REPLACED)
    assert record.cause == 'worker restarted'
