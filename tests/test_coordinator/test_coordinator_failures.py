"""Tests of failing work items and of workers on which runs fail."""

from __future__ import annotations

import logging

import msgspec

from damaskpin.coordinator import ends
from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
FAILED = work.Ending.FAILED


def test_failed_unit_tries_another_worker():
    """A worker on which every run fails must not use up all attempts."""
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(ledger, 'job', builders.make_step(1, 1))
    builders.decide(ledger)
    first = builders.list_runs(ledger, job)[0]
    worker = next(
        w for w in ledger.workers.values() if w.lifetime.worker == first
    )
    run = next(iter(worker.runs))
    row = work.EndedRun(1, run, work.Ending.FAILED, '')
    ends.record_end(NOW, builders.WALL, ledger, worker, row)
    builders.decide(ledger, NOW + 0.1)
    assert builders.list_runs(ledger, job)[0] != first


def _fail_runs(ledger, job, now):
    """End all runs of a job as failed, and return their workers."""
    failed_workers = []
    for worker in ledger.workers.values():
        for run, placed in list(worker.runs.items()):
            if placed.job is not job:
                continue
            failed_workers.append(worker)
            row = work.EndedRun(worker.last_end_serial + 1, run, FAILED, '')
            worker.last_end_serial += 1
            ends.record_end(now, builders.WALL, ledger, worker, row)
    return failed_workers


def test_last_attempt_goes_to_a_worker_with_a_recent_success():
    """With two attempts, a second faulty worker would fail the whole job."""
    ledger = builders.make_ledger(workers=4)
    job = builders.submit(ledger, 'job', builders.make_step(1, 1), attempts=2)
    builders.decide(ledger)
    (failing,) = _fail_runs(ledger, job, NOW)
    trusted = list(ledger.workers.values())[-1]
    assert trusted is not failing
    trusted.record_success(NOW, NOW - 1.0)
    builders.decide(ledger, NOW + 1.0)
    assert builders.list_runs(ledger, job) == {0: trusted.lifetime.worker}


def test_worker_with_repeated_failures_gets_no_work_for_a_period():
    """A worker on which runs fail at once is soon free for more work."""
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(ledger, 'wide', builders.make_step(8, 1), attempts=9)
    builders.decide(ledger)
    failing = _fail_runs(ledger, job, NOW)[0]
    assert failing.suspect_until > NOW
    builders.decide(ledger, NOW + 0.5)
    names = set(builders.list_runs(ledger, job).values())
    assert failing.lifetime.worker not in names


def test_job_that_fails_everywhere_makes_few_workers_suspect():
    """A job that fails on each worker must not make all workers unusable."""
    ledger = builders.make_ledger(workers=8)
    step = builders.make_step(64, 1)
    job = builders.submit(ledger, 'hopeless', step, attempts=99)
    builders.decide(ledger)
    _fail_runs(ledger, job, NOW)
    suspects = [w for w in ledger.workers.values() if w.suspect_until > NOW]
    assert 0 < len(suspects) <= 3


def _end_run(ledger, worker, placed, ending, now):
    worker.last_end_serial += 1
    row = work.EndedRun(worker.last_end_serial, placed.run, ending, '')
    ends.record_end(now, builders.WALL, ledger, worker, row)


def test_good_end_of_an_earlier_start_does_not_clear_a_failing_worker():
    """Guards against a worker that fails all it starts and stays in use.

    Long work that it had begun before still ends well, run after run.
    """
    ledger = builders.make_ledger(workers=1)
    builders.submit(ledger, 'long', builders.make_step(4, 1), attempts=9)
    builders.decide(ledger)
    (worker,) = ledger.workers.values()
    long_runs = list(worker.runs.values())
    later = NOW + 5.0
    for number in range(3):
        builders.submit(
            ledger,
            f'short-{number}',
            builders.make_step(1, 1),
            attempts=9,
            now=later,
        )
    builders.decide(ledger, later)
    for placed in list(worker.runs.values()):
        if placed in long_runs:
            continue
        _end_run(ledger, worker, placed, FAILED, later + 1.0)
        _end_run(
            ledger, worker, long_runs.pop(), work.Ending.DONE, later + 1.0
        )
    assert worker.suspect_until > later + 1.0
    assert worker.has_failed_since_success()


def test_good_end_of_a_later_start_clears_a_worker():
    """Guards against a worker that is avoided for one failure for long."""
    ledger = builders.make_ledger(workers=1)
    builders.submit(ledger, 'first', builders.make_step(1, 1), attempts=9)
    builders.decide(ledger)
    (worker,) = ledger.workers.values()
    (failing,) = worker.runs.values()
    _end_run(ledger, worker, failing, FAILED, NOW + 1.0)
    builders.decide(ledger, NOW + 1.0)
    (repeated,) = worker.runs.values()
    _end_run(ledger, worker, repeated, work.Ending.DONE, NOW + 2.0)
    assert not worker.has_failed_since_success()


def test_log_of_an_end_tells_the_failures_so_far(caplog):
    """Guards against a failed job whose log does not tell what has counted."""
    caplog.set_level(logging.INFO)
    ledger = builders.make_ledger(workers=2)
    job = builders.submit(ledger, 'job', builders.make_step(), attempts=3)
    builders.decide(ledger)
    _fail_runs(ledger, job, NOW)
    (record,) = [r for r in caplog.records if r.message == 'run ended']
    assert (record.failures, record.attempts) == (1, 3)


def test_two_failed_jobs_leave_workers_for_the_next_job():
    """Guards against a job that waits 6 s although all workers are idle.

    Both jobs fail on each worker, and neither is tried again.
    """
    ledger = builders.make_ledger(workers=8)
    step = builders.make_step(8, 4, per_worker=1)
    failing = [
        builders.submit(ledger, name, step, attempts=1)
        for name in ('first', 'second')
    ]
    builders.decide(ledger)
    for job in failing:
        assert len(_fail_runs(ledger, job, NOW)) == 8
    later = NOW + 0.1
    job = builders.submit(ledger, 'sound', builders.make_step(), now=later)
    builders.decide(ledger, later)
    assert builders.list_runs(ledger, job)


def test_suspects_of_one_service_leave_room_for_those_of_another():
    """Guards against a failing worker that is not found.

    Workers of another service use up the number of suspects.
    """
    ledger = builders.make_ledger(workers=4)
    *others, failing = ledger.workers.values()
    for worker in others:
        worker.set_profile(
            msgspec.structs.replace(worker.profile, service='other')
        )
        worker.suspect_until = NOW + 60.0
    builders.submit(ledger, 'job', builders.make_step(4, 1), attempts=9)
    builders.decide(ledger)
    for placed in list(failing.runs.values()):
        _end_run(ledger, failing, placed, FAILED, NOW + 1.0)
    assert failing.suspect_until > NOW + 1.0


def test_failed_work_item_is_the_reason_of_its_job():
    """Guards against a reason that names a gang where there is none."""
    ledger = builders.make_ledger(workers=1)
    job = builders.submit(ledger, 'job', builders.make_step(), attempts=2)
    for number in range(2):
        builders.decide(ledger, NOW + number)
        _fail_runs(ledger, job, NOW + number)
    assert job.progress.state is work.JobState.FAILED
    assert job.progress.reason == 'a work item failed 2 times'
