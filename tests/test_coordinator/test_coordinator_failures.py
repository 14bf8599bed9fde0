"""Tests of failing work items and of workers on which runs fail."""

from __future__ import annotations

from damaskpin.model import work
from tests.test_coordinator import builders

NOW = builders.NOW
FAILED = work.Ending.FAILED


def test_failed_unit_tries_another_worker():
    """A worker on which every run fails must not use up all attempts."""
    book = builders.make_book(workers=2)
    job = builders.submit(book, 'job', builders.make_step(1, 1))
    builders.decide(book)
    first = builders.list_runs(book, job)[0]
    worker = next(
        w for w in book.workers.values() if w.lifetime.worker == first
    )
    run = next(iter(worker.runs))
    row = work.EndedRun(1, run, work.Ending.FAILED, '')
    book.end_run(NOW, builders.WALL, worker, row)
    builders.decide(book, NOW + 0.1)
    assert builders.list_runs(book, job)[0] != first


def _fail_runs(book, job, now):
    """End all runs of a job as failed, and return their workers."""
    failed_workers = []
    for worker in book.workers.values():
        for run, placed in list(worker.runs.items()):
            if placed.job is not job:
                continue
            failed_workers.append(worker)
            row = work.EndedRun(worker.last_end_serial + 1, run, FAILED, '')
            worker.last_end_serial += 1
            book.end_run(now, builders.WALL, worker, row)
    return failed_workers


def test_last_attempt_goes_to_a_worker_with_a_recent_success():
    """With two attempts, a second faulty worker would fail the whole job."""
    book = builders.make_book(workers=4)
    job = builders.submit(book, 'job', builders.make_step(1, 1), attempts=2)
    builders.decide(book)
    (failing,) = _fail_runs(book, job, NOW)
    trusted = list(book.workers.values())[-1]
    assert trusted is not failing
    trusted.record_success(NOW)
    builders.decide(book, NOW + 1.0)
    assert builders.list_runs(book, job) == {0: trusted.lifetime.worker}


def test_worker_with_repeated_failures_gets_no_work_for_a_period():
    """A worker that fails runs at once is free again and gets more work."""
    book = builders.make_book(workers=2)
    job = builders.submit(book, 'wide', builders.make_step(8, 1), attempts=9)
    builders.decide(book)
    failing = _fail_runs(book, job, NOW)[0]
    assert failing.suspect_until > NOW
    builders.decide(book, NOW + 0.5)
    names = set(builders.list_runs(book, job).values())
    assert failing.lifetime.worker not in names


def test_job_that_fails_everywhere_makes_few_workers_suspect():
    """A job that fails on each worker must not make all workers unusable."""
    book = builders.make_book(workers=8)
    step = builders.make_step(64, 1)
    job = builders.submit(book, 'hopeless', step, attempts=99)
    builders.decide(book)
    _fail_runs(book, job, NOW)
    suspects = [w for w in book.workers.values() if w.suspect_until > NOW]
    assert 0 < len(suspects) <= 3
