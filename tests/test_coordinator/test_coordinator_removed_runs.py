"""Tests of ends of runs that were removed on a wrong proof."""

from __future__ import annotations

import msgspec
import pytest

from damaskpin.coordinator import coordinator as coordinators
from damaskpin.coordinator import job as jobs
from damaskpin.coordinator import records
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders

NOW = builders.NOW
WALL = builders.WALL
FENCE = 4
REFUSAL = 'status 503'


def _make_coordinator(*steps, workers=2, **terms):
    """Return a coordinator with one job whose units are placed."""
    ledger = builders.make_ledger(workers=workers)
    coordinator = coordinators.Coordinator('c', FENCE, ledger, None)
    job = builders.submit(ledger, 'job', *steps, **terms)
    builders.decide(ledger)
    _store(coordinator, job)
    return coordinator, ledger, job


def _make_large_step(**more):
    """Return a step of which a worker has room for one work item."""
    return builders.make_step(accelerators=8, **more)


def _store(coordinator, job):
    coordinator.record_stored(job.id, job.progress.version)


def _find_worker(ledger, run):
    (worker,) = [w for w in ledger.workers.values() if run in w.runs]
    return worker


def _find_run(ledger, index=0):
    (run,) = [
        run
        for worker in ledger.workers.values()
        for run in worker.runs
        if run.item.index == index
    ]
    return run


def _report(coordinator, worker, now=NOW, **more):
    """Report for a worker; return the coordinator's orders in answer."""
    report = orders.Report(
        worker.agent,
        1.0,
        1,
        worker.profile,
        None,
        coordinator.fence,
        coordinator.fence,
        (),
        (),
        (),
        (),
    )
    report = msgspec.structs.replace(report, **more)
    known = coordinator.handle_report(now, WALL, report, worker.address)
    return coordinator.make_orders(known)


def _remove(coordinator, ledger, run, reason=REFUSAL):
    """Report a run as refused; return its worker."""
    worker = _find_worker(ledger, run)
    refused = (orders.RefusedRun(run, reason),)
    _report(coordinator, worker, refused=refused)
    assert run not in worker.runs
    return worker


def _list_end(coordinator, worker, run, ending, serial=1):
    """List the end of a run; return the coordinator's orders in answer."""
    row = work.EndedRun(serial, run, ending, '')
    return _report(coordinator, worker, NOW + 1.0, ended=(row,))


def _replace_coordinator(coordinator, job, workers=2):
    """Return a new coordinator that knows what is stored."""
    ledger = builders.make_ledger(workers=workers)
    for worker in ledger.workers.values():
        worker.has_run_lists = False
    successor = coordinators.Coordinator(
        'd', coordinator.fence + 1, ledger, None
    )
    data = records.encode_progress(job.progress)
    stored_job = jobs.Job(job.submission, records.decode_progress(data))
    successor.add_job(NOW, stored_job)
    return successor, ledger, stored_job


@pytest.mark.parametrize('reason', [REFUSAL, 'the lease has ended'])
def test_good_end_of_a_removed_run_is_stored_before_it_is_acknowledged(reason):
    """Guards against a good end that is lost with its coordinator.

    The end also counts if the lease may have lapsed: the coordinator can't
    tell whether it has, and the work has been done in any case.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run, reason)
    answer = _list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.state is work.JobState.COMPLETED
    assert job.has_unstored_changes()
    assert answer.observed == 0
    _store(coordinator, job)
    assert coordinator.make_orders(worker).observed == 1


def test_good_end_of_a_removed_gang_member_ends_the_gang():
    """Guards against a gang that starts again after it has ended.

    One end of a member that is done stands for all members.
    """
    step = _make_large_step(count=2, gang=True)
    coordinator, ledger, job = _make_coordinator(step, workers=4)
    run = _find_run(ledger)
    other_worker = _find_worker(ledger, _find_run(ledger, 1))
    worker = _remove(coordinator, ledger, run)
    other = _find_run(ledger, 1)
    _list_end(coordinator, other_worker, other, work.Ending.STOPPED)
    builders.decide(ledger, NOW + 0.5)
    later_runs = [_find_run(ledger, index) for index in range(2)]
    assert {later.number for later in later_runs} == {2}
    _list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.state is work.JobState.COMPLETED
    for later in later_runs:
        later_worker = _find_worker(ledger, later)
        assert later in coordinator.make_orders(later_worker).stops


@pytest.mark.parametrize('ending', list(work.Ending))
def test_end_of_a_later_run_counts_for_nothing_after_a_good_end(ending):
    """Guards against a second run beside or after a good end.

    A run was removed on a wrong proof, a later one began elsewhere, and then
    the first one ends well. The later run is stopped, and its end neither
    fails the job nor undoes the good end.
    """
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(), _make_large_step(after=(0,)), attempts=1
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = _find_run(ledger)
    later_worker = _find_worker(ledger, later)
    assert later_worker is not worker
    _store(coordinator, job)
    row = work.RunningRun(later, '', 5.0)
    _report(coordinator, later_worker, running=(row,))
    _list_end(coordinator, worker, run, work.Ending.DONE)
    assert later in coordinator.make_orders(later_worker).stops
    step = job.get_step_progress(0, 0)
    assert step.done == {0}
    _list_end(coordinator, later_worker, later, ending)
    assert step.done == {0}
    assert step.failures == {}
    assert not job.is_final()
    builders.decide(ledger, NOW + 1.5)
    assert _find_run(ledger).item.step == 1


def test_good_end_of_a_listed_run_in_no_record_counts_beside_a_later_run():
    """Guards against a work item that starts after it has ended.

    A removed run is listed as running while a later one runs elsewhere. Both
    are known then, and the former one ends well before it is stopped.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = _find_run(ledger)
    row = work.RunningRun(run, '', 5.0)
    answer = _report(coordinator, worker, running=(row,))
    assert run in answer.stops
    _list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.state is work.JobState.COMPLETED
    later_worker = _find_worker(ledger, later)
    assert later in coordinator.make_orders(later_worker).stops


def test_failed_end_of_a_removed_run_counts_once():
    """Guards against a run beyond the attempts, and a failure counted twice.

    The end is listed again to a new coordinator, because its acknowledgement
    was lost.
    """
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(), attempts=2
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    answer = _list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert answer.observed == 0, 'the failure is not stored'
    successor, ledger, job = _replace_coordinator(coordinator, job)
    worker = ledger.workers[worker.lifetime]
    answer = _list_end(successor, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert answer.observed == 1


def test_failed_end_of_a_removed_run_fails_a_job_without_more_attempts():
    """Guards against a run that starts beyond the attempts.

    The later run, which began before the failure was known, is stopped.
    """
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(), attempts=1
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = _find_run(ledger)
    _list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.progress.state is work.JobState.FAILED
    later_worker = _find_worker(ledger, later)
    assert later in coordinator.make_orders(later_worker).stops


def test_failed_end_of_a_run_that_a_former_coordinator_removed_counts():
    """Guards against a run that starts beyond the attempts."""
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(), attempts=2
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    successor, ledger, job = _replace_coordinator(coordinator, job)
    worker = ledger.workers[worker.lifetime]
    _list_end(successor, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}


def test_failed_end_that_was_recorded_does_not_count_again():
    """Guards against a job that fails with attempts left.

    The end of a run that was never removed is listed again to a new
    coordinator, because its acknowledgement was lost.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _find_worker(ledger, run)
    _list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    successor, ledger, job = _replace_coordinator(coordinator, job)
    worker = ledger.workers[worker.lifetime]
    _list_end(successor, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}


def test_failed_end_of_a_listed_run_in_no_record_is_stored_first():
    """Guards against a failure that is acknowledged and then forgotten."""
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    _store(coordinator, job)
    row = work.RunningRun(run, '', 5.0)
    _report(coordinator, worker, running=(row,))
    answer = _list_end(coordinator, worker, run, work.Ending.FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert job.has_unstored_changes()
    assert answer.observed == 0


def test_end_that_is_listed_again_is_stored_before_it_is_acknowledged():
    """Guards against a good end that is lost with its coordinator.

    A worker that was given up lists an end again that is recorded already,
    but not stored yet.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _find_worker(ledger, run)
    _list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.has_unstored_changes()
    ledger.remove_worker(NOW + 1.0, worker.lifetime, 'given up by the test')
    answer = _list_end(coordinator, worker, run, work.Ending.DONE)
    assert answer.observed == 0
    _store(coordinator, job)
    answer = _list_end(coordinator, worker, run, work.Ending.DONE)
    assert answer.observed == 1


def test_new_coordinator_stops_the_active_run_of_a_work_item_that_has_ended():
    """Guards against a run that goes on after a good end of an earlier one.

    The coordinator that has ordered the stop is replaced.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = _find_run(ledger)
    later_worker = _find_worker(ledger, later)
    _list_end(coordinator, worker, run, work.Ending.DONE)
    successor, _, _ = _replace_coordinator(coordinator, job)
    row = work.RunningRun(later, '', 5.0)
    answer = _report(successor, later_worker, running=(row,))
    assert later in answer.stops


def test_new_coordinator_stops_the_runs_of_a_cancelled_job():
    """Guards against runs that go on after their job was cancelled.

    The coordinator that has stored the state is replaced before its orders to
    stop the runs arrive.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step())
    run = _find_run(ledger)
    worker = _find_worker(ledger, run)
    coordinator.cancel_job(WALL, 'job')
    successor, _, _ = _replace_coordinator(coordinator, job)
    successor.cancel_job(WALL, 'job')
    row = work.RunningRun(run, '', 5.0)
    answer = _report(successor, worker, running=(row,))
    assert run in answer.stops


@pytest.mark.parametrize('ending', [work.Ending.DONE, work.Ending.FAILED])
def test_end_of_a_removed_run_of_a_cancelled_job_changes_nothing(ending):
    """Guards against a cancelled job that is shown in another state."""
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(), attempts=1
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    coordinator.cancel_job(WALL, 'job')
    _store(coordinator, job)
    answer = _list_end(coordinator, worker, run, ending)
    assert job.progress.state is work.JobState.CANCELED
    assert not job.has_unstored_changes()
    assert answer.observed == 1


def test_good_end_of_a_removed_run_leaves_the_later_run_of_lasting_work():
    """Guards against a stop of work that lasts until its job is cancelled."""
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(lasting=True)
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    later = _find_run(ledger)
    _list_end(coordinator, worker, run, work.Ending.DONE)
    later_worker = _find_worker(ledger, later)
    assert coordinator.make_orders(later_worker).stops == ()
    assert not job.is_final()


def test_good_end_of_a_removed_run_ends_its_occurrence_only():
    """Guards against a scheduled time that is taken for done by another."""
    schedule = work.Schedule(WALL, 0.1, 2)
    coordinator, ledger, job = _make_coordinator(
        _make_large_step(), schedule=schedule
    )
    run = _find_run(ledger)
    worker = _remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 0.5)
    occurrences = {
        placed.run.item.occurrence: placed
        for known in ledger.workers.values()
        for placed in known.runs.values()
    }
    assert set(occurrences) == {0, 1}
    _list_end(coordinator, worker, run, work.Ending.DONE)
    assert job.progress.finished == {0}
    assert not job.is_final()
    assert occurrences[0].stop_reason
    assert not occurrences[1].stop_reason


def test_good_end_of_a_run_that_was_never_assigned_does_not_count():
    """Guards against a job that is shown as completed without work."""
    coordinator, ledger, job = _make_coordinator(_make_large_step(count=1))
    run = _find_run(ledger)
    worker = _find_worker(ledger, run)
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
        _list_end(coordinator, worker, other, work.Ending.DONE, serial)
    assert job.get_step_progress(0, 0).done == set()
    assert list(job.progress.occurrences) == [0]
    assert run in worker.runs


def test_number_of_removed_runs_that_are_stored_is_limited():
    """Guards against progress that outgrows the store's values.

    An unhealthy worker may refuse the same work item again and again.
    """
    coordinator, ledger, job = _make_coordinator(_make_large_step(), workers=1)
    for step in range(100):
        _remove(coordinator, ledger, _find_run(ledger))
        builders.decide(ledger, NOW + 0.01 * step)
    size = len(records.encode_progress(job.progress))
    assert job.get_step_progress(0, 0).numbers == {0: 101}
    assert size < 400
