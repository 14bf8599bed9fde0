"""Tests of ends that are listed again after a takeover, and of its stops."""

from __future__ import annotations

from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = reports.NOW
WALL = reports.WALL


def test_failed_end_of_a_removed_run_counts_once():
    """Guards against a run beyond the attempts, and a failure counted twice.

    The end is listed again to a new coordinator, because its acknowledgement
    was lost.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), attempts=2
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    answer = reports.list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert answer.observed == 0, 'the failure is not stored'
    successor, ledger, job = reports.replace_coordinator(coordinator, job)
    worker = ledger.workers[worker.lifetime]
    answer = reports.list_end(successor, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert answer.observed == 1


def test_failed_end_of_a_run_that_a_former_coordinator_removed_counts():
    """Guards against a run that starts beyond the attempts."""
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), attempts=2
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    successor, ledger, job = reports.replace_coordinator(coordinator, job)
    worker = ledger.workers[worker.lifetime]
    reports.list_end(successor, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}


def test_failed_end_that_was_recorded_does_not_count_again():
    """Guards against a job that fails with attempts left.

    The end of a run that was never removed is listed again to a new
    coordinator, because its acknowledgement was lost.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    reports.list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    successor, ledger, job = reports.replace_coordinator(coordinator, job)
    worker = ledger.workers[worker.lifetime]
    reports.list_end(successor, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}


def test_new_coordinator_stops_the_active_run_of_a_work_item_that_has_ended():
    """Guards against a run that goes on after a good end of an earlier one.

    The coordinator that has ordered the stop is replaced.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = reports.find_run(ledger)
    later_worker = reports.find_worker(ledger, later)
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    successor, _, _ = reports.replace_coordinator(coordinator, job)
    row = work.RunningRun(later, '', 5.0)
    answer = reports.report(successor, later_worker, running=(row,))
    assert later in answer.stops


def test_new_coordinator_stops_the_runs_of_a_cancelled_job():
    """Guards against runs that go on after their job was cancelled.

    The coordinator that has stored the state is replaced before its orders to
    stop the runs arrive.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    coordinator.cancel_job(WALL, 'job')
    successor, _, _ = reports.replace_coordinator(coordinator, job)
    successor.cancel_job(WALL, 'job')
    row = work.RunningRun(run, '', 5.0)
    answer = reports.report(successor, worker, running=(row,))
    assert run in answer.stops
