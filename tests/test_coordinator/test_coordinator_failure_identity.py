"""Tests of failed runs that are told apart by unit and number."""

from __future__ import annotations

import pytest

from damaskpin.coordinator import crashes
from damaskpin.coordinator import ends
from damaskpin.coordinator import supervision
from damaskpin.model import work
from damaskpin.peer import orders
from tests.test_coordinator import builders
from tests.test_coordinator import gang_runs
from tests.test_coordinator import reports

NOW = reports.NOW
FAILED = work.Ending.FAILED
BROKEN = work.Ending.BROKEN
STOPPED = work.Ending.STOPPED


def _fail_all(ledger, worker, now):
    """Fail all runs of a worker; return their number."""
    runs = list(worker.runs)
    for run in runs:
        worker.last_end_serial += 1
        row = work.EndedRun(worker.last_end_serial, run, FAILED, '')
        ends.record_end(now, builders.WALL, ledger, worker, row)
    return len(runs)


def test_member_that_fails_late_after_a_takeover_counts_with_its_run():
    """Guards against numbers of failed runs that are not stored.

    The gang's next run has begun, so that the number of runs does not limit
    the count.
    """
    coordinator, ledger, job = gang_runs.make_gang(attempts=2, count=2)
    first, second = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, [first], [FAILED])
    reports.remove(coordinator, ledger, second[1])
    builders.decide(ledger, NOW + 2.0)
    assert {run.number for _, run in gang_runs.list_members(ledger)} == {2}
    successor, ledger, job = reports.replace_coordinator(
        coordinator, job, workers=4
    )
    worker = ledger.workers[second[0].lifetime]
    reports.list_end(successor, worker, second[1], FAILED)
    assert job.get_step_progress(0, 0).failures == {0: 1}
    assert job.progress.state is work.JobState.RUNNING


def test_member_that_fails_late_after_two_failed_runs_counts_once():
    """Guards against a check of the latest failed run alone."""
    coordinator, ledger, job = gang_runs.make_gang(attempts=3, count=2)
    first, second = gang_runs.list_members(ledger)
    gang_runs.list_ends(coordinator, [first], [FAILED])
    reports.remove(coordinator, ledger, second[1])
    builders.decide(ledger, NOW + 2.0)
    gang_runs.list_ends(
        coordinator, gang_runs.list_members(ledger), [FAILED, BROKEN]
    )
    builders.decide(ledger, NOW + 4.0)
    assert {run.number for _, run in gang_runs.list_members(ledger)} == {3}
    gang_runs.list_ends(coordinator, [second], [FAILED])
    assert job.get_step_progress(0, 0).failures == {0: 2}
    assert job.progress.state is work.JobState.RUNNING


def test_late_failure_of_an_earlier_run_counts_beside_a_later_one():
    """Guards against a limit by the number of the failed run.

    Run 1 fails after run 2 has failed; both count.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), workers=4, attempts=2
    )
    run = reports.find_run(ledger)
    worker = reports.remove(coordinator, ledger, run)
    builders.decide(ledger, NOW + 2.0)
    gang_runs.list_ends(coordinator, gang_runs.list_members(ledger), [FAILED])
    reports.list_end(
        coordinator, worker, run, FAILED, worker.last_end_serial + 1
    )
    assert job.get_step_progress(0, 0).failures == {0: 2}
    assert job.progress.state is work.JobState.FAILED


def test_work_items_of_one_step_have_failed_runs_of_their_own():
    """Guards against a work item that starts beyond its attempts.

    First runs of different work items have the same number.
    """
    step = reports.make_large_step(count=2)
    coordinator, ledger, job = reports.make_coordinator(step, attempts=2)
    gang_runs.list_ends(
        coordinator, gang_runs.list_members(ledger), [FAILED, FAILED]
    )
    assert job.get_step_progress(0, 0).failures == {0: 1, 1: 1}


def test_count_of_an_earlier_build_is_limited_by_the_runs_it_told_of():
    """Guards against a job shown as failed although it has attempts left.

    An earlier build has counted two members of run 1. Run 2 is stopped, and
    run 3 is the second that fails.
    """
    coordinator, _, job = gang_runs.make_gang(attempts=3, count=2)
    step = job.get_step_progress(0, 0)
    step.failures = {0: 2}
    job.mark_changed()
    successor, ledger, job = reports.replace_coordinator(
        coordinator, job, workers=4
    )
    gang_runs.list_ends(
        successor, gang_runs.list_members(ledger), [STOPPED, STOPPED]
    )
    builders.decide(ledger, NOW + 2.0)
    gang_runs.list_ends(
        successor, gang_runs.list_members(ledger), [STOPPED, STOPPED]
    )
    builders.decide(ledger, NOW + 4.0)
    members = gang_runs.list_members(ledger)
    assert {run.number for _, run in members} == {3}
    gang_runs.list_ends(successor, members, [FAILED, BROKEN])
    assert job.progress.state is work.JobState.RUNNING


def _submit_job_that_failed_elsewhere(ledger, name, now):
    """Submit a job of which one run has failed on each of four workers."""
    job = builders.submit(
        ledger, name, builders.make_step(1, 8), attempts=9, now=now
    )
    job.failed_worker_ids.update(f'other-{index}' for index in range(4))
    return job


def test_worker_that_fails_all_jobs_is_found():
    """Guards against a failing worker that stays in use without end.

    The jobs have failed on four other workers before, as jobs with many work
    items or with work that lasts have after some time.
    """
    ledger = builders.make_ledger(workers=1)
    (worker,) = ledger.workers.values()
    now = NOW
    for number in range(10):
        _submit_job_that_failed_elsewhere(ledger, f'job-{number}', now)
    for _ in range(10):
        builders.decide(ledger, now)
        failed = _fail_all(ledger, worker, now)
        if worker.suspect_until > now:
            return
        assert failed
        now += 0.1
    pytest.fail(f'{len(worker.failed_runs)} runs of 10 jobs have failed')


def test_worker_that_was_found_to_fail_stays_found():
    """Guards against a failing worker that is in use again for good.

    It was suspect for failures of two jobs and has ended nothing well since.
    """
    ledger = builders.make_ledger(workers=1)
    (worker,) = ledger.workers.values()
    for name in ('first', 'second'):
        builders.submit(ledger, name, builders.make_step(1, 4), attempts=1)
    builders.decide(ledger)
    assert _fail_all(ledger, worker, NOW) == 2
    assert worker.suspect_until > NOW
    now = worker.suspect_until + 0.1
    _submit_job_that_failed_elsewhere(ledger, 'third', now)
    builders.decide(ledger, now)
    assert _fail_all(ledger, worker, now) == 1
    assert worker.suspect_until > now


def test_failed_runs_of_lasting_work_are_not_kept_without_end():
    """Guards against memory that grows with each failure of lasting work."""
    ledger = builders.make_ledger(workers=1)
    (worker,) = ledger.workers.values()
    step = builders.make_step(1, 1, lasting=True)
    builders.submit(ledger, 'service', step)
    now = NOW
    for _ in range(2000):
        builders.decide(ledger, now)
        _fail_all(ledger, worker, now)
        now += 10.0
    assert len(worker.failed_runs) < 1000


def test_members_that_stall_on_several_workers_are_one_move():
    """Guards against a gang that is no longer moved after one move.

    There are so many workers that two may be suspect at a time.
    """
    ledger = builders.make_ledger(workers=8)
    step = builders.make_step(2, 8, 10.0, gang=True)
    job = builders.submit(ledger, 'job', step)
    now = NOW
    for _ in range(3):
        builders.decide(ledger, now)
        builders.report_all_runs_begun(ledger, now)
        for delay, percent in ((1.0, 10.0), (5.0, 10.0)):
            for worker in ledger.workers.values():
                worker.last_report_time = now + delay
                for placed in worker.runs.values():
                    row = work.RunningRun(placed.run, '', percent)
                    placed.update_from_list(row, now + delay)
        now += 5.0
        supervision.stop_faulty_runs(now, ledger)
        now += 10.0
        for worker, run in gang_runs.list_members(ledger):
            if worker.runs[run].stop_reason:
                worker.remove_run(run)
                job.remove_run(run)
    assert job.get_step_progress(0, 0).numbers == {0: 3}


@pytest.mark.parametrize('lasting', [False, True])
def test_crashes_far_apart_end_no_job(lasting):
    """Guards against a job shown as failed without an end listed as failed.

    Its worker crashes once a day, long after each start.
    """
    ledger = builders.make_ledger(workers=6)
    step = builders.make_step(1, 1, 1e6, lasting=lasting)
    job = builders.submit(ledger, 'job', step)
    for day in range(6):
        now = NOW + 86_400.0 * day
        builders.decide(ledger, now)
        ((run, active),) = job.iterate_active()
        crash = orders.Crash(active.lifetime, (run,), (), (run,))
        crashes.record_crash(now, builders.WALL, ledger, crash)
        ledger.remove_lost_run(ledger.workers[active.lifetime], run, 'crashed')
        assert job.progress.state is work.JobState.RUNNING, f'day {day}'


def test_crash_after_the_recorded_end_of_a_run_does_not_count():
    """Guards against a job shown as failed although it has attempts left.

    The end of the run was listed, stored and acknowledged before its worker
    crashed; it counts as a failed run and not as a crash, too.
    """
    coordinator, ledger, job = reports.make_coordinator(
        reports.make_large_step(), attempts=3
    )
    run = reports.find_run(ledger)
    worker = reports.find_worker(ledger, run)
    reports.list_end(coordinator, worker, run, FAILED)
    reports.store(coordinator, job)
    crash = orders.Crash(worker.lifetime, (run,), (run,), (run,))
    reports.report(coordinator, worker, NOW + 2.0, crashes=(crash,))
    progress = job.get_step_progress(0, 0)
    assert progress.failures == {0: 1}
    assert not progress.crashes
