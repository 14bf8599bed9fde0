"""Tests of ends of runs that were removed on a wrong proof."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import records
from damaskpin.coordinator import refusals
from damaskpin.model import work
from tests.test_coordinator import builders
from tests.test_coordinator import reports

NOW = reports.NOW
WALL = reports.WALL
REFUSAL = reports.REFUSAL


@pytest.mark.parametrize('reason', [REFUSAL, 'the lease has ended'])
def test_good_end_of_a_removed_run_is_stored_before_it_is_acknowledged(reason):
    """Guards against a good end that is lost with its coordinator.

    The end also counts if the lease may have lapsed: the coordinator can't
    tell whether it has, and the work has been done in any case.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run, reason)
    answer = reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.state is work.JobState.COMPLETED
    assert job.has_unstored_changes()
    assert answer.observed == 0
    reports.store(coordinator, job)
    assert coordinator.make_orders(worker).observed == 1


def test_good_end_of_a_removed_gang_member_ends_the_gang():
    """Guards against a gang that starts again after it has ended.

    One end of a member that is done stands for all members.
    """
    step = reports.make_large_step(count=2, gang=True)
    coordinator, ledger, job = reports.make_coordinator(step, workers=4)
    run = reports.find_run(ledger)
    other_worker = reports.find_worker(ledger, reports.find_run(ledger, 1))
    worker = reports.remove(coordinator, ledger, run)
    other = reports.find_run(ledger, 1)
    reports.list_end(coordinator, other_worker, other, work.Ending.STOPPED)
    builders.decide(ledger, NOW + 0.5)
    later_runs = [reports.find_run(ledger, index) for index in range(2)]
    assert {later.number for later in later_runs} == {2}
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.state is work.JobState.COMPLETED
    for later in later_runs:
        later_worker = reports.find_worker(ledger, later)
        assert later in coordinator.make_orders(later_worker).stops


@pytest.mark.parametrize('ending', list(work.Ending))
def test_end_of_a_later_run_counts_for_nothing_after_a_good_end(ending):
    """Guards against a second run beside or after a good end.

    A run was removed on a wrong proof, a later one began elsewhere, and then
    the first one ends well. The later run is stopped, and its end neither
    fails the job nor undoes the good end.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(),
        reports.make_large_step(after=(0,)),
        attempts=1,
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = reports.find_run(ledger)
    later_worker = reports.find_worker(ledger, later)
    assert later_worker is not worker
    reports.store(coordinator, job)
    row = work.RunningRun(later, '', 5.0)
    reports.report(coordinator, later_worker, running=(row,))
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert later in coordinator.make_orders(later_worker).stops
    step = job.get_step_progress(0, 0)
    assert step.done == {0}
    reports.list_end(coordinator, later_worker, later, ending)
    assert step.done == {0}
    assert step.failures == {}
    assert not job.is_final()
    builders.decide(ledger, NOW + 1.5)
    assert reports.find_run(ledger).item.step == 1


def test_good_end_of_a_listed_run_in_no_record_counts_beside_a_later_run():
    """Guards against a work item that starts after it has ended.

    A removed run is listed as running while a later one runs elsewhere. Both
    are known then, and the former one ends well before it is stopped.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = reports.find_run(ledger)
    row = work.RunningRun(run, '', 5.0)
    answer = reports.report(coordinator, worker, running=(row,))
    assert run in answer.stops
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.state is work.JobState.COMPLETED
    later_worker = reports.find_worker(ledger, later)
    assert later in coordinator.make_orders(later_worker).stops


def test_failed_end_of_a_removed_run_fails_a_job_without_more_attempts():
    """Guards against a run that starts beyond the attempts.

    The later run, which began before the failure was known, is stopped.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), attempts=1
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = reports.find_run(ledger)
    reports.list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.progress.state is work.JobState.FAILED
    later_worker = reports.find_worker(ledger, later)
    assert later in coordinator.make_orders(later_worker).stops


def test_failed_end_of_a_listed_run_in_no_record_is_stored_first():
    """Guards against a failure that is acknowledged and then forgotten."""
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    reports.store(coordinator, job)
    row = work.RunningRun(run, '', 5.0)
    reports.report(coordinator, worker, running=(row,))
    answer = reports.list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert job.has_unstored_changes()
    assert answer.observed == 0


def test_end_that_is_listed_again_is_stored_before_it_is_acknowledged():
    """Guards against a good end that is lost with its coordinator.

    A worker that was given up lists an end again that is recorded already,
    but not stored yet.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step()
    )
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.has_unstored_changes()
    ledger.remove_worker(NOW + 1.0, worker.lifetime, 'given up by the test')
    answer = reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert answer.observed == 0
    reports.store(coordinator, job)
    answer = reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert answer.observed == 1


@pytest.mark.parametrize('ending', [work.Ending.DONE, work.Ending.FAILED])
def test_end_of_a_removed_run_of_a_cancelled_job_changes_nothing(ending):
    """Guards against a cancelled job that is shown in another state."""
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), attempts=1
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    coordinator.cancel_job(WALL, 'job')
    reports.store(coordinator, job)
    answer = reports.list_end(coordinator, worker, run, ending)
    assert job.progress.state is work.JobState.CANCELED
    assert not job.has_unstored_changes()
    assert answer.observed == 1


def test_good_end_of_a_removed_run_leaves_the_later_run_of_lasting_work():
    """Guards against a stop of work that lasts until its job is cancelled."""
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(lasting=True)
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = reports.find_run(ledger)
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    later_worker = reports.find_worker(ledger, later)
    assert coordinator.make_orders(later_worker).stops == ()
    assert not job.is_final()


def test_good_end_of_a_removed_run_ends_its_occurrence_only():
    """Guards against a scheduled time that is taken for done by another."""
    schedule = work.Schedule(WALL, 0.1, 2)
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), schedule=schedule
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    occurrences = {
        placed.run.item.occurrence: placed
        for known in ledger.workers.values()
        for placed in known.runs.values()
    }
    assert set(occurrences) == {0, 1}
    reports.list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.finished == {0}
    assert not job.is_final()
    assert occurrences[0].stop_reason
    assert not occurrences[1].stop_reason


def test_good_end_of_a_run_that_was_never_assigned_does_not_count():
    """Guards against a job that is shown as completed without work."""
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(count=1)
    )
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    for serial, other in enumerate(
        [
            work.Run(run.item, run.number + 1),
            work.Run(work.Item('job', 0, 0, 1), 1),
            work.Run(work.Item('job', 1, 0, 0), 1),
            work.Run(work.Item('job', 0, 1, 0), 1),
            work.Run(work.Item('another', 0, 0, 0), 1),
        ],
        1,
    ):
        reports.list_end(coordinator, worker, other, work.Ending.DONE, serial)
    assert job.get_step_progress(0, 0).done == set()
    assert list(job.progress.occurrences) == [0]
    assert run in worker.runs


def test_number_of_removed_runs_that_are_stored_is_limited():
    """Guards against progress that outgrows the store's values.

    An unhealthy worker may refuse the same work item again and again.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), workers=1
    )
    for step in range(100):
        now = NOW + 2 * refusals.MAX_PAUSE_S * step
        run = reports.find_run(ledger)
        reports.remove(coordinator, ledger, run, now=now)
        builders.decide(ledger, now + refusals.MAX_PAUSE_S)
    size = len(records.encode_progress(job.progress))
    assert job.get_step_progress(0, 0).numbers == {0: 101}
    assert size < 400
