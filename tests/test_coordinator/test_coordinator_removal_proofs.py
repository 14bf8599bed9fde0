"""Tests of the proofs with which the coordinator removes a run."""

from __future__ import annotations

import msgspec

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
FENCE = 4


def _make_report(worker, profile, **more):
    report = orders.Report(
        worker.agent, 1.0, 1, profile, None, FENCE, FENCE, (), (), (), ()
    )
    return msgspec.structs.replace(report, **more)


def _make_coordinator_with_run():
    """Return a coordinator with one run, and the run and its worker."""
    ledger = builders.make_ledger(workers=1)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    builders.submit(ledger, 'job', builders.make_step())
    builders.decide(ledger)
    (worker,) = ledger.workers.values()
    (run,) = worker.runs
    return coordinator, worker, run


def test_late_report_of_a_former_worker_does_not_remove_the_current_one():
    """Guards against a run that executes twice.

    The current worker of an agent was born while the time of day was set
    back. A late report about the former worker, which has left, must not pass
    for one about a newer worker.
    """
    coordinator, worker, run = _make_coordinator_with_run()
    row = work.RunningRun(run, '', 5.0)
    report = _make_report(
        worker,
        worker.profile,
        running=(row,),
        time=9.0,
        sequence=9,
        process='p',
    )
    coordinator.handle_report(NOW, builders.WALL, report, 'address')
    former = msgspec.structs.replace(
        worker.profile, lifetime=work.Lifetime('former', 9000)
    )
    late_report = _make_report(worker, former, list_fence=0, process='p')
    coordinator.handle_report(NOW + 1, builders.WALL, late_report, 'address')
    assert run in worker.runs, 'the run is free to start elsewhere'
    assert worker.lifetime in coordinator.workers


def test_list_that_may_be_cut_short_does_not_prove_that_a_run_is_absent():
    """Guards against a work item that starts after it has ended.

    A worker lists 500 ends at a time. The end of a run may be among those
    that a new coordinator has not seen yet.
    """
    coordinator, worker, run = _make_coordinator_with_run()
    worker.has_run_lists = False
    other = work.Item('another', 0, 0, 0)
    ended = tuple(
        work.EndedRun(n, work.Run(other, n), work.Ending.FAILED, '')
        for n in range(1, 501)
    )
    report = _make_report(worker, worker.profile, ended=ended)
    coordinator.handle_report(NOW, builders.WALL, report, 'address')
    assert run in worker.runs, 'the run is free to start elsewhere'


def test_run_that_is_listed_is_not_removed_by_a_refusal():
    """Guards against a run that executes twice, and an overcommitted worker.

    A new agent process repeats a start that its predecessor has made. An
    unhealthy worker refuses the repeat, but lists the run as running.
    """
    coordinator, worker, run = _make_coordinator_with_run()
    free_capacity = worker.free_capacity
    row = work.RunningRun(run, '', 5.0)
    refused = orders.RefusedRun(run, 'status 503')
    for _ in range(3):
        report = _make_report(
            worker, worker.profile, running=(row,), refused=(refused,)
        )
        coordinator.handle_report(NOW, builders.WALL, report, 'address')
        assert run in worker.runs, 'the run is free to start elsewhere'
        assert worker.free_capacity == free_capacity


def test_worker_restarted_with_a_lower_birth_has_its_runs_stopped():
    """Guards against a late start that brings a run to life again.

    A worker is started again under its id after the time of day was set back.
    The agent's later report is about the new process, on which the runs of
    the former one must be stopped, as after any restart.
    """
    coordinator, worker, run = _make_coordinator_with_run()
    report = _make_report(worker, worker.profile, time=2.0, sequence=2)
    coordinator.handle_report(NOW, builders.WALL, report, 'address')
    lifetime = work.Lifetime(worker.lifetime.worker, worker.lifetime.born - 1)
    profile = msgspec.structs.replace(worker.profile, lifetime=lifetime)
    report = _make_report(worker, profile, time=3.0, sequence=3)
    restarted = coordinator.handle_report(
        NOW + 1.0, builders.WALL, report, 'address'
    )
    assert restarted is not None, 'the report is taken for an old one'
    assert run in coordinator.make_orders(restarted).stops


def test_end_of_a_removed_run_is_recorded_before_it_is_acknowledged():
    """Guards against a work item that starts after it has ended.

    A run was given up on a wrong proof and ends well. Its end must not be
    acknowledged, and so forgotten by the worker, while the work item is due
    to start again.
    """
    coordinator, worker, run = _make_coordinator_with_run()
    refused = orders.RefusedRun(run, 'status 503')
    report = _make_report(worker, worker.profile, refused=(refused,))
    coordinator.handle_report(NOW, builders.WALL, report, 'address')
    ended = work.EndedRun(1, run, work.Ending.DONE, '')
    report = _make_report(worker, worker.profile, ended=(ended,))
    coordinator.handle_report(NOW + 1, builders.WALL, report, 'address')
    job = coordinator.jobs['job']
    is_acknowledged = coordinator.make_orders(worker).observed >= 1
    assert job.progress.state is work.JobState.COMPLETED or not is_acknowledged
